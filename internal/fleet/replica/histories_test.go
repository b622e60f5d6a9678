package replica

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// historiesVariable is the environment variable that sets the number of random histories.
const historiesVariable = "LINENWHEEL_HISTORIES"

// firstHistoryVariable is the environment variable that sets the seed of the first history, so that a large number
// of histories can be run in parts.
const firstHistoryVariable = "LINENWHEEL_FIRST_HISTORY"

// firstHistory returns the seed of the first history of TestWorstDaysKeepEveryPromise and
// TestTornWritesPreserveInvariants.
func firstHistory() uint64 {
	first, err := strconv.ParseUint(os.Getenv(firstHistoryVariable), 10, 64)
	if err != nil {
		return 0
	}
	return first
}

func histories() uint64 {
	if count, err := strconv.ParseUint(os.Getenv(historiesVariable), 10, 64); err == nil {
		return count
	}
	if raceDetector {
		return 20
	}
	return 100
}

// fewerWithRaceDetector returns a fifth of a number of seeds if the race detector is on, because each seed then
// takes several times as long. The default number of histories is reduced in the same way.
func fewerWithRaceDetector(seeds uint64) uint64 {
	if raceDetector {
		return max(1, seeds/5)
	}
	return seeds
}

// runHistory runs a random history with orders of two operators, lost replies, reads, and faults. A fault affects
// at most one member at a time, with time to catch up afterwards; sometimes all members lose power. At the end all
// faults are repaired, and everything acknowledged must be present.
func runHistory(seed uint64, faults injectedFaults) *simulation {
	sim := newSimulation(seed, 3)
	sim.faults = faults
	sim.runUntil(2 * time.Second)
	sim.schedule(0, func() { sim.operate(1) })
	sim.schedule(0, func() { sim.operate(2) })
	sim.schedule(500*time.Millisecond, sim.injectFault)
	sim.runUntil(25 * time.Second)
	sim.recoverAndCheck()
	return sim
}

// injectFault injects a fault into one member or all members. It schedules the next fault for a time when the
// member has been repaired for long enough to catch up.
func (sim *simulation) injectFault() {
	if sim.now > 20*time.Second {
		return
	}
	n := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	duration := time.Duration(200+sim.rand.IntN(3000)) * time.Millisecond
	switch sim.rand.IntN(8) {
	case 0:
		sim.crash(n)
		sim.schedule(duration, func() { sim.start(n) })
	case 1:
		sim.wipe(n)
		sim.schedule(duration, func() { sim.start(n) })
	case 2:
		sim.freeze(n)
		sim.schedule(duration, func() { sim.unfreeze(n) })
	case 3:
		for _, other := range sim.nodes {
			if other != n {
				sim.partition(n, other, sim.rand.IntN(2) == 0)
			}
		}
		sim.schedule(duration, sim.heal)
	case 4:
		other := sim.nodes[(sim.rand.IntN(len(sim.nodes)-1)+1)%len(sim.nodes)]
		sim.partition(n, other, sim.rand.IntN(2) == 0)
		sim.schedule(duration, sim.heal)
	case 5:
		n.diskFails = true
		sim.schedule(duration, func() { n.diskFails = false })
	case 6:
		sim.replace(n, duration)
	case 7:
		for _, member := range sim.nodes {
			sim.crash(member)
			sim.schedule(time.Duration(sim.rand.IntN(500))*time.Millisecond, func() { sim.start(member) })
		}
		if sim.rand.IntN(2) == 0 {
			sim.wipe(n)
		}
	}
	sim.schedule(duration+4*time.Second, sim.injectFault)
}

// recoverAndCheck repairs all faults, and checks that everything acknowledged is present and that orders are
// committed.
func (sim *simulation) recoverAndCheck() {
	sim.heal()
	for _, n := range sim.nodes {
		n.diskFails = false
		if n.frozen {
			sim.unfreeze(n)
		}
		sim.start(n)
	}
	sim.runUntil(sim.now + 6*time.Second)
	latest, read := sim.lastAcked(), int64(-1)
	for range 30 {
		sim.read(func(revision int64) { read = revision })
		sim.runUntil(sim.now + 100*time.Millisecond)
	}
	if read < latest {
		sim.reportViolation("after all repairs revision %d is read, but revision %d was acknowledged", read, latest)
		return
	}
	order := sim.newOrder(read, read+1, "last")
	for range 30 {
		sim.submit(order)
		sim.runUntil(sim.now + 100*time.Millisecond)
	}
	if _, acked := sim.ackedRevisions[order.Digest()]; !acked {
		sim.reportViolation("after all repairs no order is committed; the view is %v", sim.view())
	}
}

