// Package core manages the life cycle of a call from the time a server has read it until its single final answer.
// It knows neither protocols nor sockets: a downstream server turns bytes into a Call and an Answer back into
// bytes, and a Transport runs one attempt at one host. Between them are the stages (middleware), which may answer
// a call, delay it or change it, and the dispatcher (package dispatch), whose actions this package carries out.
//
// Bounds: at most Settings.MaxCalls calls are open at once, each with its id, its payload and its open attempts;
// at most maxReasons reasons are counted separately.
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

// Host identifies a host. Its address may later belong to another host.
type Host struct{ Name, Address, Protocol string }

// Transport runs attempts at hosts.
type Transport interface {
	// RunAttempt runs one attempt and blocks until it ends, until the time until (in milliseconds) or until cancel
	// is closed. It sends the request at most once. The payload is that of the response if the outcome is
	// dispatch.Served.
	RunAttempt(to Host, call *Call, until float64, cancel <-chan struct{}) (dispatch.Outcome, any)
}

// Gate admits calls as long as they can be served in time.
type Gate interface {
	// Admit reports whether a call is admitted, and the time of admission in milliseconds. alone: no other call is
	// open on the client's connection.
	Admit(class int, deadline float64, alone bool) (now float64, ok bool)
	// Completed records the end of a call that was admitted at the time since.
	Completed(class int, since float64, served, alone bool)
}

// Settings configure a Core.
type Settings struct {
	MaxCalls int  // maximum number of open calls
	Gate     Gate // nil = every call is admitted
	Stages   Stages
	// Metrics counts calls by class; nil = no metrics.
	Metrics *metrics.Counters
}

// The reasons of answers that this package makes itself.
const (
	ReasonDuplicateID = "a request with this Req-Id is open"
	ReasonBusy        = "busy"
	ReasonModule      = "the module gave it up" // rejected or failed by the decision module
	ReasonPanic       = "a stage panicked"
	ReasonNoAnswer    = "a stage lost the call"
	ReasonStopping    = "the node is stopping"
)

// maxReasons is the maximum number of reasons that are counted separately; further ones are counted as "other".
const maxReasons = 64

// AnswerCount counts the final answers of one kind and reason. Its JSON form must not change.
type AnswerCount struct {
	Kind   Kind   `json:"Kind"`
	Reason string `json:"Reason"`
	Calls  uint64 `json:"Calls"`
	Last   uint64 `json:"Last"` // number of the last of them among all final answers, from 1
}

// Core serves calls. Its methods are safe for concurrent use.
type Core struct {
	settings   Settings
	dispatcher *dispatch.Dispatcher
	transport  Transport
	log        *slog.Logger
	serve      Handler

	mu        sync.Mutex
	openCalls map[string]*Call // by id, until they are answered
	atLimit   bool             // the last call was rejected because of the limit
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

// New returns a Core that dispatches calls with dispatcher and runs their attempts with transport.
func New(settings Settings, dispatcher *dispatch.Dispatcher, carrier Transport, log *slog.Logger) *Core {
	c := &Core{settings: settings, dispatcher: dispatcher, transport: carrier, log: log, openCalls: map[string]*Call{},
		counts: map[answerKey]tally{}}
	c.serve = settings.Stages.chain(c.dispatch)
	return c
}

// Admit admits or rejects a call without blocking. rejection holds the reason: too many calls are open, a call
// with the same id is open (hosts could not tell the two apart), or the node will stop before the call could be
// served. Each admitted call must be passed to Serve.
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
	c.settings.Metrics.CallStarted()
	if !admitted {
		c.settings.Metrics.CallEnded(call.Class, rejection.Kind.metricsKind())
	}
	if limitReached {
		c.log.Warn("limit on open calls reached; further calls are rejected as busy", "calls", maxCalls)
	}
	return rejection, admitted
}

// SetMaxCalls changes the limit on open calls. Calls that are already open above the limit are still served.
func (c *Core) SetMaxCalls(calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings.MaxCalls = calls
}

// Serve serves an admitted call and blocks until its final answer, which has the kind ClientLeft if the client has
// disconnected. If the body of a served answer is still arriving (StreamedPayload), the call stays open: the
// caller must report its end with StreamEnded.
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

// StreamEnded reports the end of an answer whose body was still arriving when Serve returned it. The call is
// counted as kind.
func (c *Core) StreamEnded(call *Call, kind Kind) { c.finish(call, Answer{Kind: kind}, false) }

