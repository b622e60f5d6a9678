// Package rollout decides when a change of policy takes hold: everywhere or nowhere. It is pure: no I/O, goroutine, lock or clock;
// time is the group's own, milliseconds, passed in. Its machine is a part of the agreed log's ledger.
//
// A policy is one document with a number. A member (one process of a node) judges calls by the number that it holds, for as long
// as its lease on that number lasts. A change goes through these stages:
//
//	proposed ──▶ looked at by every live member ──▶ pausing: no lease is renewed, members stop beginning calls ──▶ holds
//	    └── one of them cannot take it, or it is based on a number that is no longer the last ──▶ refused: nothing changes
//
// A process that says its first word while calls are held has no lease and is not asked: it is a member from the end of that
// change on.
//
// The next number holds once every member has said that it has stopped, or its lease has run out. So no call begins anywhere
// under a number once one has begun under the next. A member that hangs before the pause costs nothing: it is no longer live
// when its lease has run out; one that hangs in the pause makes the others wait for the rest of its lease.
//
// Bounds: MaxMembers members, MaxDocumentBytes bytes a document, Kept documents, Remembered outcomes.
package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds.
const (
	MaxMembers       = 4096
	MaxDocumentBytes = 128 << 10 // bytes
	Kept             = 16        // documents
	Remembered       = 64        // outcomes of proposals
	MinLease         = 100.0     // ms
	MaxLease         = 8000.0
	lookLimit        = 15000.0 // ms in which every live member must have looked at a document,
	pauseLimit       = 10000.0 // and have stopped: beyond, the change is given up and the old number goes on
	mostName         = 128
)

// Document is a policy with its number.
type Document struct {
	Number uint64  `json:"number"`
	ID     string  `json:"id"` // of the proposal
	By     string  `json:"by"`
	At     float64 `json:"at"` // ms of the group's time when it took hold
	Hash   string  `json:"hash"`
	Text   string  `json:"text"`
}

// Hash names a document's text.
func Hash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Stage is how far a change is.
type Stage string

// The stages.
const (
	Looking Stage = "looking" // every live member looks at the document
	Pausing Stage = "pausing" // every live member stops beginning calls
	Agreed  Stage = "agreed"  // it holds, under Outcome.Number
	Refused Stage = "refused" // nothing changed
)

// Change is one under way.
type Change struct {
	Document
	Stage Stage   `json:"stage"`
	Since float64 `json:"since"` // ms of the group's time when the stage began
}

// Outcome is what became of a proposal.
type Outcome struct {
	ID     string `json:"id"`
	Stage  Stage  `json:"stage"`
	Number uint64 `json:"number,omitempty"`
	Reason string `json:"reason,omitempty"` // why it was refused, and by whom
}

// Member is one process of a node.
type Member struct {
	Node   string  `json:"node"`
	Life   uint64  `json:"life"`
	Holds  uint64  `json:"holds"`
	Until  float64 `json:"until"`            // its lease, ms of the group's time; Forever = it goes on without one
	Live   float64 `json:"live"`             // until then it counts as running, whether it has a lease or not
	Looked string  `json:"looked,omitempty"` // the proposal that it can take
	Paused string  `json:"paused,omitempty"` // the proposal that it has stopped for
}

// Forever is the lease of a member that goes on with its number whatever comes.
const Forever = math.MaxFloat64

// Report is what a member says of itself, often enough to renew its lease.
type Report struct {
	Node   string  `json:"node"`
	Life   uint64  `json:"life"`
	Holds  uint64  `json:"holds"`
	Lease  float64 `json:"lease"`            // ms that it asks for; 0 = it judges no calls yet
	GoesOn bool    `json:"goes_on"`          // it goes on without a lease: no change is agreed while it is out of reach
	Looked string  `json:"looked,omitempty"` // the proposal whose document it has looked at,
	Fault  string  `json:"fault,omitempty"`  // and why it cannot take it
	Paused string  `json:"paused,omitempty"` // the proposal that it has stopped for
	Leaves bool    `json:"leaves"`           // it begins no call any more
}

