// Package allowance keeps the tenants' allowances over the sum of all nodes. The owner of a tenant, one process of the
// control plane at a time, holds the tenant's token bucket; each node of the data plane asks it for room, a little ahead of
// need, and gives back what it did not use. The package is pure.
package allowance

import (
	"time"
)

// MethodTake is the method by which a node asks the owner for room.
const MethodTake = "Allowance.Take"

// TakeRequest asks for room.
type TakeRequest struct {
	Epoch    uint64 // the view by which the node chose the owner
	Tenant   string
	Rate     float64 // the tenant's limit as the node knows it
	Burst    float64
	Need     float64 // for requests that are waiting
	Ahead    float64 // for those to come
	Returned float64 // what was granted before and not used
	Revision int64   // of the configuration that the limit is from
}

// TakeReply grants room.
type TakeReply struct {
	Granted float64
	Owner   bool          // the process asked owns the tenant
	Wait    time.Duration // when the need can be met, where nothing was granted
}

// newOwnerPart is the part of the tenant's own burst with which a bucket begins: what an earlier owner gave out is not known.
const newOwnerPart = 0.25

// tolerancePart is the part of what the rules tolerate beyond a limit that is given out. The rest is for a new owner's first
// room and for nodes that spend from their even part while no owner answers.
const tolerancePart = 0.6

// Tolerance is what the rules tolerate over a window beyond a tenant's rate and burst.
type Tolerance struct {
	Window time.Duration
	Over   float64 // part of the limit
	Slack  float64 // and so much more
}

// burst is the most that a bucket holds: a tenant may come in bursts as large as the tolerance lets it.
func (t *Tolerance) burst(rate, burst float64) float64 {
	return burst + tolerancePart*(t.Over*(rate*t.Window.Seconds()+burst)+t.Slack)
}

type bucket struct {
	level    float64
	rate     float64
	burst    float64
	revision int64
	at       time.Duration
}

// Owner holds the buckets of the tenants that a process owns.
type Owner struct {
	tolerance Tolerance
	buckets   map[string]*bucket
}

// NewOwner makes an owner of nothing.
func NewOwner(tolerance Tolerance) *Owner {
	return &Owner{tolerance: tolerance, buckets: map[string]*bucket{}}
}

// Begin makes a tenant's bucket, if it has none, so that it fills before the first request comes.
func (o *Owner) Begin(now time.Duration, tenant string, rate, burst float64, revision int64) *bucket {
	b := o.buckets[tenant]
	if b == nil {
		b = &bucket{level: newOwnerPart * burst, rate: rate, burst: o.tolerance.burst(rate, burst), revision: revision, at: now}
		o.buckets[tenant] = b
	}
	b.fill(now)
	if revision >= b.revision { // a node that is behind does not set the limit
		b.rate, b.burst, b.revision = rate, o.tolerance.burst(rate, burst), revision
		b.level = min(b.level, b.burst)
	}
	return b
}

// Forget drops a tenant's bucket when it has another owner.
func (o *Owner) Forget(tenant string) { delete(o.buckets, tenant) }

// Tenants are those with a bucket.
func (o *Owner) Tenants() []string {
	names := make([]string, 0, len(o.buckets))
	for name := range o.buckets {
		names = append(names, name)
	}
	return names
}

// Take answers a request for room. A need beyond the burst is met from a full bucket, which then is in debt.
func (o *Owner) Take(now time.Duration, r *TakeRequest) TakeReply {
	b := o.Begin(now, r.Tenant, r.Rate, r.Burst, r.Revision)
	b.level = min(b.level+max(0, r.Returned), b.burst)
	if b.level < min(r.Need, b.burst) {
		return TakeReply{Owner: true, Wait: b.until(min(r.Need, b.burst))}
	}
	granted := r.Need
	granted += min(r.Ahead, max(0, b.level-granted))
	b.level -= granted
	return TakeReply{Owner: true, Granted: granted}
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.burst)
		b.at = now
	}
}

// until is the time until the bucket holds so much.
func (b *bucket) until(level float64) time.Duration {
	if b.rate <= 0 {
		return time.Second
	}
	return time.Duration((level - b.level) / b.rate * float64(time.Second))
}

// The figures of a node's wallet.
const (
	aheadFor  = 0.2             // seconds of recent use that are asked for ahead of need
	useMemory = 2.0             // seconds after which use weighs 1/e
	keepFor   = time.Second / 2 // after which what was granted and not used is given back
)

// Wallet is the room that a node holds for one tenant.
type Wallet struct {
	balance   float64
	grantedAt time.Duration
	use       float64 // recent use, a second
	useAt     time.Duration
	fallback  float64
	fallAt    time.Duration
}

// Spend takes room for a request from what is held, and tells whether there was enough.
func (w *Wallet) Spend(now time.Duration, amount float64) bool {
	if w.balance < amount {
		return false
	}
	w.balance -= amount
	w.used(now, amount)
	return true
}

func (w *Wallet) used(now time.Duration, amount float64) {
	keep := 1 - min(1, (now-w.useAt).Seconds()/useMemory)
	w.use = w.use*max(0, keep) + amount/useMemory
	w.useAt = now
}

// Refund gives room back for a request that did not run.
func (w *Wallet) Refund(amount float64) { w.balance += amount }

// Ask gives the request for room that lets an amount be spent.
func (w *Wallet) Ask(now time.Duration, amount float64) (need, ahead float64) {
	return max(0, amount-w.balance), aheadFor * w.use
}

// Granted takes room.
func (w *Wallet) Granted(now time.Duration, amount float64) {
	w.balance += amount
	w.grantedAt = now
}

// Unused takes out what has been held for too long, to be given back.
func (w *Wallet) Unused(now time.Duration) float64 {
	if w.balance <= 0 || now-w.grantedAt < keepFor {
		return 0
	}
	unused := w.balance
	w.balance = 0
	return unused
}

// Fallback spends from this node's even part of a limit, while no owner answers.
func (w *Wallet) Fallback(now time.Duration, rate float64, nodes int, amount float64) bool {
	part := rate / float64(max(1, nodes))
	if w.fallAt > 0 {
		w.fallback = min(w.fallback+part*(now-w.fallAt).Seconds(), part)
	}
	w.fallAt = now
	if w.fallback < min(amount, part) {
		return false
	}
	w.fallback -= amount
	return true
}
