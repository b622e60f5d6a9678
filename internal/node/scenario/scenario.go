// Package scenario runs scripted end-to-end tests of a node: it provides fake backends, a fake discovery service and
// clients, and a small language for the steps. A scenario is a list of steps, one on each line:
//
//	a send POST /pay/1 id=1 deadline=900 key=k body=hi   client a sends a request on its connection
//	a send raw "GET / HTTP/1.1\r\n"                      or arbitrary bytes
//	a expect 503 Retry-After=0.5                         and receives a response
//	a expect raw "HTTP/1.1 503 *\r\n"                    or bytes, where * matches anything within a line
//	a eventually 400                                     like expect, while the clock advances until it arrives
//	a close                                              and closes its connection
//	a expect refused                                     the node no longer accepts new connections
//	r expect POST /pay/1 body=hi host=h1                 a backend receives a forwarded request, named r from now on
//	r send 200 body=ok                                   and responds to it, or `send raw "..."`
//	r close    r expect close                            the backend, or the node, closes the connection
//	d expect /discovery/hosts                            discovery receives a request
//	d send 2 whole h1:Ready h2:Terminating               and responds with a snapshot; `changes` for a delta
//	d close    d end                                     or resets the connection, or closes it
//	node send other                                      the configuration names the other discovery; the node gets SIGHUP
//	node close    node expect end                        the node is asked to stop, and has stopped
//	wait 250                                             the clock advances by 250 milliseconds
//
// Clients are named a, b, c, e, f and g, forwarded requests r, s and t, followed by digits if more are needed. An
// expect blocks until it is met and fails if anything else arrives. While a step expects a connection to be
// closed, the clock advances.
package scenario

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/loopback"
)

// Loopback returns an IP address of the loopback network for this process alone. At a shared address the port of a
// closed socket may soon belong to another process, and whoever still connects to it reaches the wrong one.
func Loopback(t testing.TB) string {
	host, err := loopback.Host()
	require.NoError(t, err)
	return host
}

// stepTimeout is the maximum real time of a step before the scenario fails.
const stepTimeout = time.Minute

// Stage is the environment of the node under test.
type Stage struct {
	Clock     *clock.Manual
	Discovery string
	Other     string             // address of a second discovery service, "other" in the steps
	Reload    func(which string) // set by the test: reloads the node with another configuration
	Hosts     map[string]string  // addresses of the backends by name
	Stop      func()             // set by the test: begins the graceful shutdown
	Ended     chan error         // the test sends the result of the node when it has ended
	Address   func() string      // set by the test: returns the listening address of the node

	t                 *testing.T
	backendRequests   chan *peer // requests that backends received
	discoveryRequests chan *peer // requests that discovery received
	peers             map[string]*peer
}

// peer is one connection to or from the node.
type peer struct {
	net     net.Conn
	host    string
	in      chan []byte    // received bytes; closed at the end of the connection
	ended   chan struct{}  // closed at the end of the connection
	text    []byte         // received bytes that no step has consumed yet
	request *http1.Message // the request, on a connection from the node
}

// New starts discovery and a backend for each of the names. It adds a backend named dead, which refuses
// connections, and one named heir, at the address of the last one.
func New(t *testing.T, hosts ...string) *Stage {
	s := &Stage{Clock: clock.NewManual(1.7e12), Hosts: map[string]string{}, Ended: make(chan error, 1), t: t,
		backendRequests: make(chan *peer, 64), discoveryRequests: make(chan *peer, 64), peers: map[string]*peer{}}
	s.Discovery, s.Other = s.listen("", s.discoveryRequests), s.listen("other", s.discoveryRequests)
	s.Hosts["dead"] = deadAddress(t)
	for _, name := range hosts {
		s.Hosts[name] = s.listen(name, s.backendRequests)
		s.Hosts["heir"] = s.Hosts[name]
	}
	return s
}

// deadAddress returns an address whose port is bound, so that no other process gets it, but not listened on.
func deadAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: netip.MustParseAddr(Loopback(t)).As4()}))
	address, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("%s:%d", Loopback(t), address.(*syscall.SockaddrInet4).Port)
}

