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

// The exhaustive exploration looks at every order of messages, losses, restarts and lost disks of three members up to a depth,
// breadth first. Time stands still: heartbeats, repeats and plans come from moves of their own.

// depthVariable names the environment variable that sets the depth.
const depthVariable = "LINENWHEEL_DEPTH"

// usualDepth is the depth in CI, raceDepth that under the race detector.
const (
	usualDepth = 6
	raceDepth  = 4
)

// budget is how many moves of each kind a path may still make.
type budget struct {
	orders, attempts, restarts, wipes, losses int
}

// exploredMember is a member with its disk.
type exploredMember struct {
	machine *Machine
	disk    Stored
}

// explored is one state of the exploration. Its parts are copied before they change.
type explored struct {
	members []exploredMember
	flying  []Envelope
	left    budget
	views   map[uint64]string            // by epoch, as some member has known it
	bases   map[uint64]Position          // with which they begin
	acked   map[operator.Digest]Position // by history: the orders that were acknowledged
	ids     uint64
	path    []string
}

// parents gives the position before each position that any path has reached: a history names all orders before it.
type parents map[operator.Digest]Position

type explorer struct {
	options Config
	parents parents
	faulty  planted
}

func exploredOptions() Config {
	options := DefaultConfig()
	options.MaxFailures = 1
	return options
}

// root is three members that have agreed on a first view, with no messages under way.
func (e *explorer) root(left budget) *explored {
	var members []Member
	for i := range 3 {
		members = append(members, Member{Address: fmt.Sprintf("m%d", i), Incarnation: uint64(i + 1)})
	}
	first := Proposal{View: View{Epoch: 1, Voters: members, Chain: members}}
	s := &explored{left: left, views: map[uint64]string{1: fmt.Sprint(first.View)}, bases: map[uint64]Position{1: {}},
		acked: map[operator.Digest]Position{}, ids: 10}
	for _, member := range members {
		disk := Stored{Self: member, View: &first}
		machine, err := New(e.options, disk, 1)
		if err != nil {
			panic(err)
		}
		s.members = append(s.members, exploredMember{machine, disk})
	}
	return s
}

func (s *explored) clone() *explored {
	next := *s
	next.members = slices.Clone(s.members)
	next.flying = slices.Clone(s.flying)
	next.views, next.bases, next.acked = maps.Clone(s.views), maps.Clone(s.bases), maps.Clone(s.acked)
	next.path = slices.Clone(s.path)
	return &next
}

// cloneMachine copies a machine that is about to step.
func cloneMachine(m *Machine) *Machine {
	next := *m
	next.peers = make(map[string]*peer, len(m.peers))
	for address, p := range m.peers {
		one := *p
		next.peers[address] = &one
	}
	if m.attempt != nil {
		attempt := *m.attempt
		attempt.promises, attempt.installedBy, attempt.acceptedBy = maps.Clone(attempt.promises), maps.Clone(attempt.installedBy), maps.Clone(attempt.acceptedBy)
		next.attempt = &attempt
	}
	if m.transfer.install != nil {
		install := *m.transfer.install
		next.transfer.install = &install
	}
	next.queue = slices.Clone(m.queue)
	return &next
}

// step has a member do something, stores what it wants stored, and puts its messages on their way.
func (e *explorer) step(s *explored, place int, run func(m *Machine) Ready) {
	member := &s.members[place]
	machine := cloneMachine(member.machine)
	member.machine = machine
	pending := []func(m *Machine) Ready{run}
	for len(pending) > 0 {
		out := pending[0](machine)
		pending = pending[1:]
		for _, record := range out.Records {
			e.store(&member.disk, record)
		}
		for _, envelope := range out.Messages {
			if envelope.To.Address == machine.self.Address {
				pending = append(pending, func(m *Machine) Ready { return m.Step(1, envelope) })
				continue
			}
			s.flying = append(s.flying, envelope)
		}
		for _, reply := range out.Replies {
			if reply.Err == nil {
				at := machine.log.committedPosition()
				s.acked[at.History] = at
			}
		}
	}
	e.noteHistory(machine)
}

func (e *explorer) store(disk *Stored, record Record) {
	switch record := record.(type) {
	case SavePromise:
		if !e.faulty.promisesNotStored {
			disk.Promised = record.Ballot
		}
	case SaveAccepted:
		if !e.faulty.promisesNotStored {
			disk.Accepted = &record.Accepted
		}
	case SaveView:
		disk.View, disk.Promised, disk.Accepted = &record.Proposal, Ballot{}, nil
	case SaveSnapshot:
		disk.Snapshot, disk.Entries = &record.Snapshot, nil
	case SaveEntry:
		if !e.faulty.entriesNotStored {
			entries := slices.DeleteFunc(slices.Clone(disk.Entries), func(one Entry) bool { return one.Seq >= record.Entry.Seq })
			disk.Entries = append(entries, record.Entry)
		}
	}
}

