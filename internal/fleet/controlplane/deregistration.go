package controlplane

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Parameters of the acknowledgement of a deregistration. When a data plane node receives a poll reply from a
// control process whose registry was confirmed longer ago than distribution.MaxRegistryConfirmationAge, the node
// switches to another control process. So no node still follows a process that has been unresponsive for
// unresponsiveAfter, unless that process has received the deregistration from others.
const (
	replicateTimeout       = 850 * time.Millisecond // for all attempts; a backend waits for one second
	exchangeTimeout        = 250 * time.Millisecond // of one exchange
	replicateRetryInterval = 20 * time.Millisecond
	unresponsiveAfter      = 2 * time.Second
	// discoveryTime is how long after its start a process has been called by every other running process, also by those that are
	// neither voters nor seeds, and therefore knows whom to tell: a period of their gossip and the time of a call.
	discoveryTime = gossipInterval + 100*time.Millisecond
)

// replicateDeregistration replicates the record of a draining or removed backend. It returns nil once the record
// is known to a majority of the voters and to every responsive control process, and otherwise an error of kind
// OutcomeUnknown. Registries are not stored: where all voters are killed, the other processes restore the record.
func (g *gossiper) replicateDeregistration(record registry.Record) error {
	if g.isAcknowledged(record.ID) {
		return nil
	}
	began := g.node.now()
	replicated := map[string]bool{}
	isReplicated := func(address string) bool { return replicated[address] }
	for {
		pending := slices.DeleteFunc(g.peers(), isReplicated)
		for _, address := range g.exchangeAll(pending, []registry.Record{record}) {
			replicated[address] = true
		}
		pending = slices.DeleteFunc(g.peers(), isReplicated)
		if g.replicatedWidely(replicated, pending) {
			g.setAcknowledged(record.ID)
			g.node.log.Info("deregistration replicated", "rater", record.ID, "state", record.State, "sequence", record.Sequence,
				"described", record.Address != "")
			return nil
		}
		remaining := replicateTimeout - (g.node.now() - began)
		if remaining < replicateRetryInterval || len(pending) > 0 && remaining < exchangeTimeout {
			return errkind.New(errkind.OutcomeUnknown, "not enough of the control plane has the news that rater %s leaves", record.ID)
		}
		time.Sleep(replicateRetryInterval)
	}
}

// exchangeAll exchanges records with several processes concurrently and returns the addresses of those that
// replied.
func (g *gossiper) exchangeAll(addresses []string, records []registry.Record) []string {
	results := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			if !g.exchangeRecords(address, records, exchangeTimeout) {
				address = ""
			}
			results <- address
		}()
	}
	var answered []string
	for range addresses {
		if address := <-results; address != "" {
			answered = append(answered, address)
		}
	}
	return answered
}

// replicatedWidely reports whether a majority of the voters has a record and every pending process, which has not
// confirmed it, has been unresponsive for so long that no data plane node follows it. A process that started less than
// discoveryTime ago does not know all processes yet.
func (g *gossiper) replicatedWidely(replicated map[string]bool, pending []string) bool {
	published, _ := g.node.replicator.Published()
	voters := 0
	for _, voter := range published.View.Voters {
		if voter == published.Self || replicated[voter.Address] {
			voters++
		}
	}
	if 2*voters <= len(published.View.Voters) {
		return false
	}
	now := g.node.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.started < discoveryTime {
		return false
	}
	for _, address := range pending {
		// A recently started process does not know when the others last responded.
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

// pruneAcknowledged removes the backends that are no longer in the registry.
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

// registryConfirmedAt returns the latest time at which this process's registry is known to have contained every
// acknowledged deregistration, or 0 for never. Each acknowledged deregistration is known to a majority of the
// voters, and therefore to at least one member of any majority with which this process has exchanged records
// since. The result is thus the median of the voters' last exchange times. This does not hold for a majority that was
// started again since the acknowledgement, until it has exchanged records with a process that was not.
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
