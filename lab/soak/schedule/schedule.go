// Package schedule draws from a seed what a soak plays: the deployment, the clients, and a schedule of troubles and of orders. It
// is pure: the same seed and length give the same plan.
//
// A plan stays within what the pages promise to bear. Any number of processes may be killed, frozen or restarted at the same time,
// but no more disks are lost in a play than FaultTolerance allows.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/behaviour"
)

// Kind is a kind of trouble.
type Kind string

// The kinds of troubles.
const (
	KillData      Kind = "kill a data process"
	TermData      Kind = "stop a data process"
	FreezeData    Kind = "freeze a data process"
	ReloadData    Kind = "reload a data process"
	RollData      Kind = "restart all data processes one by one"
	KillControl   Kind = "kill a control process"
	TermControl   Kind = "stop a control process"
	FreezeControl Kind = "freeze a control process"
	ReloadControl Kind = "reload a control process"
	WipeControl   Kind = "kill a control process and empty its disk"
	KillAll       Kind = "kill all control and data processes"
	KillRater     Kind = "kill a rater"
	DrainRater    Kind = "drain a rater"
	DeleteRater   Kind = "deregister a rater that serves on"
	FreezeRater   Kind = "freeze a rater"
	KillRaters    Kind = "kill half of the raters"
	DelayLink     Kind = "delay a rater's link"
	CutLink       Kind = "cut a rater's link"
	ResetLink     Kind = "reset a rater's connections"
)

// weightedKind is a kind that is drawn as often as its weight says.
type weightedKind struct {
	kind   Kind
	weight int
}

// plannedWork are the kinds that the pages call planned work, and raters that leave.
var plannedWork = []weightedKind{{TermData, 6}, {ReloadData, 3}, {RollData, 1}, {TermControl, 2}, {ReloadControl, 1}, {DrainRater, 2}}

// kinds are the kinds that are drawn, each with its weight.
var kinds = []weightedKind{{KillData, 6}, {TermData, 6}, {FreezeData, 6}, {ReloadData, 4}, {RollData, 2}, {KillControl, 6}, {TermControl, 4}, {FreezeControl, 6},
	{ReloadControl, 2}, {WipeControl, 2}, {KillAll, 1}, {KillRater, 8}, {DrainRater, 5}, {DeleteRater, 4}, {FreezeRater, 4}, {KillRaters, 1},
	{DelayLink, 3}, {CutLink, 3}, {ResetLink, 4}}

// Kinds returns all kinds of troubles.
func Kinds() []Kind {
	all := make([]Kind, 0, len(kinds))
	for _, one := range kinds {
		all = append(all, one.kind)
	}
	return all
}

// Trouble is one trouble of a plan.
type Trouble struct {
	At     time.Duration // after the begin of the play
	Kind   Kind
	Target int           // number of the process, modulo how many there are
	For    time.Duration // how long it lasts, where it lasts
}

// String returns the trouble as it is reported.
func (t Trouble) String() string {
	return fmt.Sprintf("%.1fs %s (%d, %.1fs)", t.At.Seconds(), t.Kind, t.Target, t.For.Seconds())
}

// Order is one step of an operator.
type Order struct {
	At        time.Duration
	Behaviour behaviour.Name
	Seed      uint64 // of what is drawn for it
}

// Plan is what a soak plays for one seed.
type Plan struct {
	Seed     uint64
	For      time.Duration // with troubles; the play ends some seconds later
	Zones    int
	Control  int
	Data     int
	Raters   int
	Tenants  int // 0 = a deployment without keys
	Routes   int // beside one of each type
	Clients  int
	Disturb  bool // raters show behaviours of their own
	Upgrade  bool // processes are started from two builds in turn, where there are two
	Troubles []Trouble
	Orders   []Order
}

// Sizes of plans.
const (
	largeOneIn    = 8  // plans that have many processes
	calmOneIn     = 10 // plans with few troubles, in which bounds of time can be judged
	plannedOneIn  = 5  // plans with planned work alone, beside which no request may be lost
	largeData     = 24
	largeRaters   = 48
	troublePause  = 900 * time.Millisecond // between two troubles of a series, on average
	orderPause    = 350 * time.Millisecond // between two orders, on average
	calmPause     = 6 * time.Second        // between two troubles or orders of a calm plan
	longestFreeze = 2500 * time.Millisecond
	stormOrders   = 20
	stormPause    = 10 * time.Millisecond
)

