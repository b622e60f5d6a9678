package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
)

func newTestBalancer(t *testing.T, backends int, seed uint64) *Balancer {
	t.Helper()
	b, err := NewBalancer(Config{Target: 500 * time.Millisecond, Deadline: 3 * time.Second, Nodes: 4, Seed: seed})
	require.NoError(t, err)
	b.SetBackends(time.Second, testBackends(backends))
	return b
}

func testBackends(backends int) []Backend {
	var all []Backend
	for i := range backends {
		all = append(all, Backend{ID: fmt.Sprintf("r%02d", i), Slots: 64})
	}
	return all
}

func prefixed(key string) *Request {
	return &Request{Prefix: key, OwnTokens: 500, SharedTokens: 5000, Target: 500 * time.Millisecond, Deadline: time.Hour}
}

// prefixedCheaply returns a request whose prefix is cheap to prefill again.
func prefixedCheaply() *Request {
	request := prefixed("k")
	request.OwnTokens, request.SharedTokens = 4000, 500
	return request
}

func TestAllNodesAgreeOnThePrefixHome(t *testing.T) {
	a, b := newTestBalancer(t, 9, 1), newTestBalancer(t, 9, 2)
	homes := map[string]int{}
	for i := range 300 {
		key := fmt.Sprint(i)
		first, second := a.Pick(time.Second, prefixed(key)), b.Pick(time.Second, prefixed(key))
		require.Equal(t, first.Backend.ID, second.Backend.ID)
		homes[first.Backend.ID]++
		a.Done(time.Second, first, decide.Succeeded, Load{})
		b.Done(time.Second, second, decide.Succeeded, Load{})
	}
	for id, count := range homes {
		require.InDelta(t, 300.0/9, count, 25, id)
	}
}

func TestRemovedBackendMovesOnlyItsPrefixes(t *testing.T) {
	before, after := newTestBalancer(t, 9, 1), newTestBalancer(t, 9, 1)
	after.SetBackends(time.Second, append(testBackends(9)[:4], testBackends(9)[5:]...))
	for i := range 300 {
		was, is := before.Pick(time.Second, prefixed(fmt.Sprint(i))), after.Pick(time.Second, prefixed(fmt.Sprint(i)))
		if was.Backend.ID != "r04" {
			require.Equal(t, was.Backend.ID, is.Backend.ID)
		}
		before.Done(time.Second, was, decide.Succeeded, Load{})
		after.Done(time.Second, is, decide.Succeeded, Load{})
	}
}

func TestDrainingLateAndExcludedBackendsAreNotPicked(t *testing.T) {
	b := newTestBalancer(t, 4, 1)
	backends := testBackends(4)
	backends[0].Draining, backends[1].HeartbeatLate = true, true
	b.SetBackends(time.Second, backends)
	for i := range 60 {
		request := prefixed(fmt.Sprint(i))
		if i%2 == 0 {
			request.Prefix = ""
		}
		request.Exclude = []string{"r02"}
		attempt := b.Pick(time.Second, request)
		require.NotNil(t, attempt)
		require.Equal(t, "r03", attempt.Backend.ID)
		b.Done(time.Second, attempt, decide.Succeeded, Load{})
	}
	require.Nil(t, b.Pick(time.Second, &Request{Exclude: []string{"r02", "r03"}, Deadline: time.Hour}))
}

func TestInFlightBoundSpreadsAHotPrefix(t *testing.T) {
	b := newTestBalancer(t, 4, 1)
	picks := map[string]int{}
	for range 40 {
		picks[b.Pick(time.Second, prefixed("hot")).Backend.ID]++
	}
	require.GreaterOrEqual(t, len(picks), 2)
	for id, count := range picks {
		require.LessOrEqual(t, float64(count), inFlightBoundFactor*40/4+inFlightBoundSlack, id)
	}
}

// trainedSpeed is the prefill speed that trainPrefillSpeed simulates, in tokens per second.
const trainedSpeed = 100_000.0

// trainPrefillSpeed lets a balancer learn that its backends prefill at trainedSpeed, and returns the time after
// that.
func trainPrefillSpeed(b *Balancer) time.Duration {
	now := time.Second
	for i := range 40 {
		request := prefixed(fmt.Sprint("teach", i))
		request.OwnTokens = 10_000
		if i%2 == 0 {
			request.OwnTokens = 100
		}
		attempt := b.Pick(now, request)
		tokens := request.OwnTokens
		if !attempt.PrefixCached { // the backend prefills the prefix too
			tokens += request.SharedTokens
		}
		now += 50*time.Millisecond + time.Duration(tokens/trainedSpeed*float64(time.Second))
		b.FirstToken(now, attempt)
		b.Done(now, attempt, decide.Succeeded, Load{})
	}
	return now
}