// finish closes a call. timed reports whether its duration is that of a complete answer.
func (c *Core) finish(call *Call, answer Answer, timed bool) {
	c.mu.Lock()
	delete(c.openCalls, call.ID) // before the answer is sent: the client may reuse the id right after it
	c.count(answer)
	c.mu.Unlock()
	c.settings.Metrics.CallEnded(call.Class, answer.Kind.metricsKind())
	if c.settings.Gate != nil {
		c.settings.Gate.Completed(call.Class, call.admittedAt, timed, call.SoleOnConnection)
	}
}

// Finish ends every open call now. A call gets the answer of the dispatcher, or fails if a stage still holds it,
// since only the stage could tell whether it has run. Admit must not be called afterwards.
func (c *Core) Finish() {
	c.dispatcher.Finish()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.openCalls {
		call.abort()
	}
}

// serveRecovered runs the chain of stages and turns a panic of a stage into a failure of its call.
func (c *Core) serveRecovered(call *Call) (answer Answer) {
	defer func() {
		if err := recover(); err != nil {
			c.log.Error("stage panicked", "error", fmt.Sprint(err), "stack", string(debug.Stack()))
			call.Cancel() // cancels its open attempts
			if call.dispatched {
				c.drainActions(call)
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
		c.log.Info("call ended by a stage", "answer", answer.Kind.String(), "reason", answer.Reason)
	}
	return answer
}

// count counts a final answer. c.mu must be held.
func (c *Core) count(answer Answer) {
	e := answerKey{answer.Kind, answer.Reason}
	if _, ok := c.counts[e]; !ok && len(c.counts) >= maxReasons {
		e.reason = "other"
	}
	c.answers++
	c.counts[e] = tally{c.counts[e].calls + 1, c.answers}
}

// Unanswered returns the number of calls that have no final answer yet.
func (c *Core) Unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openCalls)
}

// AnswerCounts returns the counts of the final answers so far, ordered by kind and reason.
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

// dispatch is the last handler of the chain: it carries out the dispatcher's actions until one of them is the final
// answer. A call may be dispatched only once; a stage that needs another run forks the call.
func (c *Core) dispatch(call *Call) Answer {
	call.cancels = call.cancelBuffer[:0]
	c.dispatcher.Begin(&call.ticket, dispatch.Request{Class: call.Class, Tenant: call.Tenant, Deadline: call.Deadline,
		Cost: call.Cost, ClientRetry: call.ClientRetry})
	call.markDispatched()
	for {
		switch action := call.ticket.Next(); action.Kind {
		case dispatch.Respond:
			c.drainActions(call)
			return Answer{Kind: Served, Payload: action.Payload}
		case dispatch.Reject:
			c.drainActions(call)
			return Answer{Kind: Refused, Fault: Busy, Reason: ReasonModule, Wait: action.Wait, Ran: action.Ran}
		case dispatch.Fail:
			c.drainActions(call)
			return Answer{Kind: Failed, Fault: Unavailable, Reason: ReasonModule, Ran: action.Ran}
		case dispatch.Done:
			return Answer{Kind: ClientLeft, Ran: action.Ran}
		default:
			c.carryOut(call, action)
		}
	}
}

// drainActions carries out, in the background, the remaining actions for a call that is answered but still has open
// attempts, such as a hedged request.
func (c *Core) drainActions(call *Call) {
	if call.ticket.Complete() {
		return
	}
	go func() {
		for action := call.ticket.Next(); action.Kind != dispatch.Done; action = call.ticket.Next() {
			c.carryOut(call, action)
		}
	}()
}

// carryOut starts or cancels an attempt. The actions for a call are carried out one after the other.
func (c *Core) carryOut(call *Call, action dispatch.Action) {
	switch action.Kind {
	case dispatch.Send:
		for len(call.cancels) <= action.AttemptIndex { // an attempt that the rules forbade has no action
			call.cancels = append(call.cancels, nil)
		}
		cancel := make(chan struct{})
		call.cancels[action.AttemptIndex] = cancel
		go c.runAttempt(call, action, cancel)
	case dispatch.Cancel:
		close(call.cancels[action.AttemptIndex])
	}
}

// runAttempt runs one attempt and reports its outcome. If the transport panics, the attempt counts as one that may
// have run.
func (c *Core) runAttempt(call *Call, action dispatch.Action, cancel <-chan struct{}) {
	outcome, payload := dispatch.Failed, any(nil)
	defer func() {
		if err := recover(); err != nil {
			c.log.Error("transport panicked", "error", fmt.Sprint(err), "stack", string(debug.Stack()))
		}
		used := call.ticket.Report(action.AttemptIndex, outcome, payload)
		if f, ok := payload.(StreamedPayload); ok && !used {
			f.Drop()
		}
	}()
	outcome, payload = c.transport.RunAttempt(Host{Name: action.Host, Address: action.Address, Protocol: action.Protocol}, call, action.Until, cancel)
}
