// Package http1 parses and serializes HTTP/1.1 messages, strictly and incrementally. It does no I/O of its own.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/internal/node/bodypipe"
)

// Limits of a message.
const (
	MaxHead     = 16 << 10
	MaxBody     = 64 << 10
	maxFields   = 64
	initialBody = 4 << 10 // initial buffer capacity for a body of known length, before any of it has arrived
	maxInterim  = 16      // interim responses before a final response
)

// Errors that parsing a message may return.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrHost      = errors.New("no Host, a bad one or two")
	ErrTooLarge  = errors.New("body over 64 KiB")
	ErrOver      = errors.New("body over the limit that was set for it")
	ErrVersion   = errors.New("not HTTP/1")
	ErrTarget    = errors.New("target over 16 KiB")
	ErrHead      = errors.New("head over 16 KiB or 64 fields")
	ErrCoding    = errors.New("unknown transfer coding")
	ErrExpect    = errors.New("unknown expectation")
	ErrUpgrade   = errors.New("answer 101 to a request that asked for no other protocol")
	ErrNoLength  = errors.New("answer without a length: it cannot be told whole")
)

// Status returns the status code with which a server answers a request that failed to parse with err.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge), errors.Is(err, ErrOver):
		return 413
	case errors.Is(err, ErrTarget):
		return 414
	case errors.Is(err, ErrExpect):
		return 417
	case errors.Is(err, ErrHead):
		return 431
	case errors.Is(err, ErrCoding):
		return 501
	case errors.Is(err, ErrVersion):
		return 505
	}
	return 400
}

// DeadlineField is the platform's header field that carries how long the sender will wait, in whole milliseconds.
const DeadlineField = "Req-Deadline-Ms"

// Field is one header field.
type Field struct{ Name, Value []byte }

// Message is a request or a response. It shares no memory with the parser.
type Message struct {
	Method, Target []byte // requests only
	Status         int    // responses only
	Fields         []Field
	Body           []byte
	Rest           *bodypipe.Pipe // the rest of a streamed body; nil = Body is complete
	Length         int            // bytes of a streamed body, -1 = unknown
	Close          bool           // the sender closes the connection after this message
	Old            bool           // the sender uses HTTP/1.0

	host        []byte // host named by the target, or nil
	namesFields bool   // the Connection field lists options other than close and keep-alive
}

// Get returns the value of the first field with the given name, and the number of fields with that name.
func (m *Message) Get(name string) (value []byte, count int) {
	for i := range m.Fields {
		if equalFold(m.Fields[i].Name, name) {
			if count == 0 {
				value = m.Fields[i].Value
			}
			count++
		}
	}
	return value, count
}

func equalFold(a []byte, b string) bool {
	return len(a) == len(b) && bytes.EqualFold(a, []byte(b))
}

// Parser parses the messages of one connection from the bytes that it is fed.
type Parser struct {
	response bool
	maxBytes int      // maximum bytes in a body, 0 = MaxBody
	flow     Flow     // which bodies are streamed; zero = none
	flowing  bool     // a body is being streamed
	toEnd    bool     // the body ends with the connection
	total    int      // bytes of the body read so far
	buf      []byte   // the unread part of all
	all      []byte   // the memory that backs buf
	seen     int      // bytes of buf already searched for the end of the head
	msg      *Message // the message whose head has been read
	awaits   bool     // the sender waits for 100 Continue before it sends the body
	chunked  bool
	left     int // bytes of the body, or of the current chunk, not yet received
	chunk    chunkState
	overhead int    // bytes of chunk extensions and trailers so far
	interim  int    // interim responses so far
	spare    []byte // buffer reused by Piece
	err      error
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
)

// NewRequests returns a parser of requests.
func NewRequests() *Parser { return &Parser{} }

// NewResponses returns a parser of responses.
func NewResponses() *Parser { return &Parser{response: true} }

// NewResponsesOf returns a parser of responses whose bodies may have up to most bytes; 0 means MaxBody.
func NewResponsesOf(most int) *Parser { return &Parser{response: true, maxBytes: most} }

