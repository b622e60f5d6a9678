package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of random histories
)

// settings returns the settings of nodes that can do 100 requests per second together; the second priority is that
// of spending-cap blocks.
func settings(nodes ...Node) Settings {
	return Settings{Root: Amount{100, 0}, Floor: 0.05, Nodes: nodes, Priorities: 2, Burst: 1, LongWindow: 600, Reserved: 0.2,
		DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2}
}

// partners are three tenants at the top level, the first with two gateways.
var partners = []Node{{Name: "a", Share: .5}, {Name: "b", Share: .3}, {Name: "c", Share: .2}, {Name: "a1", Parent: "a", Share: .6},
	{Name: "a2", Parent: "a", Share: .4}}

func newTree(t testing.TB, set Settings) *Tree {
	tree, err := New(set, 1)
	require.NoError(t, err)
	return tree
}

// load describes the calls of one leaf.
type load struct {
	leaf     string
	rate     float64 // calls per second
	priority int
	from, to float64 // seconds; to 0 = the end
}

// playLoads simulates the calls of several loads in order of time, each a Poisson process.
func playLoads(tree *Tree, seed uint64, seconds float64, flows []load, each func(at float64, c Call, d Decision)) {
	type arrival struct {
		at   float64
		call Call
	}
	var all []arrival
	for i, f := range flows {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		leaf, ok := tree.Find(f.leaf)
		if !ok {
			panic("no leaf " + f.leaf)
		}
		end := seconds
		if f.to > 0 {
			end = min(end, f.to)
		}
		for at := f.from + rng.ExpFloat64()/f.rate; at < end; at += rng.ExpFloat64() / f.rate {
			all = append(all, arrival{at, Call{Leaf: leaf, Priority: f.priority}})
		}
	}
	slices.SortStableFunc(all, func(x, y arrival) int {
		if x.at < y.at {
			return -1
		}
		return 1
	})
	for _, a := range all {
		each(a.at, a.call, tree.Admit(a.at*1000, a.call))
	}
}

// ratesByLeaf simulates loads and returns the admitted calls per second of each leaf after a time.
func ratesByLeaf(tree *Tree, seed uint64, from, seconds float64, flows []load) map[string]float64 {
	got := map[string]float64{}
	playLoads(tree, seed, seconds, flows, func(at float64, c Call, d Decision) {
		if at >= from && d.Verdict != Rejected {
			got[tree.Name(c.Leaf)] += 1 / (seconds - from)
		}
	})
	return got
}

// Guards against a tenant that does not get its fair share over a minute: whichever tenants send too much, nothing
// or half of their guarantee, at any depth of the tree, and also when the capacity is halved.
func TestTenantsGetTheirSharesOverAMinute(t *testing.T) {
	const from, to = 5, 65
	for _, flows := range [][]load{
		{{leaf: "a1", rate: 300}, {leaf: "a2", rate: 300}, {leaf: "b", rate: 300}, {leaf: "c", rate: 200}},
		{{leaf: "a1", rate: 30}, {leaf: "a2", rate: 20}, {leaf: "b", rate: 30}, {leaf: "c", rate: 1000}},
		{{leaf: "b", rate: 150}, {leaf: "c", rate: 1000}},
		{{leaf: "a1", rate: 15}, {leaf: "a2", rate: 400}, {leaf: "b", rate: 300}, {leaf: "c", rate: 1000}},
		{{leaf: "a2", rate: 100}, {leaf: "c", rate: 100}},
		{{leaf: "a1", rate: 25}, {leaf: "b", rate: 20}, {leaf: "c", rate: 90}},
	} {
		for _, capacity := range []float64{1, 0.5} {
			for seed := range uint64(2) {
				tree := newTree(t, settings(partners...))
				tree.SetCapacity(0, capacity)
				requested, got := map[int]float64{}, map[int]float64{}
				playLoads(tree, seed, to, flows, func(at float64, c Call, d Decision) {
					if at >= from {
						requested[c.Leaf] += 1.0 / (to - from)
						got[c.Leaf] += boolToFloat(d.Verdict != Rejected) / (to - from)
					}
				})
				for leaf, want := range tree.FairRates(100*capacity, requested) {
					assert.InDelta(t, want, got[leaf], 0.05*want, "%s of %v at %g, seed %d", tree.Name(leaf), flows, capacity, seed)
				}
			}
		}
	}
}

