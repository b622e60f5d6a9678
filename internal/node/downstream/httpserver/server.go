// Package httpserver serves clients that speak HTTP/1.1: it reads requests, has the core serve each and writes its
// response. It owns the clients' connections: how many are open and which one is closed at the limit
// (eviction.go), how long reading may take (conn.go, request.go), and how they end (response.go, streaming.go).
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

// Class is the part of a request class's configuration that the server uses.
type Class struct {
	Method string
	Keyed  bool
}

// Settings describe a Server.
type Settings struct {
	Classes     []Class
	ClassIndex  map[string]int // the index in Classes by class name
	Tenants     map[string]int // the index of a tenant by its name
	Connections int            // limit of open connections
	Crowded     int            // if at least this many connections have sent a request, a response closes its connection
	Bodies      Bodies
	Limits      Limits
}

// Bodies limits the bodies of requests.
type Bodies struct {
	MaxSize     int              // bytes; 0 means the default of package http1, and that bodies are buffered whole
	MaxBuffered int              // bytes; a longer body is streamed, others are buffered until they are complete
	Budget      *bodypipe.Budget // for buffered and streamed bodies
}

// Limits are what can change while the server runs, times in milliseconds, sizes in bytes.
type Limits struct {
	Idle         float64 // time after which a connection without a request is closed
	Read         float64 // time in which a request that has begun must be complete
	First        float64 // the same for the first request, counted from when the client connected
	Rate         float64 // bytes per millisecond: n received bytes of a body extend Read and First by n/Rate
	Stall        float64 // time for which the sending of a response may make no progress
	Linger       float64 // time in which a client that may still be sending can read its last response
	Settle       float64 // time after it has connected in which a client is not evicted if there are others
	Pipeline     int     // bytes buffered behind a request that is being handled
	Backlog      int     // bytes of responses queued for a client that does not read them
	WholeSeconds bool    // Retry-After has whole seconds only, as HTTP specifies
}

const (
	separateBodySize = 16 << 10 // bytes; a body of at least this size is written separately from its head, which saves a copy
	maxExtraTime     = 8000     // milliseconds by which the deadline of a request with a streamed body is extended at most
)

// state is what a connection is doing. Connections in the first states are evicted first.
type state uint8

const (
	stateClosing state = iota // the last response was written
	stateNew                  // nothing was received yet
	stateIdle                 // it has sent a request before and may send another one
	stateReading              // part of a request was received
	stateBusy                 // a request is being handled
)

// Server serves HTTP/1.1 clients.
type Server struct {
	set   Settings
	clock clock.Clock
	core  *core.Core
	gate  *driver.Gate
	log   *slog.Logger

	limits atomic.Pointer[Limits]

	mu         sync.Mutex
	conns      map[*conn]struct{}
	retired    int // number of conns that are being evicted
	requesting int // number of conns that have sent a request and do not have their last response
	ready      bool

	dates dates
}

// New returns a server that is not ready yet.
func New(set Settings, c clock.Clock, to *core.Core, g *driver.Gate, log *slog.Logger) *Server {
	s := &Server{set: set, clock: c, core: to, gate: g, log: log, conns: map[*conn]struct{}{}}
	s.SetLimits(set.Limits)
	return s
}

// SetLimits changes the limits. It may be called at any time.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Resize changes Settings.Connections and Settings.Crowded. Connections above the new limit stay open.
func (s *Server) Resize(connections, crowded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Connections, s.set.Crowded = connections, crowded
}

// SetReady makes /up respond with 200.
func (s *Server) SetReady() {
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
}

// Accept returns the Handler of a new connection. At the limit of connections another one is evicted; if none can
// be, the new connection is closed after its first response.
func (s *Server) Accept(n *netpoll.Conn) netpoll.Handler {
	s.gate.Connected(true)
	now := s.clock.Now()
	c := &conn{server: s, net: n, parser: s.parser(), state: stateNew, since: now, accepted: now}
	s.mu.Lock()
	var evicted *conn
	if len(s.conns)-s.retired >= s.set.Connections {
		if evicted = s.evictionCandidate(now); evicted != nil {
			evicted.retired = true
			s.retired++
		}
		c.once = evicted == nil
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if evicted != nil {
		go evicted.retire(true, 0)
	}
	return c
}

// parser returns a new parser for the requests of a connection.
func (s *Server) parser() *http1.Parser {
	if s.set.Bodies.MaxSize == 0 {
		return http1.NewRequests()
	}
	return http1.NewFlowing(false, s.set.Bodies.MaxSize, http1.Flow{Whole: s.set.Bodies.MaxBuffered})
}

// Connections returns how many connections of clients are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
