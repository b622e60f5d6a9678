package node

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints"
	"linenwheel.dev/linenwheel/internal/node/endpoints/discovery"
	"linenwheel.dev/linenwheel/internal/node/endpoints/files"
	"linenwheel.dev/linenwheel/internal/node/endpoints/lastgood"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/options"
)

// directSink passes discovery's list to the dispatcher unchanged. The removal guard is not consulted: by the
// platform's rules a drain counts as announced once discovery has written it, so holding one back would only break
// the rule later.
type directSink struct {
	deliver func(dispatch.ListKind, []dispatch.Host)
}

// Apply passes a list on.
func (p directSink) Apply(l discovery.List) error {
	kind := dispatch.Delta
	if l.Whole {
		kind = dispatch.Full
	}
	p.deliver(kind, l.Hosts)
	return nil
}

// Unchanged has nothing to do.
func (p directSink) Unchanged(discovery.List) {}

// CallFailed has nothing to do: the last list stays in use.
func (p directSink) CallFailed(float64) {}

// readyAfter returns the function that each of the given number of sources calls when it has been queried for the
// first time. The last call makes the node ready.
func (n *Node) readyAfter(sources int) func() {
	remaining := new(atomic.Int32)
	remaining.Store(int32(sources))
	return func() {
		if remaining.Add(-1) == 0 {
			n.applyPeerKnowledge()
			n.httpServer.Ready()
			close(n.ready)
			n.log.Info("the node is ready", "address", n.loop.Addr())
		}
	}
}

// endpointList is the list of endpoints built from several sources, or one that is guarded or saved to a file.
type endpointList struct {
	merger        *endpoints.Manager
	clock         clock.Clock
	log           *slog.Logger
	judgeFor      float64
	path          string // path of the last good list, empty = not saved
	writeInterval atomic.Pointer[options.Duration]
	writer        *lastgood.Writer
	sources       []source // in the order of trust
}

// source is one source of the list.
type source struct {
	run   func(context.Context)
	limit func(*Options)
}

// sourcesOf returns the configuration of each source that the options name, most trusted first.
func sourcesOf(o *options.Inventory) (list []merge.Source) {
	for _, name := range o.Sources() {
		one := merge.Source{Name: name}
		switch name {
		case options.SourceDiscovery:
			one.StaleAfter, one.Unguarded, one.MayRenumber = o.Discovery.Keep.Ms, !o.Guard.Discovery, true
		case options.SourceEtcd:
			one.StaleAfter, one.ExpectedEpoch, one.MayCorrect = o.Etcd.Keep.Ms, o.Etcd.History, true
		case options.SourceFiles:
			one.StaleAfter, one.ExpectedEpoch = o.Files.Keep.Ms, o.Files.Path
		}
		list = append(list, one)
	}
	return list
}

func guardOf(o *options.Inventory) removalguard.Settings {
	return removalguard.Settings{Share: o.Guard.Share, Window: o.Guard.Window.Ms, Floor: o.Guard.Floor}
}

