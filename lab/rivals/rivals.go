// Package rivals holds policies that a user of a reverse proxy would otherwise pick, behind the events and actions of the
// decision module, so that all of them can be played on one world under the same rules.
//
// Each is written as its source describes it (named at its type) and runs in one shell with the companions that its users
// run it with: ejection of failing raters, a budget for retries, a cap on what one rater is sent at once, slow start. The
// shell keeps the rules: no repeat that the class does not allow, nothing to a rater that drains or is gone, nothing beyond
// a cold rater's share. What stands in [Usual] was chosen on seeds of its own, see docs/design/scale.md.
//
// [Bound] sees the true state of every rater, which no node can: it says what is within reach.
//
// The package is pure: no I/O, no goroutine, no lock, no clock; the same events and seed give the same actions. A policy
// holds a record for each rater that is listed and one for each request that is open.
package rivals

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Policy decides at one node. A [decide.Balancer] is one. Times are those of the node's clock.
type Policy interface {
	UpdateEndpoints(now time.Duration, kind decide.EndpointsKind, entries []decide.Backend)
	Request(now time.Duration, r decide.Request)
	Outcome(now time.Duration, o decide.Outcome)
	ClientGone(now time.Duration, id decide.RequestID)
	Timer(now time.Duration, token uint64)
	Probed(now time.Duration, o decide.Outcome)
}

// Place is where a policy decides.
type Place struct {
	Settings decide.Settings
	Seed     uint64
	Actions  decide.Actions
	Truth    Truth // for those that see more than a node can; nil elsewhere
}

// Maker makes the policy of one node.
type Maker func(Place) (Policy, error)

// Truth is the state of the world that no node can see.
type Truth interface {
	// Look gives the state of a rater now.
	Look(id decide.BackendID) Sight
	// Cost gives what a request that is open costs: ms of a yardstick core, and ms for which it waits for others.
	Cost(id decide.RequestID) (work, wait float64)
	// Beyond tells whether it is beyond its tenant's share.
	Beyond(id decide.RequestID) bool
}

// Sight is the true state of a rater. Work is in ms of a yardstick core.
type Sight struct {
	Able    float64 // work that it does in a millisecond if enough requests run; 0 = it is down, drains or stands still
	Core    float64 // and for one request alone
	Backlog float64 // work that it holds, running and waiting,
	Coming  float64 // and that is on its way to it
	Cold    bool
}

type named struct {
	name, about string
	make        Maker
}

func shelled(p func(*shell) picker) Maker {
	return func(at Place) (Policy, error) { return newShell(at, Usual, p) }
}

var all = []named{
	{"linenwheel", "the decision module", func(at Place) (Policy, error) {
		return decide.New(at.Settings, at.Seed, at.Actions)
	}},
	{"random", "a rater at random, by weight", shelled(newRandom)},
	{"robin", "round robin", shelled(newRobin)},
	{"weighted", "smooth weighted round robin (nginx)", shelled(newWeighted)},
	{"least", "least requests held, by weight (nginx least_conn)", shelled(newLeast)},
	{"two", "the one of two that holds least, by weight (nginx random two least_conn)", shelled(newTwo)},
	{"ewma", "the one of two of least peak-EWMA latency times requests held (Finagle)", shelled(newEWMA)},
	{"prequal", "probes that tell requests held and latency, hot-cold rule (Prequal); raters must report",
		shelled(newPrequal)},
	{"bound", "sees the true state of every rater; refuses first what is worth least",
		newBound(sees{refuses: true, tiers: true, least: 0.1, power: 1})},
	{"bound-soft", "the same, less strict with what is worth little",
		newBound(sees{refuses: true, tiers: true, least: 0.2, power: 0.5})},
	{"bound-aim", "the same, refusing only what would be late", newBound(sees{refuses: true})},
	{"bound-open", "the same, refusing nothing", newBound(sees{})},
	{"bound-told", "as bound, and sees which requests are beyond their tenant's share",
		newBound(sees{refuses: true, tiers: true, least: 0.1, power: 1, beyond: true})},
}

// Names lists the policies.
func Names() (names []string) {
	for _, p := range all {
		names = append(names, p.name)
	}
	return names
}

// About is a line about a policy.
func About(name string) string {
	if i := slices.IndexFunc(all, func(p named) bool { return p.name == name }); i >= 0 {
		return all[i].about
	}
	return ""
}

// ByName finds a policy.
func ByName(name string) (Maker, error) {
	if i := slices.IndexFunc(all, func(p named) bool { return p.name == name }); i >= 0 {
		return all[i].make, nil
	}
	return nil, fmt.Errorf("no policy %q: there are %s", name, strings.Join(Names(), ", "))
}
