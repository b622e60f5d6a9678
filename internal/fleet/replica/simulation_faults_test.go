package replica

import (
	"fmt"
	"slices"
	"time"
)

// injectedFaults are faults that break an assumption of the protocols. A simulation with one of them must report
// violations; otherwise it would not detect a real fault of the members either.
type injectedFaults struct {
	entriesNotStored        bool // a member forwards entries without storing them
	promisesNotStored       bool
	wipedKeepsIdentity      bool // a member whose disk is lost keeps its incarnation
	digestsDropped          bool // a restarted member forgets which orders were committed
	readsUnconfirmed        bool
	rejectionUnconfirmed    bool
	rejectionOfEarlierEpoch bool // a later epoch confirms a rejection of an earlier one
	leaseUnconfirmed        bool // a lease starts at the time of the check
	outsiderClaimsBase      bool // voters outside the chain report complete logs, and those in the chain do not
	promiseCountedTwice     bool // a voter's promise is also delivered as another voter's
	acceptCountedTwice      bool // a voter's acceptance is also delivered as another voter's
	committedEarly          bool // the head receives Committed as soon as it has sent an entry
	lastEntryLost           bool // a restarted member loses its last entry
	lastViewLost            bool // a restarted member loses its last view
	leavesUnreleased        bool // a leaving member does not wait until it is released
	orderAltered            bool // a member of the chain receives an order that differs from the head's

	// Faults of the polling by data processes.
	pollUnconfirmed  bool // a member reports its configuration as confirmed now
	pollBeforeCommit bool // a member serves an order before it is committed
	leaseFromReply   bool // the lease of a data process starts when the reply arrives
	configForgotten  bool // a data process discards its configuration with each reply

	// Faults of disks of files.
	ignoredSyncs        IgnoredSyncs
	failedWritesIgnored bool // a member continues as if a failed write had succeeded
}

// dropRecord reports whether a record is dropped instead of stored.
func (f injectedFaults) dropRecord(record Record) bool {
	switch record.(type) {
	case SavePromise, SaveAccepted:
		return f.promisesNotStored
	case SaveEntry:
		return f.entriesNotStored
	}
	return false
}

// injectDiskFaults applies the injected faults to the disk of a member before it starts.
func (sim *simulation) injectDiskFaults(n *node) {
	disk := &n.disk
	if sim.faults.lastEntryLost && len(disk.Entries) > 0 {
		disk.Entries = disk.Entries[:len(disk.Entries)-1]
	}
	if sim.faults.lastViewLost && n.previousView != nil {
		disk.View, disk.Promised, disk.Accepted = n.previousView, Ballot{}, nil
	}
	if sim.faults.digestsDropped && len(disk.Entries) > 0 {
		machine, err := New(sim.config(), *disk, sim.now)
		if err != nil {
			return
		}
		snapshot := Snapshot{Seq: machine.log.seq, State: machine.log.state.Snapshot()}
		snapshot.State.Digests, snapshot.State.Made = nil, nil
		disk.Snapshot, disk.Entries = &snapshot, nil
	}
}

// injectMessageFaults applies the injected faults to a message.
func (sim *simulation) injectMessageFaults(from, to *node, envelope Envelope) Envelope {
	switch body := envelope.Body.(type) {
	case Promise:
		if sim.faults.outsiderClaimsBase && body.Epoch > 1 {
			body.Holds = !body.Holds
			envelope.Body = body
		}
		if sim.faults.promiseCountedTwice {
			sim.forge(to, envelope)
		}
	case AcceptReply:
		if sim.faults.acceptCountedTwice {
			sim.forge(to, envelope)
		}
	case Append:
		chain := from.machine.View().Chain
		if sim.faults.committedEarly && len(chain) > 0 && chain[0] == from.machine.Self() {
			early := Committed{Epoch: body.Entry.Epoch, Seq: body.Entry.Seq}
			sim.schedule(time.Millisecond, func() {
				sim.step(from, func() Ready { return from.machine.Step(sim.now, Envelope{To: from.machine.Self(), Body: early}) })
			})
		}
		if sim.faults.orderAltered && sim.rand.IntN(5) == 0 {
			body.Entry.Order.Body = append(slices.Clone(body.Entry.Order.Body), ' ')
			next, err := from.machine.log.withoutPending().state.Apply(body.Entry.Order)
			if err == nil {
				body.Entry.History = next.History()
				envelope.Body = body
			}
		}
	case SnapshotChunk:
		if sim.corruptChunks && sim.rand.IntN(4) == 0 {
			body.Bytes = slices.Clone(body.Bytes)
			body.Bytes[sim.rand.IntN(len(body.Bytes))] ^= 1
			envelope.Body = body
		}
	}
	return envelope
}

