package mpbatch

import (
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
)

const (
	// MaxLateWait is how long a job or a request that will be late may still have to
	// wait behind others: a caller asks again sooner than that.
	MaxLateWait = 800 * time.Millisecond
	// checkEvery bounds the work of looking for jobs without hope.
	checkEvery = 50 * time.Millisecond
)

// Add queues ask, or returns an error that wraps ErrLate when it cannot end
// before its deadline, or ErrEmpty when there is no upstream.
func (g *Batcher) Add(now time.Time, ask JobSpec) (*Job, error) {
	if len(g.order) == 0 {
		return nil, mperror.Wrap(mperror.ErrEmpty, "stage %d", ask.Stage)
	}
	g.jobs++
	j := &Job{seq: g.jobs, ask: ask, arrived: now, pieces: make([]piece, ask.Count), left: ask.Count, done: make(chan struct{})}
	j.least = g.cfg.Spec.Length(ask.Count)
	if wait := g.Estimate(now, j); now.Add(wait).After(ask.Deadline) || j.isHopeless(now, wait) {
		return nil, &LateError{Stage: ask.Stage, Wait: wait}
	}
	g.queue = append(g.queue, j)
	g.again = min(g.again+againShare*float64(ask.Count), againBurst)
	return j, nil
}

// Estimate returns how long j, which need not be queued yet, is expected to take.
func (g *Batcher) Estimate(now time.Time, j *Job) time.Duration {
	ahead := j.left
	for _, o := range g.queue {
		if o != j && o.compare(now, j) < 0 {
			ahead += o.left
		}
	}
	var rate float64
	soonest := time.Duration(-1)
	for _, s := range g.order {
		if !s.listed || s.until.Sub(now) > avoidFirst {
			continue
		}
		full := g.length(s, g.cfg.Spec.Size)
		rate += float64(g.cfg.Spec.Size) / full.Seconds()
		wait := time.Duration(0)
		if s.call != nil {
			wait = s.call.left(now)
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	if rate == 0 {
		return g.cfg.Spec.Keep
	}
	behind := max(ahead-g.cfg.Spec.Size, 0)
	return soonest + time.Duration(float64(behind)/rate*float64(time.Second)) + g.cfg.Spec.Length(j.left)
}

// Backlog returns how long a piece of a new job would wait until its call begins.
func (g *Batcher) Backlog(now time.Time, priority int) time.Duration {
	// With an aim that far the job does not count as late already.
	j := &Job{seq: g.jobs + 1, ask: JobSpec{Priority: priority, SoftDeadline: now.Add(g.cfg.Spec.Keep)}, left: 1}
	return max(g.Estimate(now, j)-g.cfg.Spec.Length(1), 0)
}

// isHopeless reports whether j, expected to take wait, will be late and would wait
// long behind work that can be on time. Its caller is better served by a refusal now.
func (j *Job) isHopeless(now time.Time, wait time.Duration) bool {
	return j.begun.IsZero() && wait > MaxLateWait && now.Add(wait).After(j.ask.SoftDeadline)
}

// length returns how long a call with that many pieces takes at s.
func (g *Batcher) length(s *server, pieces int) time.Duration {
	return time.Duration(float64(g.cfg.Spec.Length(pieces)) * s.pace)
}

// Cancel ends a job whose request has gone. Pieces that are being made are freed
// when they are done; so are the results of a job that ended just before.
func (g *Batcher) Cancel(j *Job) {
	if j.isDone() && j.err == nil {
		g.freeMade(j)
		return
	}
	g.end(j, mperror.ErrLate)
}

// expire ends the jobs that cannot be done in time, and forgets results that
// their makers have dropped.
func (g *Batcher) expire(now time.Time) {
	least := g.cfg.Spec.Length(1)
	for _, j := range slices.Clone(g.queue) {
		untouched := !slices.ContainsFunc(j.pieces, func(p piece) bool { return p.state == running })
		if now.After(j.ask.Deadline) || untouched && now.Add(least).After(j.ask.Deadline) {
			g.end(j, mperror.Wrap(mperror.ErrLate, "stage %d: waited %v", j.ask.Stage, now.Sub(j.arrived)))
		}
	}
	if now.Sub(g.checked) >= checkEvery {
		g.checked = now
		g.dropHopeless(now)
	}
	for h, k := range g.results {
		if now.After(k.until) {
			g.forget(h)
		}
	}
}

// dropHopeless refuses the jobs that will be late and wait long, the last in
// order first, since each that goes shortens the wait of those behind it.
func (g *Batcher) dropHopeless(now time.Time) {
	queue := slices.Clone(g.queue)
	slices.SortFunc(queue, func(a, b *Job) int { return b.compare(now, a) })
	for _, j := range queue {
		if wait := g.Estimate(now, j); j.isHopeless(now, wait) {
			g.end(j, &LateError{Stage: j.ask.Stage, Wait: wait})
		}
	}
}
