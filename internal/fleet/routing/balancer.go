package routing

import (
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Backend is a backend as described by the registry and the configuration.
type Backend struct {
	ID            string
	Address       string
	Slots         int     // maximum number of concurrent requests, 0 = unknown
	KVTokens      float64 // capacity of its KV cache in tokens, 0 = unknown
	HeartbeatLate bool    // its last heartbeat is overdue: it gets no requests
	Draining      bool    // it gets no new requests
}

// Request describes a request as far as a pick depends on it.
type Request struct {
	Prefix       string        // key of the prompt's shared prefix, "" = none
	Long         bool          // the response continues long after its first token
	Route        string        // sizes of requests are compared within a route
	Cost         float64       // expected work, in any unit that is the same for all requests of a service; 0 = unknown
	OwnTokens    float64       // tokens of the prompt that are not shared with other requests
	SharedTokens float64       // tokens of the prefix
	Target       time.Duration // latency target of the time to the first token
	Deadline     time.Duration // on the caller's clock
	Exclude      []string      // ids of the backends of earlier attempts
}

// Result is how an attempt ended.
type Result = decide.Result

// Attempt is one request sent to one backend. Pick returns it; it must be ended with one call of Done.
type Attempt struct {
	Backend      Backend
	Expected     time.Duration // expected time to the first token, 0 = unknown
	Reason       Reason
	PrefixCached bool          // the backend is expected to have the prefix in its cache
	HomeExpected time.Duration // expected time to the first token at the prefix's home, 0 if the hash was not used

	requestID      decide.RequestID
	balancerID     decide.BackendID // of the backend
	tag            uint32           // of the backend
	sentAt         time.Duration
	long           bool
	firstTokenSeen bool
	paused         bool
}

// RecordPause records that the response paused for longer than its route allows. It must be called before Done.
func (a *Attempt) RecordPause() { a.paused = true }

// eventID identifies the attempt in events. Each node counts from a random number.
func (a *Attempt) eventID() uint32 { return uint32(a.requestID) }

// Reason says why a backend was picked.
type Reason string

// The reasons. Their texts appear in the log.
const (
	ReasonHome       Reason = "home" // it is the home of the prompt's prefix
	ReasonMoved      Reason = "move" // a smaller loss is expected there than at the home
	ReasonRoundRobin Reason = "turn" // it is next in the weighted round robin
	ReasonLastResort Reason = "need" // all others are ejected or avoided
)

// Balancer picks the backends of one service and learns from the results of the attempts. It is not safe for
// concurrent use. The times passed to its methods must not decrease.
type Balancer struct {
	shares      *decide.Balancer
	sink        *decisionSink
	members     map[string]*member // by id
	byID        map[decide.BackendID]*member
	byTag       map[uint32]*member
	lastID      decide.BackendID
	lastRequest decide.RequestID
	timers      []timer // timers set by shares
	loads       *loadTable
	promptSizes meanPromptSizes
	events      []Event // of this node's attempts, for the other nodes
}

// timer is a timer that decide.Balancer has set.
type timer struct {
	at    time.Duration
	token uint64
}

// decisionSink receives the decisions of a decide.Balancer. The proxy makes retries and rejections, and to decide
// each attempt is a request of its own, so only its choice of a backend and its timers matter here.
type decisionSink struct {
	balancer *Balancer
	now      time.Duration // time of the current call
	chosen   decide.BackendID
	found    bool // chosen was set
}

// Send records the backend that decide has chosen.
func (d *decisionSink) Send(_ decide.RequestID, to decide.BackendID, _ time.Duration) {
	d.chosen, d.found = to, true
}

// The other decisions do not occur or are made by the proxy.

func (d *decisionSink) Reject(decide.RequestID, time.Duration) {}
func (d *decisionSink) Fail(decide.RequestID)                  {}
func (d *decisionSink) Cancel(decide.RequestID, int)           {}
func (d *decisionSink) Probe(decide.BackendID)                 {}
func (d *decisionSink) Watch()                                 {}
func (d *decisionSink) Log(string)                             {}

// SetTimer sets a timer for decide.
func (d *decisionSink) SetTimer(after time.Duration, token uint64) {
	d.balancer.timers = append(d.balancer.timers, timer{d.now + after, token})
}

// Config describes a service to its Balancer.
type Config struct {
	Target   time.Duration // longest latency target of its routes, at least a millisecond
	Deadline time.Duration // longest timeout of its routes, at least Target
	Nodes    int           // number of data-plane nodes, at least 1
	Node     int           // number of this node, unlikely to be used by another node
	Seed     uint64        // of all random draws
}

// NewBalancer returns a Balancer without backends. It returns an error if decide rejects the settings derived from
// config.
func NewBalancer(config Config) (*Balancer, error) {
	b := &Balancer{members: map[string]*member{}, byID: map[decide.BackendID]*member{}, byTag: map[uint32]*member{}, loads: newLoadTable(),
		promptSizes: meanPromptSizes{}, lastRequest: decide.RequestID(config.Seed >> 1)}
	b.sink = &decisionSink{balancer: b}
	target := max(config.Target, time.Millisecond)
	settings := decide.Settings{Nodes: max(1, config.Nodes), Node: config.Node, Zones: []string{"all"}, Kinds: []string{"rater"},
		Classes: []decide.Class{{Name: "request", Effect: decide.Safe, Target: target, Deadline: max(target, config.Deadline), Value: 1,
			LateValue: 0.3, Streaming: true}},
		Limits: decide.Limits{MaxAttempts: 1, Cancel: true}}
	shares, err := decide.New(settings, config.Seed, b.sink)
	b.shares = shares
	return b, err
}

// runTimers fires decide's timers that are due.
func (b *Balancer) runTimers(now time.Duration) {
	b.sink.now = now
	pending := slices.Clone(b.timers)
	b.timers = b.timers[:0]
	for _, t := range pending {
		if t.at > now {
			b.timers = append(b.timers, t)
			continue
		}
		b.shares.Timer(now, t.token)
	}
}

// SetBackends replaces the list of backends. What was learned about backends that stay is kept.
func (b *Balancer) SetBackends(now time.Duration, backends []Backend) {
	b.sink.now = now
	present := make(map[string]bool, len(backends))
	entries := make([]decide.Backend, 0, len(backends))
	for _, backend := range backends {
		present[backend.ID] = true
		m := b.members[backend.ID]
		if m == nil {
			b.lastID++
			m = &member{balancerID: b.lastID, tag: TagOf(backend.ID)}
			b.members[backend.ID], b.byID[m.balancerID], b.byTag[m.tag] = m, m, m
		}
		m.backend = backend
		b.loads.backend(m.tag).kvTokens = backend.KVTokens
		state := decide.Serving
		if backend.Draining {
			state = decide.Draining
		}
		entries = append(entries, decide.Backend{ID: m.balancerID, State: state})
	}
	for id, m := range b.members {
		if !present[id] {
			delete(b.members, id)
			delete(b.byID, m.balancerID)
			delete(b.byTag, m.tag)
		}
	}
	b.loads.retain(b.byTag)
	b.shares.UpdateEndpoints(now, decide.EndpointsFull, entries)
}

// Pick returns an attempt at a backend, nil if none may get the request. Requests with a prefix are routed by its
// hash, and so are retries with or without a prefix: decide's round robin would offer their excluded backends
// again.
func (b *Balancer) Pick(now time.Duration, request *Request) *Attempt {
	b.runTimers(now)
	b.lastRequest++
	b.promptSizes.record(request)
	r := decide.Request{ID: b.lastRequest, Tenant: -1, Deadline: request.Deadline, Cost: request.Cost}
	if request.Prefix != "" || len(request.Exclude) > 0 {
		if attempt := b.pickByPrefix(now, request, r); attempt != nil {
			return attempt
		}
	}
	return b.pickRoundRobin(now, request, r)
}

// start completes a picked attempt, counts it at its backend and records its first event.
func (b *Balancer) start(attempt *Attempt, m *member, request *Request) *Attempt {
	m.inFlight++
	attempt.Backend, attempt.tag, attempt.long = m.backend, m.tag, request.Long
	prefix := TagOf(request.Prefix)
	tokens := request.OwnTokens
	attempt.PrefixCached = slices.Contains(b.loads.cachedAt(attempt.sentAt, prefix), m.tag)
	if !attempt.PrefixCached {
		tokens += request.SharedTokens
	}
	if tokens > 0 {
		attempt.Expected = b.expectedFirstToken(attempt.sentAt, m, tokens)
		b.record(attempt.sentAt, Event{Kind: EventSent, Backend: m.tag, Attempt: attempt.eventID(), Tokens: tokens, Prefix: prefix,
			Long: attempt.long})
	}
	return attempt
}
