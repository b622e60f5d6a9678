// Package agents puts discovery on sockets: an agent for each node, which answers its calls for the list and its watches
// with what the day's discovery has told it so far, and can be silent, break off, or move to another address.
package agents

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/live/link"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// All is the discovery of a day with the agents of all nodes.
type All struct {
	stage *stage.Stage
	sink  *stage.Sink
	addr  func(node, rater int) string

	mu      sync.Mutex
	model   *world.Discovery
	service *world.Service // where the list must be asked for: all agents take it from there
	timer   *time.Timer
	closed  bool
	agents  []*agent
}

// agent is that of one node.
type agent struct {
	all  *All
	node int

	// Guarded by All.mu.
	told uint64        // version up to which the node's process has been told, or counts as told
	had  uint64        // and the one that was last sent to the node, whichever of its processes
	news chan struct{} // closed when there may be something new to say
	door *door
	base string
	rest float64 // nothing counts as told unwritten before this time: the agent has just moved
}

// door is an address of an agent. One that has moved has a new door and, for a moment, the old one.
type door struct {
	listener *link.Listener
	mu       sync.Mutex
	open     map[*link.Conn]struct{}
}

const (
	mostWait   = 60e3 // of a watch, ms
	movedRest  = 1500 * time.Millisecond
	movedGrace = 4000 // after a move what is to be told counts as told, ms
	gapGrace   = 200  // between two calls of a watch, ms: what the agent has then counts as told
	wholeAfter = 8    // changes that a node has missed: the whole list says it more briefly
	wholeEvery = 7    // and each so manieth version comes as a whole list, as an agent may choose
)

// Listen starts an agent for each node. ip gives each its address, addr that of a rater as a node reaches it.
func Listen(st *stage.Stage, ip func(node int) string, addr func(node, rater int) string) (*All, error) {
	d := &All{stage: st, sink: st.Sink(), addr: addr, model: world.NewDiscovery(st.Day)}
	if list := st.Day.List; list.Lines > 0 {
		d.service = &list
	}
	d.timer = time.AfterFunc(time.Hour, d.advance)
	for node := range st.Day.Nodes {
		a := &agent{all: d, node: node, news: make(chan struct{}), base: ip(node), had: d.model.Has(node)}
		d.agents = append(d.agents, a)
		if err := a.listen(); err != nil {
			d.Close()
			return nil, fmt.Errorf("discovery for node %d: %w", node, err)
		}
	}
	return d, nil
}

func (a *agent) listen() error {
	o := &door{open: map[*link.Conn]struct{}{}}
	l, err := link.Listen(a.base, func(raw net.Conn) { a.accept(o, raw) })
	if err != nil {
		return err
	}
	o.listener = l
	a.all.mu.Lock()
	a.door = o
	a.all.mu.Unlock()
	return nil
}

// Address is where a node finds its agent now.
func (d *All) Address(node int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[node].door.listener.Addr()
}

// Move gives every agent another address. The old one takes no new connection, and closes those it has a moment later.
func (d *All) Move() error {
	for _, a := range d.agents {
		d.mu.Lock()
		old := a.door
		a.rest = d.stage.Clock.Now() + movedGrace
		d.mu.Unlock()
		if err := a.listen(); err != nil {
			return err
		}
		old.listener.Refuse()
		time.AfterFunc(movedRest, old.close)
	}
	return nil
}

func (o *door) close() {
	o.listener.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.open {
		_ = c.Close()
	}
}

// Close ends all agents.
func (d *All) Close() {
	d.mu.Lock()
	d.closed = true
	d.timer.Stop()
	d.mu.Unlock()
	for _, a := range d.agents {
		if a.door != nil {
			a.door.close()
		}
	}
}

// Begin follows the day's clock from now on.
func (d *All) Begin() {
	for _, a := range d.agents {
		for _, o := range d.stage.Net.Outages(world.Party{Kind: world.DiscoveryParty}, nodeParty(a.node)) {
			time.AfterFunc(d.stage.Clock.Until(o.From), func() { d.silence(a, true) })
			time.AfterFunc(d.stage.Clock.Until(o.To), func() { d.silence(a, false) })
		}
	}
	d.advance()
}

