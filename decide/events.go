package decide

import "time"

// RequestID identifies a request. The host never reuses an id with the same Balancer.
type RequestID uint64

// BackendID identifies a backend. It stays the same when the backend's process restarts.
type BackendID uint32

// ReportField identifies a value of a load report.
type ReportField uint8

// The values that a load report can contain.
const (
	ReportOther     ReportField = iota // a value that is not used
	ReportInFlight                     // requests in flight
	ReportQueue                        // requests queued
	ReportCPU                          // fraction of the processor in use
	ReportLatency                      // recent service time, milliseconds
	ReportServed                       // requests served per second
	ReportErrors                       // errors per second
	ReportFieldsEnd                    // the number of fields
)

// State is the listed state of a backend.
type State uint8

// The listed states.
const (
	Serving State = iota
	Draining
	Deleted
)

// Backend is one entry of the endpoint list.
type Backend struct {
	ID      BackendID
	Zone    int // index in Settings.Zones
	Kind    int // index in Settings.Kinds
	Cell    int // the cell that GroupCell refers to
	State   State
	Weight  float64       // Settings.Weights says what it means
	Started time.Duration // when its process started; 0 = long ago
}

// EndpointsKind says what the entries of an endpoint list update are.
type EndpointsKind uint8

// The kinds of update.
const (
	EndpointsDelta       EndpointsKind = iota // only the changed entries
	EndpointsFull                             // every backend
	EndpointsStored                           // every backend, from this node's state before its restart
	EndpointsUnavailable                      // no entries: a call failed or the subscription broke; the previous list stays
)

// Request is a request that has arrived.
type Request struct {
	ID       RequestID
	Class    int           // index in Settings.Classes
	Tenant   int           // index in Settings.Tenants, -1 = none
	Deadline time.Duration // when the client gives up
	Cost     float64       // expected work in seconds on a standard core; 0 = unknown
	Repeat   bool          // this is a retry by the client
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results.
const (
	Succeeded      Result = iota // success
	Failed                       // error response; may have run
	Overloaded                   // rejected for overload; never ran
	TimedOut                     // no response in time; may have run
	ConnectFailed                // no connection; never ran
	Reset                        // the connection broke; may have run
	Cancelled                    // cancelled; may have run
	NotSent                      // never sent
	InvalidRequest               // the backend rejected the request as invalid; may have run
)

// MayHaveRun reports whether an attempt with this result may have been executed.
func (r Result) MayHaveRun() bool { return r != Overloaded && r != ConnectFailed && r != NotSent }

// Load is a load report. A value is valid if its bit in Has is set.
type Load struct {
	Has    uint16
	Values [ReportFieldsEnd]float64
}

// Outcome is the end of an attempt.
type Outcome struct {
	Request RequestID
	Backend BackendID
	Attempt int           // index among the attempts of the request, from 0
	Over    bool          // the request has its final response
	Latency time.Duration // since it was sent
	Result  Result
	Load    Load
}

// Actions are the operations that a host carries out for a Balancer. A Balancer calls them only while it handles an
// event; the methods must not call back into the Balancer.
type Actions interface {
	// Send starts an attempt, which the host must abandon at the given time.
	Send(id RequestID, to BackendID, abandon time.Duration)
	// Reject rejects a request: its client may safely retry it, after wait if that is above 0.
	Reject(id RequestID, wait time.Duration)
	// Fail ends a request as failed: it may have run.
	Fail(id RequestID)
	// Cancel cancels an attempt. The host must still report its Outcome.
	Cancel(id RequestID, attempt int)
	// Probe requests a health check of a backend.
	Probe(to BackendID)
	// SetTimer requests a Timer event with this token after the given time.
	SetTimer(after time.Duration, token uint64)
	// Watch subscribes to the endpoint list.
	Watch()
	// Log adds a line to the node's log.
	Log(line string)
}
