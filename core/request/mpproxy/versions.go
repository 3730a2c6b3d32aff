package mpproxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
)

// mayUseVersion reports whether the request may go to upstreams of a version. A stream goes on
// only at the version that began it, also after a roll-out. split is nil if the pool had none.
func (e *exchange) mayUseVersion(now time.Time, split *mpversion.Split, version string) bool {
	if e.origin.IsKnown() {
		return version == e.origin.Version
	}
	return split == nil || split.Admits(now, version)
}

// likely returns those of the candidates of which the request is likely to get one, by their version.
func (e *exchange) likely(now time.Time, candidates []mpselect.Candidate) []mpselect.Candidate {
	split := e.p.cfg.Versions.Split(e.pool.Spec().Name)
	if split == nil {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(c mpselect.Candidate) bool { return !e.mayUseVersion(now, split, c.Row.Version) })
	if e.origin.IsKnown() {
		return candidates
	}
	target, old := divide(split, candidates)
	if len(old) == 0 || len(target) > 0 && split.Mode(now) == mpversion.TargetFirst {
		return target
	}
	return old
}

// divide returns the candidates of the target of a roll-out and the others.
func divide(split *mpversion.Split, candidates []mpselect.Candidate) (target, old []mpselect.Candidate) {
	for _, c := range candidates {
		if split.IsTarget(c.Row.Version) {
			target = append(target, c)
		} else {
			old = append(old, c)
		}
	}
	return target, old
}

// pickVersion selects an upstream for a request that is not bound to a version, while the pool has
// a roll-out. In a trial only the first attempt of a request goes to the target: what fails there is
// sent again to the old versions.
func (e *exchange) pickVersion(now time.Time, t trial, candidates []mpselect.Candidate) (mplist.Row, bool) {
	mode := e.split.Mode(now)
	target, old := divide(e.split, candidates)
	usual := old
	if mode == mpversion.TargetFirst && len(target) > 0 {
		usual = target
	}
	targetFirst := mode == mpversion.TargetFirst && !e.failedAtTarget || mode == mpversion.Shared && e.sends == 0 && !t.isIsolated()
	if targetFirst {
		if row, ok := e.pickTarget(now, t, mode, target, usual); ok {
			return row, true
		}
	}
	if row, ok := e.pickAmong(now, t, old, usual); ok || targetFirst || mode == mpversion.Shared && e.failedAtTarget {
		return row, ok
	}
	return e.pickTarget(now, t, mode, target, usual)
}

// pickTarget selects an upstream of the target, if it may get the request.
func (e *exchange) pickTarget(now time.Time, t trial, mode mpversion.Mode, target, usual []mpselect.Candidate) (mplist.Row, bool) {
	if len(target) == 0 || mode == mpversion.OldOnly || mode == mpversion.Shared && !e.split.Take(1) {
		return mplist.Row{}, false
	}
	e.tookShare = mode == mpversion.Shared
	row, ok := e.pickAmong(now, t, target, usual)
	if !ok {
		e.returnShare()
	}
	return row, ok
}

// returnShare gives back what the selected upstream took of the target's share.
func (e *exchange) returnShare() {
	if e.tookShare {
		e.split.Return(1)
		e.tookShare = false
	}
}

// countArrival counts an attempt that has reached an upstream.
func (e *exchange) countArrival(row mplist.Row) {
	if e.split == nil {
		return
	}
	e.split.Arrived(1)
	if !e.tookShare && e.split.IsTarget(row.Version) {
		e.split.Charge()
	}
}

// beginCount begins to count an attempt. The last attempt of a stream that is bound to its version
// has not ended until now, so that the stream counts as running in between. What a cold upstream
// takes says nothing of its version, and neither does what a resumed stream takes to go on.
func (e *exchange) beginCount(row mplist.Row) {
	last := e.counted
	isCold := e.p.cfg.State.Usable().ColdUntil(row).After(e.sentAt)
	e.counted = e.p.cfg.Versions.Begin(e.sentAt, row.Pool, row.Version, e.route.Spec().Name, !isCold && e.lastEventID == "")
	last.End()
}

// countOutcome records how an attempt has ended. Rejections and callers that disconnect say nothing
// of the version, and neither do failures under a request that is suspected of crashing upstreams.
func (e *exchange) countOutcome(
	ctx context.Context, now time.Time, row mplist.Row, t trial, result attemptResult, outcome mpselect.Outcome,
) {
	if result == failed && e.split != nil && e.split.IsTarget(row.Version) {
		e.failedAtTarget = true
	}
	switch {
	case result == refused || result == inputsMissing || outcome == mpselect.Neutral:
	case result == answered && e.status < http.StatusInternalServerError:
		e.counted.Answered(now.Sub(e.sentAt)) // Streams were recorded with their first event.
	case result == failed && (t.feature != 0 || e.gaveUpEarly(ctx, now)):
	default:
		e.counted.Failed(e.isLost)
	}
	if !e.origin.IsKnown() {
		e.counted.End()
	}
}

// gaveUpEarly reports whether the last attempt ended since this process leaves, or since former
// attempts had used up so much of the request's time that the upstream was not late yet.
func (e *exchange) gaveUpEarly(ctx context.Context, now time.Time) bool {
	if ctx.Err() == nil {
		return false
	}
	isLeaving := !e.processEnd.IsZero() && !now.Before(e.processEnd)
	return isLeaving || e.sends > 1 && e.beganAt.IsZero() && now.Sub(e.sentAt) < e.route.Spec().LatencyTarget
}
