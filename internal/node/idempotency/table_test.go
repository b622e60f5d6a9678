package idempotency

import (
	"encoding/binary"
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

func keyOf(i int) (n Name) {
	binary.BigEndian.PutUint64(n[:], uint64(i)*0x9e3779b97f4a7c15)
	return n
}

var small = Settings{Classes: []Class{{Once: true, Answered: 50, Doubt: 80}, {Answered: 30, Doubt: 20}}, Tenants: 2,
	Entries: 6, Bytes: 100, Alpha: 2}

// step is one call, or the end of one, in a history of a table.
type step struct {
	wait                     float64
	ends                     bool // ends the open run number `which`; else it is a call
	which, name, print, size int
	class, tenant            int
	outcome                  End
	windows                  *Windows // of the call, as after a change of its class; nil = the class's
}

// changedWindows are the windows that a call may bring.
var changedWindows = []*Windows{nil, nil, {Answered: 90, Doubt: 10}, {Answered: 5, Doubt: 200}, {}}

var drawStep = rapid.Custom(func(t *rapid.T) step {
	return step{wait: rapid.SampledFrom([]float64{0, 0, 1, 5, 30, 90, -40}).Draw(t, "wait"),
		ends: rapid.Bool().Draw(t, "end"), which: rapid.IntRange(0, 5).Draw(t, "which"),
		name: rapid.IntRange(0, 9).Draw(t, "name"), print: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "print"),
		size: rapid.IntRange(0, 120).Draw(t, "size"), class: rapid.IntRange(0, 1).Draw(t, "class"),
		tenant: rapid.IntRange(-1, 1).Draw(t, "tenant"), outcome: End(rapid.IntRange(0, 2).Draw(t, "how")),
		windows: rapid.SampledFrom(changedWindows).Draw(t, "under")}
})

// expected is what the specification knows of a key, by the plainest means.
type expected struct {
	call    Call
	windows Windows // under which it began
	running bool
	outcome End
	ended   float64
	body    any
}

type table interface {
	Ask(now float64, c Call) Decision
	End(now float64, ref Ref, how End, body any, size int)
	Counts() Counts
	Held(tenant int) int
	Next() float64
	Tick(now float64)
}

// checkHistory plays a history and returns which rule was broken, "" for none.
func checkHistory(b table, set Settings, ops []step) string {
	now, latest, runs := 1000.0, 0.0, 0
	known, openRuns := map[Name]*expected{}, []Ref{}
	keyOfRun := map[Ref]Name{}
	for _, o := range ops {
		now += o.wait
		latest = max(latest, now) // the table's time stands still where the clock goes back
		if o.ends && len(openRuns) > 0 {
			at := o.which % len(openRuns)
			ref := openRuns[at]
			openRuns = append(openRuns[:at], openRuns[at+1:]...)
			runs++
			body := any(fmt.Sprint("body ", runs))
			k := known[keyOfRun[ref]]
			k.running, k.outcome, k.body, k.ended = false, o.outcome, body, latest
			b.End(now, ref, o.outcome, body, o.size)
		} else {
			c := Call{Name: keyOf(o.name), Class: o.class, Tenant: o.tenant, Windows: o.windows}
			c.Print[0] = byte(o.print)
			before, k := b.Counts(), known[c.Name]
			d := b.Ask(now, c)
			window, ran := 0.0, false // in which a call of the class must not run again
			if k != nil && !k.running && k.outcome != EndNotRun {
				window, ran = k.windows.Answered, true
				if k.outcome == EndInDoubt {
					window = k.windows.Doubt
				}
			}
			within := ran && latest < k.ended+window
			once := set.Classes[c.Class].Once
			switch d.Verdict {
			case Run, Pass:
				switch {
				case k != nil && k.running:
					return "ran a second time while the first one ran"
				case within && set.Classes[k.call.Class].Once:
					return "ran again within its window"
				case d.Verdict == Pass && once:
					return "let a call go on unrecorded that must never run twice"
				}
				if d.Verdict == Run {
					windows := Windows{set.Classes[c.Class].Answered, set.Classes[c.Class].Doubt}
					if o.windows != nil {
						windows = *o.windows
					}
					known[c.Name] = &expected{call: c, windows: windows, running: true}
					keyOfRun[d.Ref] = c.Name
					openRuns = append(openRuns, d.Ref)
				}
			case Join:
				if k == nil || !k.running || k.call.Print != c.Print || k.call.Class != c.Class {
					return "joined to what does not run"
				}
			case Replay:
				if !ran || k.outcome != EndServed || d.Body != k.body || k.call.Print != c.Print {
					return "replayed another answer than the one that was given"
				}
			case Spent, Doubt:
				if !within {
					return "called spent or in doubt what is not"
				}
			case Mismatch:
				if k == nil || k.call.Print == c.Print && k.call.Class == c.Class {
					return "called different what is the same"
				}
			case Full:
				room := float64(set.Entries - before.Pinned)
				if room > 0 && float64(b.Held(c.Tenant)) < set.Alpha*room && before.Entries < set.Entries {
					return "turned away though there was room"
				}
			}
		}
		c := b.Counts()
		switch {
		case c.Entries > set.Entries || c.Bytes > set.Bytes:
			return "outgrew its bounds"
		case c.Entries != c.Running+c.Answered+c.Spent+c.Doubt || c.Running != len(openRuns):
			return "lost count, or a running entry"
		}
	}
	for _, ref := range openRuns {
		b.End(now, ref, EndServed, "last", 1)
	}
	b.Tick(now + 1e6)
	if c := b.Counts(); c.Entries != 0 || c.Pinned != 0 || c.Bytes != 0 || !math.IsInf(b.Next(), 1) {
		return "kept something after all windows"
	}
	return ""
}

