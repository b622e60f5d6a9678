// Package connpool sends attempts to backends over pooled connections, independent of the protocol that a backend
// speaks: it manages connections, the idle pool, timeouts and outcomes. A Protocol encodes requests and parses
// responses.
package connpool

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
)

// Protocol encodes requests for a backend and parses its responses. Its methods may be called from any goroutine.
type Protocol interface {
	// Request appends the request for one attempt of a call to dst; left is how long the node will wait for the
	// response, in milliseconds. about is passed to Answers.Expect. Request returns an error if the call cannot be
	// encoded in this protocol.
	Request(dst []byte, host core.Host, call *core.Call, left int) (out []byte, about any, err error)
	// Answers returns a new parser for the responses on one connection.
	Answers() Answers
}

// Answers parses the responses on one connection.
type Answers interface {
	Expect(about any)                     // sets the request that the next response belongs to
	Feed(data []byte)                     // adds received bytes
	Next() (a Answer, ok bool, err error) // returns the next complete response; an error is permanent
	Idle() bool                           // no byte of a further response has been received
}

// Silent may be implemented by the about value of Request. If its method returns true, the request gets no response,
// and counts as served once its last byte is written.
type Silent interface{ Silent() bool }

// Answer is a backend's response, complete except for a body that is streamed.
type Answer struct {
	Outcome dispatch.Outcome
	Payload any  // meaningful if Outcome is Served
	Last    bool // the backend closes the connection after this response
	// Attach, if not nil, must be called with the pipe through which the rest of the body is streamed.
	Attach func(*bodypipe.Pipe)
}

// Flowing is implemented by Answers that can stream response bodies.
type Flowing interface {
	Piece() (piece []byte, done bool, err error) // returns what was received of the rest; valid until the next Feed
	ToEnd() bool                                 // the current response ends when the connection does
	// End handles the end of the connection and reports whether that completed a response. If the Answer has no
	// payload, Next has already returned that response.
	End() (Answer, bool)
}

// Body is the about value of a Request whose body has to be written after the request's head.
type Body struct {
	First   []byte
	Rest    *bodypipe.Pipe // only one attempt can claim it; nil = First is the whole body
	Left    int            // bytes of Rest, if not Chunked
	Chunked bool           // the length of Rest is unknown
}

// Settings configure the connections to backends; times are in milliseconds.
type Settings struct {
	Protocol       func(core.Host) Protocol // returns the protocol that a backend speaks
	ConnectTimeout float64
	Connections    int // maximum number of open connections
	// ToOne returns the maximum number of open connections to one backend, 0 = no limit. It is called only before a
	// new connection is opened. May be nil.
	ToOne func() int
	// Settle is how long a connection stays unused after a response. If the backend closes the connection or sends
	// surplus bytes after the response, that is noticed before the next attempt could mistake it for its own response.
	Settle float64
	Limits Limits
	Budget *bodypipe.Budget // for streamed bodies; nil = bodies are not streamed
	// Sent is called for each attempt whose last byte has been written. May be nil.
	Sent func()
}

// Limits are the settings that can change while attempts are in progress.
type Limits struct {
	Idle float64 // idle connections are closed after this time, well before the backend would close them
	Wear Wear
}

// Pool holds the connections to all backends.
type Pool struct {
	set   Settings
	clock clock.Clock
	loop  *netpoll.Loop
	log   *slog.Logger

	limits atomic.Pointer[Limits]

	mu   sync.Mutex
	idle map[core.Host][]*conn // the most recently used connection is last
	open int
	to   map[core.Host]int // open connections by backend
	wear wear
}

// New returns an empty pool.
func New(set Settings, c clock.Clock, l *netpoll.Loop, log *slog.Logger) *Pool {
	p := &Pool{set: set, clock: c, loop: l, log: log, idle: map[core.Host][]*conn{}, to: map[core.Host]int{},
		wear: newWear(set.Settle)}
	p.Limit(set.Limits)
	return p
}

// Resize changes the maximum number of open connections. If more are open, idle ones are closed, and those in use
// stay open until their attempts end.
func (p *Pool) Resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set.Connections = most
	for range max(0, p.open-most) {
		p.evict()
	}
}

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Limit replaces the limits. It may be called at any time.
func (p *Pool) Limit(l Limits) { p.limits.Store(&l) }

