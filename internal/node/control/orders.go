package control

import (
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"
)

// orderLimit is the time for the other process to obey an order: less than an operator waits for the answer.
const orderLimit = 600 * time.Millisecond

var errSilent = errors.New("it does not answer")

// names tells the other process something of names. A frame that did not go out whole breaks the connection.
func (w wire) names(names json.RawMessage) error {
	err := w.write(message{Type: typeNames, Names: names}, writeLimit)
	if err != nil {
		_ = w.conn.Close() // its end shows to the reader
	}
	return err
}

// exchange has one process obey what the other was told. The zero value is ready.
type exchange struct {
	mu      sync.Mutex
	last    int
	waiting map[int]chan error // by the order's number
	ended   bool               // the other process has gone: nothing binds it any more
}

// pass sends an order and waits until it is obeyed.
func (e *exchange) pass(w wire, order json.RawMessage) error {
	answer := make(chan error, 1)
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return nil
	}
	if e.waiting == nil {
		e.waiting = map[int]chan error{}
	}
	e.last++
	seq := e.last
	e.waiting[seq] = answer
	e.mu.Unlock()
	limit := time.NewTimer(orderLimit)
	defer limit.Stop()
	err := w.write(message{Type: typeOrder, Seq: seq, Order: order}, orderLimit)
	if err == nil || connectionEnded(err) { // in the latter case, end follows as soon as the reader has noticed
		select {
		case err = <-answer:
		case <-limit.C:
			err = errSilent
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, seq)
	if e.ended {
		return nil
	}
	return err
}

// connectionEnded reports whether a write failed because the other process has closed the connection, or has ended.
func connectionEnded(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// told takes an order of the other process, or its answer to one.
func (e *exchange) told(w wire, m message, obey func(json.RawMessage) error) {
	if m.Type == typeOrder {
		answer := message{Type: typeObeyed, Seq: m.Seq}
		if err := obey(m.Order); err != nil {
			answer.Reason = err.Error()
		}
		_ = w.write(answer, orderLimit) // an end shows to the reader
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer := e.waiting[m.Seq]; answer != nil {
		delete(e.waiting, m.Seq)
		if m.Reason == "" {
			answer <- nil
		} else {
			answer <- errors.New(m.Reason)
		}
	}
}

// begin tells that another process has come.
func (e *exchange) begin() {
	e.mu.Lock()
	e.ended = false
	e.mu.Unlock()
}

// end tells that the other process has gone.
func (e *exchange) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for _, answer := range e.waiting {
		answer <- nil
	}
	clear(e.waiting)
}
