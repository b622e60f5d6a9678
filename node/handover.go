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

// Knowledge is a node's state that the next process takes over, as plain data.
type Knowledge struct {
	Node       string            `json:"node"`
	Index      int64             `json:"index"` // index of discovery's last list, 0 = none
	At         float64           `json:"at"`    // when the state was read
	Dispatcher dispatch.Snapshot `json:"pilot"`

	// The operators' orders.
	Bans    cordon.Snapshot `json:"bans"`
	Drained *float64        `json:"drained,omitempty"` // when the drain began; nil = not drained

	// Quota is the unused quota that tenants have accumulated.
	Quota []quota.Balance `json:"quota,omitempty"`

	// Life identifies the process, where the fleet replicates idempotency keys: the process still answers the
	// calls that it has admitted.
	Life uint64 `json:"life,omitempty"`
}

// Knowledge returns the node's current state.
func (n *Node) Knowledge() Knowledge {
	index, _ := n.watcher.LastAnswer()
	k := Knowledge{Node: n.conf.Name, Index: index, At: n.clock.Now(), Dispatcher: n.dispatcher.Snapshot()}
	n.orders.mu.Lock()
	k.Bans = n.orders.cordons.Snapshot()
	n.orders.mu.Unlock()
	if since, drained := n.gate.Drained(); drained {
		k.Drained = &since
	}
	if n.quota != nil {
		k.Quota = n.quota.Balances()
	}
	if n.replicatedKeys != nil {
		k.Life = n.replicatedKeys.Incarnation()
	}
	return k
}

// PredecessorExited records that the process that this one replaced has ended.
func (n *Node) PredecessorExited() {
	if n.replicatedKeys != nil {
		n.replicatedKeys.PredecessorEnded()
	}
}

// Recall applies the state of another process of the node before the first request: its list, unless discovery has
// already answered here, and what it had learned about the hosts that are listed here. State that cannot be right
// is rejected with an error; by then its list may already be in use.
func (n *Node) Recall(k Knowledge) error {
	if k.Node != n.conf.Name {
		return fmt.Errorf("cannot apply the previous process's state: it belongs to node %q", k.Node)
	}
	for i := range k.Dispatcher.Hosts { // restore the status from the list: suspended hosts were stored as draining
		if h := &k.Dispatcher.Hosts[i]; h.Status == dispatch.Draining && slices.Contains(k.Bans.Cordoned, h.Name) {
			h.Status = dispatch.Ready
		}
	}
	n.restoreOrders(k)
	if n.quota != nil {
		n.quota.RestoreBalances(n.clock.Now()-k.At, k.Quota)
	}
	if n.endpointList != nil {
		n.endpointList.offer(k.Dispatcher.KnownHosts(), k.At)
	} else if _, at := n.watcher.LastAnswer(); at == 0 && len(k.Dispatcher.Hosts) > 0 {
		n.updateEndpoints(dispatch.Stored, k.Dispatcher.KnownHosts())
	}
	return n.dispatcher.Restore(k.Dispatcher)
}

// Ready returns a channel that is closed once each source of the list has been queried, whether it succeeded or
// not: the node can serve.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Address returns the address that the node listens on.
func (n *Node) Address() string { return n.loop.Addr() }

// StartAccepting begins to accept clients in a node created with Extras.Hold.
func (n *Node) StartAccepting() { n.loop.StartAccepting() }

// Descriptor calls f with the listening socket's descriptor; it fails once the node no longer accepts.
func (n *Node) Descriptor(f func(fd uintptr)) error { return n.loop.Descriptor(f) }

// HandOver makes the node end because another process accepts in its place: it stops accepting at once, answers
// the calls that arrive on the existing connections, and closes those with their responses. Run then returns.
func (n *Node) HandOver() { n.handOverOnce.Do(func() { close(n.handedOver) }) }

// UnansweredError reports how many calls a node left unanswered at its end.
type UnansweredError struct{ Calls int }

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("node: stopped with %d requests unanswered", e.Calls)
}

// WatchdogChecks returns a check for each part that has to work for a request to be served: the poller that reads
// all sockets, the timers and the dispatcher's lock, and the locks of the HTTP server and the core.
func (n *Node) WatchdogChecks() ([]systemd.Check, error) {
	pulse, err := n.loop.NewProbe()
	if err != nil {
		return nil, err
	}
	return []systemd.Check{{Name: "the poller", Run: pulse.RoundTrip}, {Name: "the timers", Run: n.beat},
		{Name: "the front", Run: func(context.Context) { n.httpServer.Connections() }},
		{Name: "the core", Run: func(context.Context) { n.unanswered() }}}, nil
}

// beat returns once the timers' goroutine has run the dispatcher's timers, or ctx has ended.
func (n *Node) beat(ctx context.Context) {
	done := make(chan struct{})
	select {
	case n.heartbeats <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// listen creates the node's event loop, on the given socket or on one of its own.
func listen(extra *Extras, address string, most int, c clock.Clock, accept func(*netpoll.Conn) netpoll.Handler) (*netpoll.Loop, error) {
	var l *netpoll.Loop
	var err error
	if extra.Listener != nil {
		l, err = netpoll.NewFromListener(extra.Listener, most, accept)
	} else {
		l, err = netpoll.ListenPaused(address, most, accept)
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

// jitterSource returns the random source that makes this node's timing differ from that of others, nil where there
// are no others. Nodes that share one configuration, seed included, differ by their names.
func jitterSource(conf *Config, instances int) func() float64 {
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

// connectionsPerHost returns a function for this instance's share of the connections that one host accepts, nil
// where that number is not known. The number of instances that use a host follows from the fraction of the fleet's
// hosts that each instance uses.
func (n *Node) connectionsPerHost(most, instances int) func() int {
	if most == 0 {
		return nil
	}
	return func() int {
		users := math.Ceil(float64(instances) * n.dispatcher.SubsetFraction())
		return max(1, int(float64(most)/max(users, 1)))
	}
}
