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
	startupTickInterval = 15 * time.Millisecond // until the state is confirmed for the first time
	maxStartup          = 2 * time.Second       // after which tickInterval applies even without that confirmation
	inboxSize           = 512
	diskRetryInterval   = 500 * time.Millisecond // between attempts to recover a failed disk
)

// errDiskFailed means that an earlier write to the disk failed and that the disk has not recovered yet.
var errDiskFailed = errors.New("disk has not recovered from a failed write")

// Replicator drives one replica.Machine: it feeds it ticks, messages and orders, stores the records that it
// returns, and then sends its messages. Only the goroutine of Run calls the machine; the methods below queue their
// work for that goroutine or read the published copy of the state.
type Replicator struct {
	clock   func() time.Duration
	log     *log.Logger
	outbox  *outbox
	store   *storage.Store // nil: the state is lost when the process ends
	machine *replica.Machine
	inbox   chan func()
	stopped chan struct{}

	// Owned by the goroutine of Run.
	submissions   map[uint64]chan<- submitResult // orders that await their result, by ID
	confirmations confirmations
	lastID        uint64
	diskFailedAt  time.Duration // time of the last failure or attempt to recover

	mu        sync.Mutex
	published Published
	changed   chan struct{} // closed and replaced by publish
}

// NewReplicator returns a replicator, which works once Run is called. The clock must be monotonic and always
// greater than 0. A nil store means a member without a disk.
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

// connectionRefused notifies the replica that a peer refuses connections.
func (r *Replicator) connectionRefused(address string) {
	r.enqueue(func() {
		r.step(func(now time.Duration) replica.Ready { return r.machine.ConnectionRefused(now, address) })
	})
}

// Run drives the replica until Stop is called.
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

// Stop ends Run. It must be called at most once.
func (r *Replicator) Stop() {
	close(r.stopped)
	r.outbox.close()
}

// enqueue queues work for the goroutine of Run. If the inbox is full, it drops the work and returns false.
func (r *Replicator) enqueue(work func()) bool {
	select {
	case r.inbox <- work:
		return true
	default:
		return false
	}
}

// Deliver passes another member's message to the replica. The message may be dropped: the replica protocol resends
// messages that matter.
func (r *Replicator) Deliver(envelope replica.Envelope) {
	r.enqueue(func() {
		r.step(func(now time.Duration) replica.Ready { return r.machine.Step(now, envelope) })
	})
}

// SetSeeds replaces the seed addresses.
func (r *Replicator) SetSeeds(addresses []string) {
	r.enqueue(func() { r.machine.SetSeeds(addresses) })
}

// Leave asks the other members to replace this one. Published.Released reports when they have done so.
func (r *Replicator) Leave() {
	r.enqueue(func() { r.step(r.machine.Leave) })
}

// step runs the machine, stores the records that it returns, and only then sends its messages and replies, because
// a message may rely on state that must survive a crash. If the write fails, the step is rolled back and nothing
// is sent, as if the step had not taken place. Messages from this member to itself are processed as further steps.
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
			r.publish() // before the replies: a caller that receives one must find the committed order in Published
		}
		for _, reply := range ready.Replies {
			r.resolve(reply)
		}
	}
}

// write stores records. While the disk has not recovered from a failure, it returns errDiskFailed without
// attempting a write.
func (r *Replicator) write(records []replica.Record) error {
	switch {
	case r.store == nil || len(records) == 0:
		return nil
	case !r.machine.Healthy():
		return errDiskFailed
	}
	return r.store.Write(records)
}

// recoverDisk checks every diskRetryInterval whether a failed disk is writable again, and if so marks the machine
// healthy.
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

// logRecords logs the stored views and snapshots.
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

func addresses(members []replica.Member) []string {
	result := make([]string, len(members))
	for i, member := range members {
		result[i] = member.Address
	}
	return result
}
