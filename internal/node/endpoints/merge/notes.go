package merge

import (
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

const (
	maxNames = 8    // hosts that a note names
	maxNotes = 1024 // notes that are kept until TakeNotes
)

// NoteKind is the subject of a note.
type NoteKind uint8

// The kinds of note.
const (
	Held          NoteKind = iota // Count departures are held until a re-read or, with BelowFloor, until they are confirmed
	Admitted                      // held departures have been applied
	Resolved                      // nothing is held any more, because of later versions
	SourceChanged                 // the list follows another source
	AllStale                      // every source has been unreachable for longer than its StaleAfter
	Recovered                     // a source is reachable again after AllStale
	Disagree                      // a source lists other serving hosts than the followed one
	Agree                         // it no longer does
	Unusable                      // entries of a version cannot be used
)

// Note reports an event for the log.
type Note struct {
	Kind       NoteKind
	Source     string
	Other      string // SourceChanged: the previous source; Disagree, Agree: the followed one
	Revision   Revision
	Count      int      // of hosts
	Serving    int      // serving hosts before
	Names      []string // of some of them
	BelowFloor bool     // Held: too few hosts would serve
	Reread     bool     // Admitted: after a re-read; else because the writer of the list has confirmed it
	Age        float64  // of the last list, milliseconds
}

func (s *Set) note(n Note) {
	if len(s.notes) < maxNotes {
		s.notes = append(s.notes, n)
	}
}

// TakeNotes returns the notes since the last call.
func (s *Set) TakeNotes() []Note {
	notes := s.notes
	s.notes = nil
	return notes
}

func firstNames(names []string) []string { return slices.Clone(names[:min(len(names), maxNames)]) }

// compareSources compares the sources with the followed one. A difference is reported when it is found twice in a
// row: a single one may be a change that has reached only one of them. Only the set of serving hosts is compared,
// because addresses may be specific to a node.
func (s *Set) compareSources(now float64) {
	for i, src := range s.sources {
		if i == s.lead || s.lead < 0 || !src.fresh(now) {
			src.differing, src.disagreementReported = 0, false
			continue
		}
		lead := s.sources[s.lead]
		differing := append(servingOnlyIn(src.list, lead.list), servingOnlyIn(lead.list, src.list)...)
		slices.Sort(differing)
		n := Note{Source: src.Name, Other: lead.Name, Count: len(differing), Names: firstNames(differing)}
		switch {
		case len(differing) > 0 && src.differing > 0 && !src.disagreementReported:
			n.Kind, src.disagreementReported = Disagree, true
			s.note(n)
		case len(differing) == 0 && src.disagreementReported:
			n.Kind, src.disagreementReported = Agree, false
			s.note(n)
		}
		src.differing = len(differing)
	}
}

// servingOnlyIn names the hosts that serve in list a and not in list b.
func servingOnlyIn(a, b map[string]dispatch.Host) (names []string) {
	for name, h := range a {
		if other, ok := b[name]; h.Status == dispatch.Ready && (!ok || other.Status != dispatch.Ready) {
			names = append(names, name)
		}
	}
	return names
}

// SourceView is the state of a source.
type SourceView struct {
	Name        string
	Known       bool // it has delivered a list
	Followed    bool
	Revision    Revision
	Hosts       int
	LastContact float64 // time of its last message
	Away        float64 // since when it is unreachable; +Inf = it is reachable
	Differs     int     // hosts that serve either by it or by the followed source, but not by both, when last compared
}

// View is the state of a Set.
type View struct {
	Sources   []SourceView
	Hosts     int
	Serving   int
	Held      int     // hosts that differ from what the sources say
	HeldSince float64 // since when the first of them has been held; 0 = nothing is held
	Departed  int     // hosts that have departed within the guard's window
	Stale     bool    // no source's list counts any more
}

// View returns the current state.
func (s *Set) View(now float64) View {
	v := View{Hosts: len(s.hosts), Serving: s.serving, Held: len(s.held), Departed: s.guard.Departed(now), Stale: s.stale}
	for _, d := range s.held {
		if v.HeldSince == 0 || d.since < v.HeldSince {
			v.HeldSince = d.since
		}
	}
	for i, src := range s.sources {
		v.Sources = append(v.Sources, SourceView{src.Name, src.hasList, i == s.lead, src.revision, len(src.list), src.lastContact,
			src.unreachableSince, src.differing})
	}
	return v
}
