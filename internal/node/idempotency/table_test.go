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

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of rapid
)

func keyOf(i int) (n Key) {
	binary.BigEndian.PutUint64(n[:], uint64(i)*0x9e3779b97f4a7c15)
	return n
}

var small = Settings{Classes: []Class{{AtMostOnce: true, AnsweredWindow: 50, InDoubtWindow: 80}, {AnsweredWindow: 30, InDoubtWindow: 20}}, Tenants: 2,
	MaxEntries: 6, MaxBodyBytes: 100, PinnedRatio: 2}

// step is one call, or the end of one, in a history of a table.
type step struct {
	wait                     float64
	ends                     bool // ends the open run number `which`; else it is a call
	which, name, print, size int
	class, tenant            int
	outcome                  Outcome
	windows                  *Windows // of the call, as after a change of its class; nil = the class's
}

// changedWindows are the windows that a call may bring.
var changedWindows = []*Windows{nil, nil, {Answered: 90, Doubt: 10}, {Answered: 5, Doubt: 200}, {}}

var drawStep = rapid.Custom(func(t *rapid.T) step {
	return step{wait: rapid.SampledFrom([]float64{0, 0, 1, 5, 30, 90, -40}).Draw(t, "wait"),
		ends: rapid.Bool().Draw(t, "end"), which: rapid.IntRange(0, 5).Draw(t, "which"),
		name: rapid.IntRange(0, 9).Draw(t, "name"), print: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "print"),
		size: rapid.IntRange(0, 120).Draw(t, "size"), class: rapid.IntRange(0, 1).Draw(t, "class"),
		tenant: rapid.IntRange(-1, 1).Draw(t, "tenant"), outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "how")),
		windows: rapid.SampledFrom(changedWindows).Draw(t, "under")}
})

// expected is the state of a key in the specification, kept in the simplest way.
type expected struct {
	call    Call
	windows Windows // under which it began
	running bool
	outcome Outcome
	ended   float64
	body    any
}

type table interface {
	Claim(now float64, c Call) Decision
	Complete(now float64, ref Ref, how Outcome, body any, size int)
	Counts() Counts
	Pinned(tenant int) int
	NextExpiry() float64
	Tick(now float64)
}

// checkHistory runs a history against a table and returns the rule that was broken, "" for none.
func checkHistory(b table, set Settings, ops []step) string {
	now, latest, runs := 1000.0, 0.0, 0
	known, openRuns := map[Key]*expected{}, []Ref{}
	keyOfRun := map[Ref]Key{}
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
			b.Complete(now, ref, o.outcome, body, o.size)
		} else {
			c := Call{Key: keyOf(o.name), Class: o.class, Tenant: o.tenant, Windows: o.windows}
			c.Fingerprint[0] = byte(o.print)
			before, k := b.Counts(), known[c.Key]
			d := b.Claim(now, c)
			window, ran := 0.0, false // in which a call of the class must not run again
			if k != nil && !k.running && k.outcome != OutcomeNotExecuted {
				window, ran = k.windows.Answered, true
				if k.outcome == OutcomeInDoubt {
					window = k.windows.Doubt
				}
			}
			within := ran && latest < k.ended+window
			once := set.Classes[c.Class].AtMostOnce
			switch d.Verdict {
			case Run, RunUnrecorded:
				switch {
				case k != nil && k.running:
					return "ran a second time while the first one ran"
				case within && set.Classes[k.call.Class].AtMostOnce:
					return "ran again within its window"
				case d.Verdict == RunUnrecorded && once:
					return "let a call that must never run twice run unrecorded"
				}
				if d.Verdict == Run {
					windows := Windows{set.Classes[c.Class].AnsweredWindow, set.Classes[c.Class].InDoubtWindow}
					if o.windows != nil {
						windows = *o.windows
					}
					known[c.Key] = &expected{call: c, windows: windows, running: true}
					keyOfRun[d.Ref] = c.Key
					openRuns = append(openRuns, d.Ref)
				}
			case Join:
				if k == nil || !k.running || k.call.Fingerprint != c.Fingerprint || k.call.Class != c.Class {
					return "joined a call that is not running"
				}
			case Replay:
				if !ran || k.outcome != OutcomeServed || d.Body != k.body || k.call.Fingerprint != c.Fingerprint {
					return "replayed another response than that of the run"
				}
			case Executed, InDoubt:
				if !within {
					return "returned Executed or InDoubt for a call that is neither"
				}
			case Mismatch:
				if k == nil || k.call.Fingerprint == c.Fingerprint && k.call.Class == c.Class {
					return "returned Mismatch for equal calls"
				}
			case Full:
				capacity := float64(set.MaxEntries - before.Pinned)
				if capacity > 0 && float64(b.Pinned(c.Tenant)) < set.PinnedRatio*capacity && before.Entries < set.MaxEntries {
					return "rejected although there was capacity"
				}
			}
		}
		c := b.Counts()
		switch {
		case c.Entries > set.MaxEntries || c.Bytes > set.MaxBodyBytes:
			return "exceeded its bounds"
		case c.Entries != c.Running+c.Answered+c.Executed+c.InDoubt || c.Running != len(openRuns):
			return "miscounted its entries, or lost a running one"
		}
	}
	for _, ref := range openRuns {
		b.Complete(now, ref, OutcomeServed, "last", 1)
	}
	b.Tick(now + 1e6)
	if c := b.Counts(); c.Entries != 0 || c.Pinned != 0 || c.Bytes != 0 || !math.IsInf(b.NextExpiry(), 1) {
		return "kept an entry beyond all windows"
	}
	return ""
}

