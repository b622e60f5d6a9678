package dataplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/proxy"
)

// startupAcceptTimeout is how long a node that has just started keeps client connections waiting for its first
// configuration. After that it refuses connections, so that clients use other nodes.
const startupAcceptTimeout = time.Second

// listen listens on the address for clients and returns the listener once there is a configuration. Earlier
// connections wait in the listener's queue; after acceptTimeout the listener is closed until there is a
// configuration. listen returns a nil listener and no error if the context ends first, and the error of another
// server if that fails first.
func (n *Node) listen(ctx context.Context, serveErrors <-chan error, acceptTimeout time.Duration) (net.Listener, error) {
	listener, err := net.Listen("tcp4", n.settings.Front)
	if err != nil {
		return nil, fmt.Errorf("front address: %w", err)
	}
	acceptTimer := time.NewTimer(acceptTimeout)
	defer acceptTimer.Stop()
	for {
		select {
		case <-n.watcher.configured:
			if listener == nil {
				listener, err = net.Listen("tcp4", n.settings.Front)
			}
			if err != nil {
				return nil, fmt.Errorf("front address: %w", err)
			}
			return listener, nil
		case <-acceptTimer.C:
			_ = listener.Close()
			listener = nil
		case <-ctx.Done():
			return nil, nil
		case err := <-serveErrors:
			return nil, err
		}
	}
}

// newServer returns the server for clients. It requires a configuration.
func (n *Node) newServer(idle *idleConnections) *clientServer {
	handler := &proxy.Handler{Config: n, Picker: n.picker, Quotas: n.quotas, Retries: n.retries, Backends: backend.NewClient(n.memory),
		Memory: n.memory, Metrics: n.metrics, Log: n.log, ShouldCloseConnections: n.shouldCloseConnections, TimeUntilAbort: n.timeUntilAbort}
	limits := func() operator.Limits {
		current := n.Table().Limits
		return operator.Limits{HeaderBytes: current.HeaderBytes, HeaderTimeout: current.HeaderTimeout} // the others are looked up when they apply
	}
	return newClientServer(limits, func(limits operator.Limits) *http.Server {
		return &http.Server{Handler: n.countInFlight(handler), ReadHeaderTimeout: 2 * limits.HeaderTimeout, IdleTimeout: -1,
			ConnState: idle.recordState, MaxHeaderBytes: limits.HeaderBytes, ErrorLog: n.log.StandardLog()}
	})
}

// countInFlight wraps a handler to count the requests in flight.
func (n *Node) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}
