package rollout

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// Outcome returns the state of a proposal; false = the proposal is unknown or no longer remembered.
func (m *Machine) Outcome(id string) (Outcome, bool) {
	if m.change != nil && m.change.ID == id {
		return Outcome{ID: id, Stage: m.change.Stage}, true
	}
	if i := slices.IndexFunc(m.outcomes, func(o Outcome) bool { return o.ID == id }); i >= 0 {
		return m.outcomes[i], true
	}
	return Outcome{}, false
}

// Number returns the number of the policy in force, 0 = none.
func (m *Machine) Number() uint64 { return m.number }

// ChangeID returns the ID of the change in progress, "" = none.
func (m *Machine) ChangeID() string {
	if m.change == nil {
		return ""
	}
	return m.change.ID
}

// FindDocument returns a document by its number or, if id is not empty, by the ID of its proposal. The document is
// one that is or was in force, or that of the change in progress.
func (m *Machine) FindDocument(number uint64, id string) (Document, bool) {
	if id != "" && m.change != nil && m.change.ID == id {
		return m.change.Document, true
	}
	if i := slices.IndexFunc(m.docs, func(d Document) bool { return id == "" && d.Number == number || id != "" && d.ID == id }); i >= 0 {
		return m.docs[i], true
	}
	return Document{}, false
}

// hash returns the hash of the document in force; "" = none.
func (m *Machine) hash() string {
	if n := len(m.docs); n > 0 {
		return m.docs[n-1].Hash
	}
	return ""
}

// Progress returns the progress of the rollout.
func (m *Machine) Progress() Progress {
	p := Progress{Number: m.number, Hash: m.hash()}
	if m.change != nil {
		p.Change, p.Stage = m.change.ID, m.change.Stage
	}
	return p
}

// View returns the state of the rollout for operators, without the texts of documents.
func (m *Machine) View() View {
	v := View{Number: m.number, Members: []Member{}, History: []Document{}, Ended: slices.Clone(m.outcomes)}
	if m.change != nil {
		c := *m.change
		c.Text = ""
		v.Change = &c
	}
	for _, key := range slices.Sorted(maps.Keys(m.members)) {
		v.Members = append(v.Members, m.members[key])
	}
	for _, d := range m.docs {
		d.Text = ""
		v.History, v.Hash = append(v.History, d), d.Hash
	}
	return v
}

// image is the encoded state.
type image struct {
	Number   uint64     `json:"number"`
	Docs     []Document `json:"docs"`
	Members  []Member   `json:"members"` // sorted by node and incarnation
	Change   *Change    `json:"change"`
	Outcomes []Outcome  `json:"outcomes"`
}

// Freeze captures the state and returns a function that encodes it. That function may run at any time and on any
// goroutine.
func (m *Machine) Freeze() func() (json.RawMessage, error) {
	i := image{Number: m.number, Docs: slices.Clone(m.docs), Outcomes: slices.Clone(m.outcomes),
		Members: slices.SortedFunc(maps.Values(m.members), func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
		})}
	if m.change != nil {
		c := *m.change
		i.Change = &c
	}
	return func() (json.RawMessage, error) { return json.Marshal(i) }
}

// Load replaces the state by an image.
func (m *Machine) Load(text json.RawMessage) error {
	var i image
	if err := json.Unmarshal(text, &i); err != nil {
		return err
	}
	*m = Machine{number: i.Number, docs: i.Docs, change: i.Change, outcomes: i.Outcomes, members: map[string]Member{}}
	for _, member := range i.Members {
		m.members[memberKey(member.Node, member.Incarnation)] = member
	}
	return nil
}
