package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

func TestEventsReachAllNodesButTheirSender(t *testing.T) {
	var l eventLog
	oneEvent := routing.AppendEvent(nil, routing.Event{Kind: routing.EventEnded, Backend: 1})
	twoEvents := routing.AppendEvent(oneEvent, routing.Event{Kind: routing.EventFailed, Backend: 2})
	require.NoError(t, l.append(time.Second, &distribution.Announcement{Session: 1, Events: twoEvents}))
	require.NoError(t, l.append(2*time.Second, &distribution.Announcement{Session: 2, Events: oneEvent}))
	require.True(t, l.hasNewFor(0, 1))
	require.Len(t, unpackEvents(t, l.packNewFor(2*time.Second, 0, 1)), 1)
	require.Len(t, unpackEvents(t, l.packNewFor(2*time.Second, 0, 2)), 2)
	require.Equal(t, time.Second, unpackEvents(t, l.packNewFor(2*time.Second, 0, 2))[0].Age)
	require.False(t, l.hasNewFor(3, 9))
	require.False(t, l.hasNewFor(3, 1))
	require.NoError(t, l.append(time.Minute, &distribution.Announcement{Session: 1}))
	require.Empty(t, l.events, "expired events are dropped")
	require.False(t, l.hasNewFor(0, 9), "a node that polls after events expired receives only the remaining ones")
	require.Error(t, l.append(time.Minute, &distribution.Announcement{Session: 1, Events: []byte{99}}))
}

func unpackEvents(t *testing.T, packed []byte) []routing.Event {
	t.Helper()
	events, err := routing.UnpackEvents(packed)
	require.NoError(t, err)
	return events
}
