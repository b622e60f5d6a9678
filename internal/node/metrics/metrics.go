// Package metrics counts the calls of a node: one set of counters for the metrics endpoint, the status and the
// log. The counters are updated on the request path and read without a lock, so that no reader ever blocks a call.
//
// When each event is counted:
//
//   - taken: the core admits a call, or rejects it at once;
//   - served, refused, failed: the one final answer of a call; a streamed answer counts when its last byte is sent, with its
//     final outcome;
//   - left: the client disconnected before it was answered;
//   - attempts: the last byte of a forwarded request was written to the socket.
//
// So at any quiet moment taken = served + refused + failed + left + in flight. Memory is bounded: four counters
// for each class and five more.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// Kind is the outcome of a call.
type Kind uint8

// The outcomes.
const (
	Served Kind = iota
	Refused
	Failed
	ClientLeft
	kinds
)

// Counters are the counters of a node. All methods may be called from any goroutine. CallStarted, CallEnded and
// AttemptSent do nothing on a nil Counters.
type Counters struct {
	classes  []string
	ended    [][kinds]atomic.Uint64 // by class and outcome
	taken    atomic.Uint64
	inFlight atomic.Int64
	attempts atomic.Uint64
	known    atomic.Int64
	excluded atomic.Int64
}

// New returns the counters of a node with these classes. A Snapshot lists every class, also one without calls.
func New(classes []string) *Counters {
	return &Counters{classes: classes, ended: make([][kinds]atomic.Uint64, len(classes))}
}

// CallStarted counts a call, which is in flight until CallEnded.
func (s *Counters) CallStarted() {
	if s != nil {
		s.taken.Add(1)
		s.inFlight.Add(1)
	}
}

// CallEnded counts the outcome of a call that CallStarted has counted.
func (s *Counters) CallEnded(class int, kind Kind) {
	if s != nil {
		s.ended[class][kind].Add(1)
		s.inFlight.Add(-1)
	}
}

// AttemptSent counts a forwarded request whose last byte has been written.
func (s *Counters) AttemptSent() {
	if s != nil {
		s.attempts.Add(1)
	}
}

// SetBackends sets the number of backends that are listed, and how many of them are excluded from load balancing.
func (s *Counters) SetBackends(known, excluded int) {
	s.known.Store(int64(known))
	s.excluded.Store(int64(excluded))
}

// Snapshot holds the values of the counters.
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

// Snapshot returns the values of the counters. While calls start and end, each value is correct by itself, but the
// values are not of the same moment.
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

// String returns the counters as one line for the log, summed over the classes.
func (v Snapshot) String() string {
	sum := func(m map[string]uint64) (n uint64) {
		for _, calls := range m {
			n += calls
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
