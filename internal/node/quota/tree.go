package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
)

// node is the state of one node of the tree.
type node struct {
	parent, firstChild, sibling int32 // -1 = none
	noBorrowing, noLending      bool
	weight                      float64 // fraction of its parent's guarantee

	filledUntil float64 // capacity seconds up to which its own buckets have been filled
	refreshedAt float64 // seconds up to which everything else is up to date
	own         [measures]bucket
	limit       [measures]bucket // cap 0 = none
	longLimit   [measures]bucket

	// As a child that borrows its parent's spare capacity. Loads are in seconds of the root's full capacity.
	borrowed                     float64 // load that it has borrowed, divided by its weight
	lastRequest                  float64 // seconds; when it last tried to borrow
	contends                     bool    // it is in its parent's list of contenders
	nextContender, prevContender int32   // in that list, which is sorted by lastRequest

	// As a parent that lends its spare capacity.
	fairShare                     float64 // what a contender may have borrowed by now, in the unit of borrowed
	contendingWeight              float64 // sum of the weights of the contenders
	firstContender, lastContender int32
	nextLender                    int32 // the next child to be checked for capacity to lend

	// Debts among siblings, as loads.
	lendable     float64
	credit       float64
	debt         float64
	repayRate    float64 // loads per second at which it repays while its debt is collected
	lastBorrower int32   // the last sibling that borrowed from it, -1 = none
	repayUntil   float64 // seconds; as a parent: end of the collection of debts among its children
	repaid       float64 // as a parent: load that was repaid and that no creditor has used yet

	nextRetry float64 // ms; when the next rejected caller should retry
	reason    Reason  // of the last rejection
	counts    [Rejected + 1]uint64
}

// NodeBytes is an upper bound on the memory of one node with its index entry, checked by a test of this package.
const NodeBytes = 640

// Tree is the tree of quotas. It is not safe for concurrent use.
type Tree struct {
	config          Settings
	rand            *rand.Rand
	nodes           []node // parents before their children; the root is 0
	index           map[string]int
	names           []string
	burstSeconds    []float64 // by node: seconds of its rate that its bucket holds
	unleased        []buckets // by node: the buckets without a lease; nil = there has been no lease yet
	now             float64   // ms
	seconds         float64   // since the first call
	capacity        float64   // current capacity of all nodes, as a fraction of Settings.Root
	capacitySeconds float64   // integral of capacity over seconds
}

// Root is the index of the root.
const Root = 0

// New returns a tree with full buckets. The error is a *FieldError. seed determines the jitter of
// Decision.RetryAfter.
func New(config Settings, seed uint64) (*Tree, error) {
	t := &Tree{config: config, rand: rand.New(rand.NewPCG(seed, 0x71756f7461)), index: map[string]int{}, now: math.Inf(-1), capacity: 1}
	if err := t.checkSettings(); err != nil {
		return nil, err
	}
	return t, t.build()
}

// checkSettings checks the settings of the tree itself. The error is a *FieldError.
func (t *Tree) checkSettings() error {
	s := &t.config
	for _, f := range []struct {
		name   string
		value  float64
		lo, hi float64
	}{{"root", s.Root[Requests], 1e-9, 1e12}, {"root worth", s.Root[Value], 0, 1e15}, {"burst", s.Burst, 1e-3, 3600},
		{"long_window", s.LongWindow, 1, 1e6}, {"kept", s.Reserved, 0, 0.9}, {"memory", s.DebtDecay, 1e-3, 1e6},
		{"pay_back", s.RepayTime, 1e-3, 1e6}, {"pay_part", s.RepayFraction, 0, 1}, {"most_wait", s.MaxRetryAfter, 0, 1e6},
		{"floor", s.Floor, 1e-6, 1}} {
		if !(f.value >= f.lo && f.value <= f.hi) {
			return &FieldError{"", f.name, fmt.Sprintf("%g lies outside %g to %g", f.value, f.lo, f.hi)}
		}
	}
	if s.Priorities < 1 || s.Priorities > 8 || s.Reserved*float64(s.Priorities-1) >= 1 {
		return &FieldError{"", "priorities", fmt.Sprintf("%d, each keeping %g of a bucket", s.Priorities, s.Reserved)}
	}
	return nil
}

