package load

import (
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
	"linenwheel.dev/linenwheel/lab/form"
)

// plan is a small good plan; edit changes it.
func plan(t require.TestingT, edit func(*Plan)) *Plan {
	p := &Plan{Stages: []Stage{{From: 100, To: 100, Length: 1000}}, Spacing: Steady, Seed: 7, Run: 9, Connections: 8,
		Limits: Limits{Late: 1, Share: 0.01}}
	p.Mix = Mix{Classes: []Class{{Name: "a", Weight: 3, Effect: Safe}, {Name: "b", Weight: 1, Effect: Keyed,
		Body: form.Range{Lo: 10, Hi: 20}}}, Owners: []Owner{{"x", 1}, {"y", 1}}}
	if edit != nil {
		edit(p)
	}
	require.NoError(t, p.Mix.Complete("test", ""))
	require.NoError(t, p.Check())
	return p
}

// Guards the schedule: times in order and within the plan, as many in each stage as its rate and length say (steady to
// within one, Poisson to within chance), and the same again from the same seed.
func TestArrivalsFollowTheStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(t, func(p *Plan) {
			p.Spacing = rapid.SampledFrom([]Spacing{Steady, Poisson}).Draw(t, "spacing")
			p.Seed = rapid.Uint64().Draw(t, "seed")
			p.Stages = nil
			for range rapid.IntRange(1, 4).Draw(t, "stages") {
				level := rapid.Float64Range(0, 2000)
				p.Stages = append(p.Stages, Stage{level.Draw(t, "from"), level.Draw(t, "to"),
					rapid.Float64Range(10, 3000).Draw(t, "length")})
			}
		})
		counts := make([]float64, len(p.Stages))
		first, again, last := p.Arrivals(), p.Arrivals(), 0.0
		for {
			due, ok := first.Next()
			same, _ := again.Next()
			require.Equal(t, due, same)
			if !ok {
				break
			}
			require.GreaterOrEqual(t, due, last)
			require.LessOrEqual(t, due, p.Length())
			last = due
			counts[p.StageAt(due)]++
		}
		for i, s := range p.Stages {
			slack := 1.0
			if p.Spacing == Poisson {
				slack = 6*math.Sqrt(s.area()) + 10
			}
			require.InDelta(t, s.area(), counts[i], slack+1e-6)
		}
	})
}

// Guards the claim that the requests do not depend on the number of workers: their shares together are the whole.
func TestWorkersShareOneSchedule(t *testing.T) {
	p := plan(t, func(p *Plan) { p.Spacing, p.Requests = Poisson, 77 })
	whole, ids := map[uint64]Call{}, map[uint64]bool{}
	for f := p.Feed(0, 1); !math.IsInf(f.Next(), 1); {
		c := f.Take()
		whole[c.Index], ids[c.ID] = c, true
	}
	require.Len(t, ids, 77)
	shared := map[uint64]Call{}
	for worker := range 3 {
		for f := p.Feed(worker, 3); !math.IsInf(f.Next(), 1); {
			c := f.Take()
			shared[c.Index] = c
		}
	}
	require.Equal(t, whole, shared)
}

// Guards the reason for an open loop: a server that stands still for 300 ms must show up in the latency of all that was
// due meanwhile, though its single connection sent nothing. Plays feed and tally in set time.
func TestStallIsNotHidden(t *testing.T) {
	p := plan(t, func(p *Plan) { p.Connections = 1 })
	f, tally, free := p.Feed(0, 1), NewTally(p), 0.0
	for !math.IsInf(f.Next(), 1) {
		c := f.Take()
		begin := max(free, c.Due)
		if begin >= 500 && begin < 800 {
			begin = 800
		}
		free = begin + 1
		tally.Taken(c.Request, c.Due, c.Due)
		tally.Sent(c.Due, begin, 100, begin > c.Due)
		e := End{Request: c.Request, Due: c.Due, CallDue: c.CallDue, Now: free, Status: 200}
		e.LastOfAll = f.Ended(c, e, 0)
		tally.End(e)
	}
	r := tally.Result(&Series{}, Ran{Until: 1000})
	require.Empty(t, r.Void)
	require.Equal(t, uint64(100), r.Counts.Served)
	require.InDelta(t, 296, r.Stages[0].Latency.Max, 1) // due at 505 ms, answered at 801
	require.Greater(t, r.Stages[0].Latency.P90, 200.0)  // 30 of the 100 waited, evenly up to that
	require.InDelta(t, 295, r.Lateness.Sent.Max, 1)
	require.Zero(t, r.Lateness.Over)
}

