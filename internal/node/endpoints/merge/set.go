// Package merge holds the one list of hosts that a node works with, made of what several sources say.
//
// Each source gives versions: its whole list, or what changed, with a revision. The list follows the source that stands
// first in the order of trust among those that have given one and are not away for too long. From the others comes one
// thing: a host that any source has told to drain, to leave, or to leave an address, does not serve there until that source
// takes it back or the host has started anew, for what was told cannot be untold by silence, nor by somebody else.
//
// What would have too many hosts depart is held by the guard and has not been told. What comes after it is judged by
// itself, so that a held version does not hold up those that follow, and what is held is judged anew each time.
//
// The package is pure: no I/O, no goroutine, no lock, no clock. Time is in milliseconds; the same calls give the same
// results. State: each source's list and the hosts that it has ended in the last ten minutes; the set's list, what of it
// is held and what was not handed on yet. A list of more than Settings.Most hosts is refused, and twice as many hosts are
// remembered as ended.
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

// Times that nobody sets, in milliseconds.
const (
	rememberFor = 600e3 // hosts that a source has ended, though no other lists them
	sweepEvery  = 10e3  // between two looks for those, and two comparisons of the sources
	longestLook = 600e3 // between two looks at what is held
	mostPlaces  = 8     // addresses of one host that a source has ended
	rounding    = 0.01  // of a time since 1970
)

// Settings say what a set is made of.
type Settings struct {
	Sources      []Source // in the order of trust
	Guard        removalguard.Settings
	Wait         float64  // before a second look, milliseconds
	Most         int      // hosts in a list
	Zones, Kinds []string // that there are
}

// Source is how one source is taken.
type Source struct {
	Name   string
	Keep   float64 // milliseconds for which its last word counts while it is away
	Free   bool    // the guard does not hold what it says: by the platform's rules that has been told already
	Anew   bool    // its numbers may begin anew with a whole list
	Mends  bool    // a whole list at the same number may differ: something had been missed
	Expect string  // the only epoch that is taken; empty = that of the first version
}

