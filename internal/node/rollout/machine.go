package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Machine is the replicated state of the rollout. It is deterministic: results never depend on the iteration order
// of a map.
type Machine struct {
	number     uint64     // number of the policy in force
	docs       []Document // the last one is in force
	members    map[string]Member
	nextExpiry float64 // cluster time before which no member expires, ms, so that a report need not check all members
	change     *Change // change in progress; nil = none
	outcomes   []Outcome
}

// New returns a machine without a policy: only the node's own configuration file applies.
func New() *Machine { return &Machine{members: map[string]Member{}} }

func memberKey(node string, incarnation uint64) string {
	return fmt.Sprintf("%s/%x", node, incarnation)
}

// Report applies the report of a member. It returns an error if the report is invalid or MaxMembers has been
// reached.
func (m *Machine) Report(now float64, r Report) (Order, error) {
	if r.Node == "" || len(r.Node) > maxNameBytes || r.Lease != 0 && !(r.Lease >= MinLease && r.Lease <= MaxLease) {
		return Order{}, fmt.Errorf("a member has a name of 1 to %d bytes and a lease of %g to %g ms", maxNameBytes, MinLease, MaxLease)
	}
	m.Tick(now)
	key := memberKey(r.Node, r.Incarnation)
	member, known := m.members[key]
	if !known && len(m.members) >= MaxMembers {
		return Order{}, fmt.Errorf("there are %d members", len(m.members))
	}
	member.Node, member.Incarnation, member.InForce = r.Node, r.Incarnation, r.InForce
	member.Live = max(member.Live, now+r.Lease)
	granted := m.renewLease(now, &member, &r)
	m.applyToChange(&member, &r)
	m.members[key] = member
	m.nextExpiry = min(m.nextExpiry, member.expiry())
	m.Tick(now)
	o := Order{Number: m.number, Hash: m.hash(), Lease: granted}
	if c := m.change; c != nil {
		o.Change, o.Stage = c.ID, c.Stage
		o.PauseNear = c.Stage == Validating && m.fewUnvalidated(c.ID)
	}
	if r.InForce != m.number {
		o.Lease = 0 // this report has brought the next number into force
	}
	return o, nil
}

// renewLease renews the lease of a member that uses the number in force, unless a change is in the pause, and
// returns the granted lease in ms. A lease is never shortened, because the member relies on the longest lease that
// it was granted.
func (m *Machine) renewLease(now float64, member *Member, r *Report) (granted float64) {
	switch {
	case r.Leaving:
		member.Until, member.Live = 0, 0
		return 0
	case r.InForce != m.number || r.Lease == 0: // the member has to activate the number first
		return 0
	case m.change != nil && m.change.Stage == Pausing: // its current lease is left to expire
		return 0
	}
	member.Until = max(member.Until, now+r.Lease)
	if r.WithoutLease {
		member.Until = NoExpiry
	}
	return r.Lease
}

// applyToChange records the member's progress with the current change, and rejects the change if the member
// rejects it.
func (m *Machine) applyToChange(member *Member, r *Report) {
	c := m.change
	if c == nil {
		return
	}
	if r.Validated == c.ID {
		if member.Validated = c.ID; r.Rejection != "" {
			m.refuse(fmt.Sprintf("%s cannot take it: %s", r.Node, r.Rejection))
			return
		}
	}
	if c.Stage == Pausing && r.Paused == c.ID {
		member.Paused = c.ID
	}
}

// Propose starts a change, or returns the outcome of a proposal that was made before.
func (m *Machine) Propose(now float64, p Proposal) Outcome {
	m.Tick(now)
	if o, ok := m.Outcome(p.ID); ok {
		return o
	}
	refuse := func(format string, args ...any) Outcome {
		return m.record(Outcome{ID: p.ID, Stage: Rejected, Reason: fmt.Sprintf(format, args...)})
	}
	switch {
	case p.ID == "" || len(p.ID) > maxNameBytes || len(p.By) > maxNameBytes:
		return Outcome{ID: p.ID, Stage: Rejected, Reason: "a proposal wants an id"} // not recorded, because it cannot be queried
	case len(p.Text) > MaxDocumentBytes:
		return refuse("it has %d bytes, %d at the most", len(p.Text), MaxDocumentBytes)
	case p.Base != m.number:
		lastBy := "nothing"
		if n := len(m.docs); n > 0 {
			lastBy = m.docs[n-1].By
		}
		return refuse("it is based on number %d, and number %d of %s has come between", p.Base, m.number, lastBy)
	case m.change != nil:
		return refuse("a change of %s is under way: %s", m.change.By, m.change.ID)
	}
	m.change = &Change{Document{ID: p.ID, By: p.By, Hash: Hash(p.Text), Text: p.Text}, Validating, now}
	m.advance(now)
	o, _ := m.Outcome(p.ID)
	return o
}

