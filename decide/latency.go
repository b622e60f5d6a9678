package decide

import (
	"math"
	"time"
)

const (
	dropFactor          = 5.0             // multiple of the idle latency above which a response counts as dropped (from the paper)
	priorRise           = 0.5             // rise of an unmeasured curve from no load to the fair load, in idle latencies
	priorSamples        = 8.0             // a backend's own samples that weigh as much as the prior from its kind
	priorInFlight       = 4.0             // attempts in flight per size, at least, over which an unmeasured curve has that rise
	extrapolationReach  = 4.0             // multiple of the usual number in flight at which latency at least doubles
	idleBatchSize       = 4               // samples in a batch whose mean may set a kind's idle latency
	idleRisePerSecond   = 0.02            // rate at which an idle latency rises until it is measured again
	kindDecay           = 3 * time.Second // time constant of a kind's samples
	backendDecay        = 8 * time.Second // time constant of a backend's own samples, which are less frequent
	driftThreshold      = 0.2             // deviation of recent samples from their kind's curve that refits it faster (from the paper)
	minDriftSamples     = 8.0             // recent samples required for that
	driftKeepWeight     = 0.25            // weight that older samples keep in that case
	maxBackendSamples   = 16.0            // number of a backend's own samples above which older ones decay faster
	sampleClip          = 3.0             // samples are clipped at this multiple of the expected latency
	latencyPerReported  = 0.5             // idle latencies added by each reported request per core
	reportKindWeight    = 0.1             // weight of a load report in its kind's curve, in samples
	reportBackendWeight = 8.0             // weight of a load report in its backend's slowdown, in samples
	reportLifetime      = 2 * time.Second // age up to which a load report is used
)

// sampleSums holds decaying sums over samples of latency at a load, for a curve latency = idle + coeff * load^2.
type sampleSums struct {
	count       float64
	latency     float64 // seconds
	loadSquared float64
}

func (f *sampleSums) add(g sampleSums) {
	f.count, f.latency, f.loadSquared = f.count+g.count, f.latency+g.latency, f.loadSquared+g.loadSquared
}

func (f *sampleSums) decay(keep float64) {
	f.count, f.latency, f.loadSquared = f.count*keep, f.latency*keep, f.loadSquared*keep
}

// latencyWith returns the kind's learned latency, in seconds, at a number of attempts in flight per size.
func (m *kindModel) latencyWith(inFlight float64) float64 {
	return m.idleLatency + m.inFlightCoeff*inFlight*inFlight
}

// addSample records an attempt's latency, in seconds, with the number in flight at its backend, per size.
func (m *kindModel) addSample(inFlight, latency float64) {
	if m.measured {
		latency = min(latency, sampleClip*m.latencyWith(inFlight))
	}
	m.recentSums.add(sampleSums{1, latency, inFlight * inFlight})
	m.idleBatchSum += latency
	if m.idleBatchCount++; m.idleBatchCount == idleBatchSize {
		if mean := m.idleBatchSum / idleBatchSize; mean < m.idleLatency || !m.measured {
			m.idleLatency, m.measured = mean, true
		}
		m.idleBatchSum, m.idleBatchCount = 0, 0
	}
}

// latencyWith returns the learned latency, in seconds, of a backend with a number of this node's attempts in flight.
func (s *backendState) latencyWith(attempts float64) float64 {
	return s.slowdown * s.model.latencyWith(s.estimatedInFlight(attempts))
}

// estimatedInFlight returns the estimated number of all nodes' attempts at a backend, per size, given this node's
// number.
func (s *backendState) estimatedInFlight(attempts float64) float64 {
	return attempts*s.attemptScale/s.size + s.othersInFlight
}

// latencyAtLoad returns the learned latency, in seconds, at a load in units per second per size: the curve of the
// kind, scaled by the backend's slowdown. By Little's law a load u keeps u times its latency in flight; loadCoeff is
// chosen so that both curves reach twice the idle latency at the same load.
func (s *backendState) latencyAtLoad(load float64) float64 {
	slowdown := s.slowdown
	return slowdown*s.model.idleLatency + s.model.loadCoeff*slowdown*slowdown*slowdown*load*load
}

// loadAtLatency returns the load, in units per second per size, at which the curve reaches a latency in seconds.
func (s *backendState) loadAtLatency(latency float64) float64 {
	slowdown := s.slowdown
	headroom := latency - slowdown*s.model.idleLatency
	return math.Sqrt(max(0, headroom) / (s.model.loadCoeff*slowdown*slowdown*slowdown + 1e-12))
}

// recordLatency adds the latency of an attempt, in seconds per unit, to the curves of its backend and kind. It may
// be called again with a higher latency while the attempt is open; only the difference is added then.
func (b *Balancer) recordLatency(s *backendState, a *attempt, latency float64) {
	model, expected := s.model, s.model.latencyWith(a.inFlight)
	if a.recordedLatency == 0 {
		model.addSample(a.inFlight, latency)
		s.sampleCount, s.expectedSum = s.sampleCount+1, s.expectedSum+expected
	}
	latency = min(latency, 2*dropFactor*expected)
	s.latencySum += max(0, latency-a.recordedLatency)
	a.recordedLatency = max(latency, a.recordedLatency)
}

