package mpbatch

import (
	"time"

	"mustardpost.org/core/request/mpversion"
)

const (
	// A call is overdue after overdueFactor times its expected duration plus
	// overdueSlack.
	overdueFactor = 1.7
	overdueSlack  = 120 * time.Millisecond
	// Upstreams that report their speed are up to passingSlowdown times slower for up to
	// passingDuration at a time. A call that turned slow ends sooner than one that is made again
	// elsewhere once it is overdue, so that it is not overdue before that time.
	passingSlowdown = 2.5
	passingDuration = 600 * time.Millisecond
	// A call times out after timeoutFactor times its expected duration plus
	// timeoutSlack.
	timeoutFactor = 5
	timeoutSlack  = time.Second

	// initialBackoff doubles with each consecutive failed call, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusedBackoff is about one round trip between data centres.
	refusedBackoff = 20 * time.Millisecond
	// memoryCheckInterval is how often the queue is checked again while the estimate
	// of the memory used by other owners' results decays.
	memoryCheckInterval = 50 * time.Millisecond
	// foreignTTL is about how long a result exists until it has been read.
	foreignTTL = 700 * time.Millisecond
	// memoryShare is the share of an upstream's memory that pieces with inputs may fill.
	// The configured result sizes are approximate, and a piece that finds no memory
	// holds up all results of the earlier stages.
	memoryShare = 0.95
)

// upstreamState is what the Batcher knows about one upstream.
type upstreamState struct {
	upstream Upstream
	call     *activeCall
	listed   bool
	// backoffUntil is when the upstream may get calls again after a failed or refused
	// call.
	backoffUntil time.Time
	// deferredUntil is when the upstream's limit allows the next call.
	deferredUntil time.Time
	failures      int
	// usedBytes is the memory used by this owner's results, including those of the
	// running call.
	usedBytes int
	// foreignBytes estimates the memory used by results of other owners. The estimate
	// decays to zero at foreignUntil.
	foreignBytes int
	foreignUntil time.Time
}

// activeCall is a call that is running.
type activeCall struct {
	call    Call
	jobs    []*Job
	started time.Time
	// usedBytes is the upstream's usedBytes when the call started, including the
	// results of the call itself.
	usedBytes int
	// duplicated is set once the call is overdue and its unfinished pieces have been
	// queued again for other upstreams.
	duplicated bool
	// takenFrom is what the call took its pieces from, if it is the share of the target of a
	// roll-out; nil otherwise.
	takenFrom *mpversion.Split
}

// remaining returns how much longer the call is expected to run, or 0 when it should
// have finished.
func (c *activeCall) remaining(now time.Time) time.Duration {
	return max(c.started.Add(c.call.Expected).Sub(now), 0)
}

// overdueAt returns when a call becomes overdue.
func (b *Batcher) overdueAt(c *activeCall) time.Time {
	expected := float64(c.call.Expected)
	after := overdueFactor * expected
	if _, ok := b.cfg.Speed.Age(c.started, c.call.Upstream.ID); ok {
		after = max(after, expected+min((passingSlowdown-1)*expected, (1-1/passingSlowdown)*float64(passingDuration)))
	}
	return c.started.Add(time.Duration(after) + overdueSlack)
}

func (s *upstreamState) isIdle(now time.Time) bool {
	return s.listed && s.call == nil && !now.Before(s.backoffUntil) && !now.Before(s.deferredUntil)
}

// rate returns the calls per second that s takes, if it names a limit.
func (b *Batcher) rate(s *upstreamState) (float64, bool) {
	if b.cfg.Rate == nil {
		return 0, false
	}
	return b.cfg.Rate(s.upstream.ID)
}

// recordNoMemory records that pieces of c, whose results need missingBytes, found no
// memory. The memory that this owner's results did not use when the call started is
// assumed to hold results of a former owner.
func (s *upstreamState) recordNoMemory(now time.Time, c *activeCall, missingBytes, capacity int) {
	s.foreignBytes = max(capacity-(c.usedBytes-missingBytes), 0)
	s.foreignUntil = now.Add(foreignTTL)
}

// occupiedBytes returns the memory that is not available for new results.
func (s *upstreamState) occupiedBytes(now time.Time) int {
	if now.Before(s.foreignUntil) {
		left := float64(s.foreignUntil.Sub(now)) / float64(foreignTTL)
		return s.usedBytes + int(left*float64(s.foreignBytes))
	}
	return s.usedBytes
}

func (s *upstreamState) recordFailure(now time.Time) {
	s.backoffUntil = now.Add(min(initialBackoff<<min(s.failures, 10), maxBackoff))
	s.failures++
}
