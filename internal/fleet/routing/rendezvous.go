// Package routing chooses the rater of a request. It is pure: time comes from outside.
//
// Each service has a decide.Balancer, which learns each rater's latency over its share (time to the first token) and
// re-solves the shares; requests without a shared prompt prefix are placed by its weighted round robin, and raters that
// are new or were away come in by its search. A request with a prefix goes to the rater that the prefix's rendezvous
// hash names, its home, so that all nodes read a shared part at the same place; a rater that the balancer has put away, or
// that holds more than its part of this node's work, passes the request on to the next one in the hash's order, and so does
// one at which more of the request's worth is expected to be lost (Service.loss): what raters read and run, how fast they
// are and whether they fail, all nodes tell each other (event.go, load.go). The curve's shares are no weights of the hash:
// each node learns its own from few answers, and weights that differ scatter the prefixes.
package routing

import (
	"github.com/cespare/xxhash/v2"
)

// hashUnit draws a number in (0, 1) for a key at a place.
func hashUnit(key, node string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}

// Rendezvous gives the place of a key among places of equal weight; empty where there is none.
func Rendezvous(key string, nodes []string) string {
	best, highest := "", -1.0
	for _, node := range nodes {
		if score := hashUnit(key, node); score > highest {
			best, highest = node, score
		}
	}
	return best
}
