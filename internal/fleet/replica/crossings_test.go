package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// newFiveMembers returns a fleet of five members that survives two losses and has committed an order.
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

// A member leaves for good, its successor has just caught up or only begins to, and a third one loses its disk or its power, all in one
// tick. Orders go on being committed, and once the successor has caught up and the third one is back, two further losses are survived.
func TestALeaverAndANewcomerCrossWithALossInOneTick(t *testing.T) {
	losses := map[string]func(sim *simulation, n *node){
		"disk":  func(sim *simulation, n *node) { sim.wipe(n) },
		"power": func(sim *simulation, n *node) { sim.crash(n) },
	}
	for loss, lose := range losses {
		for _, known := range []time.Duration{0, 200 * time.Millisecond, 800 * time.Millisecond, 4500 * time.Millisecond} {
			for seed := range fewerWithRaceDetector(20) {
				about := fmt.Sprintf("%s, newcomer known for %v, seed %d", loss, known, seed)
				sim := newFiveMembers(t, seed)
				order := sim.newOrder(1, 2, "on its way while all this happens")
				leaver, lost := sim.nodes[seed%5], sim.nodes[(seed+1+seed/5%4)%5]
				if known > 0 {
					sim.join("r1", leaver.domain)
					sim.runUntil(sim.now + known)
				}
				sim.submit(order)
				sim.leave(leaver, func() { sim.removeNode(leaver) })
				if known == 0 {
					sim.join("r1", leaver.domain)
				}
				lose(sim, lost)
				for range 40 {
					sim.submit(order)
					sim.runUntil(sim.now + 50*time.Millisecond)
				}
				require.Contains(t, sim.ackedRevisions, order.Digest(), about)
				sim.start(lost)
				requireProgress(t, sim, 2*time.Second, about)
				sim.runUntil(sim.now + leaveTimeout + 2*sim.catchUpTime)
				require.True(t, sim.survivesNextLoss(2), "%s: %v", about, sim.view())
				require.NotContains(t, sim.view().Voters, leaver.disk.Self, about)
				requireProgress(t, sim, time.Second, about)
			}
		}
	}
}

// A voter leaves, and a moment later the standby member leaves that is about to get its vote. It stays until the attempt that gives it
// the vote has ended, and once it has gone no view gives it one: another standby member is there.
func TestAStandbyLeavesWhileItIsGivenAVote(t *testing.T) {
	given := 0
	for seed := range fewerWithRaceDetector(60) {
		sim := newFiveMembers(t, seed)
		leaver := sim.nodes[seed%5]
		sim.join("r1", leaver.domain)
		sim.join("r2", leaver.domain)
		sim.runUntil(sim.now + 4500*time.Millisecond)
		first, second := sim.node("r1"), sim.node("r2")
		require.False(t, first.machine.Released(), "seed %d: it has not announced its departure, and a process reads this before it has", seed)
		sim.leave(leaver, func() { sim.removeNode(leaver) })
		sim.runUntil(sim.now + time.Duration(seed%12)*time.Millisecond)
		gone := false
		sim.leave(first, func() { gone = true; sim.removeNode(first) })
		for range 3000 {
			sim.runUntil(sim.now + time.Millisecond)
			named := slices.Contains(sim.view().Voters, first.disk.Self)
			require.False(t, gone && named, "seed %d at %v: %v", seed, sim.now, sim.view())
			if named {
				given++
			}
		}
		require.True(t, gone, "seed %d", seed)
		require.Contains(t, sim.view().Voters, second.disk.Self, "seed %d", seed)
		require.Len(t, sim.view().Voters, 5, "seed %d", seed)
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
	require.Positive(t, given, "a standby that leaves was given a vote")
}

// A member returns with the disk that it had two views ago, in the tick in which the head dies, leaves or is cut off. It learns the
// present view, what was acknowledged stays, and it is in the chain again.
func TestAMemberReturnsFromTwoViewsAgoAsTheHeadChanges(t *testing.T) {
	changes := map[string]func(sim *simulation, head *node){
		"dies":   func(sim *simulation, head *node) { sim.crash(head) },
		"leaves": func(sim *simulation, head *node) { sim.leave(head, func() {}) },
		"is cut": func(sim *simulation, head *node) { sim.isolate(head) },
	}
	for change, end := range changes {
		for seed := range fewerWithRaceDetector(40) {
			about := fmt.Sprintf("the head %s, seed %d", change, seed)
			sim := newFiveMembers(t, seed)
			returning := sim.node(sim.view().Chain[1+seed%4].Address)
			sim.crash(returning)
			stored := returning.disk.View.View.Epoch
			for range 2 { // members restart one after the other: each is left out of the chain for a while, and then included again
				other := sim.node(sim.view().Tail().Address)
				sim.crash(other)
				sim.runUntil(sim.now + 1500*time.Millisecond)
				sim.submitUntilCommitted(t, sim.lastAcked(), sim.lastAcked()+1)
				sim.start(other)
				sim.runUntil(sim.now + sim.catchUpTime)
			}
			require.GreaterOrEqual(t, sim.view().Epoch, stored+2, about)
			sim.start(returning)
			head := sim.nodeFor(sim.view().Head())
			end(sim, head)
			requireProgress(t, sim, 3*time.Second, about)
			sim.heal()
			head.partitioned = false
			sim.start(head)
			sim.runUntil(sim.now + leaveTimeout + sim.catchUpTime)
			require.Contains(t, sim.view().Chain, returning.disk.Self, about)
			require.Equal(t, sim.view().Epoch, returning.machine.View().Epoch, about)
			_, state := returning.machine.Committed()
			require.Equal(t, sim.lastAcked(), state.Document.Revision, about)
			requireProgress(t, sim, time.Second, about)
		}
	}
}

// rememberedOrders is the number of accepted orders that a state remembers by their digests.
const rememberedOrders = 4096

// retryInterval is the interval at which an operator in a hurry sends an order again.
const retryInterval = 5 * time.Millisecond

// An order is sent again to all members while orders are committed that make the state forget its digest. It is acknowledged as the
// same revision as long as it is remembered, and afterwards neither acknowledged anew nor rejected: nobody can tell any more.
func TestAnOrderIsSentAgainWhileItsDigestIsForgotten(t *testing.T) {
	sim := newBootstrapped(t, 1)
	order := sim.newOrder(1, 2, "sent again")
	sim.commitEvery(t, order, retryInterval)
	for sim.lastAcked() < rememberedOrders {
		sim.commitEvery(t, sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, "between"), retryInterval)
	}
	sendAgain := func() (acknowledged int) {
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
	require.Positive(t, sendAgain(), "it is remembered")
	forgotten := false
	for range 4 { // the second of them is the one too many
		next := sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, "crossing")
		for _, n := range sim.nodes {
			sim.submitAt(n, next)
			sim.submitAt(n, order)
		}
		acknowledged := sendAgain()
		require.False(t, forgotten && acknowledged > 0, "forgotten and acknowledged again")
		_, remembered := sim.committedState().Accepted(order.Digest())
		forgotten = !remembered
		require.Contains(t, sim.ackedRevisions, next.Digest())
	}
	require.True(t, forgotten)
	for _, n := range sim.nodes {
		sim.crash(n)
		n.compactDisk()
		sim.start(n)
	}
	sim.runUntil(sim.now + sim.catchUpTime)
	require.Zero(t, sendAgain(), "after a restart from a snapshot")
	require.Empty(t, sim.violationReport())
	requireProgress(t, sim, 2*time.Second)
}

// committedState returns the committed state of the member that has committed most.
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
