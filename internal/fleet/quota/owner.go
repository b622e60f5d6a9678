// Package quota keeps the tenants' allowances over the sum of all nodes. The owner of a tenant, one process of the
// control plane at a time, holds the tenant's token bucket; each node of the data plane asks it for room, a little ahead of
// need, and gives back what it did not use. The package is pure.
package quota

import (
	"time"
)

// MethodTake is the method by which a node asks the owner for room.
const MethodTake = "Allowance.Take"

// TakeRequest asks for room.
type TakeRequest struct {
	Tenant   string
	Rate     float64 // the tenant's limit as the node knows it
	Burst    float64
	Need     float64 // for requests that are waiting
	Ahead    float64 // for those to come
	Returned float64 // what was granted before and not used
	Urgent   bool    // the need is for requests of the highest rank
	Deputy   bool    // the owner does not answer
	Revision int64   // of the configuration that the limit is from
}

// TakeReply grants room.
type TakeReply struct {
	Granted float64
	Owner   bool          // the process asked is the owner, or its deputy while the owner is silent
	Wait    time.Duration // when the need can be met, where nothing was granted
}

// What the rules tolerate beyond a limit is given out in parts: one makes the bucket deeper, one is what a deputy may give
// while the owner is silent, and may still be giving to others. The rest is for nodes that spend from their even part while
// neither answers, and for a new owner that knows nothing of the bucket before.
const (
	tolerancePart = 0.4
	deputyPart    = 0.2
	newOwnerPart  = 0.2
)

// deputyAfter is how long the owner must not have been heard before its deputy gives out room.
const deputyAfter = 250 * time.Millisecond

// mirrorLife is how long a copy of another owner's bucket is of use.
const mirrorLife = 30 * time.Second

// MethodReflect is the method by which an owner shows its buckets to those that may come after it.
const MethodReflect = "Allowance.Reflect"

// Reflection is an owner's buckets.
type Reflection struct {
	Epoch   uint64
	Buckets []HandOver
}

// MethodHandOver is the method by which an owner hands a bucket to the next one.
const MethodHandOver = "Allowance.HandOver"

// HandOver is a bucket that has a new owner.
type HandOver struct {
	Epoch    uint64 // the view that made the new owner
	Tenant   string
	Level    float64
	Rate     float64
	Burst    float64
	Revision int64
}

// Tolerance is what the rules tolerate over a window beyond a tenant's rate and burst.
type Tolerance struct {
	Window time.Duration
	Over   float64 // part of the limit
	Slack  float64 // and so much more
}

// burst is the most that a bucket holds: a tenant may come in bursts as large as the tolerance lets it.
func (t *Tolerance) burst(rate, burst float64) float64 {
	return burst + tolerancePart*t.beyond(rate, burst)
}

// beyond is what the rules tolerate beyond a limit in a window.
func (t *Tolerance) beyond(rate, burst float64) float64 {
	return t.Over*(rate*t.Window.Seconds()+burst) + t.Slack
}

// reservePart is the part of a bucket that is kept for urgent and for small requests: when a tenant runs over its limit,
// these still pass.
const reservePart = 0.35

// smallPart is the part of a bucket up to which a request is small.
const smallPart = 0.01

// mostDenied bounds, in seconds of the tenant's rate, the demand that is taken to come back after it was denied.
const mostDenied = 5.0

type bucket struct {
	level    float64
	denied   float64 // demand that was denied and may come back
	rate     float64
	burst    float64
	revision int64
	at       time.Duration
}

// Owner holds the buckets of the tenants that a process owns.
type Owner struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	mirrors   map[string]*mirror
}

// mirror is a copy of another owner's bucket. It does not fill: what the limit allows while the owner is silent is left to the
// nodes, each of which spends its even part.
type mirror struct {
	bucket
	heardAt time.Duration
	given   float64 // as the deputy, since it was heard
}

// NewOwner makes an owner of nothing.
func NewOwner(tolerance Tolerance) *Owner {
	return &Owner{tolerance: tolerance, buckets: map[string]*bucket{}, mirrors: map[string]*mirror{}}
}

// EnsureBucket makes a tenant's bucket, if it has none, so that it fills before the first request comes.
func (o *Owner) EnsureBucket(now time.Duration, tenant string, rate, burst float64, revision int64) *bucket {
	b := o.buckets[tenant]
	if b == nil {
		b = o.first(now, tenant, rate, burst, revision)
		o.buckets[tenant] = b
	}
	b.fill(now)
	if revision >= b.revision { // a node that is behind does not set the limit
		b.rate, b.burst, b.revision = rate, o.tolerance.burst(rate, burst), revision
		b.level = min(b.level, b.burst)
	}
	return b
}

