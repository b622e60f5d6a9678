package controlplane

import (
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// The methods of the internal calls between control processes. These names, those of the services and those of the fields
// below are on the wire: another version of this program uses them too.
const (
	// MethodDeliver is the method by which members send each other the replica's messages.
	MethodDeliver = "Peer.Deliver"

	methodSubmit = "Operator.Submit"
	methodRead   = "Operator.Read"
	methodGossip = "Registry.Exchange"
)

// services returns the services that this process serves on its internal port, by name.
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

// Exchange merges another control process's records and returns those that changed here.
func (s *registryService) Exchange(request *ExchangeRequest, reply *ExchangeReply) error {
	s.node.gossip.handleExchange(request, reply)
	return nil
}

type operatorService struct{ node *Node }

// SubmitReply is the outcome of an order. An error is sent as its kind and text, since net/rpc would keep the text only.
type SubmitReply struct {
	Revision int64
	Failed   bool
	Kind     errkind.Kind
	Detail   string
}

// Submit submits an order to this process as the head of the chain.
func (s *operatorService) Submit(order *operator.Order, reply *SubmitReply) error {
	revision, err := s.node.replicator.Submit(*order, submitTimeout)
	reply.Revision = revision
	if err != nil {
		reply.Failed, reply.Kind, reply.Detail = true, errkind.KindOf(err), err.Error()
	}
	return nil
}

// ReadReply is the newest configuration, as JSON.
type ReadReply struct{ Document []byte }

// Read returns the newest configuration, read from this process as the tail of the chain.
func (s *operatorService) Read(_ *struct{}, reply *ReadReply) error {
	state, err := s.node.replicator.Read()
	if err != nil {
		return err
	}
	reply.Document = state.Document.JSON()
	return nil
}
