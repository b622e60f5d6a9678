// Package link puts the troubles of a network into the lab's own end of the connections between two parties: delay,
// jitter, loss (seen as stalls, as TCP shows it), a cut, a peer that has forgotten its connections, a slow reader. It
// also has a listener on which new connections can be refused or never come up.
//
// Bounds: a connection holds at most 256 KiB a way; beyond, the sender waits as on a full socket buffer.
package link

import (
	"net"
	"sync"
	"time"
)

const (
	room        = 256 << 10 // bytes held a way
	chunk       = 16 << 10  // bytes passed on at once
	leastChunk  = 256       // and at least, where the receiver is slow
	slowStep    = 0.05      // seconds of a slow receiver's reading at once
	resendFirst = 200.0     // ms until TCP sends again what was lost; doubles up to
	resendMost  = 2000.0
)

// Passage is what becomes of a piece of data on its way.
type Passage struct {
	Delay float64 // ms
	Lost  bool    // it does not arrive now; it is sent again until it does, as TCP would
	Rate  float64 // bytes a second that the receiver takes in; 0 = all that comes
}

// Rules say what becomes of what is passed at this moment, from the lab's own party (Out) and to it (In). luck is unlike
// that of any other piece.
type Rules struct{ Out, In func(luck uint64) Passage }

// Link is the network between two parties: all connections between them, and what is wrong with it now.
type Link struct {
	rules *Rules // nil: no trouble will ever come but a reset, and connections are used as they are

	mu      sync.Mutex
	mute    bool          // nothing passes
	changed chan struct{} // closed at each change of mute
	luck    uint64
	conns   map[*Conn]struct{}
}

// New makes a link with these rules; nil costs nothing.
func New(rules *Rules) *Link {
	return &Link{rules: rules, changed: make(chan struct{}), conns: map[*Conn]struct{}{}}
}

// Mute lets nothing pass any more, either way, or ends that: what was held back then passes. Only of a link with rules.
func (l *Link) Mute(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rules == nil {
		panic("link: a plain link cannot be muted")
	}
	l.mute = on
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) state() (mute bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mute, l.changed
}

func (l *Link) nextLuck() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.luck++
	return l.luck
}

// Count is the number of open connections.
func (l *Link) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Link) all() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Reset breaks every open connection, as the end of a process does.
func (l *Link) Reset() {
	for _, c := range l.all() {
		c.Reset()
	}
}

// Wrap puts the link into a connection.
func (l *Link) Wrap(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, link: l, gone: make(chan struct{})}
	if r := l.rules; r != nil {
		c.in, c.out = newLane(c, r.In), newLane(c, r.Out)
		if t, ok := raw.(*net.TCPConn); ok && r.In(0).Rate > 0 {
			_ = t.SetReadBuffer(leastChunk) // so that what is not read is seen at the other end
		}
		go c.pumpIn()
		go c.pumpOut()
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

// Conn is the lab's end of a connection over a link.
type Conn struct {
	net.Conn
	link *Link
	in   *lane // from the other end, nil on a plain link
	out  *lane // to it

	once sync.Once
	gone chan struct{} // closed with the connection
}

// Read takes in what has come and is due.
func (c *Conn) Read(b []byte) (int, error) {
	if c.in == nil {
		return c.Conn.Read(b)
	}
	return c.in.pop(b, true)
}

// Write sends; it returns before the data has passed a troubled link.
func (c *Conn) Write(b []byte) (int, error) {
	if c.out == nil {
		return c.Conn.Write(b)
	}
	for sent := 0; sent < len(b); {
		n := min(chunk, len(b)-sent)
		if err := c.out.push(append([]byte(nil), b[sent:sent+n]...), nil); err != nil {
			return sent, err
		}
		sent += n
	}
	return len(b), nil
}

// Sent is when the other party sent what was read last, before the link held it up; now on a plain link.
func (c *Conn) Sent() time.Time {
	if c.in == nil {
		return time.Now()
	}
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.came
}

// Close ends the connection; what is still held back is dropped.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
		close(c.gone)
		err = c.Conn.Close()
	})
	return err
}

