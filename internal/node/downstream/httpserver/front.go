// Package httpserver is the front for clients that speak HTTP/1.1: it reads requests, has the core serve each and
// writes its answer. It owns the clients' connections: how many there are, which one makes room, what is read until
// when, and how they end.
package httpserver

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/shutdown/driver"
)

// Class is what the front has to know of a class of requests.
type Class struct {
	Method string
	Keyed  bool
}

// Settings describe the front.
type Settings struct {
	Classes     []Class
	ByName      map[string]int // the place of each class
	Tenants     map[string]int // and of each tenant
	Connections int            // the most open at once
	Crowded     int            // from so many on that have asked, an answer ends its connection
	Bodies      Bodies
	Limits      Limits
}

// Bodies says what bodies a request may have.
type Bodies struct {
	Most   int              // bytes, 0 = that of internal/http1, held whole
	Whole  int              // up to so many bytes one is held until it is whole; a longer one flows
	Budget *bodypipe.Budget // of what is held, and of what flows
}

// Limits are what can change while the front serves, times in milliseconds, sizes in bytes.
type Limits struct {
	Idle     float64 // after which a connection without a request is closed
	Read     float64 // in which a request that has begun must be whole,
	First    float64 // the first one counted from when the client connected
	Rate     float64 // bytes a millisecond by which a body may take longer than Read,
	Stall    float64 // and how long an answer may stand still on its way
	Linger   float64 // that a client which may go on sending has to read its last answer
	Settle   float64 // that a client which has connected has before it may have to make room
	Pipeline int     // kept of what comes behind a request that is being handled
	Backlog  int     // of answers kept for a client that does not read them
	Whole    bool    // Retry-After has whole seconds only
}

// headRoom is what the head of most answers takes at most, in bytes.
const headRoom = 256

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

