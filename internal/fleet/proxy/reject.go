package proxy

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// Parameters of Retry-After.
const (
	minRetryAfter      = 20 * time.Millisecond
	retryDelayFraction = 0.15 // of the route's latency target, added to minRetryAfter
)

// reject ends a request without a complete response from a backend. If a response has begun, it panics with
// http.ErrAbortHandler.
func (e *exchange) reject(err error) {
	kind := errkind.KindOf(err)
	e.handler.Metrics.CountRejected(kind)
	if e.stream.headerWritten {
		e.abort()
	}
	e.refundQuota()
	response := kind.Response()
	header := e.writer.Header()
	if kind == errkind.ShuttingDown {
		header.Set("Connection", "close")
	}
	if response.NotExecuted && header.Get("Retry-After") == "" {
		header.Set("Retry-After", retryAfter(e.retryDelay()))
	}
	if id := e.request.Header.Get(backend.HeaderAttempt); id != "" {
		header.Set(backend.HeaderAttempt, id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	e.writer.WriteHeader(response.Status)
	_, _ = io.WriteString(e.writer, response.Text+"\n")
}

// abort closes the client's connection so that the client does not mistake a response that has begun for a complete
// one, and panics with http.ErrAbortHandler. To an HTTP/1.0 client the end of the connection is the end of a response
// without a length, so its connection is reset.
func (e *exchange) abort() {
	if !e.request.ProtoAtLeast(1, 1) {
		if connection, _, err := http.NewResponseController(e.writer).Hijack(); err == nil {
			resetConnection(connection)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a TCP connection with a reset in place of an orderly end.
func resetConnection(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// retryDelay returns after how long a rejected client should retry: soon enough to meet the latency target, with a
// random factor of 0.5 to 1.5 so that clients do not all retry at the same time.
func (e *exchange) retryDelay() time.Duration {
	delay := minRetryAfter
	if e.route != nil {
		delay += time.Duration(retryDelayFraction * float64(e.route.Target))
	}
	return time.Duration((0.5 + rand.Float64()) * float64(delay))
}

// retryAfter returns the value of a Retry-After header: seconds with three decimals, at least minRetryAfter.
func retryAfter(delay time.Duration) string {
	return strconv.FormatFloat(max(delay, minRetryAfter).Seconds(), 'f', 3, 64)
}
