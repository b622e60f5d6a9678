package controlplane

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

func TestAnnouncementsAreForwardedInOrder(t *testing.T) {
	f := forwarder{queues: map[string]*forwardQueue{}}
	require.True(t, f.enqueue("a", &distribution.Announcement{Session: 1}), "no sending goroutine runs yet")
	require.False(t, f.enqueue("a", &distribution.Announcement{Session: 2}), "a sending goroutine runs, and a second one could reorder announcements")
	require.True(t, f.enqueue("b", &distribution.Announcement{Session: 1}), "each process has its own queue, so an unresponsive one does not delay the others")
	drained := f.drain("a")
	require.Equal(t, []uint64{1, 2}, []uint64{drained[0].Session, drained[1].Session})
	require.False(t, f.enqueue("a", &distribution.Announcement{Session: 3}))
	require.Len(t, f.drain("a"), 1)
	require.Empty(t, f.drain("a"))
	require.True(t, f.enqueue("a", &distribution.Announcement{Session: 4}), "the queue was removed")
	for range 2 * maxForwardQueue {
		f.enqueue("a", &distribution.Announcement{})
	}
	require.Len(t, f.drain("a"), maxForwardQueue, "the queue is bounded")
}
