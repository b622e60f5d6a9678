// Package thriftserver is the front for clients that speak Thrift, in every form: it reads calls, has the core serve each and
// writes its result. Clients whose messages are framed may have several calls open on a connection and get their results in
// any order; others get them in the order of their calls. Two calls with one sequence id, which could not be told apart, are
// served one after the other.
package thriftserver

import (
	"bytes"
	"errors"
	"log/slog"
	"math"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/codec/thrift/mapping"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/downstream/connlimit"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/shutdown/driver"
)

// Class is what the front has to know of a class.
type Class struct {
	Keyed bool
}

// Method is what a client may call.
type Method struct {
	Class  int
	OneWay bool // nobody waits for its results, whatever a call says
}

// Settings describe the front.
type Settings struct {
	Classes  []Class
	Methods  map[string]Method // by their names as they are on the wire
	Tenants  map[string]int
	Limiter  connlimit.Settings
	Messages thrift.Limits
	Open     int     // calls open on one connection
	Pipeline int     // bytes kept of what comes behind
	Backlog  int     // bytes of results kept for a client that does not read them
	Linger   float64 // ms that a client which sent what cannot be read has to read why
	Stall    float64 // ms that results may stand still on their way to a client whose connection ends
}

// Server serves clients.
type Server struct {
	set     Settings
	clock   clock.Clock
	core    *core.Core
	gate    *driver.Gate
	limiter *connlimit.Limiter
	log     *slog.Logger
}

// New makes a front.
func New(set Settings, c clock.Clock, to *core.Core, g *driver.Gate, log *slog.Logger) *Server {
	return &Server{set: set, clock: c, core: to, gate: g, limiter: connlimit.New(set.Limiter, c), log: log}
}

// Connections is how many connections of clients are open.
func (s *Server) Connections() int { return s.limiter.Connections() }

// MakeRoom has a connection make room for clients who wait because all places are taken.
func (s *Server) MakeRoom() { s.limiter.MakeRoom() }

// Sweep ends the connections that carry no call for long, and those whose call is not whole in time; it is to be called often.
// While the node stops, they stay, since none can be replaced, until no call can be answered on them any more.
func (s *Server) Sweep() {
	limit := s.limiter.IdleLimit()
	switch policy := s.gate.Policy(); {
	case policy.CloseIdle:
		limit = 0
	case !policy.CanReconnect:
		limit = math.Inf(1)
	}
	s.limiter.Sweep(limit)
}

// Accept takes a new connection.
func (s *Server) Accept(n *netpoll.Conn) netpoll.Handler {
	c := &conn{server: s, net: n, reader: thrift.NewReader(s.set.Messages), open: map[int32]*core.Call{}}
	s.gate.Connected(false)
	c.slot, c.once = s.limiter.Admit(c)
	return c
}

// conn is a client's connection.
type conn struct {
	server *Server
	net    *netpoll.Conn
	slot   *connlimit.Slot
	once   bool // it ends with its first result

	mu     sync.Mutex
	reader *thrift.Reader
	came   float64              // when bytes came last
	open   map[int32]*core.Call // calls that are being served, by sequence id
	next   *thrift.Message      // read, and waits for one of those
	deaf   bool                 // what is open is the last: more came behind it than is kept, or what cannot be read,
	bad    error                // for this reason
	ended  bool                 // nothing more is read
}

// Data takes bytes from the client.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.deaf {
		return
	}
	c.came = c.server.clock.Now()
	c.reader.Feed(data)
	if len(c.open) > 0 && c.reader.Buffered() > c.server.set.Pipeline {
		c.deaf = true
		return
	}
	c.read()
}

// read takes calls, under the lock, until bytes are missing or one has to wait.
func (c *conn) read() {
	for !c.ended && !c.deaf {
		if c.next == nil {
			m, err := c.reader.Next()
			if err != nil {
				if c.deaf, c.bad = true, err; len(c.open) == 0 {
					c.unreadable(err)
				}
				return
			}
			if m == nil {
				break
			}
			c.next = m
		}
		if c.waits(c.next) {
			break
		}
		m := c.next
		c.next = nil
		c.call(m)
	}
	c.settle()
}

