// Package raters puts the raters of a day on sockets: the machines of lab/world in real time behind an HTTP/1.1 server of
// their own, with the troubles of a real one. Every rater listens at an address of its own for each node, so that it is
// known which node a request came from.
package raters

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/lab/live/link"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// Fleet is all raters of a day.
type Fleet struct {
	stage *stage.Stage
	keys  world.Keys
	hosts []*host         // by number
	spots map[place]*spot // each address for each node

	mu      sync.Mutex
	closed  chan struct{}
	working sync.WaitGroup // on what may still be written down
}

type place struct{ node, address int }

// spot is one address as one node reaches it, whoever stands there.
type spot struct {
	place
	listener *link.Listener
	mu       sync.Mutex
	owner    *host // nil: nobody
}

func (s *spot) host() *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner
}

// lockedKeys is the book of keys with a lock.
type lockedKeys struct {
	mu   sync.Mutex
	keys world.Keys
}

func (k *lockedKeys) Begin(now float64, key uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys.Begin(now, key)
}

// Listen takes an address for each rater and node: those of network, a function that gives the IP address of a place.
// All refuse connections until their rater starts.
func Listen(st *stage.Stage, network func(node, address int) string) (*Fleet, error) {
	day := st.Day
	f := &Fleet{stage: st, keys: &lockedKeys{keys: world.NewKeys(day)}, spots: map[place]*spot{},
		closed: make(chan struct{})}
	for i := range day.Raters {
		f.hosts = append(f.hosts, newHost(f, &day.Raters[i]))
	}
	for i := range day.Raters {
		for node := range day.Nodes {
			at := place{node, day.Raters[i].Address}
			if f.spots[at] != nil {
				continue
			}
			s := &spot{place: at}
			var err error
			s.listener, err = link.Listen(network(node, at.address), func(c net.Conn) { f.accept(s, c) })
			if err != nil {
				f.Close()
				return nil, fmt.Errorf("address of rater %d for node %d: %w", i, node, err)
			}
			s.listener.Refuse()
			f.spots[at] = s
		}
	}
	return f, nil
}

// Address is where a node reaches a rater.
func (f *Fleet) Address(node, rater int) string {
	return f.spots[place{node, f.stage.Day.Raters[rater].Address}].listener.Addr()
}

// Close ends all raters. It returns when nothing more is written down.
func (f *Fleet) Close() {
	for _, s := range f.spots {
		s.listener.Close()
	}
	f.mu.Lock()
	if !f.ended() {
		close(f.closed)
	}
	f.mu.Unlock()
	for _, h := range f.hosts {
		h.close()
	}
	f.working.Wait()
}

// ended tells whether the raters have been closed.
func (f *Fleet) ended() bool {
	select {
	case <-f.closed:
		return true
	default:
		return false
	}
}

// work runs what may write something down, which Close then waits for, after a start that Close finds whole; nothing once
// the raters are closed.
func (f *Fleet) work(start, do func()) bool {
	f.mu.Lock()
	if f.ended() {
		f.mu.Unlock()
		return false
	}
	f.working.Add(1)
	start()
	f.mu.Unlock()
	defer f.working.Done()
	do()
	return true
}

// Step carries out a step of the plan that is about a rater.
func (f *Fleet) Step(s world.Step) {
	h := f.hosts[s.Rater]
	switch s.Do {
	case world.StartRater:
		f.each(h, func(node int, _ *spot) {
			l := f.link(h, node)
			l.Reset() // a machine that is back knows none of its old connections
			if h.muted {
				l.Mute(false)
			}
		})
		h.muted = false
		h.step(s)
		f.each(h, func(node int, sp *spot) {
			sp.mu.Lock()
			sp.owner = h
			sp.mu.Unlock()
			if err := sp.listener.Accept(); err != nil {
				f.stage.Fault("rater %d cannot listen for node %d: %v", s.Rater, node, err)
			}
			if f.stage.Net.Down(party(h), nodeParty(node)) {
				f.silence(sp)
			}
		})
	case world.EndRater:
		h.step(s)
		f.down(h)
	case world.HideRater:
		f.each(h, func(node int, sp *spot) {
			f.silence(sp)
			f.link(h, node).Mute(true)
		})
		h.muted = true
		h.step(s)
	default:
		h.step(s)
	}
}

// down is the end of a rater's process: what is open is reset, what is new refused.
func (f *Fleet) down(h *host) {
	f.each(h, func(node int, sp *spot) {
		sp.listener.Refuse()
		f.link(h, node).Reset()
	})
}

// each calls do for each address at which the rater stands, or would.
func (f *Fleet) each(h *host, do func(node int, sp *spot)) {
	for node := range f.stage.Day.Nodes {
		sp := f.spots[place{node, h.spec.Address}]
		if o := sp.host(); o == nil || o == h || !o.running() {
			do(node, sp)
		}
	}
}

func (f *Fleet) silence(sp *spot) {
	if err := sp.listener.Silence(); err != nil {
		f.stage.Fault("address %d cannot fall silent for node %d: %v", sp.address, sp.node, err)
	}
}

// Outages plans the times at which the network lets no new connection of a node come up. The day must have begun.
func (f *Fleet) Outages() {
	for _, h := range f.hosts {
		for node := range f.stage.Day.Nodes {
			for _, o := range f.stage.Net.Outages(party(h), nodeParty(node)) {
				sp := f.spots[place{node, h.spec.Address}]
				mine := func() bool { return sp.host() == h && h.running() && !h.hidden() }
				time.AfterFunc(f.stage.Clock.Until(o.From), func() {
					if mine() {
						f.silence(sp)
					}
				})
				time.AfterFunc(f.stage.Clock.Until(o.To), func() {
					if mine() && !f.stage.Net.Down(party(h), nodeParty(node)) {
						if err := sp.listener.Accept(); err != nil {
							f.stage.Fault("rater %d cannot listen again: %v", h.spec.Number, err)
						}
					}
				})
			}
		}
	}
}

