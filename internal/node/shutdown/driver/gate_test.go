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

var times = shutdown.Times{Accept: 500, Kill: 2700, Answers: 150, End: 50}

// hooked gives a gate whose orders are told on a channel, and the clock it goes by.
func hooked(c clock.Clock) (*Gate, chan string) {
	did := make(chan string, 8)
	g := New([]float64{600}, drain.Times{}, c)
	tell := func(what string) func() { return func() { did <- what } }
	g.Hook(Hooks{Announce: tell("announce"), Refuse: tell("refuse"), CloseIdle: tell("idle"), Finish: tell("finish")})
	return g, did
}

// early is a clock whose alarms ring a rounding error before their time, once for each time.
type early struct {
	*clock.Manual
	rang map[float64]bool
}

func (e early) At(when float64, f func()) func() {
	if !e.rang[when] {
		e.rang[when] = true
		when -= 0.001
	}
	return e.Manual.At(when, f)
}

// Guards against a stop that stands still because a timer rang a little early and was not set again.
func TestTimerThatRingsEarly(t *testing.T) {
	c := clock.NewManual(1e12)
	g, did := hooked(early{c, map[float64]bool{}})
	g.Connected(true)
	g.Stop(times)
	require.Equal(t, "announce", <-did)
	for _, want := range []string{"refuse", "idle", "finish"} {
		c.Advance(c.Next() - c.Now())
		require.False(t, math.IsInf(c.Next(), 1), "it is not set again for "+want)
		c.Advance(c.Next() - c.Now())
		require.Equal(t, want, <-did)
	}
	c.Advance(101)
	<-g.Ended()
}

// Guards against a call that is taken while the stop begins, or while its final answers are given, and is not counted; and
// against one that is taken after that. Whatever comes first, the other knows of it: all go through one lock.
func TestTakeAgainstStop(t *testing.T) {
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
		require.True(t, taken, "answers still come in time")
		c.Advance(500)
		require.Equal(t, "refuse", <-did)
		both.Go(func() { c.Advance(2050) })
		both.Go(func() {
			if _, ok := g.Admit(0, 1e12+501, true); ok { // while it can be answered
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
			require.Fail(t, "somebody may still wait for an answer on its way")
		case <-time.After(0):
		}
		g.Disconnected(true)
		<-g.Ended()
	}
}
