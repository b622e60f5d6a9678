package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
)

func newTestService(t *testing.T, raters int, seed uint64) *Balancer {
	t.Helper()
	s, err := NewBalancer(Config{Target: 500 * time.Millisecond, Deadline: 3 * time.Second, Nodes: 4, Seed: seed})
	require.NoError(t, err)
	s.SetBackends(time.Second, list(raters))
	return s
}

func list(raters int) []Backend {
	var all []Backend
	for i := range raters {
		all = append(all, Backend{ID: fmt.Sprintf("r%02d", i), Slots: 64})
	}
	return all
}

func prefixed(key string) *Request {
	return &Request{Prefix: key, OwnTokens: 500, SharedTokens: 5000, Target: 500 * time.Millisecond, Deadline: time.Hour}
}

// light is a request whose shared part costs little to read again.
func light(key string) *Request {
	request := prefixed(key)
	request.OwnTokens, request.SharedTokens = 4000, 500
	return request
}

func TestAllNodesGiveAPrefixTheSameHome(t *testing.T) {
	a, b := newTestService(t, 9, 1), newTestService(t, 9, 2)
	homes := map[string]int{}
	for i := range 300 {
		key := fmt.Sprint(i)
		first, second := a.Pick(time.Second, prefixed(key)), b.Pick(time.Second, prefixed(key))
		require.Equal(t, first.Backend.ID, second.Backend.ID)
		homes[first.Backend.ID]++
		a.Done(time.Second, first, decide.Good, Load{})
		b.Done(time.Second, second, decide.Good, Load{})
	}
	for id, count := range homes {
		require.InDelta(t, 300.0/9, count, 25, id)
	}
}

func TestOnlyThePrefixesOfARaterThatLeavesMove(t *testing.T) {
	before, after := newTestService(t, 9, 1), newTestService(t, 9, 1)
	after.SetBackends(time.Second, append(list(9)[:4], list(9)[5:]...))
	for i := range 300 {
		was, is := before.Pick(time.Second, prefixed(fmt.Sprint(i))), after.Pick(time.Second, prefixed(fmt.Sprint(i)))
		if was.Backend.ID != "r04" {
			require.Equal(t, was.Backend.ID, is.Backend.ID)
		}
		before.Done(time.Second, was, decide.Good, Load{})
		after.Done(time.Second, is, decide.Good, Load{})
	}
}

func TestDrainingLateAndTriedRatersGetNothing(t *testing.T) {
	s := newTestService(t, 4, 1)
	raters := list(4)
	raters[0].Draining, raters[1].HeartbeatLate = true, true
	s.SetBackends(time.Second, raters)
	for i := range 60 {
		request := prefixed(fmt.Sprint(i))
		if i%2 == 0 {
			request.Prefix = ""
		}
		request.Exclude = []string{"r02"}
		ticket := s.Pick(time.Second, request)
		require.NotNil(t, ticket)
		require.Equal(t, "r03", ticket.Backend.ID)
		s.Done(time.Second, ticket, decide.Good, Load{})
	}
	require.Nil(t, s.Pick(time.Second, &Request{Exclude: []string{"r02", "r03"}, Deadline: time.Hour}))
}

func TestARaterThatHoldsMoreThanItsPartPassesPrefixesOn(t *testing.T) {
	s := newTestService(t, 4, 1)
	places := map[string]int{}
	for range 40 {
		places[s.Pick(time.Second, prefixed("hot")).Backend.ID]++
	}
	require.GreaterOrEqual(t, len(places), 2)
	for id, count := range places {
		require.LessOrEqual(t, float64(count), inFlightBoundFactor*40/4+inFlightBoundSlack, id)
	}
}

// teach lets a service learn that its raters read so many tokens a second.
func teach(s *Balancer, now time.Duration, speed float64) time.Duration {
	for i := range 40 {
		request := prefixed(fmt.Sprint("teach", i))
		request.OwnTokens = 10_000
		if i%2 == 0 {
			request.OwnTokens = 100
		}
		ticket := s.Pick(now, request)
		tokens := request.OwnTokens
		if !ticket.PrefixCached { // the rater reads the shared part too
			tokens += request.SharedTokens
		}
		now += 50*time.Millisecond + time.Duration(tokens/speed*float64(time.Second))
		s.FirstToken(now, ticket)
		s.Done(now, ticket, decide.Good, Load{})
	}
	return now
}

