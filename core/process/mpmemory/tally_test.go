package mpmemory

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestTally guards against room that responses keep after their requests have ended, and against more of
// it than the budget has.
func TestTally(t *testing.T) {
	used := func(b *Budget) int64 { return b.Stats().Used }
	t.Run("all is returned at the end", func(t *testing.T) {
		b := New(Config{Bytes: 100})
		tally := NewTally(b)
		for _, n := range []int64{30, 40} {
			if err := tally.Acquire(t.Context(), n); err != nil {
				t.Fatal(err)
			}
		}
		tally.Return(20)
		if got := used(b); got != 50 {
			t.Errorf("%d bytes are held, want 50", got)
		}
		tally.Close()
		if got := used(b); got != 0 {
			t.Errorf("%d bytes are held after the end, want 0", got)
		}
	})
	t.Run("what is drawn after the end is returned at once", func(t *testing.T) {
		b := New(Config{Bytes: 100})
		tally := NewTally(b)
		tally.Close()
		if err := tally.Acquire(t.Context(), 10); !errors.Is(err, ErrEnded) {
			t.Errorf("got %v, want ErrEnded", err)
		}
		if got := used(b); got != 0 {
			t.Errorf("%d bytes are held, want 0", got)
		}
	})
	t.Run("more than the budget waits until the request's time ends", func(t *testing.T) {
		b := New(Config{Bytes: 100})
		first, second := NewTally(b), NewTally(b)
		if err := first.Acquire(t.Context(), 80); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if err := second.Acquire(ctx, 30); err == nil {
			t.Error("110 bytes were drawn from 100")
		}
		first.Close()
		if err := second.Acquire(t.Context(), 30); err != nil {
			t.Errorf("no room after the first request has ended: %v", err)
		}
	})
	t.Run("a request without a tally has no limit", func(t *testing.T) {
		if err := TallyOf(t.Context()).Acquire(t.Context(), 1<<40); err != nil {
			t.Error(err)
		}
	})
}
