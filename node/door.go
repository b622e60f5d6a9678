package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/admin"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/drain"
	"linenwheel.dev/linenwheel/internal/node/endpoints/cordon"
	"linenwheel.dev/linenwheel/internal/node/options"
)

// ratersEvery is the time in milliseconds between two counts of the raters for the figures.
const ratersEvery = 200

// Order is what operators tell a node to do.
type Order struct {
	Do    string `json:"do"` // one of the words below
	Rater string `json:"rater,omitempty"`
}

// The orders.
const (
	Suspend  = "suspend"
	Resume   = "resume"
	Drain    = "drain"
	Activate = "activate"
)

// orders is what operators have told the node.
type orders struct {
	mu   sync.Mutex // of the book, and orders what the module is told of the list
	book cordon.Book
	// pass has the node's other process obey too, while there is one; nil = there is none.
	pass func(Order) error
}

// drainTimes are those of a drain. The front learns of it with its next question and sends no new connections soon after; by
// the platform's drain_over no connection may be idle, or carry a request that came in the last drain_quiet.
func drainTimes(o *Options) drain.Times {
	p := &o.Platform
	refuse := max(0, p.DrainOver.Ms-p.DrainQuiet.Ms-o.North.HTTP.SweepEvery.Ms)
	return drain.Times{EndAnswered: refuse / 2, EndIdle: refuse * 3 / 4, Refuse: refuse}
}

// open opens the operators' door, where the platform names one.
func (n *Node) open() error {
	if n.conf.Control == "" {
		return nil
	}
	var err error
	if n.door, err = admin.Open(n.conf.Control, operators{n}); err != nil {
		return n.conf.Fault("control", err)
	}
	return nil
}

// shut closes it.
func (n *Node) shut() {
	if n.door != nil {
		n.door.Close()
	}
}

// Door is where operators call, empty if nowhere.
func (n *Node) Door() string {
	if n.door == nil {
		return ""
	}
	return n.door.Address()
}

// PassOrders has another process of the node obey what operators tell this one, before they get their yes; nil = there is none.
func (n *Node) PassOrders(f func(Order) error) {
	n.orders.mu.Lock()
	n.orders.pass = f
	n.orders.mu.Unlock()
}

// inventory takes news of the list: the module sees it without the raters that are out by hand.
func (n *Node) inventory(from dispatch.ListKind, list []dispatch.Host) {
	n.orders.mu.Lock()
	n.tell(from, n.orders.book.Take(from, list))
	n.orders.mu.Unlock()
	n.countRaters()
}

// Obey carries an order out here, whoever gave it. When it returns the order is in force.
func (n *Node) Obey(o Order) error {
	switch o.Do {
	case Drain:
		n.gate.Drain()
		n.log.Info("the node is drained: clients are sent away")
		return nil
	case Activate:
		n.gate.Activate()
		n.log.Info("the node takes clients again")
		return nil
	case Suspend, Resume:
	default:
		return fmt.Errorf("there is no order %q", o.Do)
	}
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	was := n.orders.book.Out(o.Rater)
	change, err := n.orders.book.Resume, error(nil)
	if o.Do == Suspend {
		change = func(_ float64, rater string) ([]dispatch.Host, error) { return n.orders.book.Suspend(rater) }
	}
	changed, err := change(n.clock.Now(), o.Rater)
	if errors.Is(err, cordon.ErrUnknown) {
		return fmt.Errorf("%w: %q", admin.ErrUnknown, o.Rater)
	}
	if err != nil {
		return err
	}
	if len(changed) > 0 {
		n.tell(dispatch.Delta, changed)
	}
	if was == n.orders.book.Out(o.Rater) {
		return nil // it was told before
	}
	if o.Do == Suspend {
		n.log.Info("a rater is out by hand", "host", o.Rater)
	} else {
		n.log.Info("a rater is back by hand", "host", o.Rater)
	}
	return nil
}

// leaveOut has just these raters out by the options, which may be the fleet's policy.
func (n *Node) leaveOut(names []string) {
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	if changed := n.orders.book.Fleet(n.clock.Now(), names); len(changed) > 0 {
		n.tell(dispatch.Delta, changed)
		n.log.Info("raters are out or back by the options", "out", len(names))
	}
}

