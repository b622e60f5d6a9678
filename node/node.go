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

// Config is all that a node is told.
type Config = config.Config

// Load reads the environment and the file that ROUTER_CONFIG names.
func Load(getenv func(string) string) (*Config, error) { return config.Load(getenv) }

// Options are what the platform does not say.
type Options = options.Options

// DefaultOptions are those of a node without an options file.
func DefaultOptions() Options { return options.Default() }

// LoadOptions reads an options file and holds it against what the platform says. Without a path, it gives the defaults.
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

// Call and the types beside it are the life of a call, for an embedder that adds stages of its own.
type (
	Call = core.Call
	// Answer is what a call ends with.
	Answer = core.Answer
	// Handler takes a call and gives its answer.
	Handler = core.Handler
	// Stage wraps a handler.
	Stage = core.Stage
)

// The kinds of answer, and whose fault one is that was not served; see core.
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

// Refuse makes a back-off answer: trying again is harmless, after so many milliseconds if above 0.
func Refuse(f core.Fault, reason string, wait float64) Answer { return core.Refuse(f, reason, wait) }

// Fail makes a failure.
func Fail(f core.Fault, reason string) Answer { return core.Fail(f, reason) }

// Extras are what an embedder adds to a node; the zero value adds nothing.
type Extras struct {
	Options *Options       // nil = the defaults
	Log     *slog.Logger   // nil = as the options have it, to standard error; records get the time of the node's clock
	Level   *slog.LevelVar // that of Log, if the option log.level is to set it; nil = Log's level is not the node's
	First   []Stage        // before all stages of the node's own
	Last    []Stage        // after them, directly before the decisions

	Listener net.Listener // where clients connect, the node's own from here on; nil = the node listens itself
	Hold     bool         // clients wait there until StartAccepting
	Known    *Knowledge   // what another process of this node knew, nil = nothing
	Lessons  []Lesson     // what other nodes know, taken when the node is ready, before its first client if Hold is set
}

// yieldSpare is how many more connections to hosts than clients' connections a node may hold that another took over from.
const yieldSpare = 4

const longestNap = 60000 // of the timers' goroutine, milliseconds

// Node is one proxy node.
type Node struct {
	conf   *Config
	opts   atomic.Pointer[Options] // those that hold now
	clock  clock.Clock
	log    *slog.Logger
	level  *slog.LevelVar // of what the node logs, nil where that is not its own
	flood  log.Interval   // of what clients, hosts and discovery can make many of
	pilot  *dispatch.Dispatcher
	gate   *driver.Gate
	core   *core.Core
	loop   *netpoll.Loop
	north  *httpserver.Server
	pool   *connpool.Pool
	watch  *discovery.Watcher
	lists  *lists      // of several sources; nil = the list is discovery's, as it is
	thrift *thriftSide // nil = Thrift is not spoken
	poke   chan struct{}

	quota   *quotaedge.Middleware  // nil = calls are not held to quotas
	repeats *middleware.Middleware // nil = repeats are not recognised
	pass    passing                // of its names to another process, or from one
	journal *journal.Journal       // of them, nil = none
	locked  *os.File               // keeps other processes from the journal

	peers *peers           // what the fleet holds for this node and its clients; nil = the node shares nothing
	names *replicated.Keys // of calls, held by the fleet; nil = by this node alone
	guide *policygate.Gate // of calls, by the fleet's policy; nil = by this node's file alone
	own   Options          // of this machine, without the fleet's policy; under reload
	doc   rollout.Document // the fleet's policy, Number 0 = none; under reload

	figures *metrics.Counters
	budget  *bodypipe.Budget // of bodies
	door    *admin.Door      // nil = operators have none
	orders  orders

	since     float64            // when it was made
	known     *Knowledge         // at the start
	lessons   []Lesson           // until the node is ready
	fleet     int                // how many instances there are
	phase     func() float64     // of this node's timers, nil where there are no other nodes
	beats     chan chan struct{} // each is closed by the timers' goroutine when it has been through the pilot
	ready     chan struct{}      // closed when the node can serve
	stopping  chan struct{}      // closed when the node was told to stop
	yielded   chan struct{}      // closed when another process accepts
	yieldOnce sync.Once

	reload sync.Mutex // held by Reload
}

