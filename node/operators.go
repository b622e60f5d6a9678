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

// backendCountInterval is the time in milliseconds between two updates of the backend metrics.
const backendCountInterval = 200

// Order is an operator's command to a node.
type Order struct {
	Do    string `json:"do"` // one of the constants below
	Rater string `json:"rater,omitempty"`
}

// The commands of operators.
const (
	Suspend  = "suspend"
	Resume   = "resume"
	Drain    = "drain"
	Activate = "activate"
)

// orders is the state of the operators' commands.
type orders struct {
	mu      sync.Mutex // guards cordons, and keeps the updates of the dispatchers' host lists in order
	cordons cordon.Tracker
	// forward applies an order in the node's other process too; nil = there is no other process.
	forward func(Order) error
}

// drainTimes returns the times of a drain. The front learns of it with its next health check and sends no new
// connections soon after. By the platform's drain_over no connection may be idle, or carry a request that came in
// the last drain_quiet.
func drainTimes(o *Options) drain.Times {
	p := &o.Platform
	refuse := max(0, p.DrainOver.Ms-p.DrainQuiet.Ms-o.North.HTTP.SweepEvery.Ms)
	return drain.Times{CloseAfterResponse: refuse / 2, CloseIdle: refuse * 3 / 4, RefuseCalls: refuse}
}

// openAdmin opens the admin endpoint, if the platform's configuration names one.
func (n *Node) openAdmin() error {
	if n.conf.Control == "" {
		return nil
	}
	var err error
	if n.adminServer, err = admin.Open(n.conf.Control, operators{n}); err != nil {
		return n.conf.Fault("control", err)
	}
	return nil
}

// closeAdmin closes the admin endpoint.
func (n *Node) closeAdmin() {
	if n.adminServer != nil {
		n.adminServer.Close()
	}
}

// AdminAddress returns the address of the admin endpoint, empty if there is none.
func (n *Node) AdminAddress() string {
	if n.adminServer == nil {
		return ""
	}
	return n.adminServer.Address()
}

// ForwardOrders makes the node pass each operator's order to f, which applies it in another process of the node,
// before the operator gets a success response; nil = there is no other process.
func (n *Node) ForwardOrders(f func(Order) error) {
	n.orders.mu.Lock()
	n.orders.forward = f
	n.orders.mu.Unlock()
}

// updateEndpoints applies a change of the endpoint list; the dispatchers do not see the backends that operators
// have suspended.
func (n *Node) updateEndpoints(from dispatch.ListKind, list []dispatch.Host) {
	n.orders.mu.Lock()
	n.setHosts(from, n.orders.cordons.Apply(from, list))
	n.orders.mu.Unlock()
	n.countBackends()
}

// ApplyOrder carries out an order in this process, whether it comes from an operator or another process. When it
// returns, the order is in force.
func (n *Node) ApplyOrder(o Order) error {
	switch o.Do {
	case Drain:
		n.gate.Drain()
		n.log.Info("node drained: clients are asked to leave")
		return nil
	case Activate:
		n.gate.Activate()
		n.log.Info("drain ended: node accepts clients again")
		return nil
	case Suspend, Resume:
	default:
		return fmt.Errorf("there is no order %q", o.Do)
	}
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	wasOut := n.orders.cordons.IsCordoned(o.Rater)
	change, err := n.orders.cordons.Resume, error(nil)
	if o.Do == Suspend {
		change = func(_ float64, backend string) ([]dispatch.Host, error) { return n.orders.cordons.Suspend(backend) }
	}
	changed, err := change(n.clock.Now(), o.Rater)
	if errors.Is(err, cordon.ErrUnknown) {
		return fmt.Errorf("%w: %q", admin.ErrUnknown, o.Rater)
	}
	if err != nil {
		return err
	}
	if len(changed) > 0 {
		n.setHosts(dispatch.Delta, changed)
	}
	if wasOut == n.orders.cordons.IsCordoned(o.Rater) {
		return nil // the order was in force already
	}
	if o.Do == Suspend {
		n.log.Info("backend suspended by an operator", "host", o.Rater)
	} else {
		n.log.Info("backend resumed by an operator", "host", o.Rater)
	}
	return nil
}

// excludeBackends excludes exactly the named backends by the options, which may come from the fleet's policy.
func (n *Node) excludeBackends(names []string) {
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	if changed := n.orders.cordons.SetFleetCordons(n.clock.Now(), names); len(changed) > 0 {
		n.setHosts(dispatch.Delta, changed)
		n.log.Info("backends excluded by the options changed", "out", len(names))
	}
}

