package decide

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against state that grows with the number of request or backend ids ever seen, or of list updates: the
// Balancer holds only listed backends, backends with an attempt in flight, and open requests.
func TestStateIsBoundedByListedBackendsAndOpenRequests(t *testing.T) {
	all := variants()
	rapid.Check(t, func(r *rapid.T) {
		set := all[rapid.SampledFrom(slices.Sorted(maps.Keys(all))).Draw(r, "settings")]
		w := newHarness(t, set, rapid.Uint64().Draw(r, "seed"), 0.2)
		nextBackendID, listed, open, maxOpen := BackendID(1), map[BackendID]Backend{}, 0, 0
		replace := func(n int) { // replaces all backends by new ones
			clear(listed)
			for range n {
				e := mixedBackends(1)[0]
				e.ID, e.Started = nextBackendID, w.now
				nextBackendID++
				listed[e.ID] = e
			}
		}
		update := func() { w.list(EndpointsFull, slices.Collect(maps.Values(listed))...) }
		check := func() {
			permitted := map[BackendID]bool{}
			open = 0
			for id, q := range w.requests {
				busy := false
				for _, a := range q.attempts {
					if !a.done {
						permitted[a.to.ID], busy = true, true
					}
				}
				if busy || q.finalResponses == 0 && !q.over {
					open++
				} else {
					delete(w.requests, id)
				}
			}
			for id := range listed {
				permitted[id] = true
			}
			require.LessOrEqual(r, len(w.b.byID), len(permitted))
			require.Len(r, w.b.backends, len(w.b.byID))
			require.LessOrEqual(r, len(w.b.requests), open)
			require.LessOrEqual(r, len(w.b.freeRequests)+len(w.b.requests), maxOpen)
			require.LessOrEqual(r, len(w.b.trialQueue), len(w.b.backends))
		}
		replace(rapid.IntRange(1, 8).Draw(r, "first"))
		update()
		for range rapid.IntRange(20, 60).Draw(r, "versions") {
			switch rapid.IntRange(0, 2).Draw(r, "update") {
			case 0:
				replace(rapid.IntRange(0, 8).Draw(r, "backends"))
				update()
			case 1: // a single backend is removed
				for id, e := range listed {
					e.State = Deleted
					delete(listed, id)
					w.list(EndpointsDelta, e)
					break
				}
			}
			arriving := rapid.IntRange(0, 30).Draw(r, "requests")
			maxOpen = max(maxOpen, open+arriving) // upper bound of requests open at once
			for range arriving {
				w.arrive()
			}
			w.step(rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, second}).Draw(r, "for"))
			check()
		}
		for range 800 { // let every attempt end
			w.step(5 * time.Millisecond)
		}
		update()
		for range 400 {
			w.step(20 * time.Millisecond)
		}
		check()
		require.Empty(r, w.b.requests)
		require.Len(r, w.b.byID, len(listed))
		text, err := json.Marshal(w.b.Snapshot(w.now))
		require.NoError(r, err)
		require.Less(r, len(text), 4096+2048*len(listed), "size of the snapshot")
	})
}
