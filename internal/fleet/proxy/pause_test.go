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
	}{{100 * time.Millisecond, routing.Ended}, {time.Second, routing.Paused}} {
		service, err := routing.NewService(routing.Options{Aim: time.Second, Deadline: time.Minute})
		require.NoError(t, err)
		service.SetRaters(time.Second, []routing.Rater{{ID: "r"}})
		ticket := service.Place(time.Second, &routing.Request{Prefix: "k", Own: 100, Long: true, Deadline: time.Hour})
		c := &call{route: &operator.Route{GapTarget: 400 * time.Millisecond}}
		c.came(ticket)
		c.stream.cameAt = time.Now().Add(-one.pause)
		c.came(ticket)
		service.End(2*time.Second, ticket, decide.Good, routing.Load{})
		events := service.TakeEvents()
		require.Equal(t, one.kind, events[len(events)-1].Kind)
	}
}
