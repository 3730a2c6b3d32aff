// Package mpspeed estimates how long work takes at each upstream, compared with an upstream of
// the usual speed. An upstream has a long-term factor, which is learned over many responses, and a
// transient one, which is what the upstream reports of itself or what its latest responses show.
// Factors above 1 are slow. An upstream of which nothing is known has the factor 1.
package mpspeed

import (
	"math"
	"sync"
	"time"
)

const (
	// transientDuration is how long a transient factor is believed. It is about as long as
	// upstreams are slow at a time, so the share of those that were slow at some moment and still
	// are falls linearly to 0 over it.
	transientDuration = 600 * time.Millisecond
	// reportRetention is how long after its last report an upstream counts as one that reports.
	// The responses of such an upstream do not change its transient factor.
	reportRetention = 10 * time.Second
	// stableRatio is the ratio of two reports up to which an upstream counts as having had one
	// speed between them.
	stableRatio = 1.2
	// maxFactor bounds the factors, in both directions.
	maxFactor = 16.0
	// reportPrior is the number of windows that 100 % counts as in the mean of an upstream's
	// reports, which is 100 % unless they include its long-term factor.
	reportPrior = 4
	// retention is how long what is known of an upstream that is not listed is kept.
	retention = time.Minute
)

// Config configures a Board.
type Config struct {
	// ResponseWeight is the weight of the newest response in the transient factor of an upstream
	// that reports none: 1 if the work of a response is known exactly, less if it varies.
	ResponseWeight float64
}

// Board holds the factors of upstreams. It is safe for concurrent use.
type Board struct {
	cfg Config

	mu     sync.Mutex
	states map[string]*state
}

// state is what is known of one upstream. All factors are logarithms.
type state struct {
	// took is the level of the durations of responses, and usual that of the reports.
	took, usual level
	// reported is the latest report, and before the one before it.
	reported, before     float64
	reportedAt, beforeAt time.Time
	// recent is by how much the latest responses deviate from the long-term factor.
	recent   float64
	recentAt time.Time
	load     Load
	loadAt   time.Time
	lastUsed time.Time
}

// New returns a Board without data.
func New(cfg Config) *Board { return &Board{cfg: cfg, states: map[string]*state{}} }

func (b *Board) state(now time.Time, id string) *state {
	s, ok := b.states[id]
	if !ok {
		s = &state{took: level{prior: 1 - b.cfg.ResponseWeight}, usual: level{prior: reportPrior}}
		b.states[id] = s
	}
	s.lastUsed = now
	return s
}

// Observe records that a response took some time whose work takes expected at an upstream of the
// usual speed. A report in the same answer is recorded first. It returns false if the durations
// cannot be used.
func (b *Board) Observe(now time.Time, id string, expected, took time.Duration) bool {
	if expected <= 0 || took <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, id)
	sample := clamp(math.Log(float64(took) / float64(expected)))
	if s.reports(now) {
		if deviation, ok := s.duringCall(now, took); ok {
			s.took.add(now, clamp(sample-deviation))
		}
		return true
	}
	// The duration tells the mean speed over the time of the response.
	middle := now.Add(-took / 2)
	known := math.Log(decayed(s.recent, middle.Sub(s.recentAt)))
	s.recent = known + b.cfg.ResponseWeight*(sample-s.took.at(now)-known)
	if middle.After(s.recentAt) {
		s.recentAt = middle
	}
	s.took.add(now, sample)
	return true
}

// reports reports whether the upstream reports its speed.
func (s *state) reports(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportRetention
}

// duringCall returns by how much the upstream deviated from its long-term speed while a call ran
// that has taken some time. It returns false if its speed changed meanwhile, or may have.
func (s *state) duringCall(now time.Time, took time.Duration) (float64, bool) {
	if now.Sub(s.reportedAt) > transientDuration {
		return 0, false
	}
	start := now.Add(-took)
	isKnown := !s.beforeAt.IsZero() && start.Sub(s.beforeAt) < reportRetention
	if isKnown && math.Abs(s.reported-s.before) > math.Log(stableRatio) {
		return 0, false
	}
	return s.reported - s.usual.at(now), true
}

// Report records what an upstream says of how long work takes there at the moment, in percent of
// the usual time. It returns false if the figure cannot be used.
func (b *Board) Report(now time.Time, id string, percent float64) bool {
	if !isPlausible(percent) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, id)
	sample := clamp(math.Log(percent / 100))
	s.before, s.beforeAt = s.reported, s.reportedAt
	s.reported, s.reportedAt = sample, now
	s.usual.add(now, sample)
	return true
}