// Flow sets which bodies are streamed. Next returns a message with a streamed body once Whole bytes of the body have
// arrived, or Known bytes if its length is known; Piece returns the rest. If AtOnce is set, a message whose body is
// known to be longer is returned as soon as its head has been read.
type Flow struct {
	Whole  int  // bytes of a body that are buffered to complete it; 0 = bodies are not streamed
	Known  int  // the same for a body of known length; 0 = Whole
	AtOnce bool // a longer body of known length is streamed from its head on
}

// NewFlowing returns a parser of requests or responses whose bodies may have up to most bytes (0 means MaxBody)
// and are streamed as f sets.
func NewFlowing(response bool, most int, f Flow) *Parser {
	if f.Known == 0 {
		f.Known = f.Whole
	}
	return &Parser{response: response, maxBytes: most, flow: f}
}

// maxBody returns the maximum number of bytes in a body.
func (p *Parser) maxBody() int {
	if p.maxBytes == 0 {
		return MaxBody
	}
	return p.maxBytes
}

// tooLarge returns the error for a body over the maximum.
func (p *Parser) tooLarge() error {
	if p.maxBody() == MaxBody {
		return ErrTooLarge
	}
	return ErrOver
}

// Feed appends received bytes to the parser's buffer.
func (p *Parser) Feed(data []byte) {
	// Consumed bytes are reclaimed once per Feed, not once per piece, so that a body of tiny chunks costs no more
	// than any other.
	p.all = append(p.all[:copy(p.all[:cap(p.all)], p.buf)], data...)
	p.buf = p.all
}

// Idle reports whether no byte of a further message has arrived.
func (p *Parser) Idle() bool { return len(p.buf) == 0 && p.msg == nil && !p.flowing }

// Buffered returns the number of bytes that belong to no message yet.
func (p *Parser) Buffered() int { return len(p.buf) }

// Head returns the request whose body has not fully arrived or, after an error, the part of it that was parsed. It
// may be nil.
func (p *Parser) Head() *Message { return p.msg }

// Awaits returns, once, a request whose sender waits for an interim response before it sends the body: the head has
// arrived and nothing after it. Otherwise it returns nil.
func (p *Parser) Awaits() *Message {
	if !p.awaits {
		return nil
	}
	p.awaits = false
	return p.msg
}

// Next returns the next message that is complete or ready to be streamed, or nil while bytes are missing. An error is
// permanent.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		if p.msg == nil && !p.head() {
			break
		}
		if !p.body() {
			if p.flows() {
				return p.msg, nil
			}
			break
		}
		m := p.msg
		p.reset()
		if p.response && m.Status < 200 {
			if p.interim++; p.interim > maxInterim {
				p.err = ErrMalformed
			}
			continue
		}
		p.interim = 0
		return m, nil
	}
	return nil, p.err
}

// body reads as much of the body as has arrived, and reports whether the body is complete.
func (p *Parser) body() bool {
	switch {
	case p.chunked:
		return p.readChunks()
	case p.toEnd:
		p.left = len(p.buf)
		p.readPlain()
		if p.total > p.maxBody() {
			p.err = p.tooLarge()
		}
		return false
	}
	return p.readPlain()
}

// reset clears the state of the last message.
func (p *Parser) reset() {
	p.msg, p.awaits, p.chunked, p.left, p.chunk, p.overhead = nil, false, false, 0, chunkSize, 0
	p.flowing, p.toEnd, p.total = false, false, 0
	if len(p.buf) == 0 && cap(p.all) > MaxHead {
		p.buf, p.all = nil, nil
	}
}

// flows reports whether Next returns the message now and its body is streamed from here on.
func (p *Parser) flows() bool {
	if p.flow.Whole == 0 || p.err != nil || p.response && p.msg.Status < 200 {
		return false
	}
	known := !p.chunked && !p.toEnd
	whole, length := p.flow.Whole, -1
	if known {
		whole, length = p.flow.Known, p.left+p.total
	}
	if known && length <= whole || p.total < whole && !(known && p.flow.AtOnce) {
		return false
	}
	p.flowing, p.msg.Length = true, length
	return true
}

