package httpserver

import (
	"math"

	"linenwheel.dev/linenwheel/internal/node/core"
)

// MakeRoom has a connection make room for clients who wait because all places are taken.
func (s *Server) MakeRoom() {
	s.mu.Lock()
	victim := s.victim(s.clock.Now())
	if victim != nil {
		victim.retired = true
		s.retired++
	}
	s.mu.Unlock()
	if victim != nil {
		victim.retire(true, 0)
	}
}

// victim finds, under the lock, the connection that makes room: one that has its last answer, else one that has sent
// nothing, else one that asked before, each time the one that is so for longest. Those that came just now, and those
// that may be about to ask again, are spared as long as there are others. Last comes the request that is furthest behind.
func (s *Server) victim(now float64) *conn {
	limits := s.limits.Load()
	rank := func(c *conn) float64 {
		switch age := now - c.since; {
		case c.retired:
			return 0
		case c.state == leaving && c.net.Backlog() > 0: // to close it would cut its answer off
			return 0
		case c.state == leaving:
			return 4e12 + age
		case c.state == silent && age >= limits.Settle:
			return 3e12 + age
		case c.state == idle && age >= limits.Idle:
			return 2e12 + age
		case c.state == silent || c.state == idle:
			return 1e12 + age
		}
		return max(0, c.behind(now, limits))
	}
	var victim *conn
	best := 0.0
	for c := range s.conns {
		if r := rank(c); r > best {
			victim, best = c, r
		}
	}
	return victim
}

// behind is, under the server's lock, by how many milliseconds a request that has begun is later than one whose client sends at once, or
// its body at the rate that is waited for: below 0 if it is not, or has come just now.
func (c *conn) behind(now float64, limits *Limits) float64 {
	late := now - c.since - c.allowed
	if c.state != reading || late < limits.Settle {
		return -1
	}
	return late
}

// overdue tells, under the server's lock, whether a request that has begun should be whole by now.
func (c *conn) overdue(now float64, limits *Limits) bool {
	return c.state == reading && (now-c.since >= limits.Read+c.allowed || !c.asked && now-c.accepted >= limits.First+c.allowed)
}

// resting tells, under the server's lock, whether the connection carries no request for so long.
func (c *conn) resting(now, limit float64) bool {
	return (c.state == silent || c.state == idle) && now-c.since >= limit
}

// still asks one of these once more: between looking at all connections and seeing to one, a request may have come and gone.
func (c *conn) still(what func() bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return what()
}

// Sweep ends the connections that carry no request for long, and those whose request is not whole in time; it is to be
// called often. While the node stops, connections without a request stay, since none can be replaced, until no request
// can be answered on them any more.
func (s *Server) Sweep() {
	now, limits := s.clock.Now(), s.limits.Load()
	limit := limits.Idle
	switch policy := s.gate.Policy(); {
	case policy.CloseIdle:
		limit = 0
	case !policy.CanReconnect:
		limit = math.Inf(1)
	}
	var free, slow []*conn
	s.mu.Lock()
	for c := range s.conns {
		switch {
		case c.resting(now, limit):
			free = append(free, c)
		case c.overdue(now, limits):
			slow = append(slow, c)
		}
	}
	s.mu.Unlock()
	for _, c := range free {
		c.retire(false, limit)
	}
	for _, c := range slow {
		c.mu.Lock()
		if !c.ended && !c.busy && !c.parser.Idle() && c.still(func() bool { return c.overdue(now, limits) }) {
			c.unreadable(errSlow)
		}
		c.mu.Unlock()
	}
}

// retireAfterLastCalls ends a connection that has just become idle if the node already ends those: the sweep that did so may have
// found this one busy, and no later one may come before the node ends.
func (c *conn) retireAfterLastCalls() {
	if c.server.gate.Policy().CloseIdle {
		go c.retire(false, 0)
	}
}

// retire ends the connection if it still carries nothing, for so many milliseconds, or has its last answer. A request that the machine
// has taken and the handler not yet seen would be lost with it. Where it makes room for another it is closed at once; there a request
// that is still behind is refused first: nothing of it has gone on.
func (c *conn) retire(room bool, rest float64) {
	now, limits := c.server.clock.Now(), c.server.limits.Load()
	c.mu.Lock()
	resting := func() bool { return c.resting(now, rest) }
	free := c.ended || !c.busy && c.parser.Idle() && c.still(resting) && c.net.ShutdownIfIdle()
	if room && !free && !c.busy && c.still(func() bool { return c.behind(now, limits) >= 0 }) && c.net.IsDrained() {
		c.last(c.parser.Head(), text(503, "", core.ReasonBusy)) // which it may go on sending over
	}
	c.ended = c.ended || free
	c.mu.Unlock()
	switch {
	case free && room && c.net.Backlog() == 0:
		c.net.Close()
		return
	case free:
		c.end()
		return
	}
	c.server.mu.Lock()
	if c.retired {
		c.retired = false
		c.server.retired--
	}
	c.server.mu.Unlock()
}
