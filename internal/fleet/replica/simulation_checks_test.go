package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// violationReport returns the first violations, one per line, or an empty string if there are none.
func (sim *simulation) violationReport() string {
	return strings.Join(sim.violations[:min(len(sim.violations), 40)], "\n")
}

// checkView checks that all members have the same view for each epoch.
func (sim *simulation) checkView(n *node) {
	view := n.machine.View()
	if view.Epoch == n.checkedEpoch {
		return
	}
	n.checkedEpoch = view.Epoch
	text := fmt.Sprint(view)
	if previous, known := sim.views[view.Epoch]; known && previous != text {
		sim.reportViolation("epoch %d has two views: %s and %s", view.Epoch, previous, text)
	}
	sim.views[view.Epoch] = text
}

// vote identifies a vote by its member and its epoch.
type vote struct {
	member Member
	epoch  uint64
}

// checkVotes checks that no member promises or accepts a lower ballot for an epoch than it did before, even if it
// has lost stored data.
func (sim *simulation) checkVotes(n *node, messages []Envelope) {
	for _, envelope := range messages {
		switch body := envelope.Body.(type) {
		case Promise:
			sim.checkVote(vote{n.machine.Self(), body.Epoch}, body.Ballot)
		case AcceptReply:
			sim.checkVote(vote{n.machine.Self(), body.Epoch}, body.Ballot)
		}
	}
}

func (sim *simulation) checkVote(on vote, ballot Ballot) {
	if previous := sim.votes[on]; ballot.compare(previous) < 0 {
		sim.reportViolation("%s votes for ballot %d of epoch %d after ballot %d", on.member.Address, ballot.Round, on.epoch, previous.Round)
	}
	sim.votes[on] = MaxBallot(sim.votes[on], ballot)
}

// checkLease checks that a state which a member considers confirmed was the last acknowledged one at the time of
// the confirmation.
func (sim *simulation) checkLease(n *node) {
	confirmed := n.machine.StateConfirmed()
	if confirmed == 0 {
		return
	}
	if sim.faults.leaseUnconfirmed {
		confirmed = sim.now
	}
	_, state := n.machine.Committed()
	for _, ack := range sim.ackLog {
		if ack.at < confirmed && ack.revision > state.Document.Revision {
			sim.reportViolation("%s confirms revision %d as the latest one at %v, but revision %d was acknowledged at %v", n.address,
				state.Document.Revision, confirmed, ack.revision, ack.at)
		}
	}
}

// lostCount returns the number of members that count as lost: those that do not serve, those that have served for
// less than catchUpTime, and those that have left permanently with a vote that no other member could take over so
// far.
func (sim *simulation) lostCount() int {
	lost := 0
	for _, n := range sim.nodes {
		if sim.isLost(n) {
			lost++
		}
	}
	return lost + sim.vacantVotes()
}

// promotionTimeout is the time within which a member without a vote takes over a vacant one.
const promotionTimeout = time.Second

// vacantVotes returns the number of votes held by members that have left permanently. It returns 0 once a member
// that could take over a vote has been available for promotionTimeout. Votes can remain vacant: if two members
// leave at the same time, one standby member replaces only one of them, and the other one may leave with its vote.
func (sim *simulation) vacantVotes() int {
	view := sim.view()
	sim.departed = slices.DeleteFunc(sim.departed, func(m Member) bool { return !slices.Contains(view.Voters, m) })
	spare := slices.ContainsFunc(sim.nodes, func(n *node) bool {
		return !sim.isLost(n) && !n.cannotVote && !n.leaving && !slices.Contains(view.Voters, n.machine.Self())
	})
	if !spare {
		sim.lastWithoutSpareAt = sim.now
	}
	if sim.now-sim.lastWithoutSpareAt > promotionTimeout {
		return 0
	}
	return len(sim.departed)
}

func (sim *simulation) isLost(n *node) bool {
	return !n.cannotVote && (!n.up || n.frozen || n.crashPending || n.diskFails || n.diskFull || n.partitioned || sim.now-n.upSince < sim.catchUpTime)
}

// checkSurvivesNextLoss checks that the fleet survives the next loss: whichever members are lost with their disks,
// a majority of the voters and a complete replica remain.
func (sim *simulation) checkSurvivesNextLoss() {
	if !sim.checkRedundancy || sim.redundancyCheckedAt == sim.now {
		return
	}
	sinceLastCheck := sim.now - sim.redundancyCheckedAt
	sim.redundancyCheckedAt = sim.now
	more := sim.maxFailures - sim.lostCount()
	if more < 0 {
		sim.excessLossAt = sim.now
	}
	recovering := sim.now < sim.slowUntil+sim.catchUpTime || sim.excessLossAt > 0 && sim.now-sim.excessLossAt < recoveryTimeout
	if more < 0 || len(sim.partitions) > 0 || recovering {
		return
	}
	if !sim.survivesNextLoss(more) {
		if sim.unsafeFor += sinceLastCheck; sim.unsafeFor > sinceLastCheck {
			return // already reported
		}
		sim.reportViolation("the loss of %d more members leaves no majority or no replica: view %v", more, sim.view())
	}
}

func (sim *simulation) survivesNextLoss(more int) bool {
	view := sim.view()
	var intact []*node
	for _, n := range sim.nodes {
		if !sim.isLost(n) && !n.cannotVote {
			intact = append(intact, n)
		}
	}
	return sim.survivesAny(view, intact, more)
}

// survivesAny reports whether a view survives the loss of any combination of the given number of intact members.
func (sim *simulation) survivesAny(view View, intact []*node, more int) bool {
	if more == 0 || len(intact) == 0 {
		voters, replicas := 0, 0
		for _, n := range intact {
			if slices.Contains(view.Voters, n.machine.Self()) {
				voters++
			}
			if slices.Contains(view.Chain, n.machine.Self()) {
				replicas++
			}
		}
		return voters >= majority(len(view.Voters)) && replicas > 0
	}
	for i := range intact {
		if !sim.survivesAny(view, slices.Delete(slices.Clone(intact), i, i+1), more-1) {
			return false
		}
	}
	return true
}

// requireProgress requires that an order is committed within a time and that no invariant was violated.
func requireProgress(t *testing.T, sim *simulation, within time.Duration, msgAndArgs ...any) {
	t.Helper()
	elapsed := sim.submitUntilCommitted(t, sim.lastAcked(), sim.lastAcked()+1)
	require.Less(t, elapsed, within, msgAndArgs...)
	require.Empty(t, sim.violationReport(), msgAndArgs...)
}