// told is an event of another node's attempt at a rater.
func told(kind EventKind, rater string, attempt uint32) *Event {
	return &Event{Kind: kind, Backend: TagOf(rater), Attempt: attempt}
}

// reads is the event that another node sent a rater a prompt.
func reads(rater string, attempt uint32, tokens float64) *Event {
	event := told(EventSent, rater, attempt)
	event.Tokens = tokens
	return event
}

func TestARequestMovesFromAHomeThatReadsALongPrompt(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	home := s.Pick(now, prefixed("k"))
	s.Done(now, home, decide.Good, Load{})
	require.True(t, s.Observe(now, reads(home.Backend.ID, 7, 90_000)))
	moved := s.Pick(now, prefixed("k"))
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
	require.Equal(t, ReasonMoved, moved.Reason)
	require.False(t, moved.PrefixCached, "the shared part is read anew there")
	s.Done(now, moved, decide.Good, Load{})
	patient := prefixed("k")
	patient.Target = time.Minute
	stays := s.Pick(now, patient)
	require.True(t, stays.PrefixCached, "one with time to spare goes where its prefix is kept")
	s.Done(now, stays, decide.Good, Load{})
	s.Observe(now, told(EventEnded, home.Backend.ID, 7))
	back := s.Pick(now, prefixed("k"))
	require.Equal(t, home.Backend.ID, back.Backend.ID, "once the prompt is read, the home goes first again")
}

func TestAPromptThatIsLateAnywhereStaysAtItsHome(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	huge := prefixed("k")
	huge.OwnTokens = 200_000 // two seconds on an idle rater
	home := s.Pick(now, huge)
	s.Done(now, home, decide.Good, Load{})
	s.Observe(now, reads(home.Backend.ID, 7, 10_000))
	again := s.Pick(now, huge)
	require.Equal(t, home.Backend.ID, again.Backend.ID, "a move would gain nothing and have the shared part read again")
}

func TestALongPromptLeavesARaterWithManyStreams(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	long := light("k")
	long.OwnTokens = 45_000
	home := s.Pick(now, long)
	s.Done(now, home, decide.Good, Load{})
	for attempt := range uint32(6) {
		running := reads(home.Backend.ID, attempt, 10)
		running.Long = true
		s.Observe(now, running)
		s.Observe(now, told(EventFirstToken, home.Backend.ID, attempt))
	}
	moved := s.Pick(now, long)
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID, "every stream there would be held up")
	s.Done(now, moved, decide.Good, Load{})
	for attempt := range uint32(6) {
		s.Observe(now, told(EventEnded, home.Backend.ID, attempt))
	}
	back := s.Pick(now, long)
	require.True(t, back.PrefixCached)
}

func TestARaterThatOthersFindSlowLosesRequests(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	home := s.Pick(now, light("k"))
	s.Done(now, home, decide.Good, Load{})
	for attempt := range uint32(20) {
		now += 50 * time.Millisecond
		s.Observe(now, reads(home.Backend.ID, attempt, 500))
		answer := told(EventFirstToken, home.Backend.ID, attempt)
		answer.TimeToFirstToken = time.Second
		s.Observe(now, answer)
	}
	moved := s.Pick(now, light("k"))
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
	s.Done(now, moved, decide.Good, Load{})
	now += 10 * slowdownWindow
	back := s.Pick(now, light("k"))
	require.True(t, back.PrefixCached)
	require.Less(t, back.Expected, 200*time.Millisecond, "it is tried again after a while, by a client's request")
}