// RemoveNode removes the processes of a node, so that no change waits for them, and returns their number. An
// operator declares the node dead, and must be right: a process that still handles calls would break the
// invariant.
func (m *Machine) RemoveNode(now float64, node string) (n int) {
	for key, member := range m.members {
		if member.Node == node {
			delete(m.members, key)
			n++
		}
	}
	m.advance(now)
	return n
}

// Tick removes expired members and advances the change in progress.
func (m *Machine) Tick(now float64) {
	if now >= m.nextExpiry {
		m.nextExpiry = math.Inf(1)
		for key, member := range m.members {
			if member.expiry() <= now {
				delete(m.members, key)
			} else {
				m.nextExpiry = min(m.nextExpiry, member.expiry())
			}
		}
	}
	m.advance(now)
}

// expiry returns the cluster time, in ms, from which on the member no longer counts.
func (m *Member) expiry() float64 { return max(m.Until, m.Live) }

// advance moves the change through its stages as far as the reports of the members allow.
func (m *Machine) advance(now float64) {
	c := m.change
	if c == nil {
		return
	}
	if c.Stage == Validating {
		validated := func(member Member) bool { return member.Validated == c.ID }
		switch {
		case m.all(validated):
			c.Stage, c.Since = Pausing, now
		case now-c.Since > validationTimeoutMillis:
			m.refuse(fmt.Sprintf("%s has not looked at it in %.0f s", m.firstWithout(validated), validationTimeoutMillis/1000))
			return
		}
	}
	if c.Stage != Pausing {
		return
	}
	paused := func(member Member) bool { return member.Paused == c.ID || member.Until <= now }
	switch {
	case m.all(paused):
		m.activate(now)
	case now-c.Since > pauseTimeoutMillis:
		m.refuse(fmt.Sprintf("%s has not stopped in %.0f s: linenwheel policy dead declares it dead, if it is", m.firstWithout(paused), pauseTimeoutMillis/1000))
	}
}

// activate brings the document of the change into force. All leases were on the previous number, so they end.
func (m *Machine) activate(now float64) {
	m.number++
	d := m.change.Document
	d.Number, d.At = m.number, now
	m.docs = append(m.docs, d)
	m.docs = m.docs[max(0, len(m.docs)-MaxDocuments):]
	m.change = nil
	m.record(Outcome{ID: d.ID, Stage: Activated, Number: m.number})
	for key, member := range m.members {
		member.Until = 0
		m.members[key] = member
	}
	m.nextExpiry = 0
}

// fewUnvalidated reports whether at most pauseNearThreshold members have not validated a proposal. It stops
// counting above the threshold, so that a report is cheap while many are missing.
func (m *Machine) fewUnvalidated(id string) bool {
	missing := 0
	for _, member := range m.members {
		if member.Validated != id {
			if missing++; missing > pauseNearThreshold {
				return false
			}
		}
	}
	return true
}

// all reports whether a condition holds for all members. It stops at the first member for which it does not hold,
// so that a report is cheap while many are missing.
func (m *Machine) all(condition func(Member) bool) bool {
	for _, member := range m.members {
		if !condition(member) {
			return false
		}
	}
	return true
}

// firstWithout returns the first node, by name, that has a member for which a condition does not hold; "" = there
// is none.
func (m *Machine) firstWithout(condition func(Member) bool) string {
	for _, key := range slices.Sorted(maps.Keys(m.members)) {
		if member := m.members[key]; !condition(member) {
			return member.Node
		}
	}
	return ""
}

// refuse rejects the change in progress.
func (m *Machine) refuse(reason string) {
	id := m.change.ID
	m.change = nil
	m.record(Outcome{ID: id, Stage: Rejected, Reason: reason})
}

// record stores the outcome of a proposal.
func (m *Machine) record(o Outcome) Outcome {
	m.outcomes = append(m.outcomes, o)
	m.outcomes = m.outcomes[max(0, len(m.outcomes)-MaxOutcomes):]
	return o
}
