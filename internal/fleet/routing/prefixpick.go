package routing

import (
	"cmp"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Parameters of picks by prefix.
const (
	inFlightBoundFactor = 1.5 // multiple of its even fraction of this node's attempts up to which a member gets its prefixes
	inFlightBoundSlack  = 6.0 // plus this number of attempts
	maxCandidates       = 8   // number of members after the home whose expected loss is compared
)

// rankedMember is a member with its hash score.
type rankedMember struct {
	member *member
	score  float64
}

// rankByHash returns the members that may get a request, in the order of the rendezvous hash of its prefix. The
// first one is its home.
func (b *Balancer) rankByHash(now time.Duration, request *Request) []rankedMember {
	var order []rankedMember
	for _, m := range b.sortedMembers() {
		if !m.allowed(request) || m.avoided(now) || !b.shares.Usable(now, m.balancerID) {
			continue
		}
		order = append(order, rankedMember{m, hashUnit(request.Prefix, m.backend.ID)})
	}
	slices.SortFunc(order, func(x, y rankedMember) int { return cmp.Compare(y.score, x.score) })
	return order
}

// pickByPrefix picks the home of a request's prefix, or one of the next members in hash order if a smaller loss is
// expected there even though the prefix may have to be prefilled there too. It returns nil if no member may get
// the request.
func (b *Balancer) pickByPrefix(now time.Duration, request *Request, r decide.Request) *Attempt {
	order := b.rankByHash(now, request)
	if len(order) == 0 {
		return nil
	}
	home := order[0].member
	homeExpected := b.expectedFirstToken(now, home, request.OwnTokens)
	b.preferLowestLoss(now, request, order)
	bound := b.inFlightBound(len(order))
	for _, candidate := range order {
		if float64(candidate.member.inFlight) >= bound {
			continue
		}
		if b.shares.Assign(now, r, candidate.member.balancerID) {
			attempt := &Attempt{requestID: r.ID, balancerID: candidate.member.balancerID, sentAt: now, Reason: ReasonHome, HomeExpected: homeExpected}
			if candidate.member != home {
				attempt.Reason = ReasonMoved
			}
			return b.start(attempt, candidate.member, request)
		}
	}
	return nil
}

// preferLowestLoss moves the member with the lowest expected loss to the front. If no member is known to have the
// prefix cached, the home is assumed to have it: it is at least as likely as any other.
func (b *Balancer) preferLowestLoss(now time.Duration, request *Request, order []rankedMember) {
	if len(order) < 2 {
		return
	}
	cached := b.loads.cachedAt(now, TagOf(request.Prefix))
	if len(cached) == 0 {
		cached = []uint32{order[0].member.tag}
	}
	best, lowest := 0, b.expectedLoss(now, request, order[0].member, cached)
	for i := 1; i < len(order) && i <= maxCandidates; i++ {
		if loss := b.expectedLoss(now, request, order[i].member, cached); loss < lowest {
			best, lowest = i, loss
		}
	}
	if best > 0 {
		moved := order[best]
		copy(order[1:best+1], order[:best])
		order[0] = moved
	}
}

// inFlightBound returns the number of this node's attempts below which a member still gets requests by prefix,
// given the number of members that may get them.
func (b *Balancer) inFlightBound(candidates int) float64 {
	inFlight := 1
	for _, m := range b.members {
		inFlight += m.inFlight
	}
	return inFlightBoundFactor*float64(inFlight)/float64(max(1, candidates)) + inFlightBoundSlack
}
