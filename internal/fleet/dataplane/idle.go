package dataplane

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// The figures of clients' idle connections.
const (
	idleSlack    = 1.25 // lengthens the time after which they are closed, beyond what clients were promised
	idleInterval = time.Second
)

// idleConnections closes the clients' connections that have carried no request for longer than the configuration in force
// allows. The server's own limit is set once at its start, and the configuration may change while it runs.
type idleConnections struct {
	limit func() time.Duration // of the configuration in force

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections(limit func() time.Duration) *idleConnections {
	return &idleConnections{limit: limit, since: map[net.Conn]time.Time{}}
}

// note takes a change of a connection's state.
func (i *idleConnections) note(connection net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[connection] = time.Now()
		return
	}
	delete(i.since, connection)
}

// closeOld closes those that have been idle for too long.
func (i *idleConnections) closeOld(now time.Time) {
	limit := time.Duration(idleSlack * float64(i.limit()))
	i.mu.Lock()
	defer i.mu.Unlock()
	for connection, since := range i.since {
		if now.Sub(since) > limit {
			_ = connection.Close()
			delete(i.since, connection)
		}
	}
}

// run closes old connections from time to time.
func (i *idleConnections) run() {
	for now := range time.Tick(idleInterval) {
		i.closeOld(now)
	}
}
