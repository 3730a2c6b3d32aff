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
	wait, arrival := g.wait(now, upstream)
	if wait > 0 {
		return wait
	}
	if len(g.arrivals) >= maxGrants {
		maps.DeleteFunc(g.arrivals, func(_ string, at time.Time) bool { return at.Before(now) })
	}
	g.arrivals[upstream] = arrival.Add(time.Duration(float64(time.Second) / rate))
	return 0
}

// Wait returns how long it takes until Take grants a request.
func (g *Grants) Wait(now time.Time, upstream string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait, _ := g.wait(now, upstream)
	return wait
}

func (g *Grants) wait(now time.Time, upstream string) (wait time.Duration, arrival time.Time) {
	arrival = g.arrivals[upstream]
	if arrival.Before(now) {
		arrival = now
	}
	return max(arrival.Sub(now)-burstWindow, 0), arrival
}
