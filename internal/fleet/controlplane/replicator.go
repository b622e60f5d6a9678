package controlplane

import (
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// The figures of the replicator.
const (
	tickInterval        = 50 * time.Millisecond
	startupTickInterval = 15 * time.Millisecond // the same while a process that has just started is not confirmed yet
	maxStartup          = 2 * time.Second       // but no longer
	inboxSize           = 512
	confirmTimeout      = 700 * time.Millisecond // after which a refusal or a read that cannot be confirmed is given up
	diskRetryInterval   = 500 * time.Millisecond // between attempts to write to a disk that failed
)

// errDiskFailed says that the disk refused a write and has not been tried again yet.
var errDiskFailed = errors.New("the disk refuses writes")

// MethodDeliver is the method by which members hand each other messages.
const MethodDeliver = "Peer.Deliver"

// Published is what the rest of the process sees of the replica.
type Published struct {
	Self            replica.Member
	View            replica.View
	Healthy         bool
	Seq             uint64
	State           *operator.State
	ViewConfirmed   time.Duration
	StateConfirmed  time.Duration
	AllVotersInView bool // every other voter is known to be in this view
	Released        bool // this member may end: the others go on without it
	Standby         []replica.Member
	CaughtUp        bool // this member has the state with which the view began, and what followed as far as it knows
	log             replica.Log
}

// submitResult is the end of an order.
type submitResult struct {
	revision int64
	err      error
}

// Replicator drives one replica: it owns its goroutine, its disk and its messages.
type Replicator struct {
	clock   func() time.Duration
	log     *log.Logger
	outbox  *outbox
	store   *storage.Store // nil: nothing is kept over the end of the process
	machine *replica.Machine
	inbox   chan func()
	stopped chan struct{}

	// Of the goroutine.
	submissions   map[uint64]chan<- submitResult
	confirmations confirmations
	lastID        uint64
	diskFailedAt  time.Duration

	mu        sync.Mutex
	published Published
	changed   chan struct{}
}

// NewReplicator makes a replicator; Run drives it.
func NewReplicator(clock func() time.Duration, logger *log.Logger, pool *transport.Pool, store *storage.Store,
	machine *replica.Machine) *Replicator {
	r := &Replicator{clock: clock, log: logger, outbox: newOutbox(pool), store: store, machine: machine, inbox: make(chan func(), inboxSize),
		stopped: make(chan struct{}), submissions: map[uint64]chan<- submitResult{}, changed: make(chan struct{})}
	r.publish()
	return r
}

// Run drives the replica until Stop.
func (r *Replicator) Run() {
	ticker := time.NewTicker(startupTickInterval)
	defer ticker.Stop()
	begin := r.clock()
	r.outbox.pool.SetEager(true)
	for starting := true; ; {
		select {
		case work := <-r.inbox:
			work()
		case <-ticker.C:
			r.step(r.machine.Tick)
			r.recoverDisk()
		case <-r.stopped:
			return
		}
		r.resolveConfirmed()
		r.publish()
		if starting && (r.machine.StateConfirmed() > 0 || r.clock()-begin > maxStartup) {
			starting = false
			r.outbox.pool.SetEager(false)
			ticker.Reset(tickInterval)
		}
	}
}

// Stop ends Run.
func (r *Replicator) Stop() {
	close(r.stopped)
	r.outbox.close()
}

// enqueue hands work to the goroutine; false: it is too far behind.
func (r *Replicator) enqueue(work func()) bool {
	select {
	case r.inbox <- work:
		return true
	default:
		return false
	}
}

// Deliver takes a message of another member.
func (r *Replicator) Deliver(envelope replica.Envelope) {
	r.enqueue(func() {
		r.step(func(now time.Duration) replica.Ready { return r.machine.Step(now, envelope) })
	})
}

// step runs the machine, stores what it wants stored and then sends.
func (r *Replicator) step(run func(now time.Duration) replica.Ready) {
	pending := []func(time.Duration) replica.Ready{run}
	for len(pending) > 0 {
		before := r.machine.Checkpoint()
		out := pending[0](r.clock())
		pending = pending[1:]
		if err := r.write(out.Records); err != nil {
			if !errors.Is(err, errDiskFailed) {
				r.log.Error("disk write failed; leaving the chain until it works again", "err", err)
				r.diskFailedAt = r.clock()
			}
			r.machine.Rollback(before)
			continue
		}
		r.logRecords(out.Records)
		for _, envelope := range out.Messages {
			if envelope.To.Address == r.machine.Self().Address {
				pending = append(pending, func(now time.Duration) replica.Ready { return r.machine.Step(now, envelope) })
				continue
			}
			r.outbox.send(envelope)
		}
		if len(out.Replies) > 0 {
			r.publish() // who hears that an order was taken finds it here
		}
		for _, reply := range out.Replies {
			r.resolve(reply)
		}
	}
}

func (r *Replicator) write(records []replica.Record) error {
	switch {
	case r.store == nil || len(records) == 0:
		return nil
	case !r.machine.Healthy():
		return errDiskFailed
	}
	return r.store.Write(records)
}

// recoverDisk tries whether a disk that failed takes writes again.
func (r *Replicator) recoverDisk() {
	if r.machine.Healthy() || r.clock()-r.diskFailedAt < diskRetryInterval {
		return
	}
	r.diskFailedAt = r.clock()
	if r.store != nil {
		if err := r.store.Recover(); err != nil {
			return
		}
	}
	r.log.Info("disk takes writes again")
	r.machine.SetHealthy()
}

// logRecords logs the views that were stored.
func (r *Replicator) logRecords(records []replica.Record) {
	for _, record := range records {
		switch record := record.(type) {
		case replica.SaveView:
			r.log.Info("view", "epoch", record.Proposal.View.Epoch, "chain", addresses(record.Proposal.View.Chain),
				"voters", addresses(record.Proposal.View.Voters), "seq", record.Proposal.Base.Seq)
		case replica.SaveSnapshot:
			r.log.Info("snapshot taken over", "seq", record.Snapshot.Seq)
		}
	}
}

func addresses(members []replica.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.Address
	}
	return list
}

