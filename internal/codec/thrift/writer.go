package thrift

import (
	"math"
	"slices"
)

// Change replaces the value of one integer field of a message.
type Change struct {
	Value Value
	To    int64
}

// Outgoing is a message to be serialized.
type Outgoing struct {
	Message *Message
	Form    Form // to serialize it in, independent of the form in which it was received
	Seq     int32
	Change  *Change // nil = none
	Headers []Info  // of a header transport
	HeadSeq uint32  // sequence id of a header transport
}

// Append appends a serialized message. If the protocol stays the same, the content is copied byte for byte except
// for the change.
func Append(dst []byte, o Outgoing) []byte {
	start := len(dst)
	if o.Form.Transport != Unframed {
		dst = append(dst, 0, 0, 0, 0)
	}
	if o.Form.Transport == Header {
		dst = appendHeader(dst, o)
	}
	dst = appendHead(dst, o)
	m := o.Message
	content := m.Bytes[m.content:]
	if c := o.Change; c != nil {
		content = slices.Concat(m.Bytes[m.content:c.Value.From], m.Form.Protocol.number(c.Value.Kind, c.To),
			m.Bytes[c.Value.To:])
	}
	if (m.Form.Protocol == Compact) == (o.Form.Protocol == Compact) {
		dst = append(dst, content...)
	} else {
		t := transcoder{in: content, compact: o.Form.Protocol == Compact, out: dst}
		t.fields()
		dst = t.out
	}
	if o.Form.Transport != Unframed {
		put32(dst[start:], uint32(len(dst)-start-4))
	}
	return dst
}

// appendHead appends what precedes the content.
func appendHead(dst []byte, o Outgoing) []byte {
	m := o.Message
	switch o.Form.Protocol {
	case Compact:
		dst = append(dst, 0x82, byte(m.Type)<<5|1)
		dst = appendUvarint(dst, uint64(uint32(o.Seq)))
		return append(appendUvarint(dst, uint64(len(m.Name))), m.Name...)
	case Old:
		dst = append(append32(dst, uint32(len(m.Name))), m.Name...)
		return append32(append(dst, byte(m.Type)), uint32(o.Seq))
	}
	dst = append(dst, 0x80, 1, 0, byte(m.Type))
	dst = append(append32(dst, uint32(len(m.Name))), m.Name...)
	return append32(dst, uint32(o.Seq))
}

// appendHeader appends a header transport's header.
func appendHeader(dst []byte, o Outgoing) []byte {
	dst = append(dst, headerMagic>>8, headerMagic&0xff, 0, 0)
	dst = append(append32(dst, o.HeadSeq), 0, 0)
	from := len(dst)
	number := byte(headerBinary)
	if o.Form.Protocol == Compact {
		number = headerCompact
	}
	dst = append(dst, number, 0)
	if len(o.Headers) > 0 {
		dst = appendUvarint(append(dst, headerInfos), uint64(len(o.Headers)))
		for _, h := range o.Headers {
			dst = append(appendUvarint(dst, uint64(len(h.Name))), h.Name...)
			dst = append(appendUvarint(dst, uint64(len(h.Value))), h.Value...)
		}
	}
	for (len(dst)-from)%4 != 0 {
		dst = append(dst, 0)
	}
	words := (len(dst) - from) / 4
	dst[from-2], dst[from-1] = byte(words>>8), byte(words)
	return dst
}

