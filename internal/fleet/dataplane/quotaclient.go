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

// The figures of asking for allowance.
const (
	takeWait      = 100 * time.Millisecond
	returnEvery   = 500 * time.Millisecond
	silentFor     = 500 * time.Millisecond // an owner that did not answer is not asked again for so long
	mostQuotaWait = 5 * time.Second
	askTries      = 4
	askPause      = 25 * time.Millisecond
	shortWait     = 5 * time.Millisecond // up to which a request waits for allowance here: its client's way back takes longer
)

var errSilent = errors.New("the control process was found silent just now")

// quotaClient keeps the node's part of the tenants' allowances.
type quotaClient struct {
	node        *Node
	callTimeout time.Duration

	mu      sync.Mutex
	wallets map[string]*wallet
	silent  map[string]time.Duration // until when an owner is not asked
}

type wallet struct {
	quota.LocalBucket
	tenant   *operator.Tenant
	revision int64
}

func newQuotaClient(n *Node) *quotaClient {
	return &quotaClient{node: n, callTimeout: takeWait, wallets: map[string]*wallet{}, silent: map[string]time.Duration{}}
}

// Acquire takes an amount from a tenant's allowance: from what is held, else from its owner, else from the owner's deputy,
// else from this node's even part of the limit. Where the owner will very soon have enough, it is asked once more: the bucket
// of one that has just begun may be empty though the tenant is far below its limit.
func (r *quotaClient) Acquire(ctx context.Context, tenant *operator.Tenant, revision int64, amount float64, urgent bool) (bool, time.Duration) {
	for retried := false; ; retried = true {
		now := r.node.now()
		r.mu.Lock()
		w := r.wallet(tenant, revision)
		if w.TryAcquire(now, amount) {
			r.mu.Unlock()
			return true, 0
		}
		need, ahead := w.Demand(amount)
		r.mu.Unlock()
		request := quota.TakeRequest{Tenant: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst, Need: need, Ahead: ahead,
			Revision: revision, Urgent: urgent}
		reply := r.ask(&request)
		if !reply.Owner {
			return r.fallBack(w, tenant, amount)
		}
		if r.acquireGranted(w, reply.Granted, amount) {
			return true, 0
		}
		if retried || !waitShortly(ctx, reply.Wait) {
			r.node.log.Debug("over quota", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "burst", tenant.Burst, "wait", reply.Wait)
			return false, min(reply.Wait, mostQuotaWait)
		}
	}
}

// acquireGranted takes an owner's answer and an amount from what is then held.
func (r *quotaClient) acquireGranted(w *wallet, granted, amount float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.AddGrant(r.node.now(), granted)
	return w.TryAcquire(r.node.now(), amount)
}

// waitShortly waits and tells whether it did: not where the time is longer than shortWait or than the request has left, and
// only as long as the request's context lasts.
func waitShortly(ctx context.Context, wait time.Duration) bool {
	deadline, limited := ctx.Deadline()
	if wait > shortWait || limited && wait >= time.Until(deadline) {
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

// ask asks the owner, and its deputy where the owner is silent. While the ownership moves from one process to another that are
// both there, neither gives for some milliseconds: then both are asked again.
func (r *quotaClient) ask(request *quota.TakeRequest) quota.TakeReply {
	for try := range askTries {
		reply, answered := r.askInTurn(request)
		if reply.Owner || !answered || try == askTries-1 {
			return reply
		}
		time.Sleep(askPause)
	}
	return quota.TakeReply{}
}

// askInTurn asks owner and deputy once. It also tells whether any of them answered at all.
func (r *quotaClient) askInTurn(request *quota.TakeRequest) (reply quota.TakeReply, answered bool) {
	chain := r.chain()
	asked := *request
	for range 2 {
		owner := routing.Rendezvous(asked.Tenant, chain)
		if owner == "" {
			break
		}
		reply, err := r.askOne(owner, &asked)
		if reply.Owner {
			return reply, true
		}
		answered = answered || err == nil
		asked.Deputy, asked.Ahead = true, 0
		chain = slices.DeleteFunc(chain, func(address string) bool { return address == owner })
	}
	return quota.TakeReply{}, answered
}

// askOne asks one control process, unless it was found silent just now.
func (r *quotaClient) askOne(address string, request *quota.TakeRequest) (quota.TakeReply, error) {
	r.mu.Lock()
	silent := r.node.now() < r.silent[address]
	r.mu.Unlock()
	if silent {
		return quota.TakeReply{}, errSilent
	}
	var reply quota.TakeReply
	err := r.node.pool.Call(address, quota.MethodTake, request, &reply, r.callTimeout)
	if err != nil {
		r.mu.Lock()
		r.silent[address] = r.node.now() + silentFor
		r.mu.Unlock()
	}
	return reply, err
}

// fallBack spends from this node's even part of the limit, while the owner does not answer.
func (r *quotaClient) fallBack(w *wallet, tenant *operator.Tenant, amount float64) (bool, time.Duration) {
	nodes := r.node.watcher.nodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.log.Debug("no owner of the allowance answers", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "nodes", nodes)
	return w.TryAcquireFallback(r.node.now(), tenant.Rate, nodes, amount), silentFor
}

// Refund gives back what a request that did not run took.
func (r *quotaClient) Refund(tenant *operator.Tenant, amount float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.wallets[tenant.Name]; w != nil {
		w.Refund(amount)
	}
}

func (r *quotaClient) wallet(tenant *operator.Tenant, revision int64) *wallet {
	w := r.wallets[tenant.Name]
	if w == nil {
		w = &wallet{}
		r.wallets[tenant.Name] = w
	}
	if revision >= w.revision {
		w.tenant, w.revision = tenant, revision
	}
	return w
}

// chain are the members of the chain as far as is known here.
func (r *quotaClient) chain() []string {
	_, members := r.node.watcher.members()
	var chain []string
	for _, member := range members {
		if member.InChain {
			chain = append(chain, member.Address)
		}
	}
	return chain
}

// run gives back what was granted and not used.
func (r *quotaClient) run() {
	for range time.Tick(returnEvery) {
		for _, request := range r.unused() {
			var reply quota.TakeReply
			_ = r.node.pool.Call(routing.Rendezvous(request.Tenant, r.chain()), quota.MethodTake, &request, &reply, r.callTimeout)
		}
	}
}

func (r *quotaClient) unused() []quota.TakeRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var requests []quota.TakeRequest
	for name, w := range r.wallets {
		if amount := w.ReleaseUnused(r.node.now()); amount > 0 {
			requests = append(requests, quota.TakeRequest{Tenant: name, Rate: w.tenant.Rate, Burst: w.tenant.Burst,
				Returned: amount, Revision: w.revision})
		}
	}
	return requests
}
