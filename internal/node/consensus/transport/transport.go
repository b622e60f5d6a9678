// Package transport carries messages between the processes of one fleet: a handshake that identifies the
// connecting process, frames with a length and a checksum, and a Sender that never blocks its caller.
//
// A frame consists of the length of its payload (4 bytes, big endian), the xxhash of kind and payload (8 bytes),
// the kind (1 byte) and the payload. If a message is longer than one frame, the more bit is set in the kind of
// every frame but the last.
//
// Bounds: a frame has at most maxFrameBytes of payload, a message at most maxMessageBytes. A sender queues up to
// Limits.Bytes and drops the rest. The connection of a peer that sends anything else is closed.
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
	// ErrFrame says that the peer has sent something that no member or client of the fleet sends.
	ErrFrame = errors.New("invalid frame")
	// ErrRefused says that the peer or this end has rejected the handshake.
	ErrRefused = errors.New("connection rejected")
)

// Version is the newest version of the frames and their content. A release supports its own version and the
// previous one. This is the first version.
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

// The kinds of message.
const (
	KindHello   Kind = 1
	KindAnswer  Kind = 2
	KindRaft    Kind = 3
	KindRequest Kind = 4
	more        Kind = 0x80 // flag in a frame's kind: the message continues in the next frame
)

// Conn is a connection. One goroutine may read while another writes.
type Conn struct {
	raw     net.Conn
	in      *bufio.Reader
	Version int // the negotiated version, after the handshake
}

// NewConn wraps an accepted connection. Accept then performs the handshake.
func NewConn(raw net.Conn) *Conn {
	return &Conn{raw: raw, in: bufio.NewReaderSize(raw, maxFrameBytes/2)}
}

// Close closes the connection. It is safe for concurrent use and may be called more than once.
func (c *Conn) Close() error { return c.raw.Close() }

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.raw.RemoteAddr().String() }

// Append appends a message to dst, encoded as frames.
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

// Read reads the next message. Memory is allocated frame by frame as data arrives, and a frame is limited in size:
// an unauthenticated peer must not be able to cause large allocations by announcing a length.
func (c *Conn) Read() (kind Kind, message []byte, err error) {
	var header [frameHeaderBytes]byte
	for {
		if _, err := io.ReadFull(c.in, header[:]); err != nil {
			return 0, nil, err
		}
		n, frameKind := binary.BigEndian.Uint32(header[:]), Kind(header[12])
		if n > maxFrameBytes || len(message)+int(n) > maxMessageBytes || kind != 0 && frameKind&^more != kind {
			return 0, nil, fmt.Errorf("%w: unexpected kind or length of %d bytes", ErrFrame, n)
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
			return 0, nil, fmt.Errorf("%w: checksum mismatch", ErrFrame)
		}
		if frameKind&more == 0 {
			return kind, message, nil
		}
	}
}

// Write writes a message. If the peer does not accept it within the timeout, the connection is unusable afterwards.
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
