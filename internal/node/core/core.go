// Package core owns the life of a call from when a server has read it to its one final answer. It knows no protocol and no
// socket: a downstream server turns bytes into a Call and an Answer back into bytes, a Carrier runs one attempt at one
// host. Between them are the stages (middleware), which may answer a call, delay it or change it, and the dispatcher
// (package dispatch), whose verdicts this package carries out.
//
// Bounds: at most Settings.Calls calls are open at once, each with its id, its payload and its open attempts; at most
// maxReasons reasons are counted separately.
package core

import (
	"cmp"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/metrics"
)

// Host names a host. Its address may later belong to another one.
type Host struct{ Name, Address, Protocol string }

// Transport runs attempts at hosts.
type Transport interface {
	// RunAttempt runs one attempt and blocks until it ends, until the time until (milliseconds) or until off is closed. It
	// sends at most once. The payload belongs to an outcome Served.
	RunAttempt(to Host, call *Call, until float64, off <-chan struct{}) (dispatch.Outcome, any)
}

// Gate admits calls for as long as they can be served.
type Gate interface {
	// Admit tells whether a call is admitted, and when that was, in milliseconds. alone: no other call is open on its
	// client's connection.
	Admit(class int, deadline float64, alone bool) (now float64, ok bool)
	// Completed records the end of a call that was admitted at since.
	Completed(class int, since float64, served, alone bool)
}

// Settings configure a Core.
type Settings struct {
	MaxCalls int  // open at once, at most
	Gate     Gate // nil = every call is admitted
	Stages   Stages
	// Metrics counts calls by class; nil = nothing is counted.
	Metrics *metrics.Set
}

// The reasons that this package gives itself.
const (
	ReasonDuplicateID = "a request with this Req-Id is open"
	ReasonBusy        = "busy"
	ReasonModule      = "the module gave it up" // rejected or failed by the decision module
	ReasonPanic       = "a stage panicked"
	ReasonNoAnswer    = "a stage lost the call"
	ReasonStopping    = "the node is stopping"
)

// maxReasons is how many reasons are counted separately; further ones count as "other".
const maxReasons = 64

// AnswerCount counts the final answers of one kind and reason. Its JSON form must not change.
type AnswerCount struct {
	Kind   Kind   `json:"Kind"`
	Reason string `json:"Reason"`
	Calls  uint64 `json:"Calls"`
	Last   uint64 `json:"Last"` // number of the last of them among all final answers, from 1
}

// Core serves calls. All of its methods may be called from any goroutine.
type Core struct {
	settings   Settings
	dispatcher *dispatch.Dispatcher
	transport  Transport
	log        *slog.Logger
	serve      Handler

	mu        sync.Mutex
	openCalls map[string]*Call // by id, until they are answered
	atLimit   bool             // the last call was rejected for the limit
	counts    map[answerKey]tally
	answers   uint64 // final answers given so far
}

// tally counts the answers of one kind and reason.
type tally struct {
	calls uint64
	last  uint64 // number of the last of them among all
}

type answerKey struct {
	kind   Kind
	reason string
}

// New makes a Core that dispatches calls with dispatcher and runs their attempts with carrier.
func New(settings Settings, dispatcher *dispatch.Dispatcher, carrier Transport, log *slog.Logger) *Core {
	c := &Core{settings: settings, dispatcher: dispatcher, transport: carrier, log: log, openCalls: map[string]*Call{},
		counts: map[answerKey]tally{}}
	c.serve = settings.Stages.chain(c.dispatch)
	return c
}