// order carries an order out here and in the node's other process, if there is one, and has it agreed with the fleet, if there is
// one: then it is in force again on a machine that takes this one's place.
func (n *Node) order(o Order) error {
	if n.peers != nil {
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
	}
	if err := n.Obey(o); err != nil {
		return err
	}
	n.countRaters()
	n.orders.mu.Lock()
	pass := n.orders.pass
	n.orders.mu.Unlock()
	if pass != nil {
		if err := pass(o); err != nil {
			n.log.Warn("the node's other process does not obey an order", "order", o.Do, "error", err)
			return fmt.Errorf("in force in this process, but not in the node's other one: %w", err)
		}
	}
	if n.peers == nil {
		return nil
	}
	if err := n.peers.hold(n.conf.Name, o); err != nil {
		n.log.Warn("an order is not agreed with the fleet", "order", o.Do, "error", err)
		return fmt.Errorf("in force in this process, but not held by the fleet: it ends with this machine: %w", err)
	}
	return nil
}

// countRaters sets the figures of the list.
func (n *Node) countRaters() {
	if n.door == nil {
		return
	}
	excluded := 0
	count := func(p *dispatch.Dispatcher) {
		for _, h := range p.View().Hosts {
			if n.orders.book.Out(h.Name) || h.Status == dispatch.Ready && h.Module.Ejected {
				excluded++
			}
		}
	}
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	count(n.pilot)
	if n.thrift != nil && n.thrift.pilot != n.pilot {
		count(n.thrift.pilot)
	}
	n.figures.SetBackends(n.orders.book.Listed(), excluded)
}

// operators is the node as its door sees it.
type operators struct{ n *Node }

var _ admin.Node = operators{}

// Readyz tells whether this process could serve: a drained one could.
func (o operators) Readyz() error {
	if phase := o.n.phaseNow(); phase != phaseServing {
		return errors.New(phase)
	}
	return nil
}

// Metrics gives the figures.
func (o operators) Metrics() ([]byte, error) { return json.Marshal(o.n.figures.Snapshot()) }

// Knowledge gives what a node that starts anew may have.
func (o operators) Knowledge() ([]byte, error) { return o.n.lesson() }

// Suspend leaves a rater out.
func (o operators) Suspend(rater string) error { return o.n.order(Order{Do: Suspend, Rater: rater}) }

// Resume lets it serve again.
func (o operators) Resume(rater string) error { return o.n.order(Order{Do: Resume, Rater: rater}) }

// Drain sends clients away.
func (o operators) Drain() error { return o.n.order(Order{Do: Drain}) }

// Activate takes clients again.
func (o operators) Activate() error { return o.n.order(Order{Do: Activate}) }

func classNames(conf *Config) (names []string) {
	for _, c := range conf.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

// recallOrders takes what operators had ordered another process of the node, in place of what they have here.
func (n *Node) recallOrders(k Knowledge) {
	if k.Drained == nil {
		n.gate.Activate()
	} else {
		n.gate.DrainedSince(*k.Drained)
	}
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	if changed := n.orders.book.Recall(k.Bans); len(changed) > 0 {
		n.tell(dispatch.Delta, changed)
	}
}

// Confine has the node keep to a part of its configuration's limits: so many descriptors, and a part of the memory. It may be
// told at any time; what is above goes as it ends.
func (n *Node) Confine(sockets int, memory float64) {
	o, conf := n.opts.Load(), *n.conf
	conf.Sockets = min(max(sockets, leastSockets), n.conf.Sockets)
	room := o.Room(&conf)
	requests := n.mostCalls(room)
	n.pool.Resize(room.Hosts)
	n.core.SetMaxCalls(requests)
	n.north.Resize(room.Clients, room.Crowded)
	n.loop.Resize(room.Clients + room.Spare)
	conf.MemoryMB *= memory
	SetLimits(&conf, o)
	n.budget.Resize(bodiesBudget(&conf, o))
	if memory < 1 {
		debug.FreeOSMemory() // the other process needs it now
	}
}

// leastSockets is the least that a node can work with at all.
const leastSockets = 64

// Held is how many descriptors the node holds, with those that it keeps back.
func (n *Node) Held() int {
	held := n.opts.Load().Service.Reserve + n.loop.Open() + n.pool.Open()
	if n.door != nil {
		held += admin.Descriptors
	}
	return held
}

// mostCalls is how many calls may be open at once.
func (n *Node) mostCalls(room options.Room) int {
	if n.conf.MaxOpen > 0 {
		return min(room.Hosts, n.conf.MaxOpen)
	}
	return room.Hosts
}
