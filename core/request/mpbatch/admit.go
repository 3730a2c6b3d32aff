package mpbatch

import (
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mproute"
)

const (
	// MaxLateWait is how long a job or a request that will be late may be expected to
	// wait behind others. A longer wait is refused, since a refused caller retries sooner.
	MaxLateWait = 800 * time.Millisecond
	// sweepInterval bounds the cost of searching the queue for jobs to shed and the
	// results for those that their upstreams have dropped.
	sweepInterval = 50 * time.Millisecond
)

// Add queues a job for spec. It returns an error that wraps ErrDeadline when the job
// is not expected to finish before its deadline or would be shed, and one that wraps
// ErrNoUpstream when there is no upstream.
func (b *Batcher) Add(now time.Time, spec JobSpec) (*Job, error) {
	if len(b.upstreams) == 0 {
		return nil, mperror.Wrap(mperror.ErrNoUpstream, "stage %d", spec.Stage)
	}
	b.lastSeq++
	j := &Job{seq: b.lastSeq, spec: spec, arrived: now, pieces: make([]piece, spec.Count), remaining: spec.Count, done: make(chan struct{})}
	j.minTime = b.cfg.Spec.CallDuration(spec.Count)
	if wait := b.Estimate(now, j); now.Add(wait).After(spec.Deadline) || j.shouldShed(now, wait) {
		return nil, &LateError{Stage: spec.Stage, Wait: wait}
	}
	b.queue = append(b.queue, j)
	b.duplicateBudget = min(b.duplicateBudget+duplicateShare*float64(spec.Count), duplicateBurst)
	return j, nil
}

// Estimate returns how long j is expected to take from now, including its wait in the
// queue. The job need not be queued yet.
func (b *Batcher) Estimate(now time.Time, j *Job) time.Duration {
	ahead := 0
	for _, o := range b.queue {
		if o != j && o.compare(now, j) < 0 {
			ahead += o.remaining
		}
	}
	return b.capacity(now).estimate(b.cfg.Spec, ahead, j.remaining)
}

// capacity is what the upstreams of a Batcher can do.
type capacity struct {
	// rate is the number of pieces per second in full calls.
	rate float64
	// soonest is how long until one of the upstreams is idle.
	soonest time.Duration
}

// capacity returns what the upstreams that are not in a long backoff can do.
func (b *Batcher) capacity(now time.Time) capacity {
	c, turn := capacity{soonest: -1}, b.turnAt(now)
	for _, s := range b.upstreams {
		if !s.listed || !turn.includes(s) || s.backoffUntil.Sub(now) > initialBackoff {
			continue
		}
		callsPerSecond := 1 / b.longCallDuration(now, s, b.cfg.Spec.MaxPieces).Seconds()
		if limit, ok := b.rate(s); ok {
			callsPerSecond = min(callsPerSecond, limit)
		}
		c.rate += float64(b.cfg.Spec.MaxPieces) * callsPerSecond
		wait := max(s.deferredUntil.Sub(now), 0)
		if s.call != nil {
			wait = max(wait, s.call.remaining(now))
		}
		if c.soonest < 0 || wait < c.soonest {
			c.soonest = wait
		}
	}
	return c
}

// estimate returns how long a job of count pieces is expected to take behind the given
// number of others.
func (c capacity) estimate(spec mproute.BatchSpec, ahead, count int) time.Duration {
	if c.rate == 0 {
		return spec.ResultRetention
	}
	queued := max(ahead+count-spec.MaxPieces, 0)
	return c.soonest + time.Duration(float64(queued)/c.rate*float64(time.Second)) + spec.CallDuration(count)
}

// Backlog returns how long a piece of a new job would wait until its call starts.
func (b *Batcher) Backlog(now time.Time, priority int) time.Duration {
	// The distant soft deadline keeps the job from being ranked as late.
	j := &Job{seq: b.lastSeq + 1, spec: JobSpec{Priority: priority, SoftDeadline: now.Add(b.cfg.Spec.ResultRetention)}, remaining: 1}
	return max(b.Estimate(now, j)-b.cfg.Spec.CallDuration(1), 0)
}

// shouldShed reports whether j, which is expected to take wait, has not started, will
// miss its soft deadline and would wait long behind jobs that can still be on time.
// An immediate refusal serves its caller better.
func (j *Job) shouldShed(now time.Time, wait time.Duration) bool {
	return j.firstCallAt.IsZero() && wait > MaxLateWait && now.Add(wait).After(j.spec.SoftDeadline)
}

// callDuration returns the expected duration of a call with the given number of pieces that
// starts now at s.
func (b *Batcher) callDuration(now time.Time, s *upstreamState, pieces int) time.Duration {
	return b.cfg.Speed.Duration(now, s.upstream.ID, b.cfg.Spec.CallDuration(pieces))
}

// longCallDuration returns the mean duration of calls to s over a longer time.
func (b *Batcher) longCallDuration(now time.Time, s *upstreamState, pieces int) time.Duration {
	return time.Duration(float64(b.cfg.Spec.CallDuration(pieces)) * b.cfg.Speed.LongFactor(now, s.upstream.ID))
}

// Cancel ends a job whose request was cancelled. Its results are freed, also when the
// job has just completed; those of running pieces are freed once they are made.
func (b *Batcher) Cancel(j *Job) {
	if j.isDone() && j.err == nil {
		b.freeResults(j)
		return
	}
	b.endJob(j, mperror.ErrDeadline)
}

// expire ends the jobs that cannot meet their deadline, sheds late jobs, and stops counting
// results that their upstreams have dropped by now.
func (b *Batcher) expire(now time.Time) {
	minTime := b.cfg.Spec.CallDuration(1)
	for _, j := range slices.Clone(b.queue) {
		noneRunning := !slices.ContainsFunc(j.pieces, func(p piece) bool { return p.state == running })
		if now.After(j.spec.Deadline) || noneRunning && now.Add(minTime).After(j.spec.Deadline) {
			b.endJob(j, mperror.Wrap(mperror.ErrDeadline, "stage %d: not finished after %v", j.spec.Stage, now.Sub(j.arrived)))
		}
	}
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	b.shedLate(now)
	for h, result := range b.results {
		if now.After(result.until) {
			b.forgetResult(h)
		}
	}
}

// shedLate refuses the jobs that will be late after a long wait. A refusal shortens the wait
// of the jobs behind it, so the last jobs are refused first: each job's wait counts all
// those in front of it, refused or not.
func (b *Batcher) shedLate(now time.Time) {
	b.sortQueue(now)
	c, ahead := b.capacity(now), 0
	for _, j := range slices.Clone(b.queue) {
		if wait := c.estimate(b.cfg.Spec, ahead, j.remaining); j.shouldShed(now, wait) {
			b.endJob(j, &LateError{Stage: j.spec.Stage, Wait: wait})
		}
		ahead += j.remaining
	}
}
