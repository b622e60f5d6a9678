// Package dataplane is the data plane's process: it follows the control plane by long poll, answers clients, and ends in
// order when the platform says so.
package dataplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/proxy"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Node is one process of the data plane.
type Node struct {
	settings *settings.Settings
	log      *log.Logger
	begin    time.Time
	session  uint64
	pool     *transport.Pool
	watcher  *configWatcher
	picker   *picker
	quotas   *quotaClient
	reporter *loadReporter
	retries  *retryBudget
	metrics  *proxy.Metrics
	active   atomic.Int64 // requests under way
	stopping atomic.Bool
	cutAt    atomic.Int64 // when the process ends what is still under way
	closing  atomic.Bool
}

// New makes a process of the data plane from its settings.
func New(set *settings.Settings, logger *log.Logger) *Node {
	n := &Node{settings: set, log: logger, begin: time.Now(), session: rand.Uint64()>>1 + 1, pool: transport.NewPool(),
		metrics: proxy.NewMetrics()}
	n.pool.SetEager(true) // until it is configured
	n.reporter = newLoadReporter(n)
	n.picker = newPicker(n.now, nodeNumber(set.NodeName), n.reporter.add)
	n.retries = newRetryBudget(set.Bounds)
	n.watcher = newConfigWatcher(n)
	n.quotas = newQuotaClient(n)
	return n
}

// now is the steady clock of the process. It begins above 0, which stands for "never".
func (n *Node) now() time.Duration { return time.Since(n.begin) + time.Millisecond }

// nodeNumbers is the range of the numbers that nodes give themselves.
const nodeNumbers = 1 << 12

func nodeNumber(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return int(hash.Sum32() % nodeNumbers)
}

// Table is the configuration in force.
func (n *Node) Table() *operator.Table { return n.watcher.table.Load() }

// Leased tells whether the configuration may be used now.
func (n *Node) Leased() bool { return n.now() < time.Duration(n.watcher.leaseEnd.Load()) }

// leaseLeft is how long the configuration may still be used.
func (n *Node) leaseLeft() time.Duration { return time.Duration(n.watcher.leaseEnd.Load()) - n.now() }

// A node whose lease runs out because it does not reach the control plane sends its clients elsewhere before it must refuse
// them: it calls itself not ready with so much of the lease left, and then has clients close their connections.
const (
	notReadyPart = 0.55
	closePart    = 0.35
)

// hasLease tells whether so much of the lease is left, in parts of RevokeMs.
func (n *Node) hasLease(part float64) bool {
	return n.leaseLeft() > time.Duration(part*float64(n.settings.Bounds.Revoke))
}

// ready tells whether the platform may hand new connections to this node.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.Table() != nil && n.hasLease(notReadyPart)
}

// wantsClosed tells whether clients are to close their connections.
func (n *Node) wantsClosed() bool { return n.closing.Load() || !n.hasLease(closePart) }

// Run serves until the context ends, then stops in order.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	readiness, err := net.Listen("tcp4", n.settings.Readiness)
	if err != nil {
		return fmt.Errorf("readiness address: %w", err)
	}
	go func() {
		failed <- (&http.Server{Handler: n.readiness(), ErrorLog: n.log.StandardLog()}).Serve(readiness)
	}()
	go n.watcher.run()
	go n.quotas.run()
	go n.reporter.run()
	front, err := n.listen(ctx, failed, acceptAhead)
	if front == nil {
		return err
	}
	server := n.server()
	go func() { failed <- server.Serve(front) }()
	n.log.Info("node serves", "front", n.settings.Front, "revision", n.Table().Revision)
	select {
	case <-ctx.Done():
		return n.stop(server)
	case err := <-failed:
		return err
	}
}

// acceptAhead is how long a node that has just started has clients' connections wait until it is configured. After that it
// refuses them, so that they turn to other nodes.
const acceptAhead = time.Second

