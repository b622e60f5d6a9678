// Package odd logs in all the ways that cannot be compared, and in some that can.
package odd

import (
	"context"
	"fmt"
	"log"
	"log/slog"
)

const bad = "bad" + " thing"

type teller interface{ Log(string) }

func Odd(l *slog.Logger, tell teller, zone string, attrs []any) {
	ctx := context.Background()
	part := l.With("part", "x")
	part.Info(bad, "a", 1, slog.Int("b", 2))
	part.InfoContext(ctx, bad, "c", 3)
	l.LogAttrs(ctx, slog.LevelError, "worse", slog.String("a", zone))
	_ = slog.Int("shared", 1)
	tell.Log("zone " + zone + " is out")
	tell.Log(fmt.Sprintf("room for %d", 1))

	log.Print("gone")
	slog.Info("to the default")
	l.Info("zone " + zone)
	l.Info(zone)
	l.Log(ctx, slog.Level(len(zone)), "level")
	l.Info("list", attrs...)
	l.Info("name", zone, 1)
	l.Info("attr", slog.Attr{Key: "k"})
	l.WithGroup("g").Info("group")
	f := l.Warn
	f("value")
}
