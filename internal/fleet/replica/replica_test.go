package replica

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// newBootstrapped returns a simulation of three members that have agreed on the first view and committed one
// order.
func newBootstrapped(t *testing.T, seed uint64) *simulation {
	t.Helper()
	const members = 3
	sim := newSimulation(seed, members)
	sim.runUntil(2 * time.Second)
	for _, n := range sim.nodes {
		require.EqualValues(t, 1, n.machine.View().Epoch, n.address)
		require.Len(t, n.machine.View().Chain, members)
	}
	sim.submitUntilCommitted(t, 0, 1)
	return sim
}

func (sim *simulation) nodeFor(member Member) *node { return sim.node(member.Address) }

func (sim *simulation) view() View {
	var latest View
	for _, n := range sim.nodes {
		if n.up && n.machine.View().Epoch > latest.Epoch {
			latest = n.machine.View()
		}
	}
	return latest
}

func TestFoundersAgreeOnOneViewInAnyOrderOfStart(t *testing.T) {
	for seed := range uint64(200) {
		sim := newSimulation(seed, 3)
		sim.runUntil(3 * time.Second)
		require.Empty(t, sim.violationReport(), "seed %d", seed)
		for _, n := range sim.nodes {
			require.EqualValues(t, 1, n.machine.View().Epoch, "seed %d", seed)
		}
	}
}

func TestFounderRestartedDuringBootstrapDoesNotBootstrapTwice(t *testing.T) {
	for seed := range uint64(200) {
		sim := newSimulation(seed, 3)
		victim := sim.nodes[seed%3]
		sim.runUntil(time.Duration(seed*3) * time.Millisecond)
		sim.crash(victim)
		sim.schedule(300*time.Millisecond, func() { sim.start(victim) })
		sim.runUntil(8 * time.Second)
		require.Empty(t, sim.violationReport(), "seed %d", seed)
		require.Len(t, sim.view().Chain, 3, "seed %d", seed)
	}
}

func TestMembersThatAreNotFoundersDoNotBootstrap(t *testing.T) {
	sim := newSimulation(1, 3)
	for _, n := range sim.nodes {
		n.founder = false
	}
	sim.runUntil(10 * time.Second)
	require.EqualValues(t, 0, sim.view().Epoch)
}

func TestMajorityBootstrapsWithoutTheThirdMember(t *testing.T) {
	sim := newSimulation(1, 3)
	lost := sim.nodes[2]
	sim.events = sim.events[:0]
	sim.start(sim.nodes[0])
	sim.start(sim.nodes[1])
	sim.runUntil(5 * time.Second)
	require.Len(t, sim.view().Chain, 2)
	sim.start(lost)
	sim.runUntil(8 * time.Second)
	require.Len(t, sim.view().Chain, 3, "the third member must join after it starts")
	require.Empty(t, sim.violationReport())
}

// newSixMembers returns a simulation of six members of which two may be lost, and additional members that cannot
// vote. Three members are seeds.
func newSixMembers(t *testing.T, seed uint64, outside int) *simulation {
	t.Helper()
	sim := newSimulation(seed, 3)
	sim.maxFailures = 2
	for i := range 3 + outside {
		n := &node{address: fmt.Sprintf("n%d", i), cannotVote: i >= 3}
		sim.nodes = append(sim.nodes, n)
		sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
	}
	sim.runUntil(4 * time.Second)
	require.Len(t, sim.view().Voters, 5, "an even number of voters could be partitioned into halves")
	require.Len(t, sim.view().Chain, 5)
	return sim
}

func TestSixMembersSurviveTheSimultaneousLossOfAnyTwo(t *testing.T) {
	for first := range 6 {
		for second := first + 1; second < 6; second++ {
			sim := newSixMembers(t, uint64(first*6+second), 0)
			sim.submitUntilCommitted(t, 0, 1)
			sim.wipe(sim.nodes[first])
			sim.wipe(sim.nodes[second])
			elapsed := sim.submitUntilCommitted(t, 1, 2)
			require.Less(t, elapsed, 2*time.Second)
			sim.start(sim.nodes[first])
			sim.start(sim.nodes[second])
			sim.runUntil(sim.now + 5*time.Second)
			require.Len(t, sim.view().Chain, 5)
			require.True(t, sim.survivesNextLoss(2), "%v", sim.view())
			require.Empty(t, sim.violationReport())
		}
	}
}

