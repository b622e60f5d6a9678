package main

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
)

const deadline = 50000 // milliseconds

var lastID atomic.Int64

// good is a request that is to be served, with a new id.
func good(method, path string, body []byte) ask {
	fields := [][2]string{{"Req-Id", fmt.Sprintf("peer-%d", lastID.Add(1))}, {"Req-Deadline-Ms", strconv.Itoa(deadline)}}
	if strings.HasPrefix(path, "/alert") {
		fields = append(fields, [2]string{"Idempotency-Key", "k-" + fields[0][1]})
	}
	return ask{Method: method, Path: path, Body: body, Fields: fields, want: 200}
}

// with changes a request.
func (a ask) with(change func(*ask)) ask {
	change(&a)
	return a
}

func waits(a *ask)          { a.Waits = true }
func chunked(a *ask)        { a.Chunked = true }
func proxy(a *ask)          { a.Proxy = true }
func old(a *ask)            { a.Old = true }
func upgrade(a *ask)        { a.Upgrade = true }
func onKept(a *ask)         { a.kept = true }
func nameless(a *ask)       { a.Fields = a.Fields[1:] }
func want(s int) func(*ask) { return func(a *ask) { a.want = s } }

// exchange is what a client does on one connection, or as few as the node lets it have.
type exchange struct {
	name string
	asks []ask
}

func exchanges() []exchange {
	text := func(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), (n+15)/16)[:n] }
	get := func() ask { return good("GET", "/look/1?x=%20y&z=http://w/", nil) }
	post := func(n int) ask { return good("POST", "/pay/1", text(n)) }
	answers := func(how string, status int) []ask {
		first := good("GET", "/look/1?how="+how, nil).with(want(status))
		if how == "gzip" {
			first.Fields = append(first.Fields, [2]string{"Accept-Encoding", "gzip"})
		}
		return []ask{first, get().with(onKept)}
	}
	return []exchange{
		{"GET", []ask{get()}},
		{"POST, 5 bytes", []ask{post(5)}},
		{"POST, no body", []ask{post(0)}},
		{"POST with a key, 64 KiB", []ask{good("POST", "/alert/1", text(64<<10))}},
		{"POST, chunked, 20 kB", []ask{post(20000).with(chunked)}},
		{"`Expect: 100-continue`, 5 bytes and 60 kB", []ask{post(5).with(waits), post(60000).with(waits).with(onKept)}},
		{"`Expect`, chunked", []ask{post(20000).with(waits).with(chunked)}},
		{"`Expect` where the head is refused", []ask{good("POST", "/nothing", text(60000)).with(waits).with(want(404)), get()}},
		{"six on one connection", []ask{get(), post(1).with(onKept), get().with(onKept), post(64 << 10).with(onKept),
			post(0).with(onKept), get().with(onKept)}},
		{"HEAD of a class, then GET", []ask{good("HEAD", "/look/1", nil).with(want(405)), get()}},
		{"HEAD /up, then GET /up", []ask{good("HEAD", "/up", nil), good("GET", "/up", nil).with(onKept)}},
		{"OPTIONS, DELETE", []ask{good("OPTIONS", "/pay/1", nil).with(want(405)),
			good("DELETE", "/look/1", nil).with(want(405)).with(onKept)}},
		{"refused with its body, then served", []ask{good("POST", "/nothing", text(9000)).with(want(404)),
			post(9).with(nameless).with(want(400)).with(onKept), get().with(onKept)}},
		{"a body that flows", []ask{post(64<<10 + 1), post(256<<10 + 1), get()}},
		{"a body of 3 MB", []ask{post(3 << 20), get()}},
		{"a body one byte too long", []ask{post(32<<20 + 1).with(want(413)), get()}},
		{"through the proxy setting", []ask{get().with(proxy), post(5).with(proxy).with(onKept)}},
		{"HTTP/1.0 with keep-alive", []ask{get().with(old), post(5).with(old).with(onKept)}},
		{"an offer of HTTP/2", []ask{get().with(upgrade)}},
		{"answer: chunked", answers("chunked", 200)},
		{"answer: 64 KiB", answers("large", 200)},
		{"answer: empty", answers("empty", 200)},
		{"answer: gzip", answers("gzip", 200)},
		{"answer: after two 103", answers("hints", 200)},
		{"answer: the rater closes", answers("close", 200)},
		{"answer: 204", answers("204", 503)},
		{"answer: 304", answers("304", 503)},
		{"answer: 500", answers("500", 503)},
		{"answer: turned away", answers("declined", 503)},
	}
}

// check compares an answer with what its request has to get.
func check(a ask, got answer, tells bool) error {
	body := got.Body
	switch {
	case got.Status != a.want:
		return fmt.Errorf("status %d, not %d: %q", got.Status, a.want, body)
	case got.Fields.Get("Date") == "":
		return fmt.Errorf("no Date")
	case a.want == 405 && got.Fields.Get("Allow") == "":
		return fmt.Errorf("405 without Allow")
	case tells && a.kept && !got.Reused:
		return fmt.Errorf("the connection was not used again")
	case tells && a.Waits && got.Sent != (a.want == 200):
		return fmt.Errorf("status %d and the body sent: %t", a.want, got.Sent)
	case a.Method == "HEAD":
		if len(body) > 0 {
			return fmt.Errorf("a body after HEAD: %q", body)
		}
		return nil
	case a.want == 503:
		return nil
	case a.want != 200:
		if got.Fields.Get("Content-Type") != "text/plain; charset=utf-8" || len(body) == 0 {
			return fmt.Errorf("nothing says why: %q", body)
		}
		return nil
	case a.Path == "/up":
		if string(body) != "ready\n" {
			return fmt.Errorf("body %q", body)
		}
		return nil
	}
	target, err := url.Parse(a.Path)
	if err != nil {
		return err
	}
	expected := echo(target.Query().Get("how"), a.Method, a.Path, "", false, a.Body)
	if got.Fields.Get("Content-Encoding") == "gzip" && bytes.HasPrefix(body, []byte{0x1f, 0x8b}) {
		r, err := gzip.NewReader(bytes.NewReader(body))
		if err != nil {
			return err
		}
		if body, err = io.ReadAll(r); err != nil {
			return err
		}
	} else if strings.HasSuffix(a.Path, "gzip") && got.Fields.Get("Content-Encoding") == "" {
		return fmt.Errorf("no Content-Encoding")
	}
	if !bytes.Equal(body, expected.body) {
		return fmt.Errorf("body of %d bytes %.60q, not %d bytes %.60q", len(body), body, len(expected.body), expected.body)
	}
	if saw := got.Fields.Get("X-Saw"); saw != expected.fields[0][1] {
		return fmt.Errorf("the rater saw %q", saw)
	}
	if left, err := strconv.Atoi(got.Fields.Get("X-Left")); err != nil || left < 1 || left > deadline {
		return fmt.Errorf("the rater was told %q ms", got.Fields.Get("X-Left"))
	}
	return nil
}
