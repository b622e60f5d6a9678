package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

func TestAPauseLongerThanTheRouteAllowsIsNoted(t *testing.T) {
	for _, one := range []struct {
		pause time.Duration
		kind  routing.EventKind
	}{{100 * time.Millisecond, routing.EventEnded}, {time.Second, routing.EventPaused}} {
		service, err := routing.NewBalancer(routing.Config{Target: time.Second, Deadline: time.Minute})
		require.NoError(t, err)
		service.SetBackends(time.Second, []routing.Backend{{ID: "r"}})
		ticket := service.Pick(time.Second, &routing.Request{Prefix: "k", OwnTokens: 100, Long: true, Deadline: time.Hour})
		c := &call{route: &operator.Route{GapTarget: 400 * time.Millisecond}}
		c.came(ticket)
		c.stream.cameAt = time.Now().Add(-one.pause)
		c.came(ticket)
		service.Done(2*time.Second, ticket, decide.Good, routing.Load{})
		events := service.DrainEvents()
		require.Equal(t, one.kind, events[len(events)-1].Kind)
	}
}
