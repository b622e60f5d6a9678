package raters

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/sites"
	"linenwheel.dev/linenwheel/lab/world"
)

// fleet is a fleet of eight raters and one node, whose work takes hardly any time, with the day's first request entered.
func fleet(t *testing.T, troubles ...world.TroubleSpec) (*stage.Stage, *Fleet, *stage.Request) {
	site, err := sites.Load("rating")
	require.NoError(t, err)
	site.Size.Nodes, site.Size.Raters = form.Exactly(1), form.Exactly(8)
	for i := range site.Classes {
		site.Classes[i].Work, site.Classes[i].Wait = form.Millis(0.1), form.Millis(0.1)
	}
	for i := range site.Kinds {
		site.Kinds[i].Errors = form.Range{}
	}
	day, err := world.Draw(site, 1, troubles)
	require.NoError(t, err)
	st := stage.New(day)
	f, err := Listen(st, func(int, int) string { return "127.0.0.1" })
	require.NoError(t, err)
	t.Cleanup(f.Close)
	st.Clock.Begin()
	for r := range 2 {
		f.Step(world.Step{Do: world.StartRater, Rater: r, Node: -1, Size: 1})
	}
	var a world.Arrival
	require.True(t, day.Arrivals().Next(&a))
	c := day.NewClient(&a)
	try := c.First(day)
	req := st.Book.Try(&a, &try)
	st.Book.Enter(0, req)
	return st, f, req
}

// wire is a node's connection to a rater.
type wire struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, f *Fleet, rater int) *wire {
	c, err := net.Dial("tcp4", f.Address(0, rater))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return &wire{t, c, bufio.NewReader(c)}
}

func (w *wire) send(method, target, id, key string, body []byte) {
	// An error shows in the answer.
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: r\r\nReq-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", method, target, id,
		key, len(body), body)
}

func (w *wire) ask(method, target, id, key string, body []byte) (int, string, error) {
	w.send(method, target, id, key, body)
	answer, err := http.ReadResponse(w.in, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(answer.Body)
	if answer.Header.Get("Srv-Declined") == "1" {
		return -answer.StatusCode, string(text), err
	}
	return answer.StatusCode, string(text), err
}

func kinds(st *stage.Stage) map[record.Kind][]record.Event {
	m := map[record.Kind][]record.Event{}
	st.Events(func(e record.Event) { m[e.Kind] = append(m[e.Kind], e) })
	return m
}

// TestRaterAnswersItsOwn guards against a rater that takes what no client sent, or an answer that could be another's; and against
// probes and unreadable requests that are taken for attempts.
func TestRaterAnswersItsOwn(t *testing.T) {
	st, f, r := fleet(t)
	w := dial(t, f, 0)
	id := stage.ID(r.ID)
	status, one, err := w.ask(r.Method, r.Target, id, r.Key, r.Body)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	_, two, err := w.ask(r.Method, r.Target, id, r.Key, r.Body)
	require.NoError(t, err)
	assert.NotEqual(t, one, two, "each attempt has an answer of its own")
	assert.Contains(t, one, id)
	for _, c := range []struct {
		status int
		target string
		id     string
		body   string
	}{
		{400, r.Target + "&x=1", id, string(r.Body)}, {400, r.Target, id, "other"}, {400, r.Target, stage.ID(r.ID + 1), string(r.Body)},
		{404, r.Target, "", string(r.Body)}, {200, "/alive", "", ""},
	} {
		status, _, err := w.ask(r.Method, c.target, c.id, r.Key, []byte(c.body))
		require.NoError(t, err)
		assert.Equal(t, c.status, status, c)
	}
	_, err = fmt.Fprint(w, "what\r\n\r\n")
	require.NoError(t, err)
	_, err = w.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	f.Close()
	seen := kinds(st)
	require.Len(t, seen[record.Whole], 2)
	assert.Equal(t, r.Digest, seen[record.Whole][0].Value)
	assert.Equal(t, stage.DigestOf([]byte(one)), seen[record.Answered][0].Value)
	assert.Len(t, seen[record.Foreign], 3)
	assert.Len(t, seen[record.Probed], 1)
	assert.Len(t, seen[record.Connected], 1)
}

// TestRaterEnds guards against a rater that drains and takes work, that dies and leaves connections open, and against an attempt whose end
// nobody writes down; and against another that stands at an address and answers for the one before.
func TestRaterEnds(t *testing.T) {
	st, f, r := fleet(t)
	ask := func(w *wire) (int, error) {
		status, _, err := w.ask(r.Method, r.Target, stage.ID(r.ID), r.Key, r.Body)
		return status, err
	}
	w, hung := dial(t, f, 0), dial(t, f, 1)
	f.Step(world.Step{Do: world.Freeze, Rater: 1, Node: -1})
	hung.send(r.Method, r.Target, stage.ID(r.ID), r.Key, r.Body)
	f.waitForAttempt(t, 1)
	f.Step(world.Step{Do: world.DrainRater, Rater: 0, Node: -1})
	status, err := ask(w)
	require.NoError(t, err)
	require.Equal(t, -503, status)
	f.Step(world.Step{Do: world.EndRater, Rater: 0, Node: -1})
	_, err = ask(w)
	require.Error(t, err)
	_, err = net.Dial("tcp4", f.Address(0, 0))
	require.ErrorContains(t, err, "refused")
	f.Step(world.Step{Do: world.StartRater, Rater: 0, Node: -1, Size: 0.2})
	status, err = ask(dial(t, f, 0))
	require.NoError(t, err)
	require.Equal(t, 200, status)

	f.Step(world.Step{Do: world.EndRater, Rater: 1, Node: -1}) // with an attempt in its hands
	_, err = hung.in.ReadByte()
	require.ErrorContains(t, err, "reset")
	f.Close()
	seen := kinds(st)
	require.Len(t, seen[record.Cut], 1)
	assert.Equal(t, []any{int16(1), uint8(record.CutByRater)}, []any{seen[record.Cut][0].Rater, seen[record.Cut][0].How})
	assert.Len(t, seen[record.RaterUp], 3)
	assert.Len(t, seen[record.RaterDown], 2)
}

// waitForAttempt returns once a rater has an attempt in its machine.
func (f *Fleet) waitForAttempt(t *testing.T, rater int) {
	t.Helper()
	h := f.hosts[rater]
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.open) > 0
	}, time.Minute, time.Millisecond)
}