// Guards against a second run, another response, a lost run, growth beyond the bounds and needless rejections, whatever
// the order of calls, ends and clocks.
func TestRandomHistoriesKeepTheSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(small)
		require.NoError(t, err)
		ops := rapid.SliceOfN(drawStep, 1, 60).Draw(t, "ops")
		if wrong := checkHistory(b, small, ops); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// lateRecorder records an end only after the next call.
type lateRecorder struct {
	*Book
	pending []func()
}

func (l *lateRecorder) End(now float64, ref Ref, how End, _ any, size int) {
	l.pending = append(l.pending, func() { l.Book.End(now, ref, how, "another", size) })
}

func (l *lateRecorder) Ask(now float64, c Call) Decision {
	d := l.Book.Ask(now, c)
	for _, f := range l.pending {
		f()
	}
	l.pending = nil
	return d
}

// runningEvicter evicts a running entry when it is full.
type runningEvicter struct{ *Book }

func (f runningEvicter) Ask(now float64, c Call) Decision {
	if b := f.Book; b.counts.Entries == b.config.Entries {
		for slot := range b.entries {
			if b.entries[slot].state == stateRunning {
				b.addToCounts(int32(slot), -1)
				b.remove(int32(slot))
				break
			}
		}
	}
	return f.Book.Ask(now, c)
}

// windowShifter applies changed windows to the keys that it holds, too.
type windowShifter struct{ *Book }

func (h windowShifter) Ask(now float64, c Call) Decision {
	if c.Windows != nil {
		for i := range h.lanes {
			if l := &h.lanes[i]; int(l.class) == c.Class {
				for _, q := range []queue{l.executed, l.inDoubt} {
					for slot := q.head; slot >= 0; slot = h.entries[slot].links[byExpiry].next {
						h.entries[slot].expires += c.Windows.Answered - l.Answered
					}
				}
			}
		}
	}
	return h.Book.Ask(now, c)
}

// tableReplacer begins with an empty table when windows change.
type tableReplacer struct {
	*Book
	windows *Windows
}

func (f *tableReplacer) Ask(now float64, c Call) Decision {
	if f.windows != c.Windows {
		list := f.Image()
		f.Book, _ = New(small)
		for _, k := range list {
			if k.Running {
				f.Resume(now, k.Call)
			}
		}
		f.windows = c.Windows
	}
	return f.Book.Ask(now, c)
}

// Guards against a checker that cannot fail: each planted fault must be found.
func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	short := small
	short.Classes = []Class{{Once: true, Answered: 40, Doubt: 80}, small.Classes[1]}
	roomy := small
	roomy.Entries = 7
	for what, make := range map[string]func() table{
		"a window that is too short":                 func() table { b, _ := New(short); return b },
		"a bound that is too high":                   func() table { b, _ := New(roomy); return b },
		"an outcome recorded late":                   func() table { b, _ := New(small); return &lateRecorder{Book: b} },
		"a running entry evicted":                    func() table { b, _ := New(small); return runningEvicter{b} },
		"windows of known keys that follow a change": func() table { b, _ := New(small); return windowShifter{b} },
		"a table that a change empties":              func() table { b, _ := New(small); return &tableReplacer{Book: b} },
	} {
		caught := ""
		for seed := 0; seed < 2000 && caught == ""; seed++ {
			caught = checkHistory(make(), small, rapid.SliceOfN(drawStep, 60, 60).Example(seed))
		}
		assert.NotEmpty(t, caught, what)
	}
}

// Guards against one tenant that fills the table for all others, and a rejection without a time to retry after.
func TestTenantThatFillsTheTableIsRejectedFirst(t *testing.T) {
	set := small
	set.Entries = 300
	b, err := New(set)
	require.NoError(t, err)
	taken, refused := 0, Decision{}
	for i := range 1000 {
		d := b.Ask(float64(i)/1000, Call{Name: keyOf(i), Tenant: 0})
		if d.Verdict == Full {
			refused = d
			continue
		}
		taken++
		b.End(float64(i)/1000, d.Ref, EndInDoubt, nil, 0)
	}
	assert.Equal(t, 200, taken, "twice the capacity that is not pinned")
	assert.InDelta(t, 80, refused.Wait, 1.1)
	for i := range 66 {
		assert.Equal(t, Run, b.Ask(1, Call{Name: keyOf(2000 + i), Tenant: 1}).Verdict)
	}
}

