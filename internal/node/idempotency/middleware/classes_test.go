package middleware

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// classesWith returns the classes of settings, with the first one changed.
func classesWith(change func(c *Class)) []Class {
	set := settings()
	for i := range set.Classes {
		w := set.Table.Classes[i]
		set.Classes[i].Windows = &idempotency.Windows{Answered: w.AnsweredWindow, Doubt: w.InDoubtWindow}
	}
	change(&set.Classes[0])
	return set.Classes
}

func classesWithWindows(answered, doubt float64) []Class {
	return classesWith(func(c *Class) { c.Windows = &idempotency.Windows{Answered: answered, Doubt: doubt} })
}

var classesRemoved = classesWith(func(c *Class) { *c = Class{Windows: &idempotency.Windows{}} })

// late returns a call whose deadline is far away.
func late(key string) *core.Call {
	call := newCall(0, key, "b")
	call.Deadline = 1e6
	return call
}

// heldKeys returns how many keys the table holds now.
func (s *Middleware) heldKeys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Tick(s.clock.Now())
	return s.table.Counts().Entries
}

// Guards against a key that a change of its class removes, or keeps for another window than that under which it
// was claimed: windows that get shorter or longer, a class that is removed, and one that is added again; and
// against keys of a removed class.
func TestKeysKeepTheirWindows(t *testing.T) {
	set := settings()
	set.MaxRun = 100
	s, c := newStage(t, set) // 1000 ms answered, 2000 in doubt, now 1000
	ran := map[string]int{}
	answer := served
	wrapped := s.Wrap(func(call *core.Call) core.Answer { ran[string(call.Key)]++; return answer })
	serve := func(key string) core.Answer { return wrapped(late(key)) }
	doubtful := core.Answer{Kind: core.Failed, Fault: core.Unavailable, Ran: true}
	serve("a")
	answer = doubtful
	serve("d")
	answer = served
	require.NoError(t, s.SetClasses(classesWithWindows(10, 10)))
	serve("short")
	c.Advance(11)
	serve("short")
	require.NoError(t, s.SetClasses(classesRemoved))
	serve("none")
	serve("none")
	assert.Equal(t, map[string]int{"a": 1, "d": 1, "short": 2, "none": 2}, ran)
	assert.Equal(t, core.Fail(core.KeyMismatch, ReasonMismatch), wrapped(newCall(0, "a", "other")))
	c.Advance(900) // 1911
	assert.Equal(t, served, serve("a"))
	require.NoError(t, s.SetClasses(classesWithWindows(5000, 5000)))
	assert.Equal(t, served, serve("a"))
	serve("long")
	c.Advance(88) // 1999
	assert.Equal(t, 1, ran["a"])
	serve("a")
	assert.Equal(t, 1, ran["a"])
	c.Advance(1) // 2000: a's window is over, and a longer one applies to its next run
	serve("a")
	assert.Equal(t, 2, ran["a"])
	require.NoError(t, s.SetClasses(classesRemoved))
	c.Advance(999) // 2999
	assert.Equal(t, core.Fail(core.Duplicate, ReasonInDoubt), serve("d"))
	c.Advance(1)
	serve("d")
	assert.Equal(t, 2, ran["d"])
	c.Advance(3910) // 6910
	assert.Equal(t, served, serve("long"))
	c.Advance(1)
	serve("long")
	assert.Equal(t, map[string]int{"a": 2, "d": 2, "short": 2, "none": 2, "long": 2}, ran)
	c.Advance(190) // 7101: every window has ended
	assert.Zero(t, s.heldKeys())
	assert.Greater(t, c.Now(), s.classes.Load().classes[0].knownUntil)
}

