// Package virtual plays groups of the agreed log in virtual time: the members' own state machines on disks, links and clocks
// that a seed makes fail. One history is over in milliseconds, so that thousands can be judged in a minute; the same seed
// gives the same history.
package virtual

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/lab/agenda"
)

// Times of a history, milliseconds.
const (
	tick     = 50.0
	election = 6 // ticks
	patience = 700.0
	lastTry  = 60000.0 // after which a history that does not end is a fault
)

// Settings describe a history.
type Settings struct {
	Seed    uint64
	Members int     // that vote
	Clients int     // of which each asks for one thing after the other
	Asks    int     // of each client
	Length  float64 // ms in which faults come
	Faults  int
	Slow    float64 // ms that each write takes more on every disk, from the beginning to the end,
	Quick   int     // but on those of so many members
	Wrong   Wrong   // what is planted
	Speaks  int     // the version of the ledger that members write; 0 = the first
	Nodes   int     // that charges are posted at; 0 = none are
	Rooms   bool    // those nodes have leases of the fleet's room instead
	Names   int     // of charges
	Posts   int     // of each name
}

// Register are the settings of a history of a register.
func Register(seed uint64) Settings {
	return Settings{Seed: seed, Members: 3 + 2*int(seed%2), Clients: 4, Asks: 12, Length: 4000, Faults: 6}
}

// Wrong is a fault that is planted in a member, for the judge to find.
type Wrong string

// The planted faults.
const (
	Sound          Wrong = ""
	ForgetsVote    Wrong = "a vote not kept"
	AnswersEarly   Wrong = "an entry acknowledged before the majority has it"
	DropsFromImage Wrong = "a snapshot that drops one"
	ReadsStale     Wrong = "a stale read"
	AppliesTwice   Wrong = "a command applied twice"
)

// Kinds are the names that Result.Counts has: the faults, and the states that they are made for. One that many histories did
// not meet was not tested.
var Kinds = []string{
	"fault: a member killed", "fault: all killed at once", "fault: a member cut off", "fault: a member cut off one way",
	"fault: slow links", "fault: links that lose", "fault: a slow disk", "fault: a member stopped for a while",
	"fault: a machine burnt and replaced", "fault: a clock that jumps", "fault: voters that restart at once",
	"met: a new leader", "met: a fault of the leader", "met: a message lost", "met: an image lost on its way",
	"met: a crash before a write lasted", "met: a crash before an image lasted", "met: an image took the entries' place",
	"met: an image came from the leader", "met: entries that were never agreed given up", "met: a replacement that votes",
	"met: an answer that did not come", "met: a command that was asked again", "met: a restart right after a vote",
}

// Result is what became of a history.
type Result struct {
	Faults []string       // what the judge found; none = sound
	Counts map[string]int // faults that were made, by kind, and states that were met
	Asked  int            // things asked for
	Told   int            // and answered
}

// world is a history under way.
type world struct {
	set      Settings
	luck     *rand.Rand
	now      float64
	events   agenda.Agenda
	members  []*simulatedMember
	ids      map[uint64]*simulatedMember
	links    map[[2]uint64]*wire
	clients  []*client
	counts   map[string]int
	entries  map[uint64]string // what was applied at each index by whoever came first
	broken   []string
	history  history
	over     bool
	fresh    uint64
	burnt    bool    // a machine is being replaced
	flickers float64 // until then voters restart at once
	nodes    []*node
	charges  *charges // nil = none are posted
	rooms    *rooms   // nil = no room is leased
}

func (w *world) after(ms float64, do func()) {
	w.events.Add(w.now+ms, do)
}

func (w *world) fault(format string, v ...any) {
	if len(w.broken) < 8 {
		w.broken = append(w.broken, fmt.Sprintf("%.0f ms: ", w.now)+fmt.Sprintf(format, v...))
	}
}

// wire is what is wrong with the link from one member to another.
type wire struct {
	cut   bool
	delay float64 // ms, and as much again by chance
	loss  float64
}

// simulatedMember is one machine with its disk.
type simulatedMember struct {
	w        *world
	id       uint64
	name     string
	group    *member.Member // nil while it is down
	life     int
	saved    member.Saved
	queue    []member.Write
	busy     bool
	slow     float64 // ms that a write takes more now,
	always   float64 // and when nothing else is wrong
	paused   bool
	held     []func() // what waits while it is paused
	skew     float64
	waiting  map[key]*ask
	reads    map[uint64]*ask
	readings uint64
	led      bool
}

type key struct{ session, number uint64 }

