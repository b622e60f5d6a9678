// Package endpoints supplies the dispatcher with one host list that is merged from several sources. Package merge
// decides what is in the list; a Manager adds the lock, the clock, the log and the record for the file of the last
// good list. A node whose list comes from discovery alone, without a guard and without that file, does not use
// this package.
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

// Settings are the settings of a Manager.
type Settings struct {
	merge.Settings
	Node     string
	OnUpdate func(dispatch.ListKind, []dispatch.Host) // receives each update of the list, one after the other
	OnChange func()                                   // called after the list has changed; may be nil
}

// Manager maintains the merged list. All of its methods may be called from any goroutine.
type Manager struct {
	settings Settings
	clock    clock.Clock
	log      *slog.Logger

	mu                sync.Mutex
	set               *merge.Set
	rereads           []func()         // by source: requests a re-read of its list
	hasSourceList     bool             // a source has delivered a list
	restoredAt        float64          // time of the restored list, which is used until then
	restoredRevisions []merge.Revision // last known revisions of the sources at that time
	changed           float64          // time of the last change of the list
	stopTimer         func()           // stops the timer that is set

	delivering sync.Mutex // held while an update is delivered, so that updates arrive in order
}

// New returns a manager without a list, or an error if the settings are invalid.
func New(settings Settings, c clock.Clock, log *slog.Logger) (*Manager, error) {
	s, err := merge.New(settings.Settings)
	if err != nil {
		return nil, err
	}
	return &Manager{settings: settings, clock: c, log: log, set: s, rereads: make([]func(), len(settings.Sources)),
		restoredRevisions: make([]merge.Revision, len(settings.Sources)),
		restoredAt:        math.Inf(-1), stopTimer: func() {}}, nil
}

// SetReread sets the function that requests a re-read of a source's list. It must be called before the source
// delivers anything.
func (m *Manager) SetReread(source int, reread func()) { m.rereads[source] = reread }

// Reconfigure changes the settings of the guard, the delay before a re-read and the settings of the sources.
func (m *Manager) Reconfigure(g removalguard.Settings, rereadDelay float64, sources []merge.Source) {
	m.do(func(float64) { m.set.Reconfigure(g, rereadDelay, sources) })
}

// Restore sets a list from an earlier time, which is used until a source delivers one. Of several such lists the
// newest counts. Departures are judged by the list for baselineFor milliseconds from its time. positions are the
// positions of the sources at that time; nil = unknown.
func (m *Manager) Restore(hosts []dispatch.Host, at, baselineFor float64, positions []lastgood.Position) {
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
		m.set.Restore(hosts, at+baselineFor, m.restoredRevisions)
	})
}

// do calls f, which changes the set, then logs its notes, delivers the update and sets the timer.
func (m *Manager) do(f func(now float64)) {
	m.mu.Lock()
	f(m.clock.Now())
	notes := m.set.TakeNotes()
	m.mu.Unlock()
	for i := range notes {
		m.logNote(&notes[i])
	}
	m.deliver()
	m.schedule()
}

// deliver passes on what has changed. A concurrent caller waits and then delivers what is left, if anything.
func (m *Manager) deliver() {
	m.delivering.Lock()
	defer m.delivering.Unlock()
	m.mu.Lock()
	kind, list, ok := m.set.Flush()
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

// schedule sets the timer to the time at which the set needs the next tick.
func (m *Manager) schedule() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopTimer()
	if next := m.set.NextTick(); !math.IsInf(next, 1) {
		m.stopTimer = m.clock.At(next, m.tick)
	} else {
		m.stopTimer = func() {}
	}
}

// tick runs what is due in the set and requests the re-reads that it asks for.
func (m *Manager) tick() {
	var due []int
	m.do(func(now float64) { due = m.set.Tick(now) })
	for _, source := range due {
		m.rereads[source]()
	}
}

// Stop stops the timer.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopTimer()
}

// View returns the state of the list and its sources.
func (m *Manager) View() merge.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set.View(m.clock.Now())
}

// Hosts returns the list, sorted by name.
func (m *Manager) Hosts() []dispatch.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set.Hosts()
}

// Record returns what is saved of the list for a start without a reachable source.
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

// Feed accepts the updates of one source.
type Feed struct {
	m      *Manager
	source int
}

// Feed returns the feed of a source, given by its index in the order of trust.
func (m *Manager) Feed(source int) Feed { return Feed{m, source} }

