// Package node assembles a whole proxy node: embed it with New and Run.
package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/log"
	"linenwheel.dev/linenwheel/internal/node/admin"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/downstream/httpserver"
	"linenwheel.dev/linenwheel/internal/node/endpoints/discovery"
	"linenwheel.dev/linenwheel/internal/node/idempotency/journal"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/idempotency/replicated"
	"linenwheel.dev/linenwheel/internal/node/metrics"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/options"
	quotaedge "linenwheel.dev/linenwheel/internal/node/quota/middleware"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	policygate "linenwheel.dev/linenwheel/internal/node/rollout/gate"
	"linenwheel.dev/linenwheel/internal/node/shutdown"
	"linenwheel.dev/linenwheel/internal/node/shutdown/driver"
	"linenwheel.dev/linenwheel/internal/node/upstream/connpool"
)

// Config is a node's configuration.
type Config = config.Config

// Load reads the environment and the file that ROUTER_CONFIG names.
func Load(getenv func(string) string) (*Config, error) { return config.Load(getenv) }

// Options are the settings that the platform's configuration does not contain.
type Options = options.Options

// DefaultOptions returns the options of a node without an options file.
func DefaultOptions() Options { return options.Default() }

// LoadOptions reads an options file and checks it against the platform's configuration. Without a path, it returns
// the defaults.
func LoadOptions(path string, conf *Config) (Options, error) {
	file, err := loadOptions(path, conf)
	if err != nil {
		return Options{}, err
	}
	return file.Options, nil
}

func loadOptions(path string, conf *Config) (*options.File, error) {
	file, faults := options.Load(path)
	if len(faults) == 0 {
		faults = file.Against(conf)
	}
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return file, nil
}

// Call and the types beside it describe the processing of a call, for an embedder that adds stages of its own.
type (
	Call = core.Call
	// Answer is the outcome of a call.
	Answer = core.Answer
	// Handler processes a call and returns its answer.
	Handler = core.Handler
	// Stage wraps a handler.
	Stage = core.Stage
)

// The kinds of answer, and the causes of those that were not served; see core.
const (
	Served  = core.Served
	Refused = core.Refused
	Failed  = core.Failed
	Left    = core.ClientLeft

	Busy        = core.Busy
	OverQuota   = core.OverQuota
	Unavailable = core.Unavailable
	Invalid     = core.Invalid
	Unproven    = core.Unauthenticated
	Forbidden   = core.Forbidden
	Mismatch    = core.KeyMismatch
	Looping     = core.LoopDetected
)

// Refuse returns a refusal, after which a retry is harmless. wait is the time in milliseconds to wait before it,
// if above 0.
func Refuse(f core.Fault, reason string, wait float64) Answer { return core.Refuse(f, reason, wait) }

// Fail returns a failure.
func Fail(f core.Fault, reason string) Answer { return core.Fail(f, reason) }

// Extras are what an embedder adds to a node; the zero value adds nothing.
type Extras struct {
	Options *Options       // nil = the defaults
	Log     *slog.Logger   // nil = a logger to standard error as the options say; records have the node's time
	Level   *slog.LevelVar // Log's level, which the option log.level then sets; nil = the node leaves it alone
	First   []Stage        // stages before all of the node's own
	Last    []Stage        // stages after the node's own, directly before the dispatch decision

	Listener  net.Listener    // where clients connect, owned by the node from here on; nil = the node listens itself
	Hold      bool            // clients wait in its backlog until StartAccepting; FromPeers is then applied before the first
	Known     *Knowledge      // state from another process of this node, nil = none
	FromPeers []PeerKnowledge // state from other nodes, applied once the node is ready; see Hold
}

// handoverSpare is by how many the connections to backends may exceed the clients' connections in a node that
// another process has taken over from.
const handoverSpare = 4

const maxTimerWait = 60000 // the longest that the timers' goroutine waits, in milliseconds