// Reset breaks the connection: the other end sees a reset, not an end.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (c *Conn) pumpIn() {
	buffer := make([]byte, chunk)
	for {
		rate := c.in.pass(0).Rate
		n, err := c.Conn.Read(buffer[:pieceOf(rate)])
		if n > 0 {
			if c.in.push(append([]byte(nil), buffer[:n]...), nil) != nil || !c.rest(n, rate) {
				return
			}
		}
		if err != nil {
			_ = c.in.push(nil, err)
			return
		}
	}
}

// pieceOf is how much a receiver of this rate takes at once.
func pieceOf(rate float64) int {
	if rate <= 0 {
		return chunk
	}
	return min(chunk, max(leastChunk, int(rate*slowStep)))
}

func (c *Conn) pumpOut() {
	buffer := make([]byte, chunk)
	for {
		rate := c.out.pass(0).Rate
		n, err := c.out.pop(buffer[:pieceOf(rate)], false)
		if err != nil {
			return
		}
		if _, err := c.Conn.Write(buffer[:n]); err != nil {
			_ = c.Close()
			return
		}
		c.out.took(n)
		if !c.rest(n, rate) {
			return
		}
	}
}

// rest takes the time that a receiver of this rate takes for n bytes; false if the connection ended meanwhile.
func (c *Conn) rest(n int, rate float64) bool {
	if rate <= 0 {
		return true
	}
	t := time.NewTimer(time.Duration(float64(n) / rate * 1e9))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.gone:
		return false
	}
}

// lane is one way of a troubled connection.
type lane struct {
	conn *Conn
	pass func(luck uint64) Passage

	mu   sync.Mutex
	wake chan struct{} // has one when something has changed
	free chan struct{} // has one when room was made
	held []piece
	size int // bytes held or on their way
	last time.Time
	came time.Time // when what was popped last was sent
}

type piece struct {
	data   []byte
	came   time.Time // from the party that sent it
	err    error
	due    time.Time
	resend float64 // ms until it is sent again, should it be lost
}

func newLane(c *Conn, pass func(uint64) Passage) *lane {
	return &lane{conn: c, pass: pass, wake: make(chan struct{}, 1), free: make(chan struct{}, 1)}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// push adds a piece, due when the link lets it arrive.
func (q *lane) push(data []byte, end error) error {
	late, came := q.pass(q.conn.link.nextLuck()).Delay, time.Now()
	for {
		q.mu.Lock()
		if q.size < room {
			due := came.Add(time.Duration(late * 1e6))
			if due.Before(q.last) {
				due = q.last
			}
			q.last = due
			q.held = append(q.held, piece{data, came, end, due, resendFirst})
			q.size += len(data)
			q.mu.Unlock()
			poke(q.wake)
			return nil
		}
		q.mu.Unlock()
		select {
		case <-q.free:
		case <-q.conn.gone:
			return net.ErrClosed
		}
	}
}

// took counts bytes that have passed.
func (q *lane) took(n int) {
	q.mu.Lock()
	q.size -= n
	q.mu.Unlock()
	poke(q.free)
}

// pop waits for the first piece that is due and gives what fits; count says that it has passed with this.
func (q *lane) pop(b []byte, count bool) (int, error) {
	for {
		mute, changed := q.conn.link.state()
		lost := q.pass(0).Lost
		q.mu.Lock()
		var hold time.Duration = -1
		if len(q.held) > 0 && !mute {
			p := &q.held[0]
			if lost && !time.Now().Before(p.due) {
				p.due = time.Now().Add(time.Duration(p.resend * 1e6))
				p.resend = min(2*p.resend, resendMost)
			}
			if hold = time.Until(p.due); hold <= 0 {
				n := copy(b, p.data)
				p.data = p.data[n:]
				q.came = p.came
				err := p.err
				if len(p.data) == 0 && (err == nil || n == 0) {
					q.held = q.held[1:]
				}
				q.mu.Unlock()
				if n > 0 {
					if count {
						q.took(n)
					}
					return n, nil
				}
				return 0, err
			}
		}
		q.mu.Unlock()
		var timer <-chan time.Time
		var t0 *time.Timer
		if hold > 0 {
			t0 = time.NewTimer(hold)
			timer = t0.C
		}
		select {
		case <-q.wake:
		case <-changed:
		case <-timer:
		case <-q.conn.gone:
			return 0, net.ErrClosed
		}
		if t0 != nil {
			t0.Stop()
		}
	}
}
