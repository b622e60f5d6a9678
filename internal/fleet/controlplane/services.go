package controlplane

import (
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// The methods by which control processes hand on the operator's calls.
const (
	methodSubmit = "Operator.Submit"
	methodRead   = "Operator.Read"
)

// services are the internal calls that this process answers.
func (n *Node) services() map[string]any {
	return map[string]any{"Peer": &peerService{n}, "Registry": &registryService{n}, "Operator": &operatorService{n},
		"Distribution": &distributionService{n}, "Allowance": &quotaService{n}}
}

type peerService struct{ node *Node }

// Deliver takes a message of another member.
func (s *peerService) Deliver(envelope *replica.Envelope, _ *struct{}) error {
	s.node.replicator.Deliver(*envelope)
	return nil
}

type registryService struct{ node *Node }

// Exchange takes and gives records of raters.
func (s *registryService) Exchange(request *ExchangeRequest, reply *ExchangeReply) error {
	s.node.gossip.handleExchange(request, reply)
	return nil
}

type operatorService struct{ node *Node }

// SubmitReply is the end of an order.
type SubmitReply struct {
	Revision int64
	Failed   bool
	Kind     errkind.Kind
	Detail   string
}

// Submit has an order taken by this process, as the head.
func (s *operatorService) Submit(order *operator.Order, reply *SubmitReply) error {
	revision, err := s.node.replicator.Submit(*order, submitTimeout)
	reply.Revision = revision
	if err != nil {
		reply.Failed, reply.Kind, reply.Detail = true, errkind.KindOf(err), err.Error()
	}
	return nil
}

// ReadReply is the newest configuration.
type ReadReply struct{ Document []byte }

// Read gives the newest configuration, as the tail.
func (s *operatorService) Read(_ *struct{}, reply *ReadReply) error {
	state, err := s.node.replicator.Read()
	if err != nil {
		return err
	}
	reply.Document = state.Document.JSON()
	return nil
}

type distributionService struct{ node *Node }

// The figures of the long poll.
const (
	maxPollWait = 2 * time.Second       // that an answer waits for news
	eventDelay  = 30 * time.Millisecond // that one with events of attempts waits for more of them
	maxPatches  = 64                    // orders in one answer; a node that is further behind gets the whole document
)

// Poll answers a node of the data plane as soon as there is news for it.
func (s *distributionService) Poll(request *distribution.PollRequest, reply *distribution.PollReply) error {
	n := s.node
	deadline := time.NewTimer(min(request.Hold, maxPollWait))
	defer deadline.Stop()
	for waiting := true; waiting; {
		published, changed := n.replicator.Published()
		n.mu.Lock()
		news := n.changed
		fresh := request.RegistryOwner != n.registryOwner || request.RegistryVersion != n.registry.Version() || n.leaving
		events := n.events.hasNewFor(request.EventSeq, request.Session)
		n.mu.Unlock()
		if events && !fresh {
			time.Sleep(eventDelay)
			break
		}
		if fresh || published.Seq > request.ConfigSeq && published.StateConfirmed > 0 {
			break
		}
		select {
		case <-changed:
		case <-news:
		case <-deadline.C:
			waiting = false
		}
	}
	n.fillReply(request, reply)
	return nil
}

// fillReply writes the answer to a poll.
func (n *Node) fillReply(request *distribution.PollRequest, reply *distribution.PollReply) {
	published, _ := n.replicator.Published()
	now := n.now()
	reply.Epoch, reply.Members = published.View.Epoch, n.controlMembers(published.View)
	reply.Confirmed = published.StateConfirmed > 0
	reply.ConfirmedAgo = now - published.StateConfirmed
	reply.ConfigSeq = request.ConfigSeq
	if reply.Confirmed && published.Seq > request.ConfigSeq {
		n.fillConfig(&published, request, reply)
	}
	reply.ListConfirmed, reply.ListConfirmedAgo = n.registryAge(&published, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[request.Session] = now
	reply.Sessions, reply.Leaving = len(n.sessions)*max(1, len(published.View.Chain)), n.leaving
	reply.RegistryOwner, reply.RegistryVersion, reply.RegistryAge = n.registryOwner, n.registry.Version(), now
	since := request.RegistryVersion
	if request.RegistryOwner != n.registryOwner {
		since, reply.Whole = 0, true
	} else {
		reply.Events = n.events.packNewFor(now, request.EventSeq, request.Session)
	}
	reply.EventSeq = n.events.lastSeq
	reply.Records = n.registry.ChangedSince(now, since)
}

// registryAge tells how long ago this process's list of raters was certainly whole.
func (n *Node) registryAge(published *Published, now time.Duration) (confirmed bool, ago time.Duration) {
	at := n.gossip.registryConfirmedAt(&published.View, published.Self)
	return at > 0, max(0, now-at)
}

// fillConfig writes what leads to the newest configuration.
func (n *Node) fillConfig(published *Published, request *distribution.PollRequest, reply *distribution.PollReply) {
	update, err := n.updates.get(published, request.ConfigSeq)
	if err != nil {
		n.log.Error("configuration not given out", "err", err)
		return
	}
	reply.ConfigSeq, reply.Update = published.Seq, update
}
