package merge

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
)

// The histories are the same ones each time, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const epoch = 1.7e12

var half = removalguard.Settings{Share: 0.5, Window: 30e3, Floor: 1}

func host(name string, status dispatch.Status) dispatch.Host {
	return dispatch.Host{Name: name, Address: name + ":1", Zone: "z", Kind: "k", Status: status}
}

func newSet(t require.TestingT, g removalguard.Settings, sources ...Source) *Set {
	s, err := New(Settings{Sources: sources, Guard: g, Wait: 1000, Most: 100, Zones: []string{"z"}, Kinds: []string{"k"}})
	require.NoError(t, err)
	return s
}

func letters(n int) (list []dispatch.Host) {
	for i := range n {
		list = append(list, host(string(rune('a'+i)), dispatch.Ready))
	}
	return list
}

func at(n uint64) Revision { return Revision{Number: n} }

// pilotLike takes steps as the pilot does.
type pilotLike map[string]dispatch.Host

func (p pilotLike) step(s *Set) {
	kind, list, ok := s.Step()
	if ok && kind != dispatch.Delta {
		clear(p)
	}
	for _, h := range list {
		if p[h.Name] = h; h.Status == dispatch.Removed {
			delete(p, h.Name)
		}
	}
}

// shiftOf works out anew what the guard is asked.
func shiftOf(have, want map[string]dispatch.Host) (c removalguard.Change, same bool) {
	c.Serving = ready(have)
	for name, h := range have {
		next, ok := want[name]
		stays := ok && next.Address == h.Address
		switch {
		case h.Status != dispatch.Ready || stays && next.Status == dispatch.Ready:
		case stays:
			c.Drains++
		default:
			c.Leaves++
		}
	}
	for name, h := range want {
		if old := have[name]; h.Status == dispatch.Ready && !(old.Address == h.Address && old.Status == dispatch.Ready) {
			c.Arrives++
		}
	}
	return c, maps.Equal(have, want)
}

func ready(hosts map[string]dispatch.Host) (n int) {
	for _, h := range hosts {
		if h.Status == dispatch.Ready {
			n++
		}
	}
	return n
}