// waits tells whether a call is to be served only after another one.
func (c *conn) waits(m *thrift.Message) bool {
	same := c.open[m.Seq] != nil
	return same || len(c.open) >= c.server.set.Open || len(c.open) > 0 && m.Form.Transport == thrift.Unframed
}

// settle notes what the connection is about now.
func (c *conn) settle() {
	switch {
	case c.ended:
	case len(c.open) > 0:
		c.slot.Enter(connlimit.StateBusy, c.came)
	case !c.reader.Idle():
		c.slot.Enter(connlimit.StateReading, c.came)
	default:
		c.slot.Enter(connlimit.StateIdle, c.came)
		c.retireAfterLastCalls()
	}
}

// retireAfterLastCalls ends a connection that has just become idle if the node already ends those: the sweep that did so may have
// found this one busy, and no later one may come before the node ends.
func (c *conn) retireAfterLastCalls() {
	if c.server.gate.Policy().CloseIdle {
		go c.CloseIfIdle()
	}
}

// call handles one call under the lock.
func (c *conn) call(m *thrift.Message) {
	c.slot.Enter(connlimit.StateBusy, c.came)
	if m.Type != thrift.Call && m.Type != thrift.OneWay {
		c.write(m, mapping.Fault(m.Name, mapping.InvalidMessageType, "a client sends calls"))
		return
	}
	call, fault := c.server.read(m, c.came, c.net)
	if fault != nil {
		c.write(m, fault)
		return
	}
	if a, ok := c.server.core.Admit(call); !ok {
		c.write(m, result(m, a))
		return
	}
	c.open[m.Seq] = call
	go c.serve(m, call)
}

// read finds what the core has to know, or the application exception where the call cannot be served.
func (s *Server) read(m *thrift.Message, came float64, client *netpoll.Conn) (call *core.Call, fault *thrift.Message) {
	method, ok := s.set.Methods[string(m.Name)]
	if !ok {
		return nil, mapping.Fault(m.Name, mapping.UnknownMethod, "unknown method")
	}
	class := method.Class
	if method.OneWay {
		m.Type = thrift.OneWay
	}
	wrong := func(text string) (*core.Call, *thrift.Message) {
		return nil, mapping.Fault(m.Name, mapping.ProtocolError, text)
	}
	i, err := mapping.Read(m)
	switch {
	case err != nil:
		return wrong(err.Error())
	case !core.IsID(i.ID):
		return wrong("the id is missing or bad")
	case i.Deadline <= 0:
		return wrong("the deadline is missing or bad")
	case s.set.Classes[class].Keyed && len(i.Key) == 0:
		return wrong("the key is missing")
	}
	call = &core.Call{ID: string(i.ID), Class: class, Tenant: -1, Deadline: came + float64(i.Deadline), ClientRetry: i.Retry, Payload: m,
		Client: client}
	if s.set.Classes[class].Keyed {
		call.Key = i.Key
	}
	if tenant, ok := s.set.Tenants[string(i.Owner)]; ok {
		call.Tenant = tenant
	}
	return call, nil
}

// serve has a call served and writes its result.
func (c *conn) serve(m *thrift.Message, call *core.Call) {
	a := c.server.core.Serve(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, m.Seq)
	if a.Kind == core.ClientLeft || c.ended {
		return
	}
	c.write(m, result(m, a))
	switch {
	case c.ended || c.deaf && len(c.open) > 0:
	case c.bad != nil:
		c.unreadable(c.bad)
	case c.deaf:
		c.end()
	default:
		c.read()
	}
}

// result puts a final answer into Thrift.
func result(m *thrift.Message, a core.Answer) *thrift.Message {
	reason := a.Reason
	if reason == core.ReasonModule {
		reason = ""
	}
	switch {
	case a.Kind == core.Refused:
		return mapping.Refusal(m.Name, a.Wait, reason)
	case a.Kind == core.Failed && a.Fault == core.Invalid:
		return mapping.Fault(m.Name, mapping.ProtocolError, reason)
	case a.Kind == core.Failed:
		return mapping.Failure(m.Name, reason)
	}
	switch p := a.Payload.(type) {
	case *thrift.Message:
		return p
	case *http1.Message:
		return mapping.Result(m.Name, p.Body)
	}
	return mapping.Failure(m.Name, "") // a one-way call's, which nobody is told
}

