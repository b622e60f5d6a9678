package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// harm is what is wrong with a link.
type harm string

// The harms of a link.
const (
	harmNone  harm = ""
	harmDelay harm = "delayed"
	harmCut   harm = "cut"
	harmReset harm = "reset" // all connections are reset once
)

// linkDelay is how long a delayed link holds what is sent.
const linkDelay = 150 * time.Millisecond

// linkEvery: each such rater is behind a link.
const linkEvery = 4

// link passes connections on to a rater, and can be harmed. An end or a reset of one side shows at the other one as it was.
type link struct {
	listener net.Listener
	to       string

	mu          sync.Mutex
	state       harm
	connections map[*net.TCPConn]bool
}

// startLink listens on an address.
func startLink(address, to string) (*link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, connections: map[*net.TCPConn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		accepted, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(accepted.(*net.TCPConn))
	}
}

// pass passes one connection on.
func (l *link) pass(near *net.TCPConn) {
	dialed, err := net.DialTimeout("tcp4", l.to, time.Second)
	if err != nil {
		reset(near)
		return
	}
	far := dialed.(*net.TCPConn)
	l.add(near, far)
	defer l.remove(near, far)
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(far, near) })
	copies.Go(func() { l.copy(near, far) })
	copies.Wait()
}

// copy copies one direction up to its end.
func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case errors.Is(err, syscall.ECONNRESET):
			reset(to)
			return
		case err != nil:
			_ = to.Close()
			return
		}
	}
}

// await waits as long as the link holds what is sent.
func (l *link) await() {
	switch l.current() {
	case harmDelay:
		time.Sleep(linkDelay)
	case harmCut:
		for l.current() == harmCut {
			time.Sleep(linkDelay / 10)
		}
	}
}

func (l *link) current() harm {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// harm sets what is wrong with the link.
func (l *link) harm(how harm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = how
	if how == harmReset {
		for connection := range l.connections {
			reset(connection)
		}
	}
}

func (l *link) add(connections ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range connections {
		l.connections[connection] = true
	}
}

func (l *link) remove(connections ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range connections {
		delete(l.connections, connection)
		_ = connection.Close()
	}
}

// close ends the link.
func (l *link) close() {
	l.harm(harmReset)
	_ = l.listener.Close()
}

// reset closes a connection with a reset.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}
