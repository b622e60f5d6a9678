package dataplane

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Parameters of quota requests.
const (
	acquireTimeout       = 100 * time.Millisecond // of a call to a quota owner
	returnInterval       = 500 * time.Millisecond // between returns of unused quota to the owners
	unresponsiveTimeout  = 500 * time.Millisecond // for which an owner that did not respond is not called again
	maxRetryAfter        = 5 * time.Second
	maxRequestRounds     = 4                     // rounds of calls to owner and deputy while neither replies as the owner
	requestRoundInterval = 25 * time.Millisecond // between rounds
	maxInlineWait        = 5 * time.Millisecond  // longest wait for quota: a retry by the client would take longer
)

var errUnresponsive = errors.New("control process did not respond to a recent call")

// quotaClient implements proxy.Quotas. It holds this node's local buckets of the tenants' quotas and fills them
// from the quota owners. It is safe for concurrent use.
type quotaClient struct {
	node        *Node
	callTimeout time.Duration

	mu                sync.Mutex
	buckets           map[string]*tenantBucket // by tenant; mu guards the buckets too
	unresponsiveUntil map[string]time.Duration // by address of an owner, on the node's clock
}

// tenantBucket is a tenant's local bucket together with the newest limit that it was used under.
type tenantBucket struct {
	quota.LocalBucket
	tenant   *operator.Tenant
	revision int64 // of the configuration that contains tenant
}

func newQuotaClient(n *Node) *quotaClient {
	return &quotaClient{node: n, callTimeout: acquireTimeout, buckets: map[string]*tenantBucket{}, unresponsiveUntil: map[string]time.Duration{}}
}

// Acquire takes an amount of a tenant's quota from the local bucket, else from the quota owner, else from the
// owner's deputy, else from this node's even share of the limit. If the owner will have enough units within
// maxInlineWait, it is called once more: the bucket of an owner that has just started may be empty although the
// tenant is far below its limit.
//
// Acquire reports whether the amount was acquired and, if not, after how long the client should retry.
func (c *quotaClient) Acquire(ctx context.Context, tenant *operator.Tenant, revision int64, amount float64, urgent bool) (bool, time.Duration) {
	for retried := false; ; retried = true {
		now := c.node.now()
		c.mu.Lock()
		bucket := c.bucket(tenant, revision)
		if bucket.TryAcquire(now, amount) {
			c.mu.Unlock()
			return true, 0
		}
		need, ahead := bucket.Demand(amount)
		c.mu.Unlock()
		request := quota.AcquireRequest{Tenant: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst, Need: need, Ahead: ahead,
			Revision: revision, Urgent: urgent}
		reply := c.requestGrant(&request)
		if !reply.Owner {
			return c.acquireFallback(bucket, tenant, amount)
		}
		if c.acquireGranted(bucket, reply.Granted, amount) {
			return true, 0
		}
		if retried || !waitInline(ctx, reply.Wait) {
			c.node.log.Debug("quota exceeded", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "burst", tenant.Burst, "wait", reply.Wait)
			return false, min(reply.Wait, maxRetryAfter)
		}
	}
}

// acquireGranted adds an owner's grant to a bucket, tries to take the amount from it and reports whether that
// succeeded.
func (c *quotaClient) acquireGranted(bucket *tenantBucket, granted, amount float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	bucket.AddGrant(c.node.now(), granted)
	return bucket.TryAcquire(c.node.now(), amount)
}

