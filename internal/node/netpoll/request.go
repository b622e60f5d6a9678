package netpoll

import (
	"errors"

	"golang.org/x/sys/unix"
)

// WriteRequest writes the first bytes of a client's request to a connection to a backend, unless the connection cannot be used (fit is
// false: something was received on it, or the other side has ended it) or the client has ended its own connection (gone). The kernel
// knows both before the poller does. A nil client is not checked. Nothing that is received reaches the handler before the bytes are
// written; asked is called right before that. The error is errEarly where something was received that cannot be the response.
func (c *Conn) WriteRequest(b []byte, client *Conn, asked func()) (fit, gone bool, err error) {
	if !c.reading.TryLock() { // the poller is reading
		return false, client.hasLeft(), nil
	}
	defer c.reading.Unlock()
	if fit, gone = c.pollBoth(client); !fit || gone {
		return fit, gone, nil
	}
	asked()
	if err = c.send(b); err == nil && c.hasUnread() && c.HasUnacknowledged() {
		err = errEarly
	}
	return fit, gone, err
}

// errEarly says that bytes were received which the backend sent before it could read the request.
var errEarly = errors.New("something came before the request could be read")

// hasUnread reports whether the kernel holds received bytes.
func (c *Conn) hasUnread() (unread bool) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		unread = err == nil && n > 0
	})
	return unread
}

// HasUnacknowledged reports whether the other machine has yet to acknowledge some of what the socket has taken. Whatever was received until
// then was sent before the last of it could be read there: later segments carry the acknowledgement, and the kernel processes that before
// it lets their bytes be read.
func (c *Conn) HasUnacknowledged() (unacknowledged bool) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		unacknowledged = err == nil && n > 0
	})
	return unacknowledged
}

// pollBoth checks with one poll(2) whether c can be used for a request and whether the client has ended its connection.
func (c *Conn) pollBoth(client *Conn) (fit, gone bool) {
	c.withDescriptor(func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}, {Fd: -1}}
		poll := func() {
			n, err := unix.Poll(look, 0)
			fit = err == nil && (n == 0 || look[0].Revents == 0)
			gone = gone || err == nil && look[1].Revents != 0
		}
		if client == nil {
			poll()
			return
		}
		gone = true // unless its descriptor is still open
		client.withDescriptor(func(fd int) {
			gone, look[1] = false, unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
			poll()
		})
	})
	return fit, gone
}

// hasLeft reports whether the other side has ended the connection; false for nil.
func (c *Conn) hasLeft() bool { return c != nil && (c.isClosed() || c.hungUp()) }
