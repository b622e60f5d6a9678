// Package httpbackend is the protocol of hosts that speak HTTP/1.1, for the carrier: how a relay is written and what an answer
// says, as the platform's table of outcomes has it.
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

// Protocol is carrier.Protocol: the payloads of calls and of outcomes Served are *http1.Message. A call that came in Thrift
// becomes a request of its class with its second argument as the body, if calls may cross.
type Protocol struct {
	Cross   bool
	Classes []Class
	Tenants []string // names, by number

	Most  int  // bytes in an answer's body, 0 = that of internal/http1
	Flows bool // answers that are long, or end with the connection, flow to clients that can take them so
}

// Class is what a request of a class looks like.
type Class struct{ Name, Method string }

var errCross = errors.New("a call in Thrift does not cross to hosts that speak HTTP/1.1")

// Request is that of carrier.Protocol.
func (p Protocol) Request(dst []byte, host core.Host, call *core.Call, left int) ([]byte, any, error) {
	m, ok := call.Payload.(*http1.Message)
	if !ok {
		t, ok := call.Payload.(*thrift.Message)
		if !ok || !p.Cross {
			return nil, nil, errCross
		}
		m = p.compose(call, t)
	}
	if m.Rest == nil && len(m.Body) < apart {
		if dst == nil {
			dst = make([]byte, 0, 512+len(m.Body))
		}
		return http1.AppendRequest(dst, m, host.Address, http1.DeadlineField, left), nil, nil
	}
	body := &connpool.Body{First: m.Body, Rest: m.Rest, Left: max(0, m.Length-len(m.Body)), Chunked: m.Rest != nil && m.Length < 0}
	return http1.AppendRequestHead(dst, m, host.Address, http1.DeadlineField, left), body, nil
}

// compose makes a request of a call that came in Thrift.
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

// Answers is that of carrier.Protocol.
func (p Protocol) Answers() connpool.Answers {
	if !p.Flows {
		return answers{http1.NewResponses()}
	}
	return answers{http1.NewFlowing(true, p.Most, http1.Flow{Whole: wholeUnknown, Known: http1.MaxBody, AtOnce: true})}
}

const (
	apart = 16 << 10 // from so many bytes on a body is written apart from its head, which saves a copy

	// An answer whose length is not told goes on once so much of it has come: if it is shorter, another host may still make up
	// for its breaking off.
	wholeUnknown = 8 << 10
)

// answers reads one connection.
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

// End takes the end of the connection, with which an answer may be whole.
func (a answers) End() (connpool.Answer, bool) {
	m, ok := a.Parser.End()
	if m == nil {
		return connpool.Answer{}, ok
	}
	return a.answer(m), ok
}

// outcome reads an answer as the protocol's table has it.
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
