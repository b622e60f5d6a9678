// Package controlplane is the control plane's process: it drives the replica and its disk, keeps the registry of raters,
// answers raters and the operator, and hands configuration, raters and allowances to the data plane.
package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// sessionTTL is how long a node of the data plane counts as live after its last poll.
const sessionTTL = 3 * time.Second

// Node is one control process.
type Node struct {
	settings      *settings.Settings
	log           *log.Logger
	started       time.Time
	pool          *transport.Pool
	store         *storage.Store
	replicator    *Replicator
	gossip        *gossiper
	registryOwner uint64 // names this process's copy of the registry
	updates       updateCache

	mu         sync.Mutex
	registry   *registry.Registry
	changed    chan struct{} // closed when the registry has news
	sessions   map[uint64]time.Duration
	buckets    *quota.Owner
	ownerships map[string]ownership
	events     eventLog
	forwarder  forwarder
	leaving    bool
}

// New makes a control process from its settings.
func New(set *settings.Settings, logger *log.Logger) (*Node, error) {
	n := &Node{settings: set, log: logger, started: time.Now(), pool: transport.NewPool(), registryOwner: randomID(),
		registry: registry.New(set.Heartbeat), changed: make(chan struct{}), sessions: map[uint64]time.Duration{},
		forwarder: forwarder{queues: map[string]*forwardQueue{}},
		buckets:   quota.NewOwner(quotaTolerance(set)), ownerships: map[string]ownership{}}
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
	n.replicator = NewReplicator(n.now, logger, n.pool, n.store, machine)
	n.gossip = newGossiper(n)
	return n, nil
}

func quotaTolerance(set *settings.Settings) quota.Tolerance {
	return quota.Tolerance{Window: set.Bounds.QuotaWindow, Over: set.Bounds.QuotaOver, Slack: set.Bounds.QuotaSlack}
}

// now is the steady clock of the process. It begins above 0, which stands for "never".
func (n *Node) now() time.Duration { return time.Since(n.started) + time.Millisecond }

func randomID() uint64 {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(bytes[:])>>1 + 1
}

// The part of a machine's link that a snapshot on its way may take.
const (
	snapshotLinkShare = 0.3
	bytesPerMegabit   = 1e6 / 8
)

// newMachine makes the replica. A disk that is empty makes it a new member; it may found the first view only where the
// platform says that the whole system starts for the first time.
func (n *Node) newMachine(stored replica.Stored) (*replica.Machine, error) {
	set := n.settings
	seeds := n.seedAddresses(set)
	if stored.Self.Address != set.SelfInternal() {
		stored = replica.Stored{Self: replica.Member{Address: set.SelfInternal(), Incarnation: randomID(), Domain: set.FailureDomain()}}
		stored.Founder = set.Bootstrap && slices.Contains(seeds, set.SelfInternal())
		if stored.Founder {
			stored.Founders = seeds
		}
		if n.store != nil {
			identity := replica.SaveIdentity{Self: stored.Self, Founder: stored.Founder, Founders: stored.Founders}
			if err := n.store.Write([]replica.Record{identity}); err != nil {
				return nil, err
			}
		}
	}
	options := replica.DefaultConfig()
	options.MaxFailures = set.MaxFailures()
	options.Seeds = seeds
	options.CanVote = set.Counts || set.DataDir != ""
	if set.LinkMbps > 0 {
		options.TransferRate = int(set.LinkMbps * snapshotLinkShare * bytesPerMegabit)
	}
	return replica.New(options, stored, n.now())
}

func (n *Node) seedAddresses(set *settings.Settings) []string {
	var seeds []string
	for _, seed := range set.Seeds {
		if address := set.InternalAddress(seed); address != "" && !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	slices.Sort(seeds)
	return seeds
}

// Run serves until the context ends, then leaves the control plane in order.
func (n *Node) Run(ctx context.Context) error {
	internal, err := transport.Listen(n.settings.SelfInternal())
	if err != nil {
		return fmt.Errorf("internal port: %w", err)
	}
	outer, err := net.Listen("tcp4", n.settings.Control)
	if err != nil {
		return fmt.Errorf("control address: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- transport.Serve(internal, n.services()) }()
	server := &http.Server{Handler: n.router(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second,
		ErrorLog: n.log.StandardLog()}
	go func() { failed <- server.Serve(outer) }()
	go n.replicator.Run()
	go n.gossip.run()
	go n.runOwnership()
	n.log.Info("control process serves", "control", n.settings.Control, "internal", n.settings.SelfInternal())
	select {
	case <-ctx.Done():
		return n.leave(server, internal)
	case err := <-failed:
		return err
	}
}

// The figures of the planned stop.
const (
	drainDelay              = 300 * time.Millisecond // for nodes to turn to others
	replacementPollInterval = 25 * time.Millisecond
	graceReserve            = 2 * time.Second // of the time until the process is killed, for what comes after the hand-over
	shutdownTimeout         = 500 * time.Millisecond
)

// leave hands over: the chain goes on without this member, nodes turn to others, then calls end.
func (n *Node) leave(server *http.Server, internal net.Listener) error {
	n.log.Info("leaving the control plane")
	n.mu.Lock()
	n.leaving = true
	n.notifyChanged()
	n.mu.Unlock()
	n.replicator.Leave()
	n.awaitReplacement()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	n.replicator.Stop()
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	return errors.Join(err, internal.Close())
}

// awaitReplacement waits until the other members go on without this one. A member that is one of the last copies, or whose vote
// nobody can take, stays for as long as the platform lets it.
func (n *Node) awaitReplacement() {
	time.Sleep(drainDelay)
	deadline := time.Now().Add(n.settings.Bounds.Grace - graceReserve - drainDelay)
	for time.Now().Before(deadline) {
		if published, _ := n.replicator.Published(); published.Released {
			n.log.Info("the other members go on without this one")
			return
		}
		time.Sleep(replacementPollInterval)
	}
	n.log.Warn("leaving without having been replaced: the time is over")
}

// ApplySettings takes a settings file that has changed while the process runs: the seeds may be others.
func (n *Node) ApplySettings(set *settings.Settings) {
	n.replicator.SetSeeds(n.seedAddresses(set))
}

// notifyChanged wakes the polls that wait for news. The lock is held.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// controlMembers are the processes of the control plane, the chain first.
func (n *Node) controlMembers(view replica.View) []distribution.ControlMember {
	var members []distribution.ControlMember
	for _, member := range view.Chain {
		members = append(members, distribution.ControlMember{Address: member.Address, Zone: n.gossip.zoneOf(member.Address), InChain: true})
	}
	for _, member := range view.Voters {
		if !slices.Contains(view.Chain, member) {
			members = append(members, distribution.ControlMember{Address: member.Address, Zone: n.gossip.zoneOf(member.Address)})
		}
	}
	return members
}
