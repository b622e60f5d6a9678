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
	d, err := New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond,
			Deadline: 2 * time.Second, Value: 1}},
		Limits: decide.Limits{MaxAttempts: 3, Cancel: true},
		Rules: decide.Rules{DrainGrace: 500 * time.Millisecond, SlowStartFloor: 0.2, SlowStartTime: 20 * time.Second,
			OverloadMultiple: 3, OverloadTime: time.Second}}, 1, c,
		slog.New(slog.NewTextHandler((*logLines)(lines), nil)), nil)
	require.NoError(t, err)
	for i := range hosts {
		hosts[i].Zone, hosts[i].Kind, hosts[i].Weight = "z", "k", 1
	}
	d.SetHosts(Full, hosts)
	return d, c, lines
}

func open(d *Dispatcher) *Ticket { return d.Open(Request{Tenant: -1, Deadline: epoch + 900}) }

// Guards against more than one final response, and against attempts that stay open after it.
func TestExactlyOneFinalResponse(t *testing.T) {
	d, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"})
	ticket := open(d)
	action := ticket.Next()
	require.Equal(t, Action{Kind: Send, Host: "h", Address: "a:1", Until: epoch + 600}, action)
	ticket.Report(action.AttemptIndex, Served, "body")
	ticket.Report(action.AttemptIndex, Failed, nil) // a second report of one attempt is ignored
	ticket.ClientLeft()
	assert.Equal(t, Action{Kind: Respond, Payload: "body"}, ticket.Next())
	assert.Equal(t, Action{Kind: Done, Ran: true}, ticket.Next())
	assert.Empty(t, d.tickets)
}

// Guards against a shutdown that ends while an attempt is open and reports that the request never ran: the
// idempotency layer would let it run again.
func TestFinishReportsWhatMayHaveRun(t *testing.T) {
	d, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"})
	sent := open(d)
	require.Equal(t, Send, sent.Next().Kind)
	d.Finish()
	assert.Equal(t, Action{Kind: Fail, Ran: true}, sent.Next())
	assert.False(t, open(d).Next().Ran, "a request that arrives later never ran")
}

// Guards against a retry that is decided on just before the shutdown, the client's disconnect or the response of
// another attempt, and is sent afterwards; and against a shutdown that reports a request which was never sent as
// one that may have run.
func TestNoAttemptAfterTheFinalResponse(t *testing.T) {
	d, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"}, Host{Name: "g", Address: "a:2"})
	finished, disconnected, served := open(d), open(d), open(d)
	for _, ticket := range []*Ticket{finished, disconnected, served} {
		require.Equal(t, Send, ticket.Next().Kind)
	}
	finished.Report(0, Declined, nil) // a retry is queued
	disconnected.Report(0, Declined, nil)
	d.update(func(float64) { actions{d}.Send(served.id, served.attempts[0].hostID, 0) })
	served.Report(0, Served, "body")
	assert.Equal(t, Action{Kind: Respond, Payload: "body"}, served.Next())
	assert.Equal(t, Action{Kind: Done, Ran: true}, served.Next())
	disconnected.ClientLeft()
	assert.Equal(t, Action{Kind: Done}, disconnected.Next())
	d.Finish()
	assert.Equal(t, Action{Kind: Reject}, finished.Next())
	assert.Equal(t, Action{Kind: Done}, finished.Next())
	assert.Empty(t, d.tickets)
}

// Guards against state that is kept after the client has disconnected.
func TestClientLeavingCancelsAttempts(t *testing.T) {
	d, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a:1"})
	ticket := open(d)
	require.Equal(t, Send, ticket.Next().Kind)
	ticket.ClientLeft()
	assert.Equal(t, Cancel, ticket.Next().Kind)
	ticket.Report(0, Cancelled, nil)
	assert.Equal(t, Done, ticket.Next().Kind)
	assert.Empty(t, d.tickets)
}

// Guards against attempts that the rules forbid, even if the decision module requests one.
func TestNoAttemptAtDrainedHosts(t *testing.T) {
	d, c, lines := newTestDispatcher(t, Host{Name: "h", Address: "a:1"}, Host{Name: "g", Address: "a:2"})
	ticket := open(d)
	first := ticket.Next()
	d.SetHosts(Delta, []Host{{Name: "h", Zone: "z", Kind: "k", Status: Draining},
		{Name: "g", Zone: "z", Kind: "k", Status: Removed}})
	c.Advance(501)
	for _, name := range []string{"h", "g"} {
		d.update(func(float64) { actions{d}.Send(ticket.id, d.hostIDs[name], 0) })
	}
	assert.Len(t, *lines, 2)
	ticket.Report(first.AttemptIndex, Declined, nil)
	assert.Equal(t, Reject, ticket.Next().Kind, "nothing may have run and no host is left")
	d.update(func(float64) { actions{d}.Send(ticket.id, d.hostIDs["h"], 0) })
	assert.Equal(t, Done, ticket.Next().Kind)
}

