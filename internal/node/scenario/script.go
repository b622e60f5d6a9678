// Package scenario is the one language and helper of the node's scenarios. A scenario is a list of steps, one a line:
//
//	a send POST /pay/1 id=1 deadline=900 key=k body=hi   client a sends a request on its connection
//	a send raw "GET / HTTP/1.1\r\n"                      or any bytes
//	a expect 503 Retry-After=0.5                         and gets an answer
//	a expect raw "HTTP/1.1 503 *\r\n"                    or bytes, * standing for any within a line
//	a eventually 400                                     the same, once the clock has gone on far enough
//	a close                                              and closes its connection
//	a expect refused                                     no new connection is taken any more
//	r expect POST /pay/1 body=hi host=h1                 a host gets a relay, known as r from now on
//	r send 200 body=ok                                   and answers it, or `send raw "..."`
//	r close    r expect close                            the host, or the node, ends the connection
//	d expect /discovery/hosts                            discovery gets a call
//	d send 2 whole h1:Ready h2:Terminating               and answers it; `changes` for what changed
//	d close    d end                                     or resets its connection, or ends it
//	node send other                                      its configuration names the other discovery; it gets SIGHUP
//	node close    node expect end                        the node is told to stop, and has stopped
//	wait 250                                             the clock moves on by so many milliseconds
//
// Clients are a, b, c, e, f and g, relays r, s and t, with digits behind if there are many. An expect blocks until it is met;
// whatever else comes fails it. While a step expects a connection to end, the clock goes on.
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

// Loopback returns an IP address of the loopback network for this process alone. At a shared address the port of a socket that was
// closed may be another process's a moment later, and whoever still connects to it talks to the wrong one.
func Loopback(t testing.TB) string {
	host, err := loopback.Host()
	require.NoError(t, err)
	return host
}

// patience is how long a step may take in real time before the scenario fails.
const patience = time.Minute

// Stage is what a node under test finds around it.
type Stage struct {
	Clock     *clock.Manual
	Discovery string
	Other     string             // another address of discovery, "other" in the steps
	Reload    func(which string) // to be set by the test: gives the node a new configuration
	Hosts     map[string]string  // addresses by name
	Stop      func()             // to be set by the test: begins the graceful stop
	Ended     chan error         // to be fed by the test when the node has ended
	Address   func() string      // to be set by the test: where the node listens

	t     *testing.T
	calls chan *peer // requests that hosts got
	asks  chan *peer // and discovery
	peers map[string]*peer
}

// peer is one connection to the node or from it.
type peer struct {
	net  net.Conn
	host string
	in   chan []byte   // closed at the end of the connection,
	over chan struct{} // as is this
	text []byte        // what came and was not expected yet
	got  *http1.Message
}

// New sets up hosts by the names given, a host named dead that refuses connections, one named heir at the address of
// the last, and discovery.
func New(t *testing.T, hosts ...string) *Stage {
	s := &Stage{Clock: clock.NewManual(1.7e12), Hosts: map[string]string{}, Ended: make(chan error, 1), t: t,
		calls: make(chan *peer, 64), asks: make(chan *peer, 64), peers: map[string]*peer{}}
	s.Discovery, s.Other = s.listen("", s.asks), s.listen("other", s.asks)
	s.Hosts["dead"] = deadAddress(t)
	for _, name := range hosts {
		s.Hosts[name] = s.listen(name, s.calls)
		s.Hosts["heir"] = s.Hosts[name]
	}
	return s
}

// deadAddress binds a port, so that no one else gets it, but does not listen there.
func deadAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: netip.MustParseAddr(Loopback(t)).As4()}))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("%s:%d", Loopback(t), at.(*syscall.SockaddrInet4).Port)
}