// Order is what it is told.
type Order struct {
	Number uint64  `json:"number"` // the policy that holds: 0 = each node's own file alone
	Hash   string  `json:"hash,omitempty"`
	Lease  float64 `json:"lease"` // ms from the moment it asked for which it may judge by what it holds; 0 = not at all
	Change string  `json:"change,omitempty"`
	Stage  Stage   `json:"stage,omitempty"`
	Soon   bool    `json:"soon,omitempty"` // few members have not looked at it yet: calls will be held soon
}

// Progress is how far the fleet is. A member that has nothing to say waits for it to become another: it is a hint, which may be old or
// never come, and lets no call begin.
type Progress struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash,omitempty"`
	Change string `json:"change,omitempty"`
	Stage  Stage  `json:"stage,omitempty"`
}

// Proposal is a change that is asked for. The same ID again asks what became of it.
type Proposal struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	Base uint64 `json:"base"` // the number that it is based on
	By   string `json:"by"`
}

// Machine is all that is agreed on policies.
type Machine struct {
	number   uint64
	docs     []Document
	members  map[string]Member
	due      float64 // ms; no member goes before: a report does not cost a look at all of them
	change   *Change
	outcomes []Outcome
}

// New makes one under which each node's own file holds.
func New() *Machine { return &Machine{members: map[string]Member{}} }

func key(node string, life uint64) string { return fmt.Sprintf("%s/%x", node, life) }

// Report takes a member's word.
func (m *Machine) Report(now float64, r Report) (Order, error) {
	if r.Node == "" || len(r.Node) > mostName || r.Lease != 0 && !(r.Lease >= MinLease && r.Lease <= MaxLease) {
		return Order{}, fmt.Errorf("a member has a name of 1 to %d bytes and a lease of %g to %g ms", mostName, MinLease, MaxLease)
	}
	m.Tick(now)
	id := key(r.Node, r.Life)
	have, known := m.members[id]
	if !known && len(m.members) >= MaxMembers {
		return Order{}, fmt.Errorf("there are %d members", len(m.members))
	}
	have.Node, have.Life, have.Holds = r.Node, r.Life, r.Holds
	have.Live = max(have.Live, now+r.Lease)
	granted := 0.0
	switch {
	case r.Leaves:
		have.Until, have.Live = 0, 0
	case r.Holds != m.number || r.Lease == 0: // it has to take the number first
	case m.change != nil && m.change.Stage == Pausing: // what it has runs out
	default:
		granted = r.Lease
		have.Until = max(have.Until, now+granted)
		if r.GoesOn {
			have.Until = Forever
		}
	}
	if c := m.change; c != nil && r.Looked == c.ID {
		if have.Looked = c.ID; r.Fault != "" {
			m.refuse(fmt.Sprintf("%s cannot take it: %s", r.Node, r.Fault))
		}
	}
	if c := m.change; c != nil && c.Stage == Pausing && r.Paused == c.ID {
		have.Paused = c.ID
	}
	m.members[id] = have
	m.due = min(m.due, have.end())
	m.Tick(now)
	o := Order{Number: m.number, Hash: m.hash(), Lease: granted}
	if c := m.change; c != nil {
		o.Change, o.Stage = c.ID, c.Stage
		o.Soon = c.Stage == Looking && m.fewLeft(c.ID)
	}
	if r.Holds != m.number {
		o.Lease = 0 // it took hold with this word
	}
	return o, nil
}

