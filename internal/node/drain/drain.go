// Package drain decides how a drained node treats its clients: a node that its operators have taken out of the
// load balancer's rotation and that keeps running. The package is pure: no clock, no lock, no I/O; its state is
// one point in time. Package shutdown decides how the process ends.
//
// From the start of the drain the node reports to the front, the platform's load balancer, that it is not ready.
// At first nothing else changes, because the front keeps sending requests until it has noticed. Then each response
// closes its connection, then idle connections are closed, and finally calls that still arrive are refused. So by
// the time at which a drain has to be complete, no connection is idle, and none carries a call from before the
// drain.
package drain

// Times are the steps of a drain, in milliseconds after its start.
type Times struct {
	CloseAfterResponse float64 // from here on each response closes its connection
	CloseIdle          float64 // from here on connections without an open call are closed
	RefuseCalls        float64 // from here on new calls are refused
}

// Policy tells how to treat clients at one point in time.
type Policy struct{ Ready, CloseAfterResponse, CloseIdle, RefuseCalls bool }

// State records whether a node is drained. The zero value is a node in service.
type State struct {
	drained bool
	since   float64
}

// Drain starts a drain. It does not restart one that is in progress.
func (d *State) Drain(now float64) {
	if !d.drained {
		*d = State{true, now}
	}
}

// Activate ends the drain.
func (d *State) Activate() { *d = State{} }

// Since returns when the drain in progress started, and whether there is one.
func (d *State) Since() (at float64, drained bool) { return d.since, d.drained }

// Policy returns how to treat clients at the time now.
func (d *State) Policy(now float64, t Times) Policy {
	if !d.drained {
		return Policy{Ready: true}
	}
	age := now - d.since
	return Policy{CloseAfterResponse: age >= t.CloseAfterResponse, CloseIdle: age >= t.CloseIdle, RefuseCalls: age >= t.RefuseCalls}
}
