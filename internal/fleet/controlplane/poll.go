package controlplane

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Parameters of the long poll.
const (
	maxPollWait = 2 * time.Second       // for something new
	eventDelay  = 30 * time.Millisecond // before an answer with events only, so that it takes several
	sessionTTL  = 3 * time.Second       // how long a node of the data plane counts as live after its last poll
)

// distributionService serves the nodes of the data plane: Poll here, Announce and Relay in forwarder.go.
type distributionService struct{ node *Node }

// Poll answers a node of the data plane as soon as there is something new for it, or after the time that the request allows.
func (s *distributionService) Poll(request *distribution.PollRequest, reply *distribution.PollReply) error {
	n := s.node
	n.awaitChange(request)
	n.fillReply(request, reply)
	return nil
}

// awaitChange returns when there is something new for a node, or when its poll has waited for long enough.
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

// fillReply writes what the polling node does not have yet.
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
	// An estimate: every member of the chain is taken to have as many sessions as this process.
	reply.Sessions, reply.Leaving = len(n.sessions)*max(1, len(published.View.Chain)), n.leaving
	reply.RegistryOwner, reply.RegistryVersion = n.registryOwner, n.registry.Version()
	reply.RegistryAge = now // the registry is as old as the process, and so is its clock
	since := request.RegistryVersion
	if request.RegistryOwner != n.registryOwner { // the node's version counts another replica's changes
		since, reply.Whole = 0, true
	} else {
		reply.Events = n.events.packNewFor(now, request.EventSeq, request.Session)
	}
	reply.EventSeq = n.events.lastSeq
	reply.Records = n.registry.ChangedSince(now, since)
}

// registryConfirmation returns how long ago this process's registry certainly had every acknowledged change, and false where it never
// had.
func (n *Node) registryConfirmation(published *Published, now time.Duration) (confirmed bool, age time.Duration) {
	at := n.gossip.registryConfirmedAt(&published.View, published.Self)
	return at > 0, max(0, now-at)
}

// controlMembers returns the processes of the control plane: the chain, head first, then the other voters.
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

// expireSessions removes the nodes of the data plane that have not polled for sessionTTL. Node.mu is held.
func (n *Node) expireSessions() {
	for session, polled := range n.sessions {
		if n.now()-polled > sessionTTL {
			delete(n.sessions, session)
		}
	}
}
