package thrift

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	official "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var forms = []Form{{Binary, Framed}, {Old, Framed}, {Compact, Framed}, {Binary, Unframed}, {Old, Unframed},
	{Compact, Unframed}, {Binary, Header}, {Compact, Header}}

var ctx = context.Background()

// libraryProtocol returns the official library's protocol of a form over a buffer.
func libraryProtocol(f Form, buf *official.TMemoryBuffer) official.TProtocol {
	conf := &official.TConfiguration{TBinaryStrictRead: new(f.Protocol == Binary),
		TBinaryStrictWrite: new(f.Protocol == Binary)}
	var t official.TTransport = buf
	switch {
	case f.Transport == Header && f.Protocol == Compact:
		conf.THeaderProtocolID = official.THeaderProtocolIDPtrMust(official.THeaderProtocolCompact)
		fallthrough
	case f.Transport == Header:
		return official.NewTHeaderProtocolConf(t, conf)
	case f.Transport == Framed:
		t = official.NewTFramedTransportConf(buf, conf)
	}
	if f.Protocol == Compact {
		return official.NewTCompactProtocolConf(t, conf)
	}
	return official.NewTBinaryProtocolConf(t, conf)
}

// write serializes a call with the official library; its fields cover nearly every kind of value.
func write(t testing.TB, f Form, seq int32) []byte {
	buf := official.NewTMemoryBuffer()
	p := libraryProtocol(f, buf)
	if h, ok := p.(*official.THeaderProtocol); ok {
		h.SetWriteHeader("deadline", "480")
		h.SetWriteHeader("id", "q1")
	}
	do := func(err error) { require.NoError(t, err) }
	field := func(k official.TType, id int16) { do(p.WriteFieldBegin(ctx, "", k, id)) }
	do(p.WriteMessageBegin(ctx, "Rating:postCharge", official.CALL, seq))
	field(official.STRUCT, 1)
	field(official.STRING, 1)
	do(p.WriteString(ctx, "q1"))
	field(official.I32, 2)
	do(p.WriteI32(ctx, 480))
	field(official.BOOL, 5)
	do(p.WriteBool(ctx, true))
	do(p.WriteFieldStop(ctx))
	field(official.MAP, 40)
	do(p.WriteMapBegin(ctx, official.STRING, official.LIST, 2))
	for i := range 2 {
		do(p.WriteString(ctx, strings.Repeat("k", i)))
		do(p.WriteListBegin(ctx, official.I64, 20))
		for j := range 20 {
			do(p.WriteI64(ctx, int64(j)*math.MinInt64/20))
		}
	}
	field(official.SET, 3)
	do(p.WriteSetBegin(ctx, official.BOOL, 3))
	for i := range 3 {
		do(p.WriteBool(ctx, i == 1))
	}
	field(official.MAP, 4)
	do(p.WriteMapBegin(ctx, official.I16, official.DOUBLE, 1))
	do(p.WriteI16(ctx, -300))
	do(p.WriteDouble(ctx, math.Pi))
	field(official.LIST, 6)
	do(p.WriteListBegin(ctx, official.STRUCT, 2))
	for range 2 {
		field(official.BYTE, -7)
		do(p.WriteByte(ctx, -7))
		field(official.BOOL, 8)
		do(p.WriteBool(ctx, false))
		field(official.MAP, 9)
		do(p.WriteMapBegin(ctx, official.BYTE, official.BYTE, 0))
		do(p.WriteFieldStop(ctx))
	}
	do(p.WriteFieldStop(ctx))
	do(p.WriteMessageEnd(ctx))
	do(p.Flush(ctx))
	return bytes.Clone(buf.Bytes())
}

// describe parses a message with the official library and returns its whole content as text, and the number of bytes
// left over.
func describe(f Form, data []byte) (text string, left int, err error) {
	buf := official.NewTMemoryBuffer()
	buf.Write(data)
	p := libraryProtocol(f, buf)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the library panicked: %v", r)
		}
	}()
	name, kind, seq, err := p.ReadMessageBegin(ctx)
	if err != nil {
		return "", 0, err
	}
	var b strings.Builder
	fmt.Fprint(&b, name, kind, seq)
	err = describeValue(p, official.STRUCT, 0, &b)
	if f.Transport == Framed { // the library keeps surplus bytes of the frame in its transport
		return b.String(), buf.Len() + int(p.Transport().RemainingBytes()), err
	}
	return b.String(), buf.Len(), err
}

