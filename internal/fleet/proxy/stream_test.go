package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// newPausingExchange returns an exchange on a route with a gap target, its balancer and its first attempt.
func newPausingExchange(t *testing.T) (*exchange, *routing.Balancer, *routing.Attempt) {
	t.Helper()
	balancer, err := routing.NewBalancer(routing.Config{Target: time.Second, Deadline: time.Minute})
	require.NoError(t, err)
	balancer.SetBackends(time.Second, []routing.Backend{{ID: "r"}, {ID: "s"}})
	return &exchange{route: &operator.Route{GapTarget: 400 * time.Millisecond}}, balancer, pickStream(balancer)
}

func pickStream(balancer *routing.Balancer, exclude ...string) *routing.Attempt {
	return balancer.Pick(time.Second, &routing.Request{Prefix: "k", OwnTokens: 100, Long: true, Deadline: time.Hour, Exclude: exclude})
}

// recordChunkAfter records a part of an attempt's body that follows the previous one after a pause.
func (e *exchange) recordChunkAfter(pause time.Duration, attempt *routing.Attempt) {
	e.stream.lastChunkAt = time.Now().Add(-pause)
	e.recordChunk(attempt)
}

// endOf ends an attempt and returns the kind of the event that reports the end.
func endOf(balancer *routing.Balancer, attempt *routing.Attempt, result routing.Result) routing.EventKind {
	balancer.Done(2*time.Second, attempt, result, routing.Load{})
	events := balancer.DrainEvents()
	return events[len(events)-1].Kind
}

func TestPauseLongerThanTheGapTargetIsRecorded(t *testing.T) {
	for _, test := range []struct {
		pause time.Duration
		kind  routing.EventKind
	}{{100 * time.Millisecond, routing.EventEnded}, {time.Second, routing.EventPaused}} {
		e, balancer, attempt := newPausingExchange(t)
		e.recordChunk(attempt)
		e.recordChunkAfter(test.pause, attempt)
		require.Equal(t, test.kind, endOf(balancer, attempt, decide.Succeeded))
	}
}

// The client waits while another backend continues a truncated stream. That backend must not be charged with the
// pause.
func TestPauseBeforeAResumedStreamIsNotRecorded(t *testing.T) {
	e, balancer, broken := newPausingExchange(t)
	e.recordChunk(broken)
	require.Equal(t, routing.EventFailed, endOf(balancer, broken, decide.Reset))
	resumed := pickStream(balancer, broken.Backend.ID)
	e.recordChunkAfter(time.Second, resumed)
	e.recordChunkAfter(100*time.Millisecond, resumed)
	require.Equal(t, routing.EventEnded, endOf(balancer, resumed, decide.Succeeded))
}

func TestPauseOfAResumedStreamIsRecorded(t *testing.T) {
	e, balancer, broken := newPausingExchange(t)
	e.recordChunk(broken)
	endOf(balancer, broken, decide.Reset)
	resumed := pickStream(balancer, broken.Backend.ID)
	e.recordChunkAfter(time.Second, resumed)
	e.recordChunkAfter(time.Second, resumed)
	require.Equal(t, routing.EventPaused, endOf(balancer, resumed, decide.Succeeded))
}
