package client

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// connection is a connection to a replica that multiplexes requests.
type connection struct {
	raw          *transport.Conn
	writeTimeout time.Duration
	broken       chan struct{} // closed once no more answers are received
	writing      sync.Mutex    // held while a request is written

	mu       sync.Mutex // guards the fields below
	lastID   uint64
	inFlight map[uint64]chan protocol.Answer
	leaving  bool // close the connection once nothing is in flight
}

func dial(to Replica, config *Config, timeout time.Duration) (*connection, error) {
	raw, _, err := transport.Dial(to.Address, transport.Hello{Fleet: config.Fleet, Release: config.Release, Name: config.Name, To: to.Name}, timeout)
	if err != nil {
		return nil, err
	}
	c := &connection{raw: raw, writeTimeout: timeout, inFlight: map[uint64]chan protocol.Answer{}, broken: make(chan struct{})}
	go c.receive()
	return c, nil
}

// close closes the connection: requests in flight fail. An error of closing does not matter.
func (c *connection) close() { _ = c.raw.Close() }

// closeWhenIdle closes the connection once no request is in flight.
func (c *connection) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving = true; len(c.inFlight) == 0 {
		c.close()
	}
}

func (c *connection) isBroken() bool {
	select {
	case <-c.broken:
		return true
	default:
		return false
	}
}

// receive delivers answers to the waiting calls until the connection ends.
func (c *connection) receive() {
	defer close(c.broken)
	defer c.close()
	for {
		kind, text, err := c.raw.Read()
		var a protocol.Answer
		if err != nil || kind != transport.KindAnswer || json.Unmarshal(text, &a) != nil {
			return
		}
		if to := c.remove(a.ID); to != nil {
			to <- a
		}
	}
}

// add assigns an ID to a request and returns the channel for its answer, which is buffered.
func (c *connection) add(r *protocol.Request) <-chan protocol.Answer {
	answer := make(chan protocol.Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	r.ID = c.lastID
	c.inFlight[r.ID] = answer
	return answer
}

// remove removes a request and returns the channel for its answer, or nil if no call waits for it.
func (c *connection) remove(id uint64) chan<- protocol.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := c.inFlight[id]
	delete(c.inFlight, id)
	return answer
}

// finish removes a request, and closes the connection if it is leaving and no other request is in flight.
func (c *connection) finish(id uint64) {
	c.mu.Lock()
	delete(c.inFlight, id)
	idle := c.leaving && len(c.inFlight) == 0
	c.mu.Unlock()
	if idle {
		c.close()
	}
}

// call sends one request and waits for its answer. sent reports whether the replica may have received it.
func (c *connection) call(ctx context.Context, r protocol.Request) (a protocol.Answer, sent bool, err error) {
	answer := c.add(&r)
	defer c.finish(r.ID)
	text, err := json.Marshal(r)
	if err != nil {
		return a, false, err
	}
	if len(text) > statemachine.MaxCommandBytes {
		return protocol.Answer{Fault: protocol.Rejected, Text: fmt.Sprintf("request is larger than %d bytes", statemachine.MaxCommandBytes)}, false, nil
	}
	c.writing.Lock()
	err = c.raw.Write(transport.KindRequest, text, c.writeTimeout)
	c.writing.Unlock()
	if err != nil {
		return a, true, err
	}
	select {
	case a = <-answer:
		return a, true, nil
	case <-c.broken:
		select {
		case a = <-answer:
			return a, true, nil
		default:
			return a, true, errBroken
		}
	case <-ctx.Done():
		return a, true, errTimeout
	}
}
