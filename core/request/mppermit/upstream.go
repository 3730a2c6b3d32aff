package mppermit

import "time"

const (
	breakerFailures      = 3
	breakerMinDelay      = 250 * time.Millisecond
	breakerMaxDelay      = 10 * time.Second
	slowFactor           = 4
	slowResponsesToReset = 3
	serviceTimeWeight    = 0.1
	errorRateWeight      = 0.15
	// An upstream whose error rate is above suspectErrorRate is chosen only if no
	// other has room, for suspectDuration after its last failure.
	suspectErrorRate = 0.2
	suspectDuration  = 5 * time.Second
	// An idle upstream without a complete response for confirmAfterIdle must confirm its
	// limit, since it may have restarted unnoticed.
	confirmAfterIdle = 500 * time.Millisecond
)

// upstream is the owner's state of one upstream.
type upstream struct {
	spec                UpstreamSpec
	limit               int
	successes           int
	consecutiveFailures int
	consecutiveTrips    int
	unavailableUntil    time.Time
	probing             bool
	instance            string
	held                map[Attempt]permit
	exclusive           bool
	reserved            bool
	errorRate           float64
	lastFailure         time.Time
	// unconfirmed caps the limit at spec.ColdLimit until a response of the same instance
	// confirms it.
	unconfirmed     bool
	lastResponse    time.Time
	observationAge  time.Duration
	meanServiceTime time.Duration
	consecutiveSlow int
}

type permit struct {
	vm        string
	expiresAt time.Time
	exclusive bool
	cold      bool
	work      int
}

// perUnit returns the service time per unit of work.
func (p permit) perUnit(serviceTime time.Duration) time.Duration {
	return serviceTime / time.Duration(max(p.work, 1))
}

func newUpstream(spec UpstreamSpec) *upstream {
	return &upstream{spec: spec, limit: spec.ColdLimit, held: map[Attempt]permit{}}
}

// hasRoom reports whether a non-exclusive permit may be granted in addition to those held.
func (u *upstream) hasRoom(now time.Time) bool {
	return u.isShareable(now) && !u.reserved && len(u.held) < u.capacity()
}

// isSuspect reports whether so many recent attempts failed that other upstreams are
// preferred.
func (u *upstream) isSuspect(now time.Time) bool {
	return u.errorRate > suspectErrorRate && now.Sub(u.lastFailure) < suspectDuration
}

// isShareable reports whether the upstream is available and runs no exclusive attempt.
func (u *upstream) isShareable(now time.Time) bool {
	return u.isAvailable(now) && !u.exclusive
}

// capacity returns the number of concurrent attempts that the upstream may have now.
func (u *upstream) capacity() int {
	switch {
	case u.probing:
		return 1
	case u.unconfirmed:
		return min(u.spec.ColdLimit, u.limit)
	}
	return u.limit
}

// isAvailable reports whether the upstream is usable and not blocked by its breaker. It
// may still have no room at present.
func (u *upstream) isAvailable(now time.Time) bool {
	return u.spec.Usable && !now.Before(u.unavailableUntil)
}

func (u *upstream) isWarm() bool { return u.limit >= u.spec.Limit }

func (u *upstream) resetToCold() {
	u.unconfirmed = false
	u.limit = u.spec.ColdLimit
	u.successes = 0
	u.consecutiveSlow = 0
	u.meanServiceTime = 0
}

// tripBreaker blocks new permits for a delay that doubles with each consecutive trip.
// After it, one attempt at a time probes the upstream until one succeeds.
func (u *upstream) tripBreaker(now time.Time) {
	delay := min(breakerMinDelay<<min(u.consecutiveTrips, 10), breakerMaxDelay)
	u.consecutiveTrips++
	u.unavailableUntil = now.Add(delay)
	u.probing = true
	u.resetToCold()
}

