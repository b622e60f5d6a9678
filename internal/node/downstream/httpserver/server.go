// Package httpserver serves clients that speak HTTP/1.1: it reads requests, has the core serve each and writes its
// response. It owns the clients' connections: how many are open and which one is closed at the limit (eviction.go),
// what is read until when (conn.go, request.go), and how they end (response.go, flow.go).
package httpserver

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/shutdown/driver"
)

// Class is what the server has to know of a class of requests.
type Class struct {
	Method string
	Keyed  bool
}

// Settings describe a Server.
type Settings struct {
	Classes     []Class
	ClassIndex  map[string]int // the place of each class
	Tenants     map[string]int // and of each tenant
	Connections int            // the most open at once
	Crowded     int            // from so many on that have asked, an answer ends its connection
	Bodies      Bodies
	Limits      Limits
}

// Bodies says what bodies a request may have.
type Bodies struct {
	MaxSize     int              // bytes, 0 = that of internal/http1, held whole
	MaxBuffered int              // up to so many bytes one is held until it is whole; a longer one flows
	Budget      *bodypipe.Budget // of what is held, and of what flows
}

// Limits are what can change while the server runs, times in milliseconds, sizes in bytes.
type Limits struct {
	Idle         float64 // after which a connection without a request is closed
	Read         float64 // in which a request that has begun must be whole,
	First        float64 // the first one counted from when the client connected
	Rate         float64 // bytes a millisecond by which a body may take longer than Read,
	Stall        float64 // and how long an answer may stand still on its way
	Linger       float64 // that a client which may go on sending has to read its last answer
	Settle       float64 // that a client which has connected has before it may have to make room
	Pipeline     int     // kept of what comes behind a request that is being handled
	Backlog      int     // of answers kept for a client that does not read them
	WholeSeconds bool    // Retry-After has whole seconds only
}

const (
	apart     = 16 << 10 // from so many bytes on a body is written apart from its head, which saves a copy
	mostExtra = 8000     // milliseconds that a request may take longer because its body flows
)

// state is what a connection is about; those that make room for others come first.
type state uint8

const (
	leaving state = iota // it has its last answer
	silent               // it has sent nothing yet
	idle                 // it has asked and may ask again
	reading              // part of a request has come
	busy                 // a request is being handled
)

// Server serves clients.
type Server struct {
	set   Settings
	clock clock.Clock
	core  *core.Core
	gate  *driver.Gate
	log   *slog.Logger

	limits atomic.Pointer[Limits]

	mu      sync.Mutex
	conns   map[*conn]struct{}
	retired int // of them, those that were told to make room,
	askers  int // and those that have asked and do not have their last answer
	ready   bool

	dates dates
}

// New returns a server that is not ready yet.
func New(set Settings, c clock.Clock, to *core.Core, g *driver.Gate, log *slog.Logger) *Server {
	s := &Server{set: set, clock: c, core: to, gate: g, log: log, conns: map[*conn]struct{}{}}
	s.SetLimits(set.Limits)
	return s
}

// SetLimits changes the limits, at any time.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Resize changes how many connections may be open at once, and from how many on that have asked an answer ends its
// connection. Those above stay.
func (s *Server) Resize(connections, crowded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Connections, s.set.Crowded = connections, crowded
}

// SetReady lets /up answer 200.
func (s *Server) SetReady() {
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
}

// Accept takes a new connection. Over the cap, another one makes room; where none can, the new one is served once
// and ends.
func (s *Server) Accept(n *netpoll.Conn) netpoll.Handler {
	s.gate.Connected(true)
	now := s.clock.Now()
	c := &conn{server: s, net: n, parser: s.parser(), state: silent, since: now, accepted: now}
	s.mu.Lock()
	var victim *conn
	if len(s.conns)-s.retired >= s.set.Connections {
		if victim = s.victim(now); victim != nil {
			victim.retired = true
			s.retired++
		}
		c.once = victim == nil
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if victim != nil {
		go victim.retire(true, 0)
	}
	return c
}

// parser makes a reader of a connection's requests.
func (s *Server) parser() *http1.Parser {
	if s.set.Bodies.MaxSize == 0 {
		return http1.NewRequests()
	}
	return http1.NewFlowing(false, s.set.Bodies.MaxSize, http1.Flow{Whole: s.set.Bodies.MaxBuffered})
}

// Connections is how many connections of clients are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
