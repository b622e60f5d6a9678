package load

// Pacer decides how to wait for the next request: asleep, and for the last stretch awake, since sleep ends late by what
// the machine takes to wake a thread. It learns that from the sleeps of its worker.
type Pacer struct {
	// Spin is the longest time to stay awake before a request, in milliseconds; 0 never does.
	Spin float64
	late float64
}

// lateKept is how much of the longest overrun is left after one more sleep: about 100 sleeps forget a hiccup.
const lateKept = 0.97

// Sleep is how long to sleep at most when the next request is due in so many milliseconds; 0 means to look again at
// once.
func (p *Pacer) Sleep(gap float64) float64 {
	gap -= min(p.Spin, p.late)
	if gap < leastSleep {
		if p.Spin > 0 {
			return 0
		}
		return max(gap, 0)
	}
	return gap
}

// leastSleep is what a system call that sleeps costs at least: below, staying awake is as good.
const leastSleep = 0.005

// Slept tells that a sleep took longer than asked by so much. Sleeps that an event cut short are not told.
func (p *Pacer) Slept(over float64) {
	p.late = max(over, p.late*lateKept)
}
