package httpserver

import (
	"bytes"
	"strconv"

	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/bodypipe"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
)

// request handles one request under the lock.
func (c *conn) request(m *http1.Message) {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	switch {
	case path[0] != '/': // that is OPTIONS for the whole server, or CONNECT: what follows may be a tunnel's
		c.last(m, text(405, "Allow: GET, HEAD, POST\r\n", "no path"))
		return
	case string(path) == "/up":
		c.up(m)
		return
	}
	call, r := c.server.read(m, path, c.came, c.net)
	if r.Status != 0 {
		c.write(m, r)
		return
	}
	if c.parser.Flowing() {
		c.upload = bodypipe.New(c.server.set.Bodies.Budget, c.hold, c.net.Resume)
		m.Rest = c.upload
	}
	if a, ok := c.server.core.Admit(call); !ok {
		c.final(m, a)
		return
	}
	c.busy, c.call = true, call
	if c.upload != nil {
		c.rest()
	}
	go c.serve(m, call)
}

func (c *conn) up(m *http1.Message) {
	c.server.mu.Lock()
	ready := c.server.ready
	c.server.mu.Unlock()
	ready = ready && c.server.gate.Policy().Ready
	switch {
	case string(m.Method) != "GET" && string(m.Method) != "HEAD":
		c.write(m, text(405, "Allow: GET, HEAD\r\n", "this wants GET"))
	case ready:
		c.write(m, text(200, "", "ready"))
	default:
		c.write(m, text(503, "", "not ready"))
	}
}

// read finds what the core has to know, or the answer where the request cannot be served.
func (s *Server) read(m *http1.Message, path []byte, came float64, client *netpoll.Conn) (call *core.Call, refusal http1.Reply) {
	name, _, _ := bytes.Cut(path[1:], []byte("/"))
	class, ok := s.set.ByName[string(name)]
	if !ok {
		return nil, text(404, "", "unknown class")
	}
	if want := s.set.Classes[class].Method; string(m.Method) != want {
		return nil, text(405, "Allow: "+want+"\r\n", "this class wants "+want)
	}
	id, n := m.Get("Req-Id")
	if n != 1 || !core.IsID(id) {
		return nil, text(400, "", "Req-Id is missing or bad")
	}
	var key []byte
	if s.set.Classes[class].Keyed {
		if key, n = m.Get("Idempotency-Key"); n != 1 || len(key) == 0 {
			return nil, text(400, "", "Idempotency-Key is missing or bad")
		}
	}
	left, n := m.Get(http1.DeadlineField)
	wait, err := strconv.ParseUint(string(left), 10, 31)
	if n != 1 || err != nil || wait == 0 {
		return nil, text(400, "", http1.DeadlineField+" is missing or bad")
	}
	call = &core.Call{ID: string(id), SoleOnConnection: true, Class: class, Tenant: -1, Key: key, Deadline: came + float64(wait) + s.extra(m), Payload: m, Client: client}
	if owner, n := m.Get("Req-Owner"); n > 0 {
		if i, ok := s.set.Tenants[string(owner)]; ok {
			call.Tenant = i
		}
	}
	if retry, _ := m.Get("Req-Retry"); string(retry) == "1" {
		call.ClientRetry = true
	}
	return call, refusal
}

// extra is how much longer than its client will wait a request may take whose body is still coming: the client's time begins with
// the last byte, which nobody knows yet. It is what the rest takes at the slowest that is waited for.
func (s *Server) extra(m *http1.Message) float64 {
	if m.Length == 0 {
		return 0
	}
	left := s.set.Bodies.Most
	if m.Length > 0 {
		left = m.Length - len(m.Body)
	}
	return min(float64(left)/s.limits.Load().Rate, mostExtra)
}