// listen opens the address for clients and waits for the first configuration. Connections that come before it wait in the
// listener's queue.
func (n *Node) listen(ctx context.Context, failed <-chan error, within time.Duration) (net.Listener, error) {
	front, err := net.Listen("tcp4", n.settings.Front)
	if err != nil {
		return nil, fmt.Errorf("front address: %w", err)
	}
	ahead := time.NewTimer(within)
	defer ahead.Stop()
	for {
		select {
		case <-n.watcher.configured:
			if front == nil {
				front, err = net.Listen("tcp4", n.settings.Front)
			}
			if err != nil {
				return nil, fmt.Errorf("front address: %w", err)
			}
			return front, nil
		case <-ahead.C:
			_ = front.Close()
			front = nil
		case <-ctx.Done():
			return nil, nil
		case err := <-failed:
			return nil, err
		}
	}
}

func (n *Node) server() *http.Server {
	handler := &proxy.Handler{Config: n, Picker: n.picker, Quotas: n.quotas, Retries: n.retries, Backends: backend.NewClient(),
		Metrics: n.metrics, Log: n.log, Closing: n.wantsClosed, TimeLeft: n.timeLeft}
	limits := n.Table().Limits
	idle := newIdleConnections(func() time.Duration { return n.Table().Limits.IdleTimeout })
	go idle.run()
	return &http.Server{Handler: n.counted(handler), ReadHeaderTimeout: 2 * limits.HeaderTimeout, IdleTimeout: -1,
		ConnState: idle.note, MaxHeaderBytes: limits.HeaderBytes, ErrorLog: n.log.StandardLog()}
}

func (n *Node) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

func (n *Node) readiness() http.Handler {
	r := chi.NewRouter()
	r.Get("/-/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.Get("/-/status", n.status)
	return r
}

// statusBody is what the process tells people of itself.
type statusBody struct {
	Node      string
	Ready     bool
	Revision  int64
	LeaseLeft string
	Epoch     uint64
	Active    int64
	Refused   map[string]int
	Passed    map[int]int
	Services  map[string][]raterStatus
}

func (n *Node) status(w http.ResponseWriter, _ *http.Request) {
	body := statusBody{Node: n.settings.NodeName, Ready: n.ready(), Active: n.active.Load(), Services: n.picker.status()}
	if table := n.Table(); table != nil {
		body.Revision = table.Revision
	}
	if n.settings.Bounds.Closed {
		body.LeaseLeft = n.leaseLeft().Round(time.Millisecond).String()
	} else {
		body.LeaseLeft = "not needed"
	}
	body.Epoch, _ = n.watcher.members()
	body.Refused, body.Passed = n.metrics.Counts()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// The planned stop, counted from the signal: new connections stop coming once the platform has seen twice that the node
// is not ready; then idle connections are closed, and what is under way may finish until shortly before the kill.
const (
	noticeFor   = 3200 * time.Millisecond
	closingFrom = 1200 * time.Millisecond
	beforeKill  = 400 * time.Millisecond
)

// timeLeft tells how long what is under way may still take before it is cut.
func (n *Node) timeLeft() (left time.Duration, ending bool) {
	return time.Duration(n.cutAt.Load()) - n.now(), n.stopping.Load()
}

func (n *Node) stop(server *http.Server) error {
	begin := time.Now()
	n.cutAt.Store(int64(n.now() + n.settings.Bounds.Grace - beforeKill))
	n.stopping.Store(true)
	n.log.Info("stopping", "active", n.active.Load())
	notice := min(noticeFor, n.settings.Bounds.Grace/2)
	time.Sleep(min(closingFrom, notice))
	n.closing.Store(true)
	time.Sleep(time.Until(begin.Add(notice)))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(n.settings.Bounds.Grace-beforeKill))
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		n.log.Warn("requests were still under way", "active", n.active.Load())
		return server.Close()
	}
	return err
}
