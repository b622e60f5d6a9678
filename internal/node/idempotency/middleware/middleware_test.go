package middleware

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/journal"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// text is a payload.
type text string

func (t text) Path() []byte         { return []byte("/pay") }
func (t text) Query() []byte        { return nil }
func (t text) Header(string) []byte { return nil }
func (t text) Body() []byte         { return []byte(t) }
func (t text) Size() int            { return len(t) }

func settings() Settings {
	return Settings{Classes: []Class{{Enabled: true, Naming: Naming{Key: true}}, {Enabled: true, Naming: Naming{Path: true, Body: true}}, {},
		{Enabled: true, Naming: Naming{Header: "X-Name"}, Required: true}, {Enabled: true, Naming: Naming{Key: true}, Recorded: true}},
		Table: idempotency.Settings{Classes: []idempotency.Class{{AtMostOnce: true, AnsweredWindow: 1000, InDoubtWindow: 2000}, {AnsweredWindow: 1000, InDoubtWindow: 1000},
			{}, {}, {AtMostOnce: true, AnsweredWindow: 1000, InDoubtWindow: 2000}}, MaxEntries: 1000, MaxBodyBytes: 1 << 20, PinnedRatio: 4},
		Secret: []byte("secret"), Content: func(p any) core.Content { return p.(core.Content) },
		Encode: func(p any) []byte { return []byte(p.(text)) }, Decode: func(b []byte) any { return text(b) },
		WallClock: func() float64 { return 0 }}
}