// attemptEvent returns an event of another node's attempt at a backend.
func attemptEvent(kind EventKind, backend string, attempt uint32) *Event {
	return &Event{Kind: kind, Backend: TagOf(backend), Attempt: attempt}
}

// sentEvent returns the event of another node that sent a prompt to a backend.
func sentEvent(backend string, attempt uint32, tokens float64) *Event {
	event := attemptEvent(EventSent, backend, attempt)
	event.Tokens = tokens
	return event
}

func TestRequestLeavesAHomeBusyWithALongPrefill(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := trainPrefillSpeed(b)
	home := b.Pick(now, prefixed("k"))
	b.Done(now, home, decide.Succeeded, Load{})
	require.True(t, b.Observe(now, sentEvent(home.Backend.ID, 7, 90_000)))
	moved := b.Pick(now, prefixed("k"))
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
	require.Equal(t, ReasonMoved, moved.Reason)
	require.False(t, moved.PrefixCached, "the prefix has to be prefilled there")
	b.Done(now, moved, decide.Succeeded, Load{})
	notUrgent := prefixed("k")
	notUrgent.Target = time.Minute
	second := b.Pick(now, notUrgent)
	require.True(t, second.PrefixCached, "a request with time to spare goes where its prefix is cached")
	b.Done(now, second, decide.Succeeded, Load{})
	b.Observe(now, attemptEvent(EventEnded, home.Backend.ID, 7))
	back := b.Pick(now, prefixed("k"))
	require.Equal(t, home.Backend.ID, back.Backend.ID, "once the prompt is prefilled, the home is preferred again")
}

func TestPromptThatIsLateEverywhereStaysAtItsHome(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := trainPrefillSpeed(b)
	huge := prefixed("k")
	huge.OwnTokens = 200_000 // two seconds on an idle backend
	home := b.Pick(now, huge)
	b.Done(now, home, decide.Succeeded, Load{})
	b.Observe(now, sentEvent(home.Backend.ID, 7, 10_000))
	again := b.Pick(now, huge)
	require.Equal(t, home.Backend.ID, again.Backend.ID, "another backend would gain nothing and would prefill the prefix again")
}

func TestLongPromptLeavesABackendWithManyStreams(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := trainPrefillSpeed(b)
	long := prefixedCheaply()
	long.OwnTokens = 45_000
	home := b.Pick(now, long)
	b.Done(now, home, decide.Succeeded, Load{})
	for attempt := range uint32(6) {
		running := sentEvent(home.Backend.ID, attempt, 10)
		running.Long = true
		b.Observe(now, running)
		b.Observe(now, attemptEvent(EventFirstToken, home.Backend.ID, attempt))
	}
	moved := b.Pick(now, long)
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID, "all its streams would stall")
	b.Done(now, moved, decide.Succeeded, Load{})
	for attempt := range uint32(6) {
		b.Observe(now, attemptEvent(EventEnded, home.Backend.ID, attempt))
	}
	back := b.Pick(now, long)
	require.True(t, back.PrefixCached)
}

func TestBackendThatOtherNodesFindSlowLosesRequests(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := trainPrefillSpeed(b)
	home := b.Pick(now, prefixedCheaply())
	b.Done(now, home, decide.Succeeded, Load{})
	for attempt := range uint32(20) {
		now += 50 * time.Millisecond
		b.Observe(now, sentEvent(home.Backend.ID, attempt, 500))
		firstToken := attemptEvent(EventFirstToken, home.Backend.ID, attempt)
		firstToken.TimeToFirstToken = time.Second
		b.Observe(now, firstToken)
	}
	moved := b.Pick(now, prefixedCheaply())
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
	b.Done(now, moved, decide.Succeeded, Load{})
	now += 10 * slowdownWindow
	back := b.Pick(now, prefixedCheaply())
	require.True(t, back.PrefixCached)
	require.Less(t, back.Expected, 200*time.Millisecond, "it is tried again after a while, with a client's request")
}

func TestBackendThatOtherNodesFindFailingLosesRequests(t *testing.T) {
	for _, kind := range []EventKind{EventFailed, EventPaused} {
		b := newTestBalancer(t, 9, 1)
		now := trainPrefillSpeed(b)
		request := prefixedCheaply()
		request.Long = true
		home := b.Pick(now, request)
		b.Done(now, home, decide.Succeeded, Load{})
		for attempt := range uint32(12) {
			sent := sentEvent(home.Backend.ID, attempt, 500)
			sent.Long = true
			b.Observe(now, sent)
			firstToken := attemptEvent(EventFirstToken, home.Backend.ID, attempt)
			firstToken.TimeToFirstToken = 55 * time.Millisecond
			b.Observe(now, firstToken)
			b.Observe(now, attemptEvent(kind, home.Backend.ID, attempt))
		}
		moved := b.Pick(now, request)
		require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
	}
}

