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

// orderLimit is how long operators wait for an order to be agreed.
const orderLimit = 2 * time.Second

// peers is the node's way to the agreed log.
type peers struct {
	set   *options.Peers
	log   *client.Client
	heard func() // tells that the node has heard what operators had ordered it, or waits no longer

	mu sync.Mutex // held while an order is carried out and agreed, or what was agreed is asked for and obeyed
}

// join makes the way to the agreed log; it connects when something is asked.
func join(conf *Config, p *options.Peers) *peers {
	ask := client.Config{Fleet: p.Fleet, Name: conf.Name, AttemptTimeout: time.Duration(p.Try.Ms * 1e6), Spread: client.Spread(conf.Settings.Nodes)}
	for _, m := range p.Members {
		ask.Replicas = append(ask.Replicas, client.Replica{Name: m.Name, Address: m.Address})
	}
	return &peers{set: p, log: client.New(ask)}
}

// names has names of calls agreed with the fleet.
func (p *peers) names(n *Node, set *middleware.Settings, log *slog.Logger) *replicated.Keys {
	names := replicated.Settings{Node: n.conf.Name, Secret: set.Secret, ClaimValidity: p.set.Claim.Ms,
		MaxRun: n.conf.MaxDeadline, RequestTimeout: 2 * p.set.Try.Ms, CompletionTimeout: p.set.EndWait.Ms}
	if n.known != nil {
		names.Predecessor = n.known.Life
	}
	for _, t := range n.conf.Settings.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	return replicated.New(names, p.log, n.clock, log)
}

// hold has an order agreed under the node's name.
func (p *peers) hold(node string, o Order) error {
	ctx, stop := context.WithTimeout(context.Background(), orderLimit)
	defer stop()
	r, err := p.log.Do(ctx, statemachine.ComponentOrders, statemachine.Order{Node: node, Action: o.Do, Backend: o.Rater})
	if err == nil && r.Code != statemachine.OK {
		err = errors.New(r.Text)
	}
	return err
}

// hearOrders asks what operators had ordered this node, wherever it ran, and obeys; and waits until names can be agreed, where they
// are. The node is not ready before, for a while.
func (n *Node) hearOrders(ctx context.Context) {
	late := make(chan struct{})
	stop := n.clock.At(n.clock.Now()+n.peers.set.OrdersWait.Ms, func() { close(late) })
	defer stop()
	heard, obeyed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(heard)
		for ctx.Err() == nil && !n.askOrders(ctx) {
		}
		close(obeyed)
		if n.names != nil { // a node that turned charges away for a moment would be ready too early
			select {
			case <-n.names.Ready():
			case <-ctx.Done():
			}
		}
	}()
	select {
	case <-heard:
	case <-late:
		select {
		case <-obeyed:
			n.log.Warn("names of calls cannot be agreed yet: this node is ready and refuses what must not run twice")
			n.peers.heard()
			return
		default:
		}
		n.log.Warn("the fleet was not heard in time: what operators had ordered this node is not in force yet")
		n.peers.heard()
		<-heard
		return
	case <-ctx.Done():
		<-heard
	}
	n.peers.heard()
}

// askOrders asks once, and tells whether it was told.
func (n *Node) askOrders(ctx context.Context) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, orderLimit)
	defer stop()
	r, err := n.peers.log.Read(ctx, statemachine.ComponentOrders, statemachine.OrdersOf{Node: n.conf.Name})
	var held statemachine.Ordered
	if err != nil || json.Unmarshal(r.Body, &held) != nil {
		return false
	}
	n.obeyHeld(held)
	return true
}

// obeyHeld lets what is held for this node be in force.
func (n *Node) obeyHeld(held statemachine.Ordered) {
	k := Knowledge{Bans: cordon.Snapshot{Cordoned: held.Cordoned}}
	if held.Drained {
		since, drained := n.gate.Drained()
		if !drained {
			since = n.clock.Now()
		}
		k.Drained = &since
	}
	n.recallOrders(k)
	if held.Drained || len(held.Cordoned) > 0 {
		n.log.Info("what operators had ordered this node is in force", "drained", held.Drained, "raters_out", len(held.Cordoned))
	}
}