func newStage(t *testing.T, set Settings) (*Middleware, *clock.Manual) {
	c := clock.NewManual(1000)
	s, err := New(set, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return s, c
}

func newCall(class int, key, body string) *core.Call {
	return &core.Call{Class: class, Tenant: -1, Key: []byte(key), Payload: text(body), Deadline: 1900}
}

var served = core.Answer{Kind: core.Served, Payload: text("ok")}

// runs is a handler whose runs end when the test says so.
type runs struct {
	begun chan *core.Call
	end   chan core.Answer
}

func newRuns() runs { return runs{make(chan *core.Call, 300), make(chan core.Answer)} }

func (r runs) handle(call *core.Call) core.Answer {
	r.begun <- call
	select {
	case a := <-r.end:
		return a
	case <-call.Done():
		return core.Answer{Kind: core.ClientLeft, Ran: true}
	}
}

// awaitWaiters blocks until n clients wait for the only run.
func (s *Middleware) awaitWaiters(n int) {
	for have := -1; have != n; runtime.Gosched() {
		s.mu.Lock()
		for _, r := range s.runs {
			have = r.waiters
		}
		s.mu.Unlock()
	}
}

// Guards against a second run, and against another answer, for two hundred concurrent repeats and for later ones.
func TestConcurrentRepeatsShareOneRun(t *testing.T) {
	s, _ := newStage(t, settings())
	r := newRuns()
	serve := s.Wrap(r.handle)
	answers := make(chan core.Answer, 200)
	for range 200 {
		go func() { answers <- serve(newCall(0, "k", "body")) }()
	}
	s.awaitWaiters(200)
	r.end <- served
	for range 200 {
		assert.Equal(t, served, <-answers)
	}
	assert.Equal(t, served, serve(newCall(0, "k", "body")))
	assert.Equal(t, core.Fail(core.KeyMismatch, ReasonMismatch), serve(newCall(0, "k", "other")))
	assert.Len(t, r.begun, 1)
	assert.Empty(t, s.runs)
}

// Guards against a run that ends with its first client while others wait for it, one that goes on for nobody, and
// a repeat that gets no answer because it joined a run that was being cancelled.
func TestRunIsCancelledWhenTheLastClientLeaves(t *testing.T) {
	s, c := newStage(t, settings())
	r := newRuns()
	serve := s.Wrap(r.handle)
	first, second, third := newCall(0, "k", "b"), newCall(0, "k", "b"), newCall(0, "k", "b")
	answers := map[*core.Call]chan core.Answer{}
	for _, call := range []*core.Call{first, second, third} {
		out := make(chan core.Answer, 1)
		answers[call] = out
		go func() { out <- serve(call) }()
		if call == first {
			<-r.begun
		}
	}
	s.awaitWaiters(3)
	first.Cancel()
	second.Cancel()
	assert.Equal(t, core.ClientLeft, (<-answers[second]).Kind)
	r.end <- served
	assert.Equal(t, served, <-answers[third])
	assert.Equal(t, core.ClientLeft, (<-answers[first]).Kind)

	last := newCall(0, "k2", "b")
	go func() { answers[first] <- serve(last) }()
	run := <-r.begun
	last.Cancel()
	<-run.Done()
	<-answers[first]
	assert.Equal(t, core.Fail(core.Duplicate, ReasonInDoubt), serve(newCall(0, "k2", "b")), "it may have run")

	// The run is cancelled and has not executed: the call that joined at that moment runs next.
	go func() { answers[first] <- serve(newCall(0, "k3", "b")) }()
	<-r.begun
	joined := newCall(0, "k3", "b")
	go func() { answers[second] <- serve(joined) }()
	s.awaitWaiters(2)
	r.end <- core.Answer{Kind: core.ClientLeft}
	<-r.begun
	r.end <- served
	assert.Equal(t, served, <-answers[second])
	<-answers[first]

	// A repeat's own deadline is before that of the run it waits for.
	go func() { answers[first] <- serve(newCall(0, "k4", "b")) }()
	<-r.begun
	go func() { answers[second] <- serve(newCall(0, "k4", "b")) }()
	s.awaitWaiters(2)
	c.Advance(900)
	assert.Equal(t, core.Fail(core.Unavailable, ReasonTimeout), <-answers[second])
	r.end <- served
	assert.Equal(t, served, <-answers[first])
}

// Guards against a repeat that runs though the first call may have executed, that does not run though it did not,
// and against a panic after which a run never ends.
func TestOnlyNotExecutedCallsRunAgain(t *testing.T) {
	s, _ := newStage(t, settings())
	next := served
	var panics bool
	count := 0
	serve := s.Wrap(func(*core.Call) core.Answer {
		if count++; panics {
			panic("on purpose")
		}
		return next
	})
	refused := core.Refuse(core.Busy, "full", 0)
	doubtful := core.Answer{Kind: core.Failed, Fault: core.Unavailable, Ran: true}
	doubt := core.Fail(core.Duplicate, ReasonInDoubt)
	for i, c := range []struct {
		class       int
		first, then core.Answer
		runs        int
	}{{0, refused, refused, 2}, {0, doubtful, doubt, 1}, {1, doubtful, doubtful, 2}, {2, served, served, 2},
		{3, core.Fail(core.Invalid, ReasonNoKey), core.Fail(core.Invalid, ReasonNoKey), 0}} {
		next, count = c.first, 0
		body := fmt.Sprint(i)
		assert.Equal(t, c.first, serve(newCall(c.class, body, body)), i)
		assert.Equal(t, c.then, serve(newCall(c.class, body, body)), i)
		assert.Equal(t, c.runs, count, i)
	}
	next, count = served, 0
	assert.Equal(t, served, serve(newCall(0, "", "b")), "a call without a key runs unrecognised")
	panics = true
	assert.Panics(t, func() { serve(newCall(0, "p", "b")) })
	panics = false
	assert.Equal(t, doubt, serve(newCall(0, "p", "b")))
	assert.Empty(t, s.runs)
}

// Guards against a charge that runs though the disk does not have its beginning, and against a repeat after a
// restart that runs again or gets another answer.
func TestRunIsRecordedBeforeItBegins(t *testing.T) {
	disk := wal.Disk{Path: t.TempDir()}
	set := settings()
	keep := journal.Settings{Classes: []string{"a", "b", "c", "d", "e"}, SegmentBytes: 1 << 20, Retention: 2000, MaxQueue: 10}
	open := func() (over chan struct{}) {
		var err error
		set.Journal, set.Entries, _, err = journal.Open(disk, keep, 0)
		require.NoError(t, err)
		over = make(chan struct{})
		go func(j *journal.Journal) { j.Run(); close(over) }(set.Journal)
		return over
	}
	over := open()
	s, _ := newStage(t, set)
	count, next := 0, served
	handle := func(*core.Call) core.Answer { count++; return next }
	assert.Equal(t, served, s.Wrap(handle)(newCall(4, "k", "b")))
	next = core.Answer{Kind: core.Failed, Fault: core.Unavailable, Ran: true}
	s.Wrap(handle)(newCall(4, "k2", "b"))
	set.Journal.Close()
	<-over
	assert.Equal(t, core.Refuse(core.Busy, ReasonUnrecorded, 0), s.Wrap(handle)(newCall(4, "k3", "b")))
	assert.Equal(t, 2, count)
	over = open()
	s, _ = newStage(t, set)
	assert.Equal(t, served, s.Wrap(handle)(newCall(4, "k", "b")))
	assert.Equal(t, core.Fail(core.Duplicate, ReasonInDoubt), s.Wrap(handle)(newCall(4, "k2", "b")))
	assert.Equal(t, 2, count)
	set.Journal.Close()
	<-over
}

// Guards against equal keys of calls whose parts differ, and different keys of equal calls.
func TestKeysFollowTheNaming(t *testing.T) {
	n := newKeyHasher([]byte("a"))
	seen := map[idempotency.Key]string{}
	for _, by := range []Naming{{Key: true}, {Path: true, Body: true, Headers: []string{"X"}}} {
		for class := range 2 {
			for tenant := -1; tenant < 2; tenant++ {
				for _, key := range []string{"k", "kk", "\x00"} {
					call := newCall(class, key, key)
					call.Tenant = tenant
					what := fmt.Sprint(by, class, tenant, key)
					name, print, ok := n.sum(&by, call, call.Payload.(text))
					require.True(t, ok)
					require.Empty(t, seen[name], what)
					seen[name] = what
					again, print2, _ := n.sum(&by, call, call.Payload.(text))
					require.Equal(t, name, again)
					require.Equal(t, print, print2)
					other, _, _ := newKeyHasher([]byte("b")).sum(&by, call, call.Payload.(text))
					require.NotEqual(t, name, other, "another secret")
				}
			}
		}
	}
}

// Guards against a release that computes another key for a call than the previous one: nodes of both run side by
// side, and a repeat that arrives at the other one would run again.
func TestKeysKeepTheirHash(t *testing.T) {
	n := newKeyHasher([]byte("a secret of a fleet"))
	for want, by := range map[string]Naming{
		"d4729fc49b7460942b66351784c57062 3f9fc0a96860b1c6d4a0a2b991c6b078": {Key: true},
		"e61d194680a937ac45cebefdc0075cbc 3f9fc0a96860b1c6d4a0a2b991c6b078": {Path: true, Query: true, Body: true, Headers: []string{"X"}},
	} {
		call := newCall(1, "a key", "a body")
		call.Tenant = 2
		name, print, ok := n.sum(&by, call, call.Payload.(text))
		require.True(t, ok)
		assert.Equal(t, want, fmt.Sprintf("%x %x", name, print))
	}
}

// clientRequest is the request of a client, clientResult its answer: the number of a response, or one of the
// constants.
type (
	clientRequest struct{ key int }
	clientResult  int
)

const (
	gotRefusal clientResult = -1
	gotFailure clientResult = -2
	unknown    clientResult = 0
)

// oneRunModel is the specification: at most one run, and one answer for all.
var oneRunModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[int][]porcupine.Operation{}
		for _, op := range history {
			by[op.Input.(clientRequest).key] = append(by[op.Input.(clientRequest).key], op)
		}
		parts := [][]porcupine.Operation{}
		for _, part := range by {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return unknown },
	Step: func(state, _, output any) (bool, any) {
		was, got := state.(clientResult), output.(clientResult)
		switch {
		case was == unknown && got == gotRefusal:
			return true, unknown
		case was == unknown:
			return true, got
		}
		return got == was, was
	},
}

