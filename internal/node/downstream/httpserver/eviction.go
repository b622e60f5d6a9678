package httpserver

import (
	"math"

	"linenwheel.dev/linenwheel/internal/node/core"
)

// EvictOne closes one connection for clients that wait to be accepted because the limit is reached.
func (s *Server) EvictOne() {
	s.mu.Lock()
	evicted := s.evictionCandidate(s.clock.Now())
	if evicted != nil {
		evicted.retired = true
		s.retired++
	}
	s.mu.Unlock()
	if evicted != nil {
		evicted.retire(true, 0)
	}
}

// evictionCandidate returns the connection that is best closed for another one, nil if there is none: one that has
// its last response, otherwise one that has sent nothing, otherwise an idle one, and of these the one that has
// been so for longest. Those that were accepted just now, and those that may be about to send another request, are
// spared as long as there are others. The last choice is the connection whose request is furthest behind the
// accepted rate. The caller holds the server's lock.
func (s *Server) evictionCandidate(now float64) *conn {
	limits := s.limits.Load()
	rank := func(c *conn) float64 {
		switch age := now - c.since; {
		case c.retired:
			return 0
		case c.state == stateClosing && c.net.Backlog() > 0: // closing it would truncate its response
			return 0
		case c.state == stateClosing:
			return 4e12 + age
		case c.state == stateNew && age >= limits.Settle:
			return 3e12 + age
		case c.state == stateIdle && age >= limits.Idle:
			return 2e12 + age
		case c.state == stateNew || c.state == stateIdle:
			return 1e12 + age
		}
		return max(0, c.lateBy(now, limits))
	}
	var evicted *conn
	best := 0.0
	for c := range s.conns {
		if r := rank(c); r > best {
			evicted, best = c, r
		}
	}
	return evicted
}

// lateBy returns by how many milliseconds a request that has begun is later than one whose client sends the head
// at once and the body at the slowest accepted rate. It returns a negative value if no request is being read or it
// is late by less than Limits.Settle. The caller holds the server's lock.
func (c *conn) lateBy(now float64, limits *Limits) float64 {
	late := now - c.since - c.allowance
	if c.state != stateReading || late < limits.Settle {
		return -1
	}
	return late
}

// overdue reports whether a request that has begun should be complete by now. The caller holds the server's lock.
func (c *conn) overdue(now float64, limits *Limits) bool {
	return c.state == stateReading && (now-c.since >= limits.Read+c.allowance || !c.requested && now-c.accepted >= limits.First+c.allowance)
}

// idleFor reports whether the connection has carried no request for limit milliseconds. The caller holds the
// server's lock.
func (c *conn) idleFor(now, limit float64) bool {
	return (c.state == stateNew || c.state == stateIdle) && now-c.since >= limit
}

// locked evaluates a condition of a connection once more under the server's lock: since all connections were checked,
// a request may have been received and handled on this one.
func (c *conn) locked(condition func() bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return condition()
}

// Sweep closes the connections that have carried no request for Limits.Idle, and ends those whose request is not
// complete in time. It must be called often. While the node stops, idle connections stay open, since their clients
// could not replace them, until no request can be answered on them any more.
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
		case c.idleFor(now, limit):
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
		if !c.ended && !c.busy && !c.parser.Idle() && c.locked(func() bool { return c.overdue(now, limits) }) {
			c.rejectUnreadable(errRequestTimeout)
		}
		c.mu.Unlock()
	}
}

// closeIfStopping closes a connection that has just become idle if the node already closes idle connections: the
// sweep that did so may have found this one busy, and the node may end before the next sweep.
func (c *conn) closeIfStopping() {
	if c.server.gate.Policy().CloseIdle {
		go c.retire(false, 0)
	}
}

// retire closes the connection if it has carried no request for minIdle milliseconds or has its last response. It
// stays open if the kernel has received bytes that the handler has not had, since a request would be lost with it.
// If it is evicted for another connection, it is closed at once, and a request that is still late is refused
// first; no part of that request has been forwarded.
func (c *conn) retire(evict bool, minIdle float64) {
	now, limits := c.server.clock.Now(), c.server.limits.Load()
	c.mu.Lock()
	idle := func() bool { return c.idleFor(now, minIdle) }
	free := c.ended || !c.busy && c.parser.Idle() && c.locked(idle) && c.net.ShutdownIfIdle()
	if evict && !free && !c.busy && c.locked(func() bool { return c.lateBy(now, limits) >= 0 }) && c.net.IsDrained() {
		c.writeLast(c.parser.Head(), textReply(503, "", core.ReasonBusy)) // the client may still be sending
	}
	c.ended = c.ended || free
	c.mu.Unlock()
	switch {
	case free && evict && c.net.Backlog() == 0:
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
