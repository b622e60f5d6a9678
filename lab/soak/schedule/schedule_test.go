package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/soak/behaviour"
)

const length = 12 * time.Second

func TestSameSeedGivesTheSamePlan(t *testing.T) {
	require.Equal(t, Draw(7, length), Draw(7, length))
	require.NotEqual(t, Draw(7, length).Troubles, Draw(8, length).Troubles)
}

// Guards against kinds that no plan meets, and against plans beyond what the pages promise to bear.
func TestFiftySeedsMeetEveryKindWithinTheBounds(t *testing.T) {
	kinds, orders := map[Kind]int{}, map[behaviour.Name]int{}
	large, single, planned := 0, 0, 0
	for seed := range uint64(50) {
		p := Draw(seed, length)
		require.LessOrEqual(t, p.wipes(), (p.Control-1)/2, "seed %d", seed)
		require.GreaterOrEqual(t, p.Zones, 2)
		require.LessOrEqual(t, p.Zones, 5)
		if p.Data == largeData {
			large++
		}
		if p.Tenants == 1 {
			single++
		}
		if !slices.ContainsFunc(p.Troubles, unplanned) {
			planned++
		}
		for _, trouble := range p.Troubles {
			kinds[trouble.Kind]++
			require.Less(t, trouble.At, length)
		}
		for _, order := range p.Orders {
			orders[order.Behaviour]++
		}
	}
	for _, kind := range Kinds() {
		require.Positive(t, kinds[kind], kind)
	}
	for _, row := range behaviour.Table {
		if row.Actor == behaviour.Operator {
			require.Positive(t, orders[row.Name], row.Name)
		}
	}
	require.Positive(t, large)
	require.Positive(t, single)
	require.Greater(t, planned, 4)
}

// unplanned reports whether a trouble is no planned work.
func unplanned(t Trouble) bool {
	return !slices.ContainsFunc(plannedWork, func(one weightedKind) bool { return one.kind == t.Kind })
}

func TestWithoutLeavesTheRestAsItIs(t *testing.T) {
	p := Draw(3, length)
	less := p.Without([]int{0, 2})
	require.Len(t, less.Troubles, len(p.Troubles)-2)
	require.Equal(t, p.Troubles[1], less.Troubles[0])
	require.Equal(t, p.Orders, less.Orders)
}
