package lease

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/node/quota"
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of random histories
)

func tree(number uint64, burst float64, nodes ...quota.Node) Tree {
	return Tree{Number: number, Leased: 0.9, Settings: quota.Settings{Root: quota.Amount{100}, Floor: 0.05, Nodes: nodes, Priorities: 1, Burst: burst,
		LongWindow: 60, DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2}}
}

var partners = []quota.Node{{Name: "a", Share: .5}, {Name: "b", Share: .3, RateLimit: quota.Amount{40}}, {Name: "c", Share: .2, NoBorrowing: true},
	{Name: "a1", Parent: "a", Share: .6}, {Name: "a2", Parent: "a", Share: .4, LongLimit: quota.Amount{30}}}

// leaseHolder is a member according to the specification: it uses a lease until the lease expires or it receives
// another.
type leaseHolder struct {
	report Report
	parts  []NodeLoad
	until  float64
	tree   string // hash of the tree of its lease
}

// checkRandomHistory simulates members that report, lose replies, stall, leave and return, on a tree that changes.
// It returns the first violation: leases in force that exceed a limit, or accounts out of bounds. spoil may change
// a reply before the member receives it.
func checkRandomHistory(rt *rapid.T, spoil func(h *leaseHolder, g *Grant)) (violation string) {
	m, now, t := New(), 1e6, tree(0, 1, partners...)
	require.NoError(rt, m.SetTree(now, t))
	holders := map[int]*leaseHolder{}
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		now += rapid.SampledFrom([]float64{0, 1, 60, 400, 2500}).Draw(rt, "ms")
		i := rapid.IntRange(0, 4).Draw(rt, "member")
		h := holders[i]
		if h == nil {
			h = &leaseHolder{report: Report{Node: fmt.Sprint("n", i), Life: uint64(now), Length: rapid.SampledFrom([]float64{200, 2000}).Draw(rt, "length")}}
			holders[i] = h
		}
		switch rapid.IntRange(0, 9).Draw(rt, "what") {
		case 0: // the process is lost; its lease is in force until it expires
			holders[len(holders)+100] = &leaseHolder{parts: h.parts, until: h.until, tree: h.tree}
			delete(holders, i)
			continue
		case 1:
			r := h.report
			r.Leaving, h.parts, h.until = true, nil, 0
			_, err := m.Report(now, r)
			require.NoError(rt, err)
			continue
		case 2:
			t = tree(t.Number+1, rapid.SampledFrom([]float64{1, 2}).Draw(rt, "burst"), partners[:rapid.IntRange(1, 3).Draw(rt, "nodes")]...)
			require.NoError(rt, m.SetTree(now, t))
			continue
		case 3: // a replica that starts from an image must have the same state
			text, err := m.Freeze()()
			require.NoError(rt, err)
			other := New()
			require.NoError(rt, other.Load(text))
			again, err := other.Freeze()()
			require.NoError(rt, err)
			require.JSONEq(rt, string(text), string(again))
			m = other
		}
		h.report.Tree, h.report.Demand = m.hash, nil
		for at := range m.shape.memberNodes() {
			if rapid.Bool().Draw(rt, "asks") {
				h.report.Demand = append(h.report.Demand, NodeDemand{at, rapid.Float64Range(0, 3).Draw(rt, "want"), rapid.Float64Range(0, 1).Draw(rt, "used")})
			}
		}
		g, err := m.Report(now, h.report)
		require.NoError(rt, err)
		if rapid.IntRange(0, 3).Draw(rt, "lost") > 0 {
			spoil(h, &g)
			h.parts, h.until, h.report.HeldLease, h.tree = g.Parts, now+g.Length, g.Number, m.hash
		}
		if violation = checkInvariants(m, holders, now, t); violation != "" {
			return violation
		}
	}
	return ""
}

func checkInvariants(m *Machine, holders map[int]*leaseHolder, now float64, t Tree) string {
	leased, expiry := m.leased, m.nextExpiry
	if m.recount(); !assert.ObjectsAreEqual(leased, m.leased) || expiry > m.nextExpiry {
		return fmt.Sprintf("the machine counts %v as leased until %v, its members hold %v until %v", leased, expiry, m.leased, m.nextExpiry)
	}
	sums := make([]Load, len(m.shape.names))
	for _, h := range holders {
		if h.until <= now {
			continue
		}
		for _, p := range h.parts {
			at := 0 // a lease of another tree counts at the root
			if h.tree == m.hash {
				at = p.Node
			}
			for i := at; i >= 0; i = m.shape.parent[i] {
				sums[i] += p.Load
			}
		}
	}
	for i, name := range m.shape.names[:m.shape.memberNodes()] {
		if limit := t.Leased * m.shape.limit[i]; i == 0 && sums[i].Fraction() > t.Leased || sums[i].Fraction() > limit && !math.IsInf(limit, 1) {
			return fmt.Sprintf("%q: %g leased", name, sums[i].Fraction())
		}
		a := m.accounts[i]
		if !(a.Debt >= 0 && a.Debt <= m.maxDebt(i)+1e-9 && a.Credit >= 0) {
			return fmt.Sprintf("%q: credit %g, debt %g", name, a.Credit, a.Debt)
		}
	}
	return ""
}

