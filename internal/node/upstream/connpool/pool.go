// Package connpool carries relays to the south side hosts, whatever protocol they speak: connections, the idle pool, time
// limits and outcomes. What the bytes mean is a Protocol's.
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

// Protocol is what is spoken with a host. Its methods may be called from any goroutine.
type Protocol interface {
	// Request writes a call as one relay; left is how long the node will wait for its end, milliseconds. What it returns
	// beside is for Answers.Expect. It fails on a call that cannot be written so.
	Request(dst []byte, host core.Host, call *core.Call, left int) (out []byte, about any, err error)
	// Answers makes a reader of the answers on one connection.
	Answers() Answers
}

// Answers reads the answers on one connection.
type Answers interface {
	Expect(about any)                     // the next answer is that to a request
	Feed(data []byte)                     // takes bytes as they came
	Next() (a Answer, ok bool, err error) // gives the next whole answer; an error stays
	Idle() bool                           // no byte of a further one has come
}

// Silent is what Request may return beside, for a request that gets no answer: it is served once its last byte is written.
type Silent interface{ Silent() bool }

// Answer is a host's whole answer.
type Answer struct {
	Outcome dispatch.Outcome
	Payload any  // with Served
	Last    bool // the host ends the connection after it
	// Attach, if not nil, is to be given the rest of the body, which flows.
	Attach func(*bodypipe.Pipe)
}

// Flowing is what Answers have besides if some of them flow.
type Flowing interface {
	Piece() (piece []byte, done bool, err error) // gives what has come of the rest; good until Feed is called
	ToEnd() bool                                 // the answer that is coming ends with the connection
	// End takes the end of the connection, and tells whether an answer was whole by it; one without a payload was given before.
	End() (Answer, bool)
}

// Body is what Request may return beside, for a body that is to be written after it.
type Body struct {
	First   []byte
	Rest    *bodypipe.Pipe // which only one relay can take; nil = First is all
	Left    int            // bytes of Rest, if not Chunked
	Chunked bool           // nobody knows how many those are
}

// Settings describe the south side, times in milliseconds.
type Settings struct {
	Protocol       func(core.Host) Protocol // that a host speaks
	ConnectTimeout float64
	Connections    int // the most open at once
	// ToOne is the most open at once to one host, 0 = no limit; asked only before a new one is opened. May be nil.
	ToOne func() int
	// Settle is how long a connection rests after an answer: a host that closes it then, or that sends more than the
	// answer, does so before the next relay could take that for its own.
	Settle float64
	Limits Limits
	Budget *bodypipe.Budget // of bodies that flow; nil = none does
	// Sent is told of each relay whose last byte has gone out; nil = nobody.
	Sent func()
}

// Limits are what can change while relays are carried.
type Limits struct {
	Idle float64 // an idle connection is closed after this, well before the host would
	Wear Wear
}

// Pool holds the connections to all hosts.
type Pool struct {
	set   Settings
	clock clock.Clock
	loop  *netpoll.Loop
	log   *slog.Logger

	limits atomic.Pointer[Limits]

	mu   sync.Mutex
	idle map[core.Host][]*conn // the one used last at the end
	open int
	to   map[core.Host]int // of them, by host
	wear wear
}

// New makes an empty pool.
func New(set Settings, c clock.Clock, l *netpoll.Loop, log *slog.Logger) *Pool {
	p := &Pool{set: set, clock: c, loop: l, log: log, idle: map[core.Host][]*conn{}, to: map[core.Host]int{}, wear: newWear(set.Settle)}
	p.Limit(set.Limits)
	return p
}

// Resize changes how many connections may be open at once. Those above stay until their relays end.
func (p *Pool) Resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set.Connections = most
	for range max(0, p.open-most) {
		p.evict()
	}
}

// Open is how many connections are open, or coming up.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Limit changes the limits, at any time.
func (p *Pool) Limit(l Limits) { p.limits.Store(&l) }

