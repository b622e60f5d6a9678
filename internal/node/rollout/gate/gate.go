// Package gate makes a node comply with the policy of its fleet: it renews the lease on the policy's number,
// carries out policy changes as package rollout defines them, and admits calls only while the lease is valid.
//
// The lease is measured on the node's own clock from before the request was sent, so that it expires here before
// it expires for the fleet. That clock must continue to run while the process is suspended.
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

// ReasonPolicy is the reason given when a call is rejected.
const ReasonPolicy = "the fleet's policy is not known here"

const lastReportTimeout = 200 * time.Millisecond // for the report that the node stops

// Fleet provides access to the fleet's replicated rollout.Machine. Its methods may block until ctx ends.
type Fleet interface {
	// Report sends a report and returns the order that the fleet answers with.
	Report(ctx context.Context, r rollout.Report) (rollout.Order, error)
	// Document returns a document by its number, or by its proposal if id is not empty.
	Document(ctx context.Context, number uint64, id string) (rollout.Document, error)
	// Progress returns the progress once it differs from known. An error means that waiting is not possible at the
	// moment.
	Progress(ctx context.Context, known rollout.Progress) (rollout.Progress, error)
}

// Node is the node that the policy applies to. Run calls its methods sequentially.
type Node interface {
	Check(d rollout.Document) error    // returns the reason why the node rejects a document
	Activate(d rollout.Document) error // brings it into force
}

// Settings are the parameters of a gate. Times are in ms.
type Settings struct {
	Name         string
	Lease        float64
	MaxWait      float64 // maximum time that a call waits for a lease
	WithoutLease bool    // admit calls without a lease too
	OnReady      func()  // called once, when the first lease on a policy is obtained
}

// Gate admits calls under the fleet's policy. Its methods are safe for concurrent use.
type Gate struct {
	settings Settings
	fleet    Fleet
	node     Node
	clock    clock.Clock
	log      *slog.Logger

	validated rollout.Document // last validated document; used by Run only

	mu     sync.Mutex
	holder *rollout.LeaseHolder // modified by Run only, holding the lock; Run reads it without the lock
	change chan struct{}        // closed and replaced whenever holder has changed
}

// New returns a gate. It admits no call before Run has received an order from the fleet.
func New(settings Settings, fleet Fleet, node Node, c clock.Clock, log *slog.Logger) *Gate {
	return &Gate{settings: settings, fleet: fleet, node: node, clock: c, log: log, change: make(chan struct{}),
		holder: rollout.NewLeaseHolder(settings.Name, rand.Uint64()>>1|1, settings.Lease, settings.WithoutLease)}
}

// Wrap is a core.Stage: it returns a handler that admits calls only while there is a lease.
func (g *Gate) Wrap(next core.Handler) core.Handler {
	return func(request *core.Call) core.Answer {
		if a, ok := g.admit(request); !ok {
			return a
		}
		return next(request)
	}
}

// admit waits until the call may begin, at most MaxWait and until its deadline. If the call is not admitted, it
// returns the answer to the call.
func (g *Gate) admit(request *core.Call) (a core.Answer, ok bool) {
	if open, _ := g.open(); open {
		return a, true
	}
	timeout := make(chan struct{})
	stop := g.clock.At(min(request.Deadline, g.clock.Now()+g.settings.MaxWait), func() { close(timeout) })
	defer stop()
	for {
		open, change := g.open()
		if open {
			return a, true
		}
		select {
		case <-change:
		case <-timeout:
			return core.Refuse(core.Busy, ReasonPolicy, g.settings.Lease), false
		case <-request.Done():
			return core.Answer{Kind: core.ClientLeft}, false
		}
	}
}

// open reports whether a call may begin, and returns a channel that is closed when that may have changed.
func (g *Gate) open() (open bool, change <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Admits(g.clock.Now()), g.change
}

// InForce returns the number of the policy in force, the hash of its document, and the time on the node's clock
// until which calls may begin, in ms; +Inf = without a lease.
func (g *Gate) InForce() (number uint64, hash string, until float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.InForce()
}

// update modifies the lease holder and wakes the waiting calls.
func (g *Gate) update(do func(h *rollout.LeaseHolder)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(g.holder)
	close(g.change)
	g.change = make(chan struct{})
}

// Run renews the lease and follows orders until ctx ends. It then stops admitting calls and notifies the fleet.
func (g *Gate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, wait := g.step(ctx)
		if wait > 0 {
			pause = g.awaitHint(ctx, wait, pause)
		}
		if pause > 0 {
			g.sleep(ctx, spread(pause))
		}
	}
	var leaving rollout.Report
	g.update(func(h *rollout.LeaseHolder) { leaving = h.Leave() })
	lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastReportTimeout)
	defer cancel()
	_, _ = g.fleet.Report(lastCtx, leaving) // if the report is lost, the lease expires
}

