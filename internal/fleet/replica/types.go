// Package replica is the state machine of one member of the control plane. It holds two protocols:
//
//   - agreement (agreement.go): the view, that is who votes and which of the voters form the chain, is agreed an epoch at
//     a time by a majority of the voters of the view before, as one decision of Paxos that also carries the replicated
//     state with which the new chain begins;
//   - chain replication (chain.go): within an epoch the head takes orders, each member stores an order before it
//     forwards it, and the tail's copy makes it committed.
//
// A voter that has promised the next epoch takes no further entry of the present one. Every chain is long enough to
// share a member with every majority of voters, so the next view is always made from a copy with all committed orders.
//
// The package is pure: time comes from outside, what is to be stored and sent is returned, and nothing may be sent
// before what came with it is stored.
package replica

import (
	"cmp"
	"encoding/gob"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Member is one control process with its disk. A process that finds its disk empty draws a new incarnation: it is another
// member, whatever its address.
type Member struct {
	Address     string // where it takes internal calls
	Incarnation uint64
}

// View is the agreed membership of one epoch.
type View struct {
	Epoch  uint64
	Voters []Member
	Chain  []Member // head first; all of them are voters
}

// Head is the member that takes orders.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail is the member whose copy makes an order committed.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

func majority(voters int) int { return voters/2 + 1 }

// Ballot orders the attempts to agree on one epoch.
type Ballot struct {
	Round    uint64
	Proposer Member
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer.Address, other.Proposer.Address),
		cmp.Compare(b.Proposer.Incarnation, other.Proposer.Incarnation))
}

// Proposal is what is agreed for an epoch: the view, and the replicated state with which its chain begins.
type Proposal struct {
	View  View
	Seq   uint64
	State operator.Snapshot
}

// Accepted is a proposal that a voter accepted.
type Accepted struct {
	Ballot   Ballot
	Proposal Proposal
}

// Entry is an order in its place.
type Entry struct {
	Epoch uint64
	Seq   uint64
	Order operator.Order
}

// Stored is what a member has on its disk.
type Stored struct {
	Self     Member
	Founder  bool     // it may vote on the first view
	Founders []string // the addresses that may, as they were when the disk was empty
	Base     *Proposal
	Entries  []Entry // of the base's epoch, after its Seq
	Promised Ballot  // for the epoch after the base's
	Accepted *Accepted
}

// Heartbeat asks a peer whether it is there and which epoch it is in.
type Heartbeat struct {
	Stamp   time.Duration // of the sender's clock, sent back
	Status  Status
	Learned []string // internal addresses of the members that the sender knows
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Stamp   time.Duration
	Status  Status
	Learned []string
}

// Status is what a member tells of itself.
type Status struct {
	Epoch   uint64
	Sealed  bool // it has promised the next epoch
	Seq     uint64
	Healthy bool // its disk takes writes
	Core    bool // it can be a voter
	Founder bool
	Young   bool     // it has only just started, and may not have heard of all peers yet
	Live    []string // addresses of the peers that it reaches
}

// Prepare asks a voter to promise a ballot for an epoch.
type Prepare struct {
	Epoch  uint64
	Ballot Ballot
}

// Promise answers Prepare.
type Promise struct {
	Epoch    uint64
	Ballot   Ballot
	Accepted *Accepted
	InChain  bool // the copy below holds every committed order
	Seq      uint64
	State    operator.Snapshot
}

// Reject tells a proposer of a higher ballot.
type Reject struct {
	Epoch    uint64
	Promised Ballot
}

// Accept asks a voter to accept a proposal.
type Accept struct {
	Ballot   Ballot
	Proposal Proposal
}

// AcceptReply answers Accept.
type AcceptReply struct {
	Epoch  uint64
	Ballot Ballot
}

// Decided tells of an agreed view.
type Decided struct{ Proposal Proposal }

// Append hands an entry down the chain.
type Append struct{ Entry Entry }

// Committed tells the chain that the tail has an entry.
type Committed struct {
	Epoch uint64
	Seq   uint64
}

// Message is one of the messages above.
type Message any

// Envelope is a message with its ends. An incarnation of 0 fits every process at the address.
type Envelope struct {
	From Member
	To   Member
	Body Message
}

// SaveIdentity, SavePromise, SaveAccepted, SaveView and SaveEntry are what is to be stored, in order.
type (
	// SaveIdentity stores who the member is.
	SaveIdentity struct {
		Self     Member
		Founder  bool
		Founders []string
	}
	// SavePromise stores the ballot promised for an epoch.
	SavePromise struct {
		Epoch  uint64
		Ballot Ballot
	}
	// SaveAccepted stores the proposal accepted for the next epoch.
	SaveAccepted struct{ Accepted Accepted }
	// SaveView stores an agreed view with its state, and drops promise, accepted proposal and entries of before.
	SaveView struct{ Proposal Proposal }
	// SaveEntry stores one entry.
	SaveEntry struct{ Entry Entry }
)

// Record is one of the records above.
type Record any

// Reply ends an order that was submitted here.
type Reply struct {
	ID       uint64
	Revision int64
	Err      error
	// Unconfirmed is set where the answer is true only if this member's view is still the newest one.
	Unconfirmed bool
}

// Output is what a step asks for: store the records, then send the messages and give the replies.
type Output struct {
	Save    []Record
	Send    []Envelope
	Replies []Reply
}

func (o *Output) add(other Output) {
	o.Save = append(o.Save, other.Save...)
	o.Send = append(o.Send, other.Send...)
	o.Replies = append(o.Replies, other.Replies...)
}

func containsAddress(members []Member, address string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Address == address })
}

// HigherBallot gives the higher of two ballots.
func HigherBallot(a, b Ballot) Ballot {
	if a.compare(b) >= 0 {
		return a
	}
	return b
}

// RegisterMessages makes the messages known to gob, before the first one is sent or read.
func RegisterMessages() {
	for _, message := range []Message{Heartbeat{}, HeartbeatReply{}, Prepare{}, Promise{}, Reject{}, Accept{}, AcceptReply{},
		Decided{}, Append{}, Committed{}} {
		gob.Register(message)
	}
}