// Admit admits a call or rejects it, without blocking. rejection says why: too many calls are open, one with the same id is open,
// which hosts could not tell apart, or the node stops too soon. Each admitted call must be passed to Serve.
func (c *Core) Admit(call *Call) (rejection Answer, admitted bool) {
	c.mu.Lock()
	_, duplicate := c.openCalls[call.ID]
	full := len(c.openCalls) >= c.settings.MaxCalls
	limitReached, maxCalls := full && !c.atLimit, c.settings.MaxCalls
	c.atLimit = full
	switch {
	case duplicate:
		rejection = Fail(Invalid, ReasonDuplicateID)
	case full:
		rejection = Refuse(Busy, ReasonBusy, 0)
	case c.settings.Gate != nil:
		if call.admittedAt, admitted = c.settings.Gate.Admit(call.Class, call.Deadline, call.SoleOnConnection); !admitted {
			rejection = Refuse(Busy, ReasonStopping, 0)
		}
	default:
		admitted = true
	}
	if admitted {
		c.openCalls[call.ID] = call
	}
	if !admitted {
		c.count(rejection)
	}
	c.mu.Unlock()
	c.settings.Metrics.Taken()
	if !admitted {
		c.settings.Metrics.Ended(call.Class, rejection.Kind.metricsKind())
	}
	if limitReached {
		c.log.Warn("the cap on open calls is reached: more get a back-off answer", "calls", maxCalls)
	}
	return rejection, admitted
}

// SetMaxCalls changes how many calls may be open at once. Open calls above the limit are served.
func (c *Core) SetMaxCalls(calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings.MaxCalls = calls
}

// Serve serves an admitted call and blocks until its one final answer, or Left. Where the payload of a served answer is still
// Flowing the call stays open: the caller must report its end with Flowed.
func (c *Core) Serve(call *Call) Answer {
	answer := c.serveRecovered(call)
	if f, ok := answer.Payload.(StreamedPayload); ok && answer.Kind == Served && f.Flows() {
		if call.Cancelled() {
			f.Drop()
			answer = Answer{Kind: ClientLeft}
		} else {
			return answer
		}
	}
	c.finish(call, answer, answer.Kind == Served)
	return answer
}

// StreamEnded reports the end of an answer whose body was still arriving when Serve returned it: kind is what the call counts as.
func (c *Core) StreamEnded(call *Call, kind Kind) { c.finish(call, Answer{Kind: kind}, false) }

// finish closes a call. timed tells whether the time it took is that of a complete answer.
func (c *Core) finish(call *Call, answer Answer, timed bool) {
	c.mu.Lock()
	delete(c.openCalls, call.ID) // before the answer goes out: the client may use the id again right after it
	c.count(answer)
	c.mu.Unlock()
	c.settings.Metrics.Ended(call.Class, answer.Kind.metricsKind())
	if c.settings.Gate != nil {
		c.settings.Gate.Completed(call.Class, call.admittedAt, timed, call.SoleOnConnection)
	}
}

// Finish gives every open call its final answer now: that of the dispatcher, or a failure where a stage has the call, since only
// the stage could tell whether it has run. Take must not be called any more.
func (c *Core) Finish() {
	c.dispatcher.Finish()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.openCalls {
		call.abort()
	}
}

// serveRecovered runs the chain and turns a panic of a stage into a failure of its call.
func (c *Core) serveRecovered(call *Call) (answer Answer) {
	defer func() {
		if err := recover(); err != nil {
			c.log.Error("a stage panicked", "error", fmt.Sprint(err), "stack", string(debug.Stack()))
			call.Cancel() // cancels its open attempts
			if call.dispatched {
				c.drainVerdicts(call)
			}
			answer = Fail(Unavailable, ReasonPanic)
		}
	}()
	answer = c.serve(call)
	if answer.Kind == ClientLeft && !call.Cancelled() {
		answer = Fail(Unavailable, ReasonNoAnswer)
		if call.isAborted() {
			answer.Reason = ReasonStopping
		}
	}
	if answer.Reason != "" && answer.Reason != ReasonModule && answer.Reason != ReasonStopping {
		c.log.Info("a stage ended a call", "answer", answer.Kind.String(), "reason", answer.Reason)
	}
	return answer
}