// Revision is a place in a source's history.
type Revision struct {
	Epoch  string // whose numbering it is: numbers of two epochs tell nothing of each other
	Number uint64 // 0 = none was given
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

// Version is what a source says.
type Version struct {
	Revision Revision
	Whole    bool            // Hosts is every host; else those that changed
	Hosts    []dispatch.Host // one that is pilot.Gone has left; of two with one name the last counts
	Look     bool            // it was read anew because a second look was asked for
	Meant    bool            // who writes it confirms what the guard would hold
	Away     float64         // since when the source has had no word itself; 0 = it has; below 0 = there is more to come
}

// What Take refuses for good, wrapped.
var (
	ErrHistory = errors.New("another history")
	ErrBack    = errors.New("the revision went back")
	ErrSame    = errors.New("other hosts at the same revision")
	ErrMany    = errors.New("too many hosts")
	ErrChanges = errors.New("changes of a list that never came")
)

// source is what one source has said.
type source struct {
	Source
	list     map[string]dispatch.Host
	departed map[string]departure // of hosts that it has told to drain or to leave, or from an address
	revision Revision
	known    bool    // it has given a whole list
	heard    float64 // when it spoke last
	away     float64 // since when it is; +Inf = it is there
	differed int     // hosts at the last comparison with the lead
	differs  bool    // that was told
}

// departure is a host's, as a source has told it.
type departure struct {
	at   float64 // when it drained or left; 0 = it is there
	left []place // addresses that it is not at any more, the last mostPlaces of them
}

type place struct {
	address string
	at      float64 // when it was told to have left
}

// counts tells whether a host that somebody else lists has departed.
func (d departure) counts(h dispatch.Host) bool {
	return d.at > 0 && h.Since <= d.at ||
		slices.ContainsFunc(d.left, func(p place) bool { return p.address == h.Address && h.Since <= p.at })
}

// last is when something of it was told last.
func (d departure) last() float64 {
	at := d.at
	for _, p := range d.left {
		at = max(at, p.at)
	}
	return at
}

// dispute is a host that the set does not have as it should.
type dispute struct {
	since  float64
	source int
	number uint64 // of the version that was held
	shift
}

// Set is the list.
type Set struct {
	set     Settings
	zones   map[string]bool
	kinds   map[string]bool
	sources []*source
	lead    int // the source that the list follows; -1 = none yet
	aged    bool

	hosts    map[string]dispatch.Host
	serving  int
	guard    *removalguard.Guard
	baseTill float64 // until when the list from before is one to judge by
	based    bool    // there is a later one

	held  map[string]dispute
	shift shift             // of all that is held
	look  float64           // when the next second look is due; +Inf = never
	pause float64           // from there to the one after it
	open  bool              // it was told that something is held, and not yet that nothing is
	now   float64           // when something was told last
	sweep float64           // when the next sweep is due
	kind  dispatch.ListKind // of the next step
	dirty map[string]had    // what changed since the last one,
	order []string          // in this order
	notes []Note
}

// had is what the last step said of a host.
type had struct {
	dispatch.Host
	listed bool
}

// New makes a set that has no list yet.
func New(set Settings) (*Set, error) {
	s := &Set{set: set, zones: names(set.Zones), kinds: names(set.Kinds), lead: -1, hosts: map[string]dispatch.Host{},
		held: map[string]dispute{}, look: math.Inf(1), pause: set.Wait, kind: dispatch.Full,
		dirty: map[string]had{}}
	var err error
	if s.guard, err = removalguard.New(set.Guard); err != nil {
		return nil, err
	}
	switch {
	case len(set.Sources) == 0:
		return nil, errors.New("set: no source")
	case !(set.Wait > 0):
		return nil, fmt.Errorf("set: wait %v is not above 0", set.Wait)
	case set.Most < 1:
		return nil, fmt.Errorf("set: most %d is below 1", set.Most)
	}
	for _, one := range set.Sources {
		if !(one.Keep >= 0) {
			return nil, fmt.Errorf("set: keep %v of %s is below 0", one.Keep, one.Name)
		}
		s.sources = append(s.sources, &source{Source: one, list: map[string]dispatch.Host{}, away: math.Inf(1),
			departed: map[string]departure{}})
	}
	return s, nil
}

func names(list []string) map[string]bool {
	m := map[string]bool{}
	for _, name := range list {
		m[name] = true
	}
	return m
}

// Tune changes what may change while a node runs: the guard, the wait, and of each source Keep, Free and Expect. An
// epoch that is expected is a way from one history to another: the first whole list of it is taken as a new beginning.
func (s *Set) Tune(g removalguard.Settings, wait float64, sources []Source) {
	s.guard.Set(g)
	s.set.Wait = wait
	for i, to := range sources {
		of := s.sources[i]
		of.Keep, of.Free, of.Expect = to.Keep, to.Free, to.Expect
	}
}

// Start gives the set a list from before, in place of another such, while no source has given one. Departures are judged
// by it until a time; a first version after that counts whatever it does. Revisions, in the order of the sources, are what
// these had come to: nothing older is taken.
func (s *Set) Start(hosts []dispatch.Host, fresh float64, revisions []Revision) {
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
	s.kind, s.baseTill = dispatch.Stored, fresh
}

func (s *Set) usable(h *dispatch.Host) bool {
	return h.Name != "" && (h.Status == dispatch.Removed || h.Status < dispatch.Removed && s.zones[h.Zone] && s.kinds[h.Kind])
}

// Take takes a version. One that is refused for good has changed nothing.
func (s *Set) Take(now float64, of int, v Version) error {
	s.now = now
	src := s.sources[of]
	hosts, odd := s.usables(src, v)
	if err := s.check(src, v, hosts); err != nil {
		return err
	}
	if len(odd) > 0 {
		s.note(Note{Kind: Unusable, Source: src.Name, Revision: v.Revision, Count: len(odd), Names: some(odd)})
	}
	matters := s.matters(of, v.Whole, hosts)
	touched := matters(s.heed(now, src, v.Whole, hosts))
	src.revision, src.known = v.Revision, true
	s.stay(now, src, v.Away)
	s.follow(now, of, touched)
	if v.Look {
		s.looked(now, of)
	}
	if v.Meant {
		s.Confirm(now, of, math.MaxUint64)
	}
	return nil
}

// Present tells that a source has nothing new to say. It may have had no word itself since a time; 0 = it has.
func (s *Set) Present(now float64, of int, away float64) {
	s.now = now
	s.stay(now, s.sources[of], away)
	s.follow(now, of, nil)
}

func (s *Set) stay(now float64, src *source, away float64) {
	src.heard = now
	if away > 0 {
		src.away = min(src.away, away)
	} else if away == 0 {
		src.away = math.Inf(1)
	}
}

// Away tells that a source cannot be asked since a time.
func (s *Set) Away(now float64, of int, since float64) {
	s.now = now
	s.sources[of].away = min(s.sources[of].away, since)
	s.follow(now, of, nil)
}

// Confirm tells that who writes to a source means what was held up to a number.
func (s *Set) Confirm(now float64, of int, number uint64) {
	s.admit(now, of, false, func(d dispute) bool { return d.number <= number })
}

// check tells whether a version may follow what its source has said.
func (s *Set) check(src *source, v Version, hosts []dispatch.Host) error {
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
	expected := src.Expect == "" || src.Expect == next.Epoch
	switch {
	case count > s.set.Most:
		return fmt.Errorf("%w: %d, at most %d can be taken", ErrMany, count, s.set.Most)
	case !v.Whole && !src.known:
		return ErrChanges
	case !expected:
		return fmt.Errorf("%w: revision %v, only %s is expected", ErrHistory, next, src.Expect)
	case next.Epoch != have.Epoch && have != (Revision{}):
		if !v.Whole || src.Expect == "" && !src.Anew {
			return fmt.Errorf("%w: revision %v after %v", ErrHistory, next, have)
		}
	case v.Whole && src.Anew:
	case next.Number < have.Number:
		return fmt.Errorf("%w: %v after %v", ErrBack, next, have)
	case v.Whole && src.Mends:
	case next.Number > 0 && next.Number == have.Number && src.known && differs(src.list, v.Whole, hosts):
		return fmt.Errorf("%w, %v", ErrSame, next)
	}
	return nil
}

// differs tells whether hosts say anything else than a list.
func differs(list map[string]dispatch.Host, whole bool, hosts []dispatch.Host) bool {
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

// usables gives a version's hosts. An entry that cannot be used stands for what the source said of the host before; if
// that is nothing it is left out. odd names both.
func (s *Set) usables(src *source, v Version) (hosts []dispatch.Host, odd []string) {
	hosts = make([]dispatch.Host, 0, len(v.Hosts))
	place := make(map[string]int, len(v.Hosts))
	for _, h := range v.Hosts {
		if !s.usable(&h) {
			odd = append(odd, h.Name)
			old, ok := src.list[h.Name]
			if !ok {
				continue
			}
			h = old
		}
		if at, ok := place[h.Name]; ok {
			hosts[at] = h
			continue
		}
		place[h.Name] = len(hosts)
		hosts = append(hosts, h)
	}
	if v.Whole {
		hosts = slices.DeleteFunc(hosts, func(h dispatch.Host) bool { return h.Status == dispatch.Removed })
	}
	return hosts, odd
}

// matters gives what picks, once a version was heeded, the hosts for which it changes anything in the set. What is held is
// not let go because another source than the one that is followed says again what is known.
func (s *Set) matters(of int, whole bool, hosts []dispatch.Host) func(touched []string) []string {
	if s.lead < 0 || of == s.lead {
		return func(touched []string) []string { return touched }
	}
	type want struct {
		dispatch.Host
		listed bool
	}
	src, before := s.sources[of], map[string]want{}
	note := func(name string) {
		h, listed := s.target(name)
		before[name] = want{h, listed}
	}
	for i := range hosts {
		note(hosts[i].Name)
	}
	if whole {
		for name := range src.list {
			note(name)
		}
	}
	return func(touched []string) []string {
		return slices.DeleteFunc(touched, func(name string) bool {
			h, listed := s.target(name)
			now := s.hosts[name]
			return before[name] == want{h, listed} && !(now.Status == dispatch.Ready && src.departed[name].counts(now))
		})
	}
}

// heed takes hosts into a source's list and names those that are new or changed.
func (s *Set) heed(now float64, src *source, whole bool, hosts []dispatch.Host) (touched []string) {
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
			s.end(now, src, name)
		}
	}
	for _, h := range hosts {
		old, listed := src.list[h.Name]
		if listed && old == h || !listed && h.Status == dispatch.Removed {
			if _, held := s.held[h.Name]; held && !whole {
				touched = append(touched, h.Name) // said again, and by itself
			}
			continue
		}
		touched = append(touched, h.Name)
		switch h.Status {
		case dispatch.Removed:
			s.end(now, src, h.Name)
			continue
		case dispatch.Ready:
			src.arrive(now, old, h)
		case dispatch.Draining:
			src.depart(now, h.Name)
		}
		src.list[h.Name] = h
	}
	return touched
}

