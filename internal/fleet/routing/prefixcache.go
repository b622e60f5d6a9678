package routing

import "time"

// The figures of where shared parts are kept.
const (
	prefixMaxAge         = 20 * time.Second // for which a part counts as kept where a rater's memory is not known
	cacheFraction        = 0.5              // of a rater's memory: so many tokens may it read until a part that is not used gives way
	maxBackendsPerPrefix = 8                // of one part that are remembered
	maxPrefixes          = 8192             // that are remembered, in two generations
)

// cachedPrefix is one rater that has a shared part.
type cachedPrefix struct {
	backend         uint32
	sentAt          time.Duration // when it was last sent there,
	prefilledTokens float64       // and how many tokens the rater had read by then
}

// prefixCache remembers which raters were sent which shared parts of prompts, by this node or by others. The older generation
// is forgotten when the younger one is full.
type prefixCache struct {
	young, old map[uint32][]cachedPrefix
}

func newPrefixCache() prefixCache { return prefixCache{young: map[uint32][]cachedPrefix{}} }

// record takes that a rater that had read so many tokens was sent a part.
func (k *prefixCache) record(at time.Duration, part, rater uint32, read float64) {
	if part == 0 {
		return
	}
	places := k.locations(part)
	for i := range places {
		if places[i].backend == rater {
			places[i].sentAt, places[i].prefilledTokens = max(places[i].sentAt, at), read
			return
		}
	}
	if len(places) == maxBackendsPerPrefix {
		oldest := 0
		for i := range places {
			if places[i].sentAt < places[oldest].sentAt {
				oldest = i
			}
		}
		places[oldest] = cachedPrefix{rater, at, read}
		return
	}
	k.young[part] = append(places, cachedPrefix{rater, at, read})
}

// locations gives where a part was sent, after moving it to the younger generation.
func (k *prefixCache) locations(part uint32) []cachedPrefix {
	if places, found := k.young[part]; found {
		return places
	}
	if len(k.young) >= maxPrefixes/2 {
		k.young, k.old = make(map[uint32][]cachedPrefix, maxPrefixes/2), k.young
	}
	places, found := k.old[part]
	if found {
		k.young[part] = places
	}
	return places
}

// likelyCached tells whether a rater with a memory for so many tokens, 0 = not known, is likely to have a part still.
func (p *cachedPrefix) likelyCached(now time.Duration, read, memory float64) bool {
	if memory <= 0 {
		return now-p.sentAt <= prefixMaxAge
	}
	return read-p.prefilledTokens <= cacheFraction*memory
}
