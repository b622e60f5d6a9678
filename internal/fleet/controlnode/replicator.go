package controlnode

import (
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/faults"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// The figures of the replicator.
const (
	tickEvery       = 50 * time.Millisecond
	inboxSize       = 512
	deliverWait     = 2 * time.Second        // a whole configuration may be on its way over a small, busy link
	confirmWait     = 700 * time.Millisecond // after which a refusal or a read that cannot be confirmed is given up
	recoverInterval = 500 * time.Millisecond // between attempts to write to a disk that failed
	keptOrders      = 64                     // newest orders that are kept for nodes that are a few versions behind
)

// errDiskFailed says that the disk refused a write and has not been tried again yet.
var errDiskFailed = errors.New("the disk refuses writes")

// MethodDeliver is the method by which members hand each other messages.
const MethodDeliver = "Peer.Deliver"

// Published is what the rest of the process sees of the replica.
type Published struct {
	Self           replica.Member
	View           replica.View
	Healthy        bool
	Seq            uint64
	State          *operator.State
	ViewConfirmed  time.Duration
	StateConfirmed time.Duration
	AllHere        bool // every other voter is known to be in this view
}

// orderResult is the end of an order.
type orderResult struct {
	revision int64
	err      error
}

type refusal struct {
	reply replica.Reply
	since time.Duration
}

type readWait struct {
	since time.Duration
	done  chan<- *operator.State // nil state: it could not be confirmed
}

// Replicator drives one replica: it owns its goroutine, its disk and its messages.
type Replicator struct {
	clock   func() time.Duration
	log     *log.Logger
	pool    *transport.Pool
	store   *storage.Store // nil: nothing is kept over the end of the process
	machine *replica.Machine
	inbox   chan func()
	stopped chan struct{}

	// Of the goroutine.
	waiting  map[uint64]chan<- orderResult
	refusals []refusal
	reads    []readWait
	lastID   uint64
	failedAt time.Duration
	leaving  bool
	orders   []placedOrder

	mu        sync.Mutex
	published Published
	kept      []placedOrder
	changed   chan struct{}
}

// placedOrder is a committed order with the place that it led to.
type placedOrder struct {
	seq   uint64
	order operator.Order
}

// NewReplicator makes a replicator; Run drives it.
func NewReplicator(clock func() time.Duration, logger *log.Logger, pool *transport.Pool, store *storage.Store,
	machine *replica.Machine) *Replicator {
	r := &Replicator{clock: clock, log: logger, pool: pool, store: store, machine: machine, inbox: make(chan func(), inboxSize),
		stopped: make(chan struct{}), waiting: map[uint64]chan<- orderResult{}, changed: make(chan struct{})}
	r.publish()
	return r
}

// Run drives the replica until Stop.
func (r *Replicator) Run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case work := <-r.inbox:
			work()
		case <-ticker.C:
			r.step(r.machine.Tick)
			r.recoverDisk()
		case <-r.stopped:
			return
		}
		r.settle()
		r.publish()
	}
}

// Stop ends Run.
func (r *Replicator) Stop() { close(r.stopped) }

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
		r.step(func(now time.Duration) replica.Output { return r.machine.Step(now, envelope) })
	})
}

// step runs the machine, stores what it wants stored and then sends.
func (r *Replicator) step(run func(now time.Duration) replica.Output) {
	pending := []func(time.Duration) replica.Output{run}
	for len(pending) > 0 {
		before := r.machine.Checkpoint()
		out := pending[0](r.clock())
		pending = pending[1:]
		if err := r.write(out.Save); err != nil {
			if !errors.Is(err, errDiskFailed) {
				r.log.Error("disk write failed; leaving the chain until it works again", "err", err)
				r.failedAt = r.clock()
			}
			r.machine.Rollback(before)
			continue
		}
		r.keepOrders(out.Save)
		for _, envelope := range out.Send {
			if envelope.To.Address == r.machine.Self().Address {
				pending = append(pending, func(now time.Duration) replica.Output { return r.machine.Step(now, envelope) })
				continue
			}
			go r.post(envelope)
		}
		for _, reply := range out.Replies {
			r.end(reply)
		}
	}
}

func (r *Replicator) write(records []replica.Record) error {
	switch {
	case r.store == nil || len(records) == 0:
		return nil
	case !r.machine.Healthy() && !r.leaving:
		return errDiskFailed
	}
	return r.store.Write(records)
}

func (r *Replicator) post(envelope replica.Envelope) {
	var none struct{}
	_ = r.pool.Call(envelope.To.Address, MethodDeliver, &envelope, &none, deliverWait) // the machine sends again what matters
}

// recoverDisk tries whether a disk that failed takes writes again.
func (r *Replicator) recoverDisk() {
	if r.machine.Healthy() || r.leaving || r.clock()-r.failedAt < recoverInterval {
		return
	}
	r.failedAt = r.clock()
	if r.store != nil {
		if err := r.store.Recover(); err != nil {
			return
		}
	}
	r.log.Info("disk takes writes again")
	r.machine.SetHealthy()
}

