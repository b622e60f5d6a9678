package backend

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Framing is how the end of a response's body is marked.
type Framing uint8

// The framings.
const (
	ByLength     Framing = iota // by a stated length, which may be 0
	ByChunks                    // by the last chunk
	ByConnection                // by the end of the connection, in order
)

// String returns the framing as it is logged.
func (f Framing) String() string {
	switch f {
	case ByLength:
		return "length"
	case ByChunks:
		return "chunks"
	}
	return "connection"
}

// Response is a backend's response, whose body has not been read yet. It must be closed, and is not safe for
// concurrent use.
type Response struct {
	Status int
	Header http.Header
	Load   routing.Load // as stated by the backend
	Length int64        // of the body in bytes, -1 = not stated

	Framing Framing

	client       *Client
	reservation  *memory.Reservation // of what is held of the response
	connection   *connection
	body         io.ReadCloser
	reusable     bool // the connection may be reused once the body has been read
	keepAlive    string
	complete     bool           // the body was read to its end
	liveness     *livenessWatch // of a successful response that is framed ByConnection, else nil
	stopWatching func() bool    // keeps the end of the context from closing the connection; false if it has already done so
}

// NotExecuted reports whether the backend states that it has not run the request and will not run it.
func (r *Response) NotExecuted() bool {
	return r.Status == http.StatusMisdirectedRequest || r.Header.Get(HeaderNotExecuted) != ""
}

// Read reads the body. A truncated body ends with an error other than io.EOF. The end of a successful body that is framed
// ByConnection is io.EOF only if the backend's process has not ended with it, for which Read may wait.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if r.liveness != nil {
		return r.checkLiveness(n, err)
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// checkLiveness returns the result of a read from a body that is framed ByConnection.
func (r *Response) checkLiveness(n int, err error) (int, error) {
	switch {
	case n > 0:
		r.liveness.recordData()
		if errors.Is(err, io.EOF) {
			err = nil // the next read returns it
		}
	case errors.Is(err, io.EOF) && r.liveness.processEnded():
		err = errProcessEnded
	}
	return n, err
}

// ReadAll reads the rest of the body into memory that is reserved until Close. The error is memory.ErrExhausted if the body is
// larger than the client's budget allows.
func (r *Response) ReadAll() ([]byte, error) { return memory.ReadAll(r, r.reservation, r.Length) }

// Reserve reserves memory for bytes of the body that the caller holds, until Close. It returns memory.ErrExhausted if the
// client's budget does not allow it.
func (r *Response) Reserve(bytes int) error { return r.reservation.Grow(int64(bytes)) }

// Close releases the response and the memory that is reserved for it. Its connection is kept for reuse if the response allows it, the body was read to
// its end and no bytes were received after it.
func (r *Response) Close() {
	r.reservation.Release()
	if r.liveness != nil {
		r.liveness.stop()
	}
	open := r.stopWatching()
	if open && r.complete && r.reusable && r.connection.reader.Buffered() == 0 {
		r.client.pool.put(r.connection, r.keepAlive)
		return
	}
	_ = r.connection.Close()
}

// loadFields is the number of values in an Instance-Load header: running, waiting, slots.
const loadFields = 3

// parseLoad parses the value of an Instance-Load header. A malformed value counts as not stated.
func parseLoad(value string) routing.Load {
	fields := strings.Split(value, ",")
	if len(fields) != loadFields {
		return routing.Load{}
	}
	running, err := parseCount(fields[0])
	if err != nil {
		return routing.Load{}
	}
	waiting, err := parseCount(fields[1])
	if err != nil {
		return routing.Load{}
	}
	return routing.Load{Known: true, Running: running, Waiting: waiting}
}

// countBits is the size of the largest number of requests that a backend may state, in bits.
const countBits = 20

// parseCount parses a number of requests, which has no sign.
func parseCount(text string) (int, error) {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, countBits)
	return int(count), err
}
