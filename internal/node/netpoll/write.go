package netpoll

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

var errEnded = errors.New("the connection has ended")

// hasPollError reports whether the kernel knows the connection as broken: nothing can be written to it.
func (c *Conn) hasPollError() bool {
	ended := true
	c.withDescriptor(func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0 && fds[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return ended
}

// Write writes b, or queues what the socket does not accept yet. After an error nothing more can be written, and
// the poller closes the connection. A connection that is known to be broken is left to the poller without a write:
// the kernel reports a reset only once, and the poller's read must be the call that gets it (tcp(7), "Error
// handling").
func (c *Conn) Write(b []byte) error {
	if c.hasPollError() {
		return fmt.Errorf("writing: %w", errEnded)
	}
	return c.send(b)
}

// send is Write for a connection that pollBoth has just found usable. If a write of the engine fails, the engine
// closes the descriptor in the goroutine that writes, which is dangerous for the reason given at Close. So the
// engine writes only what the socket did not accept at once.
func (c *Conn) send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	queued := c.asked > c.written.Load()
	c.asked += int64(len(b))
	if !queued {
		taken, err := c.writeNow(b)
		if err != nil {
			return fmt.Errorf("writing: %w", err)
		}
		if b = b[taken:]; len(b) == 0 {
			return nil
		}
	}
	if _, err := c.nb.Write(b); err != nil { // only if the connection breaks between the two writes to a full socket
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// writeNow writes to the socket and returns how many bytes it accepted. Nothing may be queued.
func (c *Conn) writeNow(b []byte) (taken int, err error) {
	err = errEnded
	c.withDescriptor(func(fd int) {
		taken, err = syscall.Write(fd, b) // the race detector treats it as synchronized with the read, unlike unix.Write
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			taken, err = 0, nil
		case err != nil:
			taken, c.broken = 0, true
			_ = unix.Shutdown(fd, unix.SHUT_RDWR) // so that the poller gets an event, whatever the error was
		default:
			c.count(taken)
		}
	})
	return taken, err
}

// took counts n bytes that the socket has accepted. The caller may hold the engine's lock or descriptorMu.
func (c *Conn) took(n int) {
	done := c.written.Add(int64(n))
	if end := c.ending.Load(); end > 0 && done >= end {
		go c.shutdownWrite()
	}
	c.signalProgress()
}

// Written returns how many bytes the socket has accepted.
func (c *Conn) Written() int64 { return c.written.Load() }

// FinalWritten returns Written once a write in progress has been counted; after Close the value does not change.
// It waits for the engine's use of the connection, so the caller must hold no lock that a Handler acquires.
func (c *Conn) FinalWritten() int64 {
	c.withDescriptor(func(int) {}) // waits for writeNow
	_, _ = c.nb.Write(nil)         // and for the engine's write
	return c.written.Load()
}

// Backlog returns how many of the bytes passed to Write the socket has not accepted yet.
func (c *Conn) Backlog() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked - c.written.Load()
}
