package controlplane

import (
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Parameters of the replicator.
const (
	tickInterval        = 50 * time.Millisecond
	startupTickInterval = 15 * time.Millisecond // until the state is confirmed for the first time,
	maxStartup          = 2 * time.Second       // but no longer than this
	inboxSize           = 512
	diskRetryInterval   = 500 * time.Millisecond // between attempts to write to a disk that failed
)

// errDiskFailed says that an earlier write to the disk failed and that the disk has not recovered yet.
var errDiskFailed = errors.New("the disk refuses writes")

// Replicator drives one replica.Machine: it gives it ticks, messages and orders, stores its records, and then sends its
// messages. All calls of the machine are made by the goroutine of Run; the methods below pass their work to it, or read the
// published copy of its state.
type Replicator struct {
	clock   func() time.Duration
	log     *log.Logger
	outbox  *outbox
	store   *storage.Store // nil: the state does not outlive the process
	machine *replica.Machine
	inbox   chan func()
	stopped chan struct{}

	// Owned by the goroutine of Run.
	submissions   map[uint64]chan<- submitResult // orders without a result, by their IDs
	confirmations confirmations
	lastID        uint64
	diskFailedAt  time.Duration // the last failure or attempt to recover

	mu        sync.Mutex
	published Published
	changed   chan struct{} // closed and replaced by publish
}

// NewReplicator returns a replicator that Run drives. The clock is monotonic and always above 0. A nil store stands for a
// member without a disk.
func NewReplicator(clock func() time.Duration, logger *log.Logger, pool *transport.Pool, store *storage.Store,
	machine *replica.Machine) *Replicator {
	r := &Replicator{
		clock:       clock,
		log:         logger,
		store:       store,
		machine:     machine,
		inbox:       make(chan func(), inboxSize),
		stopped:     make(chan struct{}),
		submissions: map[uint64]chan<- submitResult{},
		changed:     make(chan struct{}),
	}
	r.outbox = newOutbox(pool, r.connectionRefused)
	r.publish()
	return r
}

// connectionRefused tells the replica of a peer that refuses connections.
func (r *Replicator) connectionRefused(address string) {
	r.enqueue(func() {
		r.step(func(now time.Duration) replica.Ready { return r.machine.ConnectionRefused(now, address) })
	})
}

// Run drives the replica until Stop.
func (r *Replicator) Run() {
	ticker := time.NewTicker(startupTickInterval)
	defer ticker.Stop()
	began := r.clock()
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
		if starting && (r.machine.StateConfirmed() > 0 || r.clock()-began > maxStartup) {
			starting = false
			r.outbox.pool.SetEager(false)
			ticker.Reset(tickInterval)
		}
	}
}

// Stop ends Run. It may be called once.
func (r *Replicator) Stop() {
	close(r.stopped)
	r.outbox.close()
}

// enqueue passes work to the goroutine of Run. It returns false, and drops the work, where too much is queued already.
func (r *Replicator) enqueue(work func()) bool {
	select {
	case r.inbox <- work:
		return true
	default:
		return false
	}
}

// Deliver passes another member's message to the replica. It may be dropped: the replicas send again what matters.
func (r *Replicator) Deliver(envelope replica.Envelope) {
	r.enqueue(func() {
		r.step(func(now time.Duration) replica.Ready { return r.machine.Step(now, envelope) })
	})
}

// SetSeeds replaces the addresses of the seeds.
func (r *Replicator) SetSeeds(addresses []string) {
	r.enqueue(func() { r.machine.SetSeeds(addresses) })
}

// Leave makes the other members replace this one. Published.Released reports when they have.
func (r *Replicator) Leave() {
	r.enqueue(func() { r.step(r.machine.Leave) })
}

// step runs the machine, stores the records that it returns, and only then sends its messages and replies: a message may
// promise what must survive a crash. Where the write fails, the step is rolled back and nothing is sent, as if it had not
// been made. Messages to this member itself are further steps.
func (r *Replicator) step(run func(now time.Duration) replica.Ready) {
	pending := []func(time.Duration) replica.Ready{run}
	for len(pending) > 0 {
		checkpoint := r.machine.Checkpoint()
		ready := pending[0](r.clock())
		pending = pending[1:]
		if err := r.write(ready.Records); err != nil {
			if !errors.Is(err, errDiskFailed) {
				r.log.Error("failed to write to disk", "err", err)
				r.diskFailedAt = r.clock()
			}
			r.machine.Rollback(checkpoint)
			continue
		}
		r.logRecords(ready.Records)
		for _, envelope := range ready.Messages {
			if envelope.To.Address == r.machine.Self().Address {
				pending = append(pending, func(now time.Duration) replica.Ready { return r.machine.Step(now, envelope) })
				continue
			}
			r.outbox.send(envelope)
		}
		if len(ready.Replies) > 0 {
			r.publish() // before the replies: whoever learns that an order was committed must find it in Published
		}
		for _, reply := range ready.Replies {
			r.resolve(reply)
		}
	}
}

// write stores records. It returns errDiskFailed without an attempt while the disk has not recovered from a failure.
func (r *Replicator) write(records []replica.Record) error {
	switch {
	case r.store == nil || len(records) == 0:
		return nil
	case !r.machine.Healthy():
		return errDiskFailed
	}
	return r.store.Write(records)
}

// recoverDisk checks every diskRetryInterval whether a disk that failed can be written to, and then lets the machine go on.
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
	r.log.Info("disk recovered")
	r.machine.SetHealthy()
}

// logRecords logs the views and snapshots that were stored.
func (r *Replicator) logRecords(records []replica.Record) {
	for _, record := range records {
		switch record := record.(type) {
		case replica.SaveView:
			r.log.Info("view installed", "epoch", record.Proposal.View.Epoch, "chain", addresses(record.Proposal.View.Chain),
				"voters", addresses(record.Proposal.View.Voters), "seq", record.Proposal.Base.Seq)
		case replica.SaveSnapshot:
			r.log.Info("snapshot installed", "seq", record.Snapshot.Seq)
		}
	}
}

// addresses returns the members' addresses.
func addresses(members []replica.Member) []string {
	result := make([]string, len(members))
	for i, member := range members {
		result[i] = member.Address
	}
	return result
}
