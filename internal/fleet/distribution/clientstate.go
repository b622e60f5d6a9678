package distribution

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

const (
	leaseFraction = 0.9              // of the revocation time, for which a confirmed configuration may be used
	unlistedTTL   = 15 * time.Second // age of a registry at which a backend that it does not list is taken to be gone
)

// errMissingBase means that patches were received for a configuration that the node does not have.
var errMissingBase = errors.New("received patches without their base configuration")

// ClientState is a node's copy of the state that the control plane distributes, built from the replies to the
// node's polls. It is pure and not safe for concurrent use. Whichever control processes the node polls, neither
// the configuration nor the lifecycle of a known backend ever moves backward.
type ClientState struct {
	failClosed    bool
	leaseDuration time.Duration

	seq              uint64        // of the configuration
	seqKnownBy       time.Duration // when a poll was sent after that configuration had been received; 0 = none yet
	foreign          bool          // the configuration is not one of the control plane that replies now
	state            *operator.State
	table            *operator.Table // state, compiled
	needFullDocument bool            // an update could not be applied: the next poll requests the full document
	confirmed        bool            // by the last reply
	leaseEnd         time.Duration

	registryOwner   uint64 // the registry replica to which registryVersion and eventSeq belong
	registryVersion uint64
	eventSeq        uint64
	backends        map[string]registry.Record // by ID

	epoch    uint64
	members  []ControlMember
	sessions int
}

// NewClientState returns an empty state. With failClosed, a configuration may be used only as long as it is
// certain that no newer one was acknowledged more than revokeAfter ago.
func NewClientState(failClosed bool, revokeAfter time.Duration) *ClientState {
	return &ClientState{failClosed: failClosed, leaseDuration: time.Duration(leaseFraction * float64(revokeAfter)),
		backends: map[string]registry.Record{}}
}

// Request returns the next poll. The control process may delay its reply for up to maxWait.
func (c *ClientState) Request(node string, session uint64, maxWait time.Duration) PollRequest {
	request := PollRequest{Node: node, Session: session, ConfigSeq: c.seq, RegistryOwner: c.registryOwner,
		RegistryVersion: c.registryVersion, EventSeq: c.eventSeq, Hold: maxWait}
	if c.needFullDocument {
		request.ConfigSeq = 0
	}
	return request
}

// Change reports which parts of the state a reply changed.
type Change struct {
	Config   bool
	Backends bool
	Leaving  []registry.Record // of the known backends that now drain or are removed
}

// Apply applies the reply to a poll that was sent at the given time. If the configuration cannot be applied, Apply
// returns the error and leaves the rest of the state unchanged; if a patch or the encoding was invalid, the next
// poll requests the full document.
func (c *ClientState) Apply(sent time.Duration, reply *PollReply) (Change, error) {
	var change Change
	if c.contradicts(sent, reply) {
		c.forget()
	}
	if err := c.applyConfig(reply, &change); err != nil {
		return change, err
	}
	c.confirmed = reply.Confirmed && reply.ConfigSeq <= c.seq && !c.foreign
	if c.confirmed {
		// The reply was written after the poll was sent, so the configuration was the newest one at this time or
		// later.
		newestAt := sent - max(0, reply.ConfirmedAgo)
		c.leaseEnd = max(c.leaseEnd, newestAt+c.leaseDuration)
	}
	if reply.Epoch >= c.epoch && len(reply.Members) > 0 {
		c.epoch, c.members = reply.Epoch, reply.Members
	}
	c.sessions = reply.Sessions
	c.applyBackends(reply, &change)
	return change, nil
}

// contradicts reports whether a reply to a poll that was sent at the given time cannot come from the control plane that has
// committed this configuration: it confirms an older one as the newest at a time when this one had already been committed. That
// is so where a control plane was started anew on empty disks.
func (c *ClientState) contradicts(sent time.Duration, reply *PollReply) bool {
	if c.seq > 0 && c.seqKnownBy == 0 {
		c.seqKnownBy = sent
	}
	return reply.Confirmed && reply.ConfigSeq < c.seq && sent-reply.ConfirmedAgo > c.seqKnownBy
}

// forget has the next poll request the full document, whatever its number. Until one is received, the configuration is used as
// long as its lease lasts.
func (c *ClientState) forget() {
	c.seq, c.seqKnownBy, c.state, c.epoch, c.foreign = 0, 0, nil, 0, true
}

