package thrift

// scanner finds the end of one message. It keeps its position between pieces, so that no byte is scanned twice, and
// records the positions of the fields that a proxy needs.
type scanner struct {
	protocol Protocol
	limits   Limits
	msg      *Message
	step     step
	at       int // offset of the next byte to scan
	levels   []level

	skip          int // bytes to skip: a string, or several values of fixed width
	pending       Value
	recordPending bool // record pending once these bytes are skipped
}

// step is what the scanner expects next.
type step uint8

const (
	atVersion step = iota // of the message
	atName
	atType // old binary: after the name
	atSeq  // binary: after the name
	atField
	atItem
	atEnd
)

// level is a struct or container whose end has not been scanned yet.
type level struct {
	kind       Kind // Struct, List, Set or Map
	left       int  // values remaining in a container; a map's keys and values count separately
	key, value Kind // of a container
	last       int16
	self       Value // the field that holds this level, if the enclosing level is a struct
	recording  recording
}

// recording is the list in which a struct's fields are recorded.
type recording uint8

const (
	recordNone recording = iota
	recordTop
	recordInfo
)

func (s *scanner) reset(p Protocol, limits Limits, m *Message) {
	*s = scanner{protocol: p, limits: limits, msg: m, levels: s.levels[:0]}
	if p == Old {
		s.step = atName
	}
}

const (
	maxName  = 256
	maxToken = maxName + 16 // no single step needs this many bytes
)

// scan scans buf, which holds the part of the message that has arrived, from its first byte. It reports whether the
// message is complete; it then ends at s.at.
func (s *scanner) scan(buf []byte) (whole bool, err error) {
	for s.step != atEnd {
		if s.skip > 0 {
			n := min(s.skip, len(buf)-s.at)
			s.at += n
			if s.skip -= n; s.skip > 0 {
				return false, nil
			}
			if s.recordPending {
				s.recordPending = false
				s.record(s.pending)
			}
			continue
		}
		n, err := s.next(buf[s.at:])
		if err != nil {
			return false, err
		}
		if n < 0 {
			if len(buf)-s.at > maxToken {
				return false, ErrMalformed
			}
			return false, nil
		}
		if s.at += n; s.at+s.skip > s.limits.Message {
			return false, ErrTooLarge
		}
	}
	return true, nil
}

// missing is what a step returns while some of its bytes have not arrived; the step has then changed nothing.
const missing = -1

// next scans one token at the start of b and returns its length in bytes.
func (s *scanner) next(b []byte) (n int, err error) {
	switch s.step {
	case atVersion:
		return s.version(b)
	case atName:
		return s.name(b)
	case atType:
		if len(b) < 5 {
			return missing, nil
		}
		s.msg.Type = Type(b[0])
		s.seq(s.at+1, 4, be32(b[1:]))
		return 5, s.begin(5)
	case atSeq:
		if len(b) < 4 {
			return missing, nil
		}
		s.seq(s.at, 4, be32(b))
		return 4, s.begin(4)
	case atField:
		return s.field(b)
	}
	return s.item(b)
}

func (s *scanner) seq(from, n int, v uint32) {
	s.msg.Seq, s.msg.seqFrom, s.msg.seqTo = int32(v), from, from+n
}

// version scans what precedes the name.
func (s *scanner) version(b []byte) (int, error) {
	if s.protocol != Compact {
		if len(b) < 4 {
			return missing, nil
		}
		if b[0] != 0x80 || b[1] != 1 {
			return 0, ErrMalformed
		}
		s.msg.Type, s.step = Type(b[3]), atName
		return 4, nil
	}
	if len(b) < 2 {
		return missing, nil
	}
	if b[0] != 0x82 || b[1]&0x1f != 1 {
		return 0, ErrMalformed
	}
	v, n, err := varint(b[2:], 5)
	if n <= 0 {
		return n, err
	}
	s.msg.Type, s.step = Type(b[1]>>5), atName
	s.seq(s.at+2, n, uint32(v))
	return 2 + n, nil
}

// varint decodes a variable-width number of at most maxBytes bytes; n is missing while they have not arrived.
func varint(b []byte, maxBytes int) (v uint64, n int, err error) {
	v, n, ok := uvarint(b[:min(len(b), maxBytes)])
	switch {
	case !ok || n == 0 && len(b) >= maxBytes:
		return 0, 0, ErrMalformed
	case n == 0:
		return 0, missing, nil
	}
	return v, n, nil
}

