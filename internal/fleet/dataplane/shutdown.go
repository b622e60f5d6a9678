package dataplane

import (
	"context"
	"errors"
	"time"
)

// Parameters of the graceful shutdown, counted from the signal. New connections stop arriving once the platform
// has observed twice that the node is not ready. Then idle connections are closed, and requests in flight may
// finish until shortly before the platform kills the process, Bounds.Grace after the signal.
const (
	notReadyDuration     = 3200 * time.Millisecond // for which the node continues to accept connections
	connectionCloseDelay = 1200 * time.Millisecond // after which clients are asked to close their connections
	killMargin           = 400 * time.Millisecond  // before the kill: requests in flight are aborted this early
)

// timeUntilAbort reports whether the process is shutting down and, if so, how long requests in flight may still
// take.
func (n *Node) timeUntilAbort() (left time.Duration, stopping bool) {
	return time.Duration(n.abortAt.Load()) - n.now(), n.stopping.Load()
}

// shutdown stops the server gracefully. The context has ended and is used for its values only.
func (n *Node) shutdown(ctx context.Context, server *clientServer) error {
	begin := time.Now()
	n.abortAt.Store(int64(n.now() + n.settings.Bounds.Grace - killMargin))
	n.stopping.Store(true)
	n.log.Info("shutdown started", "in_flight", n.inFlight.Load())
	notReady := min(notReadyDuration, n.settings.Bounds.Grace/2)
	time.Sleep(min(connectionCloseDelay, notReady))
	n.closingConnections.Store(true)
	time.Sleep(time.Until(begin.Add(notReady)))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), begin.Add(n.settings.Bounds.Grace-killMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		n.log.Warn("requests aborted at shutdown", "in_flight", n.inFlight.Load())
		return server.Close()
	}
	return err
}
