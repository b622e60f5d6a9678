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

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// settings are those of nodes that can do 100 requests per second together; the second priority is that of spending-cap blocks.
func settings(nodes ...Node) Settings {
	return Settings{Root: Amount{100, 0}, Floor: 0.05, Nodes: nodes, Priorities: 2, Burst: 1, LongWindow: 600, Reserved: 0.2,
		DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2}
}

// partners are three tenants at the top, the first with two gateways.
var partners = []Node{{Name: "a", Share: .5}, {Name: "b", Share: .3}, {Name: "c", Share: .2}, {Name: "a1", Parent: "a", Share: .6},
	{Name: "a2", Parent: "a", Share: .4}}

func newTree(t testing.TB, set Settings) *Tree {
	b, err := New(set, 1)
	require.NoError(t, err)
	return b
}

// load is the calls of one leaf.
type load struct {
	leaf     string
	rate     float64 // calls per second
	priority int
	from, to float64 // seconds; to 0 = the end
}

// playLoads plays the calls of some loads in order of time, each a Poisson process.
func playLoads(b *Tree, seed uint64, seconds float64, flows []load, each func(at float64, c Call, d Decision)) {
	type arrival struct {
		at   float64
		call Call
	}
	var all []arrival
	for i, f := range flows {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		leaf, ok := b.Find(f.leaf)
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
		each(a.at, a.call, b.Admit(a.at*1000, a.call))
	}
}

// ratesByLeaf plays loads and returns the calls per second that each leaf got from a time on.
func ratesByLeaf(b *Tree, seed uint64, from, seconds float64, flows []load) map[string]float64 {
	got := map[string]float64{}
	playLoads(b, seed, seconds, flows, func(at float64, c Call, d Decision) {
		if at >= from && d.Verdict != Rejected {
			got[b.Name(c.Leaf)] += 1 / (seconds - from)
		}
	})
	return got
}