// Guards against entries from before a restart that are lost, younger than they are, or replace newer ones.
func TestRestoreKeepsAgesAndBounds(t *testing.T) {
	roomy := small
	roomy.Entries = 60
	b, err := New(roomy)
	require.NoError(t, err)
	call := func(i int) Call { return Call{Name: keyOf(i)} }
	for _, k := range []Known{{Call: call(1), Running: true}, {Call: call(2), Served: true, Age: 20, Body: "two", Size: 3},
		{Call: call(3), Served: true, Age: -1e9}, {Call: call(4), Age: 79}, {Call: call(5), Age: 81}} {
		require.True(t, b.Restore(5000, k))
	}
	want := func(now float64, verdicts ...Verdict) {
		for i, v := range verdicts {
			c := call(i + 1)
			got := b.Ask(now, c)
			assert.Equal(t, v, got.Verdict, "name %d at %g", i+1, now)
			if got.Verdict == Run {
				b.End(now, got.Ref, EndNotRun, nil, 0)
			}
		}
	}
	want(5000, Doubt, Replay, Spent, Doubt, Run)
	want(5029, Doubt, Replay, Spent, Run, Run)
	want(5049, Doubt, Run, Spent)
	want(5079, Doubt, Run, Run)
	want(5080, Run)
	full, err := New(small)
	require.NoError(t, err)
	for i := range 6 {
		require.True(t, full.Restore(0, Known{Call: call(i), Running: true}))
	}
	assert.False(t, full.Restore(0, Known{Call: call(7)}))
}

// Guards against unbounded lanes, a key that is claimed where it cannot be kept for as long as its class says, and one that
// an image restores under other windows.
func TestLanesAreBoundedAndReused(t *testing.T) {
	roomy := small
	roomy.Entries = 1e6
	b, err := New(roomy)
	require.NoError(t, err)
	under := func(i int) *Windows { return &Windows{Answered: 1000 + float64(i), Doubt: 1} }
	take := func(n, i int) Verdict {
		d := b.Ask(0, Call{Name: keyOf(n), Windows: under(i)})
		if d.Verdict == Run {
			b.End(0, d.Ref, EndServed, nil, 1000)
		}
		return d.Verdict
	}
	for i := range maxLanes {
		require.Equal(t, Run, take(i, i))
	}
	assert.Equal(t, Full, take(maxLanes, maxLanes))
	assert.Equal(t, Run, take(maxLanes, 5), "windows that other keys have")
	heir, err := New(roomy)
	require.NoError(t, err)
	for _, k := range b.Image() {
		require.True(t, heir.Restore(0, k))
	}
	for _, b := range []*Book{b, heir} {
		assert.Equal(t, 1000.0, b.Next())
		b.Tick(1000)
		assert.Equal(t, maxLanes, b.Counts().Entries)
		assert.Equal(t, 1001.0, b.Next())
	}
	assert.Equal(t, Run, take(maxLanes+1, maxLanes), "a lane is reused")
	assert.Len(t, b.lanes, maxLanes)
}

// Guards against entries that cost more memory than EntryBytes.
func TestEntryFitsItsStatedMemory(t *testing.T) {
	const n = 100_000
	set := Settings{Classes: small.Classes, Entries: n, Alpha: 1e9, Tenants: 1}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b, err := New(set)
	require.NoError(t, err)
	for i := range n {
		b.Ask(0, Call{Name: keyOf(i)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, n, b.Counts().Entries)
	assert.Less(t, float64(after.HeapAlloc-before.HeapAlloc)/n, float64(EntryBytes))
}

// Guards against settings that are accepted though they are out of range.
func TestInvalidSettingsNameTheirField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"classes":    func(s *Settings) { s.Classes = nil },
		"entries":    func(s *Settings) { s.Entries = 0 },
		"bytes":      func(s *Settings) { s.Bytes = -1 },
		"tenants":    func(s *Settings) { s.Tenants = -1 },
		"alpha":      func(s *Settings) { s.Alpha = math.NaN() },
		"classes[0]": func(s *Settings) { s.Classes = []Class{{Doubt: math.Inf(1)}} },
	} {
		set := small
		change(&set)
		_, err := New(set)
		var wrong *FieldError
		require.ErrorAs(t, err, &wrong)
		assert.Equal(t, field, wrong.Field)
	}
}

// BenchmarkFullTable is one new call, from Ask to End, in a table that is full of others.
func BenchmarkFullTable(b *testing.B) {
	book, err := New(Settings{Classes: []Class{{Once: true, Answered: 1000, Doubt: 1000}}, Entries: 100_000, Bytes: 1 << 20,
		Alpha: 1e9})
	require.NoError(b, err)
	body := any("body")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := float64(i) / 50
		if d := book.Ask(now, Call{Name: keyOf(i)}); d.Verdict == Run {
			book.End(now, d.Ref, EndServed, body, 200)
		}
	}
}
