package circle

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/lab/live/link"
)

// wire is the way from one keeper to another: a listener of the rig's own, and what it does to what passes. It is one way, as
// keepers have one connection a direction.
type wire struct {
	listener net.Listener
	target   string
	link     *link.Link
	met      func(kind string)

	mu    sync.Mutex
	held  Trouble
	conns map[net.Conn]struct{}
	done  chan struct{}
	tear  atomic.Int64 // bytes until the connection is cut, below 0 = never
}

// Trouble is what is wrong with wires; the zero value is nothing.
type Trouble struct {
	Refuse bool    // connections are broken off and none come up
	Stall  bool    // connections stay, and nothing passes
	Delay  float64 // ms
	Jitter float64 // ms more, by chance
	Rate   float64 // bytes a second, 0 = all
	Loss   float64 // chance of a piece to be sent again, as TCP does, 200 ms later
	Tear   bool    // connections break in the middle of a frame, again and again
	Deaf   bool    // what comes back stays where it is, or is lost with its connection
}

func newWire(target string, met func(string)) (*wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &wire{listener: l, target: target, met: met, conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
	w.tear.Store(-1)
	pass := func(luck uint64) link.Passage {
		w.mu.Lock()
		t := w.held
		w.mu.Unlock()
		r := rand.New(rand.NewPCG(luck, 1))
		p := link.Passage{Delay: t.Delay + r.Float64()*t.Jitter, Rate: t.Rate, Lost: t.Loss > 0 && luck%7 == 3}
		return p
	}
	w.link = link.New(&link.Rules{Out: pass, In: pass})
	go w.accept()
	return w, nil
}

// set makes a trouble hold from now on, in place of what held.
func (w *wire) set(t Trouble) {
	w.mu.Lock()
	was := w.held
	w.held = t
	var list []net.Conn
	if t.Refuse || was.Rate > 0 { // one that was slow keeps its small buffers
		for c := range w.conns {
			list = append(list, c)
		}
	}
	w.mu.Unlock()
	w.tear.Store(-1)
	if t.Tear {
		w.tear.Store(200)
	}
	if t.Stall != was.Stall {
		w.link.Mute(t.Stall)
	}
	for _, c := range list {
		w.met("met: a connection broken off")
		_ = c.Close()
	}
}

func (w *wire) close() {
	close(w.done)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *wire) accept() {
	for {
		raw, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		refuse := w.held.Refuse
		if !refuse {
			w.conns[raw] = struct{}{}
		}
		w.mu.Unlock()
		if refuse {
			w.met("met: a connection refused")
			_ = raw.Close()
			continue
		}
		go w.carry(raw)
	}
}

// carry passes on one connection.
func (w *wire) carry(raw net.Conn) {
	near := w.link.Wrap(raw)
	defer func() {
		_ = near.Close()
		w.mu.Lock()
		delete(w.conns, raw)
		w.mu.Unlock()
	}()
	far, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		w.pump(near, far, false)
		_ = near.Close()
	}()
	w.pump(far, near, true)
}

// pump copies until either end closes. The way of the messages is torn where that is asked for.
func (w *wire) pump(to, from net.Conn, messages bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && messages && w.tear.Load() >= 0 && w.tear.Add(int64(-n)) < 0 {
			w.met("met: a frame cut in the middle")
			_, _ = to.Write(b[:n/2]) // it is broken off all the same
			w.tear.Store(int64(300 + rand.IntN(3000)))
			return
		}
		for n > 0 && !messages && w.deaf() {
			w.met("met: an answer held back")
			select {
			case <-w.done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
		if n > 0 {
			w.note(messages, n)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (w *wire) deaf() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held.Deaf
}

// note counts what a trouble met: one through which nothing passed tested nothing.
func (w *wire) note(messages bool, _ int) {
	if !messages {
		return
	}
	w.mu.Lock()
	t := w.held
	w.mu.Unlock()
	if kind := t.meets(); kind != "" && !t.Tear { // a tear counts the frames that it cut
		w.met(kind)
	}
}

// meets is under what a trouble counts the messages that it met; empty = it counts none.
func (t Trouble) meets() string {
	switch {
	case t.Delay+t.Jitter > 0:
		return "met: messages delayed"
	case t.Rate > 0:
		return "met: messages on a slow link"
	case t.Loss > 0:
		return "met: messages sent again by the network"
	case t.Tear:
		return "met: a frame cut in the middle"
	}
	return ""
}
