package daemon

import (
	"encoding/json"
	"os"

	"linenwheel.dev/linenwheel/internal/node/control"
)

// host is the process as its control socket sees it.
type host struct{ d *daemon }

var _ control.Node = host{}

// Knowledge gives what the node knows now.
func (h host) Knowledge() (json.RawMessage, error) { return json.Marshal(h.d.node.Knowledge()) }

// Sockets shows the clients' listening socket, while the node accepts.
func (h host) Sockets(f func([]string, []int) error) error {
	var told error
	err := h.d.node.Descriptor(func(fd uintptr) { told = f([]string{north}, []int{int(fd)}) })
	if err != nil { // it accepts no more
		return f(nil, nil)
	}
	return told
}

// Status gives how the process does.
func (h host) Status() (json.RawMessage, error) {
	s := h.d.node.Status()
	s.Release, s.PID, s.From = h.d.set.Release, os.Getpid(), h.d.from
	h.d.mu.Lock()
	s.Last = h.d.last
	h.d.mu.Unlock()
	if stuck := h.d.stuck.Load(); stuck != nil {
		s.Stuck = *stuck
	}
	return json.Marshal(s)
}

// Release lets another process keep the state.
func (h host) Release() { h.d.keeper.release() }

// Regain keeps it here again.
func (h host) Regain() { h.d.keeper.regain() }

// Yield has the node end: the process pid serves.
func (h host) Yield(pid int) {
	h.d.mu.Lock()
	child := h.d.child
	h.d.mu.Unlock()
	if pid == child {
		h.d.manager.MainPID(pid)
	} else {
		h.d.manager.Stopping("another process has taken over")
	}
	h.d.node.HandOver()
}

// Lend leaves its part to another process of the node that is coming up.
func (h host) Lend() {
	h.d.node.LimitResources(h.d.set.Config.Sockets, beside) // it says how many descriptors it holds; the other one takes the rest
}

// Retake is its end.
func (h host) Retake() { h.d.whole() }

// Held is how many descriptors the node keeps to.
func (h host) Held() int { return h.d.node.Held() }

// Obey carries out what operators told the other process.
func (h host) Obey(order json.RawMessage) error { return h.d.obey(order) }

// Refuses tells why the node cannot be taken over.
func (h host) Refuses() string {
	if h.d.set.Options.North.Thrift.Listen != "" {
		return "it listens for clients that speak Thrift, and only the other listening socket is handed over"
	}
	if r := &h.d.set.Options.Repeats; r.On && r.Journal != "" {
		return "it recognises repeats with a journal, which only one process may have open"
	}
	if h.d.node.AwaitsKeys() {
		return "the process before it still answers what it owes, and asks here for names of calls"
	}
	return ""
}

// Mark is how the node makes the names that it hands over, by the options that hold now. While the secret cannot be read, it is the
// one of the start.
func (h host) Mark() string {
	if mark, err := h.d.node.KeyFingerprint(); err == nil {
		return mark
	}
	return h.d.mark
}

// GiveNames hands the names over.
func (h host) GiveNames(send func(json.RawMessage) error) { h.d.node.GiveNames(send) }

// Names takes what the heir says of them.
func (h host) Names(names json.RawMessage) { h.d.node.ReceiveFromSuccessor(names) }

// NamesCut tells that it says no more.
func (h host) NamesCut() { h.d.node.SuccessorGone() }