// Apply applies versions, one after the other. It stops at the first one that is rejected for good and returns the
// reason.
func (f Feed) Apply(versions ...merge.Version) (err error) {
	m := f.m
	m.do(func(now float64) {
		for _, v := range versions {
			if err = m.set.Apply(now, f.source, v); err != nil {
				return
			}
			m.hasSourceList = true
		}
	})
	if err != nil {
		err = fmt.Errorf("rejected: %w", err)
	}
	return err
}

// NoChange records that there is nothing new. away is the time since which the origin of the source's list has been
// unreachable; 0 = it is reachable.
func (f Feed) NoChange(away float64) {
	f.m.do(func(now float64) { f.m.set.Unchanged(now, f.source, away) })
}

// Unreachable records that the source has been unreachable since a time.
func (f Feed) Unreachable(since float64) {
	f.m.do(func(now float64) { f.m.set.Unreachable(now, f.source, since) })
}

// Confirm records that the writer of the source's list confirms what was held up to a revision number.
func (f Feed) Confirm(number uint64) {
	f.m.do(func(now float64) { f.m.set.Confirm(now, f.source, number) })
}

// DiscoveryFeed is a feed for a source that is polled by calls: discovery, or an agent that uses its format.
type DiscoveryFeed struct {
	Feed
	StartedAt float64 // since when the source counts as unreachable until it has answered
}

// Apply applies a response.
func (d DiscoveryFeed) Apply(l discovery.List) error {
	err := d.Feed.Apply(d.versions(l)...)
	if err == nil && l.Origin != nil && l.Origin.Confirm > 0 {
		d.Confirm(l.Origin.Confirm)
	}
	return err
}

// versions splits a response into versions: the hosts that changed at one revision are one version.
func (d DiscoveryFeed) versions(l discovery.List) (list []merge.Version) {
	since := d.unreachableSince(l)
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
			UnreachableSince: -1})
		from = to
	}
	if list != nil {
		return append(list, merge.Version{Revision: at, UnreachableSince: since}) // no other host has changed up to this one
	}
	reread := l.Look && (l.Origin == nil || l.Origin.Looked)
	return []merge.Version{{Revision: at, Whole: l.Whole, Hosts: l.Hosts, Reread: reread, UnreachableSince: since}}
}

// unreachableSince returns since when the origin behind a response has been unreachable; 0 = it is reachable.
func (d DiscoveryFeed) unreachableSince(l discovery.List) float64 {
	if l.Origin == nil || l.Origin.Away == 0 {
		return 0
	}
	return d.m.clock.Now() - l.Origin.Away
}

// Unchanged processes a response without changes.
func (d DiscoveryFeed) Unchanged(l discovery.List) {
	d.NoChange(d.unreachableSince(l))
	if l.Origin != nil && l.Origin.Confirm > 0 {
		d.Confirm(l.Origin.Confirm)
	}
}

// CallFailed records the end of a failed call.
func (d DiscoveryFeed) CallFailed(since float64) { d.Feed.Unreachable(cmp.Or(since, d.StartedAt)) }

// logNote logs a note.
func (m *Manager) logNote(n *merge.Note) {
	revision := n.Revision.String()
	switch n.Kind {
	case merge.Held:
		if n.BelowFloor {
			m.log.Error("departures would leave too few hosts: holding them until they are confirmed", "source", n.Source, "revision", revision,
				"count", n.Count, "serving", n.Serving, "first", n.Names)
			return
		}
		m.log.Warn("many hosts depart at once: holding the departures until the list is read again", "source", n.Source, "revision", revision,
			"count", n.Count, "serving", n.Serving, "first", n.Names)
	case merge.Admitted:
		by := "confirmation"
		if n.Reread {
			by = "second look"
		}
		m.log.Warn("applying held departures", "source", n.Source, "revision", revision, "count", n.Count,
			"serving", n.Serving, "first", n.Names, "by", by)
	case merge.Resolved:
		m.log.Info("no departures are held any more", "source", n.Source, "revision", revision)
	case merge.SourceChanged:
		m.log.Info("the host list follows another source", "source", n.Source, "before", n.Other, "revision", revision)
	case merge.AllStale:
		m.log.Error("all sources of the host list are unreachable: keeping the last list", "source", n.Source, "age_ms", n.Age)
	case merge.Recovered:
		m.log.Info("a source of the host list is reachable again", "source", n.Source)
	case merge.Disagree:
		m.log.Warn("two sources of the host list disagree", "source", n.Source, "followed", n.Other, "count", n.Count, "first", n.Names)
	case merge.Agree:
		m.log.Info("two sources of the host list agree again", "source", n.Source, "followed", n.Other)
	case merge.Unusable:
		m.log.Warn("hosts without a name, or with an unknown zone or kind: keeping their previous state", "source", n.Source,
			"count", n.Count, "first", n.Names)
	}
}
