package soak

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestShrinkKeepsOnlyWhatIsNeeded(t *testing.T) {
	for _, needed := range [][]int{{}, {0}, {6}, {2, 5}, {0, 3, 6}} {
		plays := 0
		without := Shrink(7, func(without []int) bool {
			plays++
			return !slices.ContainsFunc(needed, func(i int) bool { return slices.Contains(without, i) })
		})
		var left []int
		for i := range 7 {
			if !slices.Contains(without, i) {
				left = append(left, i)
			}
		}
		require.ElementsMatch(t, needed, left)
		require.Less(t, plays, 30)
	}
}
