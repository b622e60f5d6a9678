package quota

import "time"

// The figures of a node's wallet.
const (
	aheadFor     = 0.1                    // seconds of recent use that are asked for ahead of need
	useMemory    = 2.0                    // seconds after which use weighs 1/e
	lookBack     = time.Second * 15 / 100 // for which a node has its even part of when the owner falls silent
	mostFallback = 2.0                    // seconds of its even part that a node may save up meanwhile
	keepFor      = time.Second / 2        // after which what was granted and not used is given back
)

// LocalBucket is the room that a node holds for one tenant.
type LocalBucket struct {
	balance    float64
	grantedAt  time.Duration
	use        float64 // recent use, a second
	useAt      time.Duration
	answeredAt time.Duration // when the owner last answered
	fallback   float64
	fallAt     time.Duration
	outage     float64 // spent since the owner last answered
}

// TryAcquire takes room for a request from what is held, and tells whether there was enough.
func (w *LocalBucket) TryAcquire(now time.Duration, amount float64) bool {
	if w.balance < amount {
		return false
	}
	w.balance -= amount
	w.used(now, amount)
	return true
}

func (w *LocalBucket) used(now time.Duration, amount float64) {
	keep := 1 - min(1, (now-w.useAt).Seconds()/useMemory)
	w.use = w.use*max(0, keep) + amount/useMemory
	w.useAt = now
}

// Refund gives room back for a request that did not run.
func (w *LocalBucket) Refund(amount float64) { w.balance += amount }

// Demand gives the request for room that lets an amount be spent.
func (w *LocalBucket) Demand(now time.Duration, amount float64) (need, ahead float64) {
	return max(0, amount-w.balance), aheadFor * w.use
}

// AddGrant takes an owner's answer.
func (w *LocalBucket) AddGrant(now time.Duration, amount float64) {
	w.answeredAt, w.fallback, w.outage = now, 0, 0
	w.balance += amount
	w.grantedAt = now
}

// ReleaseUnused takes out what has been held for too long, to be given back.
func (w *LocalBucket) ReleaseUnused(now time.Duration) float64 {
	if w.balance <= 0 || now-w.grantedAt < keepFor {
		return 0
	}
	unused := w.balance
	w.balance = 0
	return unused
}

// TryAcquireFallback spends from this node's even part of a limit, while no owner answers. The part grows from a little before the
// owner was found silent.
func (w *LocalBucket) TryAcquireFallback(now time.Duration, rate float64, nodes int, amount float64) bool {
	part := rate / float64(max(1, nodes))
	since := w.fallAt
	if w.fallAt <= w.answeredAt { // the owner has only just fallen silent
		since = now - lookBack
	}
	w.fallback += part * (now - since).Seconds()
	w.fallAt = now
	if w.fallback < amount || w.outage+amount > max(amount, mostFallback*part) {
		return false
	}
	w.fallback -= amount
	w.outage += amount
	return true
}