// Guards against a second run, a different response, a lost run, growth beyond the bounds and needless rejections,
// whatever the order of calls, ends and clock readings.
func TestRandomHistoriesMeetTheSpecification(t *testing.T) {
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
	*Table
	pending []func()
}

func (l *lateRecorder) Complete(now float64, ref Ref, how Outcome, _ any, size int) {
	l.pending = append(l.pending, func() { l.Table.Complete(now, ref, how, "another", size) })
}

func (l *lateRecorder) Claim(now float64, c Call) Decision {
	d := l.Table.Claim(now, c)
	for _, f := range l.pending {
		f()
	}
	l.pending = nil
	return d
}

// runningEvicter evicts a running entry when it is full.
type runningEvicter struct{ *Table }

func (f runningEvicter) Claim(now float64, c Call) Decision {
	if b := f.Table; b.counts.Entries == b.config.MaxEntries {
		for slot := range b.entries {
			if b.entries[slot].state == stateRunning {
				b.addToCounts(int32(slot), -1)
				b.remove(int32(slot))
				break
			}
		}
	}
	return f.Table.Claim(now, c)
}

// windowShifter applies changed windows to the keys that it holds, too.
type windowShifter struct{ *Table }

func (h windowShifter) Claim(now float64, c Call) Decision {
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
	return h.Table.Claim(now, c)
}

// tableReplacer begins with an empty table when windows change.
type tableReplacer struct {
	*Table
	windows *Windows
}

func (f *tableReplacer) Claim(now float64, c Call) Decision {
	if f.windows != c.Windows {
		list := f.Snapshot()
		f.Table, _ = New(small)
		for _, k := range list {
			if k.Running {
				f.Resume(now, k.Call)
			}
		}
		f.windows = c.Windows
	}
	return f.Table.Claim(now, c)
}

// Guards against a checker that cannot fail: each planted fault must be found.
func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	short := small
	short.Classes = []Class{{AtMostOnce: true, AnsweredWindow: 40, InDoubtWindow: 80}, small.Classes[1]}
	large := small
	large.MaxEntries = 7
	for what, make := range map[string]func() table{
		"a window that is too short":                 func() table { b, _ := New(short); return b },
		"a bound that is too high":                   func() table { b, _ := New(large); return b },
		"an outcome recorded late":                   func() table { b, _ := New(small); return &lateRecorder{Table: b} },
		"a running entry evicted":                    func() table { b, _ := New(small); return runningEvicter{b} },
		"windows of known keys that follow a change": func() table { b, _ := New(small); return windowShifter{b} },
		"a table that a change empties":              func() table { b, _ := New(small); return &tableReplacer{Table: b} },
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
	set.MaxEntries = 300
	b, err := New(set)
	require.NoError(t, err)
	accepted, rejected := 0, Decision{}
	for i := range 1000 {
		d := b.Claim(float64(i)/1000, Call{Key: keyOf(i), Tenant: 0})
		if d.Verdict == Full {
			rejected = d
			continue
		}
		accepted++
		b.Complete(float64(i)/1000, d.Ref, OutcomeInDoubt, nil, 0)
	}
	assert.Equal(t, 200, accepted, "twice the capacity that is not pinned")
	assert.InDelta(t, 80, rejected.RetryAfter, 1.1)
	for i := range 66 {
		assert.Equal(t, Run, b.Claim(1, Call{Key: keyOf(2000 + i), Tenant: 1}).Verdict)
	}
}

