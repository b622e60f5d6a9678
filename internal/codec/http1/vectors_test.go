package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// vectors reads messages and their expected results from a file in testdata.
func vectors(tb testing.TB, name string) (want, text []string) {
	file, err := os.ReadFile("testdata/" + name + ".txt")
	require.NoError(tb, err)
	for line := range strings.Lines(string(file)) {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		verdict, quoted, _ := strings.Cut(line, " ")
		message, err := strconv.Unquote(strings.TrimSpace(quoted))
		require.NoError(tb, err, line)
		want = append(want, verdict)
		text = append(text, strings.Replace(message, "~", "Host: h\r\nA: 1\r\n", 1))
	}
	return want, text
}

// Guards against messages that two parsers could interpret differently, against parsing that depends on how a
// message is split, and against a rejection with the wrong status.
func TestVectors(t *testing.T) {
	for name, parser := range map[string]func() *Parser{"requests": NewRequests, "answers": NewResponses} {
		want, text := vectors(t, name)
		for i := range text {
			for _, piece := range []int{1, 2, 7, 1000} {
				p := parser()
				m, err := read(p, text[i], piece)
				switch have := fmt.Sprint(Status(err)); {
				case err != nil:
					assert.Equal(t, want[i], have, "%q: %v", text[i], err)
				case m == nil:
					assert.Equal(t, want[i], "more", "%q", text[i])
				default:
					assert.Equal(t, want[i], "ok", "%q", text[i])
					assert.True(t, p.Idle(), "%q", text[i])
				}
			}
		}
	}
}

// spell replaces each byte that is an index of dictionary by that entry, so that the fuzzer explores messages that
// are nearly valid.
func spell(text []byte, words bool) (out []byte) {
	if !words {
		return text
	}
	for _, c := range text {
		if int(c) < len(dictionary) {
			out = append(out, dictionary[c]...)
		} else {
			out = append(out, c)
		}
	}
	return out
}

var dictionary = []string{"POST /a HTTP/1.1\r\nHost: h\r\n", "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n",
	"Content-Length: 3\r\n", "Transfer-Encoding", "Content-Length", "Host", "Connection", "Trailer", "Expect",
	"chunked", "identity", "gzip", "close", "keep-alive", "100-continue", "Req-Id", "Idempotency-Key", ": ", ":", "\r\n",
	"\r\n\r\n", "\n", "\r", "\t", " ", ",", ";", "=", "\"", "0\r\n\r\n", "3\r\nabc\r\n", "0\r\n", "3", "0", "a",
	"f", "+", "-", "_", "0x", "\x00", "\x0b", "\xff", "GET", "HEAD", "CONNECT", "OPTIONS", "http://", "/", "?", "*", "@",
	"[::1]", ":80", "#", "%", " HTTP/1.1", " HTTP/1.0", " HTTP/2.0", "HTTP/1.1 ", "HTTP/1.0 ", "100 C", "101 S", "204 N",
	"304 N", "200 OK"}

// fields returns a message's fields as net/http represents them.
func fields(m *Message) http.Header {
	h := http.Header{}
	for _, f := range m.Fields {
		h.Add(textproto.CanonicalMIMEHeaderKey(string(f.Name)), string(f.Value))
	}
	return h
}

// adjusted lists the fields that net/http removes from a message or adds to it.
var adjusted = []string{"Host", "Transfer-Encoding", "Trailer", "Pragma", "Cache-Control", "Connection"}

// same compares the results of both parsers and where each ends the message. It returns false if net/http cannot read
// the body.
func same(t *testing.T, m *Message, p *Parser, h http.Header, body io.Reader, in *bufio.Reader) bool {
	text, err := io.ReadAll(body)
	if err != nil {
		return false
	}
	rest, err := io.ReadAll(in)
	require.NoError(t, err)
	in.Reset(bytes.NewReader(rest))
	have := fields(m)
	for _, name := range adjusted {
		h.Del(name)
		have.Del(name)
	}
	require.Equal(t, h, have)
	require.Equal(t, string(text), string(m.Body))
	require.Equal(t, string(rest), string(p.buf))
	return true
}

