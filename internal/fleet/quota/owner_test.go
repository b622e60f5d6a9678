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

func request(need float64) *TakeRequest {
	return &TakeRequest{Tenant: "t", Rate: rate, Burst: burst, Need: need, Revision: 1}
}

// full gives an owner whose bucket has filled.
func full() (*Owner, time.Duration) {
	o := NewOwner(tolerance)
	o.EnsureBucket(0, "t", rate, burst, 1)
	return o, time.Hour
}

func TestABucketGivesItsDepthThenItsRate(t *testing.T) {
	o, now := full()
	given := 0.0
	for range 1000 {
		given += o.Acquire(now, &TakeRequest{Tenant: "t", Rate: rate, Burst: burst, Need: 5000, Urgent: true, Revision: 1}).Granted
	}
	require.InDelta(t, tolerance.burst(rate, burst), given, 5000)
	given = 0
	for i := range 1000 {
		given += o.Acquire(now+time.Duration(i)*time.Millisecond, &TakeRequest{Tenant: "t", Rate: rate, Burst: burst, Need: 1000, Urgent: true, Revision: 1}).Granted
	}
	require.InDelta(t, rate, given, 6000)
}

func TestADeniedNeedIsToldWhenTheOnesBeforeItWillHaveBeenMet(t *testing.T) {
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

func TestANeedBeyondTheDepthIsMetFromAFullBucketAndRepaid(t *testing.T) {
	o, now := full()
	most := tolerance.burst(rate, burst)
	require.Positive(t, o.Acquire(now, request(2*most)).Granted)
	urgent := request(1)
	urgent.Urgent = true
	require.Zero(t, o.Acquire(now+time.Second, urgent).Granted, "the bucket is in debt")
	require.Positive(t, o.Acquire(now+time.Minute, urgent).Granted)
}

func TestANodeThatIsBehindDoesNotSetTheLimit(t *testing.T) {
	o, now := full()
	newer := request(1)
	newer.Rate, newer.Burst, newer.Revision = rate/10, burst/10, 2
	o.Acquire(now, newer)
	o.Acquire(now, request(1))
	require.InDelta(t, rate/10, o.buckets["t"].rate, 1)
}

func TestABucketIsHandedOverAsItWas(t *testing.T) {
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

func TestADeputyGivesABoundedPartWhileTheOwnerIsSilent(t *testing.T) {
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
	require.InDelta(t, deputyPart*tolerance.beyond(rate, burst), given, 5000)
	level := deputy.mirrors["t"].level
	deputy.mirrors["t"].at -= time.Second // it does not fill meanwhile
	b := deputy.EnsureBucket(now+deputyAfter, "t", rate, burst, 1)
	require.InDelta(t, level, b.level, 1, "as the owner it goes on with what is left")
}

func TestAWalletSpendsGivesBackAndAsksAhead(t *testing.T) {
	var w LocalBucket
	need, ahead := w.Demand(time.Second, 1000)
	require.InDelta(t, 1000, need, 1e-9)
	require.Zero(t, ahead)
	w.AddGrant(time.Second, 1500)
	require.True(t, w.TryAcquire(time.Second, 1000))
	require.False(t, w.TryAcquire(time.Second, 1000))
	w.Refund(1000)
	require.True(t, w.TryAcquire(time.Second, 1000))
	_, ahead = w.Demand(time.Second, 1000)
	require.Positive(t, ahead)
	require.Zero(t, w.ReleaseUnused(time.Second))
	require.InDelta(t, 500, w.ReleaseUnused(time.Second+keepFor), 1e-9)
	require.Zero(t, w.ReleaseUnused(time.Second+2*keepFor))
}

func TestWithoutAnOwnerANodeSpendsItsEvenPartForAWhile(t *testing.T) {
	var w LocalBucket
	w.AddGrant(10*time.Second, 0)
	spent := 0.0
	for at := 10 * time.Second; at < 60*time.Second; at += 10 * time.Millisecond {
		if w.TryAcquireFallback(at, rate, 10, 500) {
			spent += 500
		}
	}
	require.InDelta(t, mostFallback*rate/10, spent, 500)
	w.AddGrant(61*time.Second, 0)
	require.True(t, w.TryAcquireFallback(62*time.Second, rate, 10, 500), "it may again once the owner has answered in between")
}

// The sum over all nodes and owners stays within what the rules tolerate in every window, whatever becomes of the owners.
func TestTheSumStaysWithinTheToleranceThroughLossesOfTheOwner(t *testing.T) {
	for _, rate := range []float64{50_000, 100_000, 300_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) { checkSum(t, rate, rate) })
	}
}

func checkSum(t *testing.T, rate, burst float64) {
	const nodes, step = 12, 10 * time.Millisecond
	for seed := range uint64(60) {
		chance := rand.New(rand.NewPCG(seed, 9))
		owner := NewOwner(tolerance)
		owner.EnsureBucket(0, "t", rate, burst, 1)
		wallets := make([]LocalBucket, nodes)
		var sums []float64
		var lostAt, backAt time.Duration
		nextLoss := 10*time.Second + time.Duration(chance.IntN(4000))*time.Millisecond
		for now := time.Duration(0); now < 40*time.Second; now += step {
			if now >= nextLoss { // the owner dies; the next one begins when the old one cannot be confirmed any more
				lostAt, backAt, nextLoss = now, now+1600*time.Millisecond, now+4500*time.Millisecond
				shown := owner.Buckets(now - reflectEvery)
				owner = NewOwner(tolerance)
				if chance.IntN(3) > 0 {
					owner.UpdateMirrors(now, shown)
				}
			}
			spent := 0.0
			for i := range wallets {
				amount := 1000 + float64(chance.IntN(9000))
				if chance.IntN(4) != 0 {
					continue
				}
				w := &wallets[i]
				if w.TryAcquire(now, amount) {
					spent += amount
					continue
				}
				if lostAt > 0 && now < backAt {
					deputy := owner.AcquireAsDeputy(now, &TakeRequest{Tenant: "t", Rate: rate, Burst: burst, Need: amount, Urgent: true})
					if deputy.Owner {
						if deputy.Granted > 0 {
							spent += amount
						}
						continue
					}
					if w.TryAcquireFallback(now, rate, nodes, amount) {
						spent += amount
					}
					continue
				}
				need, ahead := w.Demand(now, amount)
				granted := owner.Acquire(now, &TakeRequest{Tenant: "t", Rate: rate, Burst: burst, Need: need, Ahead: ahead, Revision: 1, Urgent: true})
				w.AddGrant(now, granted.Granted)
				if w.TryAcquire(now, amount) {
					spent += amount
				}
			}
			sums = append(sums, spent)
		}
		window := int(tolerance.Window / step)
		most, sum := 0.0, 0.0
		for i, spent := range sums {
			sum += spent
			if i >= window {
				sum -= sums[i-window]
			}
			most = max(most, sum)
		}
		limit := (rate*tolerance.Window.Seconds()+burst)*(1+tolerance.Over) + tolerance.Slack
		require.LessOrEqual(t, most, limit, "seed %d", seed)
		require.GreaterOrEqual(t, most, rate*tolerance.Window.Seconds(), "the tenant gets its rate")
	}
}
