package dataplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// newTestReporter returns the reporter of a node in a fleet of the given size, on the test's clock.
func newTestReporter(nodes int64, clock *time.Duration) *loadReporter {
	return &loadReporter{now: func() time.Duration { return *clock }, nodes: func() int64 { return nodes }, wake: make(chan struct{}, 1),
		reported: map[uint32]bool{}}
}

func sent(attempt uint32, tokens float64) routing.Event {
	return routing.Event{Kind: routing.EventSent, Attempt: attempt, Tokens: tokens, Long: true}
}

func drainEvents(t *testing.T, reporter *loadReporter) []routing.Event {
	t.Helper()
	events, err := routing.UnpackEvents(reporter.drain())
	require.NoError(t, err)
	return events
}

func TestReportsOfALargeFleetAreBounded(t *testing.T) {
	const nodes, perSecond, seconds = 1700, 26, 60
	clock := time.Second
	reporter := newTestReporter(nodes, &clock)
	reported, reportedTokens, allTokens := 0, 0.0, 0.0
	for i := range perSecond * seconds {
		clock += time.Second / perSecond
		size := float64(500 + (i*7919)%50_000)
		allTokens += size
		reporter.enqueue([]routing.Event{sent(uint32(i), size)})
		for _, event := range drainEvents(t, reporter) {
			reported++
			reportedTokens += event.Tokens
		}
	}
	require.LessOrEqual(t, float64(reported), fleetReportsPerSecond/nodes*seconds+2)
	require.Greater(t, reported, 20)
	require.Greater(t, reportedTokens/float64(reported), 1.4*allTokens/(perSecond*seconds), "the longest prompts are reported")
}

func TestAttemptIsReportedCompletelyOrNotAtAll(t *testing.T) {
	clock := time.Minute
	reporter := newTestReporter(10_000, &clock)
	reporter.enqueue([]routing.Event{sent(1, 1000)})
	require.Len(t, drainEvents(t, reporter), 1)
	reporter.enqueue([]routing.Event{sent(2, 1000)}) // there is no credit for it
	require.Empty(t, drainEvents(t, reporter))
	firstToken := func(attempt uint32) routing.Event {
		return routing.Event{Kind: routing.EventFirstToken, Attempt: attempt, Long: true}
	}
	reporter.enqueue([]routing.Event{firstToken(1), firstToken(2), {Kind: routing.EventEnded, Attempt: 1}, {Kind: routing.EventFailed, Attempt: 2}})
	require.Len(t, drainEvents(t, reporter), 2, "only the events of the first attempt are reported")
	require.Empty(t, reporter.reported)
	reporter.enqueue([]routing.Event{{Kind: routing.EventUnreachable, Backend: 1}})
	require.Len(t, drainEvents(t, reporter), 1, "an unreachable backend is always reported")
}

func TestReportedEventsHaveTheirAge(t *testing.T) {
	clock := time.Second
	reporter := newTestReporter(1, &clock)
	reporter.enqueue([]routing.Event{sent(1, 1000)})
	clock += 40 * time.Millisecond
	require.Equal(t, 40*time.Millisecond, drainEvents(t, reporter)[0].Age)
}
