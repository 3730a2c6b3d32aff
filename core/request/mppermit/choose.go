package mppermit

import (
	"time"

	"mustardpost.org/core/common/mprank"
)

// choose returns the upstream to which req can be granted now, or nil. It returns a
// suspect upstream only if no other has room.
func (g *Group) choose(now time.Time, req Request) *upstream {
	if req.Exclusive {
		return g.chooseExclusive(now, req)
	}
	if u := g.chooseFrom(now, req, false); u != nil {
		return u
	}
	return g.chooseFrom(now, req, true)
}

// chooseFrom returns the best upstream with room, or nil. It considers only the suspect
// upstreams if suspect is set, and only the others if not. A request with a prefix follows
// rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018); other
// requests go to the least loaded upstream.
func (g *Group) chooseFrom(now time.Time, req Request, suspect bool) *upstream {
	if req.PrefixHash != 0 {
		bound := g.loadBound(now)
		for _, name := range mprank.Of(req.PrefixHash, g.names) {
			u := g.upstreams[name]
			if u.hasRoom(now) && u.isSuspect(now) == suspect && !req.Exclude.Has(name) && float64(len(u.held)) < bound*float64(u.limit) {
				return u
			}
		}
	}
	var best *upstream
	for _, name := range g.names {
		u := g.upstreams[name]
		if !u.hasRoom(now) || u.isSuspect(now) != suspect || req.Exclude.Has(name) {
			continue
		}
		if best == nil || u.loadRatio() < best.loadRatio() {
			best = u
		}
	}
	return best
}

func (u *upstream) loadRatio() float64 {
	return float64(len(u.held)) / float64(u.limit)
}

// chooseExclusive returns an idle upstream for an exclusive attempt, preferably a
// reserved one. It takes an unreserved one only while fewer than maxExclusive upstreams
// are exclusive or reserved, so that the rest of the group serves other requests.
func (g *Group) chooseExclusive(now time.Time, req Request) *upstream {
	exclusive := 0
	var idle *upstream
	for _, name := range g.names {
		u := g.upstreams[name]
		if u.exclusive || u.reserved {
			exclusive++
		}
		if len(u.held) > 0 || req.Exclude.Has(name) || !u.isShareable(now) {
			continue
		}
		if idle == nil || u.reserved {
			idle = u
		}
	}
	if idle != nil && !idle.reserved && exclusive >= g.maxExclusive() {
		return nil
	}
	return idle
}

func (g *Group) maxExclusive() int { return max(len(g.names)/exclusiveDivisor, 1) }

// reserve withholds one upstream from new attempts for each queued exclusive request,
// up to maxExclusive, so that it becomes idle even if the group is busy.
func (g *Group) reserve(now time.Time) {
	waiting, exclusive := g.queuedExclusive(), 0
	for _, u := range g.upstreams {
		u.reserved = false
		if u.exclusive {
			exclusive++
		}
	}
	for ; waiting > 0 && exclusive < g.maxExclusive(); exclusive++ {
		u := g.fewestHeld(now)
		if u == nil {
			return
		}
		u.reserved = true
		waiting--
	}
}

func (g *Group) queuedExclusive() int {
	count := 0
	for _, f := range g.queue.flows {
		for _, q := range f.queue {
			if q.request.Exclusive {
				count++
			}
		}
	}
	return count
}

func (g *Group) fewestHeld(now time.Time) *upstream {
	var best *upstream
	for _, name := range g.names {
		u := g.upstreams[name]
		if !u.isShareable(now) || u.reserved {
			continue
		}
		if best == nil || len(u.held) < len(best.held) {
			best = u
		}
	}
	return best
}

// loadBound returns the load ratio from which an upstream is no longer chosen by prefix
// affinity.
func (g *Group) loadBound(now time.Time) float64 {
	held, capacity := 1, 0
	for _, name := range g.names {
		held += len(g.upstreams[name].held)
	}
	capacity = g.capacity(now)
	if capacity == 0 {
		return 1
	}
	return loadBoundFactor * float64(held) / float64(capacity)
}