// newEndpointList creates the list of the sources that the options name. watch becomes the watcher of discovery;
// its limits, loop and chance are also used for the other sources.
func newEndpointList(conf *Config, o *options.Inventory, watch *discovery.Watcher, give func(dispatch.ListKind, []dispatch.Host)) (*endpointList, error) {
	l := &endpointList{clock: watch.Clock, log: watch.Log, judgeFor: o.Last.JudgeFor.Ms, path: o.Last.Path}
	l.writeInterval.Store(&o.Last.Every)
	settings := endpoints.Settings{Settings: merge.Settings{Sources: sourcesOf(o), Guard: guardOf(o), RereadDelay: o.Guard.Wait.Ms, MaxHosts: o.MostHosts,
		Zones: conf.Settings.Zones, Kinds: conf.Settings.Kinds}, Node: conf.Name, OnUpdate: give}
	if l.path != "" {
		l.writer = &lastgood.Writer{Path: l.path, Clock: l.clock, Log: l.log, Current: func() lastgood.Record { return l.merger.Record() },
			MinInterval: func() float64 { return l.writeInterval.Load().Ms }}
		settings.OnChange = l.writer.Changed
	}
	var err error
	if l.merger, err = endpoints.New(settings, l.clock, l.log); err != nil {
		return nil, err
	}
	first := watch.First
	for i, src := range settings.Sources {
		feed := l.merger.Feed(i)
		asked := endpoints.DiscoveryFeed{Feed: feed, StartedAt: l.clock.Now()}
		switch src.Name {
		case options.SourceDiscovery:
			watch.Sink = asked
			l.merger.SetReread(i, watch.RequestReread)
			l.sources = append(l.sources, source{watch.Run, func(*Options) {}}) // the node sets its limits itself
		case options.SourceEtcd:
			w := &discovery.Watcher{Address: o.Etcd.Agent, Limits: watch.Limits, Loop: watch.Loop, Clock: l.clock,
				Log: l.log.With("source", src.Name), Sink: asked, Most: maxAgentAnswer, Known: -1, Chance: watch.Chance, First: first}
			l.merger.SetReread(i, w.RequestReread)
			l.sources = append(l.sources, source{w.Run, func(o *Options) { w.SetLimits(watchLimits(o)) }})
		case options.SourceFiles:
			w := &files.Watcher{Path: o.Files.Path, Single: !o.Files.Folder, Constraints: known(conf, o), MaxBytes: o.Files.Most.Bytes,
				Settle: o.Files.Settle.Ms, Limits: files.Limits{PollInterval: o.Files.Poll.Ms}, Clock: l.clock, Log: l.log, Sink: feed, OnFirstRead: first}
			l.merger.SetReread(i, w.RequestReread)
			l.sources = append(l.sources, source{w.Run, func(o *Options) { w.SetLimits(files.Limits{PollInterval: o.Inventory.Files.Poll.Ms}) }})
		}
	}
	return l, nil
}

// known returns the values that entries of a file are checked against.
func known(conf *Config, o *options.Inventory) files.Constraints {
	return files.Constraints{Zones: conf.Settings.Zones, Kinds: conf.Settings.Kinds, MaxHosts: o.MostHosts}
}

// maxAgentAnswer is the maximum size of an agent's response in bytes: the number of its entries is bounded by
// most_hosts.
const maxAgentAnswer = 256 << 20

// callSpread returns the time in milliseconds over which the nodes spread their queries for the list. It applies
// where the list is only sent on request, and one service answers the requests of all nodes.
func callSpread(s *decide.Settings) float64 {
	if !s.WatchEndpoints || s.Nodes < 2 {
		return 0
	}
	return s.FetchSpread().Seconds() * 1000
}

// applyOptions puts options into force.
func (l *endpointList) applyOptions(o *Options) {
	for _, src := range l.sources {
		src.limit(o)
	}
	l.writeInterval.Store(&o.Inventory.Last.Every)
	l.merger.Reconfigure(guardOf(&o.Inventory), o.Inventory.Guard.Wait.Ms, sourcesOf(&o.Inventory))
}

// start begins with the newest list available: that of the configuration, or the last good one.
func (l *endpointList) start(conf *Config) {
	l.merger.Restore(conf.Known.Hosts, 0, 0, nil)
	if l.path == "" {
		return
	}
	r, err := lastgood.Load(l.path, conf.Name)
	if err != nil {
		l.log.Warn("saved endpoint list not used", "path", l.path, "error", err)
	}
	if r == nil || err != nil || isOlder(r, conf) {
		return
	}
	hosts, _ := r.Hosts() // Load has checked them
	l.log.Info("starting with the saved endpoint list", "path", l.path, "hosts", len(hosts), "age_ms", l.clock.Now()-r.Changed,
		"source", r.Followed)
	l.merger.Restore(hosts, r.Changed, l.judgeFor, r.Sources)
}

// isOlder reports whether the saved list is older than that of the configuration, which comes from discovery.
func isOlder(r *lastgood.Record, conf *Config) bool {
	for _, p := range r.Sources {
		if p.Source == options.SourceDiscovery && r.Followed == p.Source {
			return uint64(max(conf.Known.Index, 0)) > p.Number
		}
	}
	return false
}