// conn is one connection; it serves one attempt at a time.
type conn struct {
	pool        *Pool
	host        core.Host
	net         *netpoll.Conn
	since       float64 // when the connection became idle; 0 = it is new
	band        int     // wear band of the preceding idle time; 0 = it is new
	mu          sync.Mutex
	protocol    Protocol
	reader      Answers
	done        chan result    // receives the result of the current attempt; nil while idle
	asked       bool           // the request is being written: received bytes may be its response
	singleWrite bool           // the request is written in a single write
	need        atomic.Int64   // value of net.Written once the whole request is written
	known       int64          // the part of need that is known before a chunked body has been written
	body        *bodypipe.Pipe // rest of a streamed response body, which continues after the attempt has ended
	last        bool           // the backend closes the connection after that body
	broken      bool
	freed       sync.Once
}

// release removes the connection from the pool's counts, once.
func (c *conn) release() {
	c.freed.Do(func() {
		c.pool.mu.Lock()
		c.pool.open--
		if c.pool.to[c.host]--; c.pool.to[c.host] == 0 {
			delete(c.pool.to, c.host)
		}
		c.pool.mu.Unlock()
	})
}

// assign starts an attempt on the connection, whose result is sent to done. It returns false if the connection is
// broken.
func (c *conn) assign(done chan result) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.broken {
		c.done, c.asked = done, false
	}
	return !c.broken
}

// unassign reverts assign; done will receive nothing more from the connection.
func (c *conn) unassign() {
	c.mu.Lock()
	c.done = nil
	c.mu.Unlock()
}

// expectResponse makes the connection accept the next bytes as the attempt's response. Bytes that were received
// earlier have already broken the connection.
func (c *conn) expectResponse(about any) {
	c.mu.Lock()
	_, more := about.(*Body)
	c.asked, c.singleWrite = true, !more
	c.reader.Expect(about)
	c.mu.Unlock()
}

// result is the result of an attempt on a connection: a response or an error.
type result struct {
	answer Answer
	whole  bool // answer is set
	err    error
}

// Data handles bytes received from the backend.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	if c.body != nil {
		c.reader.Feed(data)
		fit := c.streamBody()
		c.mu.Unlock()
		c.applyBodyState(fit)
		return
	}
	if c.done == nil || !c.asked { // the bytes belong to no attempt
		c.broken = true
		c.finish(result{err: errBroken})
		c.mu.Unlock()
		c.net.Close()
		return
	}
	if c.singleWrite && c.reader.Idle() && c.net.HasUnacknowledged() { // sent before the backend had the request
		c.broken = true
		c.finish(result{err: errBroken})
		c.mu.Unlock()
		return
	}
	c.reader.Feed(data)
	answer, whole, err := c.reader.Next()
	if reader, ok := c.reader.(Flowing); ok && err == nil && reader.ToEnd() {
		c.net.ReadToEnd()
	}
	if !whole && err == nil {
		c.mu.Unlock()
		return
	}
	if err == nil && answer.Attach != nil {
		c.body, c.last = bodypipe.New(c.pool.set.Budget, c.throttle, c.abandonBody), answer.Last
		answer.Attach(c.body)
		c.finish(result{answer, whole, err})
		fit := c.streamBody()
		c.mu.Unlock()
		c.applyBodyState(fit)
		return
	}
	c.broken = c.broken || err != nil || answer.Last || !c.reader.Idle()
	c.finish(result{answer, whole, err})
	c.mu.Unlock()
}

// bodyState is the state of a connection after a part of a streamed response body.
type bodyState uint8

const (
	streaming bodyState = iota
	reusable            // the body is complete and the connection can be reused
	unusable            // the body has ended and the connection must be closed
)

// streamBody moves the received part of a streamed response body to its pipe. The caller must hold the connection's
// lock.
func (c *conn) streamBody() bodyState {
	reader := c.reader.(Flowing)
	piece, done, err := reader.Piece()
	if len(piece) > 0 {
		c.body.Put(piece)
	}
	switch {
	case err != nil:
		c.body.End(err)
	case done:
		c.body.End(io.EOF)
	default:
		return streaming
	}
	c.body = nil
	early := c.net.Written() < c.need.Load() // the response was complete before the request was
	if c.broken = c.broken || err != nil || c.last || early || !c.reader.Idle(); c.broken {
		return unusable
	}
	return reusable
}

// applyBodyState reuses or closes the connection as s requires. The caller must not hold the connection's lock.
func (c *conn) applyBodyState(s bodyState) {
	switch s {
	case reusable:
		c.net.Resume()
		c.pool.put(c, true)
	case unusable:
		c.net.Close()
	}
}

