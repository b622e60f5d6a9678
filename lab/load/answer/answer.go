// Package answer reads HTTP/1.1 answers piece by piece, for a tool that wants to know when one is whole and little
// else. It shares nothing with the node's parser. No I/O; it keeps at most MaxHead bytes of a head.
package answer

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead is how long a head, a line of a chunk or a trailer may be.
const MaxHead = 16 << 10

// What an answer can be wrong in.
var (
	errHead   = errors.New("the answer's head is longer than 16 KiB")
	errLine   = errors.New("the answer's first line is no HTTP/1.x status line")
	errField  = errors.New("a line of the answer's head is no field")
	errLength = errors.New("the answer's length is no number, or it has two")
	errChunk  = errors.New("a chunk of the answer has no size")
)

// Reader reads one answer after another. The zero value is ready for a GET's.
type Reader struct {
	// Status is that of the answer.
	Status int
	// Keep says that the connection may carry another request.
	Keep bool
	// RetryAfter is what the answer asks for in seconds; 0 for none.
	RetryAfter float64
	// Bytes is how many bytes of the answer have come.
	Bytes int64

	bodiless bool // the request was a HEAD
	at       state
	left     int64 // bytes of the body or the chunk still to come
	line     []byte
}

type state int

const (
	inHead state = iota
	inBody
	toEnd // a body that lasts until the connection ends
	inSize
	inChunk
	inTrailer
	whole
)

// Reset makes it ready for the answer to the next request.
func (r *Reader) Reset(head bool) {
	*r = Reader{bodiless: head, line: r.line[:0]}
}

// Began says that a byte of the answer has come.
func (r *Reader) Began() bool { return r.at != inHead || len(r.line) > 0 }

// Feed takes what came next and says whether the answer is whole with it. One request at a time is out, so that bytes
// behind the answer belong to none: the connection is not to be kept.
func (r *Reader) Feed(b []byte) (bool, error) {
	r.Bytes += int64(len(b))
	for len(b) > 0 {
		switch r.at {
		case inHead:
			head, rest, err := r.until(b, "\r\n\r\n")
			if err != nil || head == nil {
				return false, err
			}
			b = rest
			if err := r.head(head); err != nil {
				return false, err
			}
			r.line = r.line[:0]
		case inBody, inChunk:
			n := min(r.left, int64(len(b)))
			b, r.left = b[n:], r.left-n
			if r.left == 0 {
				r.bodyEnds()
			}
		case toEnd:
			return false, nil
		case inSize, inTrailer:
			line, rest, err := r.until(b, "\r\n")
			if err != nil || line == nil {
				return false, err
			}
			b = rest
			if err := r.chunkLine(line); err != nil {
				return false, err
			}
			r.line = r.line[:0]
		case whole:
			r.Keep = false
			return true, nil
		}
	}
	return r.at == whole, nil
}

// End tells that the connection has ended and says whether that makes the answer whole.
func (r *Reader) End() bool { return r.at == toEnd }

// until gives what is up to and with a mark, nil while it has not come, and what is behind it. What it gives lasts
// until line is reset.
func (r *Reader) until(b []byte, mark string) (piece, rest []byte, err error) {
	if len(r.line) == 0 {
		if i := bytes.Index(b, []byte(mark)); i >= 0 {
			return b[:i+len(mark)], b[i+len(mark):], nil
		}
	}
	had := len(r.line)
	room := min(len(b), MaxHead-had)
	r.line = append(r.line, b[:room]...)
	from := max(had-len(mark)+1, 0)
	i := bytes.Index(r.line[from:], []byte(mark))
	switch {
	case i >= 0:
		end := from + i + len(mark)
		return r.line[:end], b[end-had:], nil
	case len(r.line) >= MaxHead:
		return nil, nil, errHead
	}
	return nil, nil, nil
}

// head reads a whole head and says what comes behind it.
func (r *Reader) head(head []byte) error {
	first, fields, _ := bytes.Cut(head, []byte("\r\n"))
	// HTTP/1.x NNN
	if len(first) < 12 || !bytes.HasPrefix(first, []byte("HTTP/1.")) || first[8] != ' ' ||
		len(first) > 12 && first[12] != ' ' {
		return errLine
	}
	status, err := strconv.Atoi(string(first[9:12]))
	if err != nil || status < 100 {
		return errLine
	}
	if status < 200 {
		return nil // an interim answer: the one that counts is still to come
	}
	r.Status, r.Keep = status, first[7] == '1'
	length, chunked := int64(-1), false
	for len(fields) > 0 {
		var field []byte
		if field, fields, _ = bytes.Cut(fields, []byte("\r\n")); len(field) == 0 {
			break
		}
		name, value, ok := bytes.Cut(field, []byte(":"))
		if !ok || len(name) == 0 {
			return errField
		}
		value = bytes.TrimSpace(value)
		switch {
		case is(name, "content-length"):
			n, err := strconv.ParseUint(string(value), 10, 62)
			if err != nil || length >= 0 && length != int64(n) {
				return errLength
			}
			length = int64(n)
		case is(name, "transfer-encoding"):
			codings := bytes.Split(value, []byte(","))
			chunked = is(bytes.TrimSpace(codings[len(codings)-1]), "chunked")
		case is(name, "connection"):
			for token := range bytes.SplitSeq(value, []byte(",")) {
				token = bytes.TrimSpace(token)
				r.Keep = !is(token, "close") && (r.Keep || is(token, "keep-alive"))
			}
		case is(name, "retry-after"):
			if s, err := strconv.ParseFloat(string(value), 64); err == nil && s > 0 && s < 1e6 {
				r.RetryAfter = s
			}
		}
	}
	switch {
	case r.bodiless || status == 204 || status == 304 || length == 0 && !chunked:
		r.at = whole
	case chunked:
		r.at = inSize
	case length > 0:
		r.at, r.left = inBody, length
	default:
		r.at, r.Keep = toEnd, false
	}
	return nil
}

// bodyEnds goes on behind a body or the data of a chunk.
func (r *Reader) bodyEnds() {
	if r.at == inBody {
		r.at = whole
	} else {
		r.at = inSize
	}
}

// chunkLine reads a chunk's size or a line of the trailer.
func (r *Reader) chunkLine(line []byte) error {
	line = line[:len(line)-2]
	if r.at == inTrailer {
		if len(line) == 0 {
			r.at = whole
		}
		return nil
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil {
		return errChunk
	}
	if size == 0 {
		r.at = inTrailer
	} else {
		// The line end behind the data goes with it.
		r.at, r.left = inChunk, int64(size)+2
	}
	return nil
}

// is compares without case, to a lower-case word.
func is(b []byte, word string) bool {
	return len(b) == len(word) && bytes.EqualFold(b, []byte(word))
}
