package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // makes the random histories reproducible
)

// mutant is a fault that is injected into a member to verify that the check detects it.
type mutant string

const (
	noFault        mutant = ""
	ignoresExpiry  mutant = "it admits calls after its lease has expired"
	longerLease    mutant = "it uses its lease for longer than was granted"
	activatesEarly mutant = "it activates a document when it validates it"
	admitsUnasked  mutant = "it admits calls before its first report"
)

// node is a member in virtual time: it reports, follows orders, and handles calls under the number that it has in
// force.
type node struct {
	name        string
	life        uint64
	number      uint64 // in force
	until       float64
	looked      string
	paused      string
	rejects     bool
	down        bool
	stopped     bool
	partitioned bool // from the replicas, but not from clients
	fresh       bool // it has not sent a report yet
}

// follow follows the order that answers a report sent at the time sent.
func (n *node) follow(o Order, sent, lease float64, injected mutant) {
	n.fresh = false
	if o.Number != n.number {
		n.number, n.until, n.paused, n.looked = o.Number, 0, "", ""
	} else if o.Lease > 0 {
		n.until = sent + o.Lease
		if injected == longerLease {
			n.until += 5 * lease
		}
	}
	switch o.Stage {
	case Validating:
		n.looked = o.Change
		if injected == activatesEarly {
			n.number, n.until = o.Number+1, sent+lease
		}
	case Pausing:
		n.looked, n.paused, n.until = o.Change, o.Change, 0
	default: // the change was rejected, or there is none
		n.paused = ""
	}
}

// admits reports whether the member admits a call now.
func (n *node) admits(now float64, injected mutant) bool {
	ready := now < n.until || injected == ignoresExpiry && !n.fresh && n.paused == "" || injected == admitsUnasked && n.fresh
	return !n.down && !n.stopped && ready
}

// admittedCall is a call that was admitted: under which number, and when it began.
type admittedCall struct {
	number uint64
	at     float64
}

// runHistory runs one random history. It returns the calls in the order in which they began, and the machine.
func runHistory(t *rapid.T, injected mutant) (calls []admittedCall, m *Machine) {
	const lease = 1000.0
	m = New()
	now := 1e6
	nodes, proposed := []*node{}, 0
	for i := range rapid.IntRange(2, 6).Draw(t, "nodes") {
		nodes = append(nodes, &node{name: fmt.Sprint("n", i), life: 1, fresh: true})
	}
	report := func(n *node, lost bool) {
		if n.partitioned {
			return
		}
		sent := now
		now += rapid.Float64Range(0, 15).Draw(t, "there")
		o, err := m.Report(now, Report{Node: n.name, Incarnation: n.life, InForce: n.number, Lease: lease, Validated: n.looked, Paused: n.paused,
			Rejection: map[bool]string{true: "line 1: it does not suit"}[n.rejects && n.looked != ""]})
		require.NoError(t, err)
		now += rapid.Float64Range(0, 15).Draw(t, "back")
		if lost {
			return
		}
		n.follow(o, sent, lease, injected)
	}
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		now += rapid.Float64Range(0, 200).Draw(t, "ms")
		n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
		for _, other := range nodes { // most of them report frequently
			if !other.down && !other.stopped && rapid.IntRange(0, 2).Draw(t, "reports") > 0 {
				report(other, false)
			}
		}
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1, 2, 3:
			if !n.down && !n.stopped {
				report(n, rapid.IntRange(0, 7).Draw(t, "lost") == 0)
			}
		case 4, 5, 6: // a call
			if n.admits(now, injected) {
				calls = append(calls, admittedCall{n.number, now})
			}
		case 7:
			proposed++
			o := m.Propose(now, Proposal{ID: fmt.Sprint("p", proposed), Text: fmt.Sprint("doc ", proposed), Base: m.Number(), By: "x"})
			again := m.Propose(now, Proposal{ID: fmt.Sprint("p", proposed), Text: "another", Base: 99})
			assert.Equal(t, o, again, "proposing it again returns its outcome")
		case 8:
			if rapid.Bool().Draw(t, "cut") {
				n.partitioned = !n.partitioned
			} else {
				n.stopped = !n.stopped
			}
		default: // killed, or restarted without any state
			if n.down = !n.down; !n.down {
				*n = node{name: n.name, life: n.life + 1, fresh: true, rejects: rapid.IntRange(0, 9).Draw(t, "refuses") == 0}
			}
		}
		before := m.Number()
		if rapid.IntRange(0, 5).Draw(t, "image") == 0 { // another leader continues from the image
			text, err := m.Freeze()()
			require.NoError(t, err)
			other := New()
			require.NoError(t, other.Load(text))
			m = other
		}
		assert.Equal(t, before, m.Number())
	}
	return calls, m
}