func TestARaterThatOthersFindFailingLosesRequests(t *testing.T) {
	for _, kind := range []EventKind{EventFailed, EventPaused} {
		s := newTestService(t, 9, 1)
		now := teach(s, time.Second, 100_000)
		request := light("k")
		request.Long = true
		home := s.Pick(now, request)
		s.Done(now, home, decide.Good, Load{})
		for attempt := range uint32(12) {
			sent := reads(home.Backend.ID, attempt, 500)
			sent.Long = true
			s.Observe(now, sent)
			answer := told(EventFirstToken, home.Backend.ID, attempt)
			answer.TimeToFirstToken = 55 * time.Millisecond
			s.Observe(now, answer)
			s.Observe(now, told(kind, home.Backend.ID, attempt))
		}
		moved := s.Pick(now, request)
		require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
	}
}

func TestARaterThatIsSilentLosesRequestsBeforeAnyTimeOut(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	home := s.Pick(now, light("k"))
	s.Done(now, home, decide.Good, Load{})
	for attempt := range uint32(6) {
		s.Observe(now, reads(home.Backend.ID, attempt, 100))
	}
	moved := s.Pick(now+400*time.Millisecond, light("k"))
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
}

func TestARaterWithAllItsSlotsTakenLosesRequests(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	home := s.Pick(now, light("k"))
	s.Done(now, home, decide.Good, Load{})
	for attempt := range uint32(100) { // it has 64
		running := reads(home.Backend.ID, attempt, 1)
		running.Long = true
		s.Observe(now, running)
		s.Observe(now, told(EventFirstToken, home.Backend.ID, attempt))
	}
	require.Greater(t, s.loads.slotDelay(now, s.loads.backend(TagOf(home.Backend.ID)), 64), 300*time.Millisecond)
	moved := s.Pick(now, light("k"))
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
}

func TestNewsThatIsNeverEndedIsForgotten(t *testing.T) {
	s := newTestService(t, 2, 1)
	now := teach(s, time.Second, 100_000)
	s.Observe(now, reads("r00", 7, 90_000))
	load := s.loads.backend(TagOf("r00"))
	require.Positive(t, s.loads.queueDelay(now, load))
	require.Zero(t, s.loads.queueDelay(now+prefillMaxAge+time.Second, load))
	running := reads("r01", 8, 10)
	running.Long = true
	s.Observe(now, running)
	s.Observe(now, told(EventFirstToken, "r01", 8))
	load = s.loads.backend(TagOf("r01"))
	require.Len(t, load.decoding, 1)
	s.loads.slotDelay(now+streamMaxAge+time.Second, load, 64)
	require.Empty(t, load.decoding)
}

func TestNewsOfARaterOfAnotherServiceIsNotTaken(t *testing.T) {
	s := newTestService(t, 2, 1)
	require.False(t, s.Observe(time.Second, reads("elsewhere", 1, 1000)))
}

func TestTheCurveIsThatOfAnIdleRater(t *testing.T) {
	s := newTestService(t, 9, 1)
	teach(s, time.Second, 100_000)
	require.InDelta(t, 0.1, s.loads.prefill.time(10_000).Seconds(), 0.015)
	require.InDelta(t, 0.05, s.loads.prefill.base.Seconds(), 0.01)
}

func TestTheCurveBendsWhereLongPromptsTakeLongerByToken(t *testing.T) {
	curve := newPrefillCurve()
	took := func(tokens float64) time.Duration {
		x := tokens / 1000
		return 45*time.Millisecond + time.Duration((0.018*x+0.0002*x*x)*float64(time.Second))
	}
	for i := range 600 {
		tokens := float64(300 + (i*7919)%50_000)
		curve.observe(tokens, took(tokens))
	}
	for _, tokens := range []float64{2000, 10_000, 30_000, 50_000} {
		require.InEpsilon(t, took(tokens).Seconds(), (curve.base + curve.time(tokens)).Seconds(), 0.12, tokens)
	}
}

func TestWhatANodeTellsIsWhatOthersTake(t *testing.T) {
	a, b := newTestService(t, 9, 1), newTestService(t, 9, 2)
	now := time.Second
	request := prefixed("k")
	request.Long = true
	ticket := a.Pick(now, request)
	a.FirstToken(now+100*time.Millisecond, ticket)
	a.Done(now+time.Second, ticket, decide.Good, Load{})
	events := a.DrainEvents()
	require.Len(t, events, 3)
	require.Empty(t, a.DrainEvents(), "each is told once")
	kinds := []EventKind{EventSent, EventFirstToken, EventEnded}
	for i := range events {
		require.Equal(t, kinds[i], events[i].Kind)
		require.True(t, b.Observe(now, &events[i]))
	}
	load := b.loads.backend(TagOf(ticket.Backend.ID))
	require.Empty(t, load.prefilling)
	require.Empty(t, load.decoding)
	require.Equal(t, []uint32{TagOf(ticket.Backend.ID)}, b.loads.cachedAt(now, TagOf("k")))
}

