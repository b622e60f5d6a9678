package distribution

import (
	"errors"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// The figures of a node's copy.
const (
	leaseFraction = 0.9              // part of RevokeMs for which a confirmed configuration may be used
	unlistedTTL   = 15 * time.Second // a copy of the registry that is older and does not list a rater knows that it is gone
)

// errMissingBase says that patches came for a configuration that the node does not have.
var errMissingBase = errors.New("patches without the configuration that they build on")

// ClientState is a node's copy of what the control plane gives out. It is pure and not safe for concurrent use.
type ClientState struct {
	seq              uint64
	needFullDocument bool // a patch did not fit: the next answer must bring the whole document
	state            *operator.State
	table            *operator.Table
	leaseDuration    time.Duration
	failClosed       bool
	leaseEnd         time.Duration
	registryOwner    uint64
	registryVersion  uint64
	eventSeq         uint64
	backends         map[string]registry.Record
	epoch            uint64
	members          []ControlMember
	sessions         int
	confirmed        bool
}

// NewClientState makes an empty copy. Where closed is set, a configuration may be used only while it is known that no newer one
// was acknowledged more than revoke ago.
func NewClientState(closed bool, revoke time.Duration) *ClientState {
	return &ClientState{failClosed: closed, leaseDuration: time.Duration(leaseFraction * float64(revoke)), backends: map[string]registry.Record{}}
}

// Request gives the next poll.
func (c *ClientState) Request(node string, session uint64, hold time.Duration) PollRequest {
	request := PollRequest{Node: node, Session: session, ConfigSeq: c.seq, RegistryOwner: c.registryOwner, RegistryVersion: c.registryVersion,
		EventSeq: c.eventSeq, Hold: hold}
	if c.needFullDocument {
		request.ConfigSeq = 0
	}
	return request
}

// Change tells what an answer changed.
type Change struct {
	Config   bool
	Backends bool
}

// Apply takes the answer to a poll that was sent at a time. An answer never takes the configuration back.
func (c *ClientState) Apply(sent time.Duration, reply *PollReply) (Change, error) {
	var change Change
	if err := c.applyConfig(reply, &change); err != nil {
		return change, err
	}
	c.confirmed = reply.Confirmed && reply.ConfigSeq == c.seq
	if c.confirmed {
		// The configuration was the newest at some time no earlier than so long before the poll was sent.
		c.leaseEnd = max(c.leaseEnd, sent-reply.ConfirmedAgo+c.leaseDuration)
	}
	if reply.Epoch >= c.epoch && len(reply.Members) > 0 {
		c.epoch, c.members = reply.Epoch, reply.Members
	}
	c.sessions = reply.Sessions
	change.Backends = c.applyBackends(reply)
	return change, nil
}

func (c *ClientState) applyConfig(reply *PollReply, change *Change) error {
	if reply.ConfigSeq < c.seq || reply.ConfigSeq == c.seq && !c.needFullDocument {
		return nil
	}
	whole, patches, err := reply.Update.Read()
	if err != nil {
		c.needFullDocument = true
		return err
	}
	state := c.state
	if whole != nil {
		document, err := operator.ParseDocument(whole)
		if err != nil {
			return err
		}
		state = operator.NewState()
		state.Document = document
	} else {
		if state == nil {
			c.needFullDocument = true
			return errMissingBase
		}
		for _, order := range patches {
			next, err := state.ApplyCommitted(order)
			if err != nil {
				c.needFullDocument = true
				return err
			}
			state = next
		}
	}
	c.seq, c.state, c.table = reply.ConfigSeq, state, state.Document.Compile()
	c.needFullDocument = false
	change.Config = true
	return nil
}

func (c *ClientState) applyBackends(reply *PollReply) bool {
	changed := false
	for _, record := range reply.Records {
		changed = c.applyBackend(record) || changed
	}
	if reply.Whole {
		changed = c.dropUnlisted(reply) || changed
	}
	c.registryOwner, c.registryVersion, c.eventSeq = reply.RegistryOwner, reply.RegistryVersion, reply.EventSeq
	return changed
}

func (c *ClientState) applyBackend(record registry.Record) bool {
	known, present := c.backends[record.ID]
	if !present {
		c.backends[record.ID] = record
		return record.State != registry.Removed
	}
	if record.Sequence < known.Sequence || record.State < known.State { // a copy that is behind
		return false
	}
	if record.Address == "" { // it left, and the copy knew it only by its id
		gone := known
		gone.State = registry.Removed
		record = gone
	}
	c.backends[record.ID] = record
	return known.State != record.State || known.Late != record.Late || known.Silent != record.Silent || known.Address != record.Address
}

// dropUnlisted forgets raters that a copy of the registry does not list although it has been there for long. One that was
// begun just now does not know them yet.
func (c *ClientState) dropUnlisted(reply *PollReply) bool {
	if reply.RegistryAge < unlistedTTL {
		return false
	}
	dropped := false
	for id := range c.backends {
		if !slices.ContainsFunc(reply.Records, func(r registry.Record) bool { return r.ID == id }) {
			delete(c.backends, id)
			dropped = true
		}
	}
	return dropped
}

// Table is the compiled configuration, nil before the first.
func (c *ClientState) Table() *operator.Table { return c.table }

// LeaseEnd is until when the configuration may be used; it never ends where that need not be confirmed.
func (c *ClientState) LeaseEnd() time.Duration {
	if !c.failClosed {
		return time.Duration(1<<63 - 1)
	}
	return c.leaseEnd
}

// Confirmed tells whether the last answer confirmed the configuration.
func (c *ClientState) Confirmed() bool { return c.confirmed }

// Backends are the raters that have not left and have been heard. Where control has heard of less than half of them, it is
// taken to be at fault: then all count.
func (c *ClientState) Backends() []registry.Record {
	raters := make([]registry.Record, 0, len(c.backends))
	silent := 0
	for _, record := range c.backends {
		if record.State == registry.Removed {
			continue
		}
		raters = append(raters, record)
		if record.Silent {
			silent++
		}
	}
	if 2*silent <= len(raters) {
		raters = slices.DeleteFunc(raters, func(r registry.Record) bool { return r.Silent })
	}
	slices.SortFunc(raters, func(a, b registry.Record) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return raters
}

// Members are the control processes, the chain first, and the epoch in which they were.
func (c *ClientState) Members() (uint64, []ControlMember) { return c.epoch, c.members }

// Nodes is about how many nodes of the data plane there are.
func (c *ClientState) Nodes() int { return max(1, c.sessions) }
