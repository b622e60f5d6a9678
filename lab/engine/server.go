package engine

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault spoils the answers of a server, for tests.
type Fault uint8

// The faults.
const (
	Sound         Fault = iota
	Sheds               // turns every request away unseen
	Resets              // closes the connection once it has read a request
	BreaksOff           // breaks off in the middle of the third event
	Garbles             // answers with bytes that are no answer
	Unsealed            // a success without its seal
	Fails               // 500
	Silent              // reads a request and says nothing
	AnswersTwice        // sends its answer once more, with an id of its own making
	AnswersBefore       // sends an answer to another request first
)

// Server is a rater on a socket.
type Server struct {
	ID      string
	Service string
	Zone    string
	Address string
	engine  *Engine
	fault   atomic.Uint32
	delay   atomic.Int64 // before an answer that is spoiled
	server  *http.Server

	registration *Registration

	mu       sync.Mutex
	runs     map[string]int // by Attempt-Id
	requests []http.Header
}

// Start starts a server on loopback.
func Start(id, service string, model Model) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	s := &Server{ID: id, Service: service, Address: address, engine: New(model), runs: map[string]int{},
		registration: &Registration{ID: id, Backend: service, Address: address, Slots: model.Slots}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.server.Close() }

// SetFault spoils the answers from now on.
func (s *Server) SetFault(fault Fault) { s.fault.Store(uint32(fault)) }

// SetDelay has spoiled answers wait for so long.
func (s *Server) SetDelay(delay time.Duration) { s.delay.Store(int64(delay)) }

// Engine is the server's engine.
func (s *Server) Engine() *Engine { return s.engine }

// Runs is how often the request with an id was run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Requests are the headers of the requests that came, in order.
func (s *Server) Requests() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.requests...)
}

// Heartbeat is the body of the server's next heartbeat.
func (s *Server) Heartbeat(state string) []byte { return s.registration.Next(state) }

// Beat sends a heartbeat to a control address.
func (s *Server) Beat(control, state string) error { return s.registration.Send(control, state) }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.note(r.Header)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := Fault(s.fault.Load())
	if fault == Sheds || !s.engine.Begin(promptOf(r.Header)) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.engine.End()
	s.run(r.Header.Get("Attempt-Id"))
	if fault != Sound && fault != BreaksOff && fault != Unsealed {
		s.spoil(w, r, fault)
		return
	}
	s.head(w, r, fault)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		s.stream(w, r, fault)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
}

func (s *Server) note(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, header.Clone())
}

func (s *Server) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *Server) head(w http.ResponseWriter, r *http.Request, fault Fault) {
	header := w.Header()
	id := r.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", id)
	if fault != Unsealed {
		header.Set("Response-Seal", s.Seal(id))
	}
	running, waiting := s.engine.Load()
	header.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", running, waiting, s.engine.model.Slots))
}

// Seal is the stamp of the server's answer to a request.
func (s *Server) Seal(id string) string {
	return fmt.Sprintf("%s.%08x", s.ID, crc32.ChecksumIEEE([]byte(s.ID+id)))
}

// spoil does what a fault says.
func (s *Server) spoil(w http.ResponseWriter, r *http.Request, fault Fault) {
	if fault == Silent {
		<-r.Context().Done()
		return
	}
	if fault == Fails {
		s.head(w, r, fault)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(time.Duration(s.delay.Load()))
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	id := r.Header.Get("Attempt-Id")
	answer := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.Seal(id), len(body), body)
	}
	switch fault {
	case Garbles:
		_, _ = io.WriteString(connection, "this is no answer\r\n\r\n")
	case AnswersBefore:
		_, _ = io.WriteString(connection, answer("another", "not yours")+answer(id, "yours"))
	case AnswersTwice:
		_, _ = io.WriteString(connection, answer(id, "yours")+answer(id, "once more"))
		time.Sleep(50 * time.Millisecond)
	}
}

// stream answers with events; the path ends with their number. It goes on after Last-Event-Id.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	count, err := strconv.Atoi(path[len(path)-1])
	if err != nil {
		count = 3
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	controller := http.NewResponseController(w)
	for id := last + 1; id <= count; id++ {
		s.engine.Event()
		event := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id)
		if fault == BreaksOff && id == 3 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = controller.Flush()
	}
}

// promptOf reads the parts of a prompt.
func promptOf(header http.Header) []Part {
	var prompt []Part
	for _, text := range strings.Split(header.Get("Prompt-Prefix"), ",") {
		id, size, found := strings.Cut(strings.TrimSpace(text), ":")
		tokens, err := strconv.Atoi(size)
		if found && err == nil {
			prompt = append(prompt, Part{id, tokens})
		}
	}
	return prompt
}
