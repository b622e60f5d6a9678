package replica

import (
	"encoding/gob"
	"time"
)

// The messages are sent with gob, which encodes the names of their fields. Some of these are not the terms that the code
// uses otherwise, and stay as they are: Holds (has the base, or all committed orders), Young (has just started), Core (can vote),
// Live (reachable), Learned (known addresses), Piece (index of a chunk), Whole (checksum of the complete snapshot).

// Heartbeat asks a peer whether it is alive and in which epoch it is.
type Heartbeat struct {
	Stamp   time.Duration // of the sender's clock, returned in the reply
	Status  Status
	Learned []string // internal addresses of the members that the sender knows
}

// HeartbeatReply answers Heartbeat.
type HeartbeatReply struct {
	Stamp   time.Duration
	Status  Status
	Learned []string
}

// Status is what a member reports of itself.
type Status struct {
	Epoch     uint64
	Sealed    bool // it has promised a ballot of the next epoch
	Holds     bool // its log has passed through the state with which the epoch began
	Seq       uint64
	Committed uint64
	Healthy   bool // its last write to the disk succeeded
	Core      bool // it can be a voter
	Founder   bool
	Leaving   bool     // it is about to shut down for good
	Young     bool     // it started less than FailureTimeout ago, and may not have had replies from all peers yet
	Live      []string // addresses of the peers that it reaches
}

// Prepare asks a voter to promise a ballot for an epoch.
type Prepare struct {
	Epoch  uint64
	Ballot Ballot
}

// Promise answers Prepare. It is sent once the promise is stored.
type Promise struct {
	Epoch    uint64
	Ballot   Ballot
	Accepted *Accepted
	Holds    bool // the voter's log, which ends at Position, contains every committed order
	Position Position
}

// Reject answers a Prepare or an Accept whose ballot is lower than the promised one.
type Reject struct {
	Epoch    uint64
	Promised Ballot
}

// Install asks a member of a chain that is to be proposed to store the state with which the chain begins.
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

// AcceptReply answers Accept. It is sent once the accepted proposal is stored.
type AcceptReply struct {
	Epoch  uint64
	Ballot Ballot
}

// Decided announces an agreed view.
type Decided struct{ Proposal Proposal }

// Append forwards an entry to the next member of the chain. It is sent once the sender has stored the entry.
type Append struct{ Entry Entry }

// Committed announces to the chain that the tail has stored an entry.
type Committed struct {
	Epoch uint64
	Seq   uint64
}

// FetchRequest asks a member for what leads from the sender's log to a later state.
type FetchRequest struct {
	Have     Position // the last position that the sender knows to be committed
	Want     Position // the zero position: the last committed one
	Snapshot Position // of the chunks received so far
	Piece    int      // index of the next chunk
}

// FetchReply answers FetchRequest with the entries that follow the position that the sender has.
type FetchReply struct {
	From      Position
	Entries   []Entry
	Committed uint64
}

// SnapshotChunk answers FetchRequest with a part of an encoded snapshot.
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

// Envelope is a message with its sender and recipient. An incarnation of 0 matches every process at the address.
type Envelope struct {
	From Member
	To   Member
	Body Message
}

// wirePath precedes the names under which gob knows the messages. Two versions of the program understand each other by these
// names, so a type that is renamed or moved keeps the name that it had on the wire.
const wirePath = "linenwheel.dev/linenwheel/internal/fleet/replica."

// RegisterMessages registers the messages with gob. It must be called before the first one is sent or received.
func RegisterMessages() {
	for name, message := range map[string]Message{"Heartbeat": Heartbeat{}, "HeartbeatReply": HeartbeatReply{}, "Prepare": Prepare{},
		"Promise": Promise{}, "Reject": Reject{}, "Install": Install{}, "Installed": Installed{}, "Accept": Accept{},
		"AcceptReply": AcceptReply{}, "Decided": Decided{}, "Append": Append{}, "Committed": Committed{}, "Pull": FetchRequest{},
		"Orders": FetchReply{}, "Piece": SnapshotChunk{}} {
		gob.RegisterName(wirePath+name, message)
	}
}
