package connpool_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/upstream/connpool"
	"linenwheel.dev/linenwheel/internal/node/upstream/httpbackend"
)

// post returns a call with a streamed body: first has been received, the remainder arrives through rest. length is the
// length of the whole body, -1 = chunked.
func post(first string, rest *bodypipe.Pipe, length int) *core.Call {
	return &core.Call{ID: "q", Tenant: -1, Deadline: 1e9, Payload: &http1.Message{Method: []byte("POST"), Target: []byte("/pay/q"),
		Body: []byte(first), Rest: rest, Length: length}}
}

// Guards against the outcome ConnectFailed for a request whose last byte has been sent, while the attempt does not know
// yet that it was the last: the client would be told that a retry is safe.
func TestOutcomeAroundLastByteOfStreamedBody(t *testing.T) {
	const size = 20 << 10
	body := strings.Repeat("x", size)
	for name, c := range map[string]struct {
		received int // bytes of the body
		end      func(b *bench, host net.Conn, off chan struct{})
		want     dispatch.Outcome
	}{
		"reset":                     {size, func(_ *bench, host net.Conn, _ chan struct{}) { reset(t, host) }, dispatch.Reset},
		"cancelled":                 {size, func(_ *bench, _ net.Conn, off chan struct{}) { close(off) }, dispatch.Cancelled},
		"deadline exceeded":         {size, func(b *bench, _ net.Conn, _ chan struct{}) { b.clock.Advance(1e9) }, dispatch.TimedOut},
		"cancelled before the last": {size - 1, func(_ *bench, _ net.Conn, off chan struct{}) { close(off) }, dispatch.NotSent},
		"reset before the last":     {size - 1, func(_ *bench, host net.Conn, _ chan struct{}) { reset(t, host) }, dispatch.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			rest := bodypipe.New(b.budget, func(bool) {}, func() {})
			rest.Put([]byte(body[1:c.received]))
			off := make(chan struct{})
			ended := b.runAttempt(post(body[:1], rest, size), off) // the end of rest has not been signalled
			host := b.accept()
			in := bufio.NewReader(host)
			r, err := http.ReadRequest(in)
			require.NoError(t, err)
			_, err = io.ReadFull(r.Body, make([]byte, c.received))
			require.NoError(t, err)
			c.end(b, host, off)
			assert.Equal(t, c.want, (<-ended).outcome)
		})
	}
}

// reset closes a connection with a TCP reset.
func reset(t *testing.T, c net.Conn) {
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.Close())
}

// Guards against a response that is held back until the backend has accepted the rest of a request that it does not
// want, and against reuse of a connection on which only part of a request was written.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	long := strings.Repeat("y", 100<<10) // is streamed, and fits into a pipe
	for name, c := range map[string]struct {
		length   int // of the request's body
		response string
		want     dispatch.Outcome
	}{
		"declined":          {32 << 20, "503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Declined},
		"declined, chunked": {-1, "503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Declined},
		"long":              {32 << 20, "200 OK\r\nContent-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long, dispatch.Served},
		"long, chunked":     {-1, "200 OK\r\nContent-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long, dispatch.Served},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.protocol = httpbackend.Protocol{Flows: true, Most: 1 << 20}
			consumed := make(chan struct{}, 1)
			rest := bodypipe.New(bodypipe.NewBudget(1), func(on bool) {
				if !on {
					consumed <- struct{}{}
				}
			}, func() {})
			rest.Put(make([]byte, bodypipe.ChunkSize))
			ended := b.runAttempt(post(strings.Repeat("x", 6<<20), rest, c.length), make(chan struct{}))
			host := b.accept()
			_, err := http.ReadRequest(bufio.NewReader(host)) // the head only
			require.NoError(t, err)
			<-consumed // the chunk has left the pipe, but the backend has no room for it
			_, err = host.Write([]byte("HTTP/1.1 " + c.response))
			require.NoError(t, err)
			select {
			case r := <-ended:
				assert.Equal(t, c.want, r.outcome)
			case <-time.After(time.Minute):
				t.Error("no response")
			}
			require.Eventually(t, func() bool { return len(b.pool.Uses()) == 0 }, time.Minute, time.Millisecond, "the connection is closed")
			_, ended = b.attempt("2", nil)
			b.serve(b.accept())
			assert.Equal(t, result{dispatch.Served, "/look/2"}, <-ended)
			assert.Equal(t, map[string]connpool.Use{"h": {Open: 1, Idle: 1}}, b.pool.Uses())
		})
	}
}
