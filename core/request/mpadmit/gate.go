package mpadmit

import (
	"sync"
	"time"
)

const gateLongest = 300 * time.Millisecond

// Gate remembers for a moment which accounts a pool has refused for its load,
// so that a request that needs the pool later is refused before its earlier
// stages run for nothing. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	closed map[gateKey]time.Time
}

type gateKey struct{ pool, account string }

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{closed: map[gateKey]time.Time{}} }

// Refused notes that the pool refused the account, which may come back after retry.
func (g *Gate) Refused(now time.Time, pool, account string, retry time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed[gateKey{pool, account}] = now.Add(min(retry, gateLongest))
}

// Granted notes that the pool took a request of the account.
func (g *Gate) Granted(pool, account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.closed, gateKey{pool, account})
}

// Wait returns how long the pool stays closed for the account; 0 when open.
func (g *Gate) Wait(now time.Time, pool, account string) time.Duration {
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
