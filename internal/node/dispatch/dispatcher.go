// Package dispatch is the facade over the decision module (package decide): network code asks what to do for a request,
// reports how attempts ended and runs timers, in blocking style, and never sees the module's events and actions. It knows
// no protocol and no socket. Each concern has its file:
//
//	types.go       what callers exchange with it
//	dispatcher.go  the lock around the module, start and stop
//	ticket.go      one request and its attempts
//	hosts.go       the endpoint list
//	actions.go     what the module asks for, its timers
//	memory.go      the state for a successor process
//	warmstart.go   what a new node takes over from another node
//	view.go        the state for status pages
//
// Its state is bounded by the hosts that are listed and the requests that are open.
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

// Dispatcher guards the decision module of one node. All of its methods may be called from any goroutine.
type Dispatcher struct {
	clock       clock.Clock
	log         *slog.Logger
	drainGrace  float64   // milliseconds
	rejectSafe  []bool    // by class: a rejection is harmless even if the request has run
	retryWindow []float64 // by class: milliseconds after an attempt that may have run in which another one does no harm
	zoneIndex   map[string]int
	kindIndex   map[string]int
	wakeTimer   func() // nil = nobody waits
	coldTime    time.Duration

	mu             sync.Mutex
	random         *rand.Rand // for warm starts only
	balancer       *decide.Balancer
	hosts          map[decide.BackendID]*host
	hostIDs        map[string]decide.BackendID // by name
	lastID         decide.RequestID
	tickets        map[decide.RequestID]*Ticket
	finished       bool // Finish was called
	timers         timers
	unsentOutcomes []decide.Outcome // of attempts that the rules forbade, reported to the module after its event
	pendingLogs    []func()         // log lines to write once the lock is released
	timerMoved     bool             // the next timer is due earlier than Tick last returned
}

// New makes the Pilot of one node. What the module logs passes the log's limit on floods. wake, if not nil, is called when
// Tick is wanted earlier than it last said. It fails where the module rejects the settings.
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

// toDuration converts milliseconds to the module's time.
func toDuration(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// toMillis converts the module's time to milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// update runs f on the module under the lock, and afterwards, without the lock, writes the log lines and wakes the timer.
func (d *Dispatcher) update(f func(now float64)) {
	d.mu.Lock()
	now := d.clock.Now()
	f(now)
	for len(d.unsentOutcomes) > 0 {
		o := d.unsentOutcomes[0]
		d.unsentOutcomes = d.unsentOutcomes[1:]
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

// logLater writes a log line once the lock is released, since the reader of the log may be slow.
func (d *Dispatcher) logLater(write func()) { d.pendingLogs = append(d.pendingLogs, write) }

// Finish gives every open request its final response now, and rejects every later one. A request with an attempt that may
// have run is failed instead where a retry would do harm.
func (d *Dispatcher) Finish() {
	d.update(func(now float64) {
		d.finished = true
		for _, t := range d.tickets {
			if t.done {
				continue
			}
			t.withdrawUnpicked()
			v := Action{Kind: Reject, Ran: t.mayHaveRun || t.openAttempts > 0}
			if v.Ran && !d.rejectSafe[t.class] {
				v.Kind = Fail
			}
			t.done = true // first, so that nothing is sent for it any more
			t.enqueue(v)
			d.balancer.ClientGone(toDuration(now), t.id)
			t.finish()
		}
	})
}

// Tick runs the timers that are due and returns when the next one is, in milliseconds; +Inf = never.
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
