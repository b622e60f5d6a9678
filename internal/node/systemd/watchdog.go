package systemd

import (
	"context"
	"fmt"
	"sync"

	"linenwheel.dev/linenwheel/internal/clock"
)

// Serving is the status line of a node that does what it should.
const Serving = "serving"

// Check is a part of the node that a beat passes through. Run returns once that part has handled the beat in its own
// loop, or when ctx ends; one that is stuck does not return.
type Check struct {
	Name string
	Run  func(ctx context.Context)
}

// WatchdogLoop sends beats through all that has to work for a request to be served, one after the other, and tells the manager
// of each that came through. A part that is stuck holds its beat back, so that the manager's time limit ends the node;
// a machine that stalls and goes on holds it back no longer than the stall.
type WatchdogLoop struct {
	Manager     *Manager
	Clock       clock.Clock
	Checks      []Check
	OnLate      func(station string, ms float64) // called once for a beat that is late, may be nil,
	OnRecovered func()                           // and when it has come through after all
}

// beatsEach is how many beats there are in the time that the manager gives: three may be late.
const beatsEach = 4

// Run beats until ctx ends. Without a watchdog it returns at once.
func (h *WatchdogLoop) Run(ctx context.Context) {
	limit := h.Manager.Watchdog()
	if limit <= 0 {
		return
	}
	for ctx.Err() == nil {
		h.beat(ctx, limit)
		over := make(chan struct{})
		stop := h.Clock.At(h.Clock.Now()+limit/beatsEach, func() { close(over) })
		select {
		case <-over:
		case <-ctx.Done():
			stop()
		}
	}
}

// beat sends one beat round.
func (h *WatchdogLoop) beat(ctx context.Context, limit float64) {
	began := h.Clock.Now()
	var mu sync.Mutex
	at, late := "", false
	stop := h.Clock.At(began+limit/2, func() {
		mu.Lock()
		name := at
		late = true
		mu.Unlock()
		h.Manager.Status(fmt.Sprintf("stuck: %s has not answered for %.0f ms", name, limit/2))
		if h.OnLate != nil {
			h.OnLate(name, limit/2)
		}
	})
	defer stop()
	for _, s := range h.Checks {
		mu.Lock()
		at = s.Name
		mu.Unlock()
		if s.Run(ctx); ctx.Err() != nil {
			return
		}
	}
	h.Manager.KeepAlive()
	mu.Lock()
	defer mu.Unlock()
	if late {
		h.Manager.Status(Serving)
		if h.OnRecovered != nil {
			h.OnRecovered()
		}
	}
}
