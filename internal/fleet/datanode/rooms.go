package datanode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/allowance"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
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

// Spend takes an amount from a tenant's allowance: from what is held, else from its owner, else from the owner's deputy,
// else from this node's even part of the limit. Where the owner will very soon have enough, it is asked once more: the bucket
// of one that has just begun may be empty though the tenant is far below its limit.
func (r *rooms) Spend(ctx context.Context, tenant *operator.Tenant, revision int64, amount float64, urgent bool) (bool, time.Duration) {
	for retried := false; ; retried = true {
		now := r.node.now()
		r.mu.Lock()
		w := r.wallet(tenant, revision)
		if w.Spend(now, amount) {
			r.mu.Unlock()
			return true, 0
		}
		need, ahead := w.Ask(now, amount)
		r.mu.Unlock()
		request := allowance.TakeRequest{Tenant: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst, Need: need, Ahead: ahead,
			Revision: revision, Urgent: urgent}
		reply := r.ask(&request)
		if !reply.Owner {
			return r.fallBack(w, tenant, amount)
		}
		if r.spendGranted(w, reply.Granted, amount) {
			return true, 0
		}
		if retried || !waitShortly(ctx, reply.Wait) {
			r.node.log.Debug("over quota", "tenant", tenant.Name, "amount", amount, "rate", tenant.Rate, "burst", tenant.Burst, "wait", reply.Wait)
			return false, min(reply.Wait, mostQuotaWait)
		}
	}
}

// spendGranted takes an owner's answer and an amount from what is then held.
func (r *rooms) spendGranted(w *wallet, granted, amount float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Granted(r.node.now(), granted)
	return w.Spend(r.node.now(), amount)
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
func (r *rooms) ask(request *allowance.TakeRequest) allowance.TakeReply {
	for try := range askTries {
		reply, answered := r.askInTurn(request)
		if reply.Owner || !answered || try == askTries-1 {
			return reply
		}
		time.Sleep(askPause)
	}
	return allowance.TakeReply{}
}

// askInTurn asks owner and deputy once. It also tells whether any of them answered at all.
func (r *rooms) askInTurn(request *allowance.TakeRequest) (reply allowance.TakeReply, answered bool) {
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
	return allowance.TakeReply{}, answered
}

// askOne asks one control process, unless it was found silent just now.
func (r *rooms) askOne(address string, request *allowance.TakeRequest) (allowance.TakeReply, error) {
	r.mu.Lock()
	silent := r.node.now() < r.silent[address]
	r.mu.Unlock()
	if silent {
		return allowance.TakeReply{}, errSilent
	}
	var reply allowance.TakeReply
	err := r.node.pool.Call(address, allowance.MethodTake, request, &reply, takeWait)
	if err != nil {
		r.mu.Lock()
		r.silent[address] = r.node.now() + silentFor
		r.mu.Unlock()
	}
	return reply, err
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

// chain are the members of the chain as far as is known here.
func (r *rooms) chain() []string {
	_, members := r.node.follower.members()
	var chain []string
	for _, member := range members {
		if member.InChain {
			chain = append(chain, member.Address)
		}
	}
	return chain
}

// run gives back what was granted and not used.
func (r *rooms) run() {
	for range time.Tick(returnEvery) {
		for _, request := range r.unused() {
			var reply allowance.TakeReply
			_ = r.node.pool.Call(routing.Rendezvous(request.Tenant, r.chain()), allowance.MethodTake, &request, &reply, takeWait)
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
