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
	// defaultInterval is the minimum time between two records of one kind, in milliseconds, if none was set.
	defaultInterval = 1000
	// maxKinds limits the number of kinds that are counted separately. The node's messages are constants and far
	// fewer; further messages, from an embedding program that builds them at run time, share one kind per level.
	maxKinds = 256
	// heldBack is the key of the attribute with the number of records of the kind suppressed since the last one.
	heldBack = "held_back"
)

// Interval is the minimum time between two records of one kind. It can be changed at any time; the zero value means
// one second.
type Interval struct{ bits atomic.Uint64 }

// Set sets the interval in milliseconds; ms must be greater than 0.
func (i *Interval) Set(ms float64) { i.bits.Store(math.Float64bits(ms)) }

func (i *Interval) ms() float64 {
	if bits := i.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return defaultInterval
}

// Sparse returns a logger that limits the rate of repeated records, so that the log stays readable: of the records with
// the same level and message it forwards one per interval and counts the others. The next forwarded record carries
// the count in the attribute held_back. Loggers derived from it by With and WithGroup share the counts.
func Sparse(l *slog.Logger, c clock.Clock, every *Interval) *slog.Logger {
	return slog.New(&sparse{counts: &counts{clock: c, every: every, kinds: map[kind]*count{}}, inner: l.Handler()})
}

// Each returns the logger without the rate limit, for records that are rare and must not be suppressed because of
// another record of the same kind.
func Each(l *slog.Logger) *slog.Logger {
	if s, ok := l.Handler().(*sparse); ok {
		return slog.New(s.inner)
	}
	return l
}

// kind identifies the records that share a rate limit.
type kind struct {
	level   slog.Level
	message string // "" for all kinds beyond maxKinds
}

type count struct {
	last       float64 // time at which a record was last forwarded
	suppressed int     // records suppressed since then
}

// counts is the state shared by all loggers derived from one Sparse logger.
type counts struct {
	clock clock.Clock
	every *Interval
	mu    sync.Mutex
	kinds map[kind]*count
}

// allow reports whether a record of a kind is forwarded, and if so how many were suppressed before it.
func (s *counts) allow(k kind) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	c := s.kinds[k]
	if c == nil && len(s.kinds) >= maxKinds {
		k.message = ""
		c = s.kinds[k]
	}
	if c == nil {
		s.kinds[k] = &count{last: now}
		return 0, true
	}
	if now-c.last < s.every.ms() {
		c.suppressed++
		return 0, false
	}
	suppressed = c.suppressed
	c.last, c.suppressed = now, 0
	return suppressed, true
}

// sparse is the handler of the loggers that Sparse returns.
type sparse struct {
	*counts
	inner slog.Handler // receives the forwarded records; has all attributes and groups
	// Attributes added to a record belong to the open group, if there is one. To keep the count out of it, base
	// is the handler before the first group, and then lists the operations applied to it since.
	base slog.Handler // nil if no group is open
	then []func(slog.Handler) slog.Handler
}

// Enabled returns the result of the inner handler.
func (s *sparse) Enabled(ctx context.Context, l slog.Level) bool { return s.inner.Enabled(ctx, l) }

// Handle forwards a record or counts it as suppressed.
func (s *sparse) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := s.allow(kind{r.Level, r.Message})
	if !ok {
		return nil
	}
	if suppressed == 0 {
		return s.inner.Handle(ctx, r)
	}
	attr := slog.Int(heldBack, suppressed)
	if s.base == nil {
		r = r.Clone()
		r.AddAttrs(attr)
		return s.inner.Handle(ctx, r)
	}
	h := s.base.WithAttrs([]slog.Attr{attr})
	for _, f := range s.then {
		h = f(h)
	}
	return h.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes to all records.
func (s *sparse) WithAttrs(attrs []slog.Attr) slog.Handler {
	return s.with(s.base, func(h slog.Handler) slog.Handler { return h.WithAttrs(attrs) })
}

// WithGroup returns a handler that puts subsequent attributes into a group.
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

// with returns a handler to which f has been applied after all earlier operations.
func (s *sparse) with(base slog.Handler, f func(slog.Handler) slog.Handler) slog.Handler {
	next := &sparse{counts: s.counts, inner: f(s.inner), base: base}
	if base != nil {
		next.then = append(slices.Clip(s.then), f)
	}
	return next
}
