package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// read feeds text in pieces and returns the first message.
func read(p *Parser, text string, piece int) (m *Message, err error) {
	for len(text) > 0 && m == nil && err == nil {
		n := min(piece, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		m, err = p.Next()
	}
	return m, err
}

// Guards against parsing that depends on how the bytes of a message are split.
func TestWholeMessages(t *testing.T) {
	for _, c := range []struct {
		text, body string
		response   bool
		end        bool
	}{
		{"\r\nPOST /a?b HTTP/1.1\r\nHost: h\r\nA: 1\r\nContent-Length: 3\r\n\r\nabc", "abc", false, false},
		{"GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", "", false, true},
		{"GET / HTTP/1.0\r\n\r\n", "", false, true},
		{"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "", false, false},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
			"abc0123456789", false, false},
		{"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok", true, false},
		{"HTTP/1.1 204 None\r\n\r\n", "", true, false},
	} {
		for _, piece := range []int{1, 2, 7, 1000} {
			p := &Parser{response: c.response}
			m, err := read(p, c.text, piece)
			require.NoError(t, err, c.text)
			require.NotNil(t, m, c.text)
			assert.Equal(t, c.body, string(m.Body), c.text)
			assert.Equal(t, c.end, m.Close, c.text)
			assert.True(t, p.Idle(), c.text)
		}
	}
}

// Guards against endless interim responses, and against allocating memory for a body of which only the length has
// arrived.
func TestUnsentBodyTakesNoMemory(t *testing.T) {
	_, err := read(NewResponses(), strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 1000), 1000)
	assert.ErrorIs(t, err, ErrMalformed)
	p := NewRequests()
	m, err := read(p, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n", 1000)
	require.NoError(t, err)
	assert.Nil(t, m)
	assert.LessOrEqual(t, cap(p.msg.Body), initialBody)
}

// Guards against a body of tiny chunks that occupies the node's single core for long: the work must not grow with the
// square of the number of bytes.
func BenchmarkTinyChunks(b *testing.B) {
	text := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 60000) + "0\r\n\r\n")
	for b.Loop() {
		p := NewRequests()
		p.Feed(text)
		m, err := p.Next()
		require.NoError(b, err)
		require.Len(b, m.Body, 60000)
	}
}

// Guards against unbounded messages: head, fields, trailers, and extensions of many chunks.
func TestBounds(t *testing.T) {
	long, chunked := strings.Repeat("x", MaxHead), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for text, want := range map[string]error{
		"GET /" + long: ErrTarget,
		long + " ":     ErrMalformed,
		"GET / HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n":                           ErrHead,
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: 1\r\n", maxFields) + "\r\n": ErrHead,
		chunked + "0\r\n" + long + "x: 1\r\n":                                            ErrMalformed,
		chunked + "0\r\n" + strings.Repeat("A: 1\r\n", MaxHead/4+1):                      ErrMalformed,
		chunked + strings.Repeat("1;"+long[:100]+"\r\na\r\n", MaxHead/100+1):             ErrMalformed,
	} {
		_, err := read(NewRequests(), text, 100)
		assert.ErrorIs(t, err, want, "%.80q", text)
	}
}

// Guards against a parser that panics, buffers more than its limit, or parses a serialized message differently.
func FuzzParser(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nA: 1\r\nContent-Length: 3\r\n\r\nabc"), 3)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 2)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		piece = 1 + (piece&0xff+256)%256
		_, _ = read(NewResponses(), string(text), piece)
		m, err := read(NewRequests(), string(text), piece)
		whole, wholeErr := read(NewRequests(), string(text), len(text)+1)
		if m == nil || err != nil {
			if whole == nil {
				assert.Equal(t, wholeErr == nil, err == nil)
			}
			return
		}
		require.NotNil(t, whole)
		assert.LessOrEqual(t, len(m.Body), MaxBody)
		again, err := read(NewRequests(), string(AppendRequest(nil, m, "h", "", 0)), piece)
		if len(m.Fields) < maxFields-1 && len(m.Target) < MaxHead/2 && err == nil {
			require.NotNil(t, again)
			assert.Equal(t, string(whole.Target), string(again.Target))
			if string(m.Method) != "GET" || len(m.Body) > 0 {
				assert.Equal(t, string(whole.Body), string(again.Body))
			}
		}
	})
}

// Guards against a streamed body that differs from what was sent, for each framing and split, and against reading
// what follows the body as part of it.
func TestStreamedBodies(t *testing.T) {
	body := strings.Repeat("0123456789", 30)
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for i := 0; i < len(body); i += 30 {
		chunked += "1e;some=extension\r\n" + body[i:i+30] + "\r\n"
	}
	for _, c := range []struct {
		text   string
		length int
	}{
		{"Content-Length: 300\r\n\r\n" + body, 300}, {chunked + "0\r\nT: 1\r\n\r\n", -1}, {"Connection: close\r\n\r\n" + body, -1},
	} {
		toEnd := strings.HasPrefix(c.text, "Connection")
		for _, piece := range []int{1, 7, 1000} {
			p := NewFlowing(true, 300, Flow{Whole: 20, Known: 64, AtOnce: true})
			text, got, returned, done := "HTTP/1.1 200 OK\r\n"+c.text, "", false, false
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				p.Feed([]byte(rest[:n]))
				rest = rest[n:]
				if !returned {
					m, err := p.Next()
					require.NoError(t, err)
					if returned = m != nil; !returned {
						continue
					}
					got = string(m.Body)
					if done = !p.Flowing(); done { // the whole body came with the message
						continue
					}
					assert.Equal(t, c.length, m.Length)
				}
				b, all, err := p.Piece()
				require.NoError(t, err)
				got, done = got+string(b), all
			}
			if toEnd {
				require.True(t, p.ToEnd())
				_, done = p.End()
			}
			require.True(t, done, text)
			assert.Equal(t, body, got)
			assert.True(t, p.Idle())
		}
	}
	p := NewFlowing(true, 299, Flow{Whole: 20, Known: 64, AtOnce: true})
	_, err := read(p, "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n", 1000)
	assert.ErrorIs(t, err, ErrOver)
	p = NewFlowing(true, 300, Flow{Whole: 20})
	m, err := read(p, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort", 1000)
	require.NoError(t, err)
	require.Nil(t, m)
	m, whole := p.End()
	require.True(t, whole)
	assert.Equal(t, "short", string(m.Body))
}
