package routing

import "time"

// The figures of where shared parts are kept.
const (
	partLife   = 20 * time.Second // for which a part counts as kept where a rater's memory is not known
	memoryPart = 0.5              // of a rater's memory: so many tokens may it read until a part that is not used gives way
	mostPlaces = 8                // of one part that are remembered
	mostParts  = 8192             // that are remembered, in two generations
)

// partPlace is one rater that has a shared part.
type partPlace struct {
	rater uint32
	at    time.Duration // when it was last sent there,
	read  float64       // and how many tokens the rater had read by then
}

// keptParts remembers which raters were sent which shared parts of prompts, by this node or by others. The older generation
// is forgotten when the younger one is full.
type keptParts struct {
	young, old map[uint32][]partPlace
}

func newKeptParts() keptParts { return keptParts{young: map[uint32][]partPlace{}} }

// note takes that a rater that had read so many tokens was sent a part.
func (k *keptParts) note(at time.Duration, part, rater uint32, read float64) {
	if part == 0 {
		return
	}
	places := k.places(part)
	for i := range places {
		if places[i].rater == rater {
			places[i].at, places[i].read = max(places[i].at, at), read
			return
		}
	}
	if len(places) == mostPlaces {
		oldest := 0
		for i := range places {
			if places[i].at < places[oldest].at {
				oldest = i
			}
		}
		places[oldest] = partPlace{rater, at, read}
		return
	}
	k.young[part] = append(places, partPlace{rater, at, read})
}

// places gives where a part was sent, after moving it to the younger generation.
func (k *keptParts) places(part uint32) []partPlace {
	if places, found := k.young[part]; found {
		return places
	}
	if len(k.young) >= mostParts/2 {
		k.young, k.old = make(map[uint32][]partPlace, mostParts/2), k.young
	}
	places, found := k.old[part]
	if found {
		k.young[part] = places
	}
	return places
}

// kept tells whether a rater with a memory for so many tokens, 0 = not known, is likely to have a part still.
func (p *partPlace) kept(now time.Duration, read, memory float64) bool {
	if memory <= 0 {
		return now-p.at <= partLife
	}
	return read-p.read <= memoryPart*memory
}
