package mpadmit

import (
	"sync"
	"time"
)

const gateLongest = 300 * time.Millisecond

// Backoff remembers for a moment which accounts a pool has refused for its load,
// so that a request that needs the pool later is refused before its earlier
// stages run for nothing. It is safe for concurrent use.
type Backoff struct {
	mu     sync.Mutex
	closed map[gateKey]time.Time
}

type gateKey struct{ pool, account string }

// NewBackoff returns an open gate.
func NewBackoff() *Backoff { return &Backoff{closed: map[gateKey]time.Time{}} }

// RecordRefusal notes that the pool refused the account, which may come back after retry.
func (g *Backoff) RecordRefusal(now time.Time, pool, account string, retry time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed[gateKey{pool, account}] = now.Add(min(retry, gateLongest))
}

// RecordGrant notes that the pool took a request of the account.
func (g *Backoff) RecordGrant(pool, account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.closed, gateKey{pool, account})
}

// Remaining returns how long the pool stays closed for the account; 0 when open.
func (g *Backoff) Remaining(now time.Time, pool, account string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gateKey{pool, account}
	until, ok := g.closed[key]
	if !ok {
		return 0
	}
	if !now.Before(until) {
		delete(g.closed, key)
		return 0
	}
	return until.Sub(now)
}
