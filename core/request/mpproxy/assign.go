package mpproxy

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
)

// Assigner asks the owner of a pool of engines, which knows the requests of all VMs, which of them
// gets a request.
type Assigner interface {
	// Assign returns nil if the proxy is to choose by itself.
	Assign(ctx context.Context, r EngineRequest) *Assignment
	// Reject counts an assignment whose engine this VM does not use.
	Reject(a *Assignment)
}

// EngineRequest is a request for which an engine is to be chosen.
type EngineRequest struct {
	Pool string
	// Parts lists the shared parts of the prompt in order; OwnTokens is the rest of it.
	Parts        []mpassign.Part
	OwnTokens    int
	OutputTokens int
	// Delay is the expected time until the request reaches the engine.
	Delay    time.Duration
	Deadline time.Time
	// Exclude lists engines that the request must not go to. Versions lists the versions of
	// software that may serve it; nil for all.
	Exclude  []string
	Versions []string
}

// Assignment is the engine that an owner has chosen.
type Assignment struct {
	Engine string
	// Owner is the VM that chose it.
	Owner string
	// Expected is the expected time to the first token, and CachedTokens the number of tokens of the
	// prompt that the engine has cached by the owner's account.
	Expected     time.Duration
	CachedTokens int
	// Settle reports how the request goes on and ends.
	Settle func(o mpassign.Outcome)
}

// assign asks the owner of the engines for one, unless there is an assignment. The request reaches the
// engine after about delay.
func (e *exchange) assign(ctx context.Context, delay time.Duration) {
	engine := e.pool.Spec().Engine
	if e.assignment != nil || e.p.cfg.Assigner == nil || engine == nil || len(e.r.Prompt) == 0 {
		return
	}
	r := EngineRequest{Pool: e.pool.Spec().Name, OutputTokens: e.r.MaxOutputTokens, Delay: delay, Deadline: e.deadline}
	for _, p := range e.r.sharedParts() {
		r.Parts = append(r.Parts, mpassign.Part{Hash: xxhash.Sum64String(p.ID), Tokens: p.Tokens})
	}
	r.OwnTokens = e.r.Prompt[len(e.r.Prompt)-1].Tokens
	var ok bool
	if r.Exclude, r.Versions, ok = e.unusableEngines(); !ok {
		return
	}
	if e.assignment = e.p.cfg.Assigner.Assign(ctx, r); e.assignment != nil {
		e.owner, e.expected, e.cachedTokens = e.assignment.Owner, e.assignment.Expected, e.assignment.CachedTokens
	}
}

// unusableEngines returns which engines of the pool the request may not go to, and which versions
// may serve it if these are not all. Engines of other versions are not listed. It returns false if
// no engine is left.
func (e *exchange) unusableEngines() (exclude, versions []string, ok bool) {
	now := e.p.cfg.Clock()
	candidates := e.likely(now, e.untried())
	place := e.placement(now, candidates)
	usable := map[string]bool{}
	for _, c := range candidates {
		if e.p.cfg.Selector.IsHealthy(now, c, e.pickInfo) && !place.Spares(c.Row.ID) {
			usable[c.Row.ID] = true
		}
	}
	rows := e.p.cfg.State.Usable().Rows(e.pool.Spec().Name)
	isMixed := false
	for _, row := range rows {
		if usable[row.ID] && !slices.Contains(versions, row.Version) {
			versions = append(versions, row.Version)
		}
	}
	for _, row := range rows {
		isOther := !slices.Contains(versions, row.Version)
		isMixed = isMixed || isOther
		if !isOther && !usable[row.ID] {
			exclude = append(exclude, row.ID)
		}
	}
	if !isMixed {
		versions = nil
	}
	return exclude, versions, len(usable) > 0
}

// pickAssigned selects the assigned engine, if it is among the candidates and may be used. Otherwise
// the assignment ends.
func (e *exchange) pickAssigned(now time.Time, candidates []mpselect.Candidate) (mplist.Row, bool) {
	if e.assignment == nil {
		return mplist.Row{}, false
	}
	i := slices.IndexFunc(candidates, func(c mpselect.Candidate) bool { return c.Row.ID == e.assignment.Engine })
	if i >= 0 && e.p.cfg.Selector.PickOnly(now, candidates[i], e.pickInfo) {
		return candidates[i].Row, true
	}
	e.p.cfg.Assigner.Reject(e.assignment)
	e.settleAssignment(mpassign.Unused)
	return mplist.Row{}, false
}

// settleAssignment ends the assignment, if there is one.
func (e *exchange) settleAssignment(end mpassign.End) {
	if a := e.assignment; a != nil {
		e.assignment = nil
		a.Settle(mpassign.Outcome{End: end, Pace: e.pace})
	}
}

// reportFirstToken tells the owner that the first token of the assigned request has arrived.
func (e *exchange) reportFirstToken() {
	if e.assignment != nil {
		e.assignment.Settle(mpassign.Outcome{End: mpassign.Started, FirstToken: e.timeToFirstEvent, Pace: e.pace})
	}
}

// assignmentEnd returns how the assignment of an attempt ends.
func assignmentEnd(result attemptResult, outcome mpselect.Outcome) mpassign.End {
	switch {
	case result == inputsMissing:
		return mpassign.Unused
	case outcome == mpselect.Refused:
		return mpassign.Refused
	case outcome == mpselect.Failed:
		return mpassign.Failed
	case outcome == mpselect.Gone:
		return mpassign.Gone
	case outcome == mpselect.Neutral:
		return mpassign.Cancelled
	}
	return mpassign.Done
}