// New makes a node and listens; it serves once Run is called.
func New(conf *Config, extra Extras) (*Node, error) { return newNode(conf, extra, clock.NewSystem()) }

func newNode(conf *Config, extra Extras, c clock.Clock) (made *Node, err error) {
	o := DefaultOptions()
	if extra.Options != nil {
		o = *extra.Options
	}
	if faults := options.Check(o, conf); len(faults) > 0 {
		return nil, faults[0]
	}
	n := &Node{conf: conf, clock: c, level: extra.Level, known: extra.Known, lessons: extra.Lessons, poke: make(chan struct{}, 1),
		beats: make(chan chan struct{}), ready: make(chan struct{}), since: c.Now(),
		stopping: make(chan struct{}), yielded: make(chan struct{})}
	logger := extra.Log
	if logger == nil {
		n.level = new(slog.LevelVar)
		logger = NewLog(os.Stderr, &o, n.level)
	}
	logger = log.On(logger, c).With("node", conf.Name)
	n.log = logger.With("part", "node")
	n.figures, n.budget = metrics.New(classNames(conf)), bodypipe.NewBudget(bodiesBudget(conf, &o))
	sparse := log.Sparse(logger, c, &n.flood)
	set, seed := conf.Settings, conf.Seed
	set.Nodes, set.Node = o.Fleet.Place(conf.Name, set.Nodes, set.Node)
	if n.fleet, n.phase = set.Nodes, chances(conf, set.Nodes); n.phase != nil {
		seed ^= nameHash(conf.Name)
	}
	n.pilot, err = dispatch.New(set, seed, n.clock, sparse.With("part", "pilot"), n.wake)
	if err != nil {
		return nil, err
	}
	room := o.Room(conf)
	var side *httpserver.Server
	ready := make(chan struct{}) // a client may connect before the rest stands
	n.loop, err = listen(&extra, conf.Listen, room.Clients+room.Spare, c, func(c *netpoll.Conn) netpoll.Handler {
		<-ready
		return side.Accept(c)
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			n.abandon()
		}
	}()
	n.pool = connpool.New(connpool.Settings{Protocol: protocols(conf, &o),
		ConnectTimeout: conf.ConnectTimeout, Connections: room.Hosts,
		Settle: o.South.Settle.Ms, ToOne: n.toOne(o.Fleet.RaterConnections, n.fleet), Limits: southLimits(conf, &o), Sent: n.figures.AttemptSent, Budget: n.budget}, n.clock, n.loop, sparse.With("part", "south"))
	n.gate = driver.New(worthFor(conf), drainTimes(&o), c)
	stages, first, err := n.stages(&extra, &o, sparse)
	if err != nil {
		return nil, err
	}
	calls := core.Settings{MaxCalls: n.mostCalls(room), Gate: n.gate, Stages: stages, Metrics: n.figures}
	n.core = core.New(calls, n.pilot, n.pool, sparse.With("part", "core"))
	n.north = httpserver.New(frontSettings(conf, &o, room, n.budget), n.clock, n.core, n.gate, sparse.With("part", "north"))
	side = n.north
	n.gate.Hook(driver.Hooks{Announce: n.announce, Refuse: n.refuse, CloseIdle: n.sweep, Finish: n.finish})
	close(ready)
	if err := n.secondSide(set, seed, &o, room, calls, sparse); err != nil {
		return nil, err
	}
	n.watch = &discovery.Watcher{Address: conf.Discovery, Limits: listLimits(conf, &o), Loop: n.loop, Clock: n.clock,
		Log: sparse.With("part", "inventory"), Sink: plain{n.inventory}, Most: o.Inventory.Discovery.ListMost.Bytes,
		Chance: chances(conf, n.fleet), Spread: callSpread(&set), Known: -1, First: first}
	if len(conf.Known.Hosts) > 0 {
		n.watch.Known = conf.Known.Index
	}
	if !o.Inventory.Plain() {
		if n.lists, err = gather(conf, &o.Inventory, n.watch, n.inventory); err != nil {
			return nil, err
		}
	}
	n.apply(o)
	if n.repeats != nil && n.guide == nil { // else no call begins before the first policy is known
		n.repeats.FixNaming()
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	return n, nil
}

// stages makes what calls pass before they are decided, and what is told once each source and part of the fleet was heard.
func (n *Node) stages(extra *Extras, o *Options, sparse *slog.Logger) (core.Stages, func(), error) {
	stages := core.Stages{First: extra.First, Last: extra.Last}
	var err error
	if o.Quota.On {
		if n.quota, err = n.divide(&o.Quota, sparse.With("part", "quota")); err != nil {
			return stages, nil, err
		}
		stages.Quota = n.quota.Wrap
	}
	sources := len(o.Inventory.Sources())
	if o.Peers.Fleet != "" {
		n.peers = join(n.conf, &o.Peers)
		sources++ // of what the node must have heard before it is ready
		if n.quota != nil {
			n.lease(&o.Quota)
		}
	}
	if o.Policy.On {
		sources++
	}
	first := n.firstAsked(sources)
	if n.peers != nil {
		n.peers.heard = first
	}
	n.own = *o
	if o.Policy.On {
		n.guide = n.guided(&o.Policy, first, sparse.With("part", "policy"))
		stages.First = append([]Stage{n.guide.Wrap}, stages.First...)
	}
	if o.Repeats.On {
		if n.repeats, err = n.recognise(&o.Repeats, sparse.With("part", "repeats")); err != nil {
			return stages, nil, err
		}
		stages.Idempotency = n.repeats.Wrap
	}
	return stages, first, nil
}

// abandon lets go of what a node that was not made whole holds by now.
func (n *Node) abandon() {
	n.loop.Stop()
	if n.thrift != nil && n.thrift.loop != nil {
		n.thrift.loop.Stop()
	}
	if n.peers != nil {
		n.peers.log.Close()
	}
	if n.locked != nil {
		_ = n.locked.Close() // it is empty
	}
}

// Endings counts the final answers given so far, by kind and reason.
func (n *Node) Endings() []core.AnswerCount { return n.core.AnswerCounts() }

// Addr is the address that the node listens on.
func (n *Node) Addr() string { return n.loop.Addr() }

// NewLog makes a logger as options have it; the level holds what the options say, and can be changed.
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
	_ = level.UnmarshalText([]byte(o.Log.Level)) // one of those that slog knows, or the options would be faulty
	return level
}

