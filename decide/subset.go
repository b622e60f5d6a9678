package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	minRatePerBackend  = 4.0 // units a second that a node wants to send to each backend of its subset
	minSubsetBackends  = 6.0 // backends in a subset, at least
	minNodesPerBackend = 4.0 // nodes whose subset a backend is in, at least
)

// chooseSubset sets the fraction of the fleet that this node sends to, so that it sends each backend enough to learn from
// and a backend has no connection from every node. A subset begins at the node's own position on the ring and ends where
// it holds its fraction of all size, and half that fraction of the size that is healthy. The beginnings are evenly spread,
// so that every backend is in about as many subsets as any other.
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

// inSubset tells whether a backend is in the subset of this node.
func (b *Balancer) inSubset(s *backendState) bool { return s.subsetOffset <= b.subsetFraction }

// assignRingPositions gives each backend an arc of the ring as long as its size, in an order that depends on the ids alone:
// a stretch of the ring then holds the same fraction of the fleet's size wherever it lies. Every node gets the same ring.
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
