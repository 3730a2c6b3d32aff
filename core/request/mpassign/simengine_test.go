package mpassign

import (
	"math"
	"slices"
)

// simEngine is an engine in the simulation.
type simEngine struct {
	id        string
	speed     float64
	slowUntil float64
	waiting   []*simRequest
	running   []*simRequest
	// cache holds the parts by time of use; pins counts their users.
	cache  map[uint64]*simPart
	own    int
	cached int
	pinned int

	requests, prefilled float64
	busy                float64
	coldUntil           float64
	coldPicks           []float64
	isOut               bool
}

type simPart struct {
	tokens int
	used   float64
	pins   int
}

func (e *simEngine) missing(q *simRequest) (unread, unpinned int) {
	isPrefix := true
	for _, p := range q.parts {
		c := e.cache[p.Hash]
		isPrefix = isPrefix && c != nil
		if !isPrefix {
			unread += p.Tokens
		}
		if c == nil || c.pins == 0 {
			unpinned += p.Tokens
		}
	}
	return unread, unpinned
}

func (e *simEngine) hasRoom(q *simRequest) bool {
	_, unpinned := e.missing(q)
	return len(e.waiting)+len(e.running) < fleetSlots && e.own+e.pinned+unpinned+q.own+q.output <= fleetCacheTokens
}

func (e *simEngine) accept(f *fleet, q *simRequest) bool {
	if !e.hasRoom(q) {
		return false
	}
	unread, _ := e.missing(q)
	wasCached := make([]bool, len(q.parts))
	for i, p := range q.parts {
		c := e.cache[p.Hash]
		wasCached[i] = c != nil
		if c == nil {
			c = &simPart{tokens: p.Tokens}
			e.cache[p.Hash] = c
			e.cached += p.Tokens
		}
		c.used = f.ms
		if c.pins == 0 {
			e.pinned += p.Tokens
		}
		c.pins++
	}
	e.own += q.own + q.output
	for e.own+e.cached > fleetCacheTokens {
		oldest, at := uint64(0), math.Inf(1)
		for h, c := range e.cache {
			if c.pins == 0 && c.used < at {
				oldest, at = h, c.used
			}
		}
		e.cached -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
	q.left = float64(unread + q.own)
	isPrefix := true
	for i, p := range q.parts {
		isPrefix = isPrefix && wasCached[i]
		if !isPrefix && f.seen[p.Hash] {
			f.readAgain += float64(p.Tokens)
		}
		f.seen[p.Hash] = true
	}
	e.requests++
	e.prefilled += q.left
	e.waiting = append(e.waiting, q)
	return true
}

func (e *simEngine) currentSpeed(f *fleet) float64 {
	speed := e.speed
	if f.ms < e.slowUntil {
		speed /= 2.5
	}
	return speed
}

func (f *fleet) step(e *simEngine) {
	speed := e.currentSpeed(f)
	if n := len(e.waiting); n > 0 {
		e.busy++
		budget := fleetRate * speed
		for budget > 1e-9 && len(e.waiting) > 0 {
			if f.inOrder {
				q := e.waiting[0]
				d := min(budget, q.left)
				q.left -= d
				budget -= d
			} else {
				share := budget / float64(len(e.waiting))
				for _, q := range e.waiting {
					d := min(share, q.left)
					q.left -= d
					budget -= d
				}
			}
			e.waiting = slices.DeleteFunc(e.waiting, func(q *simRequest) bool {
				if q.left > 1e-9 {
					return false
				}
				f.started(e, q)
				return true
			})
		}
	}
	if n := len(e.running); n > 0 {
		per := speed / (tokenMs * (1 + tokenSlope*float64(n-1)))
		e.running = slices.DeleteFunc(e.running, func(q *simRequest) bool {
			if q.tokens += per; q.tokens < float64(q.output) {
				return false
			}
			for _, p := range q.parts {
				c := e.cache[p.Hash]
				if c.pins--; c.pins == 0 {
					e.pinned -= p.Tokens
				}
			}
			e.own -= q.own + q.output
			f.end(q, Done)
			return true
		})
	}
}