// listen accepts connections, each message on which goes to came.
func (s *Stage) listen(host string, came chan *peer) string {
	address, err := loopback.FreeAddress() // which no stage before this one had, whose node may still call there
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
						came <- &peer{net: c, host: host, over: p.over, got: m}
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func (s *Stage) read(c net.Conn, host string) *peer {
	p := &peer{net: c, host: host, in: make(chan []byte, 1024), over: make(chan struct{})}
	go func() {
		defer close(p.over)
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

// more waits for further bytes.
func (p *peer) more() error {
	return within(p.in, func(text []byte) error {
		if text == nil {
			return fmt.Errorf("the connection ended after %q", p.text)
		}
		p.text = append(p.text, text...)
		return nil
	})
}

// answer takes the next answer from what came, byte by byte: what follows it is left for the next step.
func (p *peer) answer() (m *http1.Message, err error) {
	parser := http1.NewResponses()
	for used := 0; m == nil && err == nil; used++ {
		if used == len(p.text) {
			if err = p.more(); err != nil {
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

// raw takes bytes that look as the quoted text says.
func (p *peer) raw(quoted string) error {
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
		if err := p.more(); err != nil {
			return fmt.Errorf("%w; so far %q", err, p.text)
		}
	}
}

// Run plays the steps of a scenario.
func (s *Stage) Run(text string) {
	for step := range strings.SplitSeq(text, "\n") {
		step = strings.TrimSpace(step)
		if step == "" || strings.HasPrefix(step, "#") {
			continue
		}
		require.NoError(s.t, s.step(step), "step %q", step)
	}
}

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
		return s.expectCall(who, s.asks, "GET "+rest)
	case who == "d" && verb == "close":
		_ = s.peers[who].net.(*net.TCPConn).SetLinger(0)
		return s.peers[who].net.Close()
	case who == "d" && verb == "end":
		return s.peers[who].net.Close()
	case who == "d":
		return s.list(rest)
	case strings.IndexByte("rst", who[0]) >= 0 && verb == "expect" && rest != "close":
		return s.expectCall(who, s.calls, rest)
	case strings.IndexByte("abcefg", who[0]) >= 0 && rest == "refused":
		return s.refused()
	case strings.IndexByte("abcefg", who[0]) >= 0 && verb == "send":
		return s.request(who, rest)
	}
	p := s.peers[who]
	switch {
	case p == nil:
		return errors.New("who is not known")
	case verb == "close":
		return p.net.Close()
	case verb == "expect" && rest == "close":
		defer s.goOn()()
		return within(p.over, func(struct{}) error { return nil })
	case verb == "expect" && strings.HasPrefix(rest, "raw "):
		return p.raw(rest[4:])
	case verb == "expect" || verb == "eventually":
		if verb == "eventually" {
			defer s.goOn()()
		}
		m, err := p.answer()
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

// goOn has the clock go on, slowly, until it is stopped: for what a limit ends that began when the node saw something, which may
// have been after the steps that waited.
func (s *Stage) goOn() (stop func()) {
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

var errNothing = errors.New("nothing came")

func within[T any](from chan T, f func(T) error) error {
	select {
	case v := <-from:
		return f(v)
	case <-time.After(patience):
		return errNothing
	}
}

// names are the short names of fields.
var names = map[string]string{"id": "Req-Id", "deadline": "Req-Deadline-Ms", "key": "Idempotency-Key",
	"owner": "Req-Owner", "declined": "Srv-Declined"}

// send writes what text describes: raw bytes, or a first line with fields and a body.
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
				fields += long(name) + ": " + value + "\r\n"
			}
		}
		out = form(strings.Join(line, " "), fields, body)
	}
	_, err := p.net.Write([]byte(out))
	return err
}

func long(name string) string {
	if l := names[name]; l != "" {
		return l
	}
	return name
}

// request sends on the client's connection, which is opened when it is first needed.
func (s *Stage) request(who, text string) error {
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

// refused tries until the node takes no new connection.
func (s *Stage) refused() error {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			return nil //nolint:nilerr // to be refused is what is waited for
		}
		_ = c.Close()
		time.Sleep(time.Millisecond) // many at once would have others make room
	}
	return errors.New("connections are still taken")
}

// expectCall waits for a request of the node's and gives its connection a name.
func (s *Stage) expectCall(who string, from chan *peer, want string) error {
	err := within(from, func(p *peer) error {
		s.peers[who] = p
		parts := strings.SplitN(want, " ", 3)
		if have := string(p.got.Method) + " " + string(p.got.Target); have != parts[0]+" "+parts[1] {
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
		return match(p.got, strings.Join(rest, " "))
	})
	if errors.Is(err, errNothing) {
		return fmt.Errorf("%w; unread answers: %q", err, s.unread())
	}
	return err
}

// unread returns what has come on each connection and was not expected yet, by the connection's name.
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

// match compares fields and the body; a field without a value must be absent.
func match(m *http1.Message, want string) error {
	for _, part := range strings.Fields(want) {
		name, value, _ := strings.Cut(part, "=")
		have, _ := m.Get(long(name))
		if name == "body" {
			have = m.Body
		}
		if string(have) != value {
			return fmt.Errorf("%s is %q", name, have)
		}
	}
	return nil
}

// list answers discovery's open call.
func (s *Stage) list(text string) error {
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
