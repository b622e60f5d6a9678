// Package netpoll is the node's socket layer: one nbio engine whose connections are handed to a Handler each.
package netpoll

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

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

// Handler takes what happens on a connection. Data comes from the poller, in order, and must not block; the bytes
// live until it returns. Closed comes once.
type Handler interface {
	Data(data []byte)
	Closed(err error)
}

// Conn is one connection.
type Conn struct {
	nb      *nbio.Conn
	handler Handler
	written atomic.Int64
	asked   int64
	mu      sync.Mutex // orders writes with the count of bytes asked for
	ending  atomic.Int64
	linger  float64     // milliseconds that End gives the other side, under mu
	deaf    atomic.Bool // nothing that comes is handed on any more
	came    bool        // it was accepted rather than dialled

	reading         sync.Mutex    // held by who reads: the poller, or a goroutine that catches up
	dropped         int           // bytes that nobody was handed, by who reads
	heard           bool          // how the other side ended it, by who reads
	paused          atomic.Bool   // nothing more is to be read for now
	toEnd, finished atomic.Bool   // the end is waited for; it has come
	room            chan struct{} // something was taken of what was written, or the connection has ended

	last   sync.Mutex  // orders what is done to the descriptor with its end
	closed bool        // the engine closes it; its number is another connection's then
	sent   bool        // all that was to be written before its end is
	count  func(n int) // takes note of what a write of the socket's own took: took, unless a test holds it up
	broken bool        // a write has failed: an end that is read afterwards is none of the other side's
	lapse  *time.Timer // closes it once the other side has had its time to take what is written, or to end it too
}

func newConn(nb *nbio.Conn) *Conn {
	c := &Conn{nb: nb, room: make(chan struct{}, 1)}
	c.count = c.took
	return c
}

// descriptor lets f see the descriptor, unless it is closed.
func (c *Conn) descriptor(f func(fd int)) {
	c.last.Lock()
	defer c.last.Unlock()
	if c.closed {
		return
	}
	// The engine tells of an end some time after it has closed the descriptor, which may be another connection's by then.
	if closed, _ := c.nb.IsClosed(); !closed {
		f(c.nb.Hash()) // which is the descriptor
	}
}

// over notes that the engine is about to close the descriptor: nothing is to be done to it any more.
func (c *Conn) over() {
	c.last.Lock()
	defer c.last.Unlock()
	c.closed = true
	if c.lapse != nil {
		c.lapse.Stop()
	}
}

var errEnded = errors.New("the connection has ended")

