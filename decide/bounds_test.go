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

// Guards against memory that grows with the ids of requests and backends ever seen, or with versions of the list: whatever comes
// and goes, what is held is what is listed, what still has an attempt out, and what is open.
func TestMemoryHoldsWhatIsThere(t *testing.T) {
	all := variants()
	rapid.Check(t, func(r *rapid.T) {
		set := all[rapid.SampledFrom(slices.Sorted(maps.Keys(all))).Draw(r, "settings")]
		w := newWorld(t, set, rapid.Uint64().Draw(r, "seed"), 0.2)
		fresh, listed, open, most := BackendID(1), map[BackendID]Backend{}, 0, 0
		replace := func(n int) { // a list of backends that nobody has seen
			clear(listed)
			for range n {
				e := mixed(1)[0]
				e.ID, e.Started = fresh, w.now
				fresh++
				listed[e.ID] = e
			}
		}
		tell := func() { w.list(ListFull, slices.Collect(maps.Values(listed))...) }
		holds := func() {
			out := map[BackendID]bool{}
			open = 0
			for id, q := range w.requests {
				busy := false
				for _, a := range q.attempts {
					if !a.done {
						out[a.to.ID], busy = true, true
					}
				}
				if busy || q.finals == 0 && !q.over {
					open++
				} else {
					delete(w.requests, id)
				}
			}
			for id := range listed {
				out[id] = true
			}
			require.LessOrEqual(r, len(w.b.byID), len(out))
			require.Len(r, w.b.backends, len(w.b.byID))
			require.LessOrEqual(r, len(w.b.requests), open)
			require.LessOrEqual(r, len(w.b.freeRequests)+len(w.b.requests), most)
			require.LessOrEqual(r, len(w.b.trialQueue), len(w.b.backends))
		}
		replace(rapid.IntRange(1, 8).Draw(r, "first"))
		tell()
		for range rapid.IntRange(20, 60).Draw(r, "versions") {
			switch rapid.IntRange(0, 2).Draw(r, "how") {
			case 0:
				replace(rapid.IntRange(0, 8).Draw(r, "backends"))
				tell()
			case 1: // one goes, by itself
				for id, e := range listed {
					e.State = Deleted
					delete(listed, id)
					w.list(ListChanges, e)
					break
				}
			}
			come := rapid.IntRange(0, 30).Draw(r, "requests")
			most = max(most, open+come) // the most that can have been open at once
			for range come {
				w.knock()
			}
			w.step(rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, second}).Draw(r, "for"))
			holds()
		}
		for range 800 { // what is out comes to its end
			w.step(5 * time.Millisecond)
		}
		tell()
		for range 400 {
			w.step(20 * time.Millisecond)
		}
		holds()
		require.Empty(r, w.b.requests)
		require.Len(r, w.b.byID, len(listed))
		text, err := json.Marshal(w.b.Snapshot(w.now))
		require.NoError(r, err)
		require.Less(r, len(text), 4096+2048*len(listed), "what it hands on")
	})
}