// numbersNeverDecrease reports whether no call began under a number after a call had begun under a later one.
func numbersNeverDecrease(calls []admittedCall) bool {
	for i := 1; i < len(calls); i++ {
		if calls[i].number < calls[i-1].number {
			return false
		}
	}
	return true
}

// TestNoCallBeginsUnderAnOlderNumber runs random histories of members that report, hang, crash, restart and lose
// answers. It guards against a call that begins under a number after a call has begun under the next number.
func TestNoCallBeginsUnderAnOlderNumber(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		calls, m := runHistory(t, noFault)
		assert.True(t, numbersNeverDecrease(calls), "%v", calls)
		changed += int(m.Number())
	})
	assert.Greater(t, changed, 20, "too few changes were activated for a meaningful test")
}

// TestPlantedFaultsAreCaught guards against a check that detects nothing.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for _, injected := range []mutant{ignoresExpiry, longerLease, activatesEarly, admitsUnasked} {
		caught := false
		for seed := 1; seed < 4000 && !caught; seed++ {
			caught = !numbersNeverDecrease(rapid.Custom(func(t *rapid.T) []admittedCall {
				calls, _ := runHistory(t, injected)
				return calls
			}).Example(seed))
		}
		assert.True(t, caught, injected)
	}
}

// reporter returns a function that sends reports with leases of 1 s to a machine.
func reporter(t *testing.T, m *Machine) func(now float64, r Report) Order {
	t.Helper()
	return func(now float64, r Report) Order {
		r.Incarnation, r.Lease = 1, 1000
		o, err := m.Report(now, r)
		require.NoError(t, err)
		return o
	}
}

// TestRejectedChangesHaveNoEffect guards against a document that one member rejects and others activate, two
// concurrent proposals that both succeed, a change that waits forever, and a rejection without a reason.
func TestRejectedChangesHaveNoEffect(t *testing.T) {
	m := New()
	report := reporter(t, m)
	report(0, Report{Node: "a"})
	report(0, Report{Node: "b"})
	assert.Equal(t, Validating, m.Propose(1, Proposal{ID: "1", Text: "x", By: "ann"}).Stage)
	assert.Contains(t, m.Propose(2, Proposal{ID: "2", Text: "y", By: "bob"}).Reason, "a change of ann is under way")
	report(3, Report{Node: "a", Validated: "1"})
	report(4, Report{Node: "b", Validated: "1", Rejection: "policy:3:1: quota.requests: too much"})
	o, _ := m.Outcome("1")
	assert.Equal(t, Outcome{ID: "1", Stage: Rejected, Reason: "b cannot take it: policy:3:1: quota.requests: too much"}, o)
	assert.Zero(t, m.Number())
	m.Propose(5, Proposal{ID: "3", Text: "z", By: "ann"})
	report(6, Report{Node: "a", Validated: "3"})
	assert.Equal(t, Pausing, report(7, Report{Node: "b", Validated: "3"}).Stage)
	assert.Zero(t, report(8, Report{Node: "a", Validated: "3", Paused: "3"}).Number, "b has not paused")
	assert.Zero(t, report(900, Report{Node: "a", Validated: "3", Paused: "3"}).Lease)
	got := report(1008, Report{Node: "a", Validated: "3", Paused: "3"}) // the lease of b has expired
	assert.Equal(t, uint64(1), got.Number)
	assert.Zero(t, got.Lease, "the member must activate the number first")
	assert.Contains(t, m.Propose(1009, Proposal{ID: "4", Text: "w", Base: 0, By: "bob"}).Reason, "number 1 of ann has come between")
	assert.Equal(t, 1000.0, report(1010, Report{Node: "a", InForce: 1}).Lease)
	m.Propose(1011, Proposal{ID: "5", Text: "v", Base: 1})
	for at := 1100.0; at < 20000; at += 500 { // a is live but never validates
		report(at, Report{Node: "a", InForce: 1})
	}
	o, _ = m.Outcome("5")
	assert.Contains(t, o.Reason, "a has not looked at it in 15 s")
	assert.Contains(t, m.Propose(20001, Proposal{ID: "6", Text: string(make([]byte, MaxDocumentBytes+1)), Base: 1}).Reason, "bytes")
	_, err := m.Report(20002, Report{Node: "c", Incarnation: 1, Lease: MaxLease + 1})
	require.Error(t, err)
}

