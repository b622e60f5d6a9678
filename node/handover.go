package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/cordon"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/systemd"
)

// Knowledge is what a node knows of its hosts, as plain data for the process that comes after it.
type Knowledge struct {
	Node  string            `json:"node"`
	Index int64             `json:"index"` // that discovery told last, 0 = none
	At    float64           `json:"at"`    // when this was so
	Pilot dispatch.Snapshot `json:"pilot"`

	// What operators have ordered.
	Bans    cordon.Memory `json:"bans"`
	Drained *float64      `json:"drained,omitempty"` // since when; nil = it is not

	// Quota is what tenants have saved up.
	Quota []quota.Balance `json:"quota,omitempty"`

	// Life is the process's, where the fleet agrees on names of calls: it still answers what it has taken.
	Life uint64 `json:"life,omitempty"`
}

// Knowledge gives what the node knows now.
func (n *Node) Knowledge() Knowledge {
	index, _ := n.watch.LastAnswer()
	k := Knowledge{Node: n.conf.Name, Index: index, At: n.clock.Now(), Pilot: n.pilot.Snapshot()}
	n.orders.mu.Lock()
	k.Bans = n.orders.book.Remember()
	n.orders.mu.Unlock()
	if since, drained := n.gate.Drained(); drained {
		k.Drained = &since
	}
	if n.quota != nil {
		k.Quota = n.quota.Balances()
	}
	if n.names != nil {
		k.Life = n.names.Incarnation()
	}
	return k
}

// Alone tells that the process has ended whose place this one took.
func (n *Node) Alone() {
	if n.names != nil {
		n.names.PredecessorEnded()
	}
}

// Recall takes what another process of the node knew, before the first request: its list where discovery has told none
// here yet, and of the hosts that are listed here what had been learned. What cannot be right changes nothing but,
// perhaps, that list.
func (n *Node) Recall(k Knowledge) error {
	if k.Node != n.conf.Name {
		return fmt.Errorf("recalling what was known: it is node %q's", k.Node)
	}
	for i := range k.Pilot.Hosts { // as the list has them
		if h := &k.Pilot.Hosts[i]; h.Status == dispatch.Draining && slices.Contains(k.Bans.Out, h.Name) {
			h.Status = dispatch.Ready
		}
	}
	n.recallOrders(k)
	if n.quota != nil {
		n.quota.RestoreBalances(n.clock.Now()-k.At, k.Quota)
	}
	if n.lists != nil {
		n.lists.offer(k.Pilot.KnownHosts(), k.At)
	} else if _, at := n.watch.LastAnswer(); at == 0 && len(k.Pilot.Hosts) > 0 {
		n.inventory(dispatch.Stored, k.Pilot.KnownHosts())
	}
	return n.pilot.Restore(k.Pilot)
}

// Ready is closed once each source of the list was asked first, well or not: the node can serve.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Address is where the node listens.
func (n *Node) Address() string { return n.loop.Addr() }

// StartAccepting lets clients in, for a node that was made to hold.
func (n *Node) StartAccepting() { n.loop.StartAccepting() }

// Descriptor lets f see the listening socket's descriptor; it fails once the node accepts no more.
func (n *Node) Descriptor(f func(fd uintptr)) error { return n.loop.Descriptor(f) }

// Yield has the node end because another process accepts in its place: it stops accepting at once, answers all that
// comes on the connections that there are, and ends them with their answers. Run returns then.
func (n *Node) Yield() { n.yieldOnce.Do(func() { close(n.yielded) }) }

// UnansweredError tells how many calls a node left unanswered at its end.
type UnansweredError struct{ Calls int }

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("node: stopped with %d requests unanswered", e.Calls)
}

// Stations are the loops that have to work for a request to be served, for a watchdog: the poller that reads all
// sockets, the timers and the module behind the pilot's lock, and the locks of the front and the core.
func (n *Node) Stations() ([]systemd.Check, error) {
	pulse, err := n.loop.Pulse()
	if err != nil {
		return nil, err
	}
	return []systemd.Check{{Name: "the poller", Run: pulse.Beat}, {Name: "the timers", Run: n.beat},
		{Name: "the front", Run: func(context.Context) { n.north.Connections() }},
		{Name: "the core", Run: func(context.Context) { n.unanswered() }}}, nil
}

// beat returns once the timers' goroutine has been through the pilot.
func (n *Node) beat(ctx context.Context) {
	done := make(chan struct{})
	select {
	case n.beats <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// listen makes the node's loop: on the socket that it was given, or on one of its own.
func listen(extra *Extras, address string, most int, c clock.Clock, accept func(*netpoll.Conn) netpoll.Handler) (*netpoll.Loop, error) {
	var l *netpoll.Loop
	var err error
	if extra.Listener != nil {
		l, err = netpoll.On(extra.Listener, most, accept)
	} else {
		l, err = netpoll.Hold(address, most, accept)
	}
	if err != nil {
		return nil, err
	}
	l.SetClock(c)
	if !extra.Hold {
		l.StartAccepting()
	}
	return l, nil
}

// chances gives the numbers by which this node's times differ from those of others, nil where there are none. Copies of
// one configuration, seed included, differ by their names.
func chances(conf *Config, instances int) func() float64 {
	if instances < 2 {
		return nil
	}
	return rand.New(rand.NewPCG(conf.Seed, nameHash(conf.Name))).Float64
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// toOne gives this instance's part of the connections that one host holds, 0 where that is not known. As many instances
// use a host as the module's part of the fleet has it.
func (n *Node) toOne(most, instances int) func() int {
	if most == 0 {
		return nil
	}
	return func() int {
		users := math.Ceil(float64(instances) * n.pilot.SubsetFraction())
		return max(1, int(float64(most)/max(users, 1)))
	}
}
