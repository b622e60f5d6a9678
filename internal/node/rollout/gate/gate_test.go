package gate

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// scripted is a fleet that gives one order after the other, and a node that takes what it is given.
type scripted struct {
	orders []rollout.Order
	said   []rollout.Report
	fault  error
	hints  chan rollout.Progress // closed = it cannot be waited for
	taken  []uint64
	asked  int // for documents
	waits  int
	cannot error
}

func (s *scripted) Report(_ context.Context, r rollout.Report) (rollout.Order, error) {
	s.said = append(s.said, r)
	if len(s.orders) == 0 {
		return rollout.Order{}, errors.New("nobody answers")
	}
	o := s.orders[0]
	s.orders = s.orders[1:]
	return o, nil
}

func (s *scripted) Document(_ context.Context, number uint64, id string) (rollout.Document, error) {
	s.asked++
	return rollout.Document{Number: number, ID: id, Hash: "x", Text: "x"}, nil
}

func (s *scripted) Progress(ctx context.Context, _ rollout.Progress) (rollout.Progress, error) {
	s.waits++
	select {
	case n, ok := <-s.hints:
		if !ok {
			return n, errors.New("nobody wants \"wait\"")
		}
		return n, nil
	case <-ctx.Done():
		return rollout.Progress{}, ctx.Err()
	}
}

func (s *scripted) Check(rollout.Document) error { return s.fault }
func (s *scripted) Activate(d rollout.Document) error {
	s.taken = append(s.taken, d.Number)
	return s.cannot
}

// Guards against a call that begins before the fleet was heard, when the lease has run out here, or while a change takes hold; a
// lease that is counted from the answer and not from the question; a call that is held for longer than Hold; and a document that
// does not suit the node and is not said to.
func TestGate(t *testing.T) {
	c, s, heard := clock.NewManual(1000), &scripted{fault: errors.New("line 3")}, 0
	g := New(Settings{Name: "n", Lease: 100, MaxWait: 50, Ready: func() { heard++ }}, s, s, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	next := g.Wrap(func(*core.Call) core.Answer { return core.Answer{Kind: core.Served} })
	try := func() core.Answer { // a call at this moment, which waits for as long as it may
		done := make(chan core.Answer, 1)
		go func() { done <- next(&core.Call{Deadline: c.Now() + 1000}) }()
		for {
			select {
			case a := <-done:
				return a
			default:
				if c.Next() <= c.Now()+50 {
					c.Advance(50)
				}
			}
		}
	}
	step := func(o rollout.Order) float64 {
		s.orders = []rollout.Order{o}
		pause, _ := g.step(context.Background())
		return pause
	}
	assert.Equal(t, core.Refused, try().Kind, "the fleet was not heard")
	assert.Zero(t, step(rollout.Order{Number: 4}), "it asks again at once")
	assert.Equal(t, []uint64{4}, s.taken)
	assert.Equal(t, core.Refused, try().Kind, "it has no lease")
	assert.Zero(t, heard)
	step(rollout.Order{Number: 4, Lease: 100})
	assert.Equal(t, 1, heard)
	assert.Equal(t, core.Served, try().Kind)
	c.Advance(94)
	assert.Equal(t, core.Served, try().Kind)
	c.Advance(2)
	a := try()
	assert.Equal(t, core.Refused, a.Kind, "95%% of the lease are over")
	assert.Equal(t, ReasonPolicy, a.Reason)
	assert.Equal(t, 100.0, a.Wait)
	step(rollout.Order{Number: 4, Lease: 100, Change: "p", Stage: rollout.Looking})
	assert.Equal(t, "line 3", g.leaseHolder.Report().Fault)
	s.fault = nil
	step(rollout.Order{Number: 4, Lease: 100, Change: "q", Stage: rollout.Looking})
	assert.Empty(t, g.leaseHolder.Report().Fault)
	step(rollout.Order{Number: 4, Lease: 100, Change: "q", Stage: rollout.Looking})
	assert.Equal(t, "q", s.said[len(s.said)-1].Looked)
	assert.Equal(t, core.Served, try().Kind, "while it is looked at")
	step(rollout.Order{Number: 4, Change: "q", Stage: rollout.Pausing})
	assert.Equal(t, core.Refused, try().Kind, "a change takes hold")
	step(rollout.Order{Number: 5, Change: "", Stage: ""})
	assert.Equal(t, "q", s.said[len(s.said)-1].Paused)
	step(rollout.Order{Number: 5, Lease: 100})
	assert.Equal(t, core.Served, try().Kind)
	assert.Equal(t, []uint64{4, 5}, s.taken)
	s.cannot = errors.New("line 7")
	require.Positive(t, step(rollout.Order{Number: 6, Change: "r", Stage: rollout.Looking}))
	require.Zero(t, step(rollout.Order{Number: 6, Change: "r", Stage: rollout.Looking}))
	assert.Equal(t, "r", g.leaseHolder.Report().Looked, "what could take the place of a number that it cannot take")
	pause, wait := g.step(context.Background())
	require.Positive(t, pause, "nobody answers: it is asked again after a while")
	require.Zero(t, wait)
	g.change(func(h *rollout.LeaseHolder) { h.Leave() })
	call := &core.Call{Deadline: c.Now() + 1000}
	call.Leave()
	assert.Equal(t, core.Left, next(call).Kind)
}

// Guards against a gate that does not go by hints: that does not hold calls for a change which has come so far, or take the number that
// holds; that asks for a document that it has; that waits on for a hint that was lost, or when a report is due; and that asks keepers of
// the release before, which know no waits, over and over without a pause.
func TestHint(t *testing.T) {
	c, s := clock.NewManual(1000), &scripted{hints: make(chan rollout.Progress, 1)}
	g := New(Settings{Name: "n", Lease: 100, MaxWait: 50, Ready: func() {}}, s, s, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.orders = []rollout.Order{{Lease: 100, Change: "p", Stage: rollout.Looking}, {Lease: 100, Change: "p", Stage: rollout.Looking}}
	g.step(context.Background())
	pause, most := g.step(context.Background())
	require.Equal(t, 20.0, pause)
	require.InDelta(t, 100.0/3, most, 0.01)
	hear := func(n rollout.Progress) float64 {
		s.hints <- n
		return g.wait(context.Background(), most, pause)
	}
	assert.Zero(t, hear(rollout.Progress{Change: "q", Stage: rollout.Looking}), "it reports at once")
	assert.True(t, g.leaseHolder.Open(c.Now()))
	assert.Zero(t, hear(rollout.Progress{Change: "p", Stage: rollout.Pausing}))
	assert.False(t, g.leaseHolder.Open(c.Now()))
	assert.Equal(t, "p", g.leaseHolder.Report().Paused)
	assert.Zero(t, hear(rollout.Progress{Number: 1, Hash: "x"}))
	assert.Equal(t, []uint64{1}, s.taken)
	assert.Equal(t, 1, s.asked, "it has looked at that document")
	assert.False(t, g.leaseHolder.Open(c.Now()), "it has no lease on it")
	done := make(chan float64)
	go func() { done <- g.wait(context.Background(), most, pause) }()
	for over := false; !over; {
		select {
		case pause := <-done:
			assert.Zero(t, pause, "a report is due")
			assert.GreaterOrEqual(t, s.waits, 3+3, "a hint that is lost is asked for again")
			over = true
		default:
			if next := c.Next(); !math.IsInf(next, 1) {
				c.Advance(next - c.Now())
			}
		}
	}
	close(s.hints)
	assert.Equal(t, pause, g.wait(context.Background(), most, pause))
}