// Side serves clients.
type Side struct {
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

// New makes a front that is not ready yet.
func New(set Settings, c clock.Clock, to *core.Core, g *driver.Gate, log *slog.Logger) *Side {
	s := &Side{set: set, clock: c, core: to, gate: g, log: log, conns: map[*conn]struct{}{}}
	s.Limit(set.Limits)
	return s
}

// Limit changes the limits, at any time.
func (s *Side) Limit(l Limits) { s.limits.Store(&l) }

// Resize changes how many connections may be open at once, and from how many on that have asked an answer ends its
// connection. Those above stay.
func (s *Side) Resize(connections, crowded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Connections, s.set.Crowded = connections, crowded
}

// Ready lets /up answer 200.
func (s *Side) Ready() {
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
}

// Accept takes a new connection. Over the cap, another one makes room; where none can, the new one is served once
// and ends.
func (s *Side) Accept(n *netpoll.Conn) netpoll.Handler {
	s.gate.Connected(true)
	now := s.clock.Now()
	c := &conn{side: s, net: n, parser: s.parser(), state: silent, since: now, accepted: now}
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
func (s *Side) parser() *http1.Parser {
	if s.set.Bodies.Most == 0 {
		return http1.NewRequests()
	}
	return http1.NewFlowing(false, s.set.Bodies.Most, http1.Flow{Whole: s.set.Bodies.Whole})
}

// MakeRoom has a connection make room for clients who wait because all places are taken.
func (s *Side) MakeRoom() {
	s.mu.Lock()
	victim := s.victim(s.clock.Now())
	if victim != nil {
		victim.retired = true
		s.retired++
	}
	s.mu.Unlock()
	if victim != nil {
		victim.retire(true, 0)
	}
}

// victim finds, under the lock, the connection that makes room: one that has its last answer, else one that has sent
// nothing, else one that asked before, each time the one that is so for longest. Those that came just now, and those
// that may be about to ask again, are spared as long as there are others. Last comes the request that is furthest behind.
func (s *Side) victim(now float64) *conn {
	limits := s.limits.Load()
	rank := func(c *conn) float64 {
		switch age := now - c.since; {
		case c.retired:
			return 0
		case c.state == leaving && c.net.Backlog() > 0: // to close it would cut its answer off
			return 0
		case c.state == leaving:
			return 4e12 + age
		case c.state == silent && age >= limits.Settle:
			return 3e12 + age
		case c.state == idle && age >= limits.Idle:
			return 2e12 + age
		case c.state == silent || c.state == idle:
			return 1e12 + age
		}
		return max(0, c.behind(now, limits))
	}
	var victim *conn
	best := 0.0
	for c := range s.conns {
		if r := rank(c); r > best {
			victim, best = c, r
		}
	}
	return victim
}

// behind is, under the side's lock, by how many milliseconds a request that has begun is later than one whose client sends at once, or
// its body at the rate that is waited for: below 0 if it is not, or has come just now.
func (c *conn) behind(now float64, limits *Limits) float64 {
	late := now - c.since - c.allowed
	if c.state != reading || late < limits.Settle {
		return -1
	}
	return late
}

// overdue tells, under the side's lock, whether a request that has begun should be whole by now.
func (c *conn) overdue(now float64, limits *Limits) bool {
	return c.state == reading && (now-c.since >= limits.Read+c.allowed || !c.asked && now-c.accepted >= limits.First+c.allowed)
}

// resting tells, under the side's lock, whether the connection carries no request for so long.
func (c *conn) resting(now, limit float64) bool {
	return (c.state == silent || c.state == idle) && now-c.since >= limit
}

// still asks one of these once more: between looking at all connections and seeing to one, a request may have come and gone.
func (c *conn) still(what func() bool) bool {
	c.side.mu.Lock()
	defer c.side.mu.Unlock()
	return what()
}

// Connections is how many connections of clients are open.
func (s *Side) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Sweep ends the connections that carry no request for long, and those whose request is not whole in time; it is to be
// called often. While the node stops, connections without a request stay, since none can be replaced, until no request
// can be answered on them any more.
func (s *Side) Sweep() {
	now, limits := s.clock.Now(), s.limits.Load()
	limit := limits.Idle
	switch policy := s.gate.Policy(); {
	case policy.EndIdle:
		limit = 0
	case !policy.Replaceable:
		limit = math.Inf(1)
	}
	var free, slow []*conn
	s.mu.Lock()
	for c := range s.conns {
		switch {
		case c.resting(now, limit):
			free = append(free, c)
		case c.overdue(now, limits):
			slow = append(slow, c)
		}
	}
	s.mu.Unlock()
	for _, c := range free {
		c.retire(false, limit)
	}
	for _, c := range slow {
		c.mu.Lock()
		if !c.ended && !c.busy && !c.parser.Idle() && c.still(func() bool { return c.overdue(now, limits) }) {
			c.unreadable(errSlow)
		}
		c.mu.Unlock()
	}
}

var (
	errSlow = errors.New("the request was not whole in time")
	errLeft = errors.New("the client has gone")
)

// conn is a client's connection.
type conn struct {
	side     *Side
	net      *netpoll.Conn
	once     bool    // it ends with its first answer
	accepted float64 // when it came

	// Under the side's lock.
	state   state
	since   float64 // it is in its state since then,
	rested  float64 // and was in the one before since then
	asked   bool    // a whole request has come,
	left    bool    // and it has had its last answer
	allowed float64 // milliseconds that the body which is coming may take beyond the limits

	retired bool // it was told to make room

	mu     sync.Mutex
	parser *http1.Parser
	came   float64        // when bytes came last
	busy   bool           // a request is being handled
	deaf   bool           // more came behind it than is kept: its answer is the last
	ended  bool           // nothing more is read
	call   *core.Call     // that request
	upload *bodypipe.Pipe // the rest of its body, which is still coming
	held   int            // bytes of the budget reserved for its body
	closes bool           // the answer that was begun last ends the connection
	gone   chan struct{}  // closed when the connection has ended; made when an answer flows
}

// enter notes what the connection is about from now on, or that it still is.
func (c *conn) enter(state state) {
	c.side.mu.Lock()
	if c.state != state {
		c.rested = c.since
		c.state, c.since = state, c.side.clock.Now()
		if state == reading {
			c.since = c.came
		}
	}
	if state == busy {
		c.allowed = 0
		if !c.asked {
			c.asked = true
			c.side.askers++
		}
	}
	if state == leaving {
		c.leave()
	}
	c.side.mu.Unlock()
}

// unread takes back that a request has begun: empty lines are none (RFC 9112, 2.2), and the connection rests for as long as it did.
func (c *conn) unread() {
	c.side.mu.Lock()
	had := c.state == reading
	if had {
		if c.state, c.since = silent, c.rested; c.asked {
			c.state = idle
		}
	}
	c.side.mu.Unlock()
	if had {
		c.retireAfterLastCalls()
	}
}

// retireAfterLastCalls ends a connection that has just become idle if the node already ends those: the sweep that did so may have
// found this one busy, and no later one may come before the node ends.
func (c *conn) retireAfterLastCalls() {
	if c.side.gate.Policy().EndIdle {
		go c.retire(false, 0)
	}
}

// leave counts a connection out, under the side's lock, that has had its last answer or has ended.
func (c *conn) leave() {
	if c.asked && !c.left {
		c.left = true
		c.side.askers--
	}
}

// retire ends the connection if it still carries nothing, for so many milliseconds, or has its last answer. A request that the machine
// has taken and the handler not yet seen would be lost with it. Where it makes room for another it is closed at once; there a request
// that is still behind is refused first: nothing of it has gone on.
func (c *conn) retire(room bool, rest float64) {
	now, limits := c.side.clock.Now(), c.side.limits.Load()
	c.mu.Lock()
	resting := func() bool { return c.resting(now, rest) }
	free := c.ended || !c.busy && c.parser.Idle() && c.still(resting) && c.net.Farewell()
	if room && !free && !c.busy && c.still(func() bool { return c.behind(now, limits) >= 0 }) && c.net.Quiet() {
		c.last(c.parser.Head(), text(503, "", core.ReasonBusy)) // which it may go on sending over
	}
	c.ended = c.ended || free
	c.mu.Unlock()
	switch {
	case free && room && c.net.Backlog() == 0:
		c.net.Close()
		return
	case free:
		c.end()
		return
	}
	c.side.mu.Lock()
	if c.retired {
		c.retired = false
		c.side.retired--
	}
	c.side.mu.Unlock()
}

// end ends the connection behind its last answer.
func (c *conn) end() {
	limits := c.side.limits.Load()
	c.net.End(limits.Linger, limits.Stall)
}

// Data takes bytes from the client.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if c.deaf {
		return
	}
	c.came = c.side.clock.Now()
	c.parser.Feed(data)
	if c.upload != nil && !c.rest() {
		return
	}
	if c.busy && c.parser.Buffered() > c.side.limits.Load().Pipeline {
		c.deaf = true
		c.parser = c.side.parser()
		return
	}
	c.next()
}