// Flowing reports whether the last message was returned before the end of its body, the rest of which Piece returns.
func (p *Parser) Flowing() bool { return p.flowing }

// Piece returns the part of a streamed body that has arrived since the last call. It is valid until the next call of
// Feed or Piece. done reports that it was the last.
func (p *Parser) Piece() (piece []byte, done bool, err error) {
	p.msg = &Message{Body: p.spare[:0]}
	done = p.body()
	piece = p.msg.Body
	if p.spare = piece; done {
		p.reset()
	}
	return piece, done, p.err
}

// ToEnd reports whether the body that is being read ends with the connection.
func (p *Parser) ToEnd() bool { return p.toEnd }

// End handles the end of the connection, which completes a body that is delimited by it. whole reports whether there
// was such a body; m is its message, to be used only if Next has not returned the message yet.
func (p *Parser) End() (m *Message, whole bool) {
	if !p.toEnd || p.err != nil || p.msg == nil {
		return nil, false
	}
	m = p.msg
	p.reset()
	return m, true
}

// Came returns the number of bytes of the current body that have arrived.
func (p *Parser) Came() int { return p.total }

// Held returns the number of bytes of a body that are buffered, or are known to follow and will be, until the body is
// complete or is streamed.
func (p *Parser) Held() int {
	switch {
	case p.msg == nil || p.flowing:
		return 0
	case p.chunked:
		return p.total
	}
	return min(p.left+p.total, max(p.flow.Known, MaxBody))
}

func (p *Parser) consume(n int) {
	p.buf = p.buf[n:]
	p.seen = 0
}

// head parses the start line and the fields once they have arrived completely.
func (p *Parser) head() bool {
	for !p.response && bytes.HasPrefix(p.buf, []byte("\r\n")) {
		p.consume(2) // an empty line may precede a request
	}
	from := max(0, p.seen-3)
	end := bytes.Index(p.buf[from:], []byte("\r\n\r\n"))
	if end < 0 {
		p.seen = len(p.buf)
		// Fail early on another protocol, such as TLS: its bytes might never contain the end of a head, and the
		// sender would wait for a response.
		if p.seen > 0 && !tokenBytes[p.buf[0]] && p.buf[0] != '\r' {
			p.err = ErrMalformed
		}
		if p.seen > MaxHead {
			p.err = p.tooLong()
		}
		return false
	}
	if end += from; end > MaxHead {
		p.err = p.tooLong()
		return false
	}
	head := append([]byte(nil), p.buf[:end+2]...)
	p.consume(end + 4)
	m := &Message{Fields: make([]Field, 0, 12)}
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	err := p.startLine(m, line)
	if err == nil {
		err = readFields(m, rest)
	}
	if err == nil {
		err = p.framing(m)
	}
	p.msg, p.err = m, err
	p.awaits = p.awaits && len(p.buf) == 0
	return err == nil
}

// tooLong returns the error for a head over the limit: ErrTarget if the limit falls within the start line's target.
func (p *Parser) tooLong() error {
	line, _, whole := bytes.Cut(p.buf[:MaxHead], []byte("\r\n"))
	switch {
	case p.response:
		return ErrMalformed
	case whole:
		return ErrHead
	case bytes.IndexByte(line, ' ') > 0:
		return ErrTarget
	}
	return ErrMalformed
}

// version parses the HTTP version. Versions 1.1 to 1.9 are treated alike.
func (m *Message) version(text []byte) error {
	if len(text) != 8 || string(text[:5]) != "HTTP/" || text[6] != '.' || !decimalBytes[text[5]] || !decimalBytes[text[7]] {
		return ErrMalformed
	}
	if text[5] != '1' {
		return ErrVersion
	}
	m.Old = text[7] == '0'
	return nil
}

