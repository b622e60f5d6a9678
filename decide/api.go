// Package decide makes the decisions of a reverse proxy that spreads requests over HTTP backends.
//
// A host feeds a Balancer with events (a list of backends, requests, outcomes, timers) and carries out
// the actions that the Balancer asks for. A Balancer does no input or output of its own, reads no clock,
// starts no goroutine and shares nothing with other Balancers: the same events and seed give the same
// actions. It is not safe for concurrent use.
//
// This file is the whole interface; decide.go holds every decision.
package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// RequestID names a request. An id is never used twice with one Balancer.
type RequestID uint64

// BackendID names a backend and stays the same when its process restarts.
type BackendID uint32

// Effect tells how far a class of requests may be repeated.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped within a group of backends, for a time
	Unsafe               // must never run twice
)

// Group is the set of backends that drop the repeats of a Keyed request.
type Group uint8

// The groups.
const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// WeightMeaning tells what a listed weight stands for.
type WeightMeaning uint8

// The meanings of weights.
const (
	WeightNone WeightMeaning = iota // nothing
	WeightSize                      // the size of the backend, exactly or roughly
	WeightLive                      // the size, divided by 1 + the requests held a core, a while ago
)

// ReportField is a value of a load report.
type ReportField uint8

// The values that load reports can hold.
const (
	ReportOther     ReportField = iota // a value this package makes no use of
	ReportHeld                         // requests being handled
	ReportQueue                        // requests waiting
	ReportBusy                         // share of the processor in use
	ReportLatency                      // recent service time, milliseconds
	ReportServed                       // requests served per second
	ReportErrors                       // errors per second
	ReportFieldsEnd                    // the number of fields
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // with Keyed: where repeats are dropped
	KeyTTL    time.Duration // with Keyed: for how long, from the first send that may have run
	Aim       time.Duration // an answer within this earns the full worth
	Deadline  time.Duration // what a client waits in all
	Worth     float64
	LateWorth float64 // share of the worth earned past the aim
	Streaming bool    // answers begin before they end
}

// Tenant describes one of those who share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests per second within its share, over all nodes
	Share float64
}

// Prices are what things cost, in parts of the result.
type Prices struct {
	CrossZone float64 // an attempt that crosses zones
}

// Rules are the figures of the four rules that a node keeps.
type Rules struct {
	AnswerSlack  time.Duration // a final answer counts until this long past the deadline
	AskWithin    time.Duration // a node that asks must have asked within this time
	DrainGrace   time.Duration // sends to a departing backend must stop within this time
	ColdFrom     float64       // a backend starts with at least this part of its capacity
	ColdTime     time.Duration // and is warm after this time at the latest
	FallMultiple float64       // sent more than this multiple of its present capacity
	FallTime     time.Duration // for this long, a cold backend falls over
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts  int
	Cancel       bool
	SecondCopies bool // a request may have two attempts out together
}

// Settings describe a deployment as one node sees it. Names are for the log; everything else refers to
// classes, tenants, zones and kinds by their place in these slices.
type Settings struct {
	Nodes          int // how many nodes send into this tier
	Node           int // the number of this one among them, from 0
	Zone           int // the zone of this node
	Classes        []Class
	Tenants        []Tenant // may be empty
	Zones          []string
	Kinds          []string
	Weights        WeightMeaning
	OverShareWorth float64 // worth of a request beyond its tenant's share, as a part of its class's worth
	Ask            bool    // the list of backends comes only when asked for
	Limits         Limits
	Prices         Prices
	Rules          Rules
}

// AskSpread is the time over which the calls of all nodes for the list are spread, which one service answers in turn.
func (s *Settings) AskSpread() time.Duration {
	return min(s.Rules.AskWithin/2, time.Duration(s.Nodes)*100*time.Millisecond)
}

// State is the listed state of a backend.
type State uint8

// The listed states.
const (
	Serving State = iota
	Draining
	Deleted
)

// Backend is one entry of a list.
type Backend struct {
	ID      BackendID
	Zone    int
	Kind    int
	Cell    int
	State   State
	Weight  float64
	Started time.Duration // when it last started; 0 = long ago
}

// ListKind tells how a list is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // every backend
	ListStored                  // every backend, as this node held it last
	ListFailed                  // a call failed or the subscription broke; the earlier list stays
)

