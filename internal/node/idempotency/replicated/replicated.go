// Package replicated claims idempotency keys for all nodes: a claim is committed by the replicas before the first
// byte of its call goes out, and an outcome before the client is answered. It is the adapter between package
// middleware and the replicated state machine; the decisions are made in package statemachine.
//
// While no majority of the replicas can be reached, claims are rejected at once: a probe in the background detects
// when one can be reached again.
package replicated

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

// Settings describe the adapter. Times are milliseconds.
type Settings struct {
	Node              string
	Secret            []byte   // of the hash of keys: the same on all nodes
	Tenants           []string // by number
	ClaimValidity     float64  // for which a claim is valid: after it no attempt of its call begins
	MaxRun            float64  // maximum time of a run
	RequestTimeout    float64  // maximum time for one request to the replicas
	CompletionTimeout float64  // maximum time that a client waits until the outcome of its call is committed
	Predecessor       uint64   // incarnation of the process that this one replaces, which completes its own claims; 0 = none
}

const (
	probeInterval            = 500.0  // ms between two probes
	unreachableProbeInterval = 100.0  // ms between two probes while no majority can be reached
	unreachableProbeTimeout  = 5000.0 // ms for such a probe: nobody waits for it, and slow replicas are not unreachable
	minPollInterval          = 5.0    // ms between two polls of a run elsewhere; doubles up to maxPollInterval
	maxPollInterval          = 80.0   // ms
	retryAfter               = 1000.0 // ms after which a rejected client should retry
	endReportTimeout         = 10 * time.Second
	maxEndReports            = 256 // concurrent reports of outcomes that nobody waits for any more
)

// noMajority is the result of a claim while the replicas cannot be asked.
var noMajority = middleware.ClaimResult{Verdict: idempotency.Full, Reason: middleware.ReasonNoMajority, RetryAfter: retryAfter}

// Keys is the adapter: a middleware.Claimer and a middleware.KeyLookup. All of its methods may be called from any
// goroutine, Run by one only.
type Keys struct {
	config           Settings
	log              *slog.Logger
	clock            clock.Clock
	client           *client.Client
	life             uint64
	ready            chan struct{} // closed when keys can be claimed for the first time
	predecessorEnded chan struct{} // closed when the process that this one replaces has ended
	predecessorOnce  sync.Once
	announceCtx      context.Context // ends when another process replaces this one
	stopAnnouncing   context.CancelFunc
	reachable        atomic.Bool
	replies          atomic.Uint64 // of the replicas to claims and completions
	endReports       chan struct{} // one element per report in flight
	stopping         chan struct{} // closed when Run ends
	background       sync.WaitGroup
}

// New returns the adapter; nothing is sent before Run.
func New(config Settings, c *client.Client, t clock.Clock, log *slog.Logger) *Keys {
	n := &Keys{config: config, log: log, clock: t, client: c, life: rand.Uint64()>>1 | 1, ready: make(chan struct{}),
		predecessorEnded: make(chan struct{}), endReports: make(chan struct{}, maxEndReports), stopping: make(chan struct{})}
	n.announceCtx, n.stopAnnouncing = context.WithCancel(context.Background())
	return n
}

// Ready returns a channel that is closed once keys can be claimed for the first time.
func (n *Keys) Ready() <-chan struct{} { return n.ready }

// Incarnation returns this process's incarnation.
func (n *Keys) Incarnation() uint64 { return n.life }

// PredecessorEnded reports that the process that this one replaces has ended.
func (n *Keys) PredecessorEnded() { n.predecessorOnce.Do(func() { close(n.predecessorEnded) }) }

// StopAnnouncing reports that another process replaces this one: this incarnation is not announced any more, but
// the outcomes of its calls still are.
func (n *Keys) StopAnnouncing() { n.stopAnnouncing() }

// Reachable reports whether keys can be claimed.
func (n *Keys) Reachable() bool { return n.reachable.Load() }

// duration returns milliseconds as a time.Duration.
func (n *Keys) duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// timer returns a channel that is closed at a time, in ms of the node's clock, unless cancel is called before.
func (n *Keys) timer(at float64) (fired <-chan struct{}, cancel func()) {
	c := make(chan struct{})
	return c, n.clock.At(at, func() { close(c) })
}

// markUnreachable records that no majority of the replicas can be reached.
func (n *Keys) markUnreachable(err error) {
	if n.reachable.Swap(false) {
		n.log.Warn("no majority of the replicas can be reached: at-most-once calls are rejected", "error", err)
	}
}
