package routing

import (
	"cmp"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// The figures of placing.
const (
	boundPart  = 1.5 // times its even part of this node's requests that a rater may hold and still get its prefixes
	boundSlack = 6.0 // and so many more
)

// Rater is a rater as the balancer of its service is told of it.
type Rater struct {
	ID       string
	Address  string
	Slots    int
	Late     bool // control has not heard from it for longer than usual
	Draining bool
}

// Request is what the choice depends on.
type Request struct {
	Prefix   string  // the key of the shared part; empty = none
	Cost     float64 // expected work, in any unit that is the same for all
	Own      float64 // tokens of the prompt that no other request shares
	Shared   float64 // and those that others do
	Aim      time.Duration
	Deadline time.Duration
	Exclude  []string // raters that were tried already
}

// Result is how an attempt ended.
type Result = decide.Result

// Ticket is one attempt at a rater.
type Ticket struct {
	Rater   Rater
	request decide.RequestID
	backend decide.BackendID
	sent    time.Duration
	tokens  float64 // that the rater has to read
	alone   bool    // the rater had nothing else to read
}

// Announcement tells other nodes that a rater begins or ends to read a long prompt; false: it is not long enough.
func (t *Ticket) Announcement(ended bool) (Reading, bool) {
	return Reading{ID: t.reading(), Rater: t.Rater.ID, Tokens: t.tokens, Ended: ended}, t.tokens >= announceLeast
}

// reading names the prompt that the attempt has read. Nodes begin at numbers of their own.
func (t *Ticket) reading() uint64 { return uint64(t.request) }

type member struct {
	rater   Rater
	backend decide.BackendID
	ours    int // requests of this node that it holds
	heardAt time.Duration
	suspect suspicion
}

// Service places the requests of one service. It is not safe for concurrent use.
type Service struct {
	balancer *decide.Balancer
	actions  *actions
	members  map[string]*member
	byID     map[decide.BackendID]*member
	lastID   decide.BackendID
	lastReq  decide.RequestID
	timers   []timer
	backlog  *backlog
}

type timer struct {
	at    time.Duration
	token uint64
}

// actions takes what a balancer asks for. Every attempt is a request of its own, so only where to send is of interest.
type actions struct {
	service *Service
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

// Options describe a service.
type Options struct {
	Aim      time.Duration // the latency objective of its routes
	Deadline time.Duration
	Nodes    int // nodes of the data plane
	Node     int // this one's number, any that others are unlikely to have
	Seed     uint64
}

// NewService makes a service without raters.
func NewService(options Options) (*Service, error) {
	s := &Service{members: map[string]*member{}, byID: map[decide.BackendID]*member{}, backlog: newBacklog(),
		lastReq: decide.RequestID(options.Seed >> 1)}
	s.actions = &actions{service: s}
	aim := max(options.Aim, time.Millisecond)
	settings := decide.Settings{Nodes: max(1, options.Nodes), Node: options.Node, Zones: []string{"all"}, Kinds: []string{"rater"},
		Classes: []decide.Class{{Name: "request", Effect: decide.Safe, Aim: aim, Deadline: max(aim, options.Deadline), Worth: 1,
			LateWorth: 0.3, Streaming: true}},
		Limits: decide.Limits{MaxAttempts: 1, Cancel: true}}
	balancer, err := decide.New(settings, options.Seed, s.actions)
	s.balancer = balancer
	return s, err
}

// Tick lets the balancer's timers run.
func (s *Service) Tick(now time.Duration) {
	s.actions.now = now
	due := slices.Clone(s.timers)
	s.timers = s.timers[:0]
	for _, t := range due {
		if t.at > now {
			s.timers = append(s.timers, t)
			continue
		}
		s.balancer.Timer(now, t.token)
	}
}

// SetRaters takes the list of raters.
func (s *Service) SetRaters(now time.Duration, raters []Rater) {
	s.actions.now = now
	present := make(map[string]bool, len(raters))
	entries := make([]decide.Backend, 0, len(raters))
	for _, rater := range raters {
		present[rater.ID] = true
		m := s.members[rater.ID]
		if m == nil {
			s.lastID++
			m = &member{backend: s.lastID}
			s.members[rater.ID], s.byID[m.backend] = m, m
		}
		m.rater = rater
		state := decide.Serving
		if rater.Draining {
			state = decide.Draining
		}
		entries = append(entries, decide.Backend{ID: m.backend, State: state})
	}
	for id, m := range s.members {
		if !present[id] {
			delete(s.members, id)
			delete(s.byID, m.backend)
		}
	}
	s.balancer.List(now, decide.ListFull, entries)
}

// Size is the number of raters that may get requests.
func (s *Service) Size() int {
	size := 0
	for _, m := range s.members {
		if !m.rater.Draining {
			size++
		}
	}
	return size
}

// Place chooses a rater, nil where none may get the request.
func (s *Service) Place(now time.Duration, request *Request) *Ticket {
	s.Tick(now)
	s.lastReq++
	r := decide.Request{ID: s.lastReq, Tenant: -1, Deadline: request.Deadline, Cost: request.Cost}
	if request.Prefix != "" || len(request.Exclude) > 0 {
		if ticket := s.placeByHash(now, request, r); ticket != nil {
			return ticket
		}
	}
	return s.placeByTurn(now, request, r)
}

// Heard takes what other nodes told of long prompts.
func (s *Service) Heard(now time.Duration, readings []Reading) {
	for _, one := range readings {
		if one.Down {
			s.heardDown(now, one.Rater)
			continue
		}
		if one.Ended {
			s.backlog.end(one.Rater, one.ID)
			continue
		}
		s.backlog.add(now-one.Ago, one.Rater, one.ID, one.Tokens)
	}
}

// placeByTurn leaves the choice to the balancer.
func (s *Service) placeByTurn(now time.Duration, request *Request, r decide.Request) *Ticket {
	for range len(s.members) {
		s.actions.found = false
		s.balancer.Request(now, r)
		if !s.actions.found {
			return s.placeAnywhere(now, request, r)
		}
		m := s.byID[s.actions.chosen]
		ticket := &Ticket{request: r.ID, backend: s.actions.chosen, sent: now}
		if m != nil && !m.suspected(now) && !m.rater.Late && !slices.Contains(request.Exclude, m.rater.ID) {
			return s.ticket(ticket, m, request.Own)
		}
		s.balancer.Outcome(now, decide.Outcome{Request: r.ID, Backend: ticket.backend, Over: true, Result: decide.NotSent})
		s.lastReq++
		r.ID = s.lastReq
	}
	return s.placeAnywhere(now, request, r)
}

// placeAnywhere takes the rater with the least of this node's requests where the balancer has put all others away. One that
// is suspected is better than none.
func (s *Service) placeAnywhere(now time.Duration, request *Request, r decide.Request) *Ticket {
	var best *member
	for _, m := range s.sorted() {
		if !s.allowed(m, request) || !s.balancer.Usable(now, m.backend) {
			continue
		}
		if best == nil || best.suspected(now) && !m.suspected(now) || best.suspected(now) == m.suspected(now) && m.ours < best.ours {
			best = m
		}
	}
	if best == nil || !s.balancer.Placed(now, r, best.backend) {
		return nil
	}
	return s.ticket(&Ticket{request: r.ID, backend: best.backend, sent: now}, best, request.Own+request.Shared)
}

func (s *Service) ticket(t *Ticket, m *member, tokens float64) *Ticket {
	m.ours++
	t.Rater, t.tokens, t.alone = m.rater, tokens, !s.backlog.busy(m.rater.ID)
	if tokens > 0 {
		s.backlog.add(t.sent, m.rater.ID, t.reading(), tokens)
	}
	return t
}

func (s *Service) allowed(m *member, request *Request) bool {
	return !m.rater.Draining && !m.rater.Late && !slices.Contains(request.Exclude, m.rater.ID)
}

// sorted gives the members in an order that is the same at every run.
func (s *Service) sorted() []*member {
	members := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.rater.ID, b.rater.ID) })
	return members
}

