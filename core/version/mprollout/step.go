package mprollout

import (
	"fmt"
	"math"
	"time"
)

// Fleet is what the leader knows of the VMs, and of the upstreams of a roll-out's pool.
type Fleet struct {
	// Upstreams holds the listed upstreams of the pool by version; it is empty if the list is not known.
	Upstreams map[string]Upstreams
	// VMs holds the names of the VMs that serve.
	VMs []string
}

// lacks reports whether the platform's list is known and has no usable upstream of version.
func (f Fleet) lacks(version string) bool {
	return len(f.Upstreams) > 0 && f.Upstreams[version].Usable == 0
}

// Upstreams counts the upstreams of one version.
type Upstreams struct {
	Listed int
	// Usable may get new work; those of them that are Cold take only few attempts.
	Usable int
	Cold   int
}

const (
	// reactionTime is the time from an answer of the target until all VMs act on the decision that follows from
	// it: up to 0.4 s until it is reported, 0.2 s until the next Step and 0.7 s until all VMs have the result.
	reactionTime = 1300 * time.Millisecond
	// shiftAnswers is the number of answers in the shift that it takes to judge a plainly bad target.
	shiftAnswers = 12
	// slowFactor is the number of times that a slow but usual answer of the old versions takes after which a
	// target that is slow under full load is known by its attempts that wait.
	slowFactor = 2
	// slowQuantile is the part of the old versions' answers that are no slower than a slow but usual one.
	slowQuantile = 0.95
	// suspectShift is the part of the time for the shift that is left if the target is suspect and the
	// trial is prolonged.
	suspectShift = 0.6
	// minSharePart and maxSharePart bound the share of the trial in units of Settings.ExposeShare. More than
	// 1 uses the slack, which gives evidence sooner.
	minSharePart = 0.25
	maxSharePart = 3
	// shareHysteresis is the relative change of the share, and shareInterval the time since the last
	// change, from which it is worth a change of the replicated state.
	shareHysteresis = 0.25
	shareInterval   = time.Second
	// rateAnswers is the number of answers from which the rate of the pool counts as known.
	rateAnswers = 20
)

// schedule holds the times of a roll-out.
type schedule struct {
	// shiftFrom is the earliest time of the shift: a fault may show only later.
	shiftFrom time.Time
	// shiftBy is the latest time of the shift for a target that is not suspect, and shiftLast for one that is.
	shiftBy, shiftLast time.Time
	// watch is the least time in the shift before the roll-out is complete: a fault may show only under full
	// load.
	watch time.Duration
	// end is the time at which the roll-out ends at the latest.
	end time.Time
}

func newSchedule(r Rollout) schedule {
	duration := r.Deadline().Sub(r.Started())
	part := func(f float64) time.Duration { return time.Duration(f * float64(duration)) }
	// The end leaves time for the change to be committed, also if it has to be proposed again.
	end := r.Deadline().Add(-min(max(part(0.1), time.Second), 5*time.Second, part(0.25)))
	// Streams last up to 15 s but mostly 1 to 4 s. 0.4 of the shortest usual duration, 12 s, is enough for most.
	forStreams := min(part(0.4), 16*time.Second)
	return schedule{
		shiftFrom: r.Started().Add(part(0.4)),
		shiftBy:   end.Add(-forStreams),
		shiftLast: end.Add(-time.Duration(suspectShift * float64(forStreams))),
		watch:     min(max(part(0.25), 2*time.Second), forStreams),
		end:       end,
	}
}

// Step returns what becomes of r at now, and whether that differs from r. In the trial the target gets a
// share that leaves enough of what the settings allow for a fault that shows only in the shift. The
// shift begins when the target is judged good, or when waiting longer would break streams on the old versions. The
// roll-out is complete when no attempt runs on the old versions, or shortly before the deadline, and reverted
// as soon as the target is judged bad, or if it was never exposed.
func Step(now time.Time, s Settings, r Rollout, e Evidence, f Fleet) (Rollout, bool) {
	if !r.Running() {
		return r, false
	}
	v := Judge(r, e)
	plan := newSchedule(r)
	switch {
	case v.Bad():
		return r.end(now, StateReverted, v.Reason()), true
	case r.Phase == PhaseTrial && !now.Before(plan.shiftLast) && v.failuresE >= lastE:
		return r.end(now, StateReverted, v.Reason()), true
	case !now.Before(plan.end):
		return r.decide(now, v, e, f), true
	case r.Phase == PhaseShift:
		return r.finish(now, plan, v, e, f)
	case r.mayShift(now, plan, v, e, f):
		r.Phase, r.Share, r.ShiftedMs, r.ChangedMs = PhaseShift, 1, now.UnixMilli(), now.UnixMilli()
		r.Reason = v.Reason()
		if !v.Good() {
			r.Reason = "time to shift"
		}
		return r, true
	}
	return r.adjust(now, s, plan, v, e, f)
}

