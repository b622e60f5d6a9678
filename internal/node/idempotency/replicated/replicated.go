// Package replicated holds names for all nodes of a fleet: what a node takes is agreed by the keepers before its first byte goes
// out, and what it was answered before its client is told. It is the adaptor between the stage of repeats and the agreed log;
// what is decided is in package ledger.
//
// While no majority of keepers can be reached, names are refused at once: a look goes on in the background and finds when one
// can be reached again.
package replicated

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Settings describe the adaptor. Times are milliseconds.
type Settings struct {
	Node    string
	Secret  []byte   // under which names are hashed: the same on all nodes
	Tenants []string // by number
	Claim   float64  // after which nothing that a name was taken for is sent any more
	Longest float64  // that a run may take
	Take    float64  // at the most for a name to be agreed
	End     float64  // and for its end, before the client is told all the same
	Before  uint64   // life of the node's process whose place this one takes, and which answers what it had taken; 0 = none
}

const (
	probeInterval            = 500.0  // ms between looks whether a majority can be reached
	unreachableProbeInterval = 100.0  // while none could be
	unreachableProbeTimeout  = 5000.0 // ms that one of these may take: nobody waits for it, and slow keepers must not be taken for none
	minPollInterval          = 5.0    // ms between questions how a run elsewhere ended; doubles up to
	maxPollInterval          = 80.0
	retryAfter               = 1000.0 // ms that a client is told to come back after
	endReportTimeout         = 10 * time.Second
	maxEndReports            = 256 // ends that are still told afterwards, at once
)

// Names is the adaptor.
type Names struct {
	config           Settings
	log              *slog.Logger
	clock            clock.Clock
	client           *client.Client
	life             uint64
	ready            chan struct{} // closed when names can be taken for the first time
	predecessorEnded chan struct{} // closed when the process before has ended
	predecessorOnce  sync.Once
	announceCtx      context.Context // until another process takes this one's place
	stopAnnouncing   context.CancelFunc
	reachable        atomic.Bool
	replies          atomic.Uint64 // counts what the keepers answered
	endReports       chan struct{}
	stopping         chan struct{} // closed when Run ends
	background       sync.WaitGroup
}

// New makes the adaptor; Run has it begin.
func New(set Settings, c *client.Client, t clock.Clock, log *slog.Logger) *Names {
	n := &Names{config: set, log: log, clock: t, client: c, life: rand.Uint64()>>1 | 1, ready: make(chan struct{}),
		predecessorEnded: make(chan struct{}), endReports: make(chan struct{}, maxEndReports), stopping: make(chan struct{})}
	n.announceCtx, n.stopAnnouncing = context.WithCancel(context.Background())
	return n
}

// Run tells the fleet that this process has begun, and then looks whether a majority of keepers can be reached, until ctx
// ends. Until the first has worked, no name is taken.
func (n *Names) Run(ctx context.Context) {
	defer n.background.Wait()
	defer close(n.stopping)
	sum := hmac.New(sha256.New, n.config.Secret)
	_, _ = sum.Write([]byte("linenwheel names of a fleet")) // it does not fail
	fresh := statemachine.ProcessStart{Node: n.config.Node, Life: n.life, Secret: sum.Sum(nil), Before: n.config.Before}
	told, warned, alone, first := false, false, n.predecessorEnded, true
	if fresh.Before == 0 {
		alone = nil
	}
	for ctx.Err() == nil {
		seen := n.replies.Load()
		patience := n.config.Take
		if !n.reachable.Load() {
			patience = max(patience, unreachableProbeTimeout)
		}
		one, stop := context.WithTimeout(ctx, n.duration(patience))
		var err error
		if !told && n.announceCtx.Err() == nil { // a later process would count as an earlier one whose runs nobody answers for
			unhook := context.AfterFunc(n.announceCtx, stop) //nolint:contextcheck // n.own ends with Yield, before ctx
			var r statemachine.Reply
			if r, err = n.client.Do(one, statemachine.ComponentCalls, statemachine.ProcessStartCommand(fresh)); err == nil && r.Code == statemachine.Conflict {
				if !warned {
					n.log.Error("this node hashes names under another secret than its fleet: it takes none", "error", r.Text)
				}
				warned, err = true, errors.New(r.Text)
			}
			told = err == nil
			unhook()
		} else {
			_, err = n.client.Read(one, statemachine.ComponentCalls, statemachine.Lookup{Name: make([]byte, 16)})
		}
		stop()
		switch {
		case err == nil && !n.reachable.Swap(true):
			n.log.Info("names are agreed with the fleet", "life", n.life)
			if first {
				first = false
				close(n.ready)
			}
		case err != nil && n.replies.Load() == seen:
			n.markUnreachable(err)
		}
		pause := probeInterval
		if !n.reachable.Load() {
			pause = unreachableProbeInterval
		}
		wait := make(chan struct{})
		cancel := n.clock.At(n.clock.Now()+pause*(0.75+rand.Float64()/2), func() { close(wait) })
		select {
		case <-wait:
		case <-alone: // what the process before had taken and not ended may have run
			alone, fresh.Before, told = nil, 0, false
			cancel()
		case <-ctx.Done():
			cancel()
		}
	}
}