// size decodes the length of a string or the number of values in a container.
func (s *scanner) size(b []byte) (size, n int, err error) {
	v := uint64(0)
	if s.protocol == Compact {
		if v, n, err = varint(b, 5); n <= 0 {
			return 0, n, err
		}
	} else {
		if len(b) < 4 {
			return 0, missing, nil
		}
		v, n = uint64(be32(b)), 4
	}
	switch {
	case v > 1<<31-1:
		return 0, 0, ErrMalformed // negative
	case v > uint64(s.limits.Message):
		return 0, 0, ErrTooLarge // each value has at least one byte
	}
	return int(v), n, nil
}

// name scans the method's name and its length.
func (s *scanner) name(b []byte) (int, error) {
	size, n, err := s.size(b)
	if n <= 0 {
		return n, err
	}
	if size == 0 || size > maxName {
		return 0, ErrMalformed
	}
	if len(b) < n+size {
		return missing, nil
	}
	for _, c := range b[n : n+size] {
		if c <= ' ' || c >= 0x7f {
			return 0, ErrMalformed
		}
	}
	s.msg.nameFrom, s.msg.nameTo = s.at+n, s.at+n+size
	switch n += size; s.protocol {
	case Compact:
		return n, s.begin(n)
	case Old:
		s.step = atType
	default:
		s.step = atSeq
	}
	return n, nil
}

// begin opens the struct of arguments or of the result, which follows the n bytes of the current step.
func (s *scanner) begin(n int) error {
	if s.msg.Type < Call || s.msg.Type > OneWay {
		return ErrMalformed
	}
	s.msg.content = s.at + n
	s.levels = append(s.levels, level{kind: Struct, recording: recordTop})
	s.step = atField
	return nil
}

// field scans a field's header and the start of its value, or the end of a struct.
func (s *scanner) field(b []byte) (int, error) {
	if len(b) == 0 {
		return missing, nil
	}
	if b[0] == 0 {
		s.leave(s.at + 1)
		return 1, nil
	}
	depth := len(s.levels) - 1 // computed first, since the value may open a level
	v, n := Value{Kind: Kind(b[0])}, 3
	if s.protocol == Compact {
		id, read, err := s.compactID(b)
		if read <= 0 {
			return read, err
		}
		v, n = Value{ID: id, Kind: compactKind(b[0] & 0x0f), True: b[0]&0x0f == 1}, read
	} else {
		if len(b) < 3 {
			return missing, nil
		}
		v.ID = int16(uint16(b[1])<<8 | uint16(b[2]))
	}
	if !known(v.Kind) {
		return 0, ErrMalformed
	}
	v.From = s.at + n
	if v.Kind == Bool && s.protocol == Compact {
		v.To = v.From
		s.record(v)
		s.levels[depth].last = v.ID
		return n, nil
	}
	read, err := s.value(b[n:], v, true)
	if read < 0 || err != nil {
		return read, err
	}
	s.levels[depth].last = v.ID
	return n + read, nil
}

// compactID decodes the id of a compact field from its header.
func (s *scanner) compactID(b []byte) (id int16, n int, err error) {
	if delta := b[0] >> 4; delta > 0 {
		return s.levels[len(s.levels)-1].last + int16(delta), 1, nil
	}
	u, n, err := varint(b[1:], 5)
	if n <= 0 {
		return 0, n, err
	}
	return int16(unzigzag(u)), 1 + n, nil
}

// item scans the start of one value of a container, or all of its values if their widths are fixed.
func (s *scanner) item(b []byte) (int, error) {
	depth := len(s.levels) - 1
	l := &s.levels[depth]
	if l.left == 0 {
		s.leave(s.at)
		return 0, nil
	}
	if key, value := s.width(l.key), s.width(l.value); value > 0 && (l.kind != Map || key > 0) {
		if s.skip = value * l.left; l.kind == Map {
			s.skip = (key + value) * (l.left / 2)
		}
		l.left = 0
		return 0, nil
	}
	kind := l.value
	if l.kind == Map && l.left%2 == 0 {
		kind = l.key
	} else if l.kind != Map && (kind == I16 || kind == I32 || kind == I64) {
		return l.varints(b)
	}
	n, err := s.value(b, Value{Kind: kind, From: s.at}, false)
	if n >= 0 && err == nil {
		s.levels[depth].left--
	}
	return n, err
}

// varints scans as many of a container's variable-width numbers as have arrived.
func (l *level) varints(b []byte) (n int, err error) {
	for l.left > 0 {
		_, read, err := varint(b[n:], 10)
		switch {
		case err != nil:
			return 0, err
		case read < 0 && n == 0:
			return missing, nil
		case read < 0:
			return n, nil
		}
		n += read
		l.left--
	}
	return n, nil
}