func (d *All) silence(a *agent, on bool) {
	d.mu.Lock()
	l := a.door.listener
	d.mu.Unlock()
	do := l.Accept
	if on {
		do = l.Silence
	}
	err := do()
	if err != nil {
		d.stage.Fault("discovery's address for node %d: %v", a.node, err)
	}
}

// Step carries out a step of the plan that discovery hears of.
func (d *All) Step(s world.Step) {
	d.mu.Lock()
	now := d.stage.Clock.Now()
	switch s.Do {
	case world.CutDiscovery:
		d.model.Cut(s.Node)
	case world.MendDiscovery:
		d.model.Mend(now, s.Node)
	default:
		s.At = now
		world.Announce(d.model, s)
	}
	for _, a := range d.agents {
		a.poke()
	}
	d.mu.Unlock()
	d.advance()
}

// Started says that a node's process is new: it has been told nothing.
func (d *All) Started(node int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[node].told = 0
}

func (a *agent) poke() {
	close(a.news)
	a.news = make(chan struct{})
}

// advance lets the agents hear what is due.
func (d *All) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.model.Advance(d.stage.Clock.Now(), func(c world.Change) {
		a := d.agents[c.Node]
		if c.Counts {
			d.tell(a, c.At, c.Upto, true)
			return
		}
		a.poke()
		d.count(a, c)
	})
	if next := d.model.Next(); !math.IsInf(next, 0) {
		d.timer.Reset(max(0, d.stage.Clock.Until(next)))
	}
}

// count sees to it that what an agent has counts as told some time later, written or not.
func (d *All) count(a *agent, c world.Change) {
	at := max(c.At+gapGrace, a.rest)
	for i := range d.stage.Day.Troubles {
		if t := &d.stage.Day.Troubles[i]; t.Kind == world.DiscoveryHalf && c.At < t.To && c.At >= t.From {
			at = max(at, c.At+d.stage.Day.Lateness.CountsAfter)
		}
	}
	time.AfterFunc(d.stage.Clock.Until(at), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.tell(a, at, c.Upto, true)
	})
}

// tell writes down that a node has been told up to a version, or counts as told; nothing any more once all are closed.
func (d *All) tell(a *agent, at float64, upto uint64, counts bool) {
	if !counts {
		a.had = upto
	}
	if upto <= a.told || d.closed {
		return
	}
	for _, e := range d.model.Since(a.told, upto) {
		out := record.Event{At: at, Kind: record.Told, Node: int16(a.node), Rater: int16(e.Rater), How: uint8(e.State),
			Value: math.Float64bits(e.Since)}
		if counts {
			out.Extra = 1
		}
		d.sink.Add(out)
	}
	a.told = upto
}

func nodeParty(n int) world.Party { return world.Party{Kind: world.NodeParty, Number: n} }

// accept answers the calls of one connection, one after the other.
func (a *agent) accept(o *door, raw net.Conn) {
	d := a.all
	c := d.stage.Net.Link(world.Party{Kind: world.DiscoveryParty}, nodeParty(a.node)).Wrap(raw)
	defer func() { _ = c.Close() }()
	o.mu.Lock()
	o.open[c] = struct{}{}
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.open, c)
		o.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var last uint64 // version that was sent on it
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		gone := make(chan struct{}) // closed when the node says more or leaves
		go func() {
			_, _ = in.Peek(1)
			close(gone)
		}()
		if !a.answer(c, req, gone, &last) {
			return
		}
		<-gone
	}
}

// turn has a call wait for its turn at the service that has the list; false if it waited there too long, or its node left. A call
// that goes on from what was sent on its connection is part of an open watch and costs nothing.
func (a *agent) turn(from, last uint64, gone <-chan struct{}) bool {
	d := a.all
	d.mu.Lock()
	if d.service == nil || last > 0 && from == last {
		d.mu.Unlock()
		return true
	}
	lines := d.model.Has(a.node)
	if lines -= min(from, lines); from == 0 {
		lines = uint64(len(d.model.List(nil, lines)))
	}
	at, answered := d.service.Ask(d.stage.Clock.Now(), float64(lines))
	d.mu.Unlock()
	over := time.NewTimer(d.stage.Clock.Until(at))
	defer over.Stop()
	select {
	case <-over.C:
		return answered
	case <-gone:
		return false
	}
}

