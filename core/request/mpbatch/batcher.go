package mpbatch

import (
	"cmp"
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mproute"
)

// maxFailuresPerPiece limits how often the pieces of a job are retried: a job fails
// after more than this many failures per piece, counted over all of its pieces.
const maxFailuresPerPiece = 4

// Config configures a Batcher.
type Config struct {
	Spec mproute.BatchSpec
	// Rate returns the calls per second that an upstream takes, as far as it names a limit. It
	// is nil if none does.
	Rate func(upstream string) (float64, bool)
	// Speed holds how fast the upstreams are. If it is nil, the Batcher has a Board of its own.
	Speed *mpspeed.Board
	// Split returns how calls are divided between versions; nil if the pool had no roll-out. The
	// function is nil if the VM does not act on versions.
	Split func() *mpversion.Split
}

type storedResult struct {
	upstreamID string
	bytes      int
	until      time.Time
}

// Batcher holds the queue and the upstreams of one pool. It is not safe for concurrent
// use.
type Batcher struct {
	cfg             Config
	upstreamsByID   map[string]*upstreamState
	upstreams       []*upstreamState
	queue           []*Job
	activeCalls     map[uint64]*activeCall
	results         map[string]storedResult
	pendingFrees    []string
	lastCallID      uint64
	lastSeq         uint64
	duplicateBudget float64
	// lastSweep is when the queue was last searched for jobs to shed and the results for
	// dropped ones.
	lastSweep time.Time
	// reserved counts, for the current run of Next, the pieces that wait for each busy
	// upstream, and turn says which upstreams get calls in it.
	reserved map[string]int
	turn     turn
}

// New returns a Batcher without upstreams.
func New(cfg Config) *Batcher {
	if cfg.Speed == nil {
		cfg.Speed = mpspeed.New(mpspeed.Config{ResponseWeight: 1})
	}
	return &Batcher{
		cfg:             cfg,
		upstreamsByID:   map[string]*upstreamState{},
		activeCalls:     map[uint64]*activeCall{},
		results:         map[string]storedResult{},
		duplicateBudget: duplicateBurst,
	}
}

// SetSpec replaces the configured sizes and durations.
func (b *Batcher) SetSpec(spec mproute.BatchSpec) { b.cfg.Spec = spec }

// Spec returns the configured sizes and durations.
func (b *Batcher) Spec() mproute.BatchSpec { return b.cfg.Spec }

// SetUpstreams replaces the upstreams that may get calls. Running calls to upstreams
// that are no longer listed are not interrupted.
func (b *Batcher) SetUpstreams(list []Upstream) {
	for _, s := range b.upstreamsByID {
		s.listed = false
	}
	for _, upstream := range list {
		s, ok := b.upstreamsByID[upstream.ID]
		if !ok {
			s = &upstreamState{usedBytes: b.storedBytes(upstream.ID)}
			b.upstreamsByID[upstream.ID] = s
		}
		s.upstream = upstream
		s.listed = true
	}
	b.upstreams = b.upstreams[:0]
	for id, s := range b.upstreamsByID {
		if !s.listed && s.call == nil {
			delete(b.upstreamsByID, id)
			continue
		}
		b.upstreams = append(b.upstreams, s)
	}
	slices.SortFunc(b.upstreams, func(x, y *upstreamState) int { return cmp.Compare(x.upstream.ID, y.upstream.ID) })
}

func (b *Batcher) endJob(j *Job, err error) {
	if j.isDone() {
		return
	}
	j.err = err
	if err != nil {
		b.freeResults(j)
	}
	b.queue = slices.DeleteFunc(b.queue, func(o *Job) bool { return o == j })
	close(j.done)
}

// Next returns the calls to start now. Each must be followed by Finish.
func (b *Batcher) Next(now time.Time) []Call {
	b.expire(now)
	b.duplicateOverdue(now)
	if !slices.ContainsFunc(b.upstreams, func(s *upstreamState) bool { return s.isIdle(now) }) {
		return nil
	}
	b.sortQueue(now)
	var open []*activeCall
	b.reserved = map[string]int{}
	b.turn = b.turnAt(now)
	for _, j := range b.queue {
		b.placeAtTarget(now, j, &open)
		for i := range j.pieces {
			if j.pieces[i].state != waiting {
				continue
			}
			c := b.place(now, j, &open)
			if c == nil {
				break
			}
			b.addItem(c, j, i)
		}
	}
	calls := make([]Call, 0, len(open))
	for _, c := range open {
		s := b.upstreamsByID[c.call.Upstream.ID]
		c.usedBytes = s.usedBytes
		c.call.Expected = b.callDuration(now, s, len(c.call.Items))
		c.call.Timeout = timeoutFactor*c.call.Expected + timeoutSlack
		calls = append(calls, c.call)
	}
	return calls
}

