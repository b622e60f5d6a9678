package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	minRatePerBackend  = 4.0 // units per second that a node aims to send to each backend of its subset
	minSubsetBackends  = 6.0 // minimum number of backends in a subset
	minNodesPerBackend = 4.0 // minimum number of nodes whose subsets contain a backend
)

// chooseSubset sets the fraction of the fleet that this node sends to, so that each backend of the subset gets
// enough requests to learn from and not every node connects to every backend. A subset starts at the node's own
// position on the ring and ends where it holds its fraction of the total size, and half that fraction of the healthy
// size. The starts are evenly spread, so that all backends are in about the same number of subsets.
func (b *Balancer) chooseSubset() {
	candidates, healthySize := b.subsetOrder[:0], 0.0
	for _, s := range b.backends {
		if _, s.subsetOffset = math.Modf(s.ringPosition + float64(b.settings.Node)*math.Phi); s.State == Serving {
			candidates = append(candidates, s)
			if b.healthy(s) {
				healthySize += s.size
			}
		}
	}
	slices.SortFunc(candidates, func(s, t *backendState) int { return cmp.Compare(s.subsetOffset, t.subsetOffset) })
	count := float64(len(candidates))
	fraction := min(1, max(b.arrivalRate/minRatePerBackend, minSubsetBackends, minNodesPerBackend*count/float64(b.settings.Nodes))/max(count, 1))
	b.subsetOrder, b.subsetFraction = candidates, 1
	remaining, healthySize := fraction*b.servingSize, healthySize*fraction/2
	for _, s := range candidates {
		remaining -= s.size
		if b.healthy(s) {
			healthySize -= s.size
		}
		if remaining <= 0 && healthySize <= 0 && fraction < 1 {
			b.subsetFraction = max(s.subsetOffset, 1e-9)
			break
		}
	}
	b.nodesPerBackend = max(1, float64(b.settings.Nodes)*b.subsetFraction)
}

func (b *Balancer) inSubset(s *backendState) bool { return s.subsetOffset <= b.subsetFraction }

// assignRingPositions assigns each backend an arc of the ring as long as its size, in an order that depends on the
// ids only: sections of the ring of equal length then hold the same fraction of the fleet's size. All nodes compute
// the same ring.
func (b *Balancer) assignRingPositions() {
	order := slices.Clone(b.backends)
	slices.SortFunc(order, func(s, t *backendState) int { return cmp.Compare(uint32(s.ID)*2654435769, uint32(t.ID)*2654435769) })
	position, total := 0.0, 1e-9
	for _, s := range order {
		total += s.size
	}
	for _, s := range order {
		s.ringPosition = (position + s.size/2) / total
		position += s.size
	}
}