// order applies an order in this process and in the node's other process, if there is one, and records it with the
// fleet, if there is one, so that it stays in force on a machine that replaces this one.
func (n *Node) order(o Order) error {
	if n.peers != nil {
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
	}
	if err := n.ApplyOrder(o); err != nil {
		return err
	}
	n.countBackends()
	n.orders.mu.Lock()
	forward := n.orders.forward
	n.orders.mu.Unlock()
	if forward != nil {
		if err := forward(o); err != nil {
			n.log.Warn("the node's other process failed to apply an order", "order", o.Do, "error", err)
			return fmt.Errorf("in force in this process, but not in the node's other one: %w", err)
		}
	}
	if n.peers == nil {
		return nil
	}
	if err := n.peers.recordOrder(n.conf.Name, o); err != nil {
		n.log.Warn("order not recorded by the fleet", "order", o.Do, "error", err)
		return fmt.Errorf("in force in this process, but not held by the fleet: it ends with this machine: %w", err)
	}
	return nil
}

// countBackends updates the metrics of the endpoint list.
func (n *Node) countBackends() {
	if n.adminServer == nil {
		return
	}
	excluded := 0
	count := func(p *dispatch.Dispatcher) {
		for _, h := range p.View().Hosts {
			if n.orders.cordons.IsCordoned(h.Name) || h.Status == dispatch.Ready && h.Module.Ejected {
				excluded++
			}
		}
	}
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	count(n.dispatcher)
	if n.thrift != nil && n.thrift.dispatcher != n.dispatcher {
		count(n.thrift.dispatcher)
	}
	n.nodeMetrics.SetBackends(n.orders.cordons.Listed(), excluded)
}

// operators is the node as the admin endpoint sees it.
type operators struct{ n *Node }

var _ admin.Node = operators{}

// Readyz returns nil if this process could serve, which is also true of a drained one; otherwise its phase as an
// error.
func (o operators) Readyz() error {
	if phase := o.n.phaseNow(); phase != phaseServing {
		return errors.New(phase)
	}
	return nil
}

// Metrics returns the metrics as JSON.
func (o operators) Metrics() ([]byte, error) { return json.Marshal(o.n.nodeMetrics.Snapshot()) }

// Knowledge returns the state that a newly started node may use.
func (o operators) Knowledge() ([]byte, error) { return o.n.encodeKnowledge() }

// Suspend takes a backend out of rotation.
func (o operators) Suspend(backend string) error {
	return o.n.order(Order{Do: Suspend, Rater: backend})
}

// Resume puts a backend back into rotation.
func (o operators) Resume(backend string) error { return o.n.order(Order{Do: Resume, Rater: backend}) }

// Drain starts a drain of the node.
func (o operators) Drain() error { return o.n.order(Order{Do: Drain}) }

// Activate ends the drain.
func (o operators) Activate() error { return o.n.order(Order{Do: Activate}) }

func classNames(conf *Config) (names []string) {
	for _, c := range conf.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

// restoreOrders replaces the operators' orders in this process with those that another process of the node had.
func (n *Node) restoreOrders(k Knowledge) {
	if k.Drained == nil {
		n.gate.Activate()
	} else {
		n.gate.RestoreDrain(*k.Drained)
	}
	n.orders.mu.Lock()
	defer n.orders.mu.Unlock()
	if changed := n.orders.cordons.Restore(k.Bans); len(changed) > 0 {
		n.setHosts(dispatch.Delta, changed)
	}
}

// LimitResources restricts the node to a part of its configured limits: a number of descriptors, and a fraction of
// the memory. It may be called at any time; connections and calls above the new limits are not cut off.
func (n *Node) LimitResources(sockets int, memory float64) {
	o, conf := n.opts.Load(), *n.conf
	conf.Sockets = min(max(sockets, minSockets), n.conf.Sockets)
	room := o.Room(&conf)
	requests := n.maxCalls(room)
	n.pool.Resize(room.Hosts)
	n.core.SetMaxCalls(requests)
	n.httpServer.Resize(room.Clients, room.Crowded)
	n.loop.Resize(room.Clients + room.Spare)
	conf.MemoryMB *= memory
	SetLimits(&conf, o)
	n.bodyBudget.Resize(bodyBudgetBytes(&conf, o))
	if memory < 1 {
		debug.FreeOSMemory() // the other process needs the memory now
	}
}

// minSockets is the smallest number of descriptors that a node can work with at all.
const minSockets = 64

// Held returns how many descriptors the node holds, including its reserve.
func (n *Node) Held() int {
	held := n.opts.Load().Service.Reserve + n.loop.OpenConnections() + n.pool.Open()
	if n.adminServer != nil {
		held += admin.Descriptors
	}
	return held
}

// maxCalls returns how many calls may be open at once.
func (n *Node) maxCalls(room options.Room) int {
	if n.conf.MaxOpen > 0 {
		return min(room.Hosts, n.conf.MaxOpen)
	}
	return room.Hosts
}
