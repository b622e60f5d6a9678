// Package daemon runs one node as a process among others on a host: under a service manager, with a control socket, with
// state that outlives it, and so that a new process takes its place without a moment in which nobody accepts. Each of
// these is off unless it is asked for; without them it runs the node and nothing else.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/control"
	"linenwheel.dev/linenwheel/internal/node/hotrestart"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/systemd"
	"linenwheel.dev/linenwheel/node"
)

// north is the name of the clients' listening socket, towards the service manager and other processes of the node.
const north = "north"

const (
	addressLimit = 10 * time.Second      // for the process before to close the address that it still has
	addressPause = 20 * time.Millisecond // between looks whether it has
)

// Settings describe the process.
type Settings struct {
	Config  *config.Config
	Options *options.Options
	Release string
	Path    string                   // of the control socket of the process to take over from, empty = none
	Log     *slog.Logger             // of the node
	Level   *slog.LevelVar           // that of Log
	Env     func(name string) string // for reading the configuration again
	Command []string                 // that starts a process which takes over from this one
}

// daemon is a running process.
type daemon struct {
	set     Settings
	log     *slog.Logger
	clock   clock.Clock
	manager *systemd.Manager
	node    *node.Node
	take    *control.Take // nil = no takeover was asked for, or there was nobody to take over from
	keeper  *keeper       // nil = nothing is kept
	stuck   atomic.Pointer[string]
	shared  bool          // the platform holds the clients' listening socket
	made    chan struct{} // closed when there is a node
	from    string        // the process that this one took over from
	given   string        // where that one listened, if not here
	mark    string        // how names of calls are made that are handed over, empty = none are

	owner chan struct{} // closed when this process is to serve for good
	fail  chan error    // why it is to end instead

	telling sync.Mutex // held while the manager is told how far the process is
	told    bool       // a signal to end has come

	mu     sync.Mutex
	server *control.Server // nil = no control socket, or not yet
	child  int             // a process that was started to take over, 0 = none
	last   string          // how the process before ended
	orders []node.Order    // that operators gave this process before it was told all is its own
}

// Signals are what the process is told from outside, each on a channel of its own: one that waits there is the same news
// as a further one.
type Signals struct {
	End    <-chan os.Signal // answer what is owed, and end
	Reload <-chan os.Signal // read the configuration again
	Roll   <-chan os.Signal // start a process that takes over
}

// Run runs the process until a signal or another process ends it.
func Run(set Settings, signals Signals) error {
	d := &daemon{set: set, log: set.Log.With("node", set.Config.Name, "part", "daemon"), clock: clock.NewSystem(), owner: make(chan struct{}), made: make(chan struct{}),
		fail: make(chan error, 1)}
	var err error
	d.manager, err = systemd.FromEnvironment(func(err error) {
		d.log.Warn("the service manager cannot be told", "error", err)
	})
	if err != nil {
		d.log.Warn("the service manager's variables are bad", "error", err)
	}
	handed, err := systemd.Listeners()
	if err != nil {
		d.log.Warn("a socket of the service manager is no use", "error", err)
	}
	listener, rest := systemd.SelectListener(handed, north, set.Config.Listen)
	for _, l := range rest {
		d.log.Warn("the service manager handed in a socket that is not in the configuration", "name", l.Name,
			"address", l.Addr().String())
		_ = l.Close()
	}
	if own, err := d.adopt(); err != nil {
		return err
	} else if own != nil {
		if listener != nil {
			_ = listener.Close()
		}
		listener = own
	}
	if d.mark, err = node.KeyFingerprint(set.Config, set.Options); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	heritage, err := d.heritage(signals)
	if err != nil {
		return err
	}
	extra := node.Extras{Options: set.Options, Log: set.Log, Level: set.Level, Listener: listener,
		Hold: d.take != nil || listener != nil} // clients of a manager's socket wait there until the node can serve
	if heritage != nil {
		memory := *set.Config
		memory.MemoryMB *= beside
		node.SetLimits(&memory, set.Options)
		if d.shared {
			for _, l := range heritage.Sockets {
				_ = l.Close() // the same one
			}
		} else if l, err := d.inherit(ctx, heritage); err != nil {
			return err
		} else if l != nil {
			if listener != nil {
				_ = listener.Close()
			}
			extra.Listener = l
		}
		extra.Known = d.knowledge(heritage.Knowledge)
	} else if set.Options.State.Directory != "" {
		if d.keeper = newKeeper(d); d.keeper != nil {
			if extra.Known = d.keeper.known; extra.Known != nil {
				extra.Known.Life = 0 // that process has ended
			}
		}
	}
	if heritage == nil && d.asks(extra.Known) {
		if extra.FromPeers, err = d.learn(signals.End); err != nil {
			return err
		}
		extra.Hold = extra.Hold || len(extra.FromPeers) > 0 // what is learned is taken before the first client
	}
	if d.node, err = node.New(set.Config, extra); err != nil {
		return err
	}
	if heritage != nil {
		d.node.LimitResources(set.Config.Sockets-heritage.Held, beside)
		if heritage.Names {
			d.node.AwaitKeys(d.take.Names)
		}
	}
	d.node.ForwardOrders(d.pass)
	close(d.made)
	return d.run(ctx, stop, signals)
}

