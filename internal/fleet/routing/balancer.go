package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// The figures of placing.
const (
	inFlightBoundFactor = 1.5  // times its even part of this node's requests that a rater may hold and still get its prefixes
	inFlightBoundSlack  = 6.0  // and so many more
	maxCandidates       = 8    // raters after home that are looked at
	rereadPenalty       = 4.0  // worth lost for each aim of time that a rater reads what is kept elsewhere
	stallPenalty        = 0.5  // worth lost for each stream beside a prompt that is read for as long as the aim
	stallThreshold      = 0.5  // part of the aim for which a prompt may be read without a stream beside it being held up too long
	lateThreshold       = 0.9  // part of the aim at which half of the answers are taken to be late
	lateWidth           = 0.1  // part of the aim by which true times scatter about the expected ones
	delayPenalty        = 0.05 // worth lost for each aim of expected time
)

// Backend is a rater as the balancer of its service is told of it.
type Backend struct {
	ID            string
	Address       string
	Slots         int
	KVTokens      float64 // tokens that it can hold, 0 = not known
	HeartbeatLate bool    // control has not heard from it for longer than usual
	Draining      bool
}

// Request is what the choice depends on.
type Request struct {
	Prefix       string  // the key of the shared part; empty = none
	Long         bool    // the answer is long after its first token
	Route        string  // requests of a route are alike
	Cost         float64 // expected work, in any unit that is the same for all
	OwnTokens    float64 // tokens of the prompt that no other request shares
	SharedTokens float64 // and those that others do
	Target       time.Duration
	Deadline     time.Duration
	Exclude      []string // raters that were tried already
}

// Result is how an attempt ended.
type Result = decide.Result

// Attempt is one attempt at a rater.
type Attempt struct {
	Backend      Backend
	Expected     time.Duration // the expected time to the first token, 0 = not known
	Reason       Reason
	PrefixCached bool          // the rater is taken to have the shared part of the prompt
	HomeExpected time.Duration // the expected time at the prompt's home, where one was looked for
	request      decide.RequestID
	balancerID   decide.BackendID
	sent         time.Duration
	tag          uint32
	long         bool
	begun        bool
	paused       bool
}

// RecordPause notes that an answer came with a longer pause between its parts than its route allows.
func (t *Attempt) RecordPause() { t.paused = true }

// Reason says why a rater was chosen.
type Reason string

// The reasons.
const (
	ReasonHome       Reason = "home" // it is the home of the prompt's shared part
	ReasonMoved      Reason = "move" // it is expected to be better than the home
	ReasonRoundRobin Reason = "turn" // its turn of the weighted round robin
	ReasonLastResort Reason = "need" // the others are away
)

// eventID names the attempt in events. Nodes begin at numbers of their own.
func (t *Attempt) eventID() uint32 { return uint32(t.request) }

type member struct {
	state       Backend
	tag         uint32
	balancerID  decide.BackendID
	inFlight    int // requests of this node that it holds
	respondedAt time.Duration
	avoidance   avoidance
}

// Balancer places the requests of one service. It is not safe for concurrent use.
type Balancer struct {
	shares      *decide.Balancer
	actions     *actions
	members     map[string]*member
	byID        map[decide.BackendID]*member
	lastID      decide.BackendID
	lastRequest decide.RequestID
	timers      []timer
	loads       *loadTable
	promptSizes meanSizes
	byTag       map[uint32]*member
	events      []Event // for other nodes
}

type timer struct {
	at    time.Duration
	token uint64
}

// actions takes what a balancer asks for. Every attempt is a request of its own, so only where to send is of interest.
type actions struct {
	service *Balancer
	now     time.Duration
	chosen  decide.BackendID
	found   bool
}

func (a *actions) Send(_ decide.RequestID, to decide.BackendID, _ time.Duration) {
	a.chosen, a.found = to, true
}
func (a *actions) Refuse(decide.RequestID, time.Duration) {}
func (a *actions) Fail(decide.RequestID)                  {}
func (a *actions) Cancel(decide.RequestID, int)           {}
func (a *actions) Probe(decide.BackendID)                 {}
func (a *actions) Watch()                                 {}
func (a *actions) Log(string)                             {}
func (a *actions) Wake(after time.Duration, token uint64) {
	a.service.timers = append(a.service.timers, timer{a.now + after, token})
}

// Config describe a service.
type Config struct {
	Target   time.Duration // the latency objective of its routes
	Deadline time.Duration
	Nodes    int // nodes of the data plane
	Node     int // this one's number, any that others are unlikely to have
	Seed     uint64
}

