// Package merge maintains the one list of hosts that a node works with, merged from several sources.
//
// Each source delivers versions: its whole list, or the hosts that changed, with a revision. The merged list
// follows the first source in the order of trust that has delivered a list and has not been unreachable for too
// long. The other sources contribute one thing: a host that any source reports as draining, removed or moved away
// from an address does not serve there until that source reports otherwise or the host has restarted. A report of
// a departure is not revoked by silence, nor by another source.
//
// A version that would make too many hosts depart is held by the guard: it does not take effect and does not count
// as delivered. Later versions are judged on their own, so that a held version does not delay those that follow
// it, and what is held is judged again on each call.
//
// The package is pure: no I/O, no goroutine, no lock, no clock. Times are in milliseconds; the same calls give the
// same results. State: each source's list and the hosts that it has ended in the last ten minutes; the merged
// list, the changes that are held and those that were not flushed yet. A list of more than Settings.MaxHosts hosts
// is rejected, and at most twice as many ended hosts are remembered.
package merge

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
)

// Fixed limits; times are in milliseconds.
const (
	endedRetention   = 600e3 // how long a host that a source has ended is remembered although no source lists it
	sweepInterval    = 10e3  // between two sweeps, which forget ended hosts and compare the sources
	maxRereadPause   = 600e3 // longest pause between two re-reads for held changes
	maxLeftAddresses = 8     // addresses remembered per host as left, for each source
	timeTolerance    = 0.01  // tolerance for the rounding of times since 1970
)

// Settings are the settings of a Set.
type Settings struct {
	Sources      []Source // in the order of trust
	Guard        removalguard.Settings
	RereadDelay  float64  // before the list is read again to confirm held changes, milliseconds
	MaxHosts     int      // hosts in a list
	Zones, Kinds []string // the known ones
}

// Source is the configuration of one source.
type Source struct {
	Name          string
	StaleAfter    float64 // milliseconds for which its last list counts while it is unreachable
	Unguarded     bool    // the guard does not hold its versions: by the platform's rules they count as delivered already
	MayRenumber   bool    // a whole list may begin a new numbering
	MayCorrect    bool    // a whole list at the same revision may differ: it corrects missed changes
	ExpectedEpoch string  // the only epoch that is accepted; empty = that of the first version
}

// Revision is a position in a source's history.
type Revision struct {
	Epoch  string // names the numbering: numbers of different epochs cannot be compared
	Number uint64 // 0 = none
}

func (r Revision) String() string {
	number := "unnumbered"
	if r.Number > 0 {
		number = fmt.Sprint(r.Number)
	}
	if r.Epoch == "" {
		return number
	}
	return number + " of " + r.Epoch
}

// Version is one update of a source.
type Version struct {
	Revision         Revision
	Whole            bool            // Hosts is every host; else those that changed
	Hosts            []dispatch.Host // a host with status dispatch.Removed has left; of two with one name the last counts
	Reread           bool            // the list was read again because Tick had asked for it
	Confirmed        bool            // the writer of the list confirms what the guard would hold
	UnreachableSince float64         // since when the source has lost its origin; 0 = it has not; below 0 = more versions follow
}

// Reasons for which Apply rejects a version for good; they come wrapped.
var (
	ErrForeignHistory    = errors.New("another history")
	ErrRevisionRegressed = errors.New("the revision went back")
	ErrRevisionReused    = errors.New("different hosts at the same revision")
	ErrTooManyHosts      = errors.New("too many hosts")
	ErrNoBaseList        = errors.New("changes without a whole list before them")
)

// source is the state of one source.
type source struct {
	Source
	list                 map[string]dispatch.Host
	departures           map[string]departure // of hosts that it has reported as draining, removed or moved away from an address
	revision             Revision
	hasList              bool    // it has delivered a whole list
	lastContact          float64 // time of its last message
	unreachableSince     float64 // +Inf = it is reachable
	differing            int     // hosts that differed from the followed source when last compared
	disagreementReported bool    // Disagree was reported, and Agree not yet
}

