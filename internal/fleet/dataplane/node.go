// Package dataplane is the process of the data plane, linenwheel-data. It follows the control plane by long poll
// (configWatcher), serves clients through the proxy, picks backends (picker), acquires tenants' quotas (quotaClient), reports
// its attempts to the other nodes (loadReporter), and shuts down gracefully when the platform says so.
package dataplane

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/proxy"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Node is one process of the data plane. New makes it, Run runs it once; the other exported methods are safe for concurrent use.
type Node struct {
	settings *settings.Settings
	log      *log.Logger
	session  uint64 // names this run of the process to the control plane, never 0
	pool     *transport.Pool
	watcher  *configWatcher
	picker   *picker
	quotas   *quotaClient
	reporter *loadReporter
	retries  *retryBudget
	metrics  *proxy.Metrics

	startedAt          time.Time
	inFlight           atomic.Int64 // clients' requests
	stopping           atomic.Bool  // SIGTERM has come
	closingConnections atomic.Bool  // clients are to close their connections
	abortAt            atomic.Int64 // on the node's clock, in nanoseconds: when a process that is stopping aborts requests in flight
}

// New makes a process of the data plane from its settings.
func New(loaded *settings.Settings, logger *log.Logger) *Node {
	n := &Node{settings: loaded, log: logger, startedAt: time.Now(), session: rand.Uint64()>>1 + 1, pool: transport.NewPool(),
		metrics: proxy.NewMetrics()}
	n.pool.SetEager(true) // until it is configured
	n.reporter = newLoadReporter(n)
	n.picker = newPicker(n.now, nodeNumber(loaded.NodeName), n.reporter.enqueue)
	n.retries = newRetryBudget(loaded.Bounds)
	n.watcher = newConfigWatcher(n)
	n.quotas = newQuotaClient(n)
	return n
}

// now returns the time on the node's monotonic clock. It starts above 0, which stands for "never".
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + time.Millisecond }

// nodeNumberRange bounds the numbers that nodes give themselves.
const nodeNumberRange = 1 << 12

// nodeNumber returns a number for a node's name by which balancers of different nodes differ.
func nodeNumber(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % nodeNumberRange)
}

// Table returns the configuration in force, nil before the first.
func (n *Node) Table() *operator.Table { return n.watcher.table.Load() }

// Leased reports whether the configuration may be used now.
func (n *Node) Leased() bool { return n.now() < time.Duration(n.watcher.leaseEnd.Load()) }

// ApplySettings applies a settings file that has changed while the process runs. Only the seeds take effect.
func (n *Node) ApplySettings(loaded *settings.Settings) { n.watcher.setSeeds(loaded) }

// Run serves until the context ends, then shuts down gracefully. It returns an error where an address cannot be listened
// at or a server fails. Its background goroutines run until it returns, during the shutdown too: requests in flight need them.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErrors := make(chan error, 2)
	statusListener, err := net.Listen("tcp4", n.settings.Readiness)
	if err != nil {
		return fmt.Errorf("readiness address: %w", err)
	}
	statusServer := &http.Server{Handler: n.readinessHandler(), ErrorLog: n.log.StandardLog()}
	defer func() { _ = statusServer.Close() }()
	go func() { serveErrors <- statusServer.Serve(statusListener) }()
	go n.watcher.run(background)
	go n.quotas.run(background)
	go n.reporter.run(background)
	listener, err := n.listen(ctx, serveErrors, startupAcceptTimeout)
	if listener == nil {
		return err
	}
	idle := newIdleConnections(func() time.Duration { return n.Table().Limits.IdleTimeout })
	go idle.run(background)
	server := n.newServer(idle)
	go func() { serveErrors <- server.Serve(listener) }()
	n.log.Info("node serves", "front", n.settings.Front, "revision", n.Table().Revision)
	select {
	case <-ctx.Done():
		return n.shutdown(ctx, server)
	case err := <-serveErrors:
		return err
	}
}