// next reads on, under the lock, until a request is taken or bytes are missing.
func (c *conn) next() {
	for !c.busy && !c.ended {
		m, err := c.parser.Next()
		if err != nil {
			c.unreadable(err)
			return
		}
		if m == nil {
			if !c.parser.Idle() && c.reserve() {
				c.enter(reading)
				c.expected()
			} else if !c.ended && c.parser.Idle() {
				c.unread()
			}
			return
		}
		c.enter(busy)
		c.request(m)
	}
}

// reserve has, under the lock, a body that is held accounted for, and refuses its request where there is no room.
func (c *conn) reserve() bool {
	held := c.parser.Held()
	if held > 0 {
		allowed := float64(c.parser.Came()) / c.side.limits.Load().Rate
		c.side.mu.Lock()
		c.allowed = allowed
		c.side.mu.Unlock()
	}
	if held <= http1.MaxBody || c.held > 0 {
		return true
	}
	held = c.side.set.Bodies.Whole // it may still grow
	if !c.side.set.Bodies.Budget.Reserve(held) {
		c.side.log.Warn("there is no memory for a long body: its request gets a back-off answer", "bytes", held)
		c.last(c.parser.Head(), text(503, "", core.ReasonBusy))
		return false
	}
	c.held = held
	return true
}

// free gives back, under the lock, what was reserved for a body.
func (c *conn) free() {
	if c.held > 0 {
		c.side.set.Bodies.Budget.Release(c.held)
		c.held = 0
	}
}

// rest moves what has come of a body that flows, under the lock, and tells whether reading goes on behind it.
func (c *conn) rest() bool {
	piece, done, err := c.parser.Piece()
	if len(piece) > 0 {
		c.upload.Put(piece)
	}
	switch {
	case err != nil:
		c.upload.End(err)
		c.upload = nil
		if call := c.call; call != nil {
			go call.Leave() // nobody can serve it
		}
		c.unreadable(err)
		return false
	case done:
		c.upload.End(io.EOF)
		c.upload = nil
		return true
	}
	return false
}

// hold slows the client, or lets it go on.
func (c *conn) hold(on bool) {
	if on {
		c.net.Pause()
	} else {
		c.net.Resume()
	}
}

// expected answers at once, under the lock, a client that waits for leave to send its body: with that, or with what its
// request gets for its head.
func (c *conn) expected() {
	m := c.parser.Awaits()
	if m == nil {
		return
	}
	if path, _, _ := bytes.Cut(m.Target, []byte("?")); string(path) != "/up" {
		if _, r := c.side.read(m, path, c.came, c.net); r.Status != 0 {
			c.last(m, r)
			return
		}
	}
	_ = c.net.Write([]byte(http1.Continue))
}

