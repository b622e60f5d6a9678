package dataplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// testAnnouncer is an announcer of one of so many nodes, on a clock of the test.
func testAnnouncer(nodes int64, clock *time.Duration) *loadReporter {
	return &loadReporter{now: func() time.Duration { return *clock }, nodes: func() int64 { return nodes }, wake: make(chan struct{}, 1),
		told: map[uint32]bool{}}
}

func sent(attempt uint32, tokens float64) routing.Event {
	return routing.Event{Kind: routing.EventSent, Attempt: attempt, Tokens: tokens, Long: true}
}

func eventsOf(t *testing.T, a *loadReporter) []routing.Event {
	t.Helper()
	events, err := routing.UnpackEvents(a.take())
	require.NoError(t, err)
	return events
}

func TestWhatALargeFleetAnnouncesIsBounded(t *testing.T) {
	const nodes, perSecond, seconds = 1700, 26, 60
	clock := time.Second
	a := testAnnouncer(nodes, &clock)
	told, tokens, all := 0, 0.0, 0.0
	for i := range perSecond * seconds {
		clock += time.Second / perSecond
		size := float64(500 + (i*7919)%50_000)
		all += size
		a.add([]routing.Event{sent(uint32(i), size)})
		for _, event := range eventsOf(t, a) {
			told++
			tokens += event.Tokens
		}
	}
	require.LessOrEqual(t, float64(told), fleetAttempts/nodes*seconds+2)
	require.Greater(t, told, 20)
	require.Greater(t, tokens/float64(told), 1.4*all/(perSecond*seconds), "the longest prompts are told of")
}

func TestAnAttemptIsToldOfWholeOrNotAtAll(t *testing.T) {
	clock := time.Minute
	a := testAnnouncer(10_000, &clock)
	a.add([]routing.Event{sent(1, 1000)})
	require.Len(t, eventsOf(t, a), 1)
	a.add([]routing.Event{sent(2, 1000)}) // there is no room for it
	require.Empty(t, eventsOf(t, a))
	answered := func(attempt uint32) routing.Event {
		return routing.Event{Kind: routing.EventFirstToken, Attempt: attempt, Long: true}
	}
	a.add([]routing.Event{answered(1), answered(2), {Kind: routing.EventEnded, Attempt: 1}, {Kind: routing.EventFailed, Attempt: 2}})
	require.Len(t, eventsOf(t, a), 2, "those of the first one")
	require.Empty(t, a.told)
	a.add([]routing.Event{{Kind: routing.EventUnreachable, Backend: 1}})
	require.Len(t, eventsOf(t, a), 1, "that a rater cannot be reached is always told")
}

func TestEventsTellHowOldTheyAre(t *testing.T) {
	clock := time.Second
	a := testAnnouncer(1, &clock)
	a.add([]routing.Event{sent(1, 1000)})
	clock += 40 * time.Millisecond
	require.Equal(t, 40*time.Millisecond, eventsOf(t, a)[0].Age)
}
