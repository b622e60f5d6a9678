// Package http1 reads and writes HTTP/1.1 messages, strictly and piece by piece, with no input or output of its
// own.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/internal/node/bodypipe"
)

// The most that a message may hold.
const (
	MaxHead   = 16 << 10
	MaxBody   = 64 << 10
	maxFields = 64
	firstBody = 4 << 10 // memory for a body before any of it has come
	interims  = 16      // interim answers before an answer
)

// What can be wrong with a message.
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

// Status is what a server answers to a request with an error.
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

// DeadlineField is the platform's header field that tells how long the sender will wait, in whole milliseconds.
const DeadlineField = "Req-Deadline-Ms"

// Field is one header field.
type Field struct{ Name, Value []byte }

// Message is a whole request or response. It shares no memory with the parser.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Body           []byte
	Rest           *bodypipe.Pipe // more of the body, which flows; nil = Body is all
	Length         int            // of a body that flows, -1 = not known
	Close          bool           // the sender ends the connection after it
	Old            bool           // the sender speaks HTTP/1.0

	host  []byte // of the target, where that names one
	names bool   // Connection names more than what becomes of the connection
}

// Get returns the value of a field, and how many fields have that name.
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

// Parser collects the bytes of one connection's messages.
type Parser struct {
	response bool
	most     int      // bytes in a body, 0 = MaxBody
	flow     Flow     // bodies that are given piece by piece; zero = none
	flowing  bool     // one is being given
	toEnd    bool     // the body ends with the connection
	total    int      // bytes of the body so far
	buf      []byte   // what is left of all
	all      []byte   // the memory behind it
	seen     int      // bytes of buf that hold no end of the head
	msg      *Message // whose head is read
	awaits   bool     // its sender waits for leave to send the body
	chunked  bool
	left     int // bytes of the body, or of a chunk, still to come
	chunk    chunkState
	beside   int    // bytes of chunk extensions and trailers so far
	interim  int    // interim answers so far
	spare    []byte // memory for pieces
	err      error
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
)

// NewRequests makes a parser of requests.
func NewRequests() *Parser { return &Parser{} }

// NewResponses makes a parser of responses.
func NewResponses() *Parser { return &Parser{response: true} }

// NewResponsesOf makes a parser of responses whose bodies may have so many bytes; 0 is MaxBody.
func NewResponsesOf(most int) *Parser { return &Parser{response: true, most: most} }

// Flow says which bodies are given piece by piece: the message comes when Whole bytes of its body have come, and the rest by
// Piece. A message whose body is known to be longer comes when Whole bytes have come too, or at once if AtOnce is set.
type Flow struct {
	Whole  int  // bytes of a body that are held until it is whole; 0 = bodies do not flow
	Known  int  // the same for a body whose length is known; 0 = Whole
	AtOnce bool // a longer one comes with its head
}

// NewFlowing makes a parser of requests, or of responses, whose bodies may have so many bytes and flow.
func NewFlowing(response bool, most int, f Flow) *Parser {
	if f.Known == 0 {
		f.Known = f.Whole
	}
	return &Parser{response: response, most: most, flow: f}
}

// mostBody is how many bytes a body may have.
func (p *Parser) mostBody() int {
	if p.most == 0 {
		return MaxBody
	}
	return p.most
}

// tooLarge is the error of a body that has more.
func (p *Parser) tooLarge() error {
	if p.mostBody() == MaxBody {
		return ErrTooLarge
	}
	return ErrOver
}

// Feed takes bytes as they came.
func (p *Parser) Feed(data []byte) {
	// What was taken is given back once for each Feed, not for each piece: a body of tiny chunks costs no more
	// than another.
	p.all = append(p.all[:copy(p.all[:cap(p.all)], p.buf)], data...)
	p.buf = p.all
}

// Idle tells that no byte of a further message has come.
func (p *Parser) Idle() bool { return len(p.buf) == 0 && p.msg == nil && !p.flowing }

// Buffered is the number of bytes that no message has taken.
func (p *Parser) Buffered() int { return len(p.buf) }

// Head returns the request whose body is still to come or, after an error, as much as could be read of it; it may be nil.
func (p *Parser) Head() *Message { return p.msg }

// Awaits returns, once, a request whose sender waits for an interim answer before it sends the body: its head has come
// and nothing behind it.
func (p *Parser) Awaits() *Message {
	if !p.awaits {
		return nil
	}
	p.awaits = false
	return p.msg
}

// Next returns the next whole message, or nil while bytes are missing. An error stays.
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
		p.over()
		if p.response && m.Status < 200 {
			if p.interim++; p.interim > interims {
				p.err = ErrMalformed
			}
			continue
		}
		p.interim = 0
		return m, nil
	}
	return nil, p.err
}

// body reads as much of the body as has come, and tells whether that was all.
func (p *Parser) body() bool {
	switch {
	case p.chunked:
		return p.chunks()
	case p.toEnd:
		p.left = len(p.buf)
		p.plain()
		if p.total > p.mostBody() {
			p.err = p.tooLarge()
		}
		return false
	}
	return p.plain()
}

