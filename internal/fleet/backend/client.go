// Package backend is the data plane's HTTP/1.1 client for the backends, which users call raters. It reuses
// connections and sends one request at a time on each. Its errors state whether the backend may have run the
// request, because the caller must know this before a retry.
package backend

import (
	"context"
	"net/http"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
)

// Client sends requests to backends and reuses connections to them. It is safe for concurrent use.
type Client struct {
	pool   pool
	memory *memory.Budget
}

// NewClient returns a client without connections. The headers and bodies that it holds are reserved from the budget.
func NewClient(budget *memory.Budget) *Client {
	return &Client{pool: pool{idle: map[string][]*connection{}}, memory: budget}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }

// Do sends a request to an address and reads the header of the response, which the caller must close. The
// connection is closed when the context ends, even while the body is being read. All errors are of type *Error. Do
// makes a single attempt.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	conn := c.pool.get(address)
	if conn == nil {
		dialed, err := dial(address, time.Until(dialDeadline(ctx)))
		if err != nil {
			return nil, &Error{NotSent, err}
		}
		conn = dialed
	}
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reservation := c.memory.Reserve()
	response, err := conn.exchange(request, reservation)
	if err != nil {
		stopWatching()
		reservation.Release()
		_ = conn.Close()
		return nil, err
	}
	response.client, response.stopWatching, response.reservation = c, stopWatching, reservation
	if response.Framing == ByConnection && response.Status < http.StatusMultipleChoices {
		response.liveness = watchLiveness(ctx, address)
	}
	return response, nil
}

// dialDeadline returns the context's deadline, or dialTimeout from now if it has none.
func dialDeadline(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(dialTimeout)
}
