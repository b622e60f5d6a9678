package link

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Listener takes connections at one address, which stays its own while it refuses them or lets none come up.
type Listener struct {
	take func(net.Conn)

	mu     sync.Mutex
	addr   *net.TCPAddr
	mine   bool             // it has listened at addr
	socket *net.TCPListener // nil while connections are refused
	paused bool             // while none comes up
	filler net.Conn         // fills the queue meanwhile
	resume chan struct{}    // closed when the pause ends
	closed bool
}

const backlog = 4096

// How long an address that is taken is waited for, and the time between two tries.
const (
	busyMost  = time.Second
	busyPause = 2 * time.Millisecond
)

// Ports from which the lab takes its own, below those that the kernel deals out to connections: an address must still be free when
// a machine that refused connections takes them again.
const (
	firstPort = 10000
	ports     = 20000
	portTries = 100
)

// Listen takes connections at an IP address, on a port that stays its own from then on, and gives each to take, in a goroutine of its
// own.
func Listen(ip string, take func(net.Conn)) (*Listener, error) {
	a, err := net.ResolveTCPAddr("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &Listener{take: take, addr: a}
	for range portTries {
		a.Port = firstPort + rand.IntN(ports)
		if err = l.Accept(); !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
	}
	return nil, err
}

// Free finds an address at an IP address on which a program can listen.
func Free(ip string) (string, error) {
	l, err := Listen(ip, func(c net.Conn) { _ = c.Close() })
	if err != nil {
		return "", err
	}
	l.Close()
	return l.Addr(), nil
}

// Addr is where connections are taken.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr.String()
}

// Accept takes connections again after Refuse or Silence; those that waited meanwhile are reset.
func (l *Listener) Accept() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return net.ErrClosed
	case l.socket == nil:
		s, err := l.listen()
		if err != nil {
			return err
		}
		l.socket, l.addr, l.mine = s, s.Addr().(*net.TCPAddr), true
		go l.serve(s)
	case l.paused:
		l.paused = false
		if l.filler != nil {
			_ = l.filler.Close()
			l.filler = nil
		}
		// Whatever waits has never come up for the one that connects; it finds the machine back and is reset.
		for {
			_ = l.socket.SetDeadline(time.Now().Add(time.Millisecond))
			c, err := l.socket.AcceptTCP()
			if err != nil {
				break
			}
			_ = c.SetLinger(0)
			_ = c.Close()
		}
		_ = l.socket.SetDeadline(time.Time{})
		err := l.setBacklog(backlog)
		close(l.resume)
		return err
	}
	return nil
}

// listen opens the socket. At an address that was its own before, somebody who is on the way to let go of it, such as a program
// that is just being started and has the old socket until it runs, is waited for.
func (l *Listener) listen() (*net.TCPListener, error) {
	for end := time.Now().Add(busyMost); ; time.Sleep(busyPause) {
		s, err := net.ListenTCP("tcp4", l.addr)
		if err == nil || !l.mine || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return s, err
		}
	}
}

// Refuse answers new connections with a reset, as a machine does on which no process listens.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse()
}

func (l *Listener) refuse() {
	if l.socket == nil {
		return
	}
	_ = l.socket.Close()
	l.socket = nil
	if l.paused {
		l.paused = false
		close(l.resume)
	}
	if l.filler != nil {
		_ = l.filler.Close()
		l.filler = nil
	}
}

// Silence lets no new connection come up, as a machine does that has vanished: its queue is shortened to one place
// and filled, so that the kernel drops what knocks.
func (l *Listener) Silence() error {
	l.mu.Lock()
	if l.closed || l.socket == nil || l.paused {
		l.mu.Unlock()
		return nil
	}
	l.paused, l.resume = true, make(chan struct{})
	_ = l.socket.SetDeadline(time.Unix(1, 0)) // serve stands still
	err := l.setBacklog(0)
	addr := l.addr.String()
	l.mu.Unlock()
	if err != nil {
		return err
	}
	if c, err := net.DialTimeout("tcp4", addr, 50*time.Millisecond); err == nil { // else another has filled it
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.paused {
			return c.Close()
		}
		l.filler = c
	}
	return nil
}

func (l *Listener) setBacklog(n int) error {
	raw, err := l.socket.SyscallConn()
	if err != nil {
		return err
	}
	var fault error
	if err := raw.Control(func(fd uintptr) { fault = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return fault
}

// Close ends the listener for good.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.refuse()
}

func (l *Listener) serve(s *net.TCPListener) {
	for {
		c, err := s.AcceptTCP()
		l.mu.Lock()
		paused, resume, mine := l.paused, l.resume, l.socket == s
		l.mu.Unlock()
		switch {
		case err == nil && paused:
			_ = c.SetLinger(0)
			_ = c.Close()
		case err == nil:
			go l.take(c)
		case !mine || errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(10 * time.Millisecond) // out of descriptors: they may come back
		}
		if paused {
			<-resume
		}
	}
}
