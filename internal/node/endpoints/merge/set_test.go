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

// The random histories are the same in each run, unless -rapid.seed asks for others.
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
	s, err := New(Settings{Sources: sources, Guard: g, RereadDelay: 1000, MaxHosts: 100, Zones: []string{"z"}, Kinds: []string{"k"}})
	require.NoError(t, err)
	return s
}

func letters(n int) (list []dispatch.Host) {
	for i := range n {
		list = append(list, host(string(rune('a'+i)), dispatch.Ready))
	}
	return list
}

func rev(n uint64) Revision { return Revision{Number: n} }

// dispatcherModel applies the results of Flush in the same way as the dispatcher.
type dispatcherModel map[string]dispatch.Host

func (p dispatcherModel) step(s *Set) {
	kind, list, ok := s.Flush()
	if ok && kind != dispatch.Delta {
		clear(p)
	}
	for _, h := range list {
		if p[h.Name] = h; h.Status == dispatch.Removed {
			delete(p, h.Name)
		}
	}
}

// expectedChange computes the question to the guard independently of the set.
func expectedChange(have, want map[string]dispatch.Host) (c removalguard.Change, same bool) {
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

// Guards, over random histories of one source, against: a Flush that leaves something out; a version that is
// applied in part; more departures at once than the guard allows; a drain of a single host that is held; a held
// version that is never applied although the source keeps it, or that is applied although it would leave no host;
// a rejected version that changes something.
func TestHistoriesOfOneSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(t, half, Source{Name: "a", StaleAfter: 1e6})
		now, number, model := epoch, uint64(1), dispatcherModel{}
		reported := map[string]dispatch.Host{}
		// Both hosts of the pair are always reported together: in one version, the other one starts to serve.
		pair := func(first bool) []dispatch.Host {
			status := [2]dispatch.Status{dispatch.Ready, dispatch.Draining}
			if !first {
				status = [2]dispatch.Status{dispatch.Draining, dispatch.Ready}
			}
			return []dispatch.Host{host("one", status[0]), host("two", status[1])}
		}
		apply := func(v Version) {
			if v.Whole {
				clear(reported)
			}
			for _, h := range v.Hosts {
				if reported[h.Name] = h; h.Status == dispatch.Removed {
					delete(reported, h.Name)
				}
			}
			require.NoError(t, s.Apply(now, 0, v))
		}
		apply(Version{Revision: rev(number), Whole: true, Hosts: append(letters(6), pair(true)...)})
		model.step(s)
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
			v := Version{Revision: rev(number), Whole: rapid.IntRange(0, 3).Draw(t, "whole") == 0, Hosts: list}
			if v.Whole {
				v.Hosts = append(v.Hosts, pair(rapid.Bool().Draw(t, "first"))...)
				v.Hosts = slices.DeleteFunc(v.Hosts, func(h dispatch.Host) bool { return h.Status == dispatch.Removed })
			}
			bad := Version{Revision: rev(number - 2), Hosts: list}
			require.ErrorIs(t, s.Apply(now, 0, bad), ErrRevisionRegressed)
			before := maps.Clone(s.hosts)
			apply(v)
			c, _ := expectedChange(before, s.hosts)
			if c.Leaves > 0 || c.Drains > 2 {
				// One host of the version and one that was held may drain, each as the only one that does.
				most := max(1, float64(s.guard.Base(now, s.serving))/2) + float64(min(c.Drains, 2))
				require.LessOrEqual(t, float64(s.guard.Departed(now)), most, "too many departed at once")
				require.NotZero(t, ready(s.hosts))
			}
			if len(v.Hosts) == 1 && !v.Whole && v.Hosts[0].Status == dispatch.Draining && before[v.Hosts[0].Name].Address == v.Hosts[0].Address {
				require.Equal(t, dispatch.Draining, s.hosts[v.Hosts[0].Name].Status, "a single drain was held")
			}
			if c, same := expectedChange(s.hosts, reported); len(s.held) == 0 {
				require.True(t, same)
			} else {
				require.NotEqual(t, removalguard.Accept, s.guard.Evaluate(now, c), "held although the guard would accept it")
			}
			require.Equal(t, dispatch.Ready+dispatch.Draining, s.hosts["one"].Status+s.hosts["two"].Status, "a version was applied in part")
			require.Equal(t, ready(s.hosts), s.serving)
			model.step(s)
			require.Equal(t, s.hosts, map[string]dispatch.Host(model))
		}
		now += 1001
		if due := s.Tick(now); len(s.held) > 0 {
			require.Equal(t, []int{0}, due)
			apply(Version{Revision: rev(number), Whole: true, Hosts: slices.Collect(maps.Values(reported)), Reread: true})
			if ready(reported) > 0 {
				require.Equal(t, reported, s.hosts, "kept for the delay and confirmed by the re-read")
			}
			apply(Version{Revision: rev(number), Confirmed: true})
		}
		require.Equal(t, reported, s.hosts)
		require.Zero(t, s.delta, "nothing is held")
		require.True(t, math.IsInf(s.NextTick(), 1))
	})
}