func TestAPartIsKeptUntilItsRaterHasReadMuchElse(t *testing.T) {
	s := newTestService(t, 3, 1)
	raters := list(3)
	for i := range raters {
		raters[i].KVTokens = 100_000
	}
	s.SetBackends(time.Second, raters)
	now := time.Second
	sent := reads("r00", 1, 5000)
	sent.Prefix = TagOf("k")
	s.Observe(now, sent)
	now += 10 * prefixMaxAge
	require.Len(t, s.loads.cachedAt(now, TagOf("k")), 1, "nothing has taken its place")
	s.Observe(now, reads("r00", 2, 60_000))
	require.Empty(t, s.loads.cachedAt(now, TagOf("k")))
	s.SetBackends(now, raters[1:])
	require.Nil(t, s.loads.backends[TagOf("r00")], "a rater that left keeps nothing")
}

func TestPartsAreForgottenByGenerations(t *testing.T) {
	parts := newPrefixCache()
	for part := uint32(1); part <= 3*maxPrefixes; part++ {
		parts.record(0, part, 1, 0)
		parts.record(0, 1, 2, 0) // one in use stays
	}
	require.LessOrEqual(t, len(parts.young)+len(parts.old), maxPrefixes)
	require.Len(t, parts.locations(1), 2)
	require.Empty(t, parts.locations(2))
	for rater := range uint32(3 * maxBackendsPerPrefix) {
		parts.record(time.Duration(rater), 1, rater+10, 0)
	}
	require.Len(t, parts.locations(1), maxBackendsPerPrefix)
}

func TestLargeRequestsAreWorthMore(t *testing.T) {
	all := meanSizes{}
	for range 300 {
		all.record(&Request{Route: "a", OwnTokens: 1000})
	}
	require.InDelta(t, 1, all.value(&Request{Route: "a", OwnTokens: 1000}), 0.01)
	require.InDelta(t, 1.7, all.value(&Request{Route: "a", OwnTokens: 2000}), 0.01)
	require.InDelta(t, maxValue, all.value(&Request{Route: "a", OwnTokens: 50_000}), 0.01)
	require.InDelta(t, 1, all.value(&Request{Route: "unknown", OwnTokens: 50_000}), 0.01)
}

func TestWithoutAPrefixTheSharesDecide(t *testing.T) {
	s := newTestService(t, 3, 1)
	now := time.Second
	places := map[string]int{}
	for range 3000 {
		now += 5 * time.Millisecond
		ticket := s.Pick(now, &Request{Deadline: time.Hour})
		places[ticket.Backend.ID]++
		took := 20 * time.Millisecond
		if ticket.Backend.ID == "r00" { // four times slower
			took *= 4
		}
		s.FirstToken(now+took, ticket)
		s.Done(now+took, ticket, decide.Good, Load{})
	}
	require.Less(t, places["r00"], places["r01"])
	require.Less(t, places["r00"], places["r02"])
	require.Positive(t, places["r00"])
}

func TestARaterThatDoesNotConnectIsPutAwayAndComesBack(t *testing.T) {
	s := newTestService(t, 3, 1)
	now := time.Second
	down, placesDown, placesAfter := true, 0, 0
	for i := range 4000 {
		now += 5 * time.Millisecond
		down = i < 2000
		ticket := s.Pick(now, &Request{Deadline: time.Hour})
		require.NotNil(t, ticket)
		if ticket.Backend.ID != "r00" {
			s.FirstToken(now+10*time.Millisecond, ticket)
			s.Done(now+10*time.Millisecond, ticket, decide.Good, Load{})
			continue
		}
		if down {
			placesDown++
			s.Done(now, ticket, decide.NoConnect, Load{})
			continue
		}
		placesAfter++
		s.FirstToken(now+10*time.Millisecond, ticket)
		s.Done(now+10*time.Millisecond, ticket, decide.Good, Load{})
	}
	require.Less(t, placesDown, 40)
	require.Greater(t, placesAfter, 100)
}

