// Package metrics counts what a node does, for whoever asks: one set of counters for the door, the status and the log. They
// are written where the event is, on a call's way, and read without a lock, so that no reader ever holds up a call.
//
// Where each event is counted:
//
//   - taken: the core lets a call in, or answers at once that it does not;
//   - served, refused, failed: its one final answer; an answer that flows counts with its last byte, as what it came to;
//   - left: its client went away first;
//   - attempts: the last byte of a relay has gone to the socket.
//
// So at any quiet moment taken = served + refused + failed + left + in flight. Bounds: four counters a class and five more.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// Kind is what became of a call.
type Kind uint8

// The kinds.
const (
	Served Kind = iota
	Refused
	Failed
	ClientLeft
	kinds
)

// Counters is a node's counters. All of its methods may be called from any goroutine; a nil one counts nothing.
type Counters struct {
	classes  []string
	ended    [][kinds]atomic.Uint64 // by class
	taken    atomic.Uint64
	inFlight atomic.Int64
	attempts atomic.Uint64
	known    atomic.Int64
	excluded atomic.Int64
}

// New makes the counters of a node with these classes; each of them is told of, also one that had nothing yet.
func New(classes []string) *Counters {
	return &Counters{classes: classes, ended: make([][kinds]atomic.Uint64, len(classes))}
}

// CallStarted counts a call in.
func (s *Counters) CallStarted() {
	if s != nil {
		s.taken.Add(1)
		s.inFlight.Add(1)
	}
}

// CallEnded counts a call out that was counted in.
func (s *Counters) CallEnded(class int, kind Kind) {
	if s != nil {
		s.ended[class][kind].Add(1)
		s.inFlight.Add(-1)
	}
}

// AttemptSent counts a relay whose last byte has gone out.
func (s *Counters) AttemptSent() {
	if s != nil {
		s.attempts.Add(1)
	}
}

// SetBackends sets how many are listed, and how many of them the node avoids.
func (s *Counters) SetBackends(known, excluded int) {
	s.known.Store(int64(known))
	s.excluded.Store(int64(excluded))
}

// Snapshot is the counters at a moment.
type Snapshot struct {
	Served           map[string]uint64 `json:"served"`
	Refused          map[string]uint64 `json:"refused"`
	Failed           map[string]uint64 `json:"failed"`
	ClientLeft       map[string]uint64 `json:"left"`
	Taken            uint64            `json:"taken"`
	Attempts         uint64            `json:"attempts"`
	InFlight         int64             `json:"in_flight"`
	BackendsKnown    int64             `json:"raters_known"`
	BackendsExcluded int64             `json:"raters_excluded"`
}

// Snapshot reads the counters. While calls come and go each of them is true, but they are not of one moment.
func (s *Counters) Snapshot() Snapshot {
	v := Snapshot{Served: map[string]uint64{}, Refused: map[string]uint64{}, Failed: map[string]uint64{}, ClientLeft: map[string]uint64{},
		Taken: s.taken.Load(), Attempts: s.attempts.Load(), InFlight: s.inFlight.Load(), BackendsKnown: s.known.Load(),
		BackendsExcluded: s.excluded.Load()}
	for i, class := range s.classes {
		for kind, m := range map[Kind]map[string]uint64{Served: v.Served, Refused: v.Refused, Failed: v.Failed, ClientLeft: v.ClientLeft} {
			m[class] = s.ended[i][kind].Load()
		}
	}
	return v
}

// String is one line for the log.
func (v Snapshot) String() string {
	sum := func(m map[string]uint64) (n uint64) {
		for _, one := range m {
			n += one
		}
		return n
	}
	line := ""
	for _, f := range []struct {
		name  string
		count uint64
	}{{"taken", v.Taken}, {"served", sum(v.Served)}, {"refused", sum(v.Refused)}, {"failed", sum(v.Failed)}, {"left", sum(v.ClientLeft)},
		{"attempts", v.Attempts}} {
		line += f.name + "=" + strconv.FormatUint(f.count, 10) + " "
	}
	return line[:len(line)-1]
}