// Guards against a request that two parsers interpret differently: if this parser and net/http both accept it, the
// results must be equal, and net/http must parse the forwarded request as this parser parsed the original.
func FuzzRequests(f *testing.F) {
	_, text := vectors(f, "requests")
	for _, t := range text {
		f.Add([]byte(t), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, words bool) {
		text = spell(text, words)
		p, in := NewRequests(), bufio.NewReaderSize(bytes.NewReader(text), 1<<17)
		p.Feed(text)
		for {
			m, err := p.Next()
			if m == nil || err != nil {
				return
			}
			checkForwarded(t, m)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if !same(t, m, p, r.Header, r.Body, in) {
				return
			}
			host, _ := m.Get("Host")
			require.Equal(t, r.Method, string(m.Method))
			require.Equal(t, r.Host, string(host))
			require.Equal(t, r.Close, m.Close)
			require.Equal(t, r.ProtoAtLeast(1, 1), !m.Old)
			target := r.RequestURI
			if r.URL.IsAbs() {
				_, target, _ = strings.Cut(target, "//")
				target = strings.TrimPrefix(target, r.URL.Host)
				if r.Method == "OPTIONS" && target == "" {
					target = "*"
				} else if !strings.HasPrefix(target, "/") {
					target = "/" + target
				}
			}
			require.Equal(t, target, string(m.Target))
		}
	})
}

// checkForwarded checks that net/http parses exactly one request from what a backend receives, equal to the original.
func checkForwarded(t *testing.T, m *Message) {
	if m.Target[0] != '/' {
		return // it is not forwarded to a backend
	}
	in := bufio.NewReaderSize(bytes.NewReader(AppendRequest(nil, m, "host:1", DeadlineField, 7)), 1<<18)
	r, err := http.ReadRequest(in)
	if bad := (*url.Error)(nil); errors.As(err, &bad) {
		return // a target with bad escapes, which the backend rejects
	}
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Zero(t, in.Buffered())
	require.Equal(t, string(m.Body), string(body))
	require.Equal(t, string(m.Target), r.RequestURI)
	require.Equal(t, string(m.Method), r.Method)
	require.Equal(t, "host:1", r.Host)
	require.False(t, r.Close)
	require.Equal(t, []string{"7"}, r.Header[DeadlineField])
	for _, name := range []string{"Req-Id", "Idempotency-Key", "Req-Owner", "Req-Retry", "Req-Extra"} {
		require.Equal(t, fields(m)[name], r.Header[name])
	}
}

// Guards against a response that is misinterpreted: if this parser and net/http both accept it, the results must be
// equal, and net/http must be able to parse what a client receives.
func FuzzAnswers(f *testing.F) {
	_, text := vectors(f, "answers")
	for _, t := range text {
		f.Add([]byte(t), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, words bool) {
		text = spell(text, words)
		p, in := NewResponses(), bufio.NewReaderSize(bytes.NewReader(text), 1<<17)
		p.Feed(text)
		m, err := p.Next()
		if m == nil || err != nil {
			return
		}
		r, err := http.ReadResponse(in, nil)
		for err == nil && r.StatusCode < 200 {
			r, err = http.ReadResponse(in, nil)
		}
		if err != nil || !same(t, m, p, r.Header, r.Body, in) {
			return
		}
		require.Equal(t, r.StatusCode, m.Status)
		require.False(t, r.Close && !m.Close)
		out := AppendResponse(nil, Reply{Status: 200, Of: m, Body: m.Body, Date: []byte("today")})
		in = bufio.NewReaderSize(bytes.NewReader(out), 1<<18)
		r, err = http.ReadResponse(in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Zero(t, in.Buffered())
		require.Equal(t, string(m.Body), string(body))
		require.NotEmpty(t, r.Header["Date"])
	})
}
