// Package null is a server that answers at once, to measure what the load tool itself can do. It can also be slow, stall
// or answer with any status, to see that the tool notices.
package null

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// CountsPath is where a server tells how many requests it has had so far, as a decimal number; asking does not count.
const CountsPath = "/null/requests"

// Settings say how the server answers.
type Settings struct {
	Status int           // 200 by default
	Body   int           // bytes of each answer
	Delay  time.Duration // before each answer
	// Every so often all answers of a stretch of time wait for its end. The first stall begins one Every after the first
	// request.
	Every time.Duration
	Stall time.Duration
}

// Server is one.
type Server struct {
	set      Settings
	body     []byte
	requests atomic.Uint64
	first    atomic.Int64 // when the first request came, in nanoseconds from began
	began    time.Time
	http     fasthttp.Server
}

// New makes a server.
func New(set Settings) (*Server, error) {
	if set.Status == 0 {
		set.Status = fasthttp.StatusOK
	}
	if set.Status < 200 || set.Status > 999 || set.Body < 0 || set.Body > 64<<20 || set.Delay < 0 ||
		set.Every < 0 || set.Stall < 0 || set.Stall > 0 && set.Stall >= set.Every {
		return nil, fmt.Errorf("status 200 to 999, a body up to 64 MiB, no time below 0, a stall shorter than what lies " +
			"between two")
	}
	s := &Server{set: set, body: bytes.Repeat([]byte{'0'}, set.Body), began: time.Now()}
	s.http = fasthttp.Server{Handler: s.answer, NoDefaultServerHeader: true, NoDefaultDate: true,
		Name: "linenwheel-lab", LogAllErrors: false, Logger: silence{}}
	return s, nil
}

// Serve answers on a listener until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close stops it; requests that are out are answered first.
func (s *Server) Close() error { return s.http.Shutdown() }

// Requests is how many have come.
func (s *Server) Requests() uint64 { return s.requests.Load() }

func (s *Server) answer(c *fasthttp.RequestCtx) {
	if string(c.Path()) == CountsPath {
		fmt.Fprintf(c, "%d\n", s.Requests())
		return
	}
	s.requests.Add(1)
	if wait := s.set.Delay + s.stalled(); wait > 0 {
		time.Sleep(wait)
	}
	c.SetStatusCode(s.set.Status)
	c.Response.SetBodyRaw(s.body)
}

// stalled is how long the stall that is on still lasts.
func (s *Server) stalled() time.Duration {
	if s.set.Stall == 0 {
		return 0
	}
	now := int64(time.Since(s.began))
	s.first.CompareAndSwap(0, now)
	in := time.Duration(now-s.first.Load()) % s.set.Every
	since := time.Duration(now - s.first.Load())
	if since < s.set.Every || in >= s.set.Stall {
		return 0
	}
	return s.set.Stall - in
}

// silence takes what fasthttp would log of connections that clients end.
type silence struct{}

func (silence) Printf(string, ...any) {}