func TestBootstrapWithSeedsThatCannotVote(t *testing.T) {
	for outside := range 4 {
		sim := newSimulation(7, 3)
		for i := range outside {
			sim.nodes[i].cannotVote = true
		}
		for i := range 3 {
			n := &node{address: fmt.Sprintf("n%d", i)}
			sim.nodes = append(sim.nodes, n)
			sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.start(n) })
		}
		sim.runUntil(5 * time.Second)
		require.Len(t, sim.view().Voters, 3)
		for _, n := range sim.nodes {
			require.False(t, n.cannotVote && n.machine.InChain())
			require.EqualValues(t, sim.view().Epoch, n.machine.View().Epoch, "members that cannot vote must know the view too")
		}
		sim.submitUntilCommitted(t, 0, 1)
		require.Empty(t, sim.violationReport())
	}
}

func TestChainWithTooFewReplicasAcceptsNoOrders(t *testing.T) {
	sim := newSixMembers(t, 31, 0)
	for _, n := range sim.nodes[:4] {
		sim.crash(n)
	}
	sim.submit(sim.newOrder(0, 1, "too few"))
	sim.runUntil(sim.now + 10*time.Second)
	require.Empty(t, sim.ackLog)
	for _, n := range sim.nodes[:4] {
		sim.start(n)
	}
	sim.runUntil(sim.now + 4*time.Second)
	sim.submitUntilCommitted(t, 0, 1)
	require.Empty(t, sim.violationReport())
}

func TestOrderIsStoredByWholeChainBeforeAcknowledgement(t *testing.T) {
	sim := newBootstrapped(t, 3)
	sim.submitUntilCommitted(t, 1, 2)
	for _, n := range sim.nodes {
		require.Len(t, n.disk.Entries, 2, n.address)
	}
}

func TestOrdersCommitAfterTheLossOfHeadMiddleOrTail(t *testing.T) {
	for index := range 3 {
		sim := newBootstrapped(t, 5)
		sim.crash(sim.nodeFor(sim.view().Chain[index]))
		elapsed := sim.submitUntilCommitted(t, 1, 2)
		require.Less(t, elapsed, 2*time.Second, "index %d", index)
		require.Len(t, sim.view().Voters, 3, "the lost member must keep its vote")
		require.Empty(t, sim.violationReport())
	}
}

func TestOneOfThreeMembersAcceptsNoOrders(t *testing.T) {
	sim := newBootstrapped(t, 5)
	sim.crash(sim.nodes[1])
	sim.crash(sim.nodes[2])
	sim.submit(sim.newOrder(1, 2, "alone"))
	sim.runUntil(sim.now + 5*time.Second)
	require.Len(t, sim.ackLog, 1)
}

func TestRestartedMemberRejoinsTheChainWithinCatchUpTime(t *testing.T) {
	sim := newBootstrapped(t, 7)
	lost := sim.nodeFor(sim.view().Tail())
	sim.crash(lost)
	sim.submitUntilCommitted(t, 1, 2)
	sim.start(lost)
	sim.runUntil(sim.now + 2*time.Second)
	require.Len(t, sim.view().Chain, 3)
}

func TestWipedMemberRejoinsAsNewMember(t *testing.T) {
	sim := newBootstrapped(t, 9)
	for round := range 6 {
		victim := sim.nodes[round%3]
		before := victim.disk.Self
		sim.submitUntilCommitted(t, int64(round+1), int64(round+2))
		sim.wipe(victim)
		sim.runUntil(sim.now + time.Second)
		sim.start(victim)
		sim.runUntil(sim.now + 4*time.Second)
		require.Len(t, sim.view().Chain, 3, "round %d", round)
		require.NotContains(t, sim.view().Voters, before)
		require.Contains(t, sim.view().Voters, victim.disk.Self)
	}
	require.Empty(t, sim.violationReport())
}

