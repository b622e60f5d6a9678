// Package endpoints feeds the pilot one list of hosts from several sources: package set decides what is in it, a Keeper
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
	Node string
	Give func(dispatch.ListKind, []dispatch.Host) // gets each step, one after the other
	Last func()                                   // called when the list has changed; may be nil
}

// Keeper keeps the list. All of its methods may be called from any goroutine.
type Keeper struct {
	settings Settings
	clock    clock.Clock
	log      *slog.Logger

	mu      sync.Mutex
	set     *merge.Set
	looks   []func()         // by source: asks for a second look
	begun   bool             // a source has given a list
	offered float64          // when the list was made that stands until then
	reached []merge.Revision // what the sources had come to, as far as that was told
	changed float64          // when the list changed last
	alarm   func()           // stops the one that is set

	giving sync.Mutex // held while a step is handed on, so that they come in order
}

// New makes a keeper without a list.
func New(settings Settings, c clock.Clock, log *slog.Logger) (*Keeper, error) {
	s, err := merge.New(settings.Settings)
	if err != nil {
		return nil, err
	}
	return &Keeper{settings: settings, clock: c, log: log, set: s, looks: make([]func(), len(settings.Sources)),
		reached: make([]merge.Revision, len(settings.Sources)),
		offered: math.Inf(-1), alarm: func() {}}, nil
}

// Asks sets who is asked for a second look at a source. It must be set before the source says anything.
func (k *Keeper) Asks(source int, look func()) { k.looks[source] = look }

// Tune changes the guard, the wait and the sources' own settings from now on.
func (k *Keeper) Tune(g removalguard.Settings, wait float64, sources []merge.Source) {
	k.do(func(float64) { k.set.Reconfigure(g, wait, sources) })
}

// Offer gives the keeper a list from before, of a time, that stands until a source says something. The newest counts.
// Departures are judged by it if that is no longer than judge milliseconds ago. Positions are what the sources had come to,
// nil = nothing is known of that.
func (k *Keeper) Offer(hosts []dispatch.Host, at, judge float64, positions []lastgood.Position) {
	k.do(func(float64) {
		if k.begun || at < k.offered || len(hosts) == 0 {
			return
		}
		k.offered, k.changed = at, at
		for i, src := range k.settings.Sources {
			for _, p := range positions {
				if p.Source == src.Name {
					k.reached[i] = merge.Revision{Epoch: p.Epoch, Number: p.Number}
				}
			}
		}
		k.set.Restore(hosts, at+judge, k.reached)
	})
}

// do changes the set, then hands on and tells what has come of it.
func (k *Keeper) do(f func(now float64)) {
	k.mu.Lock()
	f(k.clock.Now())
	notes := k.set.TakeNotes()
	k.mu.Unlock()
	for i := range notes {
		k.tell(&notes[i])
	}
	k.give()
	k.arm()
}

// give hands on what has changed. Who comes while another does that waits, and finds that it was done or does the rest.
func (k *Keeper) give() {
	k.giving.Lock()
	defer k.giving.Unlock()
	k.mu.Lock()
	kind, list, ok := k.set.Flush()
	if ok && kind != dispatch.Stored {
		k.changed = k.clock.Now()
	}
	k.mu.Unlock()
	if !ok {
		return
	}
	k.settings.Give(kind, list)
	if k.settings.Last != nil && kind != dispatch.Stored {
		k.settings.Last()
	}
}

// arm has due called when the set wants it.
func (k *Keeper) arm() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.alarm()
	if next := k.set.NextTick(); !math.IsInf(next, 1) {
		k.alarm = k.clock.At(next, k.due)
	} else {
		k.alarm = func() {}
	}
}

func (k *Keeper) due() {
	var look []int
	k.do(func(now float64) { look = k.set.Tick(now) })
	for _, source := range look {
		k.looks[source]()
	}
}

// Stop ends the keeper's own clock.
func (k *Keeper) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.alarm()
}

// View gives how the list is made up.
func (k *Keeper) View() merge.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set.View(k.clock.Now())
}

// Hosts is the list, by name.
func (k *Keeper) Hosts() []dispatch.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set.Hosts()
}

// Record is what is kept of the list for a start without a source.
func (k *Keeper) Record() lastgood.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := lastgood.Record{Node: k.settings.Node, Changed: k.changed}
	for _, src := range k.set.View(k.clock.Now()).Sources {
		if src.Followed {
			r.Followed = src.Name
		}
		if src.Revision != (merge.Revision{}) {
			r.Sources = append(r.Sources, lastgood.Position{Source: src.Name, Epoch: src.Revision.Epoch, Number: src.Revision.Number})
		}
	}
	r.Set(k.set.Hosts())
	return r
}

