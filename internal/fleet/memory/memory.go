// Package memory bounds the bytes that a process holds of what its peers send: requests and responses that are read whole,
// headers, and events that have not ended yet.
package memory

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted reports that holding more bytes would exceed what the budget allows to one reservation.
var ErrExhausted = errors.New("more bytes than the memory budget allows")

// firstCapacity is the size of the first buffer of ReadAll, in bytes.
const firstCapacity = 512

// Budget is the number of bytes that a process may hold at the same time, over all reservations. It is safe for concurrent use.
//
// A reservation may hold at most as much as is free after it has grown. One sender without an end therefore gets half of the
// budget before it is refused, and of several at the same time each gets as much as they leave to all others.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are reserved now. It is 0 for a nil budget.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reserve returns a reservation that holds nothing yet. A nil budget has no limit.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is a part of a budget. It must be released, and is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	held   int64
}

// Grow reserves further bytes, or returns ErrExhausted and reserves none.
func (r *Reservation) Grow(bytes int64) error {
	if r.budget == nil {
		return nil
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	free := r.budget.limit - r.budget.used - bytes
	if r.held+bytes > free {
		return ErrExhausted
	}
	r.budget.used += bytes
	r.held += bytes
	return nil
}

// Release gives all bytes back. The reservation may grow again.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.held
	r.held = 0
}

// ReadAll reads up to io.EOF into memory that is reserved before it is allocated. size is the number of bytes that the sender
// states, -1 if it states none; it only saves allocations.
func ReadAll(source io.Reader, reservation *Reservation, size int64) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			next := nextCapacity(len(content), size)
			if err := reservation.Grow(int64(next - cap(content))); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, next), content...)
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
}

// nextCapacity returns the size of the next buffer: twice the last one, but no more than what is stated and one byte, in which
// the end is read.
func nextCapacity(length int, stated int64) int {
	next := max(firstCapacity, 2*length)
	if stated >= int64(length) && stated < int64(next) {
		return int(stated) + 1
	}
	return next
}

// bytesPerMB is the unit of the settings file.
const bytesPerMB = 1 << 20

// NewShare returns a budget of a fraction of a process's memory, in MB; nil, which has no limit, if that is not stated.
func NewShare(memoryMB int, fraction float64) *Budget {
	if memoryMB <= 0 {
		return nil
	}
	return NewBudget(int64(fraction * float64(memoryMB) * bytesPerMB))
}

// Limit returns how many bytes a reservation may hold if there is no other, and whether there is such a limit.
func (b *Budget) Limit() (bytes int64, limited bool) {
	if b == nil {
		return 0, false
	}
	return b.limit/2 - 1, true
}
