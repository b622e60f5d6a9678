package controlplane

import (
	"linenwheel.dev/linenwheel/internal/fleet/quota"
)

type quotaService struct{ node *Node }

// Take answers a node's request for quota. Where this process neither owns the tenant's bucket nor may act as its deputy, the
// reply stays empty, and the node turns to another process.
func (s *quotaService) Take(request *quota.AcquireRequest, reply *quota.AcquireReply) error {
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

// Reflect updates the mirrors of another owner's buckets. Those of an earlier view are ignored.
func (s *quotaService) Reflect(reflection *quota.Mirrors, _ *struct{}) error {
	n := s.node
	published, _ := n.replicator.Published()
	n.mu.Lock()
	defer n.mu.Unlock()
	if reflection.Epoch >= published.View.Epoch {
		n.buckets.UpdateMirrors(n.now(), reflection.Buckets)
	}
	return nil
}

// HandOver accepts a bucket from its owner before. One of a later view is accepted too: this process will learn of that view.
func (s *quotaService) HandOver(transfer *quota.BucketState, _ *struct{}) error {
	n := s.node
	published, _ := n.replicator.Published()
	n.mu.Lock()
	defer n.mu.Unlock()
	if transfer.Epoch >= published.View.Epoch {
		n.buckets.AcceptTransfer(n.now(), transfer)
	}
	return nil
}
