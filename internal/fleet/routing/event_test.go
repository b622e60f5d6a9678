package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPackedEventsRoundTrip(t *testing.T) {
	events := []Event{
		{Kind: EventSent, Backend: 1 << 31, Attempt: 7, Age: 15 * time.Millisecond, Tokens: 54_600, Prefix: 99, Long: true},
		{Kind: EventSent, Backend: 2, Attempt: 8, Tokens: 12},
		{Kind: EventFirstToken, Backend: 2, Attempt: 8, Age: time.Second, TimeToFirstToken: 123_456 * time.Microsecond},
		{Kind: EventEnded, Backend: 3, Attempt: 1<<32 - 1},
		{Kind: EventFailed, Backend: 3, Attempt: 2},
		{Kind: EventPaused, Backend: 3, Attempt: 3},
		{Kind: EventUnreachable, Backend: 4},
	}
	var packed []byte
	for _, event := range events {
		packed = AppendEvent(packed, event)
	}
	unpacked, err := UnpackEvents(packed)
	require.NoError(t, err)
	require.Equal(t, events, unpacked)
	for cut := 1; cut < len(packed); cut++ { // truncated input is never read beyond its end
		got, err := UnpackEvents(packed[:cut])
		if err == nil {
			require.Less(t, len(got), len(events))
		}
	}
	_, err = UnpackEvents([]byte{77, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	require.ErrorIs(t, err, errPackedEvent)
}

func TestPackedAgeSaturates(t *testing.T) {
	unpacked, err := UnpackEvents(AppendEvent(nil, Event{Kind: EventEnded, Age: time.Hour}))
	require.NoError(t, err)
	require.Equal(t, maxEventAge*time.Millisecond, unpacked[0].Age)
}

func TestTagOfNoPrefixIsZero(t *testing.T) {
	require.Zero(t, TagOf(""))
	require.NotZero(t, TagOf("a"))
	require.NotEqual(t, TagOf("a"), TagOf("b"))
}