// departure is what a source has reported about the departure of a host.
type departure struct {
	endedAt       float64       // when it began to drain or was removed; 0 = it serves
	leftAddresses []leftAddress // addresses that the host has left, the last maxLeftAddresses of them
}

type leftAddress struct {
	address string
	leftAt  float64 // when the source reported that the host had left
}

// covers reports whether a host that another source lists has departed.
func (d departure) covers(h dispatch.Host) bool {
	return d.endedAt > 0 && h.Since <= d.endedAt ||
		slices.ContainsFunc(d.leftAddresses, func(p leftAddress) bool { return p.address == h.Address && h.Since <= p.leftAt })
}

// latest returns the time of the latest report.
func (d departure) latest() float64 {
	at := d.endedAt
	for _, p := range d.leftAddresses {
		at = max(at, p.leftAt)
	}
	return at
}

// heldChange is a change of a host that the guard holds.
type heldChange struct {
	since  float64
	source int
	number uint64 // revision of the version that was held
	delta
}

// Set is the merged list.
type Set struct {
	settings Settings
	zones    map[string]bool
	kinds    map[string]bool
	sources  []*source
	lead     int // the source that the list follows; -1 = none yet
	stale    bool

	hosts         map[string]dispatch.Host
	serving       int
	guard         *removalguard.Guard
	baselineUntil float64 // until then, versions are judged by the restored list
	hasSourceList bool    // a version of a source has been applied

	held         map[string]heldChange
	delta        delta                  // sum over all held changes
	nextReread   float64                // when the next re-read for held changes is due; +Inf = never
	rereadPause  float64                // between that re-read and the one after it
	heldReported bool                   // Held was reported, and neither Resolved nor the admission of all that is held
	lastCall     float64                // time of the last call
	nextSweep    float64                // when the next sweep is due
	nextKind     dispatch.ListKind      // kind of the next Flush
	changed      map[string]flushedHost // hosts that changed since the last Flush, as they were then,
	changedOrder []string               // in this order
	notes        []Note
}

// flushedHost is the state of a host at the last Flush.
type flushedHost struct {
	dispatch.Host
	listed bool
}

// New returns a set that has no list yet.
func New(settings Settings) (*Set, error) {
	s := &Set{settings: settings, zones: stringSet(settings.Zones), kinds: stringSet(settings.Kinds), lead: -1, hosts: map[string]dispatch.Host{},
		held: map[string]heldChange{}, nextReread: math.Inf(1), rereadPause: settings.RereadDelay, nextKind: dispatch.Full,
		changed: map[string]flushedHost{}}
	var err error
	if s.guard, err = removalguard.New(settings.Guard); err != nil {
		return nil, err
	}
	switch {
	case len(settings.Sources) == 0:
		return nil, errors.New("set: no source")
	case !(settings.RereadDelay > 0):
		return nil, fmt.Errorf("set: wait %v is not above 0", settings.RereadDelay)
	case settings.MaxHosts < 1:
		return nil, fmt.Errorf("set: most %d is below 1", settings.MaxHosts)
	}
	for _, src := range settings.Sources {
		if !(src.StaleAfter >= 0) {
			return nil, fmt.Errorf("set: keep %v of %s is below 0", src.StaleAfter, src.Name)
		}
		s.sources = append(s.sources, &source{Source: src, list: map[string]dispatch.Host{}, unreachableSince: math.Inf(1),
			departures: map[string]departure{}})
	}
	return s, nil
}

func stringSet(list []string) map[string]bool {
	m := map[string]bool{}
	for _, name := range list {
		m[name] = true
	}
	return m
}

// Reconfigure changes what may change while a node runs: the guard, the delay before a re-read, and for each
// source StaleAfter, Unguarded and ExpectedEpoch. A new expected epoch allows the change from one history to
// another: its first whole list is accepted as a new beginning.
func (s *Set) Reconfigure(g removalguard.Settings, wait float64, sources []Source) {
	s.guard.Set(g)
	s.settings.RereadDelay = wait
	for i, updated := range sources {
		src := s.sources[i]
		src.StaleAfter, src.Unguarded, src.ExpectedEpoch = updated.StaleAfter, updated.Unguarded, updated.ExpectedEpoch
	}
}

