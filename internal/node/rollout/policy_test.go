package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// wrong is a fault that is planted in a member or in the machine, for the check to find.
type wrong string

const (
	sound      wrong = ""
	noLease    wrong = "it goes on when its lease has run out"
	longLease  wrong = "it takes its lease to last longer than was agreed"
	onReceipt  wrong = "it takes a document when it sees it"
	askedLater wrong = "it judges before it has asked"
)

// node is a member in virtual time: it reports, obeys, and judges calls by what it holds.
type node struct {
	name    string
	life    uint64
	holds   uint64
	until   float64
	looked  string
	paused  string
	refuses bool
	down    bool
	stopped bool
	cut     bool // off from the keepers, not from clients
	fresh   bool // it has not asked yet
}

// judged is a call: by which number, and when it began.
type judged struct {
	number uint64
	at     float64
}

// play plays one history, and gives the calls in the order in which they began, and the machine.
func play(t *rapid.T, planted wrong) (calls []judged, m *Machine, proposed int) {
	const lease = 1000.0
	m = New()
	now := 1e6
	nodes := []*node{}
	for i := range rapid.IntRange(2, 6).Draw(t, "nodes") {
		nodes = append(nodes, &node{name: fmt.Sprint("n", i), life: 1, fresh: true})
	}
	report := func(n *node, lost bool) {
		if n.cut {
			return
		}
		t0 := now
		now += rapid.Float64Range(0, 15).Draw(t, "there")
		o, err := m.Report(now, Report{Node: n.name, Life: n.life, Holds: n.holds, Lease: lease, Looked: n.looked, Paused: n.paused,
			Fault: map[bool]string{true: "line 1: it does not suit"}[n.refuses && n.looked != ""]})
		require.NoError(t, err)
		now += rapid.Float64Range(0, 15).Draw(t, "back")
		if lost {
			return
		}
		n.fresh = false
		if o.Number != n.holds {
			n.holds, n.until, n.paused, n.looked = o.Number, 0, "", ""
		} else if o.Lease > 0 {
			n.until = t0 + o.Lease
			if planted == longLease {
				n.until += 5 * lease
			}
		}
		switch o.Stage {
		case Looking:
			n.looked = o.Change
			if planted == onReceipt {
				n.holds, n.until = o.Number+1, t0+lease
			}
		case Pausing:
			n.looked, n.paused, n.until = o.Change, o.Change, 0
		default:
			if n.paused != "" { // the change was given up
				n.paused = ""
			}
		}
	}
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		now += rapid.Float64Range(0, 200).Draw(t, "ms")
		n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
		for _, other := range nodes { // most of them report often
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
			ready := now < n.until || planted == noLease && !n.fresh && n.paused == "" || planted == askedLater && n.fresh
			if !n.down && !n.stopped && ready {
				calls = append(calls, judged{n.holds, now})
			}
		case 7:
			proposed++
			o := m.Propose(now, Proposal{ID: fmt.Sprint("p", proposed), Text: fmt.Sprint("doc ", proposed), Base: m.Number(), By: "x"})
			again := m.Propose(now, Proposal{ID: fmt.Sprint("p", proposed), Text: "another", Base: 99})
			assert.Equal(t, o, again, "asked again, it tells what became of it")
		case 8:
			if rapid.Bool().Draw(t, "cut") {
				n.cut = !n.cut
			} else {
				n.stopped = !n.stopped
			}
		default: // killed, or started again with nothing
			if n.down = !n.down; !n.down {
				*n = node{name: n.name, life: n.life + 1, fresh: true, refuses: rapid.IntRange(0, 9).Draw(t, "refuses") == 0}
			}
		}
		before := m.Number()
		if rapid.IntRange(0, 5).Draw(t, "image") == 0 { // another leader goes on
			text, err := m.Freeze()()
			require.NoError(t, err)
			other := New()
			require.NoError(t, other.Load(text))
			m = other
		}
		assert.Equal(t, before, m.Number())
	}
	return calls, m, proposed
}

// sane tells whether no call began under a number once one had begun under a later one.
func sane(calls []judged) bool {
	for i := 1; i < len(calls); i++ {
		if calls[i].number < calls[i-1].number {
			return false
		}
	}
	return true
}

