// Package dispatch is a facade over the decision module (package decide). Network code asks it what to do for a
// request, reports how attempts ended and runs timers, all with blocking calls; it never sees the module's events
// and actions. The package knows neither protocols nor sockets. Its files are:
//
//	types.go       the types exchanged with callers
//	dispatcher.go  the lock around the decision module, startup and shutdown
//	ticket.go      one request and its attempts
//	hosts.go       the endpoint list
//	actions.go     the actions that the module requests, and its timers
//	snapshot.go    the state for a successor process
//	warmstart.go   the state that a new node adopts from another node
//	view.go        the state for status pages
//
// The state is bounded by the number of listed hosts and open requests.
package dispatch

import (
	"container/heap"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
)

// warmStartSeed is the second half of the seed of the random choices in a warm start.
const warmStartSeed = 0x6c6573736f6e

// Dispatcher serializes access to the decision module of one node. Its methods are safe for concurrent use.
type Dispatcher struct {
	clock       clock.Clock
	log         *slog.Logger
	drainGrace  float64   // milliseconds
	rejectSafe  []bool    // by class: a rejection is harmless even if the request has run
	retryWindow []float64 // by class: milliseconds after an attempt that may have run within which another one is harmless
	zoneIndex   map[string]int
	kindIndex   map[string]int
	wakeTimer   func() // called when a timer is due earlier than Tick last returned; may be nil
	coldTime    time.Duration

	mu          sync.Mutex
	random      *rand.Rand // for warm starts only
	balancer    *decide.Balancer
	hosts       map[decide.BackendID]*host
	hostIDs     map[string]decide.BackendID // by name
	lastID      decide.RequestID
	tickets     map[decide.RequestID]*Ticket
	finished    bool // Finish was called
	timers      timers
	notSent     []decide.Outcome // of attempts that were not sent; reported to the module once it has handled its current event
	pendingLogs []func()         // log lines to write once the lock is released
	timerMoved  bool             // the next timer is due earlier than Tick last returned
}

// New returns the Dispatcher of one node. Lines that the decision module logs bypass the log's rate limit. wake,
// if not nil, is called when Tick must run earlier than it last returned. New fails if the module rejects the
// settings.
func New(settings decide.Settings, seed uint64, c clock.Clock, logger *slog.Logger, wake func()) (*Dispatcher, error) {
	d := &Dispatcher{clock: c, log: logger, wakeTimer: wake, drainGrace: settings.Rules.DrainGrace.Seconds() * 1000,
		zoneIndex: indexByName(settings.Zones), kindIndex: indexByName(settings.Kinds), hosts: map[decide.BackendID]*host{},
		hostIDs: map[string]decide.BackendID{}, tickets: map[decide.RequestID]*Ticket{},
		coldTime: settings.Rules.SlowStartTime, random: rand.New(rand.NewPCG(seed, warmStartSeed))}
	balancer, err := decide.New(settings, seed, actions{d})
	if err != nil {
		return nil, err
	}
	d.balancer = balancer
	for _, c := range settings.Classes {
		d.rejectSafe = append(d.rejectSafe, c.Effect == decide.Safe || c.Effect == decide.Keyed && c.Group == decide.GroupAll)
		d.retryWindow = append(d.retryWindow, map[decide.Effect]float64{decide.Safe: math.Inf(1), decide.Keyed: toMillis(c.KeyTTL)}[c.Effect])
	}
	return d, nil
}

// indexByName maps names to their indices.
func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// toDuration converts milliseconds to the decision module's time.
func toDuration(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// toMillis converts the decision module's time to milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// update runs f with the lock held and then reports the pending outcomes to the decision module. After releasing the
// lock it writes the pending log lines and, if needed, wakes the timer.
func (d *Dispatcher) update(f func(now float64)) {
	d.mu.Lock()
	now := d.clock.Now()
	f(now)
	for len(d.notSent) > 0 {
		o := d.notSent[0]
		d.notSent = d.notSent[1:]
		d.balancer.Outcome(toDuration(now), o)
	}
	logs, wake := d.pendingLogs, d.timerMoved
	d.pendingLogs, d.timerMoved = nil, false
	d.mu.Unlock()
	for _, write := range logs {
		write()
	}
	if wake && d.wakeTimer != nil {
		d.wakeTimer()
	}
}

// logLater defers a log line until the lock is released, since writing it may block.
func (d *Dispatcher) logLater(write func()) { d.pendingLogs = append(d.pendingLogs, write) }

// Finish completes every open request now and rejects every later one. A request that may have run fails instead of
// being rejected if a retry could do harm.
func (d *Dispatcher) Finish() {
	d.update(func(now float64) {
		d.finished = true
		for _, t := range d.tickets {
			if t.done {
				continue
			}
			t.withdrawQueued()
			response := Action{Kind: Reject, Ran: t.mayHaveRun || t.openAttempts > 0}
			if response.Ran && !d.rejectSafe[t.class] {
				response.Kind = Fail
			}
			t.done = true // set first, so that nothing more is sent for the request
			t.enqueue(response)
			d.balancer.ClientGone(toDuration(now), t.id)
			t.finish()
		}
	})
}

// Tick runs the timers that are due and returns the time of the next one in milliseconds; +Inf = there is none.
func (d *Dispatcher) Tick() (next float64) {
	next = math.Inf(1)
	d.update(func(now float64) {
		for len(d.timers) > 0 && d.timers[0].due <= now {
			t := heap.Pop(&d.timers).(timer)
			d.balancer.Timer(toDuration(now), t.token)
		}
		d.timerMoved = false
		if len(d.timers) > 0 {
			next = d.timers[0].due
		}
	})
	return next
}
