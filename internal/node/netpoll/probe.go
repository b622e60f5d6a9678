package netpoll

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// Probe is a connection of the engine to itself that shows whether its poller still reads.
type Probe struct {
	local    net.Conn
	received chan struct{}
}

// NewProbe returns a new probe, which stays open as long as the engine runs.
func (l *Loop) NewProbe() (*Probe, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("creating a poller probe: %w", err)
	}
	var ends [2]net.Conn
	for i, fd := range pair {
		f := os.NewFile(uintptr(fd), "pulse")
		ends[i], err = net.FileConn(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("creating a poller probe: %w", err)
		}
	}
	p := &Probe{local: ends[0], received: make(chan struct{}, 1)}
	nb, err := nbio.NBConn(ends[1])
	if err != nil {
		return nil, fmt.Errorf("creating a poller probe: %w", err)
	}
	c := newConn(nb)
	c.handler = p
	l.conns.Store(nb, c)
	if _, err := l.engine.AddConn(nb); err != nil {
		return nil, fmt.Errorf("creating a poller probe: %w", err)
	}
	return p, nil
}

// Data implements Handler: the poller has read the byte of a RoundTrip.
func (p *Probe) Data([]byte) {
	select {
	case p.received <- struct{}{}:
	default:
	}
}

// Closed implements Handler: the engine has ended.
func (p *Probe) Closed(error) { _ = p.local.Close() }

// RoundTrip writes a byte and returns once the poller has read it or ctx has ended. Calls must not overlap.
func (p *Probe) RoundTrip(ctx context.Context) {
	if _, err := p.local.Write([]byte{0}); err != nil {
		<-ctx.Done() // the engine has ended
		return
	}
	select {
	case <-p.received:
	case <-ctx.Done():
	}
}
