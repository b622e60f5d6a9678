package routing

import (
	"cmp"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// member is a backend of a service and what only this node knows about it.
type member struct {
	backend     Backend
	tag         uint32           // identifies it in events
	balancerID  decide.BackendID // identifies it to decide
	inFlight    int              // attempts of this node
	respondedAt time.Duration    // when it last responded to this node, 0 = never
	avoidance   avoidance
}

// allowed reports whether a member may get a request according to the registry and the request itself.
func (m *member) allowed(request *Request) bool {
	return !m.backend.Draining && !m.backend.HeartbeatLate && !slices.Contains(request.Exclude, m.backend.ID)
}

// sortedMembers returns the members by id, so that runs are reproducible.
func (b *Balancer) sortedMembers() []*member {
	members := make([]*member, 0, len(b.members))
	for _, m := range b.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(x, y *member) int { return cmp.Compare(x.backend.ID, y.backend.ID) })
	return members
}

// expectedFirstToken returns the expected time to the first token at a member that has to prefill the given number
// of tokens.
func (b *Balancer) expectedFirstToken(now time.Duration, m *member, tokens float64) time.Duration {
	load := b.loads.backend(m.tag)
	return b.loads.queueDelay(now, load) + b.loads.slotDelay(now, load, m.backend.Slots) + b.loads.prefillTime(now, load, tokens)
}