// NewBalancer makes a service without raters.
func NewBalancer(options Config) (*Balancer, error) {
	s := &Balancer{members: map[string]*member{}, byID: map[decide.BackendID]*member{}, byTag: map[uint32]*member{}, loads: newLoadTable(), promptSizes: meanSizes{},
		lastRequest: decide.RequestID(options.Seed >> 1)}
	s.actions = &actions{service: s}
	aim := max(options.Target, time.Millisecond)
	settings := decide.Settings{Nodes: max(1, options.Nodes), Node: options.Node, Zones: []string{"all"}, Kinds: []string{"rater"},
		Classes: []decide.Class{{Name: "request", Effect: decide.Safe, Aim: aim, Deadline: max(aim, options.Deadline), Worth: 1,
			LateWorth: 0.3, Streaming: true}},
		Limits: decide.Limits{MaxAttempts: 1, Cancel: true}}
	balancer, err := decide.New(settings, options.Seed, s.actions)
	s.shares = balancer
	return s, err
}

// Tick lets the balancer's timers run.
func (s *Balancer) Tick(now time.Duration) {
	s.actions.now = now
	due := slices.Clone(s.timers)
	s.timers = s.timers[:0]
	for _, t := range due {
		if t.at > now {
			s.timers = append(s.timers, t)
			continue
		}
		s.shares.Timer(now, t.token)
	}
}

// SetBackends takes the list of raters.
func (s *Balancer) SetBackends(now time.Duration, raters []Backend) {
	s.actions.now = now
	present := make(map[string]bool, len(raters))
	entries := make([]decide.Backend, 0, len(raters))
	for _, rater := range raters {
		present[rater.ID] = true
		m := s.members[rater.ID]
		if m == nil {
			s.lastID++
			m = &member{balancerID: s.lastID, tag: TagOf(rater.ID)}
			s.members[rater.ID], s.byID[m.balancerID], s.byTag[m.tag] = m, m, m
		}
		m.state = rater
		s.loads.backend(m.tag).kvTokens = rater.KVTokens
		state := decide.Serving
		if rater.Draining {
			state = decide.Draining
		}
		entries = append(entries, decide.Backend{ID: m.balancerID, State: state})
	}
	for id, m := range s.members {
		if !present[id] {
			delete(s.members, id)
			delete(s.byID, m.balancerID)
			delete(s.byTag, m.tag)
		}
	}
	s.loads.retain(s.byTag)
	s.shares.List(now, decide.ListFull, entries)
}

// Size is the number of raters that may get requests.
func (s *Balancer) Size() int {
	size := 0
	for _, m := range s.members {
		if !m.state.Draining {
			size++
		}
	}
	return size
}

// Pick chooses a rater, nil where none may get the request.
func (s *Balancer) Pick(now time.Duration, request *Request) *Attempt {
	s.Tick(now)
	s.lastRequest++
	s.promptSizes.record(request)
	r := decide.Request{ID: s.lastRequest, Tenant: -1, Deadline: request.Deadline, Cost: request.Cost}
	if request.Prefix != "" || len(request.Exclude) > 0 {
		if ticket := s.pickByPrefix(now, request, r); ticket != nil {
			return ticket
		}
	}
	return s.pickRoundRobin(now, request, r)
}

// Observe takes what other nodes told. It tells whether the event was about a rater of this service.
func (s *Balancer) Observe(now time.Duration, event *Event) bool {
	m := s.byTag[event.Backend]
	if m == nil {
		return false
	}
	if event.Kind == EventUnreachable {
		s.observeUnreachable(now, m)
		return true
	}
	s.loads.apply(now, event, false)
	return true
}

// DrainEvents gives what other nodes are to be told, once.
func (s *Balancer) DrainEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

// record takes an event of this node's and keeps it for the others.
func (s *Balancer) record(now time.Duration, event Event) {
	s.loads.apply(now, &event, true)
	s.events = append(s.events, event)
}

// pickRoundRobin leaves the choice to the balancer.
func (s *Balancer) pickRoundRobin(now time.Duration, request *Request, r decide.Request) *Attempt {
	for range len(s.members) {
		s.actions.found = false
		s.shares.Request(now, r)
		if !s.actions.found {
			return s.pickLastResort(now, request, r)
		}
		m := s.byID[s.actions.chosen]
		ticket := &Attempt{request: r.ID, balancerID: s.actions.chosen, sent: now}
		if m != nil && !m.avoided(now) && !m.state.HeartbeatLate && !slices.Contains(request.Exclude, m.state.ID) {
			ticket.Reason = ReasonRoundRobin
			return s.start(ticket, m, request)
		}
		s.shares.Outcome(now, decide.Outcome{Request: r.ID, Backend: ticket.balancerID, Over: true, Result: decide.NotSent})
		s.lastRequest++
		r.ID = s.lastRequest
	}
	return s.pickLastResort(now, request, r)
}