// Begun is closed once names can be taken for the first time.
func (n *Names) Begun() <-chan struct{} { return n.ready }

// Life is this process's.
func (n *Names) Life() uint64 { return n.life }

// Alone tells that the process before has ended, whose place this one took.
func (n *Names) Alone() { n.predecessorOnce.Do(func() { close(n.predecessorEnded) }) }

// Yield tells that another process takes this one's place: the fleet hears no more of this one's life, but the ends of its calls.
func (n *Names) Yield() { n.stopAnnouncing() }

func (n *Names) duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// markUnreachable notes that no majority can be reached.
func (n *Names) markUnreachable(err error) {
	if n.reachable.Swap(false) {
		n.log.Warn("no majority of keepers can be reached: calls that must not run twice are refused", "error", err)
	}
}

// Up tells whether names can be taken.
func (n *Names) Up() bool { return n.reachable.Load() }

// Look tells how a name stands, and waits for the run elsewhere that has it; Run = nobody has it, and it is not taken.
func (n *Names) Look(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.Taken {
	if !n.reachable.Load() {
		return middleware.Taken{Verdict: idempotency.Full, Reason: middleware.ReasonNoMajority, Wait: retryAfter}
	}
	o, err := n.lookup(c, deadline)
	if err != nil {
		return middleware.Taken{Verdict: idempotency.Full, Reason: middleware.ReasonNoMajority, Wait: retryAfter}
	}
	if o.Result == statemachine.ClaimRunning {
		o = n.awaitRemoteRun(c, deadline, left, minPollInterval)
	}
	if o.Result == statemachine.ClaimUnknown {
		return middleware.Taken{Verdict: idempotency.Run}
	}
	return claimResult(o)
}

// lookup asks once how a name stands.
func (n *Names) lookup(c idempotency.Call, deadline float64) (o statemachine.ClaimReply, err error) {
	ctx, stop := context.WithTimeout(context.Background(), n.duration(max(0, min(n.config.Take, deadline-n.clock.Now()))))
	defer stop()
	r, err := n.client.Read(ctx, statemachine.ComponentCalls, statemachine.Lookup{Name: c.Name[:], Print: c.Print[:]})
	switch {
	case err != nil:
		return o, err
	case r.Code != statemachine.OK:
		return o, errors.New(r.Text)
	}
	return o, json.Unmarshal(r.Body, &o)
}

// claimResult is what an outcome other than a run of one's own comes to.
func claimResult(o statemachine.ClaimReply) middleware.Taken {
	switch o.Result {
	case statemachine.ClaimReplayed:
		return middleware.Taken{Verdict: idempotency.Replay, Body: o.Body}
	case statemachine.ClaimExecuted:
		return middleware.Taken{Verdict: idempotency.Spent}
	case statemachine.ClaimMismatch:
		return middleware.Taken{Verdict: idempotency.Mismatch}
	case statemachine.ClaimInDoubt:
		return middleware.Taken{Verdict: idempotency.Doubt}
	case statemachine.ClaimRunning:
		return middleware.Taken{Verdict: idempotency.Join}
	}
	return middleware.Taken{Verdict: idempotency.Full, Wait: o.Wait}
}

// Take has a name taken, or waits for the run elsewhere that has it, until the deadline or until left is closed.
func (n *Names) Take(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.Taken {
	if !n.reachable.Load() {
		return middleware.Taken{Verdict: idempotency.Full, Reason: middleware.ReasonNoMajority, Wait: retryAfter}
	}
	tenant := ""
	if c.Tenant >= 0 && c.Tenant < len(n.config.Tenants) {
		tenant = n.config.Tenants[c.Tenant]
	}
	t := middleware.Taken{Token: rand.Uint64()>>1 | 1}
	take := statemachine.ClaimCommand(statemachine.Claim{Name: c.Name[:], Print: c.Print[:], Tenant: tenant, Answered: c.Windows.Answered,
		Doubt: c.Windows.Doubt, Run: n.config.Claim + n.config.Longest, Node: n.config.Node, Life: n.life, Token: t.Token})
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		asked := n.clock.Now()
		if asked >= deadline {
			return middleware.Taken{Verdict: idempotency.Join}
		}
		ctx, stop := context.WithTimeout(context.Background(), n.duration(min(n.config.Take, deadline-asked)))
		r, err := n.client.Do(ctx, statemachine.ComponentCalls, take)
		stop()
		if err != nil {
			n.markUnreachable(err)
			if errors.Is(err, client.ErrUnknown) { // nothing was sent, and nothing will be
				n.background.Go(func() {
					n.releaseClaim(statemachine.Completion{Name: c.Name[:], Token: t.Token, Outcome: statemachine.OutcomeNotExecuted})
				})
			}
			return middleware.Taken{Verdict: idempotency.Full, Reason: middleware.ReasonNoMajority, Wait: retryAfter}
		}
		n.replies.Add(1)
		var o statemachine.ClaimReply
		if r.Code != statemachine.OK || json.Unmarshal(r.Body, &o) != nil {
			n.log.Error("a name could not be taken", "error", r.Text)
			return middleware.Taken{Verdict: idempotency.Full, Wait: retryAfter}
		}
		if o.Result == statemachine.ClaimRunning {
			if o = n.awaitRemoteRun(c, deadline, left, poll); o.Result == statemachine.ClaimUnknown {
				continue // it did not run: this one may be the next
			}
		}
		if o.Result == statemachine.ClaimGranted {
			t.Stands = func() bool { return n.clock.Now() < asked+n.config.Claim }
			return t
		}
		return claimResult(o)
	}
}

// awaitRemoteRun asks how a run elsewhere ended until it has. TakenElse = it had not when the time was up.
func (n *Names) awaitRemoteRun(c idempotency.Call, deadline float64, left <-chan struct{}, poll float64) statemachine.ClaimReply {
	running := statemachine.ClaimReply{Result: statemachine.ClaimRunning}
	for ; ; poll = min(2*poll, maxPollInterval) {
		now := n.clock.Now()
		wait := make(chan struct{})
		cancel := n.clock.At(min(now+poll, deadline), func() { close(wait) })
		select {
		case <-wait:
		case <-left:
			cancel()
			return running
		}
		if now = n.clock.Now(); now >= deadline {
			return running
		}
		if o, err := n.lookup(c, deadline); err == nil && o.Result != statemachine.ClaimRunning {
			return o
		}
	}
}

// Ended has it agreed how a run ended, and returns once it is, or after Settings.End: it then goes on for a while.
func (n *Names) Ended(c idempotency.Call, t middleware.Taken, outcome idempotency.End, body []byte) {
	e := statemachine.Completion{Name: c.Name[:], Token: t.Token, Outcome: statemachine.OutcomeInDoubt}
	switch outcome {
	case idempotency.EndServed:
		e.Outcome, e.Body = statemachine.OutcomeServed, body
	case idempotency.EndNotRun:
		e.Outcome = statemachine.OutcomeNotExecuted
	}
	if len(body) > statemachine.MaxOneBodyBytes {
		e.Body = nil // known without
	}
	select {
	case n.endReports <- struct{}{}:
	default:
		return // too many: the name stays one that may have run
	}
	agreed := make(chan struct{})
	n.background.Go(func() {
		defer func() { <-n.endReports; close(agreed) }()
		ctx, stop := context.WithTimeout(context.Background(), endReportTimeout)
		defer stop()
		if _, ok := n.reportEnd(ctx, e); !ok { // told twice, the second is a conflict that changes nothing
			n.log.Warn("the end of a call was not agreed: it counts as one that may have run")
		}
	})
	late := make(chan struct{})
	cancel := n.clock.At(n.clock.Now()+n.config.End, func() { close(late) })
	defer cancel()
	select {
	case <-agreed:
	case <-late:
	}
}

// reportEnd has an end agreed, and gives the reply; false where it was not before ctx ended.
func (n *Names) reportEnd(ctx context.Context, e statemachine.Completion) (r statemachine.Reply, ok bool) {
	for ctx.Err() == nil {
		one, stop := context.WithTimeout(ctx, n.duration(n.config.Take))
		r, err := n.client.Do(one, statemachine.ComponentCalls, statemachine.CompletionCommand(e))
		stop()
		if err == nil {
			n.replies.Add(1)
			return r, true
		}
	}
	return r, false
}

// releaseClaim gives up a name of which it is not known whether it was taken: a claim that is still on its way may be agreed after the
// word that nothing ran, so that it is said again, less and less often, until it is heard or no longer to be expected.
func (n *Names) releaseClaim(e statemachine.Completion) {
	select {
	case n.endReports <- struct{}{}:
		defer func() { <-n.endReports }()
	default:
		return // too many: the name may stay one that may have run
	}
	ctx, stop := context.WithTimeout(context.Background(), endReportTimeout)
	defer stop()
	for pause := unreachableProbeInterval; ; pause *= 2 {
		if r, ok := n.reportEnd(ctx, e); !ok || r.Code == statemachine.OK {
			return
		}
		wait := make(chan struct{})
		cancel := n.clock.At(n.clock.Now()+pause, func() { close(wait) })
		select {
		case <-wait:
		case <-ctx.Done():
			cancel()
			return
		case <-n.stopping:
			cancel()
			return
		}
	}
}
