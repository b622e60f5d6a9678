package operator

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/benbjohnson/immutable"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// maxAccepted bounds the number of accepted orders that are remembered. Orders are retried within seconds, and at
// 41,000 changes a day this number covers 2.4 hours. An order that is retried later is not falsely rejected: see
// State.horizon.
const maxAccepted = 4096

// digestSize is the length of the digests of orders and histories, in bytes.
const digestSize = 16

// Order is one operator request that changes the configuration.
type Order struct {
	Method string // PUT for a full document, PATCH for named items
	Base   int64  // the revision to which the order applies
	Body   []byte
}

// Digest identifies an order by its content: a retry of an order has the same digest.
type Digest string

// Digest returns the order's digest.
func (o *Order) Digest() Digest {
	hash := sha256.New()
	hash.Write([]byte(o.Method))
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(o.Base))
	hash.Write(base[:])
	hash.Write(o.Body)
	return Digest(hash.Sum(nil)[:digestSize])
}

// State is the replicated state: the current document and the orders that were accepted. It is immutable.
type State struct {
	Document      *Document
	accepted      *immutable.Map[string, int64] // from an order's digest to the revision that it created
	acceptedOrder *immutable.List[string]       // digests, oldest first
	// horizon is the revision that the most recently forgotten order created, 0 if none was forgotten. It is
	// unknown whether an order whose base is an earlier revision was accepted, so such an order is neither
	// acknowledged nor rejected.
	horizon int64
	history Digest
}

// NewState returns the state before the first order.
func NewState() *State {
	return &State{Document: EmptyDocument(), accepted: immutable.NewMap[string, int64](nil), acceptedOrder: immutable.NewList[string]()}
}

// History identifies the sequence of all orders that led to this state: two states with the same history are equal.
func (s *State) History() Digest { return s.history }

// extend returns the history extended by one order.
func (d Digest) extend(order Digest) Digest {
	hash := sha256.New()
	hash.Write([]byte(d))
	hash.Write([]byte(order))
	return Digest(hash.Sum(nil)[:digestSize])
}

// Accepted returns the revision that an order with this digest created, and whether such an order is known to have
// been accepted.
func (s *State) Accepted(digest Digest) (int64, bool) { return s.accepted.Get(string(digest)) }

// Apply returns the state after an order, or an error of kind InvalidConfig, VersionConflict or OutcomeUnknown.
// This state stays unchanged.
func (s *State) Apply(order Order) (*State, error) {
	next, err := s.applyTo(order)
	if err != nil {
		return nil, err
	}
	if order.Base < s.horizon {
		return nil, errkind.New(errkind.OutcomeUnknown, "the order builds on %d; what was taken before %d is not remembered", order.Base, s.horizon)
	}
	if order.Base != s.Document.Revision {
		return nil, errkind.New(errkind.VersionConflict, "the order builds on %d, %d is current", order.Base, s.Document.Revision)
	}
	if next.Revision <= s.Document.Revision {
		return nil, invalid("field %s is %d, %d is current", fieldRevision, next.Revision, s.Document.Revision)
	}
	if err := next.validate(); err != nil {
		return nil, err
	}
	return s.withAccepted(next, order.Digest()), nil
}

func (s *State) applyTo(order Order) (*Document, error) {
	switch order.Method {
	case http.MethodPut:
		return ParseDocument(order.Body)
	case http.MethodPatch:
		return s.Document.patch(order.Body)
	}
	return nil, invalid("method %s", order.Method)
}

func (s *State) withAccepted(document *Document, digest Digest) *State {
	accepted := s.accepted.Set(string(digest), document.Revision)
	digests := s.acceptedOrder.Append(string(digest))
	horizon := s.horizon
	for digests.Len() > maxAccepted {
		horizon, _ = accepted.Get(digests.Get(0))
		accepted = accepted.Delete(digests.Get(0))
		digests = digests.Slice(1, digests.Len())
	}
	return &State{Document: document, accepted: accepted, acceptedOrder: digests, horizon: horizon, history: s.history.extend(digest)}
}

// Snapshot is the serializable form of a state. It is stored and sent with gob, so its field names must not change.
type Snapshot struct {
	Document []byte
	Digests  []string
	Made     []int64 // the revision that the order with the same index created
	Horizon  int64
	History  Digest
}

// Snapshot returns the serializable form of the state.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{Document: s.Document.JSON(), Horizon: s.horizon, History: s.history}
	for iterator := s.acceptedOrder.Iterator(); !iterator.Done(); {
		_, digest := iterator.Next()
		revision, _ := s.accepted.Get(digest)
		snapshot.Digests = append(snapshot.Digests, digest)
		snapshot.Made = append(snapshot.Made, revision)
	}
	return snapshot
}

// FromSnapshot restores a state from a snapshot. It returns an error if the snapshot's document cannot be parsed.
func FromSnapshot(snapshot Snapshot) (*State, error) {
	s := NewState()
	if len(snapshot.Document) > 0 {
		document, err := ParseDocument(snapshot.Document)
		if err != nil {
			return nil, err
		}
		s.Document = document
	}
	accepted := immutable.NewMapBuilder[string, int64](nil)
	digests := immutable.NewListBuilder[string]()
	for i, digest := range snapshot.Digests {
		accepted.Set(digest, snapshot.Made[i])
		digests.Append(digest)
	}
	s.accepted, s.acceptedOrder = accepted.Map(), digests.List()
	s.horizon, s.history = snapshot.Horizon, snapshot.History
	return s, nil
}

// ApplyCommitted returns the state after an order that the control plane has already validated and committed on
// top of this state. It does not validate the order again, and does not add it to the accepted orders or the
// history.
func (s *State) ApplyCommitted(order Order) (*State, error) {
	next, err := s.applyTo(order)
	if err != nil {
		return nil, err
	}
	return &State{Document: next, accepted: s.accepted, acceptedOrder: s.acceptedOrder, horizon: s.horizon, history: s.history}, nil
}
