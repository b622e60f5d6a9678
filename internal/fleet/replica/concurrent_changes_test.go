package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// newFiveMembers returns a fleet of five members that tolerates two failures and has committed one order.
func newFiveMembers(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(seed, 3)
	sim.maxFailures = 2
	for i := 3; i < 5; i++ {
		n := &node{address: fmt.Sprintf("n%d", i)}
		sim.nodes = append(sim.nodes, n)
		sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
	}
	sim.runUntil(4 * time.Second)
	sim.submitUntilCommitted(t, 0, 1)
	require.Len(t, sim.view().Voters, 5)
	return sim
}

// In the same tick, a member leaves permanently and a third member loses its disk or its power, while the
// successor of the leaving member has just caught up or is only starting to. Orders must continue to be committed.
// Once the successor has caught up and the third member has restarted, the fleet must tolerate two further losses.
func TestLeaveJoinAndLossInOneTick(t *testing.T) {
	losses := map[string]func(sim *simulation, n *node){
		"disk":  func(sim *simulation, n *node) { sim.wipe(n) },
		"power": func(sim *simulation, n *node) { sim.crash(n) },
	}
	for loss, inject := range losses {
		for _, joinedBefore := range []time.Duration{0, 200 * time.Millisecond, 800 * time.Millisecond, 4500 * time.Millisecond} {
			for seed := range fewerWithRaceDetector(20) {
				scenario := fmt.Sprintf("%s, successor joined %v before, seed %d", loss, joinedBefore, seed)
				sim := newFiveMembers(t, seed)
				order := sim.newOrder(1, 2, "on its way while all this happens")
				leaving, lost := sim.nodes[seed%5], sim.nodes[(seed+1+seed/5%4)%5]
				if joinedBefore > 0 {
					sim.join("r1", leaving.domain)
					sim.runUntil(sim.now + joinedBefore)
				}
				sim.submit(order)
				sim.leave(leaving, func() { sim.removeNode(leaving) })
				if joinedBefore == 0 {
					sim.join("r1", leaving.domain)
				}
				inject(sim, lost)
				for range 40 {
					sim.submit(order)
					sim.runUntil(sim.now + 50*time.Millisecond)
				}
				require.Contains(t, sim.ackedRevisions, order.Digest(), scenario)
				sim.start(lost)
				requireProgress(t, sim, 2*time.Second, scenario)
				sim.runUntil(sim.now + leaveTimeout + 2*sim.catchUpTime)
				require.True(t, sim.survivesNextLoss(2), "%s: %v", scenario, sim.view())
				require.NotContains(t, sim.view().Voters, leaving.disk.Self, scenario)
				requireProgress(t, sim, time.Second, scenario)
			}
		}
	}
}

