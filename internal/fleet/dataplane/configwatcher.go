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
	longPollTimeout    = 700 * time.Millisecond // for which a control process may keep a poll open while nothing changes
	startupPollTimeout = 150 * time.Millisecond // the same for a node without a configuration: it must not wait for a view to be confirmed
	pollGrace          = 400 * time.Millisecond // beyond the poll's own timeout, after which a control process counts as unresponsive
	maxReplyTransfer   = 5 * time.Second        // that a reply may take in all, as long as its bytes keep coming
	maxConfirmationAge = 800 * time.Millisecond // a control process that confirmed its view longer ago is partitioned
	avoidDuration      = 3 * time.Second        // for which a control process is not polled again after a failed poll
	minBackoff         = 20 * time.Millisecond  // between failed polls, doubled each time
	maxBackoff         = 200 * time.Millisecond
)

// Reasons to poll another control process although this one replied.
var (
	errStaleView     = errors.New("the control process cannot confirm its view")
	errStaleRegistry = errors.New("the control process cannot confirm its registry of backends")
	errShuttingDown  = errors.New("the control process is shutting down")
)

// configWatcher follows the control plane by long poll and holds what it publishes: the configuration, the registry of backends
// and the control plane's own members. One goroutine runs it; the other methods may be called at any time.
type configWatcher struct {
	node          *Node
	table         atomic.Pointer[operator.Table] // the configuration in force, nil before the first
	leaseEnd      atomic.Int64                   // on the node's clock, in nanoseconds
	configured    chan struct{}                  // closed once there is a configuration
	polledAddress atomic.Pointer[string]         // the control process that is being polled
	nodesEstimate atomic.Int64                   // number of nodes of the data plane, as state has it, to be read without the lock

	mu         sync.Mutex
	state      *distribution.ClientState
	seeds      []string                 // addresses of control processes from the settings
	avoidUntil map[string]time.Duration // by address of a control process, on the node's clock
}

func newConfigWatcher(n *Node) *configWatcher {
	w := &configWatcher{node: n, state: distribution.NewClientState(n.settings.Bounds.Closed, n.settings.Bounds.Revoke),
		configured: make(chan struct{}), avoidUntil: map[string]time.Duration{}}
	w.nodesEstimate.Store(1)
	w.setSeeds(n.settings)
	return w
}

// setSeeds replaces the addresses that are polled before, and beside, the members that the control plane names.
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
		if w.table.Load() != nil { // a node that cannot serve yet keeps polling as often as it may
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// chooseAddress returns the control process to poll: a random one of the chain in this node's zone, else of the chain, else of
// the other members and the seeds. It returns "" where none is known.
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

// firstAvailable returns the address that is avoided for the shortest time. The caller holds the lock.
func (w *configWatcher) firstAvailable(addresses []string) string {
	best := ""
	for _, address := range addresses {
		if best == "" || w.avoidUntil[address] < w.avoidUntil[best] {
			best = address
		}
	}
	return best
}

// poll sends one long poll and applies its reply. It returns an error where another control process should be polled next; it
// avoids this one for a while if the node has a configuration and can afford to.
func (w *configWatcher) poll(address string) error {
	w.mu.Lock()
	timeout := longPollTimeout
	switch {
	case w.state.Table() == nil:
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

// apply takes the reply to a poll that was sent at a time of the node's clock: leases run from there. It returns an error where
// the reply could not be applied, or where the control process says that it is not one to rely on.
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

// members returns the control processes and the epoch of the view that names them.
func (w *configWatcher) members() (uint64, []distribution.ControlMember) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Members()
}

// nodeCount returns about how many nodes of the data plane there are, at least 1.
func (w *configWatcher) nodeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Nodes()
}
