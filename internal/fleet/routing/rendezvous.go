package routing

import (
	"github.com/cespare/xxhash/v2"
)

// hashUnit returns a number in (0, 1) that depends on a key and a node only.
func hashUnit(key, node string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}

// Rendezvous returns the node that owns a key, by highest random weight: where a node is added or removed, only the keys that it
// owns move. All nodes weigh the same. It returns "" where there are none.
func Rendezvous(key string, nodes []string) string {
	best, highest := "", -1.0
	for _, node := range nodes {
		if score := hashUnit(key, node); score > highest {
			best, highest = node, score
		}
	}
	return best
}
