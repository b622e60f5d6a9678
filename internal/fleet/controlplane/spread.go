package controlplane

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// The figures of acknowledging that a rater leaves. A node of the data plane turns away from a control process whose list of
// raters was certainly whole longer ago than distribution.MaxRegistryAge, at its next answer to a poll. So a process that has been
// silent for unresponsiveAfter is followed by no node any more, or has the news from others.
const (
	replicateTimeout       = 850 * time.Millisecond // in which the others must have the news; a rater waits for a second
	replicateCallTimeout   = 250 * time.Millisecond // that one exchange may take
	replicateRetryInterval = 20 * time.Millisecond
	unresponsiveAfter      = 2 * time.Second
)

// replicateDeregistration has the news that a rater leaves known before it is acknowledged: by a majority of the voters, and by every
// control process that a node of the data plane may be following.
func (g *gossiper) replicateDeregistration(record registry.Record) error {
	if g.isAcknowledged(record.ID) {
		return nil
	}
	began := g.node.now()
	waiting := g.peers()
	knows := map[string]bool{}
	for {
		for _, address := range g.exchangeAll(waiting, []registry.Record{record}) {
			knows[address] = true
		}
		waiting = slices.DeleteFunc(waiting, func(address string) bool { return knows[address] })
		if g.replicatedWidely(knows, waiting) {
			g.setAcknowledged(record.ID)
			return nil
		}
		if g.node.now()-began > replicateTimeout-replicateCallTimeout {
			return errkind.New(errkind.OutcomeUnknown, "not enough of the control plane has the news that rater %s leaves", record.ID)
		}
		time.Sleep(replicateRetryInterval)
	}
}

// exchangeAll exchanges with several processes at once, and gives those that answered.
func (g *gossiper) exchangeAll(addresses []string, records []registry.Record) []string {
	answers := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			if !g.exchange(address, records, replicateCallTimeout) {
				address = ""
			}
			answers <- address
		}()
	}
	var answered []string
	for range addresses {
		if address := <-answers; address != "" {
			answered = append(answered, address)
		}
	}
	return answered
}

// replicatedWidely tells whether a majority of the voters has some news, and all others that do not have been silent for long.
func (g *gossiper) replicatedWidely(knows map[string]bool, waiting []string) bool {
	published, _ := g.node.replicator.Published()
	voters := 0
	for _, voter := range published.View.Voters {
		if voter == published.Self || knows[voter.Address] {
			voters++
		}
	}
	if 2*voters <= len(published.View.Voters) {
		return false
	}
	now := g.node.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range waiting {
		if now-max(g.lastExchanges[address], g.started) < unresponsiveAfter {
			return false
		}
	}
	return true
}

func (g *gossiper) isAcknowledged(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledged[id]
}

func (g *gossiper) setAcknowledged(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged[id] = true
}

// pruneAcknowledged forgets the raters that the registry has forgotten.
func (g *gossiper) pruneAcknowledged() {
	g.node.mu.Lock()
	defer g.node.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.acknowledged {
		if _, known := g.node.registry.Get(0, id); !known {
			delete(g.acknowledged, id)
		}
	}
}

// registryConfirmedAt is the newest time at which this process's list of raters certainly held everything that was acknowledged: it
// has since exchanged with a majority of the voters. 0 = never.
func (g *gossiper) registryConfirmedAt(view *replica.View, self replica.Member) time.Duration {
	if len(view.Voters) == 0 {
		return 0
	}
	now := g.node.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	times := make([]time.Duration, 0, len(view.Voters))
	for _, voter := range view.Voters {
		if voter == self {
			times = append(times, now)
			continue
		}
		times = append(times, g.lastExchanges[voter.Address])
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
