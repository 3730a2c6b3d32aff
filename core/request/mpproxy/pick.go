package mpproxy

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
)

// maxTakes limits how many upstreams of limited rate are asked for in turn for one attempt.
const maxTakes = 8

// pick selects an upstream to which the request was not sent before, and takes one request
// from its rate if it has one. If none is usable, it returns when the first rate or pause of an
// upstream allows one; 0 if these are not the reason.
func (e *exchange) pick(ctx context.Context, t trial) (row mplist.Row, wait time.Duration, ok bool) {
	for range maxTakes {
		row, ok := e.pickUsable(t)
		if !ok {
			break
		}
		rate, isLimited := e.p.cfg.Quotas.Rate(row.ID)
		if !isLimited {
			return row, 0, true
		}
		wait := e.p.cfg.Quotas.Take(ctx, row.ID, rate)
		if wait <= 0 {
			return row, 0, true
		}
		e.p.cfg.Metrics.Add("quota.denied", 1)
		e.p.cfg.Selector.Return(row.ID, e.pickInfo, e.p.cfg.Clock().Add(wait))
		e.returnShare()
	}
	now := e.p.cfg.Clock()
	if until := e.p.cfg.Selector.DeferredUntil(now, e.untried()); !until.IsZero() {
		return mplist.Row{}, until.Sub(now), false
	}
	var ids []string
	for _, c := range e.p.candidates(e.pool) {
		ids = append(ids, c.Row.ID)
	}
	return mplist.Row{}, e.p.cfg.Notices.Shortest(now, ids), false
}

// untried returns the candidates to which the request was not sent and that accept requests, of
// those that may go on with a stream that has begun, or may get new requests.
func (e *exchange) untried() []mpselect.Candidate {
	now, split := e.p.cfg.Clock(), e.p.cfg.Versions.Split(e.pool.Spec().Name)
	return slices.DeleteFunc(e.p.candidates(e.pool), func(c mpselect.Candidate) bool {
		return slices.Contains(e.pickInfo.Exclude, c.Row.ID) || !e.mayUseVersion(now, split, c.Row.Version) || e.p.cfg.Notices.Wait(now, c.Row.ID) > 0
	})
}

// observeNotice records what an answer says of the upstream.
func (e *exchange) observeNotice(row mplist.Row, n mpnotice.Notice) {
	now := e.p.cfg.Clock()
	if e.p.cfg.Notices.Observe(now, e.sentAt, row.ID, n) {
		_ = level.Info(e.p.cfg.Logger).Log("msg", "upstream accepts nothing from here", "pool", row.Pool, "upstream", row.ID,
			"leaving", n.IsLeaving, "wait", e.p.cfg.Notices.Wait(now, row.ID))
	}
}

// observeLoad records what an answer says of the upstream's load and speed.
func (e *exchange) observeLoad(row mplist.Row, l mpspeed.Load) {
	l.Count(e.p.cfg.Metrics.Add)
	e.pace = l.Percent / 100
	e.p.cfg.Selector.Report(e.p.cfg.Clock(), row.ID, l)
}

// pickUsable selects an upstream whatever its rate.
func (e *exchange) pickUsable(t trial) (mplist.Row, bool) {
	now := e.p.cfg.Clock()
	candidates := e.untried()
	e.split, e.tookShare = e.p.cfg.Versions.Split(e.pool.Spec().Name), false
	if e.split == nil || e.origin.IsKnown() {
		return e.pickAmong(now, t, candidates, candidates)
	}
	return e.pickVersion(now, t, candidates)
}

// pickAmong selects one of the candidates. Trials of a suspect go to the same upstream from all
// VMs, one of usual, which other requests spare for a while.
func (e *exchange) pickAmong(now time.Time, t trial, candidates, usual []mpselect.Candidate) (mplist.Row, bool) {
	place := e.placement(now, usual)
	isMeant := func(c mpselect.Candidate) bool {
		if t.isIsolated() {
			return c.Row.ID == place.Upstream(t.feature)
		}
		return !place.Spares(c.Row.ID)
	}
	meant := slices.DeleteFunc(slices.Clone(candidates), func(c mpselect.Candidate) bool { return !isMeant(c) })
	if t.isIsolated() {
		e.settleAssignment(mpassign.Unused)
	} else if row, ok := e.pickAssigned(now, meant); ok {
		return row, true
	}
	if row, ok := e.p.cfg.Selector.Pick(now, meant, e.pickInfo); ok || t.isIsolated() {
		return row, ok
	}
	return e.p.cfg.Selector.Pick(now, candidates, e.pickInfo)
}

// placement returns which upstreams are spared for trials. Those in their cold start are not.
func (e *exchange) placement(now time.Time, candidates []mpselect.Candidate) mpquarantine.Placement {
	var warm []string
	for _, c := range candidates {
		if !now.Before(c.ColdUntil) {
			warm = append(warm, c.Row.ID)
		}
	}
	return e.p.cfg.Quarantine.Place(now, warm)
}
