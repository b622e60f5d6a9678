package sim

import (
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// Guards the order of the simulation: whatever is put in, far ahead or for this very moment, comes out by time, and of one
// time in the order in which it was put in.
func TestQueueKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(rapid.SampledFrom([]float64{1.0 / 64, 1, 7}).Draw(t, "width"))
		var open []event
		now, n := 0.0, int32(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "pop") {
				sort.SliceStable(open, func(i, j int) bool { return open[i].at < open[j].at })
				at, ok := q.peek()
				e := q.pop()
				if !ok || at != e.at || e.id != open[0].id {
					t.Fatalf("got %d of %g, want %d of %g", e.id, e.at, open[0].id, open[0].at)
				}
				now, open = e.at, open[1:]
				continue
			}
			n++
			e := event{id: n, at: now + rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 3),
				rapid.Float64Range(0, 1e6)).Draw(t, "wait")}
			q.push(e)
			open = append(open, e)
		}
		for range open {
			q.pop()
		}
		_, left := q.peek()
		require.False(t, left)
	})
}
