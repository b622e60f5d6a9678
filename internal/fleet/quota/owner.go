// Package quota limits what each tenant uses over the sum of all nodes. The owner of a tenant, one process of the control plane
// at a time, holds the tenant's token bucket; each node of the data plane acquires units from it, a little ahead of need, and
// returns what it did not use. The package is pure: time comes from the caller, in durations since the start of the process.
//
// Three parties may grant units of one tenant while the owner changes: the old owner, its deputy and the new owner. What the
// Tolerance allows beyond a limit is divided among them, so that the sum of all grants stays within limit and tolerance without
// any agreement on each request.
package quota

import "time"

// The fractions of the tolerance beyond a limit. One makes the bucket deeper, one is what a deputy may grant while the owner is
// unresponsive and may still be granting to others, one is what an owner may grant that knows nothing of the bucket before. The
// rest covers nodes that spend from their even share of the limit while neither owner nor deputy responds.
const (
	burstToleranceFraction    = 0.4
	deputyToleranceFraction   = 0.2
	newOwnerToleranceFraction = 0.2
)

// Parameters of deputies.
const (
	deputyAfter  = 250 * time.Millisecond // for which the owner must be unresponsive before its deputy grants units
	mirrorMaxAge = 30 * time.Second       // up to which a mirror of another owner's bucket is used
)

// Parameters of a bucket.
const (
	// reserveFraction of a bucket is reserved for urgent and for small requests: they pass also when a tenant is over its limit.
	reserveFraction = 0.35
	// smallRequestFraction is the fraction of a bucket up to which a request counts as small.
	smallRequestFraction = 0.01
	// maxDeniedSeconds bounds, in seconds of the tenant's rate, the denied demand that is expected to come back.
	maxDeniedSeconds = 5.0
	// unlimitedWait is the wait of a tenant whose rate is 0: its bucket does not fill.
	unlimitedWait = time.Second
)

// Tolerance is what all nodes together may use over a window beyond a tenant's rate and burst (settings.Bounds).
type Tolerance struct {
	Window time.Duration
	Over   float64 // fraction of the limit over the window
	Slack  float64 // units, in addition
}

// burst returns the depth of a bucket: a tenant may come in bursts as large as the tolerance lets it.
func (t *Tolerance) burst(rate, burst float64) float64 {
	return burst + burstToleranceFraction*t.excess(rate, burst)
}

// excess returns the units that the rules tolerate beyond a limit in a window.
func (t *Tolerance) excess(rate, burst float64) float64 {
	return t.Over*(rate*t.Window.Seconds()+burst) + t.Slack
}

// bucket is a token bucket. A level below 0 is debt.
type bucket struct {
	level    float64
	denied   float64 // units that were denied and may be asked for again
	rate     float64 // units a second
	burst    float64 // depth
	revision int64   // of the configuration that rate and burst are from
	filledAt time.Duration
}

// fill adds what has accrued since the last call.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	accrued := b.rate * (now - b.filledAt).Seconds()
	b.level = min(b.level+accrued, b.burst)
	b.denied = max(0, b.denied-accrued)
	b.filledAt = now
}

// minLevel returns the level from which on a request is granted. A need beyond the depth is granted from a full bucket, which
// then is in debt: else it could never be met.
func (b *bucket) minLevel(r *AcquireRequest) float64 {
	level := min(r.Need, b.burst)
	if r.Urgent || r.Need <= smallRequestFraction*b.burst {
		return level
	}
	return min(level+reserveFraction*b.burst, b.burst)
}

// timeUntil returns how long the bucket takes to fill to a level.
func (b *bucket) timeUntil(level float64) time.Duration {
	if b.rate <= 0 {
		return unlimitedWait
	}
	return time.Duration((level - b.level) / b.rate * float64(time.Second))
}

func (b *bucket) state(tenant string) BucketState {
	return BucketState{Tenant: tenant, Level: b.level, Rate: b.rate, Burst: b.burst, Revision: b.revision}
}

// mirror is a copy of another owner's bucket. It does not fill: what the limit allows while the owner is unresponsive is left to
// the nodes, each of which spends its even share.
type mirror struct {
	bucket
	receivedAt time.Duration
	granted    float64 // as the deputy, since it was received
}

// Owner holds the buckets of the tenants that a process owns, and mirrors of the other owners' buckets. It does not decide who
// owns a tenant: the caller does. It is not safe for concurrent use.
type Owner struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	mirrors   map[string]*mirror
}

// NewOwner returns an owner of no tenant.
func NewOwner(tolerance Tolerance) *Owner {
	return &Owner{tolerance: tolerance, buckets: map[string]*bucket{}, mirrors: map[string]*mirror{}}
}

// EnsureBucket begins a tenant's bucket, if there is none, so that it fills before the first request comes, and applies the
// limit of the newest revision.
func (o *Owner) EnsureBucket(now time.Duration, tenant string, rate, burst float64, revision int64) {
	o.ensure(now, tenant, rate, burst, revision)
}