// applyLoadReport records the first usable value of a load report that came with a response.
func (b *Balancer) applyLoadReport(s *backendState, l *Load) {
	for _, field := range [...]ReportField{ReportInFlight, ReportQueue} {
		if l.Has>>field&1 != 0 {
			b.recordReport(s, l.Values[field])
			return
		}
	}
}

// recordReport records how many requests a backend reports as in flight, in the endpoint list or a load report. The
// implied latency counts as several samples while fresh. Unlike measured latencies, it shows the load of all nodes.
func (b *Balancer) recordReport(s *backendState, reported float64) {
	model := s.model
	s.reportedLatency, s.reportedAt = model.idleLatency*(1+latencyPerReported*reported/s.size), b.now
	inFlight := s.estimatedInFlight(float64(s.inFlight))
	latency := min(s.reportedLatency, sampleClip*model.latencyWith(inFlight))
	model.recentSums.add(sampleSums{reportKindWeight, reportKindWeight * latency, reportKindWeight * inFlight * inFlight})
}

// updateClassWork estimates the mean work of each class, so that the curves do not depend on the mix of classes.
func (b *Balancer) updateClassWork(keep float64) {
	count, latency := 0.0, 0.0
	for _, c := range b.classes {
		count, latency = count+c.sampleCount, latency+c.latencySum
	}
	for i := range b.classes {
		c := &b.classes[i]
		if c.sampleCount >= idleBatchSize/2 {
			c.work = (c.latencySum / c.sampleCount) / (latency / count)
		}
		c.sampleCount, c.latencySum = c.sampleCount*keep, c.latencySum*keep
	}
}

// refitCurves decays old samples and fits the curves. A rise of latency at most backends moves the curve of their
// kind, since each backend's samples are clipped; a rise at one backend alone changes only its slowdown.
func (b *Balancer) refitCurves(elapsed, keep float64) {
	fair := b.fairLoad()
	for _, s := range b.backends {
		s.updateSlowdown(b.now)
		weight := keep
		if s.sampleCount > maxBackendSamples {
			weight = min(weight, maxBackendSamples/s.sampleCount)
		}
		s.latencySum, s.expectedSum, s.sampleCount = s.latencySum*weight, s.expectedSum*weight, s.sampleCount*weight
		s.responses, s.failures, s.timeouts = s.responses*keep, s.failures*keep, s.timeouts*keep
	}
	for i := range b.kindModels {
		model, twin := &b.kindModels[i], &b.kindModels[i^1] // the idle latency is nearly the same in this zone and in others
		if twin.measured && (!model.measured || twin.idleLatency < model.idleLatency) {
			model.idleLatency, model.measured = twin.idleLatency, true
		}
		model.refit(elapsed/b.timeScale, fair, b.nodesPerBackend)
	}
}

// refit fits a kind's curve; nodes is the number of nodes that send to one backend on average. If recent samples
// deviate from the curve, older ones lose most of their weight.
func (m *kindModel) refit(elapsed, fair, nodes float64) {
	keep := math.Exp(-elapsed / kindDecay.Seconds())
	if recent := &m.recentSums; recent.count >= minDriftSamples && math.Abs(recent.latency/(recent.count*m.idleLatency+m.inFlightCoeff*recent.loadSquared)-1) > driftThreshold {
		keep = driftKeepWeight
	}
	m.sums.decay(keep)
	m.sums.add(m.recentSums)
	m.recentSums = sampleSums{}
	typical := max(fair*nodes*m.idleLatency, priorInFlight)
	m.inFlightCoeff = (max(0, m.sums.latency-m.sums.count*m.idleLatency) + priorRise*priorSamples*m.idleLatency) / (m.sums.loadSquared + priorSamples*typical*typical)
	meanSquare := (m.sums.loadSquared + priorSamples*typical*typical) / (m.sums.count + priorSamples) // no rise so far says little about much higher loads
	m.inFlightCoeff = max(m.inFlightCoeff, m.idleLatency/(extrapolationReach*extrapolationReach*meanSquare))
	m.loadCoeff = 4 * m.inFlightCoeff * m.idleLatency * m.idleLatency * nodes * nodes // relative to this node's own load, a fraction of the total
	m.idleLatency *= 1 + idleRisePerSecond*elapsed
}

// updateSlowdown sets a backend's slowdown relative to its kind, from its own samples, its load report and the
// prior.
func (s *backendState) updateSlowdown(now time.Duration) {
	count, latency, expected := s.sampleCount, s.latencySum, s.expectedSum
	if now-s.reportedAt < reportLifetime && s.reportedAt > 0 {
		modelled := s.model.latencyWith(s.estimatedInFlight(float64(s.inFlight)))
		count, latency, expected = count+reportBackendWeight, latency+reportBackendWeight*s.reportedLatency, expected+reportBackendWeight*modelled
	}
	if count < 0.01 || expected <= 0 {
		s.slowdown = 1
		return
	}
	mean := expected / count
	s.slowdown = (latency + priorSamples*mean) / (expected + priorSamples*mean)
}