// Node is one proxy node.
type Node struct {
	conf         *Config
	opts         atomic.Pointer[Options] // the options in force
	clock        clock.Clock
	log          *slog.Logger
	level        *slog.LevelVar // log level; nil if the node does not control it
	logInterval  log.Interval   // limits messages that clients, backends or discovery can cause in large numbers
	dispatcher   *dispatch.Dispatcher
	gate         *driver.Gate
	core         *core.Core
	loop         *netpoll.Loop
	httpServer   *httpserver.Server
	pool         *connpool.Pool
	watcher      *discovery.Watcher
	endpointList *endpointList // the endpoint list built from several sources; nil = discovery's list is used as it is
	thrift       *thriftParts  // nil = Thrift is not enabled
	wakeup       chan struct{}

	quota       *quotaedge.Middleware  // nil = no quotas are enforced
	idempotency *middleware.Middleware // nil = repeated requests are not detected
	keyTransfer keyTransferState       // transfer of idempotency keys to or from another process
	journal     *journal.Journal       // journal of idempotency keys, nil = none
	journalLock *os.File               // lock that keeps other processes from the journal

	peers          *peers           // access to the fleet's replicated log; nil = the node shares nothing with the fleet
	replicatedKeys *replicated.Keys // idempotency keys replicated by the fleet; nil = they are kept by this node alone
	policyGate     *policygate.Gate // admits calls under the fleet's policy; nil = only this node's own file applies
	localOptions   Options          // options of this machine, without the fleet's policy; guarded by reload
	policyDoc      rollout.Document // the fleet's policy, Number 0 = none; guarded by reload

	nodeMetrics *metrics.Counters
	bodyBudget  *bodypipe.Budget // memory for request and response bodies
	adminServer *admin.Door      // nil = there is no admin endpoint
	orders      orders

	startedAt    float64            // when the node was created
	initial      *Knowledge         // state of another process, applied at the start
	fromPeers    []PeerKnowledge    // state of other nodes, kept until the node is ready
	fleetSize    int                // number of instances in the fleet
	jitter       func() float64     // random phase of this node's timers; nil if there are no other nodes
	heartbeats   chan chan struct{} // each channel is closed once the dispatchers' timers have been run
	ready        chan struct{}      // closed when the node can serve
	stopping     chan struct{}      // closed when the node has been asked to stop
	handedOver   chan struct{}      // closed when another process accepts
	handOverOnce sync.Once

	reload sync.Mutex // held by Reload
}

// New creates a node and listens; it serves once Run is called.
func New(conf *Config, extra Extras) (*Node, error) { return newNode(conf, extra, clock.NewSystem()) }

