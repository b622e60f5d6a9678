package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// simulation runs members, their disks and their network in virtual time. It records every order and reply, and
// every violation of an invariant.
type simulation struct {
	rand        *rand.Rand
	now         time.Duration
	events      events
	lastSeq     int
	nodes       []*node
	partitions  map[[2]string]bool // by sender and recipient
	faults      injectedFaults
	seeds       []string
	maxFailures int
	maxDelay    time.Duration // maximum delay of a message

	lastID         uint64
	submitted      map[uint64]operator.Order
	submittedAt    map[uint64]time.Duration
	ackedRevisions map[operator.Digest]int64
	ackCounts      map[operator.Digest]int
	ackLog         []ack
	ackedByBase    map[int64]operator.Digest
	views          map[uint64]string
	violations     []string
	inconclusive   bool // the linearizability check timed out

	operations     map[operator.Digest]*operation // one operation for each order, by digest
	completedCalls []operation                    // completed rejections and reads
	operateUntil   time.Duration                  // time until which operators submit orders

	checkRedundancy     bool          // check at each tick that the fleet would survive the next loss
	unsafeFor           time.Duration // total time for which it would not have survived it
	catchUpTime         time.Duration
	redundancyCheckedAt time.Duration
	slowUntil           time.Duration // time until which messages are slow
	excessLossAt        time.Duration // last time at which more than maxFailures members were lost
	departed            []Member      // members that have left permanently while holding a vote
	lastWithoutSpareAt  time.Duration // last time at which no member could take over a vote
	corruptChunks       bool
	transferRate        int // 0: the default

	dataProcesses   []*dataProcess
	votes           map[vote]Ballot  // highest ballot that each member has promised or accepted
	servedRevisions map[uint64]int64 // revisions of the configurations that members have served, by ConfigSeq

	newDisk func(seed uint64) FileDisk // creates a disk of files for a member; nil: disks are in memory

	configure    func(*Config) // changes the configuration of each member that starts; nil: the defaults
	crashRefuses bool          // a crashed process refuses connections; else its machine does not respond
	lossPercent  int           // percentage of packets that are lost and retransmitted
	writeTime    time.Duration // duration of a write to disk
	stall        time.Duration // part of each stallPeriod in which every process is suspended
}

type node struct {
	address      string
	domain       string
	machine      *Machine
	disk         Stored    // stored state; with files, the state read at the last start
	files        FileDisk  // nil: the disk is in memory
	crashPending bool      // the process crashes at one of its next writes
	onCrash      func()    // called at that crash
	previousView *Proposal // the stored view before the current one
	up           bool
	frozen       bool
	cannotVote   bool
	diskFails    bool
	diskFull     bool
	founder      bool
	leaving      bool
	partitioned  bool
	upSince      time.Duration
	deferred     []func()      // events that arrived while the node was frozen
	busyUntil    time.Duration // until then a write to disk is in progress
	starts       int
	checkedEpoch uint64 // the last epoch whose view was checked
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	tickInterval    = 50 * time.Millisecond
	defaultMaxDelay = 2 * time.Millisecond
)

func newSimulation(seed uint64, members int) *simulation {
	sim := &simulation{
		rand:            rand.New(rand.NewPCG(seed, 1)),
		now:             time.Millisecond,
		partitions:      map[[2]string]bool{},
		maxFailures:     1,
		maxDelay:        defaultMaxDelay,
		submitted:       map[uint64]operator.Order{},
		submittedAt:     map[uint64]time.Duration{},
		ackedRevisions:  map[operator.Digest]int64{},
		ackCounts:       map[operator.Digest]int{},
		ackedByBase:     map[int64]operator.Digest{},
		views:           map[uint64]string{},
		operations:      map[operator.Digest]*operation{},
		servedRevisions: map[uint64]int64{},
		votes:           map[vote]Ballot{},
		operateUntil:    24 * time.Second,
		catchUpTime:     4 * time.Second,
	}
	for i := range members {
		sim.seeds = append(sim.seeds, fmt.Sprintf("m%d", i))
	}
	for _, address := range sim.seeds {
		n := &node{address: address, founder: true}
		sim.nodes = append(sim.nodes, n)
		sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
	}
	return sim
}

func (sim *simulation) schedule(wait time.Duration, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{sim.now + wait, sim.lastSeq, run})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) config() Config {
	config := DefaultConfig()
	config.MaxFailures = sim.maxFailures
	config.Seeds = sim.availableSeeds()
	if sim.transferRate > 0 {
		config.TransferRate = sim.transferRate
	}
	if sim.configure != nil {
		sim.configure(&config)
	}
	return config
}

// availableSeeds returns the seeds in the settings of a process that starts now: the addresses of the machines
// that exist.
func (sim *simulation) availableSeeds() []string {
	var seeds []string
	for _, n := range sim.nodes[:min(len(sim.seeds), len(sim.nodes))] {
		seeds = append(seeds, n.address)
	}
	return seeds
}

