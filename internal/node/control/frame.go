// Package control is a node's Unix socket: another process asks there how the node does, or takes its place. It carries
// out what package takeover decides; frames, credentials, descriptors and time limits are its own.
//
// A frame is its length in four bytes, the highest first, and one JSON object. Unknown fields and unknown types are
// ignored; a peer names the lowest and the highest version that it speaks, and the highest that both do is spoken. At
// most maxPeers connections are open; a frame has at most maxFrame bytes and maxFiles descriptors.
package control

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The versions of the protocol that are spoken: always the last two. There has been one so far.
const (
	lowest  = 1
	highest = 2 // has orders and holds
)

const (
	maxFrame = 64 << 20
	maxFiles = 32
	maxPeers = 16
)

// What a peer may want.
const (
	wantStatus   = "status"
	wantTakeover = "takeover"
)

// What the two sides tell each other beside the takeover, from version 2 on.
const (
	typeOrder  = "order"
	typeObeyed = "obeyed"
	typeHolds  = "holds"
	typeNames  = "names"
)

// message is a frame's object: the fields of all types.
type message struct {
	Type string `json:"type"`

	// Of hello.
	Min     int    `json:"min,omitempty"`
	Max     int    `json:"max,omitempty"`
	Want    string `json:"want,omitempty"`
	Release string `json:"release,omitempty"` // and of state
	PID     int    `json:"pid,omitempty"`     // and of state

	Version    int             `json:"version,omitempty"`    // of all that answer hello
	Reason     string          `json:"reason,omitempty"`     // of refused and withdrawn
	Sockets    []string        `json:"sockets,omitempty"`    // of state: the names of the descriptors that come along
	Knowledge  json.RawMessage `json:"knowledge,omitempty"`  // of state and yours
	Unanswered int             `json:"unanswered,omitempty"` // of ended
	Status     json.RawMessage `json:"status,omitempty"`     // of status

	// From version 2 on.
	Held  int             `json:"held,omitempty"`  // of state and holds: descriptors that the giver keeps to
	Seq   int             `json:"seq,omitempty"`   // of order and obeyed
	Order json.RawMessage `json:"order,omitempty"` // of order

	// Of processes that hand over names of calls.
	Mark  string          `json:"mark,omitempty"`  // of hello and state: how names are made; empty = none are handed over
	Names json.RawMessage `json:"names,omitempty"` // of names
}

// wire is one connection. Frames are read by one goroutine at a time.
type wire struct {
	conn *net.UnixConn
	out  *sync.Mutex // held by who writes a frame
}

func wireOn(c *net.UnixConn) wire { return wire{c, new(sync.Mutex)} }

// write sends a frame, with descriptors, within a time.
func (w wire) write(m message, limit time.Duration, files ...int) error {
	body, err := json.Marshal(m)
	if err == nil && len(body) > maxFrame {
		err = fmt.Errorf("%d bytes are more than a frame holds", len(body))
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", m.Type, err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	frame = append(frame, body...)
	w.out.Lock()
	defer w.out.Unlock()
	_ = w.conn.SetWriteDeadline(time.Now().Add(limit))
	if len(files) > 0 { // descriptors go with the first bytes
		n, _, err := w.conn.WriteMsgUnix(frame[:4], unix.UnixRights(files...), nil)
		if err != nil {
			return fmt.Errorf("writing %s: %w", m.Type, err)
		}
		frame = frame[n:]
	}
	if _, err := w.conn.Write(frame); err != nil {
		return fmt.Errorf("writing %s: %w", m.Type, err)
	}
	return nil
}

var errFrame = errors.New("not a frame")

// read takes the next frame, within a time; 0 is without limit. The descriptors that came with it are the caller's.
func (w wire) read(limit time.Duration) (m message, files []*os.File, err error) {
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	_ = w.conn.SetReadDeadline(deadline)
	defer func() {
		if err != nil {
			closeAll(files)
			files = nil
		}
	}()
	var head [4]byte
	control := make([]byte, unix.CmsgSpace(4*maxFiles))
	for have := 0; have < len(head); {
		n, c, flags, _, err := w.conn.ReadMsgUnix(head[have:], control)
		files = append(files, descriptors(control[:c])...)
		switch {
		case err != nil:
			return m, files, err
		case n == 0:
			return m, files, io.EOF
		case flags&unix.MSG_CTRUNC != 0 || len(files) > maxFiles:
			return m, files, fmt.Errorf("%w: too many descriptors", errFrame)
		}
		have += n
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return m, files, fmt.Errorf("%w: %d bytes are too many", errFrame, size)
	}
	body, err := io.ReadAll(io.LimitReader(w.conn, int64(size))) // grows with what comes, not with what is announced
	if err == nil && len(body) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return m, files, err
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return m, files, fmt.Errorf("%w: %w", errFrame, err)
	}
	return m, files, nil
}

// descriptors takes those out of what came beside the bytes.
func descriptors(control []byte) (files []*os.File) {
	list, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range list {
		fds, err := unix.ParseUnixRights(&list[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "passed"))
		}
	}
	return files
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// credentials tells who is at the other end.
func credentials(c *net.UnixConn) (*unix.Ucred, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var who *unix.Ucred
	var err2 error
	err = raw.Control(func(fd uintptr) { who, err2 = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
	if err := errors.Join(err, err2); err != nil {
		return nil, fmt.Errorf("the peer's credentials: %w", err)
	}
	return who, nil
}

// dial connects to a node's socket. Nobody tells that no process listens there.
func dial(path string) (c *net.UnixConn, nobody bool, err error) {
	c, err = net.DialUnix("unix", nil, &net.UnixAddr{Net: "unix", Name: path})
	nobody = errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		err = fmt.Errorf("asking the process at %s: %w", path, err)
	}
	return c, nobody, err
}

// agree finds the version to speak with a peer, 0 = none.
func agree(low, high int) int {
	if v := min(high, highest); v >= max(low, lowest) {
		return v
	}
	return 0
}
