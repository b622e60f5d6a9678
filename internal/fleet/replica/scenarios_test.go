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

// A member that is partitioned from the others for twenty seconds confirms no order, rejection or read, whatever
// its index in the chain. The other members commit orders, and the partitioned member rejoins soon after the
// partition heals.
func TestPartitionedMemberConfirmsNothing(t *testing.T) {
	for index := range 3 {
		sim := newBootstrapped(t, uint64(index))
		isolated := sim.nodeFor(sim.view().Chain[index])
		sim.isolate(isolated)
		sim.runUntil(sim.now + time.Second)
		before := len(sim.ackLog)
		for range 20 {
			for _, base := range []int64{0, sim.lastAcked()} {
				order := sim.newOrder(base, sim.lastAcked()+1, "to the partitioned member")
				sim.submitAt(isolated, order)
			}
			require.EqualValues(t, -1, sim.readAt(isolated, time.Second))
			require.Len(t, sim.ackLog, before)
			require.Less(t, isolated.machine.StateConfirmed(), sim.now-time.Second)
			sim.commitThroughOthers(t, isolated)
			before = len(sim.ackLog)
		}
		sim.heal()
		isolated.partitioned = false
		sim.runUntil(sim.now + sim.catchUpTime)
		require.Contains(t, sim.view().Chain, isolated.machine.Self())
		_, state := isolated.machine.Committed()
		require.Equal(t, sim.lastAcked(), state.Document.Revision)
		require.Empty(t, sim.violationReport())
	}
}

