package transfer

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
)

type text string

func (t text) Path() []byte         { return nil }
func (t text) Query() []byte        { return nil }
func (t text) Header(string) []byte { return nil }
func (t text) Body() []byte         { return []byte(t) }
func (t text) Size() int            { return len(t) }

// pipe is one direction of the channel. It breaks after `left` messages; those before still arrive.
type pipe struct {
	mu     sync.Mutex
	left   int
	queue  chan json.RawMessage
	closed bool
}

func newPipe(messages int) *pipe {
	return &pipe{left: messages, queue: make(chan json.RawMessage, 9999)}
}

func (p *pipe) send(m json.RawMessage) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left--; p.left < 0 || p.closed {
		p.end()
		return errors.New("broken")
	}
	p.queue <- m
	return nil
}

func (p *pipe) end() {
	if !p.closed {
		p.closed = true
		close(p.queue)
	}
}

func (p *pipe) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end()
}

// Guards against a call that runs twice, gets two answers or waits for ever, whichever of its repeats arrive at
// the old and at the new process, before, during and after the transfer, and wherever the channel breaks.
func TestOneTableAtAnyMomentOfTheTransfer(t *testing.T) {
	joined, broke, refused, doubt := atomic.Int64{}, 0, atomic.Int64{}, atomic.Int64{}
	for seed := range uint64(40) {
		chance := rand.New(rand.NewPCG(seed, 1))
		most := 1 << 30
		if seed%2 == 1 {
			most = chance.IntN(120)
			broke++
		}
		c := clock.NewManual(1000)
		var ran, ranInOld sync.Map
		stage := func(old bool, secret string) (*middleware.Middleware, core.Handler) {
			s, err := middleware.New(middleware.Settings{Classes: []middleware.Class{{Enabled: true, Naming: middleware.Naming{Key: true}}}, Secret: []byte(secret),
				Table:   idempotency.Settings{Classes: []idempotency.Class{{AtMostOnce: true, AnsweredWindow: 1e6, InDoubtWindow: 1e6}}, MaxEntries: 1000, MaxBodyBytes: 1 << 20, PinnedRatio: 4},
				Content: func(p any) core.Content { return p.(core.Content) }, Encode: func(p any) []byte { return []byte(p.(text)) },
				Decode: func(b []byte) any { return text(b) }, WallClock: c.Now}, c, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			return s, s.Wrap(func(call *core.Call) core.Answer {
				n, _ := ran.LoadOrStore(string(call.Key), new(atomic.Int64))
				if call.Key[0]%4 == 0 && n.(*atomic.Int64).Load() == 0 {
					time.Sleep(time.Millisecond)
					return core.Refuse(core.Busy, "a rater declines", 0)
				}
				if old {
					ranInOld.Store(string(call.Key), true)
				}
				run := n.(*atomic.Int64).Add(1)
				time.Sleep(time.Duration(call.Cost) * time.Millisecond)
				return core.Answer{Kind: core.Served, Ran: true, Payload: text(fmt.Sprintf("%s %d old=%t", call.Key, run, old))}
			})
		}
		before, oldHandler := stage(true, "drawn there")
		after, newHandler := stage(false, "drawn here")
		there, back := newPipe(most), newPipe(1<<30)
		sender := NewSender(before, c, slog.New(slog.DiscardHandler), there.send)
		receiver := Await(after, c, slog.New(slog.DiscardHandler), back.send)
		var read, calls sync.WaitGroup
		read.Go(func() {
			for m := range there.queue {
				assert.NoError(t, receiver.Receive(m))
			}
			back.cut()
			receiver.Lost(true)
		})
		read.Go(func() {
			for m := range back.queue {
				assert.NoError(t, sender.Receive(m))
			}
			sender.Lost()
		})
		answers := sync.Map{}
		ask := func(serve core.Handler, atNew bool, name int, cost float64) {
			key := []byte{byte('a' + name%16), byte('a' + name/16)}
			a := serve(&core.Call{Tenant: -1, Key: key, Payload: text("x"), Cost: cost, Deadline: 1e9})
			switch {
			case a.Kind == core.Served:
				if first, known := answers.LoadOrStore(string(key), a.Payload); known {
					assert.Equal(t, first, a.Payload)
				}
				if _, inOld := ranInOld.Load(string(key)); inOld && atNew {
					joined.Add(1)
				}
			case a.Reason == middleware.ReasonSuccessorLost || a.Reason == middleware.ReasonNoTransfer:
				refused.Add(1)
			case a.Reason == middleware.ReasonInDoubt:
				doubt.Add(1)
			}
		}
		for i := range 600 {
			serve, cost, name, atNew := oldHandler, float64(chance.IntN(3)), chance.IntN(100), chance.IntN(2) == 0
			if atNew {
				serve = newHandler
			}
			calls.Go(func() { ask(serve, atNew, name, cost) })
			if i == 100 {
				read.Go(sender.Run)
			}
			if i%50 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		calls.Wait()
		there.cut()
		read.Wait()
		ran.Range(func(name, n any) bool { return assert.LessOrEqual(t, n.(*atomic.Int64).Load(), int64(1), name) })
	}
	assert.Positive(t, broke)
	assert.Positive(t, joined.Load(), "results of the old process returned by the new one")
	assert.Positive(t, refused.Load())
	assert.Positive(t, doubt.Load())
}

// Guards against a key that stays claimed for ever because nobody waited any more when its claim was granted.
func TestClaimNobodyWaitsForIsReleased(t *testing.T) {
	c := clock.NewManual(1000)
	s, err := middleware.New(middleware.Settings{Table: idempotency.Settings{Classes: []idempotency.Class{{AtMostOnce: true}}, MaxEntries: 9, PinnedRatio: 4}}, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	sent := make(chan message, 9)
	g := NewSender(s, c, slog.New(slog.DiscardHandler), func(text json.RawMessage) (err error) {
		var m message
		err = json.Unmarshal(text, &m)
		sent <- m
		return err
	})
	g.Run()
	require.True(t, (<-sent).Chunk.Last)
	left := make(chan struct{})
	taken := make(chan middleware.ClaimResult)
	go func() { taken <- g.Claim(idempotency.Call{Key: idempotency.Key{7}}, 2000, left) }()
	asked := <-sent
	close(left)
	require.Equal(t, idempotency.Join, (<-taken).Verdict)
	require.NoError(t, g.Receive(json.RawMessage(fmt.Sprintf(`{"told":{"seq":%d,"verdict":0}}`, asked.Claim.Seq))))
	m := <-sent
	require.Equal(t, idempotency.OutcomeNotExecuted, m.Completion.Outcome)
	require.Equal(t, byte(7), m.Completion.Name[0])
	go func() { taken <- g.Claim(idempotency.Call{Key: idempotency.Key{8}}, 2000, nil) }()
	<-sent
	g.Lost()
	require.Equal(t, middleware.ReasonSuccessorLost, (<-taken).Reason)
}

// Guards against a key that the new process keeps for another window than the old one, because the windows of
// their classes differ: one that was transferred, and one that the old process claimed afterwards.
func TestWindowsAreTransferred(t *testing.T) {
	c, quiet, ran := clock.NewManual(1000), slog.New(slog.DiscardHandler), atomic.Int64{}
	stage := func(window float64) (*middleware.Middleware, core.Handler) {
		s, err := middleware.New(middleware.Settings{Secret: []byte("s"), Classes: []middleware.Class{{Enabled: true, Naming: middleware.Naming{Key: true}}},
			Table:   idempotency.Settings{Classes: []idempotency.Class{{AtMostOnce: true, AnsweredWindow: window, InDoubtWindow: window}}, MaxEntries: 9, MaxBodyBytes: 99, PinnedRatio: 4},
			Content: func(p any) core.Content { return p.(core.Content) }, Encode: func(p any) []byte { return []byte(p.(text)) },
			Decode: func(b []byte) any { return text(b) }}, c, quiet)
		require.NoError(t, err)
		return s, s.Wrap(func(*core.Call) core.Answer {
			ran.Add(1)
			return core.Answer{Kind: core.Served, Ran: true, Payload: text("ok")}
		})
	}
	ask := func(serve core.Handler, key string) {
		assert.Equal(t, core.Served, serve(&core.Call{Tenant: -1, Key: []byte(key), Payload: text("x"), Deadline: 1e9}).Kind)
	}
	before, oldHandler := stage(5000)
	after, newHandler := stage(10)
	ask(oldHandler, "a")
	there, back := newPipe(99), newPipe(99)
	sender, receiver := NewSender(before, c, quiet, there.send), Await(after, c, quiet, back.send)
	var read sync.WaitGroup
	read.Go(func() {
		for m := range there.queue {
			assert.NoError(t, receiver.Receive(m))
		}
	})
	read.Go(func() {
		for m := range back.queue {
			assert.NoError(t, sender.Receive(m))
		}
	})
	sender.Run()
	ask(oldHandler, "b")
	for _, wait := range []float64{0, 4999} {
		c.Advance(wait)
		ask(newHandler, "a")
		ask(newHandler, "b")
		assert.EqualValues(t, 2, ran.Load())
	}
	c.Advance(1)
	ask(newHandler, "a")
	assert.EqualValues(t, 3, ran.Load())
	there.cut()
	back.cut()
	read.Wait()
}
