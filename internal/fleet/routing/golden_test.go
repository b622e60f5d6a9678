package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestEventsOfAnEarlierVersionAreUnpacked(t *testing.T) {
	events := []Event{
		{Kind: EventSent, Backend: 1, Attempt: 2, Age: 3 * time.Millisecond, Tokens: 4, Prefix: TagOf("a prefix"), Long: true},
		{Kind: EventFirstToken, Backend: 5, Attempt: 6, Age: 7 * time.Millisecond, TimeToFirstToken: 8 * time.Microsecond, Long: true},
		{Kind: EventEnded, Backend: 9, Attempt: 10, Age: 11 * time.Millisecond},
		{Kind: EventFailed, Backend: 12, Attempt: 13, Age: 14 * time.Millisecond},
		{Kind: EventPaused, Backend: 15, Attempt: 16, Age: 17 * time.Millisecond},
		{Kind: EventUnreachable, Backend: TagOf("a rater"), Attempt: 18, Age: 19 * time.Millisecond},
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
