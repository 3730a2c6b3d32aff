package mprollout

import "time"

// Fleet is what the leader knows of the VMs, and of the upstreams of a roll-out's pool.
type Fleet struct {
	// Upstreams holds the listed upstreams of the pool by version.
	Upstreams map[string]Upstreams
	// VMs holds the names of the VMs that serve.
	VMs []string
}

// Upstreams counts the upstreams of one version.
type Upstreams struct {
	Listed int
	// Usable may get new work; those of them that are Cold take only few attempts.
	Usable int
	Cold   int
}

const (
	// shiftTime is the time before the end at which the shift begins at the latest.
	shiftTime = 5 * time.Second
	// endMargin is the time before the deadline at which a roll-out ends at the latest.
	endMargin = time.Second
)

// Step returns what becomes of the running roll-out r at now, and whether that differs from r.
func Step(now time.Time, s Settings, r Rollout, e Evidence, f Fleet) (Rollout, bool) {
	if !r.Running() {
		return r, false
	}
	v := Judge(now, r, e)
	end := r.Deadline().Add(-endMargin)
	switch {
	case v.Bad():
		return r.ended(now, StateReverted, v.Reason()), true
	case !now.Before(end) && e.Total(nil, r.Target).Answers > 0:
		return r.ended(now, StateComplete, "deadline"), true
	case !now.Before(end):
		return r.ended(now, StateReverted, "never exposed"), true
	case r.Phase == PhaseTrial && (v.Good() || !now.Before(end.Add(-shiftTime))):
		r.Phase, r.Share, r.ShiftedMs = PhaseShift, 1, now.UnixMilli()
		return r, true
	case r.Phase == PhaseShift && e.Reported(PhaseShift, f.VMs) == len(f.VMs) && e.Total(f.VMs, r.Base...).Running == 0:
		return r.ended(now, StateComplete, "no attempt runs on the old versions"), true
	}
	return r, false
}

// Abort returns r reverted by an operator at now.
func Abort(now time.Time, r Rollout, who string) Rollout {
	return r.ended(now, StateReverted, "aborted by "+who)
}

func (r Rollout) ended(now time.Time, s State, reason string) Rollout {
	r.State, r.Reason, r.EndedMs = s, reason, max(now.UnixMilli(), r.StartedMs)
	if s == StateReverted {
		r.Share = 0
	} else {
		r.Share = 1
	}
	return r
}
