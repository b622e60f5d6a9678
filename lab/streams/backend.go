package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/engine"
)

// Times and sizes of a backend.
const (
	heartbeatEvery = 300 * time.Millisecond
	eventPause     = 3 * time.Millisecond
	stall          = 150 * time.Millisecond // before the close of StallsAndCloses
	slots          = 128
)

// headerStream carries the name of the client's request over all its tries.
const headerStream = "Play-Stream"

// backendProcess is a backend that is a process of its own. It ends its runs as their plans say.
type backendProcess struct {
	registration *engine.Registration
	control      []string
	seed         uint64
}

// serve registers the backend and serves requests until the process ends.
func (b *backendProcess) serve() error {
	listener, err := net.Listen("tcp4", b.registration.Address)
	if err != nil {
		return err
	}
	go b.heartbeats()
	return (&http.Server{Handler: b, ReadHeaderTimeout: time.Minute}).Serve(listener)
}

// heartbeats sends each heartbeat to the first control process that acknowledges it.
func (b *backendProcess) heartbeats() {
	for {
		for _, address := range b.control {
			if b.registration.Send(address, "ready") == nil {
				break
			}
		}
		time.Sleep(heartbeatEvery)
	}
}

// ServeHTTP runs a request. The last element of its path is the number of tokens.
func (b *backendProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.registration.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Response-Seal", b.registration.ID+"."+id)
	tokens, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	plan := PlanOf(b.seed, r.Header.Get(headerStream), id, last, tokens)
	if plan.Continuation == Fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	run{connection.(*net.TCPConn), plan, tokens}.send(w.Header())
}

// run is one run of a request, on its connection.
type run struct {
	connection *net.TCPConn
	plan       Plan
	tokens     int
}

// send sends the response.
func (r run) send(header http.Header) {
	defer func() { _ = r.connection.Close() }()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
	for name := range header {
		head += name + ": " + header.Get(name) + "\r\n"
	}
	switch r.plan.Framing {
	case ByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", r.length())
	case ByChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = io.WriteString(r.connection, head+"\r\n")
	first := r.plan.First
	for range r.plan.Events {
		last := min(first+r.plan.Stride-1, r.tokens)
		r.write(Event(first, last))
		first = last + 1
	}
	r.end(first)
}

// length returns the length of the whole body in bytes.
func (r run) length() int {
	length := 0
	for first := r.plan.First; first <= r.tokens; first += r.plan.Stride {
		length += len(Event(first, min(first+r.plan.Stride-1, r.tokens)))
	}
	return length
}

// write sends a part of the body after a pause.
func (r run) write(text string) {
	time.Sleep(eventPause)
	if r.plan.Framing == ByChunks {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, _ = io.WriteString(r.connection, text)
}

// end ends the run before the given token.
func (r run) end(next int) {
	switch r.plan.Ending {
	case Whole:
		if r.plan.Framing == ByChunks {
			_, _ = io.WriteString(r.connection, "0\r\n\r\n")
		}
	case ClosesWithin:
		event := Event(next, min(next+r.plan.Stride-1, r.tokens))
		r.write(event[:len(event)/2])
	case ResetsBetween:
		time.Sleep(eventPause) // the reset would overtake the events
		_ = r.connection.SetLinger(0)
	case StallsAndCloses:
		time.Sleep(stall)
	case KilledBetween:
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	case ExitsBetween:
		os.Exit(0)
	}
}