// apply lets options hold from now on.
func (n *Node) apply(o Options) {
	if n.level != nil {
		n.level.Set(logLevel(&o))
	}
	n.flood.Set(o.Log.FloodInterval.Ms)
	n.pool.Limit(southLimits(n.conf, &o))
	n.north.Limit(northLimits(&o))
	n.watch.SetLimits(listLimits(n.conf, &o))
	if n.lists != nil {
		n.lists.tune(&o)
	}
	if was := n.opts.Load(); len(o.Inventory.Out) > 0 || was != nil && len(was.Inventory.Out) > 0 {
		n.leaveOut(o.Inventory.Out)
	}
	if was := n.opts.Load(); was != nil && !reflect.DeepEqual(was.Quota, o.Quota) {
		n.redivide(&o.Quota)
	}
	if was := n.opts.Load(); was != nil && n.repeats != nil && !reflect.DeepEqual(was.Repeats.Classes, o.Repeats.Classes) {
		n.reclass(&o.Repeats)
	}
	n.opts.Store(&o)
}

// Reload reads the configuration again, at any time while the node runs: what ROUTER_CONFIG names, and what
// LINENWHEEL_OPTIONS names, if it names a file. The watch goes on where discovery now is and the process's limits
// follow, as do the options that can change meanwhile; what else is new waits for the next start and is named in the
// log. A bad file changes nothing.
func (n *Node) Reload(getenv func(string) string) {
	n.reload.Lock()
	defer n.reload.Unlock()
	conf, next, own, taken, waiting, err := n.read(getenv)
	if err != nil {
		n.log.Error("the new configuration is bad and the old one stays", "error", err)
		return
	}
	SetLimits(conf, &next)
	n.own = own
	n.apply(next)
	n.watch.SetAddress(conf.Discovery)
	n.log.Info("the configuration was read again", "discovery", conf.Discovery, "taken", taken, "waiting", waiting)
	if n.doc.Number > 0 {
		n.log.Info("the fleet's policy goes before the file, which says what is the machine's own", "number", n.doc.Number)
	}
}