// Draw returns the plan of a seed.
func Draw(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0x50a7))
	p := Plan{Seed: seed, For: length, Zones: 2 + random.IntN(4), Control: 3, Data: 2 + random.IntN(5), Raters: 6 + random.IntN(10),
		Tenants: 1 + random.IntN(40), Routes: 2 + random.IntN(6), Disturb: true, Upgrade: random.IntN(2) == 0}
	if random.IntN(3) == 0 {
		p.Control = 5
	}
	if random.IntN(3) == 0 {
		p.Tenants = 1 // its removal is that of the last one
	}
	if random.IntN(largeOneIn) == 0 {
		p.Data, p.Raters, p.Control = largeData, largeRaters, 5
	}
	p.Clients = 48 + 8*p.Data
	series, pause, orders := 2+random.IntN(2), troublePause, orderPause
	drawn := kinds
	switch {
	case random.IntN(calmOneIn) == 0:
		series, pause, orders = 1, calmPause, calmPause
	case random.IntN(plannedOneIn) == 0:
		drawn = plannedWork
	}
	for range series {
		p.addSeries(random, pause, drawn)
	}
	p.addOrders(random, orders)
	slices.SortStableFunc(p.Troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.Orders, func(a, b Order) int { return int(a.At - b.At) })
	return p
}

// between returns a time that is drawn about an average.
func between(random *rand.Rand, average time.Duration) time.Duration {
	return time.Duration((0.3 + 1.4*random.Float64()) * float64(average))
}

// addSeries adds troubles one after the other. Those of other series overlap them.
func (p *Plan) addSeries(random *rand.Rand, pause time.Duration, drawn []weightedKind) {
	for at := between(random, pause); at < p.For; at += between(random, pause) {
		trouble := Trouble{At: at, Kind: drawKind(random, drawn), Target: random.IntN(1 << 10), For: time.Duration(random.Int64N(int64(longestFreeze)))}
		if trouble.Kind == WipeControl && p.wipes() >= (p.Control-1)/2 {
			trouble.Kind = KillControl
		}
		p.Troubles = append(p.Troubles, trouble)
	}
}

// wipes returns how many disks are lost.
func (p *Plan) wipes() int {
	count := 0
	for _, trouble := range p.Troubles {
		if trouble.Kind == WipeControl {
			count++
		}
	}
	return count
}

// drawKind draws one of several kinds by their weights.
func drawKind(random *rand.Rand, among []weightedKind) Kind {
	sum := 0
	for _, one := range among {
		sum += one.weight
	}
	drawn := random.IntN(sum)
	for _, one := range among {
		if drawn -= one.weight; drawn < 0 {
			return one.kind
		}
	}
	return KillRater // not reached: the weights sum to sum
}

// orderKinds are the behaviours of operators that are drawn.
var orderKinds = []behaviour.Name{behaviour.AddsRoute, behaviour.AddsRoute, behaviour.AltersRoute, behaviour.SplitsRoute, behaviour.RemovesRoute,
	behaviour.AddsKey, behaviour.RemovesKey, behaviour.RemovesTenant, behaviour.RemovesLast, behaviour.PutsBack, behaviour.PutsBack,
	behaviour.LowersLimit, behaviour.WholeDocument, behaviour.SendsAgain, behaviour.TwoAtOnce, behaviour.StaleBase, behaviour.SendsInvalid,
	behaviour.SendsInvalid, behaviour.Storm, behaviour.ReadsBack, behaviour.ReadsBack, behaviour.ChangesLimits, behaviour.RemovesService}

// absences are how long a tenant that was removed stays away: less and more than the time in which its keys end.
var absences = []time.Duration{800 * time.Millisecond, 7 * time.Second}

// addOrders adds the steps of the operators.
func (p *Plan) addOrders(random *rand.Rand, pause time.Duration) {
	for at := between(random, pause); at < p.For; at += between(random, pause) {
		kind := orderKinds[random.IntN(len(orderKinds))]
		if kind != behaviour.Storm {
			p.Orders = append(p.Orders, Order{At: at, Behaviour: kind, Seed: random.Uint64()})
			if kind == behaviour.RemovesLast || kind == behaviour.RemovesTenant {
				back := absences[random.IntN(len(absences))]
				p.Orders = append(p.Orders, Order{At: at + back, Behaviour: behaviour.PutsBack, Seed: random.Uint64()})
			}
			continue
		}
		for i := range stormOrders {
			p.Orders = append(p.Orders, Order{At: at + time.Duration(i)*stormPause, Behaviour: behaviour.Storm, Seed: random.Uint64()})
		}
	}
}

// Without returns the plan without some of its troubles, by their indices.
func (p Plan) Without(indices []int) Plan {
	var kept []Trouble
	for i, trouble := range p.Troubles {
		if !slices.Contains(indices, i) {
			kept = append(kept, trouble)
		}
	}
	p.Troubles = kept
	return p
}