func (e *explorer) noteHistory(m *Machine) {
	if last, kept := m.log.lastEntry(); kept {
		before := m.log.basePosition
		if m.log.entries.Len() > 1 {
			previous := m.log.entries.Get(m.log.entries.Len() - 2)
			before = previous.position()
		}
		e.parents[last.History] = before
	}
}

// leadsTo tells whether a history goes through a position.
func (e *explorer) leadsTo(from, through Position) bool {
	for from.Seq > through.Seq {
		before, known := e.parents[from.History]
		if !known {
			return false
		}
		from = before
	}
	return from == through
}

// successors gives the states that one move leads to.
func (e *explorer) successors(s *explored) []*explored {
	var next []*explored
	move := func(name string, change func(n *explored)) {
		n := s.clone()
		n.path = append(n.path, name)
		change(n)
		next = append(next, n)
	}
	for i, envelope := range s.flying {
		place := slices.IndexFunc(s.members, func(m exploredMember) bool { return m.disk.Self.Address == envelope.To.Address })
		name := fmt.Sprintf("%T %s>%s", envelope.Body, envelope.From.Address, envelope.To.Address)
		move(name, func(n *explored) {
			n.flying = slices.Delete(n.flying, i, i+1)
			e.step(n, place, func(m *Machine) Ready { return m.Step(1, envelope) })
		})
		if asks(envelope.Body) {
			move(name+" and back", func(n *explored) { e.roundTrip(n, i, place) })
		}
		if s.left.losses > 0 {
			move("lose "+name, func(n *explored) {
				n.left.losses--
				n.flying = slices.Delete(n.flying, i, i+1)
			})
		}
	}
	for i := range s.members {
		next = append(next, e.ownMoves(s, i)...)
	}
	return next
}

// asks tells whether a message wants an answer.
func asks(body Message) bool {
	switch body.(type) {
	case Prepare, Install, Accept, Append, FetchRequest:
		return true
	}
	return false
}

// roundTrip delivers a message, and then the answers to its sender, as one move: so that a path of a bounded length can hold
// whole agreements. The parts are moves of their own, too.
func (e *explorer) roundTrip(s *explored, at, place int) {
	envelope := s.flying[at]
	s.flying = slices.Delete(s.flying, at, at+1)
	before := len(s.flying)
	e.step(s, place, func(m *Machine) Ready { return m.Step(1, envelope) })
	sender := slices.IndexFunc(s.members, func(m exploredMember) bool { return m.disk.Self.Address == envelope.From.Address })
	answers := slices.Clone(s.flying[before:])
	s.flying = s.flying[:before]
	for _, answer := range answers {
		if answer.To.Address != envelope.From.Address {
			s.flying = append(s.flying, answer)
			continue
		}
		e.step(s, sender, func(m *Machine) Ready { return m.Step(1, answer) })
	}
}

// ownMoves gives the states that a member comes to by itself.
func (e *explorer) ownMoves(s *explored, i int) []*explored {
	var next []*explored
	move := func(name string, change func(n *explored)) {
		n := s.clone()
		n.path = append(n.path, fmt.Sprintf("%s m%d", name, i))
		change(n)
		next = append(next, n)
	}
	machine := s.members[i].machine
	if s.left.orders > 0 && machine.view.Head() == machine.self && machine.acceptsOrders() {
		move("order", func(n *explored) {
			n.left.orders--
			n.ids++
			base := machine.log.committedState.Document.Revision
			order := operator.Order{Method: "PATCH", Base: base, Body: fmt.Appendf(nil, `{"Revision":%d,"By":"m%d"}`, base+1, i)}
			e.step(n, i, func(m *Machine) Ready { return m.Submit(1, n.ids, order) })
		})
	}
	if s.left.attempts > 0 && machine.isVoter() && machine.hasAllCommitted() && machine.attempt == nil {
		for without := range s.members {
			if without != i {
				move(fmt.Sprintf("propose without m%d", without), func(n *explored) {
					n.left.attempts--
					e.step(n, i, func(m *Machine) Ready { return m.propose(e.viewWithout(n, m, without)) })
				})
			}
		}
	}
	if s.left.restarts > 0 {
		move("restart", func(n *explored) {
			n.left.restarts--
			e.restart(n, i)
		})
	}
	if s.left.wipes > 0 {
		move("wipe", func(n *explored) {
			n.left.wipes--
			n.ids++
			self := Member{Address: machine.self.Address, Incarnation: n.ids}
			if e.faulty.wipedKeepsName {
				n.members[i].disk = Stored{Self: machine.self, View: &Proposal{View: machine.view, Base: Position{}}}
			} else {
				n.members[i].disk = Stored{Self: self}
			}
			e.restart(n, i)
		})
	}
	return next
}