// Guards the closed loop: no client has two requests out, their number follows the ramp, and each pauses.
func TestClosedLoopFollowsItsRamp(t *testing.T) {
	p := plan(t, func(p *Plan) {
		p.Closed, p.Think = true, 10
		p.Stages = []Stage{{1, 8, 1000}, {2, 2, 1000}}
	})
	f, out, seen := p.Feed(0, 1), map[int]float64{}, [2]map[int]int{{}, {}}
	for !math.IsInf(f.Next(), 1) {
		c := f.Take()
		require.GreaterOrEqual(t, c.Due, out[c.client], "client %d", c.client)
		if c.Due < 1000 {
			require.Greater(t, 1+7*c.Due/1000+1e-6, float64(c.client), "before the ramp had reached it")
		}
		seen[p.StageAt(c.Due)][c.client]++
		out[c.client] = c.Due + 5 + p.Think
		f.Ended(c, End{Now: c.Due + 5, Status: 200}, 0)
	}
	require.Len(t, seen[0], 8)
	require.Len(t, seen[1], 2)
	require.InDelta(t, 1000/15, seen[1][1], 2)
}

// Guards clients' retries: only what is harmless is sent again, after the pause that the answer asks for, under a new id
// and the old key, and not for ever.
func TestRetries(t *testing.T) {
	p := plan(t, func(p *Plan) {
		p.Retry = Retry{Most: 2, Base: 10, Heeds: true}
		p.Mix.Classes = []Class{{Name: "k", Effect: Keyed}}
		p.Requests = 1
	})
	f := p.Feed(0, 1)
	first := f.Take()
	require.False(t, f.Ended(first, End{Now: 20, Status: 503}, 70))
	require.Equal(t, 90.0, f.Next(), "Retry-After is longer than the client's own pause")
	second := f.Take()
	require.NotEqual(t, first.ID, second.ID)
	require.Equal(t, first.Key, second.Key)
	require.Equal(t, first.Due, second.CallDue)
	require.False(t, f.Ended(second, End{Now: 100, Kind: TimedOut}, 0), "a keyed one may run twice")
	require.True(t, f.Ended(f.Take(), End{Now: 200, Status: 429}, 0), "two retries at most")

	p.Mix.Classes[0].Effect = Unsafe
	f = p.Feed(0, 1)
	require.True(t, f.Ended(f.Take(), End{Now: 20, Kind: Reset}, 0), "it may have run")
}

// Guards the pacing: sleep ends as much before the due time as sleeps have lately run over, but never by more than the
// tool may stay awake; a hiccup is forgotten.
func TestPacer(t *testing.T) {
	p := Pacer{Spin: 0.05}
	require.Equal(t, 2.0, p.Sleep(2))
	p.Slept(0.02)
	require.InDelta(t, 1.98, p.Sleep(2), 1e-9)
	require.Zero(t, p.Sleep(0.021), "the rest is spent awake")
	p.Slept(7)
	require.InDelta(t, 1.95, p.Sleep(2), 1e-9)
	for range 300 {
		p.Slept(0.01)
	}
	require.InDelta(t, 1.99, p.Sleep(2), 1e-9)
	require.Equal(t, 0.003, (&Pacer{}).Sleep(0.003), "without spinning, even a short gap is slept")
}

// Guards the verdict on the tool itself: one late request in a hundred passes, two do not, and nothing measured is void.
func TestVoid(t *testing.T) {
	for late, void := range map[int]bool{0: false, 1: false, 2: true} {
		tally := NewTally(plan(t, nil))
		for i := range 100 {
			now := 10.0
			if i < late {
				now = 11.5
			}
			tally.Taken(Request{}, 10, now)
		}
		require.Equal(t, void, len(tally.void()) > 0, "%d late", late)
	}
	require.NotEmpty(t, NewTally(plan(t, nil)).void())
}

