package thrift

// Reader splits the bytes of one connection into messages.
type Reader struct {
	limits Limits
	form   Form
	known  bool // form is set; if false, it is detected from the first message

	buf  []byte // the unread part of all
	all  []byte // the memory that backs buf
	scan scanner
	msg  *Message // the message that is being read, nil between messages
	size int      // bytes of its frame without the length, -1 = unframed
	head int      // bytes before the message itself: the frame's length and header
	err  error
}

// NewReader returns a reader that detects the form of a connection's messages from the first one.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// NewReaderOf returns a reader of one form. It accepts both the strict and the old binary protocol if form has
// either.
func NewReaderOf(form Form, limits Limits) *Reader {
	return &Reader{limits: limits, form: form, known: true}
}

// Form returns the form of the messages, and whether it is known yet.
func (r *Reader) Form() (f Form, known bool) { return r.form, r.known }

// Feed appends received bytes to the reader's buffer.
func (r *Reader) Feed(data []byte) {
	// Consumed bytes are reclaimed once per Feed, so that many small messages cost no more than one large one.
	r.all = append(r.all[:copy(r.all[:cap(r.all)], r.buf)], data...)
	r.buf = r.all
}

// Idle reports whether no byte of a further message has arrived.
func (r *Reader) Idle() bool { return len(r.buf) == 0 && r.msg == nil }

// Buffered returns the number of bytes that belong to no message yet.
func (r *Reader) Buffered() int { return len(r.buf) }

// Next returns the next complete message, or nil while bytes are missing. An error is permanent.
func (r *Reader) Next() (*Message, error) {
	if r.err != nil {
		return nil, r.err
	}
	m, err := r.next()
	r.err = err
	return m, err
}

func (r *Reader) next() (*Message, error) {
	if r.msg == nil {
		ok, err := r.begin()
		if !ok || err != nil {
			return nil, err
		}
	}
	body, framed := r.buf[r.head:], r.size >= 0
	if framed {
		body = body[:min(len(body), 4+r.size-r.head)]
	}
	whole, err := r.scan.scan(body)
	switch {
	case err != nil:
		return nil, err
	case framed && !whole && len(r.buf) >= 4+r.size:
		return nil, ErrMalformed // a value in it extends beyond the frame
	case framed && whole && r.scan.at < 4+r.size-r.head:
		return nil, ErrMalformed // the frame extends beyond its message
	case !whole:
		return nil, nil
	}
	m := r.msg
	m.Bytes = append(make([]byte, 0, r.scan.at), body[:r.scan.at]...)
	m.Name = m.Bytes[m.nameFrom:m.nameTo]
	r.buf = r.buf[r.head+r.scan.at:]
	r.msg = nil
	if len(r.buf) == 0 && cap(r.all) > maxIdleBuffer {
		r.buf, r.all = nil, nil
	}
	return m, nil
}

// maxIdleBuffer is the maximum number of bytes of memory that a connection keeps between messages.
const maxIdleBuffer = 16 << 10

// begin determines the form and the start of the next message. It returns false while bytes are missing.
func (r *Reader) begin() (bool, error) {
	if len(r.buf) < 4 {
		return false, nil
	}
	r.size, r.head = -1, 0
	if isHTTP(r.buf) {
		return false, ErrNotThrift
	}
	if !r.known {
		switch n := be32(r.buf); { // a length, of the frame or of the name, in every form that does not start with a version
		case n == 0:
			return false, ErrMalformed
		case n < 1<<31 && int(n) > r.limits.Message+r.limits.Header+headerFixed:
			return false, ErrTooLarge
		}
		if !r.detect() {
			return false, nil
		}
	}
	if r.form.Transport == Unframed {
		return true, r.start(r.buf)
	}
	size := be32(r.buf)
	switch {
	case size == 0 || size > 1<<31-1:
		return false, ErrMalformed
	case int(size) > r.limits.Message+r.maxHeaderSize():
		return false, ErrTooLarge
	case len(r.buf) < min(4+int(size), 8):
		return false, nil // the protocol cannot be determined yet
	}
	r.size = int(size)
	switch header := r.buf[4] == 0x0f; {
	case header != (r.form.Transport == Header):
		return false, ErrOtherForm
	case !header:
		r.head = 4
		return true, r.start(r.buf[4:])
	}
	return r.header()
}

// maxHeaderSize returns the maximum number of bytes that a frame may have in addition to its message.
func (r *Reader) maxHeaderSize() int {
	if r.form.Transport == Header {
		return r.limits.Header + headerFixed
	}
	return 0
}