// ended tells whether the connection is broken, so that nothing can be written.
func (c *Conn) ended() bool {
	ended := true
	c.descriptor(func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(look, 0)
		ended = err == nil && n > 0 && look[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return ended
}

// Write writes b or keeps what the socket does not take yet. After an error nothing more can be written, and the poller closes the
// connection, once it has read how it ended: the system tells of a reset once, and a write must not be what it tells.
func (c *Conn) Write(b []byte) error {
	if c.ended() {
		return fmt.Errorf("writing: %w", errEnded)
	}
	return c.send(b)
}

// send is Write for a connection that look has just found fit. The engine closes a connection whose write fails right there, with what
// that means for the next one under its number (see Close), so it is given only what the socket did not take.
func (c *Conn) send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.asked > c.written.Load()
	c.asked += int64(len(b))
	if !waiting {
		taken, err := c.writeNow(b)
		if err != nil {
			return fmt.Errorf("writing: %w", err)
		}
		if b = b[taken:]; len(b) == 0 {
			return nil
		}
	}
	if _, err := c.nb.Write(b); err != nil { // one that breaks between the two writes of a full socket
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// writeNow returns how many bytes the socket took at once, where nothing that was written before waits.
func (c *Conn) writeNow(b []byte) (taken int, err error) {
	err = errEnded
	c.descriptor(func(fd int) {
		taken, err = unix.Write(fd, b)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			taken, err = 0, nil
		case err != nil:
			taken, c.broken = 0, true
			_ = unix.Shutdown(fd, unix.SHUT_RDWR) // the poller hears of the end, whatever the error was
		default:
			c.count(taken)
		}
	})
	return taken, err
}

// took counts what the socket has taken. The engine may hold its lock here.
func (c *Conn) took(n int) {
	done := c.written.Add(int64(n))
	if end := c.ending.Load(); end > 0 && done >= end {
		go c.endSending()
	}
	c.wake()
}

// Peer is the address of the other side.
func (c *Conn) Peer() string { return c.nb.RemoteAddr().String() }

// Written is the number of bytes that the socket has taken.
func (c *Conn) Written() int64 { return c.written.Load() }

// Taken is Written once a write that is under way has been counted: after Close it stays as it is. It waits for what the engine does
// with the connection, so no lock may be held that a handler takes.
func (c *Conn) Taken() int64 {
	c.descriptor(func(int) {}) // writes are one after another: Write's own,
	_, _ = c.nb.Write(nil)     // and the engine's
	return c.written.Load()
}

// Backlog is the number of bytes written that the socket has not taken yet.
func (c *Conn) Backlog() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked - c.written.Load()
}

// Farewell tells the other side that nothing more comes, if nothing has come that was not handed on: a connection that looks idle
// may not be. Bytes that are read but on their way to the handler count, and so do those that the poller has not read. If it gives
// true, nothing that comes later is handed on, and End or Close is to follow. Between looking and telling there is next to no time,
// whereas the engine closes a socket some time after its poller hears of the end.
func (c *Conn) Farewell() bool {
	if !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	free, empty := true, c.Backlog() == 0
	c.descriptor(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil && n > 0 {
			free = false
		} else if empty {
			_ = unix.Shutdown(fd, unix.SHUT_WR) // it fails where the other side was faster
		}
	})
	c.deaf.Store(free)
	return free
}

// Quiet tells whether nothing has come that was not handed on.
func (c *Conn) Quiet() (quiet bool) {
	if !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	c.descriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		quiet = err == nil && n == 0
	})
	return quiet
}

// Close ends the connection at once. The poller closes the descriptor when it hears of that: were it closed here, the next
// connection could get its number while the poller still has an event of this one to see to, and be ended by it.
func (c *Conn) Close() {
	c.descriptor(func(fd int) {
		_ = unix.Shutdown(fd, unix.SHUT_RDWR) // it fails where the connection has ended, of which the poller hears too
	})
}

// End tells the other side that nothing more comes once all that was to be written is, and closes the connection when the other side
// ends it too, after so many milliseconds at the latest (linger). What still comes is read and dropped: a close over bytes that nobody
// has read resets the connection, and the last answer may be lost with it. Where the other side takes nothing of what is still to be
// written for so many milliseconds (stall), the connection is closed as it is: it would be held for ever.
func (c *Conn) End(linger, stall float64) {
	c.deaf.Store(true)
	c.Resume()
	c.mu.Lock()
	c.linger = linger
	c.ending.Store(c.asked)
	done := c.written.Load() >= c.asked
	c.mu.Unlock()
	if done {
		c.endSending()
	} else {
		c.limitStall(stall)
	}
}

// endSending is the part of End that waits until all is written.
func (c *Conn) endSending() {
	c.mu.Lock()
	linger := c.linger
	c.mu.Unlock()
	c.descriptor(func(fd int) {
		_ = unix.Shutdown(fd, unix.SHUT_WR) // it fails where the connection has ended, of which the poller hears too
		if !c.sent {
			c.sent = true
			c.expire(linger, c.Close)
		}
	})
}