// Restore sets a list from an earlier time, possibly in place of another such list. It may be called only before
// the first version of a source. Versions are judged by the list until baselineUntil; after that, the first
// version may remove any number of hosts as long as enough serve. revisions are the last ones known of the
// sources, in their order; older versions are rejected.
func (s *Set) Restore(hosts []dispatch.Host, baselineUntil float64, revisions []Revision) {
	clear(s.hosts)
	s.serving = 0
	for _, h := range hosts {
		if h.Status != dispatch.Removed && s.usable(&h) {
			s.put(h)
		}
	}
	for i, r := range revisions {
		s.sources[i].revision = r
	}
	s.nextKind, s.baselineUntil = dispatch.Stored, baselineUntil
}

func (s *Set) usable(h *dispatch.Host) bool {
	return h.Name != "" && (h.Status == dispatch.Removed || h.Status < dispatch.Removed && s.zones[h.Zone] && s.kinds[h.Kind])
}

// Apply applies a version. One that is rejected for good changes nothing.
func (s *Set) Apply(now float64, source int, v Version) error {
	s.lastCall = now
	src := s.sources[source]
	hosts, unusable := s.usableHosts(src, v)
	if err := s.validate(src, v, hosts); err != nil {
		return err
	}
	if len(unusable) > 0 {
		s.note(Note{Kind: Unusable, Source: src.Name, Revision: v.Revision, Count: len(unusable), Names: firstNames(unusable)})
	}
	effective := s.effectiveChanges(source, v.Whole, hosts)
	touched := effective(s.updateSource(now, src, v.Whole, hosts))
	src.revision, src.hasList = v.Revision, true
	s.recordContact(now, src, v.UnreachableSince)
	s.reconcile(now, source, touched)
	if v.Reread {
		s.admitReread(now, source)
	}
	if v.Confirmed {
		s.Confirm(now, source, math.MaxUint64)
	}
	return nil
}

// Unchanged records that a source has nothing new. away is the time since which the source itself has had no
// contact with its origin; 0 = it has contact.
func (s *Set) Unchanged(now float64, source int, away float64) {
	s.lastCall = now
	s.recordContact(now, s.sources[source], away)
	s.reconcile(now, source, nil)
}

func (s *Set) recordContact(now float64, src *source, away float64) {
	src.lastContact = now
	if away > 0 {
		src.unreachableSince = min(src.unreachableSince, away)
	} else if away == 0 {
		src.unreachableSince = math.Inf(1)
	}
}

// Unreachable records that a source has not been reachable since a time.
func (s *Set) Unreachable(now float64, source int, since float64) {
	s.lastCall = now
	s.sources[source].unreachableSince = min(s.sources[source].unreachableSince, since)
	s.reconcile(now, source, nil)
}

// Confirm records that the writer of a source's list confirms the changes that were held up to a revision number.
func (s *Set) Confirm(now float64, source int, number uint64) {
	s.admitHeld(now, source, false, func(d heldChange) bool { return d.number <= number })
}