const (
	imageEvery = 1500
	trail      = 10
)

// Play plays one history.
func Play(set Settings) Result {
	w := &world{set: set, luck: rand.New(rand.NewPCG(set.Seed, 27)), ids: map[uint64]*simulatedMember{}, links: map[[2]uint64]*wire{},
		counts: map[string]int{}, entries: map[uint64]string{}, fresh: 100}
	var voters []statemachine.Member
	for i := range set.Members {
		m := w.join(fmt.Sprintf("k%d", i))
		voters = append(voters, statemachine.Member{ID: m.id, Name: m.name, Address: m.name, ReadsVersion: set.Speaks})
	}
	image, err := member.Bootstrap(voters, 1e6)
	if err != nil {
		panic(err) // the members are sound
	}
	for _, m := range w.members {
		m.saved.Image = proto.Clone(image).(*pb.Snapshot)
		m.start()
	}
	for i := range set.Clients {
		c := &client{w: w, number: i, name: fmt.Sprintf("c%d", i), left: set.Asks}
		w.clients = append(w.clients, c)
		w.after(w.luck.Float64()*200, c.next)
	}
	switch {
	case set.Rooms:
		w.openRooms()
	case set.Nodes > 0:
		w.openCharges()
	}
	for range set.Faults {
		w.after(w.luck.Float64()*set.Length, w.trouble)
	}
	w.after(set.Length, w.heal)
	for !w.done() {
		at, do, ok := w.events.Next()
		if !ok {
			break
		}
		w.now = at
		if w.now > set.Length+lastTry {
			w.fault("nothing ends: %d of %d asks told", w.history.told(), set.Clients*set.Asks)
			for _, m := range w.members {
				if m.group != nil {
					term, committed, applied := m.group.Position()
					w.fault("%s %d leads %v of %d: term %d, committed %d, applied %d", m.name, m.id, m.group.Leads(), m.group.Leader(),
						term, committed, applied)
				}
			}
			break
		}
		do()
	}
	w.compare()
	w.broken = append(w.broken, w.history.judge()...)
	switch {
	case w.rooms != nil:
		return w.judgeRooms()
	case w.charges != nil:
		return w.judgeCharges()
	}
	return Result{Faults: w.broken, Counts: w.counts, Asked: len(w.history), Told: w.history.told()}
}

// done tells whether all is told and every member has come up to date.
func (w *world) done() bool {
	if !w.over {
		return false
	}
	for _, c := range w.clients {
		if c.left > 0 || c.now != nil {
			return false
		}
	}
	if w.charges != nil && !w.charges.done(w) || w.rooms != nil && w.now < w.set.Length+afterRooms {
		return false
	}
	most := uint64(0)
	for _, m := range w.members {
		if m.group != nil {
			_, _, at := m.group.Position()
			most = max(most, at)
		}
	}
	for _, m := range w.members {
		if m.group == nil {
			continue
		}
		if _, _, at := m.group.Position(); at < most && w.knows(m.id) {
			return false
		}
	}
	return true
}

// knows tells whether a member belongs to the group, as whoever leads has it.
func (w *world) knows(id uint64) bool {
	for _, m := range w.members {
		if m.group != nil && m.group.Leads() {
			other, ok := m.group.State().Members().Get(id)
			return ok && other.Role != statemachine.Removed
		}
	}
	return true
}

// compare holds the members' states against each other.
func (w *world) compare() {
	states := map[uint64]string{}
	for _, m := range w.members {
		if m.group == nil {
			continue
		}
		_, _, at := m.group.Position()
		text, err := m.group.State().Freeze()()
		if err != nil {
			w.fault("%s: %v", m.name, err)
		}
		if at > 0 && states[at] != "" && states[at] != string(text) {
			w.fault("%s has another state at entry %d", m.name, at)
		}
		states[at] = string(text)
	}
}

func (w *world) join(name string) *simulatedMember {
	w.fresh++
	m := &simulatedMember{w: w, id: w.fresh, name: name, skew: (w.luck.Float64() - 0.5) * 7.2e6}
	if len(w.members) >= w.set.Quick {
		m.always = w.set.Slow
	}
	m.slow = m.always
	w.members = append(w.members, m)
	w.ids[m.id] = m
	return m
}

func (w *world) wire(from, to uint64) *wire {
	l := w.links[[2]uint64{from, to}]
	if l == nil {
		l = &wire{}
		w.links[[2]uint64{from, to}] = l
	}
	return l
}

