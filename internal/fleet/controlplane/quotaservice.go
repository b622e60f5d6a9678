package controlplane

import (
	"linenwheel.dev/linenwheel/internal/fleet/quota"
)

type quotaService struct{ node *Node }

// Take serves a node's request for quota. If this process neither owns the tenant's bucket nor may act as its
// deputy, the reply stays empty and the node tries another process.
func (s *quotaService) Take(request *quota.AcquireRequest, reply *quota.AcquireReply) error {
	if err := request.Validate(); err != nil {
		return err
	}
	n := s.node
	published, _ := n.replicator.Published()
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.mayGrant(published, request.Tenant, now):
		*reply = n.buckets.Acquire(now, request)
	case request.Deputy || QuotaOwner(published.View.Chain, request.Tenant) == published.Self.Address:
		*reply = n.buckets.AcquireAsDeputy(now, request) // also while the previous owner may still grant
	}
	return nil
}

// Reflect updates the mirrors of another owner's buckets. Mirrors from an earlier view are ignored.
func (s *quotaService) Reflect(mirrors *quota.Mirrors, _ *struct{}) error {
	n := s.node
	published, _ := n.replicator.Published()
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range mirrors.Buckets {
		if err := mirrors.Buckets[i].Validate(); err != nil {
			return err
		}
	}
	if mirrors.Epoch >= published.View.Epoch {
		n.buckets.UpdateMirrors(n.now(), mirrors.Buckets)
	}
	return nil
}

// HandOver accepts a bucket from its previous owner. A bucket from a later view is accepted too, because this
// process will learn of that view.
func (s *quotaService) HandOver(transfer *quota.BucketState, _ *struct{}) error {
	if err := transfer.Validate(); err != nil {
		return err
	}
	n := s.node
	published, _ := n.replicator.Published()
	n.mu.Lock()
	defer n.mu.Unlock()
	if transfer.Epoch >= published.View.Epoch {
		n.buckets.AcceptTransfer(n.now(), transfer)
	}
	return nil
}