// pickLastResort takes the rater with the least of this node's requests where the balancer has put all others away. One that
// is suspected is better than none.
func (s *Balancer) pickLastResort(now time.Duration, request *Request, r decide.Request) *Attempt {
	var best *member
	for _, m := range s.sortedMembers() {
		if !s.allowed(m, request) || !s.shares.Usable(now, m.balancerID) {
			continue
		}
		if best == nil || best.avoided(now) && !m.avoided(now) || best.avoided(now) == m.avoided(now) && m.inFlight < best.inFlight {
			best = m
		}
	}
	if best == nil || !s.shares.Placed(now, r, best.balancerID) {
		return nil
	}
	return s.start(&Attempt{request: r.ID, balancerID: best.balancerID, sent: now, Reason: ReasonLastResort}, best, request)
}

func (s *Balancer) start(t *Attempt, m *member, request *Request) *Attempt {
	m.inFlight++
	t.Backend, t.tag, t.long = m.state, m.tag, request.Long
	prefix := TagOf(request.Prefix)
	tokens := request.OwnTokens
	t.PrefixCached = slices.Contains(s.loads.cachedAt(t.sent, prefix), m.tag)
	if !t.PrefixCached {
		tokens += request.SharedTokens
	}
	if tokens > 0 {
		t.Expected = s.expectedFirstToken(t.sent, m, tokens)
		s.record(t.sent, Event{Kind: EventSent, Backend: m.tag, Attempt: t.eventID(), Tokens: tokens, Prefix: prefix, Long: t.long})
	}
	return t
}

// expectedFirstToken is the time after which a rater's first token is expected where it has so many tokens to read.
func (s *Balancer) expectedFirstToken(now time.Duration, m *member, tokens float64) time.Duration {
	load := s.loads.backend(m.tag)
	return s.loads.queueDelay(now, load) + s.loads.slotDelay(now, load, m.state.Slots) + s.loads.prefillTime(now, load, tokens)
}

func (s *Balancer) allowed(m *member, request *Request) bool {
	return !m.state.Draining && !m.state.HeartbeatLate && !slices.Contains(request.Exclude, m.state.ID)
}

// sortedMembers gives the members in an order that is the same at every run.
func (s *Balancer) sortedMembers() []*member {
	members := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.state.ID, b.state.ID) })
	return members
}

type ranked struct {
	member *member
	score  float64
}