// runSixMemberHistory runs a random history of six members, of which two may be lost at a time.
func runSixMemberHistory(seed uint64) *simulation {
	sim := newSimulation(seed, 3)
	sim.maxFailures = 2
	for i := range 3 {
		n := &node{address: fmt.Sprintf("n%d", i)}
		sim.nodes = append(sim.nodes, n)
		sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
	}
	sim.runUntil(3 * time.Second)
	sim.schedule(0, func() { sim.operate(1) })
	sim.schedule(0, func() { sim.operate(2) })
	sim.schedule(300*time.Millisecond, sim.injectFault)
	sim.schedule(500*time.Millisecond, sim.injectFault)
	sim.runUntil(25 * time.Second)
	sim.recoverAndCheck()
	return sim
}

func TestSixMemberHistoriesPreserveInvariants(t *testing.T) {
	for seed := range histories() / 4 {
		sim := runSixMemberHistory(seed)
		require.Empty(t, sim.violationReport(), "seed %d", seed)
	}
}

func TestHistoriesPreserveInvariants(t *testing.T) {
	acknowledged := 0
	for seed := range histories() {
		sim := runHistory(seed, injectedFaults{})
		require.Empty(t, sim.violationReport(), "seed %d", seed)
		acknowledged += len(sim.ackLog)
	}
	require.Greater(t, acknowledged, int(histories())*10, "the histories must commit orders")
}

// runBootstrapHistory runs a bootstrap during which messages are slow and founders restart repeatedly.
func runBootstrapHistory(seed uint64, faults injectedFaults) *simulation {
	sim := newSimulation(seed, 3)
	sim.faults, sim.maxDelay = faults, 150*time.Millisecond
	for range 4 + sim.rand.IntN(8) {
		n := sim.nodes[sim.rand.IntN(len(sim.nodes))]
		sim.schedule(time.Duration(sim.rand.IntN(3000))*time.Millisecond, func() {
			sim.crash(n)
			sim.schedule(time.Duration(sim.rand.IntN(200))*time.Millisecond, func() { sim.start(n) })
		})
	}
	sim.runUntil(12 * time.Second)
	return sim
}

func TestBootstrapHistoriesAgreeOnOneView(t *testing.T) {
	for seed := range 3 * histories() {
		sim := runBootstrapHistory(seed, injectedFaults{})
		require.Empty(t, sim.violationReport(), "seed %d", seed)
		require.NotZero(t, sim.view().Epoch, "seed %d", seed)
	}
}

// runSplitVoteHistory partitions two members, so that each of them proposes a view that contains only itself and
// the third member. As soon as one of the two views is agreed, it restarts the third member and partitions it from
// the member that received its vote.
func runSplitVoteHistory(seed uint64, faults injectedFaults) *simulation {
	sim := newSimulation(seed, 3)
	sim.faults = faults
	sim.runUntil(2 * time.Second)
	first, second, third := sim.nodes[seed%3], sim.nodes[(seed+1)%3], sim.nodes[(seed+2)%3]
	sim.partition(first, second, true)
	for sim.view().Epoch < 2 && sim.now < 10*time.Second {
		sim.runUntil(sim.now + 50*time.Microsecond)
	}
	winner := first
	if second.machine.View().Epoch == 2 {
		winner = second
	}
	sim.crash(third)
	sim.partition(winner, third, true)
	sim.start(third)
	sim.runUntil(sim.now + 4*time.Second)
	sim.heal()
	sim.runUntil(sim.now + 4*time.Second)
	return sim
}

func TestSplitVoteEndsInOneView(t *testing.T) {
	for seed := range histories() {
		sim := runSplitVoteHistory(seed, injectedFaults{})
		require.Empty(t, sim.violationReport(), "seed %d", seed)
		require.Len(t, sim.view().Chain, 3, "seed %d", seed)
	}
}

func TestLostPromisesAreDetected(t *testing.T) {
	for seed := range uint64(500) {
		if sim := runSplitVoteHistory(seed, injectedFaults{promisesNotStored: true}); len(sim.violations) > 0 {
			t.Logf("detected with seed %d: %s", seed, sim.violations[0])
			return
		}
	}
	require.Fail(t, "not detected")
}