// validate reports why a version may not follow what its source has delivered.
func (s *Set) validate(src *source, v Version, hosts []dispatch.Host) error {
	have, next := src.revision, v.Revision
	count := len(hosts)
	if !v.Whole {
		count = len(src.list)
		for i := range hosts {
			if _, ok := src.list[hosts[i].Name]; !ok {
				count++
			}
		}
	}
	expected := src.ExpectedEpoch == "" || src.ExpectedEpoch == next.Epoch
	switch {
	case count > s.settings.MaxHosts:
		return fmt.Errorf("%w: %d, at most %d can be taken", ErrTooManyHosts, count, s.settings.MaxHosts)
	case !v.Whole && !src.hasList:
		return ErrNoBaseList
	case !expected:
		return fmt.Errorf("%w: revision %v, only %s is expected", ErrForeignHistory, next, src.ExpectedEpoch)
	case next.Epoch != have.Epoch && have != (Revision{}):
		if !v.Whole || src.ExpectedEpoch == "" && !src.MayRenumber {
			return fmt.Errorf("%w: revision %v after %v", ErrForeignHistory, next, have)
		}
	case v.Whole && src.MayRenumber:
	case next.Number < have.Number:
		return fmt.Errorf("%w: %v after %v", ErrRevisionRegressed, next, have)
	case v.Whole && src.MayCorrect:
	case next.Number > 0 && next.Number == have.Number && src.hasList && differsFrom(src.list, v.Whole, hosts):
		return fmt.Errorf("%w, %v", ErrRevisionReused, next)
	}
	return nil
}

// differsFrom reports whether hosts differ from a list.
func differsFrom(list map[string]dispatch.Host, whole bool, hosts []dispatch.Host) bool {
	if whole && len(hosts) != len(list) {
		return true
	}
	for _, h := range hosts {
		if old, ok := list[h.Name]; ok != (h.Status != dispatch.Removed) || ok && old != h {
			return true
		}
	}
	return false
}

// usableHosts returns the hosts of a version. An entry that cannot be used is replaced by the source's previous
// entry for the host; if there is none, it is left out. unusable names both.
func (s *Set) usableHosts(src *source, v Version) (hosts []dispatch.Host, unusable []string) {
	hosts = make([]dispatch.Host, 0, len(v.Hosts))
	index := make(map[string]int, len(v.Hosts))
	for _, h := range v.Hosts {
		if !s.usable(&h) {
			unusable = append(unusable, h.Name)
			old, ok := src.list[h.Name]
			if !ok {
				continue
			}
			h = old
		}
		if at, ok := index[h.Name]; ok {
			hosts[at] = h
			continue
		}
		index[h.Name] = len(hosts)
		hosts = append(hosts, h)
	}
	if v.Whole {
		hosts = slices.DeleteFunc(hosts, func(h dispatch.Host) bool { return h.Status == dispatch.Removed })
	}
	return hosts, unusable
}

// effectiveChanges is called before a version is stored. It returns a function that is called afterwards and keeps
// only those touched hosts for which the version changes anything in the set. So held changes are not applied
// because a source other than the followed one repeats what is known.
func (s *Set) effectiveChanges(source int, whole bool, hosts []dispatch.Host) func(touched []string) []string {
	if s.lead < 0 || source == s.lead {
		return func(touched []string) []string { return touched }
	}
	type state struct {
		dispatch.Host
		listed bool
	}
	src, before := s.sources[source], map[string]state{}
	record := func(name string) {
		h, listed := s.target(name)
		before[name] = state{h, listed}
	}
	for i := range hosts {
		record(hosts[i].Name)
	}
	if whole {
		for name := range src.list {
			record(name)
		}
	}
	return func(touched []string) []string {
		return slices.DeleteFunc(touched, func(name string) bool {
			h, listed := s.target(name)
			now := s.hosts[name]
			return before[name] == state{h, listed} && !(now.Status == dispatch.Ready && src.departures[name].covers(now))
		})
	}
}

// updateSource stores hosts in a source's list and names those that are new or changed.
func (s *Set) updateSource(now float64, src *source, whole bool, hosts []dispatch.Host) (touched []string) {
	if whole {
		named := make(map[string]bool, len(hosts))
		for i := range hosts {
			named[hosts[i].Name] = true
		}
		for name := range src.list {
			if !named[name] {
				touched = append(touched, name)
			}
		}
		slices.Sort(touched)
		for _, name := range touched {
			s.removeHost(now, src, name)
		}
	}
	for _, h := range hosts {
		old, listed := src.list[h.Name]
		if listed && old == h || !listed && h.Status == dispatch.Removed {
			if _, held := s.held[h.Name]; held && !whole {
				touched = append(touched, h.Name) // a held change that is repeated in a version of its own
			}
			continue
		}
		touched = append(touched, h.Name)
		switch h.Status {
		case dispatch.Removed:
			s.removeHost(now, src, h.Name)
			continue
		case dispatch.Ready:
			src.recordServing(now, old, h)
		case dispatch.Draining:
			src.recordDrain(now, h.Name)
		}
		src.list[h.Name] = h
	}
	return touched
}