func describeValue(p official.TProtocol, k official.TType, depth int, b *strings.Builder) (err error) {
	if depth > 60 {
		return errors.New("too deep")
	}
	emit := func(v any, err error) error {
		fmt.Fprint(b, " ", v)
		return err
	}
	each := func(n int, kinds ...official.TType) error {
		for range n {
			for _, k := range kinds {
				if err := describeValue(p, k, depth+1, b); err != nil {
					return err
				}
			}
		}
		return nil
	}
	switch k {
	case official.BOOL:
		return emit(p.ReadBool(ctx))
	case official.BYTE:
		return emit(p.ReadByte(ctx))
	case official.I16:
		return emit(p.ReadI16(ctx))
	case official.I32:
		return emit(p.ReadI32(ctx))
	case official.I64:
		return emit(p.ReadI64(ctx))
	case official.DOUBLE:
		v, err := p.ReadDouble(ctx)
		return emit(math.Float64bits(v), err)
	case official.STRING:
		v, err := p.ReadBinary(ctx)
		return emit(fmt.Sprintf("%q", v), err)
	case official.UUID:
		return emit(p.ReadUUID(ctx))
	case official.STRUCT:
		fmt.Fprint(b, " {")
		if _, err := p.ReadStructBegin(ctx); err != nil {
			return err
		}
		for {
			_, k, id, err := p.ReadFieldBegin(ctx)
			if err != nil {
				return err
			}
			if k == official.STOP {
				fmt.Fprint(b, "}")
				return p.ReadStructEnd(ctx)
			}
			fmt.Fprint(b, " ", id, ":")
			if err := describeValue(p, k, depth+1, b); err != nil {
				return err
			}
		}
	case official.MAP:
		key, value, n, err := p.ReadMapBegin(ctx)
		if fmt.Fprint(b, " map", n); err != nil {
			return err
		}
		return each(n, key, value)
	case official.SET, official.LIST:
		kind, n, err := p.ReadListBegin(ctx) // sets have the same encoding in every protocol
		if fmt.Fprint(b, " list", n); err != nil {
			return err
		}
		return each(n, kind)
	}
	return fmt.Errorf("kind %d", k)
}

// read feeds data in pieces of the given size and returns the messages that were found.
func read(r *Reader, data []byte, piece int) (list []*Message, err error) {
	for len(data) > 0 && err == nil {
		n := min(piece, len(data))
		r.Feed(data[:n])
		data = data[n:]
		for {
			var m *Message
			if m, err = r.Next(); m == nil || err != nil {
				break
			}
			list = append(list, m)
		}
	}
	return list, err
}

// Guards against wrong boundaries, fields or forms, for each split of the bytes, and against a message whose meaning
// changes when it is converted to another form.
func TestEveryForm(t *testing.T) {
	for _, f := range forms {
		one, two := write(t, f, 7), write(t, f, -2)
		want, _, err := describe(f, one)
		require.NoError(t, err)
		for _, piece := range []int{1, 2, 3, 5, 64, 4096} {
			list, err := read(NewReader(DefaultLimits), append(bytes.Clone(one), two...), piece)
			require.NoError(t, err, f)
			require.Len(t, list, 2, f)
			assert.Equal(t, int32(-2), list[1].Seq)
			m := list[0]
			assert.Equal(t, f, m.Form)
			assert.Equal(t, "Rating:postCharge", string(m.Name))
			assert.Equal(t, Call, m.Type)
			assert.Equal(t, int32(7), m.Seq)
			id, ok := Field(m.Info, 1, String)
			assert.True(t, ok)
			assert.Equal(t, "q1", string(m.Text(id)))
			deadline, ok := Field(m.Info, 2, I32)
			assert.True(t, ok)
			assert.Equal(t, int64(480), m.Number(deadline))
			retry, ok := Field(m.Info, 5, Bool)
			assert.True(t, ok)
			assert.Equal(t, int64(1), m.Number(retry))
			if f.Transport == Header {
				v, _ := m.Header("deadline")
				assert.Equal(t, "480", string(v))
			}
			for _, to := range forms {
				out := Append(nil, Outgoing{Message: m, Form: to, Seq: 7, Headers: m.Headers})
				got, left, err := describe(to, out)
				require.NoError(t, err, "%v to %v", f, to)
				assert.Equal(t, want, got, "%v to %v", f, to)
				assert.Zero(t, left)
				out = Append(nil, Outgoing{Message: m, Form: to, Seq: 99, Change: &Change{deadline, 70000}})
				got, _, err = describe(to, out)
				require.NoError(t, err)
				changed := strings.Replace(strings.Replace(want, " 480", " 70000", 1), "7 {", "99 {", 1)
				assert.Equal(t, changed, got, "%v to %v", f, to)
			}
		}
	}
}

