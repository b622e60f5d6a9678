package quota

import "time"

// Parameters of a node's local bucket.
const (
	prefetchSeconds    = 0.1                    // units are acquired ahead of need for this many seconds of recent usage
	usageWindowSeconds = 2.0                    // time constant of the average usage: older usage weighs less than 1/e
	fallbackLookback   = 150 * time.Millisecond // time of even share credited when the owner is found unresponsive
	maxFallbackSeconds = 2.0                    // seconds of its even share that a node may spend until an owner responds
	unusedTimeout      = 500 * time.Millisecond // granted units that are left after this time are returned to the owner
)

// LocalBucket holds the units of one tenant's quota that have been granted to a node. It is not safe for
// concurrent use.
type LocalBucket struct {
	balance       float64
	grantedAt     time.Duration
	usageRate     float64 // average recent usage, in units per second
	usageAt       time.Duration
	respondedAt   time.Duration // when the owner last responded
	fallback      float64       // units accrued from the node's even share while no owner responds
	fallbackAt    time.Duration // when fallback was last updated
	fallbackSpent float64       // units spent from fallback since the owner last responded
}

// TryAcquire takes units for a request from the balance and reports whether the balance was sufficient.
func (b *LocalBucket) TryAcquire(now time.Duration, amount float64) bool {
	if b.balance < amount {
		return false
	}
	b.balance -= amount
	b.recordUsage(now, amount)
	return true
}

func (b *LocalBucket) recordUsage(now time.Duration, amount float64) {
	keep := 1 - min(1, (now-b.usageAt).Seconds()/usageWindowSeconds)
	b.usageRate = b.usageRate*max(0, keep) + amount/usageWindowSeconds
	b.usageAt = now
}

// Refund returns units to the balance for a request that was not executed.
func (b *LocalBucket) Refund(amount float64) { b.balance += amount }

// Demand returns the units to request from the owner so that an amount can be acquired: the shortfall now, and the
// units that will probably be needed soon, judged by recent usage.
func (b *LocalBucket) Demand(amount float64) (need, ahead float64) {
	return max(0, amount-b.balance), prefetchSeconds * b.usageRate
}

// AddGrant adds an owner's grant, which may be 0, and ends the fallback.
func (b *LocalBucket) AddGrant(now time.Duration, amount float64) {
	b.respondedAt, b.fallback, b.fallbackSpent = now, 0, 0
	b.balance += amount
	b.grantedAt = now
}

// ReleaseUnused empties the balance if the last grant is at least unusedTimeout old, and returns the units that
// were in it. The caller returns them to the owner.
func (b *LocalBucket) ReleaseUnused(now time.Duration) float64 {
	if b.balance <= 0 || now-b.grantedAt < unusedTimeout {
		return 0
	}
	unused := b.balance
	b.balance = 0
	return unused
}

// TryAcquireFallback takes units from this node's even share of a limit while no owner responds, and reports
// whether there were enough. The share accrues from fallbackLookback before the owner was found unresponsive.
func (b *LocalBucket) TryAcquireFallback(now time.Duration, rate float64, nodes int, amount float64) bool {
	share := rate / float64(max(1, nodes))
	since := b.fallbackAt
	if b.fallbackAt <= b.respondedAt { // this is the first call since the owner last responded
		since = now - fallbackLookback
	}
	b.fallback += share * (now - since).Seconds()
	b.fallbackAt = now
	if b.fallback < amount || b.fallbackSpent+amount > max(amount, maxFallbackSeconds*share) {
		return false
	}
	b.fallback -= amount
	b.fallbackSpent += amount
	return true
}