func newNode(conf *Config, extra Extras, c clock.Clock) (made *Node, err error) {
	o := DefaultOptions()
	if extra.Options != nil {
		o = *extra.Options
	}
	if faults := options.Check(o, conf); len(faults) > 0 {
		return nil, faults[0]
	}
	n := &Node{conf: conf, clock: c, level: extra.Level, initial: extra.Known, fromPeers: extra.FromPeers, wakeup: make(chan struct{}, 1),
		heartbeats: make(chan chan struct{}), ready: make(chan struct{}), startedAt: c.Now(),
		stopping: make(chan struct{}), handedOver: make(chan struct{})}
	logger := extra.Log
	if logger == nil {
		n.level = new(slog.LevelVar)
		logger = NewLog(os.Stderr, &o, n.level)
	}
	logger = log.On(logger, c).With("node", conf.Name)
	n.log = logger.With("part", "node")
	n.nodeMetrics, n.bodyBudget = metrics.New(classNames(conf)), bodypipe.NewBudget(bodyBudgetBytes(conf, &o))
	sparse := log.Sparse(logger, c, &n.logInterval)
	set, seed := conf.Settings, conf.Seed
	set.Nodes, set.Node = o.Fleet.Place(conf.Name, set.Nodes, set.Node)
	if n.fleetSize, n.jitter = set.Nodes, jitterSource(conf, set.Nodes); n.jitter != nil {
		seed ^= nameHash(conf.Name)
	}
	n.dispatcher, err = dispatch.New(set, seed, n.clock, sparse.With("part", "pilot"), n.wake)
	if err != nil {
		return nil, err
	}
	room := o.Room(conf)
	var side *httpserver.Server
	ready := make(chan struct{}) // a client may connect before the other components are set up
	n.loop, err = listen(&extra, conf.Listen, room.Clients+room.Spare, c, func(c *netpoll.Conn) netpoll.Handler {
		<-ready
		return side.Accept(c)
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			n.closeUnstarted()
		}
	}()
	n.pool = connpool.New(connpool.Settings{Protocol: protocols(conf, &o),
		ConnectTimeout: conf.ConnectTimeout, Connections: room.Hosts,
		Settle: o.South.Settle.Ms, ToOne: n.connectionsPerHost(o.Fleet.RaterConnections, n.fleetSize), Limits: poolLimits(conf, &o), Sent: n.nodeMetrics.AttemptSent, Budget: n.bodyBudget}, n.clock, n.loop, sparse.With("part", "south"))
	n.gate = driver.New(usefulFor(conf), drainTimes(&o), c)
	stages, first, err := n.stages(&extra, &o, sparse)
	if err != nil {
		return nil, err
	}
	calls := core.Settings{MaxCalls: n.maxCalls(room), Gate: n.gate, Stages: stages, Metrics: n.nodeMetrics}
	n.core = core.New(calls, n.dispatcher, n.pool, sparse.With("part", "core"))
	n.httpServer = httpserver.New(serverSettings(conf, &o, room, n.bodyBudget), n.clock, n.core, n.gate, sparse.With("part", "north"))
	side = n.httpServer
	n.gate.SetHooks(driver.Hooks{Announce: n.logStop, StopAccepting: n.stopAccepting, CloseIdle: n.sweepConnections, Finish: n.finish})
	close(ready)
	if err := n.initThrift(set, seed, &o, room, calls, sparse); err != nil {
		return nil, err
	}
	n.watcher = &discovery.Watcher{Address: conf.Discovery, Limits: listLimits(conf, &o), Loop: n.loop, Clock: n.clock,
		Log: sparse.With("part", "inventory"), Sink: directSink{n.updateEndpoints}, Most: o.Inventory.Discovery.ListMost.Bytes,
		Chance: jitterSource(conf, n.fleetSize), Spread: callSpread(&set), Known: -1, First: first}
	if len(conf.Known.Hosts) > 0 {
		n.watcher.Known = conf.Known.Index
	}
	if !o.Inventory.Plain() {
		if n.endpointList, err = newEndpointList(conf, &o.Inventory, n.watcher, n.updateEndpoints); err != nil {
			return nil, err
		}
	}
	n.apply(o)
	if n.idempotency != nil && n.policyGate == nil { // otherwise no call begins before the first policy is known
		n.idempotency.FixNaming()
	}
	if err := n.openAdmin(); err != nil {
		return nil, err
	}
	return n, nil
}

// stages creates the stages that calls pass before they are dispatched, and the function to call once for each
// source and each part of the fleet that has been queried.
func (n *Node) stages(extra *Extras, o *Options, sparse *slog.Logger) (core.Stages, func(), error) {
	stages := core.Stages{First: extra.First, Last: extra.Last}
	var err error
	if o.Quota.On {
		if n.quota, err = n.newQuota(&o.Quota, sparse.With("part", "quota")); err != nil {
			return stages, nil, err
		}
		stages.Quota = n.quota.Wrap
	}
	sources := len(o.Inventory.Sources())
	if o.Peers.Fleet != "" {
		n.peers = newPeers(n.conf, &o.Peers)
		sources++ // one more source to query before the node is ready
		if n.quota != nil {
			n.lease(&o.Quota)
		}
	}
	if o.Policy.On {
		sources++
	}
	first := n.readyAfter(sources)
	if n.peers != nil {
		n.peers.ordersDone = first
	}
	n.localOptions = *o
	if o.Policy.On {
		n.policyGate = n.newPolicyGate(&o.Policy, first, sparse.With("part", "policy"))
		stages.First = append([]Stage{n.policyGate.Wrap}, stages.First...)
	}
	if o.Repeats.On {
		if n.idempotency, err = n.newIdempotency(&o.Repeats, sparse.With("part", "repeats")); err != nil {
			return stages, nil, err
		}
		stages.Idempotency = n.idempotency.Wrap
	}
	return stages, first, nil
}