// Guards against accepting messages with excessive lengths, excessive nesting or contradictory fields, or bytes
// that are not Thrift. None may take memory out of proportion to the bytes that have arrived.
func TestMalformedMessages(t *testing.T) {
	frame := func(n uint32, rest string) string {
		return string(binary.BigEndian.AppendUint32(nil, n)) + rest
	}
	head := "\x80\x01\x00\x01\x00\x00\x00\x01p\x00\x00\x00\x07" // a strict binary call of method p
	old := "\x00\x00\x00\x01p\x01\x00\x00\x00\x07"
	compactHead := "\x82\x21\x07\x01p"
	for what, c := range map[string]struct {
		data string
		want error
	}{
		"a frame of 2 GB":                   {frame(1<<31-1, ""), ErrTooLarge},
		"a frame of 0":                      {frame(0, ""), ErrMalformed},
		"a negative frame":                  {frame(1<<31, head), ErrMalformed},
		"HTTP":                              {"POST /post-charge HTTP/1.1\r\n", ErrNotThrift},
		"a string beyond its frame":         {frame(13+7+1, head+"\x0b\x00\x01\x00\x00\x00\x05a"), ErrMalformed},
		"trailing bytes in a frame":         {frame(15, head+"\x00\x00"), ErrMalformed},
		"a negative string":                 {head + "\x0b\x00\x01\xff\xff\xff\xff", ErrMalformed},
		"a string of 2 GB":                  {head + "\x0b\x00\x01\x7f\xff\xff\xff", ErrTooLarge},
		"a list of 2 billion":               {head + "\x0f\x00\x01\x08\x7f\xff\xff\xff", ErrTooLarge},
		"a list of too many numbers":        {head + "\x0f\x00\x01\x0a\x00\x00\xff\xff", ErrTooLarge},
		"a list of an unknown kind":         {head + "\x0f\x00\x01\x05\x00\x00\x00\x01", ErrMalformed},
		"an unknown kind":                   {head + "\x05\x00\x01", ErrMalformed},
		"another version":                   {"\x80\x02\x00\x01", ErrMalformed},
		"an unknown message type":           {strings.Replace(head, "\x00\x01\x00", "\x00\x09\x00", 1), ErrMalformed},
		"an empty name":                     {"\x80\x01\x00\x01\x00\x00\x00\x00\x00\x00\x00\x07\x00", ErrMalformed},
		"a name with a line feed":           {strings.Replace(head, "p", "\n", 1), ErrMalformed},
		"nesting of 10,000":                 {head + strings.Repeat("\x0c\x00\x01", 10000), ErrTooDeep},
		"nesting of 10,000, compact":        {compactHead + strings.Repeat("\x1c", 10000), ErrTooDeep},
		"nesting of 10,000 lists":           {compactHead + "\x19" + strings.Repeat("\x19", 10000), ErrTooDeep},
		"an unterminated varint":            {"\x82\x21" + strings.Repeat("\xff", 20), ErrMalformed},
		"compact, another version":          {"\x82\x22\x07\x01p\x00", ErrMalformed},
		"old binary without a known kind":   {old + "\x05\x00\x01", ErrMalformed},
		"another form after the first":      {head + "\x00" + compactHead + "\x00", ErrOtherForm},
		"another form in a frame":           {frame(14, head+"\x00") + frame(6, compactHead+"\x00"), ErrOtherForm},
		"a header with a transform":         {frame(64, "\x0f\xff\x00\x00\x00\x00\x00\x01\x00\x01\x00\x01\x01\x00"+head), ErrTransform},
		"a header larger than its frame":    {frame(16, "\x0f\xff\x00\x00\x00\x00\x00\x01\x00\x09\x00\x00\x00\x00"+head), ErrMalformed},
		"a header with a name of 1 GB":      {frame(64, "\x0f\xff\x00\x00\x00\x00\x00\x01\x00\x02\x00\x00\x01\x01\xff\xff\xff\x7f"+head), ErrMalformed},
		"a header with an unknown protocol": {frame(64, "\x0f\xff\x00\x00\x00\x00\x00\x01\x00\x01\x07\x00\x00\x00"+head), ErrMalformed},
	} {
		for _, piece := range []int{1, 1 << 20} {
			r := NewReader(DefaultLimits)
			list, err := read(r, []byte(c.data), piece)
			assert.ErrorIs(t, err, c.want, what)
			assert.LessOrEqual(t, len(list), 1, what)
			_, again := r.Next()
			assert.Equal(t, err, again, "an error is permanent")
			assert.LessOrEqual(t, cap(r.all), 2*len(c.data)+64, what)
		}
	}
}

