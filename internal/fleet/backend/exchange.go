package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// The headers of the protocol between the fleet and the raters.
const (
	HeaderAttempt     = "Attempt-Id"
	HeaderExpect      = "Expect-Instance"
	HeaderTenant      = "Tenant"
	HeaderDeadline    = "Deadline-Ms"
	HeaderPriority    = "Priority"
	HeaderNotExecuted = "Not-Executed"
	HeaderLoad        = "Instance-Load"
	HeaderSeal        = "Response-Seal"
	HeaderLastID      = "Last-Event-Id"
	HeaderKey         = "Api-Key"
)

// Request is what is sent to a rater.
type Request struct {
	Method string
	Target string // as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
}

// Client keeps connections to raters.
type Client struct{ pool pool }

// NewClient makes a client without connections.
func NewClient() *Client { return &Client{pool: pool{idle: map[string][]*connection{}}} }

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) { c.pool.forget(address) }

// Response is a rater's answer whose body is still to be read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Load   routing.Load
	Length int64 // of the body, -1 = not stated

	client     *Client
	connection *connection
	body       io.ReadCloser
	bounded    bool // its end is told by itself, not by the end of the connection
	reusable   bool
	keepAlive  string
	complete   bool
	stop       func() bool
}

// Do sends a request and reads the head of its answer. The connection is closed when the context ends.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	conn := c.pool.get(address)
	if conn == nil {
		fresh, err := dial(address, time.Until(deadlineOf(ctx)))
		if err != nil {
			return nil, &Error{NotSent, err}
		}
		conn = fresh
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, err := conn.exchange(request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	answer.client, answer.stop = c, stop
	return answer, nil
}

func deadlineOf(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(dialTimeout)
}

// exchange sends a request and reads the head of its answer.
func (c *connection) exchange(request *Request) (*Response, error) {
	message := request.encode()
	judge := exchangeState{fresh: !c.used, id: request.Header.Get(HeaderAttempt), size: len(message)}
	c.used = true
	written, err := c.Write(message)
	judge.recordWrite(written)
	if err != nil {
		return nil, judge.failed(err)
	}
	for {
		answer, err := c.readHead(request.Method, &judge)
		if err != nil {
			return nil, err
		}
		switch judge.attribute(answer.Status, answer.Header.Get(HeaderAttempt), answer.bounded) {
		case ownResponse:
			return answer, nil
		case unattributableResponse:
			return nil, &Error{Malformed, errNotAttributable}
		}
		if _, err := io.Copy(io.Discard, answer.body); err != nil {
			return nil, judge.failed(err)
		}
	}
}

func (c *connection) readHead(method string, judge *exchangeState) (*Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, judge.failed(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		var failed net.Error
		if errors.As(err, &failed) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, judge.failed(err)
		}
		return nil, &Error{Malformed, err}
	}
	if response.StatusCode < http.StatusOK {
		return nil, &Error{Malformed, fmt.Errorf("status %d", response.StatusCode)}
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header, Load: parseLoad(response.Header.Get(HeaderLoad)),
		Length: response.ContentLength, connection: c, body: response.Body, keepAlive: response.Header.Get("Keep-Alive")}
	answer.bounded = response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
	answer.reusable = answer.bounded && !response.Close
	return answer, nil
}

// NotExecuted tells whether the rater says that it did not run the request.
func (a *Response) NotExecuted() bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(HeaderNotExecuted) != ""
}

// Read reads the body.
func (a *Response) Read(into []byte) (int, error) {
	n, err := a.body.Read(into)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Close ends the use of the answer. The connection is kept where the whole body was read and nothing came after it.
func (a *Response) Close() {
	open := a.stop()
	if open && a.complete && a.reusable && a.connection.reader.Buffered() == 0 {
		a.client.pool.put(a.connection, a.keepAlive)
		return
	}
	_ = a.connection.Close()
}

// encode writes a request as bytes, with the body's length.
func (r *Request) encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(r.Body))
	buffer.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes()
}

// loadFields is the number of figures in Instance-Load: running, waiting, slots.
const loadFields = 3

func parseLoad(field string) routing.Load {
	parts := strings.Split(field, ",")
	if len(parts) != loadFields {
		return routing.Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return routing.Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil {
		return routing.Load{}
	}
	return routing.Load{Known: true, Running: running, Waiting: waiting}
}
