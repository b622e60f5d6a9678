package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Guards against capacity being granted to another member while a member still uses its previous lease, because
// the reply that reduced the lease was lost.
func TestLostReplyKeepsThePreviousLeaseReserved(t *testing.T) {
	m, tr := New(), tree(0, 1, quota.Node{Name: "a", Share: .5}, quota.Node{Name: "b", Share: .5})
	require.NoError(t, m.SetTree(1e6, tr))
	report := func(now float64, node string, held uint64, want float64) (Grant, float64) {
		g, err := m.Report(now, Report{Node: node, Life: 1, Tree: m.hash, Length: 2000, HeldLease: held, Demand: []NodeDemand{{1, want, want}}})
		require.NoError(t, err)
		sum := 0.0
		for _, p := range g.Parts {
			sum += p.Load.Fraction()
		}
		return g, sum
	}
	first, firstLoad := report(1e6, "n", 0, 2)
	require.Greater(t, firstLoad, 0.8*tr.Leased)
	_, reduced := report(1e6+500, "n", first.Number, 0.01) // this reply is lost
	require.Less(t, reduced, 0.5*tr.Leased)
	_, _ = report(1e6+1000, "n", first.Number, 0.01)
	_, otherLoad := report(1e6+1100, "o", 0, 2)
	assert.LessOrEqual(t, firstLoad+otherLoad, tr.Leased, "n may use its first lease until 2,000 ms")
	_, otherLoad = report(1e6+3600, "o", 0, 2)
	assert.Greater(t, otherLoad, 0.5*tr.Leased, "the first lease has expired")
}
