// Package transport carries messages between the processes of one fleet: a handshake that says who connects, frames with a
// length and a checksum, and a Sender that never blocks its caller.
//
// A frame is the length of its payload (4 bytes, big endian), the xxhash of what follows (8 bytes), the kind (1 byte) and the
// payload. A message that is longer than a frame has the more bit set in the kind of all frames but the last.
//
// Bounds: a frame has maxFrameBytes of payload, a message maxMessageBytes; a sender holds what its Limits say and drops the
// rest. A peer that sends anything else loses its connection.
package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Errors that end a connection.
var (
	// ErrFrame says that the peer has sent what no member or client of the fleet sends.
	ErrFrame = errors.New("a frame that nobody of this fleet sends")
	// ErrRefused says that the peer, or this end, has rejected the handshake.
	ErrRefused = errors.New("turned away")
)

// Version is the newest version of the frames and of what they carry. A release speaks its own and the one before; this is the
// first.
const Version = 1

const (
	minVersion = 1

	maxFrameBytes    = 64 << 10
	maxMessageBytes  = 64 << 20
	frameHeaderBytes = 13 // length, checksum, kind
	firstBufferBytes = 4 << 10
)

// Kind is the kind of a message.
type Kind byte

// The kinds.
const (
	KindHello   Kind = 1
	KindAnswer  Kind = 2
	KindRaft    Kind = 3
	KindRequest Kind = 4
	more        Kind = 0x80 // a bit of a frame's kind: the message goes on with the next frame
)

// Conn is a connection. One goroutine may read while another writes.
type Conn struct {
	raw     net.Conn
	in      *bufio.Reader
	Version int // that both ends speak, after the handshake
}

// NewConn wraps an accepted connection; Accept then does the handshake.
func NewConn(raw net.Conn) *Conn {
	return &Conn{raw: raw, in: bufio.NewReaderSize(raw, maxFrameBytes/2)}
}

// Close closes the connection. It may be called on any goroutine, and more than once.
func (c *Conn) Close() error { return c.raw.Close() }

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.raw.RemoteAddr().String() }

// Append appends a message in frames to dst.
func Append(dst []byte, kind Kind, message []byte) []byte {
	for {
		frameKind, n := kind, len(message)
		if n > maxFrameBytes {
			frameKind, n = kind|more, maxFrameBytes
		}
		start := len(dst)
		dst = append(dst, make([]byte, frameHeaderBytes)...)
		dst = append(dst, message[:n]...)
		dst[start+12] = byte(frameKind)
		binary.BigEndian.PutUint32(dst[start:], uint32(n))
		binary.BigEndian.PutUint64(dst[start+4:], xxhash.Sum64(dst[start+12:]))
		if message = message[n:]; frameKind == kind {
			return dst
		}
	}
}

// Read reads the next message. Its memory grows with what has arrived, not with the length that a frame claims: a stranger must
// not be able to make a process allocate.
func (c *Conn) Read() (kind Kind, message []byte, err error) {
	var header [frameHeaderBytes]byte
	for {
		if _, err := io.ReadFull(c.in, header[:]); err != nil {
			return 0, nil, err
		}
		n, frameKind := binary.BigEndian.Uint32(header[:]), Kind(header[12])
		if n > maxFrameBytes || len(message)+int(n) > maxMessageBytes || kind != 0 && frameKind&^more != kind {
			return 0, nil, fmt.Errorf("%w: one of %d bytes", ErrFrame, n)
		}
		kind = frameKind &^ more
		offset := len(message)
		if message == nil && n > 0 && frameKind&more == 0 {
			message = make([]byte, n) // of the exact size: most messages have one frame
		} else {
			message = append(message, make([]byte, n)...)
		}
		if _, err := io.ReadFull(c.in, message[offset:]); err != nil {
			return 0, nil, err
		}
		sum := xxhash.New()
		_, _ = sum.Write(header[12:]) // never fails
		_, _ = sum.Write(message[offset:])
		if sum.Sum64() != binary.BigEndian.Uint64(header[4:]) {
			return 0, nil, fmt.Errorf("%w: its checksum is wrong", ErrFrame)
		}
		if frameKind&more == 0 {
			return kind, message, nil
		}
	}
}

// Write writes a message. A connection whose peer does not take it within the timeout is broken then.
func (c *Conn) Write(kind Kind, message []byte, timeout time.Duration) error {
	return c.writeFrames(Append(make([]byte, 0, min(len(message)+frameHeaderBytes, firstBufferBytes)), kind, message), timeout)
}

func (c *Conn) writeFrames(frames []byte, timeout time.Duration) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(frames)
	return err
}