// Guards, over random calls for three sources, against a list that does not follow the first source that counts,
// against entries of another source, and against a host that serves although a source has reported its departure.
// The model keeps everything that was reported and computes the list from scratch each time.
func TestHistoriesOfSeveralSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := []float64{3000, 1000, 2000}
		s := newSet(t, removalguard.Settings{Share: 1}, Source{Name: "a", StaleAfter: keep[0]}, Source{Name: "b", StaleAfter: keep[1]}, Source{Name: "c", StaleAfter: keep[2]})
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
				s.Unreachable(now, of, now)
				away[of] = min(away[of], now)
			case what == "present":
				if since := rapid.SampledFrom([]float64{0, now - 250}).Draw(t, "since"); since > 0 {
					s.Unchanged(now, of, since)
					away[of] = min(away[of], since)
				} else {
					s.Unchanged(now, of, 0)
					away[of] = math.Inf(1)
				}
			case what == "time":
				s.Tick(now)
			case what == "whole" || lists[of] != nil:
				list := map[string]dispatch.Host{}
				if what == "change" {
					list = maps.Clone(lists[of])
				}
				var reported []dispatch.Host
				for _, h := range letters(4) {
					if rapid.Bool().Draw(t, "listed") {
						h.Status = rapid.SampledFrom([]dispatch.Status{dispatch.Ready, dispatch.Draining, dispatch.Removed}).Draw(t, "status")
						h.Since = rapid.SampledFrom([]float64{0, now}).Draw(t, "since")
						reported = append(reported, h)
						if list[h.Name] = h; h.Status == dispatch.Removed {
							delete(list, h.Name)
						}
					}
				}
				require.NoError(t, s.Apply(now, of, Version{Revision: rev(uint64(n + 1)), Whole: what == "whole", Hosts: reported}))
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
			s.Tick(now)
			want := map[string]dispatch.Host{}
			if lead >= 0 {
				for name, h := range lists[lead] {
					for i := range left {
						if reported, ok := left[i][name]; ok && i != lead && h.Status == dispatch.Ready && h.Since <= reported {
							h.Status = dispatch.Draining
						}
					}
					want[name] = h
				}
			}
			require.Equal(t, want, s.hosts)
			require.Greater(t, s.NextTick(), now)
		}
	})
}

// Guards against versions that may not follow the previous ones: of another history, older, with other hosts at
// the same number, changes without a list, too long. None of them may change anything, whatever the source is.
// Discovery's numbers may begin again, and an epoch that the operator names may follow another.
func TestRejectedVersions(t *testing.T) {
	s := newSet(t, half, Source{Name: "a"}, Source{Name: "free", Unguarded: true, MayRenumber: true})
	apply := func(of int, r Revision, whole bool, hosts ...dispatch.Host) error {
		return s.Apply(epoch, of, Version{Revision: r, Whole: whole, Hosts: hosts})
	}
	assert.ErrorIs(t, apply(0, rev(1), false), ErrNoBaseList)
	require.NoError(t, apply(0, Revision{"x", 5}, true, letters(4)...))
	before := maps.Clone(s.hosts)
	for _, c := range []struct {
		r     Revision
		whole bool
		hosts []dispatch.Host
		want  error
	}{
		{Revision{"y", 9}, true, letters(4), ErrForeignHistory}, {Revision{"x", 4}, true, letters(4), ErrRevisionRegressed},
		{Revision{"x", 5}, true, letters(3), ErrRevisionReused}, {Revision{"x", 5}, false, letters(5), ErrRevisionReused},
		{Revision{"x", 4}, false, nil, ErrRevisionRegressed}, {Revision{"x", 5}, true, letters(4), nil},
		{Revision{}, true, letters(4), ErrForeignHistory}, {Revision{"x", 6}, false, func() (many []dispatch.Host) {
			for i := range 98 {
				many = append(many, host(fmt.Sprint(i), dispatch.Ready))
			}
			return many
		}(), ErrTooManyHosts},
	} {
		err := apply(0, c.r, c.whole, c.hosts...)
		assert.ErrorIs(t, err, c.want)
		assert.Equal(t, c.want == nil, err == nil)
		assert.Equal(t, before, s.hosts)
	}
	s.Reconfigure(half, 1000, []Source{{Name: "a", ExpectedEpoch: "y"}, {Name: "free", Unguarded: true}})
	assert.ErrorIs(t, apply(0, Revision{"x", 9}, true, letters(4)...), ErrForeignHistory, "the old cluster is no longer expected")
	assert.ErrorIs(t, apply(0, Revision{"y", 9}, false, letters(5)...), ErrForeignHistory, "a new history cannot begin with changes")
	require.NoError(t, apply(0, Revision{"y", 2}, true, letters(5)...))
	assert.Len(t, s.hosts, 5)
	require.NoError(t, apply(1, rev(9), true, letters(5)...))
	require.NoError(t, apply(1, rev(3), true, letters(5)...), "discovery has restarted")
}

