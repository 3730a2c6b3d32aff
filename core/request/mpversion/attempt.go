package mpversion

import (
	"strings"
	"time"

	"mustardpost.org/core/version/mprollout"
)

// NoLatency is the latency of attempts that cannot be compared with others.
const NoLatency = time.Duration(-1)

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

// Attempt is an attempt at an upstream. The zero value is one that nobody counts.
type Attempt struct {
	board    *Board
	software software
	route    string
	// split is nil if no roll-out of the pool ran when the attempt began.
	split  *Split
	isCold bool
	// hasAnswered is set once Answered was called.
	hasAnswered bool
}

// Begin counts an attempt as running until its End. The route is empty for calls with pieces.
// isCold is set if the upstream is in its cold start.
func (b *Board) Begin(pool, version, route string, isCold bool) Attempt {
	if b == nil {
		return Attempt{}
	}
	a := Attempt{board: b, software: software{pool, version}, route: route, isCold: isCold, split: b.Split(pool)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[a.software]++
	if a.split == nil || a.split.recorder == nil {
		a.split = nil
		return a
	}
	a.split.recorder.Begin(version, route)
	b.cfg.Metrics.Add(a.names().sent, 1)
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
// latency, which may be NoLatency. Further calls do nothing.
func (a *Attempt) Answered(latency time.Duration) {
	if a.hasAnswered {
		return
	}
	a.hasAnswered = true
	a.record(mprollout.Answered{Latency: latency, Cold: a.isCold || latency == NoLatency})
}

// Failed records that the response was invalid or a failure. It was lost with its connection if lost
// is set.
func (a *Attempt) Failed(lost bool) {
	a.record(mprollout.Failed{Lost: lost, Answered: a.hasAnswered})
}

func (a *Attempt) record(o mprollout.Outcome) {
	if a.split == nil {
		return
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if a.split.recorder == nil {
		return // The roll-out has ended.
	}
	a.split.recorder.Record(a.software.version, a.route, o)
	switch o.(type) {
	case mprollout.Answered:
		a.board.cfg.Metrics.Add(a.names().answers, 1)
	case mprollout.Failed:
		a.board.cfg.Metrics.Add(a.names().failures, 1)
	}
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
	current := b.Split(a.software.pool)
	switch {
	case current == nil || current.recorder == nil:
		return
	case current == a.split:
		current.recorder.End(a.software.version, a.route)
	default:
		current.recorder.End(a.software.version, "")
	}
	if r := current.row.Load(); r.Phase == mprollout.PhaseShift && a.software.version != r.Target && !b.runsOld(r) {
		b.wake()
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
