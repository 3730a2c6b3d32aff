package mpselect

import (
	"slices"
	"time"
)

// IsHealthy reports whether Pick may select the candidate now, apart from the limit of a cold start.
// Other than Pick it returns false for an upstream in backoff even if all are.
func (s *Selector) IsHealthy(now time.Time, c Candidate, info PickInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isHealthy(now, c, info)
}

func (s *Selector) isHealthy(now time.Time, c Candidate, info PickInfo) bool {
	st := s.state(c.Row.ID)
	return !slices.Contains(info.Exclude, c.Row.ID) && !now.Before(st.deferredUntil) && !now.Before(st.goneUntil) && !st.isAvoided(now) && s.admitsBrittle(now, c)
}

// PickOnly counts an attempt in flight at the candidate, which another VM has chosen, as Pick does. It
// returns false if the candidate is in backoff or Pick could not select it.
func (s *Selector) PickOnly(now time.Time, c Candidate, info PickInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isHealthy(now, c, info) || !s.admitsCold(now, c) {
		return false
	}
	s.begin(now, c, info)
	return true
}

// begin counts an attempt in flight. The caller holds s.mu.
func (s *Selector) begin(now time.Time, c Candidate, info PickInfo) {
	st := s.state(c.Row.ID)
	st.inFlight++
	st.work += info.Work
	st.lastUsed = now
	st.brittle = c.Brittle
	if now.Before(c.ColdUntil) {
		st.lastColdPick = now
	}
}