// limitStall closes the connection once the other side takes nothing for so many milliseconds, until all is written.
func (c *Conn) limitStall(stall float64) {
	c.last.Lock()
	defer c.last.Unlock()
	if c.closed || c.sent || c.lapse != nil {
		return
	}
	before := c.written.Load()
	var look func()
	look = func() {
		c.last.Lock()
		now := c.written.Load()
		stalled := !c.closed && !c.sent && now == before
		if before = now; !c.closed && !c.sent && !stalled {
			c.expire(stall, look)
		}
		c.last.Unlock()
		if stalled {
			c.Close()
		}
	}
	c.expire(stall, look)
}

// expire has f called after so many milliseconds, under last, in place of what was to be called before.
func (c *Conn) expire(after float64, f func()) {
	if c.lapse != nil {
		c.lapse.Stop()
	}
	c.lapse = time.AfterFunc(time.Duration(after*float64(time.Millisecond)), f)
}

// Begin writes the first bytes of a request for a client if nothing has come on c that was not asked for, the other side has not ended
// it (fit), and the client has not ended its own connection (gone): the poller hears of all that some time after the machine does. A
// nil client is not looked at. Nothing that comes is handed on before it is written; asked is called right before that. It fails
// where something has come that cannot be the answer.
func (c *Conn) Begin(b []byte, client *Conn, asked func()) (fit, gone bool, err error) {
	if !c.reading.TryLock() { // something has come
		return false, client.looksGone(), nil
	}
	defer c.reading.Unlock()
	if fit, gone = c.look(client); !fit || gone {
		return fit, gone, nil
	}
	asked()
	if err = c.send(b); err == nil && c.stands() && c.Unheard() {
		err = errEarly
	}
	return fit, gone, err
}

var errEarly = errors.New("something came before the request could be read")

// stands tells whether something has come that is not read.
func (c *Conn) stands() (some bool) {
	c.descriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		some = err == nil && n > 0
	})
	return some
}

// Unheard tells whether the other machine has not yet acknowledged all that the socket has taken. What has come until then was sent
// before the last of it was there to be read: whatever is sent later carries the acknowledgement, and the machine takes note of
// that before it lets the bytes be read.
func (c *Conn) Unheard() (some bool) {
	c.descriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		some = err == nil && n > 0
	})
	return some
}

// look tells, in one system call, whether c is fit for a request, and whether the client that it is for has gone.
func (c *Conn) look(client *Conn) (fit, gone bool) {
	c.descriptor(func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}, {Fd: -1}}
		poll := func() {
			n, err := unix.Poll(look, 0)
			fit = err == nil && (n == 0 || look[0].Revents == 0)
			gone = gone || err == nil && look[1].Revents != 0
		}
		if client == nil {
			poll()
			return
		}
		gone = true // unless its descriptor is still its own
		client.descriptor(func(fd int) {
			gone, look[1] = false, unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
			poll()
		})
	})
	return fit, gone
}

// looksGone tells whether the other side has ended a connection; that of nobody has not.
func (c *Conn) looksGone() bool { return c != nil && (c.isClosed() || c.hungUp()) }

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
	l, err := Hold(addr, most, accept)
	if err != nil {
		return nil, err
	}
	l.StartAccepting()
	return l, nil
}

// Hold is Listen for an engine whose connections wait until StartAccepting.
func Hold(addr string, most int, accept func(*Conn) Handler) (*Loop, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // its listening sockets cannot be barred
	inner, err := plain.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	l, err := On(inner, most, accept)
	if err == nil {
		l.listener.sole = true
	}
	return l, err
}

// On starts an engine on a listener, which is its own from here on, even if it fails. Connections wait there until
// StartAccepting.
func On(inner net.Listener, most int, accept func(*Conn) Handler) (*Loop, error) {
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
			if c.came {
				l.slots.release()
			}
			c.over()
			c.wake()
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

// Open is how many connections that came in are open.
func (l *Loop) Open() int { return l.slots.inUse() }

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
	c.came = true
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
	pulse, err := l.Pulse()
	if err != nil {
		return
	}
	pulse.Beat(ctx)
	select {
	case <-l.listener.begun:
	case <-ctx.Done():
	}
}
