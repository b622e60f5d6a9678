// Package log creates the loggers of a node. They are log/slog loggers that take record timestamps from the node's
// clock, have a level that can be changed at run time, and limit the rate of repeated messages.
//
// A message is a constant sentence; variable data goes into attributes. The operators' page, docs/ONCALL.md, lists
// each message with its level and attributes; package logcheck verifies that the page and the source agree.
package log

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
)

// Format is the output format of log records.
type Format uint8

// The formats; their names are "text" and "json".
const (
	Text Format = iota // key=value pairs, one line per record
	JSON               // one JSON object per line
)

// String returns the format's name.
func (f Format) String() string {
	if f == JSON {
		return "json"
	}
	return "text"
}

// MarshalText returns the format's name.
func (f Format) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses a format's name. It returns an error if the name is unknown.
func (f *Format) UnmarshalText(text []byte) error {
	for _, known := range []Format{Text, JSON} {
		if string(text) == known.String() {
			*f = known
			return nil
		}
	}
	return fmt.Errorf("%q is neither text nor json", text)
}

// New returns a logger that writes records of at least the given level to w. If level is a *slog.LevelVar, it can be
// changed at any time.
func New(w io.Writer, f Format, level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if f == JSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// On returns a logger that sets the time of each record from the clock, in UTC, and forwards the record to l, which
// may be a logger supplied by an embedding program.
func On(l *slog.Logger, c clock.Clock) *slog.Logger { return slog.New(timed{l.Handler(), c}) }

// timed is a handler that sets the time of records from a clock.
type timed struct {
	slog.Handler
	clock clock.Clock
}

// Handle forwards a record with the clock's time. A record without a time keeps none, as slog.Handler requires.
func (t timed) Handle(ctx context.Context, r slog.Record) error {
	if !r.Time.IsZero() {
		r.Time = timestamp(t.clock.Now())
	}
	return t.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes to all records.
func (t timed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return timed{t.Handler.WithAttrs(attrs), t.clock}
}

// WithGroup returns a handler that puts subsequent attributes into a group.
func (t timed) WithGroup(name string) slog.Handler { return timed{t.Handler.WithGroup(name), t.clock} }

// timestamp converts milliseconds since the Unix epoch to a time, truncated to the microsecond: the clock's float64
// has no finer resolution.
func timestamp(ms float64) time.Time { return time.UnixMicro(int64(ms * 1e3)).UTC() }
