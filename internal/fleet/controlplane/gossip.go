package controlplane

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// Parameters of the exchange of registry records.
const (
	gossipInterval = 400 * time.Millisecond
	gossipTimeout  = 350 * time.Millisecond // of one exchange of the periodic round
	callerTTL      = 3 * time.Second        // for which a caller that is neither voter nor seed stays a peer
)

// ExchangeRequest sends records and requests those that have changed at the receiver.
type ExchangeRequest struct {
	Address string // internal address of the sender
	Zone    string // of the sender
	Records []registry.Record
	Owner   uint64 // the registry to which Since belongs; 0 or not the receiver's: all records are requested
	Since   uint64 // the version that the sender has
}

// ExchangeReply returns the changed records and the version that they bring the requester to.
type ExchangeReply struct {
	Zone    string
	Owner   uint64
	Version uint64
	Records []registry.Record
}

// gossiper keeps the control processes' replicas of the registry in sync: in periodic rounds, each process pushes
// the records that it received from backends to all others and pulls the records that have changed there.
type gossiper struct {
	node    *Node
	started time.Duration // when this process began to gossip

	loggedUnresponsive string // the lost backends as last logged; guarded by Node.mu

	mu               sync.Mutex
	zones            map[string]string        // by address, like the other maps up to inFlight
	registryOwners   map[string]uint64        // the registry to which the version in registryVersions belongs
	registryVersions map[string]uint64        // the version received last
	lastCalls        map[string]time.Duration // when another process last called this one
	// lastExchanges holds the start times of the most recent successful exchanges. This replica has all records
	// that the other process had when the exchange started, so the start counts and not the end.
	lastExchanges map[string]time.Duration
	inFlight      map[string]bool // an exchange of the periodic round is in flight
	acknowledged  map[string]bool // backends whose deregistration was acknowledged, by ID
}

func newGossiper(n *Node) *gossiper {
	return &gossiper{
		node:             n,
		started:          n.now(),
		zones:            map[string]string{n.settings.OwnInternalAddress(): n.settings.Zone},
		registryOwners:   map[string]uint64{},
		registryVersions: map[string]uint64{},
		lastCalls:        map[string]time.Duration{},
		lastExchanges:    map[string]time.Duration{},
		inFlight:         map[string]bool{},
		acknowledged:     map[string]bool{},
	}
}

// zoneOf returns a control process's zone, or "" if it is not known.
func (g *gossiper) zoneOf(address string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zones[address]
}

// peers returns the internal addresses of the other control processes: voters, seeds, and those that called
// recently.
func (g *gossiper) peers() []string {
	published, _ := g.node.replicator.Published()
	var peers []string
	for _, member := range published.View.Voters {
		if member.Address != published.Self.Address {
			peers = append(peers, member.Address)
		}
	}
	for _, seed := range *g.node.seeds.Load() {
		if seed != published.Self.Address && !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	return g.withRecentCallers(peers)
}

// withRecentCallers appends the processes that called within callerTTL and removes expired callers.
func (g *gossiper) withRecentCallers(peers []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, at := range g.lastCalls {
		switch {
		case g.node.now()-at > callerTTL:
			delete(g.lastCalls, address)
		case !slices.Contains(peers, address):
			peers = append(peers, address)
		}
	}
	return peers
}

// run gossips until the context is done. It does not wait for exchanges in flight, which end within gossipTimeout.
func (g *gossiper) run(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.round()
		case <-ctx.Done():
			return
		}
	}
}

// round expires old records and sessions, and sends the records that backends have updated here since the last
// round.
func (g *gossiper) round() {
	n := g.node
	n.mu.Lock()
	updates := n.registry.DrainUpdates(n.now())
	if n.registry.Expire(n.now()) {
		n.notifyChanged()
		g.logUnresponsive()
	}
	n.expireSessions()
	n.mu.Unlock()
	for _, address := range g.peers() {
		if g.beginExchange(address) {
			go func() {
				defer g.endExchange(address)
				g.exchangeRecords(address, updates, gossipTimeout)
			}()
		}
	}
	g.pruneAcknowledged()
}

// beginExchange reports whether a new exchange of the periodic round may start, and if so marks it as in flight.
// It may not start while the previous one is still in flight.
func (g *gossiper) beginExchange(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[address] {
		return false
	}
	g.inFlight[address] = true
	return true
}

func (g *gossiper) endExchange(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, address)
}

// logUnresponsive logs the unresponsive backends if the set of lost ones has changed. Node.mu must be held.
func (g *gossiper) logUnresponsive() {
	overdue, lost := g.node.registry.Unresponsive()
	if names := strings.Join(lost, " "); names != g.loggedUnresponsive {
		g.loggedUnresponsive = names
		g.node.log.Info("unresponsive backends changed", "lost", lost, "overdue", overdue)
	}
}

// exchangeRecords sends records to another process and merges those that have changed there. It reports whether
// the other process replied in time: if so, it has the records, and this process has all records that the other
// process had when the exchange began.
func (g *gossiper) exchangeRecords(address string, records []registry.Record, timeout time.Duration) bool {
	n := g.node
	began := n.now()
	g.mu.Lock()
	request := ExchangeRequest{Address: n.settings.OwnInternalAddress(), Zone: n.settings.Zone, Records: records,
		Owner: g.registryOwners[address], Since: g.registryVersions[address]}
	g.mu.Unlock()
	var reply ExchangeReply
	if err := n.pool.Call(address, methodGossip, &request, &reply, timeout); err != nil {
		return false
	}
	n.mergeRecords(reply.Records)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zones[address], g.registryOwners[address], g.registryVersions[address] = reply.Zone, reply.Owner, reply.Version
	g.lastExchanges[address] = max(g.lastExchanges[address], began)
	return true
}

// handleExchange serves an exchange that another process started.
func (g *gossiper) handleExchange(request *ExchangeRequest, reply *ExchangeReply) {
	n := g.node
	g.mu.Lock()
	g.zones[request.Address] = request.Zone
	g.lastCalls[request.Address] = n.now()
	g.mu.Unlock()
	n.mergeRecords(request.Records)
	since := request.Since
	if request.Owner != n.registryOwner {
		since = 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Zone, reply.Owner, reply.Version = n.settings.Zone, n.registryOwner, n.registry.Version()
	reply.Records = n.registry.ChangedSince(n.now(), since)
}

// mergeRecords merges records of another process's registry and wakes the waiting polls if that changed anything.
func (n *Node) mergeRecords(records []registry.Record) {
	if len(records) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.registry.Merge(n.now(), records) {
		n.notifyChanged()
	}
}
