package replica

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// A member that is partitioned from the others for twenty seconds confirms, rejects and reads nothing, whatever its index in the
// chain; the others commit orders, and it rejoins soon after.
func TestAMemberThatIsCutOffForTwentySecondsSaysNothing(t *testing.T) {
	for index := range 3 {
		sim := newBootstrapped(t, uint64(index))
		cut := sim.nodeFor(sim.view().Chain[index])
		sim.isolate(cut)
		sim.runUntil(sim.now + time.Second)
		before := len(sim.ackLog)
		for range 20 {
			for _, base := range []int64{0, sim.lastAcked()} {
				order := sim.newOrder(base, sim.lastAcked()+1, "to the partitioned member")
				sim.submitAt(cut, order)
			}
			require.EqualValues(t, -1, sim.readAt(cut, time.Second))
			require.Len(t, sim.ackLog, before)
			require.Less(t, cut.machine.StateConfirmed(), sim.now-time.Second)
			sim.commitThroughOthers(t, cut)
			before = len(sim.ackLog)
		}
		sim.heal()
		cut.partitioned = false
		sim.runUntil(sim.now + sim.catchUpTime)
		require.Contains(t, sim.view().Chain, cut.machine.Self())
		_, state := cut.machine.Committed()
		require.Equal(t, sim.lastAcked(), state.Document.Revision)
		require.Empty(t, sim.violationReport())
	}
}

// After a partition into halves one of them has a majority of the odd number of voters and commits orders, the other one
// confirms nothing; afterwards all have the same view.
func TestHalvesGoOnAsOne(t *testing.T) {
	for _, members := range []int{3, 4, 5, 6, 7, 8} {
		for seed := range uint64(20) {
			sim := newSimulation(seed, 3)
			sim.maxFailures = 1 + members/5
			for i := 3; i < members; i++ {
				n := &node{address: fmt.Sprintf("n%d", i)}
				sim.nodes = append(sim.nodes, n)
				sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
			}
			sim.runUntil(4 * time.Second)
			sim.submitUntilCommitted(t, 0, 1)
			half := sim.nodes[:members/2]
			sim.partitionHalf(half)
			order := sim.newOrder(1, 2, "during the cut")
			acked := false
			for range 40 {
				for _, n := range sim.nodes {
					sim.submitAt(n, order)
				}
				sim.runUntil(sim.now + 50*time.Millisecond)
				_, acked = sim.ackedRevisions[order.Digest()]
				if acked {
					break
				}
			}
			require.True(t, acked, "%d members, seed %d: the half with a majority commits orders", members, seed)
			sim.runUntil(sim.now + 6*time.Second)
			sim.heal()
			sim.runUntil(sim.now + sim.catchUpTime)
			for _, n := range sim.nodes {
				require.Equal(t, sim.view().Epoch, n.machine.View().Epoch, "%d members, seed %d", members, seed)
			}
			requireProgress(t, sim, 2*time.Second, "%d members, seed %d", members, seed)
		}
	}
}

// A minority misses changes; then one of the others loses its disk, the rest are down, and the partition heals.
func TestAMinorityThatMissedChangesLeadsNothing(t *testing.T) {
	for seed := range uint64(40) {
		sim := newBootstrapped(t, seed)
		behind, wiped, dark := sim.nodes[seed%3], sim.nodes[(seed+1)%3], sim.nodes[(seed+2)%3]
		sim.isolate(behind)
		sim.runUntil(sim.now + time.Second)
		sim.commitThroughOthers(t, behind)
		sim.commitThroughOthers(t, behind)
		sim.wipe(wiped)
		sim.crash(dark)
		sim.heal()
		sim.runUntil(sim.now + 300*time.Millisecond)
		sim.start(wiped)
		old := sim.lastAcked()
		for range 40 {
			sim.submit(sim.newOrder(1, 9, "on what is old"))
			require.EqualValues(t, -1, sim.readAt(behind, 100*time.Millisecond))
		}
		require.Equal(t, old, sim.lastAcked())
		sim.start(dark)
		requireProgress(t, sim, 6*time.Second, "seed %d", seed)
		require.Equal(t, old+1, sim.lastAcked())
	}
}

// A member is down while 300 orders are committed, and restarts as the head crashes.
func TestAMemberReturnsAfterThreeHundredChangesAsTheHeadDies(t *testing.T) {
	for seed := range uint64(6) {
		sim := newBootstrapped(t, seed)
		away := sim.nodeFor(sim.view().Tail())
		sim.crash(away)
		for range 300 {
			sim.commitQuickly(t)
		}
		head := sim.nodeFor(sim.view().Head())
		sim.start(away)
		sim.runUntil(sim.now + time.Duration(sim.rand.IntN(700))*time.Millisecond)
		sim.crash(head)
		requireProgress(t, sim, 3*time.Second, "seed %d", seed)
		require.EqualValues(t, 302, sim.lastAcked())
		require.Contains(t, sim.view().Chain, away.disk.Self)
	}
}

