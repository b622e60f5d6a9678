package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// What the clients ask for.
const (
	hostname = "ficu95.example"
	apiKey   = "hwrr6x73d3zji9n73hh2"
	report   = "/gono990/2f"
)

// outcome is what a client saw of one request.
type outcome struct {
	attempt string
	front   *machine
	sentAt  time.Time
	endAt   time.Time
	status  int // 0: no answer
	events  int // received
	err     error
}

// clients send requests to the fronts, each over connections that it keeps.
type clients struct {
	play     *play
	deadline time.Duration
	quit     chan struct{}
	work     sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// startClients has each front asked at an interval.
func (p *play) startClients(every, deadline time.Duration) *clients {
	c := &clients{play: p, deadline: deadline, quit: make(chan struct{})}
	for _, m := range p.machines {
		c.work.Go(func() { c.run(m, every) })
	}
	return c
}

// stop ends the clients and returns what they saw.
func (c *clients) stop() []outcome {
	close(c.quit)
	c.work.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}

func (c *clients) run(front *machine, every time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}
	defer transport.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(every))):
		case <-c.quit:
			return
		}
		open.Go(func() { c.request(transport, front) })
	}
}

// request sends one request.
func (c *clients) request(transport *http.Transport, front *machine) {
	seen := outcome{attempt: fmt.Sprintf("%016x", rand.Uint64()), front: front, sentAt: time.Now()}
	c.play.records.line("client sends %s to %s", seen.attempt, front.name)
	seen.status, seen.events, seen.err = send(transport, front, report, seen.attempt, c.deadline)
	seen.endAt = time.Now()
	c.play.records.line("client gets %d with %d events for %s (%v)", seen.status, seen.events, seen.attempt, seen.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, seen)
}

// errBodyCut is wrapped by the error of an answer that has begun and did not end as complete.
var errBodyCut = errors.New("answer cut")

// send sends one try and returns the status of the answer and the number of its events. The error is nil if the answer ended as complete.
func send(transport *http.Transport, front *machine, path, attempt string, deadline time.Duration) (status, events int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := []byte("report " + attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.address(frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Host = hostname
	request.GetBody = nil // a client of the pages sends each try once
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Api-Key", apiKey)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	events = bytes.Count(received, []byte("\n\n"))
	if err != nil {
		return response.StatusCode, events, fmt.Errorf("%w: %w", errBodyCut, err)
	}
	return response.StatusCode, events, nil
}

// awaitServing waits until all fronts serve.
func (p *play) awaitServing(within time.Duration) error {
	deadline := time.Now().Add(within)
	results := make(chan error, len(p.machines))
	for _, m := range p.machines {
		go func() { results <- awaitFront(m, deadline) }()
	}
	var failed error
	for range p.machines {
		failed = errors.Join(failed, <-results)
	}
	return failed
}

// awaitFront waits until a front serves.
func awaitFront(m *machine, deadline time.Time) error {
	transport := &http.Transport{DisableKeepAlives: true}
	for {
		status, _, err := send(transport, m, report, fmt.Sprintf("%016x", rand.Uint64()), 5*callWithin)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not serve: status %d, %w", m.name, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