// Guards against a call that begins under a number once one has begun under the next, over histories of members that report,
// stop, die, come back and lose answers.
func TestEverywhere(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		calls, m, _ := play(t, sound)
		assert.True(t, sane(calls), "%v", calls)
		changed += int(m.Number())
	})
	assert.Greater(t, changed, 20, "hardly anything changed: nothing was tested")
}

// Guards against a check that finds nothing: members with a planted fault are caught.
func TestPlantedFaults(t *testing.T) {
	for _, planted := range []wrong{noLease, longLease, onReceipt, askedLater} {
		caught := false
		for seed := 1; seed < 4000 && !caught; seed++ {
			caught = !sane(rapid.Custom(func(t *rapid.T) []judged {
				calls, _, _ := play(t, planted)
				return calls
			}).Example(seed))
		}
		assert.True(t, caught, planted)
	}
}

// saying has members report to a machine under leases of 1 s.
func saying(t *testing.T, m *Machine) func(now float64, r Report) Order {
	return func(now float64, r Report) Order {
		r.Life, r.Lease = 1, 1000
		o, err := m.Report(now, r)
		require.NoError(t, err)
		return o
	}
}

// Guards against a document that one member cannot take and others do, two operators who both win, a change that waits for ever
// and a refusal that does not say why.
func TestNowhere(t *testing.T) {
	m := New()
	say := saying(t, m)
	say(0, Report{Node: "a"})
	say(0, Report{Node: "b"})
	assert.Equal(t, Looking, m.Propose(1, Proposal{ID: "1", Text: "x", By: "ann"}).Stage)
	assert.Contains(t, m.Propose(2, Proposal{ID: "2", Text: "y", By: "bob"}).Reason, "a change of ann is under way")
	say(3, Report{Node: "a", Looked: "1"})
	say(4, Report{Node: "b", Looked: "1", Fault: "policy:3:1: quota.requests: too much"})
	o, _ := m.Outcome("1")
	assert.Equal(t, Outcome{ID: "1", Stage: Refused, Reason: "b cannot take it: policy:3:1: quota.requests: too much"}, o)
	assert.Zero(t, m.Number())
	m.Propose(5, Proposal{ID: "3", Text: "z", By: "ann"})
	say(6, Report{Node: "a", Looked: "3"})
	assert.Equal(t, Pausing, say(7, Report{Node: "b", Looked: "3"}).Stage)
	assert.Zero(t, say(8, Report{Node: "a", Looked: "3", Paused: "3"}).Number, "b has not stopped")
	assert.Zero(t, say(900, Report{Node: "a", Looked: "3", Paused: "3"}).Lease)
	got := say(1008, Report{Node: "a", Looked: "3", Paused: "3"}) // the lease of b has run out
	assert.Equal(t, uint64(1), got.Number)
	assert.Zero(t, got.Lease, "it must take the number first")
	assert.Contains(t, m.Propose(1009, Proposal{ID: "4", Text: "w", Base: 0, By: "bob"}).Reason, "number 1 of ann has come between")
	assert.Equal(t, 1000.0, say(1010, Report{Node: "a", Holds: 1}).Lease)
	m.Propose(1011, Proposal{ID: "5", Text: "v", Base: 1})
	for at := 1100.0; at < 20000; at += 500 { // a lives and never looks
		say(at, Report{Node: "a", Holds: 1})
	}
	o, _ = m.Outcome("5")
	assert.Contains(t, o.Reason, "a has not looked at it in 15 s")
	assert.Contains(t, m.Propose(20001, Proposal{ID: "6", Text: string(make([]byte, MaxDocumentBytes+1)), Base: 1}).Reason, "bytes")
	_, err := m.Report(20002, Report{Node: "c", Life: 1, Lease: MaxLease + 1})
	require.Error(t, err)
}

