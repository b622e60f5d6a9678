package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/hotrestart"
)

const deathLimit = 1000 // milliseconds for a process that has closed its connection to turn out dead

// Ask gives the status of the node at a path.
func Ask(path, release string) (json.RawMessage, error) {
	c, _, err := dial(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	w := wireOn(c)
	m, files, err := w.ask(wantStatus, release)
	closeAll(files)
	if err != nil {
		return nil, fmt.Errorf("asking the process at %s: %w", path, err)
	}
	if m.Type != wantStatus {
		return nil, fmt.Errorf("asking the process at %s: it answers %q", path, m.Reason)
	}
	return m.Status, nil
}

// ask says hello and reads the answer.
func (w wire) ask(want, release string) (message, []*os.File, error) {
	hello := message{Type: hotrestart.Hello.String(), Min: lowest, Max: highest, Want: want, Release: release,
		PID: os.Getpid()}
	if err := w.write(hello, writeLimit); err != nil {
		return message{}, nil, err
	}
	return w.read(writeLimit)
}

// Inheritance is what a running process gives to the one that takes over.
type Inheritance struct {
	PID       int
	Release   string
	Sockets   map[string]net.Listener // by name; none if the process has stopped accepting
	Knowledge json.RawMessage
	Held      int  // descriptors that it keeps to
	Names     bool // it hands over names of calls
}

// Hooks carry out what a takeover decides, from the goroutine that reads, one after the other.
type Hooks struct {
	Prepare func(Inheritance)               // become ready without accepting, then call Prepared
	Alone   func()                          // nobody is there to take over from: start as without a takeover
	Accept  func(knowledge json.RawMessage) // all is this process's; the knowledge is nil if no newer one came
	GiveUp  func(reason string)             // end: the running process goes on
	Leave   func(reason string)             // stop, answering what was accepted: the running process goes on after all
	Ended   func(unanswered int)            // the process before this one has ended with so many calls unanswered
	Died    func()                          // it has ended without telling how many
	Gone    func()                          // it has gone, either way, or cannot be spoken with any more; nil = nobody wants to know
	Holds   func(descriptors int)           // the process before keeps to so many; nil = nobody wants to know
	Obey    func(order json.RawMessage) error

	Mark  string                      // how this process makes names of calls; empty = it takes none
	Names func(names json.RawMessage) // what the process before says of names, where it hands them over
	Cut   func(alive bool)            // nothing more comes from it; alive = it goes on
}

// Take is a takeover seen from the new process.
type Take struct {
	hooks Hooks
	clock clock.Clock
	wire  wire
	pid   int // of the running process
	pidfd int // -1 = none

	mu      sync.Mutex
	machine *hotrestart.Successor
	yours   json.RawMessage
	alarm   func()
	ended   bool
	version int // that is spoken, 0 = it is not known yet

	orders exchange
}

// Begin asks the process at a path to hand over. The hooks are called from here on.
func Begin(path, release string, limits hotrestart.Limits, c clock.Clock, hooks Hooks) *Take {
	t := &Take{hooks: hooks, clock: c, pidfd: -1, alarm: func() {}, machine: hotrestart.NewSuccessor(c.Now(), limits)}
	go t.run(path, release)
	return t
}

// Pass has the process before obey an order, and tells why it did not. Nothing is passed to one that has ended, or of a
// release that knows no orders.
func (t *Take) Pass(order json.RawMessage) error {
	if t.speaks() < 2 {
		return nil
	}
	return t.orders.pass(t.wire, order)
}

// Names tells the process before something of names. After an error the connection ends.
func (t *Take) Names(names json.RawMessage) error { return t.wire.names(names) }

// Prepared tells that this process could serve.
func (t *Take) Prepared() {
	t.event(func(now float64) []hotrestart.Action { return t.machine.Prepared(now) })
}

func (t *Take) run(path, release string) {
	conn, nobody, err := dial(path)
	if nobody {
		t.hooks.Alone()
		return
	}
	if err != nil {
		t.hooks.GiveUp(err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	t.wire = wireOn(conn)
	who, err := credentials(conn)
	if err == nil && int(who.Uid) != os.Geteuid() {
		err = fmt.Errorf("the process at %s runs as user %d", path, who.Uid)
	}
	if err != nil {
		t.hooks.GiveUp(err.Error())
		return
	}
	if t.pid = int(who.Pid); t.pid > 0 {
		if t.pidfd, err = unix.PidfdOpen(t.pid, 0); err == nil {
			defer func() { _ = unix.Close(t.pidfd) }()
		}
	}
	hello := message{Type: hotrestart.Hello.String(), Min: lowest, Max: highest, Want: wantTakeover, Release: release,
		PID: os.Getpid(), Mark: t.hooks.Mark}
	if err := t.wire.write(hello, writeLimit); err == nil {
		t.event(nil)
		t.listen()
	}
	t.orders.end()
	t.mu.Lock()
	owner, ended := t.machine.IsAccepting(), t.ended
	t.mu.Unlock()
	if owner && !ended {
		t.hooks.Died()
	}
	alive := t.alive() && !left(path)
	t.event(func(float64) []hotrestart.Action { return t.machine.ConnectionLost(alive) })
	if t.hooks.Cut != nil {
		t.hooks.Cut(alive)
	}
	if t.hooks.Gone != nil && t.speaks() > 0 {
		t.hooks.Gone()
	}
}

// speaks is the version that is spoken, 0 = none was agreed on.
func (t *Take) speaks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// listen takes what the running process says until the connection ends.
func (t *Take) listen() {
	for {
		m, files, err := t.wire.read(0)
		if err != nil {
			return
		}
		kind, ok := hotrestart.Parse(m.Type)
		if !ok || kind != hotrestart.State {
			closeAll(files)
		}
		switch m.Type {
		case typeHolds:
			if t.hooks.Holds != nil {
				t.hooks.Holds(m.Held)
			}
		case typeNames:
			if t.hooks.Names != nil {
				t.hooks.Names(m.Names)
			}
		case typeOrder, typeObeyed:
			t.orders.told(t.wire, m, t.hooks.Obey)
		}
		switch {
		case !ok:
		case kind == hotrestart.State && agree(m.Version, m.Version) == 0:
			closeAll(files)
			t.refuse(fmt.Sprintf("the running process speaks version %d", m.Version))
			return
		case kind == hotrestart.State:
			heritage, err := inherit(m, files)
			t.mu.Lock()
			t.version = m.Version
			t.mu.Unlock()
			if err != nil {
				t.refuse(err.Error())
				return
			}
			t.event(func(float64) []hotrestart.Action {
				list := t.machine.Receive(kind, "")
				if len(list) == 0 {
					heritage.close()
				}
				return list
			}, heritage)
		case kind == hotrestart.Ended:
			t.mu.Lock()
			t.ended = true
			t.mu.Unlock()
			t.hooks.Ended(m.Unanswered)
		default:
			t.event(func(float64) []hotrestart.Action {
				if kind == hotrestart.Granted {
					t.yours = m.Knowledge
				}
				return t.machine.Receive(kind, m.Reason)
			})
		}
	}
}

// refuse gives up, since what the running process said is of no use.
func (t *Take) refuse(reason string) {
	t.event(func(float64) []hotrestart.Action { return t.machine.Receive(hotrestart.Refused, reason) })
}

// inherit makes listeners of the descriptors that came.
func inherit(m message, files []*os.File) (Inheritance, error) {
	defer closeAll(files)
	h := Inheritance{PID: m.PID, Release: m.Release, Sockets: map[string]net.Listener{}, Knowledge: m.Knowledge, Held: m.Held,
		Names: m.Mark != ""}
	if len(files) != len(m.Sockets) {
		return h, fmt.Errorf("the running process gave %d sockets and %d names", len(files), len(m.Sockets))
	}
	for i, f := range files {
		l, err := net.FileListener(f)
		if err != nil {
			h.close()
			return h, fmt.Errorf("socket %q of the running process: %w", m.Sockets[i], err)
		}
		h.Sockets[m.Sockets[i]] = l
	}
	return h, nil
}

func (h *Inheritance) close() {
	for _, l := range h.Sockets {
		_ = l.Close()
	}
}

// event has the machine take something and does what follows. Without f it only sets the alarm.
func (t *Take) event(f func(now float64) []hotrestart.Action, heritage ...Inheritance) {
	t.mu.Lock()
	var list []hotrestart.Action
	if f != nil {
		list = f(t.clock.Now())
	}
	t.alarm()
	t.alarm = func() {}
	if next := t.machine.Next(); next <= maxTime {
		t.alarm = t.clock.At(next, func() {
			t.event(func(now float64) []hotrestart.Action { return t.machine.Tick(now) })
		})
	}
	yours := t.yours
	t.mu.Unlock()
	for _, a := range list {
		switch a.Do {
		case hotrestart.Prepare:
			t.hooks.Prepare(heritage[0])
		case hotrestart.StartFresh:
			t.hooks.Alone()
		case hotrestart.Accept:
			t.hooks.Accept(yours)
		case hotrestart.Send:
			_ = t.wire.write(message{Type: a.Message.String()}, writeLimit) // an end shows to the reader
		case hotrestart.Abort:
			t.hooks.GiveUp(a.Reason)
		case hotrestart.Leave:
			t.hooks.Leave(a.Reason)
		case hotrestart.CloseConnection:
			_ = t.wire.conn.Close()
		}
	}
}

// left tells whether the process that listened at a path has let go of it: it does that at its end, before it closes its connections.
func left(path string) bool {
	conn, nobody, err := dial(path)
	if err == nil {
		_ = conn.Close()
	}
	return nobody
}

// alive tells whether the running process, whose connection has ended, goes on. Where that cannot be known it is taken
// for dead: two that accept are better than none.
func (t *Take) alive() bool {
	if t.pidfd < 0 {
		return false
	}
	poll := []unix.PollFd{{Fd: int32(t.pidfd), Events: unix.POLLIN}}
	for end := time.Now().Add(deathLimit * time.Millisecond); ; {
		n, err := unix.Poll(poll, max(0, int(time.Until(end)/time.Millisecond)))
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n == 0
		}
	}
}
