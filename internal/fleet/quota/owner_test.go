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
	reflectEvery = 100 * time.Millisecond
	rate         = 100_000.0
	burst        = 100_000.0
)

func request(need float64) *AcquireRequest {
	return &AcquireRequest{Tenant: "t", Rate: rate, Burst: burst, Need: need, Revision: 1}
}

// full gives an owner whose bucket has filled.
func full() (*Owner, time.Duration) {
	o := NewOwner(tolerance)
	o.EnsureBucket(0, "t", rate, burst, 1)
	return o, time.Hour
}

func TestBucketGrantsItsDepthThenItsRate(t *testing.T) {
	o, now := full()
	given := 0.0
	for range 1000 {
		given += o.Acquire(now, &AcquireRequest{Tenant: "t", Rate: rate, Burst: burst, Need: 5000, Urgent: true, Revision: 1}).Granted
	}
	require.InDelta(t, tolerance.burst(rate, burst), given, 5000)
	given = 0
	for i := range 1000 {
		given += o.Acquire(now+time.Duration(i)*time.Millisecond, &AcquireRequest{Tenant: "t", Rate: rate, Burst: burst, Need: 1000, Urgent: true, Revision: 1}).Granted
	}
	require.InDelta(t, rate, given, 6000)
}

func TestDeniedNeedWaitsUntilEarlierDeniedNeedsAreMet(t *testing.T) {
	o, now := full()
	for o.Acquire(now, request(20_000)).Granted > 0 {
	}
	first := o.Acquire(now, request(20_000))
	second := o.Acquire(now, request(20_000))
	require.Zero(t, first.Granted)
	require.Positive(t, first.Wait)
	require.InDelta(t, 0.2, (second.Wait - first.Wait).Seconds(), 0.01, "20,000 at 100,000 a second")
	require.Positive(t, o.Acquire(now+second.Wait, request(20_000)).Granted)
}

func TestUrgentAndSmallRequestsPassWhereOthersMustWait(t *testing.T) {
	o, now := full()
	for o.Acquire(now, request(20_000)).Granted > 0 {
	}
	urgent := request(20_000)
	urgent.Urgent = true
	require.Positive(t, o.Acquire(now, urgent).Granted)
	require.Positive(t, o.Acquire(now, request(100)).Granted)
	require.Zero(t, o.Acquire(now, request(20_000)).Granted)
}

func TestNeedBeyondTheDepthIsGrantedFromAFullBucketAndRepaid(t *testing.T) {
	o, now := full()
	most := tolerance.burst(rate, burst)
	require.Positive(t, o.Acquire(now, request(2*most)).Granted)
	urgent := request(1)
	urgent.Urgent = true
	require.Zero(t, o.Acquire(now+time.Second, urgent).Granted, "the bucket is in debt")
	require.Positive(t, o.Acquire(now+time.Minute, urgent).Granted)
}

func TestNodeThatIsBehindDoesNotSetTheLimit(t *testing.T) {
	o, now := full()
	newer := request(1)
	newer.Rate, newer.Burst, newer.Revision = rate/10, burst/10, 2
	o.Acquire(now, newer)
	o.Acquire(now, request(1))
	require.InDelta(t, rate/10, o.buckets["t"].rate, 1)
}

func TestBucketIsTransferredAsItWas(t *testing.T) {
	o, now := full()
	o.Acquire(now, request(30_000))
	handed, held := o.Release(now, "t")
	require.True(t, held)
	require.False(t, o.Owns("t"))
	next := NewOwner(tolerance)
	next.AcceptTransfer(time.Minute, &handed)
	require.InDelta(t, tolerance.burst(rate, burst)-30_000, next.buckets["t"].level, 1)
	next.Acquire(time.Minute, request(30_000))
	next.AcceptTransfer(time.Minute, &handed)
	require.InDelta(t, tolerance.burst(rate, burst)-60_000, next.buckets["t"].level, 1, "handed over twice, it counts once")
}

