package netpoll

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// Probe is a connection of the engine with itself, to see whether its poller still reads.
type Probe struct {
	near net.Conn
	came chan struct{}
}

// NewProbe makes one; it lives as long as the engine.
func (l *Loop) NewProbe() (*Probe, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("making a pulse: %w", err)
	}
	var ends [2]net.Conn
	for i, fd := range pair {
		f := os.NewFile(uintptr(fd), "pulse")
		ends[i], err = net.FileConn(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("making a pulse: %w", err)
		}
	}
	p := &Probe{near: ends[0], came: make(chan struct{}, 1)}
	nb, err := nbio.NBConn(ends[1])
	if err != nil {
		return nil, fmt.Errorf("making a pulse: %w", err)
	}
	c := newConn(nb)
	c.handler = p
	l.conns.Store(nb, c)
	if _, err := l.engine.AddConn(nb); err != nil {
		return nil, fmt.Errorf("making a pulse: %w", err)
	}
	return p, nil
}

// Data takes the byte of a beat from the poller.
func (p *Probe) Data([]byte) {
	select {
	case p.came <- struct{}{}:
	default:
	}
}

// Closed takes the engine's end.
func (p *Probe) Closed(error) { _ = p.near.Close() }

// RoundTrip returns once the poller has read a byte that is written now, or when ctx ends. One beat at a time.
func (p *Probe) RoundTrip(ctx context.Context) {
	if _, err := p.near.Write([]byte{0}); err != nil {
		<-ctx.Done() // the engine has ended
		return
	}
	select {
	case <-p.came:
	case <-ctx.Done():
	}
}