// TestCutDuringTheHandshake guards against a rater's end that is taken for the node's, where the rater ends while an attempt that it has
// read whole still waits for the handshake to be paid; and against such an attempt that reaches the machine after its end.
func TestCutDuringTheHandshake(t *testing.T) {
	for _, cutBy := range []uint8{record.CutByRater, record.CutByNode} {
		st, f, r := fleet(t)
		h := f.hosts[1]
		h.spec.HandshakeTrips = 1e6 // longer than the test
		node, rater := tcpPair(t)
		conn := f.link(h, 0).Wrap(rater)
		s := &session{host: h, conn: conn, in: bufio.NewReader(conn), first: true, life: h.life}
		a := &attempt{session: s, number: st.Number(), id: r.ID, req: r, done: make(chan struct{})}
		goesOn := make(chan bool)
		go func() { goesOn <- s.hand(a, world.Attempt{Tag: uint64(a.number), Request: r.ID, Work: 1}) }()
		if cutBy == record.CutByRater {
			f.Step(world.Step{Do: world.EndRater, Rater: 1, Node: -1})
		} else {
			require.NoError(t, node.Close())
		}
		assert.False(t, <-goesOn)
		s.give(a, world.Attempt{Tag: uint64(a.number), Request: r.ID, Work: 1}) // as the handshake's timer does
		assert.Empty(t, h.open)
		f.Close()
		seen := kinds(st)
		require.Len(t, seen[record.Cut], 1)
		assert.Equal(t, cutBy, seen[record.Cut][0].How)
		assert.Empty(t, seen[record.Ran])
	}
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// TestSpoiltAnswers guards against troubles that do nothing: each kind of spoilt answer must be one that cannot be read, and each surplus
// one must be good at its start.
func TestSpoiltAnswers(t *testing.T) {
	always := func(kind string) world.TroubleSpec {
		return world.TroubleSpec{Kind: kind, At: form.Millis(0.001), Length: form.Millis(3600e3), Share: form.Exactly(1)}
	}
	for _, kind := range []string{world.Spoilt, world.Surplus, world.Resets} {
		st, f, r := fleet(t, always(kind))
		for range 12 {
			w := dial(t, f, 0)
			w.send(r.Method, r.Target, stage.ID(r.ID), r.Key, r.Body)
			if kind != world.Surplus { // some never end: once they have begun, a node too waits for a time only
				_, _ = w.in.Peek(1) // an error shows in the answer
				require.NoError(t, w.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			}
			answer, err := http.ReadResponse(w.in, nil)
			for err == nil && answer.StatusCode < 200 {
				answer, err = http.ReadResponse(w.in, nil)
			}
			var text []byte
			if err == nil {
				text, err = io.ReadAll(io.LimitReader(answer.Body, 1<<20))
			}
			if kind == world.Surplus {
				require.NoError(t, err)
				require.Contains(t, string(text), stage.ID(r.ID))
			} else {
				require.True(t, err != nil || len(text) == 1<<20, "%s gave a good answer: %q", kind, text)
			}
			_ = w.Close()
		}
		f.Close()
		seen := kinds(st)
		switch kind {
		case world.Resets:
			assert.Len(t, seen[record.Cut], 12)
		case world.Spoilt:
			assert.Len(t, seen[record.Answered], 12)
		}
	}
}

// TestCloseWaitsForWhatIsWritten guards against a record that is judged while an answer is still being written down, and against what is
// written down once it is judged.
func TestCloseWaitsForWhatIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Fleet{closed: make(chan struct{})}
		sent, ended, closed := make(chan struct{}), make(chan bool, 1), make(chan struct{}, 1)
		go func() { ended <- f.work(func() {}, func() { <-sent }) }()
		synctest.Wait()
		go func() {
			f.Close()
			closed <- struct{}{}
		}()
		synctest.Wait()
		require.Empty(t, closed, "an answer is still on its way")
		require.False(t, f.work(func() { t.Error("begun after the end") }, func() {}))
		close(sent)
		synctest.Wait()
		require.Len(t, closed, 1)
		require.True(t, <-ended)
	})
}
