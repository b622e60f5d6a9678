package dispatch

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
)

const epoch = 1.7e12

// logLines records log lines.
type logLines []string

func (w *logLines) Write(b []byte) (int, error) { *w = append(*w, string(b)); return len(b), nil }

func newTestDispatcher(t *testing.T, hosts ...Host) (*Dispatcher, *clock.Manual, *[]string) {
	c, lines := clock.NewManual(epoch), &[]string{}
	p, err := New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond,
			Deadline: 2 * time.Second, Value: 1}},
		Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Rules: decide.Rules{DrainGrace: 500 * time.Millisecond, ColdFrom: 0.2, ColdTime: 20 * time.Second,
			FallMultiple: 3, FallTime: time.Second}}, 1, c,
		slog.New(slog.NewTextHandler((*logLines)(lines), nil)), nil)
	require.NoError(t, err)
	for i := range hosts {
		hosts[i].Zone, hosts[i].Kind, hosts[i].Weight = "z", "k", 1
	}
	p.SetHosts(Full, hosts)
	return p, c, lines
}

func open(p *Dispatcher) *Ticket { return p.Open(Request{Tenant: -1, Deadline: epoch + 900}) }

// Guards against more than one final response, and against attempts that stay open after it.
func TestExactlyOneFinalResponse(t *testing.T) {
	p, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"})
	q := open(p)
	v := q.Next()
	require.Equal(t, Action{Kind: Send, Host: "h", Address: "a:1", Until: epoch + 600}, v)
	q.Report(v.AttemptIndex, Served, "body")
	q.Report(v.AttemptIndex, Failed, nil) // a second report of one attempt is ignored
	q.ClientLeft()
	assert.Equal(t, Action{Kind: Respond, Payload: "body"}, q.Next())
	assert.Equal(t, Action{Kind: Done, Ran: true}, q.Next())
	assert.Empty(t, p.tickets)
}

// Guards against a shutdown that ends with an attempt open and reports that the request never ran: idempotency would let it run again.
func TestFinishReportsWhatMayHaveRun(t *testing.T) {
	p, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"})
	out := open(p)
	require.Equal(t, Send, out.Next().Kind)
	p.Finish()
	assert.Equal(t, Action{Kind: Fail, Ran: true}, out.Next())
	assert.False(t, open(p).Next().Ran, "one that comes after that never ran")
}

// Guards against a retry that is decided at the moment of the shutdown, of the client's leaving or of another attempt's response and
// goes out after it, and against a shutdown that reports a request which was never sent as one that may have run.
func TestNoAttemptAfterTheFinalResponse(t *testing.T) {
	p, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"}, Host{Name: "g", Address: "a:2"})
	finished, gone, served := open(p), open(p), open(p)
	for _, q := range []*Ticket{finished, gone, served} {
		require.Equal(t, Send, q.Next().Kind)
	}
	finished.Report(0, Declined, nil) // a retry is decided
	gone.Report(0, Declined, nil)
	p.update(func(float64) { actions{p}.Send(served.id, served.attempts[0].hostID, 0) })
	served.Report(0, Served, "body")
	assert.Equal(t, Action{Kind: Respond, Payload: "body"}, served.Next())
	assert.Equal(t, Action{Kind: Done, Ran: true}, served.Next())
	gone.ClientLeft()
	assert.Equal(t, Action{Kind: Done}, gone.Next())
	p.Finish()
	assert.Equal(t, Action{Kind: Reject}, finished.Next())
	assert.Equal(t, Action{Kind: Done}, finished.Next())
	assert.Empty(t, p.tickets)
}

// Guards against state kept for a client that has left.
func TestClientLeavingCancelsAttempts(t *testing.T) {
	p, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"})
	q := open(p)
	require.Equal(t, Send, q.Next().Kind)
	q.ClientLeft()
	assert.Equal(t, Cancel, q.Next().Kind)
	q.Report(0, Cancelled, nil)
	assert.Equal(t, Done, q.Next().Kind)
	assert.Empty(t, p.tickets)
}

// Guards against attempts that the rules forbid, should the module ever ask for one.
func TestNoAttemptAtDrainedHosts(t *testing.T) {
	p, c, lines := newTestDispatcher(t, Host{Name: "h", Address: "a:1"}, Host{Name: "g", Address: "a:2"})
	q := open(p)
	first := q.Next()
	p.SetHosts(Delta, []Host{{Name: "h", Zone: "z", Kind: "k", Status: Draining},
		{Name: "g", Zone: "z", Kind: "k", Status: Removed}})
	c.Advance(501)
	for _, name := range []string{"h", "g"} {
		p.update(func(float64) { actions{p}.Send(q.id, p.hostIDs[name], 0) })
	}
	assert.Len(t, *lines, 2)
	q.Report(first.AttemptIndex, Declined, nil)
	assert.Equal(t, Reject, q.Next().Kind, "nothing may have run and no host is left")
	p.update(func(float64) { actions{p}.Send(q.id, p.hostIDs["h"], 0) })
	assert.Equal(t, Done, q.Next().Kind)
}

