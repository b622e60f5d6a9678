// Package clients sends a day's requests to the nodes over sockets, through a plain front layer: an open loop, in which
// each request goes out when it is due whatever became of those before.
package clients

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/live/stage"
)

// Front is the layer that deals out clients' connections among the nodes. It takes in a node once /up has answered 200 after its
// start, sends no new connection to one a moment after its planned stop began, and notices a dead one only after a time.
type Front struct {
	stage *stage.Stage

	mu    sync.Mutex
	nodes []door
}

type door struct {
	address string
	taken   bool      // new connections go there
	until   time.Time // but no longer than this, unless it is zero
	life    int
}

const (
	pollEvery   = 50 * time.Millisecond
	pollTimeout = time.Second
	stopAfter   = 300 * time.Millisecond // of a planned stop: new connections keep coming for so long
)

// NewFront knows of so many nodes, none of which is ready.
func NewFront(st *stage.Stage, addresses []string) *Front {
	f := &Front{stage: st}
	for _, a := range addresses {
		f.nodes = append(f.nodes, door{address: a})
	}
	return f
}

// Address is where a node listens.
func (f *Front) Address(node int) string { return f.nodes[node].address }

// Started polls a node that has just been started until it is ready, and then calls ready, unless Stopping or Died come
// before.
func (f *Front) Started(node int, ready func()) {
	f.mu.Lock()
	f.nodes[node].life++
	life := f.nodes[node].life
	f.mu.Unlock()
	go func() {
		for f.alive(node, life) {
			if up(f.nodes[node].address) {
				f.mu.Lock()
				d := &f.nodes[node]
				if d.life == life {
					d.taken, d.until = true, time.Time{}
					f.mu.Unlock()
					ready()
					return
				}
				f.mu.Unlock()
			}
			time.Sleep(pollEvery)
		}
	}()
}

func (f *Front) alive(node, life int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[node].life == life
}

// Stopping says that a node was asked to stop.
func (f *Front) Stopping(node int) { f.leave(node, stopAfter) }

// Died says that a node has ended unasked, which the front notices later.
func (f *Front) Died(node int) {
	f.leave(node, time.Duration(f.stage.Day.FrontNotice*1e6))
}

func (f *Front) leave(node int, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &f.nodes[node]
	d.life++
	if d.taken && d.until.IsZero() {
		d.until = time.Now().Add(after)
	}
}

// Choose picks a node for a client's request, one of those that take new connections or to which kept tells that there is a
// connection still; false if there is none.
func (f *Front) Choose(kept func(node int) bool) (node int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := time.Now(), 0
	for i := range f.nodes {
		d := &f.nodes[i]
		if d.taken && !d.until.IsZero() && now.After(d.until) {
			d.taken = false
		}
		if d.taken || kept(i) {
			if n++; rand.IntN(n) == 0 {
				node = i
			}
		}
	}
	return node, n > 0
}

// up asks a node whether it is ready.
func up(address string) bool {
	c, err := net.DialTimeout("tcp4", address, pollTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(pollTimeout))
	if _, err := c.Write([]byte("GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
