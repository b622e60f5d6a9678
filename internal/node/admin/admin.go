// Package admin is the operators' door: it reads their calls and writes the answers. It decides nothing. Its accepts and its
// goroutines are its own, so that nothing that holds up clients holds up an operator; and one call to a connection keeps the
// callers apart from each other.
//
// Bounds: mostCallers connections, each with a goroutine and at most one message of internal/http1. Over that, the one that has
// been silent longest makes room, so callers that say nothing or half a call shut nobody out. A caller has callLimit to say its
// call and writeLimit to read the answer.
package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/codec/http1"
)

// Descriptors is how many the door holds at most.
const Descriptors = mostCallers + 2 // the listening socket, and one that was accepted and still makes room

const (
	mostCallers = 8
	callLimit   = 5 * time.Second
	writeLimit  = time.Second
	lingerLimit = 200 * time.Millisecond // for a caller that goes on sending to read its answer
)

// ErrUnknown is what Suspend and Resume give for a rater that is not known.
var ErrUnknown = errors.New("no such rater")

// Node is what the door speaks for. Its methods are called from any goroutine and must not wait for what a client could hold up.
type Node interface {
	Readyz() error            // nil = this process could serve
	Metrics() ([]byte, error) // the figures as JSON
	Suspend(rater string) error
	Resume(rater string) error
	Drain() error
	Activate() error
	Knowledge() ([]byte, error) // what it knows of the raters, in the form of a state on a disk
}

// Door is an open door.
type Door struct {
	listener net.Listener
	node     Node
	work     sync.WaitGroup

	mu      sync.Mutex
	callers map[*caller]struct{}
	closed  bool
}

// caller is one connection.
type caller struct {
	conn  net.Conn
	since time.Time // it has been silent since then
	told  bool      // its call is whole
}

// Open listens at an address and answers until Close.
func Open(address string, n Node) (*Door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	d := &Door{listener: l, node: n, callers: map[*caller]struct{}{}}
	d.work.Go(d.accept)
	return d, nil
}

// Address is where the door listens.
func (d *Door) Address() string { return d.listener.Addr().String() }

// Close ends all calls.
func (d *Door) Close() {
	_ = d.listener.Close()
	d.mu.Lock()
	d.closed = true
	for c := range d.callers {
		_ = c.conn.Close()
	}
	d.mu.Unlock()
	d.work.Wait()
}

func (d *Door) accept() {
	for {
		conn, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond) // out of descriptors for a moment
			continue
		}
		c := &caller{conn: conn, since: time.Now()}
		d.mu.Lock()
		if len(d.callers) >= mostCallers {
			d.makeRoom()
		}
		d.callers[c] = struct{}{}
		if d.closed {
			_ = conn.Close()
		}
		d.mu.Unlock()
		d.work.Go(func() { d.serve(c) })
	}
}

// makeRoom ends, under the lock, the caller that has been silent longest.
func (d *Door) makeRoom() {
	var victim *caller
	for c := range d.callers {
		if !c.told && (victim == nil || c.since.Before(victim.since)) {
			victim = c
		}
	}
	if victim != nil {
		_ = victim.conn.Close()
		delete(d.callers, victim)
	}
}

// serve answers one call.
func (d *Door) serve(c *caller) {
	defer func() {
		_ = c.conn.Close()
		d.mu.Lock()
		delete(d.callers, c)
		d.mu.Unlock()
	}()
	m, head, err := d.read(c)
	if m == nil && err == nil {
		return // it has gone, or said nothing in time
	}
	reply := text(http1.Status(err), "", fmt.Sprint(err))
	if err == nil {
		reply = d.answer(m)
		head = m
	}
	reply.Close, reply.Head = true, head != nil && string(head.Method) == "HEAD"
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := c.conn.Write(http1.AppendResponse(nil, reply)); err != nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok { // an end with bytes unread would cost the caller its answer
		_ = tcp.CloseWrite()
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerLimit))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, http1.MaxBody))
	}
}

// read takes the call, or nothing if none came in time.
func (d *Door) read(c *caller) (m, head *http1.Message, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(callLimit))
	parser := http1.NewRequests()
	buffer := make([]byte, 2048)
	for {
		n, failed := c.conn.Read(buffer)
		parser.Feed(buffer[:n])
		m, err := parser.Next()
		if h := parser.Awaits(); h != nil {
			_, _ = c.conn.Write([]byte(http1.Continue))
		}
		d.mu.Lock()
		if n > 0 {
			c.since = time.Now()
		}
		c.told = c.told || m != nil || err != nil
		d.mu.Unlock()
		if m != nil || err != nil || failed != nil {
			return m, parser.Head(), err
		}
	}
}

const textType = "Content-Type: text/plain; charset=utf-8\r\n"

func text(status int, fields, say string) http1.Reply {
	return http1.Reply{Status: status, Fields: fields + textType, Body: []byte(say + "\n")}
}

// call is what a path stands for.
type call struct {
	method string
	do     func() http1.Reply
}

// answer finds what a call asks for and has it done.
func (d *Door) answer(m *http1.Message) http1.Reply {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	c, known := d.find(string(path))
	method := string(m.Method)
	switch {
	case !known:
		return text(404, "", "no such call")
	case method != c.method && (method != "HEAD" || c.method != "GET"):
		return text(405, "Allow: "+c.method+"\r\n", "this wants "+c.method)
	}
	return c.do()
}

func (d *Door) find(path string) (call, bool) {
	switch path {
	case "/v1/readyz":
		return call{"GET", func() http1.Reply { return done(d.node.Readyz(), "ready") }}, true
	case "/v1/metrics":
		return call{"GET", func() http1.Reply { return given("application/json", d.node.Metrics) }}, true
	case KnowledgePath:
		return call{"GET", func() http1.Reply { return given("application/octet-stream", d.node.Knowledge) }}, true
	case "/v1/node/drain":
		return call{"POST", func() http1.Reply { return done(d.node.Drain(), "drained") }}, true
	case "/v1/node/activate":
		return call{"POST", func() http1.Reply { return done(d.node.Activate(), "active") }}, true
	}
	rest, ok := strings.CutPrefix(path, "/v1/raters/")
	id, what, ok2 := strings.Cut(rest, "/")
	if !ok || !ok2 {
		return call{}, false
	}
	if plain, err := url.PathUnescape(id); err == nil {
		id = plain
	}
	switch what {
	case "suspend":
		return call{"POST", func() http1.Reply { return done(d.node.Suspend(id), "out") }}, true
	case "resume":
		return call{"POST", func() http1.Reply { return done(d.node.Resume(id), "back") }}, true
	}
	return call{}, false
}

// done words a yes, or a no with its reason.
func done(err error, yes string) http1.Reply {
	switch {
	case err == nil:
		return text(200, "", yes)
	case errors.Is(err, ErrUnknown):
		return text(404, "", err.Error())
	}
	return text(503, "", err.Error())
}

// given words what the node tells of itself.
func given(form string, tell func() ([]byte, error)) http1.Reply {
	body, err := tell()
	if err != nil {
		return text(500, "", err.Error())
	}
	return http1.Reply{Status: 200, Fields: "Content-Type: " + form + "\r\n", Body: body}
}
