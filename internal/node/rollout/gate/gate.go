// Package gate is a node's adaptor to the fleet's policy: it has the lease on a number renewed, obeys what package policy says of
// a change, and lets calls begin only while the lease lasts.
//
// The lease is counted on the node's own clock from the moment before it was asked for, so that it ends here before it ends for the
// fleet. That clock must go on while the process stands still.
package gate

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// Fleet is whom the gate asks. Its methods block until ctx ends at the most.
type Fleet interface {
	Report(ctx context.Context, r rollout.Report) (rollout.Order, error)
	// Document gives one by its number, or by its proposal where id is not empty.
	Document(ctx context.Context, number uint64, id string) (rollout.Document, error)
	// News tells how far the fleet is once that is not what is known; an error = it cannot be waited for now.
	Progress(ctx context.Context, known rollout.Progress) (rollout.Progress, error)
}

// Node is what the policy is for.
type Node interface {
	Check(d rollout.Document) error    // whether the node can take it
	Activate(d rollout.Document) error // have it in force from now on
}

// Settings describe the gate. Times are milliseconds.
type Settings struct {
	Name    string
	Lease   float64
	MaxWait float64 // that a call waits at the most
	GoesOn  bool    // calls begin without a lease, too
	Ready   func()  // called once the first policy is in force
}

// ReasonPolicy is why a call is turned away.
const ReasonPolicy = "the fleet's policy is not known here"

// Gate lets calls begin. Its methods may be called from any goroutine.
type Gate struct {
	set   Settings
	fleet Fleet
	node  Node
	clock clock.Clock
	log   *slog.Logger

	looked rollout.Document // at last; of Run alone

	mu          sync.Mutex
	leaseHolder *rollout.LeaseHolder // Run alone changes it, with the lock; it reads it without
	opened      chan struct{}        // closed when calls may begin that might not before, or the other way round
}

// New makes a gate that lets no call begin before Run has heard from the fleet.
func New(set Settings, f Fleet, n Node, c clock.Clock, log *slog.Logger) *Gate {
	return &Gate{set: set, fleet: f, node: n, clock: c, log: log, opened: make(chan struct{}),
		leaseHolder: rollout.NewLeaseHolder(set.Name, rand.Uint64()>>1|1, set.Lease, set.GoesOn)}
}

// Wrap is the core.Stage.
func (g *Gate) Wrap(next core.Handler) core.Handler {
	return func(call *core.Call) core.Answer {
		if a, ok := g.enter(call); !ok {
			return a
		}
		return next(call)
	}
}

// enter waits until the call may begin.
func (g *Gate) enter(call *core.Call) (a core.Answer, ok bool) {
	g.mu.Lock()
	open := g.leaseHolder.Open(g.clock.Now())
	g.mu.Unlock()
	if open {
		return a, true
	}
	late := make(chan struct{})
	stop := g.clock.At(min(call.Deadline, g.clock.Now()+g.set.MaxWait), func() { close(late) })
	defer stop()
	for {
		g.mu.Lock()
		open, opened := g.leaseHolder.Open(g.clock.Now()), g.opened
		g.mu.Unlock()
		if open {
			return a, true
		}
		select {
		case <-opened:
		case <-late:
			return core.Refuse(core.Busy, ReasonPolicy, g.set.Lease), false
		case <-call.Left():
			return core.Answer{Kind: core.Left}, false
		}
	}
}

// InForce tells which number calls begin under, its document's hash, and until when on the node's clock; +Inf = whatever comes.
func (g *Gate) InForce() (number uint64, hash string, until float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseHolder.InForce()
}

// change has the holder take something in, and wakes the calls that wait.
func (g *Gate) change(do func(h *rollout.LeaseHolder)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(g.leaseHolder)
	close(g.opened)
	g.opened = make(chan struct{})
}

// Run renews the lease and obeys until ctx ends; then no call begins any more, and the fleet is told.
func (g *Gate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, wait := g.step(ctx)
		if wait > 0 {
			pause = g.wait(ctx, wait, pause)
		}
		if pause <= 0 {
			continue
		}
		over := make(chan struct{})
		stop := g.clock.At(g.clock.Now()+around(pause), func() { close(over) })
		select {
		case <-over:
		case <-ctx.Done():
		}
		stop()
	}
	var leaves rollout.Report
	g.change(func(h *rollout.LeaseHolder) { leaves = h.Leave() })
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), 200*time.Millisecond)
	defer stop()
	_, _ = g.fleet.Report(last, leaves) // else its lease runs out
}

