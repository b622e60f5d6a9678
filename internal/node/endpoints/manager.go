// Package endpoints feeds the pilot one list of hosts from several sources: package set decides what is in it, a Manager
// has the lock, the clock, the log and the file of the last good list. A node whose list comes from discovery alone, without
// a guard and a file, does without it.
package endpoints

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/discovery"
	"linenwheel.dev/linenwheel/internal/node/endpoints/lastgood"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
)

// Settings say what a keeper is made of.
type Settings struct {
	merge.Settings
	Node     string
	OnUpdate func(dispatch.Source, []dispatch.Host) // gets each step, one after the other
	OnChange func()                                 // called when the list has changed; may be nil
}

// Manager keeps the list. All of its methods may be called from any goroutine.
type Manager struct {
	settings Settings
	clock    clock.Clock
	log      *slog.Logger

	mu                sync.Mutex
	set               *merge.Set
	rereads           []func()         // by source: asks for a second look
	hasSourceList     bool             // a source has given a list
	restoredAt        float64          // when the list was made that stands until then
	restoredRevisions []merge.Revision // what the sources had come to, as far as that was told
	changed           float64          // when the list changed last
	stopTimer         func()           // stops the one that is set

	delivering sync.Mutex // held while a step is handed on, so that they come in order
}

// New makes a keeper without a list.
func New(settings Settings, c clock.Clock, log *slog.Logger) (*Manager, error) {
	s, err := merge.New(settings.Settings)
	if err != nil {
		return nil, err
	}
	return &Manager{settings: settings, clock: c, log: log, set: s, rereads: make([]func(), len(settings.Sources)),
		restoredRevisions: make([]merge.Revision, len(settings.Sources)),
		restoredAt:        math.Inf(-1), stopTimer: func() {}}, nil
}

// SetReread sets who is asked for a second look at a source. It must be set before the source says anything.
func (m *Manager) SetReread(source int, look func()) { m.rereads[source] = look }

// Reconfigure changes the guard, the wait and the sources' own settings from now on.
func (m *Manager) Reconfigure(g removalguard.Settings, wait float64, sources []merge.Source) {
	m.do(func(float64) { m.set.Tune(g, wait, sources) })
}

// Restore gives the keeper a list from before, of a time, that stands until a source says something. The newest counts.
// Departures are judged by it if that is no longer than judge milliseconds ago. Positions are what the sources had come to,
// nil = nothing is known of that.
func (m *Manager) Restore(hosts []dispatch.Host, at, judge float64, positions []lastgood.Position) {
	m.do(func(float64) {
		if m.hasSourceList || at < m.restoredAt || len(hosts) == 0 {
			return
		}
		m.restoredAt, m.changed = at, at
		for i, src := range m.settings.Sources {
			for _, p := range positions {
				if p.Source == src.Name {
					m.restoredRevisions[i] = merge.Revision{Epoch: p.Epoch, Number: p.Number}
				}
			}
		}
		m.set.Start(hosts, at+judge, m.restoredRevisions)
	})
}

// do changes the set, then hands on and tells what has come of it.
func (m *Manager) do(f func(now float64)) {
	m.mu.Lock()
	f(m.clock.Now())
	notes := m.set.Notes()
	m.mu.Unlock()
	for i := range notes {
		m.logNote(&notes[i])
	}
	m.deliver()
	m.schedule()
}

// deliver hands on what has changed. Who comes while another does that waits, and finds that it was done or does the rest.
func (m *Manager) deliver() {
	m.delivering.Lock()
	defer m.delivering.Unlock()
	m.mu.Lock()
	kind, list, ok := m.set.Step()
	if ok && kind != dispatch.Stored {
		m.changed = m.clock.Now()
	}
	m.mu.Unlock()
	if !ok {
		return
	}
	m.settings.OnUpdate(kind, list)
	if m.settings.OnChange != nil && kind != dispatch.Stored {
		m.settings.OnChange()
	}
}

// schedule has tick called when the set wants it.
func (m *Manager) schedule() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopTimer()
	if next := m.set.Next(); !math.IsInf(next, 1) {
		m.stopTimer = m.clock.At(next, m.tick)
	} else {
		m.stopTimer = func() {}
	}
}

func (m *Manager) tick() {
	var look []int
	m.do(func(now float64) { look = m.set.Due(now) })
	for _, source := range look {
		m.rereads[source]()
	}
}

// Stop ends the keeper's own clock.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopTimer()
}

// View gives how the list is made up.
func (m *Manager) View() merge.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set.View(m.clock.Now())
}

// Hosts is the list, by name.
func (m *Manager) Hosts() []dispatch.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set.Hosts()
}

// Record is what is kept of the list for a start without a source.
func (m *Manager) Record() lastgood.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := lastgood.Record{Node: m.settings.Node, Changed: m.changed}
	for _, src := range m.set.View(m.clock.Now()).Sources {
		if src.Followed {
			r.Followed = src.Name
		}
		if src.Revision != (merge.Revision{}) {
			r.Sources = append(r.Sources, lastgood.Position{Source: src.Name, Epoch: src.Revision.Epoch, Number: src.Revision.Number})
		}
	}
	r.SetHosts(m.set.Hosts())
	return r
}

