// Package removalguard limits how many hosts of a fleet may depart at once. A host departs when it was serving and
// a new version of the list makes it drain, removes it or moves it to another address. The owner of the list calls
// Evaluate before it applies a version, and afterwards records the departures and returns that it has applied.
//
// The package is pure: no I/O, no goroutine, no lock, no clock. Times are in milliseconds. State: the names of the
// hosts that have departed within the window and have not returned, at most maxNames; beyond that the oldest are
// forgotten.
package removalguard

import (
	"fmt"
	"math"
)

// maxNames bounds the number of departed hosts that are remembered.
const maxNames = 1 << 16

// Settings limit departures.
type Settings struct {
	Share  float64 // part of the serving hosts that may depart in one version, or within Window; above 0, 1 = all
	Window float64 // milliseconds
	Floor  int     // number of serving hosts that a version must leave, unless it is confirmed
}

// Check returns an error that names the first invalid setting.
func (s Settings) Check() error {
	switch {
	case !(s.Share > 0 && s.Share <= 1):
		return fmt.Errorf("guard: share %v is not above 0 and up to 1", s.Share)
	case !(s.Window >= 0):
		return fmt.Errorf("guard: window %v is below 0", s.Window)
	case s.Floor < 0:
		return fmt.Errorf("guard: floor %d is below 0", s.Floor)
	}
	return nil
}

// Verdict is the decision on a version.
type Verdict uint8

// The verdicts.
const (
	Accept     Verdict = iota // apply the version now
	Reread                    // hold the departures until the list has been read again
	BelowFloor                // too few hosts would serve: hold the departures until the writer of the list confirms them
)

// String returns the name of a verdict.
func (v Verdict) String() string { return [...]string{"take", "look", "floor"}[v] }

// Change counts what a version would do to the serving hosts.
type Change struct {
	Serving int // serving hosts before the version
	Drains  int // hosts that drain at their present address
	Leaves  int // hosts that leave the list or move
	Arrives int // hosts that start to serve, including moved ones
}

// Guard remembers recent departures.
type Guard struct {
	set      Settings
	departed map[string]departure // the last departure of each host that has not returned
	moved    int                  // how many of these serve at another address
	log      []departure          // all departures in order of time
	oldest   int                  // index in log of the oldest departure that still counts
}

type departure struct {
	name  string
	at    float64
	moved bool
}

// New returns a guard without departures.
func New(set Settings) (*Guard, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Guard{set: set, departed: map[string]departure{}}, nil
}

// Set replaces the settings; they must pass Check.
func (g *Guard) Set(set Settings) { g.set = set }

// Evaluate decides on a version. A version that only drains a single host is always accepted, whatever departed
// before: such a drain was requested for this one host, and a draining host rejects new requests. It needs no free
// share of the window but does use it up.
func (g *Guard) Evaluate(now float64, c Change) Verdict {
	departing := c.Drains + c.Leaves
	if departing == 0 || departing == 1 && c.Drains == 1 {
		return Accept
	}
	if c.Serving-departing+c.Arrives < g.set.Floor {
		return BelowFloor
	}
	used := g.Departed(now)
	// The small term compensates for rounding, so that half of eight is four; and one host may always leave.
	allowed := max(1, math.Floor(g.set.Share*float64(g.Base(now, c.Serving))+1e-9))
	if float64(used+departing) <= allowed {
		return Accept
	}
	return Reread
}

// Base returns the number of hosts that serve or have served within the window; Share applies to it.
func (g *Guard) Base(now float64, serving int) int { return serving + g.Departed(now) - g.moved }

// Departed returns how many hosts have departed within the window and have not returned.
func (g *Guard) Departed(now float64) int {
	for g.oldest < len(g.log) && (g.log[g.oldest].at < now-g.set.Window || len(g.departed) > maxNames) {
		g.forgetOldest()
	}
	return len(g.departed)
}

// forgetOldest drops the oldest departure from the log, and the host with it unless it has departed again since.
func (g *Guard) forgetOldest() {
	d := g.log[g.oldest]
	g.oldest++
	if g.departed[d.name] == d {
		g.RecordReturn(d.name)
	}
	if g.oldest > 64 && g.oldest > len(g.log)/2 {
		g.log = append([]departure(nil), g.log[g.oldest:]...)
		g.oldest = 0
	}
}

// RecordDeparture records a host whose departure was applied. A host that has moved still serves.
func (g *Guard) RecordDeparture(now float64, name string, moved bool) {
	g.RecordReturn(name)
	d := departure{name, now, moved}
	g.departed[name] = d
	if moved {
		g.moved++
	}
	g.log = append(g.log, d)
	for len(g.log)-g.oldest > 2*maxNames {
		g.forgetOldest()
	}
}

// RecordReturn records that a host serves again.
func (g *Guard) RecordReturn(name string) {
	if g.departed[name].moved {
		g.moved--
	}
	delete(g.departed, name)
}
