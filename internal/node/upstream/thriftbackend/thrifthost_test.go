package thriftbackend

import (
	"context"
	"testing"

	official "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/codec/thrift/mapping"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

var (
	ctx   = context.Background()
	forms = []thrift.Form{{Protocol: thrift.Binary}, {Protocol: thrift.Compact}, {Protocol: thrift.Binary, Transport: thrift.Unframed},
		{Protocol: thrift.Compact, Transport: thrift.Unframed}}
	tenants = []string{"morava-mobil"}
)

// peer returns a protocol of the official Thrift library over buf, with the transport and encoding of f.
func peer(f thrift.Form, buf *official.TMemoryBuffer) official.TProtocol {
	conf := &official.TConfiguration{}
	var t official.TTransport = buf
	if f.Transport == thrift.Framed {
		t = official.NewTFramedTransportConf(buf, conf)
	}
	if f.Protocol == thrift.Compact {
		return official.NewTCompactProtocolConf(t, conf)
	}
	return official.NewTBinaryProtocolConf(t, conf)
}

// decodeRequest decodes a request as a backend that uses the official library would.
func decodeRequest(t *testing.T, f thrift.Form, data []byte) (method string, seq int32, fields map[int16]any) {
	buf := official.NewTMemoryBuffer()
	buf.Write(data)
	p := peer(f, buf)
	method, kind, seq, err := p.ReadMessageBegin(ctx)
	require.NoError(t, err)
	require.Contains(t, []official.TMessageType{official.CALL, official.ONEWAY}, kind)
	fields = map[int16]any{}
	var read func(at int16)
	read = func(at int16) {
		_, err := p.ReadStructBegin(ctx)
		require.NoError(t, err)
		for {
			_, k, id, err := p.ReadFieldBegin(ctx)
			require.NoError(t, err)
			switch k {
			case official.STOP:
				require.NoError(t, p.ReadStructEnd(ctx))
				return
			case official.STRUCT:
				read(100 * id)
			case official.I32:
				fields[at+id], err = p.ReadI32(ctx)
			case official.BOOL:
				fields[at+id], err = p.ReadBool(ctx)
			default:
				fields[at+id], err = p.ReadString(ctx)
			}
			require.NoError(t, err)
		}
	}
	read(0)
	return method, seq, fields
}

// encodeResponse encodes a backend's response with the official library.
func encodeResponse(t *testing.T, f thrift.Form, method string, seq int32, kind official.TMessageType, field int16,
	write func(official.TProtocol)) []byte {
	buf := official.NewTMemoryBuffer()
	p := peer(f, buf)
	do := func(err error) { require.NoError(t, err) }
	do(p.WriteMessageBegin(ctx, method, kind, seq))
	switch {
	case kind == official.EXCEPTION:
		x := official.NewTApplicationException(int32(field), "no")
		do(x.Write(ctx, p))
	case field >= 0:
		if field == 0 {
			do(p.WriteFieldBegin(ctx, "", official.STRING, 0))
		} else {
			do(p.WriteFieldBegin(ctx, "", official.STRUCT, field))
		}
		write(p)
		do(p.WriteFieldStop(ctx))
	default:
		do(p.WriteFieldStop(ctx))
	}
	do(p.Flush(ctx))
	return buf.Bytes()
}

func call(t *testing.T, from thrift.Form, oneWay bool) *core.Call {
	m := mapping.Compose("postCharge", mapping.Info{ID: []byte("q1"), Deadline: 900, Owner: []byte("morava-mobil"), Retry: true},
		[]byte("record"))
	if oneWay {
		m.Type = thrift.OneWay
	}
	r := thrift.NewReader(thrift.DefaultLimits)
	r.Feed(thrift.Append(nil, thrift.Outgoing{Message: m, Form: from, Seq: 77}))
	got, err := r.Next()
	require.NoError(t, err)
	require.NotNil(t, got)
	return &core.Call{ID: "q1", Tenant: 0, Payload: got, ClientRetry: true}
}

// Guards against a request that differs from the client's call, or does not have the remaining time as its deadline,
// for every pair of transport and encoding and for calls received over HTTP; and against a response that is mapped to
// an outcome other than the protocol's.
func TestRequestsAndResponses(t *testing.T) {
	over := &core.Call{ID: "q1", Tenant: 0, ClientRetry: true, Payload: &http1.Message{Body: []byte("record")}}
	for _, f := range forms {
		p := New(Settings{Form: f, Limits: thrift.DefaultLimits, Methods: []string{"postCharge"}, Tenants: tenants})
		calls := []*core.Call{over}
		for _, from := range forms {
			calls = append(calls, call(t, from, false))
		}
		for _, c := range calls {
			out, about, err := p.Request(nil, core.Host{}, c, 480)
			require.NoError(t, err)
			method, seq, fields := decodeRequest(t, f, out)
			assert.Equal(t, "postCharge", method)
			assert.Equal(t, map[int16]any{101: "q1", 102: int32(480), 103: "morava-mobil", 105: true, 2: "record"}, fields)
			for _, a := range []struct {
				method string
				seq    int32
				kind   official.TMessageType
				field  int16
				want   dispatch.Outcome
				bad    bool
			}{
				{method, seq, official.REPLY, 0, dispatch.Served, false}, {method, seq, official.REPLY, 1, dispatch.Declined, false},
				{method, seq, official.REPLY, 2, dispatch.Failed, false}, {method, seq, official.REPLY, 3, dispatch.Served, false},
				{method, seq, official.REPLY, -1, dispatch.Served, false},
				{method, seq, official.EXCEPTION, official.INTERNAL_ERROR, dispatch.Failed, false},
				{method, seq, official.EXCEPTION, official.UNKNOWN_METHOD, dispatch.Rejected, false},
				{method, seq, official.EXCEPTION, official.PROTOCOL_ERROR, dispatch.Rejected, false},
				{method, seq + 1, official.REPLY, 0, 0, true}, {"capAlert", seq, official.REPLY, 0, 0, true},
				{method, seq, official.CALL, 0, 0, true},
			} {
				r := p.Answers()
				r.Expect(about)
				r.Feed(encodeResponse(t, f, a.method, a.seq, a.kind, a.field, func(p official.TProtocol) {
					if a.field == 0 {
						require.NoError(t, p.WriteString(ctx, "ok"))
					} else {
						require.NoError(t, p.WriteFieldStop(ctx))
					}
				}))
				got, whole, err := r.Next()
				if a.bad {
					require.ErrorIs(t, err, errOther)
					continue
				}
				require.NoError(t, err)
				require.True(t, whole && r.Idle())
				assert.Equal(t, a.want, got.Outcome, "%v %v %d", f, a.kind, a.field)
				if a.want == dispatch.Served && a.field == 0 {
					switch m := got.Payload.(type) {
					case *http1.Message:
						assert.Equal(t, "ok", string(m.Body))
					case *thrift.Message:
						assert.Equal(t, "ok", string(mapping.Body(m)))
					}
				}
			}
		}
		_, about, err := p.Request(nil, core.Host{}, call(t, forms[0], true), 480)
		require.NoError(t, err)
		assert.True(t, about.(interface{ Silent() bool }).Silent(), "a one-way call gets no response")
		_, _, err = New(Settings{Form: f, Methods: []string{""}}).Request(nil, core.Host{}, over, 480)
		assert.ErrorIs(t, err, errCross)
	}
}

// Guards against a call whose metadata arrived in a transport header being sent without metadata to a backend that
// reads no headers, and against a request that carries both forms of metadata.
func TestHeaderMetadataForBackendWithoutHeaders(t *testing.T) {
	m := mapping.Compose("postCharge", mapping.Info{}, []byte("record"))
	bare := thrift.Join(&thrift.Message{Bytes: []byte{byte(thrift.Struct), 0, 9, 0, 0}}, mapping.ArgInfo, m)
	r := thrift.NewReader(thrift.DefaultLimits)
	r.Feed(thrift.Append(nil, thrift.Outgoing{Message: bare, Form: thrift.Form{Protocol: thrift.Compact, Transport: thrift.Header},
		Headers: []thrift.Info{{Name: []byte(mapping.HeaderID), Value: []byte("q1")}, {Name: []byte(mapping.HeaderDeadline), Value: []byte("900")}}}))
	got, err := r.Next()
	require.NoError(t, err)
	info, err := mapping.Read(got)
	require.NoError(t, err)
	assert.Equal(t, int64(900), info.Deadline)
	out, _, err := New(Settings{Form: forms[0], Tenants: tenants}).Request(nil, core.Host{}, &core.Call{ID: "q1", Tenant: -1, Payload: got}, 480)
	require.NoError(t, err)
	_, _, fields := decodeRequest(t, forms[0], out)
	assert.Equal(t, map[int16]any{101: "q1", 102: int32(480), 2: "record"}, fields)
}
