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
	userTimeout    = 600 * time.Millisecond // a connection fails if sent data is unacknowledged for this long
	readBufferSize = 4 << 10                // bytes
)

// connection is a connection to a backend. It carries one exchange at a time.
type connection struct {
	net.Conn
	received  *headerLimiter
	reader    *bufio.Reader // of received
	address   string
	used      bool      // a request has been sent on the connection
	expiresAt time.Time // of an idle connection: the backend may close it after this time
}

// dial connects to an address. It fails after dialTimeout, or after the given time if that is shorter.
func dial(address string, within time.Duration) (*connection, error) {
	conn, err := transport.Dial(address, min(dialTimeout, within), userTimeout)
	if err != nil {
		return nil, err
	}
	received := &headerLimiter{source: conn}
	return &connection{Conn: conn, received: received, reader: bufio.NewReaderSize(received, readBufferSize), address: address}, nil
}

// hasNoPendingInput reports whether nothing has been received on an idle connection: neither the end of the stream
// nor bytes that belong to no request. It may be called while a read waits.
func (c *connection) hasNoPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var peeked [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
	})
	return err == nil && empty
}