// Record records what an answer says of the load and the speed of its upstream.
func (b *Board) Record(now time.Time, id string, l Load) {
	if l.Percent != 0 {
		b.Report(now, id, l.Percent)
	}
	if !l.HasCounts {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, id)
	s.load, s.loadAt = l, now
}

// Load returns the load that the upstream last reported and how long ago that was. It returns
// false if there is no such report.
func (b *Board) Load(now time.Time, id string) (l Load, age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil || s.loadAt.IsZero() {
		return Load{}, 0, false
	}
	return s.load, max(now.Sub(s.loadAt), 0), true
}

// Age returns how long ago the upstream last reported its speed. It returns false if it does not
// report it.
func (b *Board) Age(now time.Time, id string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil || !s.reports(now) {
		return 0, false
	}
	return max(now.Sub(s.reportedAt), 0), true
}

// Factor returns how long work takes at the upstream at the moment, divided by the usual time.
func (b *Board) Factor(now time.Time, id string) float64 {
	long, transient, _ := b.factors(now, id)
	return limit(long * transient)
}

// LongFactor returns the long-term factor of the upstream.
func (b *Board) LongFactor(now time.Time, id string) float64 {
	long, _, _ := b.factors(now, id)
	return limit(long)
}

// factors returns the long-term factor, the transient one and how long the latter still counts.
func (b *Board) factors(now time.Time, id string) (long, transient float64, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil {
		return 1, 1, 0
	}
	deviation, at := s.recent, s.recentAt
	if s.reports(now) {
		deviation, at = s.reported-s.usual.at(now), s.reportedAt
	}
	age := max(now.Sub(at), 0)
	return math.Exp(s.took.at(now)), decayed(deviation, age), max(transientDuration-age, 0)
}

// Duration returns how long work that starts now takes at the upstream, if it takes usual at an
// upstream of the usual speed. The transient factor is expected to return to 1 meanwhile.
func (b *Board) Duration(now time.Time, id string, usual time.Duration) time.Duration {
	long, transient, left := b.factors(now, id)
	return scale(usual, limit(long), transient, left)
}

// scale returns the time t in which work is done, where work is the integral from 0 to t of
// 1/(long*(1+a*(1-x/left))) for a = transient-1, and the transient factor is 1 after left.
func scale(work time.Duration, long, transient float64, left time.Duration) time.Duration {
	needed, a := float64(work)*long, transient-1
	if math.Abs(a) < 1e-6 || left <= 0 {
		return time.Duration(needed)
	}
	slope := a / float64(left)
	doneMeanwhile := math.Log(transient) / slope
	if needed >= doneMeanwhile {
		return time.Duration(float64(left) + needed - doneMeanwhile)
	}
	return time.Duration(transient / slope * (1 - math.Exp(-slope*needed)))
}

// Range returns the least and the greatest factor of all upstreams; 1 and 1 if there are none.
func (b *Board) Range(now time.Time) (least, greatest float64) {
	b.mu.Lock()
	ids := make([]string, 0, len(b.states))
	for id := range b.states {
		ids = append(ids, id)
	}
	b.mu.Unlock()
	for i, id := range ids {
		f := b.Factor(now, id)
		if i == 0 {
			least, greatest = f, f
		}
		least, greatest = min(least, f), max(greatest, f)
	}
	if len(ids) == 0 {
		return 1, 1
	}
	return least, greatest
}

// Prune forgets the upstreams that isListed does not report and that have not been used lately.
func (b *Board) Prune(now time.Time, isListed func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if !isListed(id) && now.Sub(s.lastUsed) > retention {
			delete(b.states, id)
		}
	}
}

// decayed returns the factor whose logarithm deviation was some time ago.
func decayed(deviation float64, age time.Duration) float64 {
	if age >= transientDuration || deviation == 0 {
		return 1
	}
	return 1 + (math.Exp(deviation)-1)*(1-float64(max(age, 0))/float64(transientDuration))
}

// clamp bounds the logarithm of a factor.
func clamp(v float64) float64 { return min(max(v, -math.Log(maxFactor)), math.Log(maxFactor)) }

// limit bounds a factor.
func limit(f float64) float64 { return min(max(f, 1/maxFactor), maxFactor) }