// throttle pauses or resumes reading from the backend.
func (c *conn) throttle(on bool) {
	if on {
		c.net.Pause()
	} else {
		c.net.Resume()
	}
}

// abandonBody closes a connection whose streamed response body has no consumer any more.
func (c *conn) abandonBody() {
	c.mu.Lock()
	c.body, c.broken = nil, true
	c.mu.Unlock()
	c.net.Resume()
	c.net.Close()
}

// finish ends the current attempt, if any. The caller must hold the connection's lock.
func (c *conn) finish(e result) {
	if c.done != nil {
		c.done <- e
		c.done = nil
	}
}

var (
	errBroken   = errors.New("connection ended") // before the response was complete
	errPoolFull = errors.New("connection pool is full")
)

// Closed handles the end of the connection.
func (c *conn) Closed(err error) {
	c.mu.Lock()
	c.broken = true
	if reader, ok := c.reader.(Flowing); ok && errors.Is(err, io.EOF) && (c.body != nil || c.done != nil && c.asked) {
		if answer, whole := reader.End(); whole && c.body != nil {
			c.body.End(io.EOF)
			c.body = nil
		} else if whole {
			c.finish(result{answer: answer, whole: true})
		}
	}
	if c.body != nil {
		c.body.End(errBroken)
		c.body = nil
	}
	c.finish(result{err: errBroken})
	c.mu.Unlock()
	c.release()
	c.pool.mu.Lock()
	list := c.pool.idle[c.host]
	for i := range list {
		if list[i] == c {
			c.pool.idle[c.host] = append(list[:i], list[i+1:]...)
			break
		}
	}
	c.pool.mu.Unlock()
}

// RunAttempt implements core.Transport.
func (p *Pool) RunAttempt(host core.Host, call *core.Call, until float64, cancelled <-chan struct{}) (dispatch.Outcome, any) {
	done := make(chan result, 1)
	expired := make(chan struct{})
	c, about, o, err := p.begin(host, call, until, done, cancelled)
	if c == nil {
		return o, nil
	}
	sent, broke := p.clock.Now(), false
	defer func() { p.recordUse(c.band, broke) }()
	stop := p.clock.At(until, func() { close(expired) })
	defer stop()
	body, _ := about.(*Body)
	need := c.need.Load()
	whole := func() bool { return c.net.Written() >= need || c.net.FinalWritten() >= need }
	counted := false
	count := func() {
		if !counted && p.set.Sent != nil && whole() {
			counted = true
			p.set.Sent()
		}
	}
	defer count()
	if err == nil && body != nil && len(body.First) > 0 {
		err = c.net.Write(body.First)
	}
	count()
	if err != nil {
		broke = true
		c.abort(done)
		if whole() {
			return dispatch.Reset, nil
		}
		return dispatch.ConnectFailed, nil
	}
	if s, ok := about.(Silent); ok && s.Silent() {
		return p.oneWayOutcome(c, whole), nil
	}
	var e result
	if body != nil && body.Rest != nil {
		more, err := p.upload(c, body, done, cancelled, expired)
		if err != nil {
			e = c.abort(done)
			switch {
			case e.whole: // the backend closed the connection after a response
				done <- e
			case errors.Is(err, errBackendWrite): // the last byte was never sent
				return dispatch.ConnectFailed, nil
			default:
				return dispatch.NotSent, nil
			}
		}
		if more > 0 {
			need = c.known + more
			c.need.Store(need)
		}
		count()
	}
	select {
	case e = <-done:
	case <-cancelled:
		if e = c.abort(done); !e.whole {
			return abortedOutcome(whole, dispatch.NotSent, dispatch.Cancelled), nil
		}
	case <-expired:
		if e = c.abort(done); !e.whole {
			return abortedOutcome(whole, dispatch.ConnectFailed, dispatch.TimedOut), nil
		}
	}
	if e.err != nil {
		broke = errors.Is(e.err, errBroken) && p.clock.Now()-sent < p.limits.Load().Wear.Quick
		c.net.Close()
		if !whole() {
			return dispatch.ConnectFailed, nil
		}
		return p.unreadableOutcome(host, e.err), nil
	}
	if e.answer.Attach == nil {
		p.put(c, whole())
	}
	return e.answer.Outcome, e.answer.Payload
}

