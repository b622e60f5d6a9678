package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var tolerance = Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140_000}

const (
	mirrorInterval = 100 * time.Millisecond
	rate           = 100_000.0
	burst          = 100_000.0
)

func request(need float64) *AcquireRequest {
	return &AcquireRequest{Tenant: "t", Rate: rate, Burst: burst, Need: need, Revision: 1}
}

// newFullOwner returns an owner and a time at which its bucket is full.
func newFullOwner() (*Owner, time.Duration) {
	o := NewOwner(tolerance)
	o.EnsureBucket(0, "t", rate, burst, 1)
	return o, time.Hour
}

func TestBucketGrantsItsDepthThenItsRate(t *testing.T) {
	o, now := newFullOwner()
	granted := 0.0
	for range 1000 {
		granted += o.Acquire(now, &AcquireRequest{Tenant: "t", Rate: rate, Burst: burst, Need: 5000, Urgent: true, Revision: 1}).Granted
	}
	require.InDelta(t, tolerance.burst(rate, burst), granted, 5000)
	granted = 0
	for i := range 1000 {
		granted += o.Acquire(now+time.Duration(i)*time.Millisecond, &AcquireRequest{Tenant: "t", Rate: rate, Burst: burst, Need: 1000, Urgent: true, Revision: 1}).Granted
	}
	require.InDelta(t, rate, granted, 6000)
}

func TestWaitIncludesTheDemandDeniedEarlier(t *testing.T) {
	o, now := newFullOwner()
	for o.Acquire(now, request(20_000)).Granted > 0 {
	}
	first := o.Acquire(now, request(20_000))
	second := o.Acquire(now, request(20_000))
	require.Zero(t, first.Granted)
	require.Positive(t, first.Wait)
	require.InDelta(t, 0.2, (second.Wait - first.Wait).Seconds(), 0.01, "20,000 units at 100,000 units per second")
	require.Positive(t, o.Acquire(now+second.Wait, request(20_000)).Granted)
}

func TestUrgentAndSmallRequestsAreGrantedFromTheReserve(t *testing.T) {
	o, now := newFullOwner()
	for o.Acquire(now, request(20_000)).Granted > 0 {
	}
	urgent := request(20_000)
	urgent.Urgent = true
	require.Positive(t, o.Acquire(now, urgent).Granted)
	require.Positive(t, o.Acquire(now, request(100)).Granted)
	require.Zero(t, o.Acquire(now, request(20_000)).Granted)
}

func TestNeedLargerThanTheDepthPutsTheBucketInDebt(t *testing.T) {
	o, now := newFullOwner()
	depth := tolerance.burst(rate, burst)
	require.Positive(t, o.Acquire(now, request(2*depth)).Granted)
	urgent := request(1)
	urgent.Urgent = true
	require.Zero(t, o.Acquire(now+time.Second, urgent).Granted, "the bucket is in debt")
	require.Positive(t, o.Acquire(now+time.Minute, urgent).Granted)
}

func TestRequestWithAnOlderRevisionDoesNotSetTheLimit(t *testing.T) {
	o, now := newFullOwner()
	newer := request(1)
	newer.Rate, newer.Burst, newer.Revision = rate/10, burst/10, 2
	o.Acquire(now, newer)
	o.Acquire(now, request(1))
	require.InDelta(t, rate/10, o.buckets["t"].rate, 1)
}

func TestTransferKeepsTheLevelOfTheBucket(t *testing.T) {
	o, now := newFullOwner()
	o.Acquire(now, request(30_000))
	state, found := o.Release(now, "t")
	require.True(t, found)
	require.False(t, o.Owns("t"))
	next := NewOwner(tolerance)
	next.AcceptTransfer(time.Minute, &state)
	require.InDelta(t, tolerance.burst(rate, burst)-30_000, next.buckets["t"].level, 1)
	next.Acquire(time.Minute, request(30_000))
	next.AcceptTransfer(time.Minute, &state)
	require.InDelta(t, tolerance.burst(rate, burst)-60_000, next.buckets["t"].level, 1, "a repeated transfer has no effect")
}

func TestDeputyGrantsABoundedAmount(t *testing.T) {
	o, now := newFullOwner()
	deputy := NewOwner(tolerance)
	deputy.UpdateMirrors(now, o.Buckets(now))
	require.False(t, deputy.AcquireAsDeputy(now+deputyDelay/2, request(5000)).Owner, "the mirror has just been received")
	granted := 0.0
	for range 1000 {
		urgent := request(5000)
		urgent.Urgent = true
		granted += deputy.AcquireAsDeputy(now+deputyDelay, urgent).Granted
	}
	require.InDelta(t, deputyToleranceFraction*tolerance.excess(rate, burst), granted, 5000)
	level := deputy.mirrors["t"].level
	deputy.mirrors["t"].filledAt -= time.Second // the mirror does not fill in this time
	deputy.EnsureBucket(now+deputyDelay, "t", rate, burst, 1)
	require.InDelta(t, level, deputy.buckets["t"].level, 1, "when it becomes the owner, its bucket starts at the level of the mirror")
}

