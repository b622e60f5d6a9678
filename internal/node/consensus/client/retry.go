package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
)

const (
	firstPause         = 5 * time.Millisecond // between attempts; doubled after each one
	maxPause           = 200 * time.Millisecond
	immediateRedirects = 2 // redirects to another replica that are followed without a pause
	maxDialDoublings   = 2 // of AttemptTimeout, for connecting when all replicas are slow
)

// call sends a request to one replica after another until one gives a final answer or ctx ends. uncertain reports
// whether an earlier attempt may have proposed the request.
func (c *Client) call(ctx context.Context, request func() protocol.Request) (a protocol.Answer, uncertain bool, err error) {
	last := errNoReplica
	pause := firstPause
	if delay := time.Until(c.notBefore); delay > 0 {
		sleep(ctx, delay)
	}
	for attempt := 0; ; attempt++ {
		if ctx.Err() != nil {
			return a, uncertain, last
		}
		conn, index, err := c.connect(ctx)
		if err != nil {
			last = err
			c.switchFrom(index, "")
		} else {
			attemptCtx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
			a, sent, err := conn.call(attemptCtx, request())
			cancel()
			switch {
			case err != nil:
				last = fmt.Errorf("%s: %w", c.config.Replicas[index].Name, err)
				uncertain = uncertain || sent
				c.drop(conn)
				c.switchFrom(index, "")
			case a.Fault == "":
				return a, uncertain, nil
			case a.Fault == protocol.Rejected:
				return a, uncertain, fmt.Errorf("%w: %s", ErrRefused, a.Text)
			default:
				last = fmt.Errorf("%s: %s", c.config.Replicas[index].Name, a.Text)
				uncertain = uncertain || a.Fault == protocol.RetryLater
				c.switchFrom(index, a.Leader)
				if redirected := a.Fault == protocol.NotLeader || a.Leader != ""; redirected && attempt < immediateRedirects {
					continue
				}
			}
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxPause)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// switchFrom makes the replica with a name the current one, or the next replica if none has that name. It does
// nothing if another request has already switched away from the replica with this index.
func (c *Client) switchFrom(index int, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != index || len(c.config.Replicas) == 0 {
		return
	}
	c.current = (c.current + 1) % len(c.config.Replicas)
	for i, r := range c.config.Replicas {
		if r.Name == name {
			c.current = i
		}
	}
	if c.conn != nil {
		c.conn.closeWhenIdle()
		c.conn = nil
	}
}

// drop closes and forgets a connection that has failed.
func (c *Client) drop(conn *connection) {
	conn.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// connect returns the connection to the current replica and the replica's index. It holds the lock while it
// connects, so that concurrent requests share one connection.
func (c *Client) connect(ctx context.Context) (conn *connection, index int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.config.Replicas) == 0 {
		return nil, c.current, errClosed
	}
	if c.conn != nil && !c.conn.isBroken() {
		return c.conn, c.current, nil
	}
	to := c.config.Replicas[c.current]
	// The timeout doubles after each round in which all replicas have failed.
	timeout := c.config.AttemptTimeout << min(maxDialDoublings, c.failedDials/len(c.config.Replicas))
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, max(time.Millisecond, time.Until(deadline)))
	}
	if c.conn, err = dial(to, &c.config, timeout); err != nil {
		c.failedDials++
		return nil, c.current, fmt.Errorf("%s: %w", to.Name, err)
	}
	c.failedDials = 0
	return c.conn, c.current, nil
}
