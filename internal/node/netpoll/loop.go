// Package netpoll is the node's socket layer: one nbio engine whose connections are handed to a Handler each.
package netpoll

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"linenwheel.dev/linenwheel/internal/clock"
)

// The engine keeps a table of as many places as there may be descriptors: the machine's own limit is far beyond
// what a node may hold.
func init() {
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 1<<16)
	logging.SetLevel(logging.LevelNone)
}

// A listening socket that is to be closed has to be without a new connection for so long, but for no more than so long
// are new ones taken.
const (
	drained   = 5 * time.Millisecond
	drainMost = 200 * time.Millisecond
)

const shortPause = 5 * time.Millisecond // where descriptors have run out for a moment

// Loop is a running engine.
type Loop struct {
	engine   *nbio.Engine
	listener *listener
	accept   func(*Conn) Handler
	slots    *slots
	clock    clock.Clock
	conns    sync.Map // *nbio.Conn to *Conn; the engine's sessions are not safe to read from its poller
}

func (l *Loop) conn(nb *nbio.Conn) *Conn {
	c, _ := l.conns.Load(nb)
	conn, _ := c.(*Conn)
	return conn
}

// Listen starts an engine that listens on an address and accepts. accept gives each connection that comes in its
// Handler. At most `most` of them are open at once; further ones wait to be accepted.
func Listen(addr string, most int, accept func(*Conn) Handler) (*Loop, error) {
	l, err := ListenPaused(addr, most, accept)
	if err != nil {
		return nil, err
	}
	l.StartAccepting()
	return l, nil
}

// ListenPaused is Listen for an engine whose connections wait until StartAccepting.
func ListenPaused(addr string, most int, accept func(*Conn) Handler) (*Loop, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // its listening sockets cannot be barred
	inner, err := plain.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	l, err := NewFromListener(inner, most, accept)
	if err == nil {
		l.listener.sole = true
	}
	return l, err
}

// NewFromListener starts an engine on a listener, which is its own from here on, even if it fails. Connections wait there until
// StartAccepting.
func NewFromListener(inner net.Listener, most int, accept func(*Conn) Handler) (*Loop, error) {
	l := &Loop{accept: accept, slots: newSlots(most), clock: clock.NewSystem()}
	l.listener = &listener{Listener: inner, slots: l.slots, open: make(chan struct{}), most: drainMost, own: own, looked: func() {},
		begun: make(chan struct{}), closed: make(chan struct{}), quiet: make(chan struct{}), stopped: make(chan struct{})}
	addr := inner.Addr().String()
	conf := nbio.Config{Name: "linenwheel", Network: nbio.NETWORK_TCP, NPoller: 1, EpollMod: nbio.EPOLLET, Addrs: []string{addr},
		Listen: func(string, string) (net.Listener, error) { return l.listener, nil }}
	l.engine = nbio.NewEngine(conf)
	l.engine.OnOpen(l.opened)
	// The engine tells of news on a socket once, and reading is this package's, so that it can be put off.
	buffer := make([]byte, readMost)
	l.engine.OnRead(func(nb *nbio.Conn) {
		if c := l.conn(nb); c != nil {
			c.read(buffer)
		}
	})
	l.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c := l.conn(nb); c != nil {
			l.conns.Delete(nb)
			if c.accepted {
				l.slots.release()
			}
			c.markClosed()
			c.signalProgress()
			c.handler.Closed(c.endedBy(err))
		}
	})
	l.engine.OnWrittenSize(l.wrote)
	if err := l.engine.Start(); err != nil {
		_ = inner.Close()
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	return l, nil
}

// Full tells whether a connection waits to be accepted because as many as may be are open.
func (l *Loop) Full() bool { return l.slots.short() && l.listener.waits() }

// wrote counts what a socket has taken. The engine holds its lock here.
func (l *Loop) wrote(nb *nbio.Conn, _ []byte, n int) {
	if c := l.conn(nb); c != nil {
		c.took(n)
	}
}

// OpenConnections is how many connections that came in are open.
func (l *Loop) OpenConnections() int { return l.slots.inUse() }

// Resize changes how many connections that came in may be open at once. Those above stay.
func (l *Loop) Resize(most int) { l.slots.resize(most) }

// Addr is the address listened on.
func (l *Loop) Addr() string { return l.listener.Addr().String() }