func (s *Set) end(now float64, src *source, name string) {
	src.leave(now, name, src.list[name].Address)
	d := src.departed[name]
	d.at = now
	src.departed[name] = d
	delete(src.list, name)
	if len(src.departed) > 2*s.set.Most {
		s.forget(src, now)
	}
}

func (src *source) depart(now float64, name string) {
	if d := src.departed[name]; d.at == 0 {
		d.at = now
		src.departed[name] = d
	}
}

// leave notes that a host is not at an address any more.
func (src *source) leave(now float64, name, address string) {
	d := src.departed[name]
	d.left = append(d.left[max(0, len(d.left)+1-mostPlaces):len(d.left):len(d.left)], place{address, now})
	src.departed[name] = d
}

// arrive notes that a host serves, and that it is not where it was.
func (src *source) arrive(now float64, old, h dispatch.Host) {
	if old.Address != "" && old.Address != h.Address {
		src.leave(now, h.Name, old.Address)
	}
	d, known := src.departed[h.Name]
	if !known {
		return
	}
	d.at = 0
	d.left = slices.DeleteFunc(slices.Clone(d.left), func(p place) bool { return p.address == h.Address })
	src.departed[h.Name] = d
	if len(d.left) == 0 {
		delete(src.departed, h.Name)
	}
}

