package quota

// bucket is a token bucket: it is filled at a rate, per second, up to a cap, and may be overdrawn by as much.
type bucket struct{ tokens, rate, cap float64 }

// fill adds the tokens of some seconds and returns what overflows.
func (b *bucket) fill(seconds float64) (over float64) {
	b.tokens += b.rate * seconds
	if b.tokens > b.cap {
		over = b.tokens - b.cap
		b.tokens = b.cap
	}
	return over
}

// spend removes n tokens, or returns them if n is negative.
func (b *bucket) spend(n float64) { b.tokens = min(max(b.tokens-n, -b.cap), b.cap) }
