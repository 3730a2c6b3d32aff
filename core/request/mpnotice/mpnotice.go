// Package mpnotice holds what upstreams say of themselves in their answers. Each VM goes by the
// answers that it gets.
package mpnotice

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// leavingDuration is how long an upstream that leaves is not used. The platform's list has it as
// leaving by then, or not at all.
const leavingDuration = time.Minute

// brittleDuration is how long an upstream counts as brittle after an answer that says so.
const brittleDuration = 5 * time.Second

// maxPause is the longest pause that is believed.
const maxPause = 10 * time.Minute

// Notice is what one answer says. The zero value is no answer, or one of another process, and
// says nothing.
type Notice struct {
	// IsValid is set if the upstream has answered.
	IsValid bool
	// IsLeaving is set if the upstream is about to stop.
	IsLeaving bool
	// Pause is how long the upstream wants no requests from this VM; 0 if it does not say.
	Pause time.Duration
	// Brittle is how many refusals for want of room in a second the upstream bears, from all VMs
	// together; 0 if it does not say.
	Brittle int
}

// ParsePause returns the pause that the values of a Retry-After field name, in seconds. Dates,
// negative numbers and fields that are given twice name none, since nothing says what is meant.
func ParsePause(values []string) time.Duration {
	if len(values) != 1 {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}

type state struct {
	// leavingUntil is until when the upstream counts as leaving, leavingToldAt when it said so.
	leavingUntil, leavingToldAt time.Time
	// pausedUntil is until when the upstream wants no requests, pausedSentAt when the request
	// was sent whose answer said so.
	pausedUntil, pausedSentAt time.Time
	// brittle holds until brittleUntil; brittleToldAt is when the upstream said so.
	brittle                     int
	brittleUntil, brittleToldAt time.Time
}

// Board holds the notices of upstreams. It is safe for concurrent use.
type Board struct {
	mu     sync.Mutex
	states map[string]*state
}

// New returns an empty Board.
func New() *Board { return &Board{states: map[string]*state{}} }

// Observe records what the answer to a request that was sent at sentAt says. An answer to a
// request that was sent before the upstream last gave notice does not withdraw that. It returns
// true if the upstream accepts no requests from now on and did before.
func (b *Board) Observe(now, sentAt time.Time, upstream string, n Notice) bool {
	if !n.IsValid {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[upstream]
	if !ok {
		if n == (Notice{IsValid: true}) {
			return false
		}
		s = &state{}
		b.states[upstream] = s
	}
	before := s.wait(now)
	switch {
	case n.IsLeaving:
		s.leavingUntil, s.leavingToldAt = now.Add(leavingDuration), now
	case sentAt.After(s.leavingToldAt):
		s.leavingUntil = time.Time{}
	}
	if n.Pause > 0 && !sentAt.Before(s.pausedSentAt) {
		s.pausedUntil, s.pausedSentAt = now.Add(n.Pause), sentAt
	}
	switch {
	case n.Brittle > 0:
		s.brittle, s.brittleUntil, s.brittleToldAt = n.Brittle, now.Add(brittleDuration), now
	case sentAt.After(s.brittleToldAt):
		s.brittleUntil = time.Time{}
	}
	return before == 0 && s.wait(now) > 0
}

// Brittle returns how many refusals in a second the upstream bears; 0 if it is not brittle.
func (b *Board) Brittle(now time.Time, upstream string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.states[upstream]; ok && now.Before(s.brittleUntil) {
		return s.brittle
	}
	return 0
}

// Wait returns for how long the upstream gets no requests; 0 if it may get one now.
func (b *Board) Wait(now time.Time, upstream string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.states[upstream]; ok {
		return s.wait(now)
	}
	return 0
}

func (s *state) wait(now time.Time) time.Duration {
	return max(s.leavingUntil.Sub(now), s.pausedUntil.Sub(now), 0)
}

// Shortest returns the shortest time after which one of the upstreams wants requests again; 0 if
// none of them paused. Those that leave do not count.
func (b *Board) Shortest(now time.Time, upstreams []string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var shortest time.Duration
	for _, id := range upstreams {
		s, ok := b.states[id]
		if !ok || now.Before(s.leavingUntil) || !now.Before(s.pausedUntil) {
			continue
		}
		if wait := s.pausedUntil.Sub(now); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// Prune forgets the upstreams that isListed does not report.
func (b *Board) Prune(isListed func(upstream string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.states {
		if !isListed(id) {
			delete(b.states, id)
		}
	}
}
