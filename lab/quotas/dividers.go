// Package quotas compares ways to divide what a fleet can do among nested tenants, on the same arrivals: flat buckets, the
// hierarchical token bucket as the Linux manual describes it, a cell rate with debt, and package quota of the node. It is
// pure: time is passed in, arrivals hang on the seed alone.
package quotas

import (
	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Divider decides who goes on.
type Divider interface {
	// Ask tells whether a call of a leaf goes on; priority 1 is that of spending-cap blocks. Now is in seconds.
	Ask(now float64, leaf string, priority int) bool
	// Capacity tells that the fleet can do a part of what it could.
	Capacity(now, part float64)
}

// Ways are the dividers that are compared, by name.
var Ways = []struct {
	Name string
	Make func(tree []quota.Node, rate float64) Divider
}{
	{"flat buckets", newFlat},
	{"HTB", newHTB},
	{"cell rate with debt", newCells},
	{"linenwheel", newBook},
}

// burst is how many seconds of a rate each way may save up.
const burst = 1.0

// bucket holds tokens.
type bucket struct{ tokens, rate, at float64 }

func (b *bucket) fill(now float64) {
	b.tokens = min(b.rate*burst, b.tokens+b.rate*(now-b.at))
	b.at = now
}

// rates gives every node's guarantee a second.
func rates(tree []quota.Node, rate float64) map[string]float64 {
	of := map[string]float64{"": rate}
	for range tree { // parents may stand behind their children
		for _, n := range tree {
			if parent, ok := of[n.Parent]; ok {
				of[n.Name] = parent * n.Share
			}
		}
	}
	return of
}

// flat gives each leaf a bucket of its own. Nothing is lent.
type flat map[string]*bucket

func newFlat(tree []quota.Node, rate float64) Divider {
	f := flat{}
	for name, r := range rates(tree, rate) {
		f[name] = &bucket{r * burst, r, 0}
	}
	return f
}

func (f flat) Ask(now float64, leaf string, _ int) bool {
	b := f[leaf]
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (f flat) Capacity(float64, float64) {}

// htb is the hierarchical token bucket of tc-htb(8): a class below its rate goes on; one above it borrows from the nearest
// class above that is below its own rate; what is borrowed is charged there and further up. Who asks first borrows first: the
// manual's rounds by quantum need queues, in which calls would wait.
type htb struct {
	parent map[string]string
	class  map[string]*bucket
}

func newHTB(tree []quota.Node, rate float64) Divider {
	h := &htb{map[string]string{}, map[string]*bucket{}}
	for name, r := range rates(tree, rate) {
		h.class[name] = &bucket{r * burst, r, 0}
	}
	for _, n := range tree {
		h.parent[n.Name] = n.Parent
	}
	return h
}

func (h *htb) Ask(now float64, leaf string, _ int) bool {
	for at := leaf; ; at = h.parent[at] {
		b := h.class[at]
		b.fill(now)
		if b.tokens >= 1 {
			h.charge(now, at)
			return true
		}
		if at == "" {
			return false
		}
	}
}

func (h *htb) charge(now float64, from string) {
	for at := from; ; at = h.parent[at] {
		b := h.class[at]
		b.fill(now)
		b.tokens = max(b.tokens-1, -b.rate*burst)
		if at == "" {
			return
		}
	}
}

func (h *htb) Capacity(float64, float64) {}

// cells is a generic cell rate a leaf with debt: a leaf may run ahead of its rate while the whole has room, and what it ran
// ahead is a debt that it has to wait for when there is none.
type cells struct {
	due  map[string]float64 // when the next call of a leaf would be on time, seconds
	rate map[string]float64
	all  bucket
}

// mostAhead bounds such a debt, seconds.
const mostAhead = 10.0

func newCells(tree []quota.Node, rate float64) Divider {
	return &cells{map[string]float64{}, rates(tree, rate), bucket{rate * burst, rate, 0}}
}

func (c *cells) Ask(now float64, leaf string, _ int) bool {
	c.all.fill(now)
	due := max(c.due[leaf], now-burst)
	onTime := due <= now
	if !onTime && (c.all.tokens < 1 || due > now+mostAhead) {
		return false
	}
	c.all.tokens = max(c.all.tokens-1, -c.all.rate*burst)
	c.due[leaf] = due + 1/c.rate[leaf]
	return true
}

func (c *cells) Capacity(float64, float64) {}

// book is package quota.
type book struct{ *quota.Tree }

// Settings are those of the node's way in the comparison.
func Settings(tree []quota.Node, rate float64) quota.Settings {
	return quota.Settings{Root: quota.Amount{rate}, Floor: 0.05, Nodes: tree, Priorities: 2, Burst: burst, LongWindow: 600,
		Reserved: 0.2, DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2}
}

func newBook(tree []quota.Node, rate float64) Divider {
	b, err := quota.New(Settings(tree, rate), 1)
	if err != nil {
		panic(err) // the trees are this package's own
	}
	return book{b}
}

func (b book) Ask(now float64, leaf string, priority int) bool {
	at, _ := b.Find(leaf)
	return b.Tree.Admit(now*1000, quota.Call{Leaf: at, Priority: priority}).Verdict != quota.Rejected
}

func (b book) Capacity(now, part float64) { b.SetCapacity(now*1000, part) }
