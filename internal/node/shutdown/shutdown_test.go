package shutdown

import (
	"flag"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that each run tries the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "8"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards, for every order of events, against an admitted call that is still open when the kill may come, a
// response that no call waits for or that is given twice, a node that ends late, early or while a client could still
// send a call, and a phase that goes back.
func TestInvariantsInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(lo, hi float64) func(string) float64 {
			return func(name string) float64 { return rapid.Float64Range(lo, hi).Draw(t, name) }
		}
		set := Times{AcceptFor: ms(0, 1000)("accept"), KillAfter: ms(100, 4000)("kill"), FinishBeforeKill: ms(0, 300)("answers"),
			End: ms(1, 60)("end")}
		m := New([]float64{ms(1, 2000)("usual"), ms(1, 2000)("usual")})
		now, kill := 1000.0, math.Inf(1)
		refused := false
		conns, open, last := 0, map[int]int{}, 0 // open calls by number, with their class
		var did Actions
		var step func()
		step = func() {
			was := m.Phase()
			o := m.Step(now)
			require.GreaterOrEqual(t, m.Phase(), was)
			for _, twice := range []bool{o.Announce && did.Announce, o.StopAccepting && did.StopAccepting, o.Finish && did.Finish,
				o.CloseIdle && did.CloseIdle, o.End && did.End} {
				require.False(t, twice, "action requested twice")
			}
			did = Actions{did.Announce || o.Announce, did.StopAccepting || o.StopAccepting, did.CloseIdle || o.CloseIdle,
				did.Finish || o.Finish, did.End || o.End}
			if o.Finish {
				require.Less(t, now, kill)
				for id, class := range open {
					m.Answered(class, 1, false, true)
					delete(open, id)
				}
				step()
				return
			}
			if o.End {
				require.Less(t, now, kill, "the node was killed before it ended")
				require.Empty(t, open)
				require.True(t, refused || now >= kill-set.End, "the node ended while it still accepted connections")
			}
			require.Equal(t, len(open), m.Calls())
			require.False(t, refused && m.Phase() < Ended && conns == 0 && len(open) == 0, "the node still runs with nothing left to do")
		}
		act := map[string]func(*rapid.T){
			"time": func(t *rapid.T) { // time passes, and each Step is late by less than the margin before the kill
				for to := now + ms(0, 400)("ms"); ; step() {
					if m.Next() > to {
						now = to
						return
					}
					now = max(now, m.Next()+rapid.Float64Range(0, set.End*0.99).Draw(t, "late"))
				}
			},
			"signal": func(*rapid.T) {
				m.Stop(now, set)
				kill = min(kill, now+set.KillAfter)
				step()
			},
			"yield": func(t *rapid.T) {
				if m.Phase() != Serving {
					t.Skip()
				}
				long := set
				long.KillAfter, long.AcceptFor = ms(3000, 9000)("long"), 0
				m.HandOver(now, long)
				kill = now + long.KillAfter
				require.Equal(t, Policy{CloseAfterResponse: true, CanReconnect: true}, m.Policy())
				step()
			},
			"refused": func(t *rapid.T) {
				if !did.StopAccepting || refused {
					t.Skip()
				}
				refused = true
				m.AcceptingStopped()
				step()
			},
			"connect": func(t *rapid.T) { // pending connections are still accepted
				if refused || m.Phase() == Ended {
					t.Skip()
				}
				conns++
				m.Connected(true)
				step()
			},
			"disconnect": func(t *rapid.T) {
				if conns == 0 {
					t.Skip()
				}
				conns--
				m.Disconnected(true)
				step()
			},
			"ask": func(t *rapid.T) {
				class := rapid.IntRange(0, 1).Draw(t, "class")
				if m.Phase() == Ended || conns <= len(open) {
					t.Skip()
				}
				if m.Admit(now, class, now+ms(1, 6000)("deadline"), true) {
					require.Less(t, m.Phase(), RefusingCalls)
					last++
					open[last] = class
				}
			},
			"answer": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				for id := 1; id <= last; id++ {
					if class, ok := open[id]; ok {
						m.Answered(class, ms(0, 3000)("took"), rapid.Bool().Draw(t, "served"), true)
						delete(open, id)
						break
					}
				}
				step()
			},
		}
		t.Repeat(act)
		m.Stop(now, set)
		kill = min(kill, now+set.KillAfter)
		for step(); m.Phase() != Ended; step() {
			require.False(t, math.IsInf(m.Next(), 1), "Step is never due, although the node has not ended")
			now = max(now, m.Next())
		}
		assert.False(t, m.Admit(now, 0, now+100, true))
	})
}

func served(m *Machine, class int, took ...float64) {
	for _, ms := range took {
		m.Admit(0, class, 1e9, true)
		m.Answered(class, ms, true, true)
	}
}

// Guards against serving time lost between the signal and the kill: a class is admitted for as long as its
// responses still arrive before the final ones, so a slow class is refused earlier than a fast one.
func TestAdmitsWhileResponsesArriveInTime(t *testing.T) {
	m := New([]float64{1500, 600})
	set := Times{AcceptFor: 500, KillAfter: 2700, FinishBeforeKill: 150, End: 50}
	for range 300 {
		served(m, 0, 300, 500)
		served(m, 1, 80, 120)
	}
	m.Connected(true)
	m.Stop(1000, set)
	assert.Equal(t, Actions{Announce: true}, m.Step(1000))
	m.Stop(1600, set) // a second signal changes nothing
	assert.Equal(t, 1500.0, m.Next())
	assert.Equal(t, Actions{StopAccepting: true}, m.Step(1500))
	m.AcceptingStopped()
	assert.True(t, m.Admit(3000, 0, 5000, true), "550 ms before the final responses")
	assert.False(t, m.Admit(3200, 0, 5000, true), "350 ms before the final responses")
	assert.True(t, m.Admit(3200, 0, 3300, true), "the call's own deadline is earlier")
	assert.True(t, m.Admit(3400, 1, 5000, true))
	assert.InDelta(t, 3550-120, m.Next(), 3)
	assert.Equal(t, AcceptClosed, m.Phase())
	assert.Equal(t, Actions{CloseIdle: true}, m.Step(3435))
	assert.Equal(t, RefusingCalls, m.Phase())
	assert.False(t, m.Admit(3435, 1, 3436, true))
	assert.Equal(t, Actions{Finish: true}, m.Step(3550))
	for range 3 {
		m.Answered(0, 100, false, true)
	}
	assert.Equal(t, Actions{}, m.Step(3560), "a response may not be delivered yet")
	assert.Equal(t, 3650.0, m.Next())
	m.Disconnected(true)
	assert.Equal(t, Actions{End: true}, m.Step(3570))
}

// Guards against a client that has no free connection while it cannot open one: fronts then consider the node
// dead.
func TestReserveOfFreeConnections(t *testing.T) {
	m := New([]float64{1500})
	for range 64 {
		m.Connected(true)
	}
	m.Stop(1000, Times{ConnectableFor: 200, AcceptFor: 500, KillAfter: 3000})
	taken := 0
	for m.Admit(1200, 0, 2200, true) {
		taken++
	}
	assert.Equal(t, 50, taken, "of 64")
	assert.True(t, m.Admit(1199, 0, 2000, true), "clients can still connect")
	m = New([]float64{1500})
	m.Connected(true)
	m.Stop(1000, Times{KillAfter: 3000})
	assert.True(t, m.Admit(1300, 0, 2300, true), "with few connections there is no reserve")
}