// Guards against a restored list that hides a correct first version, that lets a first version empty the fleet, or
// that lets a version older than itself be applied; and against an unusable entry that removes its host.
func TestRestore(t *testing.T) {
	for _, c := range []struct {
		fresh  float64
		first  []dispatch.Host
		serves int
	}{{epoch, letters(1), 4}, {epoch - 1, letters(1), 1}, {epoch - 1, nil, 4}, {epoch, letters(2), 2}} {
		s := newSet(t, half, Source{Name: "a"})
		s.Restore(letters(4), c.fresh, []Revision{rev(7)})
		kind, list, ok := s.Flush()
		assert.Equal(t, dispatch.Stored, kind)
		assert.True(t, ok)
		assert.Len(t, list, 4)
		assert.ErrorIs(t, s.Apply(epoch, 0, Version{Revision: rev(6), Whole: true, Hosts: letters(4)}), ErrRevisionRegressed)
		require.NoError(t, s.Apply(epoch, 0, Version{Revision: rev(7), Whole: true, Hosts: c.first}))
		assert.Equal(t, c.serves, s.serving)
		if kind, list, _ = s.Flush(); c.serves != 4 {
			assert.Equal(t, dispatch.Full, kind)
			assert.Len(t, list, c.serves)
		}
	}
	s := newSet(t, half, Source{Name: "a"})
	unusable := host("b", dispatch.Ready)
	unusable.Zone = "elsewhere"
	require.NoError(t, s.Apply(epoch, 0, Version{Revision: rev(1), Whole: true, Hosts: letters(2)}))
	require.NoError(t, s.Apply(epoch, 0, Version{Revision: rev(2), Whole: true, Hosts: []dispatch.Host{host("a", dispatch.Ready), unusable, {Name: "c"}}}))
	assert.Equal(t, letters(2), s.Hosts())
	assert.Equal(t, Note{Kind: Unusable, Source: "a", Revision: rev(2), Count: 2, Names: []string{"b", "c"}}, s.TakeNotes()[1])
}

