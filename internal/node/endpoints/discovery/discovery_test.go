package discovery

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/scenario"
)

// Guards against one unusable entry costing the others, and against lists that are read in part.
func TestDecode(t *testing.T) {
	l, odd, err := Decode([]byte(`{"index":4,"snapshot":true,"endpoints":[
		{"name":"a","address":"127.0.0.1:80","zone":"z","type":"k","group":3,"status":"Ready","weight":1.5,"since_ms":7},
		{"name":"b","status":"Gone"}, {"name":"c","address":"127.0.0.1:80","status":"Odd"},
		{"name":"d","address":"host:80","status":"Ready"}, {"address":"127.0.0.1:80","status":"Ready"},
		{"name":"e","address":"127.0.0.1:80","status":"Ready","since_ms":-1}, {"name":5}, 6]}`))
	require.NoError(t, err)
	assert.Len(t, odd, 6)
	assert.Equal(t, List{Index: 4, Whole: true, Hosts: []dispatch.Host{
		{Name: "a", Address: "127.0.0.1:80", Zone: "z", Kind: "k", Cell: 3, Weight: 1.5, Since: 7},
		{Name: "b", Status: dispatch.Removed}}}, l)
	for _, text := range []string{"", "{x}", "[]", "{}", `{"index":"4"}`, `{"index":1,"endpoints":{}}`} {
		_, _, err := Decode([]byte(text))
		assert.Error(t, err, text)
	}
}

// discardSink ignores all results.
type discardSink struct{}

func (discardSink) Apply(List) error   { return nil }
func (discardSink) Unchanged(List)     {}
func (discardSink) CallFailed(float64) {}

// Guards against nodes that overload the service that holds the list for all of them: by calling in step when they
// start, by requesting the whole list that they have already, by retrying too soon after failures, or by giving up
// a call that waits for its turn there.
func TestCostlyCallsAreSpread(t *testing.T) {
	s := scenario.New(t, "h1")
	l, err := netpoll.Listen("127.0.0.1:0", 1, func(*netpoll.Conn) netpoll.Handler { return nil })
	require.NoError(t, err)
	asked := make(chan struct{})
	w := &Watcher{Address: s.Discovery, Limits: Limits{Fetch: 1000, Wait: 2000, Slack: 1000, FirstPause: 25, LastPause: 1000, Told: 6000},
		Loop: l, Clock: s.Clock, Log: slog.New(slog.DiscardHandler), Sink: discardSink{}, Most: 1 << 20, Spread: 5000, Known: 41,
		Chance: func() float64 { return 0.5 }, First: func() { close(asked) }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; l.Stop() })
	<-asked                     // the node can serve with the list that it has
	until := func(at float64) { // waits until the watcher's timer is set and is the next one due
		require.Eventually(t, func() bool { return s.Clock.Next()-s.Clock.Now() == at }, time.Minute, time.Millisecond)
		s.Clock.Advance(at)
	}
	until(2250)
	const refused = `d send raw "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"`
	for _, pause := range []float64{2500, 3600, 3600, 3600} { // the last pause, with the worst random factor, and a call take 6 s
		s.Run("d expect /discovery/hosts?index=41&wait=1\n" + refused)
		until(pause)
	}
	s.Run(`
		d expect /discovery/hosts?index=41&wait=1
		wait 1400
		d send 42 changes h1:Terminating
		d expect /discovery/hosts?index=42&wait=1900`)
}

// Guards against pauses that go on after the agent on the same machine is back. Its changes count as delivered at
// once and a call costs nothing, so the next call comes within LastPause, however often calls have failed and
// whatever the random factor is.
func TestRecoveredAgentIsCalledWithinLastPause(t *testing.T) {
	s := scenario.New(t, "h1")
	l, err := netpoll.Listen("127.0.0.1:0", 1, func(*netpoll.Conn) netpoll.Handler { return nil })
	require.NoError(t, err)
	w := &Watcher{Address: s.Discovery, Limits: Limits{Fetch: 1000, Wait: 2000, Slack: 1000, FirstPause: 25, LastPause: 150, Told: 6000},
		Loop: l, Clock: s.Clock, Log: slog.New(slog.DiscardHandler), Sink: discardSink{}, Most: 1 << 20, Known: -1,
		Chance: func() float64 { return 1 }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; l.Stop() })
	for _, pause := range []float64{25, 50, 100, 150, 150, 150} {
		s.Run("d expect /discovery/hosts\n d close")
		require.Eventually(t, func() bool { return s.Clock.Next()-s.Clock.Now() == pause }, time.Minute, time.Millisecond)
		s.Clock.Advance(pause)
	}
	s.Run("d expect /discovery/hosts\n d send 1 whole h1:Terminating\n d expect /discovery/hosts?index=1&wait=2000")
}

// Guards against a list that is never accepted because its response has no length and ends with its connection, which
// HTTP/1.1 allows, and against one that was cut short by a reset being taken for complete.
func TestListThatEndsWithItsConnection(t *testing.T) {
	s := scenario.New(t, "h1")
	l, err := netpoll.Listen("127.0.0.1:0", 1, func(*netpoll.Conn) netpoll.Handler { return nil })
	require.NoError(t, err)
	recorded := &recordingSink{}
	w := &Watcher{Address: s.Discovery, Limits: Limits{Fetch: 1000, Wait: 2000, Slack: 1000, FirstPause: 25, LastPause: 25, Told: 6000},
		Loop: l, Clock: s.Clock, Log: slog.New(slog.DiscardHandler), Sink: recorded, Most: 1 << 20, Known: -1}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; l.Stop() })
	const whole = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"index\":5,\"snapshot\":true,\"endpoints\":[{\"name\":\"h1\",` +
		`\"address\":\"127.0.0.1:80\",\"status\":\"Ready\"}]}`
	s.Run(`d expect /discovery/hosts
		d send raw "` + whole + `"
		d close`) // a reset
	require.Eventually(t, func() bool { return s.Clock.Next()-s.Clock.Now() == 25 }, time.Minute, time.Millisecond)
	assert.Empty(t, recorded.lists)
	s.Clock.Advance(25)
	s.Run(`d expect /discovery/hosts
		d send raw "` + whole + `"
		d end
		d expect /discovery/hosts?index=5&wait=2000`)
	require.Len(t, recorded.lists, 1)
	assert.Equal(t, "h1", recorded.lists[0].Hosts[0].Name)
}

// recordingSink keeps the lists that it receives.
type recordingSink struct {
	discardSink
	lists []List
}

func (s *recordingSink) Apply(l List) error {
	s.lists = append(s.lists, l)
	return nil
}
