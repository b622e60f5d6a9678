package replica

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The exploration visits, breadth first and up to a depth, every sequence of messages, message losses, restarts
// and disk losses of three members. Time does not advance: the effects of timeouts are separate transitions.

// depthVariable is the environment variable that sets the depth.
const depthVariable = "LINENWHEEL_DEPTH"

// defaultDepth is the depth in CI, raceDepth the depth with the race detector.
const (
	defaultDepth = 6
	raceDepth    = 4
)

// budget is the number of transitions of each kind that a path may still contain.
type budget struct {
	orders, attempts, restarts, wipes, losses int
}

// exploredMember is a member with its disk.
type exploredMember struct {
	machine *Machine
	disk    Stored
}

// exploredState is one state of the exploration. Its parts are copied before they are modified.
type exploredState struct {
	members        []exploredMember
	inFlight       []Envelope
	budget         budget
	views          map[uint64]string            // by epoch
	bases          map[uint64]Position          // by epoch
	ackedPositions map[operator.Digest]Position // positions of acknowledged orders, by history
	lastID         uint64
	path           []string
}

// parents maps the digest of each position on any path to the preceding position. It does not depend on the path,
// because a digest covers all orders before it.
type parents map[operator.Digest]Position

type explorer struct {
	config  Config
	parents parents
	faults  injectedFaults
}

func exploredConfig() Config {
	config := DefaultConfig()
	config.MaxFailures = 1
	return config
}

// initialState returns three members that have agreed on the first view, with no messages in flight.
func (e *explorer) initialState(remaining budget) *exploredState {
	var members []Member
	for i := range 3 {
		members = append(members, Member{Address: fmt.Sprintf("m%d", i), Incarnation: uint64(i + 1)})
	}
	first := Proposal{View: View{Epoch: 1, Voters: members, Chain: members}}
	s := &exploredState{budget: remaining, views: map[uint64]string{1: fmt.Sprint(first.View)}, bases: map[uint64]Position{1: {}},
		ackedPositions: map[operator.Digest]Position{}, lastID: 10}
	for _, member := range members {
		disk := Stored{Self: member, View: &first}
		machine, err := New(e.config, disk, 1)
		if err != nil {
			panic(err)
		}
		s.members = append(s.members, exploredMember{machine, disk})
	}
	return s
}

func (s *exploredState) clone() *exploredState {
	next := *s
	next.members = slices.Clone(s.members)
	next.inFlight = slices.Clone(s.inFlight)
	next.views, next.bases, next.ackedPositions = maps.Clone(s.views), maps.Clone(s.bases), maps.Clone(s.ackedPositions)
	next.path = slices.Clone(s.path)
	return &next
}

// cloneMachine copies a machine before it handles an event.
func cloneMachine(m *Machine) *Machine {
	next := *m
	next.peers = make(map[string]*peer, len(m.peers))
	for address, p := range m.peers {
		copied := *p
		next.peers[address] = &copied
	}
	if m.attempt != nil {
		attempt := *m.attempt
		attempt.promises = maps.Clone(attempt.promises)
		attempt.installedBy, attempt.acceptedBy = maps.Clone(attempt.installedBy), maps.Clone(attempt.acceptedBy)
		next.attempt = &attempt
	}
	if m.transfer.install != nil {
		install := *m.transfer.install
		next.transfer.install = &install
	}
	next.queue = slices.Clone(m.queue)
	return &next
}

// step calls the machine of a member, stores its records and adds its messages to those in flight.
func (e *explorer) step(s *exploredState, index int, run func(m *Machine) Ready) {
	member := &s.members[index]
	machine := cloneMachine(member.machine)
	member.machine = machine
	pending := []func(m *Machine) Ready{run}
	for len(pending) > 0 {
		out := pending[0](machine)
		pending = pending[1:]
		for _, record := range out.Records {
			if !e.faults.dropRecord(record) {
				member.disk.Apply(record)
			}
		}
		for _, envelope := range out.Messages {
			if envelope.To.Address == machine.self.Address {
				pending = append(pending, func(m *Machine) Ready { return m.Step(1, envelope) })
				continue
			}
			s.inFlight = append(s.inFlight, envelope)
		}
		for _, reply := range out.Replies {
			if reply.Err == nil {
				at := machine.log.committedPosition()
				s.ackedPositions[at.History] = at
			}
		}
	}
	e.recordParent(machine)
}

