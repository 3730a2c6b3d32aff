// Package mpbudget implements a token bucket that limits the load added by
// retries and hedges.
package mpbudget

import "sync"

// Config configures a Budget.
type Config struct {
	// Ratio is the number of tokens that each first attempt deposits. A retry or
	// hedge costs one token.
	Ratio float64
	// Burst is the capacity of the bucket, in tokens.
	Burst float64
}

// Budget limits retries and hedges to a fraction of the first attempts. It is
// safe for concurrent use.
type Budget struct {
	cfg Config

	mu     sync.Mutex
	tokens float64
}

// New returns a Budget whose bucket is full.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// TryWithdraw takes one token for a retry or hedge. It returns false if less
// than one token is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns one token that was withdrawn for a retry that was not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.cfg.Burst)
}