func boolToFloat(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// Guards against a lender that has to wait for its own guarantee when its demand returns, that is not repaid in
// time or is repaid more than it is owed, and against debts that are collected while no lender needs them.
func TestWakingLenderIsRepaid(t *testing.T) {
	tree := newTree(t, settings(partners...))
	const woke, paid, end = 30.0, 41.0, 60.0
	var before, within, after [3]float64 // calls per second of a, b and c
	burst, refused := 0, false
	playLoads(tree, 3, end, []load{{leaf: "b", rate: 300}, {leaf: "c", rate: 200}, {leaf: "a1", rate: 300, from: woke},
		{leaf: "a2", rate: 300, from: woke}}, func(at float64, c Call, d Decision) {
		tenant := int(tree.Name(c.Leaf)[0] - 'a')
		refused = refused || tenant == 0 && d.Verdict == Rejected
		if d.Verdict == Rejected {
			return
		}
		if tenant == 0 && !refused {
			burst++
		}
		switch {
		case at >= 10 && at < woke:
			before[tenant] += 1 / (woke - 10)
		case at >= woke && at < paid:
			within[tenant] += 1 / (paid - woke)
		case at >= paid+4:
			after[tenant] += 1 / (end - paid - 4)
		}
	})
	assert.InDelta(t, 60, before[1], 3, "its guarantee and what a leaves unused")
	assert.InDelta(t, 40, before[2], 2)
	assert.GreaterOrEqual(t, burst, 50, "the burst of a is served at once")
	debt := func(guarantee float64) float64 { return 10 * 0.25 * guarantee / (paid - woke) }
	assert.InDelta(t, 50+debt(30)+debt(20), within[0], 0.05*62, "the debts are repaid in 10 s")
	assert.InDelta(t, 30-debt(30), within[1], 0.05*23)
	assert.InDelta(t, 20-debt(20), within[2], 0.05*15)
	for i, guarantee := range []float64{50, 30, 20} {
		assert.InDelta(t, guarantee, after[i], 0.05*guarantee, "all debts are repaid")
	}
}

// Guards against a spending-cap block that is rejected while there is any capacity, and against blocks that use up
// the guarantees of other tenants.
func TestHighPriorityCallsAreRejectedLast(t *testing.T) {
	unassigned := slices.Clone(partners) // 5% are not guaranteed to any tenant
	unassigned[0].Share = .45
	for _, nodes := range [][]Node{partners, unassigned} {
		for _, charges := range []float64{100, 1000} {
			tree := newTree(t, settings(nodes...))
			refused, blocks := 0, 0
			playLoads(tree, 4, 60, []load{{leaf: "a1", rate: charges}, {leaf: "a2", rate: charges}, {leaf: "b", rate: charges},
				{leaf: "c", rate: charges}, {leaf: "c", rate: 18, priority: 1}, {leaf: "a2", rate: 10, priority: 1}},
				func(at float64, c Call, d Decision) {
					if c.Priority == 1 {
						blocks++
						if d.Verdict == Rejected {
							refused++
							assert.Less(t, tree.Status(at*1000, Root).Tokens[Requests], 1.0, "there was capacity")
						}
					}
				})
			assert.Greater(t, blocks, 1500)
			if nodes[0].Share < .5 {
				assert.Zero(t, refused, "charges at %g a second", charges)
			}
		}
	}
	tree := newTree(t, settings(partners...))
	got := ratesByLeaf(tree, 5, 5, 65, []load{{leaf: "c", rate: 500, priority: 1}, {leaf: "b", rate: 100}, {leaf: "a1", rate: 100}})
	assert.InDelta(t, 30, got["b"], 1.5, "its guarantee")
	assert.InDelta(t, 50, got["a1"], 2.5, "its own guarantee and what a2 leaves unused")
}

// step is a change of the capacity, followed by calls of a leaf.
type step struct {
	wait     float64
	leaf     int
	count    int
	value    float64
	priority int
	capacity float64 // 0 = no change
	returned bool
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{wait: rapid.SampledFrom([]float64{0, 1, 20, 300, 2000, -500}).Draw(t, "wait"),
			leaf: rapid.IntRange(0, 3).Draw(t, "leaf"), count: rapid.IntRange(1, 40).Draw(t, "count"),
			value: rapid.Float64Range(0, 5).Draw(t, "worth"), priority: rapid.IntRange(0, 1).Draw(t, "priority"),
			capacity: rapid.SampledFrom([]float64{0, 0, 0, 0.5, 1, math.NaN()}).Draw(t, "capacity"),
			returned: rapid.IntRange(0, 9).Draw(t, "give back") == 0}
	}), 1, 80).Draw(t, "ops")
}