// abortedOutcome returns the outcome of an attempt that was aborted before its response: after if the whole request
// had been written, otherwise before.
func abortedOutcome(whole func() bool, before, after dispatch.Outcome) dispatch.Outcome {
	if whole() {
		return after
	}
	return before
}

// oneWayOutcome returns the outcome of an attempt that expects no response. It returns the connection
// to the idle pool, or closes it.
func (p *Pool) oneWayOutcome(c *conn, whole func() bool) dispatch.Outcome {
	c.unassign()
	now := whole()
	if p.put(c, now); !now && !whole() { // the connection is closed, so the last byte is never sent
		return dispatch.ConnectFailed
	}
	return dispatch.Served
}

// unreadableOutcome returns the outcome of an attempt whose response was cut off or cannot be parsed.
func (p *Pool) unreadableOutcome(host core.Host, err error) dispatch.Outcome {
	if errors.Is(err, errBroken) {
		return dispatch.Reset
	}
	p.log.Warn("cannot parse backend response", "host", host.Name, "address", host.Address, "error", err)
	return dispatch.Failed
}

// begin gets a connection for an attempt and writes the first bytes of its request. If nothing is to be sent, c is
// nil and o is the attempt's outcome. Whatever may have changed since the attempt was decided on is checked here,
// right before the first byte: whether the attempt was cancelled or its deadline has passed, the call has its final
// response, the backend is draining, the client has disconnected, or bytes were received on the connection. err is
// the error of the first write.
func (p *Pool) begin(host core.Host, call *core.Call, until float64, done chan result, cancelled <-chan struct{}) (c *conn,
	about any, o dispatch.Outcome, err error) {
	client, _ := call.Client.(*netpoll.Conn)
	for {
		c, err := p.get(host, until, done, cancelled)
		if err != nil {
			return nil, nil, p.unsentOutcome(err, until, cancelled), nil
		}
		select {
		case <-cancelled:
			c.abort(done)
			return nil, nil, dispatch.NotSent, nil
		default:
		}
		left := int(until - p.clock.Now()) // rounded down, so never more than the time that remains
		if left <= 0 {
			c.abort(done)
			return nil, nil, dispatch.NotSent, nil
		}
		reuse := func() (*conn, any, dispatch.Outcome, error) {
			c.unassign()
			p.put(c, true)
			return nil, nil, dispatch.NotSent, nil
		}
		if !call.RunAllowed() { // the node was paused for longer than its claim lasts: another node may hold it now
			return reuse()
		}
		if owed, permitted := call.MaySend(host); !owed || !permitted {
			return reuse()
		}
		out, about, err := c.protocol.Request(nil, host, call, left)
		if err != nil {
			p.log.Warn("cannot encode call for backend; attempt not sent", "host", host.Name, "error", err)
			return reuse()
		}
		out = c.measure(out, about)
		fit, gone, err := c.net.WriteRequest(out, client, func() { c.expectResponse(about) })
		if gone { // the client has disconnected; the poller has not reported it yet
			call.Cancel()
			return reuse()
		}
		if fit {
			return c, about, 0, err
		}
		c.abort(done)
		if c.since == 0 {
			return nil, nil, dispatch.ConnectFailed, nil
		}
	}
}

// measure sets known and need, the number of bytes that will have been written on the connection once the whole
// request is. out is the start of the request; it is returned with the head of the first chunk, if there is one.
func (c *conn) measure(out []byte, about any) []byte {
	body, _ := about.(*Body)
	if body != nil && body.Rest != nil && body.Chunked && len(body.First) > 0 {
		out = http1.AppendChunkHead(out, len(body.First))
	}
	c.known = c.net.Written() + int64(len(out))
	if body != nil {
		c.known += int64(len(body.First) + body.Left)
	}
	c.need.Store(c.known)
	if body != nil && body.Chunked {
		c.need.Store(math.MaxInt64) // until the length of the body is known
	}
	return out
}

// recordUse records whether a connection broke when a request was sent on it.
func (p *Pool) recordUse(band int, broke bool) {
	p.mu.Lock()
	was := p.wear.limit
	p.wear.note(p.clock.Now(), &p.limits.Load().Wear, band, broke)
	limit := p.wear.limit
	p.mu.Unlock()
	if limit < was {
		p.log.Warn("connections idle for long are often dead; no longer reusing them", "idle_ms",
			math.Ldexp(p.set.Settle, limit-1))
	}
}