// Request is a request that has arrived.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int           // -1 = none
	Deadline time.Duration // when the client gives this try up
	Cost     float64       // expected work in seconds on a standard core; 0 = not known
	Repeat   bool          // the client said that it has tried before
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results.
const (
	Good      Result = iota // served
	Failed                  // answered with an error; may have run
	Full                    // turned away unseen
	Late                    // no answer in time; may have run
	NoConnect               // no connection; never ran
	Reset                   // the connection broke; may have run
	Cancelled               // called off; may have run
	NotSent                 // never sent
	Rejected                // the backend finds fault with the request itself; may have run
)

// MayHaveRun tells whether an attempt that ended so may have had its effect.
func (r Result) MayHaveRun() bool { return r != Full && r != NoConnect && r != NotSent }

// Load is a load report. A value is valid where its bit in Has is set.
type Load struct {
	Has    uint16
	Values [ReportFieldsEnd]float64
}

// Outcome is the end of an attempt.
type Outcome struct {
	Request RequestID
	Backend BackendID
	Attempt int
	Over    bool // the request has ended
	Latency time.Duration
	Result  Result
	Load    Load
}

// Actions is what a host does for a Balancer. A Balancer calls it only from within an event.
type Actions interface {
	// Send starts an attempt that is given up at the time abandon.
	Send(id RequestID, to BackendID, abandon time.Duration)
	// Refuse ends a request and tells the client that trying again is harmless, after wait if above 0.
	Refuse(id RequestID, wait time.Duration)
	// Fail ends a request and promises nothing.
	Fail(id RequestID)
	// Cancel calls an attempt off.
	Cancel(id RequestID, attempt int)
	// Probe checks a backend.
	Probe(to BackendID)
	// Wake asks for a Timer event with this token, after a time.
	Wake(after time.Duration, token uint64)
	// Watch subscribes to changes of the list.
	Watch()
	// Log adds a line to the node's log.
	Log(line string)
}

// New makes the Balancer of one node. It fails where the settings cannot work.
func New(set Settings, seed uint64, act Actions) (*Balancer, error) {
	if err := checkSettings(&set, act); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{settings: set, actions: act, random: rand.New(rand.NewPCG(seed, 0x5741524c)),
		byID: map[BackendID]*backendState{}, requests: map[RequestID]*request{}, kindModels: make([]kindModel, 2*len(set.Kinds)),
		zones: make([]zoneHealth, len(set.Zones)), admissionClasses: make([]admissionClass, 4*len(set.Classes)),
		tenantTokens: make([]float64, len(set.Tenants)), retryTokens: maxRetryTokens, subsetFraction: 1, nodesPerBackend: 1, latencyTarget: math.Inf(1)}
	for i, c := range set.Classes {
		b.classes = append(b.classes, class{Class: c, work: 1})
		b.latencyTarget = min(b.latencyTarget, c.Aim.Seconds())
		cheap := b.settings.Classes[b.trialClass]
		if c.Effect < cheap.Effect || c.Effect == cheap.Effect && c.Worth < cheap.Worth {
			b.trialClass = i
		}
	}
	b.timeScale = min(1, b.latencyTarget/referenceTargetSeconds)
	for i := range b.kindModels {
		b.kindModels[i].idleLatency = b.latencyTarget / dropFactor // a guess until the first answer
	}
	return b, nil
}

func checkSettings(set *Settings, act Actions) error {
	switch {
	case act == nil:
		return fmt.Errorf("no actions")
	case set.Nodes < 1:
		return fmt.Errorf("field Nodes is %d, at least 1 wanted", set.Nodes)
	case len(set.Classes) == 0:
		return fmt.Errorf("field Classes is empty")
	case set.Zone < 0 || set.Zone >= len(set.Zones):
		return fmt.Errorf("field Zone is %d of %d Zones", set.Zone, len(set.Zones))
	case len(set.Kinds) == 0:
		return fmt.Errorf("field Kinds is empty")
	case set.Limits.MaxAttempts < 1:
		return fmt.Errorf("field Limits.MaxAttempts is %d, at least 1 wanted", set.Limits.MaxAttempts)
	}
	for i, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline < c.Aim || !(c.Worth >= 0) {
			return fmt.Errorf("field Classes[%d] needs 0 < Aim <= Deadline and Worth of 0 or more", i)
		}
	}
	return nil
}
