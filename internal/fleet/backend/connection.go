package backend

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Parameters of connections.
const (
	dialTimeout    = 250 * time.Millisecond
	userTimeout    = 600 * time.Millisecond // after which unacknowledged bytes end a connection
	readBufferSize = 4 << 10                // bytes
)

// connection is one connection to a backend. It carries one exchange at a time.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	address  string
	used     bool      // a request was sent on it
	useUntil time.Time // while it is idle: the backend may close it after that
}

// dial connects to an address within dialTimeout, or within a shorter time.
func dial(address string, within time.Duration) (*connection, error) {
	conn, err := transport.Dial(address, min(dialTimeout, within), userTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), address: address}, nil
}

// isQuiet reports whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