// Feed is where one source says what it has.
type Feed struct {
	k  *Keeper
	of int
}

// Feed gives the place of a source, by its number in the order of trust.
func (k *Keeper) Feed(source int) Feed { return Feed{k, source} }

// Take takes versions, one after the other. It stops at the first that is refused for good.
func (f Feed) Take(versions ...merge.Version) (err error) {
	k := f.k
	k.do(func(now float64) {
		for _, v := range versions {
			if err = k.set.Apply(now, f.of, v); err != nil {
				return
			}
			k.begun = true
		}
	})
	if err != nil {
		err = fmt.Errorf("refused: %w", err)
	}
	return err
}

// Present tells that there is nothing new.
func (f Feed) Present(away float64) {
	f.k.do(func(now float64) { f.k.set.Unchanged(now, f.of, away) })
}

// Away tells that the source cannot be asked since a time.
func (f Feed) Away(since float64) {
	f.k.do(func(now float64) { f.k.set.Unreachable(now, f.of, since) })
}

// Confirm tells that who writes to the source means what was held up to a number.
func (f Feed) Confirm(number uint64) {
	f.k.do(func(now float64) { f.k.set.Confirm(now, f.of, number) })
}

// Asked is a feed for what is asked by calls: discovery, or an agent that speaks its form.
type Asked struct {
	Feed
	Start float64 // since when it is away until it has answered
}

// Apply takes an answer.
func (a Asked) Apply(l discovery.List) error {
	err := a.Feed.Take(a.versions(l)...)
	if err == nil && l.Origin != nil && l.Origin.Confirm > 0 {
		a.Confirm(l.Origin.Confirm)
	}
	return err
}

// versions takes an answer apart: what changed at one revision is one version.
func (a Asked) versions(l discovery.List) (list []merge.Version) {
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
			UnreachableSince: -1})
		from = to
	}
	if list != nil {
		return append(list, merge.Version{Revision: at, UnreachableSince: away}) // what is not listed changed up to there
	}
	look := l.Look && (l.Origin == nil || l.Origin.Looked)
	return []merge.Version{{Revision: at, Whole: l.Whole, Hosts: l.Hosts, Reread: look, UnreachableSince: away}}
}

// away is since when the source behind an answer has not been heard, 0 = it has.
func (a Asked) away(l discovery.List) float64 {
	if l.Origin == nil || l.Origin.Away == 0 {
		return 0
	}
	return a.k.clock.Now() - l.Origin.Away
}

// Unchanged takes an answer that has nothing new.
func (a Asked) Unchanged(l discovery.List) {
	a.Present(a.away(l))
	if l.Origin != nil && l.Origin.Confirm > 0 {
		a.Confirm(l.Origin.Confirm)
	}
}

// CallFailed takes the end of a call that failed.
func (a Asked) CallFailed(since float64) { a.Feed.Away(cmp.Or(since, a.Start)) }

// tell logs a note.
func (k *Keeper) tell(n *merge.Note) {
	revision := n.Revision.String()
	switch n.Kind {
	case merge.Held:
		if n.BelowFloor {
			k.log.Error("departures leave too few hosts: they count once they are confirmed", "source", n.Source, "revision", revision,
				"count", n.Count, "serving", n.Serving, "first", n.Names)
			return
		}
		k.log.Warn("many hosts depart at once: they count after a second look", "source", n.Source, "revision", revision,
			"count", n.Count, "serving", n.Serving, "first", n.Names)
	case merge.Admitted:
		by := "confirmation"
		if n.Reread {
			by = "second look"
		}
		k.log.Warn("departures that were held count now", "source", n.Source, "revision", revision, "count", n.Count,
			"serving", n.Serving, "first", n.Names, "by", by)
	case merge.Resolved:
		k.log.Info("no departure is held any more", "source", n.Source, "revision", revision)
	case merge.SourceChanged:
		k.log.Info("the list follows another source", "source", n.Source, "before", n.Other, "revision", revision)
	case merge.AllStale:
		k.log.Error("every source of the list is away: the last list stays", "source", n.Source, "age_ms", n.Age)
	case merge.Recovered:
		k.log.Info("a source of the list is there again", "source", n.Source)
	case merge.Disagree:
		k.log.Warn("two sources of the list disagree", "source", n.Source, "followed", n.Other, "count", n.Count, "first", n.Names)
	case merge.Agree:
		k.log.Info("two sources of the list agree again", "source", n.Source, "followed", n.Other)
	case merge.Unusable:
		k.log.Warn("hosts without a name, or of a zone or kind that the settings do not name: they stay as they were", "source", n.Source,
			"count", n.Count, "first", n.Names)
	}
}