// Guards against leases that add up to more than the leased fraction of the capacity or of a rate limit, whatever
// is lost, late, restored or changed; against debts beyond their bounds; and against an image that restores
// another state.
func TestLeasesNeverExceedTheLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		require.Empty(rt, checkRandomHistory(rt, func(*leaseHolder, *Grant) {}))
	})
}

// Guards against a checker that finds nothing: it must notice members that use a lease after it has expired, use
// the larger of two leases, or use a lease of another member.
func TestInvariantCheckerFindsPlantedFaults(t *testing.T) {
	for name, spoil := range map[string]func(*leaseHolder, *Grant){
		"a lease longer than agreed": func(_ *leaseHolder, g *Grant) { g.Length *= 5 },
		"the larger of two leases":   func(h *leaseHolder, g *Grant) { g.Parts = maxLease(h.parts, g.Parts) },
		"a lease that others have":   func(_ *leaseHolder, g *Grant) { g.Parts = []NodeLoad{{0, 5e8}} },
	} {
		found := false
		rapid.Check(t, func(rt *rapid.T) { found = found || checkRandomHistory(rt, spoil) != "" })
		assert.True(t, found, name)
	}
}

// Guards against debts that are lost with the process that made them, a lender that is not repaid when its demand
// returns, and a debt that is lost in a change of the tree.
func TestDebtsOutliveMembers(t *testing.T) {
	m, now, tr := New(), 1e6, tree(0, 1, quota.Node{Name: "a", Share: .5}, quota.Node{Name: "b", Share: .5})
	require.NoError(t, m.SetTree(now, tr))
	report := func(life uint64, a, b, usedB float64) (got map[string]float64) {
		g, err := m.Report(now, Report{Node: "n", Life: life, Tree: m.hash, Length: 1000, Demand: []NodeDemand{{1, a, 0}, {2, b, usedB}}})
		require.NoError(t, err)
		got = map[string]float64{}
		for _, p := range g.Parts {
			got[m.shape.names[p.Node]] = p.Load.Fraction()
		}
		return got
	}
	for range 40 {
		report(1, 0, 1, 0.9)
		now += 500
	}
	of := func(name string) (h NodeState) {
		for _, h = range m.View().Nodes {
			if h.Name == name {
				return h
			}
		}
		return h
	}
	assert.Positive(t, of("a").Credit)
	assert.Positive(t, of("b").Debt)
	now += 1500 // the process is lost and its lease expires
	before := of("a").Credit
	report(2, 1, 1, 0.45)
	assert.InDelta(t, before, of("a").Credit, 0.2*before)
	now += 1000
	got := report(2, 1, 1, 0.45)
	assert.Greater(t, got["a"], got["b"], "the lender is repaid")
	tr.Number = 1
	require.NoError(t, m.SetTree(now, tr))
	assert.NotEmpty(t, report(2, 1, 1, 0.45), "the same tree with a higher number must not end a lease")
	tr.Number, tr.Settings.Burst = 2, 2
	debt := of("b").Debt
	require.NoError(t, m.SetTree(now, tr))
	assert.Equal(t, debt, of("b").Debt)
	assert.ErrorIs(t, m.SetTree(now, tree(1, 1)), ErrOtherTree)
}

// Guards against a report that visits every other member: the work of the replicas would grow with the square of
// the number of members.
func TestReportDoesNotCostALookAtEveryMember(t *testing.T) {
	allocations := func(members int) float64 {
		m, now := New(), 1e6
		tr := tree(0, 1, partners...)
		require.NoError(t, m.SetTree(now, tr))
		r := Report{Life: 1, Tree: tr.Hash(), Length: MaxLength}
		for i := range partners {
			r.Demand = append(r.Demand, NodeDemand{1 + i, 0.01 / float64(members), 0.01 / float64(members)})
		}
		for i := range members {
			now += 2 * divideInterval
			r.Node = fmt.Sprint("n", i)
			g, err := m.Report(now, r)
			require.NoError(t, err)
			require.NotEmpty(t, g.Parts)
		}
		return testing.AllocsPerRun(100, func() {
			_, err := m.Report(now, r) // at the same time, so that nothing is divided again
			require.NoError(t, err)
		})
	}
	assert.LessOrEqual(t, allocations(200), allocations(10))
}