// around is a time of this mean: members do not report in step.
func around(ms float64) float64 { return ms * (0.75 + rand.Float64()/2) }

// wait waits for a hint, at the most until a report is due; it gives the time until then. pause is that where no hint can be waited for.
func (g *Gate) wait(ctx context.Context, most, pause float64) float64 {
	due := g.clock.Now() + around(most)
	var news rollout.Progress
	for late := true; late; { // one that was lost is not waited for until then
		one, over := context.WithCancel(ctx)
		stop := g.clock.At(min(due, g.clock.Now()+g.leaseHolder.RetryAfter()), over)
		var err error
		news, err = g.fleet.Progress(one, g.leaseHolder.Known())
		late = one.Err() != nil
		stop()
		over()
		switch {
		case late && (ctx.Err() != nil || g.clock.Now() >= due):
			return 0
		case !late && err != nil:
			return pause
		}
	}
	var next rollout.Step
	g.change(func(h *rollout.LeaseHolder) { next = h.Observe(news) })
	if next.Paused {
		g.held(news.Change)
	}
	if next.Activate {
		take, stop := context.WithTimeout(ctx, time.Duration(g.set.Lease*1e6))
		defer stop()
		return g.take(take, next.Number, next.Hash)
	}
	return next.Pause
}

func (g *Gate) held(id string) {
	g.log.Info("calls are held: a change of the policy takes hold", "proposal", id)
}

// step reports once and obeys; it gives the time until the next report, 0 = at once, and for how long a hint may be waited for
// in its place.
func (g *Gate) step(ctx context.Context) (pause, wait float64) {
	asked := g.clock.Now()
	one, stop := context.WithTimeout(ctx, time.Duration(g.set.Lease*1e6))
	defer stop()
	o, err := g.fleet.Report(one, g.leaseHolder.Report())
	lapsed, number := false, uint64(0)
	g.mu.Lock()
	if lapsed = g.leaseHolder.Lapsed(g.clock.Now()); lapsed {
		number, _, _ = g.leaseHolder.InForce()
	}
	g.mu.Unlock()
	if lapsed {
		g.log.Warn("the lease on the policy has run out: calls are turned away", "number", number)
	}
	if err != nil {
		return g.leaseHolder.RetryAfter(), 0
	}
	var next rollout.Step
	g.change(func(h *rollout.LeaseHolder) { next = h.Obey(asked, o) })
	if next.Renewed {
		g.log.Info("the lease on the policy is renewed: calls begin again", "number", o.Number)
	}
	if next.Known {
		g.log.Info("the fleet's policy is known", "number", o.Number, "hash", o.Hash)
		g.set.Ready()
	}
	switch {
	case next.Activate:
		return g.take(one, next.Number, next.Hash), 0
	case next.Look != "":
		return g.look(one, next.Look), 0
	case next.Paused:
		g.held(o.Change)
	}
	return next.Pause, next.Wait
}

// look tells whether the node can take a document; it gives the time until the next report.
func (g *Gate) look(ctx context.Context, id string) (pause float64) {
	d, err := g.fleet.Document(ctx, 0, id)
	unseen := err != nil
	if !unseen {
		g.looked = d
		if err = g.node.Check(d); err != nil {
			g.log.Warn("this node cannot take a policy that was proposed", "proposal", id, "error", err)
		} else {
			g.log.Info("this node can take a policy that was proposed", "proposal", id, "hash", d.Hash)
		}
	}
	g.change(func(h *rollout.LeaseHolder) { pause = h.Saw(id, unseen, err) })
	return pause
}

// take has a policy in force, while no call begins; it gives the time until the next report. The document that was looked at last is
// not asked for again.
func (g *Gate) take(ctx context.Context, number uint64, hash string) (pause float64) {
	d := rollout.Document{}
	if hash != "" && hash == g.looked.Hash {
		d = g.looked
		d.Number = number
	} else if number > 0 {
		var err error
		if d, err = g.fleet.Document(ctx, number, ""); err != nil {
			return g.leaseHolder.RetryAfter()
		}
	}
	if err := g.node.Activate(d); err != nil {
		g.log.Error("this node cannot take the policy that holds: it begins no calls", "number", number, "error", err)
		g.change(func(h *rollout.LeaseHolder) { pause = h.Failed(number) })
		return pause
	}
	g.change(func(h *rollout.LeaseHolder) { h.Activated(number, d.Hash) })
	g.log.Info("a policy is in force", "number", number, "hash", d.Hash, "by", d.By)
	return 0
}
