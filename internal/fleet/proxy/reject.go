package proxy

import (
	"io"
	"math/rand/v2"
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
// http.ErrAbortHandler, so that the client does not mistake the response for a complete one.
func (e *exchange) reject(err error) {
	kind := errkind.KindOf(err)
	e.handler.Metrics.CountRejected(kind)
	if e.stream.headerWritten {
		panic(http.ErrAbortHandler)
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
