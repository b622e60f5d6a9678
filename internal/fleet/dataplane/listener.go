package dataplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/proxy"
)

// startupAcceptTimeout is how long a node that has just started lets clients' connections wait until it is configured. After
// that it refuses them, so that they turn to other nodes.
const startupAcceptTimeout = time.Second

// listen opens the address for clients and returns its listener once there is a configuration. Connections that come before wait
// in the listener's queue, for as long as accept says at most. It returns a nil listener, and no error, where the context ends
// first, and the error of another server where that fails first.
func (n *Node) listen(ctx context.Context, serveErrors <-chan error, accept time.Duration) (net.Listener, error) {
	listener, err := net.Listen("tcp4", n.settings.Front)
	if err != nil {
		return nil, fmt.Errorf("front address: %w", err)
	}
	refuse := time.NewTimer(accept)
	defer refuse.Stop()
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
		case <-refuse.C:
			_ = listener.Close()
			listener = nil
		case <-ctx.Done():
			return nil, nil
		case err := <-serveErrors:
			return nil, err
		}
	}
}

// newServer returns the server for clients. It may be called once there is a configuration.
func (n *Node) newServer(idle *idleConnections) *http.Server {
	handler := &proxy.Handler{Config: n, Picker: n.picker, Quotas: n.quotas, Retries: n.retries, Backends: backend.NewClient(),
		Metrics: n.metrics, Log: n.log, Closing: n.shouldCloseConnections, TimeLeft: n.timeUntilAbort}
	limits := n.Table().Limits
	return &http.Server{Handler: n.countInFlight(handler), ReadHeaderTimeout: 2 * limits.HeaderTimeout, IdleTimeout: -1,
		ConnState: idle.recordState, MaxHeaderBytes: limits.HeaderBytes, ErrorLog: n.log.StandardLog()}
}

// countInFlight wraps a handler so that the requests in flight are counted.
func (n *Node) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}