// heritage asks the running process for what it has, nil if there is none or none is to be asked. A signal to end that
// comes meanwhile ends this process.
func (d *daemon) heritage(signals Signals) (*control.Inheritance, error) {
	if d.set.Path == "" {
		return nil, nil
	}
	gift, alone := make(chan control.Inheritance, 1), make(chan struct{}, 1)
	limits := hotrestart.Limits{Answer: d.set.Options.Takeover.AnswerLimit.Ms, Shared: d.shared}
	if d.shared {
		limits.Answer = min(limits.Answer, sharedAnswer)
	}
	d.take = control.Begin(d.set.Path, d.set.Release, limits, d.clock, control.Hooks{
		Prepare: func(h control.Inheritance) { gift <- h },
		Alone:   func() { alone <- struct{}{} },
		Accept:  d.accept,
		GiveUp: func(reason string) {
			if d.shared { // there is somebody, who cannot be spoken with
				d.log.Warn("the process before hands nothing over: this one serves beside it", "reason", reason)
				alone <- struct{}{}
				return
			}
			d.end(fmt.Errorf("taking over: %s", reason))
		},
		Leave: func(reason string) {
			d.log.Warn("the process before goes on after all: this one ends", "reason", reason)
			d.end(errors.New("taking over: " + reason))
		},
		Ended: func(unanswered int) {
			d.log.Info("the process before has ended", "unanswered", unanswered)
			d.alone()
		},
		Died: func() {
			d.log.Warn("the process before has died: what it owed is lost")
			d.alone()
		},
		Gone:  d.whole,
		Holds: d.holds,
		Obey:  d.obey,
		Mark:  d.mark,
		Names: func(names json.RawMessage) {
			<-d.made // only a process that has accepted is told of names
			d.node.ReceiveFromPredecessor(names)
		},
		Cut: func(alive bool) {
			go func() {
				<-d.made
				d.node.PredecessorGone(alive)
			}()
		},
	})
	for {
		select {
		case h := <-gift:
			d.from = fmt.Sprintf("process %d, release %s", h.PID, h.Release)
			return &h, nil
		case <-alone:
			d.take = nil
			d.log.Info("there is no process to take over from", "path", d.set.Path)
			return nil, nil
		case err := <-d.fail:
			return nil, err
		case s := <-signals.End:
			return nil, fmt.Errorf("taking over: %v came first", s)
		}
	}
}

// alone tells the node that the process before has ended. One that dies before the node was made leaves it nothing to answer for.
func (d *daemon) alone() {
	go func() {
		<-d.made
		d.node.PredecessorExited()
	}()
}

// end has the process end with an error; the first one counts.
func (d *daemon) end(err error) {
	select {
	case d.fail <- err:
	default:
	}
}

// inherit gives the listener to serve on: the one that the running process gave, or nil where the configuration names
// another address. A process that has stopped accepting gives none, and its address is waited for.
func (d *daemon) inherit(ctx context.Context, h *control.Inheritance) (net.Listener, error) {
	var mine net.Listener
	for name, l := range h.Sockets {
		if name == north && sameAddress(d.set.Config.Listen, l.Addr().String()) {
			mine = l
			continue
		}
		d.given = l.Addr().String()
		d.log.Warn("the process before listened where this one is not to", "name", name, "address", d.given)
		_ = l.Close()
	}
	if mine != nil || len(h.Sockets) > 0 {
		return mine, nil
	}
	for end := time.Now().Add(addressLimit); ; time.Sleep(addressPause) {
		l, err := net.Listen("tcp", d.set.Config.Listen)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) || ctx.Err() != nil {
			return l, err
		}
	}
}

// sameAddress tells whether a listener stands where it is to; port 0 is any.
func sameAddress(want, have string) bool {
	w, err := netip.ParseAddrPort(want)
	h, err2 := netip.ParseAddrPort(have)
	if err != nil || err2 != nil {
		return want == have
	}
	return w == h || w.Port() == 0 && w.Addr() == h.Addr()
}

// knowledge reads what another process of the node knew, nil if it cannot be read.
func (d *daemon) knowledge(text json.RawMessage) *node.Knowledge {
	if len(text) == 0 || !d.set.Options.Takeover.Recall {
		return nil
	}
	var k node.Knowledge
	if err := json.Unmarshal(text, &k); err != nil {
		d.log.Warn("what another process knew cannot be read", "error", err)
		return nil
	}
	return &k
}

// accept has the node serve: all is this process's now.
func (d *daemon) accept(text json.RawMessage) {
	if k := d.knowledge(text); k != nil {
		if err := d.node.Recall(*k); err != nil {
			d.log.Warn("what the process before knew last is not used", "error", err)
		}
		d.mu.Lock()
		orders := d.orders
		d.orders = nil
		d.mu.Unlock()
		for _, o := range orders { // which its last word may not hold yet
			_ = d.node.ApplyOrder(o)
		}
	}
	d.node.StartAccepting()
	close(d.owner)
}

