// Package distribution brings the configuration, the raters and the members of the control plane to the data plane: the
// messages of the long poll, the data plane's side of it (client.go), and the lease on the configuration.
package distribution

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// MethodPoll is the method of the long poll.
const MethodPoll = "Distribution.Poll"

// PollRequest asks for what is newer than what a node of the data plane has.
type PollRequest struct {
	Node            string
	Session         uint64 // drawn at the node's start
	ConfigSeq       uint64
	RegistryOwner   uint64 // the copy of the registry that RegistryVersion counts in
	RegistryVersion uint64
	EventSeq        uint64        // the newest of RegistryOwner's events of attempts that was had
	Hold            time.Duration // how long the answer may wait for news
}

// PollReply brings news.
type PollReply struct {
	// Confirmed tells that the configuration was certainly the newest one ConfirmedAgo before this answer was written.
	Confirmed    bool
	ConfirmedAgo time.Duration

	ConfigSeq uint64
	Update    Update // what leads from the asked configuration to this one

	// ListConfirmed tells that the list of raters held everything that was acknowledged ListConfirmedAgo before this answer was
	// written.
	ListConfirmed    bool
	ListConfirmedAgo time.Duration

	RegistryOwner   uint64
	RegistryVersion uint64
	RegistryAge     time.Duration // since that copy was begun
	Whole           bool          // Records are all there are
	Records         []registry.Record

	EventSeq uint64
	Events   []byte // as routing packs them

	Epoch    uint64
	Members  []ControlMember // the chain first, head first
	Sessions int             // live nodes of the data plane
	Leaving  bool            // this control process is about to end
}

// Update is a configuration on its way, encoded once for all nodes that need the same one; empty where there is nothing new.
type Update []byte

// updateContent is what an Update holds.
type updateContent struct {
	Document []byte           // the whole configuration, or
	Patches  []operator.Order // the orders that lead from the asked one to it
}

// NewUpdate encodes a whole configuration, or the orders that lead to it.
func NewUpdate(document []byte, patches []operator.Order) (Update, error) {
	content := updateContent{Patches: patches}
	if document != nil {
		content.Document = operator.Compress(document)
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(content); err != nil {
		return nil, fmt.Errorf("distribution: %w", err)
	}
	return buffer.Bytes(), nil
}

// Read gives the whole configuration, or the orders that lead to it.
func (u Update) Read() (document []byte, patches []operator.Order, err error) {
	if len(u) == 0 {
		return nil, nil, nil
	}
	var content updateContent
	if err := gob.NewDecoder(bytes.NewReader(u)).Decode(&content); err != nil {
		return nil, nil, fmt.Errorf("distribution: %w", err)
	}
	if content.Document == nil {
		return nil, content.Patches, nil
	}
	document, err = operator.Decompress(content.Document)
	return document, nil, err
}

// MaxRegistryAge is the age of a list of raters from which on a node turns to another control process.
const MaxRegistryAge = 1200 * time.Millisecond

// MethodAnnounce is the method by which a node tells of its attempts, MethodRelay that by which control processes hand it on.
const (
	MethodAnnounce = "Distribution.Announce"
	MethodRelay    = "Distribution.Relay"
)

// Announcement is what one node tells of its attempts.
type Announcement struct {
	Session uint64 // of the node that made the attempts
	Events  []byte // as routing packs them
}

// RelayRequest is what one control process hands on to another.
type RelayRequest struct{ Announcements []Announcement }

// ControlMember is one process of the control plane.
type ControlMember struct {
	Address string
	Zone    string // empty = not known
	InChain bool
}