// Guards, over random histories of one source, against: a step that leaves something out; a version taken in part; more
// departures at once than the guard allows; a drain of one host that is held back; a held version that is never taken
// though it stands, or is taken though it would leave nobody; a refused version that changes something.
func TestHistoriesOfOneSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(t, half, Source{Name: "a", Keep: 1e6})
		now, number, pilots := epoch, uint64(1), pilotLike{}
		said := map[string]dispatch.Host{}
		// The pair is always told together: who serves changes hands in one version.
		pair := func(first bool) []dispatch.Host {
			status := [2]dispatch.Status{dispatch.Ready, dispatch.Draining}
			if !first {
				status = [2]dispatch.Status{dispatch.Draining, dispatch.Ready}
			}
			return []dispatch.Host{host("one", status[0]), host("two", status[1])}
		}
		tell := func(v Version) {
			if v.Whole {
				clear(said)
			}
			for _, h := range v.Hosts {
				if said[h.Name] = h; h.Status == dispatch.Removed {
					delete(said, h.Name)
				}
			}
			require.NoError(t, s.Take(now, 0, v))
		}
		tell(Version{Revision: at(number), Whole: true, Hosts: append(letters(6), pair(true)...)})
		pilots.step(s)
		for range rapid.IntRange(1, 40).Draw(t, "versions") {
			now += rapid.Float64Range(0, 20e3).Draw(t, "ms")
			var list []dispatch.Host
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(letters(9)), 0, 8, rapid.ID[dispatch.Host]).Draw(t, "hosts") {
				name.Status = rapid.SampledFrom([]dispatch.Status{dispatch.Ready, dispatch.Ready, dispatch.Draining, dispatch.Removed}).Draw(t, "status")
				name.Address = rapid.SampledFrom([]string{"x:1", name.Address}).Draw(t, "address")
				list = append(list, name)
			}
			if rapid.Bool().Draw(t, "swap") {
				list = append(list, pair(rapid.Bool().Draw(t, "first"))...)
			}
			number++
			v := Version{Revision: at(number), Whole: rapid.IntRange(0, 3).Draw(t, "whole") == 0, Hosts: list}
			if v.Whole {
				v.Hosts = append(v.Hosts, pair(rapid.Bool().Draw(t, "first"))...)
				v.Hosts = slices.DeleteFunc(v.Hosts, func(h dispatch.Host) bool { return h.Status == dispatch.Removed })
			}
			bad := Version{Revision: at(number - 2), Hosts: list}
			require.ErrorIs(t, s.Take(now, 0, bad), ErrBack)
			before := maps.Clone(s.hosts)
			tell(v)
			c, _ := shiftOf(before, s.hosts)
			if c.Leaves > 0 || c.Drains > 2 {
				// One of the version and one that was held may drain, as the only one that does.
				most := max(1, float64(s.guard.Base(now, s.serving))/2) + float64(min(c.Drains, 2))
				require.LessOrEqual(t, float64(s.guard.Departed(now)), most, "too many departed at once")
				require.NotZero(t, ready(s.hosts))
			}
			if len(v.Hosts) == 1 && !v.Whole && v.Hosts[0].Status == dispatch.Draining && before[v.Hosts[0].Name].Address == v.Hosts[0].Address {
				require.Equal(t, dispatch.Draining, s.hosts[v.Hosts[0].Name].Status, "a single drain was held back")
			}
			if c, same := shiftOf(s.hosts, said); len(s.held) == 0 {
				require.True(t, same)
			} else {
				require.NotEqual(t, removalguard.Accept, s.guard.Evaluate(now, c), "held for nothing")
			}
			require.Equal(t, dispatch.Ready+dispatch.Draining, s.hosts["one"].Status+s.hosts["two"].Status, "half a version")
			require.Equal(t, ready(s.hosts), s.serving)
			pilots.step(s)
			require.Equal(t, s.hosts, map[string]dispatch.Host(pilots))
		}
		now += 1001
		if look := s.Due(now); len(s.held) > 0 {
			require.Equal(t, []int{0}, look)
			tell(Version{Revision: at(number), Whole: true, Hosts: slices.Collect(maps.Values(said)), Look: true})
			if ready(said) > 0 {
				require.Equal(t, said, s.hosts, "what stood for the wait and when read anew")
			}
			tell(Version{Revision: at(number), Meant: true})
		}
		require.Equal(t, said, s.hosts)
		require.Zero(t, s.shift, "nothing is held")
		require.True(t, math.IsInf(s.Next(), 1))
	})
}

