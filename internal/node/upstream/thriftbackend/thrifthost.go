// Package thriftbackend implements connpool.Protocol for backends that speak Thrift. A call received over Thrift is
// forwarded unchanged, in the backend's transport and encoding. A call received over HTTP/1.1 becomes a call of the
// Thrift method of its class, if the class has one.
package thriftbackend

import (
	"errors"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/codec/thrift/mapping"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/upstream/connpool"
)

// Settings describe the backends.
type Settings struct {
	Form    thrift.Form
	Limits  thrift.Limits
	Methods []string // by class: the method for calls received over HTTP/1.1; "" = such calls fail
	Tenants []string // tenant names by number
}

// Protocol implements connpool.Protocol.
type Protocol struct {
	set Settings
	seq atomic.Int32
}

// New returns a Protocol with the given settings.
func New(set Settings) *Protocol { return &Protocol{set: set} }

var errCross = errors.New("the call's class has no Thrift method")

// about holds what the response to a request is checked against and how it is converted.
type about struct {
	seq    int32
	method []byte
	back   func(*thrift.Message) any // converts a served response to the protocol of the call
	oneWay bool
}

// Silent reports that the request is one-way and gets no response.
func (a *about) Silent() bool { return a.oneWay }

// Request implements connpool.Protocol.
func (p *Protocol) Request(dst []byte, _ core.Host, call *core.Call, left int) ([]byte, any, error) {
	a := &about{seq: p.seq.Add(1), back: func(m *thrift.Message) any { return m }}
	o := thrift.Outgoing{Form: p.set.Form, Seq: a.seq, HeadSeq: uint32(a.seq)}
	switch m := call.Payload.(type) {
	case *thrift.Message:
		o.Message = m
		o.Change, o.Headers = mapping.Onward(m, left)
		if p.set.Form.Transport != thrift.Header && len(m.Info) == 0 {
			o.Message, o.Change = p.withInfo(m, call, left), nil
		}
		a.oneWay = m.Type == thrift.OneWay
	case *http1.Message:
		method := p.set.Methods[call.Class]
		if method == "" {
			return nil, nil, errCross
		}
		o.Message = mapping.Compose(method, p.info(call, left), m.Body)
		a.back = func(m *thrift.Message) any { return &http1.Message{Status: 200, Body: mapping.Body(m)} }
	default:
		return nil, nil, errCross
	}
	a.method = o.Message.Name
	return thrift.Append(dst, o), a, nil
}

// withInfo inserts the metadata that otherwise travels in transport headers before a call's arguments, for backends
// whose transport has no headers.
func (p *Protocol) withInfo(m *thrift.Message, call *core.Call, left int) *thrift.Message {
	lead := mapping.Compose(string(m.Name), p.info(call, left), nil)
	return thrift.Join(lead, mapping.ArgInfo, m)
}

func (p *Protocol) info(call *core.Call, left int) mapping.Info {
	i := mapping.Info{ID: []byte(call.ID), Deadline: int64(left), Key: call.Key, Retry: call.ClientRetry}
	if call.Tenant >= 0 && call.Tenant < len(p.set.Tenants) {
		i.Owner = []byte(p.set.Tenants[call.Tenant])
	}
	return i
}

// Answers implements connpool.Protocol.
func (p *Protocol) Answers() connpool.Answers {
	return &answers{Reader: thrift.NewReaderOf(p.set.Form, p.set.Limits)}
}

// answers parses the responses on one connection, which serves one call at a time.
type answers struct {
	*thrift.Reader
	about *about
}

func (a *answers) Expect(x any) { a.about, _ = x.(*about) }

var errOther = errors.New("response belongs to another call")

func (a *answers) Next() (connpool.Answer, bool, error) {
	m, err := a.Reader.Next()
	if m == nil || err != nil {
		return connpool.Answer{}, false, err
	}
	want := a.about
	if want == nil || m.Seq != want.seq || string(m.Name) != string(want.method) ||
		m.Type != thrift.Reply && m.Type != thrift.Exception {
		return connpool.Answer{}, false, errOther
	}
	answer := connpool.Answer{Outcome: outcomes[mapping.Tell(m)]}
	if answer.Outcome == dispatch.Served {
		answer.Payload = want.back(m)
	}
	return answer, true, nil
}

var outcomes = [...]dispatch.Outcome{mapping.Served: dispatch.Served, mapping.TurnedAway: dispatch.Declined,
	mapping.Error: dispatch.Failed, mapping.Rejected: dispatch.Rejected}
