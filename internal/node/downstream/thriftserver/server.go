// Package thriftserver serves clients that use Thrift, with any supported transport and protocol: it reads calls,
// has the core serve each and writes its result. Clients with framed messages may have several calls open on a
// connection and get the results in any order; others get them in the order of their calls. Two calls with the
// same sequence id, whose results could not be distinguished, are served one after the other.
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

// Class is the part of a request class's configuration that the server uses.
type Class struct {
	Keyed bool
}

// Method is a method that clients may call.
type Method struct {
	Class  int
	OneWay bool // its calls get no result, whatever their message type is
}

// Settings describe a Server.
type Settings struct {
	Classes      []Class
	Methods      map[string]Method // by name on the wire
	Tenants      map[string]int    // the index of a tenant by its name
	Limiter      connlimit.Settings
	Messages     thrift.Limits
	MaxOpenCalls int     // limit of open calls on one connection
	Pipeline     int     // bytes buffered behind the open calls
	Backlog      int     // bytes of results queued for a client that does not read them
	Linger       float64 // ms in which a client can read its last result after the server has shut down its side
	Stall        float64 // ms for which sending to a client whose connection is being ended may make no progress
}

// Server serves Thrift clients.
type Server struct {
	set     Settings
	clock   clock.Clock
	core    *core.Core
	gate    *driver.Gate
	limiter *connlimit.Limiter
	log     *slog.Logger
}

// New returns a server.
func New(set Settings, c clock.Clock, to *core.Core, g *driver.Gate, log *slog.Logger) *Server {
	return &Server{set: set, clock: c, core: to, gate: g, limiter: connlimit.New(set.Limiter, c), log: log}
}

// Connections returns how many connections of clients are open.
func (s *Server) Connections() int { return s.limiter.Connections() }

// EvictOne closes one connection for clients that wait to be accepted because the limit is reached.
func (s *Server) EvictOne() { s.limiter.EvictOne() }

// Sweep closes the connections that have carried no call for the idle limit, and ends those whose call is not
// complete in time. It must be called often. While the node stops, idle connections stay open, since their clients
// could not replace them, until no call can be answered on them any more.
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

// Accept returns the Handler of a new connection.
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
	once   bool // the first result closes it

	mu       sync.Mutex
	reader   *thrift.Reader
	lastRead float64              // when bytes were received last
	open     map[int32]*core.Call // calls that are being served, by sequence id
	pending  *thrift.Message      // parsed call that waits for one of those
	closing  bool                 // the open calls are the last: more was received than is buffered, or input could not be parsed
	readErr  error                // why input could not be parsed
	ended    bool                 // nothing more is read
}

// Data implements netpoll.Handler.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.closing {
		return
	}
	c.lastRead = c.server.clock.Now()
	c.reader.Feed(data)
	if len(c.open) > 0 && c.reader.Buffered() > c.server.set.Pipeline {
		c.closing = true
		return
	}
	c.read()
}

// read parses and starts calls until bytes are missing or a call must wait. The caller holds the lock.
func (c *conn) read() {
	for !c.ended && !c.closing {
		if c.pending == nil {
			m, err := c.reader.Next()
			if err != nil {
				if c.closing, c.readErr = true, err; len(c.open) == 0 {
					c.rejectUnreadable(err)
				}
				return
			}
			if m == nil {
				break
			}
			c.pending = m
		}
		if c.mustWait(c.pending) {
			break
		}
		m := c.pending
		c.pending = nil
		c.call(m)
	}
	c.updateState()
}

// mustWait reports whether a call can be served only after another one.
func (c *conn) mustWait(m *thrift.Message) bool {
	same := c.open[m.Seq] != nil
	return same || len(c.open) >= c.server.set.MaxOpenCalls || len(c.open) > 0 && m.Form.Transport == thrift.Unframed
}

// updateState records the connection's state in its slot. The caller holds the lock.
func (c *conn) updateState() {
	switch {
	case c.ended:
	case len(c.open) > 0:
		c.slot.SetState(connlimit.StateBusy, c.lastRead)
	case !c.reader.Idle():
		c.slot.SetState(connlimit.StateReading, c.lastRead)
	default:
		c.slot.SetState(connlimit.StateIdle, c.lastRead)
		c.closeIfStopping()
	}
}

// closeIfStopping closes a connection that has just become idle if the node already closes idle connections: the
// sweep that did so may have found this one busy, and the node may end before the next sweep.
func (c *conn) closeIfStopping() {
	if c.server.gate.Policy().CloseIdle {
		go c.CloseIfIdle()
	}
}

