// Package controlplane is the control plane's process. It drives the pure state machine of package replica (disk, messages
// and time), keeps a copy of the backend registry, serves the operator's and the backends' HTTP API, and distributes
// configuration, registry and quota to the nodes of the data plane.
//
// State and its owners:
//   - the replica belongs to the Replicator's goroutine; everything else reads the Published copy of it
//   - registry, sessions, quota buckets and attempt events belong to Node and are guarded by Node.mu
//   - what is known of the other control processes belongs to the gossiper and is guarded by gossiper.mu
//
// Node.mu is taken before gossiper.mu where both are needed.
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
)

// Node is one control process. Elsewhere "node" means a process of the data plane.
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
	registryOwner uint64                   // random, identifies this process's replica of the registry
	seeds         atomic.Pointer[[]string] // internal addresses of the seeds that the settings name now

	mu         sync.Mutex
	registry   *registry.Registry
	changed    chan struct{}            // closed and replaced by notifyChanged
	sessions   map[uint64]time.Duration // when each node of the data plane last polled
	buckets    *quota.Owner
	ownerships map[string]ownership // by tenant
	events     eventLog
	leaving    bool
}

// New returns a control process that serves once Run is called. It opens the data directory and reads the stored replica,
// and returns an error where that fails.
func New(set *settings.Settings, logger *log.Logger) (*Node, error) {
	n := &Node{
		settings:      set,
		log:           logger,
		started:       time.Now(),
		pool:          transport.NewPool(),
		forwarder:     forwarder{queues: map[string]*forwardQueue{}},
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

// quotaTolerance returns by how much the sum of all nodes may exceed a tenant's limit.
func quotaTolerance(set *settings.Settings) quota.Tolerance {
	return quota.Tolerance{Window: set.Bounds.QuotaWindow, Over: set.Bounds.QuotaOver, Slack: set.Bounds.QuotaSlack}
}

// now returns the monotonic time since the start of the process. It is always above 0, which means "never" in the state of
// the replica and the registry.
func (n *Node) now() time.Duration { return time.Since(n.started) + time.Millisecond }

// Run serves until the context ends, then leaves the control plane in order. It returns an error where an address cannot be
// listened at, or where a listener fails while the process serves.
func (n *Node) Run(ctx context.Context) error {
	internal, err := transport.Listen(ctx, n.settings.OwnInternalAddress())
	if err != nil {
		return fmt.Errorf("internal port: %w", err)
	}
	external, err := net.Listen("tcp4", n.settings.Control)
	if err != nil {
		return errors.Join(fmt.Errorf("control address: %w", err), internal.Close())
	}
	failed := make(chan error, 2)
	go func() { failed <- transport.Serve(internal, n.services()) }()
	server := &http.Server{Handler: n.router(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: n.log.StandardLog()}
	go func() { failed <- server.Serve(external) }()
	// The replicator ends by Stop and is not waited for: a write to a disk that hangs must not keep the process from ending.
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

// startLoops starts the periodic work. The returned function ends it and waits for it. The loops go on while the process
// leaves, since its quota buckets have to reach their new owners.
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

// notifyChanged wakes the polls that wait for a change of what this process distributes. Node.mu is held.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}
