// Package quota divides what a fleet can do among tenants that are nested in each other: organisations, their partners,
// their gateways. Each node of the tree has a guarantee and a ceiling, in requests and in worth; what one leaves unused its
// siblings borrow in fair shares, and it gets that back when it wakes. The package decides, for each call, whether it goes on.
//
// It is pure: no input or output, no goroutine, no lock, no clock. Time is passed in, in milliseconds; one that stands still
// or goes back counts as standing still. The same calls and seed give the same decisions.
//
// # Buckets
//
// Every node has a bucket of tokens a measure, filled at its guarantee. A call takes from its leaf's bucket and, since it uses
// the room of all that hold the leaf, from those of all nodes above. So the bucket of a node above holds what its children
// have left unused, and that is what a child may borrow whose own bucket is empty. Of a bucket the last part is kept for
// calls of higher priority. A ceiling is a second bucket, and one over a long window a third.
//
// # Fair shares of what is left
//
// Among the children of a node that want to borrow, each has a count of what it borrowed in units of its guarantee, and the
// node has one of what a fair share would be by now. How far a child may be ahead of that grows with what is in the bucket:
// nothing while it is nearly empty, without a limit when it is full. So those that are behind come first while room is
// scarce, whoever asks more often, and no room is lost while someone asks.
//
// # Debts
//
// What runs over a quiet node's full bucket is counted as lendable; whoever borrows above it takes from that, in proportion.
// The lender's credit and the borrower's debt are remembered for Settings.Memory. When a lender with credit asks for more than
// its bucket has, its siblings in debt give up part of their guarantee, at a rate that pays the debt in Settings.PayBack, but
// never more than Settings.PayPart of it.
//
// # Bounds
//
// A node costs NodeBytes, and nothing else grows. A decision looks at the nodes from a leaf to the root.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
)

// The measures.
const (
	Requests = iota
	Worth
	measures
)

// Amount is one value a measure.
type Amount [measures]float64

// Node describes one tenant of any size.
type Node struct {
	Name   string `json:"Name"`
	Parent string `json:"Parent"` // empty for those at the top
	// Guarantee is what it may always have: a share of its parent's if Share is set, else rates a second as long as the
	// fleet can do what the root says.
	Share     float64 `json:"Share"`
	Guarantee Amount  `json:"Guarantee"`
	Ceiling   Amount  `json:"Ceiling"` // rates a second that it never goes beyond; 0 = none
	Long      Amount  `json:"Long"`    // rates a second that it never goes beyond over LongWindow; 0 = none
	Burst     float64 `json:"Burst"`   // seconds of its guarantee that it may save up; 0 = the settings'
	Keep      bool    `json:"Keep"`    // it lends nothing
	Alone     bool    `json:"Alone"`   // it borrows nothing
}

// Settings describe a tree.
type Settings struct {
	Root       Amount  `json:"Root"`  // what the whole fleet can do a second; a worth of 0 is not counted
	Floor      float64 `json:"Floor"` // the least part of that which is divided, whatever is learned
	Nodes      []Node  `json:"Nodes"`
	Priorities int     `json:"Priorities"` // how many there are; 0 is the lowest
	Burst      float64 `json:"Burst"`      // seconds, see Node
	LongWindow float64 `json:"LongWindow"` // seconds
	Kept       float64 `json:"Kept"`       // part of a bucket that each priority keeps from those below it
	Memory     float64 `json:"Memory"`     // seconds after which a credit weighs 1/e
	PayBack    float64 `json:"PayBack"`    // seconds in which a debt is paid once it is called in
	PayPart    float64 `json:"PayPart"`    // part of a guarantee that goes into that at the most
	MostWait   float64 `json:"MostWait"`   // seconds that a refused caller is told to stay away at the most
}

// FieldError names the setting that cannot work.
type FieldError struct {
	Node   string // empty for the tree itself
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	if e.Node == "" {
		return e.Field + ": " + e.Reason
	}
	return e.Node + ": " + e.Field + ": " + e.Reason
}

// Verdict is what a call may do.
type Verdict uint8

// The verdicts.
const (
	Go       Verdict = iota // within its guarantee
	Borrowed                // on what others leave, from the node Decision.From
	Paid                    // on what others owe it
	Refused                 // not now; asking makes sense after Decision.Wait
)

// Reason is what a refusal was for.
type Reason uint8

// The reasons.
const (
	None      Reason = iota
	NoRoom           // nothing is left to borrow
	NotFair          // what is left is for those who had less of it
	AtCeiling        // of the node Decision.From
	AtLong           // of its long window
)

var reasonNames = [...]string{"", "no room", "others had less", "ceiling", "ceiling over the long window"}

