package mppermit

import "time"

const (
	breakerFailures = 3
	breakerFirst    = 250 * time.Millisecond
	breakerLongest  = 10 * time.Second
	slowFactor      = 4
	slowStreak      = 3
	tookWeight      = 0.1
	errorWeight     = 0.15
	// suspectAt is the part of failed answers from which others are preferred,
	// and suspectFor how long that lasts after the last failure.
	suspectAt  = 0.2
	suspectFor = 5 * time.Second
	// quietLimit is how long an upstream may be silent before its limit must be
	// confirmed: it may have restarted meanwhile without anyone noticing.
	quietLimit = 500 * time.Millisecond
)

// slot is what the owner knows of one upstream.
type slot struct {
	spec     UpstreamSpec
	limit    int
	wins     int
	failures int
	opens    int
	until    time.Time
	probing  bool
	instance string
	held     map[Attempt]hold
	alone    bool
	reserved bool
	errors   float64
	failedAt time.Time
	// unsure holds the limit back to Cold until an answer of the same instance
	// confirms it.
	unsure  bool
	heard   time.Time
	seenAge time.Duration
	took    time.Duration
	slow    int
}

type hold struct {
	vm    string
	until time.Time
	alone bool
	cold  bool
	work  int
}

// unit returns the service time of each unit of work in an attempt.
func (h hold) unit(took time.Duration) time.Duration {
	return took / time.Duration(max(h.work, 1))
}

func newSlot(s UpstreamSpec) *slot {
	return &slot{spec: s, limit: s.ColdLimit, held: map[Attempt]hold{}}
}

// isOpen reports whether a permit may be granted at now beside those held.
func (s *slot) isOpen(now time.Time) bool {
	return s.mayServe(now) && !s.reserved && len(s.held) < s.capacity()
}

// isSuspect reports whether so many answers failed lately that others are to
// be preferred.
func (s *slot) isSuspect(now time.Time) bool {
	return s.errors > suspectAt && now.Sub(s.failedAt) < suspectFor
}

// mayServe reports whether the upstream gets work at now and shares it.
func (s *slot) mayServe(now time.Time) bool {
	return s.inService(now) && !s.alone
}

// capacity returns how many attempts the upstream may have now.
func (s *slot) capacity() int {
	switch {
	case s.probing:
		return 1
	case s.unsure:
		return min(s.spec.ColdLimit, s.limit)
	}
	return s.limit
}

// inService reports whether the upstream may get work at all, now or soon.
func (s *slot) inService(now time.Time) bool {
	return s.spec.Usable && !now.Before(s.until)
}

func (s *slot) isWarm() bool { return s.limit >= s.spec.Limit }

func (s *slot) turnCold() {
	s.unsure = false
	s.limit = s.spec.ColdLimit
	s.wins = 0
	s.slow = 0
	s.took = 0
}

// open stops new permits for a time that doubles with each failure in a row.
func (s *slot) open(now time.Time) {
	wait := min(breakerFirst<<min(s.opens, 10), breakerLongest)
	s.opens++
	s.until = now.Add(wait)
	s.probing = true
	s.turnCold()
}

// doubt makes the next attempts confirm the limit after a time of silence.
func (s *slot) doubt(now time.Time) {
	if len(s.held) == 0 && s.limit > s.spec.ColdLimit && now.Sub(s.heard) > quietLimit {
		s.unsure = true
	}
}

// recall takes over what another VM remembers. It counts only once an answer
// of the same instance has confirmed it.
func (s *slot) recall(seen Observation) {
	known := s.instance != "" && !s.unsure
	if known || seen.Instance == "" || s.unsure && seen.Age >= s.seenAge {
		return
	}
	s.instance = seen.Instance
	s.limit = max(min(seen.Limit, s.spec.Limit), s.spec.ColdLimit)
	s.seenAge = seen.Age
	s.unsure = s.limit > s.spec.ColdLimit
}

func (s *slot) settle(now time.Time, e Settlement, h hold) {
	if e.Outcome == Done {
		s.heard = now
	}
	if e.Instance != "" && s.instance != "" && e.Instance != s.instance {
		s.turnCold()
	}
	if e.Instance != "" {
		s.instance = e.Instance
	}
	switch e.Outcome {
	case Done:
		s.errors -= errorWeight * s.errors
		s.succeed(e, h)
	case Failed:
		s.errors += errorWeight * (1 - s.errors)
		s.failedAt = now
		s.failures++
		if s.failures >= breakerFailures || s.probing {
			s.open(now)
		}
	case Crashed:
		s.open(now)
	case Overloaded:
		s.turnCold()
		s.until = now.Add(breakerFirst)
	case Unused, Cancelled:
	}
	if e.Cold && !h.cold {
		s.turnCold()
	}
}

// succeed lets the limit rise. Only successes raise it, never time alone, and
// not while the upstream says that it is cold.
func (s *slot) succeed(e Settlement, h hold) {
	s.failures = 0
	s.opens = 0
	s.probing = false
	s.unsure = false
	if s.noteTook(h.unit(e.ServiceTime)) {
		s.turnCold()
		return
	}
	if e.Cold || s.isWarm() {
		return
	}
	s.wins++
	if s.wins >= s.spec.Ramp {
		s.wins = 0
		s.limit++
	}
}

// noteTook follows the upstream's service time of a unit and reports whether it has left its
// band for several answers in a row.
func (s *slot) noteTook(took time.Duration) bool {
	if took <= 0 {
		return false
	}
	if s.took == 0 {
		s.took = took
		return false
	}
	if s.isWarm() && took > slowFactor*s.took {
		s.slow++
		return s.slow >= slowStreak
	}
	s.slow = 0
	s.took += time.Duration(tookWeight * float64(took-s.took))
	return false
}

func (s *slot) report(r LoadReport) {
	if r.Cold && s.limit > s.spec.ColdLimit && s.isWarm() {
		s.turnCold()
	}
	if r.Instance != "" && s.instance != "" && r.Instance != s.instance {
		s.turnCold()
	}
	if r.Instance != "" {
		s.instance = r.Instance
	}
	if r.Waiting > 0 && s.limit > s.spec.ColdLimit {
		s.limit--
	}
}

// expire drops permits whose attempts must have ended with their deadlines.
func (s *slot) expire(now time.Time) {
	for a, h := range s.held {
		if now.After(h.until) {
			s.drop(a)
		}
	}
}

func (s *slot) drop(a Attempt) {
	if s.held[a].alone {
		s.alone = false
	}
	delete(s.held, a)
}
