package thrift

// Reader finds the messages in the bytes of one connection.
type Reader struct {
	limits Limits
	form   Form
	known  bool // else the first message tells the form

	buf  []byte // what is left of all
	all  []byte // the memory behind it
	scan scanner
	msg  *Message // that is being read, nil between messages
	size int      // of its frame without the length, -1 = unframed
	head int      // bytes in front of the message itself: the frame's length and header
	err  error
}

// NewReader makes a reader that tells from the first message in which form a connection's messages are written.
func NewReader(limits Limits) *Reader { return &Reader{limits: limits} }

// NewReaderOf makes a reader of one form. Of the strict and the old binary protocol it takes either.
func NewReaderOf(form Form, limits Limits) *Reader {
	return &Reader{limits: limits, form: form, known: true}
}

// Form is the form of the messages, once it is known.
func (r *Reader) Form() (f Form, known bool) { return r.form, r.known }

// Feed takes bytes as they came.
func (r *Reader) Feed(data []byte) {
	// What was taken is given back once for each Feed, so that many small messages cost no more than one large one.
	r.all = append(r.all[:copy(r.all[:cap(r.all)], r.buf)], data...)
	r.buf = r.all
}

// Idle tells that no byte of a further message has come.
func (r *Reader) Idle() bool { return len(r.buf) == 0 && r.msg == nil }

// Buffered is the number of bytes that no message has taken.
func (r *Reader) Buffered() int { return len(r.buf) }

// Next returns the next whole message, or nil while bytes are missing. An error stays.
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
		return nil, ErrMalformed // something in it claims more than its frame
	case framed && whole && r.scan.at < 4+r.size-r.head:
		return nil, ErrMalformed // and here the frame claims more than its message
	case !whole:
		return nil, nil
	}
	m := r.msg
	m.Bytes = append(make([]byte, 0, r.scan.at), body[:r.scan.at]...)
	m.Name = m.Bytes[m.nameFrom:m.nameTo]
	r.buf = r.buf[r.head+r.scan.at:]
	r.msg = nil
	if len(r.buf) == 0 && cap(r.all) > keepMost {
		r.buf, r.all = nil, nil
	}
	return m, nil
}

// keepMost is how much memory a connection keeps between messages.
const keepMost = 16 << 10

// begin settles how the next message is written and where it begins; false while bytes are missing.
func (r *Reader) begin() (bool, error) {
	if len(r.buf) < 4 {
		return false, nil
	}
	r.size, r.head = -1, 0
	if isHTTP(r.buf) {
		return false, ErrNotThrift
	}
	if !r.known {
		switch n := be32(r.buf); { // whatever it is the length of
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
	case int(size) > r.limits.Message+r.headerMost():
		return false, ErrTooLarge
	case len(r.buf) < min(4+int(size), 8):
		return false, nil // which protocol it is
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

// headerMost is how many bytes a frame may have besides its message.
func (r *Reader) headerMost() int {
	if r.form.Transport == Header {
		return r.limits.Header + headerFixed
	}
	return 0
}

// start begins to scan a message whose first byte has come. Strict and old binary messages may follow each other.
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

// detect finds the form from the first bytes; false while they do not tell. What it cannot tell is taken for a frame,
// whose checks will say what is wrong.
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
		if len(b) < headerFixed+5 { // the protocol's number comes behind what is fixed
			return false
		}
		r.form = Form{Binary, Header}
		if b[headerFixed+4] == headerCompact {
			r.form.Protocol = Compact
		}
	case b[4] == 0: // the length of a name, behind that of a frame
		r.form = Form{Old, Framed}
	default: // a name, behind its length
		r.form = Form{Old, Unframed}
	}
	r.known = true
	return true
}

// isHTTP recognises the commonest wrong guess of a client, which would be taken for the length of a frame otherwise.
func isHTTP(b []byte) bool {
	switch string(b[:4]) {
	case "GET ", "HEAD", "POST", "PUT ", "DELE", "OPTI", "CONN", "TRAC", "PATC", "PRI ", "HTTP":
		return true
	}
	return false
}

// The header transport's layout: magic (2 bytes), flags (2), sequence id (4), number of 4-byte words in the header (2),
// then the header: the protocol's number, the number of transforms and the transforms, then groups of names and values.
const (
	headerFixed   = 10
	headerMagic   = 0x0fff
	headerBinary  = 0
	headerCompact = 2
	headerInfos   = 1 // the number of the only kind of group
)

// header reads a header transport's header once it is whole.
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

// mostInfos is the most names of a header that are read.
const mostInfos = 64

// readHeader reads what stands between the fixed part and the message.
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
	for err == nil && len(b) > 0 && b[0] == headerInfos { // other groups cannot be told apart from each other
		b = b[1:]
		for n := number(); err == nil && n > 0; n-- {
			if len(infos) == mostInfos {
				return 0, nil, ErrTooLarge
			}
			name := text()
			infos = append(infos, Info{name, text()})
		}
	}
	return p, infos, err
}
