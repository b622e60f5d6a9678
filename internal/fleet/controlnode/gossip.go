package controlnode

import (
	"maps"
	"slices"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// The figures of the exchange of registries.
const (
	gossipEvery  = 400 * time.Millisecond
	gossipWait   = 350 * time.Millisecond
	spreadWait   = 300 * time.Millisecond // that a rater's news waits for the other copies before it is acknowledged
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

	mu    sync.Mutex
	zone  map[string]string
	owner map[string]uint64
	since map[string]uint64
}

func newGossiper(n *Node) *gossiper {
	g := &gossiper{node: n, zone: map[string]string{}, owner: map[string]uint64{}, since: map[string]uint64{}}
	g.zone[n.settings.SelfInternal()] = n.settings.Zone
	return g
}

func (g *gossiper) zones() map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.zone)
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
	fresh := n.raters.Fresh(n.now())
	if n.raters.Expire(n.now()) {
		n.announce()
	}
	n.mu.Unlock()
	for _, address := range g.others() {
		go g.exchange(address, fresh, gossipWait)
	}
}

// spread hands records to all other copies and waits for those that answer soon.
func (g *gossiper) spread(records []registry.Record) {
	others := g.others()
	done := make(chan struct{}, len(others))
	for _, address := range others {
		go func() {
			g.exchange(address, records, spreadWait)
			done <- struct{}{}
		}()
	}
	deadline := time.NewTimer(spreadWait)
	defer deadline.Stop()
	for range others {
		select {
		case <-done:
		case <-deadline.C:
			return
		}
	}
}

func (g *gossiper) exchange(address string, records []registry.Record, wait time.Duration) {
	n := g.node
	g.mu.Lock()
	request := ExchangeRequest{Address: n.settings.SelfInternal(), Zone: n.settings.Zone, Records: records,
		Owner: g.owner[address], Since: g.since[address]}
	g.mu.Unlock()
	var reply ExchangeReply
	if err := n.pool.Call(address, methodGossip, &request, &reply, wait); err != nil {
		return
	}
	g.mu.Lock()
	g.zone[address], g.owner[address], g.since[address] = reply.Zone, reply.Owner, reply.Version
	g.mu.Unlock()
	n.merge(reply.Records)
}

// answer answers another copy's exchange.
func (g *gossiper) answer(request *ExchangeRequest, reply *ExchangeReply) {
	n := g.node
	g.mu.Lock()
	g.zone[request.Address] = request.Zone
	g.mu.Unlock()
	n.merge(request.Records)
	since := request.Since
	if request.Owner != n.owner {
		since = 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Zone, reply.Owner, reply.Version = n.settings.Zone, n.owner, n.raters.Version()
	reply.Records = n.raters.Since(n.now(), since)
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
