// Package drain decides what the clients of a drained node get: one that its operators have taken out of the front's hands, and
// that goes on running. It is pure: no clock, no lock, no I/O; its state is one time. The end of the process is package stop's.
//
// From the drain on the front is told no. For a while all else stays, for the front goes on sending until it has noticed; then
// each answer ends its connection, then idle connections end, and at last a call that still comes is refused. So, at the time
// by which a drain has to be over, no connection is idle or carries a call of the time before.
package drain

// Times are milliseconds after the drain.
type Times struct {
	CloseAfterResponse float64 // from then on an answer ends its connection,
	CloseIdle          float64 // one that carries no call ends,
	RefuseCalls        float64 // and a call that comes is refused
}

// Policy is how clients are to be treated now.
type Policy struct{ Ready, CloseAfterResponse, CloseIdle, RefuseCalls bool }

// State is whether a node is drained. The zero value serves.
type State struct {
	drained bool
	since   float64
}

// Drain begins a drain; one that is on goes on as it began.
func (d *State) Drain(now float64) {
	if !d.drained {
		*d = State{true, now}
	}
}

// Activate ends it.
func (d *State) Activate() { *d = State{} }

// Since tells when the drain began that is on.
func (d *State) Since() (at float64, drained bool) { return d.since, d.drained }

// Policy is how clients are to be treated at a time.
func (d *State) Policy(now float64, t Times) Policy {
	if !d.drained {
		return Policy{Ready: true}
	}
	age := now - d.since
	return Policy{CloseAfterResponse: age >= t.CloseAfterResponse, CloseIdle: age >= t.CloseIdle, RefuseCalls: age >= t.RefuseCalls}
}