// waitInline waits for the given time and reports whether it did so completely. It returns false at once if the
// time exceeds maxInlineWait or is not less than the time until the context's deadline, and as soon as the context
// ends.
func waitInline(ctx context.Context, wait time.Duration) bool {
	deadline, limited := ctx.Deadline()
	if wait > maxInlineWait || limited && wait >= time.Until(deadline) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// requestGrant calls the owner, and its deputy if the owner grants nothing because it does not respond or no
// longer owns the bucket. While ownership moves between two running processes, neither grants units for some
// milliseconds: then both are called again. The reply's Owner is false if no owner was found.
func (c *quotaClient) requestGrant(request *quota.AcquireRequest) quota.AcquireReply {
	for round := range maxRequestRounds {
		reply, responded := c.requestFromChain(request)
		if reply.Owner || !responded || round == maxRequestRounds-1 {
			return reply
		}
		time.Sleep(requestRoundInterval)
	}
	return quota.AcquireReply{}
}

// requestFromChain calls the owner and then its deputy, at most once each. It also reports whether any of them
// responded.
func (c *quotaClient) requestFromChain(request *quota.AcquireRequest) (reply quota.AcquireReply, responded bool) {
	chain := c.chain()
	current := *request
	for range 2 {
		owner := routing.Rendezvous(current.Tenant, chain)
		if owner == "" {
			break
		}
		reply, err := c.requestFrom(owner, &current)
		if reply.Owner {
			return reply, true
		}
		responded = responded || err == nil
		current.Deputy, current.Ahead = true, 0
		chain = slices.DeleteFunc(chain, func(address string) bool { return address == owner })
	}
	return quota.AcquireReply{}, responded
}

// requestFrom calls one control process. It returns errUnresponsive at once if that process did not respond to a
// call within the last unresponsiveTimeout.
func (c *quotaClient) requestFrom(address string, request *quota.AcquireRequest) (quota.AcquireReply, error) {
	c.mu.Lock()
	unresponsive := c.node.now() < c.unresponsiveUntil[address]
	c.mu.Unlock()
	if unresponsive {
		return quota.AcquireReply{}, errUnresponsive
	}
	var reply quota.AcquireReply
	err := c.node.pool.Call(address, quota.MethodAcquire, request, &reply, c.callTimeout)
	if err == nil {
		err = reply.Validate()
	}
	if err != nil {
		c.mu.Lock()
		c.unresponsiveUntil[address] = c.node.now() + unresponsiveTimeout
		c.mu.Unlock()
		return quota.AcquireReply{}, err
	}
	return reply, nil
}

// acquireFallback takes an amount from this node's even share of the limit while no owner responds.
func (c *quotaClient) acquireFallback(bucket *tenantBucket, tenant *operator.Tenant, amount float64) (bool, time.Duration) {
	nodes := c.node.watcher.nodeCount()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.log.Debug("no quota owner responded", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "nodes", nodes)
	return bucket.TryAcquireFallback(c.node.now(), tenant.Rate, nodes, amount), unresponsiveTimeout
}

// Refund returns units that were acquired for a request that has not run to the local bucket.
func (c *quotaClient) Refund(tenant *operator.Tenant, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bucket := c.buckets[tenant.Name]; bucket != nil {
		bucket.Refund(amount)
	}
}

// bucket returns a tenant's bucket and updates its limit. The caller holds the lock.
func (c *quotaClient) bucket(tenant *operator.Tenant, revision int64) *tenantBucket {
	bucket := c.buckets[tenant.Name]
	if bucket == nil {
		bucket = &tenantBucket{}
		c.buckets[tenant.Name] = bucket
	}
	if revision >= bucket.revision {
		bucket.tenant, bucket.revision = tenant, revision
	}
	return bucket
}

// chain returns the addresses of the control plane's chain, as known to this node. Quota owners are chosen among
// them.
func (c *quotaClient) chain() []string {
	_, members := c.node.watcher.members()
	var chain []string
	for _, member := range members {
		if member.InChain {
			chain = append(chain, member.Address)
		}
	}
	return chain
}

// run returns unused quota to the owners at every returnInterval until the context ends. Units that cannot be
// returned are lost to the tenant until its bucket has filled again.
func (c *quotaClient) run(ctx context.Context) {
	every(ctx, returnInterval, func(time.Time) {
		for _, request := range c.collectUnused() {
			var reply quota.AcquireReply
			_ = c.node.pool.Call(routing.Rendezvous(request.Tenant, c.chain()), quota.MethodAcquire, &request, &reply, c.callTimeout)
		}
	})
}

// collectUnused removes unused units from the buckets and returns the requests that return them to the owners.
func (c *quotaClient) collectUnused() []quota.AcquireRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []quota.AcquireRequest
	for name, bucket := range c.buckets {
		if amount := bucket.ReleaseUnused(c.node.now()); amount > 0 {
			requests = append(requests, quota.AcquireRequest{Tenant: name, Rate: bucket.tenant.Rate, Burst: bucket.tenant.Burst,
				Returned: amount, Revision: bucket.revision})
		}
	}
	return requests
}
