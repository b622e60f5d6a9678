package datanode

import (
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/allowance"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// The figures of asking for allowance.
const (
	takeWait      = 150 * time.Millisecond
	returnEvery   = 500 * time.Millisecond
	silentFor     = 500 * time.Millisecond // an owner that did not answer is not asked again for so long
	mostQuotaWait = 5 * time.Second
)

// rooms keeps the node's part of the tenants' allowances.
type rooms struct {
	node *Node

	mu      sync.Mutex
	wallets map[string]*wallet
	silent  map[string]time.Duration // until when an owner is not asked
}

type wallet struct {
	allowance.Wallet
	tenant   *operator.Tenant
	revision int64
}

func newRooms(n *Node) *rooms {
	return &rooms{node: n, wallets: map[string]*wallet{}, silent: map[string]time.Duration{}}
}

// Spend takes an amount from a tenant's allowance.
func (r *rooms) Spend(tenant *operator.Tenant, revision int64, amount float64, urgent bool) (bool, time.Duration) {
	now := r.node.now()
	r.mu.Lock()
	w := r.wallet(tenant, revision)
	if w.Spend(now, amount) {
		r.mu.Unlock()
		return true, 0
	}
	owner := r.owner(tenant.Name)
	epoch, _ := r.node.follower.members()
	need, ahead := w.Ask(now, amount)
	request := allowance.TakeRequest{Epoch: epoch, Tenant: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst, Need: need,
		Ahead: ahead, Revision: revision, Urgent: urgent}
	asked := now >= r.silent[owner]
	r.mu.Unlock()
	if !asked {
		return r.fallBack(w, tenant, amount)
	}
	var reply allowance.TakeReply
	err := r.node.pool.Call(owner, allowance.MethodTake, &request, &reply, takeWait)
	if err != nil || !reply.Owner {
		r.mu.Lock()
		r.silent[owner] = r.node.now() + silentFor
		r.mu.Unlock()
		return r.fallBack(w, tenant, amount)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Granted(r.node.now(), reply.Granted)
	if w.Spend(r.node.now(), amount) {
		return true, 0
	}
	r.node.log.Debug("over quota", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "burst", tenant.Burst, "wait", reply.Wait)
	return false, min(reply.Wait, mostQuotaWait)
}

// fallBack spends from this node's even part of the limit, while the owner does not answer.
func (r *rooms) fallBack(w *wallet, tenant *operator.Tenant, amount float64) (bool, time.Duration) {
	nodes := r.node.follower.nodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.log.Debug("no owner of the allowance answers", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "nodes", nodes)
	return w.Fallback(r.node.now(), tenant.Rate, nodes, amount), silentFor
}

// Refund gives back what a request that did not run took.
func (r *rooms) Refund(tenant *operator.Tenant, amount float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.wallets[tenant.Name]; w != nil {
		w.Refund(amount)
	}
}

func (r *rooms) wallet(tenant *operator.Tenant, revision int64) *wallet {
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

// owner is the control process that owns a tenant's allowance.
func (r *rooms) owner(tenant string) string {
	_, members := r.node.follower.members()
	var chain []string
	for _, member := range members {
		if member.InChain {
			chain = append(chain, member.Address)
		}
	}
	return routing.Rendezvous(tenant, chain)
}

// run gives back what was granted and not used.
func (r *rooms) run() {
	for range time.Tick(returnEvery) {
		for _, request := range r.unused() {
			var reply allowance.TakeReply
			_ = r.node.pool.Call(r.owner(request.Tenant), allowance.MethodTake, &request, &reply, takeWait)
		}
	}
}

func (r *rooms) unused() []allowance.TakeRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var requests []allowance.TakeRequest
	for name, w := range r.wallets {
		if amount := w.Unused(r.node.now()); amount > 0 {
			requests = append(requests, allowance.TakeRequest{Tenant: name, Rate: w.tenant.Rate, Burst: w.tenant.Burst,
				Returned: amount, Revision: w.revision})
		}
	}
	return requests
}
