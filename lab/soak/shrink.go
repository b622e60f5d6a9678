package soak

import "slices"

// Shrink returns the indices of as many troubles of a plan as can be left out while broken, which plays what is left, still reports
// a broken rule. It leaves out halves first, then smaller parts.
func Shrink(troubles int, broken func(without []int) bool) []int {
	var without []int
	left := make([]int, troubles)
	for i := range left {
		left[i] = i
	}
	for size := (len(left) + 1) / 2; size > 0; size /= 2 {
		for begin := 0; begin < len(left); {
			part := left[begin:min(begin+size, len(left))]
			if !broken(slices.Concat(without, part)) {
				begin += size
				continue
			}
			without = append(without, part...)
			left = slices.Delete(slices.Clone(left), begin, begin+len(part))
		}
	}
	slices.Sort(without)
	return without
}