// Guards against entries from before a restart that are lost, younger than they are, or replace newer ones.
func TestRestoreKeepsAgesAndBounds(t *testing.T) {
	large := small
	large.MaxEntries = 60
	b, err := New(large)
	require.NoError(t, err)
	call := func(i int) Call { return Call{Key: keyOf(i)} }
	for _, k := range []Entry{{Call: call(1), Running: true}, {Call: call(2), Served: true, Age: 20, Body: "two", Size: 3},
		{Call: call(3), Served: true, Age: -1e9}, {Call: call(4), Age: 79}, {Call: call(5), Age: 81}} {
		require.True(t, b.Restore(5000, k))
	}
	want := func(now float64, verdicts ...Verdict) {
		for i, v := range verdicts {
			c := call(i + 1)
			got := b.Claim(now, c)
			assert.Equal(t, v, got.Verdict, "key %d at %g", i+1, now)
			if got.Verdict == Run {
				b.Complete(now, got.Ref, OutcomeNotExecuted, nil, 0)
			}
		}
	}
	want(5000, InDoubt, Replay, Executed, InDoubt, Run)
	want(5029, InDoubt, Replay, Executed, Run, Run)
	want(5049, InDoubt, Run, Executed)
	want(5079, InDoubt, Run, Run)
	want(5080, Run)
	full, err := New(small)
	require.NoError(t, err)
	for i := range 6 {
		require.True(t, full.Restore(0, Entry{Call: call(i), Running: true}))
	}
	assert.False(t, full.Restore(0, Entry{Call: call(7)}))
}

// Guards against unbounded lanes, a key that is claimed where it cannot be kept for as long as its class says, and
// one that a snapshot restores under other windows.
func TestLanesAreBoundedAndReused(t *testing.T) {
	large := small
	large.MaxEntries = 1e6
	b, err := New(large)
	require.NoError(t, err)
	under := func(i int) *Windows { return &Windows{Answered: 1000 + float64(i), Doubt: 1} }
	claim := func(n, i int) Verdict {
		d := b.Claim(0, Call{Key: keyOf(n), Windows: under(i)})
		if d.Verdict == Run {
			b.Complete(0, d.Ref, OutcomeServed, nil, 1000)
		}
		return d.Verdict
	}
	for i := range maxLanes {
		require.Equal(t, Run, claim(i, i))
	}
	assert.Equal(t, Full, claim(maxLanes, maxLanes))
	assert.Equal(t, Run, claim(maxLanes, 5), "windows that other keys have")
	restored, err := New(large)
	require.NoError(t, err)
	for _, k := range b.Snapshot() {
		require.True(t, restored.Restore(0, k))
	}
	for _, b := range []*Table{b, restored} {
		assert.Equal(t, 1000.0, b.NextExpiry())
		b.Tick(1000)
		assert.Equal(t, maxLanes, b.Counts().Entries)
		assert.Equal(t, 1001.0, b.NextExpiry())
	}
	assert.Equal(t, Run, claim(maxLanes+1, maxLanes), "a lane is reused")
	assert.Len(t, b.lanes, maxLanes)
}

// Guards against entries that cost more memory than EntryBytes.
func TestEntryFitsItsStatedMemory(t *testing.T) {
	const n = 100_000
	set := Settings{Classes: small.Classes, MaxEntries: n, PinnedRatio: 1e9, Tenants: 1}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b, err := New(set)
	require.NoError(t, err)
	for i := range n {
		b.Claim(0, Call{Key: keyOf(i)})
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
		"entries":    func(s *Settings) { s.MaxEntries = 0 },
		"bytes":      func(s *Settings) { s.MaxBodyBytes = -1 },
		"tenants":    func(s *Settings) { s.Tenants = -1 },
		"alpha":      func(s *Settings) { s.PinnedRatio = math.NaN() },
		"classes[0]": func(s *Settings) { s.Classes = []Class{{InDoubtWindow: math.Inf(1)}} },
	} {
		set := small
		change(&set)
		_, err := New(set)
		var wrong *FieldError
		require.ErrorAs(t, err, &wrong)
		assert.Equal(t, field, wrong.Field)
	}
}

// BenchmarkFullTable measures one new call, from Claim to Complete, in a table that is full of others.
func BenchmarkFullTable(b *testing.B) {
	table, err := New(Settings{Classes: []Class{{AtMostOnce: true, AnsweredWindow: 1000, InDoubtWindow: 1000}}, MaxEntries: 100_000, MaxBodyBytes: 1 << 20,
		PinnedRatio: 1e9})
	require.NoError(b, err)
	body := any("body")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := float64(i) / 50
		if d := table.Claim(now, Call{Key: keyOf(i)}); d.Verdict == Run {
			table.Complete(now, d.Ref, OutcomeServed, body, 200)
		}
	}
}
