package core

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// transportFunc is a Transport that calls a function.
type transportFunc func(to Host, call *Call, cancel <-chan struct{}) (dispatch.Outcome, any)

func (f transportFunc) RunAttempt(to Host, call *Call, _ float64, cancel <-chan struct{}) (dispatch.Outcome, any) {
	return f(to, call, cancel)
}

func newCore(tb testing.TB, settings Settings, transport Transport) *Core {
	now := clock.NewManual(1000)
	d, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond,
			Deadline: 2 * time.Second, Value: 1}},
		Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Rules:  decide.Rules{DrainGrace: 500 * time.Millisecond}}, 1, now, slog.New(slog.DiscardHandler), nil)
	require.NoError(tb, err)
	d.SetHosts(dispatch.Full, []dispatch.Host{{Name: "h1", Zone: "z", Kind: "k", Weight: 1},
		{Name: "h2", Zone: "z", Kind: "k", Weight: 1}})
	return New(settings, d, transport, slog.New(slog.DiscardHandler))
}

// Guards against stages that run in another order than the documented one, and against nil stages in the chain.
func TestStagesRunInDocumentedOrder(t *testing.T) {
	var seen []string
	stage := func(name string) Stage {
		return func(next Handler) Handler {
			return func(c *Call) Answer {
				seen = append(seen, name)
				return next(c)
			}
		}
	}
	stages := Stages{Last: []Stage{stage("last")}, Quota: stage("quota"), Auth: stage("caller"), Region: stage("region"),
		Idempotency: stage("repeats"), First: []Stage{stage("first"), nil}}
	stages.chain(func(*Call) Answer { return Answer{} })(&Call{})
	assert.Equal(t, []string{"first", "caller", "quota", "repeats", "region", "last"}, seen)
	c := newCore(t, Settings{MaxCalls: 1}, transportFunc(func(Host, *Call, <-chan struct{}) (dispatch.Outcome, any) {
		return dispatch.Served, "body"
	}))
	_, ok := c.Admit(&Call{ID: "q", Tenant: -1, Deadline: 1900})
	require.True(t, ok)
	rejection, ok := c.Admit(&Call{ID: "q2"})
	assert.False(t, ok)
	assert.Equal(t, Refuse(Busy, ReasonBusy, 0), rejection)
	assert.Equal(t, Answer{Kind: Served, Payload: "body"}, c.Serve(&Call{ID: "q", Tenant: -1, Deadline: 1900}))
}

// Guards against a panic in the transport that terminates the node, or that is taken for an attempt that never ran.
func TestPanickingCarrierFailsTheCall(t *testing.T) {
	attempts := 0
	c := newCore(t, Settings{MaxCalls: 2}, transportFunc(func(Host, *Call, <-chan struct{}) (dispatch.Outcome, any) {
		attempts++
		panic("on purpose")
	}))
	call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
	c.Admit(call)
	assert.Equal(t, Answer{Kind: Failed, Fault: Unavailable, Reason: ReasonModule, Ran: true}, c.Serve(call))
	assert.Equal(t, 1, attempts)
}

// Guards against attempts that continue after the client has disconnected, and against an answer to it.
func TestClientLeavingCancelsAttempts(t *testing.T) {
	started := make(chan struct{})
	c := newCore(t, Settings{MaxCalls: 2}, transportFunc(func(_ Host, _ *Call, cancel <-chan struct{}) (dispatch.Outcome, any) {
		close(started)
		<-cancel
		return dispatch.Cancelled, nil
	}))
	call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
	c.Admit(call)
	go func() {
		<-started
		call.Cancel()
		call.Cancel()
	}()
	assert.Equal(t, Answer{Kind: ClientLeft, Ran: true}, c.Serve(call))
	<-call.Done()
	assert.Equal(t, []AnswerCount{{ClientLeft, "", 1, 1}}, c.AnswerCounts())
}

// BenchmarkServe measures one call through the core with an empty chain and a transport that answers at once.
func BenchmarkServe(b *testing.B) {
	payload := any("body")
	c := newCore(b, Settings{MaxCalls: 2}, transportFunc(func(Host, *Call, <-chan struct{}) (dispatch.Outcome, any) {
		return dispatch.Served, payload
	}))
	b.ReportAllocs()
	for b.Loop() {
		call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
		if _, ok := c.Admit(call); !ok {
			b.Fatal("call not admitted")
		}
		if a := c.Serve(call); a.Kind != Served {
			b.Fatal(a)
		}
	}
}

// Guards against a panic in a stage that terminates the node, leaves the client without an answer or an attempt
// open, or is logged without a usable stack trace.
func TestPanickingStageFailsTheCall(t *testing.T) {
	var text bytes.Buffer
	started := make(chan struct{})
	c := newCore(t, Settings{MaxCalls: 2, Stages: Stages{Quota: func(next Handler) Handler {
		return func(call *Call) Answer {
			go next(call)
			<-started
			panic("on purpose")
		}
	}}}, transportFunc(func(_ Host, _ *Call, cancel <-chan struct{}) (dispatch.Outcome, any) {
		close(started)
		<-cancel
		return dispatch.Cancelled, nil
	}))
	c.log = slog.New(slog.NewTextHandler(&text, nil))
	call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
	c.Admit(call)
	assert.Equal(t, Fail(Unavailable, ReasonPanic), c.Serve(call))
	assert.Contains(t, text.String(), "TestPanickingStageFailsTheCall")
	assert.Zero(t, c.Unanswered())
}