// unreadable answers what cannot be read.
func (c *conn) unreadable(err error) {
	status := http1.Status(err)
	c.side.log.Warn("a client sent what cannot be read", "client", c.net.Peer(), "status", status, "error", err)
	c.last(c.parser.Head(), text(status, "", err.Error()))
}

// last answers a client that may go on sending, under the lock, and ends the connection.
func (c *conn) last(m *http1.Message, r http1.Reply) {
	c.ended = true
	c.enter(leaving)
	now := c.side.clock.Now()
	r.Date, r.Close, r.Head = c.side.dates.at(now), true, m != nil && string(m.Method) == "HEAD"
	_ = c.net.Write(http1.AppendResponse(nil, r))
	c.end()
}

// request handles one request under the lock.
func (c *conn) request(m *http1.Message) {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	switch {
	case path[0] != '/': // that is OPTIONS for the whole server, or CONNECT: what follows may be a tunnel's
		c.last(m, text(405, "Allow: GET, HEAD, POST\r\n", "no path"))
		return
	case string(path) == "/up":
		c.up(m)
		return
	}
	call, r := c.side.read(m, path, c.came, c.net)
	if r.Status != 0 {
		c.write(m, r)
		return
	}
	if c.parser.Flowing() {
		c.upload = bodypipe.New(c.side.set.Bodies.Budget, c.hold, c.net.Resume)
		m.Rest = c.upload
	}
	if a, ok := c.side.core.Take(call); !ok {
		c.final(m, a)
		return
	}
	c.busy, c.call = true, call
	if c.upload != nil {
		c.rest()
	}
	go c.serve(m, call)
}

func (c *conn) up(m *http1.Message) {
	c.side.mu.Lock()
	ready := c.side.ready
	c.side.mu.Unlock()
	ready = ready && c.side.gate.Policy().Up
	switch {
	case string(m.Method) != "GET" && string(m.Method) != "HEAD":
		c.write(m, text(405, "Allow: GET, HEAD\r\n", "this wants GET"))
	case ready:
		c.write(m, text(200, "", "ready"))
	default:
		c.write(m, text(503, "", "not ready"))
	}
}

// read finds what the core has to know, or the answer where the request cannot be served.
func (s *Side) read(m *http1.Message, path []byte, came float64, client *netpoll.Conn) (call *core.Call, refusal http1.Reply) {
	name, _, _ := bytes.Cut(path[1:], []byte("/"))
	class, ok := s.set.ByName[string(name)]
	if !ok {
		return nil, text(404, "", "unknown class")
	}
	if want := s.set.Classes[class].Method; string(m.Method) != want {
		return nil, text(405, "Allow: "+want+"\r\n", "this class wants "+want)
	}
	id, n := m.Get("Req-Id")
	if n != 1 || !core.IsID(id) {
		return nil, text(400, "", "Req-Id is missing or bad")
	}
	var key []byte
	if s.set.Classes[class].Keyed {
		if key, n = m.Get("Idempotency-Key"); n != 1 || len(key) == 0 {
			return nil, text(400, "", "Idempotency-Key is missing or bad")
		}
	}
	left, n := m.Get(http1.DeadlineField)
	wait, err := strconv.ParseUint(string(left), 10, 31)
	if n != 1 || err != nil || wait == 0 {
		return nil, text(400, "", http1.DeadlineField+" is missing or bad")
	}
	call = &core.Call{ID: string(id), Alone: true, Class: class, Tenant: -1, Key: key, Deadline: came + float64(wait) + s.extra(m), Payload: m, Client: client}
	if owner, n := m.Get("Req-Owner"); n > 0 {
		if i, ok := s.set.Tenants[string(owner)]; ok {
			call.Tenant = i
		}
	}
	if retry, _ := m.Get("Req-Retry"); string(retry) == "1" {
		call.Repeat = true
	}
	return call, refusal
}

// extra is how much longer than its client will wait a request may take whose body is still coming: the client's time begins with
// the last byte, which nobody knows yet. It is what the rest takes at the slowest that is waited for.
func (s *Side) extra(m *http1.Message) float64 {
	if m.Length == 0 {
		return 0
	}
	left := s.set.Bodies.Most
	if m.Length > 0 {
		left = m.Length - len(m.Body)
	}
	return min(float64(left)/s.limits.Load().Rate, mostExtra)
}

