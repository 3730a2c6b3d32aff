package mpadmit

import (
	"sync"
	"time"
)

const maxBackoff = 300 * time.Millisecond

// Backoff records which accounts a pool has recently refused because of its
// load. A request with a later stage in that pool can then be refused before its
// earlier stages do work that would be wasted. It is safe for concurrent use.
type Backoff struct {
	mu    sync.Mutex
	until map[backoffKey]time.Time
}

type backoffKey struct{ pool, account string }

// NewBackoff returns a Backoff with no refusals recorded.
func NewBackoff() *Backoff { return &Backoff{until: map[backoffKey]time.Time{}} }

// RecordRefusal records that the pool refused the account. The backoff lasts for
// retryAfter, but at most maxBackoff.
func (b *Backoff) RecordRefusal(now time.Time, pool, account string, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until[backoffKey{pool, account}] = now.Add(min(retryAfter, maxBackoff))
}

// RecordGrant ends the backoff of an account to which the pool has granted a permit.
func (b *Backoff) RecordGrant(pool, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.until, backoffKey{pool, account})
}

// Remaining returns the remaining backoff of the account in the pool, or 0 if
// there is none.
func (b *Backoff) Remaining(now time.Time, pool, account string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := backoffKey{pool, account}
	until, ok := b.until[key]
	if !ok {
		return 0
	}
	if !now.Before(until) {
		delete(b.until, key)
		return 0
	}
	return until.Sub(now)
}
