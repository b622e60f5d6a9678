package netpoll

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// listener is the engine's listener. It is closed in two steps, stop and Close: the engine retries without a pause
// on a listener whose Accept fails, so Accept blocks between the two.
type listener struct {
	net.Listener
	openOnce, stopOnce, closeOnce sync.Once
	startOnce                     sync.Once
	acceptStarted                 chan struct{} // closed when the engine has called Accept
	slots                         *slots
	opened                        chan struct{} // closed when connections may be accepted
	draining                      atomic.Bool   // drain was called
	maxDrain                      time.Duration // after which drain has the kernel drop new connections
	acceptCount                   atomic.Int64  // connections accepted
	closed                        chan struct{} // closed when the listening socket is
	parkOnce                      sync.Once
	acceptDone                    chan struct{} // closed when the engine will get no further connection
	stopped                       chan struct{} // closed by Close

	filterMu  sync.Mutex // guards what follows
	exclusive bool       // no other process has the socket
	filtered  bool       // the kernel drops packets that begin a connection

	// Replaced by tests.
	newEngineConn func(net.Conn) (*nbio.Conn, error)
	afterLastPoll func() // called between the last poll for pending connections and the action that follows from it
}

// control calls f with the descriptor of the socket. It fails once the socket is closed.
func (l *listener) control(f func(fd uintptr)) error {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}

// share is control for a descriptor that is passed to another process. It detaches the filter, which would keep
// that process from accepting new connections.
func (l *listener) share(f func(fd uintptr)) error {
	l.filterMu.Lock()
	defer l.filterMu.Unlock()
	l.exclusive = false
	return l.control(func(fd uintptr) {
		if l.filtered {
			l.filtered = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) != nil
		}
		f(fd)
	})
}

// hasPending reports whether a connection waits to be accepted.
func (l *listener) hasPending() (pending bool) {
	_ = l.control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = n > 0 && err == nil
	})
	return pending
}

// dropSYN is a socket filter that drops each packet with the flag SYN, which begins a connection (RFC 9293, 3.1:
// byte 13 of the header has the flags). Connections that have begun are not affected.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: 2},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
}

// attachFilter makes the kernel drop new connections, while connections that wait in the queue can still be
// accepted, and reports whether the filter is in force. Without it, a connection that arrives between the last
// poll and the closing of the socket would be lost. A socket that another process has gets no filter. Some systems
// accept a filter and ignore it, so it is read back.
func (l *listener) attachFilter() bool {
	l.filterMu.Lock()
	defer l.filterMu.Unlock()
	if !l.exclusive || l.filtered {
		return l.filtered
	}
	_ = l.control(func(fd uintptr) {
		filter := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
		if unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter) != nil {
			return
		}
		var have [8]unix.SockFilter
		size := uint32(len(have)) // for this option the kernel counts instructions
		_, _, e := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_GET_FILTER,
			uintptr(unsafe.Pointer(&have)), uintptr(unsafe.Pointer(&size)), 0)
		l.filtered = e == 0 && int(size) == len(dropSYN) && [4]unix.SockFilter(have[:4]) == [4]unix.SockFilter(dropSYN)
	})
	return l.filtered
}

// drain closes the socket once no connection waits there. If connections keep arriving, the kernel drops new ones
// after maxDrain; those that wait by then are accepted as slots and descriptors become free. If the filter cannot
// be attached, the socket is closed at that time, whatever waits there.
func (l *listener) drain() {
	l.draining.Store(true)
	for end := time.Now().Add(l.maxDrain); !l.settled() && time.Now().Before(end); {
	}
	l.afterLastPoll()
	for l.attachFilter() && !l.settled() {
	}
	l.stop()
}

// settled waits for settleTime and reports whether no connection was accepted meanwhile and none waits, or the
// socket is closed.
func (l *listener) settled() bool {
	before := l.acceptCount.Load()
	select {
	case <-time.After(settleTime):
		return l.acceptCount.Load() == before && !l.hasPending()
	case <-l.closed:
		return true
	}
}

func (l *listener) stop() {
	l.stopOnce.Do(func() {
		_ = l.Listener.Close()
		close(l.closed)
		l.slots.close()
	})
}

// park blocks the engine's accepting goroutine, which has processed all connections that it got, until the engine
// ends.
func (l *listener) park() (net.Conn, error) {
	l.parkOnce.Do(func() { close(l.acceptDone) })
	<-l.stopped
	return nil, net.ErrClosed
}

// Accept returns the next connection once there is a slot for it.
func (l *listener) Accept() (net.Conn, error) {
	l.startOnce.Do(func() { close(l.acceptStarted) })
	select {
	case <-l.opened:
	case <-l.closed:
		return l.park()
	}
	if !l.slots.acquire() {
		return l.park()
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.acceptCount.Add(1)
			if nb := l.adopt(c); nb != nil {
				return nb, nil
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return l.park()
		}
		time.Sleep(descriptorRetryDelay)
	}
}

// adopt converts a connection for the engine, which takes another descriptor. While the process has none left, it
// retries. It returns nil if the connection cannot be used or the listener is closed.
func (l *listener) adopt(c net.Conn) *nbio.Conn {
	for {
		nb, err := l.newEngineConn(c)
		if err == nil {
			return nb
		}
		pause := time.After(descriptorRetryDelay)
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			_ = c.Close()
			return nil
		}
		select {
		case <-pause:
		case <-l.stopped:
			_ = c.Close()
			return nil
		}
	}
}

// Close is called by the engine and ends its accepting goroutine.
func (l *listener) Close() error {
	l.stop()
	l.closeOnce.Do(func() { close(l.stopped) })
	return nil
}