func TestLocalBucketAcquiresReturnsAndPrefetches(t *testing.T) {
	var bucket LocalBucket
	need, ahead := bucket.Demand(1000)
	require.InDelta(t, 1000, need, 1e-9)
	require.Zero(t, ahead)
	bucket.AddGrant(time.Second, 1500)
	require.True(t, bucket.TryAcquire(time.Second, 1000))
	require.False(t, bucket.TryAcquire(time.Second, 1000))
	bucket.Refund(1000)
	require.True(t, bucket.TryAcquire(time.Second, 1000))
	_, ahead = bucket.Demand(1000)
	require.Positive(t, ahead)
	require.Zero(t, bucket.ReleaseUnused(time.Second))
	require.InDelta(t, 500, bucket.ReleaseUnused(time.Second+unusedTimeout), 1e-9)
	require.Zero(t, bucket.ReleaseUnused(time.Second+2*unusedTimeout))
}

func TestFallbackIsBoundedUntilAnOwnerResponds(t *testing.T) {
	var bucket LocalBucket
	bucket.AddGrant(10*time.Second, 0)
	spent := 0.0
	for at := 10 * time.Second; at < 60*time.Second; at += 10 * time.Millisecond {
		if bucket.TryAcquireFallback(at, rate, 10, 500) {
			spent += 500
		}
	}
	require.InDelta(t, maxFallbackSeconds*rate/10, spent, 500)
	bucket.AddGrant(61*time.Second, 0)
	require.True(t, bucket.TryAcquireFallback(62*time.Second, rate, 10, 500), "the bound starts anew once the owner has responded")
}

// The usage of all nodes stays within limit and tolerance in every window, even if owners are lost.
func TestTotalUsageStaysWithinTheToleranceWhenOwnersAreLost(t *testing.T) {
	for _, rate := range []float64{50_000, 100_000, 300_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) { checkTotalUsage(t, rate, rate) })
	}
}

const (
	simulatedNodes = 12
	simulatedStep  = 10 * time.Millisecond
	simulatedTime  = 40 * time.Second
)

// simulation is a fleet of nodes that spend as much of one tenant's quota as they are granted, while the owner is
// lost repeatedly.
type simulation struct {
	random      *rand.Rand
	rate, burst float64
	owner       *Owner
	nodes       []LocalBucket
	lostAt      time.Duration // when the owner was last lost, 0 = not yet
	backAt      time.Duration // when the next owner starts: by then the old owner's view can no longer be confirmed
	nextLoss    time.Duration
}

func newSimulation(seed uint64, rate, burst float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 9)), rate: rate, burst: burst, owner: NewOwner(tolerance),
		nodes: make([]LocalBucket, simulatedNodes)}
	s.owner.EnsureBucket(0, "t", rate, burst, 1)
	s.nextLoss = 10*time.Second + time.Duration(s.random.IntN(4000))*time.Millisecond
	return s
}

// loseOwner replaces the owner by a new one, which has mirrors of the buckets in two of three cases.
func (s *simulation) loseOwner(now time.Duration) {
	s.lostAt, s.backAt, s.nextLoss = now, now+1600*time.Millisecond, now+4500*time.Millisecond
	buckets := s.owner.Buckets(now - mirrorInterval)
	s.owner = NewOwner(tolerance)
	if s.random.IntN(3) > 0 {
		s.owner.UpdateMirrors(now, buckets)
	}
}

// step lets each node try to acquire units with a probability of 1/4 and returns the units acquired.
func (s *simulation) step(now time.Duration) float64 {
	if now >= s.nextLoss {
		s.loseOwner(now)
	}
	spent := 0.0
	for i := range s.nodes {
		amount := 1000 + float64(s.random.IntN(9000))
		if s.random.IntN(4) == 0 && s.acquire(now, &s.nodes[i], amount) {
			spent += amount
		}
	}
	return spent
}

func (s *simulation) acquire(now time.Duration, node *LocalBucket, amount float64) bool {
	if node.TryAcquire(now, amount) {
		return true
	}
	if s.lostAt > 0 && now < s.backAt {
		deputy := s.owner.AcquireAsDeputy(now, &AcquireRequest{Tenant: "t", Rate: s.rate, Burst: s.burst, Need: amount, Urgent: true})
		if deputy.Owner {
			return deputy.Granted > 0
		}
		return node.TryAcquireFallback(now, s.rate, simulatedNodes, amount)
	}
	need, ahead := node.Demand(amount)
	reply := s.owner.Acquire(now, &AcquireRequest{Tenant: "t", Rate: s.rate, Burst: s.burst, Need: need, Ahead: ahead, Revision: 1, Urgent: true})
	node.AddGrant(now, reply.Granted)
	return node.TryAcquire(now, amount)
}

// maxOverWindow returns the largest sum over any window of the tolerance.
func maxOverWindow(spent []float64) float64 {
	window := int(tolerance.Window / simulatedStep)
	largest, sum := 0.0, 0.0
	for i, amount := range spent {
		sum += amount
		if i >= window {
			sum -= spent[i-window]
		}
		largest = max(largest, sum)
	}
	return largest
}

func checkTotalUsage(t *testing.T, rate, burst float64) {
	t.Helper()
	for seed := range uint64(60) {
		s := newSimulation(seed, rate, burst)
		var spent []float64
		for now := time.Duration(0); now < simulatedTime; now += simulatedStep {
			spent = append(spent, s.step(now))
		}
		largest := maxOverWindow(spent)
		limit := (rate*tolerance.Window.Seconds()+burst)*(1+tolerance.Over) + tolerance.Slack
		require.LessOrEqual(t, largest, limit, "seed %d", seed)
		require.GreaterOrEqual(t, largest, rate*tolerance.Window.Seconds(), "the tenant can use its rate")
	}
}