// checkHistory runs a history and returns the first rule that was violated, "" if there is none.
func checkHistory(tree *Tree, set Settings, ops []step) string {
	leaves := []string{"a1", "a2", "b", "c"}
	now, latest, capacity := 1000.0, math.Inf(-1), 1.0
	type meter struct{ tokens, at float64 } // a minimal token bucket
	rateLimit := meter{set.Burst * 40, math.Inf(1)}
	for _, o := range ops {
		now += o.wait
		latest = max(latest, now)
		rateLimit.at = min(rateLimit.at, latest) // starts with the first call
		if o.capacity != 0 {
			tree.SetCapacity(now, o.capacity)
			if o.capacity == o.capacity {
				capacity = o.capacity
			}
		}
		leaf, _ := tree.Find(leaves[o.leaf])
		for range o.count {
			was := tree.Status(now, leaf)
			root := tree.Status(now, Root)
			d := tree.Admit(now, Call{Leaf: leaf, Priority: o.priority, Value: o.value})
			reserved := set.Reserved * float64(1-o.priority)
			covered := was.Tokens[Requests]-reserved*was.Cap[Requests] >= 1 && was.Tokens[Value]-reserved*was.Cap[Value] >= o.value
			free := root.Tokens[Requests] >= 1 && root.Tokens[Value] >= o.value
			switch {
			case d.Verdict == Rejected && covered:
				return "rejected a call that its own guarantee covers"
			case d.Verdict == Rejected && o.priority == 1 && free:
				return "rejected a block though there was capacity"
			case d.Verdict == Rejected && root.Tokens[Requests] == root.Cap[Requests] && root.Tokens[Value] == root.Cap[Value] &&
				d.Reason != AtRateLimit && d.Reason != AtLongLimit:
				return "rejected a call with all capacity free"
			case d.Verdict == Rejected && !(d.RetryAfter >= 0 && d.RetryAfter <= set.MaxRetryAfter*1000):
				return "RetryAfter outside of its bounds"
			case d.Verdict != WithinGuarantee && d.Verdict != Rejected && o.priority == 0 && leaves[o.leaf] == "c":
				rateLimit.tokens = min(set.Burst*40, rateLimit.tokens+(latest-rateLimit.at)/1000*40)
				if rateLimit.at = latest; rateLimit.tokens < -1e-6 {
					return "exceeded a rate limit"
				}
			}
			if d.Verdict != Rejected && leaves[o.leaf] == "c" {
				rateLimit.tokens = min(set.Burst*40, rateLimit.tokens+(latest-rateLimit.at)/1000*40) - 1
				rateLimit.at = latest
			}
			if o.returned && d.Verdict != Rejected {
				before := tree.Status(now, leaf).Tokens[Requests]
				tree.Refund(now, d)
				if after := tree.Status(now, leaf).Tokens[Requests]; after < before {
					return "a refund reduced the tokens"
				}
				if leaves[o.leaf] == "c" {
					rateLimit.tokens++
				}
			}
		}
		credit, debt := 0.0, 0.0
		for i := range tree.Nodes() {
			s := tree.Status(now, i)
			credit, debt = credit+s.Credit, debt+s.Debt
			switch {
			case s.Tokens[Requests] > s.Cap[Requests]+1e-9 || s.Tokens[Requests] < -s.Cap[Requests]-1e-9:
				return "a bucket is outside of its bounds"
			case s.Debt < -1e-9 || s.Credit < -1e-9:
				return "a negative debt or credit"
			case i != Root && s.Debt > set.RepayTime*set.RepayFraction*s.Rate[Requests]/capacity*(1+1e-9):
				return "a debt that cannot be repaid in time"
			}
		}
		if tree.Capacity() != capacity {
			return "wrong capacity"
		}
	}
	return ""
}

// nestedSettings are settings with both measures, a rate limit and a node that lends nothing.
func nestedSettings() Settings {
	set := settings(Node{Name: "a", Share: .5}, Node{Name: "b", Share: .3, NoLending: true},
		Node{Name: "c", Share: .2, RateLimit: Amount{40, 0}}, partners[3], partners[4])
	set.Root[Value] = 300
	return set
}

// Guards against a violated guarantee, a block that is rejected while there is capacity, lost capacity, an
// exceeded rate limit, unbounded debts and sums that do not match, in whatever order calls arrive.
func TestRandomHistoriesKeepTheSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, err := New(nestedSettings(), 1)
		require.NoError(t, err)
		if wrong := checkHistory(tree, nestedSettings(), drawSteps(t)); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// Guards against a checker that cannot fail: it must find each planted fault.
