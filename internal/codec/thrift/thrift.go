// Package thrift parses and serializes Apache Thrift messages incrementally. It does no I/O of its own. It finds
// message boundaries in every form, extracts the few fields that a proxy needs, and converts a message to another
// form. It builds no tree of values and has no interface definitions compiled in.
//
// The forms are those of the protocol specifications: the binary protocol, strict and old, and the compact
// protocol, each framed (a length of four bytes before each message) or unframed; and the header transport, a
// frame with its own header that carries names and values next to a message of either protocol.
//
// Bounds: a message holds at most Limits.Message bytes and nests at most Limits.Depth levels deep. No memory is
// allocated for a claimed length until the bytes have arrived; each byte is scanned once, however small the pieces
// are.
package thrift

import "errors"

// Protocol is the encoding of values.
type Protocol uint8

// The protocols.
const (
	Binary  Protocol = iota // fixed-width values, preceded by a version
	Old                     // the binary protocol without a version (non-strict)
	Compact                 // variable-width integers
)

// Transport is how messages are delimited.
type Transport uint8

// The transports.
const (
	Framed   Transport = iota // by a length prefix
	Unframed                  // only by the message's own structure
	Header                    // framed, with a header of names and values
)

// Form is the encoding of a message: protocol and transport.
type Form struct {
	Protocol  Protocol
	Transport Transport
}

var (
	protocolNames  = [...]string{Binary: "binary", Old: "old binary", Compact: "compact"}
	transportNames = [...]string{Framed: "framed", Unframed: "unframed", Header: "header"}
)

func (f Form) String() string { return transportNames[f.Transport] + " " + protocolNames[f.Protocol] }

// Type is the type of a message.
type Type uint8

// The types of messages.
const (
	Call      Type = 1
	Reply     Type = 2
	Exception Type = 3 // the content is an application exception
	OneWay    Type = 4 // no reply is expected
)

// Kind is the type of a value, numbered as in the binary protocol.
type Kind uint8

// The kinds.
const (
	Stop   Kind = 0
	Bool   Kind = 2
	Byte   Kind = 3
	Double Kind = 4
	I16    Kind = 6
	I32    Kind = 8
	I64    Kind = 10
	String Kind = 11 // or binary
	Struct Kind = 12
	Map    Kind = 13
	Set    Kind = 14
	List   Kind = 15
	UUID   Kind = 16
)

// Limits bound the size and the nesting of a message.
type Limits struct {
	Message int // bytes of a message, without the frame's length and header
	Header  int // bytes of a header transport's header
	Depth   int // nesting levels of structs, lists, sets and maps
}

// DefaultLimits are the limits of the platform's messages.
var DefaultLimits = Limits{Message: 64<<10 + 4<<10, Header: 16 << 10, Depth: 64}

// Errors that parsing a message may return.
var (
	ErrMalformed = errors.New("malformed Thrift message")
	ErrTooLarge  = errors.New("a Thrift message that is too large")
	ErrTooDeep   = errors.New("a Thrift message that nests too deep")
	ErrOtherForm = errors.New("a Thrift message in another form than those before it")
	ErrNotThrift = errors.New("not a Thrift message")
	ErrTransform = errors.New("header transport with transforms, which are not spoken here")
)

// Value is the position of a field's value in the bytes of its message.
type Value struct {
	ID       int16
	Kind     Kind
	From, To int  // offsets of the value; equal for a compact bool, which is encoded in the field's header
	True     bool // the value of such a bool
}

// The maximum numbers of fields that a message records; further fields are skipped.
const (
	maxTopFields  = 4
	maxInfoFields = 12
)

// Info is one name-value pair of a header transport's header.
type Info struct{ Name, Value []byte }

// Message is one complete message. It shares no memory with the reader.
type Message struct {
	Form    Form
	Type    Type
	Name    []byte // of the method
	Seq     int32
	Bytes   []byte  // the message as received, without the frame's length and header
	Top     []Value // fields of the arguments or the result, up to maxTopFields
	Info    []Value // fields of the first struct among these, up to maxInfoFields
	Headers []Info  // name-value pairs of a header transport

	HeaderSeq uint32 // sequence id of a header transport's header

	nameFrom, nameTo int  // offsets of the name in Bytes
	seqFrom, seqTo   int  // offsets of the sequence id in Bytes
	hasInfo          bool // the struct whose fields are recorded in Info was found
	content          int  // offset in Bytes of the struct of arguments or result
}

// Text returns the value of a string field, or nil for another kind.
func (m *Message) Text(v Value) []byte {
	if v.Kind != String {
		return nil
	}
	_, n := m.length(v.From)
	return m.Bytes[v.From+n : v.To]
}

// length decodes the length of the string at an offset; n is the number of bytes that encode it.
func (m *Message) length(at int) (length, n int) {
	if m.Form.Protocol != Compact {
		return int(be32(m.Bytes[at:])), 4
	}
	u, n, _ := uvarint(m.Bytes[at:])
	return int(u), n
}

// Number returns the value of an integer field, or of a bool as 0 or 1. It returns 0 for other kinds.
func (m *Message) Number(v Value) int64 {
	b := m.Bytes[v.From:v.To]
	switch {
	case v.Kind == Byte:
		return int64(int8(b[0]))
	case v.Kind == Bool && (v.True || len(b) > 0 && b[0] == 1):
		return 1
	case v.Kind != I16 && v.Kind != I32 && v.Kind != I64:
		return 0
	case m.Form.Protocol == Compact:
		u, _, _ := uvarint(b)
		return unzigzag(u)
	case v.Kind == I16:
		return int64(int16(uint16(b[0])<<8 | uint16(b[1])))
	case v.Kind == I32:
		return int64(int32(be32(b)))
	}
	return int64(uint64(be32(b))<<32 | uint64(be32(b[4:])))
}

// Field finds a field by its id, and reports whether it exists and has the given kind.
func Field(list []Value, id int16, kind Kind) (Value, bool) {
	for _, v := range list {
		if v.ID == id {
			return v, v.Kind == kind
		}
	}
	return Value{}, false
}

// Header returns the value of a name in the header transport's header. If a name is repeated, its last value counts.
func (m *Message) Header(name string) (value []byte, ok bool) {
	for _, h := range m.Headers {
		if string(h.Name) == name {
			value, ok = h.Value, true
		}
	}
	return value, ok
}

func be32(b []byte) uint32 {
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

func put32(b []byte, v uint32) {
	b[0], b[1], b[2], b[3] = byte(v>>24), byte(v>>16), byte(v>>8), byte(v)
}

// uvarint decodes a variable-width number. n is 0 while bytes are missing, and ok is false for a number over 64 bits.
func uvarint(b []byte) (v uint64, n int, ok bool) {
	for i, c := range b {
		if i == 9 && c > 1 {
			return 0, 0, false
		}
		v |= uint64(c&0x7f) << (7 * i)
		if c < 0x80 {
			return v, i + 1, true
		}
	}
	return 0, 0, true
}

func appendUvarint(dst []byte, v uint64) []byte {
	for v >= 0x80 {
		dst = append(dst, byte(v)|0x80)
		v >>= 7
	}
	return append(dst, byte(v))
}

func zigzag(v int64) uint64   { return uint64(v<<1) ^ uint64(v>>63) }
func unzigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// Rest returns the part of the content that follows the top field with the given id, or the whole content if there
// is no such field.
func (m *Message) Rest(id int16) []byte {
	for _, v := range m.Top {
		if v.ID == id {
			return m.Bytes[v.To:]
		}
	}
	return m.Bytes[m.content:]
}
