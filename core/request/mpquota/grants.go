package mpquota

import (
	"maps"
	"sync"
	"time"
)

const (
	// burstWindow is the time for which requests that an upstream could have had may be granted
	// at once. It is far below the time over which upstreams count.
	burstWindow = 250 * time.Millisecond
	// maxGrants bounds the upstreams whose grants are kept; those that are due again need not be.
	maxGrants = 4 * maxLimits
)

// Grants grants requests to upstreams at their rates, by the generic cell rate algorithm. It is
// safe for concurrent use.
type Grants struct {
	mu sync.Mutex
	// arrivals holds the theoretical arrival time of the next request to each upstream.
	arrivals map[string]time.Time
}

// NewGrants returns Grants that has granted nothing yet.
func NewGrants() *Grants { return &Grants{arrivals: map[string]time.Time{}} }

// Take grants one request to upstream and returns 0, or returns when to ask again. The rate is
// in requests per second.
func (g *Grants) Take(now time.Time, upstream string, rate float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := time.Duration(float64(time.Second) / rate)
	arrival := g.arrivals[upstream]
	switch latest := now.Add(interval + burstWindow); {
	case arrival.Before(now):
		arrival = now
	case arrival.After(latest):
		arrival = latest // The rate was lower before.
	}
	if wait := arrival.Sub(now) - burstWindow; wait > 0 {
		g.arrivals[upstream] = arrival
		return wait
	}
	if len(g.arrivals) >= maxGrants {
		maps.DeleteFunc(g.arrivals, func(_ string, at time.Time) bool { return at.Before(now) })
	}
	g.arrivals[upstream] = arrival.Add(interval)
	return 0
}
