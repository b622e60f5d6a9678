package quota

// bucket is a token bucket: it is filled at a rate per second up to its cap, and may be overdrawn by the same
// amount.
type bucket struct{ tokens, rate, cap float64 }

// fill adds the tokens of the given seconds and returns the overflow.
func (b *bucket) fill(seconds float64) (overflow float64) {
	b.tokens += b.rate * seconds
	if b.tokens > b.cap {
		overflow = b.tokens - b.cap
		b.tokens = b.cap
	}
	return overflow
}

// spend removes n tokens, or puts them back if n is negative.
func (b *bucket) spend(n float64) { b.tokens = min(max(b.tokens-n, -b.cap), b.cap) }
