package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetShape is the size of a simulated fleet.
type fleetShape struct {
	members     int
	maxFailures int
	overlap     bool // more than maxFailures members may be down at a time, but no more disks may be lost
}

// shapes are the fleet shapes that the histories use in turn.
var shapes = []fleetShape{{3, 1, false}, {3, 1, true}, {4, 1, false}, {4, 1, true}, {5, 2, false}, {6, 2, false}, {6, 2, true},
	{8, 2, false}, {5, 1, true}, {8, 2, true}}

// randomFaults is a random history: two operators, readers, and faults of all kinds at any time, also simultaneous
// ones. At the end all faults are repaired; then everything acknowledged must be present, and orders must be
// committed.
type randomFaults struct {
	*simulation
	shape       fleetShape
	withFiles   bool // the disks are files, in which crashes leave torn writes
	lostDisks   int
	joined      int
	faultCounts map[string]int
	faultLog    []string
}

const (
	faultsUntil     = 22 * time.Second
	ordersUntil     = 26 * time.Second
	recoveryTimeout = 12 * time.Second
)

// runRandomFaults runs a random history of members whose disks are in memory and never lose a completed write.
func runRandomFaults(seed uint64, shape fleetShape, faults injectedFaults) *randomFaults {
	sim := &randomFaults{simulation: newSimulation(seed, 3), shape: shape, faultCounts: map[string]int{}}
	sim.faults = faults
	sim.runAndCheck(seed)
	return sim
}

// runAndCheck runs the history and checks it.
func (sim *randomFaults) runAndCheck(seed uint64) {
	shape := sim.shape
	sim.maxFailures = shape.maxFailures
	for i := 3; i < shape.members; i++ {
		n := &node{address: fmt.Sprintf("n%d", i)}
		sim.nodes = append(sim.nodes, n)
		sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
	}
	for i, n := range sim.nodes {
		n.domain = fmt.Sprintf("zone-%d", i%3)
	}
	sim.runUntil(4 * time.Second)
	for _, n := range sim.nodes {
		n.upSince = -time.Minute // the members have caught up after the bootstrap
	}
	sim.checkRedundancy = true
	sim.redundancyCheckedAt = sim.now
	sim.operateUntil = ordersUntil
	sim.schedule(0, func() { sim.operate(1) })
	sim.schedule(0, func() { sim.operate(2) })
	sim.startDataProcesses(seed)
	for range 1 + sim.rand.IntN(3) {
		sim.schedule(time.Duration(sim.rand.IntN(2000))*time.Millisecond, sim.injectRandomFault)
	}
	sim.runUntil(ordersUntil)
	sim.finish()
}

// injectRandomFault injects one fault, unless that would exceed the limits of the shape, and schedules the next
// one.
func (sim *randomFaults) injectRandomFault() {
	if sim.now > faultsUntil {
		return
	}
	sim.schedule(time.Duration(50+sim.rand.IntN(2500))*time.Millisecond, sim.injectRandomFault)
	if sim.lostCount() == 0 && !slices.ContainsFunc(sim.nodes, func(n *node) bool { return n.leaving }) {
		sim.lostDisks = 0
	}
	n := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	duration := time.Duration(100+sim.rand.IntN(3500)) * time.Millisecond
	kinds := sim.memoryFaults(n, duration)
	if sim.withFiles {
		kinds = append(kinds, sim.fileFaults(n, duration)...)
	}
	fault := kinds[sim.rand.IntN(len(kinds))]
	affectsAll := fault.members > sim.shape.maxFailures
	switch {
	case n.leaving || sim.lostDisks+fault.disks > sim.shape.maxFailures:
		return
	case affectsAll && !sim.shape.overlap && sim.lostCount() > 0:
		return
	case !affectsAll && !sim.shape.overlap && sim.lostCount()+fault.members > sim.shape.maxFailures:
		return
	}
	sim.lostDisks += fault.disks
	sim.faultLog = append(sim.faultLog, fmt.Sprintf("%v: %s of %s for %v", sim.now, fault.name, n.address, duration))
	sim.faultCounts[fault.name]++
	fault.run()
}

// faultKind is a kind of fault.
type faultKind struct {
	name    string
	members int // number of members that are lost temporarily
	disks   int // number of disks that are lost permanently
	run     func()
}