// count counts a final answer. The caller holds the lock.
func (c *Core) count(answer Answer) {
	e := answerKey{answer.Kind, answer.Reason}
	if _, ok := c.counts[e]; !ok && len(c.counts) >= maxReasons {
		e.reason = "other"
	}
	c.answers++
	c.counts[e] = tally{c.counts[e].calls + 1, c.answers}
}

// Unanswered is the number of calls that have no final answer yet.
func (c *Core) Unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openCalls)
}

// AnswerCounts returns the counts of final answers so far, ordered by kind and reason.
func (c *Core) AnswerCounts() []AnswerCount {
	c.mu.Lock()
	endings := make([]AnswerCount, 0, len(c.counts))
	for e, n := range c.counts {
		endings = append(endings, AnswerCount{e.kind, e.reason, n.calls, n.last})
	}
	c.mu.Unlock()
	slices.SortFunc(endings, func(a, b AnswerCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return endings
}

// dispatch is the end of the chain: it carries out the dispatcher's verdicts until one of them is the final answer. A call may
// be dispatched once; a stage that wants another run forks it.
func (c *Core) dispatch(call *Call) Answer {
	call.cancels = call.cancelBuffer[:0]
	c.dispatcher.Begin(&call.ticket, dispatch.Request{Class: call.Class, Tenant: call.Tenant, Deadline: call.Deadline,
		Cost: call.Cost, ClientRetry: call.ClientRetry})
	call.markDispatched()
	for {
		switch verdict := call.ticket.Next(); verdict.Kind {
		case dispatch.Respond:
			c.drainVerdicts(call)
			return Answer{Kind: Served, Payload: verdict.Payload}
		case dispatch.Reject:
			c.drainVerdicts(call)
			return Answer{Kind: Refused, Fault: Busy, Reason: ReasonModule, Wait: verdict.Wait, Ran: verdict.Ran}
		case dispatch.Fail:
			c.drainVerdicts(call)
			return Answer{Kind: Failed, Fault: Unavailable, Reason: ReasonModule, Ran: verdict.Ran}
		case dispatch.Done:
			return Answer{Kind: ClientLeft, Ran: verdict.Ran}
		default:
			c.carryOut(call, verdict)
		}
	}
}

// drainVerdicts carries out, in the background, the remaining verdicts of a call that is answered but has open attempts, such
// as a hedged request.
func (c *Core) drainVerdicts(call *Call) {
	if call.ticket.Complete() {
		return
	}
	go func() {
		for verdict := call.ticket.Next(); verdict.Kind != dispatch.Done; verdict = call.ticket.Next() {
			c.carryOut(call, verdict)
		}
	}()
}

// carryOut starts an attempt or cancels one. The verdicts of a call are carried out one after the other.
func (c *Core) carryOut(call *Call, verdict dispatch.Action) {
	switch verdict.Kind {
	case dispatch.Send:
		for len(call.cancels) <= verdict.AttemptIndex { // an attempt that a rule forbade has no verdict
			call.cancels = append(call.cancels, nil)
		}
		cancel := make(chan struct{})
		call.cancels[verdict.AttemptIndex] = cancel
		go c.runAttempt(call, verdict, cancel)
	case dispatch.Cancel:
		close(call.cancels[verdict.AttemptIndex])
	}
}

// runAttempt runs one attempt and reports its end. One whose carrier panics may have run.
func (c *Core) runAttempt(call *Call, verdict dispatch.Action, cancel <-chan struct{}) {
	outcome, payload := dispatch.Failed, any(nil)
	defer func() {
		if err := recover(); err != nil {
			c.log.Error("a carrier panicked", "error", fmt.Sprint(err), "stack", string(debug.Stack()))
		}
		used := call.ticket.Report(verdict.AttemptIndex, outcome, payload)
		if f, ok := payload.(StreamedPayload); ok && !used {
			f.Drop()
		}
	}()
	outcome, payload = c.transport.RunAttempt(Host{Name: verdict.Host, Address: verdict.Address, Protocol: verdict.Protocol}, call, verdict.Until, cancel)
}
