package routing

import (
	"math"
	"slices"
	"time"
)

// Parameters of the expected loss. A loss is in units of the value of a request of its route's mean size.
const (
	prefillPenalty    = 4.0   // lost for each latency target of time spent on prefilling a prefix that is cached elsewhere
	stallPenalty      = 0.5   // lost for each stream beside a prompt whose prefill takes as long as the latency target
	stallThreshold    = 0.5   // fraction of the target for which a prefill may last before the streams beside it stall too long
	latenessThreshold = 0.9   // fraction of the target at which half of the responses are taken to be late
	latenessWidth     = 0.1   // fraction of the target by which true times scatter about the expected ones
	delayPenalty      = 0.05  // lost for each latency target of expected time, so that the sooner of two that are in time is picked
	minTargetSeconds  = 0.001 // below which a latency target is not taken at its word
)

// expectedLoss returns the one measure by which members are compared: what a request is expected to lose of its value at a
// member, as its first token is late or the attempt fails, and what others lose by it, as its prefix is prefilled once more or
// streams stall during its prefill. Cached are the tags of the members that have its prefix.
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