// Guards against a repeat that does not wait for a run that is in flight when its class changes, and a run that
// ends under other windows than it began.
func TestRunOutlivesAClassChange(t *testing.T) {
	for _, classes := range [][]Class{classesWithWindows(1, 1), classesWithWindows(9000, 9000), classesRemoved} {
		s, c := newStage(t, settings())
		r := newRuns()
		serve := s.Wrap(r.handle)
		answers := make(chan core.Answer, 2)
		go func() { answers <- serve(late("k")) }()
		<-r.begun
		require.NoError(t, s.SetClasses(classes))
		go func() { answers <- serve(late("k")) }()
		for joined := false; !joined; runtime.Gosched() {
			require.Empty(t, r.begun, "it runs a second time")
			s.mu.Lock()
			for _, r := range s.runs {
				joined = joined || r.waiters == 2
			}
			s.mu.Unlock()
		}
		r.end <- served
		assert.Equal(t, served, <-answers)
		assert.Equal(t, served, <-answers)
		c.Advance(999)
		go func() { answers <- serve(late("k")) }()
		select {
		case a := <-answers:
			assert.Equal(t, served, a)
		case <-r.begun:
			require.Fail(t, "it runs a second time")
		}
		c.Advance(1)
		assert.Zero(t, len(r.begun))
		assert.Zero(t, s.heldKeys())
	}
}

// agreed is a KeyLookup that holds keys for ever and counts lookups.
type agreed struct {
	names map[idempotency.Key][]byte
	looks int
}

func (a *agreed) Claim(c idempotency.Call, _ float64, left <-chan struct{}) ClaimResult {
	if t := a.Lookup(c, 0, left); t.Verdict != idempotency.Run {
		return t
	}
	a.names[c.Key] = nil
	return ClaimResult{Verdict: idempotency.Run}
}

func (a *agreed) Lookup(c idempotency.Call, _ float64, _ <-chan struct{}) ClaimResult {
	a.looks++
	if body, ok := a.names[c.Key]; ok {
		return ClaimResult{Verdict: idempotency.Replay, Body: body}
	}
	return ClaimResult{Verdict: idempotency.Run}
}

func (a *agreed) Complete(c idempotency.Call, _ ClaimResult, _ idempotency.Outcome, body []byte) {
	a.names[c.Key] = body
}

// Guards against a charge that another node has run, and that runs here because its class was removed, or is not
// replicated any more; and against lookups when no key can be held any more.
func TestReplicatedKeysAreFoundAfterAClassChange(t *testing.T) {
	recorded := classesWith(func(c *Class) { c.Replicated = true })
	for _, classes := range [][]Class{classesWith(func(*Class) {}), classesRemoved} {
		set, fleet := settings(), &agreed{names: map[idempotency.Key][]byte{}}
		set.Claimer, set.MaxRun, set.Classes = fleet, 100, recorded
		s, c := newStage(t, set)
		other, _ := newStage(t, set)
		ran := 0
		handle := func(*core.Call) core.Answer { ran++; return served }
		s.Wrap(handle)(late("mine"))
		other.Wrap(handle)(late("theirs"))
		require.NoError(t, s.SetClasses(classes))
		assert.Equal(t, served, s.Wrap(handle)(late("theirs")))
		assert.Equal(t, 2, ran)
		s.Wrap(handle)(late("nobody's"))
		assert.Equal(t, 3, ran)
		assert.Len(t, fleet.names, 2, "it is looked up, not claimed")
		require.NoError(t, s.SetClasses(recorded))
		s.Wrap(handle)(late("again"))
		assert.Len(t, fleet.names, 3)
		require.NoError(t, s.SetClasses(classes))
		c.Advance(2100) // a run may take 100, the longer window is 2000
		looks := fleet.looks
		s.Wrap(handle)(late("afterwards"))
		assert.Equal(t, looks, fleet.looks)
	}
}

// Guards against a change of a class's naming, also after the class was removed and added again; and against a
// first policy that may not choose the naming.
func TestNamingOfAClassCannotChange(t *testing.T) {
	other := classesWith(func(c *Class) { c.Naming = Naming{Body: true} })
	s, _ := newStage(t, settings())
	require.NoError(t, s.SetClasses(other), "no call has a key yet")
	s.FixNaming()
	back := classesWith(func(*Class) {})
	var wrong *NamingError
	require.ErrorAs(t, s.SetClasses(back), &wrong)
	assert.Equal(t, 0, wrong.Class)
	require.NoError(t, s.SetClasses(classesRemoved))
	require.ErrorAs(t, s.SetClasses(back), &wrong)
	require.NoError(t, s.SetClasses(other))
	s, _ = newStage(t, settings())
	s.Wrap(func(*core.Call) core.Answer { return served })(late("k"))
	require.ErrorAs(t, s.SetClasses(other), &wrong, "a call has a key")
}
