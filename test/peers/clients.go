package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// patience is how long one exchange may take before it counts as hung, in seconds.
const patience = 20

const (
	mostBody  = 32 << 20 // bytes that a node takes by default
	mostTries = 20
)

// ask is one request, whatever the client.
type ask struct {
	Method, Path string
	Fields       [][2]string
	Body         []byte
	Chunked      bool // its length is not told
	Waits        bool // it asks for leave to send the body
	Proxy        bool // it takes the node for a proxy: the target is in absolute form
	Old          bool // it speaks HTTP/1.0 and asks for the connection to be kept
	Upgrade      bool // it offers HTTP/2
	Pause        int  // milliseconds before it

	want int  // status
	kept bool // the connection of the ask before it has to be used
}

// proxied is the host that a proxied target names.
const proxied = "rating.internal"

// answer is what came back.
type answer struct {
	Status int
	Fields http.Header
	Body   []byte
	Reused bool // it came on the connection of the one before; meaningless where the client cannot tell
	Sent   bool // the body went out; the same
}

// client does asks one after the other, on kept connections where the node lets it.
type client interface {
	name() string
	can(a ask) (tells, ok bool) // tells: Reused and Sent are meant
	do(address string, asks []ask) ([]answer, error)
}

// goClient is net/http's client.
type goClient struct{}

func (goClient) name() string               { return "net/http" }
func (goClient) can(a ask) (tells, ok bool) { return true, !a.Old && !a.Upgrade }

// watched notes whether a body was read, and hides its length.
type watched struct {
	io.Reader
	read *atomic.Bool
}

func (w *watched) Read(b []byte) (int, error) {
	w.read.Store(true)
	return w.Reader.Read(b)
}

func (goClient) do(address string, asks []ask) (answers []answer, err error) {
	direct := &http.Transport{ExpectContinueTimeout: time.Hour, DisableCompression: true}
	through := direct.Clone()
	through.Proxy = http.ProxyURL(&url.URL{Scheme: "http", Host: address})
	defer direct.CloseIdleConnections()
	defer through.CloseIdleConnections()
	for _, a := range asks {
		time.Sleep(time.Duration(a.Pause) * time.Millisecond)
		base, transport := "http://"+address, direct
		if a.Proxy {
			base, transport = "http://"+proxied, through
		}
		var sent atomic.Bool
		body := func() (io.ReadCloser, error) {
			return io.NopCloser(&watched{bytes.NewReader(a.Body), &sent}), nil
		}
		r, err := http.NewRequest(a.Method, base+a.Path, nil)
		if err != nil {
			return nil, err
		}
		if len(a.Body) > 0 {
			r.Body, _ = body()
			r.GetBody, r.ContentLength = body, int64(len(a.Body))
		}
		if a.Chunked {
			r.ContentLength = -1
		}
		for _, f := range a.Fields {
			r.Header.Add(f[0], f[1])
		}
		if a.Waits {
			r.Header.Set("Expect", "100-continue")
		}
		var got answer
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) { got.Reused = i.Reused }}))
		back, err := (&http.Client{Transport: transport, Timeout: patience * time.Second}).Do(r)
		if err != nil {
			return nil, err
		}
		got.Status, got.Fields, got.Sent = back.StatusCode, back.Header, sent.Load()
		got.Body, err = io.ReadAll(back.Body)
		if err != nil {
			return nil, err
		}
		_ = back.Body.Close()
		answers = append(answers, got)
	}
	return answers, nil
}

// fastClient is fasthttp's client. It sends a body without waiting for leave, and has proxies through CONNECT only.
type fastClient struct{}

func (fastClient) name() string               { return "fasthttp" }
func (fastClient) can(a ask) (tells, ok bool) { return !a.Waits, !a.Old && !a.Upgrade && !a.Proxy }