// closeUnstarted releases what a node holds whose creation failed.
func (n *Node) closeUnstarted() {
	n.loop.Stop()
	if n.thrift != nil && n.thrift.loop != nil {
		n.thrift.loop.Stop()
	}
	if n.peers != nil {
		n.peers.log.Close()
	}
	if n.journalLock != nil {
		_ = n.journalLock.Close() // it is empty
	}
}

// Endings returns how many final answers have been given, by kind and reason.
func (n *Node) Endings() []core.AnswerCount { return n.core.AnswerCounts() }

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.loop.Addr() }

// NewLog returns a logger as configured by o, and sets level, which can be changed later, to the level of o.
func NewLog(w io.Writer, o *Options, level *slog.LevelVar) *slog.Logger {
	level.Set(logLevel(o))
	format := log.Text
	if o.Log.Format == log.JSON.String() {
		format = log.JSON
	}
	return log.New(w, format, level)
}

func logLevel(o *Options) slog.Level {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(o.Log.Level)) // options.Check admits only levels that slog knows
	return level
}

// apply puts options into force.
func (n *Node) apply(o Options) {
	if n.level != nil {
		n.level.Set(logLevel(&o))
	}
	n.logInterval.Set(o.Log.FloodInterval.Ms)
	n.pool.Limit(poolLimits(n.conf, &o))
	n.httpServer.SetLimits(serverLimits(&o))
	n.watcher.SetLimits(listLimits(n.conf, &o))
	if n.endpointList != nil {
		n.endpointList.applyOptions(&o)
	}
	if was := n.opts.Load(); len(o.Inventory.Out) > 0 || was != nil && len(was.Inventory.Out) > 0 {
		n.excludeBackends(o.Inventory.Out)
	}
	if was := n.opts.Load(); was != nil && !reflect.DeepEqual(was.Quota, o.Quota) {
		n.updateQuota(&o.Quota)
	}
	if was := n.opts.Load(); was != nil && n.idempotency != nil && !reflect.DeepEqual(was.Repeats.Classes, o.Repeats.Classes) {
		n.updateClasses(&o.Repeats)
	}
	n.opts.Store(&o)
}

// Reload reads the configuration again, at any time while the node runs: the file that ROUTER_CONFIG names, and
// the one that LINENWHEEL_OPTIONS names, if set. The watch moves to the new address of discovery, the process's
// limits are updated, and so are the options that can change at run time. All other changes wait for the next
// start and are named in the log. An invalid file changes nothing.
func (n *Node) Reload(getenv func(string) string) {
	n.reload.Lock()
	defer n.reload.Unlock()
	conf, next, local, taken, waiting, err := n.read(getenv)
	if err != nil {
		n.log.Error("configuration reload failed; keeping the previous configuration", "error", err)
		return
	}
	SetLimits(conf, &next)
	n.localOptions = local
	n.apply(next)
	n.watcher.SetAddress(conf.Discovery)
	n.log.Info("configuration reloaded", "discovery", conf.Discovery, "taken", taken, "waiting", waiting)
	if n.policyDoc.Number > 0 {
		n.log.Info("the fleet's policy overrides the options file; the file sets only options of this machine", "number", n.policyDoc.Number)
	}
}

// read reads the new configuration for Reload, and names the options that take effect now and those that wait for
// the next start.
func (n *Node) read(getenv func(string) string) (conf *Config, next, local Options, taken, waiting []string, err error) {
	if conf, err = config.Reload(getenv); err != nil {
		return conf, next, local, nil, nil, err
	}
	file := &options.File{Options: n.localOptions}
	if path := getenv("LINENWHEEL_OPTIONS"); path != "" {
		if file, err = loadOptions(path, conf); err != nil {
			return conf, next, local, nil, nil, err
		}
	}
	for _, field := range []struct {
		name string
		new  bool
	}{{"name", conf.Name != n.conf.Name}, {"listen", conf.Listen != n.conf.Listen},
		{"limits.sockets", conf.Sockets != n.conf.Sockets},
		{"settings", conf.ConnectTimeout != n.conf.ConnectTimeout || conf.ConnIdle != n.conf.ConnIdle ||
			conf.MaxOpen != n.conf.MaxOpen || !reflect.DeepEqual(conf.Settings, n.conf.Settings)}} {
		if field.new {
			waiting = append(waiting, field.name)
		}
	}
	local, taken, later := options.Take(&n.localOptions, &file.Options)
	now := *n.conf
	now.MemoryMB = conf.MemoryMB
	if next, err = n.optionsUnder(&local, n.policyDoc); err != nil {
		return conf, next, local, nil, nil, err
	}
	n.checkClasses(&next, func(reason string, fields ...string) {
		if err == nil {
			err = file.Blame(reason, fields...)
		}
	})
	if err != nil {
		return conf, next, local, nil, nil, err
	}
	if faults := options.Check(next, &now); len(faults) > 0 {
		return conf, next, local, nil, nil, fmt.Errorf("invalid before the next start, which applies %v: %w", later, faults[0])
	}
	return conf, next, local, taken, append(waiting, later...), nil
}