// startLine parses the request line or the status line.
func (p *Parser) startLine(m *Message, line []byte) error {
	if p.response {
		if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
			return ErrMalformed
		}
		for _, c := range line[9:12] {
			m.Status = m.Status*10 + int(c-'0')
		}
		if !decimalBytes.all(line[9:12]) || m.Status < 100 || !isText(line) {
			return ErrMalformed
		}
		if m.Status == 101 {
			return ErrUpgrade
		}
		return m.version(line[:8])
	}
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) {
		return ErrMalformed
	}
	m.Method = method
	if err := m.version(version); err != nil {
		return err
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f || c == '#' {
			return ErrMalformed
		}
	}
	return m.parseTarget(target)
}

// parseTarget parses a request target. It converts an absolute form to the origin form (for OPTIONS without a
// path, to the asterisk form); the host that a target names takes precedence over the Host field.
func (m *Message) parseTarget(target []byte) error {
	const scheme = "http://"
	options := string(m.Method) == "OPTIONS"
	m.Target = target
	switch {
	case string(m.Method) == "CONNECT":
		if port := bytes.LastIndexByte(target, ':'); port < 1 || port == len(target)-1 || !isAuthority(target) {
			return ErrMalformed
		}
		m.host = target
	case len(target) > 0 && target[0] == '/', options && string(target) == "*":
	case len(target) < len(scheme) || !equalFold(target[:len(scheme)], scheme):
		return ErrMalformed
	default:
		host := target[len(scheme):]
		m.Target = nil
		if i := bytes.IndexAny(host, "/?"); i >= 0 {
			host, m.Target = host[:i], host[i:]
		}
		if len(host) == 0 || host[0] == ':' || !isAuthority(host) {
			return ErrMalformed
		}
		m.host = host
		switch {
		case m.Target == nil && options:
			m.Target = []byte("*")
		case m.Target == nil || m.Target[0] == '?':
			m.Target = append([]byte("/"), m.Target...)
		}
	}
	return nil
}

func readFields(m *Message, rest []byte) error {
	for len(rest) > 0 {
		line, after, _ := bytes.Cut(rest, []byte("\r\n"))
		rest = after
		f, err := readField(line)
		if err != nil {
			return err
		}
		if len(m.Fields) == maxFields {
			return ErrHead
		}
		m.Fields = append(m.Fields, f)
	}
	return nil
}

func readField(line []byte) (Field, error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !ok || !isToken(name) || !isText(value) {
		return Field{}, ErrMalformed
	}
	return Field{name, value}, nil
}

// framing determines how the body is delimited and whether the connection persists. Anything that two parsers could
// interpret differently is malformed.
func (p *Parser) framing(m *Message) error {
	var length, coding []byte
	lengths, codings, hosts := 0, 0, 0
	closes, keeps, waits := false, false, false
	for i, f := range m.Fields {
		switch {
		case equalFold(f.Name, "Host") && !p.response:
			if hosts++; hosts > 1 || !isAuthority(f.Value) {
				return ErrHost
			}
			if m.host != nil {
				m.Fields[i].Value = m.host
			}
		case equalFold(f.Name, "Content-Length"):
			length = f.Value
			lengths++
		case equalFold(f.Name, "Transfer-Encoding"):
			coding = f.Value
			codings++
		case equalFold(f.Name, "Connection"):
			c, k := m.connection(f.Value)
			closes, keeps = closes || c, keeps || k
		case equalFold(f.Name, "Expect") && !p.response && !m.Old:
			w, err := expectation(f.Value)
			if err != nil {
				return err
			}
			waits = waits || w
		}
	}
	switch {
	case hosts == 1 || p.response:
	case !m.Old:
		return ErrHost
	case m.host != nil:
		m.Fields = append(m.Fields, Field{[]byte("Host"), m.host})
	}
	m.Close = closes || m.Old && !keeps
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
		return ErrMalformed
	}
	if p.response && (m.Status < 200 || m.Status == 204 || m.Status == 304) {
		m.Close = m.Close || codings > 0 || lengths > 0 && string(length) != "0" // the sender may send a body nevertheless
		return nil
	}
	switch {
	case codings == 1:
		if err := m.checkCoding(coding); err != nil {
			return err
		}
		p.chunked, p.awaits = true, waits
	case lengths == 1:
		n, err := p.readNumber(length, 10)
		if err != nil {
			return err
		}
		p.left = n
		p.awaits = waits && n > 0
		if n > 0 {
			m.Body = make([]byte, 0, min(n, initialBody)) // the length is only claimed, so allocate little in advance
		}
	case p.response && p.flow.Whole > 0 && m.Close: // without Connection: close the message may be corrupt and its body never end
		p.toEnd, m.Close = true, true
	case p.response:
		return ErrNoLength
	}
	return nil
}