func (e *explorer) recordParent(m *Machine) {
	if last, kept := m.log.lastEntry(); kept {
		before := m.log.basePosition
		if m.log.entries.Len() > 1 {
			previous := m.log.entries.Get(m.log.entries.Len() - 2)
			before = previous.position()
		}
		e.parents[last.History] = before
	}
}

// passesThrough reports whether the history of one position contains another position.
func (e *explorer) passesThrough(from, ancestor Position) bool {
	for from.Seq > ancestor.Seq {
		before, known := e.parents[from.History]
		if !known {
			return false
		}
		from = before
	}
	return from == ancestor
}

// successors returns the states that can be reached by one transition.
func (e *explorer) successors(s *exploredState) []*exploredState {
	var next []*exploredState
	transition := func(name string, change func(n *exploredState)) {
		n := s.clone()
		n.path = append(n.path, name)
		change(n)
		next = append(next, n)
	}
	for i, envelope := range s.inFlight {
		index := slices.IndexFunc(s.members, func(m exploredMember) bool { return m.disk.Self.Address == envelope.To.Address })
		name := fmt.Sprintf("%T %s>%s", envelope.Body, envelope.From.Address, envelope.To.Address)
		transition(name, func(n *exploredState) {
			n.inFlight = slices.Delete(n.inFlight, i, i+1)
			e.step(n, index, func(m *Machine) Ready { return m.Step(1, envelope) })
		})
		if expectsReply(envelope.Body) {
			transition(name+" with replies", func(n *exploredState) { e.roundTrip(n, i, index) })
		}
		if s.budget.losses > 0 {
			transition("lose "+name, func(n *exploredState) {
				n.budget.losses--
				n.inFlight = slices.Delete(n.inFlight, i, i+1)
			})
		}
	}
	for i := range s.members {
		next = append(next, e.localTransitions(s, i)...)
	}
	return next
}

// expectsReply reports whether the recipient replies to a message.
func expectsReply(body Message) bool {
	switch body.(type) {
	case Prepare, Install, Accept, Append, FetchRequest:
		return true
	}
	return false
}

// roundTrip delivers a message, and then the replies to its sender, as a single transition, so that a path of
// limited length can contain complete agreements. The individual deliveries are transitions as well.
func (e *explorer) roundTrip(s *exploredState, at, index int) {
	envelope := s.inFlight[at]
	s.inFlight = slices.Delete(s.inFlight, at, at+1)
	before := len(s.inFlight)
	e.step(s, index, func(m *Machine) Ready { return m.Step(1, envelope) })
	sender := slices.IndexFunc(s.members, func(m exploredMember) bool { return m.disk.Self.Address == envelope.From.Address })
	replies := slices.Clone(s.inFlight[before:])
	s.inFlight = s.inFlight[:before]
	for _, reply := range replies {
		if reply.To.Address != envelope.From.Address {
			s.inFlight = append(s.inFlight, reply)
			continue
		}
		e.step(s, sender, func(m *Machine) Ready { return m.Step(1, reply) })
	}
}

