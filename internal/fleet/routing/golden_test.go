package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestEventsOfAnEarlierVersionAreUnpacked(t *testing.T) {
	events := []Event{
		{Kind: Sent, Rater: 1, Attempt: 2, Ago: 3 * time.Millisecond, Tokens: 4, Prefix: TagOf("a prefix"), Long: true},
		{Kind: Answered, Rater: 5, Attempt: 6, Ago: 7 * time.Millisecond, Took: 8 * time.Microsecond, Long: true},
		{Kind: Ended, Rater: 9, Attempt: 10, Ago: 11 * time.Millisecond},
		{Kind: Failed, Rater: 12, Attempt: 13, Ago: 14 * time.Millisecond},
		{Kind: Paused, Rater: 15, Attempt: 16, Ago: 17 * time.Millisecond},
		{Kind: Unreachable, Rater: TagOf("a rater"), Attempt: 18, Ago: 19 * time.Millisecond},
	}
	var fresh []byte
	for _, event := range events {
		fresh = AppendEvent(fresh, event)
	}
	golden := wiretest.Golden(t, "events", fresh)
	unpacked, err := UnpackEvents(golden)
	require.NoError(t, err)
	require.Equal(t, events, unpacked)
	require.Equal(t, golden, fresh)
}
