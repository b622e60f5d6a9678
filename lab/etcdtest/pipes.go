package etcdtest

import (
	"context"
	"errors"
	"net"
	"sync"
)

var errRefused = errors.New("connection refused")

// pipes is a listener without sockets, for tests in which time stands still while anything is on its way.
type pipes struct {
	name   string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (p *pipes) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept gives the other end of a connection.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr names the listener.
func (p *pipes) Addr() net.Addr { return pipeAddr(p.name) }

type pipeAddr string

// Network is what is dialled.
func (pipeAddr) Network() string { return "memory" }

func (a pipeAddr) String() string { return string(a) }
