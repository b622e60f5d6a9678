package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

func TestPauseLongerThanTheGapTargetIsRecorded(t *testing.T) {
	for _, test := range []struct {
		pause time.Duration
		kind  routing.EventKind
	}{{100 * time.Millisecond, routing.EventEnded}, {time.Second, routing.EventPaused}} {
		balancer, err := routing.NewBalancer(routing.Config{Target: time.Second, Deadline: time.Minute})
		require.NoError(t, err)
		balancer.SetBackends(time.Second, []routing.Backend{{ID: "r"}})
		attempt := balancer.Pick(time.Second, &routing.Request{Prefix: "k", OwnTokens: 100, Long: true, Deadline: time.Hour})
		e := &exchange{route: &operator.Route{GapTarget: 400 * time.Millisecond}}
		e.recordChunk(attempt)
		e.stream.lastChunkAt = time.Now().Add(-test.pause)
		e.recordChunk(attempt)
		balancer.Done(2*time.Second, attempt, decide.Good, routing.Load{})
		events := balancer.DrainEvents()
		require.Equal(t, test.kind, events[len(events)-1].Kind)
	}
}
