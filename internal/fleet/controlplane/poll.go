package controlplane

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Parameters of the long poll.
const (
	maxPollWait = 2 * time.Second       // for a change
	eventDelay  = 30 * time.Millisecond // before a reply that holds only events, so that it batches several
	sessionTTL  = 3 * time.Second       // how long a data plane node counts as live after its last poll
)

// distributionService serves the data plane nodes: Poll here, Announce and Relay in forwarder.go.
type distributionService struct{ node *Node }

// Poll replies to a data plane node as soon as there is a change for it, or after the wait that the request allows.
func (s *distributionService) Poll(request *distribution.PollRequest, reply *distribution.PollReply) error {
	n := s.node
	n.awaitChange(request)
	n.fillReply(request, reply)
	return nil
}

// awaitChange returns when there is a change for the polling node or when the poll's wait has elapsed.
func (n *Node) awaitChange(request *distribution.PollRequest) {
	deadline := time.NewTimer(min(request.Hold, maxPollWait))
	defer deadline.Stop()
	for {
		published, stateChanged := n.replicator.Published()
		n.mu.Lock()
		nodeChanged := n.changed
		urgent := request.RegistryOwner != n.registryOwner || request.RegistryVersion != n.registry.Version() || n.leaving
		events := n.events.hasNewFor(request.EventSeq, request.Session)
		n.mu.Unlock()
		if events && !urgent {
			time.Sleep(eventDelay)
			return
		}
		if urgent || published.Seq > request.ConfigSeq && published.StateConfirmed > 0 {
			return
		}
		select {
		case <-stateChanged:
		case <-nodeChanged:
		case <-deadline.C:
			return
		}
	}
}

// fillReply writes the changes that the polling node does not have yet.
func (n *Node) fillReply(request *distribution.PollRequest, reply *distribution.PollReply) {
	published, _ := n.replicator.Published()
	now := n.now()
	reply.Epoch, reply.Members = published.View.Epoch, n.controlMembers(published.View)
	encode := func(from uint64) (distribution.Update, error) { return n.updates.get(&published, from) }
	if err := published.source().Answer(now, request, reply, encode); err != nil {
		n.log.Error("failed to encode configuration update", "err", err)
	}
	reply.ListConfirmed, reply.ListConfirmedAgo = n.registryConfirmation(&published, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[request.Session] = now
	// An estimate: every member of the chain is assumed to have as many sessions as this process.
	reply.Sessions, reply.Leaving = len(n.sessions)*max(1, len(published.View.Chain)), n.leaving
	reply.RegistryOwner, reply.RegistryVersion = n.registryOwner, n.registry.Version()
	reply.RegistryAge = now // the registry and the clock both start with the process
	since := request.RegistryVersion
	if request.RegistryOwner != n.registryOwner { // the node's version counts the changes of another replica
		since, reply.Whole = 0, true
	} else {
		reply.Events = n.events.packNewFor(now, request.EventSeq, request.Session)
	}
	reply.EventSeq = n.events.lastSeq
	reply.Records = n.registry.ChangedSince(now, since)
}

// registryConfirmation returns how long ago this process's registry was last known to contain every acknowledged
// change, and false if it never was.
func (n *Node) registryConfirmation(published *Published, now time.Duration) (confirmed bool, age time.Duration) {
	at := n.gossip.registryConfirmedAt(&published.View, published.Self)
	return at > 0, max(0, now-at)
}

// controlMembers returns the control plane's processes: the chain, head first, then the other voters.
func (n *Node) controlMembers(view replica.View) []distribution.ControlMember {
	var members []distribution.ControlMember
	for _, member := range view.Chain {
		members = append(members, distribution.ControlMember{Address: member.Address, Zone: n.gossip.zoneOf(member.Address), InChain: true})
	}
	for _, member := range view.Voters {
		if !slices.Contains(view.Chain, member) {
			members = append(members, distribution.ControlMember{Address: member.Address, Zone: n.gossip.zoneOf(member.Address)})
		}
	}
	return members
}

// expireSessions removes the data plane nodes that have not polled for sessionTTL. Node.mu must be held.
func (n *Node) expireSessions() {
	for session, polled := range n.sessions {
		if n.now()-polled > sessionTTL {
			delete(n.sessions, session)
		}
	}
}
