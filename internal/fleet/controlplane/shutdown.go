package controlplane

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Parameters of the graceful shutdown.
const (
	drainDelay              = 300 * time.Millisecond // in which data plane nodes switch to other control processes
	replacementPollInterval = 25 * time.Millisecond
	graceReserve            = 2 * time.Second // of the grace period, reserved for the shutdown after the replacement
	shutdownTimeout         = 500 * time.Millisecond
)

// leave shuts down gracefully: the data plane nodes switch to other control processes, the other members replace
// this one, and only then are the servers closed. The context is that of Run, which is already done: only its
// values are used.
func (n *Node) leave(ctx context.Context, server *http.Server, internal net.Listener) error {
	n.log.Info("shutdown started")
	n.mu.Lock()
	n.leaving = true
	n.notifyChanged()
	n.mu.Unlock()
	n.replicator.Leave()
	n.awaitReplacement()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	n.replicator.Stop()
	if errors.Is(err, context.DeadlineExceeded) { // requests that are still open end with the process
		err = nil
	}
	return errors.Join(err, internal.Close())
}

// awaitReplacement waits until the other members have replaced this one. A member that is one of the last
// replicas, or whose vote no other process can take over, stays for as long as the platform's grace period allows.
func (n *Node) awaitReplacement() {
	time.Sleep(drainDelay)
	deadline := time.Now().Add(n.settings.Bounds.Grace - graceReserve - drainDelay)
	for time.Now().Before(deadline) {
		if published, _ := n.replicator.Published(); published.Released {
			n.log.Info("member replaced")
			return
		}
		time.Sleep(replacementPollInterval)
	}
	n.log.Warn("failed to be replaced before the end of the grace period")
}
