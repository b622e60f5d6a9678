// Package removalguard decides how much of a fleet may depart at once. A host departs when it served and is to drain, to leave
// or to move to another address. Whoever keeps the list asks before it takes a version and tells what it took.
//
// The package is pure: no I/O, no goroutine, no lock, no clock. Time is in milliseconds. State: the names of the hosts
// that have departed within the window and are not back, maxNames at the most; beyond that the oldest are forgotten.
package removalguard

import (
	"fmt"
	"math"
)

// maxNames bounds what is remembered of a window.
const maxNames = 1 << 16

// Settings say what may depart.
type Settings struct {
	Share  float64 // of the serving hosts that may depart in one version, or within Window; above 0, 1 = all
	Window float64 // milliseconds
	Floor  int     // serving hosts that a version must leave, unless it is confirmed
}

// Check names the setting that cannot work.
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

// Verdict is what becomes of a version.
type Verdict uint8

// The verdicts.
const (
	Accept     Verdict = iota // it holds at once
	Reread                    // it asks for a second look
	BelowFloor                // too few would serve: only who wrote it can confirm it
)

// String names a verdict.
func (v Verdict) String() string { return [...]string{"take", "look", "floor"}[v] }

// Change is what a version would do to the hosts that serve.
type Change struct {
	Serving int // that serve before it
	Drains  int // that are told to drain where they are
	Leaves  int // that leave or move
	Arrives int // that did not serve and will, moved ones among them
}

// Guard remembers who departed.
type Guard struct {
	set    Settings
	gone   map[string]departure // the last one of each host that is not back
	moved  int                  // of them, those that serve, elsewhere
	order  []departure          // all, in order of time
	oldest int                  // the place in order from which on it counts
}

type departure struct {
	name  string
	at    float64
	moved bool
}

// New makes a guard that remembers nobody.
func New(set Settings) (*Guard, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Guard{set: set, gone: map[string]departure{}}, nil
}

// Set changes the settings from now on; they must pass Check.
func (g *Guard) Set(set Settings) { g.set = set }

// Evaluate tells what becomes of a version. One that drains a single host, and does no more, is taken whatever was before:
// somebody wrote that down for this host, and a host that drains turns work away. It needs no room in the window, but
// takes some.
func (g *Guard) Evaluate(now float64, c Change) Verdict {
	departs := c.Drains + c.Leaves
	if departs == 0 || departs == 1 && c.Drains == 1 {
		return Accept
	}
	if c.Serving-departs+c.Arrives < g.set.Floor {
		return BelowFloor
	}
	used := g.Departed(now)
	// A tiny part is allowed for, so that half of eight is four whatever the arithmetic; and one may always leave.
	allowed := max(1, math.Floor(g.set.Share*float64(g.Base(now, c.Serving))+1e-9))
	if float64(used+departs) <= allowed {
		return Accept
	}
	return Reread
}

// Base is how many hosts serve or have within the window, of which Share may depart.
func (g *Guard) Base(now float64, serving int) int { return serving + g.Departed(now) - g.moved }

// Departed is how many have departed within the window and are not back.
func (g *Guard) Departed(now float64) int {
	for g.oldest < len(g.order) && (g.order[g.oldest].at < now-g.set.Window || len(g.gone) > maxNames) {
		g.forget()
	}
	return len(g.gone)
}

// forget drops the oldest departure, if the host has not departed again since.
func (g *Guard) forget() {
	d := g.order[g.oldest]
	g.oldest++
	if g.gone[d.name] == d {
		g.RecordReturn(d.name)
	}
	if g.oldest > 64 && g.oldest > len(g.order)/2 {
		g.order = append([]departure(nil), g.order[g.oldest:]...)
		g.oldest = 0
	}
}

// RecordDeparture notes a host whose departure was taken. One that has moved serves all the same.
func (g *Guard) RecordDeparture(now float64, name string, moved bool) {
	g.RecordReturn(name)
	d := departure{name, now, moved}
	g.gone[name] = d
	if moved {
		g.moved++
	}
	g.order = append(g.order, d)
	for len(g.order)-g.oldest > 2*maxNames {
		g.forget()
	}
}

// RecordReturn notes a host that serves again.
func (g *Guard) RecordReturn(name string) {
	if g.gone[name].moved {
		g.moved--
	}
	delete(g.gone, name)
}