// value scans the start of a value, or all of a short one. Only the values of fields are recorded.
func (s *scanner) value(b []byte, v Value, field bool) (n int, err error) {
	switch v.Kind {
	case Struct:
		return 0, s.enter(level{kind: Struct, self: v})
	case List, Set, Map:
		l := level{kind: v.Kind, self: v}
		if n, err = s.container(b, &l); n <= 0 {
			return n, err
		}
		return n, s.enter(l)
	case String:
		size, n, err := s.size(b)
		if n <= 0 {
			return n, err
		}
		s.skip = size
		v.To = v.From + n + size
		if s.pending, s.recordPending = v, field && size > 0; field && size == 0 {
			s.record(v)
		}
		return n, nil
	}
	if n = s.width(v.Kind); n == 0 {
		if _, n, err = varint(b, 10); n <= 0 {
			return n, err
		}
	} else if len(b) < n {
		return missing, nil
	}
	if v.To = v.From + n; field {
		s.record(v)
	}
	return n, nil
}

// container scans the header of a list, a set or a map.
func (s *scanner) container(b []byte, l *level) (n int, err error) {
	if s.protocol == Compact {
		return s.compactContainer(b, l)
	}
	head := 1
	if l.kind == Map {
		head = 2
	}
	if len(b) < head+4 {
		return missing, nil
	}
	size, n, err := s.size(b[head:])
	if n <= 0 {
		return n, err
	}
	l.left, l.key, l.value = size, Kind(b[0]), Kind(b[head-1])
	if l.kind == Map {
		l.left *= 2
	}
	if size > 0 && !(known(l.key) && known(l.value)) {
		return 0, ErrMalformed
	}
	return head + n, nil
}

func (s *scanner) compactContainer(b []byte, l *level) (n int, err error) {
	if len(b) == 0 {
		return missing, nil
	}
	if l.kind != Map {
		l.left, l.value = int(b[0]>>4), compactKind(b[0]&0x0f)
		n = 1
		if l.left == 15 {
			size, read, err := s.size(b[1:])
			if read <= 0 {
				return read, err
			}
			l.left, n = size, 1+read
		}
		if !known(l.value) && (l.left > 0 || b[0]&0x0f != 0) {
			return 0, ErrMalformed
		}
		return n, nil
	}
	size, n, err := s.size(b)
	if n <= 0 || size == 0 {
		return n, err
	}
	if len(b) < n+1 {
		return missing, nil
	}
	l.left, l.key, l.value = 2*size, compactKind(b[n]>>4), compactKind(b[n]&0x0f)
	if !known(l.key) || !known(l.value) {
		return 0, ErrMalformed
	}
	return n + 1, nil
}

// enter opens a level. The fields of the first struct among the arguments, or in the result, are recorded.
func (s *scanner) enter(l level) error {
	if len(s.levels) >= s.limits.Depth {
		return ErrTooDeep
	}
	if len(s.levels) == 1 && l.kind == Struct && !s.msg.hasInfo {
		s.msg.hasInfo = true
		l.recording = recordInfo
	}
	s.levels = append(s.levels, l)
	s.step = atField
	if l.kind != Struct {
		s.step = atItem
	}
	return nil
}

// leave closes the innermost level, which ends at offset end.
func (s *scanner) leave(end int) {
	l := s.levels[len(s.levels)-1]
	s.levels = s.levels[:len(s.levels)-1]
	if len(s.levels) == 0 {
		s.step = atEnd
		return
	}
	s.step = atItem
	if s.levels[len(s.levels)-1].kind == Struct {
		s.step = atField
		l.self.To = end
		s.record(l.self)
	}
}

// record appends a field of the innermost struct to the list in which that struct's fields are recorded, if any.
func (s *scanner) record(v Value) {
	switch s.levels[len(s.levels)-1].recording {
	case recordTop:
		if len(s.msg.Top) < maxTopFields {
			s.msg.Top = append(s.msg.Top, v)
		}
	case recordInfo:
		if len(s.msg.Info) < maxInfoFields {
			s.msg.Info = append(s.msg.Info, v)
		}
	}
}

// width returns the number of bytes of a kind of fixed width, or 0 for other kinds.
func (s *scanner) width(k Kind) int {
	switch k {
	case Bool, Byte:
		return 1
	case Double:
		return 8
	case UUID:
		return 16
	}
	if s.protocol != Compact {
		switch k {
		case I16:
			return 2
		case I32:
			return 4
		case I64:
			return 8
		}
	}
	return 0
}

func known(k Kind) bool {
	switch k {
	case Bool, Byte, Double, I16, I32, I64, String, Struct, Map, Set, List, UUID:
		return true
	}
	return false
}

var compactKinds = [16]Kind{1: Bool, 2: Bool, 3: Byte, 4: I16, 5: I32, 6: I64, 7: Double, 8: String, 9: List, 10: Set,
	11: Map, 12: Struct, 13: UUID}

func compactKind(b byte) Kind { return compactKinds[b] }