// over forgets the message that was read last.
func (p *Parser) over() {
	p.msg, p.awaits, p.chunked, p.left, p.chunk, p.beside = nil, false, false, 0, chunkSize, 0
	p.flowing, p.toEnd, p.total = false, false, 0
	if len(p.buf) == 0 && cap(p.all) > MaxHead {
		p.buf, p.all = nil, nil
	}
}

// flows tells whether the message is given now, and its body flows from here on.
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

// Flowing tells that the last message was given and its body is not: Piece gives the rest.
func (p *Parser) Flowing() bool { return p.flowing }

// Piece gives what has come of a body that flows; it is good until Feed is called. Done tells that it was the last.
func (p *Parser) Piece() (piece []byte, done bool, err error) {
	p.msg = &Message{Body: p.spare[:0]}
	done = p.body()
	piece = p.msg.Body
	if p.spare = piece; done {
		p.over()
	}
	return piece, done, p.err
}

// ToEnd tells that the body that is being read ends with the connection.
func (p *Parser) ToEnd() bool { return p.toEnd }

// End takes the end of the connection: a body that lasts until then is whole. It gives the message, if that was not given yet.
func (p *Parser) End() (m *Message, whole bool) {
	if !p.toEnd || p.err != nil || p.msg == nil {
		return nil, false
	}
	m = p.msg
	p.over()
	return m, true
}

// Came is how much of a body that is held has come.
func (p *Parser) Came() int { return p.total }

// Held is how much of a body has come, or is known to come, that is held until it is whole, or until it flows.
func (p *Parser) Held() int {
	switch {
	case p.msg == nil || p.flowing:
		return 0
	case p.chunked:
		return p.total
	}
	return min(p.left+p.total, max(p.flow.Known, MaxBody))
}

func (p *Parser) take(n int) {
	p.buf = p.buf[n:]
	p.seen = 0
}

// head reads the start line and the fields once they are whole.
func (p *Parser) head() bool {
	for !p.response && bytes.HasPrefix(p.buf, []byte("\r\n")) {
		p.take(2) // an empty line may stand before a request
	}
	from := max(0, p.seen-3)
	end := bytes.Index(p.buf[from:], []byte("\r\n\r\n"))
	if end < 0 {
		p.seen = len(p.buf)
		// Another protocol, such as TLS, may not wait for an answer until its message looks like a head.
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
	p.take(end + 4)
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

// tooLong tells what of a head over the limit is too long: the target, where a start line is the whole of it.
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

// version reads which HTTP a sender speaks; from 1.1 on, all of HTTP/1 are alike.
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

// startLine reads the first line.
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
	return m.aim(target)
}

// aim reads a target. One in absolute form is brought to the form that names a path only, and what it names goes before
// the Host field.
func (m *Message) aim(target []byte) error {
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

// framing finds how the body ends, and what the sender wants of the connection. Anything two readers could take
// differently is malformed.
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
		m.Close = m.Close || codings > 0 || lengths > 0 && string(length) != "0" // there may be a body all the same
		return nil
	}
	switch {
	case codings == 1:
		if err := m.coded(coding); err != nil {
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
			m.Body = make([]byte, 0, min(n, firstBody)) // a length is only a claim
		}
	case p.response && p.flow.Whole > 0 && m.Close: // else it may just be spoilt, and never end
		p.toEnd, m.Close = true, true
	case p.response:
		return ErrNoLength
	}
	return nil
}

// connection reads a field Connection.
func (m *Message) connection(value []byte) (closes, keeps bool) {
	for part := range bytes.SplitSeq(value, []byte(",")) {
		switch part = bytes.TrimSpace(part); {
		case equalFold(part, "close"):
			closes = true
		case equalFold(part, "keep-alive"):
			keeps = true
		default:
			m.names = true
		}
	}
	return closes, keeps
}

// expectation reads a field Expect: whether the sender waits for the word to go on.
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

// coded tells what is wrong with a transfer coding.
func (m *Message) coded(coding []byte) error {
	switch {
	case m.Old:
		return ErrMalformed
	case !equalFold(coding, "chunked"):
		return unknownCoding(coding)
	}
	return nil
}

// unknownCoding tells what is wrong with a coding that is not chunked alone: where chunked is not the last, and only the
// last, it would not even tell where the body ends.
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

// readNumber reads a length; one over the cap is too large, however many digits it has.
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
		n = min(n*base+d, p.mostBody()+1)
	}
	switch {
	case len(digits) == 0:
		return 0, ErrMalformed
	case n > p.mostBody():
		return 0, p.tooLarge()
	}
	return n, nil
}

func (p *Parser) plain() bool {
	n := min(p.left, len(p.buf))
	if n > 0 {
		p.msg.Body = append(p.msg.Body, p.buf[:n]...)
		p.take(n)
		p.left -= n
		p.total += n
	}
	return p.left == 0
}

