package quota

import "time"

// Parameters of a node's local bucket.
const (
	prefetchSeconds    = 0.1                    // of recent usage that are acquired ahead of need
	usageWindowSeconds = 2.0                    // after which usage weighs 1/e
	fallbackLookback   = 150 * time.Millisecond // for which a node has its even share when the owner becomes unresponsive
	maxFallbackSeconds = 2.0                    // of its even share that a node may spend until an owner responds
	unusedAfter        = 500 * time.Millisecond // after which what was granted and not used is returned
)

// LocalBucket is what a node holds of one tenant's quota. It is not safe for concurrent use.
type LocalBucket struct {
	balance       float64
	grantedAt     time.Duration
	usageRate     float64 // recent usage, in units a second
	usageAt       time.Duration
	answeredAt    time.Duration // when the owner last answered
	fallback      float64       // accrued of the node's even share while no owner answers
	fallbackAt    time.Duration
	fallbackSpent float64 // since the owner last answered
}

// TryAcquire takes units for a request from the balance and reports whether there were enough.
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

// Refund returns the units of a request that was not executed to the balance.
func (b *LocalBucket) Refund(amount float64) { b.balance += amount }

// Demand returns the units to ask the owner for, so that an amount can be acquired: what is needed now, and what recent usage
// makes likely to be needed soon.
func (b *LocalBucket) Demand(amount float64) (need, ahead float64) {
	return max(0, amount-b.balance), prefetchSeconds * b.usageRate
}

// AddGrant adds an owner's grant, which may be 0, and ends the fallback.
func (b *LocalBucket) AddGrant(now time.Duration, amount float64) {
	b.answeredAt, b.fallback, b.fallbackSpent = now, 0, 0
	b.balance += amount
	b.grantedAt = now
}

// ReleaseUnused empties a balance that has not been used for a while and returns it, to be given back to the owner.
func (b *LocalBucket) ReleaseUnused(now time.Duration) float64 {
	if b.balance <= 0 || now-b.grantedAt < unusedAfter {
		return 0
	}
	unused := b.balance
	b.balance = 0
	return unused
}

// TryAcquireFallback takes units from this node's even share of a limit, while no owner answers. The share accrues from a little
// before the owner was found unresponsive.
func (b *LocalBucket) TryAcquireFallback(now time.Duration, rate float64, nodes int, amount float64) bool {
	share := rate / float64(max(1, nodes))
	since := b.fallbackAt
	if b.fallbackAt <= b.answeredAt { // the owner has only just become unresponsive
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
