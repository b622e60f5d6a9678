package replica

import "slices"

// Stored is the content of a member's disk.
type Stored struct {
	Self     Member
	Founder  bool     // it may vote on the first view
	Founders []string // addresses of the founders, as configured when the disk was empty
	View     *Proposal
	Snapshot *Snapshot // nil: the state before the first order
	Entries  []Entry   // those after the snapshot
	Promised Ballot    // for the epoch after the view's
	Accepted *Accepted
}

// The records are stored in the order in which they are returned. Their fields are encoded by name.
type (
	// SaveIdentity stores the member's identity.
	SaveIdentity struct {
		Self     Member
		Founder  bool
		Founders []string
	}
	// SavePromise stores the ballot promised for an epoch.
	SavePromise struct {
		Epoch  uint64
		Ballot Ballot
	}
	// SaveAccepted stores the proposal accepted for the next epoch.
	SaveAccepted struct{ Accepted Accepted }
	// SaveView stores an agreed view. It discards the promise and the accepted proposal, which were for the epoch
	// of that view.
	SaveView struct{ Proposal Proposal }
	// SaveEntry stores one entry. It replaces any entry with the same or a higher index.
	SaveEntry struct{ Entry Entry }
	// SaveSnapshot stores a complete state. It replaces the previous snapshot and all entries.
	SaveSnapshot struct{ Snapshot Snapshot }
)

// Record is one of the records above.
type Record any

// Apply updates s with a stored record. It does not modify slices that s shares with earlier values.
func (s *Stored) Apply(record Record) {
	switch record := record.(type) {
	case SaveIdentity:
		s.Self, s.Founder, s.Founders = record.Self, record.Founder, record.Founders
	case SavePromise:
		s.Promised = record.Ballot
	case SaveAccepted:
		s.Accepted = &record.Accepted
	case SaveView:
		s.View = &record.Proposal
		s.Promised, s.Accepted = Ballot{}, nil
	case SaveSnapshot:
		s.Snapshot, s.Entries = &record.Snapshot, nil
	case SaveEntry:
		s.Entries = append(entriesBefore(s.Entries, record.Entry.Seq), record.Entry)
	}
}

// entriesBefore returns a copy of the entries with an index lower than seq.
func entriesBefore(entries []Entry, seq uint64) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Seq >= seq })
}