func (fastClient) do(address string, asks []ask) (answers []answer, err error) {
	dials := 0
	c := &fasthttp.HostClient{Addr: address, MaxConns: 1, ReadTimeout: patience * time.Second,
		Dial: func(addr string) (net.Conn, error) { dials++; return net.Dial("tcp", addr) }}
	defer c.CloseIdleConnections()
	for _, a := range asks {
		time.Sleep(time.Duration(a.Pause) * time.Millisecond)
		r, back := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		r.Header.SetMethod(a.Method)
		r.SetRequestURI("http://" + address + a.Path)
		for _, f := range a.Fields {
			r.Header.Add(f[0], f[1])
		}
		if a.Waits {
			r.Header.Set("Expect", "100-continue")
		}
		if a.Chunked {
			r.SetBodyStream(bytes.NewReader(a.Body), -1)
		} else {
			r.SetBody(a.Body)
		}
		before := dials
		err := c.Do(r, back)
		for try := 1; errors.Is(err, syscall.EPIPE) && len(a.Body) > mostBody && try < mostTries; try++ {
			err = c.Do(r, back) // it does not read what is said to it while it sends: a slow machine's node has gone by then
		}
		if err != nil {
			return nil, err
		}
		got := answer{Status: back.StatusCode(), Fields: http.Header{}, Body: bytes.Clone(back.Body()),
			Reused: dials == before, Sent: true}
		for name, value := range back.Header.All() {
			got.Fields.Add(string(name), string(value))
		}
		answers = append(answers, got)
		fasthttp.ReleaseRequest(r)
		fasthttp.ReleaseResponse(back)
	}
	return answers, nil
}

// rawClient writes all of its asks at once and reads the answers, which no library does. Those behind an answer that ends
// the connection it writes again on another.
type rawClient struct{}

func (rawClient) name() string               { return "pipelined" }
func (rawClient) can(a ask) (tells, ok bool) { return false, !a.Waits }

func (c rawClient) do(address string, asks []ask) (answers []answer, err error) {
	for len(answers) < len(asks) {
		more, err := c.some(address, asks[len(answers):])
		if err != nil {
			return nil, err
		}
		answers = append(answers, more...)
	}
	return answers, nil
}

func (rawClient) some(address string, asks []ask) (answers []answer, err error) {
	var out bytes.Buffer
	for _, a := range asks {
		target, version := a.Path, "1.1"
		if a.Proxy {
			target = "http://" + proxied + target
		}
		if a.Old {
			version = "1.0"
		}
		fmt.Fprintf(&out, "%s %s HTTP/%s\r\nHost: %s\r\n", a.Method, target, version, address)
		if a.Old {
			out.WriteString("Connection: keep-alive\r\n")
		}
		if a.Upgrade {
			out.WriteString("Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n")
		}
		for _, f := range a.Fields {
			fmt.Fprintf(&out, "%s: %s\r\n", f[0], f[1])
		}
		if !a.Chunked {
			fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
			continue
		}
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for part := range bytes.SplitAfterSeq(a.Body, []byte("0")) {
			if len(part) > 0 {
				fmt.Fprintf(&out, "%x;a=b\r\n%s\r\n", len(part), part)
			}
		}
		out.WriteString("0\r\nA: trailer\r\n\r\n")
	}
	c, err := net.Dial("tcp", address) // now: a node does not wait long for one that connects and says nothing
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(patience * time.Second)); err != nil {
		return nil, err
	}
	go func() { _, _ = c.Write(out.Bytes()) }()
	in := bufio.NewReader(c)
	for _, a := range asks {
		back, err := http.ReadResponse(in, &http.Request{Method: a.Method})
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(back.Body)
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer{Status: back.StatusCode, Fields: back.Header, Body: body})
		if back.Close {
			break
		}
	}
	return answers, nil
}

// curlClient is the program curl, one run for all asks.
type curlClient struct{}

func (curlClient) name() string             { return "curl" }
func (curlClient) can(ask) (tells, ok bool) { return true, true }

