package routing

import "time"

// Parameters of the prefill curve.
const (
	curveGain       = 0.02                  // least fraction by which a sample moves the curve
	curveMinTokens  = 1000                  // from which on a prompt is a sample of the curve
	initialLevel    = 0.02                  // seconds a thousand tokens before any sample,
	initialSamples  = 4                     // which weighs as much as so many samples
	baseMinTokens   = 100                   // below which a prompt is no sample at all
	baseGainDown    = 0.05                  // fraction by which a short prompt that was faster than the base moves it
	baseGainUp      = 0.01                  // and one that was slower: the base is that of an idle backend
	initialBase     = 50 * time.Millisecond // before any sample
	minBase         = time.Millisecond
	maxSampleFactor = 3.0 // times the expected time that a sample counts as at most
)

// prefillCurve is the learned time to the first token at an idle backend, over the tokens of the prompt: a fixed base, a linear
// part, and a quadratic one, as each token attends to all before it. Time per token is then a line over the number of tokens,
// which is fitted by least squares with weights that decay.
type prefillCurve struct {
	base         time.Duration
	samples      int
	sx, sy       float64 // decayed means of x, thousands of tokens, and of y, seconds a thousand tokens
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

// observeBase moves the base towards the time of a short prompt, less that of its tokens.
func (c *prefillCurve) observeBase(elapsed time.Duration) {
	gain := baseGainDown
	if elapsed > c.base {
		gain, elapsed = baseGainUp, min(elapsed, time.Duration(maxSampleFactor*float64(c.base)))
	}
	c.base = max(minBase, c.base+time.Duration(gain*float64(elapsed-c.base)))
}

// fit adds a sample to the line.
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
		c.slope = max(0, (c.sxy-c.sx*c.sy)/(spread+1)) // the 1 keeps prompts of one size from giving any slope
	}
	c.level = max(0, c.sy-c.slope*c.sx)
}

// time returns how long an idle backend prefills so many tokens, beyond the base.
func (c *prefillCurve) time(tokens float64) time.Duration {
	x := tokens / 1000
	return time.Duration((c.level + c.slope*x) * x * float64(time.Second))
}
