package netpoll

import (
	"errors"

	"golang.org/x/sys/unix"
)

// WriteRequest writes the first bytes of a client's request to a connection to a backend, unless the connection
// cannot be used (fit is false: something was received on it, or the other side has ended it) or the client has
// ended its own connection (gone). The kernel knows both before the poller does. A nil client is not checked.
// Nothing that is received reaches the handler before the bytes are written; asked is called right before that.
// The error is errEarly if bytes were received that cannot be the response.
func (c *Conn) WriteRequest(b []byte, client *Conn, asked func()) (fit, gone bool, err error) {
	if !c.reading.TryLock() { // the poller is reading
		return false, client.hasEnded(), nil
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

// errEarly means that bytes were received which the backend sent before it could read the request.
var errEarly = errors.New("bytes received before the backend could read the request")

// hasUnread reports whether the kernel holds received bytes.
func (c *Conn) hasUnread() (unread bool) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		unread = err == nil && n > 0
	})
	return unread
}

// HasUnacknowledged reports whether the other machine has yet to acknowledge some of the bytes that the socket has
// accepted. Whatever was received until then was sent before the last of them could be read there: later segments
// carry the acknowledgement, and the kernel processes that before it lets their bytes be read.
func (c *Conn) HasUnacknowledged() (unacknowledged bool) {
	c.withDescriptor(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		unacknowledged = err == nil && n > 0
	})
	return unacknowledged
}

// pollBoth checks with one poll(2) whether c can be used for a request and whether the client has ended its
// connection.
func (c *Conn) pollBoth(client *Conn) (fit, gone bool) {
	c.withDescriptor(func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}, {Fd: -1}}
		poll := func() {
			n, err := unix.Poll(fds, 0)
			fit = err == nil && (n == 0 || fds[0].Revents == 0)
			gone = gone || err == nil && fds[1].Revents != 0
		}
		if client == nil {
			poll()
			return
		}
		gone = true // unless its descriptor is still open
		client.withDescriptor(func(fd int) {
			gone, fds[1] = false, unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
			poll()
		})
	})
	return fit, gone
}

// hasEnded reports whether the other side has ended the connection; false for nil.
func (c *Conn) hasEnded() bool { return c != nil && (c.isClosed() || c.hungUp()) }