// forge also delivers the reply of a voter as a reply of another voter.
func (sim *simulation) forge(to *node, envelope Envelope) {
	if to.machine == nil {
		return
	}
	for _, voter := range to.machine.voters() {
		if voter.Address != envelope.From.Address && voter.Address != to.address {
			forged := envelope
			forged.From = voter
			sim.schedule(time.Millisecond, func() { sim.step(to, func() Ready { return to.machine.Step(sim.now, forged) }) })
			return
		}
	}
}

func (sim *simulation) crash(n *node) {
	n.up, n.frozen, n.deferred, n.busyUntil = false, false, nil, 0
	if n.files != nil {
		n.files.Close()
	}
}

// leaveTimeout is how long a leaving member waits to be released.
const leaveTimeout = 6 * time.Second

// leave shuts a member down gracefully, as the control process does on SIGTERM: it runs until it is released, or
// for at most leaveTimeout.
func (sim *simulation) leave(n *node, then func()) {
	if !n.up || n.frozen {
		sim.crash(n)
		then()
		return
	}
	n.leaving = true
	sim.step(n, func() Ready { return n.machine.Leave(sim.now) })
	sim.awaitRelease(n, n.starts, sim.now+leaveTimeout, then)
}

func (sim *simulation) awaitRelease(n *node, starts int, deadline time.Duration, then func()) {
	if n.up && n.starts == starts && !sim.faults.leavesUnreleased && sim.now < deadline && (n.frozen || !n.machine.Released()) {
		sim.schedule(tickInterval, func() { sim.awaitRelease(n, starts, deadline, then) })
		return
	}
	then()
	if n.starts == starts {
		sim.crash(n)
	}
}

// wipe crashes a member and clears its disk.
func (sim *simulation) wipe(n *node) {
	sim.crash(n)
	identity := n.disk.Self
	n.disk = Stored{}
	if n.files != nil {
		n.files.Wipe()
	}
	if sim.faults.wipedKeepsIdentity {
		n.disk.Self, n.disk.Founder, n.disk.Founders = identity, true, sim.seeds
	}
}

// freeze suspends a process. Events that arrive meanwhile are handled on unfreeze.
func (sim *simulation) freeze(n *node) { n.frozen = n.up }

func (sim *simulation) unfreeze(n *node) {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// partition drops the messages from one member to another, optionally in both directions.
func (sim *simulation) partition(from, to *node, both bool) {
	sim.partitions[[2]string{from.address, to.address}] = true
	if both {
		sim.partitions[[2]string{to.address, from.address}] = true
	}
}

// isPartitioned reports whether messages from one member to another are dropped.
func (sim *simulation) isPartitioned(from, to *node) bool {
	return sim.partitions[[2]string{from.address, to.address}]
}

func (sim *simulation) heal() { clear(sim.partitions) }

// isolate partitions a member from all others.
func (sim *simulation) isolate(n *node) {
	for _, other := range sim.nodes {
		if other != n {
			sim.partition(n, other, true)
		}
	}
	n.partitioned = true
}

// partitionHalf partitions some members from the others.
func (sim *simulation) partitionHalf(half []*node) {
	inside := map[*node]bool{}
	for _, n := range half {
		inside[n] = true
	}
	for _, a := range sim.nodes {
		for _, b := range sim.nodes {
			if inside[a] && !inside[b] {
				sim.partition(a, b, true)
			}
		}
	}
}

// removeNode removes a member permanently.
func (sim *simulation) removeNode(removed *node) {
	sim.crash(removed)
	for i, n := range sim.nodes {
		if n == removed {
			sim.nodes = append(sim.nodes[:i:i], sim.nodes[i+1:]...)
			return
		}
	}
}

// join starts a new member with an empty disk.
func (sim *simulation) join(address, domain string) {
	n := &node{address: address, domain: domain}
	sim.nodes = append(sim.nodes, n)
	sim.start(n)
}

// replace removes a machine permanently and starts an empty one at another address in its place.
func (sim *simulation) replace(n *node, after time.Duration) {
	sim.crash(n)
	for i := range sim.nodes {
		if sim.nodes[i] == n {
			successor := &node{address: fmt.Sprintf("r%d", sim.lastSeq)}
			sim.nodes[i] = successor
			sim.schedule(after, func() { sim.start(successor) })
		}
	}
}

// compactDisk replaces all entries but the last one on the disk of a member by a snapshot, as a compaction does.
func (n *node) compactDisk() {
	if len(n.disk.Entries) < 2 {
		return
	}
	log, err := newLog(n.disk.Snapshot)
	if err != nil {
		panic(err)
	}
	last := len(n.disk.Entries) - 1
	for _, entry := range n.disk.Entries[:last] {
		if log, err = log.withEntry(entry); err != nil {
			panic(err)
		}
	}
	n.disk.Snapshot = &Snapshot{Seq: log.seq, State: log.state.Snapshot()}
	n.disk.Entries = n.disk.Entries[last:]
}
