// Package thriftbackend is the protocol of hosts that speak Thrift, for the carrier. A call that came in Thrift goes on as it
// came, in the host's form; one that came over HTTP/1.1 is put into the method of its class, if calls may cross.
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

// Settings describe the hosts.
type Settings struct {
	Form    thrift.Form
	Limits  thrift.Limits
	Methods []string // by class: that of a call that comes over HTTP/1.1; "" = it cannot cross
	Tenants []string // names, by number
}

// Protocol is carrier.Protocol.
type Protocol struct {
	set Settings
	seq atomic.Int32
}

// New makes the protocol.
func New(set Settings) *Protocol { return &Protocol{set: set} }

var errCross = errors.New("the call's class has no Thrift method")

// about is what the answer to a request must say.
type about struct {
	seq    int32
	method []byte
	back   func(*thrift.Message) any // puts a served answer into the call's own protocol
	oneWay bool
}

// Silent tells that no answer will come.
func (a *about) Silent() bool { return a.oneWay }

// Request is that of carrier.Protocol.
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

// withInfo puts what a header transport's header said in front of a call's arguments, for hosts that have no headers.
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

// Answers is that of carrier.Protocol.
func (p *Protocol) Answers() connpool.Answers {
	return &answers{Reader: thrift.NewReaderOf(p.set.Form, p.set.Limits)}
}

// answers reads one connection, which carries one call at a time.
type answers struct {
	*thrift.Reader
	about *about
}

func (a *answers) Expect(x any) { a.about, _ = x.(*about) }

var errOther = errors.New("an answer to another call")

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
