package controlplane

import (
	"context"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Parameters of the ownership of quota buckets. At most one process may grant from a tenant's bucket at a time: an owner stops
// when its view has not been confirmed for maxViewAge, and the owner of a later view begins only when that has passed, with a
// fifth more for the clocks.
const (
	maxViewAge            = 600 * time.Millisecond
	takeoverDelay         = maxViewAge * 12 / 10
	bucketTransferTimeout = 150 * time.Millisecond // in which a bucket comes from an owner that is there
	ownershipInterval     = 100 * time.Millisecond // between mirrored copies of the buckets
)

// ownership is how long this process has been the owner of a tenant's bucket.
type ownership struct {
	epoch          uint64 // of the view that made it the owner
	since          time.Duration
	allInViewSince time.Duration // since when all other voters are known to be in this view; 0 = not yet
}

// QuotaOwner returns the address of the member that owns a tenant's bucket. The next in the order of the rendezvous hash is
// the deputy, and becomes the owner when the chain loses the first.
func QuotaOwner(chain []replica.Member, tenant string) string {
	return routing.Rendezvous(tenant, addresses(chain))
}

// mayGrant reports whether this process is the owner of a tenant's bucket, and certainly the only one. It also records in
// n.ownerships since when the view has named this process, so reconcileBuckets calls it at each interval. Node.mu is held.
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

// mayAssumeOwnership reports whether no other process can still grant from a tenant's bucket: all are in this view and have had time
// to transfer the bucket, or so much time has passed that none of them can be confirmed in an earlier view. Node.mu is held.
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

// runOwnership keeps the buckets in accordance with the view until the context ends: it makes those of the tenants that this
// process owns, transfers those that it no longer does, and mirrors them to the members that may own them next.
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

// reconcileBuckets makes the missing buckets of the tenants that this process owns, and removes and returns those that have
// another owner.
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

// mirrorBuckets sends copies of this process's buckets to the other members of the chain. What is lost is not sent again, since
// the next copies follow after ownershipInterval.
func (n *Node) mirrorBuckets(published Published) {
	n.mu.Lock()
	reflection := quota.Mirrors{Epoch: published.View.Epoch, Buckets: n.buckets.Buckets(n.now())}
	n.mu.Unlock()
	if len(reflection.Buckets) == 0 || n.now()-published.ViewConfirmed > maxViewAge {
		return
	}
	for _, member := range published.View.Chain {
		if member != published.Self {
			go func() {
				var none struct{}
				_ = n.pool.Call(member.Address, quota.MethodMirror, &reflection, &none, ownershipInterval)
			}()
		}
	}
}

// transferBucket sends a bucket to its new owner. Where it is lost, the new owner begins from its mirror.
func (n *Node) transferBucket(owner string, transfer quota.BucketState) {
	var none struct{}
	if err := n.pool.Call(owner, quota.MethodTransfer, &transfer, &none, bucketTransferTimeout); err != nil {
		n.log.Info("failed to transfer quota bucket", "tenant", transfer.Tenant, "to", owner, "err", err)
	}
}