// build adds the nodes in the order of the settings, except that parents precede their children. The error is a
// *FieldError.
func (t *Tree) build() error {
	t.addNode("", -1, Node{Guarantee: t.config.Root})
	pending := t.config.Nodes
	for len(pending) > 0 {
		var later []Node
		for _, n := range pending {
			parent, known := t.index[n.Parent]
			_, duplicate := t.index[n.Name]
			switch {
			case n.Name == "":
				return &FieldError{"", "name", "is missing"}
			case duplicate:
				return &FieldError{n.Name, "name", "stands there twice"}
			case !known:
				later = append(later, n)
				continue
			}
			if err := t.checkNode(&n, parent); err != nil {
				return err
			}
			t.addNode(n.Name, parent, n)
		}
		if len(later) == len(pending) {
			return &FieldError{later[0].Name, "parent", fmt.Sprintf("%q is no node, or the node is its own ancestor", later[0].Parent)}
		}
		pending = later
	}
	sums := make([]Amount, len(t.nodes))
	for i := 1; i < len(t.nodes); i++ {
		for m := range measures {
			sums[t.nodes[i].parent][m] += t.nodes[i].own[m].rate
		}
	}
	for i := range t.nodes {
		for m := range measures {
			if own := t.nodes[i].own[m].rate; sums[i][m] > own*(1+1e-9) {
				return &FieldError{t.names[i], "guarantee", fmt.Sprintf("its children's add up to %g a second, its own is %g",
					sums[i][m], own)}
			}
		}
	}
	return nil
}

// checkNode checks the settings of a node. The error is a *FieldError.
func (t *Tree) checkNode(n *Node, parent int) error {
	invalid := func(field, format string, args ...any) error {
		return &FieldError{n.Name, field, fmt.Sprintf(format, args...)}
	}
	if !(n.Share >= 0 && n.Share <= 1) {
		return invalid("share", "%g lies outside 0 to 1", n.Share)
	}
	if !(n.Burst >= 0 && n.Burst <= 3600) {
		return invalid("burst", "%g s lies outside 0 to 3600", n.Burst)
	}
	for m := range measures {
		own := n.Guarantee[m]
		if n.Share > 0 {
			if own > 0 {
				return invalid("share", "stands beside a guarantee")
			}
			own = n.Share * t.nodes[parent].own[m].rate
		}
		switch {
		case !(own >= 0) || math.IsInf(own, 1):
			return invalid("guarantee", "%g a second", own)
		case n.RateLimit[m] != 0 && !(n.RateLimit[m] >= own):
			return invalid("ceiling", "%g a second is below the guarantee, %g", n.RateLimit[m], own)
		case n.LongLimit[m] != 0 && !(n.LongLimit[m] >= own):
			return invalid("long", "%g a second is below the guarantee, %g", n.LongLimit[m], own)
		}
	}
	return nil
}

// addNode adds a node below a parent, -1 for the root.
func (t *Tree) addNode(name string, parent int, n Node) {
	burst := cmp.Or(n.Burst, t.config.Burst)
	s := node{parent: int32(parent), firstChild: -1, sibling: -1, noBorrowing: n.NoBorrowing, noLending: n.NoLending, firstContender: -1, lastContender: -1, nextContender: -1,
		prevContender: -1, nextLender: -1, lastBorrower: -1}
	for m := range measures {
		rate := n.Guarantee[m]
		if n.Share > 0 {
			rate = n.Share * t.nodes[parent].own[m].rate
		}
		// The reserve for higher priorities is in addition to the burst.
		full := rate * burst / t.unreserved()
		s.own[m] = bucket{full, rate, full}
		if c := n.RateLimit[m]; c > 0 {
			s.limit[m] = bucket{c * burst, c, c * burst}
		}
		if c := n.LongLimit[m]; c > 0 {
			s.longLimit[m] = bucket{c * t.config.LongWindow, c, c * t.config.LongWindow}
		}
	}
	t.burstSeconds = append(t.burstSeconds, burst/t.unreserved())
	if parent >= 0 {
		t.setWeight(&s)
		s.sibling, t.nodes[parent].firstChild = t.nodes[parent].firstChild, int32(len(t.nodes))
	}
	t.index[name] = len(t.nodes)
	t.names = append(t.names, name)
	t.nodes = append(t.nodes, s)
}

// unreserved returns the fraction of a bucket that is not reserved for higher priorities.
func (t *Tree) unreserved() float64 { return 1 - t.config.Reserved*float64(t.config.Priorities-1) }

// minWeight is the weight of a node without a guarantee, which can use only what others leave.
const minWeight = 1e-6

// Find returns the index of a node; ok is false if there is none of that name.
func (t *Tree) Find(name string) (node int, ok bool) {
	node, ok = t.index[name]
	return node, ok
}

// Name returns the name of a node; it is empty for the root.
func (t *Tree) Name(node int) string { return t.names[node] }