// sortQueue puts the jobs that go first in front.
func (b *Batcher) sortQueue(now time.Time) {
	slices.SortFunc(b.queue, func(x, y *Job) int { return x.compare(now, y) })
}

// Finish records the outcome of a call and ends the jobs that it completes or fails.
func (b *Batcher) Finish(now time.Time, id uint64, out Outcome) {
	c, ok := b.activeCalls[id]
	if !ok {
		return
	}
	delete(b.activeCalls, id)
	s := b.upstreamsByID[c.call.Upstream.ID]
	s.call = nil
	b.cfg.Speed.Record(now, s.upstream.ID, out.Load)
	switch out.Status {
	case Answered:
		s.failures = 0
		b.cfg.Speed.Observe(now, s.upstream.ID, b.cfg.Spec.CallDuration(len(c.jobs)), now.Sub(c.started))
	case Refused:
		s.backoffUntil = now.Add(refusedBackoff)
	case Deferred:
		s.deferredUntil = now.Add(out.Wait)
		if c.takenFrom != nil {
			c.takenFrom.Return(len(c.jobs))
		}
	case Failed:
		s.recordFailure(now)
	}
	if !s.listed {
		delete(b.upstreamsByID, s.upstream.ID)
		b.upstreams = slices.DeleteFunc(b.upstreams, func(o *upstreamState) bool { return o == s })
	}
	missingBytes := 0
	for i, j := range c.jobs {
		outcome := ItemOutcome{Reason: ReasonError}
		if out.Status == Answered && i < len(out.Items) {
			outcome = out.Items[i]
		}
		if outcome.Reason == ReasonNoMemory {
			missingBytes += j.spec.ResultBytes
		}
		b.finishItem(now, s, j, c.call.Items[i].Number, outcome, out.Status)
	}
	if missingBytes > 0 {
		s.recordNoMemory(now, c, missingBytes, b.cfg.Spec.ResultMemoryBytes)
	}
}

func (b *Batcher) finishItem(now time.Time, s *upstreamState, j *Job, number int, outcome ItemOutcome, status CallStatus) {
	p := &j.pieces[number]
	p.inFlight--
	if outcome.Handle != "" {
		b.results[outcome.Handle] = storedResult{s.upstream.ID, j.spec.ResultBytes, now.Add(b.cfg.Spec.ResultRetention)}
		if j.isDone() || p.state == completed {
			b.queueFree(outcome.Handle)
			return
		}
		p.state, p.handle, p.dc = completed, outcome.Handle, s.upstream.DC
		if j.remaining--; j.remaining == 0 {
			b.endJob(j, nil)
		}
		return
	}
	s.usedBytes -= j.spec.ResultBytes
	if j.isDone() || p.state != running || p.inFlight > 0 {
		return
	}
	p.state = waiting
	switch {
	case outcome.Reason == ReasonLate:
		b.endJob(j, mperror.Wrap(mperror.ErrDeadline, "stage %d: upstream reported a piece as late", j.spec.Stage))
	case outcome.Reason == ReasonInputGone:
		b.endJob(j, mperror.Wrap(mperror.ErrNotFound, "stage %d: an input no longer exists", j.spec.Stage))
	case outcome.Reason == ReasonNoMemory:
		// Not a failure: Finish updates the estimate of the upstream's memory, and the
		// piece is queued again for any upstream.
	case status == Failed || status == Answered:
		if j.failures++; j.failures > maxFailuresPerPiece*len(j.pieces) {
			b.endJob(j, mperror.Wrap(mperror.ErrConnectionLost, "stage %d: pieces failed %d times", j.spec.Stage, j.failures))
		}
	}
}

// NextWake returns when Next must be called again at the latest if nothing else
// happens, or the zero time if it need not be.
func (b *Batcher) NextWake(now time.Time) time.Time {
	var at time.Time
	consider := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, c := range b.activeCalls {
		if !c.duplicated {
			consider(b.overdueAt(c))
		}
	}
	for _, j := range b.queue {
		consider(j.spec.Deadline)
	}
	if len(b.queue) > 0 {
		for _, s := range b.upstreams {
			consider(s.backoffUntil)
			consider(s.deferredUntil)
			if now.Before(s.foreignUntil) {
				consider(now.Add(memoryCheckInterval))
			}
		}
		if len(b.results) > 0 {
			consider(b.lastSweep.Add(sweepInterval))
		}
	}
	return at
}

// Waiting returns the number of pieces that wait for a call.
func (b *Batcher) Waiting() int {
	n := 0
	for _, j := range b.queue {
		for _, p := range j.pieces {
			if isWaiting(p) {
				n++
			}
		}
	}
	return n
}