// connection parses the value of a Connection field.
func (m *Message) connection(value []byte) (closes, keeps bool) {
	for part := range bytes.SplitSeq(value, []byte(",")) {
		switch part = bytes.TrimSpace(part); {
		case equalFold(part, "close"):
			closes = true
		case equalFold(part, "keep-alive"):
			keeps = true
		default:
			m.namesFields = true
		}
	}
	return closes, keeps
}

// expectation parses the value of an Expect field. waits reports whether the sender waits for 100 Continue.
func expectation(value []byte) (waits bool, err error) {
	for part := range bytes.SplitSeq(value, []byte(",")) {
		switch part = bytes.TrimSpace(part); {
		case equalFold(part, "100-continue"):
			waits = true
		case len(part) > 0:
			return false, ErrExpect
		}
	}
	return waits, nil
}

// checkCoding returns an error unless the transfer coding is chunked alone and the sender uses HTTP/1.1.
func (m *Message) checkCoding(coding []byte) error {
	switch {
	case m.Old:
		return ErrMalformed
	case !equalFold(coding, "chunked"):
		return unknownCoding(coding)
	}
	return nil
}

// unknownCoding returns the error for a transfer coding other than chunked alone. Unless chunked is the last
// coding and occurs once, the end of the body is undefined and the message is malformed.
func unknownCoding(coding []byte) error {
	i := bytes.LastIndexByte(coding, ',')
	if i < 0 || !equalFold(bytes.TrimSpace(coding[i+1:]), "chunked") {
		return ErrMalformed
	}
	for part := range bytes.SplitSeq(coding[:i], []byte(",")) {
		if part = bytes.TrimSpace(part); equalFold(part, "chunked") {
			return ErrMalformed
		}
	}
	return ErrCoding
}

// readNumber parses a length. A length over the maximum body size is too large, whatever its number of digits.
func (p *Parser) readNumber(digits []byte, base int) (int, error) {
	n := 0
	for _, c := range digits {
		d := base
		switch {
		case c >= '0' && c <= '9':
			d = int(c - '0')
		case c >= 'a' && c <= 'f':
			d = int(c-'a') + 10
		case c >= 'A' && c <= 'F':
			d = int(c-'A') + 10
		}
		if d >= base {
			return 0, ErrMalformed
		}
		n = min(n*base+d, p.maxBody()+1)
	}
	switch {
	case len(digits) == 0:
		return 0, ErrMalformed
	case n > p.maxBody():
		return 0, p.tooLarge()
	}
	return n, nil
}

func (p *Parser) readPlain() bool {
	n := min(p.left, len(p.buf))
	if n > 0 {
		p.msg.Body = append(p.msg.Body, p.buf[:n]...)
		p.consume(n)
		p.left -= n
		p.total += n
	}
	return p.left == 0
}

