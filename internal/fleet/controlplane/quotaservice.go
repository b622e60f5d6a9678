package controlplane

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// The ages that fence the ownership of allowances.
const (
	maxViewAge            = 600 * time.Millisecond // an owner whose view was confirmed longer ago gives out nothing
	takeoverDelay         = maxViewAge * 12 / 10   // after which the owner of an earlier view has stopped, wherever it is
	bucketTransferTimeout = 150 * time.Millisecond // that a bucket may take to come from an owner that is there
	ownershipInterval     = 100 * time.Millisecond
)

type quotaService struct{ node *Node }

// Take answers a node's request for room.
func (s *quotaService) Take(request *quota.TakeRequest, reply *quota.TakeReply) error {
	n := s.node
	published, _ := n.replicator.Published()
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.mayGrant(published, request.Tenant, now):
		*reply = n.buckets.Acquire(now, request)
	case request.Deputy || QuotaOwner(published.View.Chain, request.Tenant) == published.Self.Address:
		*reply = n.buckets.AcquireAsDeputy(now, request) // also while the owner before may not have stopped yet
	}
	return nil
}

// Reflect takes what the owner of some tenants' allowances shows of them.
func (s *quotaService) Reflect(reflection *quota.Reflection, _ *struct{}) error {
	n := s.node
	published, _ := n.replicator.Published()
	n.mu.Lock()
	defer n.mu.Unlock()
	if reflection.Epoch >= published.View.Epoch {
		n.buckets.UpdateMirrors(n.now(), reflection.Buckets)
	}
	return nil
}

// HandOver takes a bucket from the owner before. Where this process does not know yet that it is the owner, it soon will.
func (s *quotaService) HandOver(handed *quota.HandOver, _ *struct{}) error {
	n := s.node
	published, _ := n.replicator.Published()
	n.mu.Lock()
	defer n.mu.Unlock()
	if handed.Epoch >= published.View.Epoch {
		n.buckets.AcceptTransfer(n.now(), handed)
	}
	return nil
}

// mayGrant tells whether this process owns a tenant's allowance and may give out room. The lock is held.
func (n *Node) mayGrant(published Published, tenant string, now time.Duration) bool {
	if QuotaOwner(published.View.Chain, tenant) != published.Self.Address {
		delete(n.ownerships, tenant)
		return false
	}
	if now-published.ViewConfirmed > maxViewAge || !slices.Contains(published.View.Chain, published.Self) {
		return false
	}
	return n.buckets.Owns(tenant) || n.mayTakeOver(published, tenant, now)
}

// mayTakeOver tells whether no other process can still give out a tenant's room: all have gone over to this view and have had
// time to hand the bucket over, or so much time has passed that none of them can be confirmed. The lock is held.
func (n *Node) mayTakeOver(published Published, tenant string, now time.Duration) bool {
	from, known := n.ownerships[tenant]
	if !known || from.epoch != published.View.Epoch {
		from = ownership{epoch: published.View.Epoch, since: now}
	}
	if !published.AllVotersInView {
		from.allInViewSince = 0
	} else if from.allInViewSince == 0 {
		from.allInViewSince = now
	}
	n.ownerships[tenant] = from
	return from.allInViewSince > 0 && now-from.allInViewSince >= bucketTransferTimeout || now-from.since >= takeoverDelay
}

// ownership is since when this process is the owner of a tenant's allowance.
type ownership struct {
	epoch          uint64
	since          time.Duration
	allInViewSince time.Duration // since when all other voters are known to be in this view; 0 = not yet
}

// runOwnership makes the buckets of the tenants that this process owns and hands over those that it no longer does.
func (n *Node) runOwnership() {
	for {
		published, changed := n.replicator.Published()
		for _, handed := range n.reconcileBuckets(published) {
			go n.transferBucket(QuotaOwner(published.View.Chain, handed.Tenant), handed)
		}
		n.mirrorBuckets(published)
		timer := time.NewTimer(ownershipInterval)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *Node) reconcileBuckets(published Published) []quota.HandOver {
	now := n.now()
	document := published.State.Document
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, tenant := range document.Tenants() {
		if tenant.Rate > 0 && n.mayGrant(published, tenant.Name, now) {
			n.buckets.EnsureBucket(now, tenant.Name, tenant.Rate, tenant.Burst, document.Revision)
		}
	}
	var handed []quota.HandOver
	for _, tenant := range n.buckets.Tenants() {
		if QuotaOwner(published.View.Chain, tenant) == published.Self.Address {
			continue
		}
		if bucket, held := n.buckets.Release(now, tenant); held {
			bucket.Epoch = published.View.Epoch
			handed = append(handed, bucket)
		}
	}
	return handed
}

// mirrorBuckets shows the buckets of this process to the other members of the chain.
func (n *Node) mirrorBuckets(published Published) {
	n.mu.Lock()
	reflection := quota.Reflection{Epoch: published.View.Epoch, Buckets: n.buckets.Buckets(n.now())}
	n.mu.Unlock()
	if len(reflection.Buckets) == 0 || n.now()-published.ViewConfirmed > maxViewAge {
		return
	}
	for _, member := range published.View.Chain {
		if member != published.Self {
			go func() {
				var none struct{}
				_ = n.pool.Call(member.Address, quota.MethodReflect, &reflection, &none, ownershipInterval) // the next one follows soon
			}()
		}
	}
}

// transferBucket hands a bucket to its new owner. One that is lost is begun anew there.
func (n *Node) transferBucket(owner string, handed quota.HandOver) {
	var none struct{}
	if err := n.pool.Call(owner, quota.MethodHandOver, &handed, &none, bucketTransferTimeout); err != nil {
		n.log.Info("allowance not handed over", "tenant", handed.Tenant, "to", owner, "err", err)
	}
}

// QuotaOwner is the address of the member that owns a tenant's allowance. The one that follows in the hash's order is
// its deputy, and the owner in the chain without it.
func QuotaOwner(chain []replica.Member, tenant string) string {
	return routing.Rendezvous(tenant, addresses(chain))
}