// Guards against a tenant that does not get its share over a minute, whoever overloads, is quiet or uses half, at any depth of
// the tree, and when the capacity is halved.
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
				b := newTree(t, settings(partners...))
				b.SetCapacity(0, capacity)
				asked, got := map[int]float64{}, map[int]float64{}
				playLoads(b, seed, to, flows, func(at float64, c Call, d Decision) {
					if at >= from {
						asked[c.Leaf] += 1.0 / (to - from)
						got[c.Leaf] += boolToFloat(d.Verdict != Rejected) / (to - from)
					}
				})
				for leaf, want := range b.FairRates(100*capacity, asked) {
					assert.InDelta(t, want, got[leaf], 0.05*want, "%s of %v at %g, seed %d", b.Name(leaf), flows, capacity, seed)
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

// Guards against a lender that waits for its own guarantee when it wakes, that is not repaid in time or is repaid more than it is
// owed, and against a debt that is collected while nobody wants it.
func TestWakingLenderIsRepaid(t *testing.T) {
	b := newTree(t, settings(partners...))
	const woke, paid, end = 30.0, 41.0, 60.0
	var before, within, after [3]float64 // calls per second of a, b and c
	burst, refused := 0, false
	playLoads(b, 3, end, []load{{leaf: "b", rate: 300}, {leaf: "c", rate: 200}, {leaf: "a1", rate: 300, from: woke},
		{leaf: "a2", rate: 300, from: woke}}, func(at float64, c Call, d Decision) {
		who := int(b.Name(c.Leaf)[0] - 'a')
		refused = refused || who == 0 && d.Verdict == Rejected
		if d.Verdict == Rejected {
			return
		}
		if who == 0 && !refused {
			burst++
		}
		switch {
		case at >= 10 && at < woke:
			before[who] += 1 / (woke - 10)
		case at >= woke && at < paid:
			within[who] += 1 / (paid - woke)
		case at >= paid+4:
			after[who] += 1 / (end - paid - 4)
		}
	})
	assert.InDelta(t, 60, before[1], 3, "what a leaves")
	assert.InDelta(t, 40, before[2], 2)
	assert.GreaterOrEqual(t, burst, 50, "a's first second is served at once")
	debt := func(guarantee float64) float64 { return 10 * 0.25 * guarantee / (paid - woke) }
	assert.InDelta(t, 50+debt(30)+debt(20), within[0], 0.05*62, "paid back in 10 s")
	assert.InDelta(t, 30-debt(30), within[1], 0.05*23)
	assert.InDelta(t, 20-debt(20), within[2], 0.05*15)
	for i, guarantee := range []float64{50, 30, 20} {
		assert.InDelta(t, guarantee, after[i], 0.05*guarantee, "nothing is owed any more")
	}
}

// Guards against a spending-cap block that is rejected while there is any capacity, and against one that uses up the guarantees of
// others.
func TestHighPriorityCallsAreRejectedLast(t *testing.T) {
	thrifty := slices.Clone(partners) // 5% are guaranteed to nobody
	thrifty[0].Share = .45
	for _, nodes := range [][]Node{partners, thrifty} {
		for _, charges := range []float64{100, 1000} {
			b := newTree(t, settings(nodes...))
			refused, blocks := 0, 0
			playLoads(b, 4, 60, []load{{leaf: "a1", rate: charges}, {leaf: "a2", rate: charges}, {leaf: "b", rate: charges},
				{leaf: "c", rate: charges}, {leaf: "c", rate: 18, priority: 1}, {leaf: "a2", rate: 10, priority: 1}},
				func(at float64, c Call, d Decision) {
					if c.Priority == 1 {
						blocks++
						if d.Verdict == Rejected {
							refused++
							assert.Less(t, b.Status(at*1000, Root).Tokens[Requests], 1.0, "there was room")
						}
					}
				})
			assert.Greater(t, blocks, 1500)
			if nodes[0].Share < .5 {
				assert.Zero(t, refused, "charges at %g a second", charges)
			}
		}
	}
	b := newTree(t, settings(partners...))
	got := ratesByLeaf(b, 5, 5, 65, []load{{leaf: "c", rate: 500, priority: 1}, {leaf: "b", rate: 100}, {leaf: "a1", rate: 100}})
	assert.InDelta(t, 30, got["b"], 1.5, "its guarantee")
	assert.InDelta(t, 50, got["a1"], 2.5, "its own and what a2 leaves")
}

// step is some calls of a leaf, and a change of the capacity before them.
type step struct {
	wait     float64
	leaf     int
	count    int
	worth    float64
	priority int
	capacity float64 // 0 = no change
	returned bool
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{wait: rapid.SampledFrom([]float64{0, 1, 20, 300, 2000, -500}).Draw(t, "wait"),
			leaf: rapid.IntRange(0, 3).Draw(t, "leaf"), count: rapid.IntRange(1, 40).Draw(t, "count"),
			worth: rapid.Float64Range(0, 5).Draw(t, "worth"), priority: rapid.IntRange(0, 1).Draw(t, "priority"),
			capacity: rapid.SampledFrom([]float64{0, 0, 0, 0.5, 1, math.NaN()}).Draw(t, "capacity"),
			returned: rapid.IntRange(0, 9).Draw(t, "give back") == 0}
	}), 1, 80).Draw(t, "ops")
}