func TestUnresponsiveBackendLosesRequestsBeforeAnyTimeout(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := trainPrefillSpeed(b)
	home := b.Pick(now, prefixedCheaply())
	b.Done(now, home, decide.Succeeded, Load{})
	for attempt := range uint32(6) {
		b.Observe(now, sentEvent(home.Backend.ID, attempt, 100))
	}
	moved := b.Pick(now+400*time.Millisecond, prefixedCheaply())
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
}

func TestBackendWithoutFreeSlotsLosesRequests(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := trainPrefillSpeed(b)
	home := b.Pick(now, prefixedCheaply())
	b.Done(now, home, decide.Succeeded, Load{})
	for attempt := range uint32(100) { // the backend has 64 slots
		running := sentEvent(home.Backend.ID, attempt, 1)
		running.Long = true
		b.Observe(now, running)
		b.Observe(now, attemptEvent(EventFirstToken, home.Backend.ID, attempt))
	}
	require.Greater(t, b.loads.slotDelay(now, b.loads.backend(TagOf(home.Backend.ID)), 64), 300*time.Millisecond)
	moved := b.Pick(now, prefixedCheaply())
	require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
}

func TestAttemptsWithoutAnEndExpire(t *testing.T) {
	b := newTestBalancer(t, 2, 1)
	now := trainPrefillSpeed(b)
	b.Observe(now, sentEvent("r00", 7, 90_000))
	load := b.loads.backend(TagOf("r00"))
	require.Positive(t, b.loads.queueDelay(now, load))
	require.Zero(t, b.loads.queueDelay(now+prefillMaxAge+time.Second, load))
	running := sentEvent("r01", 8, 10)
	running.Long = true
	b.Observe(now, running)
	b.Observe(now, attemptEvent(EventFirstToken, "r01", 8))
	load = b.loads.backend(TagOf("r01"))
	require.Len(t, load.decoding, 1)
	b.loads.slotDelay(now+streamMaxAge+time.Second, load, 64)
	require.Empty(t, load.decoding)
}

func TestEventsOfUnknownBackendsAreIgnored(t *testing.T) {
	b := newTestBalancer(t, 2, 1)
	require.False(t, b.Observe(time.Second, sentEvent("elsewhere", 1, 1000)))
}

func TestPrefillCurveIsThatOfAnIdleBackend(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	trainPrefillSpeed(b)
	require.InDelta(t, 0.1, b.loads.prefill.time(10_000).Seconds(), 0.015)
	require.InDelta(t, 0.05, b.loads.prefill.base.Seconds(), 0.01)
}

func TestPrefillCurveFitsAQuadraticPart(t *testing.T) {
	curve := newPrefillCurve()
	elapsed := func(tokens float64) time.Duration {
		x := tokens / 1000
		return 45*time.Millisecond + time.Duration((0.018*x+0.0002*x*x)*float64(time.Second))
	}
	for i := range 600 {
		tokens := float64(300 + (i*7919)%50_000)
		curve.observe(tokens, elapsed(tokens))
	}
	for _, tokens := range []float64{2000, 10_000, 30_000, 50_000} {
		require.InEpsilon(t, elapsed(tokens).Seconds(), (curve.base + curve.time(tokens)).Seconds(), 0.12, tokens)
	}
}

func TestEventsOfOneNodeUpdateAnother(t *testing.T) {
	a, b := newTestBalancer(t, 9, 1), newTestBalancer(t, 9, 2)
	now := time.Second
	request := prefixed("k")
	request.Long = true
	attempt := a.Pick(now, request)
	a.FirstToken(now+100*time.Millisecond, attempt)
	a.Done(now+time.Second, attempt, decide.Succeeded, Load{})
	events := a.DrainEvents()
	require.Len(t, events, 3)
	require.Empty(t, a.DrainEvents(), "each event is returned once")
	kinds := []EventKind{EventSent, EventFirstToken, EventEnded}
	for i := range events {
		require.Equal(t, kinds[i], events[i].Kind)
		require.True(t, b.Observe(now, &events[i]))
	}
	load := b.loads.backend(TagOf(attempt.Backend.ID))
	require.Empty(t, load.prefilling)
	require.Empty(t, load.decoding)
	require.Equal(t, []uint32{TagOf(attempt.Backend.ID)}, b.loads.cachedAt(now, TagOf("k")))
}

