package mpquota

import (
	"maps"
	"sync"
	"time"
)

// burstWindow is the time for which requests that an upstream could have had may be granted at
// once. It is far below the time over which upstreams count.
const burstWindow = 250 * time.Millisecond

// idlePeriod is how long a share of a rate is not asked for until it begins anew.
const idlePeriod = 2 * time.Second

// GrantsConfig configures Grants.
type GrantsConfig struct {
	// FirstDelay returns how long the first request to an upstream waits whose requests have
	// the given interval, and the first one after idlePeriod; nil for no delay. VMs that each
	// use a share of a rate must not all begin it at once.
	FirstDelay func(interval time.Duration) time.Duration
}

// Grants grants requests to upstreams at their rates, by the generic cell rate algorithm. It is
// safe for concurrent use.
type Grants struct {
	cfg GrantsConfig

	mu         sync.Mutex
	byUpstream map[string]schedule
}

// schedule is when the requests to an upstream are due.
type schedule struct {
	// arrival is the theoretical arrival time of the next request.
	arrival time.Time
	askedAt time.Time
}

// NewGrants returns Grants that has granted nothing yet.
func NewGrants(cfg GrantsConfig) *Grants {
	return &Grants{cfg: cfg, byUpstream: map[string]schedule{}}
}

// Take grants one request to upstream and returns 0, or returns when to ask again. The rate is
// in requests per second.
func (g *Grants) Take(now time.Time, upstream string, rate float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := time.Duration(float64(time.Second) / rate)
	last, ok := g.byUpstream[upstream]
	arrival := last.arrival
	switch latest := now.Add(interval + burstWindow); {
	case g.cfg.FirstDelay != nil && (!ok || now.Sub(last.askedAt) > idlePeriod):
		arrival = now.Add(burstWindow + g.cfg.FirstDelay(interval))
	case arrival.Before(now):
		arrival = now
	case arrival.After(latest):
		arrival = latest // The rate was lower before.
	}
	wait := max(arrival.Sub(now)-burstWindow, 0)
	if wait == 0 {
		arrival = arrival.Add(interval)
	}
	g.byUpstream[upstream] = schedule{arrival, now}
	return wait
}

// Prune forgets the upstreams for which isListed returns false.
func (g *Grants) Prune(isListed func(upstream string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.byUpstream, func(upstream string, _ schedule) bool { return !isListed(upstream) })
}
