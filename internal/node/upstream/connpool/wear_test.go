package connpool

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWearHolds guards against an account of wear that gives up new connections, takes bands back before their time or never, whatever
// breaks in whatever order.
func TestWearHolds(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "8")) // the same histories each time
	rapid.Check(t, func(t *rapid.T) {
		set := Wear{Memory: 60e3, Quick: 2, Least: 4, Deviations: 3, Hold: 10e3, Usual: 0.02}
		w, now := newWear(5), 0.0
		for range rapid.IntRange(1, 400).Draw(t, "uses") {
			now += rapid.Float64Range(0, 2000).Draw(t, "pause")
			band := rapid.IntRange(0, wearBands-1).Draw(t, "band")
			limit, until := w.limit, w.until
			w.note(now, &set, band, rapid.Bool().Draw(t, "broke"))
			require.GreaterOrEqual(t, w.limit, 1, "a new connection may always be used")
			require.LessOrEqual(t, w.limit, wearBands)
			if w.limit > limit {
				require.GreaterOrEqual(t, now, until, "a band came back before its time")
			}
		}
		now += 20*set.Memory + set.Hold
		w.note(now, &set, 0, false)
		require.Equal(t, wearBands, w.limit, "what was long ago keeps no band away")
		idle := rapid.Float64Range(0, 1e6).Draw(t, "idle")
		require.LessOrEqual(t, w.band(idle), w.band(idle+rapid.Float64Range(0, 1e6).Draw(t, "more")))
	})
}