func (o *Owner) ensure(now time.Duration, tenant string, rate, burst float64, revision int64) *bucket {
	b := o.buckets[tenant]
	if b == nil {
		b = o.newBucket(now, tenant, rate, burst, revision)
		o.buckets[tenant] = b
	}
	b.fill(now)
	if revision >= b.revision { // a node that is behind does not set the limit
		b.rate, b.burst, b.revision = rate, o.tolerance.burst(rate, burst), revision
		b.level = min(b.level, b.burst)
	}
	return b
}

// newBucket returns the bucket of a tenant that this owner has only just got: as the owner before mirrored it, if that was not
// long ago, else at the level that the tolerance covers whatever the owner before has granted.
func (o *Owner) newBucket(now time.Duration, tenant string, rate, burst float64, revision int64) *bucket {
	if m := o.mirrors[tenant]; m != nil {
		delete(o.mirrors, tenant)
		if now-m.receivedAt < mirrorMaxAge {
			b := m.bucket
			b.filledAt = now
			return &b
		}
	}
	level := newOwnerToleranceFraction * o.tolerance.excess(rate, burst)
	return &bucket{level: level, rate: rate, burst: o.tolerance.burst(rate, burst), revision: revision, filledAt: now}
}

// Tenants returns the tenants with a bucket, in no order.
func (o *Owner) Tenants() []string {
	names := make([]string, 0, len(o.buckets))
	for name := range o.buckets {
		names = append(names, name)
	}
	return names
}

// Owns reports whether this owner holds a tenant's bucket.
func (o *Owner) Owns(tenant string) bool { return o.buckets[tenant] != nil }

// Acquire answers a node's request as the owner.
func (o *Owner) Acquire(now time.Duration, r *AcquireRequest) AcquireReply {
	b := o.ensure(now, r.Tenant, r.Rate, r.Burst, r.Revision)
	b.level = min(b.level+max(0, r.Returned), b.burst)
	required := b.minLevel(r)
	if b.level < required {
		wait := b.timeUntil(required + b.denied)
		b.denied = min(b.denied+r.Need, maxDeniedSeconds*b.rate)
		return AcquireReply{Owner: true, Wait: wait}
	}
	granted := r.Need
	granted += min(r.Ahead, max(0, b.level-required))
	b.level -= granted
	return AcquireReply{Owner: true, Granted: granted}
}

// AcquireAsDeputy answers a node's request while the owner is unresponsive. What is granted is bounded, because the owner may be
// granting to nodes that still reach it.
func (o *Owner) AcquireAsDeputy(now time.Duration, r *AcquireRequest) AcquireReply {
	m := o.mirrors[r.Tenant]
	if m == nil || now-m.receivedAt < deputyAfter || now-m.receivedAt > mirrorMaxAge {
		return AcquireReply{}
	}
	remaining := deputyToleranceFraction*o.tolerance.excess(r.Rate, r.Burst) - m.granted
	required := m.minLevel(r)
	if r.Need > remaining { // nodes have their even shares
		return AcquireReply{}
	}
	if m.level < required {
		return AcquireReply{Owner: true, Wait: max(m.timeUntil(required), deputyAfter)}
	}
	m.level -= r.Need
	m.granted += r.Need
	return AcquireReply{Owner: true, Granted: r.Need}
}

// Buckets returns the state of all buckets, for UpdateMirrors of the other members.
func (o *Owner) Buckets(now time.Duration) []BucketState {
	buckets := make([]BucketState, 0, len(o.buckets))
	for tenant, b := range o.buckets {
		b.fill(now)
		buckets = append(buckets, b.state(tenant))
	}
	return buckets
}

// UpdateMirrors stores the buckets of another owner. A tenant that this process owns itself is passed over.
func (o *Owner) UpdateMirrors(now time.Duration, buckets []BucketState) {
	for _, h := range buckets {
		if !o.Owns(h.Tenant) {
			copied := bucket{level: h.Level, rate: h.Rate, burst: h.Burst, revision: h.Revision, filledAt: now}
			o.mirrors[h.Tenant] = &mirror{bucket: copied, receivedAt: now}
		}
	}
}

// Release removes a tenant's bucket and returns its state for the next owner; false where there is none.
func (o *Owner) Release(now time.Duration, tenant string) (BucketState, bool) {
	b := o.buckets[tenant]
	if b == nil {
		return BucketState{}, false
	}
	b.fill(now)
	delete(o.buckets, tenant)
	return b.state(tenant), true
}

// AcceptTransfer begins a bucket as the owner before had it. One that was begun here already stays: requests have been granted
// from it.
func (o *Owner) AcceptTransfer(now time.Duration, h *BucketState) {
	if o.Owns(h.Tenant) {
		return
	}
	o.buckets[h.Tenant] = &bucket{level: min(h.Level, h.Burst), rate: h.Rate, burst: h.Burst, revision: h.Revision, filledAt: now}
}
