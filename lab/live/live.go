// Package live plays a day of lab/world on loopback sockets in real time: raters, discovery's agents, the front layer and
// clients stand round nodes that run as child processes and speak the platform's protocol. What each party saw is written
// down; the referee judges it.
package live

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/live/agents"
	"linenwheel.dev/linenwheel/lab/live/clients"
	"linenwheel.dev/linenwheel/lab/live/link"
	"linenwheel.dev/linenwheel/lab/live/nodes"
	"linenwheel.dev/linenwheel/lab/live/raters"
	"linenwheel.dev/linenwheel/lab/live/rude"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
)

// Options say how a day is played.
type Options struct {
	Nodes nodes.Options
	Tick  func(now float64, p clients.Progress) // called each second, if set
}

// Outcome is what came of a day.
type Outcome struct {
	Day      *world.Day
	Began    time.Time
	Lateness clients.Lateness
	Faults   []string // what the lab itself failed at: the run is void
	Behind   string   // how the lab itself fell behind, if it did: its times are in doubt
	Logs     []string // of the nodes
	stage    *stage.Stage
}

// Events calls f for all that the parties saw, in order of time.
func (o *Outcome) Events(f func(record.Event)) { o.stage.Events(f) }

const (
	readyWithin = 30 * time.Second
	restFor     = 500 * time.Millisecond // after the last request is settled, for what raters have left
	// A run is void if more than this share of its sends went out more than 10 ms late.
	mostLate = 0.01
	// lateStep is by how much, ms, a step of the plan may be late before that is written down.
	lateStep = 20
)

// Play plays a day until its last request is settled, or ctx ends.
//
//nolint:funlen // what a day needs, set up in order and taken down
func Play(ctx context.Context, day *world.Day, o Options) (*Outcome, error) {
	st := stage.New(day)
	ip, err := newNetwork(day)
	if err != nil {
		return nil, err
	}
	defer ip.release()
	fleet, err := raters.Listen(st, ip.rater)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	discovery, err := agents.Listen(st, ip.agent, fleet.Address)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	var addresses []string
	for n := range day.Nodes {
		a, err := link.Free(ip.node(n))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	rest := 0
	for ; rest < len(day.Plan) && day.Plan[rest].At <= 0; rest++ {
		if s := day.Plan[rest]; s.Rater >= 0 {
			fleet.Step(s)
		}
	}
	front := clients.NewFront(st, addresses)
	if err := os.MkdirAll(o.Nodes.Dir, 0o755); err != nil {
		return nil, err
	}
	all, err := nodes.Start(st, front, discovery, o.Nodes)
	if err != nil {
		return nil, err
	}
	defer all.Close()
	if err := all.Ready(readyWithin); err != nil {
		return nil, err
	}
	usual, impolite := clients.New(st, front), rude.New(st, front)

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	st.Clock.Begin()
	out := &Outcome{Day: day, Began: time.Now(), Logs: all.Logs(), stage: st}
	var side sync.WaitGroup
	discovery.Begin()
	fleet.Outages()
	p := &plan{st: st, fleet: fleet, discovery: discovery, nodes: all, sink: st.Sink()}
	side.Go(func() { p.walk(ctx, day.Plan[rest:]) })
	for i := range day.Troubles {
		t := &day.Troubles[i]
		side.Go(func() { p.note(ctx, i, t) })
		if t.Kind == world.Rude {
			side.Go(func() {
				if sleep(ctx, st, t.From) {
					impolite.Run(t, ctx.Done())
				}
			})
		}
	}
	if o.Tick != nil {
		side.Go(func() { tick(ctx, st, usual, o.Tick) })
	}
	usual.Run(ctx.Done())
	stopped := ctx.Err()
	if stopped == nil {
		time.Sleep(restFor)
	}
	stop()
	side.Wait()
	all.Close()
	fleet.Close()
	discovery.Close()
	out.Lateness, out.Faults = usual.Progress().Lateness, st.Faults()
	if l := out.Lateness; float64(l.Over10) > mostLate*float64(l.Sends) {
		out.Behind = fmt.Sprintf("the lab itself was late: %d of %d requests went out more than 10 ms late, %.0f ms at most",
			l.Over10, l.Sends, l.Most)
	}
	return out, stopped
}

// plan carries out the day's steps.
type plan struct {
	st        *stage.Stage
	fleet     *raters.Fleet
	discovery *agents.All
	nodes     *nodes.All
	sink      *stage.Sink
}

func sleep(ctx context.Context, st *stage.Stage, at float64) bool {
	t := time.NewTimer(st.Clock.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *plan) walk(ctx context.Context, steps []world.Step) {
	for _, s := range steps {
		if !sleep(ctx, p.st, s.At) {
			return
		}
		if late := p.st.Clock.Now() - s.At; late > lateStep {
			p.sink.Add(record.Event{At: p.st.Clock.Now(), Kind: record.LabLate, Work: float32(late), Node: record.None,
				Rater: record.None})
		}
		p.step(s)
	}
}

func (p *plan) step(s world.Step) {
	switch {
	case s.Rater >= 0:
		p.fleet.Step(s)
		p.discovery.Step(s)
	case s.Do == world.CutDiscovery || s.Do == world.MendDiscovery:
		p.discovery.Step(s)
	case s.Do == world.MoveDiscovery:
		if err := p.discovery.Move(); err != nil {
			p.st.Fault("move of discovery: %v", err)
		}
		p.nodes.Step(s)
	default:
		p.nodes.Step(s)
	}
}

// note writes down when a trouble begins and ends.
func (p *plan) note(ctx context.Context, number int, t *world.Trouble) {
	e := record.Event{Kind: record.TroubleFrom, Extra: uint64(number), Node: record.None, Rater: record.None}
	if e.At = t.From; !sleep(ctx, p.st, t.From) {
		return
	}
	p.sink.Add(e)
	if t.To < p.st.Day.Length*2 && sleep(ctx, p.st, t.To) {
		e.At, e.Kind = t.To, record.TroubleUntil
		p.sink.Add(e)
	}
}

func tick(ctx context.Context, st *stage.Stage, c *clients.Clients, f func(float64, clients.Progress)) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			f(st.Clock.Now(), c.Progress())
		case <-ctx.Done():
			return
		}
	}
}