// Feed is where one source says what it has.
type Feed struct {
	m      *Manager
	source int
}

// Feed gives the place of a source, by its number in the order of trust.
func (m *Manager) Feed(source int) Feed { return Feed{m, source} }

// Take takes versions, one after the other. It stops at the first that is refused for good.
func (f Feed) Apply(versions ...merge.Version) (err error) {
	m := f.m
	m.do(func(now float64) {
		for _, v := range versions {
			if err = m.set.Take(now, f.source, v); err != nil {
				return
			}
			m.hasSourceList = true
		}
	})
	if err != nil {
		err = fmt.Errorf("refused: %w", err)
	}
	return err
}

// Present tells that there is nothing new.
func (f Feed) NoChange(away float64) {
	f.m.do(func(now float64) { f.m.set.Present(now, f.source, away) })
}

// Away tells that the source cannot be asked since a time.
func (f Feed) Unreachable(since float64) {
	f.m.do(func(now float64) { f.m.set.Away(now, f.source, since) })
}

// Confirm tells that who writes to the source means what was held up to a number.
func (f Feed) Confirm(number uint64) {
	f.m.do(func(now float64) { f.m.set.Confirm(now, f.source, number) })
}

// DiscoveryFeed is a feed for what is asked by calls: discovery, or an agent that speaks its form.
type DiscoveryFeed struct {
	Feed
	StartedAt float64 // since when it is away until it has answered
}

// Take takes an answer.
func (a DiscoveryFeed) Take(l discovery.List) error {
	err := a.Feed.Apply(a.versions(l)...)
	if err == nil && l.Origin != nil && l.Origin.Confirm > 0 {
		a.Confirm(l.Origin.Confirm)
	}
	return err
}

// versions takes an answer apart: what changed at one revision is one version.
func (a DiscoveryFeed) versions(l discovery.List) (list []merge.Version) {
	away := a.away(l)
	at := merge.Revision{Number: uint64(max(l.Index, 0))}
	if l.Origin != nil {
		at.Epoch = l.Origin.Epoch
	}
	for from := 0; !l.Whole && l.Revisions != nil && from < len(l.Hosts); {
		to := from + 1
		for to < len(l.Hosts) && l.Revisions[to] == l.Revisions[from] {
			to++
		}
		list = append(list, merge.Version{Revision: merge.Revision{Epoch: at.Epoch, Number: l.Revisions[from]}, Hosts: l.Hosts[from:to],
			Away: -1})
		from = to
	}
	if list != nil {
		return append(list, merge.Version{Revision: at, Away: away}) // what is not listed changed up to there
	}
	look := l.Look && (l.Origin == nil || l.Origin.Looked)
	return []merge.Version{{Revision: at, Whole: l.Whole, Hosts: l.Hosts, Look: look, Away: away}}
}

// away is since when the source behind an answer has not been heard, 0 = it has.
func (a DiscoveryFeed) away(l discovery.List) float64 {
	if l.Origin == nil || l.Origin.Away == 0 {
		return 0
	}
	return a.m.clock.Now() - l.Origin.Away
}

// Same takes an answer that has nothing new.
func (a DiscoveryFeed) Same(l discovery.List) {
	a.NoChange(a.away(l))
	if l.Origin != nil && l.Origin.Confirm > 0 {
		a.Confirm(l.Origin.Confirm)
	}
}

// Away takes the end of a call that failed.
func (a DiscoveryFeed) Away(since float64) { a.Feed.Unreachable(cmp.Or(since, a.StartedAt)) }

// logNote logs a note.
func (m *Manager) logNote(n *merge.Note) {
	revision := n.Revision.String()
	switch n.Kind {
	case merge.Held:
		if n.Floor {
			m.log.Error("departures leave too few hosts: they count once they are confirmed", "source", n.Source, "revision", revision,
				"count", n.Count, "serving", n.Serving, "first", n.Names)
			return
		}
		m.log.Warn("many hosts depart at once: they count after a second look", "source", n.Source, "revision", revision,
			"count", n.Count, "serving", n.Serving, "first", n.Names)
	case merge.Admitted:
		by := "confirmation"
		if n.Looked {
			by = "second look"
		}
		m.log.Warn("departures that were held count now", "source", n.Source, "revision", revision, "count", n.Count,
			"serving", n.Serving, "first", n.Names, "by", by)
	case merge.Resolved:
		m.log.Info("no departure is held any more", "source", n.Source, "revision", revision)
	case merge.Lead:
		m.log.Info("the list follows another source", "source", n.Source, "before", n.Other, "revision", revision)
	case merge.Aged:
		m.log.Error("every source of the list is away: the last list stays", "source", n.Source, "age_ms", n.Age)
	case merge.Fresh:
		m.log.Info("a source of the list is there again", "source", n.Source)
	case merge.Differ:
		m.log.Warn("two sources of the list disagree", "source", n.Source, "followed", n.Other, "count", n.Count, "first", n.Names)
	case merge.Agree:
		m.log.Info("two sources of the list agree again", "source", n.Source, "followed", n.Other)
	case merge.Unusable:
		m.log.Warn("hosts without a name, or of a zone or kind that the settings do not name: they stay as they were", "source", n.Source,
			"count", n.Count, "first", n.Names)
	}
}