// Guards the merge: two workers' tallies joined say what one of all requests would, warm-up left out, rows over time
// joined too, and statuses beyond the bound share a row.
func TestMergeIsTheWhole(t *testing.T) {
	p := plan(t, func(p *Plan) { p.Warmup, p.Retry.Most = 100, 1 })
	whole, parts := NewTally(p), []*Tally{NewTally(p), NewTally(p)}
	all, joined := &Series{}, &Series{}
	for i := range 400 {
		due := float64(i) * 5
		e := End{Request: Request{Class: i % 2}, Due: due, CallDue: due, Now: due + float64(i%50), Status: 200 + i%20,
			Kind: Kind(i % 3), In: 10, LastOfAll: true}
		for _, tally := range []*Tally{whole, parts[i%2]} {
			if row, ok := tally.Turn(due); ok {
				series := joined
				if tally == whole {
					series = all
				}
				series.Add(row)
			}
			tally.Taken(e.Request, due, due+0.5)
			tally.Sent(due, due+1, 50, false)
			tally.End(e)
		}
	}
	all.Add(whole.Last())
	for _, part := range parts {
		joined.Add(part.Last())
	}
	parts[0].Merge(parts[1])
	want, got := whole.Result(all, Ran{Until: 2000}), parts[0].Result(joined, Ran{Until: 2000})
	for i := range got.Classes {
		require.ElementsMatch(t, want.Classes[i].Statuses, got.Classes[i].Statuses)
		got.Classes[i].Statuses = want.Classes[i].Statuses
		require.LessOrEqual(t, len(got.Classes[i].Statuses), MaxStatuses+1)
	}
	require.Equal(t, want, got)
	require.Equal(t, uint64(380), got.Counts.Due, "20 were due in the warm-up")

	var text strings.Builder
	require.NoError(t, got.Print(&text))
	require.Contains(t, text.String(), "380 due, 380 sent")
}

// Guards what goes out: the platform's headers as its protocol wants them, byte for byte.
func TestTemplate(t *testing.T) {
	p := plan(t, func(p *Plan) {
		p.Platform = true
		p.Mix.Classes[1].Deadline = form.Millis(480)
		p.Mix.Classes[0].Headers = []string{"Accept: */*"}
	})
	key := [2]uint64{0x5c0f6e1a2b3d4c59, 0xa8b7c6d5e4f30211}
	require.Equal(t, "POST /b HTTP/1.1\r\nHost: h:1\r\nReq-Owner: y\r\nReq-Deadline-Ms: 480\r\nReq-Id: 000000000000002a\r\n"+
		"Req-Retry: 1\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 12\r\n\r\nlinenwheel l",
		string(p.Template("h:1").Append(nil, Request{Class: 1, Owner: 1, Body: 12, ID: 42, Key: key, Attempt: 1})))
	p.Platform = false
	require.Equal(t, "GET /a HTTP/1.1\r\nHost: h:1\r\nAccept: */*\r\n\r\n",
		string(p.Template("h:1").Append(nil, Request{})))
}

// Guards what people write: good notations mean what they say, bad ones are refused by name.
func TestNotations(t *testing.T) {
	stages, err := ParseStages("500, 100-8000x1m", 250)
	require.NoError(t, err)
	require.Equal(t, []Stage{{500, 500, 250}, {100, 8000, 60000}}, stages)
	for _, bad := range []string{"", "x", "-5", "5x", "5x-1s", "5x10", "1e9", "NaN", strings.Repeat("1,", 64) + "1"} {
		_, err := ParseStages(bad, 1000)
		require.Error(t, err, bad)
	}
	class, err := ParseClass("name=q,weight=8,effect=unsafe,body=200..900,deadline=2s,header=A: b")
	require.NoError(t, err)
	require.Equal(t, Class{Name: "q", Weight: 8, Effect: Unsafe, Body: form.Range{Lo: 200, Hi: 900}, Deadline: form.Millis(2000),
		Headers: []string{"A: b"}}, class)
	for _, bad := range []string{"name", "name=q,weight=x", "name=q,colour=red", "name=q,body=9..2"} {
		_, err := ParseClass(bad)
		require.Error(t, err, bad)
	}
	for want, text := range map[string]string{
		"f:2: class.colour": "[[class]]\ncolour = 'red'", "f:3: class.deadline": "[[class]]\nname='a'\ndeadline='soon'",
		"f:3: class.path": "[[class]]\nname='a'\npath=\"/a HTTP/1.1\\r\\nX: y\"", "twice": "[[class]]\nname='a'\n[[class]]\nname='a'",
		"header": "[[class]]\nname='a'\nheaders=[\"A: b\\r\\nC: d\"]", "effect": "[[class]]\nname='a'\neffect='odd'",
		"owner.share": "[[class]]\nname='a'\n[[owner]]\nname='x'", "class: 0 of them": "", "body": "[[class]]\nname='a'\nbody='5'",
	} {
		_, err := ReadMix("f", text)
		require.ErrorContains(t, err, want)
	}
	mix, err := ReadMix("f", "[[class]]\nname='a'\neffect='keyed'\nbody='5..9'")
	require.NoError(t, err)
	require.Equal(t, http.MethodPost, mix.Classes[0].Method)
	require.Equal(t, "/a", mix.Classes[0].Path)
}
