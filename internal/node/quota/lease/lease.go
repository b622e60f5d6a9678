// Package lease divides the capacity of all nodes of the fleet among them ahead of time, so that no call waits for
// consensus. It is pure: it does no I/O and has no goroutines, locks or clock; time is that of the replicated log,
// in milliseconds, and passed in. Its Machine is a component of the replicated state machine: every replica
// applies the same reports at the same times and holds the same leases.
//
// A member (one process of a node) reports how much load is requested of it and how much it has admitted, by node
// of the quota tree. The machine divides the leased fraction of the capacity among all requested loads by weighted
// max-min fairness (quota.Fluid) and grants the member its part: a lease, which expires unless it is renewed. What
// a member may still be using is never granted to another member:
//
//   - if a member may not have received its last reply, both its last lease and the one before it count;
//   - a lost member keeps its lease until the lease expires.
//
// At any time the leases in force therefore add up to no more than the leased fraction of the root and of every rate
// limit. What a lost process has not spent of its lease cannot be used by others until the lease expires.
//
// # Debts
//
// What a node of the tree admits beyond its guarantee, it borrows from siblings that use less than theirs: their
// credit and its debt grow. Credits and debts decay with the time constant Settings.DebtDecay and are kept here,
// not at the members. A lender that requests more than its guarantee collects what it is owed: siblings in debt
// give up at most the fraction Settings.RepayFraction of their guarantees until the debt is repaid.
//
// The account of the long window is kept here, too: while it is empty, the node is limited to its rate over the long
// window. A lease that expires without a report counts as spent.
//
// # Bounds
//
// MaxNodes nodes of a tree, MaxMembers members, MaxReportedNodes nodes of one report. A report visits only the
// nodes that it names and, once per divideInterval, all members and the tree, however many members there are.
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

// Errors of a Machine. ErrOtherTree means that a tree was rejected because another one is in force.
var (
	ErrOtherTree = errors.New("the fleet goes by another tree of quotas")
	errOtherTree = errors.New("its accounts are of another tree") // of an image
)

// Load is a fraction of what the root can do in a second, in units of 1/loadUnits. It is an integer so that sums are
// exact.
type Load int64

// Fraction returns the load as a fraction of 1.
func (l Load) Fraction() float64 { return float64(l) / loadUnits }

// NodeDemand is what a member reports about one node of the tree, in loads per second; 1 = the full rate of the
// root.
type NodeDemand struct {
	Node      int     `json:"a"`
	Requested float64 `json:"w"`
	Admitted  float64 `json:"u"`
}

// Report is what a member sends regularly to have its lease renewed.
type Report struct {
	Node      string       `json:"node"`
	Life      uint64       `json:"life"`   // incarnation of the process
	Tree      string       `json:"tree"`   // hash of the tree that the member has
	Length    float64      `json:"length"` // ms of the lease that it requests
	HeldLease uint64       `json:"holds"`  // number of the lease that it uses; 0 = none
	Demand    []NodeDemand `json:"asked"`
	Leaving   bool         `json:"leaves"` // the member returns its lease
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

// NodeLoad is the load that is leased for a node.
type NodeLoad struct {
	Node int  `json:"a"`
	Load Load `json:"l"`
}

// Grant is the reply to a Report.
type Grant struct {
	Number uint64     `json:"number"` // of the lease; 0 = none, because the member has another tree
	Length float64    `json:"length"` // ms from the time at which the report was made
	Parts  []NodeLoad `json:"parts,omitempty"`
	Tree   string     `json:"tree"` // hash of the tree in force; empty = none yet
}
