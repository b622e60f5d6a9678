package replica

import (
	"cmp"
	"slices"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The types in this file are sent and stored with gob, which encodes the names of their fields: another version
// would decode a renamed field as zero.

// Member is one control process with its disk. A process that finds its disk empty draws a new incarnation and is
// then a different member, even at the same address.
type Member struct {
	Address     string // at which it accepts internal requests
	Incarnation uint64
	Domain      string // failure domain: zone or region
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}

func containsAddress(members []Member, address string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Address == address })
}

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !slices.Contains(b, m) })
}

// union returns the members of a, then those of b that are not in a.
func union(a, b []Member) []Member {
	all := slices.Clone(a)
	for _, member := range b {
		if !slices.Contains(all, member) {
			all = append(all, member)
		}
	}
	return all
}

// View is the agreed membership of one epoch.
type View struct {
	Epoch  uint64
	Voters []Member
	Chain  []Member // head first; all of them are voters
}

// Head returns the member that accepts orders, or the zero Member if the chain is empty.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the member that commits an order by storing it, or the zero Member if the chain is empty.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

func majority(voters int) int { return voters/2 + 1 }

// Ballot identifies and orders the attempts to agree on the view of one epoch.
type Ballot struct {
	Round    uint64
	Proposer Member
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer.Address, other.Proposer.Address),
		cmp.Compare(b.Proposer.Incarnation, other.Proposer.Incarnation))
}

// MaxBallot returns the higher of two ballots.
func MaxBallot(a, b Ballot) Ballot {
	if a.compare(b) >= 0 {
		return a
	}
	return b
}

// Position identifies a state by its index in the sequence of orders and the digest of all orders that led to it.
type Position struct {
	Seq     uint64
	History operator.Digest
}

func positionOf(seq uint64, state *operator.State) Position {
	return Position{Seq: seq, History: state.History()}
}

// Proposal is the content of an agreement on one epoch: the view, and the state with which its chain begins.
type Proposal struct {
	View View
	Base Position
}

// Accepted is a proposal that a voter accepted.
type Accepted struct {
	Ballot   Ballot
	Proposal Proposal
}

// Entry is an order with its position in the log.
type Entry struct {
	Epoch   uint64
	Seq     uint64
	Order   operator.Order
	History operator.Digest // of the state after the order
}

func (e *Entry) position() Position { return Position{Seq: e.Seq, History: e.History} }

// Snapshot is a complete state with its index.
type Snapshot struct {
	Seq   uint64
	State operator.Snapshot
}
