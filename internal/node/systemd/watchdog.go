package systemd

import (
	"context"
	"fmt"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
)

// Serving is the status line of a node that serves normally.
const Serving = "serving"

// Check is a health check of one part of the node. Run returns once that part has processed the check in its own
// loop, or when ctx ends; it does not return while the part is stuck.
type Check struct {
	Name string
	Run  func(ctx context.Context)
}

// WatchdogLoop runs the checks of everything that a request needs, one after the other, and sends a watchdog
// notification to the service manager after each round that succeeds. A part that is stuck blocks its round, so
// that the manager's timeout ends the node; a machine that stalls and recovers delays a round no longer than the
// stall.
type WatchdogLoop struct {
	Manager     *Manager
	Clock       clock.Clock
	Checks      []Check
	OnLate      func(check string, ms float64) // called once for a round that is late; may be nil
	OnRecovered func()                         // called when that round has succeeded after all; may be nil
}

// roundsPerTimeout is the number of rounds in one watchdog timeout of the manager: three of them may be missed.
const roundsPerTimeout = 4

// Run runs the rounds until ctx ends. It returns at once if the manager has no watchdog timeout for this process.
func (w *WatchdogLoop) Run(ctx context.Context) {
	limit := w.Manager.Watchdog()
	if limit <= 0 {
		return
	}
	for ctx.Err() == nil {
		w.round(ctx, limit)
		over := make(chan struct{})
		stop := w.Clock.At(w.Clock.Now()+limit/roundsPerTimeout, func() { close(over) })
		select {
		case <-over:
		case <-ctx.Done():
			stop()
		}
	}
}

// round runs all checks once. Halfway through the timeout it reports the check that has not returned.
func (w *WatchdogLoop) round(ctx context.Context, limit float64) {
	began := w.Clock.Now()
	var mu sync.Mutex
	current, late := "", false
	stop := w.Clock.At(began+limit/2, func() {
		mu.Lock()
		name := current
		late = true
		mu.Unlock()
		w.Manager.Status(fmt.Sprintf("stuck: %s has not answered for %.0f ms", name, limit/2))
		if w.OnLate != nil {
			w.OnLate(name, limit/2)
		}
	})
	defer stop()
	for _, s := range w.Checks {
		mu.Lock()
		current = s.Name
		mu.Unlock()
		if s.Run(ctx); ctx.Err() != nil {
			return
		}
	}
	w.Manager.KeepAlive()
	mu.Lock()
	defer mu.Unlock()
	if late {
		w.Manager.Status(Serving)
		if w.OnRecovered != nil {
			w.OnRecovered()
		}
	}
}
