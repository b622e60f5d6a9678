package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

func TestUnconfirmedQuotaOwnerGrantsNothing(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	published, _ := n.replicator.Published()
	now := n.now()
	published.ViewConfirmed = now
	published.AllVotersInView = true
	n.mu.Lock()
	defer n.mu.Unlock()
	require.False(t, n.mayGrant(published, "t", now), "the previous owner may still transfer its bucket")
	require.True(t, n.mayGrant(published, "t", now+bucketTransferTimeout))
	require.False(t, n.mayGrant(published, "t", now+maxViewAge+time.Millisecond))
	published.ViewConfirmed = now + time.Second
	published.AllVotersInView = false
	require.False(t, n.mayGrant(published, "u", now+time.Second), "another owner may still grant")
	published.ViewConfirmed += takeoverDelay
	require.True(t, n.mayGrant(published, "u", now+time.Second+takeoverDelay))
	published.View.Chain = []replica.Member{{Address: "another"}}
	require.False(t, n.mayGrant(published, "t", now+time.Second))
}

func TestBucketTransferOfEarlierViewIsIgnored(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	service := &quotaService{n}
	published, _ := n.replicator.Published()
	transfer := quota.BucketState{Epoch: published.View.Epoch - 1, Tenant: "t", Level: 5, Rate: 1, Burst: 10}
	require.NoError(t, service.HandOver(&transfer, &struct{}{}))
	require.False(t, n.buckets.Owns("t"))
	transfer.Epoch++
	require.NoError(t, service.HandOver(&transfer, &struct{}{}))
	require.True(t, n.buckets.Owns("t"))
}