// TestMemberWithoutLeaseBlocksAChangeUntilDeclaredDead guards against a change that is activated while a member
// that admits calls without a lease is unreachable, and against one that is not activated once that member is
// declared dead.
func TestMemberWithoutLeaseBlocksAChangeUntilDeclaredDead(t *testing.T) {
	m := New()
	report := reporter(t, m)
	report(0, Report{Node: "a"})
	report(0, Report{Node: "g", WithoutLease: true})
	m.Propose(1, Proposal{ID: "1", Text: "x"})
	report(2, Report{Node: "a", Validated: "1"})
	for at := 500.0; at < 14000; at += 500 {
		assert.Equal(t, Validating, report(at, Report{Node: "a", Validated: "1"}).Stage)
	}
	assert.Equal(t, 1, m.RemoveNode(14000, "g"))
	assert.Equal(t, Pausing, report(14001, Report{Node: "a", Validated: "1"}).Stage)
	assert.Equal(t, uint64(1), report(14002, Report{Node: "a", Validated: "1", Paused: "1"}).Number)
}

// TestMemberThatStartsInThePauseIsNotWaitedFor guards against a change that waits for a process whose first report
// arrives during the pause, or that lets such a process handle calls during the pause.
func TestMemberThatStartsInThePauseIsNotWaitedFor(t *testing.T) {
	m := New()
	report := reporter(t, m)
	report(0, Report{Node: "a"})
	m.Propose(1, Proposal{ID: "1", Text: "x"})
	assert.Equal(t, Pausing, report(2, Report{Node: "a", Validated: "1"}).Stage)
	assert.Zero(t, report(3, Report{Node: "b"}).Lease)
	assert.Equal(t, uint64(1), report(4, Report{Node: "a", Validated: "1", Paused: "1"}).Number)
	assert.Equal(t, uint64(1), report(5, Report{Node: "b"}).Number)
}

// TestValidatesThoughActivationFails guards against a member that cannot activate the number in force and
// therefore does not validate the documents that are proposed to replace it: no change could complete while that
// member is live.
func TestValidatesThoughActivationFails(t *testing.T) {
	h := NewLeaseHolder("a", 1, 1000, false)
	assert.Equal(t, Step{Activate: true, Number: 2}, h.ApplyOrder(0, Order{Number: 2, Change: "p", Stage: Validating}))
	assert.Equal(t, h.RetryAfter(), h.RecordActivationFailure(2))
	assert.Equal(t, Step{Look: "p"}, h.ApplyOrder(1, Order{Number: 2, Change: "p", Stage: Validating}))
	assert.Zero(t, h.RecordValidation("p", false, nil))
	assert.Equal(t, "p", h.Report().Validated)
	assert.Equal(t, Step{Activate: true, Number: 2}, h.ApplyOrder(2, Order{Number: 2, Change: "p", Stage: Validating}), "activation of the number in force is retried")
	assert.False(t, h.Admits(3))
}

// TestReportsQuicklyBeforeThePause guards against a pause that lasts as long as the longest interval between
// reports: when only few members have not validated yet, all members must report frequently.
func TestReportsQuicklyBeforeThePause(t *testing.T) {
	h := NewLeaseHolder("a", 1, 1000, false)
	h.RecordValidation("p", false, nil)
	assert.Equal(t, validationInterval, h.ApplyOrder(0, Order{Lease: 1000, Change: "p", Stage: Validating}).Pause)
	assert.Equal(t, pauseInterval, h.ApplyOrder(0, Order{Lease: 1000, Change: "p", Stage: Validating, PauseNear: true}).Pause)
	m := New()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		_, err := m.Report(0, Report{Node: name, Lease: 1000})
		require.NoError(t, err)
	}
	m.Propose(1, Proposal{ID: "p", Text: "x"})
	o, err := m.Report(2, Report{Node: "a", Lease: 1000, Validated: "p"})
	require.NoError(t, err)
	assert.False(t, o.PauseNear)
	o, err = m.Report(2, Report{Node: "b", Lease: 1000, Validated: "p"})
	require.NoError(t, err)
	assert.True(t, o.PauseNear)
}

