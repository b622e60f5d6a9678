// Package decide makes the decisions of a reverse proxy that balances requests over backends: which backend gets an
// attempt, whether to retry it, whether to reject a request under overload, and which backends to eject.
//
// A host feeds a Balancer with events (endpoint lists, requests, outcomes, timers) and carries out the Actions that
// the Balancer calls from within an event. A Balancer does no I/O, reads no clock, starts no goroutine and shares
// nothing with other Balancers: the same events and the same seed give the same actions. It is not safe for
// concurrent use. Times are durations since the epoch of the host's clock, which the nodes share.
//
// Load and rates are measured in units: one unit is the work of an average request, so that a change in the mix of
// classes does not look like a change in load. The rate of a backend is its share times the node's send rate.
//
// The files, by concern:
//
//	settings.go, events.go     the API: settings, events, Actions
//	balancer.go                New, timers
//	endpoints.go, subset.go    the endpoint list; the subset of backends that this node uses
//	requests.go                the life cycle of requests and of their attempts
//	picker.go                  weighted round robin, with a fallback to the lowest expected latency
//	shares.go                  the periodic solve for shares, and the rates that it is based on
//	latency.go                 the curves of latency over load, and how they are fitted
//	health.go                  failures, ejection, trial requests
//	slowstart.go               rate limits for backends that have just started
//	retry.go                   overdue attempts, retries and hedged requests, and their budget
//	admission.go               rejection by value, tenants' quotas
//	state.go                   the types of a Balancer's state
//	snapshot.go, restore.go    snapshots of that state as plain data: format, validation, restoring
//	view.go                    the state that status pages and metrics show
package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	solveInterval          = 500 * time.Millisecond // long enough for several responses per kind even on a node with little traffic
	sweepsPerTarget        = 10                     // sweeps for overdue attempts per shortest latency target
	minSweepInterval       = 10 * time.Millisecond
	overdueSolveRatio      = 0.25 // overdue attempts per response above which a solve runs at once
	referenceTargetSeconds = 0.6  // the latency target that intervals are stated for; a shorter target shortens them
)

// seedStream is the second half of the random source's seed. Changing it changes every random choice.
const seedStream = 0x5741524c

// Tokens of the timers that a Balancer sets with Actions.SetTimer.
const (
	timerSolve uint64 = iota
	timerSweep
	timerWatch
)

// New returns the Balancer of one node. seed determines every random choice. New returns an error if the settings
// are invalid or actions is nil; the error wraps ErrSettings and names the invalid field.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := checkSettings(&settings, actions); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	b := &Balancer{
		settings: settings, actions: actions, random: rand.New(rand.NewPCG(seed, seedStream)),
		byID: map[BackendID]*backendState{}, kindModels: make([]kindModel, 2*len(settings.Kinds)),
		zones:          make([]zoneHealth, len(settings.Zones)),
		subsetFraction: 1, nodesPerBackend: 1,
		requests: map[RequestID]*request{}, admissionClasses: make([]admissionClass, 4*len(settings.Classes)),
		tenantTokens: make([]float64, len(settings.Tenants)), retryTokens: maxRetryTokens,
		latencyTarget: math.Inf(1),
	}
	for i, c := range settings.Classes {
		b.classes = append(b.classes, class{Class: c, work: 1})
		b.latencyTarget = min(b.latencyTarget, c.Target.Seconds())
		cheap := b.settings.Classes[b.trialClass]
		if c.Effect < cheap.Effect || c.Effect == cheap.Effect && c.Value < cheap.Value {
			b.trialClass = i
		}
	}
	b.timeScale = min(1, b.latencyTarget/referenceTargetSeconds)
	for i := range b.kindModels {
		b.kindModels[i].idleLatency = b.latencyTarget / dropFactor // an estimate until the first response
	}
	return b, nil
}

// startTimers starts the timers at random phases, so that nodes that start together do not act in step.
func (b *Balancer) startTimers() {
	b.started = true
	b.lastSolve = b.now
	b.actions.SetTimer(b.scaled(b.random.Float64(), solveInterval), timerSolve)
	b.sweepInterval = max(seconds(b.latencyTarget/sweepsPerTarget), minSweepInterval)
	b.actions.SetTimer(b.sweepInterval, timerSweep)
	if b.settings.WatchEndpoints {
		b.actions.SetTimer(time.Duration(b.random.Float64()*float64(b.settings.FetchSpread())), timerWatch)
	}
}

// scaled returns factor times a duration, which is shortened if the latency target is below the reference.
func (b *Balancer) scaled(factor float64, t time.Duration) time.Duration {
	return time.Duration(factor * b.timeScale * float64(t))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Timer handles the expiry of a timer that was set with Actions.SetTimer. Unknown tokens are ignored.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	switch token {
	case timerSolve:
		b.solve()
		b.actions.SetTimer(b.scaled(0.9+0.2*b.random.Float64(), solveInterval), timerSolve)
	case timerSweep:
		b.sweepOverdue()
		if b.newOverdue > overdueSolveRatio*b.newResponses+overdueSolveRatio*20 { // the next regular solve would be too late
			b.solve()
		}
		b.actions.SetTimer(b.sweepInterval, timerSweep)
	case timerWatch:
		if !b.watching {
			b.actions.Watch()
		}
	}
}