// forget drops what a source said of hosts that nobody lists, as of a time.
func (s *Set) forget(src *source, before float64) {
	for name, d := range src.departed {
		listed := slices.ContainsFunc(s.sources, func(o *source) bool { _, ok := o.list[name]; return ok })
		if !listed && d.last() <= before {
			delete(src.departed, name)
		}
	}
}

// counts tells whether a source's list may be followed.
func (src *source) counts(now float64) bool { return src.known && now-src.away <= src.Keep }

// choose finds the source to follow and tells whether that is another one.
func (s *Set) choose(now float64) bool {
	lead := slices.IndexFunc(s.sources, func(src *source) bool { return src.counts(now) })
	if lead < 0 && s.lead < 0 { // an old list is better than none
		lead = slices.IndexFunc(s.sources, func(src *source) bool { return src.known })
	}
	if lead < 0 { // who was followed last is followed on
		silent := func(src *source) bool { return now-src.away > src.Keep }
		if !s.aged && !slices.ContainsFunc(s.sources, func(src *source) bool { return !silent(src) }) {
			s.aged = true
			s.note(Note{Kind: Aged, Source: s.name(s.lead), Age: s.age(now)})
		}
		return false
	}
	if s.aged {
		s.aged = false
		s.note(Note{Kind: Fresh, Source: s.name(lead)})
	}
	if lead == s.lead {
		return false
	}
	s.note(Note{Kind: Lead, Source: s.name(lead), Other: s.name(s.lead), Revision: s.sources[lead].revision})
	s.lead = lead
	return true
}

func (s *Set) name(source int) string {
	if source < 0 {
		return ""
	}
	return s.sources[source].Name
}

// age is for how long there has been no word of the source that is followed.
func (s *Set) age(now float64) float64 {
	if s.lead < 0 || math.IsInf(s.sources[s.lead].away, 1) {
		return 0
	}
	return now - s.sources[s.lead].away
}

// follow brings the set to what its sources say, as far as the guard lets it. of is who spoke, touched what it changed.
func (s *Set) follow(now float64, of int, touched []string) {
	defer s.reconsider(now)
	free := s.sources[of].Free
	if first := s.lead < 0; s.choose(now) {
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
		s.judge(now, s.lead, all, first && free)
		if !free {
			return
		}
	}
	if len(touched) > 0 {
		s.judge(now, of, touched, free)
	}
}

// target is what the set should have of a host, and whether it should have it at all.
func (s *Set) target(name string) (dispatch.Host, bool) {
	if s.lead < 0 {
		h, ok := s.hosts[name]
		return h, ok
	}
	h, ok := s.sources[s.lead].list[name]
	if ok && h.Status == dispatch.Ready {
		for _, src := range s.sources { // of what the lead has told itself, the list is the newer word
			if src.departed[name].counts(h) {
				h.Status = dispatch.Draining
			}
		}
	}
	return h, ok
}