// serve has a call served and answers it.
func (c *conn) serve(m *http1.Message, call *core.Call) {
	a := c.side.core.Serve(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free()
	if a.Kind == core.Left {
		return
	}
	if answer, ok := a.Payload.(*http1.Message); ok && answer.Rest != nil {
		c.flow(m, call, answer)
		return
	}
	c.call, c.busy = nil, false
	if !c.ended {
		c.final(m, a)
		c.next()
	}
}

// final writes the final answer under the lock.
func (c *conn) final(m *http1.Message, a core.Answer) {
	if a.Kind == core.Served {
		answer := a.Payload.(*http1.Message)
		c.write(m, http1.Reply{Status: 200, Of: answer, Body: answer.Body})
		return
	}
	fields := ""
	if a.Kind == core.Refused && a.Wait > 0 {
		fields = fmt.Sprintf("Retry-After: %.3f\r\n", a.Wait/1000)
		if c.side.limits.Load().Whole {
			fields = fmt.Sprintf("Retry-After: %.0f\r\n", math.Ceil(a.Wait/1000))
		}
	}
	if a.Reason == core.ReasonModule {
		c.write(m, http1.Reply{Status: status(a), Fields: fields})
		return
	}
	c.write(m, text(status(a), fields, a.Reason))
}

const textType = "Content-Type: text/plain; charset=utf-8\r\n"

// text is an answer of the node's own that says something.
func text(status int, fields, reason string) http1.Reply {
	return http1.Reply{Status: status, Fields: fields + textType, Body: []byte(reason + "\n")}
}

// failures are the statuses of failures by whose fault they are; none of them is one of a refusal.
var failures = map[core.Fault]int{core.Invalid: 400, core.Unproven: 401, core.Forbidden: 403, core.Mismatch: 422,
	core.Looping: 508, core.Known: 409}

// status words an answer that was not served.
func status(a core.Answer) int {
	switch {
	case a.Kind == core.Refused && a.Fault == core.OverQuota:
		return 429
	case a.Kind == core.Refused:
		return 503
	}
	return cmp.Or(failures[a.Fault], 502)
}

// write answers m, under the lock, and ends the connection where it is to end.
func (c *conn) write(m *http1.Message, r http1.Reply) {
	c.decideEnd(m)
	r.Date, r.Close, r.Keep = c.side.dates.at(c.side.clock.Now()), c.closes, m.Old
	r.Head = string(m.Method) == "HEAD"
	body := r.Body
	big := len(body) >= apart && !r.Head
	if big {
		r.Body, r.Flows, r.Length = nil, true, len(body)
	}
	_ = c.net.Write(http1.AppendResponse(make([]byte, 0, headRoom+len(r.Body)), r))
	if big {
		_ = c.net.Write(body)
	}
	c.answered()
}

// decideEnd decides, under the lock, whether the answer to m that begins now ends the connection.
func (c *conn) decideEnd(m *http1.Message) {
	policy := c.side.gate.Policy()
	c.side.mu.Lock()
	// Clients may hold only so many, and some hold on to what they do not use again.
	crowded := c.side.askers >= c.side.set.Crowded && policy.Replaceable
	c.side.mu.Unlock()
	if c.upload != nil { // the rest of the request is not wanted any more
		c.upload.Drop()
		c.upload, c.deaf = nil, true
	}
	c.closes = m.Close || c.once || c.deaf || crowded || policy.EndAnswered
}

// answered does, under the lock, what follows when all of an answer was written.
func (c *conn) answered() {
	end := c.closes || c.deaf
	c.ended = end
	if end {
		c.enter(leaving)
	} else {
		c.enter(idle)
		c.retireAfterLastCalls()
	}
	switch {
	case end:
		c.end()
	case c.net.Backlog() > int64(c.side.limits.Load().Backlog):
		c.ended = true
		go c.net.Close()
	}
}

// Closed takes the end of the connection: the client has gone.
func (c *conn) Closed(error) {
	c.mu.Lock()
	c.ended = true
	call := c.call
	if c.gone != nil {
		close(c.gone)
		c.gone = nil
	}
	if c.upload != nil {
		c.upload.End(errLeft)
		c.upload = nil
	}
	if !c.busy {
		c.free()
	}
	c.mu.Unlock()
	c.side.mu.Lock()
	delete(c.side.conns, c)
	c.leave()
	if c.retired {
		c.side.retired--
	}
	c.side.mu.Unlock()
	c.side.gate.Disconnected(true)
	if call != nil {
		call.Leave()
	}
}
