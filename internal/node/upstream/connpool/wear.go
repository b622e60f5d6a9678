package connpool

import "math"

// wearBands are of idle time, each twice as long as the one before; the first is that of new connections.
const wearBands = 16

// Wear is how it is learnt after which idle time connections turn out to be dead.
type Wear struct {
	Memory     float64 // milliseconds after which what was seen weighs 1/e
	Quick      float64 // a connection that breaks within so many of a request was most likely dead before
	Least      float64 // breaks that tell anything
	Deviations float64 // above the usual at which a band is given up,
	Hold       float64 // for so many milliseconds
	Usual      float64 // part of requests that may break at any age
}

// wear learns after which idle time connections turn out to be dead: a host, or what stands between, may drop them
// long before the time that the settings name, and say so only to the next request.
type wear struct {
	settle       float64            // where the second band begins, milliseconds
	uses, breaks [wearBands]float64 // fading counts
	faded        float64
	limit        int     // the first band that is no longer used
	until        float64 // before then it does not rise
}

func newWear(settle float64) wear { return wear{settle: settle, limit: wearBands} }

// band places a connection by its idle time.
func (w *wear) band(idle float64) int {
	return min(1+max(0, int(math.Log2(max(idle, 1)/w.settle))), wearBands-1)
}

// fit tells whether a connection that was idle for a time is still to be used.
func (w *wear) fit(idle float64) bool { return w.band(idle) < w.limit }

// note takes how a connection of a band did that was given a request.
func (w *wear) note(now float64, set *Wear, band int, broke bool) {
	keep := math.Exp(-max(0, now-w.faded) / set.Memory)
	w.faded = now
	for i := range w.uses {
		w.uses[i] *= keep
		w.breaks[i] *= keep
	}
	w.uses[band]++
	if broke {
		w.breaks[band]++
	}
	found := w.found(set)
	switch {
	case found < w.limit:
		w.limit, w.until = found, now+set.Hold
	case now >= w.until:
		w.limit = found
	}
}

// found is the first band in which more break than in the younger ones.
func (w *wear) found(set *Wear) int {
	uses, breaks := w.uses[0]+1, w.breaks[0]
	for i := 1; i < wearBands; i++ {
		usual := w.uses[i] * max(breaks/uses, set.Usual)
		if w.breaks[i] >= set.Least && w.breaks[i] > usual+set.Deviations*math.Sqrt(usual) {
			return i
		}
		uses, breaks = uses+w.uses[i], breaks+w.breaks[i]
	}
	return wearBands
}
