package transport

import (
	"encoding/json"
	"fmt"
	"net"
	"time"
)

const handshakeTimeout = 3 * time.Second // for each handshake message, on the accepting side

// Hello is the first message on a connection. The connecting side sends it.
type Hello struct {
	Fleet        string `json:"fleet"`
	Min          int    `json:"min"` // oldest and newest supported Version
	Max          int    `json:"max"`
	Release      string `json:"release"` // informational
	Name         string `json:"name"`
	To           string `json:"to,omitempty"`      // expected name of the member; "" = any
	WantID       uint64 `json:"want,omitempty"`    // expected ID of the member; 0 = any
	ID           uint64 `json:"id,omitempty"`      // ID of the connecting member; 0 = a client
	Starts       uint64 `json:"starts,omitempty"`  // number of starts of the member
	Incarnation  uint64 `json:"life,omitempty"`    // random number of the process; differs between copies of one directory with the same Starts
	Connection   uint64 `json:"dial,omitempty"`    // number of this connection since the start: the Hello of an earlier one is outdated
	Last         uint64 `json:"last,omitempty"`    // index of the last entry on its disk
	Applied      uint64 `json:"applied,omitempty"` // index of the last applied entry
	StateVersion int    `json:"ledger,omitempty"`  // newest statemachine.Version that the member reads; 0 = the first
}

// Welcome is the answer to a Hello.
type Welcome struct {
	Reason  string `json:"reason,omitempty"` // why the connection is rejected; "" = accepted
	Final   bool   `json:"final,omitempty"`  // the rejection is permanent
	Version int    `json:"version,omitempty"`
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
}

// Dial connects to an address and performs the handshake. The error wraps ErrRefused if the peer has rejected the
// connection; w.Final then tells whether the rejection is permanent.
func Dial(address string, hello Hello, timeout time.Duration) (c *Conn, w Welcome, err error) {
	raw, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, w, err
	}
	c = NewConn(raw)
	hello.Min, hello.Max = minVersion, Version
	if err = c.writeJSON(hello, timeout); err == nil {
		err = c.readJSON(&w, timeout)
	}
	switch {
	case err == nil && w.Reason != "":
		err = fmt.Errorf("%w by %s: %s", ErrRefused, address, w.Reason)
	case err == nil && hello.To != "" && w.Name != hello.To:
		err = fmt.Errorf("%s is replica %q, not %q", address, w.Name, hello.To)
	}
	if err != nil {
		_ = c.Close() // the first error is returned
		return nil, w, err
	}
	c.Version = w.Version
	return c, w, raw.SetReadDeadline(time.Time{})
}

// Accept performs the handshake of an accepted connection. admit decides whether to accept a process of the same
// fleet whose version is supported. The error wraps ErrRefused if the connection was rejected.
func (c *Conn) Accept(fleet string, admit func(Hello) Welcome) (hello Hello, err error) {
	if err := c.readJSON(&hello, handshakeTimeout); err != nil {
		return hello, fmt.Errorf("reading the handshake: %w", err)
	}
	var w Welcome
	switch version := min(hello.Max, Version); {
	case hello.Fleet != fleet:
		w = Welcome{Reason: fmt.Sprintf("this is a keeper of the fleet %q, not of %q", fleet, hello.Fleet), Final: true}
	case version < hello.Min || version < minVersion:
		w.Reason = fmt.Sprintf("versions %d to %d are spoken here, and %d to %d there", minVersion, Version, hello.Min, hello.Max)
	default:
		w = admit(hello)
		c.Version, w.Version = version, version
	}
	if err := c.writeJSON(w, handshakeTimeout); err != nil {
		return hello, err
	}
	if w.Reason != "" {
		return hello, fmt.Errorf("%w: %s", ErrRefused, w.Reason)
	}
	return hello, c.raw.SetReadDeadline(time.Time{})
}

// writeJSON writes a message of the handshake.
func (c *Conn) writeJSON(v any, timeout time.Duration) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.Write(KindHello, text, timeout)
}

// readJSON reads a message of the handshake.
func (c *Conn) readJSON(v any, timeout time.Duration) error {
	if err := c.raw.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	kind, text, err := c.Read()
	if err != nil {
		return err
	}
	if kind != KindHello || json.Unmarshal(text, v) != nil {
		return ErrFrame
	}
	return nil
}