func (s *Set) removeHost(now float64, src *source, name string) {
	src.recordLeft(now, name, src.list[name].Address)
	d := src.departures[name]
	d.endedAt = now
	src.departures[name] = d
	delete(src.list, name)
	if len(src.departures) > 2*s.settings.MaxHosts {
		s.forgetEnded(src, now)
	}
}

func (src *source) recordDrain(now float64, name string) {
	if d := src.departures[name]; d.endedAt == 0 {
		d.endedAt = now
		src.departures[name] = d
	}
}

// recordLeft records that a host has left an address.
func (src *source) recordLeft(now float64, name, address string) {
	d := src.departures[name]
	d.leftAddresses = append(d.leftAddresses[max(0, len(d.leftAddresses)+1-maxLeftAddresses):len(d.leftAddresses):len(d.leftAddresses)], leftAddress{address, now})
	src.departures[name] = d
}

// recordServing records that a host serves, and that it has left its previous address.
func (src *source) recordServing(now float64, old, h dispatch.Host) {
	if old.Address != "" && old.Address != h.Address {
		src.recordLeft(now, h.Name, old.Address)
	}
	d, known := src.departures[h.Name]
	if !known {
		return
	}
	d.endedAt = 0
	d.leftAddresses = slices.DeleteFunc(slices.Clone(d.leftAddresses), func(p leftAddress) bool { return p.address == h.Address })
	src.departures[h.Name] = d
	if len(d.leftAddresses) == 0 {
		delete(src.departures, h.Name)
	}
}

// forgetEnded drops the departures of hosts that no source lists, up to a time.
func (s *Set) forgetEnded(src *source, before float64) {
	for name, d := range src.departures {
		listed := slices.ContainsFunc(s.sources, func(o *source) bool { _, ok := o.list[name]; return ok })
		if !listed && d.latest() <= before {
			delete(src.departures, name)
		}
	}
}

// fresh reports whether a source's list may be followed.
func (src *source) fresh(now float64) bool {
	return src.hasList && now-src.unreachableSince <= src.StaleAfter
}

// selectLead selects the source to follow and reports whether that has changed.
func (s *Set) selectLead(now float64) bool {
	lead := slices.IndexFunc(s.sources, func(src *source) bool { return src.fresh(now) })
	if lead < 0 && s.lead < 0 { // a stale list is better than none
		lead = slices.IndexFunc(s.sources, func(src *source) bool { return src.hasList })
	}
	if lead < 0 { // keep following the same source
		silent := func(src *source) bool { return now-src.unreachableSince > src.StaleAfter }
		if !s.stale && !slices.ContainsFunc(s.sources, func(src *source) bool { return !silent(src) }) {
			s.stale = true
			s.note(Note{Kind: AllStale, Source: s.name(s.lead), Age: s.age(now)})
		}
		return false
	}
	if s.stale {
		s.stale = false
		s.note(Note{Kind: Recovered, Source: s.name(lead)})
	}
	if lead == s.lead {
		return false
	}
	s.note(Note{Kind: SourceChanged, Source: s.name(lead), Other: s.name(s.lead), Revision: s.sources[lead].revision})
	s.lead = lead
	return true
}

func (s *Set) name(source int) string {
	if source < 0 {
		return ""
	}
	return s.sources[source].Name
}

// age returns for how long the followed source has been unreachable.
func (s *Set) age(now float64) float64 {
	if s.lead < 0 || math.IsInf(s.sources[s.lead].unreachableSince, 1) {
		return 0
	}
	return now - s.sources[s.lead].unreachableSince
}