// rankByHash orders the raters that may get a request by the hash of its prefix.
func (s *Balancer) rankByHash(now time.Duration, request *Request) []ranked {
	var order []ranked
	for _, m := range s.sortedMembers() {
		if !s.allowed(m, request) || m.avoided(now) || !s.shares.Usable(now, m.balancerID) {
			continue
		}
		order = append(order, ranked{m, hashUnit(request.Prefix, m.state.ID)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return order
}

// pickByPrefix gives a request to the home of its prefix, or to the next ones of the hash's order where those are expected
// to give the first token so much sooner that it pays to read the shared part there too.
func (s *Balancer) pickByPrefix(now time.Duration, request *Request, r decide.Request) *Attempt {
	order := s.rankByHash(now, request)
	if len(order) == 0 {
		return nil
	}
	home := order[0].member
	homeExpected := s.expectedFirstToken(now, home, request.OwnTokens)
	s.preferLowestLoss(now, request, order)
	bound := s.inFlightBound(len(order))
	for _, candidate := range order {
		if float64(candidate.member.inFlight) >= bound {
			continue
		}
		if s.shares.Placed(now, r, candidate.member.balancerID) {
			ticket := &Attempt{request: r.ID, balancerID: candidate.member.balancerID, sent: now, Reason: ReasonHome, HomeExpected: homeExpected}
			if candidate.member != home {
				ticket.Reason = ReasonMoved
			}
			return s.start(ticket, candidate.member, request)
		}
	}
	return nil
}

// preferLowestLoss puts another rater before the home of a prefix where less worth is expected to be lost there.
func (s *Balancer) preferLowestLoss(now time.Duration, request *Request, order []ranked) {
	if len(order) < 2 {
		return
	}
	keeping := s.loads.cachedAt(now, TagOf(request.Prefix))
	if len(keeping) == 0 { // one that kept it before is as likely as any to have it still
		keeping = []uint32{order[0].member.tag}
	}
	best, least := 0, s.expectedLoss(now, request, order[0].member, keeping)
	for i := 1; i < len(order) && i <= maxCandidates; i++ {
		if loss := s.expectedLoss(now, request, order[i].member, keeping); loss < least {
			best, least = i, loss
		}
	}
	if best > 0 {
		moved := order[best]
		copy(order[1:best+1], order[:best])
		order[0] = moved
	}
}

// expectedLoss is the one measure by which raters are compared: the part of a request's worth that is expected to be lost at a
// rater, as its first token is late, the attempt fails, or the shared part of its prompt is read once more.
func (s *Balancer) expectedLoss(now time.Duration, request *Request, m *member, keeping []uint32) float64 {
	aim := max(request.Target.Seconds(), 0.001)
	load := s.loads.backend(m.tag)
	tokens, reread := request.OwnTokens, 0.0
	if !slices.Contains(keeping, m.tag) {
		tokens += request.SharedTokens
		reread = rereadPenalty * s.loads.prefill.time(request.SharedTokens).Seconds() / aim
	}
	expected := s.expectedFirstToken(now, m, tokens).Seconds() / aim
	late := 1 / (1 + math.Exp((lateThreshold-expected)/lateWidth))
	risk := s.loads.failureRate(now, load)
	if request.Long {
		risk = max(risk, s.loads.stallRate(now, load))
	}
	reading := s.loads.slowdown(now, load) * s.loads.prefill.time(tokens).Seconds() / aim
	beside := stallPenalty * float64(len(load.decoding)) * max(0, reading-stallThreshold)
	return s.promptSizes.value(request)*(1-(1-late)*(1-risk)+delayPenalty*expected) + reread + beside
}

// inFlightBound is how many requests of this node a rater may hold and still get prefixes.
func (s *Balancer) inFlightBound(raters int) float64 {
	held := 1
	for _, m := range s.members {
		held += m.inFlight
	}
	return inFlightBoundFactor*float64(held)/float64(max(1, raters)) + inFlightBoundSlack
}

// FirstToken takes the first token of an attempt's answer.
func (s *Balancer) FirstToken(now time.Duration, t *Attempt) {
	s.actions.now = now
	s.shares.Begun(now, t.request, 0, now-t.sent)
	if m := s.members[t.Backend.ID]; m != nil {
		m.recordResponse(now)
	}
	if !t.begun {
		t.begun = true
		s.record(now, Event{Kind: EventFirstToken, Backend: t.tag, Attempt: t.eventID(), TimeToFirstToken: now - t.sent, Long: t.long})
	}
}

// Load is what a rater told of itself with an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
}

// Done takes the end of an attempt.
func (s *Balancer) Done(now time.Duration, t *Attempt, result Result, load Load) {
	s.actions.now = now
	if m := s.members[t.Backend.ID]; m != nil && m.balancerID == t.balancerID {
		m.inFlight--
		if result == decide.Good || result == decide.Full {
			m.recordResponse(now)
		}
	}
	switch {
	case t.paused:
		s.record(now, Event{Kind: EventPaused, Backend: t.tag, Attempt: t.eventID()})
	case isFailure(result):
		s.record(now, Event{Kind: EventFailed, Backend: t.tag, Attempt: t.eventID()})
	case t.long || !t.begun:
		s.record(now, Event{Kind: EventEnded, Backend: t.tag, Attempt: t.eventID()})
	}
	outcome := decide.Outcome{Request: t.request, Backend: t.balancerID, Over: true, Latency: now - t.sent, Result: result}
	if load.Known {
		outcome.Load.Has = 1 << decide.ReportHeld
		outcome.Load.Values[decide.ReportHeld] = float64(load.Running + load.Waiting)
	}
	s.shares.Outcome(now, outcome)
}

// isFailure tells whether an end speaks against the rater.
func isFailure(result Result) bool {
	switch result {
	case decide.Failed, decide.Reset, decide.Full, decide.Late:
		return true
	}
	return false
}

// View tells how the service's raters do.
func (s *Balancer) View(now time.Duration) decide.View { return s.shares.View(now) }

// BackendLoad is what is known of a rater's load, from this node's attempts and from those that other nodes told of.
type BackendLoad struct {
	Reading int           // prompts whose first token has not come
	Running int           // long answers under way
	Wait    time.Duration // until it is done with the prompts that it has to read
	Pace    float64       // times the usual time that its answers take to begin
	Failing float64       // part of its attempts that fail
}

// Load tells what is known of the load of a rater.
func (s *Balancer) Load(now time.Duration, id string) BackendLoad {
	load := s.loads.backend(TagOf(id))
	return BackendLoad{Reading: len(load.prefilling), Running: len(load.decoding), Wait: s.loads.queueDelay(now, load), Pace: s.loads.slowdown(now, load),
		Failing: s.loads.failureRate(now, load)}
}

// BackendName is the id of a rater by its number in View.
func (s *Balancer) BackendName(id decide.BackendID) string {
	if m := s.byID[id]; m != nil {
		return m.state.ID
	}
	return ""
}