// TestHintsNeverLetCallsBegin guards against a hint that admits calls, or admits them for longer than the orders
// do; against a hint that does not save the reports whose answers would contain the same information; and against
// a member that reports at once each time it receives the same hint.
func TestHintsNeverLetCallsBegin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now, change := NewLeaseHolder("n", 1, 1000, rapid.Bool().Draw(t, "goes on")), 0.0, rapid.SampledFrom([]string{"", "p", "q"})
		stage, number := rapid.SampledFrom([]Stage{"", Validating, Pausing}), rapid.Uint64Range(0, 2)
		for range 20 {
			now += rapid.Float64Range(0, 400).Draw(t, "time")
			_, _, until := h.InForce()
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				h.ApplyOrder(now, Order{Number: number.Draw(t, "number"), Change: change.Draw(t, "change"), Stage: stage.Draw(t, "stage"), Lease: 1000})
			case 1:
				h.RecordActivation(number.Draw(t, "number"), "")
			case 2:
				h.RecordValidation(change.Draw(t, "change"), false, nil)
			default:
				h.ApplyHint(Progress{number.Draw(t, "number"), "", change.Draw(t, "change"), stage.Draw(t, "stage")})
				_, _, after := h.InForce()
				assert.LessOrEqual(t, after, until)
			}
		}
	})
	h := NewLeaseHolder("n", 1, 1000, false)
	h.ApplyOrder(0, Order{Lease: 1000, Change: "p", Stage: Validating})
	h.RecordValidation("p", false, nil)
	s := h.ApplyOrder(1, Order{Lease: 1000, Change: "p", Stage: Validating})
	assert.Greater(t, s.Wait, 300.0)
	assert.Equal(t, Progress{0, "", "p", Validating}, h.Known())
	assert.Equal(t, Step{Pause: validationInterval}, h.ApplyHint(h.Known()))
	assert.Equal(t, Step{}, h.ApplyHint(Progress{0, "", "q", Pausing}), "the member has not validated that proposal")
	assert.Equal(t, Step{}, h.ApplyHint(Progress{1, "", "", ""}), "the member has not paused")
	assert.True(t, h.Admits(2))
	assert.Equal(t, Step{Paused: true}, h.ApplyHint(Progress{0, "", "p", Pausing}))
	assert.Equal(t, "p", h.Report().Paused)
	assert.False(t, h.Admits(2))
	s = h.ApplyOrder(3, Order{Change: "p", Stage: Pausing})
	assert.Equal(t, Step{Pause: pauseInterval, Wait: 100}, s)
	assert.Equal(t, Step{Pause: pauseInterval}, h.ApplyHint(h.Known()))
	assert.Equal(t, Step{Activate: true, Number: 1, Hash: "x"}, h.ApplyHint(Progress{1, "x", "", ""}))
	assert.False(t, h.Admits(4))
	assert.Equal(t, Step{}, h.ApplyHint(Progress{0, "", "", ""}), "the change was rejected: only an order renews the lease")
}

// TestReportDoesNotScanAllMembers guards against a report that checks every other member: the cost of all reports
// would grow with the square of the size of the fleet.
func TestReportDoesNotScanAllMembers(t *testing.T) {
	machineOf := func(members int) (m *Machine, reportAgain func()) {
		m = New()
		r := Report{Incarnation: 1, Lease: 2000}
		for i := range members {
			r.Node = fmt.Sprint("n", i)
			_, err := m.Report(1e6, r)
			require.NoError(t, err)
		}
		return m, func() {
			_, err := m.Report(1e6+1, r)
			require.NoError(t, err)
		}
	}
	m, reportAgain := machineOf(4000)
	reportAgain()
	assert.Equal(t, 1e6+2000, m.nextExpiry, "until then no member is checked for its expiry")
	require.Equal(t, Validating, m.Propose(1e6+1, Proposal{ID: "a change"}).Stage)
	small, reportToFew := machineOf(4)
	require.Equal(t, Validating, small.Propose(1e6+1, Proposal{ID: "a change"}).Stage)
	assert.LessOrEqual(t, testing.AllocsPerRun(100, reportAgain), testing.AllocsPerRun(100, reportToFew), "while a change is validated")
}

// TestChangeIsRefusedWhenAMemberDoesNotPause guards against calls that stay paused forever because a member that
// admits calls without a lease has validated a change but does not pause: the change must be rejected with the
// name of that member, and the old number must stay in force.
func TestChangeIsRefusedWhenAMemberDoesNotPause(t *testing.T) {
	m := New()
	report := reporter(t, m)
	report(0, Report{Node: "a"})
	report(0, Report{Node: "g", WithoutLease: true})
	m.Propose(1, Proposal{ID: "1", Text: "x"})
	report(2, Report{Node: "g", WithoutLease: true, Validated: "1"})
	assert.Equal(t, Pausing, report(3, Report{Node: "a", Validated: "1"}).Stage)
	for at := 4.0; at < pauseTimeoutMillis; at += 500 {
		o := report(at, Report{Node: "a", Validated: "1", Paused: "1"})
		assert.Equal(t, Pausing, o.Stage)
		assert.Zero(t, o.Lease)
	}
	assert.Equal(t, 1000.0, report(pauseTimeoutMillis+4, Report{Node: "a", Validated: "1", Paused: "1"}).Lease)
	o, _ := m.Outcome("1")
	assert.Equal(t, Rejected, o.Stage)
	assert.Contains(t, o.Reason, "g has not stopped in 10 s: linenwheel policy dead")
	assert.Zero(t, m.Number())
}
