// Package mptime provides waits that a context can cancel, and the encoding of
// durations in messages.
package mptime

import (
	"context"
	"math"
	"time"
)

// Sleep waits for d. It returns false at once if ctx ends first.
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

// Every calls f with the current time at intervals of d until ctx ends. Calls do not
// overlap: a call that takes longer than d delays the next one.
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

// Millis returns d in ms as encoded in messages, clamped to the range of uint32.
func Millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// FromMillis converts a duration in ms, as encoded in messages.
func FromMillis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
