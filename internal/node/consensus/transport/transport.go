// Package transport carries frames between the processes of one fleet: what the first word on a connection must say, frames with a
// length and a checksum, and a sender that never makes its owner wait.
//
// Bounds: a frame has 64 KiB and its head, a message 64 MiB in frames; a sender holds what Limits say, and drops what comes
// beyond. A peer that says anything else than it should loses its connection.
package transport

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version is that of the frames and of what they carry. One release speaks its own and the one before; this is the first.
const Version = 1

const (
	lowest     = 1
	maxFrame   = 64 << 10
	maxMessage = 64 << 20
	headLength = 13 // length, checksum, kind
	helloLimit = 3 * time.Second
	firstRoom  = 4 << 10
)

// Kind is what a message is.
type Kind byte

// The kinds. A part is a piece of a message that goes on with the next frame.
const (
	KindHello   Kind = 1
	KindAnswer  Kind = 2
	KindRaft    Kind = 3
	KindRequest Kind = 4
	part        Kind = 0x80
)

// What ends a connection.
var (
	ErrFrame   = errors.New("a frame that nobody of this fleet sends")
	ErrRefused = errors.New("turned away")
)

// Hello is the first word of whoever connects.
type Hello struct {
	Fleet        string `json:"fleet"`
	Min          int    `json:"min"` // versions spoken
	Max          int    `json:"max"`
	Release      string `json:"release"` // for people
	Name         string `json:"name"`
	To           string `json:"to,omitempty"`      // the name of whom it wants, empty = whoever is there
	Want         uint64 `json:"want,omitempty"`    // and the number of it, 0 = any
	ID           uint64 `json:"id,omitempty"`      // of a keeper, 0 = a client of the log
	Starts       uint64 `json:"starts,omitempty"`  // how often it has started
	Life         uint64 `json:"life,omitempty"`    // drawn by its process: one start has one life
	Dial         uint64 `json:"dial,omitempty"`    // how often it has connected since its start: one that comes late counts for nothing
	Last         uint64 `json:"last,omitempty"`    // the last entry that its disk holds,
	Applied      uint64 `json:"applied,omitempty"` // and up to which it knows what was agreed
	StateVersion int    `json:"ledger,omitempty"`  // the version of the ledger that a keeper knows, 0 = the first
}

// Welcome answers it.
type Welcome struct {
	Reason  string `json:"reason,omitempty"` // why it is turned away
	Final   bool   `json:"final,omitempty"`  // it will be turned away whenever it comes
	Version int    `json:"version,omitempty"`
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
}

// Conn is a connection on which both have said who they are.
type Conn struct {
	raw     net.Conn
	in      *bufio.Reader
	Version int
}

// NewConn wraps a connection that was accepted.
func NewConn(raw net.Conn) *Conn { return &Conn{raw: raw, in: bufio.NewReaderSize(raw, maxFrame/2)} }

// Close ends it.
func (c *Conn) Close() error { return c.raw.Close() }

// Remote is the other end's address.
func (c *Conn) Remote() string { return c.raw.RemoteAddr().String() }

// Append adds a message in frames.
func Append(dst []byte, kind Kind, message []byte) []byte {
	for {
		k, n := kind, len(message)
		if n > maxFrame {
			k, n = kind|part, maxFrame
		}
		start := len(dst)
		dst = append(dst, make([]byte, headLength)...)
		dst = append(dst, message[:n]...)
		dst[start+12] = byte(k)
		binary.BigEndian.PutUint32(dst[start:], uint32(n))
		binary.BigEndian.PutUint64(dst[start+4:], xxhash.Sum64(dst[start+12:]))
		if message = message[n:]; k == kind {
			return dst
		}
	}
}

// Read gives the next message. Its memory grows with what has come, not with what a frame says will come.
func (c *Conn) Read() (kind Kind, message []byte, err error) {
	var head [headLength]byte
	for {
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return 0, nil, err
		}
		n, k := binary.BigEndian.Uint32(head[:]), Kind(head[12])
		if n > maxFrame || len(message)+int(n) > maxMessage || kind != 0 && k&^part != kind {
			return 0, nil, fmt.Errorf("%w: one of %d bytes", ErrFrame, n)
		}
		kind = k &^ part
		at := len(message)
		if message == nil && n > 0 && k&part == 0 {
			message = make([]byte, n)
		} else {
			message = append(message, make([]byte, n)...)
		}
		if _, err := io.ReadFull(c.in, message[at:]); err != nil {
			return 0, nil, err
		}
		sum := xxhash.New()
		_, _ = sum.Write(head[12:]) // it does not fail
		_, _ = sum.Write(message[at:])
		if sum.Sum64() != binary.BigEndian.Uint64(head[4:]) {
			return 0, nil, fmt.Errorf("%w: its checksum is wrong", ErrFrame)
		}
		if k&part == 0 {
			return kind, message, nil
		}
	}
}

// Write sends a message within a time; a connection whose other end takes nothing is lost then.
func (c *Conn) Write(kind Kind, message []byte, within time.Duration) error {
	return c.write(Append(make([]byte, 0, min(len(message)+headLength, firstRoom)), kind, message), within)
}

func (c *Conn) write(frames []byte, within time.Duration) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := c.raw.Write(frames)
	return err
}

// Dial connects and says who it is. An error wraps ErrRefused where the other end has turned it away; final says that it
// always will.
func Dial(address string, hello Hello, within time.Duration) (c *Conn, w Welcome, err error) {
	raw, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return nil, w, err
	}
	c = NewConn(raw)
	hello.Min, hello.Max = lowest, Version
	if err = c.say(KindHello, hello, within); err == nil {
		err = c.hear(KindHello, &w, within)
	}
	switch {
	case err == nil && w.Reason != "":
		err = fmt.Errorf("%w by %s: %s", ErrRefused, address, w.Reason)
	case err == nil && hello.To != "" && w.Name != hello.To:
		err = fmt.Errorf("%s is %q, not %q", address, w.Name, hello.To)
	}
	if err != nil {
		_ = c.Close() // the first error counts
		return nil, w, err
	}
	c.Version = w.Version
	return c, w, raw.SetReadDeadline(time.Time{})
}

// Accept hears who connects, and answers with what judge says.
func (c *Conn) Accept(fleet string, judge func(Hello) Welcome) (hello Hello, err error) {
	if err := c.hear(KindHello, &hello, helloLimit); err != nil {
		return hello, fmt.Errorf("it did not say who it is: %w", err)
	}
	var w Welcome
	switch version := min(hello.Max, Version); {
	case hello.Fleet != fleet:
		w = Welcome{Reason: fmt.Sprintf("this is a keeper of the fleet %q, not of %q", fleet, hello.Fleet), Final: true}
	case version < hello.Min || version < lowest:
		w.Reason = fmt.Sprintf("versions %d to %d are spoken here, and %d to %d there", lowest, Version, hello.Min, hello.Max)
	default:
		w = judge(hello)
		c.Version, w.Version = version, version
	}
	if err := c.say(KindHello, w, helloLimit); err != nil {
		return hello, err
	}
	if w.Reason != "" {
		return hello, fmt.Errorf("%w: %s", ErrRefused, w.Reason)
	}
	return hello, c.raw.SetReadDeadline(time.Time{})
}

func (c *Conn) say(kind Kind, v any, within time.Duration) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.Write(kind, text, within)
}

func (c *Conn) hear(want Kind, v any, within time.Duration) error {
	if err := c.raw.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	kind, text, err := c.Read()
	if err != nil {
		return err
	}
	if kind != want || json.Unmarshal(text, v) != nil {
		return ErrFrame
	}
	return nil
}