// usefulFor returns, by class, for how many milliseconds a response remains useful.
func usefulFor(conf *Config) (list []float64) {
	for _, c := range conf.Settings.Classes {
		worth := c.Deadline
		if c.LateValue == 0 && !c.Streaming {
			worth = c.Target
		}
		list = append(list, worth.Seconds()*1000)
	}
	return list
}

func serverLimits(o *Options) httpserver.Limits {
	h := &o.North.HTTP
	return httpserver.Limits{Idle: h.IdleAfter.Ms, Read: h.ReadLimit.Ms, First: h.FirstLimit.Ms, Linger: h.Linger.Ms,
		Rate: float64(h.BodyRate.Bytes) / 1000, Stall: h.Stall.Ms, Settle: h.Settle.Ms, Pipeline: h.PipelineMost.Bytes, Backlog: h.BacklogMost.Bytes, WholeSeconds: h.RetryAfter == "whole"}
}

func poolLimits(conf *Config, o *Options) connpool.Limits {
	w := &o.South.Wear
	return connpool.Limits{Idle: o.South.IdlePart * conf.ConnIdle, Wear: connpool.Wear{Memory: w.Memory.Ms,
		Quick: w.Quick.Ms, Least: w.Least, Deviations: w.Deviations, Hold: w.Hold.Ms, Usual: w.Usual}}
}

func watchLimits(o *Options) discovery.Limits {
	d := &o.Inventory.Discovery
	return discovery.Limits{Fetch: d.FetchLimit.Ms, Wait: d.WatchWait.Ms, Slack: d.WatchSlack.Ms,
		FirstPause: d.FirstPause.Ms, LastPause: d.LastPause.Ms, Told: o.Platform.ListTold.Ms, ToldMoved: o.Platform.ReloadTold.Ms}
}

// listLimits returns the limits for watching the platform's list. Where the list is pushed, changes that the agent
// receives once discovery is reachable again count as announced immediately: so no pause lasts longer than half of
// the time within which requests to a draining backend must stop, since queries cost nothing there.
func listLimits(conf *Config, o *Options) discovery.Limits {
	l := watchLimits(o)
	if grace := conf.Settings.Rules.DrainGrace.Seconds() * 1000; !conf.Settings.WatchEndpoints {
		l.LastPause = min(l.LastPause, max(l.FirstPause, grace/2))
	}
	return l
}

func serverSettings(conf *Config, o *Options, room options.Room, budget *bodypipe.Budget) httpserver.Settings {
	set := httpserver.Settings{ClassIndex: map[string]int{}, Tenants: map[string]int{}, Connections: room.Clients,
		Crowded: room.Crowded, Limits: serverLimits(o)}
	for i, c := range conf.Settings.Classes {
		method := "POST"
		if c.Effect == decide.Safe {
			method = "GET"
		}
		set.Classes = append(set.Classes, httpserver.Class{Method: method, Keyed: c.Effect == decide.Keyed})
		set.ClassIndex[c.Name] = i
	}
	for i, t := range conf.Settings.Tenants {
		set.Tenants[t.Name] = i
	}
	set.Bodies.Budget = budget
	if streamsBodies(o) {
		set.Bodies.MaxSize, set.Bodies.MaxBuffered = o.North.HTTP.BodyMost.Bytes, o.North.HTTP.BodyWhole.Bytes
	}
	return set
}

