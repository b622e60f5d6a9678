package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Guards against capacity that is granted to another member while one still uses its previous lease, because the reply that reduced it
// was lost.
func TestLostReplyKeepsThePreviousLeaseReserved(t *testing.T) {
	m, tr := New(), tree(0, 1, quota.Node{Name: "a", Share: .5}, quota.Node{Name: "b", Share: .5})
	require.NoError(t, m.SetTree(1e6, tr))
	say := func(now float64, node string, holds uint64, want float64) (Grant, float64) {
		g, err := m.Report(now, Report{Node: node, Life: 1, Tree: m.hash, Length: 2000, HeldLease: holds, Demand: []NodeDemand{{1, want, want}}})
		require.NoError(t, err)
		sum := 0.0
		for _, p := range g.Parts {
			sum += p.Load.Fraction()
		}
		return g, sum
	}
	first, most := say(1e6, "n", 0, 2)
	require.Greater(t, most, 0.8*tr.Leased)
	_, less := say(1e6+500, "n", first.Number, 0.01) // its reply is lost
	require.Less(t, less, 0.5*tr.Leased)
	_, _ = say(1e6+1000, "n", first.Number, 0.01)
	_, other := say(1e6+1100, "o", 0, 2)
	assert.LessOrEqual(t, most+other, tr.Leased, "n may use its first lease until 2,000 ms")
	_, other = say(1e6+3600, "o", 0, 2)
	assert.Greater(t, other, 0.5*tr.Leased, "it has expired")
}
