package netpoll

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	readMost    = 32 << 10  // bytes in one read
	turnMost    = 256 << 10 // bytes that one connection is read before it is others' turn
	receiveMost = 96 << 10  // of the kernel's memory for what a host has sent and is not read yet
	dropMost    = 64 << 20  // read and dropped after the end, before the connection is closed: twice the longest body by default
)

var spare = sync.Pool{New: func() any { return new([readMost]byte) }}

// Pause stops reading until Resume: what the other side sends stays in the kernel, and then with the sender. When the other side ends the
// connection meanwhile, what the kernel holds is read all the same, for the engine closes the socket then.
func (c *Conn) Pause() { c.paused.Store(true) }

// Resume continues reading, in a goroutine of its own.
func (c *Conn) Resume() {
	if c.paused.CompareAndSwap(true, false) {
		go c.catchUp()
	}
}

// catchUp reads what waits.
func (c *Conn) catchUp() {
	buffer := spare.Get().(*[readMost]byte)
	defer spare.Put(buffer)
	c.read(buffer[:])
}

// read hands on what has come, until nothing waits. The engine tells of news once: a read that fills less than the buffer has
// taken all, and what comes later is news again.
func (c *Conn) read(buffer []byte) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for total := 0; !c.readEnded; {
		if (c.paused.Load() || total > turnMost) && !c.hungUp() {
			if !c.paused.Load() {
				go c.catchUp()
			}
			return
		}
		n, err := c.nb.Read(buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if n <= 0 || err != nil {
			if !errors.Is(err, syscall.EAGAIN) { // the engine hears of it, too, and closes the socket next
				c.readEnded = true // the system tells of a reset once: a further read would find an end in its place
				c.cleanEnd.Store(err == nil && !c.isBroken())
				c.markClosed()
			}
			return
		}
		total += n
		if !c.discarding.Load() {
			c.handler.Data(buffer[:n])
		} else if c.dropped += n; c.dropped > dropMost {
			c.Close()
			return
		}
		if n < len(buffer) && !c.toEnd.Load() {
			return
		}
	}
}

// hungUp reports whether the kernel knows that the other side has ended the connection.
func (c *Conn) hungUp() (ended bool) {
	c.withDescriptor(func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		ended = err == nil && n > 0 && look[0].Revents != 0
	})
	return ended
}

// ReadToEnd has the end of the connection noticed as such: Closed is given io.EOF if the other side had sent all it wanted. It costs
// one read more each time, so it is for those that wait for the end.
func (c *Conn) ReadToEnd() { c.toEnd.Store(true) }

// endedBy is how a connection ended that the engine closes.
func (c *Conn) endedBy(err error) error {
	switch {
	case c.cleanEnd.Load():
		return io.EOF
	case err == nil || errors.Is(err, io.EOF): // the engine's word for any end
		return errEnded
	}
	return err
}

// signalProgress has WaitForBacklog check again.
func (c *Conn) signalProgress() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// WaitForBacklog blocks until Backlog is at most `most` bytes and returns true, or false once the connection has ended or stop is closed.
// One goroutine at a time may call it.
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