// streamsBodies reports whether bodies may be streamed: nothing needs them whole, as idempotency and Thrift on
// either side do.
func streamsBodies(o *Options) bool {
	return !o.Repeats.On && len(o.South.Thrift.Kinds) == 0 && o.North.Thrift.Listen == ""
}

// bodyBudgetBytes returns the memory for bodies, a part of what the platform provides.
func bodyBudgetBytes(conf *Config, o *Options) int {
	return int(conf.MemoryMB * o.Service.BodiesPart * (1 << 20))
}

// SetLimits applies the configured limits to the process. The poller waits within a system call and occupies one
// of the runtime's processors meanwhile, so there is one more than there are cores.
func SetLimits(conf *Config, o *Options) {
	runtime.GOMAXPROCS(int(math.Ceil(conf.Cores)) + 1)
	debug.SetMemoryLimit(int64(conf.MemoryMB * o.Service.MemoryPart * (1 << 20)))
	debug.SetGCPercent(o.Service.GCPercent)
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	if n.endpointList != nil {
		n.endpointList.start(n.conf)
	} else if len(n.conf.Known.Hosts) > 0 {
		n.updateEndpoints(dispatch.Stored, n.conf.Known.Hosts)
	}
	if n.initial != nil {
		if err := n.Recall(*n.initial); err != nil {
			n.log.Warn("state of the previous process not used", "error", err)
		}
	}
	back, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var work, writing sync.WaitGroup
	defer func() { //nolint:contextcheck // it waits for what ctx has ended
		cancel()
		n.close(&work, &writing)
	}()
	if n.journal != nil {
		writing.Go(n.journal.Run)
	}
	if n.replicatedKeys != nil {
		work.Go(func() { n.replicatedKeys.Run(back) })
	}
	if n.peers != nil {
		work.Go(func() { n.restoreFleetOrders(back) })
	}
	if n.policyGate != nil {
		work.Go(func() { n.policyGate.Run(back) })
	}
	work.Go(func() { n.timerLoop(back) })
	n.runEvery(back, func(o *Options) float64 { return o.South.RetireEvery.Ms }, n.pool.Retire)
	n.runEvery(back, func(o *Options) float64 { return o.North.HTTP.SweepEvery.Ms }, n.sweepConnections)
	if n.adminServer != nil {
		n.runEvery(back, func(*Options) float64 { return backendCountInterval }, n.countBackends)
	}
	if n.endpointList != nil {
		n.endpointList.run(back, &work)
	} else {
		work.Go(func() { n.watcher.Run(back) })
	}
	if n.quota != nil {
		n.quota.WatchCapacity(back.Done())
		if o := n.opts.Load(); o.Quota.Leased > 0 && n.peers != nil {
			work.Go(func() {
				select { // until the node is ready, its tree comes from its own file, which the fleet's policy may override
				case <-n.ready:
				case <-back.Done():
				}
				n.quota.RunLeases(back)
			})
		}
	}
	stopRequested, handedOver := ctx.Done(), n.handedOver
	for {
		select {
		case <-stopRequested:
			stopRequested = nil
			close(n.stopping)
			n.gate.Stop(n.stopTimes())
		case <-handedOver:
			handedOver = nil
			if n.replicatedKeys != nil {
				n.replicatedKeys.StopAnnouncing()
			}
			n.log.Info("another process accepts connections; finishing open requests before exit")
			n.loop.StopAccepting() // at once: pending connections belong to the other process
			n.pool.Resize(min(n.opts.Load().Room(n.conf).Hosts, n.loop.OpenConnections()+handoverSpare))
			n.gate.HandOver(n.handoverTimes())
		case <-n.gate.Ended():
			if left := n.unanswered(); left > 0 {
				return &UnansweredError{left}
			}
			n.log.Info("node stopped; all requests were answered")
			return nil
		}
	}
}

