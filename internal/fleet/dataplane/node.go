// Package dataplane implements the data plane process, linenwheel-data. It watches the control plane by long
// polling (configWatcher), serves clients through the proxy, picks backends (picker), acquires tenants' quotas
// (quotaClient), reports its attempts to the other nodes (loadReporter), and shuts down gracefully on SIGTERM.
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

	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/proxy"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Node is a data plane process. Run may be called once; the other exported methods are safe for concurrent use.
type Node struct {
	settings *settings.Settings
	log      *log.Logger
	session  uint64 // identifies this run of the process to the control plane, never 0
	pool     *transport.Pool
	watcher  *configWatcher
	picker   *picker
	quotas   *quotaClient
	reporter *loadReporter
	retries  *retryBudget
	metrics  *proxy.Metrics
	memory   *memory.Budget // for what clients and backends send

	startedAt          time.Time
	inFlight           atomic.Int64 // clients' requests
	stopping           atomic.Bool  // SIGTERM has been received
	closingConnections atomic.Bool  // clients are asked to close their connections
	abortAt            atomic.Int64 // when shutdown aborts requests in flight, on the node's clock, in nanoseconds
}

// New returns a data plane node with the given settings.
func New(loaded *settings.Settings, logger *log.Logger) *Node {
	n := &Node{settings: loaded, log: logger, startedAt: time.Now(), session: rand.Uint64()>>1 + 1, pool: transport.NewPool(),
		metrics: proxy.NewMetrics(), memory: memory.NewShare(loaded.MemoryMB, bodyMemoryFraction)}
	n.pool.SetEager(true) // until there is a configuration
	n.reporter = newLoadReporter(n)
	n.picker = newPicker(n.now, nodeNumber(loaded.NodeName), n.reporter.enqueue)
	n.retries = newRetryBudget(loaded.Bounds)
	n.watcher = newConfigWatcher(n)
	n.quotas = newQuotaClient(n)
	return n
}

// now returns the time on the node's monotonic clock. The clock starts above 0, as 0 stands for "never".
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + time.Millisecond }

// bodyMemoryFraction is the part of the process's memory in which the bodies of requests, and what is held of responses, must fit.
const bodyMemoryFraction = 0.5

// statusHeaderBytes bounds the header of a request to the readiness address.
const statusHeaderBytes = 16 << 10

// nodeNumberRange is the number of different node numbers.
const nodeNumberRange = 1 << 12

// nodeNumber derives a number from a node's name, so that the balancers of different nodes behave differently.
func nodeNumber(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % nodeNumberRange)
}

// Table returns the current configuration, nil before the first.
func (n *Node) Table() *operator.Table { return n.watcher.table.Load() }

// Leased reports whether the lease on the configuration is valid, that is, whether the configuration may be used
// now.
func (n *Node) Leased() bool { return n.now() < time.Duration(n.watcher.leaseEnd.Load()) }

// ApplySettings applies settings that have been reloaded while the process runs. Only changes of the seeds take
// effect.
func (n *Node) ApplySettings(loaded *settings.Settings) { n.watcher.setSeeds(loaded) }

// Run serves until the context ends, then shuts down gracefully. It returns an error if it cannot listen on an
// address or if a server fails. Its background goroutines run until it returns, because requests in flight need
// them during the shutdown.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErrors := make(chan error, 2)
	statusListener, err := net.Listen("tcp4", n.settings.Readiness)
	if err != nil {
		return fmt.Errorf("readiness address: %w", err)
	}
	statusServer := &http.Server{Handler: n.readinessHandler(), MaxHeaderBytes: statusHeaderBytes, ErrorLog: n.log.StandardLog()}
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
	n.log.Info("serving clients", "front", n.settings.Front, "revision", n.Table().Revision)
	select {
	case <-ctx.Done():
		return n.shutdown(ctx, server)
	case err := <-serveErrors:
		return err
	}
}