// reconcile updates the set to what its sources say, as far as the guard allows. source is the one that reported,
// touched are the hosts that it changed.
func (s *Set) reconcile(now float64, source int, touched []string) {
	defer s.releaseHeld(now)
	free := s.sources[source].Unguarded
	if first := s.lead < 0; s.selectLead(now) {
		all := make([]string, 0, len(s.hosts))
		for name := range s.hosts {
			all = append(all, name)
		}
		for name := range s.sources[s.lead].list {
			if _, ok := s.hosts[name]; !ok {
				all = append(all, name)
			}
		}
		slices.Sort(all)
		s.applyOrHold(now, s.lead, all, first && free)
		if !free {
			return
		}
	}
	if len(touched) > 0 {
		s.applyOrHold(now, source, touched, free)
	}
}

// target returns the state that the set should have for a host, and whether the host should be listed.
func (s *Set) target(name string) (dispatch.Host, bool) {
	if s.lead < 0 {
		h, ok := s.hosts[name]
		return h, ok
	}
	h, ok := s.sources[s.lead].list[name]
	if ok && h.Status == dispatch.Ready {
		for _, src := range s.sources { // the followed source's own list is newer than the departures that it reported
			if src.departures[name].covers(h) {
				h.Status = dispatch.Draining
			}
		}
	}
	return h, ok
}

// delta counts how changes affect the serving hosts.
type delta struct{ drains, leaves, arrives int }

func (a *delta) add(b delta, times int) {
	a.drains += times * b.drains
	a.leaves += times * b.leaves
	a.arrives += times * b.arrives
}

// Compare returns how replacing one list by another affects the serving hosts.
func Compare(from, to []dispatch.Host) (c removalguard.Change) {
	var sum delta
	next := map[string]dispatch.Host{}
	for _, h := range to {
		next[h.Name] = h
	}
	for _, h := range from {
		if h.Status == dispatch.Ready {
			c.Serving++
		}
		want, ok := next[h.Name]
		sum.add(deltaOf(h, true, want, ok), 1)
		delete(next, h.Name)
	}
	for _, h := range next {
		sum.add(deltaOf(dispatch.Host{}, false, h, true), 1)
	}
	c.Drains, c.Leaves, c.Arrives = sum.drains, sum.leaves, sum.arrives
	return c
}

// pendingChange returns the effect of bringing a host to its target, and whether it differs from that.
func (s *Set) pendingChange(name string) (sh delta, differs bool) {
	have, listed := s.hosts[name]
	want, ok := s.target(name)
	if listed == ok && have == want {
		return sh, false
	}
	return deltaOf(have, listed, want, ok), true
}

// deltaOf returns the effect of changing a host from have, if listed, to want, if ok.
func deltaOf(have dispatch.Host, listed bool, want dispatch.Host, ok bool) (sh delta) {
	serves, will := listed && have.Status == dispatch.Ready, ok && want.Status == dispatch.Ready
	moves := listed && ok && have.Address != want.Address
	switch {
	case serves && (!will || moves) && ok && !moves:
		sh.drains = 1
	case serves && (!will || moves):
		sh.leaves = 1
	}
	if will && (!serves || moves) {
		sh.arrives = 1
	}
	return sh
}

// applyOrHold applies the targets of the touched hosts, or holds them if the guard says so.
func (s *Set) applyOrHold(now float64, source int, touched []string, free bool) {
	var sum delta
	for _, name := range touched {
		one, _ := s.pendingChange(name)
		sum.add(one, 1)
	}
	if v := s.verdict(now, sum); !free && v != removalguard.Accept {
		s.hold(now, source, touched, v == removalguard.BelowFloor)
		return
	}
	for _, name := range touched {
		s.applyTarget(now, name)
	}
	s.afterApply()
}