// start lets a member come up with what its disk holds.
func (m *simulatedMember) start() {
	m.life++
	if len(m.w.nodes) > 0 && m.life > 1 { // a clock may be another after a start; in between it goes on evenly
		m.skew = (m.w.luck.Float64() - 0.5) * 7.2e6
	}
	m.queue, m.busy, m.held, m.paused = nil, false, nil, false
	m.waiting, m.reads = map[key]*ask{}, map[uint64]*ask{}
	saved := m.saved
	if saved.Hard != nil {
		saved.Hard = proto.Clone(saved.Hard).(*pb.HardState)
		if m.w.set.Wrong == ForgetsVote {
			saved.Hard.Vote = new(uint64(0))
		}
	}
	g, err := member.New(member.Settings{ID: m.id, Election: election, Heartbeat: 1, ImageEvery: imageEvery, Trail: trail,
		Uncommitted: 1 << 20, Seed: m.w.luck.Uint64(), Logger: member.Quiet{}}, saved)
	if err != nil {
		m.w.fault("%s does not start: %v", m.name, err)
		return
	}
	m.group = g
	life := m.life
	var beat func()
	beat = func() {
		if m.life != life {
			return
		}
		m.run(func() {
			m.group.Tick()
			if m.w.luck.IntN(4) == 0 {
				m.group.Promote()
			}
		})
		m.w.after(tick, beat)
	}
	m.w.after(m.w.luck.Float64()*tick, beat)
}

// run has a member do something, once it is not paused any more.
func (m *simulatedMember) run(do func()) {
	life := m.life
	if m.paused {
		if len(m.held) < 4096 {
			m.held = append(m.held, func() { m.run(do) })
		}
		return
	}
	if m.group == nil || m.life != life {
		return
	}
	do()
	m.flush()
}

// flush carries out what the member wants.
func (m *simulatedMember) flush() {
	if m.group == nil {
		return
	}
	work, err := m.group.Ready(m.w.now + m.skew)
	if err != nil {
		m.w.fault("%s: %v", m.name, err)
		return
	}
	m.send(work.Messages)
	for _, a := range work.Applied {
		m.applied(a)
	}
	for _, r := range work.Reads {
		if a := m.reads[r.Number]; a != nil {
			delete(m.reads, r.Number)
			m.w.answer(a, m.group.Query(statemachine.Request{Component: a.part, Body: a.body}))
		}
	}
	if m.group.Leads() && !m.led {
		m.w.counts["met: a new leader"]++
	}
	m.led = m.group.Leads()
	m.queue = append(m.queue, work.Write...)
	m.write()
	if work.Image != nil {
		m.keep(work.Image)
	}
}

// write lets the disk do what waits for it, all at once as the keeper's does.
func (m *simulatedMember) write() {
	if m.busy || len(m.queue) == 0 {
		return
	}
	m.busy = true
	jobs, life := m.queue, m.life
	m.queue = nil
	m.w.after(0.2+m.w.luck.Float64()*2+m.slow, func() {
		if m.life != life {
			m.w.counts["met: a crash before a write lasted"]++
			return
		}
		var answers []*pb.Message
		for _, job := range jobs {
			m.store(job)
			answers = append(answers, job.Acknowledgements(m.id)...)
		}
		m.run(func() {
			m.busy = false
			for _, job := range jobs {
				if err := m.group.Persisted(job); err != nil {
					m.w.fault("%s: %v", m.name, err)
				}
			}
			m.send(answers)
			if m.w.now < m.w.flickers && voted(answers) {
				m.w.counts["met: a restart right after a vote"]++
				m.crash()
				m.w.after(1, func() {
					if m.group == nil && m.w.ids[m.id] == m {
						m.start()
					}
				})
			}
		})
	})
}

func voted(answers []*pb.Message) bool {
	return slices.ContainsFunc(answers, func(m *pb.Message) bool { return m.GetType() == pb.MsgVoteResp && !m.GetReject() })
}

// store is what lasts.
func (m *simulatedMember) store(job member.Write) {
	s := &m.saved
	if job.Image != nil {
		s.Image, s.From, s.Entries = proto.Clone(job.Image).(*pb.Snapshot), nil, nil
		m.w.counts["met: an image came from the leader"]++
	}
	for _, e := range job.Entries {
		for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].GetIndex() >= e.GetIndex() {
			s.Entries = s.Entries[:len(s.Entries)-1]
			m.w.counts["met: entries that were never agreed given up"]++
		}
		s.Entries = append(slices.Clip(s.Entries), e)
	}
	if job.Hard != nil {
		s.Hard = job.Hard
	}
	if m.w.set.Wrong == AnswersEarly {
		for _, e := range job.Entries {
			var c statemachine.Command
			if json.Unmarshal(e.GetData(), &c) == nil && c.Component == statemachine.ComponentRegister && m.group.Leads() {
				if a := m.waiting[key{c.Session, c.Number}]; a != nil {
					m.w.answer(a, statemachine.Reply{Code: statemachine.OK, Index: e.GetIndex()})
				}
			}
		}
	}
}

