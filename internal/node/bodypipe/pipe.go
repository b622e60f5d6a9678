// Package bodypipe streams a message body from the connection that it is received on to the connection that it is
// sent on, in chunks, so that a long body is never in memory as a whole. It does no I/O and reads no clock.
//
// The producer is a poller, so Put never blocks. A pipe that holds a full window has its source throttled, and
// resumes the source when at most half of the window is left. The consumer takes chunks when it has room for them,
// so a slow reader slows its own source and nothing else.
//
// Bounds: a Budget limits the memory of all pipes of the process and of the bodies that are buffered whole. The
// window of each pipe is a share of it that shrinks with the number of pipes, but not below half a chunk; the
// bytes of one read may exceed the window.
package bodypipe

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ChunkSize is the maximum number of bytes of a Chunk.
const ChunkSize = 32 << 10

const maxWindow = 4 * ChunkSize

// ErrDropped is the error of a pipe whose consumer has called Drop.
var ErrDropped = errors.New("the rest of the body was discarded by its consumer")

// Budget is the memory that all bodies of the process may use.
type Budget struct {
	limit atomic.Int64
	held  atomic.Int64 // reserved for bodies that are buffered whole
	pipes atomic.Int64 // number of open pipes
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget {
	b := &Budget{}
	b.Resize(limit)
	return b
}

// Resize changes the limit, in bytes. It may be called at any time.
func (b *Budget) Resize(limit int) { b.limit.Store(int64(limit)) }

// Reserve reserves memory for a body that is buffered whole. It returns false, and reserves nothing, if such
// bodies would use more than half of the budget. The caller must pass what it has reserved to Release.
func (b *Budget) Reserve(bytes int) bool {
	if b.held.Add(int64(bytes)) <= b.limit.Load()/2 {
		return true
	}
	b.held.Add(-int64(bytes))
	return false
}

// Release returns reserved bytes to the budget.
func (b *Budget) Release(bytes int) { b.held.Add(-int64(bytes)) }

// Window returns how many bytes a pipe may hold at present. The windows of all pipes take a quarter of the budget;
// another quarter is for bytes that have left a pipe and are not sent yet.
func (b *Budget) Window() int {
	return int(min(max(b.limit.Load()/4/max(b.pipes.Load(), 1), ChunkSize/2), maxWindow))
}

var buffers = sync.Pool{New: func() any { return new([ChunkSize]byte) }}

// Chunk is a part of a body. Its memory is reused after Free.
type Chunk struct {
	Bytes  []byte
	buffer *[ChunkSize]byte
}

// Free returns the chunk's buffer to the pool. Bytes must not be used afterwards.
func (c Chunk) Free() {
	if c.buffer != nil {
		buffers.Put(c.buffer)
	}
}

// Pipe is the queue of one body that is being streamed.
type Pipe struct {
	budget   *Budget
	throttle func(bool) // true pauses the source, false resumes it; must not block
	drop     func()     // called once the rest of the body is not needed

	mu        sync.Mutex
	queue     []Chunk
	held      int
	err       error // io.EOF means that the body is complete
	closed    bool  // not counted in the budget any more
	throttled bool
	claimed   bool
	ready     chan struct{}
}

// New returns a pipe that counts in b. throttle and drop may be called by the producer or the consumer; throttle
// is called with a lock held and must not block.
func New(b *Budget, throttle func(bool), drop func()) *Pipe {
	b.pipes.Add(1)
	return &Pipe{budget: b, throttle: throttle, drop: drop, ready: make(chan struct{}, 1)}
}

// Put appends a copy of data, the next bytes of the body. After End or Drop it does nothing.
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
	if !p.throttled && p.held >= p.budget.Window() {
		p.throttled = true
		p.throttle(true) // with the lock held, so that calls of both sides reach the source in order
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

// End marks the end of the body: io.EOF if it is complete, otherwise the error that cut it off. Only the first
// call counts.
func (p *Pipe) End(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.uncount()
	p.mu.Unlock()
	p.signal()
}

// uncount stops counting the pipe in the budget. The caller holds the lock.
func (p *Pipe) uncount() {
	if !p.closed {
		p.closed = true
		p.budget.pipes.Add(-1)
	}
}

// Next removes and returns the oldest chunk. If it returns neither bytes nor an error, the pipe is empty: Ready
// signals when to call it again. io.EOF follows the last byte of a complete body. If the body was cut off, Next
// returns that error, and bytes that were received before it may be skipped.
func (p *Pipe) Next() (Chunk, error) {
	p.mu.Lock()
	var c Chunk
	var err error
	switch {
	case p.err != nil && p.err != io.EOF: //nolint:errorlint // only io.EOF itself means complete; an error that wraps it means cut off
		err = p.err
	case len(p.queue) > 0:
		c = p.queue[0]
		p.queue = p.queue[1:]
		p.held -= len(c.Bytes)
	default:
		err = p.err
	}
	if p.throttled && p.held <= p.budget.Window()/2 {
		p.throttled = false
		p.throttle(false)
	}
	p.mu.Unlock()
	return c, err
}

// Ready returns a channel that has a value when Next may have something to return.
func (p *Pipe) Ready() <-chan struct{} { return p.ready }

// Claim makes the caller the consumer of the pipe. It returns false if there is one already.
func (p *Pipe) Claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.claimed
	p.claimed = true
	return !before
}

// Drop discards the rest of the body, and calls the drop function of New if the body has not ended yet.
func (p *Pipe) Drop() {
	p.mu.Lock()
	ended := p.err != nil
	if !ended {
		p.err = ErrDropped
	}
	for _, c := range p.queue {
		c.Free()
	}
	p.queue, p.held = nil, 0
	p.uncount()
	p.mu.Unlock()
	if !ended {
		p.drop()
	}
	p.signal()
}
