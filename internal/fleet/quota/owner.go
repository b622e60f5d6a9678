// Package quota limits the usage of each tenant, summed over all nodes. The owner of a tenant, one process of the
// control plane at a time, holds the tenant's token bucket. Each node of the data plane acquires units from it,
// slightly ahead of need, and returns those that it did not use. The package performs no I/O and reads no clock:
// the caller passes the time, as a duration since the start of the process.
//
// Three parties may grant units of one tenant while the owner changes: the old owner, its deputy and the new
// owner. The excess over a limit that Tolerance allows is divided among them, so that the sum of all grants stays
// within limit and tolerance without coordination on each request.
package quota

import "time"

// Fractions of the tolerance beyond a limit. The rest covers nodes that spend from their even share of the limit
// while neither owner nor deputy responds.
const (
	// burstToleranceFraction is added to the depth of the bucket.
	burstToleranceFraction = 0.4
	// deputyToleranceFraction bounds the grants of a deputy while the owner is unresponsive, because the owner may
	// still be granting units to other nodes.
	deputyToleranceFraction = 0.2
	// newOwnerToleranceFraction is the initial level of a new owner's bucket if the state of the previous bucket is
	// not known.
	newOwnerToleranceFraction = 0.2
)

// Parameters of deputies.
const (
	deputyDelay  = 250 * time.Millisecond // the owner must be unresponsive for this long before its deputy grants units
	mirrorMaxAge = 30 * time.Second       // an older mirror of another owner's bucket is not used
)

// Parameters of a bucket.
const (
	// reserveFraction of a bucket is reserved for urgent and for small requests, so that they are granted even
	// when a tenant is over its limit.
	reserveFraction = 0.35
	// smallRequestFraction is the fraction of a bucket up to which a request counts as small.
	smallRequestFraction = 0.01
	// maxDeniedSeconds bounds the denied demand that is expected to be requested again, in seconds of the tenant's
	// rate.
	maxDeniedSeconds = 5.0
	// zeroRateWait is the wait returned for a tenant whose rate is 0: its bucket does not fill.
	zeroRateWait = time.Second
)

// Tolerance is what all nodes together may use in a window beyond a tenant's rate and burst (see settings.Bounds).
type Tolerance struct {
	Window time.Duration
	Over   float64 // fraction of the limit in the window
	Slack  float64 // units, in addition
}

// burst returns the depth of a bucket: the tenant's burst and the fraction of the tolerance that is reserved for
// bursts.
func (t *Tolerance) burst(rate, burst float64) float64 {
	return burst + burstToleranceFraction*t.excess(rate, burst)
}

// excess returns the units that are tolerated beyond a limit in a window.
func (t *Tolerance) excess(rate, burst float64) float64 {
	return t.Over*(rate*t.Window.Seconds()+burst) + t.Slack
}

// bucket is a token bucket. A negative level is debt.
type bucket struct {
	level    float64
	denied   float64 // units that were denied and may be requested again
	rate     float64 // units per second
	burst    float64 // depth
	revision int64   // of the configuration that contains rate and burst
	filledAt time.Duration
}

// fill adds the units that have accrued since the last call.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	accrued := b.rate * (now - b.filledAt).Seconds()
	b.level = min(b.level+accrued, b.burst)
	b.denied = max(0, b.denied-accrued)
	b.filledAt = now
}

// minLevel returns the lowest level at which a request is granted. A need larger than the depth is granted from a
// full bucket, which then goes into debt; otherwise it could never be met.
func (b *bucket) minLevel(r *AcquireRequest) float64 {
	level := min(r.Need, b.burst)
	if r.Urgent || r.Need <= smallRequestFraction*b.burst {
		return level
	}
	return min(level+reserveFraction*b.burst, b.burst)
}

// timeUntil returns the time that the bucket takes to fill to a level.
func (b *bucket) timeUntil(level float64) time.Duration {
	if b.rate <= 0 {
		return zeroRateWait
	}
	return time.Duration((level - b.level) / b.rate * float64(time.Second))
}

func (b *bucket) state(tenant string) BucketState {
	return BucketState{Tenant: tenant, Level: b.level, Rate: b.rate, Burst: b.burst, Revision: b.revision}
}

