package dispatch

import "linenwheel.dev/linenwheel/decide"

// Outcome is how an attempt ended. Times below are milliseconds on the node's clock where a float64 is used.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota // a complete response
	Failed                       // an error response; it may have run
	Declined                     // rejected by the host for overload; it never ran
	TimedOut                     // no response in time; it may have run
	ConnectFailed                // the connection failed before the last byte went out; it never ran
	Reset                        // the connection broke after that; it may have run
	Cancelled                    // given up because it was cancelled; it may have run
	NotSent                      // its last byte never went out, through no fault of the host: cancelled, out of time or out of memory
	Rejected                     // the host finds fault with the request itself; it may have run
)

var balancerResults = [...]decide.Result{Served: decide.Good, Failed: decide.Failed, Declined: decide.Full,
	TimedOut: decide.Late, ConnectFailed: decide.NoConnect, Reset: decide.Reset, Cancelled: decide.Cancelled, NotSent: decide.NotSent,
	Rejected: decide.Rejected}

// Status is the listed state of a host.
type Status uint8

// The states.
const (
	Ready    Status = iota
	Draining        // finishes its requests and wants no new ones
	Removed         // removed
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

// ListKind tells how an endpoint list is to be read.
type ListKind uint8

// The kinds of list.
const (
	Delta  ListKind = iota // only the entries that changed
	Full                   // every host
	Stored                 // every host as the node knew it last, possibly stale
)

var balancerListKinds = [...]decide.EndpointsKind{Delta: decide.EndpointsDelta, Full: decide.EndpointsFull, Stored: decide.EndpointsStored}

// Request is what the balancer has to know of a request.
type Request struct {
	Class       int     // index in the settings' classes
	Tenant      int     // index in the settings' tenants, -1 = none
	Deadline    float64 // milliseconds; when the client gives up
	Cost        float64 // expected work in seconds; 0 = not known
	ClientRetry bool    // it is a retry of the client
}

// Kind is what a Verdict asks for.
type Kind uint8

// The kinds of verdict.
const (
	Send    Kind = iota // start attempt Verdict.Relay at the host, to be given up at Until, and report its end
	Cancel              // cancel attempt Verdict.Relay, whose end must still be reported
	Respond             // respond with Verdict.Payload, that of the attempt that served the request
	Reject              // reject the request: a retry is safe, after Verdict.Wait if above 0
	Fail                // respond that the request failed
	Done                // nothing more will come
)

// Action is the next thing to do for a request. Each request gets exactly one of Answer, Reject and Fail, or none if its
// client has left.
type Action struct {
	Kind         Kind
	AttemptIndex int     // index of the attempt, from 0
	Host         string  // name of the host
	Address      string  // of the host
	Protocol     string  // protocol of the host; empty = HTTP/1.1
	Until        float64 // milliseconds; when the attempt is given up
	Wait         float64 // milliseconds
	Ran          bool    // with Reject, Fail and Done: the request may have run
	Payload      any
}