// memoryFaults returns the kinds of faults that every history uses. The names must not change: they are part of a
// log line that is compared between versions.
func (sim *randomFaults) memoryFaults(n *node, duration time.Duration) []faultKind {
	return []faultKind{
		{"crash", 1, 0, func() { sim.crashFor(n, duration) }},
		{"lost disk", 1, 1, func() { sim.wipe(n); sim.startAfter(n, duration) }},
		{"freeze", 1, 0, func() { sim.freezeFor(n, duration) }},
		{"cut off", 1, 0, func() { sim.isolate(n); sim.healAfter(duration) }},
		{"pair cut", 1, 0, func() { sim.partitionPair(n, duration) }},
		{"halves", 1, 0, func() { sim.partitionHalfFor(duration) }},
		{"disk refuses", 1, 0, func() { sim.failDiskFor(n, duration) }},
		{"planned replacement", 1, 0, func() { sim.replaceGracefully(n) }},
		{"unplanned replacement", 1, 1, func() { sim.replaceFailed(n, duration) }},
		{"stopped in order", 1, 0, func() { sim.leave(n, func() { sim.startAfter(n, duration) }) }},
		{"slow messages", 0, 0, func() { sim.delayMessagesFor(duration) }},
		{"folded disk", 1, 0, func() { sim.compactAndCrash(n); sim.startAfter(n, duration/8) }},
		{"all lose power", sim.shape.members, 0, func() { sim.powerCycle(duration / 4) }},
		{"all lose power, one its disk", sim.shape.members, 1, func() { sim.wipe(n); sim.powerCycle(duration / 4) }},
	}
}

func (sim *randomFaults) crashFor(n *node, duration time.Duration) {
	sim.crash(n)
	if n.files != nil && sim.rand.IntN(2) == 0 {
		n.files.LosePower()
	}
	sim.startAfter(n, duration)
}

func (sim *randomFaults) compactAndCrash(n *node) {
	if n.files != nil && n.up {
		_ = n.files.Recover()
	}
	sim.crash(n)
	if n.files == nil {
		n.compactDisk()
	}
}

func (sim *randomFaults) startAfter(n *node, wait time.Duration) {
	sim.schedule(wait, func() {
		if slices.Contains(sim.nodes, n) {
			sim.start(n)
		}
	})
}

func (sim *randomFaults) freezeFor(n *node, duration time.Duration) {
	sim.freeze(n)
	starts := n.starts
	sim.schedule(duration, func() {
		if n.starts == starts && n.frozen {
			n.upSince = sim.now
			sim.unfreeze(n)
		}
	})
}

func (sim *randomFaults) healAfter(duration time.Duration) {
	sim.schedule(duration, func() {
		sim.heal()
		for _, n := range sim.nodes {
			if n.partitioned {
				n.partitioned, n.upSince = false, sim.now
			}
		}
	})
}

func (sim *randomFaults) partitionPair(n *node, duration time.Duration) {
	other := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	if other == n {
		return
	}
	sim.partition(n, other, sim.rand.IntN(2) == 0)
	n.partitioned = true
	sim.healAfter(duration)
}

func (sim *randomFaults) partitionHalfFor(duration time.Duration) {
	shuffled := slices.Clone(sim.nodes)
	sim.rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	half := shuffled[:len(shuffled)/2]
	for _, n := range half {
		n.partitioned = true
	}
	sim.partitionHalf(half)
	sim.healAfter(duration)
}

func (sim *randomFaults) failDiskFor(n *node, duration time.Duration) {
	n.diskFails = true
	sim.schedule(duration, func() { n.diskFails, n.upSince = false, sim.now })
}

func (sim *randomFaults) delayMessagesFor(duration time.Duration) {
	sim.maxDelay = time.Duration(1+sim.rand.IntN(120)) * time.Millisecond
	sim.slowUntil = max(sim.slowUntil, sim.now+duration)
	sim.schedule(duration, func() {
		if sim.now >= sim.slowUntil {
			sim.maxDelay = defaultMaxDelay
		}
	})
}

func (sim *randomFaults) powerCycle(duration time.Duration) {
	for _, n := range sim.nodes {
		sim.crash(n)
		if n.files != nil {
			n.files.LosePower()
		}
		sim.startAfter(n, duration+time.Duration(sim.rand.IntN(500))*time.Millisecond)
	}
}

