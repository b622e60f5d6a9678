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
	gossipEvery  = 400 * time.Millisecond
	gossipWait   = 350 * time.Millisecond
	callerLife   = 3 * time.Second
	methodGossip = "Registry.Exchange"
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

	mu     sync.Mutex
	zone   map[string]string
	owner  map[string]uint64
	since  map[string]uint64
	calls  map[string]time.Duration // when another process last called
	silent string                   // the raters that were last logged as not heard
	begun  time.Duration            // when this process began to exchange

	// exchanged is when the newest exchange began that another process answered: what that process had then is here too.
	exchanged map[string]time.Duration
	spreading map[string]bool // the processes to which an exchange of the ordinary round is under way
	told      map[string]bool // the raters whose leaving was acknowledged
}

func newGossiper(n *Node) *gossiper {
	g := &gossiper{node: n, zone: map[string]string{}, owner: map[string]uint64{}, since: map[string]uint64{},
		calls: map[string]time.Duration{}, exchanged: map[string]time.Duration{}, spreading: map[string]bool{}, told: map[string]bool{},
		begun: n.now()}
	g.zone[n.settings.SelfInternal()] = n.settings.Zone
	return g
}

func (g *gossiper) zoneOf(address string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zone[address]
}

// others are the internal addresses of the other control processes.
func (g *gossiper) others() []string {
	published, _ := g.node.core.Published()
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
	return g.withCallers(others)
}

// withCallers adds the processes that are neither voters nor seeds and have called not long ago.
func (g *gossiper) withCallers(others []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, at := range g.calls {
		switch {
		case g.node.now()-at > callerLife:
			delete(g.calls, address)
		case !slices.Contains(others, address):
			others = append(others, address)
		}
	}
	return others
}

func (g *gossiper) run() {
	ticker := time.NewTicker(gossipEvery)
	defer ticker.Stop()
	for range ticker.C {
		g.round()
	}
}

// round exchanges what was heard since the last one, and looks for raters that have fallen silent.
func (g *gossiper) round() {
	n := g.node
	n.mu.Lock()
	fresh := n.raters.DrainUpdates(n.now())
	if n.raters.Expire(n.now()) {
		n.announce()
		g.logSilent()
	}
	n.expireSessions()
	n.mu.Unlock()
	for _, address := range g.others() {
		if g.enter(address) {
			go func() {
				defer g.exit(address)
				g.exchange(address, fresh, gossipWait)
			}()
		}
	}
	g.forgetTold()
}

// enter notes that an exchange of the ordinary round is under way; false: the one before has not ended.
func (g *gossiper) enter(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spreading[address] {
		return false
	}
	g.spreading[address] = true
	return true
}

func (g *gossiper) exit(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.spreading, address)
}

// logSilent logs which raters have been silent for long, when they are others than before. The lock is held.
func (g *gossiper) logSilent() {
	late, silent := g.node.raters.Unresponsive()
	if names := strings.Join(silent, " "); names != g.silent {
		g.silent = names
		g.node.log.Info("raters not heard", "silent", silent, "late", late)
	}
}

// expireSessions forgets nodes of the data plane that have not polled for a while. The lock is held.
func (n *Node) expireSessions() {
	for session, polled := range n.sessions {
		if n.now()-polled > sessionLife {
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
		Owner: g.owner[address], Since: g.since[address]}
	g.mu.Unlock()
	var reply ExchangeReply
	if err := n.pool.Call(address, methodGossip, &request, &reply, wait); err != nil {
		return false
	}
	n.merge(reply.Records)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zone[address], g.owner[address], g.since[address] = reply.Zone, reply.Owner, reply.Version
	g.exchanged[address] = max(g.exchanged[address], began)
	return true
}

// answer answers another copy's exchange.
func (g *gossiper) answer(request *ExchangeRequest, reply *ExchangeReply) {
	n := g.node
	g.mu.Lock()
	g.zone[request.Address] = request.Zone
	g.calls[request.Address] = n.now()
	g.mu.Unlock()
	n.merge(request.Records)
	since := request.Since
	if request.Owner != n.owner {
		since = 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Zone, reply.Owner, reply.Version = n.settings.Zone, n.owner, n.raters.Version()
	reply.Records = n.raters.ChangedSince(n.now(), since)
}

func (n *Node) merge(records []registry.Record) {
	if len(records) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.raters.Merge(n.now(), records) {
		n.announce()
	}
}
