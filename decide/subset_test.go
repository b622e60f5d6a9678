package decide

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// subset returns the backends that one of many nodes uses: k of them, if the scheme can choose the number.
type subset func(node, nodes int, ids []BackendID, k int) map[BackendID]bool

func hashed(a, b uint64) uint64 { return rand.NewPCG(a, b).Uint64() }

var subsets = map[string]subset{
	"arc": func(node, nodes int, ids []BackendID, k int) map[BackendID]bool {
		set := testSettings()
		set.Nodes, set.Node = nodes, node
		b, _ := New(set, 1, &recorder{})
		var list []Backend
		for _, id := range ids {
			list = append(list, Backend{ID: id})
		}
		b.arrivalRate = minRatePerBackend * float64(k)
		b.UpdateEndpoints(second, EndpointsStored, list)
		b.arrivalRate = minRatePerBackend * float64(k)
		b.chooseSubset()
		mine := map[BackendID]bool{}
		for _, s := range b.backends {
			if b.inSubset(s) {
				mine[s.ID] = true
			}
		}
		return mine
	},
	"rendezvous": func(node, _ int, ids []BackendID, k int) map[BackendID]bool {
		sorted := slices.Clone(ids)
		slices.SortFunc(sorted, func(a, b BackendID) int {
			return cmp.Compare(hashed(uint64(a), uint64(node)), hashed(uint64(b), uint64(node)))
		})
		return chosen(sorted[:k])
	},
	// Deterministic subsetting from Google's SRE book: the nodes of a round divide the backends among themselves,
	// in an order that is shuffled for each round.
	"deterministic": func(node, _ int, ids []BackendID, k int) map[BackendID]bool {
		each := len(ids) / k
		round := slices.Clone(ids)
		slices.Sort(round)
		rand.New(rand.NewPCG(uint64(node/each), 5)).Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
		at := node % each * k
		return chosen(round[at : at+k])
	},
}

func chosen(ids []BackendID) map[BackendID]bool {
	m := map[BackendID]bool{}
	for _, id := range ids {
		m[id] = true
	}
	return m
}

// TestSubsetsAgainstOtherSchemes guards against subsets that cover the fleet less evenly than known schemes, or
// that change more when a backend leaves. uses is the number of nodes that use a backend; moved is the fraction of
// node and backend pairs that are new after a backend has left.
func TestSubsetsAgainstOtherSchemes(t *testing.T) {
	for _, c := range []struct{ nodes, backends, k int }{{20, 60, 12}, {80, 60, 6}, {200, 60, 6}} {
		var ids []BackendID
		for i := range c.backends {
			ids = append(ids, BackendID(hashed(uint64(i), 9)))
		}
		spread, moves := map[string]float64{}, map[string]float64{}
		for name, choose := range subsets {
			uses, pairs, moved := map[BackendID]int{}, 0, 0
			for node := range c.nodes {
				now, later := choose(node, c.nodes, ids, c.k), choose(node, c.nodes, ids[1:], c.k)
				for id := range now {
					uses[id]++
					pairs++
				}
				for id := range later {
					if !now[id] {
						moved++
					}
				}
			}
			minUses, maxUses := c.nodes, 0
			for _, id := range ids {
				minUses, maxUses = min(minUses, uses[id]), max(maxUses, uses[id])
			}
			mean := float64(pairs) / float64(len(ids))
			spread[name], moves[name] = float64(maxUses)/mean, float64(moved)/float64(pairs)
			t.Logf("%d nodes, %d backends, %s: %.1f uses on average, %d to %d; moved %.4f", c.nodes, c.backends, name, mean, minUses, maxUses, moves[name])
			if name == "arc" && minUses == 0 {
				t.Errorf("%d nodes, %d backends: one of them is in no subset", c.nodes, c.backends)
			}
		}
		if spread["arc"] > spread["rendezvous"] || moves["arc"] > moves["deterministic"] {
			t.Errorf("%d nodes, %d backends: spread %v, moved %v", c.nodes, c.backends, spread, moves)
		}
	}
}
