package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossDelays are the delays between a repair and the next loss.
var lossDelays = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}

// In a planned replacement the new machine starts first and catches up, then the old machine is shut down
// gracefully. The disk of another machine is lost as soon as the old one has stopped.
func TestDiskLostRightAfterPlannedReplacement(t *testing.T) {
	for _, delay := range lossDelays {
		for seed := range uint64(60) {
			sim := newBootstrapped(t, seed)
			sim.join("m9", "")
			sim.runUntil(sim.now + 4500*time.Millisecond)
			sim.checkRedundancy = true
			leaving, next := sim.nodes[seed%3], sim.nodes[(seed+1+seed/3%2)%3]
			stopped := false
			sim.leave(leaving, func() { stopped = true })
			for !stopped {
				sim.runUntil(sim.now + 10*time.Millisecond)
			}
			sim.removeNode(leaving)
			sim.runUntil(sim.now + delay)
			sim.wipe(next)
			requireProgress(t, sim, 2500*time.Millisecond, "delay %v, seed %d", delay, seed)
			sim.start(next)
			sim.runUntil(sim.now + sim.catchUpTime)
			require.True(t, sim.survivesNextLoss(1), "delay %v, seed %d: %v", delay, seed, sim.view())
		}
	}
}

// isUnavailableAfterPowerLoss reports whether a fleet becomes permanently unavailable in the following case: a
// machine that is being replaced as planned never restarts, all machines lose power at a time after its SIGTERM,
// and the disk of another machine is lost.
func isUnavailableAfterPowerLoss(t *testing.T, seed uint64, sinceTerm time.Duration) bool {
	t.Helper()
	sim := newBootstrapped(t, seed)
	sim.join("m9", "")
	sim.runUntil(sim.now + 4500*time.Millisecond)
	leaving, next := sim.nodes[seed%3], sim.nodes[(seed+1+seed/3%2)%3]
	sim.leave(leaving, func() {})
	sim.runUntil(sim.now + sinceTerm)
	sim.removeNode(leaving)
	sim.wipe(next)
	for _, n := range sim.nodes {
		sim.crash(n)
		sim.schedule(300*time.Millisecond, func() { sim.start(n) })
	}
	sim.runUntil(sim.now + 3*time.Second)
	order := sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, "after the loss of power")
	for range 60 {
		sim.submit(order)
		sim.runUntil(sim.now + 100*time.Millisecond)
	}
	return sim.ackCount(order) == 0
}

// Until the view without the leaving member is agreed, a power failure of all machines together with the loss of
// another disk is one disk loss too many, because the disk of the leaving member does not come back either: the
// fleet becomes unavailable. This interval cannot be avoided, because a member that has not been replaced yet
// still has its vote. The test measures how long it lasts.
func TestPowerLossAfterSIGTERM(t *testing.T) {
	const replaced = 150 * time.Millisecond
	seeds := fewerWithRaceDetector(40)
	for _, sinceTerm := range []time.Duration{0, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, replaced, 300 * time.Millisecond} {
		unavailable := 0
		for seed := range seeds {
			if isUnavailableAfterPowerLoss(t, seed, sinceTerm) {
				unavailable++
			}
		}
		t.Logf("%v after SIGTERM: %d of %d fleets are unavailable", sinceTerm, unavailable, seeds)
		if sinceTerm >= replaced {
			require.Zero(t, unavailable, "%v after SIGTERM", sinceTerm)
		}
	}
}

// This corresponds to TestDiskLostRightAfterPlannedReplacement for an old machine that fails: the new machine
// becomes a voter once the failure is detected.
func TestDiskLostAfterStandbyReplacesFailedVoter(t *testing.T) {
	for _, delay := range lossDelays[3:] {
		for seed := range uint64(60) {
			sim := newBootstrapped(t, seed)
			sim.join("m9", "")
			sim.runUntil(sim.now + 4500*time.Millisecond)
			sim.removeNode(sim.nodes[seed%3])
			sim.runUntil(sim.now + delay)
			next := sim.nodes[int(seed/3)%2]
			sim.wipe(next)
			requireProgress(t, sim, 2500*time.Millisecond, "delay %v, seed %d", delay, seed)
			sim.start(next)
			sim.runUntil(sim.now + sim.catchUpTime)
			require.True(t, sim.survivesNextLoss(1), "delay %v, seed %d: %v", delay, seed, sim.view())
		}
	}
}

