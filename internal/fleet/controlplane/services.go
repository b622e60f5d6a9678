package controlplane

import (
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Methods of the internal calls between control processes. The names of methods, services and the fields below are
// part of the wire format, which processes of other versions use too.
const (
	// MethodDeliver is the method by which members send the replica's messages to each other.
	MethodDeliver = "Peer.Deliver"

	methodSubmit = "Operator.Submit"
	methodRead   = "Operator.Read"
	methodGossip = "Registry.Exchange"
)

// services returns the RPC services of the internal port, by name.
func (n *Node) services() map[string]any {
	return map[string]any{
		"Peer":         &peerService{n},
		"Registry":     &registryService{n},
		"Operator":     &operatorService{n},
		"Distribution": &distributionService{n},
		"Allowance":    &quotaService{n},
	}
}

type peerService struct{ node *Node }

// Deliver passes another member's message to the replica.
func (s *peerService) Deliver(envelope *replica.Envelope, _ *struct{}) error {
	s.node.replicator.Deliver(*envelope)
	return nil
}

type registryService struct{ node *Node }

// Exchange merges another control process's records and returns those that have changed here.
func (s *registryService) Exchange(request *ExchangeRequest, reply *ExchangeReply) error {
	s.node.gossip.handleExchange(request, reply)
	return nil
}

type operatorService struct{ node *Node }

// SubmitReply is the outcome of an order. An error is sent as kind and text, because net/rpc would transmit only
// the text.
type SubmitReply struct {
	Revision int64
	Failed   bool
	Kind     errkind.Kind
	Detail   string
}

// Submit submits an order to this process, which must be the head of the chain.
func (s *operatorService) Submit(order *operator.Order, reply *SubmitReply) error {
	revision, err := s.node.replicator.Submit(*order, submitTimeout)
	reply.Revision = revision
	if err != nil {
		reply.Failed, reply.Kind, reply.Detail = true, errkind.KindOf(err), err.Error()
	}
	return nil
}

// ReadReply is the newest committed configuration as JSON.
type ReadReply struct{ Document []byte }

// Read returns the newest committed configuration from this process, which must be the tail of the chain.
func (s *operatorService) Read(_ *struct{}, reply *ReadReply) error {
	state, err := s.node.replicator.Read()
	if err != nil {
		return err
	}
	reply.Document = state.Document.JSON()
	return nil
}