func append32(dst []byte, v uint32) []byte {
	return append(dst, byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
}

// number encodes an integer value.
func (p Protocol) number(k Kind, v int64) []byte {
	switch {
	case k == Byte:
		return []byte{byte(v)}
	case p == Compact:
		return appendUvarint(nil, zigzag(v))
	case k == I16:
		return []byte{byte(v >> 8), byte(v)}
	case k == I32:
		return append32(nil, uint32(v))
	}
	return append32(append32(nil, uint32(v>>32)), uint32(v))
}

// transcoder converts a struct that a scanner has already validated between the binary and the compact protocol.
type transcoder struct {
	in      []byte
	compact bool // convert to the compact protocol, else from it
	out     []byte
}

func (t *transcoder) consume(n int) []byte {
	b := t.in[:n]
	t.in = t.in[n:]
	return b
}

func (t *transcoder) uvarint() uint64 {
	v, n, _ := uvarint(t.in)
	t.in = t.in[n:]
	return v
}

// fields converts the fields of a struct, including the end marker.
func (t *transcoder) fields() {
	lastIn, lastOut := int16(0), int16(0)
	for {
		head := t.consume(1)[0]
		if head == 0 {
			t.out = append(t.out, 0)
			return
		}
		if t.compact {
			b := t.consume(2)
			id, kind := int16(uint16(b[0])<<8|uint16(b[1])), Kind(head)
			code := compactCode(kind)
			if kind == Bool && t.consume(1)[0] != 1 {
				code = 2
			}
			if delta := int(id) - int(lastOut); delta > 0 && delta <= 15 {
				t.out = append(t.out, byte(delta)<<4|code)
			} else {
				t.out = appendUvarint(append(t.out, code), zigzag(int64(id)))
			}
			lastOut = id
			if kind != Bool {
				t.value(kind)
			}
			continue
		}
		kind := compactKind(head & 0x0f)
		if delta := head >> 4; delta > 0 {
			lastIn += int16(delta)
		} else {
			lastIn = int16(unzigzag(t.uvarint()))
		}
		t.out = append(t.out, byte(kind), byte(uint16(lastIn)>>8), byte(lastIn))
		if kind == Bool {
			t.out = append(t.out, boolByte(head&0x0f == 1))
		} else {
			t.value(kind)
		}
	}
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func compactCode(k Kind) byte {
	for code := byte(1); code <= 13; code++ {
		if compactKinds[code] == k {
			return code
		}
	}
	return 0
}

// value converts one value.
func (t *transcoder) value(k Kind) {
	switch k {
	case Struct:
		t.fields()
	case List, Set, Map:
		t.container(k)
	case String:
		var n int
		if t.compact {
			n = int(be32(t.consume(4)))
			t.out = appendUvarint(t.out, uint64(n))
		} else {
			n = int(t.uvarint())
			t.out = append32(t.out, uint32(n))
		}
		t.out = append(t.out, t.consume(n)...)
	case Bool: // in a container
		b := t.consume(1)[0]
		if t.compact && b != 1 {
			b = 2
		} else if !t.compact {
			b = boolByte(b == 1)
		}
		t.out = append(t.out, b)
	case Byte:
		t.out = append(t.out, t.consume(1)...)
	case UUID:
		t.out = append(t.out, t.consume(16)...)
	case Double: // the compact protocol has the opposite byte order
		t.out = append(t.out, t.consume(8)...)
		slices.Reverse(t.out[len(t.out)-8:])
	default:
		t.integer(k)
	}
}

func (t *transcoder) integer(k Kind) {
	if !t.compact {
		t.out = append(t.out, Binary.number(k, unzigzag(t.uvarint()))...)
		return
	}
	var v int64
	switch k {
	case I16:
		b := t.consume(2)
		v = int64(int16(uint16(b[0])<<8 | uint16(b[1])))
	case I32:
		v = int64(int32(be32(t.consume(4))))
	default:
		b := t.consume(8)
		v = int64(uint64(be32(b))<<32 | uint64(be32(b[4:])))
	}
	t.out = appendUvarint(t.out, zigzag(v))
}

// container converts a list, a set or a map.
func (t *transcoder) container(k Kind) {
	var key, value Kind
	size := 0
	switch {
	case t.compact && k == Map:
		b := t.consume(2)
		key, value = Kind(b[0]), Kind(b[1])
		if size = int(be32(t.consume(4))); size == 0 {
			t.out = append(t.out, 0)
			return
		}
		t.out = append(appendUvarint(t.out, uint64(size)), compactCode(key)<<4|compactCode(value))
	case t.compact:
		value = Kind(t.consume(1)[0])
		if size = int(be32(t.consume(4))); size < 15 {
			t.out = append(t.out, byte(size)<<4|compactCode(value))
		} else {
			t.out = appendUvarint(append(t.out, 0xf0|compactCode(value)), uint64(size))
		}
	case k == Map:
		if size = int(t.uvarint()); size > 0 {
			b := t.consume(1)[0]
			key, value = compactKind(b>>4), compactKind(b&0x0f)
		}
		t.out = append32(append(t.out, byte(key), byte(value)), uint32(size))
	default:
		b := t.consume(1)[0]
		value = compactKind(b & 0x0f)
		if size = int(b >> 4); size == 15 {
			size = int(t.uvarint())
		}
		t.out = append32(append(t.out, byte(value)), uint32(size))
	}
	for range size {
		if k == Map {
			t.value(key)
		}
		t.value(value)
	}
}

// Builder builds the content of a small message: a struct with fields in the order of the calls.
type Builder struct{ b []byte }

func (w *Builder) head(k Kind, id int16) { w.b = append(w.b, byte(k), byte(uint16(id)>>8), byte(id)) }

// Text adds a string field.
func (w *Builder) Text(id int16, v []byte) {
	w.head(String, id)
	w.b = append(append32(w.b, uint32(len(v))), v...)
}

// Number adds an i32 field; a value out of range is clamped.
func (w *Builder) Number(id int16, v int64) {
	w.head(I32, id)
	w.b = append32(w.b, uint32(int32(max(math.MinInt32, min(v, math.MaxInt32)))))
}

// Bool adds a bool field.
func (w *Builder) Bool(id int16, v bool) {
	w.head(Bool, id)
	w.b = append(w.b, boolByte(v))
}

// Begin opens a field that is a struct; End closes it.
func (w *Builder) Begin(id int16) { w.head(Struct, id) }

// End closes what Begin opened.
func (w *Builder) End() { w.b = append(w.b, 0) }

// Message returns a message whose content is the struct that was built.
func (w *Builder) Message(t Type, name []byte) *Message {
	return &Message{Form: Form{Protocol: Binary}, Type: t, Name: name, Bytes: append(w.b, 0)}
}

// Join returns a message with the fields of m, preceded by the first field of lead, whose content must be in the
// binary protocol. It omits the fields of m with the given id. The content is in the binary protocol.
func Join(lead *Message, id int16, m *Message) *Message {
	first := fieldEnd(lead.Bytes[lead.content:])
	content := append([]byte(nil), lead.Bytes[lead.content:lead.content+first]...)
	rest := m.Bytes[m.content:]
	if m.Form.Protocol == Compact {
		t := transcoder{in: rest}
		t.fields()
		rest = t.out
	}
	for len(rest) > 0 && rest[0] != byte(Stop) {
		n := fieldEnd(rest)
		if int16(uint16(rest[1])<<8|uint16(rest[2])) != id {
			content = append(content, rest[:n]...)
		}
		rest = rest[n:]
	}
	return &Message{Form: Form{Protocol: Binary}, Type: m.Type, Name: m.Name, Seq: m.Seq, Bytes: append(content, byte(Stop))}
}

// fieldEnd returns the length in bytes of the first field of a struct's content in the binary protocol.
func fieldEnd(b []byte) int {
	t := transcoder{in: b[3:], compact: true} // its output is discarded
	if Kind(b[0]) == Bool {
		return 4
	}
	t.value(Kind(b[0]))
	return len(b) - len(t.in)
}
