package routing

import "time"

// Parameters of the prefill curve.
const (
	curveGain       = 0.02                  // minimum weight of a new sample in the curve
	curveMinTokens  = 1000                  // minimum size of a prompt that is a sample of the curve
	initialLevel    = 0.02                  // seconds per thousand tokens before any sample
	initialSamples  = 4                     // weight of initialLevel, in samples
	baseMinTokens   = 100                   // minimum size of a prompt that is a sample at all
	baseGainDown    = 0.05                  // weight of a short prompt that was faster than the base
	baseGainUp      = 0.01                  // weight of one that was slower; lower, because the base is that of an idle backend
	initialBase     = 50 * time.Millisecond // estimate before any sample
	minBase         = time.Millisecond
	maxSampleFactor = 3.0 // samples are clipped at this multiple of the expected time
)

// prefillCurve is the learned time to the first token on an idle backend as a function of the number of prompt
// tokens: a fixed base, a linear part, and a quadratic part, since each token attends to all tokens before it. The
// time per token is then a linear function of the number of tokens, which is fitted by least squares with decaying
// weights.
type prefillCurve struct {
	base         time.Duration
	samples      int
	sx, sy       float64 // decayed means of x, thousands of tokens, and of y, seconds per thousand tokens
	sxx, sxy     float64 // decayed means of their products
	slope, level float64 // of the line: y = level + slope*x
}

func newPrefillCurve() prefillCurve {
	return prefillCurve{base: initialBase, samples: initialSamples, level: initialLevel, sx: 1, sy: initialLevel, sxx: 1, sxy: initialLevel}
}

// observe learns from the time to the first token of a prompt that its backend prefilled alone.
func (c *prefillCurve) observe(tokens float64, elapsed time.Duration) {
	switch {
	case tokens < baseMinTokens:
	case tokens < curveMinTokens:
		c.observeBase(elapsed - c.time(tokens))
	default:
		c.fit(tokens, min(elapsed, c.base+time.Duration(maxSampleFactor*float64(c.time(tokens)))))
	}
}

// observeBase updates the base with the time of a short prompt, less the time for its tokens.
func (c *prefillCurve) observeBase(elapsed time.Duration) {
	gain := baseGainDown
	if elapsed > c.base {
		gain, elapsed = baseGainUp, min(elapsed, time.Duration(maxSampleFactor*float64(c.base)))
	}
	c.base = max(minBase, c.base+time.Duration(gain*float64(elapsed-c.base)))
}

// fit adds a sample and refits the line.
func (c *prefillCurve) fit(tokens float64, elapsed time.Duration) {
	x := tokens / 1000
	y := (elapsed - c.base).Seconds() / x
	if y <= 0 {
		return
	}
	c.samples++
	gain := max(curveGain, 1/float64(c.samples))
	c.sx += gain * (x - c.sx)
	c.sy += gain * (y - c.sy)
	c.sxx += gain * (x*x - c.sxx)
	c.sxy += gain * (x*y - c.sxy)
	c.slope = 0
	if spread := c.sxx - c.sx*c.sx; spread > 0 {
		c.slope = max(0, (c.sxy-c.sx*c.sy)/(spread+1)) // the 1 avoids a spurious slope from prompts of nearly one size
	}
	c.level = max(0, c.sy-c.slope*c.sx)
}

// time returns the time that an idle backend takes to prefill the given number of tokens, beyond the base.
func (c *prefillCurve) time(tokens float64) time.Duration {
	x := tokens / 1000
	return time.Duration((c.level + c.slope*x) * x * float64(time.Second))
}
