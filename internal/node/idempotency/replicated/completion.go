package replicated

import (
	"context"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Complete reports the outcome of a run to the replicas and returns once it is committed, or after
// Settings.CompletionTimeout: it then continues in the background, for endReportTimeout at most.
func (n *Keys) Complete(c idempotency.Call, t middleware.ClaimResult, outcome idempotency.Outcome, body []byte) {
	e := statemachine.Completion{Name: c.Key[:], Token: t.Token, Outcome: statemachine.OutcomeInDoubt}
	switch outcome {
	case idempotency.OutcomeServed:
		e.Outcome, e.Body = statemachine.OutcomeServed, body
	case idempotency.OutcomeNotExecuted:
		e.Outcome = statemachine.OutcomeNotExecuted
	}
	if len(body) > statemachine.MaxOneBodyBytes {
		e.Body = nil // too large to be kept: only known to have executed
	}
	select {
	case n.endReports <- struct{}{}:
	default:
		return // too many reports: the key stays in doubt
	}
	committed := make(chan struct{})
	n.background.Go(func() {
		defer func() { <-n.endReports; close(committed) }()
		ctx, stop := context.WithTimeout(context.Background(), endReportTimeout)
		defer stop()
		if _, ok := n.reportEnd(ctx, e); !ok { // a second report of it is a conflict that changes nothing
			n.log.Warn("the outcome of a call was not committed by the replicas: it counts as in doubt")
		}
	})
	expired, cancel := n.timer(n.clock.Now() + n.config.CompletionTimeout)
	defer cancel()
	select {
	case <-committed:
	case <-expired:
	}
}

// reportEnd retries until an outcome is committed, and returns the reply; false if that did not happen before ctx
// ended.
func (n *Keys) reportEnd(ctx context.Context, e statemachine.Completion) (r statemachine.Reply, ok bool) {
	for ctx.Err() == nil {
		one, stop := context.WithTimeout(ctx, n.duration(n.config.RequestTimeout))
		r, err := n.client.Do(one, statemachine.ComponentCalls, statemachine.CompletionCommand(e))
		stop()
		if err == nil {
			n.replies.Add(1)
			return r, true
		}
	}
	return r, false
}

// releaseClaim gives up a claim of which it is not known whether it was committed. A claim that is still in flight
// may be committed after the report that nothing ran, so the report is repeated with backoff until it finds the
// claim or the claim can no longer arrive.
func (n *Keys) releaseClaim(e statemachine.Completion) {
	select {
	case n.endReports <- struct{}{}:
		defer func() { <-n.endReports }()
	default:
		return // too many reports: the key may stay in doubt
	}
	ctx, stop := context.WithTimeout(context.Background(), endReportTimeout)
	defer stop()
	for pause := unreachableProbeInterval; ; pause *= 2 {
		if r, ok := n.reportEnd(ctx, e); !ok || r.Code == statemachine.OK {
			return
		}
		wait, cancel := n.timer(n.clock.Now() + pause)
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