// releaseHeld applies all held changes once the guard accepts them: later versions may compensate for them, and
// earlier departures leave the guard's window.
func (s *Set) releaseHeld(now float64) {
	if len(s.held) == 0 || s.verdict(now, s.delta) != removalguard.Accept {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		s.applyTarget(now, name)
	}
	s.afterApply()
}

// verdict asks the guard. Without a list to judge by, any number of hosts may depart as long as enough serve.
func (s *Set) verdict(now float64, sh delta) removalguard.Verdict {
	v := s.guard.Evaluate(now, removalguard.Change{Serving: s.serving, Drains: sh.drains, Leaves: sh.leaves, Arrives: sh.arrives})
	if v == removalguard.Reread && !s.hasSourceList && now > s.baselineUntil {
		return removalguard.Accept
	}
	return v
}

// afterApply records that the list of a source has been applied, and cancels the re-read if nothing is held any
// more.
func (s *Set) afterApply() {
	if !s.hasSourceList {
		s.hasSourceList = true
		s.nextKind = dispatch.Full
	}
	if len(s.held) == 0 {
		if s.heldReported {
			s.heldReported = false
			s.note(Note{Kind: Resolved, Source: s.name(s.lead), Revision: s.sources[max(s.lead, 0)].revision})
		}
		s.nextReread, s.rereadPause = math.Inf(1), s.settings.RereadDelay
	}
}

// hold records the changes that are not applied.
func (s *Set) hold(now float64, source int, touched []string, floor bool) {
	src := s.sources[source]
	var departing []string
	since := s.holdStart(now, touched)
	for _, name := range touched {
		one, differs := s.pendingChange(name)
		old, before := s.held[name]
		s.delta.add(old.delta, -1)
		delete(s.held, name)
		if !differs {
			continue
		}
		d := heldChange{since: since, source: source, number: src.revision.Number, delta: one}
		if before && source != s.lead { // it stays part of the version that it was first held with
			d = heldChange{old.since, old.source, old.number, one}
		}
		s.held[name] = d
		s.delta.add(one, 1)
		if one.drains+one.leaves > 0 {
			departing = append(departing, name)
		}
	}
	s.nextReread, s.heldReported = min(s.nextReread, now+s.settings.RereadDelay), true
	s.note(Note{Kind: Held, Source: src.Name, Revision: src.revision, Count: len(departing), Serving: s.serving,
		Names: firstNames(departing), BelowFloor: floor})
}

// holdStart returns the time from which changes that are held together wait: now, unless all of them were held
// before. This way the changes of one version are admitted together.
func (s *Set) holdStart(now float64, touched []string) float64 {
	since := math.Inf(-1)
	for _, name := range touched {
		if _, differs := s.pendingChange(name); !differs {
			continue
		}
		d, held := s.held[name]
		if !held {
			return now
		}
		since = max(since, d.since)
	}
	return since
}

// applyTarget brings a host to its target.
func (s *Set) applyTarget(now float64, name string) {
	if d, ok := s.held[name]; ok {
		s.delta.add(d.delta, -1)
		delete(s.held, name)
	}
	sh, differs := s.pendingChange(name)
	if !differs {
		return
	}
	want, ok := s.target(name)
	if ok {
		s.put(want)
	} else {
		s.markChanged(name)
		if s.hosts[name].Status == dispatch.Ready {
			s.serving--
		}
		delete(s.hosts, name)
	}
	switch {
	case sh.drains+sh.leaves > 0:
		s.guard.RecordDeparture(now, name, sh.arrives > 0)
	case sh.arrives > 0:
		s.guard.RecordReturn(name)
	}
}

func (s *Set) put(h dispatch.Host) {
	s.markChanged(h.Name)
	old, listed := s.hosts[h.Name]
	if listed && old.Status == dispatch.Ready {
		s.serving--
	}
	if h.Status == dispatch.Ready {
		s.serving++
	}
	s.hosts[h.Name] = h
}

