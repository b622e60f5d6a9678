// Package replica is the state machine of one member of the control plane. It holds three protocols:
//
//   - agreement (agreement.go, plan.go): the view, that is who votes, which of the voters form the chain and with which
//     state the chain begins, is agreed an epoch at a time by a majority of the voters of the view before, as one decision
//     of Paxos. A view names its state by position and digest; it does not carry it.
//   - chain replication (chain.go): within an epoch the head takes orders, each member stores an order before it
//     forwards it, and the tail's copy makes it committed.
//   - transfer (transfer.go): a member that is behind pulls what it lacks, as orders or as a snapshot in pieces.
//
// A voter that has promised the next epoch takes no further entry of the present one. Every chain is long enough to
// share a member with every majority of voters, and a view is put to the vote only once each member of its chain has
// stored the state with which it begins. So a majority always holds a copy with all committed orders.
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
	Domain      string // what fails together with it: its zone or region
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

// Position names a state: its place in the sequence of orders, and the digest of the orders that led to it.
type Position struct {
	Seq     uint64
	History operator.Digest
}

func positionOf(seq uint64, state *operator.State) Position {
	return Position{Seq: seq, History: state.History()}
}

// Proposal is what is agreed for an epoch: the view, and the state with which its chain begins.
type Proposal struct {
	View View
	Base Position
}

// Accepted is a proposal that a voter accepted.
type Accepted struct {
	Ballot   Ballot
	Proposal Proposal
}

// Entry is an order in its place.
type Entry struct {
	Epoch   uint64
	Seq     uint64
	Order   operator.Order
	History operator.Digest // of the state after it
}

func (e *Entry) position() Position { return Position{Seq: e.Seq, History: e.History} }

// Snapshot is a whole state with its place.
type Snapshot struct {
	Seq   uint64
	State operator.Snapshot
}

// Stored is what a member has on its disk.
type Stored struct {
	Self     Member
	Founder  bool     // it may vote on the first view
	Founders []string // the addresses that may, as they were when the disk was empty
	View     *Proposal
	Snapshot *Snapshot // nil: the state before the first order
	Entries  []Entry   // after the snapshot
	Promised Ballot    // for the epoch after the view's
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
	Epoch     uint64
	Sealed    bool // it has promised the next epoch
	Holds     bool // its copy has the state with which the epoch began
	Seq       uint64
	Committed uint64
	Healthy   bool // its disk takes writes
	Core      bool // it can be a voter
	Founder   bool
	Leaving   bool     // it is about to end for good
	Young     bool     // it has only just started, and may not have heard of all peers yet
	Live      []string // addresses of the peers that it reaches
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
	Holds    bool // the voter is in the chain, and its copy, which is at Position, has every committed order
	Position Position
}

// Reject tells a proposer of a higher ballot.
type Reject struct {
	Epoch    uint64
	Promised Ballot
}

// Install asks a member of a chain that is to be proposed to store the state with which it begins.
type Install struct {
	Epoch  uint64
	Ballot Ballot
	Base   Position
	Source Member // has that state
}

// Installed answers Install once the state is stored.
type Installed struct {
	Epoch  uint64
	Ballot Ballot
	Base   Position
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

// FetchRequest asks a member for what leads from the sender's copy to a newer state.
type FetchRequest struct {
	Have     Position
	Want     Position // the zero position: the newest committed one
	Snapshot Position // of which pieces have come
	Piece    int      // the next one of them
}

// FetchReply answers Pull with the entries that follow the position that the sender has.
type FetchReply struct {
	From      Position
	Entries   []Entry
	Committed uint64
}

// SnapshotChunk answers Pull with a part of an encoded snapshot.
type SnapshotChunk struct {
	Snapshot Position
	Index    int
	Count    int
	Bytes    []byte
	Sum      [checksumSize]byte // of Bytes
	Whole    [checksumSize]byte // of the encoded snapshot
}

// Message is one of the messages above.
type Message any

// Envelope is a message with its ends. An incarnation of 0 fits every process at the address.
type Envelope struct {
	From Member
	To   Member
	Body Message
}

// The records are what is to be stored, in order.
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
	// SaveView stores an agreed view, and drops promise and accepted proposal of before.
	SaveView struct{ Proposal Proposal }
	// SaveEntry stores one entry, in place of any that has its place or a later one.
	SaveEntry struct{ Entry Entry }
	// SaveSnapshot stores a whole state, in place of the snapshot and the entries of before.
	SaveSnapshot struct{ Snapshot Snapshot }
)

// Record is one of the records above.
type Record any

// Reply ends an order that was submitted here.
type Reply struct {
	ID       uint64
	Revision int64
	Err      error
	// Unconfirmed is set where the answer is true only if the view of that epoch was still the newest one afterwards.
	Unconfirmed bool
	Epoch       uint64
}

// Ready is what a step asks for: store the records, then send the messages and give the replies.
type Ready struct {
	Records  []Record
	Messages []Envelope
	Replies  []Reply
}

func (o *Ready) add(other Ready) {
	o.Records = append(o.Records, other.Records...)
	o.Messages = append(o.Messages, other.Messages...)
	o.Replies = append(o.Replies, other.Replies...)
}

func containsAddress(members []Member, address string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Address == address })
}

// MaxBallot gives the higher of two ballots.
func MaxBallot(a, b Ballot) Ballot {
	if a.compare(b) >= 0 {
		return a
	}
	return b
}

// wirePath precedes the names under which gob knows the messages. Two versions of the program understand each other by these
// names, so a type that is renamed or moved keeps the name that it had on the wire.
const wirePath = "linenwheel.dev/linenwheel/internal/fleet/replica."

// RegisterMessages makes the messages known to gob, before the first one is sent or read.
func RegisterMessages() {
	for name, message := range map[string]Message{"Heartbeat": Heartbeat{}, "HeartbeatReply": HeartbeatReply{}, "Prepare": Prepare{},
		"Promise": Promise{}, "Reject": Reject{}, "Install": Install{}, "Installed": Installed{}, "Accept": Accept{},
		"AcceptReply": AcceptReply{}, "Decided": Decided{}, "Append": Append{}, "Committed": Committed{}, "Pull": FetchRequest{},
		"Orders": FetchReply{}, "Piece": SnapshotChunk{}} {
		gob.RegisterName(wirePath+name, message)
	}
}
