package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/endpoints/cordon"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/idempotency/replicated"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// orderTimeout is how long operators wait for an order to be committed.
const orderTimeout = 2 * time.Second

// peers is the node's access to the replicated log.
type peers struct {
	set        *options.Peers
	log        *client.Client
	ordersDone func() // called when the operators' orders for this node are known, or the node no longer waits for them

	mu sync.Mutex // held while an order is applied and committed, or committed orders are read and applied
}

// newPeers creates the client of the replicated log; it connects on the first request.
func newPeers(conf *Config, p *options.Peers) *peers {
	ask := client.Config{Fleet: p.Fleet, Name: conf.Name, AttemptTimeout: time.Duration(p.Try.Ms * 1e6), Spread: client.Spread(conf.Settings.Nodes)}
	for _, m := range p.Members {
		ask.Replicas = append(ask.Replicas, client.Replica{Name: m.Name, Address: m.Address})
	}
	return &peers{set: p, log: client.New(ask)}
}

// newReplicatedKeys creates the idempotency keys that are replicated by the fleet.
func (p *peers) newReplicatedKeys(n *Node, set *middleware.Settings, log *slog.Logger) *replicated.Keys {
	keys := replicated.Settings{Node: n.conf.Name, Secret: set.Secret, ClaimValidity: p.set.Claim.Ms,
		MaxRun: n.conf.MaxDeadline, RequestTimeout: 2 * p.set.Try.Ms, CompletionTimeout: p.set.EndWait.Ms}
	if n.initial != nil {
		keys.Predecessor = n.initial.Life
	}
	for _, t := range n.conf.Settings.Tenants {
		keys.Tenants = append(keys.Tenants, t.Name)
	}
	return replicated.New(keys, p.log, n.clock, log)
}

// recordOrder commits an order under the node's name.
func (p *peers) recordOrder(node string, o Order) error {
	ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
	defer stop()
	r, err := p.log.Do(ctx, statemachine.ComponentOrders, statemachine.Order{Node: node, Action: o.Do, Backend: o.Rater})
	if err == nil && r.Code != statemachine.OK {
		err = errors.New(r.Text)
	}
	return err
}

// restoreFleetOrders reads the operators' orders for this node, which may have run on another machine, and applies
// them. It then waits until keys can be replicated, if they are. Until then the node is not ready, up to a time
// limit.
func (n *Node) restoreFleetOrders(ctx context.Context) {
	late := make(chan struct{})
	stop := n.clock.At(n.clock.Now()+n.peers.set.OrdersWait.Ms, func() { close(late) })
	defer stop()
	heard, obeyed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(heard)
		for ctx.Err() == nil && !n.readOrders(ctx) {
		}
		close(obeyed)
		if n.replicatedKeys != nil { // a node that briefly refused charges would otherwise be ready too early
			select {
			case <-n.replicatedKeys.Ready():
			case <-ctx.Done():
			}
		}
	}()
	select {
	case <-heard:
	case <-late:
		select {
		case <-obeyed:
			n.log.Warn("idempotency keys cannot be replicated yet; node is ready but refuses requests that must not run twice")
			n.peers.ordersDone()
			return
		default:
		}
		n.log.Warn("fleet did not answer in time; operator orders for this node are not restored yet")
		n.peers.ordersDone()
		<-heard
		return
	case <-ctx.Done():
		<-heard
	}
	n.peers.ordersDone()
}

// readOrders reads and applies the orders once, and reports whether it got an answer.
func (n *Node) readOrders(ctx context.Context) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	r, err := n.peers.log.Read(ctx, statemachine.ComponentOrders, statemachine.OrdersOf{Node: n.conf.Name})
	var held statemachine.Ordered
	if err != nil || json.Unmarshal(r.Body, &held) != nil {
		return false
	}
	n.applyFleetOrders(held)
	return true
}

// applyFleetOrders puts the orders recorded for this node into force.
func (n *Node) applyFleetOrders(held statemachine.Ordered) {
	k := Knowledge{Bans: cordon.Snapshot{Cordoned: held.Cordoned}}
	if held.Drained {
		since, drained := n.gate.Drained()
		if !drained {
			since = n.clock.Now()
		}
		k.Drained = &since
	}
	n.restoreOrders(k)
	if held.Drained || len(held.Cordoned) > 0 {
		n.log.Info("operator orders for this node restored from the fleet", "drained", held.Drained, "raters_out", len(held.Cordoned))
	}
}
