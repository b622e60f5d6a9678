package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callWithin is how long a rater or the operator waits for an answer.
const callWithin = time.Second

// streamEvents is the number of events of a stream.
const streamEvents = 64

// rater is a stand-in for a rater: it registers by heartbeats, and runs every request for work.
type rater struct {
	play    *play
	id      string
	service string
	ip      string
	zone    string
	slots   int
	work    time.Duration // of a request, or between two events of a stream
	events  int           // of a stream, 0 = answers are no streams
	nodes   []string      // that serve control; the first is the current one

	sequence atomic.Int64
	running  atomic.Int64
	server   *http.Server
	link     *link
	unframed bool // answers have no length and end with their connections
	quit     chan struct{}
	quitOnce sync.Once

	mu   sync.Mutex
	runs []runRecord
}

// runRecord is a request that has run, or that the rater's end has broken off.
type runRecord struct {
	at      time.Time
	attempt string
	whole   bool
}

// newRater starts a rater that calls the given nodes.
func (p *play) newRater(number int, service, zone string, nodes []string) (*rater, error) {
	r := &rater{play: p, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), service: service, zone: zone, ip: fmt.Sprintf("%s.200.%d", p.network, number),
		slots: 64, work: 20 * time.Millisecond, events: streamEvents, nodes: nodes, quit: make(chan struct{})}
	listener, err := net.Listen("tcp4", r.address())
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.link = newLink(p, listener)
	go func() { _ = r.server.Serve(r.link) }()
	p.raters = append(p.raters, r)
	return r, nil
}

func (r *rater) address() string { return fmt.Sprintf("%s:%d", r.ip, raterPort) }

// serve runs a request.
func (r *rater) serve(w http.ResponseWriter, request *http.Request) {
	at := time.Now()
	attempt := request.Header.Get("Attempt-Id")
	body, err := io.ReadAll(request.Body)
	w.Header().Set("Attempt-Id", attempt)
	if expected := request.Header.Get("Expect-Instance"); err != nil || expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	r.play.records.line("rater %s runs %s", r.id, attempt)
	w.Header().Set("Response-Seal", "seal-"+attempt)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	var whole bool
	switch {
	case r.unframed:
		whole = r.streamUnframed(w, attempt)
	case r.events > 0:
		whole = r.stream(w, request)
	default:
		if whole = r.wait(request); whole {
			_, _ = w.Write(body)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, runRecord{at, attempt, whole})
}

// stream answers with events, and reports whether it sent all of them.
func (r *rater) stream(w http.ResponseWriter, request *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= r.events; number++ {
		if !r.wait(request) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, strings.Repeat("t", 60)); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}

// streamUnframed answers with events that end with the connection, and reports whether it sent all of them.
func (r *rater) streamUnframed(w http.ResponseWriter, attempt string) bool {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	if _, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n"+
		"Connection: close\r\n\r\n", attempt, attempt); err != nil {
		return false
	}
	for number := 1; number <= r.events; number++ {
		time.Sleep(r.work)
		if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s\n\n", number, strings.Repeat("t", 60)); err != nil {
			return false
		}
	}
	return true
}

// crash ends the rater's process as a kill does.
func (r *rater) crash() {
	r.leave()
	r.link.crash()
}

// wait works for a while, and reports whether nobody has broken the request off meanwhile.
func (r *rater) wait(request *http.Request) bool {
	select {
	case <-time.After(r.work):
		return true
	case <-request.Context().Done():
		return false
	}
}

// ranAfter returns the runs that began after a time.
func (r *rater) ranAfter(t time.Time) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var after []runRecord
	for _, one := range r.runs {
		if one.at.After(t) {
			after = append(after, one)
		}
	}
	return after
}

// beat sends heartbeats until the rater stops or leaves.
func (r *rater) beat() {
	for {
		_, _ = r.untilAcknowledged(r.sendReady, heartbeatEvery)
		select {
		case <-time.After(heartbeatEvery):
		case <-r.quit:
			return
		}
	}
}

// awaitBeat returns just after the rater's next heartbeat, so that the one after that is due in heartbeatEvery.
func (r *rater) awaitBeat() {
	for last := r.sequence.Load(); r.sequence.Load() == last; {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}

// sendReady sends a heartbeat to a node.
func (r *rater) sendReady(node string) error { return r.send(node, "ready") }

func (r *rater) send(node, state string) error {
	body, err := json.Marshal(map[string]any{"Backend": r.service, "Address": r.address(), "Zone": r.zone, "Revision": "v1", "Slots": r.slots,
		"State": state, "WarmupLeftMs": 0, "Sequence": r.sequence.Add(1)})
	if err != nil {
		return err
	}
	return call(http.MethodPut, "http://"+node+"/-/instances/"+r.id, "", body)
}

// deregister sends the call by which a rater deregisters.
func (r *rater) deregister(node string) error {
	return call(http.MethodDelete, "http://"+node+"/-/instances/"+r.id, "", nil)
}

// untilAcknowledged makes a call to one node after the other, the current one first, until one acknowledges it, and returns that
// node.
func (r *rater) untilAcknowledged(send func(node string) error, within time.Duration) (string, error) {
	err := errors.New("no node was called")
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		for range r.nodes {
			r.mu.Lock()
			node := r.nodes[0]
			r.mu.Unlock()
			if err = send(node); err == nil {
				return node, nil
			}
			r.mu.Lock()
			r.nodes = append(append([]string(nil), r.nodes[1:]...), node)
			r.mu.Unlock()
			select {
			case <-r.quit:
				return "", err
			default:
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", err
}

// leave ends the heartbeats.
func (r *rater) leave() { r.quitOnce.Do(func() { close(r.quit) }) }

// stop ends the rater's process: everything on its connections is broken off.
func (r *rater) stop() {
	r.crash()
	_ = r.server.Close()
}

// statusError is an answer other than a 2xx.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// call makes a call to the system's own interfaces on a new connection.
func call(method, url, base string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if base != "" {
		request.Header.Set("If-Match", base)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &statusError{response.StatusCode, string(text)}
	}
	return nil
}