func (curlClient) do(address string, asks []ask) (answers []answer, err error) {
	dir, err := os.MkdirTemp("", "peers")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file := func(kind string, i int) string { return filepath.Join(dir, kind+strconv.Itoa(i)) }
	args := []string{}
	for i, a := range asks {
		if i > 0 {
			args = append(args, "--next")
		}
		args = append(args, "-sS", "--max-time", strconv.Itoa(patience), "--expect100-timeout", strconv.Itoa(10*patience),
			"-D", file("head", i), "-o", file("body", i), "-w", "%{http_code} %{num_connects} %{size_upload}\n")
		base := "http://" + address
		if a.Proxy {
			base = "http://" + proxied
			args = append(args, "-x", "http://"+address)
		} else {
			args = append(args, "--noproxy", "*")
		}
		switch {
		case a.Method == "HEAD":
			args = append(args, "-I")
		case a.Method == "POST":
			if err := os.WriteFile(file("ask", i), a.Body, 0o600); err != nil {
				return nil, err
			}
			args = append(args, "--data-binary", "@"+file("ask", i))
		case a.Method != "GET":
			args = append(args, "-X", a.Method)
		}
		for _, f := range a.Fields {
			args = append(args, "-H", f[0]+": "+f[1])
		}
		for on, more := range map[bool][]string{a.Chunked: {"-H", "Transfer-Encoding: chunked"},
			a.Waits: {"-H", "Expect: 100-continue"}, a.Old: {"-0", "-H", "Connection: keep-alive"}, a.Upgrade: {"--http2"}} {
			if on {
				args = append(args, more...)
			}
		}
		args = append(args, base+a.Path)
	}
	out, err := exec.Command("curl", args...).Output()
	if err != nil {
		return nil, told(err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	for i := range asks {
		var got answer
		var connects, upload int
		if _, err := fmt.Sscan(lines[i], &got.Status, &connects, &upload); err != nil {
			return nil, fmt.Errorf("reading %q: %w", lines[i], err)
		}
		got.Reused, got.Sent = connects == 0, upload > 0
		got.Body, err = os.ReadFile(file("body", i))
		if err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		if asks[i].Method == "HEAD" {
			got.Body = nil // curl puts the head there
		}
		head, err := os.ReadFile(file("head", i))
		if err != nil {
			return nil, err
		}
		heads := strings.Split(strings.TrimSpace(string(head)), "\r\n\r\n")
		_, last, _ := strings.Cut(heads[len(heads)-1], "\r\n")
		fields, err := textproto.NewReader(bufio.NewReader(strings.NewReader(last + "\r\n\r\n"))).ReadMIMEHeader()
		if err != nil {
			return nil, err
		}
		got.Fields = http.Header(fields)
		answers = append(answers, got)
	}
	return answers, nil
}

// told adds what a program wrote about its error.
func told(err error) error {
	if e := (*exec.ExitError)(nil); errors.As(err, &e) {
		return fmt.Errorf("%w: %s", err, bytes.TrimSpace(e.Stderr))
	}
	return err
}

// nodeClient is Node.js, with its module http or with fetch.
type nodeClient struct {
	script string // the path of peer.js
	fetch  bool
}

func (c nodeClient) name() string {
	if c.fetch {
		return "Node.js fetch"
	}
	return "Node.js http"
}

func (c nodeClient) can(a ask) (tells, ok bool) {
	return !c.fetch, !a.Old && !a.Upgrade && !(c.fetch && (a.Waits || a.Proxy || a.Method == "TRACE"))
}

func (c nodeClient) do(address string, asks []ask) (answers []answer, err error) {
	in, err := json.Marshal(asks)
	if err != nil {
		return nil, err
	}
	mode := "http"
	if c.fetch {
		mode = "fetch"
	}
	run := exec.Command("node", c.script, mode, address, proxied, strconv.Itoa(patience))
	run.Stdin = bytes.NewReader(in)
	out, err := run.Output()
	if err != nil {
		return nil, told(err)
	}
	err = json.Unmarshal(out, &answers)
	for i := range answers {
		fields := http.Header{}
		for name, values := range answers[i].Fields {
			fields[textproto.CanonicalMIMEHeaderKey(name)] = values
		}
		answers[i].Fields = fields
	}
	return answers, err
}