func TestReplacementBecomesVoterInsteadOfFailedMember(t *testing.T) {
	sim := newBootstrapped(t, 11)
	lost := sim.nodes[0]
	sim.crash(lost)
	sim.runUntil(sim.now + 3*time.Second)
	successor := &node{address: "m9"}
	sim.nodes = append(sim.nodes[1:], successor)
	sim.start(successor)
	sim.runUntil(sim.now + 4*time.Second)
	require.Len(t, sim.view().Voters, 3)
	require.Contains(t, sim.view().Chain, successor.disk.Self)
	require.NotContains(t, sim.view().Voters, lost.disk.Self)
	sim.submitUntilCommitted(t, 1, 2)
	require.Empty(t, sim.violationReport())
}

func TestPlannedReplacementIsStandbyFirst(t *testing.T) {
	sim := newBootstrapped(t, 13)
	successor := &node{address: "m9"}
	sim.nodes = append(sim.nodes, successor)
	sim.start(successor)
	sim.runUntil(sim.now + 2*time.Second)
	require.Len(t, sim.view().Voters, 3, "the new member must be a standby, not a fourth voter")
	require.Contains(t, sim.nodes[0].machine.Standby(), successor.disk.Self)
	sim.crash(sim.nodes[1])
	sim.runUntil(sim.now + time.Second)
	require.Len(t, sim.view().Voters, 3)
	require.Contains(t, sim.view().Chain, successor.disk.Self)
	sim.crash(sim.nodes[0])
	sim.submitUntilCommitted(t, 1, 2)
	require.Empty(t, sim.violationReport())
}

func TestAllLosePowerAndOneLosesItsDisk(t *testing.T) {
	for victim := range 3 {
		sim := newBootstrapped(t, 15)
		sim.submitUntilCommitted(t, 1, 2)
		for _, n := range sim.nodes {
			sim.crash(n)
		}
		sim.wipe(sim.nodes[victim])
		sim.runUntil(sim.now + time.Second)
		for _, n := range sim.nodes {
			sim.start(n)
		}
		sim.runUntil(sim.now + 4*time.Second)
		sim.submitUntilCommitted(t, 2, 3)
		require.Len(t, sim.view().Chain, 3)
		require.Empty(t, sim.violationReport())
	}
}

func TestPartitionOfTwoMembersExcludesOneWithoutFlapping(t *testing.T) {
	for _, both := range []bool{true, false} {
		sim := newBootstrapped(t, 17)
		sim.partition(sim.nodes[0], sim.nodes[1], both)
		sim.runUntil(sim.now + 3*time.Second)
		epoch := sim.view().Epoch
		require.Len(t, sim.view().Chain, 2)
		sim.runUntil(sim.now + 20*time.Second)
		require.LessOrEqual(t, sim.view().Epoch, epoch+1)
		sim.submitUntilCommitted(t, 1, 2)
		sim.heal()
		sim.runUntil(sim.now + 4*time.Second)
		require.Len(t, sim.view().Chain, 3)
		require.Empty(t, sim.violationReport())
	}
}

func TestUnfrozenTailServesNoStaleReads(t *testing.T) {
	sim := newBootstrapped(t, 19)
	tail := sim.nodeFor(sim.view().Tail())
	sim.freeze(tail)
	sim.submitUntilCommitted(t, 1, 2)
	require.Zero(t, sim.lastAcked()-2)
	sim.unfreeze(tail)
	sim.checkLease(tail)
	for range 20 {
		sim.read(func(int64) {})
		sim.runUntil(sim.now + 50*time.Millisecond)
	}
	require.Empty(t, sim.violationReport())
}

func TestMemberWithFailingDiskIsRemovedFromChain(t *testing.T) {
	for index := range 3 {
		sim := newBootstrapped(t, 21)
		full := sim.nodeFor(sim.view().Chain[index])
		full.diskFails = true
		require.Less(t, sim.submitUntilCommitted(t, 1, 2), 3*time.Second)
		require.NotContains(t, sim.view().Chain, full.disk.Self)
		full.diskFails = false
		sim.runUntil(sim.now + 3*time.Second)
		require.Contains(t, sim.view().Chain, full.disk.Self)
		sim.submitUntilCommitted(t, 2, 3)
		require.Empty(t, sim.violationReport())
	}
}

