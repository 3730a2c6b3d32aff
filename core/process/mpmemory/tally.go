package mpmemory

import (
	"context"
	"sync"
)

// Tally adds up what a running request draws from a budget, so that all of it is returned when the request
// has ended. A nil Tally sets no limit. It is safe for concurrent use.
type Tally struct {
	budget *Budget

	mu     sync.Mutex
	held   int64
	closed bool
}

// NewTally returns a Tally of b, or nil if b is nil.
func NewTally(b *Budget) *Tally {
	if b == nil {
		return nil
	}
	return &Tally{budget: b}
}

// Acquire draws n bytes. It waits until there is room or ctx is done, and returns an error then or if the
// request has ended.
func (t *Tally) Acquire(ctx context.Context, n int64) error {
	if t == nil || n <= 0 {
		return nil
	}
	t.mu.Lock()
	held := t.held
	t.mu.Unlock()
	if err := t.budget.Acquire(ctx, held, n); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		t.budget.Return(n)
		return ErrEnded
	}
	t.held += n
	return nil
}

// Return gives back n of the bytes that were drawn.
func (t *Tally) Return(n int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n = min(n, t.held); n > 0 {
		t.held -= n
		t.budget.Return(n)
	}
}

// Close gives back all that was drawn. What is drawn later is given back at once.
func (t *Tally) Close() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.held > 0 {
		t.budget.Return(t.held)
		t.held = 0
	}
}

type tallyKey struct{}

// WithTally returns a context with the Tally of a request.
func WithTally(ctx context.Context, t *Tally) context.Context {
	return context.WithValue(ctx, tallyKey{}, t)
}

// TallyOf returns the Tally of the request that ctx belongs to, or nil.
func TallyOf(ctx context.Context) *Tally {
	t, _ := ctx.Value(tallyKey{}).(*Tally)
	return t
}