// Propose begins a change, or tells what became of it.
func (m *Machine) Propose(now float64, p Proposal) Outcome {
	m.Tick(now)
	if o, ok := m.Outcome(p.ID); ok {
		return o
	}
	switch {
	case p.ID == "" || len(p.ID) > mostName || len(p.By) > mostName:
		return Outcome{ID: p.ID, Stage: Refused, Reason: "a proposal wants an id"}
	case len(p.Text) > MaxDocumentBytes:
		return m.end(Outcome{ID: p.ID, Stage: Refused, Reason: fmt.Sprintf("it has %d bytes, %d at the most", len(p.Text), MaxDocumentBytes)})
	case p.Base != m.number:
		last := "nothing"
		if n := len(m.docs); n > 0 {
			last = m.docs[n-1].By
		}
		return m.end(Outcome{ID: p.ID, Stage: Refused, Reason: fmt.Sprintf("it is based on number %d, and number %d of %s has come between", p.Base,
			m.number, last)})
	case m.change != nil:
		return m.end(Outcome{ID: p.ID, Stage: Refused, Reason: fmt.Sprintf("a change of %s is under way: %s", m.change.By, m.change.ID)})
	}
	m.change = &Change{Document{ID: p.ID, By: p.By, Hash: Hash(p.Text), Text: p.Text}, Looking, now}
	m.advance(now)
	o, _ := m.Outcome(p.ID)
	return o
}

// Dead declares the processes of a node dead: nobody waits for them. It is a person's word, and must be true.
func (m *Machine) Dead(now float64, node string) (n int) {
	for id, have := range m.members {
		if have.Node == node {
			delete(m.members, id)
			n++
		}
	}
	m.advance(now)
	return n
}

// Tick lets go of members whose lease has run out, and does what follows.
func (m *Machine) Tick(now float64) {
	if now >= m.due {
		m.due = math.Inf(1)
		for id, have := range m.members {
			if have.end() <= now {
				delete(m.members, id)
			} else {
				m.due = min(m.due, have.end())
			}
		}
	}
	m.advance(now)
}

// end is when the member counts no more.
func (have *Member) end() float64 { return max(have.Until, have.Live) }

// advance takes the change on as far as its members allow.
func (m *Machine) advance(now float64) {
	c := m.change
	if c == nil {
		return
	}
	if c.Stage == Looking {
		if looked := func(have Member) bool { return have.Looked == c.ID }; m.all(looked) {
			c.Stage, c.Since = Pausing, now
		} else if now-c.Since > lookLimit {
			m.refuse(fmt.Sprintf("%s has not looked at it in %.0f s", m.missing(looked), lookLimit/1000))
			return
		}
	}
	if c.Stage != Pausing {
		return
	}
	paused := func(have Member) bool { return have.Paused == c.ID || have.Until <= now }
	all := m.all(paused)
	if !all && now-c.Since > pauseLimit {
		m.refuse(fmt.Sprintf("%s has not stopped in %.0f s: linenwheel policy dead declares it dead, if it is", m.missing(paused), pauseLimit/1000))
		return
	}
	if all {
		m.number++
		d := c.Document
		d.Number, d.At = m.number, now
		m.docs = append(m.docs, d)
		m.docs = m.docs[max(0, len(m.docs)-Kept):]
		m.change = nil
		m.end(Outcome{ID: c.ID, Stage: Agreed, Number: m.number})
		for id, have := range m.members { // what they held is over
			have.Until = 0
			m.members[id] = have
		}
		m.due = 0
	}
}

// few is how many members may not have looked yet when all of them begin to ask quickly.
const few = 3

// fewLeft tells whether no more than few members have not looked at a proposal. While there are more it is soon told.
func (m *Machine) fewLeft(id string) bool {
	left := 0
	for _, have := range m.members {
		if have.Looked != id {
			if left++; left > few {
				return false
			}
		}
	}
	return true
}

// all tells whether all members have done something. While most have not it is soon told, whatever their number.
func (m *Machine) all(have func(Member) bool) bool {
	for _, one := range m.members {
		if !have(one) {
			return false
		}
	}
	return true
}

// missing names a member that has not done something, the first by name; empty = all have.
func (m *Machine) missing(has func(Member) bool) string {
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		if have := m.members[id]; !has(have) {
			return have.Node
		}
	}
	return ""
}

