// Package bodypipe carries a body from the connection that it comes on to the one that it goes out on, piece by piece, so that a
// long one is never in memory as a whole. It does no I/O and reads no clock.
//
// The producer is a poller: Put never blocks. A pipe that holds its window asks for the source to be throttled, and lets it go
// on when half of that is left. The consumer takes pieces when it has room for them, so a slow reader slows its own source and
// nothing else.
//
// Bounds: a Budget counts what all pipes of the process and the bodies that are held whole may have. The window of each pipe is
// a part of it that shrinks with their number, never below one piece; what comes in one read may be added to it.
package bodypipe

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ChunkSize is how many bytes one piece holds at most.
const ChunkSize = 32 << 10

const mostWindow = 4 * ChunkSize

// ErrDropped is the end of a pipe whose consumer has gone.
var ErrDropped = errors.New("nobody wants the rest of the body")

// Budget is the memory that bodies of the whole process may take.
type Budget struct {
	most  atomic.Int64
	held  atomic.Int64 // reserved for bodies that are held whole
	pipes atomic.Int64 // open ones
}

// NewBudget makes one of so many bytes.
func NewBudget(most int) *Budget {
	b := &Budget{}
	b.Resize(most)
	return b
}

// Resize changes it, at any time.
func (b *Budget) Resize(most int) { b.most.Store(int64(most)) }

// Reserve takes memory for a body that is to be held whole; it fails where half of the budget would be used so. What was
// reserved is to be released.
func (b *Budget) Reserve(bytes int) bool {
	if b.held.Add(int64(bytes)) <= b.most.Load()/2 {
		return true
	}
	b.held.Add(-int64(bytes))
	return false
}

// Release gives back what was reserved.
func (b *Budget) Release(bytes int) { b.held.Add(-int64(bytes)) }

// Window is how much a pipe may hold now; the other half of what is for pipes is on its way out.
func (b *Budget) Window() int {
	return int(min(max(b.most.Load()/4/max(b.pipes.Load(), 1), ChunkSize/2), mostWindow))
}

var buffers = sync.Pool{New: func() any { return new([ChunkSize]byte) }}

// Chunk is a piece of a body; Free gives its memory back.
type Chunk struct {
	Bytes  []byte
	buffer *[ChunkSize]byte
}

// Free ends the use of the bytes.
func (c Chunk) Free() {
	if c.buffer != nil {
		buffers.Put(c.buffer)
	}
}

// Pipe is one body on its way.
type Pipe struct {
	budget   *Budget
	throttle func(bool) // holds the source back, or lets it go on; must not block
	drop     func()     // the source is of no use any more

	mu      sync.Mutex
	queue   []Chunk
	held    int
	err     error // io.EOF = that was all
	closed  bool  // counted out
	slowed  bool
	claimed bool
	ready   chan struct{}
}

// New makes a pipe. Throttle and drop may be called from either side; throttle must not wait for anything.
func New(b *Budget, throttle func(bool), drop func()) *Pipe {
	b.pipes.Add(1)
	return &Pipe{budget: b, throttle: throttle, drop: drop, ready: make(chan struct{}, 1)}
}

// Put takes bytes of the body, in order.
func (p *Pipe) Put(data []byte) {
	p.mu.Lock()
	if p.err != nil {
		p.mu.Unlock()
		return
	}
	p.held += len(data)
	for len(data) > 0 {
		last := len(p.queue) - 1
		if last < 0 || len(p.queue[last].Bytes) == ChunkSize {
			buffer := buffers.Get().(*[ChunkSize]byte)
			p.queue = append(p.queue, Chunk{buffer[:0], buffer})
			last++
		}
		c := &p.queue[last]
		n := min(ChunkSize-len(c.Bytes), len(data))
		c.Bytes = append(c.Bytes, data[:n]...)
		data = data[n:]
	}
	if !p.slowed && p.held >= p.budget.Window() {
		p.slowed = true
		p.throttle(true) // under the lock: what both sides say must reach the source in this order
	}
	p.mu.Unlock()
	p.signal()
}

func (p *Pipe) signal() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// End tells that no more comes: io.EOF where that was all, else why it broke off. The first end counts.
func (p *Pipe) End(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.out()
	p.mu.Unlock()
	p.signal()
}

// out counts the pipe out of the budget, under the lock.
func (p *Pipe) out() {
	if !p.closed {
		p.closed = true
		p.budget.pipes.Add(-1)
	}
}

// Next takes what came longest ago. Without bytes and without an error nothing has come yet: Ready tells when to look again. The
// error comes after the last byte, io.EOF where the body is whole; of a body that broke off, what came before may be given or not.
func (p *Pipe) Next() (Chunk, error) {
	p.mu.Lock()
	var c Chunk
	var err error
	switch {
	case p.err != nil && p.err != io.EOF: //nolint:errorlint // this very value says whole, a wrapped one would be of a body that broke off
		err = p.err
	case len(p.queue) > 0:
		c = p.queue[0]
		p.queue = p.queue[1:]
		p.held -= len(c.Bytes)
	default:
		err = p.err
	}
	if p.slowed && p.held <= p.budget.Window()/2 {
		p.slowed = false
		p.throttle(false)
	}
	p.mu.Unlock()
	return c, err
}

// Ready has something in it when there may be news for Next.
func (p *Pipe) Ready() <-chan struct{} { return p.ready }

// Claim makes the caller the one that takes pieces; only one can be.
func (p *Pipe) Claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.claimed
	p.claimed = true
	return !was
}

// Drop tells that nobody wants the rest.
func (p *Pipe) Drop() {
	p.mu.Lock()
	over := p.err != nil
	if !over {
		p.err = ErrDropped
	}
	for _, c := range p.queue {
		c.Free()
	}
	p.queue, p.held = nil, 0
	p.out()
	p.mu.Unlock()
	if !over {
		p.drop()
	}
	p.signal()
}