// A voter leaves, and shortly afterwards the standby member that is about to replace it leaves too. The standby
// must run until the attempt that makes it a voter has ended. After it has stopped, no view may make it a voter:
// another standby member is available.
func TestStandbyLeavesDuringItsPromotion(t *testing.T) {
	promoted := 0
	for seed := range fewerWithRaceDetector(60) {
		sim := newFiveMembers(t, seed)
		leaving := sim.nodes[seed%5]
		sim.join("r1", leaving.domain)
		sim.join("r2", leaving.domain)
		sim.runUntil(sim.now + 4500*time.Millisecond)
		first, second := sim.node("r1"), sim.node("r2")
		require.False(t, first.machine.Released(), "seed %d: a member that has not announced its departure must not be released; a process may check that first", seed)
		sim.leave(leaving, func() { sim.removeNode(leaving) })
		sim.runUntil(sim.now + time.Duration(seed%12)*time.Millisecond)
		stopped := false
		sim.leave(first, func() { stopped = true; sim.removeNode(first) })
		for range 3000 {
			sim.runUntil(sim.now + time.Millisecond)
			isVoter := slices.Contains(sim.view().Voters, first.disk.Self)
			require.False(t, stopped && isVoter, "seed %d at %v: %v", seed, sim.now, sim.view())
			if isVoter {
				promoted++
			}
		}
		require.True(t, stopped, "seed %d", seed)
		require.Contains(t, sim.view().Voters, second.disk.Self, "seed %d", seed)
		require.Len(t, sim.view().Voters, 5, "seed %d", seed)
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
	require.Positive(t, promoted, "no leaving standby was made a voter")
}

// A member restarts with a disk that is two views old, in the tick in which the head crashes, leaves or is
// partitioned. The member must adopt the current view and join the chain again, and nothing acknowledged may be
// lost.
func TestMemberRestartsTwoViewsBehindAsHeadChanges(t *testing.T) {
	changes := map[string]func(sim *simulation, head *node){
		"crashes":     func(sim *simulation, head *node) { sim.crash(head) },
		"leaves":      func(sim *simulation, head *node) { sim.leave(head, func() {}) },
		"is isolated": func(sim *simulation, head *node) { sim.isolate(head) },
	}
	for change, inject := range changes {
		for seed := range fewerWithRaceDetector(40) {
			scenario := fmt.Sprintf("the head %s, seed %d", change, seed)
			sim := newFiveMembers(t, seed)
			returning := sim.node(sim.view().Chain[1+seed%4].Address)
			sim.crash(returning)
			stored := returning.disk.View.View.Epoch
			for range 2 { // members restart one after the other, each of them leaving and rejoining the chain
				other := sim.node(sim.view().Tail().Address)
				sim.crash(other)
				sim.runUntil(sim.now + 1500*time.Millisecond)
				sim.submitUntilCommitted(t, sim.lastAcked(), sim.lastAcked()+1)
				sim.start(other)
				sim.runUntil(sim.now + sim.catchUpTime)
			}
			require.GreaterOrEqual(t, sim.view().Epoch, stored+2, scenario)
			sim.start(returning)
			head := sim.nodeFor(sim.view().Head())
			inject(sim, head)
			requireProgress(t, sim, 3*time.Second, scenario)
			sim.heal()
			head.partitioned = false
			sim.start(head)
			sim.runUntil(sim.now + leaveTimeout + sim.catchUpTime)
			require.Contains(t, sim.view().Chain, returning.disk.Self, scenario)
			require.Equal(t, sim.view().Epoch, returning.machine.View().Epoch, scenario)
			_, state := returning.machine.Committed()
			require.Equal(t, sim.lastAcked(), state.Document.Revision, scenario)
			requireProgress(t, sim, time.Second, scenario)
		}
	}
}

// retainedOrders is the number of accepted orders whose digests a state retains.
const retainedOrders = 4096

// retryInterval is the interval at which an impatient operator resubmits an order.
const retryInterval = 5 * time.Millisecond

// An order is resubmitted to all members while the state evicts its digest because of further orders. While the
// digest is retained, the order must be acknowledged with the same revision. Afterwards it must be neither
// acknowledged again nor rejected, because its outcome is no longer known.
func TestOrderIsResubmittedWhileItsDigestIsEvicted(t *testing.T) {
	sim := newBootstrapped(t, 1)
	order := sim.newOrder(1, 2, "sent again")
	sim.commitEvery(t, order, retryInterval)
	for sim.lastAcked() < retainedOrders {
		sim.commitEvery(t, sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, "between"), retryInterval)
	}
	resubmit := func() (acknowledged int) {
		before := sim.ackCount(order)
		for range 6 {
			for _, n := range sim.nodes {
				sim.submitAt(n, order)
			}
			sim.runUntil(sim.now + 3*time.Millisecond)
		}
		sim.runUntil(sim.now + confirmationTimeout)
		return sim.ackCount(order) - before
	}
	require.Positive(t, resubmit(), "the digest is still retained")
	evicted := false
	for range 4 { // the second of these orders exceeds the limit
		next := sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, "crossing")
		for _, n := range sim.nodes {
			sim.submitAt(n, next)
			sim.submitAt(n, order)
		}
		acknowledged := resubmit()
		require.False(t, evicted && acknowledged > 0, "acknowledged again after its digest was evicted")
		_, retained := sim.committedState().Accepted(order.Digest())
		evicted = !retained
		require.Contains(t, sim.ackedRevisions, next.Digest())
	}
	require.True(t, evicted)
	for _, n := range sim.nodes {
		sim.crash(n)
		n.compactDisk()
		sim.start(n)
	}
	sim.runUntil(sim.now + sim.catchUpTime)
	require.Zero(t, resubmit(), "after a restart from a snapshot")
	require.Empty(t, sim.violationReport())
	requireProgress(t, sim, 2*time.Second)
}

// committedState returns the latest committed state of all running members.
func (sim *simulation) committedState() *operator.State {
	var latest *operator.State
	for _, n := range sim.nodes {
		if n.up {
			if _, state := n.machine.Committed(); latest == nil || state.Document.Revision > latest.Document.Revision {
				latest = state
			}
		}
	}
	return latest
}