// Guards against a re-read that admits changes that were not held for the delay, that comes without a request,
// that is repeated too often for changes that cannot be admitted, or that empties the fleet; and against a
// confirmation of other changes.
func TestReread(t *testing.T) {
	quarter := removalguard.Settings{Share: 0.25, Floor: 3}
	s := newSet(t, quarter, Source{Name: "a"})
	all := letters(12)
	apply := func(ms float64, v Version) {
		v.Whole = true
		require.NoError(t, s.Apply(epoch+ms, 0, v))
	}
	apply(0, Version{Revision: rev(1), Hosts: all})
	apply(0, Version{Revision: rev(2), Hosts: all[4:]})
	require.NoError(t, s.Apply(epoch+300, 0, Version{Revision: rev(2), Hosts: []dispatch.Host{host("a", dispatch.Removed), host("b", dispatch.Removed),
		host("c", dispatch.Removed), host("d", dispatch.Removed)}})) // repeated: the delay goes on
	apply(600, Version{Revision: rev(3), Hosts: all[8:]})
	apply(900, Version{Revision: rev(3), Hosts: all[8:], Reread: true})
	assert.Equal(t, 12, s.serving)
	assert.Equal(t, epoch+1000, s.NextTick())
	assert.Equal(t, []int{0}, s.Tick(epoch+1000))
	apply(1000, Version{Revision: rev(3), Hosts: all[8:], Reread: true})
	assert.Equal(t, 8, s.serving)
	apply(1000, Version{Revision: rev(4), Hosts: all[:2]})
	assert.Equal(t, 8, s.serving, "2 serving hosts would be left: a re-read is not enough")
	var rereads []float64
	for now := s.NextTick(); now < epoch+20e3; now = s.NextTick() {
		rereads = append(rereads, now-epoch)
		s.Tick(now)
		apply(now-epoch, Version{Revision: rev(4), Hosts: all[:2], Reread: true})
	}
	assert.Equal(t, []float64{2000, 4000, 8000, 16000}, rereads)
	assert.Equal(t, 8, s.serving)
	s.Confirm(epoch, 0, 2)
	assert.Equal(t, 8, s.serving)
	s.Confirm(epoch, 0, 3)
	assert.Equal(t, 4, s.serving)
	apply(0, Version{Revision: rev(5), Hosts: all[:2], Confirmed: true})
	assert.Equal(t, 2, s.serving)
	assert.Zero(t, s.View(epoch).Held)
	assert.True(t, math.IsInf(s.NextTick(), 1))
	var got []string
	for _, n := range s.TakeNotes() {
		got = append(got, fmt.Sprint(n.Kind, n.Count, n.BelowFloor, n.Reread))
	}
	assert.Equal(t, []string{"3 0 false false", "0 4 false false", "0 4 false false", "0 4 false false", "1 4 false true",
		"0 4 false false", "1 4 false false", "1 4 false false"}, got)
}

// Guards against a change of the followed source that shrinks the fleet unnoticed, against the guard holding what
// discovery has delivered already, and against the loss of a drain that was part of a held version.
func TestSourceChangeIsGuarded(t *testing.T) {
	few := removalguard.Settings{Share: 0.1, Floor: 1}
	s := newSet(t, few, Source{Name: "a", StaleAfter: 1000}, Source{Name: "b", StaleAfter: 1000, Unguarded: true})
	all := letters(8)
	apply := func(ms float64, of int, whole bool, hosts ...dispatch.Host) {
		require.NoError(t, s.Apply(epoch+ms, of, Version{Whole: whole, Hosts: hosts}))
	}
	apply(0, 0, true, all...)
	apply(0, 1, true, all[:5]...)
	s.Unreachable(epoch, 0, epoch)
	s.Tick(epoch + 1001)
	assert.True(t, s.View(epoch).Sources[1].Followed)
	assert.Equal(t, 8, s.serving, "only five of eight would serve")
	apply(1001, 1, true, all[2:5]...)
	assert.Equal(t, 6, s.serving, "an unguarded source is not held")
	assert.Equal(t, []int{1}, s.Tick(epoch+2001))
	require.NoError(t, s.Apply(epoch+2001, 1, Version{Whole: true, Hosts: all[2:5], Reread: true}))
	assert.Equal(t, 3, s.serving)
	apply(2001, 0, true, all...)
	assert.Equal(t, 6, s.serving, "two hosts were reported as gone by one of the sources")
	s.Tick(epoch + endedRetention)
	apply(endedRetention, 1, true, all[:5]...)
	assert.Equal(t, 8, s.serving)

	s = newSet(t, few, Source{Name: "a", StaleAfter: 1000}, Source{Name: "b", Unguarded: true})
	apply(0, 0, true, all...)
	s.Unreachable(epoch, 0, epoch)
	apply(1001, 1, true, host("a", dispatch.Draining), host("b", dispatch.Draining))
	assert.Equal(t, 6, s.serving, "drains in the first version of an unguarded source, although it would leave no host")

	s = newSet(t, few, Source{Name: "a", StaleAfter: 1000}, Source{Name: "b"})
	apply(0, 0, true, all...)
	s.Unreachable(epoch, 0, epoch)
	other := host("a", dispatch.Ready)
	other.Weight = 2
	apply(1001, 1, true, other)
	assert.Equal(t, all, s.Hosts(), "the list mixes two sources")

	s = newSet(t, half, Source{Name: "a", StaleAfter: 1000}, Source{Name: "b"})
	moved, again := host("a", dispatch.Ready), host("a", dispatch.Ready)
	moved.Address, again.Since = "elsewhere:1", epoch+2
	apply(0, 0, true, all...)
	apply(0, 1, true, all...)
	apply(1, 0, false, moved)
	s.Unreachable(epoch, 0, epoch)
	s.Tick(epoch + 1001)
	assert.Equal(t, dispatch.Draining, s.hosts["a"].Status, "the host has left the address that the other source still lists")
	apply(1001, 1, false, again)
	assert.Equal(t, dispatch.Ready, s.hosts["a"].Status, "but it may return there")
	require.NoError(t, s.Apply(epoch+1002, 0, Version{Hosts: []dispatch.Host{host("b", dispatch.Removed)}, UnreachableSince: -1}))
	assert.False(t, s.View(epoch).Sources[0].Followed, "more versions follow")
	back := host("b", dispatch.Ready)
	back.Address = "elsewhere:2"
	apply(1003, 0, false, back)
	s.Unreachable(epoch+1003, 0, epoch)
	s.Tick(epoch + 1003)
	assert.Equal(t, dispatch.Draining, s.hosts["b"].Status, "the host has left and is back at another address")

	s = newSet(t, half, Source{Name: "a"})
	apply(0, 0, true, all...)
	apply(0, 0, true, host("a", dispatch.Draining))
	assert.Equal(t, 8, s.serving)
	apply(0, 0, false, host("a", dispatch.Draining))
	assert.Equal(t, 7, s.serving, "repeated in a version of its own")
}