// FuzzReader guards against a result that depends on how the bytes are split, against a boundary or a meaning that
// differs from the official library's, and against a conversion that changes either.
func FuzzReader(f *testing.F) {
	for _, form := range forms {
		f.Add(write(f, form, 7), uint8(3))
	}
	f.Add([]byte("\x00\x00\x00\x0e\x80\x01\x00\x01\x00\x00\x00\x01p\x00\x00\x00\x07\x00"), uint8(1))
	f.Add([]byte("\x82\x21\x07\x01p\x19\x1c\x15\x02\x00\x00"), uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		whole, err := read(NewReader(DefaultLimits), data, len(data)+1)
		parts, err2 := read(NewReader(DefaultLimits), data, int(piece)+1)
		require.Equal(t, err == nil, err2 == nil)
		require.Equal(t, len(whole), len(parts))
		for i, m := range whole {
			require.Equal(t, m, parts[i])
			plain := Form{m.Form.Protocol, Unframed}
			want, left, err := describe(plain, m.Bytes)
			if err != nil && strings.Contains(err.Error(), "too deep") {
				continue
			}
			require.NoError(t, err)
			require.Zero(t, left)
			for _, to := range []Form{{Compact, Framed}, {Binary, Unframed}, plain} {
				got, left, err := describe(to, Append(nil, Outgoing{Message: m, Form: to, Seq: m.Seq}))
				require.NoError(t, err)
				require.Zero(t, left)
				require.Equal(t, want, got)
			}
		}
	})
}

// BenchmarkReader measures finding the boundary of one message, compared with skipping it with the official library.
func BenchmarkReader(b *testing.B) {
	for _, f := range []Form{{Binary, Framed}, {Compact, Unframed}} {
		data := write(b, f, 7)
		b.Run(f.String(), func(b *testing.B) {
			b.ReportAllocs()
			r := NewReaderOf(f, DefaultLimits)
			for b.Loop() {
				r.Feed(data)
				if m, err := r.Next(); m == nil || err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(f.String()+", official library", func(b *testing.B) {
			b.ReportAllocs()
			buf := official.NewTMemoryBuffer()
			p := libraryProtocol(f, buf)
			for b.Loop() {
				buf.Write(data)
				if _, _, _, err := p.ReadMessageBegin(ctx); err != nil {
					b.Fatal(err)
				}
				if err := p.Skip(ctx, official.STRUCT); err != nil {
					b.Fatal(err)
				}
				if err := p.ReadMessageEnd(ctx); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