// conn is one connection; it carries one relay at a time.
type conn struct {
	pool   *Pool
	host   core.Host
	net    *netpoll.Conn
	since  float64 // idle since then
	band   int     // of how long it was, 0 for a new one
	mu     sync.Mutex
	speaks Protocol
	reader Answers
	done   chan end       // of the relay that it carries, nil while idle
	asked  bool           // that relay is being written: what comes may be its answer
	alone  bool           // its request is written at once
	need   atomic.Int64   // bytes written once all of that relay's request is
	known  int64          // of them, those that are known before a body in chunks is
	body   *bodypipe.Pipe // the rest of its answer, which goes on after its end
	last   bool           // the host ends the connection after that
	broken bool
	freed  sync.Once
}

// release gives up the connection's place in the pool's count.
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

// arm makes the connection carry a relay whose end goes to done; it fails on one that has ended.
func (c *conn) arm(done chan end) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.broken {
		c.done, c.asked = done, false
	}
	return !c.broken
}

// disarm takes back what arm did, before anything was sent.
func (c *conn) disarm() {
	c.mu.Lock()
	c.done = nil
	c.mu.Unlock()
}

// ask lets the next bytes be the relay's answer, unless others have come before.
func (c *conn) ask(about any) {
	c.mu.Lock()
	_, more := about.(*Body)
	c.asked, c.alone = true, !more
	c.reader.Expect(about)
	c.mu.Unlock()
}

// end is what came back on a connection: an answer or an error.
type end struct {
	answer Answer
	whole  bool // there is one
	err    error
}

// Data takes bytes from the host.
func (c *conn) Data(data []byte) {
	c.mu.Lock()
	if c.body != nil {
		c.reader.Feed(data)
		fit := c.pieces()
		c.mu.Unlock()
		c.settle(fit)
		return
	}
	if c.done == nil || !c.asked { // it belongs to no relay
		c.broken = true
		c.finish(end{err: errBroken})
		c.mu.Unlock()
		c.net.Close()
		return
	}
	if c.alone && c.reader.Idle() && c.net.HasUnacknowledged() { // it was sent before the host had the request
		c.broken = true
		c.finish(end{err: errBroken})
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
		c.body, c.last = bodypipe.New(c.pool.set.Budget, c.hold, c.forgo), answer.Last
		answer.Attach(c.body)
		c.finish(end{answer, whole, err})
		fit := c.pieces()
		c.mu.Unlock()
		c.settle(fit)
		return
	}
	c.broken = c.broken || err != nil || answer.Last || !c.reader.Idle()
	c.finish(end{answer, whole, err})
	c.mu.Unlock()
}

// What is to become of a connection after a part of a flow.
type fate uint8

const (
	flowing fate = iota
	free         // it can carry another relay
	spent
)

// pieces moves what has come of a body that flows, under the connection's lock.
func (c *conn) pieces() fate {
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
		return flowing
	}
	c.body = nil
	early := c.net.Written() < c.need.Load() // it has answered before it has the request
	if c.broken = c.broken || err != nil || c.last || early || !c.reader.Idle(); c.broken {
		return spent
	}
	return free
}

// settle does, without the lock, what is to become of the connection.
func (c *conn) settle(f fate) {
	switch f {
	case free:
		c.net.Resume()
		c.pool.put(c, true)
	case spent:
		c.net.Close()
	}
}

// hold slows the host, or lets it go on.
func (c *conn) hold(on bool) {
	if on {
		c.net.Pause()
	} else {
		c.net.Resume()
	}
}

// forgo ends a connection whose flow nobody wants.
func (c *conn) forgo() {
	c.mu.Lock()
	c.body, c.broken = nil, true
	c.mu.Unlock()
	c.net.Resume()
	c.net.Close()
}

// finish ends the relay under the connection's lock.
func (c *conn) finish(e end) {
	if c.done != nil {
		c.done <- e
		c.done = nil
	}
}

var (
	errBroken = errors.New("connection ended") // before its answer did
	errFull   = errors.New("all connections are in use")
)