// offer begins with a list that another process had at the time at, if none is newer.
func (l *endpointList) offer(hosts []dispatch.Host, at float64) {
	l.merger.Restore(hosts, at, l.judgeFor, nil)
}

// status reports how the list is composed.
func (l *endpointList) status(s *ListStatus, now float64) {
	v := l.merger.View()
	s.Serving, s.Held = v.Serving, v.Held
	for _, src := range v.Sources {
		one := SourceStatus{Name: src.Name, Followed: src.Followed, Hosts: src.Hosts, Differs: src.Differs}
		if src.Known {
			one.Revision = src.Revision.String()
		}
		if !math.IsInf(src.Away, 1) {
			one.Away = now - src.Away
		}
		if src.Followed {
			s.Index, s.Age = int64(src.Revision.Number), now-src.LastContact
		}
		s.Sources = append(s.Sources, one)
	}
}

// run queries the sources until ctx ends.
func (l *endpointList) run(ctx context.Context, work *sync.WaitGroup) {
	for _, src := range l.sources {
		work.Go(func() { src.run(ctx) })
	}
	work.Go(func() {
		<-ctx.Done()
		l.merger.Stop()
	})
	if l.writer != nil {
		work.Go(func() { l.writer.Run(ctx) })
	}
}

// Sources is the list that the options build from their sources, without a node, for inspection.
type Sources struct {
	loop         *netpoll.Loop
	endpointList *endpointList
	conf         *Config
	asked        chan struct{}
}

// NewSources creates the list. Once Run is called, give receives the list in increments, one call at a time.
func NewSources(conf *Config, o *Options, log *slog.Logger, give func(dispatch.ListKind, []dispatch.Host)) (*Sources, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0") // the loop needs a listener; no connection is accepted
	if err != nil {
		return nil, err
	}
	s := &Sources{conf: conf, asked: make(chan struct{})}
	if s.loop, err = netpoll.On(socket, 1, func(*netpoll.Conn) netpoll.Handler { return nil }); err != nil {
		return nil, err
	}
	left := new(atomic.Int32)
	left.Store(int32(len(o.Inventory.Sources())))
	watch := &discovery.Watcher{Address: conf.Discovery, Limits: watchLimits(o), Loop: s.loop, Clock: clock.NewSystem(),
		Log: log.With("part", "inventory"), Most: o.Inventory.Discovery.ListMost.Bytes, Known: -1, First: func() {
			if left.Add(-1) == 0 {
				close(s.asked)
			}
		}}
	if s.endpointList, err = newEndpointList(conf, &o.Inventory, watch, give); err != nil {
		s.loop.Stop()
		return nil, err
	}
	return s, nil
}

// Run queries the sources until ctx ends. Nothing is written.
func (s *Sources) Run(ctx context.Context) {
	s.endpointList.start(s.conf)
	var work sync.WaitGroup
	s.endpointList.writer = nil // the file of the last good list belongs to the node
	s.endpointList.run(ctx, &work)
	work.Wait()
	s.loop.Stop() //nolint:contextcheck // it waits for its goroutines, whatever ended ctx
}

// Asked returns a channel that is closed once each source has been queried for the first time, whether it
// succeeded or not.
func (s *Sources) Asked() <-chan struct{} { return s.asked }

// View returns how the list is composed.
func (s *Sources) View() merge.View { return s.endpointList.merger.View() }

// Hosts returns the list.
func (s *Sources) Hosts() []dispatch.Host { return s.endpointList.merger.Hosts() }

// Known returns the values that a node of this configuration checks the entries of a list file against.
func Known(conf *Config, o *Options) files.Constraints { return known(conf, &o.Inventory) }

// Judge returns the verdict of the removal guard, under these options, on a change from one list to another, and
// the size of that change.
func Judge(o *Options, from, to []dispatch.Host) (removalguard.Verdict, removalguard.Change, error) {
	g, err := removalguard.New(guardOf(&o.Inventory))
	if err != nil {
		return removalguard.Accept, removalguard.Change{}, err
	}
	c := merge.Compare(from, to)
	return g.Evaluate(0, c), c, nil
}
