package dataplane

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

func TestBackgroundLoopsEndWithTheirContext(t *testing.T) {
	n := New(&settings.Settings{}, log.New(io.Discard))
	idle := newIdleConnections(func() time.Duration { return time.Hour })
	for name, run := range map[string]func(context.Context){
		"configuration watcher": n.watcher.run,
		"quota client":          n.quotas.run,
		"load reporter":         n.reporter.run,
		"idle connections":      idle.run,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				run(ctx)
				close(ended)
			}()
			cancel()
			select {
			case <-ended:
			case <-time.After(time.Minute):
				t.Fatal("still running after its context has ended")
			}
		})
	}
}
