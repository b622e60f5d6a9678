package rater

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/engine"
	"linenwheel.dev/linenwheel/lab/soak/behaviour"
	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Times of a rater.
const (
	heartbeatEvery = 300 * time.Millisecond
	eventPause     = 3 * time.Millisecond
	stall          = 150 * time.Millisecond // before the close of StallsAndCloses
)

// Slots is the number of requests that a rater states to serve at the same time.
const Slots = 128

// HeaderStream carries the name of the client's request over all its tries.
const HeaderStream = "Play-Stream"

// Process is a rater that is a process of its own. It ends its runs as their plans say.
type Process struct {
	Registration *engine.Registration
	Control      []string // addresses of control processes
	Seed         uint64
	Number       int            // of the rater, over all its starts
	Disturbed    bool           // it also shows the behaviours of package behaviour
	Records      *record.Writer // nil = none
	Listen       string         // where it listens, if not at the address that it registers
	Drain        time.Duration  // for which it serves on once it has said that it leaves; 0 = it never does

	leaving atomic.Bool
}

// Serve registers the rater and serves requests until the process ends.
func (p *Process) Serve() error {
	listener, err := net.Listen("tcp4", cmp.Or(p.Listen, p.Registration.Address))
	if err != nil {
		return err
	}
	if p.Drain > 0 {
		go p.leaveOnSignal()
	}
	go p.heartbeats()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return err
		}
		go p.serveConnection(accepted.(*net.TCPConn))
	}
}

// heartbeats sends each heartbeat to the first control process that acknowledges it.
func (p *Process) heartbeats() {
	for !p.leaving.Load() {
		for _, address := range p.Control {
			if p.leaving.Load() || p.Registration.Send(address, "ready") == nil {
				break
			}
		}
		time.Sleep(heartbeatEvery)
	}
}

// serveConnection serves the requests of one connection, one after the other.
func (p *Process) serveConnection(connection *net.TCPConn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !p.answer(connection, request) {
			return
		}
	}
}

// answer runs a request, and reports whether the connection serves another one. The last element of the path is the number of
// tokens.
func (p *Process) answer(connection *net.TCPConn, request *http.Request) (keep bool) {
	r := &run{process: p, connection: connection, request: request, id: request.Header.Get("Attempt-Id"), behaviour: behaviour.Plain}
	r.last, _ = strconv.Atoi(request.Header.Get("Last-Event-Id"))
	tokens, err := strconv.Atoi(request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:])
	if err != nil {
		return r.readBody() == nil && r.reply(http.StatusNotFound, "")
	}
	r.tokens = tokens
	r.plan = PlanOf(p.Seed, request.Header.Get(HeaderStream), r.id, max(0, min(r.last, tokens)), tokens)
	if p.Disturbed {
		random := Draw(p.Seed, "behaviour", r.id, strconv.Itoa(r.last), strconv.Itoa(p.Number))
		r.behaviour = behaviour.Draw(behaviour.Rater, 100*random.Float64(), behaviour.Plain)
		r.keeps = random.IntN(100) < keptPercent
		r.plan = r.plan.calmed(random, tokens)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != p.Registration.ID {
		r.behaviour = behaviour.Misdirected
	}
	if r.behaviour != behaviour.Early && r.readBody() != nil {
		return false // the request is not whole, and does not run
	}
	return r.perform()
}

// keptPercent is the share of runs after which the connection stays open, where their framing and ending allow it.
const keptPercent = 70

// run is one run of a request, on its connection.
type run struct {
	process    *Process
	connection *net.TCPConn
	request    *http.Request
	id         string
	last       int // the event that the request states
	tokens     int
	plan       Plan
	behaviour  behaviour.Name
	keeps      bool // the connection may be kept
	body       string
}

// readBody reads the body. The error is that of a body that is not whole.
func (r *run) readBody() error {
	body, err := io.ReadAll(r.request.Body)
	r.body = string(body)
	return err
}

// send sends the response that the plan says, with further lines of the header.
func (r *run) send(lines string) (keep bool) {
	keep = r.keeps && r.plan.Ending == Whole && r.plan.Framing != ByConnection
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + r.id + "\r\nResponse-Seal: " + r.seal() + "\r\n" + lines
	if !keep {
		head += "Connection: close\r\n"
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
	return keep
}

// seal returns the Response-Seal.
func (r *run) seal() string { return r.process.Registration.ID + "." + r.id }

// length returns the length of the whole body in bytes.
func (r *run) length() int {
	length := 0
	for first := r.plan.First; first <= r.tokens; first += r.plan.Stride {
		length += len(Event(first, min(first+r.plan.Stride-1, r.tokens)))
	}
	return length
}

// write sends a part of the body after a pause.
func (r *run) write(text string) {
	time.Sleep(eventPause)
	if r.plan.Framing == ByChunks {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, _ = io.WriteString(r.connection, text)
}

// end ends the run before the given token.
func (r *run) end(next int) {
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
