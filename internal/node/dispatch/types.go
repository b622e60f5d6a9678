package dispatch

import "linenwheel.dev/linenwheel/decide"

// Outcome is how an attempt ended. In this package a time given as a float64 is in milliseconds on the node's clock.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota // a complete response
	Failed                       // an error response; the request may have run
	Declined                     // rejected by the host because of overload; the request never ran
	TimedOut                     // no response before the deadline; the request may have run
	ConnectFailed                // the connection failed before the last byte was sent; the request never ran
	Reset                        // the connection broke after the last byte was sent; the request may have run
	Cancelled                    // cancelled while in flight; the request may have run
	NotSent                      // the last byte was never sent, through no fault of the host: cancelled, past the deadline or out of memory
	Rejected                     // the host rejected the request itself as invalid; the request may have run
)

var balancerResults = [...]decide.Result{Served: decide.Succeeded, Failed: decide.Failed, Declined: decide.Overloaded,
	TimedOut: decide.TimedOut, ConnectFailed: decide.ConnectFailed, Reset: decide.Reset, Cancelled: decide.Cancelled, NotSent: decide.NotSent,
	Rejected: decide.InvalidRequest}

// Status is the state of a host in the endpoint list.
type Status uint8

// The states.
const (
	Ready    Status = iota
	Draining        // finishes its open requests and accepts no new ones
	Removed
)

var balancerStates = [...]decide.State{Ready: decide.Serving, Draining: decide.Draining, Removed: decide.Deleted}

// Host is one entry of the endpoint list.
type Host struct {
	Name, Address, Zone, Kind string
	Protocol                  string // empty = HTTP/1.1
	Cell                      int
	Status                    Status
	Weight                    float64
	Since                     float64 // milliseconds; when its process started; 0 = long ago
}

// ListKind tells what an endpoint list contains.
type ListKind uint8

// The kinds of endpoint list.
const (
	Delta  ListKind = iota // only the entries that changed
	Full                   // every host
	Stored                 // every host as last known to the node, possibly stale
)

var balancerListKinds = [...]decide.EndpointsKind{Delta: decide.EndpointsDelta, Full: decide.EndpointsFull, Stored: decide.EndpointsStored}

// Request describes a request to the decision module.
type Request struct {
	Class       int     // index in the settings' classes
	Tenant      int     // index in the settings' tenants, -1 = none
	Deadline    float64 // milliseconds; when the client gives up
	Cost        float64 // expected work in seconds; 0 = not known
	ClientRetry bool    // the client has sent the request again
}

// Kind is the kind of an Action.
type Kind uint8

// The kinds of action.
const (
	Send    Kind = iota // start attempt Action.AttemptIndex at the host, end it at Action.Until, and report its outcome
	Cancel              // cancel attempt Action.AttemptIndex, whose outcome must still be reported
	Respond             // send Action.Payload, the response of the attempt that served the request
	Reject              // reject the request: a retry is safe, after Action.Wait if that is above 0
	Fail                // respond that the request failed
	Done                // no further action follows
)

// Action is the next thing to do for a request. Each request gets exactly one of Respond, Reject and Fail, or none
// if its client has disconnected.
type Action struct {
	Kind         Kind
	AttemptIndex int     // index of the attempt, from 0
	Host         string  // name of the host
	Address      string  // address of the host
	Protocol     string  // protocol of the host; empty = HTTP/1.1
	Until        float64 // milliseconds; when the attempt is abandoned
	Wait         float64 // milliseconds
	Ran          bool    // with Reject, Fail and Done: the request may have run
	Payload      any
}
