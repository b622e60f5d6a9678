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

// plain hands discovery's list to the pilot as it is. The guard is not asked: by the platform's rules a drain has been
// told once discovery has written it, so one that is held would only be a rule broken later.
type plain struct {
	give func(dispatch.ListKind, []dispatch.Host)
}

// Apply passes a list on.
func (p plain) Apply(l discovery.List) error {
	kind := dispatch.Delta
	if l.Whole {
		kind = dispatch.Full
	}
	p.give(kind, l.Hosts)
	return nil
}

// Unchanged has nothing to do.
func (p plain) Unchanged(discovery.List) {}

// CallFailed has nothing to do: the last list stays.
func (p plain) CallFailed(float64) {}

// firstAsked makes what each of so many sources calls when it was asked first. With the last the node is ready.
func (n *Node) firstAsked(sources int) func() {
	left := new(atomic.Int32)
	left.Store(int32(sources))
	return func() {
		if left.Add(-1) == 0 {
			n.learn()
			n.north.SetReady()
			close(n.ready)
			n.log.Info("the node is ready", "address", n.loop.Addr())
		}
	}
}

// lists is a list of several sources, or one that is guarded or kept.
type lists struct {
	keeper  *endpoints.Keeper
	clock   clock.Clock
	log     *slog.Logger
	judge   float64
	path    string // of the last good list, empty = none
	every   atomic.Pointer[options.Duration]
	writer  *lastgood.Writer
	sources []source // in the order of trust
}

// source is one that is asked.
type source struct {
	run   func(context.Context)
	limit func(*Options)
}

// sourcesOf is how the options have each source taken, in the order of trust.
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

// gather makes the list of the sources that the options name. Discovery is asked by watch, which has what all watches need.
func gather(conf *Config, o *options.Inventory, watch *discovery.Watcher, give func(dispatch.ListKind, []dispatch.Host)) (*lists, error) {
	l := &lists{clock: watch.Clock, log: watch.Log, judge: o.Last.JudgeFor.Ms, path: o.Last.Path}
	l.every.Store(&o.Last.Every)
	settings := endpoints.Settings{Settings: merge.Settings{Sources: sourcesOf(o), Guard: guardOf(o), RereadDelay: o.Guard.Wait.Ms, MaxHosts: o.MostHosts,
		Zones: conf.Settings.Zones, Kinds: conf.Settings.Kinds}, Node: conf.Name, Give: give}
	if l.path != "" {
		l.writer = &lastgood.Writer{Path: l.path, Clock: l.clock, Log: l.log, Take: func() lastgood.Record { return l.keeper.Record() },
			Every: func() float64 { return l.every.Load().Ms }}
		settings.Last = l.writer.Changed
	}
	var err error
	if l.keeper, err = endpoints.New(settings, l.clock, l.log); err != nil {
		return nil, err
	}
	first := watch.First
	for i, src := range settings.Sources {
		feed := l.keeper.Feed(i)
		asked := endpoints.Asked{Feed: feed, Start: l.clock.Now()}
		switch src.Name {
		case options.SourceDiscovery:
			watch.Sink = asked
			l.keeper.Asks(i, watch.RequestReread)
			l.sources = append(l.sources, source{watch.Run, func(*Options) {}}) // the node limits it anyway
		case options.SourceEtcd:
			w := &discovery.Watcher{Address: o.Etcd.Agent, Limits: watch.Limits, Loop: watch.Loop, Clock: l.clock,
				Log: l.log.With("source", src.Name), Sink: asked, Most: mostAnswer, Known: -1, Chance: watch.Chance, First: first}
			l.keeper.Asks(i, w.RequestReread)
			l.sources = append(l.sources, source{w.Run, func(o *Options) { w.SetLimits(watchLimits(o)) }})
		case options.SourceFiles:
			w := &files.Watcher{Path: o.Files.Path, Single: !o.Files.Folder, Known: known(conf, o), Most: o.Files.Most.Bytes,
				Settle: o.Files.Settle.Ms, Limits: files.Limits{Poll: o.Files.Poll.Ms}, Clock: l.clock, Log: l.log, Sink: feed, First: first}
			l.keeper.Asks(i, w.Look)
			l.sources = append(l.sources, source{w.Run, func(o *Options) { w.Limit(files.Limits{Poll: o.Inventory.Files.Poll.Ms}) }})
		}
	}
	return l, nil
}

// known is what files are held against.
func known(conf *Config, o *options.Inventory) files.Known {
	return files.Known{Zones: conf.Settings.Zones, Kinds: conf.Settings.Kinds, Most: o.MostHosts}
}

// mostAnswer is how many bytes an agent's answer may have: its list is bounded by most_hosts.
const mostAnswer = 256 << 20