// call handles one call. The caller holds the lock.
func (c *conn) call(m *thrift.Message) {
	c.slot.SetState(connlimit.StateBusy, c.lastRead)
	if m.Type != thrift.Call && m.Type != thrift.OneWay {
		c.write(m, mapping.Fault(m.Name, mapping.InvalidMessageType, "a client sends calls"))
		return
	}
	call, fault := c.server.read(m, c.lastRead, c.net)
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

// read returns the core's call for a message, or an application exception if the call is invalid.
func (s *Server) read(m *thrift.Message, lastRead float64, client *netpoll.Conn) (call *core.Call, fault *thrift.Message) {
	method, ok := s.set.Methods[string(m.Name)]
	if !ok {
		return nil, mapping.Fault(m.Name, mapping.UnknownMethod, "unknown method")
	}
	class := method.Class
	if method.OneWay {
		m.Type = thrift.OneWay
	}
	protocolError := func(text string) (*core.Call, *thrift.Message) {
		return nil, mapping.Fault(m.Name, mapping.ProtocolError, text)
	}
	i, err := mapping.Read(m)
	switch {
	case err != nil:
		return protocolError(err.Error())
	case !core.IsID(i.ID):
		return protocolError("the id is missing or bad")
	case i.Deadline <= 0:
		return protocolError("the deadline is missing or bad")
	case s.set.Classes[class].Keyed && len(i.Key) == 0:
		return protocolError("the key is missing")
	}
	call = &core.Call{ID: string(i.ID), Class: class, Tenant: -1, Deadline: lastRead + float64(i.Deadline), ClientRetry: i.Retry, Payload: m,
		Client: client}
	if s.set.Classes[class].Keyed {
		call.Key = i.Key
	}
	if tenant, ok := s.set.Tenants[string(i.Owner)]; ok {
		call.Tenant = tenant
	}
	return call, nil
}

// serve has the core serve a call and writes its result.
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
	case c.ended || c.closing && len(c.open) > 0:
	case c.readErr != nil:
		c.rejectUnreadable(c.readErr)
	case c.closing:
		c.end()
	default:
		c.read()
	}
}

// result returns the Thrift message for the core's answer.
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
	return mapping.Failure(m.Name, "") // for a one-way call, whose result is not written
}

// write writes the result of a call in the call's form and with its sequence id; a one-way call gets none. It
// closes the connection if the result is its last. The caller holds the lock.
func (c *conn) write(m *thrift.Message, r *thrift.Message) {
	if m.Type != thrift.OneWay {
		_ = c.net.Write(thrift.Append(nil, thrift.Outgoing{Message: r, Form: m.Form, Seq: m.Seq, HeadSeq: m.HeaderSeq}))
	}
	if c.net.Backlog() > int64(c.server.set.Backlog) {
		c.ended = true
		c.abandonCalls()
		go c.net.Close()
		return
	}
	policy := c.server.gate.Policy()
	if last := c.once || policy.CloseAfterResponse || policy.CanReconnect && c.server.limiter.Crowded(); last && len(c.open) == 0 && c.pending == nil && c.reader.Idle() {
		c.end()
	}
}

// end closes the connection once everything is written.
func (c *conn) end() {
	c.ended = true
	c.slot.SetState(connlimit.StateClosing, c.lastRead)
	c.net.End(c.server.set.Linger, c.server.set.Stall)
}

// abandonCalls cancels the open calls of a client that does not read its results.
func (c *conn) abandonCalls() {
	for _, call := range c.open {
		go call.Cancel() // in a goroutine because it may acquire locks whose holders wait for this one
	}
}

// rejectUnreadable sends the client the reason why nothing more is read, after all earlier calls have their
// results, and ends the connection. The caller holds the lock.
func (c *conn) rejectUnreadable(err error) {
	c.ended = true
	c.server.log.Warn("client sent an invalid or incomplete request", "client", c.net.Peer(), "status", "thrift", "error", err)
	c.slot.SetState(connlimit.StateClosing, c.lastRead)
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
	free := c.ended || len(c.open) == 0 && c.pending == nil && c.reader.Idle() && c.net.ShutdownIfIdle()
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

var errCallTimeout = errors.New("the call was not whole in time")

// CloseSlowRead implements connlimit.Conn.
func (c *conn) CloseSlowRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && len(c.open) == 0 && !c.reader.Idle() && c.slot.Overdue() {
		c.rejectUnreadable(errCallTimeout)
	}
}

// Closed implements netpoll.Handler: the connection has ended.
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

// MethodNames returns the names that a method may have on the wire: alone, and with the service's name in front as
// multiplexed clients send it.
func MethodNames(service, method string) []string {
	if service == "" {
		return []string{method}
	}
	return []string{method, service + ":" + method}
}

// Content presents a Thrift message to the stages.
type Content struct{ *thrift.Message }

// Path returns the method's name without its service's.
func (c Content) Path() []byte {
	if _, method, ok := bytes.Cut(c.Name, []byte(":")); ok {
		return method
	}
	return c.Name
}

// Query returns nil: a Thrift call has no query.
func (c Content) Query() []byte { return nil }

// Header returns a value of the header transport's header.
func (c Content) Header(name string) []byte {
	value, _ := c.Message.Header(name)
	return value
}

// Body returns the arguments without the call's info, which differs between attempts.
func (c Content) Body() []byte { return c.Rest(mapping.ArgInfo) }

// Size returns approximately how many bytes of memory the message uses.
func (c Content) Size() int { return 512 + cap(c.Bytes) }
