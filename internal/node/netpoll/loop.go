// Package netpoll is the node's socket layer: an nbio engine that passes the events of each connection to a
// Handler.
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

// The engine allocates a table with an entry for each possible descriptor. The machine's limit is far beyond what
// a node may hold, so the table is capped at 65536 entries.
func init() {
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 1<<16)
	logging.SetLevel(logging.LevelNone)
}

// Times for DrainAccepting: the socket is closed once no connection has arrived for settleTime; new connections
// are accepted for at most maxDrainTime.
const (
	settleTime   = 5 * time.Millisecond
	maxDrainTime = 200 * time.Millisecond
)

const descriptorRetryDelay = 5 * time.Millisecond // while the process has no free descriptor

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

// Listen starts an engine that listens on an address and accepts connections. accept returns the Handler of each
// accepted connection. At most `most` of them are open at once; further ones wait to be accepted.
func Listen(addr string, most int, accept func(*Conn) Handler) (*Loop, error) {
	l, err := ListenPaused(addr, most, accept)
	if err != nil {
		return nil, err
	}
	l.StartAccepting()
	return l, nil
}

// ListenPaused is Listen for an engine that accepts connections only after StartAccepting.
func ListenPaused(addr string, most int, accept func(*Conn) Handler) (*Loop, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // the listening sockets of multipath TCP cannot be filtered
	inner, err := plain.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	l, err := NewFromListener(inner, most, accept)
	if err == nil {
		l.listener.exclusive = true
	}
	return l, err
}

// NewFromListener starts an engine on a listener and takes ownership of it, even if it returns an error.
// Connections wait there until StartAccepting.
func NewFromListener(inner net.Listener, most int, accept func(*Conn) Handler) (*Loop, error) {
	l := &Loop{accept: accept, slots: newSlots(most), clock: clock.NewSystem()}
	l.listener = &listener{Listener: inner, slots: l.slots, opened: make(chan struct{}), maxDrain: maxDrainTime, newEngineConn: newEngineConn,
		afterLastPoll: func() {}, acceptStarted: make(chan struct{}), closed: make(chan struct{}), acceptDone: make(chan struct{}), stopped: make(chan struct{})}
	addr := inner.Addr().String()
	conf := nbio.Config{Name: "linenwheel", Network: nbio.NETWORK_TCP, NPoller: 1, EpollMod: nbio.EPOLLET, Addrs: []string{addr},
		Listen: func(string, string) (net.Listener, error) { return l.listener, nil }}
	l.engine = nbio.NewEngine(conf)
	l.engine.OnOpen(l.onOpen)
	// The engine is edge-triggered, and this package reads the sockets itself, so that reading can be postponed.
	buffer := make([]byte, maxRead)
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
			c.handler.Closed(c.closeError(err))
		}
	})
	l.engine.OnWrittenSize(l.onWritten)
	if err := l.engine.Start(); err != nil {
		_ = inner.Close()
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	return l, nil
}

// Full reports whether a connection waits to be accepted because the limit of open connections is reached.
func (l *Loop) Full() bool { return l.slots.hasWaiters() && l.listener.hasPending() }

// onWritten counts the bytes that a socket has accepted. The engine holds its lock here.
func (l *Loop) onWritten(nb *nbio.Conn, _ []byte, n int) {
	if c := l.conn(nb); c != nil {
		c.took(n)
	}
}

// OpenConnections returns how many accepted connections are open.
func (l *Loop) OpenConnections() int { return l.slots.inUse() }

// Resize changes how many accepted connections may be open at once. Those above the limit stay open.
func (l *Loop) Resize(most int) { l.slots.resize(most) }

// Addr returns the address that the engine listens on.
func (l *Loop) Addr() string { return l.listener.Addr().String() }

// Descriptor calls f with the listening socket's descriptor, so that f can pass it to another process, which then
// accepts from the same queue. It fails once accepting has been stopped. f must not change the descriptor.
func (l *Loop) Descriptor(f func(fd uintptr)) error {
	if _, ok := l.listener.Listener.(syscall.Conn); !ok {
		return fmt.Errorf("listener on %s has no descriptor", l.Addr())
	}
	if err := l.listener.share(f); err != nil {
		return fmt.Errorf("getting the descriptor of the listener on %s: %w", l.Addr(), err)
	}
	return nil
}

func (l *Loop) onOpen(nb *nbio.Conn) {
	if l.conn(nb) != nil { // dialled
		return
	}
	c := newConn(nb)
	c.accepted = true
	l.conns.Store(nb, c) // so that what the handler writes during accept is counted
	c.handler = l.accept(c)
	l.conns.Store(nb, c) // so that the poller sees the handler
}

// newEngineConn converts a connection for the engine; on an error the caller still owns it. The engine duplicates
// the descriptor, and without close-on-exec every program that the process starts would inherit the duplicate: a
// connection that was closed here stayed open there, and its last events were delivered for the next connection
// with its number and ended that one.
func newEngineConn(c net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	nb, err := nbio.NBConn(c)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(nb.Hash()) // Hash returns the descriptor
	return nb, nil
}

// Dial connects to an address. It blocks until the connection is established, `within` milliseconds have passed or
// ctx has ended. handle returns the connection's Handler. The engine's own DialAsync cannot be used: with this Go
// release it uses the first four of sixteen bytes as the IPv4 address, so that every call goes to 0.0.0.0. So the
// standard dialer connects, and the engine takes over from there.
func (l *Loop) Dial(ctx context.Context, addr string, within float64, handle func(*Conn) Handler) (*Conn, error) {
	raw, err := l.connect(ctx, addr, within)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	nb, err := newEngineConn(raw)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	c := newConn(nb)
	_ = nb.SetReadBuffer(receiveBufferSize)
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

// SetClock sets the clock that times connection attempts. It must be called before the first Dial; the default is
// the system clock.
func (l *Loop) SetClock(c clock.Clock) { l.clock = c }

// StartAccepting begins to accept connections. Further calls have no effect.
func (l *Loop) StartAccepting() { l.listener.openOnce.Do(func() { close(l.listener.opened) }) }

// Accepting reports whether StartAccepting was called.
func (l *Loop) Accepting() bool {
	select {
	case <-l.listener.opened:
		return true
	default:
		return false
	}
}

// StopAccepting closes the listening socket; open connections stay. Connections that wait there are lost, unless
// another process has the socket too. When it returns, each accepted connection has its Handler, and no further
// one is accepted.
func (l *Loop) StopAccepting() {
	l.listener.stop()
	<-l.listener.acceptDone
}

// DrainAccepting closes the listening socket as soon as no connection waits there, since the kernel has already
// established those that wait, and blocks until then. If new connections keep arriving, the kernel drops them
// after maxDrainTime. Open connections stay.
func (l *Loop) DrainAccepting() {
	l.listener.drain()
	<-l.listener.acceptDone
}

// Stop ends the engine and all of its connections, within a second.
func (l *Loop) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l.waitUntilRunning(ctx)
	l.listener.stop()
	select { // the engine must not add a connection while it ends
	case <-l.listener.acceptDone:
	case <-ctx.Done():
	}
	_ = l.engine.Shutdown(ctx)
}

// waitUntilRunning waits until the engine's goroutines run. Each of them clears the stop flag when it starts: one
// that is stopped before that would loop for ever.
func (l *Loop) waitUntilRunning(ctx context.Context) {
	probe, err := l.NewProbe()
	if err != nil {
		return
	}
	probe.RoundTrip(ctx)
	select {
	case <-l.listener.acceptStarted:
	case <-ctx.Done():
	}
}
