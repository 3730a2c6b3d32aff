package mplead

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	// rolloutInterval is how often the leader decides on the roll-outs that run.
	rolloutInterval = 200 * time.Millisecond
	// ReportInterval is how often a VM reports its counts while a roll-out runs.
	ReportInterval = 400 * time.Millisecond
	// listPollInterval is how often an order looks whether the list has been read.
	listPollInterval = 10 * time.Millisecond
)

// Report takes over what a VM has counted of the roll-outs that run.
func (l *Leader) Report(now time.Time, r *mpwire.ReportRequest) *mpwire.ReportReply {
	reply := &mpwire.ReportReply{Leader: l.cfg.Replica.LeaderInfo().Address}
	if !l.IsLeader() {
		return reply
	}
	running := map[string]bool{}
	for _, r := range l.runningRollouts() {
		running[r.ID] = true
	}
	var rows []mprollout.Counts
	for _, c := range mpwire.DecodeCounts(r.GetCounts()) {
		if running[c.ID] {
			rows = append(rows, c)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Merge(now, r.GetVm(), r.GetBoot(), rows)
	l.cfg.Metrics.Add("rollout.reports.merged", 1)
	reply.Done = true
	return reply
}

func (l *Leader) runningRollouts() []mprollout.Rollout {
	var out []mprollout.Rollout
	for _, r := range l.cfg.StateMachine.View().Rollouts() {
		if r.Running() {
			out = append(out, r)
		}
	}
	return out
}

// orderRollout commits an order with the versions in the list that this leader has read, so that no VM
// with an older list decides on them.
func (l *Leader) orderRollout(ctx context.Context, o mpstate.RolloutOrder) (mpstate.Result, error) {
	if !l.IsLeader() {
		return mpstate.Result{}, mperror.ErrNotLeader
	}
	if l.cfg.Upstreams == nil {
		return mpstate.Result{Code: mpstate.CodeInvalid, Text: "this deployment has no list of upstreams with versions"}, nil
	}
	list, ok := l.newList()
	for !ok && l.needsVersions(time.Now(), o) {
		if !mptime.Sleep(ctx, listPollInterval) {
			return mpstate.Result{}, mperror.Wrap(mperror.ErrNotLeader, "order of a roll-out: %v", mperror.ErrNoList)
		}
		list, ok = l.newList()
	}
	o.Versions, o.Listed = nil, ok
	for _, row := range list.Rows() {
		if ok && row.Pool == o.Pool {
			o.Versions = append(o.Versions, row.Version)
		}
	}
	r, err := l.commit(ctx, o)
	if err == nil {
		l.recordOrder(o, r)
	}
	return r, err
}

// newList returns the list of upstreams, and whether it was read since this voter leads.
func (l *Leader) newList() (*mplist.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.upstreamList
	return list, list != nil && !list.ReceivedAt().Before(l.leadershipChangedAt)
}

// needsVersions reports whether o would start a roll-out now. One that repeats an order, or is refused,
// must not wait for the platform.
func (l *Leader) needsVersions(now time.Time, o mpstate.RolloutOrder) bool {
	var current *mprollout.Rollout
	if r, ok := l.cfg.StateMachine.View().Rollout(o.Pool); ok {
		current = &r
	}
	_, repeated, err := mprollout.Order(now, current, o.Request())
	return !repeated && err == nil
}

func (l *Leader) recordOrder(o mpstate.RolloutOrder, r mpstate.Result) {
	outcome := "refused"
	switch {
	case r.Code == mpstate.CodeDone && r.Rollout != nil && r.Rollout.ID == o.ID:
		outcome = "ordered"
	case r.Code == mpstate.CodeDone:
		outcome = "repeated"
	}
	l.cfg.Metrics.Add("rollout."+outcome, 1)
	keyvals := []any{"msg", "roll-out " + outcome, "pool", o.Pool, "target", o.Target, "who", o.Who, "id", o.ID, "duration", o.Request().Duration}
	if r.Rollout != nil {
		keyvals = append(keyvals, "rollout", r.Rollout.ID, "base", strings.Join(r.Rollout.Base, ","), "share", r.Rollout.Share, "state", r.Rollout.State)
	} else {
		keyvals = append(keyvals, "code", r.Code, "text", r.Text)
	}
	level.Info(l.cfg.Logger).Log(keyvals...)
}

// stepRollouts decides on the roll-outs that run. A new leader waits until all VMs can have found it
// and reported their counts.
func (l *Leader) stepRollouts(ctx context.Context, now time.Time) {
	running := l.runningRollouts()
	if len(running) == 0 {
		l.forgetRollouts(running)
		return
	}
	if !l.IsLeader() || !l.hasMinVoters() || now.Sub(l.LeadershipChangedAt()) < ReportInterval+l.maxHold() {
		return
	}
	l.forgetRollouts(running)
	for _, r := range running {
		fleet := l.rolloutFleet(now, r.Pool)
		evidence := l.rolloutEvidence(now, r.ID)
		next, changed := mprollout.Step(now, l.cfg.Rollouts, r, evidence, fleet)
		if changed {
			l.proposeRollout(ctx, now, r, next, evidence, fleet)
		}
	}
}

// forgetRollouts drops what was counted of roll-outs that do not run.
func (l *Leader) forgetRollouts(running []mprollout.Rollout) {
	ids := map[string]bool{}
	for _, r := range running {
		ids[r.ID] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Forget(func(id string) bool { return ids[id] })
}

func (l *Leader) rolloutEvidence(now time.Time, id string) mprollout.Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Evidence(now, id)
}

// rolloutFleet returns the upstreams of a pool by version, and all VMs that may run attempts. VMs that leave
// are among them until they have gone, since their attempts on the old versions go on.
func (l *Leader) rolloutFleet(now time.Time, pool string) mprollout.Fleet {
	view := l.cfg.StateMachine.View()
	l.mu.Lock()
	list := l.upstreamList
	l.mu.Unlock()
	f := mprollout.Fleet{Upstreams: map[string]mprollout.Upstreams{}}
	for _, row := range list.Rows() {
		if row.Pool != pool {
			continue
		}
		u := f.Upstreams[row.Version]
		u.Listed++
		if !row.Leaving && !view.IsOut(mpview.TargetDC, row.DC) {
			u.Usable++
			if now.Before(list.ColdUntil(row)) {
				u.Cold++
			}
		}
		f.Upstreams[row.Version] = u
	}
	for _, vm := range view.VMs() {
		if vm.Address != "" {
			f.VMs = append(f.VMs, vm.Name)
		}
	}
	return f
}

// proposeRollout commits the step from r to next, unless the roll-out has changed in the meantime. If
// the outcome is unknown the next task decides by what has been committed.
func (l *Leader) proposeRollout(ctx context.Context, now time.Time, r, next mprollout.Rollout, e mprollout.Evidence, f mprollout.Fleet) {
	c := mpstate.Change{ID: mpid.New(), Who: systemAccount, Change: mpview.Change{Op: mpview.Roll{Rollout: next}}}
	result, err := l.commit(ctx, c)
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		level.Warn(l.cfg.Logger).Log("msg", "step of a roll-out not committed", "pool", r.Pool, "target", r.Target, "id", r.ID,
			"state", next.State, "phase", next.Phase, "unchanged", errors.Is(err, mperror.ErrNotLeader) || errors.Is(err, mperror.ErrConflict), "err", err)
		return
	}
	what := stepName(r, next)
	l.cfg.Metrics.Add("rollout."+what, 1)
	if !next.Running() {
		l.cfg.Metrics.ObserveDuration("rollout.duration", now.Sub(next.Started()))
	}
	target, base := e.Total(f.VMs, r.Target), e.Total(f.VMs, oldVersions(r, f)...)
	level.Info(l.cfg.Logger).Log("msg", "roll-out "+what, "pool", r.Pool, "target", r.Target, "id", r.ID, "share", next.Share, "reason", next.Reason,
		"after", now.Sub(next.Started()), "left", next.Deadline().Sub(now),
		"target_answers", target.Answers, "target_failures", target.Failures, "target_running", target.Running,
		"base_answers", base.Answers, "base_failures", base.Failures, "base_running", base.Running,
		"vms", len(f.VMs), "in_trial", e.Reported(mprollout.PhaseTrial, f.VMs), "in_shift", e.Reported(mprollout.PhaseShift, f.VMs))
}

// oldVersions returns the versions beside the target, also those that were listed after the order.
func oldVersions(r mprollout.Rollout, f mprollout.Fleet) []string {
	out := slices.Clone(r.Base)
	for version := range f.Upstreams {
		if version != r.Target && !r.IsBase(version) {
			out = append(out, version)
		}
	}
	return out
}

// stepName says what the step from r to next does.
func stepName(r, next mprollout.Rollout) string {
	switch {
	case next.State == mprollout.StateComplete:
		return "complete"
	case next.State == mprollout.StateReverted:
		return "reverted"
	case next.Phase != r.Phase:
		return "shifted"
	}
	return "adjusted"
}