// Closed takes the end of the connection.
func (c *conn) Closed(err error) {
	c.mu.Lock()
	c.broken = true
	if reader, ok := c.reader.(Flowing); ok && errors.Is(err, io.EOF) && (c.body != nil || c.done != nil && c.asked) {
		if answer, whole := reader.End(); whole && c.body != nil {
			c.body.End(io.EOF)
			c.body = nil
		} else if whole {
			c.finish(end{answer: answer, whole: true})
		}
	}
	if c.body != nil {
		c.body.End(errBroken)
		c.body = nil
	}
	c.finish(end{err: errBroken})
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
func (p *Pool) RunAttempt(host core.Host, call *core.Call, until float64, off <-chan struct{}) (dispatch.Outcome, any) {
	done := make(chan end, 1)
	late := make(chan struct{})
	c, about, o, err := p.begin(host, call, until, done, off)
	if c == nil {
		return o, nil
	}
	sent, broke := p.clock.Now(), false
	defer func() { p.note(c.band, broke) }()
	stop := p.clock.At(until, func() { close(late) })
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
		c.giveUp(done)
		if whole() {
			return dispatch.Reset, nil
		}
		return dispatch.ConnectFailed, nil
	}
	if s, ok := about.(Silent); ok && s.Silent() {
		return p.silent(c, whole), nil
	}
	var e end
	if body != nil && body.Rest != nil {
		more, err := p.upload(c, body, done, off, late)
		if err != nil {
			e = c.giveUp(done)
			switch {
			case e.whole: // it ended the connection after an answer
				done <- e
			case errors.Is(err, errHost): // the last byte never went out
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
	case <-off:
		if e = c.giveUp(done); !e.whole {
			return cut(whole, dispatch.NotSent, dispatch.Cancelled), nil
		}
	case <-late:
		if e = c.giveUp(done); !e.whole {
			return cut(whole, dispatch.ConnectFailed, dispatch.TimedOut), nil
		}
	}
	if e.err != nil {
		broke = errors.Is(e.err, errBroken) && p.clock.Now()-sent < p.limits.Load().Wear.Quick
		c.net.Close()
		if !whole() {
			return dispatch.ConnectFailed, nil
		}
		return p.unread(host, e.err), nil
	}
	if e.answer.Attach == nil {
		p.put(c, whole())
	}
	return e.answer.Outcome, e.answer.Payload
}

// cut is the outcome of an attempt that was given up before its answer, by whether its request had gone out whole.
func cut(whole func() bool, before, after dispatch.Outcome) dispatch.Outcome {
	if whole() {
		return after
	}
	return before
}

// silent is the outcome of an attempt that wants no answer.
func (p *Pool) silent(c *conn, whole func() bool) dispatch.Outcome {
	c.disarm()
	now := whole()
	if p.put(c, now); !now && !whole() { // closed, its last byte never goes out
		return dispatch.ConnectFailed
	}
	return dispatch.Served
}

// unread is the outcome of an attempt whose answer broke off or cannot be read.
func (p *Pool) unread(host core.Host, err error) dispatch.Outcome {
	if errors.Is(err, errBroken) {
		return dispatch.Reset
	}
	p.log.Warn("a host's answer cannot be read", "host", host.Name, "address", host.Address, "error", err)
	return dispatch.Failed
}

// begin finds a connection for an attempt and writes the first bytes of its request, or tells why nothing is to go out. What may have
// changed since the attempt was decided is asked here, last before its first byte: whether it was called off or its time is up, the
// final answer is given, the host departs, the client is there, and nothing has come on the connection. err is that of the first write.
func (p *Pool) begin(host core.Host, call *core.Call, until float64, done chan end, off <-chan struct{}) (c *conn, about any, o dispatch.Outcome,
	err error) {
	client, _ := call.Client.(*netpoll.Conn)
	for {
		c, err := p.get(host, until, done, off)
		if err != nil {
			return nil, nil, p.unsent(err, until, off), nil
		}
		select {
		case <-off:
			c.giveUp(done)
			return nil, nil, dispatch.NotSent, nil
		default:
		}
		left := int(until - p.clock.Now()) // never more than there is
		if left <= 0 {
			c.giveUp(done)
			return nil, nil, dispatch.NotSent, nil
		}
		back := func() (*conn, any, dispatch.Outcome, error) {
			c.disarm()
			p.put(c, true)
			return nil, nil, dispatch.NotSent, nil
		}
		if !call.RunAllowed() { // the node stood still for longer than its claim: another may have it
			return back()
		}
		if owed, permitted := call.MaySend(host); !owed || !permitted {
			return back()
		}
		out, about, err := c.speaks.Request(nil, host, call, left)
		if err != nil {
			p.log.Warn("a call cannot be written for a host: a relay was not sent", "host", host.Name, "error", err)
			return back()
		}
		out = c.measure(out, about)
		fit, gone, err := c.net.WriteRequest(out, client, func() { c.ask(about) })
		if gone { // the poller has not heard of it yet
			call.Cancel()
			return back()
		}
		if fit {
			return c, about, 0, err
		}
		c.giveUp(done)
		if c.since == 0 {
			return nil, nil, dispatch.ConnectFailed, nil
		}
	}
}

// measure notes how much will have been written once all of a request is, of which out comes first.
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
		c.need.Store(math.MaxInt64) // until that is known
	}
	return out
}