func (r Reason) String() string { return reasonNames[r] }

// Decision is the answer to Ask.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	From    int     // the node that lent, or whose ceiling it was
	Wait    float64 // ms
	grant   grant
}

// grant is what a call took, so that it can be given back.
type grant struct {
	tree         *Book
	leaf, lender int32
	cost         Amount
}

// bucket is filled at a rate up to a cap. It may be overdrawn by as much.
type bucket struct{ tokens, rate, cap float64 }

func (b *bucket) fill(seconds float64) (over float64) {
	b.tokens += b.rate * seconds
	if b.tokens > b.cap {
		over = b.tokens - b.cap
		b.tokens = b.cap
	}
	return over
}

// spend takes tokens, or gives them back if n is below 0.
func (b *bucket) spend(n float64) { b.tokens = min(max(b.tokens-n, -b.cap), b.cap) }

// node is the state of one.
type node struct {
	parent, firstChild, sibling int32 // -1 = none
	noBorrowing, noLending      bool
	weight                      float64 // its part of its parent's guarantee

	filledUntil float64 // capacity seconds up to which its guarantee is filled,
	refreshedAt float64 // and seconds up to which all else is
	own         [measures]bucket
	limit       [measures]bucket // cap 0 = none
	longLimit   [measures]bucket

	// Of its parent's spare room. Loads are seconds of all that the root can do.
	borrowed                     float64 // load that it borrowed, by its weight
	lastRequest                  float64 // when it last wanted some, seconds
	contends                     bool    // it is in its parent's list of those that want some
	nextContender, prevContender int32   // in that list, which is in the order of asked

	// Of its own spare room, for its children.
	fairShare                     float64 // what a fair share would be by now
	contendingWeight              float64 // weights of the children in its list
	firstContender, lastContender int32   // of that list
	nextLender                    int32   // the child that is looked at next for room to lend

	// Debts among siblings, as loads.
	lendable     float64
	credit       float64
	debt         float64
	repayRate    float64 // at which its debt is paid, a second
	lastBorrower int32   // the last that borrowed what was its own, -1 = none
	repayUntil   float64 // as a parent: until when debts among its children are called in, seconds
	repaid       float64 // and what of them has been paid and not yet taken

	nextRetry float64 // when the next refused caller should come back, ms
	reason    Reason  // of the last refusal
	counts    [Refused + 1]uint64
}

// NodeBytes bounds the memory of one node with its name's place, measured by this package's test.
const NodeBytes = 640

// Book holds the tree. It is not safe for concurrent use.
type Book struct {
	config          Settings
	rand            *rand.Rand
	nodes           []node // the root is 0
	index           map[string]int
	names           []string
	burstSeconds    []float64 // seconds of its rate that a node's bucket holds
	unleased        []buckets // what nodes have without a lease; nil = there was none yet
	now             float64   // ms
	seconds         float64   // since the first call
	capacity        float64   // what the fleet can do, as a part of Settings.Root
	capacitySeconds float64   // capacity seconds so far
}

// Root is the place of the whole.
const Root = 0

// New makes the tree, each bucket full. The error names the node and the field that cannot work.
func New(set Settings, seed uint64) (*Book, error) {
	b := &Book{config: set, rand: rand.New(rand.NewPCG(seed, 0x71756f7461)), index: map[string]int{}, now: math.Inf(-1), capacity: 1}
	if err := b.checkSettings(); err != nil {
		return nil, err
	}
	return b, b.build()
}

func (b *Book) checkSettings() error {
	s := &b.config
	for _, f := range []struct {
		name   string
		value  float64
		lo, hi float64
	}{{"root", s.Root[Requests], 1e-9, 1e12}, {"root worth", s.Root[Worth], 0, 1e15}, {"burst", s.Burst, 1e-3, 3600},
		{"long_window", s.LongWindow, 1, 1e6}, {"kept", s.Kept, 0, 0.9}, {"memory", s.Memory, 1e-3, 1e6},
		{"pay_back", s.PayBack, 1e-3, 1e6}, {"pay_part", s.PayPart, 0, 1}, {"most_wait", s.MostWait, 0, 1e6},
		{"floor", s.Floor, 1e-6, 1}} {
		if !(f.value >= f.lo && f.value <= f.hi) {
			return &FieldError{"", f.name, fmt.Sprintf("%g lies outside %g to %g", f.value, f.lo, f.hi)}
		}
	}
	if s.Priorities < 1 || s.Priorities > 8 || s.Kept*float64(s.Priorities-1) >= 1 {
		return &FieldError{"", "priorities", fmt.Sprintf("%d, each keeping %g of a bucket", s.Priorities, s.Kept)}
	}
	return nil
}

