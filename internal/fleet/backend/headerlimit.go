package backend

import (
	"errors"
	"io"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
)

// maxHeaderBytes bounds the first line and the header of a response. Up to readBufferSize more may be read with them.
const maxHeaderBytes = 64 << 10

// errHeaderTooLong reports bytes that do not end a response's header within maxHeaderBytes.
var errHeaderTooLong = errors.New("header of the response is too long")

// headerLimiter bounds what is read from a connection while a header is awaited, and reserves memory for it. Bodies are not
// limited here: what is held of them is reserved by their reader.
type headerLimiter struct {
	source      io.Reader
	reservation *memory.Reservation // nil: not limited
	left        int                 // bytes that the header may still have
}

// limit begins a header.
func (l *headerLimiter) limit(reservation *memory.Reservation) {
	l.reservation, l.left = reservation, maxHeaderBytes
}

// unlimit ends a header.
func (l *headerLimiter) unlimit() { l.reservation = nil }

// Read reads from the connection.
func (l *headerLimiter) Read(into []byte) (int, error) {
	n, err := l.source.Read(into)
	if l.reservation == nil || n == 0 {
		return n, err
	}
	if l.left -= n; l.left < 0 {
		return 0, errHeaderTooLong
	}
	if reserveErr := l.reservation.Grow(int64(n)); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}