// sleep waits for a time in ms or until ctx ends.
func (g *Gate) sleep(ctx context.Context, ms float64) {
	done := make(chan struct{})
	stop := g.clock.At(g.clock.Now()+ms, func() { close(done) })
	defer stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// spread returns a random time with the mean ms, so that members do not report at the same moments.
func spread(ms float64) float64 { return ms * (0.75 + rand.Float64()/2) }

// requestContext returns the context of a round of requests to the fleet: an answer that takes longer than a lease
// is useless.
func (g *Gate) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(g.settings.Lease*1e6))
}

// step sends one report and follows the order. pause is the time until the next report, in ms; 0 = at once. wait is
// the time for which to wait for a hint before that report instead, in ms; 0 = do not wait for a hint.
func (g *Gate) step(ctx context.Context) (pause, wait float64) {
	sent := g.clock.Now()
	ctx, cancel := g.requestContext(ctx)
	defer cancel()
	o, err := g.fleet.Report(ctx, g.holder.Report())
	g.logLapse()
	if err != nil {
		return g.holder.RetryAfter(), 0
	}
	var next rollout.Step
	g.update(func(h *rollout.LeaseHolder) { next = h.ApplyOrder(sent, o) })
	if next.Renewed {
		g.log.Info("policy lease renewed: calls are admitted again", "number", o.Number)
	}
	if next.Known {
		g.log.Info("fleet policy received", "number", o.Number, "hash", o.Hash)
		g.settings.OnReady()
	}
	switch {
	case next.Activate:
		return g.activate(ctx, next.Number, next.Hash), 0
	case next.Look != "":
		return g.validate(ctx, next.Look), 0
	case next.Paused:
		g.logPause(o.Change)
	}
	return next.Pause, next.Wait
}

// logLapse logs, once, that the lease has expired.
func (g *Gate) logLapse() {
	g.mu.Lock()
	lapsed := g.holder.Lapsed(g.clock.Now())
	number, _, _ := g.holder.InForce()
	g.mu.Unlock()
	if lapsed {
		g.log.Warn("policy lease expired: calls are rejected", "number", number)
	}
}

func (g *Gate) logPause(id string) {
	g.log.Info("calls paused: a policy change is being activated", "proposal", id)
}

// awaitHint waits for a hint, at most for maxWait ms, and follows it. It returns the time until the next report,
// in ms, which is pause if waiting for a hint is not possible.
func (g *Gate) awaitHint(ctx context.Context, maxWait, pause float64) float64 {
	due := g.clock.Now() + spread(maxWait)
	var hint rollout.Progress
	for timedOut := true; timedOut; { // several requests, so that a lost one costs RetryAfter instead of maxWait
		requestCtx, cancel := context.WithCancel(ctx)
		stop := g.clock.At(min(due, g.clock.Now()+g.holder.RetryAfter()), cancel)
		var err error
		hint, err = g.fleet.Progress(requestCtx, g.holder.Known())
		timedOut = requestCtx.Err() != nil
		stop()
		cancel()
		switch {
		case timedOut && (ctx.Err() != nil || g.clock.Now() >= due):
			return 0
		case !timedOut && err != nil:
			return pause
		}
	}
	var next rollout.Step
	g.update(func(h *rollout.LeaseHolder) { next = h.ApplyHint(hint) })
	if next.Paused {
		g.logPause(hint.Change)
	}
	if next.Activate {
		ctx, cancel := g.requestContext(ctx)
		defer cancel()
		return g.activate(ctx, next.Number, next.Hash)
	}
	return next.Pause
}

// validate fetches the document of a proposal and lets the node check it. It returns the time until the next
// report, in ms.
func (g *Gate) validate(ctx context.Context, id string) (pause float64) {
	d, err := g.fleet.Document(ctx, 0, id)
	unseen := err != nil
	if !unseen {
		g.validated = d
		if err = g.node.Check(d); err != nil {
			g.log.Warn("proposed policy rejected by this node", "proposal", id, "error", err)
		} else {
			g.log.Info("proposed policy accepted by this node", "proposal", id, "hash", d.Hash)
		}
	}
	g.update(func(h *rollout.LeaseHolder) { pause = h.RecordValidation(id, unseen, err) })
	return pause
}

// activate brings a policy into force while no calls are admitted. It returns the time until the next report, in
// ms. The last validated document is not fetched again. Number 0 has no document.
func (g *Gate) activate(ctx context.Context, number uint64, hash string) (pause float64) {
	d := rollout.Document{}
	if hash != "" && hash == g.validated.Hash {
		d = g.validated
		d.Number = number
	} else if number > 0 {
		var err error
		if d, err = g.fleet.Document(ctx, number, ""); err != nil {
			return g.holder.RetryAfter()
		}
	}
	if err := g.node.Activate(d); err != nil {
		g.log.Error("cannot activate the policy in force: calls are rejected", "number", number, "error", err)
		g.update(func(h *rollout.LeaseHolder) { pause = h.RecordActivationFailure(number) })
		return pause
	}
	g.update(func(h *rollout.LeaseHolder) { h.RecordActivation(number, d.Hash) })
	g.log.Info("policy activated", "number", number, "hash", d.Hash, "by", d.By)
	return 0
}
