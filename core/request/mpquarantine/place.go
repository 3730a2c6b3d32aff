package mpquarantine

import (
	"slices"
	"time"

	"mustardpost.org/core/common/mprank"
)

// isolationPeriod is how long the upstream on which a new suspect is tried is spared other
// requests.
const isolationPeriod = 3 * time.Second

// Placement says on which upstreams suspects are tried.
type Placement struct {
	upstreams map[Feature]string
	spared    []string
}

// Upstream returns the ID of the upstream on which f is tried, or "".
func (p Placement) Upstream(f Feature) string { return p.upstreams[f] }

// Spares reports whether only trials should use the upstream.
func (p Placement) Spares(id string) bool { return slices.Contains(p.spared, id) }

// Place gives each suspect one of the upstreams with the given IDs of its own, since the end
// of an upstream must speak against one suspect only. Some get none if there are too few. VMs
// with the same evidence and IDs choose the same. At most half of the upstreams are spared
// other requests.
func (l *Ledger) Place(now time.Time, ids []string) Placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var p Placement
	if len(l.records) == 0 || len(ids) == 0 {
		return p
	}
	var suspects []Feature
	for f, r := range l.records {
		if r.level().isSuspect() {
			suspects = append(suspects, f)
		}
	}
	slices.Sort(suspects)
	p.upstreams = map[Feature]string{}
	taken := map[string]bool{}
	for _, f := range suspects {
		ranked := mprank.Of(uint64(f), ids)
		i := slices.IndexFunc(ranked, func(id string) bool { return !taken[id] })
		if i < 0 {
			break
		}
		id := ranked[i]
		p.upstreams[f], taken[id] = id, true
		r := l.records[f]
		if now.Sub(r.knownSince(r.level())) < isolationPeriod && 2*(len(p.spared)+1) <= len(ids) {
			p.spared = append(p.spared, id)
		}
	}
	return p
}