func TestPrefixStaysCachedUntilMuchElseWasPrefilled(t *testing.T) {
	b := newTestBalancer(t, 3, 1)
	backends := testBackends(3)
	for i := range backends {
		backends[i].KVTokens = 100_000
	}
	b.SetBackends(time.Second, backends)
	now := time.Second
	sent := sentEvent("r00", 1, 5000)
	sent.Prefix = TagOf("k")
	b.Observe(now, sent)
	now += 10 * prefixMaxAge
	require.Len(t, b.loads.cachedAt(now, TagOf("k")), 1, "nothing has evicted it")
	b.Observe(now, sentEvent("r00", 2, 60_000))
	require.Empty(t, b.loads.cachedAt(now, TagOf("k")))
	b.SetBackends(now, backends[1:])
	require.Nil(t, b.loads.backends[TagOf("r00")], "a backend that was removed has no cache")
}

func TestPrefixCacheEvictsByGenerations(t *testing.T) {
	prefixes := newPrefixCache()
	for prefix := uint32(1); prefix <= 3*maxPrefixes; prefix++ {
		prefixes.record(0, prefix, 1, 0)
		prefixes.record(0, 1, 2, 0) // a prefix in use is retained
	}
	require.LessOrEqual(t, len(prefixes.young)+len(prefixes.old), maxPrefixes)
	require.Len(t, prefixes.locations(1), 2)
	require.Empty(t, prefixes.locations(2))
	for backend := range uint32(3 * maxBackendsPerPrefix) {
		prefixes.record(time.Duration(backend), 1, backend+10, 0)
	}
	require.Len(t, prefixes.locations(1), maxBackendsPerPrefix)
}

func TestLargeRequestsHaveHigherValue(t *testing.T) {
	all := meanPromptSizes{}
	for range 300 {
		all.record(&Request{Route: "a", OwnTokens: 1000})
	}
	require.InDelta(t, 1, all.value(&Request{Route: "a", OwnTokens: 1000}), 0.01)
	require.InDelta(t, 1.7, all.value(&Request{Route: "a", OwnTokens: 2000}), 0.01)
	require.InDelta(t, maxValue, all.value(&Request{Route: "a", OwnTokens: 50_000}), 0.01)
	require.InDelta(t, 1, all.value(&Request{Route: "unknown", OwnTokens: 50_000}), 0.01)
}

func TestRequestsWithoutAPrefixFollowTheShares(t *testing.T) {
	b := newTestBalancer(t, 3, 1)
	now := time.Second
	picks := map[string]int{}
	for range 3000 {
		now += 5 * time.Millisecond
		attempt := b.Pick(now, &Request{Deadline: time.Hour})
		picks[attempt.Backend.ID]++
		elapsed := 20 * time.Millisecond
		if attempt.Backend.ID == "r00" { // four times slower
			elapsed *= 4
		}
		b.FirstToken(now+elapsed, attempt)
		b.Done(now+elapsed, attempt, decide.Succeeded, Load{})
	}
	require.Less(t, picks["r00"], picks["r01"])
	require.Less(t, picks["r00"], picks["r02"])
	require.Positive(t, picks["r00"])
}

func TestUnconnectableBackendIsEjectedAndReturns(t *testing.T) {
	b := newTestBalancer(t, 3, 1)
	now := time.Second
	picksDown, picksAfter := 0, 0
	for i := range 4000 {
		now += 5 * time.Millisecond
		down := i < 2000
		attempt := b.Pick(now, &Request{Deadline: time.Hour})
		require.NotNil(t, attempt)
		if attempt.Backend.ID != "r00" {
			b.FirstToken(now+10*time.Millisecond, attempt)
			b.Done(now+10*time.Millisecond, attempt, decide.Succeeded, Load{})
			continue
		}
		if down {
			picksDown++
			b.Done(now, attempt, decide.ConnectFailed, Load{})
			continue
		}
		picksAfter++
		b.FirstToken(now+10*time.Millisecond, attempt)
		b.Done(now+10*time.Millisecond, attempt, decide.Succeeded, Load{})
	}
	require.Less(t, picksDown, 40)
	require.Greater(t, picksAfter, 100)
}