func TestDeputyGrantsABoundedAmountWhileTheOwnerIsUnresponsive(t *testing.T) {
	o, now := full()
	deputy := NewOwner(tolerance)
	deputy.UpdateMirrors(now, o.Buckets(now))
	require.False(t, deputy.AcquireAsDeputy(now+deputyAfter/2, request(5000)).Owner, "the owner was heard just now")
	given := 0.0
	for range 1000 {
		urgent := request(5000)
		urgent.Urgent = true
		given += deputy.AcquireAsDeputy(now+deputyAfter, urgent).Granted
	}
	require.InDelta(t, deputyToleranceFraction*tolerance.excess(rate, burst), given, 5000)
	level := deputy.mirrors["t"].level
	deputy.mirrors["t"].filledAt -= time.Second // it does not fill meanwhile
	deputy.EnsureBucket(now+deputyAfter, "t", rate, burst, 1)
	require.InDelta(t, level, deputy.buckets["t"].level, 1, "as the owner it goes on with what is left")
}

func TestLocalBucketAcquiresReturnsAndPrefetches(t *testing.T) {
	var w LocalBucket
	need, ahead := w.Demand(1000)
	require.InDelta(t, 1000, need, 1e-9)
	require.Zero(t, ahead)
	w.AddGrant(time.Second, 1500)
	require.True(t, w.TryAcquire(time.Second, 1000))
	require.False(t, w.TryAcquire(time.Second, 1000))
	w.Refund(1000)
	require.True(t, w.TryAcquire(time.Second, 1000))
	_, ahead = w.Demand(1000)
	require.Positive(t, ahead)
	require.Zero(t, w.ReleaseUnused(time.Second))
	require.InDelta(t, 500, w.ReleaseUnused(time.Second+unusedAfter), 1e-9)
	require.Zero(t, w.ReleaseUnused(time.Second+2*unusedAfter))
}

func TestWithoutAnOwnerANodeSpendsItsEvenShareForAWhile(t *testing.T) {
	var w LocalBucket
	w.AddGrant(10*time.Second, 0)
	spent := 0.0
	for at := 10 * time.Second; at < 60*time.Second; at += 10 * time.Millisecond {
		if w.TryAcquireFallback(at, rate, 10, 500) {
			spent += 500
		}
	}
	require.InDelta(t, maxFallbackSeconds*rate/10, spent, 500)
	w.AddGrant(61*time.Second, 0)
	require.True(t, w.TryAcquireFallback(62*time.Second, rate, 10, 500), "it may again once the owner has answered in between")
}

// The sum over all nodes and owners stays within what the rules tolerate in every window, whatever becomes of the owners.
func TestTheSumStaysWithinTheToleranceThroughLossesOfTheOwner(t *testing.T) {
	for _, rate := range []float64{50_000, 100_000, 300_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) { checkSum(t, rate, rate) })
	}
}

const (
	simulatedNodes = 12
	simulatedStep  = 10 * time.Millisecond
	simulatedTime  = 40 * time.Second
)

// simulation is a fleet of nodes that spend as much of one tenant's quota as they get, while the owner is lost again and again.
type simulation struct {
	random      *rand.Rand
	rate, burst float64
	owner       *Owner
	nodes       []LocalBucket
	lostAt      time.Duration // when the owner was lost, 0 = not yet
	backAt      time.Duration // when the next owner begins: the old one cannot be confirmed any more
	nextLoss    time.Duration
}

func newSimulation(seed uint64, rate, burst float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 9)), rate: rate, burst: burst, owner: NewOwner(tolerance),
		nodes: make([]LocalBucket, simulatedNodes)}
	s.owner.EnsureBucket(0, "t", rate, burst, 1)
	s.nextLoss = 10*time.Second + time.Duration(s.random.IntN(4000))*time.Millisecond
	return s
}

// loseOwner replaces the owner by one that has its mirrored buckets in two of three cases.
func (s *simulation) loseOwner(now time.Duration) {
	s.lostAt, s.backAt, s.nextLoss = now, now+1600*time.Millisecond, now+4500*time.Millisecond
	buckets := s.owner.Buckets(now - reflectEvery)
	s.owner = NewOwner(tolerance)
	if s.random.IntN(3) > 0 {
		s.owner.UpdateMirrors(now, buckets)
	}
}

// step has every node try to spend and returns what they spent.
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

// maxOverWindow returns the largest sum over any window of the rules.
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

func checkSum(t *testing.T, rate, burst float64) {
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
		require.GreaterOrEqual(t, largest, rate*tolerance.Window.Seconds(), "the tenant gets its rate")
	}
}