// Guards, over random words of three sources, against a list that does not follow the first whose word counts, against
// entries of another, and against a host that serves though a source has told that it departs. The model keeps all that
// was said and works the list out anew each time.
func TestHistoriesOfSeveralSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := []float64{3000, 1000, 2000}
		s := newSet(t, removalguard.Settings{Share: 1}, Source{Name: "a", Keep: keep[0]}, Source{Name: "b", Keep: keep[1]}, Source{Name: "c", Keep: keep[2]})
		now, lead := epoch, -1
		var lists [3]map[string]dispatch.Host
		var left [3]map[string]float64
		var away [3]float64
		for i := range left {
			left[i], away[i] = map[string]float64{}, math.Inf(1)
		}
		for n := range rapid.IntRange(1, 50).Draw(t, "words") {
			now += 500 * float64(rapid.IntRange(0, 3).Draw(t, "half seconds"))
			of := rapid.IntRange(0, 2).Draw(t, "source")
			switch what := rapid.SampledFrom([]string{"whole", "change", "away", "present", "time"}).Draw(t, "what"); {
			case what == "away":
				s.Away(now, of, now)
				away[of] = min(away[of], now)
			case what == "present":
				if since := rapid.SampledFrom([]float64{0, now - 250}).Draw(t, "since"); since > 0 {
					s.Present(now, of, since)
					away[of] = min(away[of], since)
				} else {
					s.Present(now, of, 0)
					away[of] = math.Inf(1)
				}
			case what == "time":
				s.Due(now)
			case what == "whole" || lists[of] != nil:
				list := map[string]dispatch.Host{}
				if what == "change" {
					list = maps.Clone(lists[of])
				}
				var told []dispatch.Host
				for _, h := range letters(4) {
					if rapid.Bool().Draw(t, "listed") {
						h.Status = rapid.SampledFrom([]dispatch.Status{dispatch.Ready, dispatch.Draining, dispatch.Removed}).Draw(t, "status")
						h.Since = rapid.SampledFrom([]float64{0, now}).Draw(t, "since")
						told = append(told, h)
						if list[h.Name] = h; h.Status == dispatch.Removed {
							delete(list, h.Name)
						}
					}
				}
				require.NoError(t, s.Take(now, of, Version{Revision: at(uint64(n + 1)), Whole: what == "whole", Hosts: told}))
				for _, h := range letters(4) {
					_, was := lists[of][h.Name]
					next, is := list[h.Name]
					_, known := left[of][h.Name]
					switch {
					case is && next.Status == dispatch.Ready:
						delete(left[of], h.Name)
					case is && !known, was && !is:
						left[of][h.Name] = now
					}
				}
				lists[of], away[of] = list, math.Inf(1)
			}
			for i := range lists {
				if lists[i] != nil && now-away[i] <= keep[i] {
					lead = i
					break
				}
			}
			s.Due(now)
			want := map[string]dispatch.Host{}
			if lead >= 0 {
				for name, h := range lists[lead] {
					for i := range left {
						if told, ok := left[i][name]; ok && i != lead && h.Status == dispatch.Ready && h.Since <= told {
							h.Status = dispatch.Draining
						}
					}
					want[name] = h
				}
			}
			require.Equal(t, want, s.hosts)
			require.Greater(t, s.Next(), now)
		}
	})
}

// Guards against versions that may not follow what was said: of another history, older, with other hosts at a number, as
// changes of nothing, too long. None of them may change anything, whatever the source; the platform's numbers may begin
// anew, and an epoch that the operator names may follow.
func TestRefusedForGood(t *testing.T) {
	s := newSet(t, half, Source{Name: "a"}, Source{Name: "free", Free: true, Anew: true})
	take := func(of int, r Revision, whole bool, hosts ...dispatch.Host) error {
		return s.Take(epoch, of, Version{Revision: r, Whole: whole, Hosts: hosts})
	}
	assert.ErrorIs(t, take(0, at(1), false), ErrChanges)
	require.NoError(t, take(0, Revision{"x", 5}, true, letters(4)...))
	before := maps.Clone(s.hosts)
	for _, c := range []struct {
		r     Revision
		whole bool
		hosts []dispatch.Host
		want  error
	}{
		{Revision{"y", 9}, true, letters(4), ErrHistory}, {Revision{"x", 4}, true, letters(4), ErrBack},
		{Revision{"x", 5}, true, letters(3), ErrSame}, {Revision{"x", 5}, false, letters(5), ErrSame},
		{Revision{"x", 4}, false, nil, ErrBack}, {Revision{"x", 5}, true, letters(4), nil},
		{Revision{}, true, letters(4), ErrHistory}, {Revision{"x", 6}, false, func() (many []dispatch.Host) {
			for i := range 98 {
				many = append(many, host(fmt.Sprint(i), dispatch.Ready))
			}
			return many
		}(), ErrMany},
	} {
		err := take(0, c.r, c.whole, c.hosts...)
		assert.ErrorIs(t, err, c.want)
		assert.Equal(t, c.want == nil, err == nil)
		assert.Equal(t, before, s.hosts)
	}
	s.Tune(half, 1000, []Source{{Name: "a", Expect: "y"}, {Name: "free", Free: true}})
	assert.ErrorIs(t, take(0, Revision{"x", 9}, true, letters(4)...), ErrHistory, "the old cluster is not expected any more")
	assert.ErrorIs(t, take(0, Revision{"y", 9}, false, letters(5)...), ErrHistory, "not from the middle of it")
	require.NoError(t, take(0, Revision{"y", 2}, true, letters(5)...))
	assert.Len(t, s.hosts, 5)
	require.NoError(t, take(1, at(9), true, letters(5)...))
	require.NoError(t, take(1, at(3), true, letters(5)...), "discovery has started anew")
}

