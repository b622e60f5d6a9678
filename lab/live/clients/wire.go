package clients

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/live/link"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// wire is one connection to a node. A goroutine of its own reads it, so that its end shows at once, also while it is idle.
type wire struct {
	pool  *pool
	conn  *link.Conn
	in    *bufio.Reader
	fresh bool // no request has been sent on it

	mu     sync.Mutex
	asked  chan result // of the request that is out; nil = none
	last   uint64      // id of the last request
	begun  bool        // a byte of its answer has come
	closed bool
}

// result is what came back.
type result struct {
	at         float64
	status     int // 0: no whole answer
	body       []byte
	retryAfter float64 // ms
	keep       bool    // the connection goes on
	had        uint8   // without a whole answer: record.Had...
}

// mostAnswer is the longest answer that a client takes in.
const mostAnswer = 1 << 20

var errFull = errors.New("clients hold as many connections as they may")

// pool is the connections that clients keep to one node.
type pool struct {
	stage   *stage.Stage
	node    int
	address string
	most    int // 0 = no limit
	stray   func(w *wire, last uint64, r result)

	mu   sync.Mutex
	idle []*wire // the one used last is last
	open map[*wire]struct{}
}

// kept tells whether there is an idle connection.
func (p *pool) kept() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// take gives an idle connection, or nil.
func (p *pool) take() *wire {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return w
	}
	return nil
}

// put keeps a connection for the next request.
func (p *pool) put(w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.open[w]; ok {
		p.idle = append(p.idle, w)
	}
}

// dial opens a connection within a time.
func (p *pool) dial(within time.Duration) (*wire, error) {
	p.mu.Lock()
	full := p.most > 0 && len(p.open) >= p.most
	p.mu.Unlock()
	if full {
		return nil, errFull
	}
	own, node := world.Party{Kind: world.ClientParty}, world.Party{Kind: world.NodeParty, Number: p.node}
	if p.stage.Net.Down(own, node) {
		time.Sleep(within)
		return nil, errors.New("the network lets no connection come up")
	}
	raw, err := net.DialTimeout("tcp4", p.address, within)
	if err != nil {
		return nil, err
	}
	w := &wire{pool: p, conn: p.stage.Net.Link(own, node).Wrap(raw), fresh: true}
	w.in = bufio.NewReaderSize(w.conn, 2<<10)
	p.mu.Lock()
	p.open[w] = struct{}{}
	p.mu.Unlock()
	go w.read()
	return w, nil
}

// closeAll ends all connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	var all []*wire
	for w := range p.open {
		all = append(all, w)
	}
	p.mu.Unlock()
	for _, w := range all {
		w.close()
	}
}

// ask sends a request. Its result comes over the channel, once.
func (w *wire) ask(id uint64, request []byte) (<-chan result, error) {
	asked := make(chan result, 1)
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil, net.ErrClosed
	}
	w.asked, w.last, w.begun = asked, id, false
	w.mu.Unlock()
	_, err := w.conn.Write(request)
	return asked, err
}

// close ends the connection, and tells whether part of an answer had come.
func (w *wire) close() (had uint8) {
	w.pool.mu.Lock()
	delete(w.pool.open, w)
	for i, x := range w.pool.idle {
		if x == w {
			w.pool.idle = append(w.pool.idle[:i], w.pool.idle[i+1:]...)
			break
		}
	}
	w.pool.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.asked = nil
	_ = w.conn.Close()
	if w.begun {
		return record.HadPart
	}
	return record.HadNothing
}

func (w *wire) read() {
	for {
		_, err := w.in.Peek(1)
		if err == nil {
			w.mu.Lock()
			w.begun = true
			w.mu.Unlock()
		}
		r := w.answer(err)
		r.at = w.pool.stage.Clock.Now()
		w.mu.Lock()
		asked, closed, last := w.asked, w.closed, w.last
		w.asked = nil
		w.mu.Unlock()
		if asked == nil && err == nil && !closed {
			w.pool.stray(w, last, r) // nobody asked
			r.keep = false
		}
		if !r.keep {
			w.close()
		}
		if asked != nil {
			asked <- r
		}
		if !r.keep {
			return
		}
	}
}

// answer reads one, but for those in front that say nothing yet.
func (w *wire) answer(err error) result {
	if err != nil {
		return result{had: record.HadNothing}
	}
	for {
		a, err := http.ReadResponse(w.in, nil)
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), isNet(err):
			return result{had: record.HadPart}
		case err != nil:
			return result{had: record.HadGarbled}
		case a.StatusCode < 200:
			continue
		}
		body, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer+1))
		if err != nil || len(body) > mostAnswer {
			return result{had: record.HadPart}
		}
		r := result{status: a.StatusCode, body: body, keep: !a.Close}
		if s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			r.retryAfter = s * 1000
		}
		return r
	}
}

func isNet(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, net.ErrClosed)
}
