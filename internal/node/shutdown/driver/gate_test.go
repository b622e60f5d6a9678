package driver

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/drain"
	"linenwheel.dev/linenwheel/internal/node/shutdown"
)

var times = shutdown.Times{AcceptFor: 500, KillAfter: 2700, FinishBeforeKill: 150, End: 50}

// hooked returns a gate whose actions are sent on a channel.
func hooked(c clock.Clock) (*Gate, chan string) {
	did := make(chan string, 8)
	g := New([]float64{600}, drain.Times{}, c)
	action := func(name string) func() { return func() { did <- name } }
	g.SetHooks(Hooks{Announce: action("announce"), StopAccepting: action("refuse"), CloseIdle: action("idle"), Finish: action("finish")})
	return g, did
}

// early is a clock whose timers fire a rounding error before their time, once for each time.
type early struct {
	*clock.Manual
	fired map[float64]bool
}

func (e early) At(when float64, f func()) func() {
	if !e.fired[when] {
		e.fired[when] = true
		when -= 0.001
	}
	return e.Manual.At(when, f)
}

// Guards against a stop that hangs because a timer fired slightly early and was not set again.
func TestTimerThatFiresEarly(t *testing.T) {
	c := clock.NewManual(1e12)
	g, did := hooked(early{c, map[float64]bool{}})
	g.Connected(true)
	g.Stop(times)
	require.Equal(t, "announce", <-did)
	for _, want := range []string{"refuse", "idle", "finish"} {
		c.Advance(c.Next() - c.Now())
		require.False(t, math.IsInf(c.Next(), 1), "the timer was not set again for "+want)
		c.Advance(c.Next() - c.Now())
		require.Equal(t, want, <-did)
	}
	c.Advance(101)
	<-g.Ended()
}

// Guards against a call that is admitted while the stop begins, or while the final responses are given, and is not
// counted; and against one that is admitted after that. All events go through one lock, so whichever comes second
// sees the effect of the first.
func TestTakeConcurrentWithStop(t *testing.T) {
	for range 200 {
		c := clock.NewManual(1e12)
		g, did := hooked(c)
		g.Connected(true)
		var both sync.WaitGroup
		taken := false
		both.Go(func() { _, taken = g.Admit(0, 1e12+900, true) })
		both.Go(func() { g.Stop(times) })
		both.Wait()
		require.Equal(t, "announce", <-did)
		require.True(t, taken, "a response can still arrive in time")
		c.Advance(500)
		require.Equal(t, "refuse", <-did)
		both.Go(func() { c.Advance(2050) })
		both.Go(func() {
			if _, ok := g.Admit(0, 1e12+501, true); ok { // it can still be answered in time
				g.Completed(0, c.Now(), true, true)
			}
		})
		both.Wait()
		require.Equal(t, "idle", <-did)
		require.Equal(t, "finish", <-did)
		_, ok := g.Admit(0, 1e12+2600, true)
		require.False(t, ok)
		g.Completed(0, 1e12, false, true)
		select {
		case <-g.Ended():
			require.Fail(t, "ended while a response may not be delivered yet")
		case <-time.After(0):
		}
		g.Disconnected(true)
		<-g.Ended()
	}
}