// localTransitions returns the states that a member can reach without receiving a message.
func (e *explorer) localTransitions(s *exploredState, i int) []*exploredState {
	var next []*exploredState
	transition := func(name string, change func(n *exploredState)) {
		n := s.clone()
		n.path = append(n.path, fmt.Sprintf("%s m%d", name, i))
		change(n)
		next = append(next, n)
	}
	machine := s.members[i].machine
	if s.budget.orders > 0 && machine.view.Head() == machine.self && machine.acceptsOrders() {
		transition("order", func(n *exploredState) {
			n.budget.orders--
			n.lastID++
			base := machine.log.committedState.Document.Revision
			order := operator.Order{Method: "PATCH", Base: base, Body: fmt.Appendf(nil, `{"Revision":%d,"By":"m%d"}`, base+1, i)}
			e.step(n, i, func(m *Machine) Ready { return m.Submit(1, n.lastID, order) })
		})
	}
	if s.budget.attempts > 0 && machine.isVoter() && machine.hasAllCommitted() && machine.attempt == nil {
		for excluded := range s.members {
			if excluded != i {
				transition(fmt.Sprintf("propose without m%d", excluded), func(n *exploredState) {
					n.budget.attempts--
					e.step(n, i, func(m *Machine) Ready { return m.propose(e.viewWithout(n, m, excluded)) })
				})
			}
		}
	}
	if s.budget.restarts > 0 {
		transition("restart", func(n *exploredState) {
			n.budget.restarts--
			e.restart(n, i)
		})
	}
	if s.budget.wipes > 0 {
		transition("wipe", func(n *exploredState) {
			n.budget.wipes--
			n.lastID++
			self := Member{Address: machine.self.Address, Incarnation: n.lastID}
			if e.faults.wipedKeepsIdentity {
				n.members[i].disk = Stored{Self: machine.self, View: &Proposal{View: machine.view, Base: Position{}}}
			} else {
				n.members[i].disk = Stored{Self: self}
			}
			e.restart(n, i)
		})
	}
	return next
}

// viewWithout returns the view that a member proposes if it does not reach another one: the unreachable member
// keeps its vote, unless its disk is new.
func (e *explorer) viewWithout(s *exploredState, m *Machine, excluded int) View {
	view := View{Epoch: m.view.Epoch + 1, Voters: slices.Clone(m.view.Voters)}
	for i, member := range s.members {
		self := member.disk.Self
		if i != excluded {
			if index := slices.IndexFunc(view.Voters, func(v Member) bool { return v.Address == self.Address }); index >= 0 {
				view.Voters[index] = self
			}
			view.Chain = append(view.Chain, self)
		}
	}
	return view
}

func (e *explorer) restart(s *exploredState, i int) {
	machine, err := New(e.config, s.members[i].disk, 1)
	if err != nil {
		panic(err)
	}
	s.members[i].machine = machine
}

// violation returns a description of the invariant that a state violates, or an empty string if there is none. It
// also records the views of the state.
func (e *explorer) violation(s *exploredState) string {
	for _, member := range s.members {
		m := member.machine
		if m.view.Epoch == 0 {
			continue
		}
		text := fmt.Sprint(m.view)
		if previous, known := s.views[m.view.Epoch]; known && (previous != text || s.bases[m.view.Epoch] != m.base) {
			return fmt.Sprintf("epoch %d has two views", m.view.Epoch)
		}
		s.views[m.view.Epoch], s.bases[m.view.Epoch] = text, m.base
		if slices.Contains(m.view.Chain, m.self) && !m.hasBase {
			return "a member of a chain does not have its base"
		}
	}
	return e.lostOrDuplicated(s)
}

// lostOrDuplicated returns a description of the violation if a member of the latest chain lacks an acknowledged
// order, or if two orders were acknowledged at one index.
func (e *explorer) lostOrDuplicated(s *exploredState) string {
	latest := slices.Max(slices.Collect(maps.Keys(s.views)))
	for _, order := range s.ackedPositions {
		for _, other := range s.ackedPositions {
			if other.Seq >= order.Seq && !e.passesThrough(other, order) {
				return "two orders at one index were acknowledged"
			}
		}
		for _, member := range s.members {
			m := member.machine
			if m.view.Epoch == latest && m.inSync() && !e.passesThrough(m.log.lastPosition(), order) {
				return fmt.Sprintf("%s, in the chain of the latest view, lacks order %d", m.self.Address, order.Seq)
			}
		}
	}
	return ""
}