// build makes the nodes in the order of the settings, parents first whatever that order is.
func (b *Book) build() error {
	b.addNode("", -1, Node{Guarantee: b.config.Root})
	left := b.config.Nodes
	for len(left) > 0 {
		var later []Node
		for _, n := range left {
			parent, known := b.index[n.Parent]
			_, twice := b.index[n.Name]
			switch {
			case n.Name == "":
				return &FieldError{"", "name", "is missing"}
			case twice:
				return &FieldError{n.Name, "name", "stands there twice"}
			case !known:
				later = append(later, n)
				continue
			}
			if err := b.checkNode(&n, parent); err != nil {
				return err
			}
			b.addNode(n.Name, parent, n)
		}
		if len(later) == len(left) {
			return &FieldError{later[0].Name, "parent", fmt.Sprintf("%q is no node, or the node is its own ancestor", later[0].Parent)}
		}
		left = later
	}
	sums := make([]Amount, len(b.nodes))
	for i := 1; i < len(b.nodes); i++ {
		for m := range measures {
			sums[b.nodes[i].parent][m] += b.nodes[i].own[m].rate
		}
	}
	for i := range b.nodes {
		for m := range measures {
			if have := b.nodes[i].own[m].rate; sums[i][m] > have*(1+1e-9) {
				return &FieldError{b.names[i], "guarantee", fmt.Sprintf("its children's add up to %g a second, its own is %g",
					sums[i][m], have)}
			}
		}
	}
	return nil
}

func (b *Book) checkNode(n *Node, parent int) error {
	wrong := func(field, format string, args ...any) error {
		return &FieldError{n.Name, field, fmt.Sprintf(format, args...)}
	}
	if !(n.Share >= 0 && n.Share <= 1) {
		return wrong("share", "%g lies outside 0 to 1", n.Share)
	}
	if !(n.Burst >= 0 && n.Burst <= 3600) {
		return wrong("burst", "%g s lies outside 0 to 3600", n.Burst)
	}
	for m := range measures {
		own := n.Guarantee[m]
		if n.Share > 0 {
			if own > 0 {
				return wrong("share", "stands beside a guarantee")
			}
			own = n.Share * b.nodes[parent].own[m].rate
		}
		switch {
		case !(own >= 0) || math.IsInf(own, 1):
			return wrong("guarantee", "%g a second", own)
		case n.Ceiling[m] != 0 && !(n.Ceiling[m] >= own):
			return wrong("ceiling", "%g a second is below the guarantee, %g", n.Ceiling[m], own)
		case n.Long[m] != 0 && !(n.Long[m] >= own):
			return wrong("long", "%g a second is below the guarantee, %g", n.Long[m], own)
		}
	}
	return nil
}

func (b *Book) addNode(name string, parent int, n Node) {
	burst := cmp.Or(n.Burst, b.config.Burst)
	s := node{parent: int32(parent), firstChild: -1, sibling: -1, noBorrowing: n.Alone, noLending: n.Keep, firstContender: -1, lastContender: -1, nextContender: -1,
		prevContender: -1, nextLender: -1, lastBorrower: -1}
	for m := range measures {
		rate := n.Guarantee[m]
		if n.Share > 0 {
			rate = n.Share * b.nodes[parent].own[m].rate
		}
		// What is kept for higher priorities comes on top of the burst.
		full := rate * burst / (1 - b.config.Kept*float64(b.config.Priorities-1))
		s.own[m] = bucket{full, rate, full}
		if c := n.Ceiling[m]; c > 0 {
			s.limit[m] = bucket{c * burst, c, c * burst}
		}
		if c := n.Long[m]; c > 0 {
			s.longLimit[m] = bucket{c * b.config.LongWindow, c, c * b.config.LongWindow}
		}
	}
	b.burstSeconds = append(b.burstSeconds, burst/(1-b.config.Kept*float64(b.config.Priorities-1)))
	if parent >= 0 {
		b.setWeight(&s)
		s.sibling, b.nodes[parent].firstChild = b.nodes[parent].firstChild, int32(len(b.nodes))
	}
	b.index[name] = len(b.nodes)
	b.names = append(b.names, name)
	b.nodes = append(b.nodes, s)
}

// minWeight is that of a node without a guarantee, which lives on what others leave.
const minWeight = 1e-6

// Find gives a node's place.
func (b *Book) Find(name string) (node int, ok bool) {
	node, ok = b.index[name]
	return node, ok
}

// Name is a node's name; empty for the root.
func (b *Book) Name(node int) string { return b.names[node] }
