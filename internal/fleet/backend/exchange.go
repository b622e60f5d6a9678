package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
)

// exchange sends a request and reads the header of its response. Stale responses received before it are skipped.
// What is held of them is reserved, and the caller releases it.
func (c *connection) exchange(request *Request, reservation *memory.Reservation) (*Response, error) {
	message := net.Buffers{request.encodeHeader(), request.Body}
	state := exchangeState{fresh: !c.used, id: request.Header.Get(HeaderAttempt), size: len(message[0]) + len(message[1])}
	c.used = true
	written, err := message.WriteTo(c.Conn)
	state.recordWrite(int(written))
	if err != nil {
		return nil, state.errorFor(err)
	}
	for {
		c.received.limit(reservation)
		response, err := c.readHeader(request.Method, &state)
		c.received.unlimit()
		if err != nil {
			return nil, err
		}
		switch state.attribute(response.Status, response.Header.Get(HeaderAttempt), response.Framing != ByConnection) {
		case ownResponse:
			return response, nil
		case unattributableResponse:
			return nil, &Error{Malformed, errNotAttributable}
		}
		if _, err := io.Copy(io.Discard, response.body); err != nil {
			return nil, state.errorFor(err)
		}
	}
}

// readHeader reads the header of the next response on the connection.
func (c *connection) readHeader(method string, state *exchangeState) (*Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, state.errorFor(err)
	}
	received, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, state.errorFor(err)
		}
		return nil, &Error{Malformed, err}
	}
	if received.StatusCode < http.StatusOK {
		return nil, &Error{Malformed, fmt.Errorf("informational status %d", received.StatusCode)}
	}
	response := &Response{Status: received.StatusCode, Header: received.Header, Load: parseLoad(received.Header.Get(HeaderLoad)),
		Length: received.ContentLength, Framing: framingOf(received), connection: c, body: received.Body,
		keepAlive: received.Header.Get("Keep-Alive")}
	response.reusable = response.Framing != ByConnection && !received.Close
	return response, nil
}

// framingOf returns how the end of a received body is marked.
func framingOf(received *http.Response) Framing {
	switch {
	case slices.Contains(received.TransferEncoding, "chunked"):
		return ByChunks
	case received.ContentLength >= 0 || received.Body == http.NoBody: // none follows a response to HEAD, whatever it states
		return ByLength
	}
	return ByConnection
}