// note tells how a connection did that was given a request.
func (p *Pool) note(band int, broke bool) {
	p.mu.Lock()
	was := p.wear.limit
	p.wear.note(p.clock.Now(), &p.limits.Load().Wear, band, broke)
	limit := p.wear.limit
	p.mu.Unlock()
	if limit < was {
		p.log.Warn("connections that were idle for long turn out dead: they are not used", "idle_ms",
			math.Ldexp(p.set.Settle, limit-1))
	}
}

// unsent tells why no connection could be had. The host is to blame only if it had its full time.
func (p *Pool) unsent(err error, until float64, off <-chan struct{}) dispatch.Outcome {
	select {
	case <-off:
		return dispatch.NotSent
	default:
	}
	var timeout net.Error
	if errors.Is(err, errFull) || errors.As(err, &timeout) && timeout.Timeout() && p.clock.Now() >= until-1 {
		return dispatch.NotSent
	}
	return dispatch.ConnectFailed
}

// giveUp closes a connection whose relay ends. An answer that came in the same moment is returned.
func (c *conn) giveUp(done chan end) (e end) {
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

// get takes an idle connection or opens one, and arms it.
func (p *Pool) get(host core.Host, until float64, done chan end, off <-chan struct{}) (*conn, error) {
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
		if idle < p.limits.Load().Idle && p.wear.fit(idle) && c.arm(done) {
			c.band = p.wear.band(idle)
			p.mu.Unlock()
			return c, nil
		}
		go c.net.Close()
	}
	if p.set.ToOne != nil && p.to[host] > 0 {
		if most := p.set.ToOne(); most > 0 && p.to[host] >= most {
			p.mu.Unlock()
			p.log.Warn("this node's part of a host's connections is in use: a relay was not sent", "connections", most,
				"host", host.Name)
			return nil, errFull
		}
	}
	if most := p.set.Connections; p.open >= most && !p.evict() {
		p.mu.Unlock()
		p.log.Warn("all connections to hosts are in use: a relay was not sent", "connections", most, "host", host.Name)
		return nil, errFull
	}
	p.open++
	p.to[host]++
	p.mu.Unlock()
	speaks := p.set.Protocol(host)
	c := &conn{pool: p, host: host, speaks: speaks, reader: speaks.Answers()}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-off:
			stop()
		case <-ctx.Done():
		}
	}()
	_, err := p.loop.Dial(ctx, host.Address, min(p.set.ConnectTimeout, until-now), func(n *netpoll.Conn) netpoll.Handler {
		c.net = n
		return c
	})
	if err == nil && !c.arm(done) {
		err = errBroken
	}
	if err != nil {
		c.release()
	}
	return c, err
}

// evict closes the connection that is idle longest, under the pool's lock.
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

// put takes a connection back if it can carry another relay.
func (p *Pool) put(c *conn, whole bool) {
	now := p.clock.Now()
	p.mu.Lock()
	c.mu.Lock()
	fit := !c.broken && whole // one that ends from here on finds itself among the idle ones
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

// Use is how many connections to a host there are, and how many of them carry no relay.
type Use struct{ Open, Idle int }

// Uses gives the connections by the hosts' names.
func (p *Pool) Uses() map[string]Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	uses := map[string]Use{}
	for host, n := range p.to { // one name may have had two addresses
		u := uses[host.Name]
		uses[host.Name] = Use{u.Open + n, u.Idle + len(p.idle[host])}
	}
	return uses
}

// Retire closes connections that have stood idle for long; it is to be called now and then.
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
