package backend

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// Response is a backend's response whose body is still to be read. It must be closed, and is used by one goroutine at a time.
type Response struct {
	Status int
	Header http.Header
	Load   routing.Load // as the backend stated it
	Length int64        // of the body in bytes, -1 = not stated

	client        *Client
	connection    *connection
	body          io.ReadCloser
	selfDelimited bool // the body's end shows without the end of the connection
	reusable      bool // the connection may be used again after the body
	keepAlive     string
	complete      bool        // the body was read to its end
	stopWatching  func() bool // stops closing the connection when the context ends; false where that has happened
}

// NotExecuted reports whether the backend says that it has not run the request and will not.
func (r *Response) NotExecuted() bool {
	return r.Status == http.StatusMisdirectedRequest || r.Header.Get(HeaderNotExecuted) != ""
}

// Read reads the body. A body that breaks off ends with an error other than io.EOF.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close ends the use of the response. The connection is kept where the body was read to its end and nothing came after it.
func (r *Response) Close() {
	open := r.stopWatching()
	if open && r.complete && r.reusable && r.connection.reader.Buffered() == 0 {
		r.client.pool.put(r.connection, r.keepAlive)
		return
	}
	_ = r.connection.Close()
}

// loadFields is the number of values in Instance-Load: running, waiting, slots.
const loadFields = 3

// parseLoad reads the value of an Instance-Load header. What is not well formed counts as not stated.
func parseLoad(value string) routing.Load {
	fields := strings.Split(value, ",")
	if len(fields) != loadFields {
		return routing.Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	if err != nil {
		return routing.Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil {
		return routing.Load{}
	}
	return routing.Load{Known: true, Running: running, Waiting: waiting}
}
