// Package controlplane implements the control plane process. It drives the pure state machine of package replica
// (it provides disk, messages and time), keeps a replica of the backend registry, serves the HTTP API for the
// operator and the backends, and distributes configuration, registry and quota to the data plane nodes.
//
// State ownership:
//   - the replica is owned by the Replicator's goroutine; all other code reads the Published copy
//   - registry, sessions, quota buckets and attempt events are owned by Node and guarded by Node.mu
//   - the state of the other control processes is owned by the gossiper and guarded by gossiper.mu
//
// Lock order: Node.mu before gossiper.mu.
package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Parameters of the HTTP server.
const (
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 64 << 10
	// bodyMemoryFraction is the part of the process's memory in which the bodies of calls must fit. A configuration takes several
	// times the size of its body.
	bodyMemoryFraction = 0.125
)

// Node is one control process. Everywhere else in this package, "node" means a data plane process.
type Node struct {
	settings      *settings.Settings
	log           *log.Logger
	started       time.Time
	pool          *transport.Pool
	store         *storage.Store // nil without a data directory
	replicator    *Replicator
	gossip        *gossiper
	forwarder     forwarder
	updates       updateCache
	memory        *memory.Budget           // for the bodies of calls
	registryOwner uint64                   // random, identifies this process's replica of the registry
	seeds         atomic.Pointer[[]string] // internal addresses of the seeds in the current settings

	mu         sync.Mutex
	registry   *registry.Registry
	changed    chan struct{}            // closed and replaced by notifyChanged
	sessions   map[uint64]time.Duration // time of each data plane node's last poll, by session
	buckets    *quota.Owner
	ownerships map[string]ownership // by tenant
	events     eventLog
	leaving    bool
}

// New returns a control process, which serves once Run is called. It opens the data directory and restores the
// stored replica, and returns an error if that fails.
func New(set *settings.Settings, logger *log.Logger) (*Node, error) {
	n := &Node{
		settings:      set,
		log:           logger,
		started:       time.Now(),
		pool:          transport.NewPool(),
		forwarder:     forwarder{queues: map[string]*forwardQueue{}},
		memory:        memory.NewShare(set.MemoryMB, bodyMemoryFraction),
		registryOwner: randomID(),
		registry:      registry.New(set.Heartbeat),
		changed:       make(chan struct{}),
		sessions:      map[uint64]time.Duration{},
		buckets:       quota.NewOwner(quotaTolerance(set)),
		ownerships:    map[string]ownership{},
	}
	var stored replica.Stored
	if set.DataDir != "" {
		store, found, err := storage.Open(set.DataDir)
		if err != nil {
			return nil, err
		}
		n.store, stored = store, found
	}
	machine, err := n.newMachine(stored)
	if err != nil {
		return nil, err
	}
	n.setSeeds(set)
	n.replicator = NewReplicator(n.now, logger, n.pool, n.store, machine)
	n.gossip = newGossiper(n)
	return n, nil
}

// quotaTolerance returns how far the combined consumption of all nodes may exceed a tenant's limit.
func quotaTolerance(set *settings.Settings) quota.Tolerance {
	return quota.Tolerance{Window: set.Bounds.QuotaWindow, Over: set.Bounds.QuotaOver, Slack: set.Bounds.QuotaSlack}
}

// now returns the monotonic time since the start of the process. It is always greater than 0, because 0 means
// "never" in the state of the replica and the registry.
func (n *Node) now() time.Duration { return time.Since(n.started) + time.Millisecond }

// Run serves until the context is done, then shuts down gracefully. It returns an error if it cannot listen on an
// address, or if a listener fails while the process serves.
func (n *Node) Run(ctx context.Context) error {
	internal, err := transport.Listen(ctx, n.settings.OwnInternalAddress())
	if err != nil {
		return fmt.Errorf("listen on internal port: %w", err)
	}
	external, err := net.Listen("tcp4", n.settings.Control)
	if err != nil {
		return errors.Join(fmt.Errorf("listen on control address: %w", err), internal.Close())
	}
	failed := make(chan error, 2)
	go func() { failed <- transport.Serve(internal, n.services()) }()
	server := &http.Server{Handler: n.router(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.log.StandardLog()}
	go func() { failed <- server.Serve(external) }()
	// Stop ends the replicator, but nothing waits for it to end: a hung disk write must not keep the process from
	// exiting.
	go n.replicator.Run()
	stopLoops := n.startLoops(context.WithoutCancel(ctx))
	defer stopLoops()
	n.log.Info("control process started", "control", n.settings.Control, "internal", n.settings.OwnInternalAddress())
	select {
	case <-ctx.Done():
		return n.leave(ctx, server, internal)
	case err := <-failed:
		return err
	}
}

// startLoops starts the periodic work. The returned function stops it and waits for it to end. The loops keep
// running during the graceful shutdown, because the quota buckets must be transferred to their new owners.
func (n *Node) startLoops(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { n.gossip.run(ctx) })
	loops.Go(func() { n.runOwnership(ctx) })
	return func() {
		cancel()
		loops.Wait()
	}
}

// notifyChanged wakes the polls that wait for a change of the data that this process distributes. Node.mu must be
// held.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}
