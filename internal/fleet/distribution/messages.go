// Package distribution implements the distribution of the control plane's configuration, registry and membership
// to the data plane nodes: the messages of the long poll, and the node's side of it (ClientState) with the lease
// on the configuration. It is pure.
package distribution

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// Methods of the internal calls. These names and the field names below are part of the wire format, which
// processes of other versions use too.
const (
	// MethodPoll is the method of the long poll.
	MethodPoll = "Distribution.Poll"
	// MethodAnnounce is the method by which a node announces events of its attempts to a control process.
	MethodAnnounce = "Distribution.Announce"
	// MethodForward is the method by which control processes forward announcements to each other.
	MethodForward = "Distribution.Relay"
)

// MaxRegistryConfirmationAge is the age of the registry's confirmation (PollReply.ListConfirmedAgo) beyond which a
// node switches to another control process. The control plane relies on it when it acknowledges a deregistration.
const MaxRegistryConfirmationAge = 1200 * time.Millisecond

// PollRequest requests the changes since the state that a data plane node has.
type PollRequest struct {
	Node            string
	Session         uint64 // random, chosen when the node starts
	ConfigSeq       uint64 // 0: the full document is requested
	RegistryOwner   uint64 // the registry replica to which RegistryVersion belongs
	RegistryVersion uint64
	EventSeq        uint64        // sequence number of the newest attempt event of RegistryOwner that the node has
	Hold            time.Duration // maximum time for which the reply may wait for a change
}

// PollReply returns the requested changes.
type PollReply struct {
	// Confirmed means that the configuration is known to have been the newest one ConfirmedAgo before this reply
	// was written.
	Confirmed    bool
	ConfirmedAgo time.Duration

	ConfigSeq uint64 // of the configuration after Update, or of the older one that is Confirmed
	Update    Update // from the requested configuration

	// ListConfirmed means that the registry had every acknowledged change ListConfirmedAgo before this reply was
	// written.
	ListConfirmed    bool
	ListConfirmedAgo time.Duration

	RegistryOwner   uint64
	RegistryVersion uint64
	RegistryAge     time.Duration // since this replica was created empty; MaxRegistryConfirmationAge does not bound it
	Whole           bool          // Records holds all records, not only changed ones
	Records         []registry.Record

	EventSeq uint64 // of the newest of Events
	Events   []byte // in the encoding of routing.AppendEvent

	Epoch    uint64          // of the control plane's view
	Members  []ControlMember // the chain, head first, then the other voters
	Sessions int             // approximate number of live data plane nodes
	Leaving  bool            // this control process is shutting down
}

// ControlMember is one process of the control plane.
type ControlMember struct {
	Address string // internal address
	Zone    string // empty = unknown
	InChain bool
}

// Announcement holds the attempt events of one node.
type Announcement struct {
	Session uint64 // of the node that made the attempts
	Events  []byte // in the encoding of routing.AppendEvent
}

// ForwardRequest holds announcements that one control process forwards to another.
type ForwardRequest struct{ Announcements []Announcement }