// close ends the goroutines that Run has started: those in work have been told to end, and writing is the
// journal's.
func (n *Node) close(work, writing *sync.WaitGroup) {
	n.closeAdmin()
	n.keyTransfer.work.Wait()
	work.Wait()
	if n.peers != nil {
		n.peers.log.Close()
	}
	n.loop.Stop()
	if n.thrift != nil && n.thrift.loop != nil {
		n.thrift.loop.Stop()
	}
	if n.journal != nil { // the last record is the end of the last call
		n.journal.Close()
		writing.Wait()
		_ = n.journalLock.Close() // it is empty
	}
}

// stopTimes returns the times of a stop that begins now.
func (n *Node) stopTimes() shutdown.Times {
	o := n.opts.Load()
	return shutdown.Times{ConnectableFor: o.Platform.ConnectSure.Ms, AcceptFor: o.Service.AcceptFor.Ms,
		FinishBeforeKill: o.Service.AnswersAhead.Ms, End: o.Service.EndAhead.Ms,
		KillAfter: min(n.conf.MaxDeadline, o.Platform.LongestCounted.Ms) + o.Platform.KillAfter.Ms}
}

// handoverTimes returns the times of a handover that begins now: nobody kills the node, and clients leave as their
// connections are closed.
func (n *Node) handoverTimes() shutdown.Times {
	t, o := n.stopTimes(), n.opts.Load()
	t.AcceptFor, t.KillAfter = 0, o.North.HTTP.IdleAfter.Ms+n.conf.MaxDeadline+o.Service.YieldRest.Ms+t.FinishBeforeKill
	return t
}

func (n *Node) logStop() {
	t := n.stopTimes()
	n.log.Info("the node is stopping", "connections_ms", t.AcceptFor, "most_ms", t.KillAfter-t.End)
}

// stopAccepting stops accepting clients on both listeners; either may first have to wait for room in its
// connection table.
func (n *Node) stopAccepting() {
	var drained sync.WaitGroup
	drained.Go(n.loop.DrainAccepting)
	if n.thrift != nil && n.thrift.loop != nil {
		drained.Go(n.thrift.loop.DrainAccepting)
	}
	drained.Wait()
}

// sweepConnections closes the client connections that are due, and evicts one where a new client waits for room in
// the connection table.
func (n *Node) sweepConnections() {
	n.httpServer.Sweep()
	if n.loop.Full() {
		n.httpServer.EvictOne()
	}
	if n.thrift != nil && n.thrift.front != nil {
		n.thrift.front.Sweep()
		if n.thrift.loop.Full() {
			n.thrift.front.EvictOne()
		}
	}
}

// finishCalls gives each open call its final response.
func (n *Node) finish() {
	if left := n.unanswered(); left > 0 {
		n.log.Warn("stop deadline is near; sending final responses to all open requests", "open", left)
	}
	n.core.Finish()
	if n.thrift != nil && n.thrift.core != n.core {
		n.thrift.core.Finish()
	}
}

// timerLoop runs the dispatchers' timers when they are due.
func (n *Node) timerLoop(ctx context.Context) {
	var beat chan struct{} // heartbeat to acknowledge after the next pass
	for {
		next := n.runTimers()
		if beat != nil {
			close(beat)
			beat = nil
		}
		quiet := n.clock.At(min(next, n.clock.Now()+maxTimerWait), n.wake)
		select {
		case <-n.wakeup:
			quiet()
		case beat = <-n.heartbeats:
			quiet()
		case <-ctx.Done():
			quiet()
			return
		}
	}
}

// wake makes timerLoop check the timers again.
func (n *Node) wake() {
	select {
	case n.wakeup <- struct{}{}:
	default:
	}
}

// runEvery calls f periodically until ctx ends, at the interval in milliseconds that the current options give. If
// there are other nodes, the first interval is shortened to a random fraction, so that nodes do not run in step.
func (n *Node) runEvery(ctx context.Context, ms func(*Options) float64, f func()) {
	first := 1.0
	if n.jitter != nil {
		first = n.jitter()
	}
	n.runAfter(ctx, first, ms, f)
}

func (n *Node) runAfter(ctx context.Context, part float64, ms func(*Options) float64, f func()) {
	n.clock.At(n.clock.Now()+part*ms(n.opts.Load()), func() {
		if ctx.Err() == nil {
			f()
			n.runAfter(ctx, 1, ms, f)
		}
	})
}
