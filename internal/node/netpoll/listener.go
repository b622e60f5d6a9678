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

// listener is closed in two steps: the engine spins on a listener that fails, so Accept blocks from the first
// step to the second.
type listener struct {
	net.Listener
	first, once, last sync.Once
	begin             sync.Once
	begun             chan struct{} // closed when the engine accepts
	slots             *slots
	open              chan struct{} // closed when connections may be accepted
	draining          atomic.Bool   // it is closed once nothing waits,
	most              time.Duration // or no more is let in after so long
	taken             atomic.Int64  // connections accepted
	closed            chan struct{} // closed when the listening socket is
	park              sync.Once
	quiet             chan struct{} // closed when the engine will get no further connection
	stopped           chan struct{}

	sharing sync.Mutex
	sole    bool // no other process has the socket
	barred  bool // the machine takes no new connection there

	// Seams for tests.
	own    func(net.Conn) (*nbio.Conn, error) // makes a connection the engine's
	looked func()                             // comes between the last look for what waits and what follows from it
}

// control lets f see the descriptor; it fails once the socket is closed.
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

// share is control for a descriptor that goes to another process: what it is to accept must not be barred.
func (l *listener) share(f func(fd uintptr)) error {
	l.sharing.Lock()
	defer l.sharing.Unlock()
	l.sole = false
	return l.control(func(fd uintptr) {
		if l.barred {
			l.barred = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) != nil
		}
		f(fd)
	})
}

// waits tells whether a connection waits to be accepted.
func (l *listener) waits() (some bool) {
	_ = l.control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		some = n > 0 && err == nil
	})
	return some
}

// noNewcomers drops each packet that begins a connection: one with SYN (RFC 9293, 3.1: byte 13 of the header has the
// flags). Those that have begun go on.
var noNewcomers = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: 2},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
}

// bar has the machine take no new connection, while those that it has taken can still be accepted, and tells whether it
// does: to look for what waits and then to close would lose what comes in between. A socket that another process has is
// not barred. Some systems take a filter and ignore it, so it is read back.
func (l *listener) bar() bool {
	l.sharing.Lock()
	defer l.sharing.Unlock()
	if !l.sole || l.barred {
		return l.barred
	}
	_ = l.control(func(fd uintptr) {
		filter := unix.SockFprog{Len: uint16(len(noNewcomers)), Filter: &noNewcomers[0]}
		if unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter) != nil {
			return
		}
		var have [8]unix.SockFilter
		size := uint32(len(have)) // for this option the kernel counts instructions
		_, _, e := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_GET_FILTER,
			uintptr(unsafe.Pointer(&have)), uintptr(unsafe.Pointer(&size)), 0)
		l.barred = e == 0 && int(size) == len(noNewcomers) && [4]unix.SockFilter(have[:4]) == [4]unix.SockFilter(noNewcomers)
	})
	return l.barred
}

// drain closes the socket once nothing waits there. Where more keeps coming, no more is let in after a while; what waits
// then is taken as soon as there are slots and descriptors for it.
func (l *listener) drain() {
	l.draining.Store(true)
	for end := time.Now().Add(l.most); !l.settled() && time.Now().Before(end); {
	}
	l.looked()
	for l.bar() && !l.settled() {
	}
	l.stop()
}

// settled waits for a moment and tells whether nothing was taken in it and nothing waits.
func (l *listener) settled() bool {
	before := l.taken.Load()
	select {
	case <-time.After(drained):
		return l.taken.Load() == before && !l.waits()
	case <-l.closed:
		return true
	}
}

func (l *listener) stop() {
	l.once.Do(func() {
		_ = l.Listener.Close()
		close(l.closed)
		l.slots.close()
	})
}

// end holds the engine's accepting goroutine, which has taken care of all that it got, until the engine ends.
func (l *listener) end() (net.Conn, error) {
	l.park.Do(func() { close(l.quiet) })
	<-l.stopped
	return nil, net.ErrClosed
}

// Accept gives the next connection, when there is a slot for it.
func (l *listener) Accept() (net.Conn, error) {
	l.begin.Do(func() { close(l.begun) })
	select {
	case <-l.open:
	case <-l.closed:
		return l.end()
	}
	if !l.slots.take() {
		return l.end()
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.taken.Add(1)
			if nb := l.adopt(c); nb != nil {
				return nb, nil
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return l.end()
		}
		time.Sleep(shortPause)
	}
}

// adopt makes a connection the engine's, which takes another descriptor: where there is none the connection waits for
// one. It gives nil for one that is no use.
func (l *listener) adopt(c net.Conn) *nbio.Conn {
	for {
		nb, err := l.own(c)
		if err == nil {
			return nb
		}
		pause := time.After(shortPause)
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

// Close is the engine's: it ends the accepting goroutine.
func (l *listener) Close() error {
	l.stop()
	l.last.Do(func() { close(l.stopped) })
	return nil
}
