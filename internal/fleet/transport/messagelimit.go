package transport

import (
	"errors"
	"net"
)

// maxMessageBytes bounds one message of a peer. The largest ones carry a whole configuration.
const maxMessageBytes = 64 << 20

// errMessageTooLong means that a peer announced a longer message than maxMessageBytes.
var errMessageTooLong = errors.New("transport: message of a peer is too long")

// Encoding of a length in gob: a byte below singleByteLengths is the length; another one is the negated number of bytes that
// follow, most significant first.
const (
	singleByteLengths = 0x80
	maxLengthBytes    = 8
)

// limitedConn ends a connection on which a peer announces a message of more than maxMessageBytes, before memory is allocated for
// it. It follows the framing of gob. Reads are not safe for concurrent use.
type limitedConn struct {
	net.Conn
	payload     uint64 // bytes of the current message that have not been read
	lengthBytes int    // bytes of the next message's length that have not been read
	length      uint64 // the part of that length that has been read
}

// Read reads from the connection.
func (c *limitedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if limitErr := c.follow(into[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// follow follows the framing over received bytes.
func (c *limitedConn) follow(received []byte) error {
	for len(received) > 0 {
		if c.payload > 0 {
			skipped := min(c.payload, uint64(len(received)))
			c.payload -= skipped
			received = received[skipped:]
			continue
		}
		if err := c.followLength(received[0]); err != nil {
			return err
		}
		received = received[1:]
	}
	return nil
}

// followLength follows one byte of a message's length.
func (c *limitedConn) followLength(next byte) error {
	switch {
	case c.lengthBytes > 0:
		c.length = c.length<<8 | uint64(next)
		c.lengthBytes--
	case next < singleByteLengths:
		c.length = uint64(next)
	default:
		c.length, c.lengthBytes = 0, -int(int8(next))
		if c.lengthBytes > maxLengthBytes {
			return errMessageTooLong
		}
	}
	if c.lengthBytes > 0 {
		return nil
	}
	if c.length > maxMessageBytes {
		return errMessageTooLong
	}
	c.payload = c.length
	return nil
}