// network deals out loopback addresses, a hundred thousand of its own for each day that is played on the machine.
type network struct {
	own     int
	release func()
}

// Octets of an address: 127, the lab's own, then these.
const (
	nodesThird  = 0
	agentsThird = 1
	ratersThird = 8 // and up: eight blocks of 256 a node
	blocks      = 8
	mostNodes   = (256 - ratersThird) / blocks
)

func newNetwork(day *world.Day) (network, error) {
	if day.Nodes > mostNodes {
		return network{}, fmt.Errorf("the live lab has addresses for %d nodes, not for %d", mostNodes, day.Nodes)
	}
	if len(day.Raters) > blocks*256 {
		return network{}, fmt.Errorf("the live lab has addresses for %d raters, not for %d", blocks*256, len(day.Raters))
	}
	const many = 250
	for i := range many {
		own := 2 + (os.Getpid()+i)%many
		// A name in the kernel's own space says that the addresses are taken; it is gone with this process at the latest.
		if l, err := net.Listen("unix", fmt.Sprintf("@linenwheel-lab-%d", own)); err == nil {
			return network{own, func() { _ = l.Close() }}, nil
		}
	}
	return network{}, fmt.Errorf("%d days are being played on this machine: no addresses are left", many)
}

func (n network) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.own, third, fourth)
}

func (n network) node(i int) string  { return n.ip(nodesThird, i+1) }
func (n network) agent(i int) string { return n.ip(agentsThird, i+1) }
func (n network) rater(node, address int) string {
	return n.ip(ratersThird+node*blocks+address/256, address%256)
}

// Judge gives the referee's judgement of the day.
func (o *Outcome) Judge() (*referee.Judgement, error) {
	r := referee.New(o.Day)
	o.Events(r.Take)
	return r.Finish()
}
