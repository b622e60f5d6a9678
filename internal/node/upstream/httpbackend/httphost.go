// Package httpbackend implements connpool.Protocol for backends that speak HTTP/1.1: it encodes requests and maps
// responses to outcomes as the platform's outcome table defines.
package httpbackend

import (
	"errors"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/codec/thrift/mapping"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/upstream/connpool"
)

// Protocol implements connpool.Protocol. The payloads of calls and of Served outcomes are *http1.Message. If Cross is
// set, a call received over Thrift becomes a request of its class with the call's second argument as the body.
type Protocol struct {
	Cross   bool
	Classes []Class
	Tenants []string // tenant names by number

	Most  int  // maximum size of a response body in bytes, 0 = the default of package http1
	Flows bool // stream responses that are long, or end with the connection, to clients that support it
}

// Class describes the requests of a class.
type Class struct{ Name, Method string }

var errCross = errors.New("calls received over Thrift are not translated for HTTP/1.1 backends")

// Request implements connpool.Protocol.
func (p Protocol) Request(dst []byte, host core.Host, call *core.Call, left int) ([]byte, any, error) {
	m, ok := call.Payload.(*http1.Message)
	if !ok {
		t, ok := call.Payload.(*thrift.Message)
		if !ok || !p.Cross {
			return nil, nil, errCross
		}
		m = p.compose(call, t)
	}
	if m.Rest == nil && len(m.Body) < separateBodyMin {
		if dst == nil {
			dst = make([]byte, 0, 512+len(m.Body))
		}
		return http1.AppendRequest(dst, m, host.Address, http1.DeadlineField, left), nil, nil
	}
	body := &connpool.Body{First: m.Body, Rest: m.Rest, Left: max(0, m.Length-len(m.Body)), Chunked: m.Rest != nil && m.Length < 0}
	return http1.AppendRequestHead(dst, m, host.Address, http1.DeadlineField, left), body, nil
}

// compose builds the HTTP request for a call received over Thrift.
func (p Protocol) compose(call *core.Call, t *thrift.Message) *http1.Message {
	class := p.Classes[call.Class]
	m := &http1.Message{Method: []byte(class.Method), Target: []byte("/" + class.Name), Body: mapping.Argument(t),
		Fields: []http1.Field{{Name: []byte("Req-Id"), Value: []byte(call.ID)}}}
	if call.Tenant >= 0 && call.Tenant < len(p.Tenants) {
		m.Fields = append(m.Fields, http1.Field{Name: []byte("Req-Owner"), Value: []byte(p.Tenants[call.Tenant])})
	}
	if len(call.Key) > 0 {
		m.Fields = append(m.Fields, http1.Field{Name: []byte("Idempotency-Key"), Value: call.Key})
	}
	if call.ClientRetry {
		m.Fields = append(m.Fields, http1.Field{Name: []byte("Req-Retry"), Value: []byte("1")})
	}
	return m
}

// Answers implements connpool.Protocol.
func (p Protocol) Answers() connpool.Answers {
	if !p.Flows {
		return answers{http1.NewResponses()}
	}
	return answers{http1.NewFlowing(true, p.Most, http1.Flow{Whole: wholeUnknown, Known: http1.MaxBody, AtOnce: true})}
}

const (
	separateBodyMin = 16 << 10 // bodies of at least this many bytes are written separately from the head, which saves a copy

	// A response of unknown length is streamed to the client once this many bytes have been received. If a shorter one
	// is cut off, the call can still be retried on another backend.
	wholeUnknown = 8 << 10
)

// answers parses the responses on one connection.
type answers struct{ *http1.Parser }

func (a answers) Expect(any) {}

func (a answers) Next() (connpool.Answer, bool, error) {
	m, err := a.Parser.Next()
	if m == nil || err != nil {
		return connpool.Answer{}, false, err
	}
	return a.answer(m), true, nil
}

func (a answers) answer(m *http1.Message) connpool.Answer {
	answer := connpool.Answer{Outcome: outcome(m), Payload: m, Last: m.Close}
	if a.Flowing() {
		answer.Attach = func(p *bodypipe.Pipe) { m.Rest = p }
	}
	return answer
}

// End handles the end of the connection, which may complete a response.
func (a answers) End() (connpool.Answer, bool) {
	m, ok := a.Parser.End()
	if m == nil {
		return connpool.Answer{}, ok
	}
	return a.answer(m), ok
}

// outcome maps a response to an outcome as the protocol's table defines.
func outcome(m *http1.Message) dispatch.Outcome {
	switch m.Status {
	case 200:
		return dispatch.Served
	case 503, 504:
		if v, n := m.Get("Srv-Declined"); n == 1 && string(v) == "1" {
			return dispatch.Declined
		}
	}
	if m.Status >= 400 && m.Status < 500 {
		return dispatch.Rejected
	}
	return dispatch.Failed
}