func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	for what, plant := range map[string]func(*Tree){
		"a guarantee that shrinks": func(tree *Tree) { tree.nodes[tree.index["b"]].own[Requests].rate = 1; tree.config.Reserved = 0.8 },
		"a missing rate limit":     func(tree *Tree) { tree.nodes[tree.index["c"]].limit[Requests] = bucket{} },
		"a debt without a bound":   func(tree *Tree) { tree.config.RepayTime = 1e5 },
		"blocks without priority":  func(tree *Tree) { tree.config.Priorities = 3 },
		"waits without a bound":    func(tree *Tree) { tree.config.MaxRetryAfter = 100 },
	} {
		caught := ""
		ops := rapid.Custom(drawSteps)
		for seed := 0; seed < 3000 && caught == ""; seed++ {
			tree := newTree(t, nestedSettings())
			plant(tree)
			caught = checkHistory(tree, nestedSettings(), ops.Example(seed))
		}
		assert.NotEmpty(t, caught, what)
	}
}

// Guards against decisions that depend on the order of the nodes in the settings, and against different decisions
// on the same calls.
func TestOrderOfNodesMakesNoDifference(t *testing.T) {
	flows := []load{{leaf: "a1", rate: 80}, {leaf: "a2", rate: 10}, {leaf: "b", rate: 100}, {leaf: "c", rate: 100}}
	var want []string
	for i, order := range [][]int{{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 0, 3, 1}} {
		nodes := make([]Node, 0, 5)
		for _, n := range order {
			nodes = append(nodes, partners[n])
		}
		tree := newTree(t, settings(nodes...))
		got := map[string][]string{}
		playLoads(tree, 9, 30, flows, func(_ float64, c Call, d Decision) {
			name := tree.Name(c.Leaf)
			got[name] = append(got[name], fmt.Sprint(d.Verdict, d.Reason))
		})
		if i < 2 {
			sequence := append(slices.Clone(got["b"]), got["a1"]...)
			if i == 1 {
				assert.Equal(t, want, sequence)
			}
			want = sequence
		}
		for name, share := range map[string]float64{"a1": 40, "a2": 10, "b": 30, "c": 20} {
			admitted := 0
			for _, v := range got[name] {
				admitted += int(boolToFloat(v[0] != '3'))
			}
			assert.InDelta(t, share, float64(admitted)/30, 0.1*share+1, "%s in order %v", name, order)
		}
	}
}

// Guards against a configuration reload that loses the balances and debts of nodes that remain, or keeps old ones
// beyond the new bounds.
func TestInheritKeepsBalancesWithinNewBounds(t *testing.T) {
	tree := newTree(t, settings(partners...))
	ratesByLeaf(tree, 6, 0, 20, []load{{leaf: "b", rate: 300}, {leaf: "c", rate: 200}})
	tree.SetCapacity(20000, 0.5)
	leaf, _ := tree.Find("b")
	was := tree.Status(20000, leaf)
	require.Positive(t, was.Debt)
	fresh := newTree(t, settings(Node{Name: "b", Share: .1}, Node{Name: "new", Share: .5}))
	fresh.Inherit(20000, tree)
	leaf, _ = fresh.Find("b")
	now := fresh.Status(20000, leaf)
	assert.InDelta(t, was.Tokens[Requests]/was.Cap[Requests], now.Tokens[Requests]/now.Cap[Requests], 1e-9)
	assert.LessOrEqual(t, now.Debt, 25.0+1e-9)
	assert.Equal(t, was.Rejected, now.Rejected)
	assert.Equal(t, 0.5, fresh.Capacity())
	other, _ := fresh.Find("new")
	assert.Equal(t, fresh.Status(20000, other).Cap, fresh.Status(20000, other).Tokens)
}

