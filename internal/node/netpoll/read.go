package netpoll

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	maxRead           = 32 << 10  // bytes in one read
	maxReadPerTurn    = 256 << 10 // bytes read from one connection before others get their turn
	receiveBufferSize = 96 << 10  // bytes of the kernel's buffer for what a backend has sent and is not read yet
	maxDiscarded      = 64 << 20  // bytes discarded after End before the connection is closed: twice the default limit of a body
)

var readBuffers = sync.Pool{New: func() any { return new([maxRead]byte) }}

// Pause stops reading until Resume: what the other side sends stays in the kernel's buffer and, once that is full,
// with the sender. If the other side ends the connection meanwhile, what the kernel holds is read all the same,
// because the engine closes the socket then.
func (c *Conn) Pause() { c.paused.Store(true) }

// Resume continues reading, in a goroutine of its own.
func (c *Conn) Resume() {
	if c.paused.CompareAndSwap(true, false) {
		go c.readPending()
	}
}

// readPending reads what the kernel holds.
func (c *Conn) readPending() {
	buffer := readBuffers.Get().(*[maxRead]byte)
	defer readBuffers.Put(buffer)
	c.read(buffer[:])
}

// read passes received bytes to the handler until the kernel holds none. The poller is edge-triggered: a read that
// does not fill the buffer has taken everything, and bytes that arrive later cause another event.
func (c *Conn) read(buffer []byte) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for total := 0; !c.readEnded; {
		if (c.paused.Load() || total > maxReadPerTurn) && !c.hungUp() {
			if !c.paused.Load() {
				go c.readPending()
			}
			return
		}
		n, err := c.nb.Read(buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if n <= 0 || err != nil {
			if !errors.Is(err, syscall.EAGAIN) { // the engine gets this result too, and closes the socket next
				c.readEnded = true // the kernel reports a reset only once: a further read would return an end of stream
				c.cleanEnd.Store(err == nil && !c.isBroken())
				c.markClosed()
			}
			return
		}
		total += n
		if !c.discarding.Load() {
			c.handler.Data(buffer[:n])
		} else if c.dropped += n; c.dropped > maxDiscarded {
			c.Close()
			return
		}
		if n < len(buffer) && !c.readToEnd.Load() {
			return
		}
	}
}

// hungUp reports whether the kernel knows that the other side has ended the connection.
func (c *Conn) hungUp() (ended bool) {
	c.withDescriptor(func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0 && fds[0].Revents != 0
	})
	return ended
}

// ReadToEnd makes the connection detect its end by reading: Closed receives io.EOF if the other side has ended the
// connection without a reset. It costs one more read per event, so it is for callers that wait for the end.
func (c *Conn) ReadToEnd() { c.readToEnd.Store(true) }

// closeError returns the error that Closed receives for a connection which the engine has closed with err.
func (c *Conn) closeError(err error) error {
	switch {
	case c.cleanEnd.Load():
		return io.EOF
	case err == nil || errors.Is(err, io.EOF): // the engine reports these for any end
		return errEnded
	}
	return err
}

// signalProgress makes WaitForBacklog check again.
func (c *Conn) signalProgress() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// WaitForBacklog blocks until Backlog is at most `most` bytes and returns true, or false once the connection has
// ended or stop is closed. One goroutine at a time may call it.
func (c *Conn) WaitForBacklog(most int, stop <-chan struct{}) bool {
	for c.Backlog() > int64(most) {
		if c.isClosed() {
			return false
		}
		select {
		case <-c.progress:
		case <-stop:
			return false
		}
	}
	return !c.isClosed()
}

// isBroken reports whether a write has failed. It waits for writeNow.
func (c *Conn) isBroken() bool {
	c.descriptorMu.Lock()
	defer c.descriptorMu.Unlock()
	return c.broken
}

func (c *Conn) isClosed() bool {
	c.descriptorMu.Lock()
	defer c.descriptorMu.Unlock()
	return c.closed
}
