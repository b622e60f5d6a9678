// Package gate holds a node to the policy of its fleet: it renews the lease on the policy's number, follows what package rollout
// says of a change, and lets calls begin only while the lease lasts.
//
// The lease counts on the node's own clock from the moment before it was requested, so that it expires here before it does for
// the fleet. That clock must go on while the process stands still.
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

// ReasonPolicy is the reason with which calls are rejected.
const ReasonPolicy = "the fleet's policy is not known here"

const lastReportTimeout = 200 * time.Millisecond // for the report that the node ends

// Fleet is the rollout's machine, replicated. Its methods may block until ctx ends.
type Fleet interface {
	// Report sends a report and returns the order that answers it.
	Report(ctx context.Context, r rollout.Report) (rollout.Order, error)
	// Document returns a document by its number, or by its proposal if id is not empty.
	Document(ctx context.Context, number uint64, id string) (rollout.Document, error)
	// Progress returns the progress once it differs from known; an error says that it cannot be waited for now.
	Progress(ctx context.Context, known rollout.Progress) (rollout.Progress, error)
}

// Node is what the policy is for. Run calls its methods one after the other.
type Node interface {
	Check(d rollout.Document) error    // returns why the node rejects a document
	Activate(d rollout.Document) error // brings it into force
}

// Settings are the parameters of a gate. Times are in ms.
type Settings struct {
	Name    string
	Lease   float64
	MaxWait float64 // that a call waits for a lease
	GoesOn  bool    // calls begin without a lease too
	Ready   func()  // called once, when the first policy is in force
}

// Gate lets calls begin. Its methods may be called from any goroutine.
type Gate struct {
	settings Settings
	fleet    Fleet
	node     Node
	clock    clock.Clock
	log      *slog.Logger

	validated rollout.Document // the last one; of Run alone

	mu     sync.Mutex
	holder *rollout.LeaseHolder // changed by Run alone, with the lock; Run reads it without
	change chan struct{}        // closed, and made anew, whenever holder has changed
}

// New returns a gate. It lets no call begin before Run has an order from the fleet.
func New(settings Settings, fleet Fleet, node Node, c clock.Clock, log *slog.Logger) *Gate {
	return &Gate{settings: settings, fleet: fleet, node: node, clock: c, log: log, change: make(chan struct{}),
		holder: rollout.NewLeaseHolder(settings.Name, rand.Uint64()>>1|1, settings.Lease, settings.GoesOn)}
}

// Wrap is a core.Stage: it returns a handler that lets calls begin only while there is a lease.
func (g *Gate) Wrap(next core.Handler) core.Handler {
	return func(request *core.Call) core.Answer {
		if a, ok := g.admit(request); !ok {
			return a
		}
		return next(request)
	}
}

// admit waits until the call may begin, at most MaxWait or until its deadline. If it may not, it returns the answer to it.
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

// open reports whether a call may begin, and returns the channel that is closed when that may change.
func (g *Gate) open() (open bool, change <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Open(g.clock.Now()), g.change
}

// InForce returns the number that calls begin under, its document's hash, and until when on the node's clock, ms; +Inf = without
// a lease.
func (g *Gate) InForce() (number uint64, hash string, until float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.InForce()
}

// update changes the lease holder, and wakes the calls that wait.
func (g *Gate) update(do func(h *rollout.LeaseHolder)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(g.holder)
	close(g.change)
	g.change = make(chan struct{})
}

// Run renews the lease and follows orders until ctx ends. Then no call begins any more, and the fleet is notified.
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
	_, _ = g.fleet.Report(lastCtx, leaving) // if it is lost, the lease expires
}

// sleep waits for some ms, or until ctx ends.
func (g *Gate) sleep(ctx context.Context, ms float64) {
	done := make(chan struct{})
	stop := g.clock.At(g.clock.Now()+ms, func() { close(done) })
	defer stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// spread returns a random time with this mean, so that members do not report in step.
func spread(ms float64) float64 { return ms * (0.75 + rand.Float64()/2) }

// requestContext returns the context of a round of requests to the fleet: what takes longer than a lease is of no use.
func (g *Gate) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(g.settings.Lease*1e6))
}

// step sends one report and follows the order. It returns the ms until the next report, 0 = at once, and for how many ms a hint may
// be waited for instead, 0 = not.
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
	g.update(func(h *rollout.LeaseHolder) { next = h.Obey(sent, o) })
	if next.Renewed {
		g.log.Info("the lease on the policy is renewed: calls begin again", "number", o.Number)
	}
	if next.Known {
		g.log.Info("the fleet's policy is known", "number", o.Number, "hash", o.Hash)
		g.settings.Ready()
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
		g.log.Warn("the lease on the policy has run out: calls are turned away", "number", number)
	}
}

func (g *Gate) logPause(id string) {
	g.log.Info("calls are held: a change of the policy takes hold", "proposal", id)
}

// awaitHint waits for a hint, for maxWait ms at most, and follows it. It returns the ms until the next report; pause is returned
// where no hint can be waited for.
func (g *Gate) awaitHint(ctx context.Context, maxWait, pause float64) float64 {
	due := g.clock.Now() + spread(maxWait)
	var hint rollout.Progress
	for timedOut := true; timedOut; { // several requests, so that a lost one costs RetryAfter and not maxWait
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
	g.update(func(h *rollout.LeaseHolder) { next = h.Observe(hint) })
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

// validate fetches a proposal's document and has the node check it. It returns the ms until the next report.
func (g *Gate) validate(ctx context.Context, id string) (pause float64) {
	d, err := g.fleet.Document(ctx, 0, id)
	unseen := err != nil
	if !unseen {
		g.validated = d
		if err = g.node.Check(d); err != nil {
			g.log.Warn("this node cannot take a policy that was proposed", "proposal", id, "error", err)
		} else {
			g.log.Info("this node can take a policy that was proposed", "proposal", id, "hash", d.Hash)
		}
	}
	g.update(func(h *rollout.LeaseHolder) { pause = h.Saw(id, unseen, err) })
	return pause
}

// activate brings a policy into force, while no call begins. It returns the ms until the next report. The document that was
// validated last is not fetched again; number 0 has none.
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
		g.log.Error("this node cannot take the policy that holds: it begins no calls", "number", number, "error", err)
		g.update(func(h *rollout.LeaseHolder) { pause = h.Failed(number) })
		return pause
	}
	g.update(func(h *rollout.LeaseHolder) { h.Activated(number, d.Hash) })
	g.log.Info("a policy is in force", "number", number, "hash", d.Hash, "by", d.By)
	return 0
}