// otherPrefixAt returns another prefix whose home is a backend.
func otherPrefixAt(t *testing.T, backend string) string {
	t.Helper()
	b := newTestBalancer(t, 9, 3)
	for i := range 1000 {
		key := fmt.Sprint("also", i)
		attempt := b.Pick(time.Second, prefixed(key))
		b.Done(time.Second, attempt, decide.Succeeded, Load{})
		if attempt.Backend.ID == backend {
			return key
		}
	}
	t.Fatal("no prefix has its home there")
	return ""
}

func TestUnreachableBackendIsAvoidedByAllNodes(t *testing.T) {
	a, b := newTestBalancer(t, 9, 1), newTestBalancer(t, 9, 2)
	now := time.Second
	home := a.Pick(now, prefixed("k"))
	a.Done(now, home, decide.ConnectFailed, Load{})
	a.Unreachable(now, home)
	later := otherPrefixAt(t, home.Backend.ID)
	b.Observe(now, attemptEvent(EventUnreachable, home.Backend.ID, 0))
	for _, balancer := range []*Balancer{a, b} {
		moved := balancer.Pick(now+time.Millisecond, prefixed("k"))
		require.NotEqual(t, home.Backend.ID, moved.Backend.ID)
		balancer.Done(now, moved, decide.Succeeded, Load{})
		require.True(t, balancer.Pick(now+maxAvoidance, prefixed("k")).PrefixCached, "the moved prefix stays at its new backend")
		back := balancer.Pick(now+maxAvoidance, prefixed(later))
		require.Equal(t, home.Backend.ID, back.Backend.ID, "it is tried again after a while")
		balancer.Done(now, back, decide.Succeeded, Load{})
	}
}

func TestOneNodesBadLinksDoNotExcludeBackendsForAll(t *testing.T) {
	b := newTestBalancer(t, 9, 1)
	now := time.Second
	responded := b.Pick(now, prefixed("k"))
	b.FirstToken(now, responded)
	b.Done(now, responded, decide.Succeeded, Load{})
	b.Observe(now+ownEvidenceMaxAge/2, attemptEvent(EventUnreachable, responded.Backend.ID, 0))
	again := b.Pick(now+ownEvidenceMaxAge/2, prefixed("k"))
	require.Equal(t, responded.Backend.ID, again.Backend.ID, "its response to this node outweighs the report")
	b.Done(now, again, decide.Succeeded, Load{})
	now += time.Minute
	for _, backend := range testBackends(9) {
		b.Observe(now, attemptEvent(EventUnreachable, backend.ID, 0))
	}
	avoided := 0
	for _, m := range b.members {
		if m.avoided(now) {
			avoided++
		}
	}
	require.LessOrEqual(t, avoided, 4, "less than half of the members")
}

func TestAvoidedBackendIsBetterThanNone(t *testing.T) {
	b := newTestBalancer(t, 1, 1)
	only := b.Pick(time.Second, prefixed("k"))
	b.Done(time.Second, only, decide.NotSent, Load{})
	b.Unreachable(time.Second, only)
	require.NotNil(t, b.Pick(time.Second, prefixed("k")))
}

func TestRendezvousSpreadsEvenlyAndStably(t *testing.T) {
	candidates := []string{"a", "b", "c"}
	counts := map[string]int{}
	for i := range 3000 {
		key := fmt.Sprint(i)
		owner := Rendezvous(key, candidates)
		counts[owner]++
		if owner != "c" {
			require.Equal(t, owner, Rendezvous(key, candidates[:2]))
		}
	}
	for _, owner := range candidates {
		require.InDelta(t, 1000, counts[owner], 120)
	}
	require.Empty(t, Rendezvous("k", nil))
}

func TestPausedResponseIsReported(t *testing.T) {
	b := newTestBalancer(t, 2, 1)
	request := prefixedCheaply()
	request.Long = true
	attempt := b.Pick(time.Second, request)
	b.FirstToken(time.Second, attempt)
	attempt.RecordPause()
	b.Done(2*time.Second, attempt, decide.Succeeded, Load{})
	events := b.DrainEvents()
	require.Equal(t, EventPaused, events[len(events)-1].Kind)
}

// A response that paused and then broke off must be reported to other nodes as a failure of the backend.
func TestPausedResponseThatBreaksOffIsReportedAsFailed(t *testing.T) {
	for _, result := range []Result{decide.Reset, decide.Failed, decide.TimedOut} {
		b := newTestBalancer(t, 2, 1)
		request := prefixedCheaply()
		request.Long = true
		attempt := b.Pick(time.Second, request)
		b.FirstToken(time.Second, attempt)
		attempt.RecordPause()
		b.Done(2*time.Second, attempt, result, Load{})
		events := b.DrainEvents()
		require.Equal(t, EventFailed, events[len(events)-1].Kind, "%v", result)
	}
}
