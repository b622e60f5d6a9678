package connpool

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWearLimitInvariants guards against a wear limit that rejects new connections, or that accepts a rejected band
// again too early or never, for any order of uses and breaks.
func TestWearLimitInvariants(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "8")) // the same histories in each run
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
				require.GreaterOrEqual(t, now, until, "a rejected band was accepted again before the hold time had passed")
			}
		}
		now += 20*set.Memory + set.Hold
		w.note(now, &set, 0, false)
		require.Equal(t, wearBands, w.limit, "old breaks must not keep a band rejected")
		idle := rapid.Float64Range(0, 1e6).Draw(t, "idle")
		require.LessOrEqual(t, w.band(idle), w.band(idle+rapid.Float64Range(0, 1e6).Draw(t, "more")))
	})
}