// Guards against versions that are applied in part when two sources report the same hosts. Each history was found
// by the end-to-end test from etcd and files to the dispatcher.
func TestVersionsOfTwoSourcesAreAppliedWhole(t *testing.T) {
	one, two := host("one", dispatch.Ready), host("two", dispatch.Ready)
	all := append(letters(2), one)
	next := append(letters(1), two) // one leaves and two comes, in the same version; b leaves, too
	begin := func() (*Set, func(ms float64, of int, v Version)) {
		s := newSet(t, removalguard.Settings{Share: 0.4, Floor: 1}, Source{Name: "a", StaleAfter: 1000}, Source{Name: "b"})
		apply := func(ms float64, of int, v Version) {
			v.Whole = v.Whole || len(v.Hosts) != 1
			require.NoError(t, s.Apply(epoch+ms, of, v))
		}
		apply(0, 0, Version{Hosts: all})
		return s, apply
	}
	names := func(s *Set) (text string) {
		for _, h := range s.Hosts() {
			text += h.Name + " "
		}
		return text
	}
	s, apply := begin()
	apply(0, 0, Version{Hosts: next})
	assert.Equal(t, "a b one ", names(s))
	apply(100, 1, Version{Hosts: next})
	assert.Equal(t, "a b one ", names(s), "the other source repeats what is held")
	apply(200, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}}})
	s.Tick(epoch + 1000)
	apply(1000, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}, two}, Reread: true})
	assert.Equal(t, "a two ", names(s), "changes that are held together are applied together")

	s, apply = begin()
	apply(0, 1, Version{Hosts: all})
	apply(0, 0, Version{Hosts: next})
	apply(100, 1, Version{Hosts: append(letters(1), two)})
	assert.Equal(t, "a b one ", names(s))
	s.Tick(epoch + 1000)
	apply(1000, 0, Version{Hosts: next, Reread: true})
	assert.Equal(t, "a two ", names(s), "although the other source has reported it, too")

	s, apply = begin()
	apply(0, 1, Version{Hosts: all})
	apply(0, 0, Version{Hosts: next})
	apply(100, 1, Version{Hosts: []dispatch.Host{host("b", dispatch.Draining)}})
	assert.Equal(t, "a one ", names(s), "a drain that the other source reports does not wait")

	s, apply = begin()
	apply(0, 0, Version{Hosts: append(letters(1), one)})
	apply(100, 0, Version{Hosts: []dispatch.Host{two}})
	apply(200, 0, Version{Hosts: append(letters(1), two)})
	apply(300, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}, one}})
	s.Tick(epoch + 1250)
	apply(1250, 0, Version{Hosts: []dispatch.Host{{Name: "a", Address: "x:1", Zone: "z", Kind: "k"}, one}, Reread: true})
	assert.NotContains(t, names(s), "one two")

	s = newSet(t, removalguard.Settings{Share: 0.1, Floor: 1}, Source{Name: "a"})
	remove := func(ms float64, names ...string) {
		var list []dispatch.Host
		for _, name := range names {
			list = append(list, host(name, dispatch.Removed))
		}
		require.NoError(t, s.Apply(epoch+ms, 0, Version{Hosts: list}))
	}
	require.NoError(t, s.Apply(epoch, 0, Version{Whole: true, Hosts: letters(6)}))
	remove(0, "a", "b")
	remove(600, "c", "d")
	remove(700, "c", "a")
	s.Tick(epoch + 1000)
	require.NoError(t, s.Apply(epoch+1000, 0, Version{Whole: true, Hosts: letters(6)[4:], Reread: true}))
	assert.Equal(t, "a c d e f ", names(s), "changes that were held together since a later time stay held")

	s = newSet(t, half, Source{Name: "a", StaleAfter: 1000})
	require.NoError(t, s.Apply(epoch, 0, Version{Whole: true, Hosts: all, UnreachableSince: epoch - 2000}))
	kind, list, ok := s.Flush()
	assert.True(t, ok && kind == dispatch.Full && len(list) == 3, "a stale list is better than none")
}

