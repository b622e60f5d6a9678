package netpoll

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	readMost    = 32 << 10  // bytes in one read
	turnMost    = 256 << 10 // bytes that one connection is read before it is others' turn
	receiveMost = 96 << 10  // of the kernel's memory for what a host has sent and is not read yet
	dropMost    = 64 << 20  // read and dropped after the end, before the connection is closed: twice the longest body by default
)

var spare = sync.Pool{New: func() any { return new([readMost]byte) }}

// Pause puts off reading until Resume: what the other side sends waits in the kernel, and then with the sender. When the other
// side ends the connection meanwhile, what waits is read all the same, for the engine closes the socket then; that is bounded by
// the kernel's buffer.
func (c *Conn) Pause() { c.paused.Store(true) }

// Resume goes on reading, from a goroutine of its own.
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
	for total := 0; !c.heard; {
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
				c.heard = true // the system tells of a reset once: a further read would find an end in its place
				c.finished.Store(err == nil && !c.isBroken())
				c.over()
			}
			return
		}
		total += n
		if !c.deaf.Load() {
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

// hungUp tells whether the other side has ended the connection.
func (c *Conn) hungUp() (ended bool) {
	c.descriptor(func(fd int) {
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
	case c.finished.Load():
		return io.EOF
	case err == nil || errors.Is(err, io.EOF): // the engine's word for any end
		return errEnded
	}
	return err
}

// wake has Room look again.
func (c *Conn) wake() {
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// Room blocks until no more than so many bytes wait for the socket to take them; it fails when the connection has ended or stop
// is closed. One goroutine at a time may wait.
func (c *Conn) Room(most int, stop <-chan struct{}) bool {
	for c.Backlog() > int64(most) {
		if c.isClosed() {
			return false
		}
		select {
		case <-c.room:
		case <-stop:
			return false
		}
	}
	return !c.isClosed()
}

// isBroken tells whether a write has failed. It waits for one that is under way.
func (c *Conn) isBroken() bool {
	c.last.Lock()
	defer c.last.Unlock()
	return c.broken
}

func (c *Conn) isClosed() bool {
	c.last.Lock()
	defer c.last.Unlock()
	return c.closed
}

// Abort resets the connection at once, so that the other side sees that something is missing. An end would not do: to one that was told
// no length it means that it has all. The descriptor stays the poller's to close (see Close).
func (c *Conn) Abort() {
	c.descriptor(func(fd int) {
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		nobody := unix.RawSockaddr{Family: unix.AF_UNSPEC} // connecting to that breaks a connection off
		_, _, _ = unix.Syscall(unix.SYS_CONNECT, uintptr(fd), uintptr(unsafe.Pointer(&nobody)), unsafe.Sizeof(nobody))
	})
	c.Close() // where the system does not reset it so
}
