package routing

import "time"

// The figures of learning how fast raters read.
const (
	curveGain       = 0.02                  // part by which an answer moves the learned curve
	curveMinTokens  = 1000                  // tokens from which on a prompt tells of the curve
	initialLevel    = 0.02                  // seconds a thousand tokens before any answer,
	initialAnswers  = 4                     // which count as so many answers
	baseGainDown    = 0.05                  // part by which a faster and
	baseGainUp      = 0.01                  // a slower answer to a short prompt moves the learned base: it is that of an idle rater
	baseMinTokens   = 100                   // tokens below which a request is no prompt to speak of
	initialBase     = 50 * time.Millisecond // before any short prompt was answered
	minBase         = time.Millisecond
	maxSampleFactor = 3.0 // times the expected time that an answer may count as
)

// prefillCurve is the learned time that an idle rater needs to the first token: a fixed part, a part for each token, and one
// that grows with the square, as each token is weighed against all before it. Time a token over the number of tokens is a
// line, which is fitted with weights that fade.
type prefillCurve struct {
	base         time.Duration
	answers      int
	sx, sy       float64 // means of tokens, in thousands, and of seconds a thousand tokens
	sxx, sxy     float64
	slope, level float64
}

func newPrefillCurve() prefillCurve {
	return prefillCurve{base: initialBase, answers: initialAnswers, level: initialLevel, sx: 1, sy: initialLevel, sxx: 1, sxy: initialLevel}
}

// observe takes the time to the first token of a prompt that its rater read alone.
func (c *prefillCurve) observe(tokens float64, took time.Duration) {
	switch {
	case tokens < baseMinTokens:
	case tokens < curveMinTokens:
		c.observeBase(took - c.time(tokens))
	default:
		c.fit(tokens, min(took, c.base+time.Duration(maxSampleFactor*float64(c.time(tokens)))))
	}
}

func (c *prefillCurve) observeBase(took time.Duration) {
	gain := baseGainDown
	if took > c.base {
		gain, took = baseGainUp, min(took, time.Duration(maxSampleFactor*float64(c.base)))
	}
	c.base = max(minBase, c.base+time.Duration(gain*float64(took-c.base)))
}

func (c *prefillCurve) fit(tokens float64, took time.Duration) {
	x := tokens / 1000
	y := (took - c.base).Seconds() / x
	if y <= 0 {
		return
	}
	c.answers++
	gain := max(curveGain, 1/float64(c.answers))
	c.sx += gain * (x - c.sx)
	c.sy += gain * (y - c.sy)
	c.sxx += gain * (x*x - c.sxx)
	c.sxy += gain * (x*y - c.sxy)
	c.slope = 0
	if spread := c.sxx - c.sx*c.sx; spread > 0 {
		c.slope = max(0, (c.sxy-c.sx*c.sy)/(spread+1))
	}
	c.level = max(0, c.sy-c.slope*c.sx)
}

// time is how long an idle rater reads so many tokens, beyond the base.
func (c *prefillCurve) time(tokens float64) time.Duration {
	x := tokens / 1000
	return time.Duration((c.level + c.slope*x) * x * float64(time.Second))
}