// run runs the node and all that is round it.
func (d *daemon) run(ctx context.Context, stop func(), signals Signals) error {
	back, done := context.WithCancel(context.WithoutCancel(ctx))
	defer done()
	ended := make(chan error, 1)
	go func() { ended <- d.node.Run(ctx) }()
	if d.take == nil {
		close(d.owner)
	}
	go d.reload(back, signals.Reload)
	owner, ready, failed := d.owner, d.node.Ready(), d.fail
	own := func() {
		owner = nil
		if err := d.own(back); err != nil {
			d.log.Error("the control socket cannot be used", "error", err)
		}
	}
	var why error
	for {
		select {
		case <-owner:
			own()
		case <-ready:
			ready = nil
			if d.take != nil {
				d.take.Prepared()
			} else {
				d.node.StartAccepting()
				d.serving()
			}
		case why = <-failed:
			failed = nil
			d.keeper.release()
			d.node.HandOver() // at once, where nothing was accepted
		case s := <-signals.End:
			select {
			case <-owner: // it came at the same time
				own()
			default:
			}
			d.stop(s, owner == nil, stop)
		case <-signals.Roll:
			d.spawn()
		case err := <-ended:
			if why != nil {
				err = why
			}
			err = d.ended(err)
			d.awaitEnd(signals.End)
			return err
		}
	}
}

// reload reads the configuration again at each signal until ctx ends. It is apart from what waits for the signal to end:
// reading may take any time.
func (d *daemon) reload(ctx context.Context, signal <-chan os.Signal) {
	for {
		select {
		case <-signal:
			d.unlessTold(func() { d.manager.Reloading("reading the configuration again") })
			d.node.Reload(d.set.Env)
			d.serving()
		case <-ctx.Done():
			return
		}
	}
}

// serving tells the manager that the process serves, unless it was told to end.
func (d *daemon) serving() { d.unlessTold(func() { d.manager.Ready(systemd.Serving) }) }

func (d *daemon) unlessTold(tell func()) {
	d.telling.Lock()
	defer d.telling.Unlock()
	if !d.told {
		tell()
	}
}

// own starts what only the process that serves may do.
func (d *daemon) own(ctx context.Context) error {
	if d.take != nil {
		if d.set.Options.State.Directory != "" {
			d.keeper = newKeeper(d)
		}
		defer d.manager.Notify(fmt.Sprintf("MAINPID=%d", os.Getpid()), "READY=1", "STATUS="+systemd.Serving)
	}
	if d.keeper != nil {
		go d.keeper.run(ctx)
	}
	d.watch(ctx)
	path := d.set.Options.Takeover.Socket
	if path == "" {
		path = d.set.Path
	}
	if path == "" {
		return nil
	}
	o := &d.set.Options.Takeover
	set := control.Settings{Path: path, Release: d.set.Release,
		Limits: hotrestart.Limits{Answer: o.AnswerLimit.Ms, Prepare: o.ReadyLimit.Ms}}
	listen := control.Serve
	if d.shared || d.take != nil && samePath(path, d.set.Path) { // one that does not answer there has no use for it
		listen = control.Inherit
	}
	server, err := listen(set, host{d}, d.clock, d.log)
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	return err
}

// samePath tells whether two paths lead to one socket.
func samePath(a, b string) bool {
	x, err := os.Stat(a)
	y, err2 := os.Stat(b)
	return a == b || err == nil && err2 == nil && os.SameFile(x, y)
}

// watch feeds the manager's watchdog.
func (d *daemon) watch(ctx context.Context) {
	if d.manager.Watchdog() <= 0 {
		return
	}
	stations, err := d.node.WatchdogChecks()
	if err != nil {
		d.log.Error("the watchdog cannot be fed", "error", err)
		return
	}
	h := &systemd.WatchdogLoop{Manager: d.manager, Clock: d.clock, Checks: stations, OnLate: func(name string, ms float64) {
		d.stuck.Store(&name)
		d.log.Error("a part of the node does not answer its watchdog", "station", name, "ms", ms)
	}, OnRecovered: func() { d.stuck.Store(nil) }}
	go h.Run(ctx)
}

// stop does what a signal to end asks for. A further one changes nothing: what is owed is answered all the same.
func (d *daemon) stop(s os.Signal, serving bool, stop func()) {
	d.telling.Lock()
	d.told = true
	if serving {
		d.manager.Stopping("answering what is owed")
	}
	d.telling.Unlock()
	if !serving {
		d.end(fmt.Errorf("taking over: %v came first", s))
		return
	}
	if server := d.control(); server != nil {
		server.Stopping()
	}
	stop()
}

func (d *daemon) control() *control.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server
}

// ended does what is left to do when the node has ended.
func (d *daemon) ended(err error) error {
	unanswered := 0
	var left *node.UnansweredError
	if errors.As(err, &left) {
		unanswered = left.Calls
	}
	d.keeper.last(unanswered)
	if server := d.control(); server != nil {
		server.Ended(unanswered)
		server.Close()
	}
	return err
}
