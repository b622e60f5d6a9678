package drive

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/load"
	"linenwheel.dev/linenwheel/lab/load/null"
)

// clients is a closed loop of so many requests. Its lateness is left out of the verdict: a test's machine is busy.
func clients(t *testing.T, clients float64, requests uint64, edit func(*load.Plan)) *load.Plan {
	p := &load.Plan{Closed: true, Stages: []load.Stage{{From: clients, To: clients, Length: 60000}}, Spacing: load.Steady,
		Requests: requests, Connections: 16, Limits: load.Limits{Late: 1e6, Share: 0.5}}
	p.Mix.Classes = []load.Class{{Name: "a", Path: "/a"}, {Name: "b", Path: "/b", Method: "POST", Body: form.Range{Hi: 300}}}
	if edit != nil {
		edit(p)
	}
	require.NoError(t, p.Mix.Complete("test", ""))
	return p
}

// serve runs a server that handles each connection with a number from 1, and gives its address.
func serve(t *testing.T, handle func(n int, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(n, c)
			}()
		}
	}()
	return l.Addr().String()
}

func play(t *testing.T, p *load.Plan, target string) *load.Result {
	r, err := Run(context.Background(), p, Settings{Target: target, Workers: 2, Live: func(load.Interval) {}})
	require.NoError(t, err)
	return r
}

// Guards the whole way: both sides count the same, every byte sent is answered, connections are kept.
func TestCountsAgree(t *testing.T) {
	server, err := null.New(null.Settings{Body: 70000})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }() // until Close
	r := play(t, clients(t, 8, 400, nil), l.Addr().String())
	require.NoError(t, server.Close())
	require.Empty(t, r.Void)
	require.Equal(t, uint64(400), r.Counts.Served)
	require.Equal(t, uint64(400), server.Requests())
	require.Greater(t, r.Counts.BytesIn, uint64(400*70000))
	require.LessOrEqual(t, r.Counts.Opened, uint64(8))
	sum := int64(0)
	for _, class := range r.Classes {
		require.Equal(t, "200", class.Statuses[0].Status)
		sum += class.Statuses[0].Latency.Count
	}
	require.Equal(t, int64(400), sum)
}

// Guards the one repeat that clients owe: a close of a kept connection that crosses a request sends that request, with
// the same id, on a new connection, once; if that closes too, it is a reset.
func TestCrossedCloseIsSentOnceMore(t *testing.T) {
	var second, third atomic.Value
	read := func(c net.Conn) *http.Request {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return &http.Request{Header: http.Header{}}
		}
		return request
	}
	target := serve(t, func(n int, c net.Conn) {
		switch n {
		case 1: // answers once, then reads the next one and closes
			read(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			second.Store(read(c).Header.Get("Req-Id"))
		case 2:
			third.Store(read(c).Header.Get("Req-Id"))
		}
	})
	p := clients(t, 1, 2, func(p *load.Plan) {
		p.Platform, p.Connections = true, 1
		p.Mix.Classes = p.Mix.Classes[:1]
	})
	r := play(t, p, target)
	require.Equal(t, load.Counts{Due: 2, Sent: 2, Resent: 1, Waited: r.Counts.Waited, Served: 1, Failed: 1, Opened: 2,
		BytesIn: r.Counts.BytesIn, BytesOut: r.Counts.BytesOut}, r.Counts)
	require.Equal(t, map[string]uint64{"reset": 1}, r.Classes[0].Errors)
	require.Equal(t, second.Load(), third.Load())
	require.Len(t, second.Load(), 16)
}

// Guards the names of errors: each way in which a server can fail is told as what it is.
func TestErrorsByKind(t *testing.T) {
	for want, handle := range map[string]func(net.Conn){
		"reset":     func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) },
		"garbled":   func(c net.Conn) { _, _ = io.WriteString(c, "220 mail ready\r\n\r\n"); _, _ = io.Copy(io.Discard, c) },
		"timed out": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
		"": func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		target := serve(t, func(_ int, c net.Conn) { handle(c) })
		r := play(t, clients(t, 1, 3, func(p *load.Plan) {
			p.Mix.Classes = p.Mix.Classes[:1]
			p.Mix.Classes[0].Deadline = form.Millis(30)
			if want != "timed out" {
				p.Mix.Classes[0].Deadline = form.Millis(10000)
			}
		}), target)
		if want == "" {
			require.Equal(t, uint64(3), r.Counts.Refused)
			continue
		}
		require.Equal(t, map[string]uint64{want: 3}, r.Classes[0].Errors)
	}
	r := play(t, clients(t, 1, 1, nil), serve(t, nil)[:strings.Index("127.0.0.1:", ":")]+":1")
	require.Equal(t, uint64(1), r.Counts.Failed, "nobody listens on port 1")
}

// Guards the end on a signal: what is out is told as unfinished, what there was is kept, and nothing hangs.
func TestInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	target := serve(t, func(_ int, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		cancel()
		_, _ = io.Copy(io.Discard, c)
	})
	p := clients(t, 1, 0, func(p *load.Plan) { p.Mix.Classes = p.Mix.Classes[:1] })
	r, err := Run(ctx, p, Settings{Target: target, Workers: 1})
	require.NoError(t, err)
	require.True(t, r.Interrupted)
	require.Equal(t, map[string]uint64{"unfinished": 1}, r.Classes[0].Errors)
}
