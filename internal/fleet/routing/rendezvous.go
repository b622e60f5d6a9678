package routing

import (
	"github.com/cespare/xxhash/v2"
)

// hashUnit returns a number in (0, 1) that depends only on a key and a candidate.
func hashUnit(key, candidate string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}

// Rendezvous returns the candidate that owns a key, by highest random weight: when a candidate is added or
// removed, only the keys that it owns move. All candidates have the same weight. It returns "" if there are none.
// Quota ownership uses it too, with control processes as candidates.
func Rendezvous(key string, candidates []string) string {
	best, highest := "", -1.0
	for _, candidate := range candidates {
		if score := hashUnit(key, candidate); score > highest {
			best, highest = candidate, score
		}
	}
	return best
}
