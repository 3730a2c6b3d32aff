// Package mpbudget bounds what retries and hedges add to the load.
package mpbudget

import "sync"

// Config sets a Budget.
type Config struct {
	// Ratio is the number of extra attempts that each first attempt earns.
	Ratio float64
	// Burst bounds the extra attempts that may be saved up.
	Burst float64
}

// Budget counts extra attempts against first ones. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu     sync.Mutex
	tokens float64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Deposit notes a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// TryWithdraw reports whether an extra attempt may be sent, and counts it if so.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
