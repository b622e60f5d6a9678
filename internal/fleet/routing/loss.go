package routing

import (
	"math"
	"slices"
	"time"
)

// Parameters of the expected loss. A loss is in units of the value of a request of its route's mean size.
const (
	prefillPenalty    = 4.0   // loss per latency target of time spent on prefilling a prefix that is cached elsewhere
	stallPenalty      = 0.5   // loss per stream concurrent with a prefill, per latency target of prefill time above stallThreshold
	stallThreshold    = 0.5   // fraction of the target that a prefill may take before concurrent streams stall too long
	latenessThreshold = 0.9   // expected time, as a fraction of the target, at which half of the responses are assumed to be late
	latenessWidth     = 0.1   // spread of actual times around the expected one, as a fraction of the target
	delayPenalty      = 0.05  // loss per latency target of expected time, to prefer the faster of two backends that are in time
	minTargetSeconds  = 0.001 // lower bound of the latency target
)

// expectedLoss returns the measure by which members are compared: the expected loss of a request's own value at a
// member, because its first token is late or the attempt fails, plus the loss of other requests, because its
// prefix is prefilled once more or streams stall during its prefill. cached holds the tags of the members that
// have its prefix.
func (b *Balancer) expectedLoss(now time.Duration, request *Request, m *member, cached []uint32) float64 {
	target := max(request.Target.Seconds(), minTargetSeconds)
	load := b.loads.backend(m.tag)
	tokens, prefixLoss := request.OwnTokens, 0.0
	if !slices.Contains(cached, m.tag) {
		tokens += request.SharedTokens
		prefixLoss = prefillPenalty * b.loads.prefill.time(request.SharedTokens).Seconds() / target
	}
	expected := b.expectedFirstToken(now, m, tokens).Seconds() / target
	lateness := 1 / (1 + math.Exp((latenessThreshold-expected)/latenessWidth))
	risk := b.loads.failureRate(now, load)
	if request.Long {
		risk = max(risk, b.loads.stallRate(now, load))
	}
	prefill := b.loads.slowdown(now, load) * b.loads.prefill.time(tokens).Seconds() / target
	stallLoss := stallPenalty * float64(len(load.decoding)) * max(0, prefill-stallThreshold)
	return b.promptSizes.value(request)*(1-(1-lateness)*(1-risk)+delayPenalty*expected) + prefixLoss + stallLoss
}