// Guards against a list from before that hides a first one that is right, that lets a first one empty the fleet, or that
// lets something older than itself be taken; and against an entry that cannot be used costing its host.
func TestStart(t *testing.T) {
	for _, c := range []struct {
		fresh  float64
		first  []dispatch.Host
		serves int
	}{{epoch, letters(1), 4}, {epoch - 1, letters(1), 1}, {epoch - 1, nil, 4}, {epoch, letters(2), 2}} {
		s := newSet(t, half, Source{Name: "a"})
		s.Start(letters(4), c.fresh, []Revision{at(7)})
		kind, list, ok := s.Step()
		assert.Equal(t, dispatch.Stored, kind)
		assert.True(t, ok)
		assert.Len(t, list, 4)
		assert.ErrorIs(t, s.Take(epoch, 0, Version{Revision: at(6), Whole: true, Hosts: letters(4)}), ErrBack)
		require.NoError(t, s.Take(epoch, 0, Version{Revision: at(7), Whole: true, Hosts: c.first}))
		assert.Equal(t, c.serves, s.serving)
		if kind, list, _ = s.Step(); c.serves != 4 {
			assert.Equal(t, dispatch.Full, kind)
			assert.Len(t, list, c.serves)
		}
	}
	s := newSet(t, half, Source{Name: "a"})
	odd := host("b", dispatch.Ready)
	odd.Zone = "elsewhere"
	require.NoError(t, s.Take(epoch, 0, Version{Revision: at(1), Whole: true, Hosts: letters(2)}))
	require.NoError(t, s.Take(epoch, 0, Version{Revision: at(2), Whole: true, Hosts: []dispatch.Host{host("a", dispatch.Ready), odd, {Name: "c"}}}))
	assert.Equal(t, letters(2), s.Hosts())
	assert.Equal(t, Note{Kind: Unusable, Source: "a", Revision: at(2), Count: 2, Names: []string{"b", "c"}}, s.Notes()[1])
}

// Guards against a second look that admits what has not been held for the wait, that comes unasked, that comes again and
// again for what cannot be admitted, or that empties the fleet; and against a confirmation of something else.
func TestSecondLook(t *testing.T) {
	quarter := removalguard.Settings{Share: 0.25, Floor: 3}
	s := newSet(t, quarter, Source{Name: "a"})
	all := letters(12)
	tell := func(ms float64, v Version) {
		v.Whole = true
		require.NoError(t, s.Take(epoch+ms, 0, v))
	}
	tell(0, Version{Revision: at(1), Hosts: all})
	tell(0, Version{Revision: at(2), Hosts: all[4:]})
	require.NoError(t, s.Take(epoch+300, 0, Version{Revision: at(2), Hosts: []dispatch.Host{host("a", dispatch.Removed), host("b", dispatch.Removed),
		host("c", dispatch.Removed), host("d", dispatch.Removed)}})) // once more: the wait goes on
	tell(600, Version{Revision: at(3), Hosts: all[8:]})
	tell(900, Version{Revision: at(3), Hosts: all[8:], Look: true})
	assert.Equal(t, 12, s.serving)
	assert.Equal(t, epoch+1000, s.Next())
	assert.Equal(t, []int{0}, s.Due(epoch+1000))
	tell(1000, Version{Revision: at(3), Hosts: all[8:], Look: true})
	assert.Equal(t, 8, s.serving)
	tell(1000, Version{Revision: at(4), Hosts: all[:2]})
	assert.Equal(t, 8, s.serving, "2 would be left of those that serve: it takes more than a second look")
	var looks []float64
	for now := s.Next(); now < epoch+20e3; now = s.Next() {
		looks = append(looks, now-epoch)
		s.Due(now)
		tell(now-epoch, Version{Revision: at(4), Hosts: all[:2], Look: true})
	}
	assert.Equal(t, []float64{2000, 4000, 8000, 16000}, looks)
	assert.Equal(t, 8, s.serving)
	s.Confirm(epoch, 0, 2)
	assert.Equal(t, 8, s.serving)
	s.Confirm(epoch, 0, 3)
	assert.Equal(t, 4, s.serving)
	tell(0, Version{Revision: at(5), Hosts: all[:2], Meant: true})
	assert.Equal(t, 2, s.serving)
	assert.Zero(t, s.View(epoch).Held)
	assert.True(t, math.IsInf(s.Next(), 1))
	var told []string
	for _, n := range s.Notes() {
		told = append(told, fmt.Sprint(n.Kind, n.Count, n.Floor, n.Looked))
	}
	assert.Equal(t, []string{"3 0 false false", "0 4 false false", "0 4 false false", "0 4 false false", "1 4 false true",
		"0 4 false false", "1 4 false false", "1 4 false false"}, told)
}