// checkHistory plays a history and returns which rule was broken, "" for none.
func checkHistory(b *Tree, set Settings, ops []step) string {
	leaves := []string{"a1", "a2", "b", "c"}
	now, latest, capacity := 1000.0, math.Inf(-1), 1.0
	type meter struct{ tokens, at float64 } // a token bucket, as simple as possible
	ceiling := meter{set.Burst * 40, math.Inf(1)}
	for _, o := range ops {
		now += o.wait
		latest = max(latest, now)
		ceiling.at = min(ceiling.at, latest) // it begins with the first call
		if o.capacity != 0 {
			b.SetCapacity(now, o.capacity)
			if o.capacity == o.capacity {
				capacity = o.capacity
			}
		}
		leaf, _ := b.Find(leaves[o.leaf])
		for range o.count {
			was := b.Status(now, leaf)
			root := b.Status(now, Root)
			d := b.Admit(now, Call{Leaf: leaf, Priority: o.priority, Value: o.worth})
			kept := set.Reserved * float64(1-o.priority)
			covered := was.Tokens[Requests]-kept*was.Cap[Requests] >= 1 && was.Tokens[Value]-kept*was.Cap[Value] >= o.worth
			room := root.Tokens[Requests] >= 1 && root.Tokens[Value] >= o.worth
			switch {
			case d.Verdict == Rejected && covered:
				return "rejected a call that its own guarantee covers"
			case d.Verdict == Rejected && o.priority == 1 && room:
				return "rejected a block though there was capacity"
			case d.Verdict == Rejected && root.Tokens[Requests] == root.Cap[Requests] && root.Tokens[Value] == root.Cap[Value] &&
				d.Reason != AtRateLimit && d.Reason != AtLongLimit:
				return "rejected a call with all capacity free"
			case d.Verdict == Rejected && !(d.RetryAfter >= 0 && d.RetryAfter <= set.MaxRetryAfter*1000):
				return "told to wait longer than allowed"
			case d.Verdict != WithinGuarantee && d.Verdict != Rejected && o.priority == 0 && leaves[o.leaf] == "c":
				ceiling.tokens = min(set.Burst*40, ceiling.tokens+(latest-ceiling.at)/1000*40)
				if ceiling.at = latest; ceiling.tokens < -1e-6 {
					return "exceeded a rate limit"
				}
			}
			if d.Verdict != Rejected && leaves[o.leaf] == "c" {
				ceiling.tokens = min(set.Burst*40, ceiling.tokens+(latest-ceiling.at)/1000*40) - 1
				ceiling.at = latest
			}
			if o.returned && d.Verdict != Rejected {
				before := b.Status(now, leaf).Tokens[Requests]
				b.Refund(now, d)
				if after := b.Status(now, leaf).Tokens[Requests]; after < before {
					return "charged what was returned"
				}
				if leaves[o.leaf] == "c" {
					ceiling.tokens++
				}
			}
		}
		credit, debt := 0.0, 0.0
		for i := range b.Nodes() {
			s := b.Status(now, i)
			credit, debt = credit+s.Credit, debt+s.Debt
			switch {
			case s.Tokens[Requests] > s.Cap[Requests]+1e-9 || s.Tokens[Requests] < -s.Cap[Requests]-1e-9:
				return "a bucket ran over"
			case s.Debt < -1e-9 || s.Credit < -1e-9:
				return "a debt below nothing"
			case i != Root && s.Debt > set.RepayTime*set.RepayFraction*s.Rate[Requests]/capacity*(1+1e-9):
				return "a debt that cannot be paid in time"
			}
		}
		if b.Capacity() != capacity {
			return "another capacity"
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

// Guards against a guarantee that is violated, a block that is rejected while there is capacity, lost capacity, an exceeded rate
// limit, unbounded debts, and sums that do not match, whatever the order of calls.
func TestRandomHistoriesKeepTheSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(nestedSettings(), 1)
		require.NoError(t, err)
		if wrong := checkHistory(b, nestedSettings(), drawSteps(t)); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// Guards against a checker that cannot fail: each planted fault must be found.
func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	for what, plant := range map[string]func(*Tree){
		"a guarantee that shrinks":  func(b *Tree) { b.nodes[b.index["b"]].own[Requests].rate = 1; b.config.Reserved = 0.8 },
		"a ceiling that is not one": func(b *Tree) { b.nodes[b.index["c"]].limit[Requests] = bucket{} },
		"a debt without a bound":    func(b *Tree) { b.config.RepayTime = 1e5 },
		"blocks like charges":       func(b *Tree) { b.config.Priorities = 3 },
		"waits without a bound":     func(b *Tree) { b.config.MaxRetryAfter = 100 },
	} {
		caught := ""
		ops := rapid.Custom(drawSteps)
		for seed := 0; seed < 3000 && caught == ""; seed++ {
			b := newTree(t, nestedSettings())
			plant(b)
			caught = checkHistory(b, nestedSettings(), ops.Example(seed))
		}
		assert.NotEmpty(t, caught, what)
	}
}

// Guards against decisions that depend on the order of the nodes in the file, and against different decisions on the same calls.
func TestOrderOfNodesMakesNoDifference(t *testing.T) {
	flows := []load{{leaf: "a1", rate: 80}, {leaf: "a2", rate: 10}, {leaf: "b", rate: 100}, {leaf: "c", rate: 100}}
	var want []string
	for i, order := range [][]int{{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 0, 3, 1}} {
		nodes := make([]Node, 0, 5)
		for _, n := range order {
			nodes = append(nodes, partners[n])
		}
		b := newTree(t, settings(nodes...))
		got := map[string][]string{}
		playLoads(b, 9, 30, flows, func(_ float64, c Call, d Decision) {
			name := b.Name(c.Leaf)
			got[name] = append(got[name], fmt.Sprint(d.Verdict, d.Reason))
		})
		if i < 2 {
			course := append(slices.Clone(got["b"]), got["a1"]...)
			if i == 1 {
				assert.Equal(t, want, course)
			}
			want = course
		}
		for name, share := range map[string]float64{"a1": 40, "a2": 10, "b": 30, "c": 20} {
			goes := 0
			for _, v := range got[name] {
				goes += int(boolToFloat(v[0] != '3'))
			}
			assert.InDelta(t, share, float64(goes)/30, 0.1*share+1, "%s in order %v", name, order)
		}
	}
}

// Guards against a new file that loses the balances and debts of nodes that stay, or keeps old ones beyond new bounds.
func TestInheritKeepsBalancesWithinNewBounds(t *testing.T) {
	b := newTree(t, settings(partners...))
	ratesByLeaf(b, 6, 0, 20, []load{{leaf: "b", rate: 300}, {leaf: "c", rate: 200}})
	b.SetCapacity(20000, 0.5)
	leaf, _ := b.Find("b")
	was := b.Status(20000, leaf)
	require.Positive(t, was.Debt)
	fresh := newTree(t, settings(Node{Name: "b", Share: .1}, Node{Name: "new", Share: .5}))
	fresh.Inherit(20000, b)
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

// Guards against a node that costs more memory than NodeBytes.
func TestNodeFitsItsStatedMemory(t *testing.T) {
	const n = 50_000
	nodes := gatewayNodes(n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b := newTree(t, settings(nodes...))
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, float64(after.HeapAlloc-before.HeapAlloc)/n, float64(NodeBytes))
	runtime.KeepAlive(b)
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

// BenchmarkAsk is one decision, with ten active gateways of one partner.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		set := settings(gatewayNodes(n)...)
		set.Root = Amount{1000, 0}
		book, err := New(set, 1)
		require.NoError(b, err)
		leaves := make([]int, 10)
		for i := range leaves {
			leaves[i], _ = book.Find(fmt.Sprintf("gateway-%d", i))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				book.Admit(float64(i)/5, Call{Leaf: leaves[i%10]})
			}
		})
	}
}

