package virtual

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Many plays histories side by side, each with a seed of its own from set.Seed on, and gives the sum of all. first ends it with
// the first history that the judge finds fault with.
func Many(set Settings, histories int, first bool) (sum Result) {
	sum.Counts = map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(histories); i = next.Add(1) {
				one := set
				one.Seed += uint64(i - 1)
				r := Play(one)
				mu.Lock()
				for kind, n := range r.Counts {
					sum.Counts[kind] += n
				}
				sum.Faults = append(sum.Faults, r.Faults...)
				sum.Agreed, sum.Refused, sum.Windows = sum.Agreed+r.Agreed, sum.Refused+r.Refused, sum.Windows+r.Windows
				sum.Changes, sum.Held = append(sum.Changes, r.Changes...), append(sum.Held, r.Held...)
				stop := first && len(sum.Faults) > 0
				mu.Unlock()
				if stop {
					return
				}
			}
		})
	}
	wait.Wait()
	slices.Sort(sum.Changes)
	slices.Sort(sum.Held)
	return sum
}
