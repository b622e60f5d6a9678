package replicated

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Claim claims a key, or waits for the run elsewhere that holds it, until the deadline or until left is closed.
func (n *Keys) Claim(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.ClaimResult {
	if !n.reachable.Load() {
		return noMajority
	}
	tenant := ""
	if c.Tenant >= 0 && c.Tenant < len(n.config.Tenants) {
		tenant = n.config.Tenants[c.Tenant]
	}
	t := middleware.ClaimResult{Token: rand.Uint64()>>1 | 1}
	claim := statemachine.Claim{Name: c.Key[:], Fingerprint: c.Fingerprint[:], Tenant: tenant, AnsweredWindow: c.Windows.Answered, InDoubtWindow: c.Windows.Doubt,
		RunTimeout: n.config.ClaimValidity + n.config.MaxRun, Node: n.config.Node, Incarnation: n.life, Token: t.Token}
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		asked := n.clock.Now()
		if asked >= deadline {
			return middleware.ClaimResult{Verdict: idempotency.Join}
		}
		o, rejected := n.commitClaim(claim, min(n.config.RequestTimeout, deadline-asked))
		if rejected != nil {
			return *rejected
		}
		if o.Result == statemachine.ClaimRunning {
			if o = n.awaitRemoteRun(c, deadline, left, poll); o.Result == statemachine.ClaimUnknown {
				continue // it did not run: this call may be the next
			}
		}
		if o.Result == statemachine.ClaimGranted {
			t.Valid = func() bool { return n.clock.Now() < asked+n.config.ClaimValidity }
			return t
		}
		return claimResult(o)
	}
}

// commitClaim waits until a claim is committed, for at most timeout ms. rejected is the result where it was not.
func (n *Keys) commitClaim(claim statemachine.Claim, timeout float64) (o statemachine.ClaimReply, rejected *middleware.ClaimResult) {
	ctx, stop := context.WithTimeout(context.Background(), n.duration(timeout))
	r, err := n.client.Do(ctx, statemachine.ComponentCalls, statemachine.ClaimCommand(claim))
	stop()
	if err != nil {
		n.markUnreachable(err)
		if errors.Is(err, client.ErrUnknown) { // it may still be committed, although no attempt was sent to a backend and none will be
			n.background.Go(func() {
				n.releaseClaim(statemachine.Completion{Name: claim.Name, Token: claim.Token, Outcome: statemachine.OutcomeNotExecuted})
			})
		}
		return o, &noMajority
	}
	n.replies.Add(1)
	if r.Code != statemachine.OK || json.Unmarshal(r.Body, &o) != nil {
		n.log.Error("an idempotency key could not be claimed", "error", r.Text)
		return o, &middleware.ClaimResult{Verdict: idempotency.Full, RetryAfter: retryAfter}
	}
	return o, nil
}

// Lookup looks up a key without claiming it, and waits for the run elsewhere that holds it. Run = nobody holds it.
func (n *Keys) Lookup(c idempotency.Call, deadline float64, left <-chan struct{}) middleware.ClaimResult {
	if !n.reachable.Load() {
		return noMajority
	}
	o, err := n.lookup(c, deadline)
	if err != nil {
		return noMajority
	}
	if o.Result == statemachine.ClaimRunning {
		o = n.awaitRemoteRun(c, deadline, left, minPollInterval)
	}
	if o.Result == statemachine.ClaimUnknown {
		return middleware.ClaimResult{Verdict: idempotency.Run}
	}
	return claimResult(o)
}

// lookup reads the state of a key once.
func (n *Keys) lookup(c idempotency.Call, deadline float64) (o statemachine.ClaimReply, err error) {
	ctx, stop := context.WithTimeout(context.Background(), n.duration(max(0, min(n.config.RequestTimeout, deadline-n.clock.Now()))))
	defer stop()
	r, err := n.client.Read(ctx, statemachine.ComponentCalls, statemachine.Lookup{Name: c.Key[:], Fingerprint: c.Fingerprint[:]})
	switch {
	case err != nil:
		return o, err
	case r.Code != statemachine.OK:
		return o, errors.New(r.Text)
	}
	return o, json.Unmarshal(r.Body, &o)
}

// awaitRemoteRun polls a key until its run elsewhere has ended. ClaimRunning = it had not at the deadline, or when
// left was closed.
func (n *Keys) awaitRemoteRun(c idempotency.Call, deadline float64, left <-chan struct{}, poll float64) statemachine.ClaimReply {
	running := statemachine.ClaimReply{Result: statemachine.ClaimRunning}
	for ; ; poll = min(2*poll, maxPollInterval) {
		now := n.clock.Now()
		wait, cancel := n.timer(min(now+poll, deadline))
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

// claimResult returns the result of a claim that was not granted.
func claimResult(o statemachine.ClaimReply) middleware.ClaimResult {
	switch o.Result {
	case statemachine.ClaimReplayed:
		return middleware.ClaimResult{Verdict: idempotency.Replay, Body: o.Body}
	case statemachine.ClaimExecuted:
		return middleware.ClaimResult{Verdict: idempotency.Executed}
	case statemachine.ClaimMismatch:
		return middleware.ClaimResult{Verdict: idempotency.Mismatch}
	case statemachine.ClaimInDoubt:
		return middleware.ClaimResult{Verdict: idempotency.InDoubt}
	case statemachine.ClaimRunning:
		return middleware.ClaimResult{Verdict: idempotency.Join}
	}
	return middleware.ClaimResult{Verdict: idempotency.Full, RetryAfter: o.Wait}
}
