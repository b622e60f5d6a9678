// Package quota divides the capacity of all nodes among tenants that are nested in each other: organisations, their
// partners, their gateways. Each node of the tree has a guarantee and a rate limit, in requests and in value; what
// one leaves unused its siblings borrow in fair shares, and it gets that back when it wakes. The package decides, for
// each call, whether it goes on.
//
// It is pure: no input or output, no goroutine, no lock, no clock. Time is passed in, in milliseconds; a time that
// stands still or goes back counts as standing still. The same calls and seed give the same decisions.
//
// # Buckets
//
// Every node has a token bucket for each measure, filled at its guarantee. A call spends tokens of its leaf's bucket
// and, since it uses the capacity of all nodes that hold the leaf, of those of all ancestors. So the bucket of an
// inner node holds what its children have left unused, and that is what a child may borrow whose own bucket is empty.
// The last fraction of a bucket is reserved for calls of higher priority. A rate limit is a second bucket, and the
// limit over a long window a third.
//
// # Fair shares of what is left
//
// Each child that wants to borrow counts what it has borrowed in units of its guarantee, and its parent counts what a
// fair share would be by now. How far a child may be ahead of its fair share grows with the level of the parent's
// bucket: nothing while it is nearly empty, without a limit when it is full. So those that are behind come first
// while capacity is scarce, whoever calls more often, and no capacity is lost while someone wants it.
//
// # Debts
//
// What overflows the full bucket of a quiet node is counted as lendable; whoever borrows uses that up, in proportion.
// The lender's credit and the borrower's debt are remembered for Settings.Memory. When a lender with credit wants
// more than its bucket has, its siblings in debt give up part of their guarantee, at a rate that repays the debt in
// Settings.PayBack, but never more than Settings.PayPart of it.
//
// # Bounds
//
// A node costs NodeBytes, and nothing else grows. A decision looks at the nodes from a leaf to the root.
package quota

// The measures of an Amount: requests, and the value of the requests.
const (
	Requests = iota
	Value
	measures // how many there are
)

// Amount is one number for each measure.
type Amount [measures]float64

// Node describes a tenant of any size.
type Node struct {
	Name   string `json:"Name"`
	Parent string `json:"Parent"` // empty for those at the top
	// Guarantee is what it may always have: the fraction Share of its parent's guarantee if that is set, else rates per second as
	// long as the nodes together can do what the root says.
	Share       float64 `json:"Share"`
	Guarantee   Amount  `json:"Guarantee"`
	RateLimit   Amount  `json:"Ceiling"` // rate limits, per second; 0 = none
	LongLimit   Amount  `json:"Long"`    // rate limits, per second, over LongWindow; 0 = none
	Burst       float64 `json:"Burst"`   // seconds of its guarantee that its bucket holds; 0 = Settings.Burst
	NoLending   bool    `json:"Keep"`    // it lends nothing
	NoBorrowing bool    `json:"Alone"`   // it borrows nothing
}

// Settings describe a tree.
type Settings struct {
	Root          Amount  `json:"Root"`  // what all nodes together can do per second; a value of 0 = not counted
	Floor         float64 `json:"Floor"` // the least fraction of Root that is divided, whatever SetCapacity says
	Nodes         []Node  `json:"Nodes"`
	Priorities    int     `json:"Priorities"` // number of priorities; 0 is the lowest
	Burst         float64 `json:"Burst"`      // seconds, see Node
	LongWindow    float64 `json:"LongWindow"` // seconds
	Reserved      float64 `json:"Kept"`       // fraction of a bucket that each priority reserves from those below it
	DebtDecay     float64 `json:"Memory"`     // seconds after which a credit weighs 1/e
	RepayTime     float64 `json:"PayBack"`    // seconds in which a debt is repaid once it is collected
	RepayFraction float64 `json:"PayPart"`    // maximum fraction of a guarantee that goes into that
	MaxRetryAfter float64 `json:"MostWait"`   // maximum seconds of Decision.RetryAfter
}

// FieldError names the setting that is out of range.
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

// Verdict says whether a call goes on.
type Verdict uint8

// The verdicts.
const (
	WithinGuarantee Verdict = iota // within its guarantee
	Borrowed                       // with capacity that others leave, of the node Decision.From
	Repaid                         // with capacity that others have repaid to it
	Rejected                       // rejected; retry after Decision.RetryAfter
)

// Reason says why a call was rejected.
type Reason uint8

// The reasons.
const (
	None          Reason = iota
	NoCapacity           // there is no capacity to borrow
	OverFairShare        // what there is goes to siblings that have borrowed less
	AtRateLimit          // at the rate limit of the node Decision.From
	AtLongLimit          // at its limit over the long window
)

var reasonNames = [...]string{"", "no room", "others had less", "ceiling", "ceiling over the long window"}

// String returns the reason as operators read it.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the answer of Ask.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	From       int     // index of the node that lent, or whose limit it was
	RetryAfter float64 // ms
	grant      grant
}

// grant is what a call was charged, so that it can be returned.
type grant struct {
	tree         *Tree
	leaf, lender int32
	cost         Amount
}