func (sim *simulation) start(n *node) {
	if n.up {
		return
	}
	switch {
	case sim.newDisk != nil:
		if !sim.openFiles(n) {
			return
		}
	case n.disk.Self.Address == "":
		n.disk = sim.newIdentity(n)
	}
	n.checkedEpoch = 0
	sim.injectDiskFaults(n)
	config := sim.config()
	config.CanVote = !n.cannotVote
	machine, err := New(config, n.disk, sim.now)
	if err != nil {
		sim.reportViolation("%s cannot start: %v", n.address, err)
		return
	}
	n.machine, n.up, n.frozen, n.leaving, n.upSince = machine, true, false, false, sim.now
	n.starts++
	sim.tick(n, n.starts)
}

// newIdentity returns what a member stores if it finds its disk empty.
func (sim *simulation) newIdentity(n *node) Stored {
	stored := Stored{Self: Member{Address: n.address, Incarnation: sim.rand.Uint64() | 1, Domain: n.domain}}
	if n.founder {
		stored.Founder, stored.Founders = true, sim.seeds
	}
	n.founder = false
	return stored
}

func (sim *simulation) tick(n *node, starts int) {
	if !n.up || n.starts != starts {
		return
	}
	sim.step(n, func() Ready { return n.machine.Tick(sim.now) })
	sim.checkSurvivesNextLoss()
	if n.up && !n.diskFails && !n.machine.Healthy() {
		switch {
		case n.files == nil:
			n.machine.SetHealthy()
		case !n.frozen:
			sim.recoverFiles(n)
		}
	}
	sim.schedule(tickInterval, func() { sim.tick(n, starts) })
}

// step calls the machine of a member and processes the Ready: it stores the records, sends the messages and
// delivers the replies, in this order.
func (sim *simulation) step(n *node, run func() Ready) {
	if !n.up {
		return
	}
	if n.frozen {
		n.deferred = append(n.deferred, func() { sim.step(n, run) })
		return
	}
	if busy := sim.busyFor(n); busy > 0 {
		starts := n.starts
		sim.schedule(busy, func() {
			if n.starts == starts {
				sim.step(n, run)
			}
		})
		return
	}
	before := n.machine.Checkpoint()
	out := run()
	if n.diskFails && len(out.Records) > 0 {
		n.machine.Rollback(before)
		return
	}
	if n.files != nil && !sim.writeFiles(n, before, out.Records) {
		return
	}
	for _, record := range out.Records {
		sim.store(n, record)
	}
	sim.checkView(n)
	sim.checkLease(n)
	sim.checkVotes(n, out.Messages)
	if sim.writeTime > 0 && len(out.Records) > 0 {
		n.busyUntil = sim.now + sim.writeTime
	}
	for _, envelope := range out.Messages {
		sim.sendAfter(n, max(0, n.busyUntil-sim.now), envelope)
	}
	for _, reply := range out.Replies {
		sim.onReply(n, reply)
	}
}

// retransmissionTimeout is the time after which a lost packet is retransmitted. It doubles with each
// retransmission.
const retransmissionTimeout = 200 * time.Millisecond

// retransmissionDelay returns the additional delay of a message caused by lost packets.
func (sim *simulation) retransmissionDelay() (delay time.Duration) {
	for timeout := retransmissionTimeout; sim.lossPercent > 0 && sim.rand.IntN(100) < sim.lossPercent; timeout *= 2 {
		delay += timeout
	}
	return delay
}

// stallPeriod is the period of the stalls of processes with a processor quota.
const stallPeriod = 100 * time.Millisecond

// busyFor returns how long a process is unable to handle an event.
func (sim *simulation) busyFor(n *node) time.Duration {
	busy := max(0, n.busyUntil-sim.now)
	if sim.stall > 0 {
		phase := (sim.now + time.Duration(n.disk.Self.Incarnation%uint64(stallPeriod))) % stallPeriod
		busy = max(busy, sim.stall-phase)
	}
	return busy
}

// sendAfter sends a message after a write has finished.
func (sim *simulation) sendAfter(from *node, wait time.Duration, envelope Envelope) {
	if wait == 0 {
		sim.send(from, envelope)
		return
	}
	starts := from.starts
	sim.schedule(wait, func() {
		if from.up && from.starts == starts {
			sim.send(from, envelope)
		}
	})
}

func (sim *simulation) store(n *node, record Record) {
	if sim.faults.dropRecord(record) {
		return
	}
	if _, isView := record.(SaveView); isView {
		n.previousView = n.disk.View
	}
	n.disk.Apply(record)
}

func (sim *simulation) send(from *node, envelope Envelope) {
	to := sim.node(envelope.To.Address)
	if to == nil || sim.isPartitioned(from, to) {
		return
	}
	envelope = sim.injectMessageFaults(from, to, envelope)
	delay := 200*time.Microsecond + time.Duration(sim.rand.Int64N(int64(sim.maxDelay)))
	if from == to {
		delay = 0
	} else if sim.rand.IntN(200) == 0 { // some messages are lost
		return
	}
	delay += sim.retransmissionDelay()
	sim.schedule(delay, func() {
		if sim.isPartitioned(from, to) {
			return
		}
		if !to.up && sim.crashRefuses {
			sim.schedule(delay, func() {
				sim.step(from, func() Ready { return from.machine.ConnectionRefused(sim.now, to.address) })
			})
			return
		}
		sim.step(to, func() Ready { return to.machine.Step(sim.now, envelope) })
	})
}

func (sim *simulation) node(address string) *node {
	for _, n := range sim.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}