func (p *Parser) readChunks() bool {
	for p.err == nil {
		switch p.chunk {
		case chunkData:
			if !p.readPlain() {
				return false
			}
			p.chunk = chunkEnd
			continue
		case chunkEnd:
			if len(p.buf) < 2 {
				return false
			}
			if string(p.buf[:2]) != "\r\n" {
				p.err = ErrMalformed
				return false
			}
			p.consume(2)
			p.chunk = chunkSize
			continue
		}
		i := bytes.Index(p.buf, []byte("\r\n"))
		if i < 0 || i > MaxHead {
			if len(p.buf) > MaxHead {
				p.err = ErrMalformed
			}
			return false
		}
		line := p.buf[:i]
		size, extension, _ := bytes.Cut(line, []byte(";"))
		if p.chunk == chunkTrailer {
			extension = line
		}
		if p.overhead += len(extension); p.overhead > MaxHead && (!p.flowing || p.overhead > MaxHead+p.total) {
			p.err = ErrMalformed
			return false
		}
		if p.chunk == chunkTrailer {
			if i > 0 {
				_, p.err = readField(line)
			}
			p.consume(i + 2)
			if i == 0 {
				return true
			}
			continue
		}
		n, err := p.readNumber(bytes.TrimRight(size, " \t"), 16)
		switch {
		case err != nil:
		case !isText(extension):
			err = ErrMalformed
		case p.total+n > p.maxBody():
			err = p.tooLarge()
		}
		p.err = err
		p.consume(i + 2)
		p.left, p.chunk = n, chunkData
		if n == 0 {
			p.chunk = chunkTrailer
		}
	}
	return false
}

// byteSet is a set of bytes.
type byteSet [256]bool

func newByteSet(chars string) *byteSet {
	var s byteSet
	for i := range len(chars) {
		s[chars[i]] = true
	}
	return &s
}

const (
	decimals      = "0123456789"
	hexDigits     = decimals + "abcdefABCDEF"
	alphanumerics = decimals + "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

var (
	tokenBytes   = newByteSet(alphanumerics + "!#$%&'*+-.^_`|~")
	nameBytes    = newByteSet(alphanumerics + "-._~!$&'()*+,;=%") // of a host name or an IPv4 address
	addressBytes = newByteSet(hexDigits + ":.")                   // of an IPv6 address
	decimalBytes = newByteSet(decimals)
)

func (s *byteSet) all(b []byte) bool {
	for _, c := range b {
		if !s[c] {
			return false
		}
	}
	return true
}

func isToken(b []byte) bool { return len(b) > 0 && tokenBytes.all(b) }

// isAuthority reports whether b is a host with an optional port. It may be empty.
func isAuthority(b []byte) bool {
	host, port, _ := bytes.Cut(b, []byte(":"))
	if len(b) == 0 || b[0] != '[' {
		return nameBytes.all(host) && decimalBytes.all(port)
	}
	host, port, ok := bytes.Cut(b[1:], []byte("]"))
	return ok && len(host) > 0 && addressBytes.all(host) &&
		(len(port) == 0 || port[0] == ':' && decimalBytes.all(port[1:]))
}

func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Flows reports whether the body is streamed.
func (m *Message) Flows() bool { return m.Rest != nil }

// Drop discards the rest of a streamed body.
func (m *Message) Drop() {
	if m.Rest != nil {
		m.Rest.Drop()
	}
}

// hopByHop lists the fields that apply to one connection only, or that the serializer sets itself.
var hopByHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
	"Upgrade", "Content-Length", "Expect", "Host"}

// alwaysForwarded lists the fields that are forwarded even if Connection names them: otherwise a client could
// remove the fields that keep a request from being executed twice. A conforming sender does not name fields that
// are meant for the final recipient (RFC 9110, 7.6.1).
var alwaysForwarded = [...]string{"Req-Id", "Idempotency-Key", DeadlineField, "Req-Owner", "Req-Retry", "Req-Extra"}

// endToEnd reports whether a field is forwarded with its message rather than applying to one connection only.
func (m *Message) endToEnd(name []byte) bool {
	for _, h := range hopByHop {
		if equalFold(name, h) {
			return false
		}
	}
	if !m.namesFields {
		return true
	}
	for _, k := range alwaysForwarded {
		if equalFold(name, k) {
			return true
		}
	}
	for _, f := range m.Fields {
		if equalFold(f.Name, "Connection") {
			for part := range bytes.SplitSeq(f.Value, []byte(",")) {
				if bytes.EqualFold(bytes.TrimSpace(part), name) {
					return false
				}
			}
		}
	}
	return true
}