// The second loss leaves the disk intact: the fleet may be unavailable until both members have restarted, and must
// then have everything acknowledged.
func TestPowerLossOfAnotherMemberRightAfterRepair(t *testing.T) {
	repairs := map[string]func(sim *simulation, victim *node){
		"restart": func(sim *simulation, victim *node) {
			sim.crash(victim)
			sim.runUntil(sim.now + 300*time.Millisecond)
			sim.start(victim)
		},
		"wiped disk": func(sim *simulation, victim *node) {
			sim.wipe(victim)
			sim.runUntil(sim.now + 300*time.Millisecond)
			sim.start(victim)
		},
		"replacement": func(sim *simulation, victim *node) {
			sim.removeNode(victim)
			sim.runUntil(sim.now + 300*time.Millisecond)
			sim.join("m9", "")
		},
	}
	for name, repair := range repairs {
		for _, delay := range lossDelays {
			for seed := range uint64(12) {
				sim := newBootstrapped(t, seed)
				repair(sim, sim.nodes[seed%3])
				sim.runUntil(sim.now + delay)
				second := sim.nodes[(seed/3)%2]
				sim.crash(second)
				sim.runUntil(sim.now + 500*time.Millisecond)
				sim.start(second)
				requireProgress(t, sim, 6*time.Second, "%s, delay %v, seed %d", name, delay, seed)
			}
		}
	}
}

// A restarted member is behind, and a member that has all orders loses its disk.
func TestDiskLostRightAfterRestart(t *testing.T) {
	for _, delay := range lossDelays {
		for seed := range uint64(24) {
			sim := newBootstrapped(t, seed)
			victim := sim.nodes[seed%3]
			sim.crash(victim)
			sim.submitUntilCommitted(t, 1, 2)
			sim.start(victim)
			sim.runUntil(sim.now + delay)
			sim.wipe(sim.nodes[(seed+1+seed/3%2)%3])
			requireProgress(t, sim, 4*time.Second, "delay %v, seed %d", delay, seed)
			require.EqualValues(t, 3, sim.lastAcked())
		}
	}
}

// A voter is replaced while messages are slow. Meanwhile another member loses its power or its disk.
func TestLossDuringReplacementOfVoter(t *testing.T) {
	for seed := range uint64(200) {
		sim := newBootstrapped(t, seed)
		sim.join("m9", "")
		sim.runUntil(sim.now + 4500*time.Millisecond)
		sim.maxDelay = 80 * time.Millisecond
		leaving := sim.nodes[seed%3]
		sim.leave(leaving, func() {})
		sim.runUntil(sim.now + time.Duration(sim.rand.IntN(400))*time.Millisecond)
		second := sim.nodes[(seed+1)%3]
		if seed%2 == 0 {
			sim.wipe(second)
		} else {
			sim.crash(second)
		}
		sim.runUntil(sim.now + time.Second)
		sim.start(second)
		requireProgress(t, sim, 8*time.Second, "seed %d", seed)
		sim.runUntil(sim.now + 2*sim.catchUpTime)
		require.True(t, sim.survivesNextLoss(1), "seed %d: %v", seed, sim.view())
	}
}

// A new member is fetching a snapshot, of which some chunks are corrupt, when the source or another member
// crashes.
func TestLossDuringSnapshotTransfer(t *testing.T) {
	duringTransfer := 0
	for seed := range uint64(30) {
		sim := newBootstrapped(t, seed)
		sim.corruptChunks, sim.transferRate = true, 300<<10
		revision := int64(1)
		for range 3 {
			sim.submitUntilCommitted(t, revision, revision+1)
			revision++
		}
		sim.commitLargeOrders(t)
		victim := sim.nodes[seed%3]
		sim.wipe(victim)
		sim.runUntil(sim.now + time.Second)
		sim.start(victim)
		sim.runUntil(sim.now + time.Duration(200+sim.rand.IntN(600))*time.Millisecond)
		if len(victim.machine.transfer.incoming.chunks) > 0 {
			duringTransfer++
		}
		second := sim.nodes[(seed+1+seed/3%2)%3]
		sim.crash(second)
		sim.runUntil(sim.now + time.Second)
		sim.start(second)
		requireProgress(t, sim, 8*time.Second, "seed %d", seed)
		sim.runUntil(sim.now + 2*sim.catchUpTime)
		require.Contains(t, sim.view().Chain, victim.disk.Self, "seed %d", seed)
		require.True(t, sim.survivesNextLoss(1), "seed %d: %v", seed, sim.view())
	}
	require.Greater(t, duringTransfer, 20, "number of 30 losses that occur during a transfer")
}

