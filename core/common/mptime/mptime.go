// Package mptime has the two ways in which background work waits.
package mptime

import (
	"context"
	"time"
)

// Pause waits for d and reports whether ctx is still alive.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f with the present time each d until ctx ends. A call that takes
// longer delays the next one.
func Every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}
