// Package mptime has the two ways in which background work waits, and the form of
// durations in messages.
package mptime

import (
	"context"
	"math"
	"time"
)

// Sleep waits for d and reports whether ctx is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
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

// Millis returns d in ms as messages carry it, within their bounds.
func Millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// FromMillis returns the duration that a message carries in ms.
func FromMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