// answer answers one call; false if the connection must end. last is the version that was sent on the connection before.
func (a *agent) answer(c *link.Conn, req *http.Request, gone <-chan struct{}, last *uint64) bool {
	query, err := url.ParseQuery(req.URL.RawQuery)
	if err != nil || req.URL.Path != "/discovery/hosts" || req.Method != http.MethodGet {
		_, err := c.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	from, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := strconv.ParseFloat(query.Get("wait"), 64)
	if wait = min(wait, mostWait); !query.Has("index") {
		wait = 0
	}
	if !a.turn(from, *last, gone) {
		_, err := c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	over := time.NewTimer(time.Duration(wait * 1e6))
	defer over.Stop()
	for {
		d := a.all
		d.mu.Lock()
		has, reached, news := d.model.Has(a.node), d.model.Reached(a.node), a.news
		var text []byte
		if reached && (wait <= 0 || from != has) {
			text = a.text(from, has)
			if !d.half() {
				// Told before it is written: a node that is quick must not seem to know it early.
				d.tell(a, d.stage.Clock.Now(), has, false)
			} else {
				text = text[:len(text)/2]
				d.mu.Unlock()
				_, _ = c.Write(text)
				return false
			}
		}
		d.mu.Unlock()
		if text != nil {
			*last = has
			_, err := c.Write(text)
			return err == nil
		}
		select {
		case <-news:
		case <-over.C:
			wait = 0
		case <-gone:
			return false
		}
	}
}

// half tells whether this answer breaks off.
func (d *All) half() bool {
	now := d.stage.Clock.Now()
	for i := range d.stage.Day.Troubles {
		t := &d.stage.Day.Troubles[i]
		if t.Kind == world.DiscoveryHalf && now >= t.From && now < t.To && rand.Float64() < t.Share {
			return true
		}
	}
	return false
}

// List is the form of the list, whole or in part.
type List struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one line of it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

var states = [...]string{world.Ready: "Ready", world.Terminating: "Terminating", world.Gone: "Gone"}

// Known is the whole list as a node last had it: what its agent has, or, where the list must be asked for, what was last sent to it.
func (d *All) Known(node int) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.service != nil {
		return d.whole(node, d.agents[node].had)
	}
	return d.whole(node, d.model.Has(node))
}

func (d *All) whole(node int, upto uint64) List {
	l := List{Index: upto, Snapshot: true, Endpoints: []Endpoint{}}
	for _, e := range d.model.List(nil, upto) {
		l.Endpoints = append(l.Endpoints, d.endpoint(node, e))
	}
	return l
}

func (d *All) endpoint(node int, e world.Entry) Endpoint {
	day := d.stage.Day
	r := &day.Raters[e.Rater]
	p := Endpoint{Name: r.Name, Address: d.addr(node, e.Rater), Zone: day.Site.Size.Zones[r.Zone],
		Type: day.Site.Kinds[r.Kind].Name, Group: r.Cell, Status: states[e.State], Weight: r.Weight}
	if e.Since > 0 {
		p.SinceMS = d.stage.Clock.Unix(e.Since)
	}
	return p
}

// text is the answer to a call: the whole list, or what has changed since a version.
func (a *agent) text(from, has uint64) []byte {
	d := a.all
	var l List
	if from == 0 || from > has || has-from > wholeAfter || has%wholeEvery == 0 {
		l = d.whole(a.node, has)
	} else {
		l = List{Index: has, Endpoints: []Endpoint{}}
		last := map[int]int{} // place of each rater in the list: only its latest change counts
		for _, e := range d.model.Since(from, has) {
			if at, ok := last[e.Rater]; ok {
				l.Endpoints[at] = d.endpoint(a.node, e)
				continue
			}
			last[e.Rater] = len(l.Endpoints)
			l.Endpoints = append(l.Endpoints, d.endpoint(a.node, e))
		}
	}
	body, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain structs: it cannot fail
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
}
