// Package quota divides the capacity of all nodes of the fleet among a hierarchy of tenants: organisations, their
// partners and their gateways. Each node of this tree has a guarantee and a rate limit, in requests and in value.
// What a node leaves unused, its siblings borrow in fair shares; they repay it when the node needs it again. The
// package decides for each call whether to admit it.
//
// It is pure: it does no I/O and has no goroutines, locks or clock. Time is passed in, in milliseconds; a time
// earlier than the latest one counts as the latest one. The same calls and the same seed result in the same
// decisions.
//
// # Buckets
//
// Every node has a token bucket for each measure, filled at the rate of its guarantee. A call takes tokens from the
// bucket of its leaf and, since it uses the capacity of every node that contains the leaf, from the buckets of all
// ancestors. The bucket of an inner node therefore holds what its children have left unused, and a child whose own
// bucket is empty may borrow from it. The last fraction of a bucket is reserved for calls of higher priority. A rate
// limit is a second bucket, and the limit over a long window a third one.
//
// # Fair shares of unused capacity
//
// What a child has borrowed is counted in units of its guarantee, and its parent counts what a fair share would be
// by now. How far a child may be ahead of its fair share grows with the level of the parent's bucket: not at all
// while the bucket is nearly empty, without limit when it is full. While capacity is scarce, children that are
// behind are therefore served first, no matter which of them calls more often, and no capacity is lost while there
// is demand for it.
//
// # Debts
//
// What overflows the full bucket of a node with little demand is counted as lendable, and borrowers use that up in
// proportion. The lender's credit and the borrower's debt decay with the time constant Settings.DebtDecay. When a
// lender with credit requests more than its bucket holds, its siblings in debt give up part of their guarantee, at
// a rate that repays the debt within Settings.RepayTime, but never more than the fraction Settings.RepayFraction
// of it.
//
// # Bounds
//
// A node takes at most NodeBytes of memory, and nothing else grows. A decision visits the nodes from a leaf to the
// root.
package quota

// The measures of an Amount: requests, and the value of the requests.
const (
	Requests = iota
	Value
	measures // number of measures
)

// Amount is one number for each measure.
type Amount [measures]float64

// Node describes a tenant at any level of the tree.
type Node struct {
	Name   string `json:"Name"`
	Parent string `json:"Parent"` // empty for nodes at the top level
	// Guarantee is what the tenant can always use: the fraction Share of its parent's guarantee if that is set,
	// otherwise rates per second, provided that all nodes together have the capacity Settings.Root.
	Share       float64 `json:"Share"`
	Guarantee   Amount  `json:"Guarantee"`
	RateLimit   Amount  `json:"Ceiling"` // per second; 0 = none
	LongLimit   Amount  `json:"Long"`    // rate limits per second over LongWindow; 0 = none
	Burst       float64 `json:"Burst"`   // seconds of its guarantee that its bucket holds; 0 = Settings.Burst
	NoLending   bool    `json:"Keep"`    // it lends nothing
	NoBorrowing bool    `json:"Alone"`   // it borrows nothing
}

// Settings describe a tree.
type Settings struct {
	Root          Amount  `json:"Root"`  // capacity of all nodes together, per second; a measure that is 0 is not counted
	Floor         float64 `json:"Floor"` // minimum fraction of Root that is divided, whatever SetCapacity sets
	Nodes         []Node  `json:"Nodes"`
	Priorities    int     `json:"Priorities"` // number of priorities; 0 is the lowest
	Burst         float64 `json:"Burst"`      // default of Node.Burst, in seconds
	LongWindow    float64 `json:"LongWindow"` // seconds
	Reserved      float64 `json:"Kept"`       // fraction of a bucket that each priority reserves from the priorities below it
	DebtDecay     float64 `json:"Memory"`     // seconds after which a credit or debt has decayed to 1/e
	RepayTime     float64 `json:"PayBack"`    // seconds within which a debt is repaid once it is collected
	RepayFraction float64 `json:"PayPart"`    // maximum fraction of a guarantee that is used for repayment
	MaxRetryAfter float64 `json:"MostWait"`   // maximum of Decision.RetryAfter, in seconds
}

// FieldError reports an invalid setting.
type FieldError struct {
	Node   string // empty if the setting is one of the tree itself
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	if e.Node == "" {
		return e.Field + ": " + e.Reason
	}
	return e.Node + ": " + e.Field + ": " + e.Reason
}

// Verdict is the outcome of a decision on a call.
type Verdict uint8

// The verdicts.
const (
	WithinGuarantee Verdict = iota // admitted within the guarantee of its leaf
	Borrowed                       // admitted with capacity that others leave unused, of the node Decision.From
	Repaid                         // admitted with capacity that others have repaid
	Rejected                       // rejected; retry after Decision.RetryAfter
)

// Reason is the reason why a call was rejected.
type Reason uint8

// The reasons.
const (
	None          Reason = iota
	NoCapacity           // there is no capacity to borrow
	OverFairShare        // the available capacity is for siblings that have borrowed less
	AtRateLimit          // at the rate limit of the node Decision.From
	AtLongLimit          // at its limit over the long window
)

var reasonNames = [...]string{"", "no room", "others had less", "ceiling", "ceiling over the long window"}

// String returns the text of the reason for operators.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the result of Tree.Admit.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	From       int     // index of the node that lent the capacity, or whose limit was reached
	RetryAfter float64 // ms
	grant      grant
}

// grant records what a call was charged, so that it can be refunded.
type grant struct {
	tree         *Tree
	leaf, lender int32
	cost         Amount
}
