// Package backend is the HTTP/1.1 client of the data plane for its backends, which users call raters. It keeps connections, sends
// one request at a time on each, and its errors say whether the backend may have run the request: the caller must know before
// it sends one again.
package backend

import (
	"context"
	"time"
)

// Client sends requests to backends and keeps their connections. It is safe for concurrent use.
type Client struct{ pool pool }

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{pool: pool{idle: map[string][]*connection{}}} }

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }

// Do sends a request to an address and reads the header of its response, which the caller must close. The connection is closed
// when the context ends, also while the body is read. All errors are of type *Error. A request is never sent again here.
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
	response, err := conn.exchange(request)
	if err != nil {
		stopWatching()
		_ = conn.Close()
		return nil, err
	}
	response.client, response.stopWatching = c, stopWatching
	return response, nil
}

// dialDeadline returns the context's deadline, or dialTimeout from now where it has none.
func dialDeadline(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(dialTimeout)
}