func party(h *host) world.Party { return world.Party{Kind: world.RaterParty, Number: h.spec.Number} }

func nodeParty(n int) world.Party { return world.Party{Kind: world.NodeParty, Number: n} }

func (f *Fleet) link(h *host, node int) *link.Link {
	return f.stage.Net.Link(party(h), nodeParty(node))
}

func (f *Fleet) accept(s *spot, raw net.Conn) {
	h := s.host()
	if h == nil {
		_ = raw.Close()
		return
	}
	var c *link.Conn
	// A connection that is served is one that Close resets.
	if !f.work(func() { c = f.link(h, s.node).Wrap(raw) }, func() { h.serve(c, s.node) }) {
		_ = raw.Close()
	}
}

// host is one rater: its machine, its timer, and the attempts that wait for an answer.
type host struct {
	fleet *Fleet
	spec  *world.RaterSpec
	sink  *stage.Sink
	muted bool // of Fleet.Step alone

	mu     sync.Mutex
	model  *world.Rater
	timer  *time.Timer
	closed bool
	life   int                 // which process of it runs, counted
	ended  atomic.Int64        // the life of the last process that ended and reset its connections
	open   map[uint64]*attempt // by tag
	events []world.Event       // emitted since they were last taken
	shared float64             // when its share was last written down
}

// shareEvery is how often the share of a cold rater is written down, ms.
const shareEvery = 200

func newHost(f *Fleet, spec *world.RaterSpec) *host {
	h := &host{fleet: f, spec: spec, sink: f.stage.Sink(), open: map[uint64]*attempt{}}
	h.model = world.NewRater(spec, f.keys, func(e world.Event) { h.events = append(h.events, e) })
	h.timer = time.AfterFunc(time.Hour, func() { h.do(func(float64) {}) })
	return h
}

func (h *host) now() float64 { return h.fleet.stage.Clock.Now() }

func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model.Mode() == world.Up || h.model.Mode() == world.DrainingMode
}

func (h *host) hidden() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model.Mode() == world.Hidden
}

// do calls the machine, acts on what it says, and sets the timer for the next time.
func (h *host) do(call func(now float64)) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	now := h.now()
	h.model.Advance(now)
	call(now)
	next := h.model.Next()
	if h.model.Mode() <= world.DrainingMode && h.model.Share() < 1 {
		if now-h.shared >= shareEvery {
			h.shared = now
			h.note(record.Event{At: now, Kind: record.RaterShare, Extra: millionths(h.model.Share())})
		}
		next = min(next, h.shared+shareEvery)
	}
	if next < 1e12 {
		h.timer.Reset(h.fleet.stage.Clock.Until(next))
	}
	events := h.events
	h.events = nil
	fell := false
	var ends []func()
	for _, e := range events {
		switch e.What {
		case world.Warm:
			h.note(record.Event{At: e.At, Kind: record.RaterWarm})
			continue
		case world.Fell:
			h.note(record.Event{At: e.At, Kind: record.RaterDown, How: 1})
			fell = true
			continue
		}
		if a := h.open[e.Tag]; a != nil {
			if e.What != world.Began {
				delete(h.open, e.Tag)
			}
			if end := a.happened(e); end != nil {
				ends = append(ends, end)
			}
		}
	}
	if fell {
		h.ended.Store(int64(h.life))
		h.lose(now, record.CutByRater)
	}
	h.fleet.working.Add(len(ends)) // before the host can be closed
	h.mu.Unlock()
	if fell {
		h.fleet.down(h)
	}
	for _, end := range ends {
		go func() {
			defer h.fleet.working.Done()
			end()
		}()
	}
}

// lose drops all attempts: the process has ended.
func (h *host) lose(now float64, why uint8) {
	for tag, a := range h.open {
		delete(h.open, tag)
		a.cut(now, why)
	}
}

func (h *host) note(e record.Event) {
	e.Node, e.Rater = record.None, int16(h.spec.Number)
	h.sink.Add(e)
}

func millionths(share float64) uint64 { return uint64(share*1e6 + 0.5) }

func (h *host) step(s world.Step) {
	h.do(func(now float64) {
		h.model.Do(now, s)
		if s.Do == world.EndRater {
			h.ended.Store(int64(h.life))
		}
		if s.Do == world.StartRater || s.Do == world.EndRater || s.Do == world.HideRater {
			h.life++
		}
		e := record.Event{At: now}
		switch s.Do {
		case world.StartRater:
			e.Kind, e.Work, e.Extra = record.RaterUp, float32(h.spec.Capacity()), millionths(s.Size)
			h.shared = now
			h.lose(now, record.CutByNetwork)
		case world.DrainRater:
			e.Kind = record.RaterDraining
		case world.EndRater:
			e.Kind = record.RaterDown
			h.lose(now, record.CutByRater)
		case world.HideRater:
			e.Kind = record.RaterHidden
		default:
			return
		}
		h.note(e)
	})
}

func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.timer.Stop()
	h.mu.Unlock()
	for node := range h.fleet.stage.Day.Nodes {
		h.fleet.link(h, node).Reset()
	}
}
