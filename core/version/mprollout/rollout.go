// Package mprollout decides on roll-outs: the watched move of a pool to another version of its
// software, which is completed if the version is good and reverted if it is bad. The package has
// neither a clock nor a network. The leader feeds a Ledger with the counts that VMs report and
// calls Step, the replicated state accepts what Advance accepts, and each VM applies the share of a
// roll-out by an Exposure and counts outcomes by a Recorder.
package mprollout

import (
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
)

// State is the state of a roll-out.
type State string

const (
	// StateRunning means that both versions serve.
	StateRunning State = "running"
	// StateComplete means that only the target serves.
	StateComplete State = "complete"
	// StateReverted means that only the old versions serve.
	StateReverted State = "reverted"
)

// Phase is the phase of a running roll-out.
type Phase string

const (
	// PhaseTrial means that the target gets a small share of the requests.
	PhaseTrial Phase = "trial"
	// PhaseShift means that the target gets all new requests, while attempts on the old versions
	// run to their end.
	PhaseShift Phase = "shift"
)

// Settings bounds what a bad version may cost. Roll-outs are off if ExposeShare is 0.
type Settings struct {
	// ExposeShare and ExposeSlack bound the requests that a bad version gets: the share of all
	// requests of the pool between the order and its deadline, plus the slack.
	ExposeShare float64
	ExposeSlack int
	// RollbackTime is the time after its 50th bad answer from which a bad version may get no request.
	RollbackTime time.Duration
	// AckTime is the time for which an operator repeats an order without a clear response.
	AckTime time.Duration
}

// Enabled reports whether roll-outs are on.
func (s Settings) Enabled() bool { return s.ExposeShare > 0 }

// Rollout is the replicated row of a pool: its latest roll-out.
type Rollout struct {
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// Base holds the versions that were listed at the order, except for the target.
	Base []string `json:"base"`
	// ID is different for each order.
	ID  string `json:"id"`
	Who string `json:"who"`
	// StartedMs, DeadlineMs, ShiftedMs, ChangedMs and EndedMs are in ms since the Unix epoch. ShiftedMs is 0
	// in the trial, EndedMs while the roll-out runs. ChangedMs is when the share changed last.
	StartedMs  int64 `json:"started"`
	DeadlineMs int64 `json:"deadline"`
	ShiftedMs  int64 `json:"shifted,omitempty"`
	ChangedMs  int64 `json:"changed,omitempty"`
	EndedMs    int64 `json:"ended,omitempty"`
	State      State `json:"state"`
	Phase      Phase `json:"phase"`
	// Share is the part of the pool's requests that goes to the target, from 0 to 1.
	Share float64 `json:"share"`
	// Reason says why the roll-out ended, or why its phase or share changed last.
	Reason string `json:"reason,omitempty"`
}

// Running reports whether the roll-out has not ended.
func (r Rollout) Running() bool { return r.State == StateRunning }

// IsBase reports whether version is one of the old versions.
func (r Rollout) IsBase(version string) bool { return slices.Contains(r.Base, version) }

// Started returns the time of the order.
func (r Rollout) Started() time.Time { return time.UnixMilli(r.StartedMs) }

// Deadline returns the time by which the roll-out must have ended.
func (r Rollout) Deadline() time.Time { return time.UnixMilli(r.DeadlineMs) }

// Shifted returns the time at which the shift began; the zero time in the trial.
func (r Rollout) Shifted() time.Time {
	if r.ShiftedMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.ShiftedMs)
}

// Request is an operator's order.
type Request struct {
	Pool     string
	Target   string
	Duration time.Duration
	Who      string
	// ID is a random name for the roll-out.
	ID string
	// Listed holds the versions of the pool's upstreams in the platform's list.
	Listed []string
	// Share is the target's initial share, Settings.ExposeShare as a rule.
	Share float64
	// AckTime is that of the settings. The same order within this time is a repetition, also if the
	// roll-out has ended.
	AckTime time.Duration
}

const (
	// MinDuration is the least time from an order to its deadline.
	MinDuration = time.Second
	// MaxDuration is the greatest time from an order to its deadline.
	MaxDuration = 24 * time.Hour
	// repeatMargin is the time that a repeated order may spend on its way.
	repeatMargin = time.Second
)

