package log

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"testing/slogtest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
)

const epoch = 1.7e12

// Guards against records whose time is not from the node's clock, and against a level change without effect.
func TestClockAndLevel(t *testing.T) {
	var out bytes.Buffer
	c, level := clock.NewManual(epoch), new(slog.LevelVar)
	l := On(New(&out, Text, level), c)
	l.Debug("unseen")
	level.Set(slog.LevelDebug)
	c.Advance(1.25)
	l.With("part", "x").Debug("seen", "n", 1)
	assert.Equal(t, "time=2023-11-14T22:13:20.001Z level=DEBUG msg=seen part=x n=1\n", out.String())
}

// Guards against handlers that break the contract of slog.Handler, for example by losing groups or attributes.
func TestHandlerConformsToSlog(t *testing.T) {
	var out bytes.Buffer
	slogtest.Run(t, func(*testing.T) slog.Handler {
		out.Reset()
		c := clock.NewManual(epoch)
		return Sparse(On(New(&out, JSON, slog.LevelInfo), c), c, new(Interval)).Handler()
	}, func(t *testing.T) (m map[string]any) {
		require.NoError(t, json.Unmarshal(out.Bytes(), &m))
		return m
	})
}

// Guards against a client that floods the log, a flood whose size is not reported or that suppresses other records,
// derived loggers that each forward a record, a count that ends up in a group, and an interval that cannot be changed.
func TestSparse(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewManual(epoch)
	plain := slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}})
	every := new(Interval)
	l := Sparse(slog.New(plain), c, every)
	north, group := l.With("part", "north"), l.WithGroup("g").With("a", 1)
	for i := range 4 {
		north.Warn("bad", "n", i)
	}
	group.Warn("bad", "n", 4)
	l.Error("bad")
	l.Warn("other")
	c.Advance(defaultInterval - 1)
	l.Warn("bad")
	Each(north).Warn("bad", "n", -1)
	Each(Each(north)).Warn("bad", "n", -2)
	c.Advance(1)
	group.Warn("bad", "n", 5)
	l.Warn("bad")
	every.Set(50)
	c.Advance(50)
	north.Warn("bad", "n", 6)
	assert.Equal(t, `level=WARN msg=bad part=north n=0
level=ERROR msg=bad
level=WARN msg=other
level=WARN msg=bad part=north n=-1
level=WARN msg=bad part=north n=-2
level=WARN msg=bad held_back=5 g.a=1 g.n=5
level=WARN msg=bad part=north n=6 held_back=1
`, out.String())
}

// Guards against a map that grows with every distinct message, and against a flood of distinct messages that is not
// suppressed.
func TestSparseIsBounded(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewManual(epoch)
	l := Sparse(New(&out, Text, slog.LevelInfo), c, new(Interval))
	for i := range 4 * maxKinds {
		l.Info(fmt.Sprint("made up ", i))
	}
	assert.Len(t, l.Handler().(*sparse).kinds, maxKinds+1)
	assert.Equal(t, maxKinds+1, bytes.Count(out.Bytes(), []byte("\n")))
}

// Guards against allocations for records that are not written, because they are suppressed or below the level.
func TestUnwrittenRecordsDoNotAllocate(t *testing.T) {
	c := clock.NewManual(epoch)
	l := Sparse(On(New(&bytes.Buffer{}, Text, slog.LevelInfo), c), c, new(Interval))
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelWarn} {
		assert.Zero(t, testing.AllocsPerRun(100, func() {
			l.LogAttrs(context.Background(), level, "bad", slog.String("host", "h1"), slog.Int("status", 1000))
		}))
	}
}

// Guards against a format that is parsed as another one, or whose name does not parse.
func TestFormat(t *testing.T) {
	for _, f := range []Format{Text, JSON} {
		name, err := f.MarshalText()
		require.NoError(t, err)
		var back Format
		require.NoError(t, back.UnmarshalText(name))
		assert.Equal(t, f, back)
	}
	assert.EqualError(t, new(Format).UnmarshalText([]byte("xml")), `"xml" is neither text nor json`)
}