// key identifies a state: states with the same key have the same successors.
func (s *exploredState) key() [sha256.Size]byte {
	var text strings.Builder
	for _, member := range s.members {
		m := member.machine
		fmt.Fprintln(&text, m.self, m.view, m.base, m.hasBase, m.log.lastPosition(), m.log.committedPosition(), m.promised, describeAccepted(m.accepted),
			m.maxRound, len(m.queue))
		if a := m.attempt; a != nil {
			fmt.Fprintln(&text, a.ballot, a.view, a.base, a.installStartedAt > 0, a.installedBy, a.acceptedBy, a.proposal != nil)
			var promises []string
			for voter, promise := range a.promises {
				promises = append(promises, fmt.Sprint(voter, promise.Position, promise.Holds, describeAccepted(promise.Accepted)))
			}
			slices.Sort(promises)
			fmt.Fprintln(&text, promises)
		}
		if install := m.transfer.install; install != nil {
			fmt.Fprintln(&text, install.request, install.proposer, m.transfer.inFlight)
		}
	}
	inFlight := make([]string, len(s.inFlight))
	for i, envelope := range s.inFlight {
		inFlight[i] = describeEnvelope(envelope)
	}
	slices.Sort(inFlight)
	fmt.Fprintln(&text, inFlight, s.budget, s.views, len(s.ackedPositions))
	for _, order := range s.ackedPositions {
		fmt.Fprint(&text, order.Seq, " ")
	}
	return sha256.Sum256([]byte(text.String()))
}

func describeAccepted(accepted *Accepted) string {
	if accepted == nil {
		return "nothing"
	}
	return fmt.Sprint(*accepted)
}

func describeEnvelope(envelope Envelope) string {
	text := fmt.Sprintf("%v %v %T ", envelope.From, envelope.To, envelope.Body)
	if promise, is := envelope.Body.(Promise); is {
		accepted := describeAccepted(promise.Accepted)
		promise.Accepted = nil
		return text + fmt.Sprint(promise, accepted)
	}
	return text + fmt.Sprint(envelope.Body)
}

// explore visits all states up to a depth. It returns their number and the first path to a violation.
func (e *explorer) explore(remaining budget, depth int) (states int, path []string) {
	seen := map[[sha256.Size]byte]bool{}
	frontier := []*exploredState{e.initialState(remaining)}
	for range depth {
		var next []*exploredState
		for _, s := range frontier {
			for _, n := range e.successors(s) {
				if violation := e.violation(n); violation != "" {
					return len(seen), append(n.path, violation)
				}
				key := n.key()
				if !seen[key] {
					seen[key] = true
					next = append(next, n)
				}
			}
		}
		frontier = next
	}
	return len(seen), nil
}

func newExplorer(faults injectedFaults) *explorer {
	return &explorer{config: exploredConfig(), parents: parents{}, faults: faults}
}

func exploredDepth() int {
	if depth, err := strconv.Atoi(os.Getenv(depthVariable)); err == nil {
		return depth
	}
	if raceDetector {
		return raceDepth
	}
	return defaultDepth
}

func TestEverySequenceOfEventsPreservesInvariants(t *testing.T) {
	for name, remaining := range map[string]budget{
		"two orders, an attempt, a restart":      {orders: 2, attempts: 1, restarts: 1},
		"an order, two attempts, a lost disk":    {orders: 1, attempts: 2, wipes: 1},
		"an order, two attempts, a lost message": {orders: 1, attempts: 2, losses: 1},
		"two orders, two attempts, two restarts": {orders: 2, attempts: 2, restarts: 2},
		"one of each":                            {orders: 1, attempts: 1, restarts: 1, wipes: 1, losses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, path := newExplorer(injectedFaults{}).explore(remaining, exploredDepth())
			require.Empty(t, path)
			t.Logf("%d states to depth %d", states, exploredDepth())
		})
	}
}

func TestExplorationDetectsInjectedFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fault     injectedFaults
		remaining budget
	}{
		"entries not stored":                   {injectedFaults{entriesNotStored: true}, budget{orders: 1, restarts: 1, attempts: 1}},
		"a wiped member keeps its incarnation": {injectedFaults{wipedKeepsIdentity: true}, budget{orders: 1, wipes: 1, attempts: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, path := newExplorer(test.fault).explore(test.remaining, 12)
			require.NotEmpty(t, path)
			t.Logf("detected after %d states: %s", states, strings.Join(path, "; "))
		})
	}
}
