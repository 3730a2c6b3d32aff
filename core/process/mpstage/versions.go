package mpstage

import (
	"errors"
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpversion"
)

// beginCount counts a call for the roll-out of the pool, if there is one.
func (q *shardQueue) beginCount(now time.Time, c mpbatch.Call) mpversion.Attempt {
	if split := q.owner.cfg.Versions.Split(q.shard.pool); split != nil {
		split.Arrived(len(c.Items))
	}
	return q.owner.cfg.Versions.Begin(now, q.shard.pool, c.Upstream.Version, "", !now.Before(c.Upstream.ColdUntil))
}

// countOutcome records how a call has ended. The pieces of a call fail together, so that each call
// counts as one outcome. Its latency is that of a call with one piece, as far as the pool's
// configuration tells how much longer this one should take.
func (q *shardQueue) countOutcome(counted *mpversion.Attempt, c mpbatch.Call, out mpbatch.Outcome, took time.Duration) {
	hasReason := func(reason mpbatch.Reason) bool {
		return slices.ContainsFunc(out.Items, func(i mpbatch.ItemOutcome) bool { return i.Handle == "" && i.Reason == reason })
	}
	switch {
	case out.Status == mpbatch.Failed && q.owner.ctx.Err() != nil: // The process ends.
	case out.Status == mpbatch.Failed:
		counted.Failed(!errors.Is(out.Err, mperror.ErrBadResponse))
	case out.Status != mpbatch.Answered:
	case hasReason(mpbatch.ReasonError):
		counted.Failed(false)
	case hasReason(mpbatch.ReasonLate) || hasReason(mpbatch.ReasonInputGone) || hasReason(mpbatch.ReasonNoMemory):
		// The call did less than the others, for no fault of the version.
	default:
		counted.Answered(time.Duration(float64(took) * q.onePieceShare(len(c.Items))))
	}
}

// onePieceShare returns which part of the duration of a call with n pieces one with a single piece
// takes.
func (q *shardQueue) onePieceShare(n int) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	spec := q.batcher.Spec()
	if whole := spec.CallDuration(n); whole > 0 {
		return float64(spec.CallDuration(1)) / float64(whole)
	}
	return 1
}