func TestPendingOrderIsNotRejectedWhenResubmitted(t *testing.T) {
	sim := newBootstrapped(t, 23)
	head := sim.nodeFor(sim.view().Head())
	order := sim.newOrder(1, 2, "limbo")
	sim.lastID++
	sim.submitted[sim.lastID] = order
	sim.step(head, func() Ready { return head.machine.Submit(sim.now, sim.lastID, order) })
	sim.runUntil(sim.now + 1500*time.Microsecond) // the next member of the chain may have received the entry by now
	sim.crash(head)
	for range 60 {
		sim.submit(order)
		sim.runUntil(sim.now + 100*time.Millisecond)
	}
	require.Contains(t, sim.ackedRevisions, order.Digest())
	require.Empty(t, sim.violationReport())
}

func TestMinChainLengthSharesAMemberWithEveryMajority(t *testing.T) {
	for tolerated := range 4 {
		m := &Machine{config: Config{MaxFailures: tolerated}}
		for voters := 1; voters <= 13; voters++ {
			require.Greater(t, m.minChainLength(voters)+majority(voters), voters)
			require.LessOrEqual(t, m.minChainLength(voters), voters)
		}
	}
}

// All members lose power and restart within 0.3 s. The state must be confirmed soon after the whole chain has
// restarted: the last entry is known to be committed once all members of the chain have reported that they have
// it.
func TestStateIsConfirmedSoonAfterAllRestart(t *testing.T) {
	for seed := range uint64(100) {
		sim := newBootstrapped(t, seed)
		sim.maxDelay = 2 * time.Millisecond
		for _, n := range sim.nodes {
			sim.crash(n)
		}
		sim.runUntil(sim.now + time.Second)
		for i, n := range sim.nodes {
			sim.schedule(time.Duration(i)*100*time.Millisecond, func() { sim.start(n) })
		}
		sim.runUntil(sim.now + 200*time.Millisecond + 3*tickInterval + 10*time.Millisecond)
		for _, n := range sim.nodes {
			require.Positive(t, n.machine.StateConfirmed(), "seed %d, %s", seed, n.address)
		}
		require.Empty(t, sim.violationReport(), "seed %d", seed)
	}
}

// newMemberWithPendingEntry returns a simulation and a member of its chain that has stored an entry sent by the
// head, with the statuses that the other members report once they have the entry too.
func newMemberWithPendingEntry(t *testing.T) (sim *simulation, n *node, others map[Member]Status) {
	t.Helper()
	sim = newBootstrapped(t, 1)
	view := sim.view()
	n = sim.nodeFor(view.Chain[1])
	state, err := n.machine.log.state.Apply(sim.newOrder(1, 2, "next"))
	require.NoError(t, err)
	entry := Entry{Epoch: view.Epoch, Seq: n.machine.log.seq + 1, Order: sim.newOrder(1, 2, "next"), History: state.History()}
	sim.step(n, func() Ready {
		return n.machine.Step(sim.now, Envelope{From: view.Head(), To: n.machine.Self(), Body: Append{Entry: entry}})
	})
	require.True(t, n.machine.log.hasPending())
	others = map[Member]Status{}
	for _, member := range view.Chain {
		if member != n.machine.Self() {
			status := sim.nodeFor(member).machine.Status()
			status.Seq = entry.Seq
			others[member] = status
		}
	}
	return sim, n, others
}

func (sim *simulation) deliverStatuses(n *node, others map[Member]Status) {
	for member, status := range others {
		sim.step(n, func() Ready {
			return n.machine.Step(sim.now, Envelope{From: member, To: n.machine.Self(), Body: HeartbeatReply{Stamp: sim.now, Status: status}})
		})
	}
}

func TestEntryReportedByTheWholeChainIsCommitted(t *testing.T) {
	sim, n, others := newMemberWithPendingEntry(t)
	sim.deliverStatuses(n, others)
	require.False(t, n.machine.log.hasPending())
}