// viewWithout is the view that a member wants when it does not reach another one: that keeps its vote, unless its disk is new.
func (e *explorer) viewWithout(s *explored, m *Machine, without int) View {
	view := View{Epoch: m.view.Epoch + 1, Voters: slices.Clone(m.view.Voters)}
	for i, member := range s.members {
		self := member.disk.Self
		if i != without {
			if place := slices.IndexFunc(view.Voters, func(v Member) bool { return v.Address == self.Address }); place >= 0 {
				view.Voters[place] = self
			}
			view.Chain = append(view.Chain, self)
		}
	}
	return view
}

func (e *explorer) restart(s *explored, i int) {
	machine, err := New(e.options, s.members[i].disk, 1)
	if err != nil {
		panic(err)
	}
	s.members[i].machine = machine
}

// broken tells what must never be in a state, and notes what its views are.
func (e *explorer) broken(s *explored) string {
	for _, member := range s.members {
		m := member.machine
		if m.view.Epoch == 0 {
			continue
		}
		text := fmt.Sprint(m.view)
		if was, known := s.views[m.view.Epoch]; known && (was != text || s.bases[m.view.Epoch] != m.base) {
			return fmt.Sprintf("epoch %d has two views", m.view.Epoch)
		}
		s.views[m.view.Epoch], s.bases[m.view.Epoch] = text, m.base
		if slices.Contains(m.view.Chain, m.self) && !m.hasBase {
			return "a member of a chain does not hold its base"
		}
	}
	return e.lostOrder(s)
}

// lostOrder looks for an acknowledged order that the chain of the newest view does not have, and for two in one place.
func (e *explorer) lostOrder(s *explored) string {
	newest := slices.Max(slices.Collect(maps.Keys(s.views)))
	for _, order := range s.acked {
		for _, other := range s.acked {
			if other.Seq >= order.Seq && !e.leadsTo(other, order) {
				return "two orders in one place were acknowledged"
			}
		}
		for _, member := range s.members {
			m := member.machine
			if m.view.Epoch == newest && m.inSync() && !e.leadsTo(m.log.lastPosition(), order) {
				return fmt.Sprintf("%s, in the chain of the newest view, lacks order %d", m.self.Address, order.Seq)
			}
		}
	}
	return ""
}

// key names a state: two with the same key go on alike.
func (s *explored) key() [sha256.Size]byte {
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
	flying := make([]string, len(s.flying))
	for i, envelope := range s.flying {
		flying[i] = describeEnvelope(envelope)
	}
	slices.Sort(flying)
	fmt.Fprintln(&text, flying, s.left, s.views, len(s.acked))
	for _, order := range s.acked {
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

// explore goes through all states up to a depth. It gives how many there are, and the first path to a broken one.
func (e *explorer) explore(left budget, depth int) (states int, path []string) {
	seen := map[[sha256.Size]byte]bool{}
	front := []*explored{e.root(left)}
	for range depth {
		var next []*explored
		for _, s := range front {
			for _, n := range e.successors(s) {
				if problem := e.broken(n); problem != "" {
					return len(seen), append(n.path, problem)
				}
				key := n.key()
				if !seen[key] {
					seen[key] = true
					next = append(next, n)
				}
			}
		}
		front = next
	}
	return len(seen), nil
}

func newExplorer(faulty planted) *explorer {
	return &explorer{options: exploredOptions(), parents: parents{}, faulty: faulty}
}

func exploredDepth() int {
	if depth, err := strconv.Atoi(os.Getenv(depthVariable)); err == nil {
		return depth
	}
	if raceDetector {
		return raceDepth
	}
	return usualDepth
}

func TestEveryOrderOfEventsKeepsEveryPromise(t *testing.T) {
	for name, left := range map[string]budget{
		"two orders, an attempt, a restart":       {orders: 2, attempts: 1, restarts: 1},
		"an order, two attempts, a lost disk":     {orders: 1, attempts: 2, wipes: 1},
		"an order, two attempts, a lost message":  {orders: 1, attempts: 2, losses: 1},
		"two orders, two attempts, two restarts":  {orders: 2, attempts: 2, restarts: 2},
		"an order, an attempt, a lost disk, both": {orders: 1, attempts: 1, restarts: 1, wipes: 1, losses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, path := newExplorer(planted{}).explore(left, exploredDepth())
			require.Empty(t, path)
			t.Logf("%d states to depth %d", states, exploredDepth())
		})
	}
}

func TestTheExplorationNoticesPlantedFaults(t *testing.T) {
	for name, one := range map[string]struct {
		fault planted
		left  budget
	}{
		"orders not stored":                     {planted{entriesNotStored: true}, budget{orders: 1, restarts: 1, attempts: 1}},
		"a wiped member goes on under its name": {planted{wipedKeepsName: true}, budget{orders: 1, wipes: 1, attempts: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, path := newExplorer(one.fault).explore(one.left, 12)
			require.NotEmpty(t, path)
			t.Logf("noticed after %d states: %s", states, strings.Join(path, "; "))
		})
	}
}
