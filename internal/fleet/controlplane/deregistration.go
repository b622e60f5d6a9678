package controlplane

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Parameters of the acknowledgement of a deregistration. At its next answer to a poll, a node of the data plane turns away from
// a control process whose registry was confirmed longer ago than distribution.MaxRegistryConfirmationAge. So no node follows a process any
// more that has been unresponsive for unresponsiveAfter, unless that has the deregistration from others.
const (
	replicateTimeout       = 850 * time.Millisecond // with all attempts; a backend waits for a second
	exchangeTimeout        = 250 * time.Millisecond // of one exchange
	replicateRetryInterval = 20 * time.Millisecond
	unresponsiveAfter      = 2 * time.Second
)

// replicateDeregistration returns nil when the record of a backend that drains or has ended is known to a majority of the
// voters and to every control process that a node of the data plane may follow. The kind of its error is OutcomeUnknown.
func (g *gossiper) replicateDeregistration(record registry.Record) error {
	if g.isAcknowledged(record.ID) {
		return nil
	}
	began := g.node.now()
	pending := g.peers()
	replicated := map[string]bool{}
	for {
		for _, address := range g.exchangeAll(pending, []registry.Record{record}) {
			replicated[address] = true
		}
		pending = slices.DeleteFunc(pending, func(address string) bool { return replicated[address] })
		if g.replicatedWidely(replicated, pending) {
			g.setAcknowledged(record.ID)
			return nil
		}
		if g.node.now()-began > replicateTimeout-exchangeTimeout {
			return errkind.New(errkind.OutcomeUnknown, "not enough of the control plane has the news that rater %s leaves", record.ID)
		}
		time.Sleep(replicateRetryInterval)
	}
}

// exchangeAll exchanges with several processes at once and returns the addresses of those that answered.
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

// replicatedWidely reports whether a majority of the voters has a record, and all other processes that do not have it have
// been unresponsive for so long that no node of the data plane follows them.
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
	for _, address := range pending {
		// A process that has just started does not know yet when the others were last responsive.
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

// pruneAcknowledged removes the backends that the registry no longer has.
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

// registryConfirmedAt returns the newest time at which this process's registry certainly had every acknowledged
// deregistration, 0 for never. Each of those is known to a majority of the voters, and so to one at least of any majority that
// this process has exchanged with since: the median of the voters' exchanges is that time.
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