// Guards against a change of the source that is followed by which the fleet shrinks unseen, against the guard holding
// what the platform has told already, and against a drain lost because it was told in a version that was held.
func TestChangeOfSourceIsJudged(t *testing.T) {
	few := removalguard.Settings{Share: 0.1, Floor: 1}
	s := newSet(t, few, Source{Name: "a", Keep: 1000}, Source{Name: "b", Keep: 1000, Free: true})
	all := letters(8)
	take := func(ms float64, of int, whole bool, hosts ...dispatch.Host) {
		require.NoError(t, s.Take(epoch+ms, of, Version{Whole: whole, Hosts: hosts}))
	}
	take(0, 0, true, all...)
	take(0, 1, true, all[:5]...)
	s.Away(epoch, 0, epoch)
	s.Due(epoch + 1001)
	assert.True(t, s.View(epoch).Sources[1].Followed)
	assert.Equal(t, 8, s.serving, "five of eight would serve")
	take(1001, 1, true, all[2:5]...)
	assert.Equal(t, 6, s.serving, "what the platform tells is told")
	assert.Equal(t, []int{1}, s.Due(epoch+2001))
	require.NoError(t, s.Take(epoch+2001, 1, Version{Whole: true, Hosts: all[2:5], Look: true}))
	assert.Equal(t, 3, s.serving)
	take(2001, 0, true, all...)
	assert.Equal(t, 6, s.serving, "two were told to leave, by whomever")
	s.Due(epoch + rememberFor)
	take(rememberFor, 1, true, all[:5]...)
	assert.Equal(t, 8, s.serving)

	s = newSet(t, few, Source{Name: "a", Keep: 1000}, Source{Name: "b", Free: true})
	take(0, 0, true, all...)
	s.Away(epoch, 0, epoch)
	take(1001, 1, true, host("a", dispatch.Draining), host("b", dispatch.Draining))
	assert.Equal(t, 6, s.serving, "those in the first word of the platform, though it would leave none")

	s = newSet(t, few, Source{Name: "a", Keep: 1000}, Source{Name: "b"})
	take(0, 0, true, all...)
	s.Away(epoch, 0, epoch)
	other := host("a", dispatch.Ready)
	other.Weight = 2
	take(1001, 1, true, other)
	assert.Equal(t, all, s.Hosts(), "a list of two sources")

	s = newSet(t, half, Source{Name: "a", Keep: 1000}, Source{Name: "b"})
	moved, again := host("a", dispatch.Ready), host("a", dispatch.Ready)
	moved.Address, again.Since = "elsewhere:1", epoch+2
	take(0, 0, true, all...)
	take(0, 1, true, all...)
	take(1, 0, false, moved)
	s.Away(epoch, 0, epoch)
	s.Due(epoch + 1001)
	assert.Equal(t, dispatch.Draining, s.hosts["a"].Status, "it has left the address that the other still has")
	take(1001, 1, false, again)
	assert.Equal(t, dispatch.Ready, s.hosts["a"].Status, "but may have come back there")
	require.NoError(t, s.Take(epoch+1002, 0, Version{Hosts: []dispatch.Host{host("b", dispatch.Removed)}, Away: -1}))
	assert.False(t, s.View(epoch).Sources[0].Followed, "there is more to come")
	back := host("b", dispatch.Ready)
	back.Address = "elsewhere:2"
	take(1003, 0, false, back)
	s.Away(epoch+1003, 0, epoch)
	s.Due(epoch + 1003)
	assert.Equal(t, dispatch.Draining, s.hosts["b"].Status, "it has left, and is back elsewhere")

	s = newSet(t, half, Source{Name: "a"})
	take(0, 0, true, all...)
	take(0, 0, true, host("a", dispatch.Draining))
	assert.Equal(t, 8, s.serving)
	take(0, 0, false, host("a", dispatch.Draining))
	assert.Equal(t, 7, s.serving, "said again, and by itself")
}