// The time that a restarted or empty member takes to catch up does not depend on the number of orders that it missed.
func TestAMemberThatWasAwayCatchesUpWhateverItMissed(t *testing.T) {
	for _, changes := range []int{10, 100, 1000, 5000} {
		for _, wiped := range []bool{false, true} {
			sim := newBootstrapped(t, 3)
			away := sim.nodeFor(sim.view().Tail())
			if wiped {
				sim.wipe(away)
			} else {
				sim.crash(away)
			}
			sim.runUntil(sim.now + time.Second)
			for range changes {
				sim.commitQuickly(t)
			}
			sim.start(away)
			began := sim.now
			for !away.machine.InChain() || away.machine.Log().seq < uint64(changes) {
				sim.runUntil(sim.now + 10*time.Millisecond)
				require.Less(t, sim.now-began, sim.catchUpTime, "%d changes, wiped %v", changes, wiped)
			}
			t.Logf("%d changes, wiped %v: in the chain with everything after %v", changes, wiped, sim.now-began)
			require.LessOrEqual(t, away.machine.log.entries.Len(), maxEntries)
			require.Empty(t, sim.violationReport())
		}
	}
}

// A partitioned head has stored an order that no other member has. It returns after the others committed another order on the
// same base.
func TestPartitionedHeadDiscardsTheOrderThatOnlyItHas(t *testing.T) {
	for seed := range uint64(40) {
		sim := newBootstrapped(t, seed)
		head := sim.nodeFor(sim.view().Head())
		sim.isolate(head)
		lost := sim.newOrder(1, 2, "only the head has it")
		sim.submitAt(head, lost)
		require.EqualValues(t, 2, head.machine.Log().seq)
		sim.runUntil(sim.now + time.Second)
		sim.commitThroughOthers(t, head)
		if seed%2 == 0 {
			sim.crash(head)
			sim.start(head)
		}
		sim.heal()
		sim.runUntil(sim.now + sim.catchUpTime)
		require.NotContains(t, sim.ackedRevisions, lost.Digest(), "seed %d", seed)
		require.Equal(t, sim.nodes[0].machine.Log().lastPosition(), sim.nodes[1].machine.Log().lastPosition())
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

// The same order is submitted to both halves of a partition, its acknowledgement is lost, and it is submitted again later: after
// two further orders, after the head was replaced, after a restart from a snapshot.
func TestAnOrderSentAgainIsAcknowledgedAgainWhateverCameBetween(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(seed, 5)
		sim.maxFailures = 2
		sim.runUntil(3 * time.Second)
		sim.submitUntilCommitted(t, 0, 1)
		order := sim.newOrder(1, 2, "sent again and again")
		sim.partitionHalf(sim.nodes[:2])
		for range 40 {
			for _, n := range sim.nodes {
				sim.submitAt(n, order)
			}
			sim.runUntil(sim.now + 50*time.Millisecond)
		}
		require.Contains(t, sim.ackedRevisions, order.Digest())
		sim.heal()
		sim.runUntil(sim.now + 2*time.Second)
		again := func(about string) {
			answered := sim.ackCount(order)
			for range 60 {
				sim.submit(order)
				sim.runUntil(sim.now + 50*time.Millisecond)
			}
			require.Greater(t, sim.ackCount(order), answered, "%s, seed %d", about, seed)
			require.Empty(t, sim.violationReport(), "%s, seed %d", about, seed)
		}
		sim.submitUntilCommitted(t, 2, 3)
		sim.submitUntilCommitted(t, 3, 4)
		again("after two further orders")
		sim.wipe(sim.nodeFor(sim.view().Head()))
		again("after the loss of the head")
		for _, n := range sim.nodes {
			sim.start(n)
		}
		sim.runUntil(sim.now + sim.catchUpTime)
		for _, n := range sim.nodes {
			sim.crash(n)
			n.compactDisk()
			sim.start(n)
		}
		again("after a restart from a snapshot")
	}
}

// Two operators submit the same revision on the same base, at two members, in the same millisecond; one replaces the document,
// the other patches it. One of them is acknowledged, the other one is rejected or gets no reply.
func TestTwoOperatorsWithOneNumberAreNotBothAcknowledged(t *testing.T) {
	for seed := range uint64(100) {
		sim := newBootstrapped(t, seed)
		patch := sim.newOrder(1, 2, "patch")
		put := operator.Order{Method: http.MethodPut, Base: 1, Body: []byte(`{"Revision":2,"Note":"put"}`)}
		if seed%3 == 0 {
			sim.crash(sim.nodeFor(sim.view().Head()))
		}
		for range 60 {
			first, second := sim.nodes[sim.rand.IntN(3)], sim.nodes[sim.rand.IntN(3)]
			sim.submitAt(first, patch)
			sim.submitAt(second, put)
			sim.runUntil(sim.now + time.Duration(sim.rand.IntN(60))*time.Millisecond)
		}
		_, patched := sim.ackedRevisions[patch.Digest()]
		_, replaced := sim.ackedRevisions[put.Digest()]
		require.NotEqual(t, patched, replaced, "seed %d", seed)
		require.Empty(t, sim.violationReport(), "seed %d", seed)
	}
}

func TestMemberWipedTwiceAtTheSameAddress(t *testing.T) {
	for seed := range uint64(20) {
		sim := newBootstrapped(t, seed)
		victim := sim.nodes[seed%3]
		for round := range 2 {
			was := victim.disk.Self
			sim.wipe(victim)
			sim.runUntil(sim.now + 200*time.Millisecond)
			sim.start(victim)
			sim.runUntil(sim.now + sim.catchUpTime)
			require.NotContains(t, sim.view().Voters, was)
			require.Contains(t, sim.view().Chain, victim.disk.Self, "round %d, seed %d", round, seed)
		}
		sim.wipe(sim.nodes[(seed+1)%3])
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

// The head freezes for twenty seconds and then handles what was sent to it meanwhile.
func TestAFrozenHeadThawsWithRequestsInItsSockets(t *testing.T) {
	for seed := range uint64(20) {
		sim := newBootstrapped(t, seed)
		head := sim.nodeFor(sim.view().Head())
		sim.freeze(head)
		late := sim.newOrder(1, 2, "sent to the frozen head")
		sim.lastID++
		id := sim.lastID
		sim.submitted[id] = late
		sim.step(head, func() Ready { return head.machine.Submit(sim.now, id, late) })
		sim.runUntil(sim.now + time.Second)
		for range 19 {
			sim.commitThroughOthers(t, head)
			sim.runUntil(sim.now + time.Second)
		}
		sim.unfreeze(head)
		require.EqualValues(t, -1, sim.readAt(head, 5*time.Millisecond), "not before a majority has answered")
		sim.runUntil(sim.now + sim.catchUpTime)
		require.NotContains(t, sim.ackedRevisions, late.Digest())
		require.Contains(t, sim.view().Chain, head.machine.Self())
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

func TestOneWayPartitionsEndInAMutuallyReachableChain(t *testing.T) {
	for from := range 3 {
		for to := range 3 {
			if from == to {
				continue
			}
			sim := newBootstrapped(t, uint64(from*3+to))
			sim.partition(sim.nodes[from], sim.nodes[to], false)
			requireProgress(t, sim, 3*time.Second, "%d to %d", from, to)
			sim.runUntil(sim.now + 3*time.Second)
			require.Len(t, sim.view().Chain, 2)
			sim.heal()
			sim.runUntil(sim.now + sim.catchUpTime)
			require.True(t, sim.survivesNextLoss(1))
		}
	}
}

// A lease runs from when the heartbeat was sent whose reply confirms it, however long that was in flight. (Counted from the
// arrival of the reply it would be wrong only where a complete view change overtakes the reply; no random history shows that.)
func TestALeaseRunsFromWhenItsHeartbeatWasSent(t *testing.T) {
	sim := newBootstrapped(t, 3)
	n := sim.nodes[0]
	before := n.machine.ViewConfirmed()
	sent := sim.now
	sim.maxDelay = time.Millisecond
	sim.partitions[[2]string{"m1", "m0"}], sim.partitions[[2]string{"m2", "m0"}] = true, true
	status := sim.nodes[1].machine.Status()
	sim.runUntil(sim.now + 400*time.Millisecond)
	sim.step(n, func() Ready {
		return n.machine.Step(sim.now, Envelope{From: sim.nodes[1].machine.Self(), To: n.machine.Self(), Body: HeartbeatReply{Stamp: sent, Status: status}})
	})
	require.Equal(t, max(before, sent), n.machine.ViewConfirmed())
	require.Less(t, n.machine.ViewConfirmed(), sim.now-300*time.Millisecond)
}

// Two voters have failed when a standby member has caught up: one for good, the other one, which is first in the list, for a moment.
// The vote of the one that has been unreachable for longest is replaced, and the other one has its vote when it is back.
func TestTheVoterThatFailedFirstIsReplacedFirst(t *testing.T) {
	for seed := range uint64(30) {
		sim := newFiveMembers(t, seed)
		voters := sim.view().Voters
		gone, briefly := sim.nodeOf(voters[4]), sim.nodeOf(voters[0])
		sim.removeNode(gone)
		sim.join("r1", gone.domain)
		standby := sim.nodes[len(sim.nodes)-1]
		sim.isolate(standby)
		sim.runUntil(sim.now + 2*time.Second)
		sim.crash(briefly)
		sim.runUntil(sim.now + time.Second)
		sim.heal()
		standby.partitioned = false
		sim.runUntil(sim.now + 2*time.Second)
		require.Contains(t, sim.view().Voters, standby.machine.Self(), "seed %d: %v", seed, sim.view())
		require.Contains(t, sim.view().Voters, voters[0], "seed %d: %v", seed, sim.view())
		require.NotContains(t, sim.view().Voters, voters[4], "seed %d: %v", seed, sim.view())
		sim.start(briefly)
		sim.runUntil(sim.now + 2*sim.catchUpTime)
		require.True(t, sim.survivesNextLoss(2), "seed %d: %v", seed, sim.view())
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

// nodeOf returns the node of a member.
func (sim *simulation) nodeOf(member Member) *node {
	return sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.disk.Self == member })]
}
