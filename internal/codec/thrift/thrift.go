// Package thrift reads and writes Apache Thrift messages piece by piece, with no input or output of its own: their
// boundaries in every form, the few fields that a proxy needs, and the same message in another form. It builds no tree of
// values and compiles no interface in.
//
// The forms are those of the protocol specifications: the binary protocol, strict and old, and the compact protocol, each
// framed (four bytes of length before each message) or not, and the header transport, a frame whose own header carries
// names and values beside a message of either protocol.
//
// Bounds: a message holds at most Limits.Message bytes and nests at most Limits.Depth deep. A length that a message claims
// costs nothing until the bytes have come; each byte is looked at once, however small the pieces are.
package thrift

import "errors"

// Protocol is how values are written.
type Protocol uint8

// The protocols.
const (
	Binary  Protocol = iota // fixed widths, with a version in front
	Old                     // the binary protocol as it was before it had a version
	Compact                 // variable widths
)

// Transport is how messages are told apart.
type Transport uint8

// The transports.
const (
	Framed   Transport = iota // by a length in front
	Unframed                  // by nothing but their own grammar
	Header                    // framed, with a header of names and values
)

// Form is how a message is written.
type Form struct {
	Protocol  Protocol
	Transport Transport
}

var (
	protocolNames  = [...]string{Binary: "binary", Old: "old binary", Compact: "compact"}
	transportNames = [...]string{Framed: "framed", Unframed: "unframed", Header: "header"}
)

func (f Form) String() string { return transportNames[f.Transport] + " " + protocolNames[f.Protocol] }

// Type is what a message is.
type Type uint8

// The types of messages.
const (
	Call      Type = 1
	Reply     Type = 2
	Exception Type = 3 // the content is an application exception
	OneWay    Type = 4 // no answer is expected
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

// Limits bound what a message may be.
type Limits struct {
	Message int // bytes of a message, without the frame's length and header
	Header  int // bytes of a header transport's header
	Depth   int // structs, lists, sets and maps within each other
}

// DefaultLimits are the limits of the platform's messages.
var DefaultLimits = Limits{Message: 64<<10 + 4<<10, Header: 16 << 10, Depth: 64}

// What can be wrong with a message.
var (
	ErrMalformed = errors.New("malformed Thrift message")
	ErrTooLarge  = errors.New("a Thrift message that is too large")
	ErrTooDeep   = errors.New("a Thrift message that nests too deep")
	ErrOtherForm = errors.New("a Thrift message in another form than those before it")
	ErrNotThrift = errors.New("not a Thrift message")
	ErrTransform = errors.New("header transport with transforms, which are not spoken here")
)

// Value is where a field's value stands in the bytes of its message.
type Value struct {
	ID       int16
	Kind     Kind
	From, To int  // of the value itself; nothing for a compact bool, which stands in the field's header
	True     bool // of such a bool
}

// The most fields that a message remembers; further ones are read over.
const (
	mostTop  = 4
	mostInfo = 12
)

// Info is one name and value of a header transport's header.
type Info struct{ Name, Value []byte }

// Message is one whole message. Its memory is its own.
type Message struct {
	Form    Form
	Type    Type
	Name    []byte // of the method
	Seq     int32
	Bytes   []byte  // the message as it came, without the frame's length and header
	Top     []Value // fields of its arguments or its result, as many as are remembered
	Info    []Value // fields of the first of these that is a struct
	Headers []Info  // of a header transport,

	HeaderSeq uint32 // and its own sequence id

	nameFrom, nameTo int // where the name stands,
	seqFrom, seqTo   int // the sequence id,
	hasInfo          bool
	content          int // and where the struct of arguments or result begins
}

// Text is the value of a string field.
func (m *Message) Text(v Value) []byte {
	if v.Kind != String {
		return nil
	}
	_, n := m.length(v.From)
	return m.Bytes[v.From+n : v.To]
}

// length reads the length of a string at a place, and how many bytes tell it.
func (m *Message) length(at int) (length, n int) {
	if m.Form.Protocol != Compact {
		return int(be32(m.Bytes[at:])), 4
	}
	u, n, _ := uvarint(m.Bytes[at:])
	return int(u), n
}

// Number is the value of an integer field, or of a bool as 0 or 1.
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

// Field finds a field by its id.
func Field(list []Value, id int16, kind Kind) (Value, bool) {
	for _, v := range list {
		if v.ID == id {
			return v, v.Kind == kind
		}
	}
	return Value{}, false
}

// Header finds a value of the header transport's header; the last of a name counts.
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

// uvarint reads a variable-width number; n is 0 while bytes are missing, and ok is false for one over 64 bits.
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

// Rest is what the content holds behind a top field, or all of it where there is none.
func (m *Message) Rest(id int16) []byte {
	for _, v := range m.Top {
		if v.ID == id {
			return m.Bytes[v.To:]
		}
	}
	return m.Bytes[m.content:]
}