// runHistory runs concurrent clients on a few keys, and returns the history that they observed and how often each
// key ran.
func runHistory(seed uint64, wrap func(core.Handler) core.Handler) ([]porcupine.Operation, map[int]int) {
	const clients, asks, names = 8, 40, 12
	var mu sync.Mutex
	var answers atomic.Int64
	ran, history := map[int]int{}, []porcupine.Operation{}
	serve := wrap(func(call *core.Call) core.Answer {
		rng := rand.New(rand.NewPCG(seed, uint64(answers.Add(1))))
		for range rng.IntN(20) {
			runtime.Gosched()
		}
		if rng.IntN(4) == 0 {
			return core.Refuse(core.Busy, "full", 0)
		}
		mu.Lock()
		ran[int(call.Key[0])]++
		mu.Unlock()
		if rng.IntN(4) == 0 {
			return core.Answer{Kind: core.Failed, Fault: core.Unavailable, Ran: true}
		}
		return core.Answer{Kind: core.Served, Payload: text(fmt.Sprint(answers.Add(1)))}
	})
	begin := time.Now()
	var wait sync.WaitGroup
	for client := range clients {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1000+uint64(client)))
			for range asks {
				name := rng.IntN(names)
				op := porcupine.Operation{ClientId: client, Input: clientRequest{name}, Call: int64(time.Since(begin))}
				a := serve(newCall(0, string(rune(name)), "b"))
				op.Return = int64(time.Since(begin))
				switch a.Kind {
				case core.Served:
					var n clientResult
					_, _ = fmt.Sscan(string(a.Payload.(text)), &n)
					op.Output = n
				case core.Refused:
					op.Output = gotRefusal
				default:
					op.Output = gotFailure
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return history, ran
}

// checkHistory returns an error that says which rule a history breaks.
func checkHistory(history []porcupine.Operation, ran map[int]int) error {
	for name, n := range ran {
		if n > 1 {
			return fmt.Errorf("key %d ran %d times", name, n)
		}
	}
	if !porcupine.CheckOperations(oneRunModel, history) {
		return errors.New("no order of the requests explains the answers")
	}
	return nil
}

// Guards against histories of concurrent clients that no order of "at most one run, one answer for all" explains;
// and against a checker that finds nothing, with a middleware that some calls bypass, and one that answers clients
// before it records.
func TestConcurrentHistoriesRunAtMostOnce(t *testing.T) {
	for seed := range uint64(20) {
		s, _ := newStage(t, settings())
		require.NoError(t, checkHistory(runHistory(seed, s.Wrap)))
	}
	bypassing := func(next core.Handler) core.Handler {
		s, _ := newStage(t, settings())
		recognised := s.Wrap(next)
		var n atomic.Int64
		return func(call *core.Call) core.Answer {
			if n.Add(1)%9 == 0 {
				return next(call)
			}
			return recognised(call)
		}
	}
	premature := func(next core.Handler) core.Handler {
		s, _ := newStage(t, settings())
		return s.Wrap(func(call *core.Call) core.Answer {
			a := next(call)
			a.Ran = false // as if the end were recorded before it was known
			return a
		})
	}
	for _, wrong := range []func(core.Handler) core.Handler{bypassing, premature} {
		var found error
		for seed := uint64(0); seed < 50 && found == nil; seed++ {
			found = checkHistory(runHistory(seed, wrong))
		}
		assert.Error(t, found)
	}
}

// BenchmarkStage measures a new call through the middleware alone.
func BenchmarkStage(b *testing.B) {
	s, err := New(settings(), clock.NewManual(1000), slog.New(slog.DiscardHandler))
	require.NoError(b, err)
	serve := s.Wrap(func(*core.Call) core.Answer { return served })
	body := text(make([]byte, 200))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		call := core.Call{Tenant: -1, Key: fmt.Append(nil, i), Payload: body, Deadline: 1e9}
		serve(&call)
	}
}