// Guards against a host in slow start taken for a warm one: discovery and the module must use one clock.
func TestSlowStartLimitsNewHost(t *testing.T) {
	p, _, _ := newTestDispatcher(t, Host{Name: "warm", Address: "w"}, Host{Name: "cold", Address: "c", Since: epoch - 100})
	cold := 0
	for range 100 {
		if v := open(p).Next(); v.Address == "c" {
			cold++
		}
	}
	assert.Zero(t, cold)
}

// Guards against timers that are lost, early, or announced too late.
func TestTickRunsDueTimers(t *testing.T) {
	p, c, _ := newTestDispatcher(t, Host{Name: "h", Address: "a"})
	next := p.Tick()
	require.Greater(t, next, c.Now())
	assert.Equal(t, next, p.Tick(), "nothing is due yet")
	c.Advance(next - c.Now())
	assert.Greater(t, p.Tick(), next)
}

// Guards against one unknown entry making the list unusable, and against two hosts with one id.
func TestUnknownZoneIsIgnoredAndIDsAreUnique(t *testing.T) {
	p, _, lines := newTestDispatcher(t, Host{Name: "h", Address: "a"})
	p.SetHosts(Delta, []Host{{Name: "x", Zone: "nowhere", Kind: "k"}, {Name: "g", Zone: "z", Kind: "k"}})
	assert.Len(t, *lines, 1)
	assert.Len(t, p.hosts, 2)
	p.hosts[p.newID("new")] = &host{}
	id := p.newID("new")
	assert.Nil(t, p.hosts[id])
}

// Guards against memory that grows with every host that joins under a new name and leaves.
func TestRemovedHostsAreDropped(t *testing.T) {
	p, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a"})
	entry := func(name string, status Status) Host { return Host{Name: name, Zone: "z", Kind: "k", Status: status} }
	for _, name := range []string{"x", "y", "z"} {
		p.SetHosts(Delta, []Host{entry(name, Ready)})
		p.SetHosts(Delta, []Host{entry(name, Removed)})
	}
	p.SetHosts(Delta, []Host{entry("w", Ready)})
	p.SetHosts(Full, []Host{entry("v", Ready)})
	assert.Len(t, p.hosts, 1)
	assert.Len(t, p.hostIDs, 1)
}

// Guards against work that may have run being sent again once duplicates are no longer dropped, or at all where it must not be,
// because the connection of the retry came up late; and against counting the time of an attempt that never ran.
func TestRetryWindowIsCheckedBeforeFirstByte(t *testing.T) {
	for _, c := range []struct {
		effect    decide.Effect
		first     Outcome
		late      float64 // after the first send
		permitted bool
	}{{decide.Keyed, Reset, 299, true}, {decide.Keyed, Reset, 300, false}, {decide.Keyed, ConnectFailed, 300, true},
		{decide.Safe, Reset, 300, true}, {decide.Unsafe, ConnectFailed, 300, true}} {
		clk := clock.NewManual(epoch)
		p, err := New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 3},
			Classes: []decide.Class{{Name: "alert", Effect: c.effect, KeyTTL: 300 * time.Millisecond, Target: time.Second, Deadline: 2 * time.Second,
				Value: 1}}}, 1, clk, slog.New(slog.DiscardHandler), nil)
		require.NoError(t, err)
		p.SetHosts(Full, []Host{{Name: "h1", Zone: "z", Kind: "k", Weight: 1}, {Name: "h2", Zone: "z", Kind: "k", Weight: 1}})
		q := p.Open(Request{Tenant: -1, Deadline: epoch + 2000})
		v := q.Next()
		clk.Advance(100)
		_, permitted := q.MaySend(v.Host, v.Address)
		require.True(t, permitted, "the first attempt")
		q.Report(v.AttemptIndex, c.first, nil)
		v = q.Next()
		require.Equal(t, Send, v.Kind)
		clk.Advance(c.late - 100)
		owed, permitted := q.MaySend(v.Host, v.Address)
		assert.True(t, owed)
		assert.Equal(t, c.permitted, permitted, c)
	}
}
