package controlplane

import (
	"slices"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// The figures of the exchange of registries.
const (
	gossipInterval = 400 * time.Millisecond
	gossipTimeout  = 350 * time.Millisecond
	callerTTL      = 3 * time.Second
	methodGossip   = "Registry.Exchange"
)

// ExchangeRequest hands over records and asks for those that changed.
type ExchangeRequest struct {
	Address string
	Zone    string
	Records []registry.Record
	Owner   uint64 // the copy that Since counts in
	Since   uint64
}

// ExchangeReply brings records.
type ExchangeReply struct {
	Zone    string
	Owner   uint64
	Version uint64
	Records []registry.Record
}

// gossiper keeps the copies of the registry alike.
type gossiper struct {
	node *Node

	mu                 sync.Mutex
	zones              map[string]string
	registryOwners     map[string]uint64
	registryVersions   map[string]uint64
	lastCalls          map[string]time.Duration // when another process last called
	loggedUnresponsive string                   // the raters that were last logged as not heard
	started            time.Duration            // when this process began to exchange

	// exchanged is when the newest exchange began that another process answered: what that process had then is here too.
	lastExchanges map[string]time.Duration
	inFlight      map[string]bool // the processes to which an exchange of the ordinary round is under way
	acknowledged  map[string]bool // the raters whose leaving was acknowledged
}

func newGossiper(n *Node) *gossiper {
	g := &gossiper{node: n, zones: map[string]string{}, registryOwners: map[string]uint64{}, registryVersions: map[string]uint64{},
		lastCalls: map[string]time.Duration{}, lastExchanges: map[string]time.Duration{}, inFlight: map[string]bool{}, acknowledged: map[string]bool{},
		started: n.now()}
	g.zones[n.settings.SelfInternal()] = n.settings.Zone
	return g
}

func (g *gossiper) zoneOf(address string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zones[address]
}

// peers are the internal addresses of the other control processes.
func (g *gossiper) peers() []string {
	published, _ := g.node.replicator.Published()
	var others []string
	for _, member := range published.View.Voters {
		if member.Address != published.Self.Address {
			others = append(others, member.Address)
		}
	}
	for _, seed := range g.node.seedAddresses(g.node.settings) {
		if seed != published.Self.Address && !slices.Contains(others, seed) {
			others = append(others, seed)
		}
	}
	return g.withRecentCallers(others)
}

// withRecentCallers adds the processes that are neither voters nor seeds and have called not long ago.
func (g *gossiper) withRecentCallers(others []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, at := range g.lastCalls {
		switch {
		case g.node.now()-at > callerTTL:
			delete(g.lastCalls, address)
		case !slices.Contains(others, address):
			others = append(others, address)
		}
	}
	return others
}

func (g *gossiper) run() {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for range ticker.C {
		g.round()
	}
}

// round exchanges what was heard since the last one, and looks for raters that have fallen silent.
func (g *gossiper) round() {
	n := g.node
	n.mu.Lock()
	fresh := n.registry.DrainUpdates(n.now())
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
				g.exchange(address, fresh, gossipTimeout)
			}()
		}
	}
	g.pruneAcknowledged()
}

// beginExchange notes that an exchange of the ordinary round is under way; false: the one before has not ended.
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

// logUnresponsive logs which raters have been silent for long, when they are others than before. The lock is held.
func (g *gossiper) logUnresponsive() {
	late, silent := g.node.registry.Unresponsive()
	if names := strings.Join(silent, " "); names != g.loggedUnresponsive {
		g.loggedUnresponsive = names
		g.node.log.Info("raters not heard", "silent", silent, "late", late)
	}
}

// expireSessions forgets nodes of the data plane that have not polled for a while. The lock is held.
func (n *Node) expireSessions() {
	for session, polled := range n.sessions {
		if n.now()-polled > sessionTTL {
			delete(n.sessions, session)
		}
	}
}

// exchange hands records to another process and takes its news; it tells whether that answered.
func (g *gossiper) exchange(address string, records []registry.Record, wait time.Duration) bool {
	n := g.node
	began := n.now()
	g.mu.Lock()
	request := ExchangeRequest{Address: n.settings.SelfInternal(), Zone: n.settings.Zone, Records: records,
		Owner: g.registryOwners[address], Since: g.registryVersions[address]}
	g.mu.Unlock()
	var reply ExchangeReply
	if err := n.pool.Call(address, methodGossip, &request, &reply, wait); err != nil {
		return false
	}
	n.mergeRecords(reply.Records)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zones[address], g.registryOwners[address], g.registryVersions[address] = reply.Zone, reply.Owner, reply.Version
	g.lastExchanges[address] = max(g.lastExchanges[address], began)
	return true
}

// handleExchange answers another copy's exchange.
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
