package world_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
	"linenwheel.dev/linenwheel/lab/world"
	"pgregory.net/rapid"
)

// story plays one drawn history against a rater: offers, cancels, connections, slowness, pauses, drains, restarts.
type story struct {
	r        *world.Rater
	events   []world.Event
	begun    map[uint64]bool
	ended    map[uint64]world.What
	work     map[uint64]float64
	most     int // requests that ran at once
	tickets  []world.Ticket
	tag      uint64
	now      float64
	finished float64 // work of those that were answered
}

func newStory(spec *world.RaterSpec, fail func(string, ...any)) *story {
	s := &story{begun: map[uint64]bool{}, ended: map[uint64]world.What{}, work: map[uint64]float64{}}
	at := 0.0
	s.r = world.NewRater(spec, nil, func(e world.Event) {
		if e.At < at {
			fail("%v after time %g", e, at)
		}
		at = e.At
		s.events = append(s.events, e)
		switch _, over := s.ended[e.Tag]; {
		case e.Tag == 0:
		case over:
			fail("%v after its end", e)
		case e.What == world.Began:
			if s.begun[e.Tag] {
				fail("%v twice", e)
			}
			s.begun[e.Tag] = true
			s.most = max(s.most, s.r.Held())
		default:
			if s.begun[e.Tag] == (e.What == world.Turned) {
				fail("%v, begun: %v", e, s.begun[e.Tag])
			}
			s.ended[e.Tag] = e.What
			if e.What == world.Answered || e.What == world.Failed {
				s.finished += s.work[e.Tag]
			}
		}
	})
	s.r.Start(0, 1)
	return s
}

func (s *story) offer(work, wait, deadline float64) {
	s.tag++
	s.work[s.tag] = work
	s.tickets = append(s.tickets, s.r.Offer(s.now, world.Attempt{Tag: s.tag, Work: work, Wait: wait, Deadline: deadline, Luck: s.tag}))
}

func anySpec(t *rapid.T) *world.RaterSpec {
	return &world.RaterSpec{Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.2, 3).Draw(t, "speed"),
		Slots: rapid.IntRange(1, 12).Draw(t, "slots"), Room: rapid.IntRange(0, 8).Draw(t, "room"), Conns: 5, FullTax: 0.3,
		Crowd: rapid.Float64Range(0, 0.5).Draw(t, "crowd"), CrowdAt: 1, ColdFrom: 0.2, ColdTime: 2000,
		WarmBy:  rapid.SampledFrom([]string{world.WarmByTime, world.WarmByWork}).Draw(t, "warm"),
		Cancel:  rapid.SampledFrom([]string{world.CancelNothing, world.CancelWaiting, world.CancelAll}).Draw(t, "cancel"),
		Overdue: rapid.Bool().Draw(t, "overdue"), HandshakeWork: 1, Errors: 0.1}
}

// play does one drawn thing.
func (s *story) play(t *rapid.T) {
	s.now += rapid.SampledFrom([]float64{0, 0.5, 10, 300}).Draw(t, "later")
	step := world.Step{At: s.now, Size: 1}
	switch rapid.IntRange(0, 12).Draw(t, "what") {
	case 0, 1, 2, 3, 4, 5:
		s.offer(rapid.Float64Range(0.01, 200).Draw(t, "work"), rapid.SampledFrom([]float64{0, 50}).Draw(t, "wait"),
			rapid.SampledFrom([]float64{0, s.now + 100}).Draw(t, "deadline"))
	case 6:
		if len(s.tickets) > 0 {
			s.r.Cancel(s.now, rapid.SampledFrom(s.tickets).Draw(t, "ticket"))
		}
	case 7:
		s.r.Connect(s.now)
	case 8:
		s.r.Disconnect(s.now)
	case 9:
		step.Do, step.Size = world.SetSlow, rapid.SampledFrom([]float64{1, 5}).Draw(t, "size")
		s.r.Do(s.now, step)
	case 10:
		step.Do, step.Size = world.SetShared, rapid.SampledFrom([]float64{1, 2}).Draw(t, "size")
		s.r.Do(s.now, step)
	case 11:
		step.Do = world.Freeze
		s.r.Do(s.now, step)
	case 12:
		step.Do = world.Thaw
		s.r.Do(s.now, step)
	}
}