func TestLeavingMemberWithTheOnlyOtherReplicaWaits(t *testing.T) {
	for seed := range uint64(30) {
		sim := newBootstrapped(t, seed)
		down, leaving := sim.nodes[seed%3], sim.nodes[(seed+1)%3]
		sim.crash(down)
		sim.submitUntilCommitted(t, 1, 2)
		stopped := time.Duration(0)
		sim.leave(leaving, func() { stopped = sim.now })
		sim.runUntil(sim.now + 2*time.Second)
		require.Zero(t, stopped, "seed %d: the member has one of the MaxFailures+1 replicas", seed)
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
		sim.start(down)
		for stopped == 0 {
			sim.runUntil(sim.now + 50*time.Millisecond)
		}
		require.Contains(t, sim.view().Chain, down.disk.Self, "seed %d: the member must not be released before another one has replaced it", seed)
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

func TestLeavingMemberCrashesBetweenPromiseAndExit(t *testing.T) {
	for seed := range uint64(100) {
		sim := newBootstrapped(t, seed)
		sim.join("m9", "")
		sim.runUntil(sim.now + 4500*time.Millisecond)
		sim.maxDelay = 20 * time.Millisecond
		leaving := sim.nodes[seed%3]
		sim.leave(leaving, func() {})
		for leaving.up && !leaving.machine.sealed() {
			sim.runUntil(sim.now + time.Millisecond)
		}
		sim.removeNode(leaving)
		requireProgress(t, sim, 4*time.Second, "seed %d", seed)
		sim.runUntil(sim.now + sim.catchUpTime)
		require.True(t, sim.survivesNextLoss(1), "seed %d: %v", seed, sim.view())
	}
}

func TestTwoSimultaneousReplacementsAfterLossOfRack(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(seed, 3)
		sim.maxFailures = 2
		for i := range 3 {
			sim.nodes = append(sim.nodes, &node{address: fmt.Sprintf("n%d", i)})
		}
		for i, n := range sim.nodes {
			n.domain = fmt.Sprintf("zone-%d", i%3)
			sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
		}
		sim.runUntil(4 * time.Second)
		sim.submitUntilCommitted(t, 0, 1)
		zone := int(seed) % 3
		first, second := sim.nodes[zone], sim.nodes[zone+3]
		sim.removeNode(first) // both machines of a rack
		sim.removeNode(second)
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
		sim.join("r0", first.domain)
		sim.join("r1", second.domain)
		sim.runUntil(sim.now + 6*time.Second)
		require.True(t, sim.survivesNextLoss(2), "seed %d: %v", seed, sim.view())
		sim.wipe(sim.nodes[0])
		sim.wipe(sim.nodes[1])
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

func TestVotersAreSpreadOverFailureDomains(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(seed, 3)
		for i := range 3 {
			sim.nodes = append(sim.nodes, &node{address: fmt.Sprintf("n%d", i)})
		}
		for i, n := range sim.nodes {
			n.domain = fmt.Sprintf("zone-%d", i/2)
			sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
		}
		sim.runUntil(4 * time.Second)
		domains := map[string]bool{}
		for _, voter := range sim.view().Voters {
			domains[voter.Domain] = true
		}
		require.Len(t, domains, 3, "seed %d: %v", seed, sim.view())
		sim.submitUntilCommitted(t, 0, 1)
		zone := int(seed) % 3
		sim.crash(sim.nodes[2*zone])
		sim.crash(sim.nodes[2*zone+1])
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}
