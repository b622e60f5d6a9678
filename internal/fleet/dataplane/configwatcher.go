package dataplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// Parameters of the long poll.
const (
	// longPollTimeout is how long a control process may hold a poll while nothing changes.
	longPollTimeout = 700 * time.Millisecond
	// startupPollTimeout is the same for a node without a configuration, which must not wait until a view is
	// confirmed.
	startupPollTimeout = 150 * time.Millisecond
	// pollGrace is how long after the poll's own timeout a control process counts as unresponsive.
	pollGrace = 400 * time.Millisecond
	// maxReplyTransfer bounds the total transfer time of a reply whose bytes keep arriving.
	maxReplyTransfer = 5 * time.Second
	// maxConfirmationAge is the age of a view's confirmation above which the control process is taken to be
	// partitioned.
	maxConfirmationAge = 800 * time.Millisecond
	// avoidDuration is how long a control process is not polled after a failed poll.
	avoidDuration = 3 * time.Second
	// minBackoff is the delay after a failed poll. It doubles with each further failure, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Reasons to poll another control process although the polled one replied.
var (
	errStaleView     = errors.New("control process cannot confirm its view")
	errStaleRegistry = errors.New("control process cannot confirm its registry of backends")
	errShuttingDown  = errors.New("control process is shutting down")
)

// configWatcher watches the control plane by long polling and holds what it publishes: the configuration, the
// registry of backends and the control plane's members. run is called by one goroutine; the other methods are safe
// for concurrent use.
type configWatcher struct {
	node          *Node
	table         atomic.Pointer[operator.Table] // the current configuration, nil before the first
	leaseEnd      atomic.Int64                   // on the node's clock, in nanoseconds
	configured    chan struct{}                  // closed once there is a configuration
	polledAddress atomic.Pointer[string]         // the control process being polled
	nodesEstimate atomic.Int64                   // number of data plane nodes according to state, readable without the lock

	mu         sync.Mutex
	state      *distribution.ClientState
	seeds      []string                 // internal addresses of the control processes named in the settings
	avoidUntil map[string]time.Duration // by address of a control process, on the node's clock
}

func newConfigWatcher(n *Node) *configWatcher {
	w := &configWatcher{node: n, state: distribution.NewClientState(n.settings.Bounds.Closed, n.settings.Bounds.Revoke),
		configured: make(chan struct{}), avoidUntil: map[string]time.Duration{}}
	w.nodesEstimate.Store(1)
	w.setSeeds(n.settings)
	return w
}

// setSeeds replaces the addresses that may be polled in addition to the members that the control plane publishes.
func (w *configWatcher) setSeeds(loaded *settings.Settings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = nil
	for _, seed := range loaded.Seeds {
		if address := loaded.InternalAddress(seed); address != "" {
			w.seeds = append(w.seeds, address)
		}
	}
}

// run polls one control process at a time until the context ends.
func (w *configWatcher) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		address := w.chooseAddress()
		w.polledAddress.Store(&address)
		if address != "" && w.poll(address) == nil {
			backoff = minBackoff
			continue
		}
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(backoff)))
		if w.table.Load() != nil { // without a configuration, polls continue at the shortest interval
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// chooseAddress returns the address of the control process to poll: a random one in this node's zone and in the
// chain, else in the chain, else among the other members and the seeds. Addresses to avoid are skipped unless all
// are. It returns "" if no address is known.
func (w *configWatcher) chooseAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.node.now()
	var sameZone, otherZones, others []string
	_, members := w.state.Members()
	for _, member := range members {
		switch {
		case member.InChain && member.Zone == w.node.settings.Zone:
			sameZone = append(sameZone, member.Address)
		case member.InChain:
			otherZones = append(otherZones, member.Address)
		default:
			others = append(others, member.Address)
		}
	}
	for _, seed := range w.seeds {
		if !slices.Contains(sameZone, seed) && !slices.Contains(otherZones, seed) && !slices.Contains(others, seed) {
			others = append(others, seed)
		}
	}
	for _, group := range [][]string{sameZone, otherZones, others} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		for _, address := range group {
			if now >= w.avoidUntil[address] {
				return address
			}
		}
	}
	return w.firstAvailable(slices.Concat(sameZone, otherZones, others))
}

// firstAvailable returns the address that is to be avoided for the shortest time from now. The caller holds the
// lock.
func (w *configWatcher) firstAvailable(addresses []string) string {
	best := ""
	for _, address := range addresses {
		if best == "" || w.avoidUntil[address] < w.avoidUntil[best] {
			best = address
		}
	}
	return best
}

// poll sends one long poll and applies the reply. It returns an error if another control process should be polled
// next. In that case this one is avoided for avoidDuration if the node has a configuration; a node without one
// cannot afford to avoid any.
func (w *configWatcher) poll(address string) error {
	w.mu.Lock()
	timeout := longPollTimeout
	switch {
	case w.state.Table() == nil || w.state.Foreign():
		timeout = startupPollTimeout
	case !w.state.Confirmed():
		timeout = 0
	}
	request := w.state.Request(w.node.settings.NodeName, w.node.session, timeout)
	w.mu.Unlock()
	sentAt := w.node.now()
	var reply distribution.PollReply
	err := w.node.pool.CallLarge(address, distribution.MethodPoll, &request, &reply, timeout+pollGrace, maxReplyTransfer)
	if err == nil {
		err = w.apply(sentAt, &reply)
	}
	if err != nil && w.table.Load() != nil {
		w.mu.Lock()
		w.avoidUntil[address] = w.node.now() + avoidDuration
		w.mu.Unlock()
	}
	return err
}

// apply applies the reply to a poll. sentAt is the time of the poll on the node's clock, from which leases run. It
// returns an error if the reply cannot be applied, or if it states that the control process is out of date or
// shutting down.
func (w *configWatcher) apply(sentAt time.Duration, reply *distribution.PollReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	hadTable := w.state.Table() != nil
	change, err := w.state.Apply(sentAt, reply)
	if err != nil {
		w.node.log.Error("failed to apply configuration from the control plane", "err", err)
		return err
	}
	if change.Config {
		w.table.Store(w.state.Table())
	}
	for _, record := range change.Leaving {
		w.node.log.Debug("backend leaves", "backend", record.ID, "state", record.State, "sequence", record.Sequence)
	}
	w.leaseEnd.Store(int64(w.state.LeaseEnd()))
	w.node.retries.setNodes(w.state.Nodes())
	w.nodesEstimate.Store(int64(w.state.Nodes()))
	if change.Backends || change.Config {
		w.node.picker.update(w.state.Table(), w.state.Backends(), w.state.Nodes())
	}
	w.node.picker.observe(reply.Events)
	if !hadTable && w.state.Table() != nil {
		close(w.configured)
		w.node.pool.SetEager(false)
	}
	switch {
	case reply.Leaving:
		return errShuttingDown
	case !reply.Confirmed || reply.ConfirmedAgo > maxConfirmationAge:
		return errStaleView
	case !reply.ListConfirmed || reply.ListConfirmedAgo > distribution.MaxRegistryConfirmationAge:
		return errStaleRegistry
	}
	return nil
}

// members returns the control processes and the epoch of the view that lists them.
func (w *configWatcher) members() (uint64, []distribution.ControlMember) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Members()
}

// nodeCount returns the approximate number of data plane nodes, at least 1.
func (w *configWatcher) nodeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Nodes()
}