// Guards against memory that grows with every host that a source ends, and against forgetting one that another
// source still lists.
func TestEndedHostsAreForgotten(t *testing.T) {
	s := newSet(t, removalguard.Settings{Share: 1}, Source{Name: "a"}, Source{Name: "b"})
	stays := host("stays", dispatch.Ready)
	require.NoError(t, s.Apply(epoch, 0, Version{Whole: true, Hosts: []dispatch.Host{stays}}))
	require.NoError(t, s.Apply(epoch, 1, Version{Whole: true, Hosts: []dispatch.Host{stays}}))
	require.NoError(t, s.Apply(epoch, 1, Version{Whole: true}))
	for i := range 1000 {
		require.NoError(t, s.Apply(epoch, 1, Version{Whole: true, Hosts: []dispatch.Host{host(fmt.Sprint(i), dispatch.Ready)}}))
		require.LessOrEqual(t, len(s.sources[1].departures), 201)
	}
	s.Tick(epoch + endedRetention - 1)
	assert.Greater(t, len(s.sources[1].departures), 1)
	s.Tick(epoch + 2*endedRetention)
	assert.Len(t, s.sources[1].departures, 1)
	assert.Zero(t, s.serving)
	for i := range 100 {
		stays.Address = fmt.Sprint(i % 50)
		require.NoError(t, s.Apply(epoch, 1, Version{Whole: true, Hosts: []dispatch.Host{stays}}))
	}
	assert.Len(t, s.sources[1].departures["stays"].leftAddresses, maxLeftAddresses)
	require.NoError(t, s.Apply(epoch, 0, Version{Whole: true, Hosts: []dispatch.Host{host("a", dispatch.Draining)}}))
	require.NoError(t, s.Apply(epoch, 0, Version{Whole: true, Hosts: letters(1)}))
	assert.NotContains(t, s.sources[0].departures, "a", "the host is back at the same address")
}

// Guards against sources that disagree without a report, against a report for a change that has reached only one
// of them yet, and against a stale list without a report.
func TestDisagreementAndStaleness(t *testing.T) {
	s := newSet(t, half, Source{Name: "a", StaleAfter: 5e3}, Source{Name: "b", StaleAfter: 50e3})
	apply := func(of int, hosts []dispatch.Host) {
		require.NoError(t, s.Apply(epoch, of, Version{Whole: true, Hosts: hosts}))
	}
	apply(0, letters(4))
	apply(1, letters(3))
	for i := range 2 {
		s.Tick(epoch + float64(i)*sweepInterval)
		kinds := []NoteKind{}
		for _, n := range s.TakeNotes() {
			kinds = append(kinds, n.Kind)
		}
		assert.Equal(t, [][]NoteKind{{SourceChanged}, {Disagree}}[i], kinds)
	}
	apply(1, letters(4))
	s.Tick(epoch + 2*sweepInterval)
	s.Unreachable(epoch, 0, epoch)
	s.Unreachable(epoch, 1, epoch)
	for now := s.NextTick(); now < epoch+60e3; now = s.NextTick() {
		s.Tick(now)
	}
	assert.True(t, s.View(epoch).Stale)
	assert.Len(t, s.hosts, 4, "the hosts go on serving")
	apply(0, letters(4))
	var got []Note
	for _, n := range s.TakeNotes() {
		got = append(got, Note{Kind: n.Kind, Source: n.Source, Other: n.Other, Age: math.Floor(n.Age)})
	}
	assert.Equal(t, []Note{{Kind: Agree, Source: "b", Other: "a"}, {Kind: SourceChanged, Source: "b", Other: "a"},
		{Kind: AllStale, Source: "b", Age: 50000}, {Kind: Recovered, Source: "a"}, {Kind: SourceChanged, Source: "a", Other: "b"}}, got)
}