// During a partition into halves, one half has a majority of the odd number of voters and commits orders, and the
// other half confirms nothing. After the partition all members have the same view.
func TestOneHalfCommitsDuringPartition(t *testing.T) {
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
			require.True(t, acked, "%d members, seed %d: the half with a majority must commit orders", members, seed)
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

// A partitioned member misses orders. Then another member loses its disk, the third one is down, and the partition
// heals. The stale member must not confirm a read or commit an order until the third member restarts.
func TestStaleMinorityCommitsAndConfirmsNothing(t *testing.T) {
	for seed := range uint64(40) {
		sim := newBootstrapped(t, seed)
		stale, wiped, down := sim.nodes[seed%3], sim.nodes[(seed+1)%3], sim.nodes[(seed+2)%3]
		sim.isolate(stale)
		sim.runUntil(sim.now + time.Second)
		sim.commitThroughOthers(t, stale)
		sim.commitThroughOthers(t, stale)
		sim.wipe(wiped)
		sim.crash(down)
		sim.heal()
		sim.runUntil(sim.now + 300*time.Millisecond)
		sim.start(wiped)
		old := sim.lastAcked()
		for range 40 {
			sim.submit(sim.newOrder(1, 9, "on what is old"))
			require.EqualValues(t, -1, sim.readAt(stale, 100*time.Millisecond))
		}
		require.Equal(t, old, sim.lastAcked())
		sim.start(down)
		requireProgress(t, sim, 6*time.Second, "seed %d", seed)
		require.Equal(t, old+1, sim.lastAcked())
	}
}

// A member is down while 300 orders are committed, and restarts when the head crashes.
func TestMemberRestartsAfter300OrdersAsHeadCrashes(t *testing.T) {
	for seed := range uint64(6) {
		sim := newBootstrapped(t, seed)
		restarted := sim.nodeFor(sim.view().Tail())
		sim.crash(restarted)
		for range 300 {
			sim.commitQuickly(t)
		}
		head := sim.nodeFor(sim.view().Head())
		sim.start(restarted)
		sim.runUntil(sim.now + time.Duration(sim.rand.IntN(700))*time.Millisecond)
		sim.crash(head)
		requireProgress(t, sim, 3*time.Second, "seed %d", seed)
		require.EqualValues(t, 302, sim.lastAcked())
		require.Contains(t, sim.view().Chain, restarted.disk.Self)
	}
}

// The time that a restarted member or a member with an empty disk needs to catch up does not depend on the number
// of orders that it missed.
func TestCatchUpTimeDoesNotDependOnMissedOrders(t *testing.T) {
	for _, missed := range []int{10, 100, 1000, 5000} {
		for _, wiped := range []bool{false, true} {
			sim := newBootstrapped(t, 3)
			restarted := sim.nodeFor(sim.view().Tail())
			if wiped {
				sim.wipe(restarted)
			} else {
				sim.crash(restarted)
			}
			sim.runUntil(sim.now + time.Second)
			for range missed {
				sim.commitQuickly(t)
			}
			sim.start(restarted)
			began := sim.now
			for !restarted.machine.InChain() || restarted.machine.Log().seq < uint64(missed) {
				sim.runUntil(sim.now + 10*time.Millisecond)
				require.Less(t, sim.now-began, sim.catchUpTime, "%d orders missed, wiped %v", missed, wiped)
			}
			t.Logf("%d orders missed, wiped %v: in the chain and up to date after %v", missed, wiped, sim.now-began)
			require.LessOrEqual(t, restarted.machine.log.entries.Len(), maxEntries)
			require.Empty(t, sim.violationReport())
		}
	}
}

// A partitioned head has stored an order that no other member has. It rejoins after the other members have
// committed another order with the same base, and must discard its own.
func TestPartitionedHeadDiscardsUnreplicatedOrder(t *testing.T) {
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

// The same order is submitted to both halves of a partition, and its acknowledgement is lost. The order is
// resubmitted after two further orders, after the loss of the head, and after a restart from a snapshot, and must
// be acknowledged each time.
func TestResubmittedOrderIsAcknowledgedAgain(t *testing.T) {
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
		resubmit := func(occasion string) {
			acknowledged := sim.ackCount(order)
			for range 60 {
				sim.submit(order)
				sim.runUntil(sim.now + 50*time.Millisecond)
			}
			require.Greater(t, sim.ackCount(order), acknowledged, "%s, seed %d", occasion, seed)
			require.Empty(t, sim.violationReport(), "%s, seed %d", occasion, seed)
		}
		sim.submitUntilCommitted(t, 2, 3)
		sim.submitUntilCommitted(t, 3, 4)
		resubmit("after two further orders")
		sim.wipe(sim.nodeFor(sim.view().Head()))
		resubmit("after the loss of the head")
		for _, n := range sim.nodes {
			sim.start(n)
		}
		sim.runUntil(sim.now + sim.catchUpTime)
		for _, n := range sim.nodes {
			sim.crash(n)
			n.compactDisk()
			sim.start(n)
		}
		resubmit("after a restart from a snapshot")
	}
}

// Two operators submit the same revision with the same base, at two members, in the same millisecond. One replaces
// the document and the other patches it. One order is acknowledged; the other one is rejected or receives no
// reply.
func TestConflictingOrdersAreNotBothAcknowledged(t *testing.T) {
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
			previous := victim.disk.Self
			sim.wipe(victim)
			sim.runUntil(sim.now + 200*time.Millisecond)
			sim.start(victim)
			sim.runUntil(sim.now + sim.catchUpTime)
			require.NotContains(t, sim.view().Voters, previous)
			require.Contains(t, sim.view().Chain, victim.disk.Self, "round %d, seed %d", round, seed)
		}
		sim.wipe(sim.nodes[(seed+1)%3])
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

// The head is suspended for twenty seconds and then handles the messages that arrived meanwhile. It must not
// acknowledge the order among them or confirm a read on the basis of its old view.
func TestUnfrozenHeadHandlesBufferedRequests(t *testing.T) {
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
		require.EqualValues(t, -1, sim.readAt(head, 5*time.Millisecond), "no read may be confirmed before a majority has replied")
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

// A lease starts when the heartbeat is sent whose reply confirms it, however long the reply is in flight. (A lease
// that started at the arrival of the reply would be wrong only if a complete view change overtook the reply; no
// random history shows that.)
func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
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

// Two voters have failed when a standby member has caught up: one permanently, and the other one, which is first
// in the list of voters, temporarily. The voter that has been unreachable the longest must be replaced, and the
// other one must still be a voter when it restarts.
func TestVoterThatFailedFirstIsReplacedFirst(t *testing.T) {
	for seed := range uint64(30) {
		sim := newFiveMembers(t, seed)
		voters := sim.view().Voters
		failed, restarting := sim.nodeOf(voters[4]), sim.nodeOf(voters[0])
		sim.removeNode(failed)
		sim.join("r1", failed.domain)
		standby := sim.nodes[len(sim.nodes)-1]
		sim.isolate(standby)
		sim.runUntil(sim.now + 2*time.Second)
		sim.crash(restarting)
		sim.runUntil(sim.now + time.Second)
		sim.heal()
		standby.partitioned = false
		sim.runUntil(sim.now + 2*time.Second)
		require.Contains(t, sim.view().Voters, standby.machine.Self(), "seed %d: %v", seed, sim.view())
		require.Contains(t, sim.view().Voters, voters[0], "seed %d: %v", seed, sim.view())
		require.NotContains(t, sim.view().Voters, voters[4], "seed %d: %v", seed, sim.view())
		sim.start(restarting)
		sim.runUntil(sim.now + 2*sim.catchUpTime)
		require.True(t, sim.survivesNextLoss(2), "seed %d: %v", seed, sim.view())
		requireProgress(t, sim, 2*time.Second, "seed %d", seed)
	}
}

// nodeOf returns the node of a member, identified by address and incarnation.
func (sim *simulation) nodeOf(member Member) *node {
	return sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.disk.Self == member })]
}