// start begins to scan a message whose first byte has arrived. Strict and old binary messages may be mixed on one
// connection.
func (r *Reader) start(b []byte) error {
	p := r.form.Protocol
	if (b[0] == 0x82) != (p == Compact) {
		return ErrOtherForm
	}
	if p != Compact {
		if p = Binary; b[0] < 0x80 {
			p = Old
		}
	}
	r.msg = &Message{Form: Form{p, r.form.Transport}}
	r.scan.reset(p, r.limits, r.msg)
	return nil
}

// detect derives the form from the first bytes. It returns false while there are too few of them. Bytes that match no
// form are treated as the old binary protocol, whose checks then return the error.
func (r *Reader) detect() bool {
	b := r.buf
	switch {
	case b[0] == 0x80:
		r.form = Form{Binary, Unframed}
	case b[0] == 0x82:
		r.form = Form{Compact, Unframed}
	case len(b) < 5:
		return false
	case b[4] == 0x80:
		r.form = Form{Binary, Framed}
	case b[4] == 0x82:
		r.form = Form{Compact, Framed}
	case b[4] == 0x0f:
		if len(b) < headerFixed+5 { // the protocol's number follows the fixed part
			return false
		}
		r.form = Form{Binary, Header}
		if b[headerFixed+4] == headerCompact {
			r.form.Protocol = Compact
		}
	case b[4] == 0: // the length of the name, after the length of the frame
		r.form = Form{Old, Framed}
	default: // the name, after its length
		r.form = Form{Old, Unframed}
	}
	r.known = true
	return true
}

// isHTTP detects HTTP, the most common wrong protocol of a client, whose first bytes would otherwise be read as the
// length of a frame.
func isHTTP(b []byte) bool {
	switch string(b[:4]) {
	case "GET ", "HEAD", "POST", "PUT ", "DELE", "OPTI", "CONN", "TRAC", "PATC", "PRI ", "HTTP":
		return true
	}
	return false
}

// The header transport's layout: magic (2 bytes), flags (2), sequence id (4), number of 4-byte words in the header
// (2), then the header: the protocol's number, the number of transforms and the transforms, then groups of names
// and values.
const (
	headerFixed   = 10
	headerMagic   = 0x0fff
	headerBinary  = 0
	headerCompact = 2
	headerInfos   = 1 // the number of the only known kind of group
)

// header parses a header transport's header once it has arrived completely.
func (r *Reader) header() (bool, error) {
	b := r.buf[4:]
	if r.size < headerFixed {
		return false, ErrMalformed
	}
	if len(b) < headerFixed {
		return false, nil
	}
	if uint16(b[0])<<8|uint16(b[1]) != headerMagic {
		return false, ErrMalformed
	}
	words := (int(b[8])<<8 | int(b[9])) * 4
	switch {
	case words > r.limits.Header:
		return false, ErrTooLarge
	case headerFixed+words >= r.size:
		return false, ErrMalformed
	case len(b) < headerFixed+words:
		return false, nil
	}
	head := append([]byte(nil), b[headerFixed:headerFixed+words]...)
	p, infos, err := readHeader(head)
	if err != nil {
		return false, err
	}
	if (p == Compact) != (r.form.Protocol == Compact) {
		return false, ErrOtherForm
	}
	if len(b) < headerFixed+words+1 {
		return false, nil
	}
	r.head = 4 + headerFixed + words
	if err := r.start(b[headerFixed+words:]); err != nil {
		return false, err
	}
	r.msg.Headers = infos
	r.msg.HeaderSeq = be32(b[4:])
	return true, nil
}

// maxInfos is the maximum number of name-value pairs in a header.
const maxInfos = 64

// readHeader parses the part of the header between its fixed part and the message.
func readHeader(b []byte) (p Protocol, infos []Info, err error) {
	number := func() (v uint64) {
		if err == nil {
			var n int
			if v, n, err = varint(b, 5); n <= 0 {
				err = ErrMalformed
			} else {
				b = b[n:]
			}
		}
		return v
	}
	text := func() (t []byte) {
		if n := number(); err == nil {
			if n > uint64(len(b)) {
				err = ErrMalformed
				return nil
			}
			t, b = b[:n:n], b[n:]
		}
		return t
	}
	switch number() {
	case headerBinary:
		p = Binary
	case headerCompact:
		p = Compact
	default:
		return 0, nil, ErrMalformed
	}
	if transforms := number(); err == nil && transforms > 0 {
		err = ErrTransform
	}
	for err == nil && len(b) > 0 && b[0] == headerInfos { // groups of other kinds have no known length and end the parsing
		b = b[1:]
		for n := number(); err == nil && n > 0; n-- {
			if len(infos) == maxInfos {
				return 0, nil, ErrTooLarge
			}
			name := text()
			infos = append(infos, Info{name, text()})
		}
	}
	return p, infos, err
}