// Guards the rater's promises over any history: each attempt begins at most once and ends once, what was turned away never
// ran, times never go back, never more run than there are slots, and once all is thawed everything ends and nothing is held.
func TestRaterKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := anySpec(t)
		s := newStory(spec, t.Fatalf)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.play(t)
		}
		for s.r.Frozen() {
			s.r.Do(s.now, world.Step{At: s.now, Do: world.Thaw})
		}
		for n := 0; s.r.Next() < math.Inf(1); n++ {
			require.Less(t, n, 100_000, "it comes to an end")
			s.r.Advance(s.r.Next())
		}
		if s.most > spec.Slots || s.r.Held() != 0 || s.r.Waiting() != 0 || s.r.Backlog() > 1e-6 {
			t.Fatalf("%d at once on %d slots; %d run, %d wait at the end", s.most, spec.Slots, s.r.Held(), s.r.Waiting())
		}
		for tag := range s.work {
			if _, over := s.ended[tag]; !over {
				t.Fatalf("attempt %d has no end", tag)
			}
		}
	})
}

// Guards against a course that hangs on how often the rater is asked: advanced at each of its own times, or only when
// something is told it, it does the same at the same times.
func TestRaterStepsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := anySpec(t)
		fine, coarse := newStory(spec, t.Fatalf), newStory(spec, t.Fatalf)
		for range rapid.IntRange(1, 25).Draw(t, "offers") {
			at := coarse.now + rapid.SampledFrom([]float64{0, 7, 90}).Draw(t, "later")
			work := rapid.Float64Range(1, 100).Draw(t, "work")
			for fine.now < at {
				fine.now = min(at, max(fine.now+1, fine.r.Next()))
				fine.r.Advance(fine.now)
			}
			fine.now, coarse.now = at, at
			fine.offer(work, 20, 0)
			coarse.offer(work, 20, 0)
		}
		fine.r.Advance(1e6)
		coarse.r.Advance(1e6)
		if len(fine.events) != len(coarse.events) {
			t.Fatalf("%d and %d events", len(fine.events), len(coarse.events))
		}
		for i, e := range fine.events {
			if c := coarse.events[i]; e.Tag != c.Tag || e.What != c.What || math.Abs(e.At-c.At) > 1e-6 {
				t.Fatalf("event %d: %v and %v", i, e, c)
			}
		}
	})
}

// Guards the arithmetic of shared cores: while there is work for all cores, exactly cores*speed of it is done in a millisecond,
// and one request alone is done at the speed of one core.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := &world.RaterSpec{Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.2, 3).Draw(t, "speed"),
			Slots: 1000, Conns: 1}
		s := newStory(spec, t.Fatalf)
		sum := 0.0
		for range rapid.IntRange(20, 60).Draw(t, "offers") {
			w := rapid.Float64Range(50, 100).Draw(t, "work")
			s.offer(w, 0, 0)
			sum += w
		}
		at := 0.7 * sum / spec.Capacity() / 2 // the shortest third is over, all cores still busy
		s.r.Advance(at)
		if left := s.r.Backlog(); math.Abs(sum-left-at*spec.Capacity()) > 1e-6 {
			t.Fatalf("%g of %g left after %g ms, want %g done", left, sum, at, at*spec.Capacity())
		}
		s.r.Advance(1e7)
		s.now = 1e7
		s.offer(100, 0, 0)
		s.r.Advance(2e7)
		if e := s.events[len(s.events)-1]; math.Abs(e.At-1e7-100/spec.Speed) > 1e-3 {
			t.Fatalf("alone it took %g ms, want %g", e.At-1e7, 100/spec.Speed)
		}
	})
}