func (m *Machine) refuse(reason string) {
	o := Outcome{ID: m.change.ID, Stage: Refused, Reason: reason}
	m.change = nil
	m.end(o)
}

func (m *Machine) end(o Outcome) Outcome {
	m.outcomes = append(m.outcomes, o)
	m.outcomes = m.outcomes[max(0, len(m.outcomes)-Remembered):]
	return o
}

// Outcome tells what became of a proposal, or how far it is; false = it is not known, or too long ago.
func (m *Machine) Outcome(id string) (Outcome, bool) {
	if m.change != nil && m.change.ID == id {
		return Outcome{ID: id, Stage: m.change.Stage}, true
	}
	at := slices.IndexFunc(m.outcomes, func(o Outcome) bool { return o.ID == id })
	if at < 0 {
		return Outcome{}, false
	}
	return m.outcomes[at], true
}

// Number is that of the policy that holds.
func (m *Machine) Number() uint64 { return m.number }

// Under is the id of the change that is under way; empty = none.
func (m *Machine) Under() string {
	if m.change == nil {
		return ""
	}
	return m.change.ID
}

// Find gives a document by its number, or that of the change under way by its proposal's id.
func (m *Machine) Find(number uint64, id string) (Document, bool) {
	if id != "" && m.change != nil && m.change.ID == id {
		return m.change.Document, true
	}
	at := slices.IndexFunc(m.docs, func(d Document) bool { return id == "" && d.Number == number || id != "" && d.ID == id })
	if at < 0 {
		return Document{}, false
	}
	return m.docs[at], true
}

// hash is that of the document that holds; empty = none does.
func (m *Machine) hash() string {
	if n := len(m.docs); n > 0 {
		return m.docs[n-1].Hash
	}
	return ""
}

// Progress is how far the fleet is.
func (m *Machine) Progress() Progress {
	n := Progress{Number: m.number, Hash: m.hash()}
	if m.change != nil {
		n.Change, n.Stage = m.change.ID, m.change.Stage
	}
	return n
}

// View is what operators see.
type View struct {
	Number  uint64     `json:"number"`
	Hash    string     `json:"hash,omitempty"`
	Change  *Change    `json:"change,omitempty"`
	Members []Member   `json:"members"`
	History []Document `json:"history"` // without their texts
	Ended   []Outcome  `json:"ended"`
}

// View gives what operators see.
func (m *Machine) View() View {
	v := View{Number: m.number, Members: []Member{}, History: []Document{}, Ended: slices.Clone(m.outcomes)}
	if m.change != nil {
		c := *m.change
		c.Text = ""
		v.Change = &c
	}
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		v.Members = append(v.Members, m.members[id])
	}
	for _, d := range m.docs {
		d.Text = ""
		v.History, v.Hash = append(v.History, d), d.Hash
	}
	return v
}

// image is the form of all that is agreed.
type image struct {
	Number   uint64     `json:"number"`
	Docs     []Document `json:"docs"`
	Members  []Member   `json:"members"`
	Change   *Change    `json:"change"`
	Outcomes []Outcome  `json:"outcomes"`
}

// Freeze gives what makes an image of the machine as it is now, at any time later.
func (m *Machine) Freeze() func() (json.RawMessage, error) {
	i := image{Number: m.number, Docs: slices.Clone(m.docs), Outcomes: slices.Clone(m.outcomes),
		Members: slices.SortedFunc(maps.Values(m.members), func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Life, b.Life))
		})}
	if m.change != nil {
		c := *m.change
		i.Change = &c
	}
	return func() (json.RawMessage, error) { return json.Marshal(i) }
}

// Load takes an image.
func (m *Machine) Load(text json.RawMessage) error {
	var i image
	if err := json.Unmarshal(text, &i); err != nil {
		return err
	}
	*m = Machine{number: i.Number, docs: i.Docs, change: i.Change, outcomes: i.Outcomes, members: map[string]Member{}}
	for _, have := range i.Members {
		m.members[key(have.Node, have.Life)] = have
	}
	return nil
}