// read reads what Reload takes, and names what of it is taken and what waits.
func (n *Node) read(getenv func(string) string) (conf *Config, next, own Options, taken, waiting []string, err error) {
	if conf, err = config.Reload(getenv); err != nil {
		return conf, next, own, nil, nil, err
	}
	file := &options.File{Options: n.own}
	if path := getenv("LINENWHEEL_OPTIONS"); path != "" {
		if file, err = loadOptions(path, conf); err != nil {
			return conf, next, own, nil, nil, err
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
	own, taken, later := options.Take(&n.own, &file.Options)
	now := *n.conf
	now.MemoryMB = conf.MemoryMB
	if next, err = n.under(&own, n.doc); err != nil {
		return conf, next, own, nil, nil, err
	}
	n.fits(&next, func(reason string, fields ...string) {
		if err == nil {
			err = file.Blame(reason, fields...)
		}
	})
	if err != nil {
		return conf, next, own, nil, nil, err
	}
	if faults := options.Check(next, &now); len(faults) > 0 {
		return conf, next, own, nil, nil, fmt.Errorf("until the next start, which takes %v: %w", later, faults[0])
	}
	return conf, next, own, taken, append(waiting, later...), nil
}

// worthFor is, by class, how long an answer may take and still be worth something, milliseconds.
func worthFor(conf *Config) (list []float64) {
	for _, c := range conf.Settings.Classes {
		worth := c.Deadline
		if c.LateValue == 0 && !c.Streaming {
			worth = c.Target
		}
		list = append(list, worth.Seconds()*1000)
	}
	return list
}

func northLimits(o *Options) httpserver.Limits {
	h := &o.North.HTTP
	return httpserver.Limits{Idle: h.IdleAfter.Ms, Read: h.ReadLimit.Ms, First: h.FirstLimit.Ms, Linger: h.Linger.Ms,
		Rate: float64(h.BodyRate.Bytes) / 1000, Stall: h.Stall.Ms, Settle: h.Settle.Ms, Pipeline: h.PipelineMost.Bytes, Backlog: h.BacklogMost.Bytes, Whole: h.RetryAfter == "whole"}
}

func southLimits(conf *Config, o *Options) connpool.Limits {
	w := &o.South.Wear
	return connpool.Limits{Idle: o.South.IdlePart * conf.ConnIdle, Wear: connpool.Wear{Memory: w.Memory.Ms,
		Quick: w.Quick.Ms, Least: w.Least, Deviations: w.Deviations, Hold: w.Hold.Ms, Usual: w.Usual}}
}

func watchLimits(o *Options) discovery.Limits {
	d := &o.Inventory.Discovery
	return discovery.Limits{Fetch: d.FetchLimit.Ms, Wait: d.WatchWait.Ms, Slack: d.WatchSlack.Ms,
		FirstPause: d.FirstPause.Ms, LastPause: d.LastPause.Ms, Told: o.Platform.ListTold.Ms, ToldMoved: o.Platform.ReloadTold.Ms}
}

// listLimits are those of the platform's list. Where it is pushed, what the agent gets when discovery returns counts as told at once:
// no pause lasts for more than half of the time in which sends to a rater that departs must stop, and calls there cost nothing.
func listLimits(conf *Config, o *Options) discovery.Limits {
	l := watchLimits(o)
	if grace := conf.Settings.Rules.DrainGrace.Seconds() * 1000; !conf.Settings.WatchEndpoints {
		l.LastPause = min(l.LastPause, max(l.FirstPause, grace/2))
	}
	return l
}

func frontSettings(conf *Config, o *Options, room options.Room, budget *bodypipe.Budget) httpserver.Settings {
	set := httpserver.Settings{ByName: map[string]int{}, Tenants: map[string]int{}, Connections: room.Clients,
		Crowded: room.Crowded, Limits: northLimits(o)}
	for i, c := range conf.Settings.Classes {
		method := "POST"
		if c.Effect == decide.Safe {
			method = "GET"
		}
		set.Classes = append(set.Classes, httpserver.Class{Method: method, Keyed: c.Effect == decide.Keyed})
		set.ByName[c.Name] = i
	}
	for i, t := range conf.Settings.Tenants {
		set.Tenants[t.Name] = i
	}
	set.Bodies.Budget = budget
	if flows(o) {
		set.Bodies.Most, set.Bodies.Whole = o.North.HTTP.BodyMost.Bytes, o.North.HTTP.BodyWhole.Bytes
	}
	return set
}

// flows tells whether bodies may flow: nothing wants them whole, as repeats and Thrift on either side do.
func flows(o *Options) bool {
	return !o.Repeats.On && len(o.South.Thrift.Kinds) == 0 && o.North.Thrift.Listen == ""
}

// bodiesBudget is the memory for bodies, of a part of what the platform gives.
func bodiesBudget(conf *Config, o *Options) int {
	return int(conf.MemoryMB * o.Service.BodiesPart * (1 << 20))
}

// SetLimits makes the process keep to its limits. The poller waits within a system call and holds one of the
// runtime's processors meanwhile, so there is one more than there are cores.
func SetLimits(conf *Config, o *Options) {
	runtime.GOMAXPROCS(int(math.Ceil(conf.Cores)) + 1)
	debug.SetMemoryLimit(int64(conf.MemoryMB * o.Service.MemoryPart * (1 << 20)))
	debug.SetGCPercent(o.Service.GCPercent)
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	if n.lists != nil {
		n.lists.start(n.conf)
	} else if len(n.conf.Known.Hosts) > 0 {
		n.inventory(dispatch.Stored, n.conf.Known.Hosts)
	}
	if n.known != nil {
		if err := n.Recall(*n.known); err != nil {
			n.log.Warn("what was known before is not used", "error", err)
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
	if n.names != nil {
		work.Go(func() { n.names.Run(back) })
	}
	if n.peers != nil {
		work.Go(func() { n.hearOrders(back) })
	}
	if n.guide != nil {
		work.Go(func() { n.guide.Run(back) })
	}
	work.Go(func() { n.tick(back) })
	n.every(back, func(o *Options) float64 { return o.South.RetireEvery.Ms }, n.pool.Retire)
	n.every(back, func(o *Options) float64 { return o.North.HTTP.SweepEvery.Ms }, n.sweep)
	if n.door != nil {
		n.every(back, func(*Options) float64 { return ratersEvery }, n.countRaters)
	}
	if n.lists != nil {
		n.lists.run(back, &work)
	} else {
		work.Go(func() { n.watch.Run(back) })
	}
	if n.quota != nil {
		n.quota.WatchCapacity(back.Done())
		if o := n.opts.Load(); o.Quota.Leased > 0 && n.peers != nil {
			work.Go(func() {
				select { // before, its tree is its own file's, which the fleet's policy may go before
				case <-n.ready:
				case <-back.Done():
				}
				n.quota.RunLeases(back)
			})
		}
	}
	told, yielded := ctx.Done(), n.yielded
	for {
		select {
		case <-told:
			told = nil
			close(n.stopping)
			n.gate.Stop(n.times())
		case <-yielded:
			yielded = nil
			if n.names != nil {
				n.names.StopAnnouncing()
			}
			n.log.Info("the node answers what it owes and ends: another process accepts")
			n.loop.StopAccepting() // at once: what waits there is the other one's
			n.pool.Resize(min(n.opts.Load().Room(n.conf).Hosts, n.loop.Open()+yieldSpare))
			n.gate.Yield(n.yieldTimes())
		case <-n.gate.Ended():
			if left := n.unanswered(); left > 0 {
				return &UnansweredError{left}
			}
			n.log.Info("the node has stopped and all is answered")
			return nil
		}
	}
}

// close ends what Run has begun, of which work is told to end, and writing is the journal's.
func (n *Node) close(work, writing *sync.WaitGroup) {
	n.shut()
	n.pass.work.Wait()
	work.Wait()
	if n.peers != nil {
		n.peers.log.Close()
	}
	n.loop.Stop()
	if n.thrift != nil && n.thrift.loop != nil {
		n.thrift.loop.Stop()
	}
	if n.journal != nil { // what is recorded last is the end of the last call
		n.journal.Close()
		writing.Wait()
		_ = n.locked.Close() // it is empty
	}
}

// times are those of a stop that begins now.
func (n *Node) times() shutdown.Times {
	o := n.opts.Load()
	return shutdown.Times{Sure: o.Platform.ConnectSure.Ms, Accept: o.Service.AcceptFor.Ms,
		Answers: o.Service.AnswersAhead.Ms, End: o.Service.EndAhead.Ms,
		Kill: min(n.conf.MaxDeadline, o.Platform.LongestCounted.Ms) + o.Platform.KillAfter.Ms}
}

// yieldTimes are those of a handover that begins now: nobody kills the node, and clients leave as they find that their
// connections end.
func (n *Node) yieldTimes() shutdown.Times {
	t, o := n.times(), n.opts.Load()
	t.Accept, t.Kill = 0, o.North.HTTP.IdleAfter.Ms+n.conf.MaxDeadline+o.Service.YieldRest.Ms+t.Answers
	return t
}

func (n *Node) announce() {
	t := n.times()
	n.log.Info("the node is stopping", "connections_ms", t.Accept, "most_ms", t.Kill-t.End)
}

// refuse takes no new clients, on either side: one may have to wait for places.
func (n *Node) refuse() {
	var drained sync.WaitGroup
	drained.Go(n.loop.DrainAccepting)
	if n.thrift != nil && n.thrift.loop != nil {
		drained.Go(n.thrift.loop.DrainAccepting)
	}
	drained.Wait()
}

// sweep ends the clients' connections that are to end, and has one make room where a client waits for a place.
func (n *Node) sweep() {
	n.north.Sweep()
	if n.loop.Full() {
		n.north.MakeRoom()
	}
	if n.thrift != nil && n.thrift.front != nil {
		n.thrift.front.Sweep()
		if n.thrift.loop.Full() {
			n.thrift.front.MakeRoom()
		}
	}
}

// finish gives all that is open its final answer.
func (n *Node) finish() {
	if left := n.unanswered(); left > 0 {
		n.log.Warn("the node ends soon: all that is open gets its final answer now", "open", left)
	}
	n.core.Finish()
	if n.thrift != nil && n.thrift.core != n.core {
		n.thrift.core.Finish()
	}
}

// tick runs the pilot's timers when they are due.
func (n *Node) tick(ctx context.Context) {
	var beat chan struct{} // of a heart, to be closed after the next look
	for {
		next := n.ticks()
		if beat != nil {
			close(beat)
			beat = nil
		}
		quiet := n.clock.At(min(next, n.clock.Now()+longestNap), n.wake)
		select {
		case <-n.poke:
			quiet()
		case beat = <-n.beats:
			quiet()
		case <-ctx.Done():
			quiet()
			return
		}
	}
}

// wake has tick look at the timers again.
func (n *Node) wake() {
	select {
	case n.poke <- struct{}{}:
	default:
	}
}

// every has the clock call f again and again until ctx ends, in the milliseconds that the options then name. Where there
// are other nodes, the first time comes sooner, at a phase of this node's own.
func (n *Node) every(ctx context.Context, ms func(*Options) float64, f func()) {
	first := 1.0
	if n.phase != nil {
		first = n.phase()
	}
	n.again(ctx, first, ms, f)
}

func (n *Node) again(ctx context.Context, part float64, ms func(*Options) float64, f func()) {
	n.clock.At(n.clock.Now()+part*ms(n.opts.Load()), func() {
		if ctx.Err() == nil {
			f()
			n.again(ctx, 1, ms, f)
		}
	})
}