// Abort returns r reverted by an operator at now.
func Abort(now time.Time, r Rollout, who string) Rollout {
	return r.end(now, StateReverted, "aborted by "+who)
}

func (r Rollout) end(now time.Time, s State, reason string) Rollout {
	r.State, r.Reason, r.EndedMs, r.Share = s, reason, max(now.UnixMilli(), r.StartedMs), 0
	if s == StateComplete {
		r.Share = 1
	}
	return r
}

// decide ends a roll-out whose target has not been judged bad, because its time is over.
func (r Rollout) decide(now time.Time, v Verdict, e Evidence, f Fleet) Rollout {
	switch {
	case v.failuresE >= lastE:
		return r.end(now, StateReverted, v.Reason())
	case e.Total(nil, r.Target).Answers == 0:
		return r.end(now, StateReverted, "the target has not answered any request")
	case f.lacks(r.Target):
		return r.end(now, StateReverted, "the target has no usable upstream")
	}
	return r.end(now, StateComplete, "not judged bad by the deadline")
}

// finish completes a roll-out in the shift once no attempt runs on the old versions and a fault that shows only under full load
// would have shown.
func (r Rollout) finish(now time.Time, plan schedule, v Verdict, e Evidence, f Fleet) (Rollout, bool) {
	idle := len(f.VMs) > 0 && e.Reported(PhaseShift, f.VMs) == len(f.VMs) && e.others(f.VMs, r).Running == 0
	watch := max(plan.watch, reactionTime+slowFactor*e.slowLatency(r))
	if !idle || v.Suspect() || now.Before(r.Shifted().Add(watch)) || f.lacks(r.Target) {
		return r, false
	}
	return r.end(now, StateComplete, "no attempt runs on the old versions"), true
}

func (r Rollout) mayShift(now time.Time, plan schedule, v Verdict, e Evidence, f Fleet) bool {
	target := f.Upstreams[r.Target]
	if f.lacks(r.Target) || e.Total(nil, r.Target).Answers == 0 {
		return false
	}
	if !now.Before(plan.shiftLast) || !now.Before(plan.shiftBy) && !v.Suspect() {
		return true
	}
	usable := 0
	for version, u := range f.Upstreams {
		if version != r.Target {
			usable += u.Usable
		}
	}
	return v.Good() && !now.Before(plan.shiftFrom) && target.Cold == 0 && target.Usable >= usable
}

// adjust sets the share of the trial to what the settings allow, less what a fault in the shift would need until
// all VMs act on the decision. A target that is suspect has probably shown its fault already; the share then
// uses up what is allowed in the trial, to prove it before the shift.
func (r Rollout) adjust(now time.Time, s Settings, plan schedule, v Verdict, e Evidence, f Fleet) (Rollout, bool) {
	all, target := e.others(nil, r), e.Total(f.VMs, r.Target)
	answers, sent := all.Answers+target.Answers, target.Answers+target.Running
	until := plan.shiftBy.Sub(now)
	if v.Suspect() {
		until = plan.shiftLast.Sub(now)
	}
	if answers < rateAnswers || until < shareInterval || now.Sub(time.UnixMilli(r.ChangedMs)) < shareInterval {
		return r, false
	}
	rate := e.Rate(r)
	// The rate may fall until the deadline, so only 0.9 of it is counted on.
	allowed := s.ExposeShare*(float64(answers)+0.9*rate*r.Deadline().Sub(now).Seconds()) + float64(s.ExposeSlack)
	reserve := rate*reactionTime.Seconds() + shiftAnswers
	if v.Suspect() {
		reserve = rate*reactionTime.Seconds()*maxSharePart*s.ExposeShare + shiftAnswers
	}
	share := (allowed - reserve - float64(sent)) / (rate * until.Seconds())
	share = min(max(share, minSharePart*s.ExposeShare), maxSharePart*s.ExposeShare, 1)
	if math.Abs(share-r.Share) < shareHysteresis*r.Share {
		return r, false
	}
	r.Share, r.ChangedMs = share, now.UnixMilli()
	r.Reason = fmt.Sprintf("%d answers of the target at %.0f requests a second", target.Answers, rate)
	return r, true
}
