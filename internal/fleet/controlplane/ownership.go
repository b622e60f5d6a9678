package controlplane

import (
	"context"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Parameters of the ownership of quota buckets. At most one process may grant from a tenant's bucket at a time: an
// owner stops granting when its view has not been confirmed for maxViewAge, and the owner in a later view starts
// only after that time plus a fifth, which allows for differences between the clocks.
const (
	maxViewAge            = 600 * time.Millisecond
	takeoverDelay         = maxViewAge * 12 / 10
	bucketTransferTimeout = 150 * time.Millisecond // within which a live previous owner transfers a bucket
	ownershipInterval     = 100 * time.Millisecond // between updates of the bucket mirrors
)

// ownership records since when this process has been the owner of a tenant's bucket.
type ownership struct {
	epoch          uint64 // of the view that made this process the owner
	since          time.Duration
	allInViewSince time.Duration // since when all other voters have been known to be in this view; 0 = not yet
}

// QuotaOwner returns the address of the member that owns a tenant's bucket: the first by rendezvous hash. The next
// one is the deputy, which becomes the owner when the first leaves the chain.
func QuotaOwner(chain []replica.Member, tenant string) string {
	return routing.Rendezvous(tenant, addresses(chain))
}

// mayGrant reports whether this process owns a tenant's bucket and no other process can believe that it does. It
// also records in n.ownerships since when this process has been the owner in the view, which is why
// reconcileBuckets calls it at each interval. Node.mu must be held.
func (n *Node) mayGrant(published Published, tenant string, now time.Duration) bool {
	if QuotaOwner(published.View.Chain, tenant) != published.Self.Address {
		delete(n.ownerships, tenant)
		return false
	}
	if now-published.ViewConfirmed > maxViewAge || !slices.Contains(published.View.Chain, published.Self) {
		return false
	}
	return n.buckets.Owns(tenant) || n.mayAssumeOwnership(published, tenant, now)
}

// mayAssumeOwnership reports whether no other process can still grant from a tenant's bucket: either all voters
// have been in this view long enough to transfer the bucket, or takeoverDelay has passed, after which none of them
// can still have a confirmed earlier view. Node.mu must be held.
func (n *Node) mayAssumeOwnership(published Published, tenant string, now time.Duration) bool {
	owned, known := n.ownerships[tenant]
	if !known || owned.epoch != published.View.Epoch {
		owned = ownership{epoch: published.View.Epoch, since: now}
	}
	if !published.AllVotersInView {
		owned.allInViewSince = 0
	} else if owned.allInViewSince == 0 {
		owned.allInViewSince = now
	}
	n.ownerships[tenant] = owned
	return owned.allInViewSince > 0 && now-owned.allInViewSince >= bucketTransferTimeout || now-owned.since >= takeoverDelay
}

// runOwnership keeps the buckets consistent with the view until the context is done: it creates the buckets that
// this process owns, transfers those that it no longer owns, and mirrors its buckets to the members that may own
// them next.
func (n *Node) runOwnership(ctx context.Context) {
	for ctx.Err() == nil {
		published, changed := n.replicator.Published()
		for _, transfer := range n.reconcileBuckets(published) {
			go n.transferBucket(QuotaOwner(published.View.Chain, transfer.Tenant), transfer)
		}
		n.mirrorBuckets(published)
		timer := time.NewTimer(ownershipInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reconcileBuckets creates the missing buckets of the tenants that this process owns. It removes and returns the
// buckets that now have another owner.
func (n *Node) reconcileBuckets(published Published) []quota.BucketState {
	now := n.now()
	document := published.State.Document
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, tenant := range document.Tenants() {
		if tenant.Rate > 0 && n.mayGrant(published, tenant.Name, now) {
			n.buckets.EnsureBucket(now, tenant.Name, tenant.Rate, tenant.Burst, document.Revision)
		}
	}
	var transfers []quota.BucketState
	for _, tenant := range n.buckets.Tenants() {
		if QuotaOwner(published.View.Chain, tenant) == published.Self.Address {
			continue
		}
		if transfer, owned := n.buckets.Release(now, tenant); owned {
			transfer.Epoch = published.View.Epoch
			transfers = append(transfers, transfer)
		}
	}
	return transfers
}

// mirrorBuckets sends copies of this process's buckets to the other members of the chain. A failed call is not
// retried, because the next copies follow after ownershipInterval.
func (n *Node) mirrorBuckets(published Published) {
	n.mu.Lock()
	mirrors := quota.Mirrors{Epoch: published.View.Epoch, Buckets: n.buckets.Buckets(n.now())}
	n.mu.Unlock()
	if len(mirrors.Buckets) == 0 || n.now()-published.ViewConfirmed > maxViewAge {
		return
	}
	for _, member := range published.View.Chain {
		if member != published.Self {
			go func() {
				var none struct{}
				_ = n.pool.Call(member.Address, quota.MethodMirror, &mirrors, &none, ownershipInterval)
			}()
		}
	}
}

// transferBucket sends a bucket to its new owner. If the call fails, the new owner starts from its mirror of the
// bucket.
func (n *Node) transferBucket(owner string, transfer quota.BucketState) {
	var none struct{}
	if err := n.pool.Call(owner, quota.MethodTransfer, &transfer, &none, bucketTransferTimeout); err != nil {
		n.log.Info("failed to transfer quota bucket", "tenant", transfer.Tenant, "to", owner, "err", err)
	}
}