// Descriptor lets f see the listening socket's descriptor, to pass it on: another process that has it accepts from the
// same queue. It fails once accepting has been stopped. f must not change the descriptor.
func (l *Loop) Descriptor(f func(fd uintptr)) error {
	if _, ok := l.listener.Listener.(syscall.Conn); !ok {
		return fmt.Errorf("the listener on %s has no descriptor", l.Addr())
	}
	if err := l.listener.share(f); err != nil {
		return fmt.Errorf("the descriptor of the listener on %s: %w", l.Addr(), err)
	}
	return nil
}

func (l *Loop) opened(nb *nbio.Conn) {
	if l.conn(nb) != nil { // dialled
		return
	}
	c := newConn(nb)
	c.accepted = true
	l.conns.Store(nb, c) // what the handler writes at once is counted
	c.handler = l.accept(c)
	l.conns.Store(nb, c) // and the poller sees the handler
}

// own makes a connection the engine's; on an error it is still the caller's. The engine duplicates the descriptor, and the duplicate
// would go on to every program that the process starts: a connection that was closed here stayed open there, and its last
// events came for the next connection under its number, which was ended by them.
func own(c net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	nb, err := nbio.NBConn(c)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(nb.Hash()) // which is the descriptor
	return nb, nil
}

// Dial connects within a time in milliseconds or until ctx ends; it blocks. handle gives the connection its
// Handler. The engine's own DialAsync is of no use: with this Go release it takes the first four of sixteen bytes
// for an IPv4 address, so that every call goes to 0.0.0.0. So the standard dialer connects and the engine takes
// over from there.
func (l *Loop) Dial(ctx context.Context, addr string, within float64, handle func(*Conn) Handler) (*Conn, error) {
	raw, err := l.connect(ctx, addr, within)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	nb, err := own(raw)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	c := newConn(nb)
	_ = nb.SetReadBuffer(receiveMost)
	c.handler = handle(c)
	l.conns.Store(nb, c)
	if _, err := l.engine.AddConn(nb); err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	return c, nil
}

// connect connects to an address within a time in milliseconds of the loop's clock.
func (l *Loop) connect(ctx context.Context, addr string, within float64) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer l.clock.At(l.clock.Now()+within, func() { cancel(os.ErrDeadlineExceeded) })()
	d := net.Dialer{KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil && errors.Is(context.Cause(ctx), os.ErrDeadlineExceeded) {
		return nil, fmt.Errorf("dial tcp %s: %w", addr, os.ErrDeadlineExceeded)
	}
	return raw, err
}

// SetClock has the time to connect pass on a clock, before the first Dial. Without it the machine's clock counts.
func (l *Loop) SetClock(c clock.Clock) { l.clock = c }

// StartAccepting lets connections in; it may be called again.
func (l *Loop) StartAccepting() { l.listener.first.Do(func() { close(l.listener.open) }) }

// Accepting tells whether connections were ever let in.
func (l *Loop) Accepting() bool {
	select {
	case <-l.listener.open:
		return true
	default:
		return false
	}
}

// StopAccepting closes the listening socket; connections stay. What waits there is lost, unless another process has the
// socket too. When it returns, each connection that was accepted has its Handler, and no further one comes.
func (l *Loop) StopAccepting() {
	l.listener.stop()
	<-l.listener.quiet
}

// DrainAccepting closes the listening socket as soon as no connection waits there, for the machine has taken those
// already, and blocks until then. It has the machine take no more soon in any case. Connections stay.
func (l *Loop) DrainAccepting() {
	l.listener.drain()
	<-l.listener.quiet
}

// Stop ends the engine and all of its connections, within a second.
func (l *Loop) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l.awake(ctx)
	l.listener.stop()
	select { // the engine must not be adding a connection while it ends
	case <-l.listener.quiet:
	case <-ctx.Done():
	}
	_ = l.engine.Shutdown(ctx)
}

// awake waits until the engine's goroutines run. Each of them clears the mark to stop when it begins: one that is told
// before goes round and round for ever.
func (l *Loop) awake(ctx context.Context) {
	pulse, err := l.NewProbe()
	if err != nil {
		return
	}
	pulse.RoundTrip(ctx)
	select {
	case <-l.listener.begun:
	case <-ctx.Done():
	}
}