type ranked struct {
	member *member
	score  float64
}

// rank orders the raters that may get a request by the hash of its prefix.
func (s *Service) rank(now time.Duration, request *Request) []ranked {
	var order []ranked
	for _, m := range s.sorted() {
		if !s.allowed(m, request) || m.suspected(now) || !s.balancer.Usable(now, m.backend) {
			continue
		}
		order = append(order, ranked{m, hashUnit(request.Prefix, m.rater.ID)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return order
}

// placeByHash gives a request to the home of its prefix, or to the next ones of the hash's order where those are expected
// to give the first token so much sooner that it pays to read the shared part there too.
func (s *Service) placeByHash(now time.Duration, request *Request, r decide.Request) *Ticket {
	order := s.rank(now, request)
	if len(order) == 0 {
		return nil
	}
	home := order[0].member
	s.moveFromBusyHome(now, request, order)
	bound := s.bound(len(order))
	for _, candidate := range order {
		if float64(candidate.member.ours) >= bound {
			continue
		}
		if s.balancer.Placed(now, r, candidate.member.backend) {
			tokens := request.Own
			if candidate.member != home {
				tokens += request.Shared
			}
			return s.ticket(&Ticket{request: r.ID, backend: candidate.member.backend, sent: now}, candidate.member, tokens)
		}
	}
	return nil
}

// moveFromBusyHome puts another rater before the home of a prefix where the home is busy with long prompts.
func (s *Service) moveFromBusyHome(now time.Duration, request *Request, order []ranked) {
	if len(order) < 2 || !s.backlog.known() {
		return
	}
	least := s.backlog.wait(now, order[0].member.rater.ID) + s.backlog.base + s.backlog.time(request.Own)
	if least <= time.Duration(slackOfAim*float64(request.Aim)) {
		return
	}
	best := 0
	reread := time.Duration(rereadWeight * float64(s.backlog.time(request.Shared)))
	for i := 1; i < len(order) && i <= mostMoves; i++ {
		expected := s.backlog.wait(now, order[i].member.rater.ID) + s.backlog.base + s.backlog.time(request.Own) + reread
		if expected < least {
			best, least = i, expected
		}
	}
	if best > 0 {
		moved := order[best]
		copy(order[1:best+1], order[:best])
		order[0] = moved
	}
}

// bound is how many requests of this node a rater may hold and still get prefixes.
func (s *Service) bound(raters int) float64 {
	held := 1
	for _, m := range s.members {
		held += m.ours
	}
	return boundPart*float64(held)/float64(max(1, raters)) + boundSlack
}

// Begun takes the first token of an attempt's answer.
func (s *Service) Begun(now time.Duration, t *Ticket) {
	s.actions.now = now
	s.balancer.Begun(now, t.request, 0, now-t.sent)
	if m := s.members[t.Rater.ID]; m != nil {
		m.answered(now)
	}
	s.backlog.read(now, t.Rater.ID, t.reading(), t.alone)
}

// Load is what a rater told of itself with an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
}

// End takes the end of an attempt. It tells whether the rater had not yet read the prompt.
func (s *Service) End(now time.Duration, t *Ticket, result Result, load Load) (unread bool) {
	s.actions.now = now
	if m := s.members[t.Rater.ID]; m != nil && m.backend == t.backend {
		m.ours--
		if result == decide.Good || result == decide.Full {
			m.answered(now)
		}
	}
	unread = s.backlog.end(t.Rater.ID, t.reading())
	outcome := decide.Outcome{Request: t.request, Backend: t.backend, Over: true, Latency: now - t.sent, Result: result}
	if load.Known {
		outcome.Load.Has = 1 << decide.ReportHeld
		outcome.Load.Values[decide.ReportHeld] = float64(load.Running + load.Waiting)
	}
	s.balancer.Outcome(now, outcome)
	return unread
}

// View tells how the service's raters do.
func (s *Service) View(now time.Duration) decide.View { return s.balancer.View(now) }

// Name is the id of a rater by its number in View.
func (s *Service) Name(id decide.BackendID) string {
	if m := s.byID[id]; m != nil {
		return m.rater.ID
	}
	return ""
}