// keepOrders keeps the orders that were stored, for nodes that are a few versions behind.
func (r *Replicator) keepOrders(records []replica.Record) {
	for _, record := range records {
		switch record := record.(type) {
		case replica.SaveEntry:
			r.orders = append(r.orders, placedOrder{record.Entry.Seq, record.Entry.Order})
		case replica.SaveView: // what was not committed may have been replaced
			r.orders = nil
			r.log.Info("view", "epoch", record.Proposal.View.Epoch, "chain", addresses(record.Proposal.View.Chain),
				"voters", addresses(record.Proposal.View.Voters))
		}
	}
	if len(r.orders) > keptOrders {
		r.orders = append([]placedOrder(nil), r.orders[len(r.orders)-keptOrders:]...)
	}
}

func addresses(members []replica.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.Address
	}
	return list
}

// end gives an order its result. One that is refused waits until it is sure that this member's view is the newest one.
func (r *Replicator) end(reply replica.Reply) {
	if reply.Unconfirmed {
		r.refusals = append(r.refusals, refusal{reply, r.clock()})
		r.step(r.machine.Beat)
		return
	}
	if done := r.waiting[reply.ID]; done != nil {
		done <- orderResult{reply.Revision, reply.Err}
		delete(r.waiting, reply.ID)
	}
}

// settle answers refusals and reads that have been confirmed, or that could not be in time.
func (r *Replicator) settle() {
	now := r.clock()
	viewConfirmed := r.machine.ViewConfirmed()
	var refusals []refusal
	for _, one := range r.refusals {
		switch {
		case viewConfirmed > one.since:
			one.reply.Unconfirmed = false
			r.end(one.reply)
		case now-one.since > confirmWait:
			r.end(replica.Reply{ID: one.reply.ID, Err: faults.New(faults.Undecided, "the view could not be confirmed")})
		default:
			refusals = append(refusals, one)
		}
	}
	r.refusals = refusals
	stateConfirmed := r.machine.StateConfirmed()
	var reads []readWait
	for _, one := range r.reads {
		switch {
		case stateConfirmed > one.since:
			_, state := r.machine.Agreed()
			one.done <- state
		case now-one.since > confirmWait:
			one.done <- nil
		default:
			reads = append(reads, one)
		}
	}
	r.reads = reads
}

func (r *Replicator) publish() {
	seq, state := r.machine.Agreed()
	next := Published{Self: r.machine.Self(), View: r.machine.View(), Healthy: r.machine.Healthy(), Seq: seq, State: state,
		ViewConfirmed: r.machine.ViewConfirmed(), StateConfirmed: r.machine.StateConfirmed(), AllHere: r.machine.AllHere()}
	r.mu.Lock()
	defer r.mu.Unlock()
	news := next.Seq != r.published.Seq || next.View.Epoch != r.published.View.Epoch ||
		(next.StateConfirmed > 0) != (r.published.StateConfirmed > 0)
	r.published = next
	if news {
		r.kept = r.orders
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
func (r *Replicator) OrdersSince(from, to uint64) []operator.Order {
	r.mu.Lock()
	kept := r.kept
	r.mu.Unlock()
	var orders []operator.Order
	for _, placed := range kept {
		if placed.seq > from && placed.seq <= to {
			orders = append(orders, placed.order)
		}
	}
	if uint64(len(orders)) != to-from {
		return nil
	}
	return orders
}

// Submit has an order taken by this member as the head.
func (r *Replicator) Submit(order operator.Order, wait time.Duration) (int64, error) {
	done := make(chan orderResult, 1)
	var id uint64
	queued := r.enqueue(func() {
		r.lastID++
		id = r.lastID
		r.waiting[id] = done
		r.step(func(now time.Duration) replica.Output { return r.machine.Submit(now, id, order) })
	})
	if !queued {
		return 0, faults.New(faults.Undecided, "too many orders are waiting")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-done:
		return result.revision, result.err
	case <-timer.C:
		r.enqueue(func() {
			delete(r.waiting, id)
			r.machine.Withdraw(id)
		})
		return 0, faults.New(faults.Undecided, "not committed in time")
	}
}

// Read gives the newest committed state, confirmed after this call began.
func (r *Replicator) Read() (*operator.State, error) {
	done := make(chan *operator.State, 1)
	queued := r.enqueue(func() {
		r.reads = append(r.reads, readWait{r.clock(), done})
		r.step(r.machine.Beat)
	})
	if !queued {
		return nil, faults.New(faults.Undecided, "this member is behind")
	}
	timer := time.NewTimer(confirmWait + tickEvery*2)
	defer timer.Stop()
	select {
	case state := <-done:
		if state == nil {
			return nil, faults.New(faults.Undecided, "the state could not be confirmed")
		}
		return state, nil
	case <-timer.C:
		return nil, faults.New(faults.Undecided, "this member is behind")
	}
}

// SetSeeds takes seeds that were exchanged.
func (r *Replicator) SetSeeds(addresses []string) {
	r.enqueue(func() { r.machine.SetSeeds(addresses) })
}

// Leave has the other members go on without this one.
func (r *Replicator) Leave() {
	r.enqueue(func() {
		r.leaving = true
		r.machine.Rollback(r.machine.Checkpoint())
		r.step(r.machine.Beat)
	})
}
