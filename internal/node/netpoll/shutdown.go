package netpoll

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ShutdownIfIdle shuts the connection down for writing if the handler has had everything that was received, and
// reports whether it did so. Bytes that were read but have not reached the handler count as received, as do bytes
// that the poller has not read. After true, nothing that is received later reaches the handler, and the caller
// must call End or Close. One system call lies between the check and the shutdown.
func (c *Conn) ShutdownIfIdle() bool {
	if !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	free, empty := true, c.Backlog() == 0
	c.withDescriptor(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil && n > 0 {
			free = false
		} else if empty {
			_ = unix.Shutdown(fd, unix.SHUT_WR) // fails where the other side has reset the connection
		}
	})
	c.discarding.Store(free)
	return free
}

// IsDrained reports whether the handler has had everything that was received.
func (c *Conn) IsDrained() (drained bool) {
	if !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		drained = err == nil && n == 0
	})
	return drained
}

// Close ends the connection at once, in both directions. The poller closes the descriptor when it receives the
// event of that. If the descriptor were closed here, the next connection could get its number while the poller
// still has an event of this connection to handle, which would then end the new one.
func (c *Conn) Close() {
	c.withDescriptor(func(fd int) {
		_ = unix.Shutdown(fd, unix.SHUT_RDWR) // fails where the connection has ended, which the poller sees too
	})
}

// End shuts the connection down for writing once everything is written, and closes it when the other side has
// ended it too, or after linger milliseconds. What is received until then is read and discarded: closing a socket
// with unread bytes resets the connection, and the last response may be lost with it (RFC 9112, 9.6). If the other
// side accepts nothing of what is still to be written for stall milliseconds, the connection is closed.
func (c *Conn) End(linger, stall float64) {
	c.discarding.Store(true)
	c.Resume()
	c.mu.Lock()
	c.linger = linger
	c.ending.Store(c.asked)
	done := c.written.Load() >= c.asked
	c.mu.Unlock()
	if done {
		c.shutdownWrite()
	} else {
		c.limitStall(stall)
	}
}

// shutdownWrite is the part of End that runs once everything is written.
func (c *Conn) shutdownWrite() {
	c.mu.Lock()
	linger := c.linger
	c.mu.Unlock()
	c.withDescriptor(func(fd int) {
		_ = unix.Shutdown(fd, unix.SHUT_WR) // fails where the connection has ended, which the poller sees too
		if !c.writeShutdown {
			c.writeShutdown = true
			c.scheduleClose(linger, c.Close)
		}
	})
}

// limitStall closes the connection if the other side accepts nothing for stall milliseconds before everything is
// written.
func (c *Conn) limitStall(stall float64) {
	c.descriptorMu.Lock()
	defer c.descriptorMu.Unlock()
	if c.closed || c.writeShutdown || c.closeTimer != nil {
		return
	}
	before := c.written.Load()
	var check func()
	check = func() {
		c.descriptorMu.Lock()
		now := c.written.Load()
		stalled := !c.closed && !c.writeShutdown && now == before
		if before = now; !c.closed && !c.writeShutdown && !stalled {
			c.scheduleClose(stall, check)
		}
		c.descriptorMu.Unlock()
		if stalled {
			c.Close()
		}
	}
	c.scheduleClose(stall, check)
}

// scheduleClose calls f after the given number of milliseconds, in place of an f scheduled before. The caller
// holds descriptorMu.
func (c *Conn) scheduleClose(after float64, f func()) {
	if c.closeTimer != nil {
		c.closeTimer.Stop()
	}
	c.closeTimer = time.AfterFunc(time.Duration(after*float64(time.Millisecond)), f)
}

// Abort resets the connection at once, so that the other side notices that the message is incomplete. An end of
// stream would not do: if no length was given, it means that the message is complete (RFC 9112, 8). The poller
// closes the descriptor, as after Close.
func (c *Conn) Abort() {
	c.withDescriptor(func(fd int) {
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		none := unix.RawSockaddr{Family: unix.AF_UNSPEC} // connecting to AF_UNSPEC dissolves the association (connect(2))
		_, _, _ = unix.Syscall(unix.SYS_CONNECT, uintptr(fd), uintptr(unsafe.Pointer(&none)), unsafe.Sizeof(none))
	})
	c.Close() // for systems that do not support this
}