func (sim *randomFaults) newSuccessor(replaced *node) *node {
	sim.joined++
	return &node{address: fmt.Sprintf("r%d", sim.joined), domain: replaced.domain}
}

// replaceGracefully starts a new machine, gives it time to catch up, and then shuts the old one down gracefully.
func (sim *randomFaults) replaceGracefully(old *node) {
	successor := sim.newSuccessor(old)
	sim.nodes = append(sim.nodes, successor)
	sim.start(successor)
	sim.schedule(sim.catchUpTime+500*time.Millisecond, func() {
		if !successor.up || sim.isLost(old) || sim.lostDisks >= sim.maxFailures {
			return
		}
		sim.lostDisks++ // its disk counts as lost, unless another member has its vote by then
		sim.leave(old, func() {
			if old.up && old.machine.Released() && !slices.Contains(sim.view().Voters, old.disk.Self) {
				sim.lostDisks = max(0, sim.lostDisks-1)
			}
			sim.departed = append(sim.departed, old.disk.Self)
			sim.removeNode(old)
		})
	})
}

// replaceFailed removes a machine permanently and starts an empty one at another address.
func (sim *randomFaults) replaceFailed(old *node, duration time.Duration) {
	successor := sim.newSuccessor(old)
	sim.removeNode(old)
	sim.nodes = append(sim.nodes, successor)
	sim.startAfter(successor, duration)
}

// finish repairs all faults, and checks that everything acknowledged is present and that orders are committed.
func (sim *randomFaults) finish() {
	sim.heal()
	sim.maxDelay = defaultMaxDelay
	for _, n := range slices.Clone(sim.nodes) {
		n.diskFails, n.partitioned, n.crashPending = false, false, false
		if n.files != nil {
			n.files.CrashAfter(0)
			n.files.SetFull(false)
		}
		if n.frozen {
			sim.unfreeze(n)
		}
		if n.leaving {
			sim.crash(n)
		}
		sim.start(n)
	}
	sim.checkRedundancy = false
	deadline := sim.now + recoveryTimeout
	for sim.now < deadline {
		base := max(sim.lastAcked(), sim.readLatestRevision()) // an order may be committed without having been acknowledged
		order := sim.newOrder(base, base+1, fmt.Sprint("the last one at ", sim.now))
		for range 5 {
			sim.submit(order)
			sim.runUntil(sim.now + 50*time.Millisecond)
		}
		if _, acked := sim.ackedRevisions[order.Digest()]; acked {
			sim.checkLinearizable()
			return
		}
	}
	sim.reportViolation("after all repairs no order is committed; the view is %v", sim.view())
	sim.reportStatuses()
}

// reportStatuses adds the status of each member and the list of injected faults to the violations.
func (sim *randomFaults) reportStatuses() {
	for _, n := range sim.nodes {
		sim.reportViolation("%v up %v, %+v", n.disk.Self, n.up, n.machine.Status())
	}
	sim.violations = append(sim.violations, sim.faultLog...)
}

// readLatestRevision reads at every member and returns the highest revision that one of them confirms, -1 if none
// does.
func (sim *randomFaults) readLatestRevision() int64 {
	latest := int64(-1)
	for _, n := range sim.nodes {
		if n.up && !n.frozen {
			sim.awaitRead(n, n.starts, sim.now, sim.lastAcked(), func(revision int64) { latest = max(latest, revision) })
		}
	}
	sim.runUntil(sim.now + 200*time.Millisecond)
	return latest
}

func TestWorstDaysKeepEveryPromise(t *testing.T) {
	counts := map[string]int{}
	acknowledged, inconclusive := 0, 0
	for seed := firstHistory(); seed < firstHistory()+2*histories(); seed++ {
		shape := shapes[seed%uint64(len(shapes))]
		sim := runRandomFaults(seed, shape, injectedFaults{})
		require.Empty(t, sim.violationReport(), "seed %d, %+v", seed, shape)
		acknowledged += len(sim.ackLog)
		if sim.inconclusive {
			inconclusive++
		}
		for name, count := range sim.faultCounts {
			counts[name] += count
		}
	}
	t.Logf("%d histories, %d orders acknowledged, moves: %v", 2*histories(), acknowledged, counts)
	requireConclusive(t, inconclusive, int(2*histories()))
	require.Len(t, counts, 14, "every kind of fault must be injected")
	require.Greater(t, acknowledged, int(histories())*10)
}