// appendField appends one field.
func appendField[N, V string | []byte](dst []byte, name N, value V) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendRequest appends a request with the method, target, end-to-end fields and body of m. Unless replace is
// empty, the field of that name is replaced by one with the given value.
func AppendRequest(dst []byte, m *Message, host, replace string, value int) []byte {
	return append(AppendRequestHead(dst, m, host, replace, value), m.Body...)
}

// AppendRequestHead is AppendRequest without the body. The caller must send a streamed body of unknown length in
// chunks.
func AppendRequestHead(dst []byte, m *Message, host, replace string, value int) []byte {
	dst = append(dst, m.Method...)
	dst = append(dst, ' ')
	dst = append(dst, m.Target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendField(dst, "Host", host)
	for _, f := range m.Fields {
		if m.endToEnd(f.Name) && !equalFold(f.Name, replace) {
			dst = appendField(dst, f.Name, f.Value)
		}
	}
	if replace != "" {
		dst = append(dst, replace...)
		dst = append(dst, ": "...)
		dst = append(strconv.AppendInt(dst, int64(value), 10), "\r\n"...)
	}
	switch {
	case m.Rest != nil && m.Length < 0:
		dst = append(dst, chunkedLine...)
	case m.Rest != nil:
		dst = appendLength(dst, m.Length)
	case len(m.Body) > 0 || string(m.Method) != "GET":
		dst = appendLength(dst, len(m.Body))
	}
	return append(dst, "\r\n"...)
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// AppendChunkHead appends the size line of a chunk of size bytes. The caller must append CRLF after the chunk's
// data, and LastChunk after the last chunk.
func AppendChunkHead(dst []byte, size int) []byte {
	return append(strconv.AppendInt(dst, int64(size), 16), "\r\n"...)
}

// LastChunk terminates a chunked body.
const LastChunk = "0\r\n\r\n"

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	return append(strconv.AppendInt(dst, int64(n), 10), "\r\n"...)
}

// Continue is the interim response that asks a client to send the body.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

var reasons = map[int]string{200: "OK", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
	508: "Loop Detected"}

// Reply is a response to be serialized.
type Reply struct {
	Status int
	Fields string   // complete field lines, written before all others
	Of     *Message // a response whose end-to-end fields are copied, or nil
	Date   []byte   // value of the Date field unless Of has one; nil = none
	Body   []byte
	Close  bool // the connection is closed after this response
	Keep   bool // the connection persists and the client uses HTTP/1.0, so a keep-alive field is required
	Head   bool // the response answers HEAD: the body is not sent

	Flows  bool // the body is streamed by the caller instead of taken from Body
	Length int  // bytes of a streamed body; -1 = chunked; -2 = delimited by the end of the connection
}

// AppendResponse appends a response.
func AppendResponse(dst []byte, r Reply) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = append(strconv.AppendInt(dst, int64(r.Status), 10), ' ')
	dst = append(dst, reasons[r.Status]...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, r.Fields...)
	dated := r.Date == nil
	if r.Of != nil {
		for _, f := range r.Of.Fields {
			if r.Of.endToEnd(f.Name) {
				dst = appendField(dst, f.Name, f.Value)
				dated = dated || equalFold(f.Name, "Date")
			}
		}
	}
	if !dated {
		dst = appendField(dst, "Date", r.Date)
	}
	switch {
	case r.Flows && r.Length == -1:
		dst = append(dst, chunkedLine...)
	case r.Flows && r.Length >= 0:
		dst = appendLength(dst, r.Length)
	case r.Flows:
	case !r.Head || r.Status != 405: // after a 405 to HEAD, the response to GET would differ
		dst = appendLength(dst, len(r.Body))
	}
	if r.Close {
		dst = append(dst, "Connection: close\r\n"...)
	} else if r.Keep {
		dst = append(dst, "Connection: keep-alive\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	if r.Head {
		return dst
	}
	return append(dst, r.Body...)
}

// AppendDate appends a time in the format of the Date field.
func AppendDate(dst []byte, t time.Time) []byte {
	return t.UTC().AppendFormat(dst, "Mon, 02 Jan 2006 15:04:05 GMT")
}
