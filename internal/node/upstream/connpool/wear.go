package connpool

import "math"

// wearBands is the number of idle time bands. The first is for new connections; each later one is twice as long as
// the one before.
const wearBands = 16

// Wear configures how the pool learns after which idle time connections turn out to be dead.
type Wear struct {
	Memory     float64 // milliseconds after which an observation has a weight of 1/e
	Quick      float64 // a connection that breaks within this many milliseconds of a request was most likely dead before
	Least      float64 // minimum number of breaks before a band is rejected
	Deviations float64 // standard deviations above the expected breaks at which a band is rejected
	Hold       float64 // milliseconds for which a band stays rejected at least
	Usual      float64 // fraction of requests that may break at any idle time
}

// wear learns after which idle time connections turn out to be dead: a backend, or a device on the path to it, may
// drop them long before the configured idle limit, and reveal that only when the next request is sent.
type wear struct {
	settle       float64            // idle time at which the second band begins, in milliseconds
	uses, breaks [wearBands]float64 // exponentially decaying counts
	faded        float64            // when the counts were last decayed
	limit        int                // the first band whose connections are not reused
	until        float64            // limit does not rise before this time
}

func newWear(settle float64) wear { return wear{settle: settle, limit: wearBands} }

// band returns the band of an idle time in milliseconds.
func (w *wear) band(idle float64) int {
	return min(1+max(0, int(math.Log2(max(idle, 1)/w.settle))), wearBands-1)
}

// fit reports whether a connection that was idle for this long may still be used.
func (w *wear) fit(idle float64) bool { return w.band(idle) < w.limit }

// note records whether a connection of this band broke when a request was sent on it, and updates limit.
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

// found returns the first band in which significantly more connections break than in the bands of shorter idle time,
// or wearBands if there is none.
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