// Guards the cold start: it rises evenly with time, is warm when it should be, and falls over when sent more than the stated
// multiple of what it can do, but not when sent a little less.
func TestColdStart(t *testing.T) {
	spec := &world.RaterSpec{Cores: 2, Speed: 1, Slots: 1000, Room: 1000, Conns: 1, ColdFrom: 0.2, ColdTime: 10_000,
		WarmBy: world.WarmByTime, FallMultiple: 3, FallTime: 1000, FallSlack: 0.1}
	for _, c := range []struct {
		times float64
		falls bool
	}{{2.8, false}, {4.5, true}} {
		s := newStory(spec, t.Fatalf)
		s.r.Start(0, spec.ColdFrom)
		for ; s.now < 9000 && s.r.Mode() == world.Up; s.now += 20 {
			s.r.Advance(s.now)
			require.InDelta(t, 0.2+0.8*s.now/10_000, s.r.Share(), 0.005)
			s.offer(c.times*s.r.Share()*spec.Capacity()*20, 0, 0)
		}
		require.Equal(t, c.falls, s.r.Mode() == world.Down, "sent %g times what it can do", c.times)
		if c.falls {
			require.Equal(t, world.Fell, s.events[len(s.events)-1].What)
			require.InDelta(t, 1000, s.now, 300, "after about a second")
			continue
		}
		s.r.Advance(10_001)
		require.Equal(t, 1.0, s.r.Share())
	}
}

// Guards against work that warms nothing, and against one that warms by work and stays cold while idle for longer than stated.
func TestWarmsByWork(t *testing.T) {
	spec := &world.RaterSpec{Cores: 1, Speed: 1, Slots: 10, Conns: 1, ColdFrom: 0.2, ColdTime: 10_000, WarmBy: world.WarmByWork}
	busy, idle := newStory(spec, t.Fatalf), newStory(spec, t.Fatalf)
	busy.r.Start(0, 0.2)
	idle.r.Start(0, 0.2)
	busy.offer(1e6, 0, 0)
	busy.r.Advance(7500)
	idle.r.Advance(7500)
	require.InDelta(t, 0.8, idle.r.Share(), 0.01)
	require.Equal(t, 1.0, busy.r.Share())
	idle.r.Advance(10_040)
	require.Equal(t, 1.0, idle.r.Share())
}

// Guards what drain, end and standing still do to what is held and what comes.
func TestModes(t *testing.T) {
	spec := &world.RaterSpec{Cores: 1, Speed: 1, Slots: 1, Room: 2, Conns: 1}
	s := newStory(spec, t.Fatalf)
	told := func(from int) string { return fmt.Sprint(s.events[from:]) }
	s.offer(10, 0, 0)
	s.offer(10, 0, 0)
	s.r.Drain(1)
	s.now = 2
	s.offer(10, 0, 0)
	s.r.Advance(50)
	require.Equal(t, fmt.Sprint([]world.Event{{At: 0, Tag: 1, What: world.Began}, {At: 2, Tag: 3, What: world.Turned, Why: world.IsDraining},
		{At: 10, Tag: 1, What: world.Answered}, {At: 10, Tag: 2, What: world.Began}, {At: 20, Tag: 2, What: world.Answered}}), told(0))
	s.r.Start(60, 1)
	s.now = 60
	s.r.Do(60, world.Step{Do: world.Freeze})
	for range 4 {
		s.offer(10, 0, 0)
	}
	s.r.Advance(99)
	require.Len(t, s.events, 5, "nothing is heard of one that stands still")
	s.r.Do(100, world.Step{Do: world.Thaw})
	require.Equal(t, fmt.Sprint([]world.Event{{At: 100, Tag: 4, What: world.Began}, {At: 100, Tag: 7, What: world.Turned, Why: world.RoomFull}}), told(5))
	s.r.End(105, world.Down)
	s.r.Advance(1e6)
	require.Len(t, s.events, 7, "nothing is told of what a process that ended held")
	require.Equal(t, world.Rejected, s.r.Connect(1e6))
	s.r.End(1e6, world.Hidden)
	require.Equal(t, world.Silent, s.r.Connect(1e6))
}
