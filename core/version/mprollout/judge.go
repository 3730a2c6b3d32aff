package mprollout

import "time"

// Verdict is a judgement on the target of a roll-out. The zero value means that it is unknown.
type Verdict struct {
	good, bad bool
	reason    string
}

// Good reports whether the target is judged good.
func (v Verdict) Good() bool { return v.good }

// Bad reports whether the target is judged bad.
func (v Verdict) Bad() bool { return v.bad }

// Reason returns the evidence in words; empty if the verdict is unknown.
func (v Verdict) Reason() string { return v.reason }

// Judge compares the target with the old versions beside it.
func Judge(now time.Time, r Rollout, e Evidence) Verdict {
	target, base := e.Total(nil, r.Target), e.Total(nil, r.Base...)
	if target.Failures >= 5 && target.Failures*base.Answers > 3*(base.Failures+1)*target.Answers {
		return Verdict{bad: true, reason: "failures"}
	}
	if target.Answers >= 100 {
		return Verdict{good: true, reason: "enough answers"}
	}
	return Verdict{}
}