// markUnconfirmed makes the next attempts confirm the limit if the upstream has been
// idle for too long.
func (u *upstream) markUnconfirmed(now time.Time) {
	if len(u.held) == 0 && u.limit > u.spec.ColdLimit && now.Sub(u.lastResponse) > confirmAfterIdle {
		u.unconfirmed = true
	}
}

// adoptObservation adopts an upstream's limit and instance as observed by another VM.
// A limit above ColdLimit takes effect only once a response of the same instance has
// confirmed it.
func (u *upstream) adoptObservation(obs Observation) {
	confirmed := u.instance != "" && !u.unconfirmed
	if confirmed || obs.Instance == "" || u.unconfirmed && obs.Age >= u.observationAge {
		return
	}
	u.instance = obs.Instance
	u.limit = max(min(obs.Limit, u.spec.Limit), u.spec.ColdLimit)
	u.observationAge = obs.Age
	u.unconfirmed = u.limit > u.spec.ColdLimit
}

func (u *upstream) settle(now time.Time, s Settlement, p permit) {
	if s.Outcome == Done {
		u.lastResponse = now
	}
	if s.Instance != "" && u.instance != "" && s.Instance != u.instance {
		u.resetToCold()
	}
	if s.Instance != "" {
		u.instance = s.Instance
	}
	switch s.Outcome {
	case Done:
		u.errorRate -= errorRateWeight * u.errorRate
		u.recordSuccess(s, p)
	case Failed:
		u.errorRate += errorRateWeight * (1 - u.errorRate)
		u.lastFailure = now
		u.consecutiveFailures++
		if u.consecutiveFailures >= breakerFailures || u.probing {
			u.tripBreaker(now)
		}
	case Crashed:
		u.tripBreaker(now)
	case Overloaded:
		u.resetToCold()
		u.unavailableUntil = now.Add(breakerMinDelay)
	case Unused, Cancelled:
	}
	if s.Cold && !p.cold {
		u.resetToCold()
	}
}

// recordSuccess raises the limit after spec.Ramp successes. Time alone never raises it,
// and neither do successes while the upstream reports that it is cold.
func (u *upstream) recordSuccess(s Settlement, p permit) {
	u.consecutiveFailures = 0
	u.consecutiveTrips = 0
	u.probing = false
	u.unconfirmed = false
	if u.recordServiceTime(p.perUnit(s.ServiceTime)) {
		u.resetToCold()
		return
	}
	if s.Cold || u.isWarm() {
		return
	}
	u.successes++
	if u.successes >= u.spec.Ramp {
		u.successes = 0
		u.limit++
	}
}

// recordServiceTime updates the moving average of the service time per unit of work. It
// reports whether slowResponsesToReset responses in a row took more than slowFactor
// times the average.
func (u *upstream) recordServiceTime(serviceTime time.Duration) bool {
	if serviceTime <= 0 {
		return false
	}
	if u.meanServiceTime == 0 {
		u.meanServiceTime = serviceTime
		return false
	}
	if u.isWarm() && serviceTime > slowFactor*u.meanServiceTime {
		u.consecutiveSlow++
		return u.consecutiveSlow >= slowResponsesToReset
	}
	u.consecutiveSlow = 0
	u.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-u.meanServiceTime))
	return false
}

func (u *upstream) applyLoadReport(r LoadReport) {
	if r.Cold && u.limit > u.spec.ColdLimit && u.isWarm() {
		u.resetToCold()
	}
	if r.Instance != "" && u.instance != "" && r.Instance != u.instance {
		u.resetToCold()
	}
	if r.Instance != "" {
		u.instance = r.Instance
	}
	if r.Waiting > 0 && u.limit > u.spec.ColdLimit {
		u.limit--
	}
}

// expire releases permits whose attempts must have ended, as their deadlines have passed.
func (u *upstream) expire(now time.Time) {
	for a, p := range u.held {
		if now.After(p.expiresAt) {
			u.release(a)
		}
	}
}

func (u *upstream) release(a Attempt) {
	if u.held[a].exclusive {
		u.exclusive = false
	}
	delete(u.held, a)
}