// Guards against a change that is agreed, or that makes all the others wait for ever, while a member that goes on without a lease
// is out of reach; once it is declared dead the change is agreed.
func TestGoesOn(t *testing.T) {
	m := New()
	say := saying(t, m)
	say(0, Report{Node: "a"})
	say(0, Report{Node: "g", GoesOn: true})
	m.Propose(1, Proposal{ID: "1", Text: "x"})
	say(2, Report{Node: "a", Looked: "1"})
	for at := 500.0; at < 14000; at += 500 {
		assert.Equal(t, Looking, say(at, Report{Node: "a", Looked: "1"}).Stage)
	}
	assert.Equal(t, 1, m.Dead(14000, "g"))
	assert.Equal(t, Pausing, say(14001, Report{Node: "a", Looked: "1"}).Stage)
	assert.Equal(t, uint64(1), say(14002, Report{Node: "a", Looked: "1", Paused: "1"}).Number)
}

// Guards against a change that waits for a process which says its first word while calls are held, or lets it judge meanwhile.
func TestComesWhileHeld(t *testing.T) {
	m := New()
	say := saying(t, m)
	say(0, Report{Node: "a"})
	m.Propose(1, Proposal{ID: "1", Text: "x"})
	assert.Equal(t, Pausing, say(2, Report{Node: "a", Looked: "1"}).Stage)
	assert.Zero(t, say(3, Report{Node: "b"}).Lease)
	assert.Equal(t, uint64(1), say(4, Report{Node: "a", Looked: "1", Paused: "1"}).Number)
	assert.Equal(t, uint64(1), say(5, Report{Node: "b"}).Number)
}

// Guards against a member that cannot take what holds, and for that looks at no document that is proposed in its place: no change
// could end while it is there.
func TestLooksThoughItCannotTake(t *testing.T) {
	h := NewLeaseHolder("a", 1, 1000, false)
	assert.Equal(t, Step{Activate: true, Number: 2}, h.Obey(0, Order{Number: 2, Change: "p", Stage: Looking}))
	assert.Equal(t, h.RetryAfter(), h.Failed(2))
	assert.Equal(t, Step{Look: "p"}, h.Obey(1, Order{Number: 2, Change: "p", Stage: Looking}))
	assert.Zero(t, h.Saw("p", false, nil))
	assert.Equal(t, "p", h.Report().Looked)
	assert.Equal(t, Step{Activate: true, Number: 2}, h.Obey(2, Order{Number: 2, Change: "p", Stage: Looking}), "what holds is tried again")
	assert.False(t, h.Open(3))
}

// Guards against calls that are held for as long as the slowest report of those who have looked takes: when few have not looked
// yet, all ask quickly.
func TestAsksQuicklyBeforeThePause(t *testing.T) {
	h := NewLeaseHolder("a", 1, 1000, false)
	h.Saw("p", false, nil)
	assert.Equal(t, lookingPause, h.Obey(0, Order{Lease: 1000, Change: "p", Stage: Looking}).Pause)
	assert.Equal(t, pausingPause, h.Obey(0, Order{Lease: 1000, Change: "p", Stage: Looking, Soon: true}).Pause)
	m := New()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		_, err := m.Report(0, Report{Node: name, Lease: 1000})
		require.NoError(t, err)
	}
	m.Propose(1, Proposal{ID: "p", Text: "x"})
	o, err := m.Report(2, Report{Node: "a", Lease: 1000, Looked: "p"})
	require.NoError(t, err)
	assert.False(t, o.Soon)
	o, err = m.Report(2, Report{Node: "b", Lease: 1000, Looked: "p"})
	require.NoError(t, err)
	assert.True(t, o.Soon)
}

