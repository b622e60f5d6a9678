package dataplane

import (
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

// The figures of the long poll.
const (
	pollHold     = 700 * time.Millisecond
	pollGrace    = 400 * time.Millisecond // beyond the hold after which a control process counts as silent
	pollMost     = 5 * time.Second        // that an answer may take while its bytes come
	staleAfter   = 800 * time.Millisecond // a control process that confirmed its view longer ago is cut off
	avoidFor     = 3 * time.Second
	pauseMin     = 20 * time.Millisecond
	pauseMax     = 200 * time.Millisecond
	startHold    = 150 * time.Millisecond // that a control process may wait for its own confirmation before it answers a new node
	homeInterval = 5 * time.Second        // after which a node that had to turn elsewhere tries its own zone again
)

var errStale = errors.New("the control process cannot confirm its view")
var errStaleList = errors.New("the control process cannot confirm its list of raters")
var errLeaving = errors.New("the control process is about to end")

// configWatcher keeps the node's copy of what the control plane gives out.
type configWatcher struct {
	node       *Node
	table      atomic.Pointer[operator.Table]
	leaseEnd   atomic.Int64
	configured chan struct{}
	current    atomic.Pointer[string] // the control process that is being asked
	nodesHint  atomic.Int64           // about how many nodes of the data plane there are

	mu    sync.Mutex
	copy  *distribution.ClientState
	seeds []string
	avoid map[string]time.Duration // until when a control process is left alone
}

func newConfigWatcher(n *Node) *configWatcher {
	f := &configWatcher{node: n, copy: distribution.NewClientState(n.settings.Bounds.Closed, n.settings.Bounds.Revoke),
		configured: make(chan struct{}), avoid: map[string]time.Duration{}}
	f.nodesHint.Store(1)
	f.setSeeds(n.settings)
	return f
}

func (f *configWatcher) setSeeds(set *settings.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = nil
	for _, seed := range set.Seeds {
		if address := set.InternalAddress(seed); address != "" {
			f.seeds = append(f.seeds, address)
		}
	}
}

// run polls, always one control process at a time.
func (f *configWatcher) run() {
	pause := pauseMin
	for {
		address := f.choose()
		f.current.Store(&address)
		if address != "" && f.poll(address) == nil {
			pause = pauseMin
			continue
		}
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
		if f.table.Load() != nil { // one that cannot serve yet asks on as soon as it may
			pause = min(2*pause, pauseMax)
		}
	}
}

// choose gives the control process to ask: one of the chain, in the own zone if there is one.
func (f *configWatcher) choose() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.node.now()
	var near, chain, others []string
	_, members := f.copy.Members()
	for _, member := range members {
		switch {
		case member.InChain && member.Zone == f.node.settings.Zone:
			near = append(near, member.Address)
		case member.InChain:
			chain = append(chain, member.Address)
		default:
			others = append(others, member.Address)
		}
	}
	for _, seed := range f.seeds {
		if !slices.Contains(near, seed) && !slices.Contains(chain, seed) && !slices.Contains(others, seed) {
			others = append(others, seed)
		}
	}
	for _, group := range [][]string{near, chain, others} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		for _, address := range group {
			if now >= f.avoid[address] {
				return address
			}
		}
	}
	return f.leastAvoided(slices.Concat(near, chain, others))
}

// leastAvoided gives the process whose time to be left alone ends first.
func (f *configWatcher) leastAvoided(addresses []string) string {
	best := ""
	for _, address := range addresses {
		if best == "" || f.avoid[address] < f.avoid[best] {
			best = address
		}
	}
	return best
}

func (f *configWatcher) poll(address string) error {
	f.mu.Lock()
	hold := pollHold
	switch {
	case f.copy.Table() == nil:
		hold = startHold
	case !f.copy.Confirmed():
		hold = 0
	}
	request := f.copy.Request(f.node.settings.NodeName, f.node.session, hold)
	f.mu.Unlock()
	sent := f.node.now()
	var reply distribution.PollReply
	err := f.node.pool.CallLarge(address, distribution.MethodPoll, &request, &reply, hold+pollGrace, pollMost)
	if err == nil {
		err = f.take(sent, &reply)
	}
	if err != nil && f.table.Load() != nil {
		f.mu.Lock()
		f.avoid[address] = f.node.now() + avoidFor
		f.mu.Unlock()
	}
	return err
}

func (f *configWatcher) take(sent time.Duration, reply *distribution.PollReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	hadTable := f.copy.Table() != nil
	change, err := f.copy.Apply(sent, reply)
	if err != nil {
		f.node.log.Error("configuration from the control plane not taken", "err", err)
		return err
	}
	if change.Config {
		f.table.Store(f.copy.Table())
	}
	f.leaseEnd.Store(int64(f.copy.LeaseEnd()))
	f.node.retries.setNodes(f.copy.Nodes())
	f.nodesHint.Store(int64(f.copy.Nodes()))
	if change.Backends || change.Config {
		f.node.picker.update(f.copy.Table(), f.copy.Backends(), f.copy.Nodes())
	}
	f.node.picker.heard(reply.Events)
	if !hadTable && f.copy.Table() != nil {
		close(f.configured)
		f.node.pool.SetEager(false)
	}
	switch {
	case reply.Leaving:
		return errLeaving
	case !reply.Confirmed || reply.ConfirmedAgo > staleAfter:
		return errStale
	case !reply.ListConfirmed || reply.ListConfirmedAgo > distribution.MaxRegistryAge:
		return errStaleList
	}
	return nil
}

// members are the control processes and the epoch in which they were.
func (f *configWatcher) members() (uint64, []distribution.ControlMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Members()
}

func (f *configWatcher) nodes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Nodes()
}

// ApplySettings takes a settings file that has changed while the process runs: the seeds may be others.
func (n *Node) ApplySettings(set *settings.Settings) { n.watcher.setSeeds(set) }