// Foreign reports whether the configuration is not one of the control plane that replies now, which has none yet.
func (c *ClientState) Foreign() bool { return c.foreign }

// applyConfig applies the reply's update, unless the current configuration is at least as new.
func (c *ClientState) applyConfig(reply *PollReply, change *Change) error {
	if reply.ConfigSeq < c.seq || reply.ConfigSeq == c.seq && !c.needFullDocument || len(reply.Update) == 0 && c.foreign {
		return nil
	}
	document, patches, err := reply.Update.Read()
	if err != nil {
		c.needFullDocument = true
		return err
	}
	state, err := c.updatedState(document, patches)
	if err != nil {
		return err
	}
	c.seq, c.state, c.table = reply.ConfigSeq, state, state.Document.Compile()
	c.needFullDocument, c.foreign, c.seqKnownBy = false, false, 0
	change.Config = true
	return nil
}

// updatedState returns the state of a full document, or, if document is nil, the current state with patches
// applied.
func (c *ClientState) updatedState(document []byte, patches []operator.Order) (*operator.State, error) {
	if document != nil {
		parsed, err := operator.ParseDocument(document)
		if err != nil {
			return nil, err // the next poll requests the same update again
		}
		state := operator.NewState()
		state.Document = parsed
		return state, nil
	}
	if c.state == nil {
		c.needFullDocument = true
		return nil, errMissingBase
	}
	state := c.state
	for _, order := range patches {
		next, err := state.ApplyCommitted(order)
		if err != nil {
			c.needFullDocument = true
			return nil, err
		}
		state = next
	}
	return state, nil
}

// applyBackends applies the reply's records and notes in change what that changes in the result of Backends.
func (c *ClientState) applyBackends(reply *PollReply, change *Change) {
	for _, record := range reply.Records {
		known, present := c.backends[record.ID]
		change.Backends = c.applyBackend(record) || change.Backends
		if applied := c.backends[record.ID]; present && applied.State > known.State {
			change.Leaving = append(change.Leaving, applied)
		}
	}
	if reply.Whole {
		change.Backends = c.dropUnlisted(reply) || change.Backends
	}
	c.registryOwner, c.registryVersion, c.eventSeq = reply.RegistryOwner, reply.RegistryVersion, reply.EventSeq
}

// applyBackend applies a record of a registry replica and reports whether that changes the result of Backends.
func (c *ClientState) applyBackend(record registry.Record) bool {
	known, present := c.backends[record.ID]
	if !present {
		c.backends[record.ID] = record
		return record.State != registry.Removed
	}
	record = registry.Join(known, record) // the replica may know less of the backend than this node does
	c.backends[record.ID] = record
	return known.State != record.State || known.Late != record.Late || known.Silent != record.Silent || known.Address != record.Address
}

// dropUnlisted removes the backends that the registry does not list, if the registry is at least unlistedTTL old:
// a younger one, of a recently started process, may not have received all heartbeats yet. It reports whether any
// backend was removed.
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

// Table returns the compiled configuration, or nil if none has been received.
func (c *ClientState) Table() *operator.Table { return c.table }

// LeaseEnd returns the time until which the configuration may be used. Unless the state fails closed, the lease
// never ends.
func (c *ClientState) LeaseEnd() time.Duration {
	if !c.failClosed {
		return math.MaxInt64
	}
	return c.leaseEnd
}

// Confirmed reports whether the last reply confirmed the configuration.
func (c *ClientState) Confirmed() bool { return c.confirmed }

// Backends returns the backends that are neither removed nor lost, sorted by ID. If more than half count as lost,
// a fault of the control plane is assumed, and the lost ones are returned too.
func (c *ClientState) Backends() []registry.Record {
	backends := make([]registry.Record, 0, len(c.backends))
	lost := 0
	for _, record := range c.backends {
		if record.State == registry.Removed {
			continue
		}
		backends = append(backends, record)
		if record.Silent {
			lost++
		}
	}
	if 2*lost <= len(backends) {
		backends = slices.DeleteFunc(backends, func(r registry.Record) bool { return r.Silent })
	}
	slices.SortFunc(backends, func(a, b registry.Record) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

// Members returns the epoch of the newest known view and its control processes: the chain, head first, then the
// other voters.
func (c *ClientState) Members() (epoch uint64, members []ControlMember) { return c.epoch, c.members }

// Nodes returns the approximate number of live data plane nodes, at least 1.
func (c *ClientState) Nodes() int { return max(1, c.sessions) }