func (p *Parser) chunks() bool {
	for p.err == nil {
		switch p.chunk {
		case chunkData:
			if !p.plain() {
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
			p.take(2)
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
		if p.beside += len(extension); p.beside > MaxHead && (!p.flowing || p.beside > MaxHead+p.total) {
			p.err = ErrMalformed
			return false
		}
		if p.chunk == chunkTrailer {
			if i > 0 {
				_, p.err = readField(line)
			}
			p.take(i + 2)
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
		case p.total+n > p.mostBody():
			err = p.tooLarge()
		}
		p.err = err
		p.take(i + 2)
		p.left, p.chunk = n, chunkData
		if n == 0 {
			p.chunk = chunkTrailer
		}
	}
	return false
}

// bytesOf is a set of bytes.
type bytesOf [256]bool

func setOf(chars string) *bytesOf {
	var s bytesOf
	for i := range len(chars) {
		s[chars[i]] = true
	}
	return &s
}

const (
	decimals = "0123456789"
	hexes    = decimals + "abcdefABCDEF"
	alphas   = decimals + "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

var (
	tokenBytes   = setOf(alphas + "!#$%&'*+-.^_`|~")
	nameBytes    = setOf(alphas + "-._~!$&'()*+,;=%") // of a host that is no IPv6 address
	addressBytes = setOf(hexes + ":.")                // of one that is
	decimalBytes = setOf(decimals)
)

func (s *bytesOf) all(b []byte) bool {
	for _, c := range b {
		if !s[c] {
			return false
		}
	}
	return true
}

func isToken(b []byte) bool { return len(b) > 0 && tokenBytes.all(b) }

// isAuthority tells whether b is a host, perhaps with a port. It may be empty.
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

// Flows tells whether the body is still on its way.
func (m *Message) Flows() bool { return m.Rest != nil }

// Drop tells that nobody wants the rest of it.
func (m *Message) Drop() {
	if m.Rest != nil {
		m.Rest.Drop()
	}
}

// hopByHop are the fields that belong to one connection, or that a writer sets itself.
var hopByHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
	"Upgrade", "Content-Length", "Expect", "Host"}

// kept are the fields that go on even where Connection names them: on a client's word alone a request would lose what
// keeps it from running twice. No other sender names what is meant for the last reader (RFC 9110, 7.6.1).
var kept = [...]string{"Req-Id", "Idempotency-Key", DeadlineField, "Req-Owner", "Req-Retry", "Req-Extra"}

// goesOn tells whether a field goes on with its message: it does not belong to the connection it came on.
func (m *Message) goesOn(name []byte) bool {
	for _, h := range hopByHop {
		if equalFold(name, h) {
			return false
		}
	}
	if !m.names {
		return true
	}
	for _, k := range kept {
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

// appendField writes one field.
func appendField[N, V string | []byte](dst []byte, name N, value V) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendRequest writes a request with the method, target, end-to-end fields and body of m. The field replace gets
// another value.
func AppendRequest(dst []byte, m *Message, host, replace string, value int) []byte {
	return append(AppendRequestHead(dst, m, host, replace, value), m.Body...)
}

// AppendRequestHead is AppendRequest without the body. One that flows without a known length is to be written in chunks.
func AppendRequestHead(dst []byte, m *Message, host, replace string, value int) []byte {
	dst = append(dst, m.Method...)
	dst = append(dst, ' ')
	dst = append(dst, m.Target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendField(dst, "Host", host)
	for _, f := range m.Fields {
		if m.goesOn(f.Name) && !equalFold(f.Name, replace) {
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

// AppendChunkHead writes what stands before a chunk of so many bytes; CRLF is to follow it, and LastChunk all of them.
func AppendChunkHead(dst []byte, size int) []byte {
	return append(strconv.AppendInt(dst, int64(size), 16), "\r\n"...)
}

// LastChunk ends a body in chunks.
const LastChunk = "0\r\n\r\n"

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	return append(strconv.AppendInt(dst, int64(n), 10), "\r\n"...)
}

// Continue is the interim answer that gives a client leave to send the body.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

var reasons = map[int]string{200: "OK", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
	508: "Loop Detected"}

// Reply is an answer to be written.
type Reply struct {
	Status int
	Fields string   // whole lines that stand before all others
	Of     *Message // an answer whose end-to-end fields go along, or nil
	Date   []byte   // the date, which one that comes with Of goes before; nil = none
	Body   []byte
	Close  bool // the connection ends after it
	Keep   bool // it does not, and the client speaks HTTP/1.0, in which that is to be said
	Head   bool // it answers HEAD: what would be its body is not sent

	Flows  bool // the body is not Body, but follows: in chunks, or in so many bytes
	Length int  // -1 = in chunks; -2 = it ends with the connection
}

// AppendResponse writes a response.
func AppendResponse(dst []byte, r Reply) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = append(strconv.AppendInt(dst, int64(r.Status), 10), ' ')
	dst = append(dst, reasons[r.Status]...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, r.Fields...)
	dated := r.Date == nil
	if r.Of != nil {
		for _, f := range r.Of.Fields {
			if r.Of.goesOn(f.Name) {
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
	case !r.Head || r.Status != 405: // after that, GET would get something else
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

// AppendDate writes a time as the Date field has it.
func AppendDate(dst []byte, t time.Time) []byte {
	return t.UTC().AppendFormat(dst, "Mon, 02 Jan 2006 15:04:05 GMT")
}
