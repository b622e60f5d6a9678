package merge

import (
	"slices"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

const (
	mostNamed = 8    // hosts that a note names
	mostNotes = 1024 // notes that are kept until they are asked for
)

// NoteKind is what a note is about.
type NoteKind uint8

// The kinds of note.
const (
	Held          NoteKind = iota // Count hosts do not depart before a second look or, with Floor, until that is confirmed
	Admitted                      // they do now
	Resolved                      // nothing is held any more, because of what came after it
	SourceChanged                 // the list follows another source
	AllStale                      // every source has been away for longer than its word counts
	Recovered                     // and one is there again
	Disagree                      // a source lists other hosts than the one that is followed
	Agree                         // and does so no more
	Unusable                      // entries cannot be used
)

// Note is something to be told.
type Note struct {
	Kind       NoteKind
	Source     string
	Other      string // Lead: who was followed; Differ, Agree: who is
	Revision   Revision
	Count      int      // of hosts
	Serving    int      // hosts before
	Names      []string // of some of them
	BelowFloor bool     // Held: too few would serve
	Reread     bool     // Admitted: by a second look; else who writes the list has confirmed it
	Age        float64  // of the last word, milliseconds
}

func (s *Set) note(n Note) {
	if len(s.notes) < mostNotes {
		s.notes = append(s.notes, n)
	}
}

// Notes gives what is to be told since the last call.
func (s *Set) TakeNotes() []Note {
	notes := s.notes
	s.notes = nil
	return notes
}

func some(names []string) []string { return slices.Clone(names[:min(len(names), mostNamed)]) }

// compare holds the sources against the one that is followed. One that differs twice in a row is told: at one look, news
// may have come to one and not yet to the other. Only who serves is compared, for addresses may be a node's own.
func (s *Set) compare(now float64) {
	for i, src := range s.sources {
		if i == s.lead || s.lead < 0 || !src.counts(now) {
			src.differed, src.differs = 0, false
			continue
		}
		lead := s.sources[s.lead]
		odd := append(onlyIn(src.list, lead.list), onlyIn(lead.list, src.list)...)
		slices.Sort(odd)
		n := Note{Source: src.Name, Other: lead.Name, Count: len(odd), Names: some(odd)}
		switch {
		case len(odd) > 0 && src.differed > 0 && !src.differs:
			n.Kind, src.differs = Disagree, true
			s.note(n)
		case len(odd) == 0 && src.differs:
			n.Kind, src.differs = Agree, false
			s.note(n)
		}
		src.differed = len(odd)
	}
}

// onlyIn names the hosts that serve by one list and not by another.
func onlyIn(a, b map[string]dispatch.Host) (names []string) {
	for name, h := range a {
		if other, ok := b[name]; h.Status == dispatch.Ready && (!ok || other.Status != dispatch.Ready) {
			names = append(names, name)
		}
	}
	return names
}

// SourceView is how a source does.
type SourceView struct {
	Name        string
	Known       bool // it has given a list
	Followed    bool
	Revision    Revision
	Hosts       int
	LastContact float64 // when it spoke last
	Away        float64 // since when it is away; +Inf = it is there
	Differs     int     // hosts that serve by it or by the one followed, and not by both, when last compared
}

// View is how the set does.
type View struct {
	Sources   []SourceView
	Hosts     int
	Serving   int
	Held      int     // hosts that are not as the sources say
	HeldSince float64 // since when the first of them is, 0 = nothing is held
	Departed  int     // hosts that have departed within the guard's window
	Stale     bool    // no source's word counts any more
}

// View gives the present view.
func (s *Set) View(now float64) View {
	v := View{Hosts: len(s.hosts), Serving: s.serving, Held: len(s.held), Departed: s.guard.Departed(now), Stale: s.aged}
	for _, d := range s.held {
		if v.HeldSince == 0 || d.since < v.HeldSince {
			v.HeldSince = d.since
		}
	}
	for i, src := range s.sources {
		v.Sources = append(v.Sources, SourceView{src.Name, src.known, i == s.lead, src.revision, len(src.list), src.heard,
			src.away, src.differed})
	}
	return v
}