// mirror is a copy of another owner's bucket. It does not fill: the units that accrue while the owner is
// unresponsive are left to the nodes, each of which spends its even share.
type mirror struct {
	bucket
	receivedAt time.Duration
	granted    float64 // units granted as the deputy since the mirror was received
}

// Owner holds the buckets of the tenants that a process owns, and mirrors of the other owners' buckets. The caller
// decides which process owns a tenant. Owner is not safe for concurrent use.
type Owner struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	mirrors   map[string]*mirror
}

// NewOwner returns an owner without tenants.
func NewOwner(tolerance Tolerance) *Owner {
	return &Owner{tolerance: tolerance, buckets: map[string]*bucket{}, mirrors: map[string]*mirror{}}
}

// EnsureBucket creates a tenant's bucket if there is none, so that it fills before the first request arrives, and
// applies the limit unless its revision is older than that of the bucket's limit.
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
	if revision >= b.revision { // a node with an older configuration does not set the limit
		b.rate, b.burst, b.revision = rate, o.tolerance.burst(rate, burst), revision
		b.level = min(b.level, b.burst)
	}
	return b
}

// newBucket returns the bucket of a tenant that this process has just become the owner of. It is the copy that the
// previous owner mirrored, if that is recent enough; otherwise its level is one that the tolerance covers whatever
// the previous owner has granted.
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

// Tenants returns the names of the tenants with a bucket, in no particular order.
func (o *Owner) Tenants() []string {
	names := make([]string, 0, len(o.buckets))
	for name := range o.buckets {
		names = append(names, name)
	}
	return names
}

// Owns reports whether this owner holds a tenant's bucket.
func (o *Owner) Owns(tenant string) bool { return o.buckets[tenant] != nil }

// Acquire handles a node's request as the owner.
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

// AcquireAsDeputy handles a node's request while the owner is unresponsive. The units granted are bounded, because
// the owner may be granting units to nodes that still reach it.
func (o *Owner) AcquireAsDeputy(now time.Duration, r *AcquireRequest) AcquireReply {
	m := o.mirrors[r.Tenant]
	if m == nil || now-m.receivedAt < deputyDelay || now-m.receivedAt > mirrorMaxAge {
		return AcquireReply{}
	}
	remaining := deputyToleranceFraction*o.tolerance.excess(r.Rate, r.Burst) - m.granted
	required := m.minLevel(r)
	if r.Need > remaining { // the nodes use their even shares
		return AcquireReply{}
	}
	if m.level < required {
		return AcquireReply{Owner: true, Wait: max(m.timeUntil(required), deputyDelay)}
	}
	m.level -= r.Need
	m.granted += r.Need
	return AcquireReply{Owner: true, Granted: r.Need}
}

// Buckets returns the state of all buckets, to be passed to UpdateMirrors on the other members.
func (o *Owner) Buckets(now time.Duration) []BucketState {
	buckets := make([]BucketState, 0, len(o.buckets))
	for tenant, b := range o.buckets {
		b.fill(now)
		buckets = append(buckets, b.state(tenant))
	}
	return buckets
}

// UpdateMirrors stores copies of another owner's buckets. Tenants that this process owns itself are skipped.
func (o *Owner) UpdateMirrors(now time.Duration, buckets []BucketState) {
	for _, state := range buckets {
		if !o.Owns(state.Tenant) {
			copied := bucket{level: state.Level, rate: state.Rate, burst: state.Burst, revision: state.Revision, filledAt: now}
			o.mirrors[state.Tenant] = &mirror{bucket: copied, receivedAt: now}
		}
	}
}

// Release removes a tenant's bucket and returns its state for the next owner. It returns false if there is no
// bucket.
func (o *Owner) Release(now time.Duration, tenant string) (BucketState, bool) {
	b := o.buckets[tenant]
	if b == nil {
		return BucketState{}, false
	}
	b.fill(now)
	delete(o.buckets, tenant)
	return b.state(tenant), true
}

// AcceptTransfer creates a bucket from the previous owner's state. An existing bucket is kept, as requests have
// already been granted from it.
func (o *Owner) AcceptTransfer(now time.Duration, state *BucketState) {
	if o.Owns(state.Tenant) {
		return
	}
	o.buckets[state.Tenant] = &bucket{level: min(state.Level, state.Burst), rate: state.Rate, burst: state.Burst, revision: state.Revision, filledAt: now}
}
