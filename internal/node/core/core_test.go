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

// carrier is a Carrier that returns what its function returns.
type carrier func(to Host, call *Call, off <-chan struct{}) (dispatch.Outcome, any)

func (c carrier) RunAttempt(to Host, call *Call, _ float64, off <-chan struct{}) (dispatch.Outcome, any) {
	return c(to, call, off)
}

func newCore(tb testing.TB, set Settings, c Transport) *Core {
	now := clock.NewManual(1000)
	p, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond,
			Deadline: 2 * time.Second, Value: 1}},
		Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Rules:  decide.Rules{DrainGrace: 500 * time.Millisecond}}, 1, now, slog.New(slog.DiscardHandler), nil)
	require.NoError(tb, err)
	p.SetHosts(dispatch.Full, []dispatch.Host{{Name: "h1", Zone: "z", Kind: "k", Weight: 1},
		{Name: "h2", Zone: "z", Kind: "k", Weight: 1}})
	return New(set, p, c, slog.New(slog.DiscardHandler))
}

// Guards against stages in another order than the documented one, and against nil ones in the chain.
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
	set := Stages{Last: []Stage{stage("last")}, Quota: stage("quota"), Auth: stage("caller"), Region: stage("region"),
		Idempotency: stage("repeats"), First: []Stage{stage("first"), nil}}
	set.chain(func(*Call) Answer { return Answer{} })(&Call{})
	assert.Equal(t, []string{"first", "caller", "quota", "repeats", "region", "last"}, seen)
	c := newCore(t, Settings{MaxCalls: 1}, carrier(func(Host, *Call, <-chan struct{}) (dispatch.Outcome, any) {
		return dispatch.Served, "body"
	}))
	_, ok := c.Admit(&Call{ID: "q", Tenant: -1, Deadline: 1900})
	require.True(t, ok)
	refusal, ok := c.Admit(&Call{ID: "q2"})
	assert.False(t, ok)
	assert.Equal(t, Refuse(Busy, ReasonBusy, 0), refusal)
	assert.Equal(t, Answer{Kind: Served, Payload: "body"}, c.Serve(&Call{ID: "q", Tenant: -1, Deadline: 1900}))
}

// Guards against a carrier's panic that ends the node or is taken for an attempt that never ran.
func TestPanickingCarrierFailsTheCall(t *testing.T) {
	relays := 0
	c := newCore(t, Settings{MaxCalls: 2}, carrier(func(Host, *Call, <-chan struct{}) (dispatch.Outcome, any) {
		relays++
		panic("on purpose")
	}))
	call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
	c.Admit(call)
	assert.Equal(t, Answer{Kind: Failed, Fault: Unavailable, Reason: ReasonModule, Ran: true}, c.Serve(call))
	assert.Equal(t, 1, relays)
}

// Guards against attempts that continue for a client that has left, and against an answer for it.
func TestClientLeavingCancelsAttempts(t *testing.T) {
	out := make(chan struct{})
	c := newCore(t, Settings{MaxCalls: 2}, carrier(func(_ Host, _ *Call, off <-chan struct{}) (dispatch.Outcome, any) {
		close(out)
		<-off
		return dispatch.Cancelled, nil
	}))
	call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
	c.Admit(call)
	go func() {
		<-out
		call.Cancel()
		call.Cancel()
	}()
	assert.Equal(t, Answer{Kind: ClientLeft, Ran: true}, c.Serve(call))
	<-call.Done()
	assert.Equal(t, []AnswerCount{{ClientLeft, "", 1, 1}}, c.AnswerCounts())
}

// BenchmarkServe is one call through the core with an empty chain and a carrier that answers at once.
func BenchmarkServe(b *testing.B) {
	payload := any("body")
	c := newCore(b, Settings{MaxCalls: 2}, carrier(func(Host, *Call, <-chan struct{}) (dispatch.Outcome, any) {
		return dispatch.Served, payload
	}))
	b.ReportAllocs()
	for b.Loop() {
		call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
		if _, ok := c.Admit(call); !ok {
			b.Fatal("not taken")
		}
		if a := c.Serve(call); a.Kind != Served {
			b.Fatal(a)
		}
	}
}

// Guards against a stage's panic that ends the node, leaves its client without an answer or its attempt open, or that cannot be
// traced.
func TestPanickingStageFailsTheCall(t *testing.T) {
	var text bytes.Buffer
	off := make(chan struct{})
	c := newCore(t, Settings{MaxCalls: 2, Stages: Stages{Quota: func(next Handler) Handler {
		return func(call *Call) Answer {
			go next(call)
			<-off
			panic("on purpose")
		}
	}}}, carrier(func(_ Host, _ *Call, called <-chan struct{}) (dispatch.Outcome, any) {
		close(off)
		<-called
		return dispatch.Cancelled, nil
	}))
	c.log = slog.New(slog.NewTextHandler(&text, nil))
	call := &Call{ID: "q", Tenant: -1, Deadline: 1900}
	c.Admit(call)
	assert.Equal(t, Fail(Unavailable, ReasonPanic), c.Serve(call))
	assert.Contains(t, text.String(), "TestPanickingStageFailsTheCall")
	assert.Zero(t, c.Unanswered())
}