// Guards against a hint that lets a call begin, or for longer than reports have; against one that does not save the reports which would
// only hear the same; and against a member that is told nothing new again and again and reports each time at once.
func TestHint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now, change := NewLeaseHolder("n", 1, 1000, rapid.Bool().Draw(t, "goes on")), 0.0, rapid.SampledFrom([]string{"", "p", "q"})
		stage, number := rapid.SampledFrom([]Stage{"", Looking, Pausing}), rapid.Uint64Range(0, 2)
		for range 20 {
			now += rapid.Float64Range(0, 400).Draw(t, "time")
			_, _, until := h.InForce()
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				h.Obey(now, Order{Number: number.Draw(t, "number"), Change: change.Draw(t, "change"), Stage: stage.Draw(t, "stage"), Lease: 1000})
			case 1:
				h.Activated(number.Draw(t, "number"), "")
			case 2:
				h.Saw(change.Draw(t, "change"), false, nil)
			default:
				h.Observe(Progress{number.Draw(t, "number"), "", change.Draw(t, "change"), stage.Draw(t, "stage")})
				_, _, after := h.InForce()
				assert.LessOrEqual(t, after, until)
			}
		}
	})
	h := NewLeaseHolder("n", 1, 1000, false)
	h.Obey(0, Order{Lease: 1000, Change: "p", Stage: Looking})
	h.Saw("p", false, nil)
	s := h.Obey(1, Order{Lease: 1000, Change: "p", Stage: Looking})
	assert.Greater(t, s.Wait, 300.0)
	assert.Equal(t, Progress{0, "", "p", Looking}, h.Known())
	assert.Equal(t, Step{Pause: lookingPause}, h.Observe(h.Known()))
	assert.Equal(t, Step{}, h.Observe(Progress{0, "", "q", Pausing}), "it has not looked at that one")
	assert.Equal(t, Step{}, h.Observe(Progress{1, "", "", ""}), "it has not stopped")
	assert.True(t, h.Open(2))
	assert.Equal(t, Step{Paused: true}, h.Observe(Progress{0, "", "p", Pausing}))
	assert.Equal(t, "p", h.Report().Paused)
	assert.False(t, h.Open(2))
	s = h.Obey(3, Order{Change: "p", Stage: Pausing})
	assert.Equal(t, Step{Pause: pausingPause, Wait: 100}, s)
	assert.Equal(t, Step{Pause: pausingPause}, h.Observe(h.Known()))
	assert.Equal(t, Step{Activate: true, Number: 1, Hash: "x"}, h.Observe(Progress{1, "x", "", ""}))
	assert.False(t, h.Open(4))
	assert.Equal(t, Step{}, h.Observe(Progress{0, "", "", ""}), "it was refused: a report gives the lease")
}

// Guards against a report that costs a look at every other member: a fleet's reports would cost its keepers the square of its size.
func TestReportOfMany(t *testing.T) {
	of := func(members int) (m *Machine, again func()) {
		m = New()
		r := Report{Life: 1, Lease: 2000}
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
	m, again := of(4000)
	again()
	assert.Equal(t, 1e6+2000, m.due, "until then none is looked at for its lease")
	require.Equal(t, Looking, m.Propose(1e6+1, Proposal{ID: "a change"}).Stage)
	small, few := of(4)
	require.Equal(t, Looking, small.Propose(1e6+1, Proposal{ID: "a change"}).Stage)
	assert.LessOrEqual(t, testing.AllocsPerRun(100, again), testing.AllocsPerRun(100, few), "while a change is looked at")
}

// Guards against calls that are held for ever by a member that goes on without a lease, has looked and then does not stop: the change is
// given up, names it, and the number before goes on.
func TestDoesNotStop(t *testing.T) {
	m := New()
	say := saying(t, m)
	say(0, Report{Node: "a"})
	say(0, Report{Node: "g", GoesOn: true})
	m.Propose(1, Proposal{ID: "1", Text: "x"})
	say(2, Report{Node: "g", GoesOn: true, Looked: "1"})
	assert.Equal(t, Pausing, say(3, Report{Node: "a", Looked: "1"}).Stage)
	for at := 4.0; at < pauseLimit; at += 500 {
		o := say(at, Report{Node: "a", Looked: "1", Paused: "1"})
		assert.Equal(t, Pausing, o.Stage)
		assert.Zero(t, o.Lease)
	}
	assert.Equal(t, 1000.0, say(pauseLimit+4, Report{Node: "a", Looked: "1", Paused: "1"}).Lease)
	o, _ := m.Outcome("1")
	assert.Equal(t, Refused, o.Stage)
	assert.Contains(t, o.Reason, "g has not stopped in 10 s: linenwheel policy dead")
	assert.Zero(t, m.Number())
}