// listen accepts connections and sends each request that arrives on one of them to requests.
func (s *Stage) listen(host string, requests chan *peer) string {
	address, err := loopback.FreeAddress() // not used by an earlier stage, whose node may still connect to it
	require.NoError(s.t, err)
	l, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.t.Cleanup(func() { _ = c.Close() })
			p := s.read(c, host)
			go func() {
				parser := http1.NewRequests()
				for text := range p.in {
					parser.Feed(text)
					for m, _ := parser.Next(); m != nil; m, _ = parser.Next() {
						requests <- &peer{net: c, host: host, ended: p.ended, request: m}
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// read starts to read from a connection, until it ends.
func (s *Stage) read(c net.Conn, host string) *peer {
	p := &peer{net: c, host: host, in: make(chan []byte, 1024), ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		defer close(p.in)
		for {
			buf := make([]byte, 4096)
			n, err := c.Read(buf)
			if n > 0 {
				p.in <- buf[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	return p
}

// readMore waits for further bytes.
func (p *peer) readMore() error {
	return within(p.in, func(text []byte) error {
		if text == nil {
			return fmt.Errorf("the connection ended after %q", p.text)
		}
		p.text = append(p.text, text...)
		return nil
	})
}

// readResponse returns the next response. It parses byte by byte, so that the bytes after the response are left for
// the next step.
func (p *peer) readResponse() (m *http1.Message, err error) {
	parser := http1.NewResponses()
	for used := 0; m == nil && err == nil; used++ {
		if used == len(p.text) {
			if err = p.readMore(); err != nil {
				break
			}
		}
		parser.Feed(p.text[used : used+1])
		if m, err = parser.Next(); m != nil {
			p.text = p.text[used+1:]
			break
		}
	}
	return m, err
}

// expectRaw consumes bytes that match the quoted text, in which * matches anything within a line.
func (p *peer) expectRaw(quoted string) error {
	text, err := strconv.Unquote(quoted)
	if err != nil {
		return err
	}
	want := regexp.MustCompile("^" + strings.ReplaceAll(regexp.QuoteMeta(text), `\*`, "[^\r\n]*"))
	for {
		if found := want.Find(p.text); found != nil {
			p.text = p.text[len(found):]
			return nil
		}
		if err := p.readMore(); err != nil {
			return fmt.Errorf("%w; so far %q", err, p.text)
		}
	}
}

// Run runs the steps of a scenario.
func (s *Stage) Run(text string) {
	for step := range strings.SplitSeq(text, "\n") {
		step = strings.TrimSpace(step)
		if step == "" || strings.HasPrefix(step, "#") {
			continue
		}
		require.NoError(s.t, s.step(step), "step %q", step)
	}
}

// step runs one step.
func (s *Stage) step(step string) error {
	who, rest, _ := strings.Cut(step, " ")
	verb, rest, _ := strings.Cut(rest, " ")
	switch {
	case who == "wait":
		ms, err := strconv.ParseFloat(verb, 64)
		s.Clock.Advance(ms)
		return err
	case who == "node" && verb == "close":
		s.Stop()
		return nil
	case who == "node" && verb == "send":
		s.Reload(rest)
		return nil
	case who == "node":
		return within(s.Ended, func(err error) error { return err })
	case who == "d" && verb == "expect":
		return s.expectRequest(who, s.discoveryRequests, "GET "+rest)
	case who == "d" && verb == "close":
		_ = s.peers[who].net.(*net.TCPConn).SetLinger(0)
		return s.peers[who].net.Close()
	case who == "d" && verb == "end":
		return s.peers[who].net.Close()
	case who == "d":
		return s.sendEndpoints(rest)
	case strings.IndexByte("rst", who[0]) >= 0 && verb == "expect" && rest != "close":
		return s.expectRequest(who, s.backendRequests, rest)
	case strings.IndexByte("abcefg", who[0]) >= 0 && rest == "refused":
		return s.expectRefused()
	case strings.IndexByte("abcefg", who[0]) >= 0 && verb == "send":
		return s.sendRequest(who, rest)
	}
	p := s.peers[who]
	switch {
	case p == nil:
		return errors.New("unknown participant")
	case verb == "close":
		return p.net.Close()
	case verb == "expect" && rest == "close":
		defer s.advanceClock()()
		return within(p.ended, func(struct{}) error { return nil })
	case verb == "expect" && strings.HasPrefix(rest, "raw "):
		return p.expectRaw(rest[4:])
	case verb == "expect" || verb == "eventually":
		if verb == "eventually" {
			defer s.advanceClock()()
		}
		m, err := p.readResponse()
		if err != nil {
			return err
		}
		status, want, _ := strings.Cut(rest, " ")
		if strconv.Itoa(m.Status) != status {
			return fmt.Errorf("status %d", m.Status)
		}
		return match(m, want)
	case verb == "send":
		return p.send(rest, func(status string, fields string, body string) string {
			return fmt.Sprintf("HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
		})
	}
	return errors.New("unknown step")
}

// advanceClock advances the clock slowly until stop is called. It is for events that a time limit triggers: the
// limit runs from the moment when the node noticed something, which may be after the steps that waited.
func (s *Stage) advanceClock() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				s.Clock.Advance(100)
			}
		}
	}()
	return func() { close(done); <-ended }
}

var errTimeout = errors.New("nothing arrived before the time limit")

// within calls f with the next value of a channel. It returns errTimeout if none arrives within stepTimeout.
func within[T any](from chan T, f func(T) error) error {
	select {
	case v := <-from:
		return f(v)
	case <-time.After(stepTimeout):
		return errTimeout
	}
}

// fieldNames are the header fields by their short names.
var fieldNames = map[string]string{"id": "Req-Id", "deadline": "Req-Deadline-Ms", "key": "Idempotency-Key",
	"owner": "Req-Owner", "declined": "Srv-Declined"}

// send writes the message that text describes: raw bytes, or a start line with header fields and a body.
func (p *peer) send(text string, form func(line, fields, body string) string) error {
	out := ""
	if raw, ok := strings.CutPrefix(text, "raw "); ok {
		var err error
		if out, err = strconv.Unquote(raw); err != nil {
			return err
		}
	} else {
		var line []string
		fields, body := "", ""
		for _, part := range strings.Fields(text) {
			name, value, ok := strings.Cut(part, "=")
			switch {
			case !ok || strings.HasPrefix(part, "/"):
				line = append(line, part)
			case name == "body":
				body = value
			default:
				fields += fieldName(name) + ": " + value + "\r\n"
			}
		}
		out = form(strings.Join(line, " "), fields, body)
	}
	_, err := p.net.Write([]byte(out))
	return err
}

// fieldName returns the header field for a short name, or the name itself.
func fieldName(name string) string {
	if l := fieldNames[name]; l != "" {
		return l
	}
	return name
}

// sendRequest sends a request on the connection of a client, which is opened on first use.
func (s *Stage) sendRequest(who, text string) error {
	p := s.peers[who]
	if p == nil {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			return err
		}
		s.t.Cleanup(func() { _ = c.Close() })
		p = s.read(c, "")
		s.peers[who] = p
	}
	return p.send(text, func(line, fields, body string) string {
		return fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", line, fields, len(body), body)
	})
}

// expectRefused connects until the node refuses a new connection.
func (s *Stage) expectRefused() error {
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			return nil //nolint:nilerr // the refusal is what the step waits for
		}
		_ = c.Close()
		time.Sleep(time.Millisecond) // many connections at once would make the node close others
	}
	return errors.New("new connections are still accepted")
}

// expectRequest waits for a request from the node and assigns a name to its connection.
func (s *Stage) expectRequest(who string, from chan *peer, want string) error {
	err := within(from, func(p *peer) error {
		s.peers[who] = p
		parts := strings.SplitN(want, " ", 3)
		if have := string(p.request.Method) + " " + string(p.request.Target); have != parts[0]+" "+parts[1] {
			return fmt.Errorf("got %s", have)
		}
		if len(parts) < 3 {
			return nil
		}
		var rest []string
		for _, part := range strings.Fields(parts[2]) {
			name, value, _ := strings.Cut(part, "=")
			switch name {
			case "host":
				if p.host != value {
					return fmt.Errorf("at host %s", p.host)
				}
			case "conn", "newconn":
				if same := s.peers[value].net == p.net; same != (name == "conn") {
					return fmt.Errorf("on the same connection: %t", same)
				}
			default:
				rest = append(rest, part)
			}
		}
		return match(p.request, strings.Join(rest, " "))
	})
	if errors.Is(err, errTimeout) {
		return fmt.Errorf("%w; unread responses: %q", err, s.unread())
	}
	return err
}

// unread returns the bytes that arrived on each connection and were not consumed, by the name of the connection.
func (s *Stage) unread() map[string]string {
	unread := map[string]string{}
	for name, p := range s.peers {
		for waiting := true; waiting; {
			select {
			case text, open := <-p.in:
				p.text = append(p.text, text...)
				waiting = open
			default:
				waiting = false
			}
		}
		unread[name] = string(p.text)
	}
	return unread
}

// match compares header fields and the body; a field without a value must be absent.
func match(m *http1.Message, want string) error {
	for _, part := range strings.Fields(want) {
		name, value, _ := strings.Cut(part, "=")
		have, _ := m.Get(fieldName(name))
		if name == "body" {
			have = m.Body
		}
		if string(have) != value {
			return fmt.Errorf("%s is %q", name, have)
		}
	}
	return nil
}

// sendEndpoints responds to the pending request of discovery.
func (s *Stage) sendEndpoints(text string) error {
	parts := strings.Fields(text)
	if parts[0] == "raw" || len(parts) < 2 {
		return s.peers["d"].send(text, nil)
	}
	var entries []string
	for _, e := range parts[2:] {
		f := append(strings.Split(e, ":"), "0")
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1,`+
			`"since_ms":%s}`, f[0], s.Hosts[f[0]], f[1], f[2]))
	}
	body := fmt.Sprintf(`{"index":%s,"snapshot":%t,"endpoints":[%s]}`, parts[0], parts[1] == "whole",
		strings.Join(entries, ","))
	_, err := fmt.Fprintf(s.peers["d"].net, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}