// Order returns the roll-out that req starts at now, given the latest one of the pool, which is nil
// if there is none. If req repeats the order that started current, it returns current and true. The error
// wraps ErrInvalid, or ErrConflict if a roll-out to another target runs.
func Order(now time.Time, current *Rollout, req Request) (Rollout, bool, error) {
	if err := req.check(); err != nil {
		return Rollout{}, false, err
	}
	started := now.UnixMilli()
	if current != nil {
		if req.repeats(now, *current) {
			return *current, true, nil
		}
		if current.Running() {
			return Rollout{}, false, mperror.Wrap(mperror.ErrConflict, "a roll-out of %s to %s is running", current.Pool, current.Target)
		}
		// Advance tells a new order from a late proposal of an earlier one by its start.
		started = max(started, current.StartedMs+1, current.EndedMs)
	}
	var base []string
	for _, v := range req.Listed {
		if v != "" && v != req.Target {
			base = append(base, v)
		}
	}
	slices.Sort(base)
	return Rollout{
		Pool: req.Pool, Target: req.Target, Base: slices.Compact(base), ID: req.ID, Who: req.Who,
		StartedMs: started, DeadlineMs: started + req.Duration.Milliseconds(), ChangedMs: started,
		State: StateRunning, Phase: PhaseTrial, Share: req.Share,
	}, false, nil
}

func (req Request) check() error {
	switch {
	case req.Pool == "" || req.Target == "" || req.ID == "":
		return mperror.Wrap(mperror.ErrInvalid, "order of a roll-out without a pool, target or ID")
	case req.Duration < MinDuration || req.Duration > MaxDuration:
		return mperror.Wrap(mperror.ErrInvalid, "roll-out of %s: duration %v is not between %v and %v", req.Pool, req.Duration, MinDuration, MaxDuration)
	case !(req.Share > 0 && req.Share <= 1):
		return mperror.Wrap(mperror.ErrInvalid, "roll-out of %s: share %v is not between 0 and 1", req.Pool, req.Share)
	}
	return nil
}

func (req Request) repeats(now time.Time, current Rollout) bool {
	if current.Target != req.Target {
		return false
	}
	return current.Running() || now.Before(current.Started().Add(req.AckTime+repeatMargin))
}

// Advance returns an error if the replicated state must not replace old, the pool's row, by next. The
// zero Rollout stands for no row. A roll-out never goes backwards, and one that has ended never changes.
// The error wraps ErrInvalid or ErrConflict.
func Advance(old, next Rollout) error {
	if err := next.check(); err != nil {
		return err
	}
	if old.ID == "" || old.ID != next.ID {
		return advanceToNew(old, next)
	}
	sameOrder := old.Pool == next.Pool && old.Target == next.Target && old.Who == next.Who &&
		slices.Equal(old.Base, next.Base) && old.StartedMs == next.StartedMs && old.DeadlineMs == next.DeadlineMs
	switch {
	case !sameOrder:
		return mperror.Wrap(mperror.ErrInvalid, "roll-out of %s: the order cannot change", old.Pool)
	case !old.Running():
		return mperror.Wrap(mperror.ErrConflict, "roll-out of %s is %s", old.Pool, old.State)
	case old.Phase == PhaseShift && (next.Phase != PhaseShift || next.ShiftedMs != old.ShiftedMs):
		return mperror.Wrap(mperror.ErrConflict, "roll-out of %s: its shift has begun", old.Pool)
	}
	return nil
}

func advanceToNew(old, next Rollout) error {
	switch {
	case !next.Running() || next.Phase != PhaseTrial:
		return mperror.Wrap(mperror.ErrConflict, "roll-out of %s does not begin with a trial", next.Pool)
	case old.ID == "":
		return nil
	case old.Pool != next.Pool:
		return mperror.Wrap(mperror.ErrInvalid, "roll-out of %s replaces one of %s", next.Pool, old.Pool)
	case old.Running():
		return mperror.Wrap(mperror.ErrConflict, "a roll-out of %s to %s is running", old.Pool, old.Target)
	case next.StartedMs <= old.StartedMs:
		return mperror.Wrap(mperror.ErrConflict, "roll-out of %s is older than the latest one", next.Pool)
	}
	return nil
}

// check validates the row apart from any earlier one.
func (r Rollout) check() error {
	valid := r.Pool != "" && r.Target != "" && r.ID != "" && !r.IsBase(r.Target) &&
		r.DeadlineMs > r.StartedMs && r.Share >= 0 && r.Share <= 1
	switch r.Phase {
	case PhaseTrial:
		valid = valid && r.ShiftedMs == 0
	case PhaseShift:
		valid = valid && r.ShiftedMs >= r.StartedMs
	default:
		valid = false
	}
	switch r.State {
	case StateRunning:
		valid = valid && r.EndedMs == 0
	case StateComplete, StateReverted:
		valid = valid && r.EndedMs >= r.StartedMs
	default:
		valid = false
	}
	if !valid {
		return mperror.Wrap(mperror.ErrInvalid, "roll-out of %q to %q is malformed", r.Pool, r.Target)
	}
	return nil
}