// unsentOutcome returns the outcome of an attempt that got no connection. A timeout counts against the backend only
// if the connect timeout was not cut short by the attempt's deadline.
func (p *Pool) unsentOutcome(err error, until float64, cancelled <-chan struct{}) dispatch.Outcome {
	select {
	case <-cancelled:
		return dispatch.NotSent
	default:
	}
	var timeout net.Error
	if errors.Is(err, errPoolFull) || errors.As(err, &timeout) && timeout.Timeout() && p.clock.Now() >= until-1 {
		return dispatch.NotSent
	}
	return dispatch.ConnectFailed
}

// abort ends the attempt and closes its connection. If the attempt's result arrived at the same moment, abort
// returns it.
func (c *conn) abort(done chan result) (e result) {
	c.mu.Lock()
	c.broken, c.done = true, nil
	c.mu.Unlock()
	c.net.Close()
	select {
	case e = <-done:
	default:
	}
	return e
}

// get takes an idle connection or opens a new one, and assigns the attempt to it.
func (p *Pool) get(host core.Host, until float64, done chan result, cancelled <-chan struct{}) (*conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	for i := len(p.idle[host]) - 1; i >= 0; i-- {
		list := p.idle[host]
		c := list[i]
		if now-c.since < p.set.Settle {
			continue
		}
		p.idle[host] = append(list[:i], list[i+1:]...)
		idle := now - c.since
		if idle < p.limits.Load().Idle && p.wear.fit(idle) && c.assign(done) {
			c.band = p.wear.band(idle)
			p.mu.Unlock()
			return c, nil
		}
		go c.net.Close()
	}
	if p.set.ToOne != nil && p.to[host] > 0 {
		if most := p.set.ToOne(); most > 0 && p.to[host] >= most {
			p.mu.Unlock()
			p.log.Warn("this node's share of connections to a backend is in use; attempt not sent", "connections", most,
				"host", host.Name)
			return nil, errPoolFull
		}
	}
	if most := p.set.Connections; p.open >= most && !p.evict() {
		p.mu.Unlock()
		p.log.Warn("all backend connections are in use; attempt not sent", "connections", most, "host", host.Name)
		return nil, errPoolFull
	}
	p.open++
	p.to[host]++
	p.mu.Unlock()
	protocol := p.set.Protocol(host)
	c := &conn{pool: p, host: host, protocol: protocol, reader: protocol.Answers()}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-cancelled:
			stop()
		case <-ctx.Done():
		}
	}()
	_, err := p.loop.Dial(ctx, host.Address, min(p.set.ConnectTimeout, until-now), func(n *netpoll.Conn) netpoll.Handler {
		c.net = n
		return c
	})
	if err == nil && !c.assign(done) {
		err = errBroken
	}
	if err != nil {
		c.release()
	}
	return c, err
}

// evict closes the connection that has been idle longest and returns false if none is idle. The caller must hold the
// pool's lock.
func (p *Pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].since < oldest.since) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.host] = p.idle[oldest.host][1:]
	go oldest.net.Close()
	return true
}

// put returns a connection to the idle pool if it can be reused, and closes it otherwise.
func (p *Pool) put(c *conn, whole bool) {
	now := p.clock.Now()
	p.mu.Lock()
	c.mu.Lock()
	fit := !c.broken && whole // if the connection ends after this, Closed finds it in the idle pool
	c.mu.Unlock()
	if fit {
		c.since = now
		p.idle[c.host] = append(p.idle[c.host], c)
	}
	p.mu.Unlock()
	if !fit {
		c.net.Close()
	}
}

// Use is the number of connections to a backend, and how many of them are idle.
type Use struct{ Open, Idle int }

// Uses returns the number of connections by backend name.
func (p *Pool) Uses() map[string]Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	uses := map[string]Use{}
	for host, n := range p.to { // one name may have had several addresses
		u := uses[host.Name]
		uses[host.Name] = Use{u.Open + n, u.Idle + len(p.idle[host])}
	}
	return uses
}

// Retire closes connections that have reached the idle limit. It must be called periodically.
func (p *Pool) Retire() {
	now, limit := p.clock.Now(), p.limits.Load().Idle
	p.mu.Lock()
	var old []*conn
	for host, list := range p.idle {
		n := 0
		for n < len(list) && now-list[n].since >= limit {
			n++
		}
		old = append(old, list[:n]...)
		if p.idle[host] = list[n:]; n == len(list) {
			delete(p.idle, host)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.net.Close()
	}
}
