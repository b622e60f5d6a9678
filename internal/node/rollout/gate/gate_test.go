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

// script is a fleet that returns scripted orders one after the other, and a node that records what it activates.
type script struct {
	orders      []rollout.Order
	reports     []rollout.Report
	checkErr    error
	hints       chan rollout.Progress // closed = waiting for hints is not possible
	activated   []uint64
	fetches     int // number of documents that were fetched
	waits       int
	activateErr error
}

func (s *script) Report(_ context.Context, r rollout.Report) (rollout.Order, error) {
	s.reports = append(s.reports, r)
	if len(s.orders) == 0 {
		return rollout.Order{}, errors.New("no answer")
	}
	o := s.orders[0]
	s.orders = s.orders[1:]
	return o, nil
}

func (s *script) Document(_ context.Context, number uint64, id string) (rollout.Document, error) {
	s.fetches++
	return rollout.Document{Number: number, ID: id, Hash: "x", Text: "x"}, nil
}

func (s *script) Progress(ctx context.Context, _ rollout.Progress) (rollout.Progress, error) {
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

func (s *script) Check(rollout.Document) error { return s.checkErr }
func (s *script) Activate(d rollout.Document) error {
	s.activated = append(s.activated, d.Number)
	return s.activateErr
}

// TestCallsBeginOnlyUnderALease guards against a call that begins before the first order, after the lease has
// expired on the node, or during the pause of a change; a lease that counts from the answer instead of the
// request; a call that waits for longer than MaxWait; and a rejected document whose rejection is not reported.
func TestCallsBeginOnlyUnderALease(t *testing.T) {
	c, s, ready := clock.NewManual(1000), &script{checkErr: errors.New("line 3")}, 0
	g := New(Settings{Name: "n", Lease: 100, MaxWait: 50, OnReady: func() { ready++ }}, s, s, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	next := g.Wrap(func(*core.Call) core.Answer { return core.Answer{Kind: core.Served} })
	call := func() core.Answer { // makes a call, which waits for as long as it is allowed to
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
	assert.Equal(t, core.Refused, call().Kind, "there has been no order")
	assert.Zero(t, step(rollout.Order{Number: 4}), "the next report is due at once")
	assert.Equal(t, []uint64{4}, s.activated)
	assert.Equal(t, core.Refused, call().Kind, "the node has no lease")
	assert.Zero(t, ready)
	step(rollout.Order{Number: 4, Lease: 100})
	assert.Equal(t, 1, ready)
	assert.Equal(t, core.Served, call().Kind)
	c.Advance(94)
	assert.Equal(t, core.Served, call().Kind)
	c.Advance(2)
	a := call()
	assert.Equal(t, core.Refused, a.Kind, "95%% of the lease have passed")
	assert.Equal(t, ReasonPolicy, a.Reason)
	assert.Equal(t, 100.0, a.Wait)
	step(rollout.Order{Number: 4, Lease: 100, Change: "p", Stage: rollout.Validating})
	assert.Equal(t, "line 3", g.holder.Report().Rejection)
	s.checkErr = nil
	step(rollout.Order{Number: 4, Lease: 100, Change: "q", Stage: rollout.Validating})
	assert.Empty(t, g.holder.Report().Rejection)
	step(rollout.Order{Number: 4, Lease: 100, Change: "q", Stage: rollout.Validating})
	assert.Equal(t, "q", s.reports[len(s.reports)-1].Validated)
	assert.Equal(t, core.Served, call().Kind, "while the change is validated")
	step(rollout.Order{Number: 4, Change: "q", Stage: rollout.Pausing})
	assert.Equal(t, core.Refused, call().Kind, "during the pause of a change")
	step(rollout.Order{Number: 5, Change: "", Stage: ""})
	assert.Equal(t, "q", s.reports[len(s.reports)-1].Paused)
	step(rollout.Order{Number: 5, Lease: 100})
	assert.Equal(t, core.Served, call().Kind)
	assert.Equal(t, []uint64{4, 5}, s.activated)
	s.activateErr = errors.New("line 7")
	require.Positive(t, step(rollout.Order{Number: 6, Change: "r", Stage: rollout.Validating}))
	require.Zero(t, step(rollout.Order{Number: 6, Change: "r", Stage: rollout.Validating}))
	assert.Equal(t, "r", g.holder.Report().Validated, "a proposal that could replace a number which cannot be activated is validated")
	pause, wait := g.step(context.Background())
	require.Positive(t, pause, "without an answer the next report is due after a pause")
	require.Zero(t, wait)
	g.update(func(h *rollout.LeaseHolder) { h.Leave() })
	request := &core.Call{Deadline: c.Now() + 1000}
	request.Cancel()
	assert.Equal(t, core.ClientLeft, next(request).Kind)
}

// TestFollowsHints guards against a gate that does not pause calls for a change that has reached the pause, or
// does not activate the number in force; that fetches a document which it already has; that continues to wait for
// a hint that was lost or when a report is due; and that sends long polls without a pause to replicas of the
// previous release, which reject them.
func TestFollowsHints(t *testing.T) {
	c, s := clock.NewManual(1000), &script{hints: make(chan rollout.Progress, 1)}
	g := New(Settings{Name: "n", Lease: 100, MaxWait: 50, OnReady: func() {}}, s, s, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.orders = []rollout.Order{{Lease: 100, Change: "p", Stage: rollout.Validating}, {Lease: 100, Change: "p", Stage: rollout.Validating}}
	g.step(context.Background())
	pause, maxWait := g.step(context.Background())
	require.Equal(t, 20.0, pause)
	require.InDelta(t, 100.0/3, maxWait, 0.01)
	follow := func(n rollout.Progress) float64 {
		s.hints <- n
		return g.awaitHint(context.Background(), maxWait, pause)
	}
	assert.Zero(t, follow(rollout.Progress{Change: "q", Stage: rollout.Validating}), "a report is due at once")
	assert.True(t, g.holder.Admits(c.Now()))
	assert.Zero(t, follow(rollout.Progress{Change: "p", Stage: rollout.Pausing}))
	assert.False(t, g.holder.Admits(c.Now()))
	assert.Equal(t, "p", g.holder.Report().Paused)
	assert.Zero(t, follow(rollout.Progress{Number: 1, Hash: "x"}))
	assert.Equal(t, []uint64{1}, s.activated)
	assert.Equal(t, 1, s.fetches, "the validated document is not fetched again")
	assert.False(t, g.holder.Admits(c.Now()), "there is no lease on the new number")
	done := make(chan float64)
	go func() { done <- g.awaitHint(context.Background(), maxWait, pause) }()
	for over := false; !over; {
		select {
		case pause := <-done:
			assert.Zero(t, pause, "a report is due")
			assert.GreaterOrEqual(t, s.waits, 3+3, "a lost hint is requested again")
			over = true
		default:
			if next := c.Next(); !math.IsInf(next, 1) {
				c.Advance(next - c.Now())
			}
		}
	}
	close(s.hints)
	assert.Equal(t, pause, g.awaitHint(context.Background(), maxWait, pause))
}