// markChanged records that the next Flush has to report a host.
func (s *Set) markChanged(name string) {
	if _, ok := s.changed[name]; !ok {
		h, listed := s.hosts[name]
		s.changed[name] = flushedHost{h, listed}
		s.changedOrder = append(s.changedOrder, name)
	}
}

// admitReread applies what has been held for the delay and is still listed after a re-read.
func (s *Set) admitReread(now float64, source int) {
	s.admitHeld(now, source, true, func(d heldChange) bool { return d.since <= now-s.settings.RereadDelay+timeTolerance })
}

// admitHeld applies held changes of a source. After a re-read, enough hosts must still serve.
func (s *Set) admitHeld(now float64, source int, byReread bool, which func(heldChange) bool) {
	var sum delta
	var list, departing []string
	for name, d := range s.held {
		if d.source == source && which(d) {
			list = append(list, name)
			sum.add(d.delta, 1)
			if d.drains+d.leaves > 0 {
				departing = append(departing, name)
			}
		}
	}
	if len(list) == 0 || byReread && s.verdict(now, sum) == removalguard.BelowFloor {
		return
	}
	slices.Sort(list)
	src, serving := s.sources[source], s.serving
	for _, name := range list {
		s.applyTarget(now, name)
	}
	s.heldReported = s.heldReported && len(s.held) > 0
	s.afterApply()
	slices.Sort(departing)
	s.note(Note{Kind: Admitted, Source: src.Name, Revision: src.revision, Count: len(departing), Serving: serving,
		Names: firstNames(departing), Reread: byReread})
}

// Tick does what is due by now and returns the sources that have to be read again to confirm held changes.
func (s *Set) Tick(now float64) (reread []int) {
	s.lastCall = now
	if source := max(s.lead, 0); !s.sources[source].fresh(now) {
		s.reconcile(now, source, nil)
	}
	if now >= s.nextReread && len(s.held) > 0 {
		s.nextReread = now + s.rereadPause
		s.rereadPause = min(2*s.rereadPause, maxRereadPause)
		for _, d := range s.held {
			if d.since <= now-s.settings.RereadDelay+timeTolerance && !slices.Contains(reread, d.source) {
				reread = append(reread, d.source)
			}
		}
		slices.Sort(reread)
	}
	if now >= s.nextSweep && len(s.sources) > 1 {
		s.nextSweep = now + sweepInterval
		for _, src := range s.sources {
			s.forgetEnded(src, now-endedRetention)
		}
		s.compareSources(now)
	}
	return reread
}

// NextTick returns when Tick has something to do; +Inf = never.
func (s *Set) NextTick() float64 {
	next := s.nextReread
	if len(s.sources) > 1 {
		next = min(next, s.nextSweep)
	}
	for _, src := range s.sources {
		// One step after the last time at which the source's list still counts.
		if end := math.Nextafter(src.unreachableSince+src.StaleAfter, math.Inf(1)); end > s.lastCall {
			next = min(next, end)
		}
	}
	return next
}

// Flush returns what has changed since the last call, in the form that the dispatcher takes; false if nothing has.
// It reports the current state: a host that came and left in between does not appear.
func (s *Set) Flush() (kind dispatch.ListKind, list []dispatch.Host, ok bool) {
	kind = s.nextKind
	if kind == dispatch.Delta && len(s.changedOrder) == 0 || kind == dispatch.Full && !s.hasSourceList {
		return kind, nil, false
	}
	if kind == dispatch.Delta {
		for _, name := range s.changedOrder {
			old := s.changed[name]
			if h, now := s.hosts[name]; now {
				list = append(list, h)
			} else if old.listed {
				old.Status = dispatch.Removed
				list = append(list, old.Host)
			}
		}
	} else {
		list = s.Hosts()
	}
	s.nextKind, s.changedOrder = dispatch.Delta, s.changedOrder[:0]
	clear(s.changed)
	return kind, list, len(list) > 0 || kind != dispatch.Delta
}

// Hosts returns the whole list, sorted by name.
func (s *Set) Hosts() []dispatch.Host {
	list := make([]dispatch.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b dispatch.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}
