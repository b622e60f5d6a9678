package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsAreUnpackedAsTheyWerePacked(t *testing.T) {
	events := []Event{
		{Kind: Sent, Rater: 1 << 31, Attempt: 7, Ago: 15 * time.Millisecond, Tokens: 54_600, Prefix: 99, Long: true},
		{Kind: Sent, Rater: 2, Attempt: 8, Tokens: 12},
		{Kind: Answered, Rater: 2, Attempt: 8, Ago: time.Second, Took: 123_456 * time.Microsecond},
		{Kind: Ended, Rater: 3, Attempt: 1<<32 - 1},
		{Kind: Failed, Rater: 3, Attempt: 2},
		{Kind: Paused, Rater: 3, Attempt: 3},
		{Kind: Unreachable, Rater: 4},
	}
	var packed []byte
	for _, event := range events {
		packed = AppendEvent(packed, event)
	}
	unpacked, err := UnpackEvents(packed)
	require.NoError(t, err)
	require.Equal(t, events, unpacked)
	for cut := 1; cut < len(packed); cut++ { // whatever is cut off, nothing is read beyond it
		got, err := UnpackEvents(packed[:cut])
		if err == nil {
			require.Less(t, len(got), len(events))
		}
	}
	_, err = UnpackEvents([]byte{77, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	require.ErrorIs(t, err, errPackedEvent)
}

func TestAnAgeBeyondWhatIsPackedIsTheOldest(t *testing.T) {
	unpacked, err := UnpackEvents(AppendEvent(nil, Event{Kind: Ended, Ago: time.Hour}))
	require.NoError(t, err)
	require.Equal(t, mostAgo*time.Millisecond, unpacked[0].Ago)
}

func TestNoPrefixHasNoTag(t *testing.T) {
	require.Zero(t, TagOf(""))
	require.NotZero(t, TagOf("a"))
	require.NotEqual(t, TagOf("a"), TagOf("b"))
}