// alsoAt is another prefix that has its home at a rater.
func alsoAt(t *testing.T, rater string) string {
	t.Helper()
	s := newTestService(t, 9, 3)
	for i := range 1000 {
		key := fmt.Sprint("also", i)
		ticket := s.Pick(time.Second, prefixed(key))
		s.Done(time.Second, ticket, decide.Good, Load{})
		if ticket.Backend.ID == rater {
			return key
		}
	}
	t.Fatal("no prefix has its home there")
	return ""
}

func TestARaterThatANodeCouldNotReachIsLeftAloneByAll(t *testing.T) {
	a, b := newTestService(t, 9, 1), newTestService(t, 9, 2)
	now := time.Second
	home := a.Pick(now, prefixed("k"))
	a.Done(now, home, decide.NoConnect, Load{})
	a.Unreachable(now, home)
	later := alsoAt(t, home.Backend.ID)
	b.Observe(now, told(EventUnreachable, home.Backend.ID, 0))
	for _, s := range []*Balancer{a, b} {
		moved := s.Pick(now+time.Millisecond, prefixed("k"))
		require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
		s.Done(now, moved, decide.Good, Load{})
		require.True(t, s.Pick(now+maxAvoidance, prefixed("k")).PrefixCached, "what moved stays")
		back := s.Pick(now+maxAvoidance, prefixed(later))
		require.Equal(t, home.Backend.ID, back.Backend.ID, "it is tried again after a while")
		s.Done(now, back, decide.Good, Load{})
	}
}

func TestOneNodesBadLinksCondemnNoRaterForAll(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := time.Second
	heard := s.Pick(now, prefixed("k"))
	s.FirstToken(now, heard)
	s.Done(now, heard, decide.Good, Load{})
	s.Observe(now+ownEvidenceMaxAge/2, told(EventUnreachable, heard.Backend.ID, 0))
	again := s.Pick(now+ownEvidenceMaxAge/2, prefixed("k"))
	require.Equal(t, heard.Backend.ID, again.Backend.ID, "what this node hears from it goes before")
	s.Done(now, again, decide.Good, Load{})
	now += time.Minute
	for _, rater := range list(9) {
		s.Observe(now, told(EventUnreachable, rater.ID, 0))
	}
	suspected := 0
	for _, m := range s.members {
		if m.avoided(now) {
			suspected++
		}
	}
	require.LessOrEqual(t, suspected, 4, "less than half of them")
}

func TestASuspectedRaterIsBetterThanNone(t *testing.T) {
	s := newTestService(t, 1, 1)
	only := s.Pick(time.Second, prefixed("k"))
	s.Done(time.Second, only, decide.NotSent, Load{})
	s.Unreachable(time.Second, only)
	require.NotNil(t, s.Pick(time.Second, prefixed("k")))
}

func TestRendezvousSpreadsEvenlyAndStably(t *testing.T) {
	places := []string{"a", "b", "c"}
	counts := map[string]int{}
	for i := range 3000 {
		key := fmt.Sprint(i)
		place := Rendezvous(key, places)
		counts[place]++
		if place != "c" {
			require.Equal(t, place, Rendezvous(key, places[:2]))
		}
	}
	for _, place := range places {
		require.InDelta(t, 1000, counts[place], 120)
	}
	require.Empty(t, Rendezvous("k", nil))
}

func TestAnAnswerThatWasHeldUpIsTold(t *testing.T) {
	s := newTestService(t, 2, 1)
	request := light("k")
	request.Long = true
	ticket := s.Pick(time.Second, request)
	s.FirstToken(time.Second, ticket)
	ticket.RecordPause()
	s.Done(2*time.Second, ticket, decide.Good, Load{})
	events := s.DrainEvents()
	require.Equal(t, EventPaused, events[len(events)-1].Kind)
}
