package log

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"linenwheel.dev/linenwheel/internal/clock"
)

const (
	// usual is the least time between two records of one kind, milliseconds, where none was set.
	usual = 1000
	// mostKinds bounds the kinds that are told apart. The node's messages are constants and far fewer; what comes
	// beyond, from an embedder who makes messages up, shares one kind a level.
	mostKinds = 256
	// heldBack is the attribute with the number of records of the kind that were held back since the last one.
	heldBack = "held_back"
)

// Interval is the least time between two records of one kind. It can be set at any time; the zero value is a second.
type Interval struct{ bits atomic.Uint64 }

// Set changes the interval to so many milliseconds, more than 0.
func (i *Interval) Set(ms float64) { i.bits.Store(math.Float64bits(ms)) }

func (i *Interval) ms() float64 {
	if bits := i.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return usual
}

// Sparse makes a logger that keeps the log readable in a flood: of records with one level and message it passes on
// one in an interval and counts the others. The next one that is passed on has the count as its attribute held_back.
// The loggers made from it by With and WithGroup count together.
func Sparse(l *slog.Logger, c clock.Clock, every *Interval) *slog.Logger {
	return slog.New(&sparse{counts: &counts{clock: c, every: every, kinds: map[kind]*count{}}, inner: l.Handler()})
}

// Each gives the logger without the rule against floods, for what is rare by itself and must not hide behind another
// record of its kind.
func Each(l *slog.Logger) *slog.Logger {
	if s, ok := l.Handler().(*sparse); ok {
		return slog.New(s.inner)
	}
	return l
}

// kind is what a flood is made of.
type kind struct {
	level   slog.Level
	message string // "" for those beyond mostKinds
}

type count struct {
	last float64 // when a record was passed on
	held int     // records held back since
}

// counts are shared by all loggers that come from one.
type counts struct {
	clock clock.Clock
	every *Interval
	mu    sync.Mutex
	kinds map[kind]*count
}

// pass tells whether a record of a kind goes on, and if so how many were held back before it.
func (s *counts) pass(k kind) (held int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	c := s.kinds[k]
	if c == nil && len(s.kinds) >= mostKinds {
		k.message = ""
		c = s.kinds[k]
	}
	if c == nil {
		s.kinds[k] = &count{last: now}
		return 0, true
	}
	if now-c.last < s.every.ms() {
		c.held++
		return 0, false
	}
	held = c.held
	c.last, c.held = now, 0
	return held, true
}

// sparse is the handler behind Sparse.
type sparse struct {
	*counts
	inner slog.Handler // where records go, with all attributes and groups
	// With a group open, what is added to a record lands in that group. So that the count does not, the handler
	// before the first group is kept, and what was done to it since.
	base slog.Handler // nil without a group
	then []func(slog.Handler) slog.Handler
}

// Enabled is what the handler behind says.
func (s *sparse) Enabled(ctx context.Context, l slog.Level) bool { return s.inner.Enabled(ctx, l) }

// Handle passes a record on or counts it.
func (s *sparse) Handle(ctx context.Context, r slog.Record) error {
	held, ok := s.pass(kind{r.Level, r.Message})
	if !ok {
		return nil
	}
	if held == 0 {
		return s.inner.Handle(ctx, r)
	}
	many := slog.Int(heldBack, held)
	if s.base == nil {
		r = r.Clone()
		r.AddAttrs(many)
		return s.inner.Handle(ctx, r)
	}
	h := s.base.WithAttrs([]slog.Attr{many})
	for _, f := range s.then {
		h = f(h)
	}
	return h.Handle(ctx, r)
}

// WithAttrs adds attributes to all records.
func (s *sparse) WithAttrs(attrs []slog.Attr) slog.Handler {
	return s.with(s.base, func(h slog.Handler) slog.Handler { return h.WithAttrs(attrs) })
}

// WithGroup puts the attributes that follow into a group.
func (s *sparse) WithGroup(name string) slog.Handler {
	if name == "" {
		return s
	}
	base := s.base
	if base == nil {
		base = s.inner
	}
	return s.with(base, func(h slog.Handler) slog.Handler { return h.WithGroup(name) })
}

// with makes the handler that has one more thing done to it.
func (s *sparse) with(base slog.Handler, f func(slog.Handler) slog.Handler) slog.Handler {
	next := &sparse{counts: s.counts, inner: f(s.inner), base: base}
	if base != nil {
		next.then = append(slices.Clip(s.then), f)
	}
	return next
}
