// Package lease divides the capacity of all nodes among them ahead of time, so that no call waits for an agreement.
// It is pure: no I/O, goroutine, lock or clock; time is that of the replicated log, in milliseconds, and passed in.
// Its Machine is a component of the replicated state machine: every replica applies the same reports at the same
// times and holds the same leases.
//
// A member (one process of a node) reports how much load is requested of it and how much it has admitted, by node of
// the quota tree. The machine divides the leased fraction of the capacity among all that is requested as a fluid
// would be (quota.Fluid), and grants the member its part: a lease, which expires unless it is renewed. What a member
// may still be using is never granted to another:
//
//   - of a member that may not have received its last reply, both its last lease and the one before it count;
//   - a member that is lost keeps its lease until it expires.
//
// So the leases in force add up to no more than the leased fraction of the root, and of every rate limit, at every
// moment. A process that is lost takes its unspent lease with it until it expires.
//
// # Debts
//
// What a node of the tree admits beyond its guarantee it borrows from its siblings that use less than theirs: their
// credit and its debt grow, are remembered for Settings.Memory, and are held here, not at the members. A lender that
// requests more than its guarantee collects what it is owed: siblings in debt give up at most PayPart of their
// guarantees until it is repaid.
//
// The account of the long window is held here, too: where it is empty, the long rate is the limit of the node. A
// lease that expires without a report counts as spent.
//
// # Bounds
//
// MaxNodes nodes of a tree, MaxMembers members, MaxReportedNodes nodes of one report. A report costs a look at its own
// nodes and, once in divideInterval, one at all members and the tree, however many members there are.
package lease

import (
	"errors"
	"fmt"
)

// Bounds of trees, members and leases.
const (
	MaxNodes          = 1000     // nodes of a tree
	MaxMembers        = 1024     // members of a machine
	MaxReportedNodes  = 256      // nodes of a report
	MaxLeasedFraction = 0.95     // fraction of the capacity that may be leased
	MinLength         = 200.0    // ms of a lease, at least
	MaxLength         = 600000.0 // ms of a lease, at most

	maxNameBytes = 128 // of a member's name
	maxLoad      = 1e6 // of a report, per second
	loadUnits    = 1e9 // units of a Load of 1
)

// The errors of a machine. ErrOtherTree says that a tree was rejected because another one is in force.
var (
	ErrOtherTree = errors.New("the fleet goes by another tree of quotas")
	errOtherTree = errors.New("its accounts are of another tree") // of an image
)

// Load is a fraction of all that the root can do in a second, in units of 1/loadUnits: an integer, so that sums are
// exact.
type Load int64

// Fraction returns the load as a fraction of 1.
func (l Load) Fraction() float64 { return float64(l) / loadUnits }

// NodeDemand is what a member reports of one node of the tree, in loads per second; 1 = all that the root can do.
type NodeDemand struct {
	Node      int     `json:"a"`
	Requested float64 `json:"w"` // requested
	Admitted  float64 `json:"u"` // admitted
}

// Report is what a member sends, often enough to have its lease renewed.
type Report struct {
	Node      string       `json:"node"`
	Life      uint64       `json:"life"`   // incarnation of the process
	Tree      string       `json:"tree"`   // hash of the tree that the member has
	Length    float64      `json:"length"` // ms of the lease that it requests
	HeldLease uint64       `json:"holds"`  // number of the lease that it uses; 0 = none
	Demand    []NodeDemand `json:"asked"`
	Leaving   bool         `json:"leaves"` // it gives its lease back
}

// check returns an error if a report is out of bounds, for a tree with that many nodes.
func (r *Report) check(nodes int) error {
	if r.Node == "" || len(r.Node) > maxNameBytes || !(r.Length >= MinLength && r.Length <= MaxLength) && !r.Leaving {
		return fmt.Errorf("a member has a name of 1 to %d bytes and a lease of %g to %g ms", maxNameBytes, MinLength, MaxLength)
	}
	if len(r.Demand) > MaxReportedNodes {
		return fmt.Errorf("it asks for %d places, %d at the most", len(r.Demand), MaxReportedNodes)
	}
	last := -1
	for _, a := range r.Demand {
		if a.Node <= last || a.Node >= nodes || !(a.Requested >= 0 && a.Requested <= maxLoad && a.Admitted >= 0 && a.Admitted <= maxLoad) {
			return fmt.Errorf("place %d: places in their order, with loads of 0 to %g", a.Node, maxLoad)
		}
		last = a.Node
	}
	return nil
}

// NodeLoad is what a lease has of a node.
type NodeLoad struct {
	Node int  `json:"a"`
	Load Load `json:"l"`
}

// Grant answers a report.
type Grant struct {
	Number uint64     `json:"number"` // of the lease; 0 = none, the member has another tree
	Length float64    `json:"length"` // ms from the moment at which the report was made
	Parts  []NodeLoad `json:"parts,omitempty"`
	Tree   string     `json:"tree"` // hash of the tree in force; empty = none yet
}