// shift is what hosts that change do to those that serve.
type shift struct{ drains, leaves, arrives int }

func (a *shift) add(b shift, times int) {
	a.drains += times * b.drains
	a.leaves += times * b.leaves
	a.arrives += times * b.arrives
}

// Compare counts what it would do to the hosts that serve if one list were followed by another.
func Compare(from, to []dispatch.Host) (c removalguard.Change) {
	var sum shift
	next := map[string]dispatch.Host{}
	for _, h := range to {
		next[h.Name] = h
	}
	for _, h := range from {
		if h.Status == dispatch.Ready {
			c.Serving++
		}
		want, ok := next[h.Name]
		sum.add(step(h, true, want, ok), 1)
		delete(next, h.Name)
	}
	for _, h := range next {
		sum.add(step(dispatch.Host{}, false, h, true), 1)
	}
	c.Drains, c.Leaves, c.Arrives = sum.drains, sum.leaves, sum.arrives
	return c
}

// change tells whether a host is not as it should be, and what it would do.
func (s *Set) change(name string) (sh shift, differs bool) {
	have, listed := s.hosts[name]
	want, ok := s.target(name)
	if listed == ok && have == want {
		return sh, false
	}
	return step(have, listed, want, ok), true
}

// step is what it does if a host, where it is listed, is as it should be, where it should be listed.
func step(have dispatch.Host, listed bool, want dispatch.Host, ok bool) (sh shift) {
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

// judge takes what touched hosts should be, or holds it.
func (s *Set) judge(now float64, of int, touched []string, free bool) {
	var sum shift
	for _, name := range touched {
		one, _ := s.change(name)
		sum.add(one, 1)
	}
	if v := s.verdict(now, sum); !free && v != removalguard.Accept {
		s.hold(now, of, touched, v == removalguard.BelowFloor)
		return
	}
	for _, name := range touched {
		s.apply(now, name)
	}
	s.settled()
}

// reconsider takes what is held once the guard would take it: what came since may make up for it, and departures leave
// the window.
func (s *Set) reconsider(now float64) {
	if len(s.held) == 0 || s.verdict(now, s.shift) != removalguard.Accept {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		s.apply(now, name)
	}
	s.settled()
}

// verdict asks the guard. Without a list to judge by, all may depart, but some must serve.
func (s *Set) verdict(now float64, sh shift) removalguard.Verdict {
	v := s.guard.Evaluate(now, removalguard.Change{Serving: s.serving, Drains: sh.drains, Leaves: sh.leaves, Arrives: sh.arrives})
	if v == removalguard.Reread && !s.based && now > s.baseTill {
		return removalguard.Accept
	}
	return v
}

// settled notes that there is a list of a source, and ends the wait for a second look where nothing is held any more.
func (s *Set) settled() {
	if !s.based {
		s.based = true
		s.kind = dispatch.Full
	}
	if len(s.held) == 0 {
		if s.open {
			s.open = false
			s.note(Note{Kind: Resolved, Source: s.name(s.lead), Revision: s.sources[max(s.lead, 0)].revision})
		}
		s.look, s.pause = math.Inf(1), s.set.Wait
	}
}

// hold notes what is not taken.
func (s *Set) hold(now float64, of int, touched []string, floor bool) {
	src := s.sources[of]
	var departs []string
	since := s.since(now, touched)
	for _, name := range touched {
		one, differs := s.change(name)
		old, before := s.held[name]
		s.shift.add(old.shift, -1)
		delete(s.held, name)
		if !differs {
			continue
		}
		d := dispute{since: since, source: of, number: src.revision.Number, shift: one}
		if before && of != s.lead { // it goes on belonging to the version that it was held with
			d = dispute{old.since, old.source, old.number, one}
		}
		s.held[name] = d
		s.shift.add(one, 1)
		if one.drains+one.leaves > 0 {
			departs = append(departs, name)
		}
	}
	s.look, s.open = min(s.look, now+s.set.Wait), true
	s.note(Note{Kind: Held, Source: src.Name, Revision: src.revision, Count: len(departs), Serving: s.serving,
		Names: some(departs), Floor: floor})
}

// since is when the wait of hosts that are held together has begun: now, unless all of them were held before. So what is
// of one version is admitted together.
func (s *Set) since(now float64, touched []string) float64 {
	since := math.Inf(-1)
	for _, name := range touched {
		if _, differs := s.change(name); !differs {
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

// apply makes a host what it should be.
func (s *Set) apply(now float64, name string) {
	if d, ok := s.held[name]; ok {
		s.shift.add(d.shift, -1)
		delete(s.held, name)
	}
	sh, differs := s.change(name)
	if !differs {
		return
	}
	want, ok := s.target(name)
	if ok {
		s.put(want)
	} else {
		s.mark(name)
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
	s.mark(h.Name)
	old, listed := s.hosts[h.Name]
	if listed && old.Status == dispatch.Ready {
		s.serving--
	}
	if h.Status == dispatch.Ready {
		s.serving++
	}
	s.hosts[h.Name] = h
}

// mark notes that the next step has to tell of a host.
func (s *Set) mark(name string) {
	if _, ok := s.dirty[name]; !ok {
		h, listed := s.hosts[name]
		s.dirty[name] = had{h, listed}
		s.order = append(s.order, name)
	}
}

// looked admits what has been held for the wait and stands in a list that was read anew.
func (s *Set) looked(now float64, of int) {
	s.admit(now, of, true, func(d dispute) bool { return d.since <= now-s.set.Wait+rounding })
}

// admit takes what is held of a source. After a second look some must still serve.
func (s *Set) admit(now float64, of int, looked bool, which func(dispute) bool) {
	var sum shift
	var list, departs []string
	for name, d := range s.held {
		if d.source == of && which(d) {
			list = append(list, name)
			sum.add(d.shift, 1)
			if d.drains+d.leaves > 0 {
				departs = append(departs, name)
			}
		}
	}
	if len(list) == 0 || looked && s.verdict(now, sum) == removalguard.BelowFloor {
		return
	}
	slices.Sort(list)
	src, serving := s.sources[of], s.serving
	for _, name := range list {
		s.apply(now, name)
	}
	s.open = s.open && len(s.held) > 0
	s.settled()
	slices.Sort(departs)
	s.note(Note{Kind: Admitted, Source: src.Name, Revision: src.revision, Count: len(departs), Serving: serving,
		Names: some(departs), Looked: looked})
}

// Due does what is due by now and names the sources that are to be read anew for a second look.
func (s *Set) Due(now float64) (look []int) {
	s.now = now
	if of := max(s.lead, 0); !s.sources[of].counts(now) {
		s.follow(now, of, nil)
	}
	if now >= s.look && len(s.held) > 0 {
		s.look = now + s.pause
		s.pause = min(2*s.pause, longestLook)
		for _, d := range s.held {
			if d.since <= now-s.set.Wait+rounding && !slices.Contains(look, d.source) {
				look = append(look, d.source)
			}
		}
		slices.Sort(look)
	}
	if now >= s.sweep && len(s.sources) > 1 {
		s.sweep = now + sweepEvery
		for _, src := range s.sources {
			s.forget(src, now-rememberFor)
		}
		s.compare(now)
	}
	return look
}

// Next is when Due has something to do; +Inf = never.
func (s *Set) Next() float64 {
	next := s.look
	if len(s.sources) > 1 {
		next = min(next, s.sweep)
	}
	for _, src := range s.sources {
		// The last moment at which its word counts is followed by the one at which it does not.
		if end := math.Nextafter(src.away+src.Keep, math.Inf(1)); end > s.now {
			next = min(next, end)
		}
	}
	return next
}

// Step gives what has changed since the last one, as the pilot takes it; false if nothing has. A step is the set as it
// is now: what came and went in between does not show.
func (s *Set) Step() (kind dispatch.ListKind, list []dispatch.Host, ok bool) {
	kind = s.kind
	if kind == dispatch.Delta && len(s.order) == 0 || kind == dispatch.Full && !s.based {
		return kind, nil, false
	}
	if kind == dispatch.Delta {
		for _, name := range s.order {
			old := s.dirty[name]
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
	s.kind, s.order = dispatch.Delta, s.order[:0]
	clear(s.dirty)
	return kind, list, len(list) > 0 || kind != dispatch.Delta
}

// Hosts is the whole list, by name.
func (s *Set) Hosts() []dispatch.Host {
	list := make([]dispatch.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b dispatch.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}
