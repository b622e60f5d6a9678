package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/sites"
	"linenwheel.dev/linenwheel/lab/world"
)

// shortDeadline is the time that a request of the class "short" has, in milliseconds.
const shortDeadline = 1000

// play has the clients of a day send one request, as often as they will, to a node that acts as it is told: one line for each
// request that reaches it, in order. It gives the kinds of events that the clients wrote down.
func play(t *testing.T, class string, node ...string) (seen []string) {
	site, err := sites.Load("rating")
	require.NoError(t, err)
	site.Size.Nodes, site.Clients.Retries, site.Clients.Impatient = form.Exactly(1), form.Exactly(1), form.Range{}
	site.Clients.Backoff = form.Millis(1)
	for i := range site.Classes {
		site.Classes[i].Deadline = form.Millis(60e3)
	}
	day, err := world.Draw(site, 1, nil)
	require.NoError(t, err)
	st := stage.New(day)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	steps := make(chan string, len(node))
	for _, s := range node {
		steps <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, st, steps)
		}
	}()
	front := NewFront(st, []string{l.Addr().String()})
	front.nodes[0].taken = true
	c := New(st, front)
	st.Clock.Begin()
	arrivals := day.Arrivals()
	var a world.Arrival
	for sent := 0; sent < 2 && arrivals.Next(&a); {
		if (day.Classes[a.Class].Effect == world.Unsafe) == (class == "keyed") {
			continue
		}
		sent++ // the first one warms a connection up, whatever the class: a busy machine may hold it up for longer than a short time
		if class == "short" && sent == 2 {
			for i := range day.Classes {
				day.Classes[i].Deadline = shortDeadline
			}
		}
		a.At = st.Clock.Now()
		c.open.Add(1)
		c.play(a)
	}
	c.pools[0].closeAll()
	st.Events(func(e record.Event) {
		if e.Number == uint32(a.Number) {
			seen = append(seen, fmt.Sprintf("%v %d", e.Kind, e.How))
		}
	})
	return seen
}

func serve(c net.Conn, st *stage.Stage, steps chan string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil {
			return
		}
		answer := func(status int, more string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: 2\r\n\r\nok", status, more)
		}
		switch step := <-steps; step {
		case "seen and closed": // a rater got it
			var id uint64
			_, _ = fmt.Sscanf(req.Header.Get("Req-Id"), "%x", &id)
			st.Book.Find(id, 0)
			return
		case "closed":
			return
		case "refused":
			answer(503, "Retry-After: 0.001\r\n")
		case "failed":
			answer(502, "")
		case "part":
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal")
			return
		case "garbled":
			_, _ = fmt.Fprint(c, "what is this\r\n\r\n")
			return
		case "twice":
			answer(200, "")
			answer(200, "")
		case "silent":
		case "hints":
			_, _ = fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			answer(200, "")
		default:
			answer(200, "")
		}
	}
}

// TestEnds guards against clients that see another end than the one that came, try again where they must not, or lose sight of a close that
// crossed a request, of a second answer, or of a part of one: the referee's verdicts rest on these events.
func TestEnds(t *testing.T) {
	for _, c := range []struct {
		name, class string
		node, seen  []string
	}{
		{"served", "unsafe", []string{"", ""}, []string{"due 0", "sent 0", "got 0", "settled 0"}},
		{"hints in front", "unsafe", []string{"", "hints"}, []string{"due 0", "sent 0", "got 0", "settled 0"}},
		{"refused, then served", "unsafe", []string{"", "refused", ""}, []string{"due 0", "sent 0", "got 1", "sent 1", "got 0", "settled 0"}},
		{"refused for good", "unsafe", []string{"", "refused", "refused"}, []string{"due 0", "sent 0", "got 1", "sent 1", "got 1", "settled 1"}},
		{"failed", "unsafe", []string{"", "failed"}, []string{"due 0", "sent 0", "got 2", "settled 2"}},
		{"failed, keyed", "keyed", []string{"", "failed", ""}, []string{"due 0", "sent 0", "got 2", "sent 1", "got 0", "settled 0"}},
		{"part of an answer", "unsafe", []string{"", "part"}, []string{"due 0", "sent 0", "unanswered 1", "settled 2"}},
		{"no answer", "unsafe", []string{"", "garbled"}, []string{"due 0", "sent 0", "unanswered 2", "settled 2"}},
		{"its close crossed", "unsafe", []string{"", "closed", ""}, []string{"due 0", "sent 0", "crossed 0", "sent 0", "got 0", "settled 0"}},
		{"its close crossed twice", "unsafe", []string{"", "closed", "closed"}, []string{"due 0", "sent 0", "crossed 0", "sent 0", "unanswered 0", "settled 2"}},
		{"closed, but relayed", "unsafe", []string{"", "seen and closed"}, []string{"due 0", "sent 0", "unanswered 0", "settled 2"}},
		{"its time is up", "short", []string{"", "silent"}, []string{"due 0", "sent 0", "left 0", "settled 4"}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.seen, play(t, c.class, c.node...)) })
	}
	t.Run("answered twice", func(t *testing.T) {
		seen := play(t, "unsafe", "twice", "")
		assert.Contains(t, seen, "settled 0")
	})
}
