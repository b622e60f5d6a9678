package replica

import (
	"encoding/gob"
	"time"
)

// The messages are sent with gob, which encodes the names of their fields, so the fields cannot be renamed. Some
// names differ from the terms used elsewhere in the code: Holds (has the base, or all committed orders), Young
// (has just started), Core (can vote), Live (reachable), Learned (known addresses), Piece (index of a chunk),
// Whole (checksum of the complete snapshot).

// Heartbeat asks a peer for its status and carries the status of the sender.
type Heartbeat struct {
	Stamp   time.Duration // time on the sender's clock; the reply returns it
	Status  Status
	Learned []string // internal addresses of the members that the sender knows
}

// HeartbeatReply is the reply to Heartbeat.
type HeartbeatReply struct {
	Stamp   time.Duration
	Status  Status
	Learned []string
}

// Status is what a member reports about itself.
type Status struct {
	Epoch     uint64
	Sealed    bool // it has promised a ballot of the next epoch
	Holds     bool // its log has passed through the state with which the epoch began
	Seq       uint64
	Committed uint64
	Healthy   bool // its last write to the disk succeeded
	Core      bool // it can be a voter
	Founder   bool
	Leaving   bool     // it is about to shut down permanently
	Young     bool     // it started less than FailureTimeout ago, so some peers may not have replied yet
	Live      []string // addresses of the peers that it reaches
}

// Prepare asks a voter to promise a ballot for an epoch.
type Prepare struct {
	Epoch  uint64
	Ballot Ballot
}

// Promise is the reply to Prepare. It is sent after the promise is stored.
type Promise struct {
	Epoch    uint64
	Ballot   Ballot
	Accepted *Accepted
	Holds    bool // the voter's log, which ends at Position, contains every committed order
	Position Position
}

// Reject is the reply to a Prepare or an Accept whose ballot is lower than the promised one.
type Reject struct {
	Epoch    uint64
	Promised Ballot
}

// Install asks a member of a chain that is about to be proposed to store the state with which that chain begins.
type Install struct {
	Epoch  uint64
	Ballot Ballot
	Base   Position
	Source Member // has that state
}

// Installed is the reply to Install. It is sent after the state is stored.
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

// AcceptReply is the reply to Accept. It is sent after the accepted proposal is stored.
type AcceptReply struct {
	Epoch  uint64
	Ballot Ballot
}

// Decided announces an agreed view.
type Decided struct{ Proposal Proposal }

// Append forwards an entry to the next member of the chain. It is sent after the sender has stored the entry.
type Append struct{ Entry Entry }

// Committed announces to the chain that the tail has stored an entry.
type Committed struct {
	Epoch uint64
	Seq   uint64
}

// FetchRequest asks a member for the entries or the snapshot that lead from the sender's log to a later state.
type FetchRequest struct {
	Have     Position // the last position that the sender knows to be committed
	Want     Position // the requested position; zero: the last committed one
	Snapshot Position // position of the snapshot whose chunks were received so far
	Piece    int      // index of the next chunk
}

// FetchReply is the reply to FetchRequest with the entries after the position in the request.
type FetchReply struct {
	From      Position
	Entries   []Entry
	Committed uint64
}

// SnapshotChunk is the reply to FetchRequest with one chunk of an encoded snapshot.
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

// Envelope is a message with its sender and its recipient. An incarnation of 0 matches any process at the address.
type Envelope struct {
	From Member
	To   Member
	Body Message
}

// wirePath is the prefix of the names under which gob knows the messages. Different versions of the program
// identify the message types by these names, so a type that is renamed or moved keeps its name on the wire.
const wirePath = "linenwheel.dev/linenwheel/internal/fleet/replica."

// RegisterMessages registers the messages with gob. It must be called before the first message is sent or
// received.
func RegisterMessages() {
	for name, message := range map[string]Message{"Heartbeat": Heartbeat{}, "HeartbeatReply": HeartbeatReply{}, "Prepare": Prepare{},
		"Promise": Promise{}, "Reject": Reject{}, "Install": Install{}, "Installed": Installed{}, "Accept": Accept{},
		"AcceptReply": AcceptReply{}, "Decided": Decided{}, "Append": Append{}, "Committed": Committed{}, "Pull": FetchRequest{},
		"Orders": FetchReply{}, "Piece": SnapshotChunk{}} {
		gob.RegisterName(wirePath+name, message)
	}
}
