package dataplane

import (
	"context"
	"time"
)

// sleep returns after the duration, or earlier if the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// every calls tick with the current time at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, tick func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			tick(now)
		case <-ctx.Done():
			return
		}
	}
}
