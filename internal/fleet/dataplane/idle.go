package dataplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of clients' idle connections.
const (
	idleTimeoutFactor = 1.25 // on the configured idle timeout, as clients may be slightly late
	idleCheckInterval = time.Second
)

// idleConnections closes client connections that have been idle for longer than the current configuration allows.
// http.Server's IdleTimeout is fixed when the server starts, while the configuration may change as it runs.
type idleConnections struct {
	timeout func() time.Duration // from the current configuration

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConnections(timeout func() time.Duration) *idleConnections {
	return &idleConnections{timeout: timeout, idleSince: map[net.Conn]time.Time{}}
}

// recordState is the server's ConnState hook.
func (i *idleConnections) recordState(connection net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.idleSince[connection] = time.Now()
		return
	}
	delete(i.idleSince, connection)
}

// closeExpired closes the connections that have been idle for too long at the given time.
func (i *idleConnections) closeExpired(now time.Time) {
	timeout := time.Duration(idleTimeoutFactor * float64(i.timeout()))
	i.mu.Lock()
	defer i.mu.Unlock()
	for connection, since := range i.idleSince {
		if now.Sub(since) > timeout {
			_ = connection.Close()
			delete(i.idleSince, connection)
		}
	}
}

// run closes expired connections at every interval until the context ends.
func (i *idleConnections) run(ctx context.Context) {
	every(ctx, idleCheckInterval, i.closeExpired)
}