// Guards against half of a version where two sources have to do with it. Each history was found by the test of the whole way
// from etcd and files to the pilot.
func TestWholeVersionsOfTwoSources(t *testing.T) {
	one, two := host("one", dispatch.Ready), host("two", dispatch.Ready)
	all := append(letters(2), one)
	next := append(letters(1), two) // one leaves and two comes, at once; b leaves, too
	begin := func() (*Set, func(ms float64, of int, v Version)) {
		s := newSet(t, removalguard.Settings{Share: 0.4, Floor: 1}, Source{Name: "a", Keep: 1000}, Source{Name: "b"})
		take := func(ms float64, of int, v Version) {
			v.Whole = v.Whole || len(v.Hosts) != 1
			require.NoError(t, s.Take(epoch+ms, of, v))
		}
		take(0, 0, Version{Hosts: all})
		return s, take
	}
	names := func(s *Set) (text string) {
		for _, h := range s.Hosts() {
			text += h.Name + " "
		}
		return text
	}
	s, take := begin()
	take(0, 0, Version{Hosts: next})
	assert.Equal(t, "a b one ", names(s))
	take(100, 1, Version{Hosts: next})
	assert.Equal(t, "a b one ", names(s), "the other source says again what is held")
	take(200, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}}})
	s.Due(epoch + 1000)
	take(1000, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}, two}, Look: true})
	assert.Equal(t, "a two ", names(s), "what is held together is taken together")

	s, take = begin()
	take(0, 1, Version{Hosts: all})
	take(0, 0, Version{Hosts: next})
	take(100, 1, Version{Hosts: append(letters(1), two)})
	assert.Equal(t, "a b one ", names(s))
	s.Due(epoch + 1000)
	take(1000, 0, Version{Hosts: next, Look: true})
	assert.Equal(t, "a two ", names(s), "though the other source has told of it, too")

	s, take = begin()
	take(0, 1, Version{Hosts: all})
	take(0, 0, Version{Hosts: next})
	take(100, 1, Version{Hosts: []dispatch.Host{host("b", dispatch.Draining)}})
	assert.Equal(t, "a one ", names(s), "what drains by the word of the other need not wait")

	s, take = begin()
	take(0, 0, Version{Hosts: append(letters(1), one)})
	take(100, 0, Version{Hosts: []dispatch.Host{two}})
	take(200, 0, Version{Hosts: append(letters(1), two)})
	take(300, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}, one}})
	s.Due(epoch + 1250)
	take(1250, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}, one}, Look: true})
	assert.NotContains(t, names(s), "one two")

	s = newSet(t, removalguard.Settings{Share: 0.1, Floor: 1}, Source{Name: "a"})
	gone := func(ms float64, names ...string) {
		var list []dispatch.Host
		for _, name := range names {
			list = append(list, host(name, dispatch.Removed))
		}
		require.NoError(t, s.Take(epoch+ms, 0, Version{Hosts: list}))
	}
	require.NoError(t, s.Take(epoch, 0, Version{Whole: true, Hosts: letters(6)}))
	gone(0, "a", "b")
	gone(600, "c", "d")
	gone(700, "c", "a")
	s.Due(epoch + 1000)
	require.NoError(t, s.Take(epoch+1000, 0, Version{Whole: true, Hosts: letters(6)[4:], Look: true}))
	assert.Equal(t, "a c d e f ", names(s), "what has been held together since a later time")

	s = newSet(t, half, Source{Name: "a", Keep: 1000})
	require.NoError(t, s.Take(epoch, 0, Version{Whole: true, Hosts: all, Away: epoch - 2000}))
	kind, list, ok := s.Step()
	assert.True(t, ok && kind == dispatch.Full && len(list) == 3, "an old list is better than none")
}

