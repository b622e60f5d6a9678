// Package distribution carries the configuration, the registry and the membership of the control plane to the nodes of the
// data plane: the messages of the long poll, and the node's side of it (ClientState) with the lease on the configuration. It
// is pure.
package distribution

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// The methods of the internal calls. These names and those of the fields below are on the wire: another version of this
// program uses them too.
const (
	// MethodPoll is the method of the long poll.
	MethodPoll = "Distribution.Poll"
	// MethodAnnounce is the method by which a node announces events of its attempts to a control process.
	MethodAnnounce = "Distribution.Announce"
	// MethodForward is the method by which control processes forward announcements to each other.
	MethodForward = "Distribution.Relay"
)

// MaxRegistryConfirmationAge is the age of the registry's confirmation (PollReply.ListConfirmedAgo) from which on a node turns to another
// control process. The control plane relies on it when it acknowledges a deregistration.
const MaxRegistryConfirmationAge = 1200 * time.Millisecond

// PollRequest requests what is newer than what a node of the data plane has.
type PollRequest struct {
	Node            string
	Session         uint64 // drawn at the node's start
	ConfigSeq       uint64 // 0: the whole document is requested
	RegistryOwner   uint64 // the replica of the registry whose changes RegistryVersion counts
	RegistryVersion uint64
	EventSeq        uint64        // the newest of RegistryOwner's events of attempts that the node has
	Hold            time.Duration // how long the answer may wait for something new
}

// PollReply returns what is newer.
type PollReply struct {
	// Confirmed says that the configuration was certainly the newest one ConfirmedAgo before this reply was written.
	Confirmed    bool
	ConfirmedAgo time.Duration

	ConfigSeq uint64 // of the configuration after Update
	Update    Update // from the requested configuration

	// ListConfirmed says that the registry had every acknowledged change ListConfirmedAgo before this reply was written.
	ListConfirmed    bool
	ListConfirmedAgo time.Duration

	RegistryOwner   uint64
	RegistryVersion uint64
	RegistryAge     time.Duration // since that copy of the registry was empty; not what MaxRegistryConfirmationAge bounds
	Whole           bool          // Records are all records, not only those that changed
	Records         []registry.Record

	EventSeq uint64 // of the newest of Events
	Events   []byte // in the encoding of routing.AppendEvent

	Epoch    uint64          // of the control plane's view
	Members  []ControlMember // the chain, head first, then the other voters
	Sessions int             // about how many nodes of the data plane are live
	Leaving  bool            // this control process is about to end
}

// ControlMember is one process of the control plane.
type ControlMember struct {
	Address string // internal address
	Zone    string // empty = not known
	InChain bool
}

// Announcement holds the events of one node's attempts.
type Announcement struct {
	Session uint64 // of the node that made the attempts
	Events  []byte // in the encoding of routing.AppendEvent
}

// ForwardRequest holds announcements that one control process forwards to another.
type ForwardRequest struct{ Announcements []Announcement }