// BenchmarkReload is a tree that replaces another.
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

// Guards against a hot restart that gives every tenant a new burst, or loses what one had saved up.
func TestBalancesAreTransferred(t *testing.T) {
	set := Settings{Root: Amount{100}, Floor: 0.1, Priorities: 1, Burst: 2, LongWindow: 10, DebtDecay: 10, RepayTime: 10, RepayFraction: 0.5, MaxRetryAfter: 1,
		Nodes: []Node{{Name: "spent", Guarantee: Amount{10}, LongLimit: Amount{10}, NoBorrowing: true}, {Name: "saved", Guarantee: Amount{10}, NoBorrowing: true},
			{Name: "gone", Guarantee: Amount{10}}}}
	old, err := New(set, 1)
	require.NoError(t, err)
	ask := func(b *Tree, now float64, name string) (n int) {
		leaf, ok := b.Find(name)
		require.True(t, ok)
		for b.Admit(now, Call{Leaf: leaf}).Verdict != Rejected {
			n++
		}
		return n
	}
	require.Equal(t, 20, ask(old, 1000, "spent"))
	ask(old, 1000, "gone")
	list := old.Balances(1000)
	set.Nodes = set.Nodes[:2]
	heir, err := New(set, 2)
	require.NoError(t, err)
	heir.RestoreBalances(5000, 500, list)
	require.Equal(t, 5, ask(heir, 5000, "spent"), "what has run in since")
	require.Equal(t, 20, ask(heir, 5000, "saved"))
	heir.RestoreBalances(5000, -1, []Balance{{Name: "saved", Own: Amount{9, 9}}, {Name: "spent", Own: Amount{-9, 1}, RateLimit: Amount{1, 1}, LongLimit: Amount{1, 1}}})
	require.Zero(t, ask(heir, 5000, "saved"), "a balance only takes away")
	require.Zero(t, ask(heir, 6900, "spent"), "no debt is larger than the burst")
	require.Positive(t, ask(heir, 7200, "spent"))
}