// Guards against invalid trees that are accepted, and errors that do not name the node and the field.
func TestInvalidTreesNameNodeAndField(t *testing.T) {
	for want, nodes := range map[string][]Node{
		"name: is missing":                        {{Share: 1}},
		"a: name: stands there twice":             {{Name: "a"}, {Name: "a"}},
		"a: parent: \"x\" is no node":             {{Name: "a", Parent: "x"}},
		"a: parent: \"b\" is no node":             {{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}},
		"guarantee: its children's add up to 110": {{Name: "a", Share: .6}, {Name: "b", Share: .5}},
		"a: guarantee: its children's add up":     {{Name: "a", Share: .6}, {Name: "b", Parent: "a", Guarantee: Amount{61}}},
		"a: ceiling: 40 a second is below":        {{Name: "a", Share: .6, RateLimit: Amount{40}}},
		"a: long: 40 a second is below":           {{Name: "a", Share: .6, LongLimit: Amount{40}}},
		"a: share: 1.5 lies outside":              {{Name: "a", Share: 1.5}},
		"a: share: stands beside a guarantee":     {{Name: "a", Share: .5, Guarantee: Amount{5}}},
		"a: burst: -1 s lies outside":             {{Name: "a", Share: .5, Burst: -1}},
	} {
		_, err := New(settings(nodes...), 1)
		var wrong *FieldError
		require.ErrorAs(t, err, &wrong, want)
		assert.Contains(t, err.Error(), want)
	}
	for field, change := range map[string]func(*Settings){"kept": func(s *Settings) { s.Reserved = math.NaN() },
		"priorities": func(s *Settings) { s.Priorities = 8 }, "root": func(s *Settings) { s.Root = Amount{} }} {
		set := settings()
		change(&set)
		_, err := New(set, 1)
		assert.ErrorContains(t, err, field)
	}
}

// Guards against a node that takes more memory than NodeBytes.
func TestNodeFitsItsStatedMemory(t *testing.T) {
	const n = 50_000
	nodes := gatewayNodes(n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tree := newTree(t, settings(nodes...))
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, float64(after.HeapAlloc-before.HeapAlloc)/n, float64(NodeBytes))
	runtime.KeepAlive(tree)
}

// gatewayNodes returns n leaves under ten partners.
func gatewayNodes(n int) []Node {
	var nodes []Node
	for i := range 10 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("partner-%d", i), Share: 0.1})
	}
	for i := range n {
		nodes = append(nodes, Node{Name: fmt.Sprintf("gateway-%d", i), Parent: fmt.Sprintf("partner-%d", i%10), Share: 9.9 / float64(n)})
	}
	return nodes
}

// BenchmarkAsk measures one decision, with ten active gateways of one partner.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		set := settings(gatewayNodes(n)...)
		set.Root = Amount{1000, 0}
		tree, err := New(set, 1)
		require.NoError(b, err)
		leaves := make([]int, 10)
		for i := range leaves {
			leaves[i], _ = tree.Find(fmt.Sprintf("gateway-%d", i))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tree.Admit(float64(i)/5, Call{Leaf: leaves[i%10]})
			}
		})
	}
}

// BenchmarkReload measures the replacement of one tree by another.
func BenchmarkReload(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		set := settings(gatewayNodes(n)...)
		old, err := New(set, 1)
		require.NoError(b, err)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				fresh, err := New(set, 1)
				require.NoError(b, err)
				fresh.Inherit(0, old)
			}
		})
	}
}

// Guards against a hot restart that grants every tenant a new burst, or loses the tokens that a tenant has
// accumulated.
func TestBalancesAreTransferred(t *testing.T) {
	set := Settings{Root: Amount{100}, Floor: 0.1, Priorities: 1, Burst: 2, LongWindow: 10, DebtDecay: 10, RepayTime: 10, RepayFraction: 0.5, MaxRetryAfter: 1,
		Nodes: []Node{{Name: "spent", Guarantee: Amount{10}, LongLimit: Amount{10}, NoBorrowing: true}, {Name: "saved", Guarantee: Amount{10}, NoBorrowing: true},
			{Name: "gone", Guarantee: Amount{10}}}}
	old, err := New(set, 1)
	require.NoError(t, err)
	ask := func(tree *Tree, now float64, name string) (n int) {
		leaf, ok := tree.Find(name)
		require.True(t, ok)
		for tree.Admit(now, Call{Leaf: leaf}).Verdict != Rejected {
			n++
		}
		return n
	}
	require.Equal(t, 20, ask(old, 1000, "spent"))
	ask(old, 1000, "gone")
	list := old.Balances(1000)
	set.Nodes = set.Nodes[:2]
	successor, err := New(set, 2)
	require.NoError(t, err)
	successor.RestoreBalances(5000, 500, list)
	require.Equal(t, 5, ask(successor, 5000, "spent"), "what has been filled in since")
	require.Equal(t, 20, ask(successor, 5000, "saved"))
	successor.RestoreBalances(5000, -1, []Balance{{Name: "saved", Own: Amount{9, 9}}, {Name: "spent", Own: Amount{-9, 1}, RateLimit: Amount{1, 1}, LongLimit: Amount{1, 1}}})
	require.Zero(t, ask(successor, 5000, "saved"), "a balance can only reduce the tokens")
	require.Zero(t, ask(successor, 6900, "spent"), "a bucket is overdrawn by at most the burst")
	require.Positive(t, ask(successor, 7200, "spent"))
}