// write answers a call under the lock, in its own form and with its own sequence id; of a one-way call nobody is told.
func (c *conn) write(m *thrift.Message, r *thrift.Message) {
	if m.Type != thrift.OneWay {
		_ = c.net.Write(thrift.Append(nil, thrift.Outgoing{Message: r, Form: m.Form, Seq: m.Seq, HeadSeq: m.HeaderSeq}))
	}
	if c.net.Backlog() > int64(c.server.set.Backlog) {
		c.ended = true
		c.leave()
		go c.net.Close()
		return
	}
	policy := c.server.gate.Policy()
	if last := c.once || policy.CloseAfterResponse || policy.CanReconnect && c.server.limiter.Crowded(); last && len(c.open) == 0 && c.next == nil && c.reader.Idle() {
		c.end()
	}
}

// end closes the connection when all is written.
func (c *conn) end() {
	c.ended = true
	c.slot.Enter(connlimit.StateClosing, c.came)
	c.net.End(c.server.set.Linger, c.server.set.Stall)
}

// leave gives up the calls of a client that is not served any more.
func (c *conn) leave() {
	for _, call := range c.open {
		go call.Cancel() // which may take locks that wait for this one
	}
}

// unreadable tells a client why nothing more of it is read, once all that it asked before is answered, and ends the connection.
func (c *conn) unreadable(err error) {
	c.ended = true
	c.server.log.Warn("a client sent what cannot be read", "client", c.net.Peer(), "status", "thrift", "error", err)
	c.slot.Enter(connlimit.StateClosing, c.came)
	defer c.net.End(c.server.set.Linger, c.server.set.Stall)
	if errors.Is(err, thrift.ErrNotThrift) {
		_ = c.net.Write(http1.AppendResponse(nil, http1.Reply{Status: 400, Body: []byte("Thrift is spoken here\n"), Close: true}))
		return
	}
	if form, known := c.reader.Form(); known {
		fault := mapping.Fault([]byte("?"), mapping.ProtocolError, err.Error())
		_ = c.net.Write(thrift.Append(nil, thrift.Outgoing{Message: fault, Form: form}))
	}
}

// CloseIfIdle implements connlimit.Conn.
func (c *conn) CloseIfIdle() bool {
	c.mu.Lock()
	free := c.ended || len(c.open) == 0 && c.next == nil && c.reader.Idle() && c.net.ShutdownIfIdle()
	c.ended = c.ended || free
	c.mu.Unlock()
	switch {
	case free && c.net.Backlog() == 0:
		c.net.Close()
	case free:
		c.net.End(c.server.set.Linger, c.server.set.Stall)
	}
	return free
}

var errSlow = errors.New("the call was not whole in time")

// CloseSlowRead implements connlimit.Conn.
func (c *conn) CloseSlowRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && len(c.open) == 0 && !c.reader.Idle() && c.slot.Overdue() {
		c.unreadable(errSlow)
	}
}

// Closed takes the end of the connection: the client has gone.
func (c *conn) Closed(error) {
	c.mu.Lock()
	c.ended = true
	calls := make([]*core.Call, 0, len(c.open))
	for _, call := range c.open {
		calls = append(calls, call)
	}
	c.mu.Unlock()
	c.slot.Release()
	c.server.gate.Disconnected(false)
	for _, call := range calls {
		call.Cancel()
	}
}

// MethodNames gives the names that a method may have on the wire: alone, and behind its service's as multiplexed clients
// write it.
func MethodNames(service, method string) []string {
	if service == "" {
		return []string{method}
	}
	return []string{method, service + ":" + method}
}

// Content is a Thrift message as stages see one.
type Content struct{ *thrift.Message }

// Path is the method's name without its service's.
func (c Content) Path() []byte {
	if _, method, ok := bytes.Cut(c.Name, []byte(":")); ok {
		return method
	}
	return c.Name
}

// Query is empty: a Thrift call has none.
func (c Content) Query() []byte { return nil }

// Header is a value of the header transport's header.
func (c Content) Header(name string) []byte {
	value, _ := c.Message.Header(name)
	return value
}

// Body is the content but for the call's info, which differs from try to try.
func (c Content) Body() []byte { return c.Rest(mapping.ArgInfo) }

// Size is how much memory the message holds, roughly.
func (c Content) Size() int { return 512 + cap(c.Bytes) }