// callSpread is the time in milliseconds over which the calls for the list of all nodes are spread, where it comes only
// when asked for and one service has it for all of them.
func callSpread(s *decide.Settings) float64 {
	if !s.WatchEndpoints || s.Nodes < 2 {
		return 0
	}
	return s.FetchSpread().Seconds() * 1000
}

// tune lets options hold from now on.
func (l *lists) tune(o *Options) {
	for _, src := range l.sources {
		src.limit(o)
	}
	l.every.Store(&o.Inventory.Last.Every)
	l.keeper.Tune(guardOf(&o.Inventory), o.Inventory.Guard.Wait.Ms, sourcesOf(&o.Inventory))
}

// start begins with the newest list there is: that of the configuration, or the last good one.
func (l *lists) start(conf *Config) {
	l.keeper.Offer(conf.Known.Hosts, 0, 0, nil)
	if l.path == "" {
		return
	}
	r, err := lastgood.Load(l.path, conf.Name)
	if err != nil {
		l.log.Warn("the list that was kept is not used", "path", l.path, "error", err)
	}
	if r == nil || err != nil || older(r, conf) {
		return
	}
	hosts, _ := r.Hosts() // Load has looked
	l.log.Info("the node begins with the last good list", "path", l.path, "hosts", len(hosts), "age_ms", l.clock.Now()-r.Changed,
		"source", r.Followed)
	l.keeper.Offer(hosts, r.Changed, l.judge, r.Sources)
}

// older tells whether the list of the configuration, which is discovery's, is newer than one that was kept.
func older(r *lastgood.Record, conf *Config) bool {
	for _, p := range r.Sources {
		if p.Source == options.SourceDiscovery && r.Followed == p.Source {
			return uint64(max(conf.Known.Index, 0)) > p.Number
		}
	}
	return false
}

// offer begins with a list that another process had at a time, if none is newer.
func (l *lists) offer(hosts []dispatch.Host, at float64) { l.keeper.Offer(hosts, at, l.judge, nil) }

// status tells how the list is made up.
func (l *lists) status(s *ListStatus, now float64) {
	v := l.keeper.View()
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

// run asks the sources until ctx ends.
func (l *lists) run(ctx context.Context, work *sync.WaitGroup) {
	for _, src := range l.sources {
		work.Go(func() { src.run(ctx) })
	}
	work.Go(func() {
		<-ctx.Done()
		l.keeper.Stop()
	})
	if l.writer != nil {
		work.Go(func() { l.writer.Run(ctx) })
	}
}

// Sources is the list that options make of the sources that they name, without a node: for those who want to look.
type Sources struct {
	loop  *netpoll.Loop
	lists *lists
	conf  *Config
	asked chan struct{}
}

// NewSources makes the list, which give is handed in steps, one after the other, once Run is called.
func NewSources(conf *Config, o *Options, log *slog.Logger, give func(dispatch.ListKind, []dispatch.Host)) (*Sources, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0") // the loop wants one; nobody is let in
	if err != nil {
		return nil, err
	}
	s := &Sources{conf: conf, asked: make(chan struct{})}
	if s.loop, err = netpoll.NewFromListener(socket, 1, func(*netpoll.Conn) netpoll.Handler { return nil }); err != nil {
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
	if s.lists, err = gather(conf, &o.Inventory, watch, give); err != nil {
		s.loop.Stop()
		return nil, err
	}
	return s, nil
}

// Run asks the sources until ctx ends. Nothing is written.
func (s *Sources) Run(ctx context.Context) {
	s.lists.start(s.conf)
	var work sync.WaitGroup
	s.lists.writer = nil // the file of the last good list is the node's
	s.lists.run(ctx, &work)
	work.Wait()
	s.loop.Stop() //nolint:contextcheck // it waits for its goroutines, whatever ended ctx
}

// Asked is closed once each source was asked first, well or not.
func (s *Sources) Asked() <-chan struct{} { return s.asked }

// View tells how the list is made up.
func (s *Sources) View() merge.View { return s.lists.keeper.View() }

// Hosts is the list.
func (s *Sources) Hosts() []dispatch.Host { return s.lists.keeper.Hosts() }

// Known is what a file of a list is held against by a node of this configuration.
func Known(conf *Config, o *Options) files.Known { return known(conf, &o.Inventory) }

// Judge tells what the guard would say, by these options, of a step from one list to another, and counts what it does.
func Judge(o *Options, from, to []dispatch.Host) (removalguard.Verdict, removalguard.Change, error) {
	g, err := removalguard.New(guardOf(&o.Inventory))
	if err != nil {
		return removalguard.Take, removalguard.Change{}, err
	}
	c := merge.Compare(from, to)
	return g.Judge(0, c), c, nil
}