// Guards against a host in slow start being treated as a warm one: discovery and the decision module must use the
// same clock.
func TestSlowStartLimitsNewHost(t *testing.T) {
	d, _, _ := newTestDispatcher(t, Host{Name: "warm", Address: "w"}, Host{Name: "cold", Address: "c", Since: epoch - 100})
	cold := 0
	for range 100 {
		if action := open(d).Next(); action.Address == "c" {
			cold++
		}
	}
	assert.Zero(t, cold)
}

// Guards against timers that are lost, early, or announced too late.
func TestTickRunsDueTimers(t *testing.T) {
	d, c, _ := newTestDispatcher(t, Host{Name: "h", Address: "a"})
	next := d.Tick()
	require.Greater(t, next, c.Now())
	assert.Equal(t, next, d.Tick(), "nothing is due yet")
	c.Advance(next - c.Now())
	assert.Greater(t, d.Tick(), next)
}

// Guards against one unknown entry making the list unusable, and against two hosts with the same id.
func TestUnknownZoneIsIgnoredAndIDsAreUnique(t *testing.T) {
	d, _, lines := newTestDispatcher(t, Host{Name: "h", Address: "a"})
	d.SetHosts(Delta, []Host{{Name: "x", Zone: "nowhere", Kind: "k"}, {Name: "g", Zone: "z", Kind: "k"}})
	assert.Len(t, *lines, 1)
	assert.Len(t, d.hosts, 2)
	d.hosts[d.newID("new")] = &host{}
	id := d.newID("new")
	assert.Nil(t, d.hosts[id])
}

// Guards against memory that grows with every host that joins under a new name and leaves.
func TestRemovedHostsAreDropped(t *testing.T) {
	d, _, _ := newTestDispatcher(t, Host{Name: "h", Address: "a"})
	entry := func(name string, status Status) Host { return Host{Name: name, Zone: "z", Kind: "k", Status: status} }
	for _, name := range []string{"x", "y", "z"} {
		d.SetHosts(Delta, []Host{entry(name, Ready)})
		d.SetHosts(Delta, []Host{entry(name, Removed)})
	}
	d.SetHosts(Delta, []Host{entry("w", Ready)})
	d.SetHosts(Full, []Host{entry("v", Ready)})
	assert.Len(t, d.hosts, 1)
	assert.Len(t, d.hostIDs, 1)
}

// Guards against a request that may have run being sent again because the connection of its retry was established
// late: after the time in which duplicates are dropped, or at all if the request is unsafe. Also guards against
// counting that time from an attempt that never ran.
func TestRetryWindowIsCheckedBeforeFirstByte(t *testing.T) {
	for _, c := range []struct {
		effect    decide.Effect
		first     Outcome
		late      float64 // after the first send
		permitted bool
	}{{decide.Keyed, Reset, 299, true}, {decide.Keyed, Reset, 300, false}, {decide.Keyed, ConnectFailed, 300, true},
		{decide.Safe, Reset, 300, true}, {decide.Unsafe, ConnectFailed, 300, true}} {
		clk := clock.NewManual(epoch)
		d, err := New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"}, Limits: decide.Limits{MaxAttempts: 3},
			Classes: []decide.Class{{Name: "alert", Effect: c.effect, KeyTTL: 300 * time.Millisecond, Target: time.Second, Deadline: 2 * time.Second,
				Value: 1}}}, 1, clk, slog.New(slog.DiscardHandler), nil)
		require.NoError(t, err)
		d.SetHosts(Full, []Host{{Name: "h1", Zone: "z", Kind: "k", Weight: 1}, {Name: "h2", Zone: "z", Kind: "k", Weight: 1}})
		ticket := d.Open(Request{Tenant: -1, Deadline: epoch + 2000})
		action := ticket.Next()
		clk.Advance(100)
		_, permitted := ticket.MaySend(action.Host, action.Address)
		require.True(t, permitted, "the first attempt")
		ticket.Report(action.AttemptIndex, c.first, nil)
		action = ticket.Next()
		require.Equal(t, Send, action.Kind)
		clk.Advance(c.late - 100)
		owed, permitted := ticket.MaySend(action.Host, action.Address)
		assert.True(t, owed)
		assert.Equal(t, c.permitted, permitted, c)
	}
}