// keep makes an image last, after what the disk has to do anyway.
func (m *simulatedMember) keep(i *member.Image) {
	life := m.life
	snapshot, err := i.Encode()
	if err != nil {
		m.w.fault("%s: %v", m.name, err)
		return
	}
	switch m.w.set.Wrong {
	case DropsFromImage:
		snapshot.Data = dropOne(snapshot.GetData())
	case DropsDebt:
		snapshot.Data = dropDebt(snapshot.GetData())
	}
	m.w.after(5+m.w.luck.Float64()*20+m.slow, func() {
		if m.life != life {
			m.w.counts["met: a crash before an image lasted"]++
			return
		}
		index := snapshot.GetMetadata().GetIndex()
		s := &m.saved
		if index > s.Image.GetMetadata().GetIndex() {
			behind := index - min(index, trail)
			for len(s.Entries) > 0 && s.Entries[0].GetIndex() <= behind {
				s.From = s.Entries[0]
				s.Entries = s.Entries[1:]
			}
			if s.From == nil {
				s.From = &pb.Entry{Index: s.Image.GetMetadata().Index, Term: s.Image.GetMetadata().Term}
			}
			s.Image = snapshot
		}
		m.w.counts["met: an image took the entries' place"]++
		m.run(func() { m.group.ImageSaved(snapshot) })
	})
}

func dropOne(data []byte) []byte {
	var image map[string]json.RawMessage
	var parts map[string]json.RawMessage
	var values []statemachine.Value
	if json.Unmarshal(data, &image) != nil || json.Unmarshal(image["parts"], &parts) != nil ||
		json.Unmarshal(parts[statemachine.ComponentRegister], &values) != nil || len(values) == 0 {
		return data
	}
	for _, put := range []struct {
		in    map[string]json.RawMessage
		name  string
		value any
	}{{parts, statemachine.ComponentRegister, values[1:]}, {image, "parts", parts}} {
		text, err := json.Marshal(put.value)
		if err != nil {
			panic(err) // it was read from such a text
		}
		put.in[put.name] = text
	}
	text, err := json.Marshal(image)
	if err != nil {
		panic(err)
	}
	return text
}

// send passes messages on, as the links let them.
func (m *simulatedMember) send(list []*pb.Message) {
	for _, msg := range list {
		to, l := m.w.ids[msg.GetTo()], m.w.wire(m.id, msg.GetTo())
		if to == nil {
			continue
		}
		if l.cut || l.loss > 0 && m.w.luck.Float64() < l.loss {
			m.w.counts["met: a message lost"]++
			if msg.GetType() == pb.MsgSnap {
				m.w.counts["met: an image lost on its way"]++
				life := m.life
				m.w.after(tick, func() {
					if m.life == life {
						m.run(func() { m.group.ImageSent(msg.GetTo(), false) })
					}
				})
			}
			continue
		}
		late := 0.1 + m.w.luck.Float64()*0.5 + l.delay*(1+m.w.luck.Float64())
		m.w.after(late, func() {
			if l.cut {
				m.w.counts["met: a message lost"]++
				return
			}
			to.run(func() { to.group.Step(msg) })
		})
		if msg.GetType() == pb.MsgSnap {
			life := m.life
			m.w.after(late+1, func() {
				if m.life == life {
					m.run(func() { m.group.ImageSent(msg.GetTo(), true) })
				}
			})
		}
	}
}

// applied notes what a member carried out: all must do the same at the same place.
func (m *simulatedMember) applied(a member.Applied) {
	text, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	if first, ok := m.w.entries[a.Index]; !ok {
		m.w.entries[a.Index] = string(text)
		if m.w.rooms != nil {
			m.w.rooms.owe(m)
		}
	} else if first != string(text) {
		m.w.fault("%s carried out %s at entry %d, another %s", m.name, text, a.Index, first)
	}
	k := key{a.Command.Session, a.Command.Number}
	if ask := m.waiting[k]; ask != nil {
		delete(m.waiting, k)
		m.w.answer(ask, a.Reply)
	}
}