// Tenants are those with a bucket.
func (o *Owner) Tenants() []string {
	names := make([]string, 0, len(o.buckets))
	for name := range o.buckets {
		names = append(names, name)
	}
	return names
}

// first is the bucket of a tenant that this owner has only just got: as the owner before showed it, if that was not long ago.
func (o *Owner) first(now time.Duration, tenant string, rate, burst float64, revision int64) *bucket {
	if m := o.mirrors[tenant]; m != nil {
		delete(o.mirrors, tenant)
		if now-m.heardAt < mirrorLife {
			b := m.bucket
			b.at = now
			return &b
		}
	}
	level := newOwnerPart * o.tolerance.beyond(rate, burst)
	return &bucket{level: level, rate: rate, burst: o.tolerance.burst(rate, burst), revision: revision, at: now}
}

// Buckets shows the buckets.
func (o *Owner) Buckets(now time.Duration) []HandOver {
	shown := make([]HandOver, 0, len(o.buckets))
	for tenant, b := range o.buckets {
		b.fill(now)
		shown = append(shown, HandOver{Tenant: tenant, Level: b.level, Rate: b.rate, Burst: b.burst, Revision: b.revision})
	}
	return shown
}

// UpdateMirrors takes what another owner shows.
func (o *Owner) UpdateMirrors(now time.Duration, shown []HandOver) {
	for _, h := range shown {
		if !o.Owns(h.Tenant) {
			o.mirrors[h.Tenant] = &mirror{bucket: bucket{level: h.Level, rate: h.Rate, burst: h.Burst, revision: h.Revision, at: now}, heardAt: now}
		}
	}
}

// AcquireAsDeputy answers a request for room while the owner is silent. What is given is bounded: the owner may be giving
// to nodes that still reach it.
func (o *Owner) AcquireAsDeputy(now time.Duration, r *TakeRequest) TakeReply {
	m := o.mirrors[r.Tenant]
	if m == nil || now-m.heardAt < deputyAfter || now-m.heardAt > mirrorLife {
		return TakeReply{}
	}
	left := deputyPart*o.tolerance.beyond(r.Rate, r.Burst) - m.given
	least := m.least(r)
	if r.Need > left { // nodes have their even parts
		return TakeReply{}
	}
	if m.level < least {
		return TakeReply{Owner: true, Wait: max(m.until(least), deputyAfter)}
	}
	m.level -= r.Need
	m.given += r.Need
	return TakeReply{Owner: true, Granted: r.Need}
}

// Owns tells whether this owner holds a tenant's bucket.
func (o *Owner) Owns(tenant string) bool { return o.buckets[tenant] != nil }

// Release takes a tenant's bucket out, to be handed over.
func (o *Owner) Release(now time.Duration, tenant string) (HandOver, bool) {
	b := o.buckets[tenant]
	if b == nil {
		return HandOver{}, false
	}
	b.fill(now)
	delete(o.buckets, tenant)
	return HandOver{Tenant: tenant, Level: b.level, Rate: b.rate, Burst: b.burst, Revision: b.revision}, true
}

// AcceptTransfer takes a bucket over as it was.
func (o *Owner) AcceptTransfer(now time.Duration, h *HandOver) {
	if o.Owns(h.Tenant) {
		return
	}
	o.buckets[h.Tenant] = &bucket{level: min(h.Level, h.Burst), rate: h.Rate, burst: h.Burst, revision: h.Revision, at: now}
}

// Acquire answers a request for room. A need beyond the burst is met from a full bucket, which then is in debt.
func (o *Owner) Acquire(now time.Duration, r *TakeRequest) TakeReply {
	b := o.EnsureBucket(now, r.Tenant, r.Rate, r.Burst, r.Revision)
	b.level = min(b.level+max(0, r.Returned), b.burst)
	least := b.least(r)
	if b.level < least {
		wait := b.until(least + b.denied)
		b.denied = min(b.denied+r.Need, mostDenied*b.rate)
		return TakeReply{Owner: true, Wait: wait}
	}
	granted := r.Need
	granted += min(r.Ahead, max(0, b.level-least))
	b.level -= granted
	return TakeReply{Owner: true, Granted: granted}
}

// least is the level from which on a need is met.
func (b *bucket) least(r *TakeRequest) float64 {
	least := min(r.Need, b.burst)
	if r.Urgent || r.Need <= smallPart*b.burst {
		return least
	}
	return min(least+reservePart*b.burst, b.burst)
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		room := b.rate * (now - b.at).Seconds()
		b.level = min(b.level+room, b.burst)
		b.denied = max(0, b.denied-room)
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