func (r *Replicator) publish() {
	seq, state := r.machine.Committed()
	next := Published{Self: r.machine.Self(), View: r.machine.View(), Healthy: r.machine.Healthy(), Seq: seq, State: state,
		ViewConfirmed: r.machine.ViewConfirmed(), StateConfirmed: r.machine.StateConfirmed(), AllVotersInView: r.machine.AllVotersInView(), Released: r.machine.Released(),
		Standby: r.machine.Standby(), CaughtUp: r.machine.Status().Holds, log: r.machine.Log()}
	r.mu.Lock()
	defer r.mu.Unlock()
	news := next.Seq != r.published.Seq || next.View.Epoch != r.published.View.Epoch ||
		(next.StateConfirmed > 0) != (r.published.StateConfirmed > 0)
	r.published = next
	if news {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Published is the newest published state, and a channel that is closed when there is a newer version or view.
func (r *Replicator) Published() (Published, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published, r.changed
}

// OrdersSince gives the committed orders that lead from one place to another, nil where they are not all kept.
func (p *Published) OrdersSince(from, to uint64) []operator.Order {
	entries := p.log.Entries(from, to)
	if entries == nil {
		return nil
	}
	orders := make([]operator.Order, len(entries))
	for i, entry := range entries {
		orders[i] = entry.Order
	}
	return orders
}

// Submit has an order taken by this member as the head.
func (r *Replicator) Submit(order operator.Order, wait time.Duration) (int64, error) {
	done := make(chan submitResult, 1)
	var id uint64
	queued := r.enqueue(func() {
		r.lastID++
		id = r.lastID
		r.submissions[id] = done
		r.step(func(now time.Duration) replica.Ready { return r.machine.Submit(now, id, order) })
	})
	if !queued {
		return 0, errkind.New(errkind.OutcomeUnknown, "too many orders are waiting")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-done:
		return result.revision, result.err
	case <-timer.C:
		r.enqueue(func() {
			delete(r.submissions, id)
			r.machine.Withdraw(id)
		})
		return 0, errkind.New(errkind.OutcomeUnknown, "not committed in time")
	}
}

// SetSeeds takes seeds that were exchanged.
func (r *Replicator) SetSeeds(addresses []string) {
	r.enqueue(func() { r.machine.SetSeeds(addresses) })
}

// Leave has the other members go on without this one. Published tells when they do.
func (r *Replicator) Leave() {
	r.enqueue(func() { r.step(r.machine.Leave) })
}
