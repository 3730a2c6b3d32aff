package mpversion

import (
	"strings"
	"time"

	"mustardpost.org/core/version/mprollout"
)

// metricNames are the names of the counters of one version of a pool.
type metricNames struct{ sent, answers, failures string }

// metricName returns a name of a counter, from which Prometheus reads no other meaning.
func metricName(kind, pool, version string) string {
	clean := func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}
	return "rollout." + kind + "." + strings.Map(clean, pool) + "." + strings.Map(clean, version)
}

// Attempt is an attempt at an upstream. The zero value is one that nobody counts. It is not safe for
// concurrent use.
type Attempt struct {
	board    *Board
	software software
	// split is nil if no roll-out of the pool ran when the attempt began, and so is counted.
	split       *Split
	counted     *mprollout.Attempt
	hasAnswered bool
}

// Begin counts an attempt that is sent at now as running until its End. The route is empty for calls
// with pieces. isTimed is set if the attempt takes as long as others of the route and version do.
func (b *Board) Begin(now time.Time, pool, version, route string, isTimed bool) Attempt {
	if b == nil {
		return Attempt{}
	}
	a := Attempt{board: b, software: software{pool, version}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[a.software]++
	if s := b.Split(pool); s != nil && s.recorder != nil {
		a.split, a.counted = s, s.recorder.Begin(now, version, route, !isTimed)
		b.cfg.Metrics.Add(a.names().sent, 1)
	}
	return a
}

// names returns the names of the counters of the attempt's version. The caller holds board.mu.
func (a *Attempt) names() metricNames {
	n, ok := a.split.names[a.software.version]
	if !ok {
		p, v := a.software.pool, a.software.version
		n = metricNames{metricName("sent", p, v), metricName("answers", p, v), metricName("failures", p, v)}
		a.split.names[v] = n
	}
	return n
}

// Answered records that the attempt succeeded, or that the first event of its stream arrived, after
// latency. Further calls do nothing.
func (a *Attempt) Answered(latency time.Duration) {
	if a.counted == nil || a.hasAnswered {
		return
	}
	a.hasAnswered = true
	a.counted.Record(mprollout.Answered{Latency: latency})
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.board.cfg.Metrics.Add(a.names().answers, 1)
}

// Failed records that the response was invalid or a failure. It was lost with its connection if lost
// is set.
func (a *Attempt) Failed(lost bool) {
	if a.counted == nil {
		return
	}
	a.counted.Record(mprollout.Failed{Lost: lost})
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.board.cfg.Metrics.Add(a.names().failures, 1)
}

// End ends the attempt. Further calls do nothing.
func (a *Attempt) End() {
	b := a.board
	if b == nil {
		return
	}
	a.board = nil
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[a.software]--; b.running[a.software] == 0 {
		delete(b.running, a.software)
	}
	if a.counted != nil {
		a.counted.End()
	}
	current := b.Split(a.software.pool)
	if current == nil || current.recorder == nil {
		return
	}
	if current != a.split {
		current.endEarly(a.software.version)
	}
	if r := current.row.Load(); r.Phase == mprollout.PhaseShift && a.software.version != r.Target && !b.runsOld(r) {
		b.wake()
	}
}

// countEarly counts the attempts that began before the roll-out, which run at a version. Their
// outcomes are no evidence. The caller holds board.mu.
func (s *Split) countEarly(version string, n int) {
	for range n {
		s.early[version] = append(s.early[version], s.recorder.Begin(time.Time{}, version, "", true))
	}
}

// endEarly ends an attempt that began before the roll-out. The caller holds board.mu.
func (s *Split) endEarly(version string) {
	if list := s.early[version]; len(list) > 0 {
		list[len(list)-1].End()
		s.early[version] = list[:len(list)-1]
	}
}

// runsOld reports whether an attempt runs on another version than the target of r. The caller holds
// b.mu.
func (b *Board) runsOld(r *mprollout.Rollout) bool {
	for key := range b.running {
		if key.pool == r.Pool && key.version != r.Target {
			return true
		}
	}
	return false
}
