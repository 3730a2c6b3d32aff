package mpquota

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLimits bounds the limits that are kept, and told to other VMs.
	maxLimits = 256
	// retention is how long a limit is kept after its upstream ended it or left the list, so
	// that another VM's older report does not bring it back.
	retention = 30 * time.Second
)

type limit struct {
	// rate is 0 if the upstream has ended its limit.
	rate   float64
	seenAt time.Time
}

// Limits holds the limits that upstreams named. It is safe for concurrent use.
type Limits struct {
	mu         sync.Mutex
	byUpstream map[string]limit
}

// NewLimits returns Limits without any.
func NewLimits() *Limits { return &Limits{byUpstream: map[string]limit{}} }

// Observe records what an upstream's answer to a request that was sent at sentAt says. An
// answer to a request that was sent before the last statement was seen may be older than that
// one, and does not count. It returns false if the limit is as before.
func (l *Limits) Observe(now, sentAt time.Time, upstream string, s Statement) (Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.byUpstream[upstream]
	if !s.IsValid || !ok && s.Rate == 0 || ok && sentAt.Before(last.seenAt) {
		return Change{}, false
	}
	return l.set(upstream, limit{s.Rate, now})
}

// Merge adds what another VM tells. Of two statements about an upstream the newer one counts.
func (l *Limits) Merge(now time.Time, entries []Entry) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Change
	for _, e := range entries {
		next := limit{e.Rate, now.Add(-e.Age)}
		if last, ok := l.byUpstream[e.Upstream]; ok && !next.seenAt.After(last.seenAt) {
			continue
		}
		if c, ok := l.set(e.Upstream, next); ok {
			out = append(out, c)
		}
	}
	return out
}

func (l *Limits) set(upstream string, next limit) (Change, bool) {
	last, ok := l.byUpstream[upstream]
	if !ok && len(l.byUpstream) >= maxLimits {
		return Change{}, false
	}
	l.byUpstream[upstream] = next
	return Change{upstream, last.rate, next.rate}, last.rate != next.rate
}

// Rate returns the limit of an upstream in requests per second. It returns false if the
// upstream has none.
func (l *Limits) Rate(upstream string) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := l.byUpstream[upstream].rate
	return rate, rate > 0
}

// Entries returns all limits, and those that ended lately, for other VMs.
func (l *Limits) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for upstream, v := range l.byUpstream {
		out = append(out, Entry{upstream, v.rate, now.Sub(v.seenAt)})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Hash identifies the limits that are in force. It is never 0.
func (l *Limits) Hash() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := xxhash.New()
	for _, upstream := range slices.Sorted(maps.Keys(l.byUpstream)) {
		if rate := l.byUpstream[upstream].rate; rate > 0 {
			_, _ = h.WriteString(upstream)
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, math.Float64bits(rate)))
		}
	}
	return max(h.Sum64(), 1)
}

// Count returns the number of limits that are in force.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, v := range l.byUpstream {
		if v.rate > 0 {
			n++
		}
	}
	return n
}

// Prune drops limits that have ended, and those of upstreams for which isListed returns false,
// after retention.
func (l *Limits) Prune(now time.Time, isListed func(upstream string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byUpstream, func(upstream string, v limit) bool {
		return (v.rate == 0 || !isListed(upstream)) && now.Sub(v.seenAt) > retention
	})
}
