package mppermit

import (
	"time"

	"mustardpost.org/core/common/mprank"
)

// choose returns the upstream that a should go to now, or nil: a suspect one
// only when no other has room.
func (g *Group) choose(now time.Time, a Request) *slot {
	if a.Exclusive {
		return g.chooseAlone(now, a)
	}
	if s := g.chooseFrom(now, a, false); s != nil {
		return s
	}
	return g.chooseFrom(now, a, true)
}

// chooseFrom returns the best upstream, suspect or not. An ask with a prefix
// follows rendezvous hashing with bounded load (Mirrokni, Thorup and
// Zadimoghaddam, 2018); others go to the least loaded upstream.
func (g *Group) chooseFrom(now time.Time, a Request, suspect bool) *slot {
	if a.Prefix != 0 {
		bound := g.bound(now)
		for _, name := range mprank.Of(a.Prefix, g.names) {
			s := g.slots[name]
			if s.isOpen(now) && s.isSuspect(now) == suspect && !a.Exclude.Has(name) && float64(len(s.held)) < bound*float64(s.limit) {
				return s
			}
		}
	}
	var best *slot
	for _, name := range g.names {
		s := g.slots[name]
		if !s.isOpen(now) || s.isSuspect(now) != suspect || a.Exclude.Has(name) {
			continue
		}
		if best == nil || s.load() < best.load() {
			best = s
		}
	}
	return best
}

func (s *slot) load() float64 {
	return float64(len(s.held)) / float64(s.limit)
}

// chooseAlone returns an idle upstream that is reserved, or that may be used
// alone while most of the group is left to the others.
func (g *Group) chooseAlone(now time.Time, a Request) *slot {
	isolated := 0
	var idle *slot
	for _, name := range g.names {
		s := g.slots[name]
		if s.alone || s.reserved {
			isolated++
		}
		if len(s.held) > 0 || a.Exclude.Has(name) || !s.mayServe(now) {
			continue
		}
		if idle == nil || s.reserved {
			idle = s
		}
	}
	if idle != nil && !idle.reserved && isolated >= g.maxIsolated() {
		return nil
	}
	return idle
}

func (g *Group) maxIsolated() int { return max(len(g.names)/alonePart, 1) }

// reserve keeps new attempts off as many upstreams as asks wait to run alone,
// so that these become idle however busy the group is.
func (g *Group) reserve(now time.Time) {
	waiting, isolated := g.aloneWaiting(), 0
	for _, s := range g.slots {
		s.reserved = false
		if s.alone {
			isolated++
		}
	}
	for ; waiting > 0 && isolated < g.maxIsolated(); isolated++ {
		s := g.leastHeld(now)
		if s == nil {
			return
		}
		s.reserved = true
		waiting--
	}
}

func (g *Group) aloneWaiting() int {
	count := 0
	for _, fl := range g.queue.flows {
		for _, w := range fl.queue {
			if w.ask.Exclusive {
				count++
			}
		}
	}
	return count
}

func (g *Group) leastHeld(now time.Time) *slot {
	var best *slot
	for _, name := range g.names {
		s := g.slots[name]
		if !s.mayServe(now) || s.reserved {
			continue
		}
		if best == nil || len(s.held) < len(best.held) {
			best = s
		}
	}
	return best
}

// bound returns the load, as a part of the limit, above which an upstream gets
// no more attempts for their prefix alone.
func (g *Group) bound(now time.Time) float64 {
	held, capacity := 1, 0
	for _, name := range g.names {
		held += len(g.slots[name].held)
	}
	capacity = g.capacity(now)
	if capacity == 0 {
		return 1
	}
	return loadBound * float64(held) / float64(capacity)
}