// Guards against memory that grows with every host that a source ends, and against one forgotten that another still lists.
func TestEndedHostsAreForgotten(t *testing.T) {
	s := newSet(t, removalguard.Settings{Share: 1}, Source{Name: "a"}, Source{Name: "b"})
	stays := host("stays", dispatch.Ready)
	require.NoError(t, s.Take(epoch, 0, Version{Whole: true, Hosts: []dispatch.Host{stays}}))
	require.NoError(t, s.Take(epoch, 1, Version{Whole: true, Hosts: []dispatch.Host{stays}}))
	require.NoError(t, s.Take(epoch, 1, Version{Whole: true}))
	for i := range 1000 {
		require.NoError(t, s.Take(epoch, 1, Version{Whole: true, Hosts: []dispatch.Host{host(fmt.Sprint(i), dispatch.Ready)}}))
		require.LessOrEqual(t, len(s.sources[1].departed), 201)
	}
	s.Due(epoch + rememberFor - 1)
	assert.Greater(t, len(s.sources[1].departed), 1)
	s.Due(epoch + 2*rememberFor)
	assert.Len(t, s.sources[1].departed, 1)
	assert.Zero(t, s.serving)
	for i := range 100 {
		stays.Address = fmt.Sprint(i % 50)
		require.NoError(t, s.Take(epoch, 1, Version{Whole: true, Hosts: []dispatch.Host{stays}}))
	}
	assert.Len(t, s.sources[1].departed["stays"].left, mostPlaces)
	require.NoError(t, s.Take(epoch, 0, Version{Whole: true, Hosts: []dispatch.Host{host("a", dispatch.Draining)}}))
	require.NoError(t, s.Take(epoch, 0, Version{Whole: true, Hosts: letters(1)}))
	assert.NotContains(t, s.sources[0].departed, "a", "it is where it was")
}

// Guards against sources that disagree without a word, against one that is told for news on its way, and against a stale
// list that is not told.
func TestDisagreementAndAge(t *testing.T) {
	s := newSet(t, half, Source{Name: "a", Keep: 5e3}, Source{Name: "b", Keep: 50e3})
	take := func(of int, hosts []dispatch.Host) {
		require.NoError(t, s.Take(epoch, of, Version{Whole: true, Hosts: hosts}))
	}
	take(0, letters(4))
	take(1, letters(3))
	for i := range 2 {
		s.Due(epoch + float64(i)*sweepEvery)
		kinds := []NoteKind{}
		for _, n := range s.Notes() {
			kinds = append(kinds, n.Kind)
		}
		assert.Equal(t, [][]NoteKind{{Lead}, {Differ}}[i], kinds)
	}
	take(1, letters(4))
	s.Due(epoch + 2*sweepEvery)
	s.Away(epoch, 0, epoch)
	s.Away(epoch, 1, epoch)
	for now := s.Next(); now < epoch+60e3; now = s.Next() {
		s.Due(now)
	}
	assert.True(t, s.View(epoch).Aged)
	assert.Len(t, s.hosts, 4, "it serves on")
	take(0, letters(4))
	var got []Note
	for _, n := range s.Notes() {
		got = append(got, Note{Kind: n.Kind, Source: n.Source, Other: n.Other, Age: math.Floor(n.Age)})
	}
	assert.Equal(t, []Note{{Kind: Agree, Source: "b", Other: "a"}, {Kind: Lead, Source: "b", Other: "a"},
		{Kind: Aged, Source: "b", Age: 50000}, {Kind: Fresh, Source: "a"}, {Kind: Lead, Source: "a", Other: "b"}}, got)
}
