package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// agent is discovery's, which can go down: then it is silent, or refuses.
type agent struct {
	t       *testing.T
	address string
	told    chan string // the version that a watch knows, once for each call

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool // the open ones
	list     string
	index    int
	down     bool
}

func newAgent(t *testing.T) *agent {
	a := &agent{t: t, conns: map[net.Conn]bool{}, told: make(chan string, 9999)}
	a.address = own
	a.listen()
	t.Cleanup(a.refuse)
	return a
}

// listen takes calls at the address that it has had from the first time on.
func (a *agent) listen() {
	l, err := net.Listen("tcp", a.address)
	require.NoError(a.t, err)
	a.address, a.listener = l.Addr().String(), l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[c] = true
			a.mu.Unlock()
			go a.serve(c)
		}
	}()
}

func (a *agent) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
	}()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		known := r.URL.Query().Get("index")
		a.mu.Lock()
		list, news := a.list, known != strconv.Itoa(a.index)
		if !a.down {
			select {
			case a.told <- known:
			default:
			}
			if news {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			}
		}
		a.mu.Unlock()
	}
}

// name has the list name just one rater.
func (a *agent) name(index int, rater, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	a.list = fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":%q,"zone":"z","type":"k",
		"group":0,"status":"Ready","weight":1,"since_ms":0}]}`, index, rater, address)
}

func (a *agent) silent() { a.set(true) }

func (a *agent) set(down bool) {
	a.mu.Lock()
	a.down = down
	a.mu.Unlock()
}

func (a *agent) refuse() {
	_ = a.listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close()
	}
}

// held is how many descriptors a process holds.
func (p *process) held() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	return len(list)
}

// caller is a client's connection.
type caller struct {
	t  *testing.T
	c  net.Conn
	in *bufio.Reader
}

func call(t *testing.T, address string) *caller {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Minute)))
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) send(head string) {
	_, err := io.WriteString(c.c, head+"\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	require.NoError(c.t, err)
}

func (c *caller) pay(path string, id int) {
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nReq-Id: q%d\r\nReq-Deadline-Ms: 60000", path, id))
}

func (c *caller) heard() string {
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.t, err)
	return fmt.Sprint(r.StatusCode, " ", strings.TrimSpace(string(body)))
}

// Guards against idle clients that fill the descriptors while discovery is down, so that the node cannot ask discovery,
// reach a rater, hear its operators, or take a client who has something to ask; and against a process over its limit.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	for name, c := range map[string]struct {
		goDown                     func(*agent)
		sockets, clients, requests int // see options.Room
	}{"silent": {(*agent).silent, 80, 22, 15}, "refusing": {(*agent).refuse, 80, 22, 15},
		"the least that there may be": {(*agent).silent, 64, 13, 10}} {
		t.Run(name, func(t *testing.T) { fillDescriptors(t, c.goDown, c.sockets, c.clients, c.requests) })
	}
}

func fillDescriptors(t *testing.T, goDown func(*agent), sockets, clients, requests int) {
	const waiting, spare = 100, 4
	came, release := make(chan struct{}, requests), make(chan struct{})
	rater := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/pay/hold" {
				came <- struct{}{}
				<-release
			}
			_, _ = io.WriteString(w, name+" "+r.Header.Get("Req-Id"))
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	s, a := newSite(t), newAgent(t)
	a.name(5, "r1", rater("first"))
	door := must(net.Listen("tcp", own))
	control := door.Addr().String()
	require.NoError(t, door.Close())
	s.discovery = a.address
	s.write("n1.json", strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"listen"`, fmt.Sprintf(`"control":%q,"listen"`, control)).Replace(s.config(s.address)))
	s.write("n1.toml", "[north.http]\nidle_after = \"1h\"\n[inventory.discovery]\nwatch_wait = \"200ms\"\nwatch_slack = \"200ms\"\n")
	p := s.start("serve")
	p.await("the node is ready")
	for known := ""; known != "5"; known = <-a.told {
	}
	begin := p.held()
	require.Positive(t, begin)

	var seen atomic.Int64 // the most descriptors that were seen
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for tick := time.NewTicker(time.Millisecond); ; {
			select {
			case <-done:
				return
			case <-tick.C:
				if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
					seen.Store(max(seen.Load(), int64(len(list))))
				}
			}
		}
	}()
	goDown(a)
	p.await("no usable list from discovery")
	idle := []*caller{}
	for i := range waiting {
		c := call(t, s.address)
		idle = append(idle, c)
		if i%40 == 0 { // some have asked before
			c.send("GET /up HTTP/1.1")
			require.Equal(t, "200 ready", c.heard())
		}
		require.LessOrEqual(t, p.held(), sockets)
	}
	_, err := idle[1].in.ReadByte()
	require.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "the first silent one makes room: %v", err)

	kept := call(t, s.address)
	kept.pay("/pay/1", 1)
	require.Equal(t, "200 first q1", kept.heard())
	held := []*caller{}
	for i := range requests { // each needs a connection to the rater
		c := call(t, s.address)
		c.pay("/pay/hold", 100+i)
		<-came
		held = append(held, c)
	}
	for range 9 { // they fill the door, too
		_ = call(t, control)
	}
	operator := call(t, control)
	operator.send("GET /v1/readyz HTTP/1.1")
	require.Equal(t, "200 ready", operator.heard())
	full := p.held()
	require.LessOrEqual(t, full, sockets)
	require.GreaterOrEqual(t, full, begin+clients+requests, "the descriptors are in use")

	close(release)
	for i, c := range held {
		require.Equal(t, fmt.Sprint("200 first q", 100+i), c.heard())
	}
	if a.down {
		a.set(false)
	} else {
		a.listen()
	}
	a.name(6, "r2", rater("second"))
	for known := ""; known != "6"; known = <-a.told {
	}
	kept.pay("/pay/1", 2)
	require.Equal(t, "200 second q2", kept.heard(), "on a connection that was kept")
	fresh := call(t, s.address)
	fresh.pay("/pay/1", 3)
	require.Equal(t, "200 second q3", fresh.heard(), "on a new one")
	close(done)
	<-ended
	assert.LessOrEqual(t, seen.Load(), int64(sockets))
	assert.LessOrEqual(t, s.clients(p), clients+spare)
	p.signal(syscall.SIGKILL)
	p.end()
}

// clients counts the established connections to the node's address that its process holds.
func (s *site) clients(p *process) (n int) {
	port := must(strconv.Atoi(s.address[strings.LastIndex(s.address, ":")+1:]))
	text := string(must(os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.cmd.Process.Pid))))
	open := map[string]bool{}
	for _, line := range strings.Split(text, "\n")[1:] {
		if f := strings.Fields(line); len(f) > 9 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && f[3] != "0A" {
			open["socket:["+f[9]+"]"] = true
		}
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(s.t, err)
	for _, e := range list {
		if to, _ := os.Readlink(filepath.Join(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid), e.Name())); open[to] {
			n++
		}
	}
	return n
}
