package routing

import "time"

// Parameters of the prefix cache.
const (
	prefixMaxAge         = 20 * time.Second // time for which a prefix counts as cached if the size of a backend's KV cache is unknown
	cacheFraction        = 0.5              // fraction of the KV cache that, once prefilled with other prompts, evicts a prefix
	maxBackendsPerPrefix = 8                // recorded backends per prefix
	maxPrefixes          = 8192             // recorded prefixes, in two generations
)

// cachedPrefix records that a prefix was sent to a backend.
type cachedPrefix struct {
	backend         uint32        // tag of the backend
	sentAt          time.Duration // latest time
	prefilledTokens float64       // total tokens that the backend had been sent by then
}

// prefixCache records which prefixes were sent to which backends, by this node or by others. Prefixes are kept in
// two generations: when the younger one is full, the older one is dropped.
type prefixCache struct {
	young, old map[uint32][]cachedPrefix // by tag of the prefix
}

func newPrefixCache() prefixCache { return prefixCache{young: map[uint32][]cachedPrefix{}} }

// record records that a prefix was sent to a backend, with the total number of tokens that the backend had been
// sent by then. Prefix 0 means no prefix.
func (c *prefixCache) record(at time.Duration, prefix, backend uint32, prefilledTokens float64) {
	if prefix == 0 {
		return
	}
	locations := c.locations(prefix)
	for i := range locations {
		if locations[i].backend == backend {
			locations[i].sentAt, locations[i].prefilledTokens = max(locations[i].sentAt, at), prefilledTokens
			return
		}
	}
	if len(locations) == maxBackendsPerPrefix {
		oldest := 0
		for i := range locations {
			if locations[i].sentAt < locations[oldest].sentAt {
				oldest = i
			}
		}
		locations[oldest] = cachedPrefix{backend, at, prefilledTokens}
		return
	}
	c.young[prefix] = append(locations, cachedPrefix{backend, at, prefilledTokens})
}

// locations returns the backends that a prefix was sent to, and moves the prefix to the younger generation. If
// that is full, the older generation is dropped first.
func (c *prefixCache) locations(prefix uint32) []cachedPrefix {
	if locations, found := c.young[prefix]; found {
		return locations
	}
	if len(c.young) >= maxPrefixes/2 {
		c.young, c.old = make(map[uint32][]cachedPrefix, maxPrefixes/2), c.young
	}
	locations, found := c.old[prefix]
	if found {
		c.young[prefix] = locations
	}
	return locations
}

// likelyCached reports whether a backend is likely to still have the prefix cached, given the total tokens that it
// has been sent and the size of its KV cache in tokens (0 = unknown).
func (p *cachedPrefix) likelyCached(now time.Duration, prefilledTokens, kvTokens float64) bool {
	if kvTokens <= 0 {
		return now-p.sentAt <= prefixMaxAge
	}
	return prefilledTokens-p.prefilledTokens <= cacheFraction*kvTokens
}