// A member that promises a ballot of the next epoch reports its log with the promise. An entry that it fetches
// afterwards may reach the whole chain without being part of the next view. With heartbeats every 30 ms after a
// start, random history 2578 acknowledged such an entry.
func TestEntryFetchedAfterPromiseIsNotInferredCommitted(t *testing.T) {
	sim, n, others := newMemberWithPendingEntry(t)
	proposer := sim.view().Head()
	sim.step(n, func() Ready {
		prepare := Prepare{Epoch: n.machine.View().Epoch + 1, Ballot: Ballot{Round: 7, Proposer: proposer}}
		return n.machine.Step(sim.now, Envelope{From: proposer, To: n.machine.Self(), Body: prepare})
	})
	sim.deliverStatuses(n, others)
	require.True(t, n.machine.log.hasPending(), "this member has promised a ballot")

	sim, n, others = newMemberWithPendingEntry(t)
	for member, status := range others {
		status.Sealed = true
		others[member] = status
		break
	}
	sim.deliverStatuses(n, others)
	require.True(t, n.machine.log.hasPending(), "another member of the chain has promised a ballot")
}

// A fetch reply that is in flight while the member adopts a view must not add an entry of an earlier epoch beyond
// the base of the view. Such an entry may have the same position as a later one, because a resubmitted order leads
// to the same state. A member that mistook it for the base of the next view would reply that it has stored the
// base, but would not find it on its disk after a restart. This stopped history 4423 of
// TestWorstDaysKeepEveryPromise permanently, and an acknowledged order could have been lost with one disk and a
// power failure of all machines.
func TestFetchedEntryOfEarlierEpochIsRejectedBeyondBase(t *testing.T) {
	self, source := Member{Address: "m0", Incarnation: 1}, Member{Address: "m1", Incarnation: 2}
	view := View{Epoch: 2, Voters: []Member{self, source}, Chain: []Member{source}}
	for _, test := range []struct {
		epoch    uint64
		accepted bool
	}{{1, false}, {2, true}, {3, false}} {
		stored := Stored{Self: self, View: &Proposal{View: view}}
		m, err := New(DefaultConfig(), stored, time.Second)
		require.NoError(t, err)
		order := operator.Order{Method: http.MethodPatch, Body: []byte(`{"Revision":1}`)}
		state, err := operator.NewState().Apply(order)
		require.NoError(t, err)
		entry := Entry{Epoch: test.epoch, Seq: 1, Order: order, History: state.History()}
		m.transfer.inFlight, m.transfer.source = true, source
		out := m.Step(2*time.Second, Envelope{From: source, To: self, Body: FetchReply{Entries: []Entry{entry}}})
		require.Equal(t, test.accepted, m.Status().Seq == 1, "epoch %d", test.epoch)
		for _, record := range out.Records {
			stored.Apply(record)
		}
		restarted, err := New(DefaultConfig(), stored, 3*time.Second)
		require.NoError(t, err)
		require.Equal(t, m.Status().Seq, restarted.Status().Seq, "epoch %d: the log must be the same after a restart", test.epoch)
	}
}

// Guards against a confirmation by a reply to a heartbeat that an earlier start of the process has sent: the reply of a peer that
// stood still may arrive after a restart. The clock starts anew with the process.
func TestReplyToAHeartbeatOfAnEarlierStartConfirmsNothing(t *testing.T) {
	const origin = 1 << 40
	sim := newBootstrapped(t, 1)
	stored := sim.nodeFor(sim.view().Chain[0]).disk
	for name, stamp := range map[string]time.Duration{
		"later on the new clock":          origin + 90*time.Second,
		"earlier on the new clock":        5 * time.Second,
		"of a process without an origin":  20 * time.Second,
		"before the start":                origin - time.Second,
		"the largest":                     math.MaxInt64,
		"sent by this start of a process": origin + 15*time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			config := sim.config()
			config.StampOrigin = origin
			restarted, err := New(config, stored, 10*time.Second)
			require.NoError(t, err)
			restarted.Tick(20 * time.Second)
			for _, member := range sim.view().Voters[1:] {
				status := sim.nodeFor(member).machine.Status()
				restarted.Step(20*time.Second, Envelope{From: member, To: restarted.Self(), Body: HeartbeatReply{Stamp: stamp, Status: status}})
			}
			confirmed := time.Duration(0)
			if name == "sent by this start of a process" {
				confirmed = 15 * time.Second
			}
			require.Equal(t, confirmed, restarted.ViewConfirmed())
		})
	}
}
