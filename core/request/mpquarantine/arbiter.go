package mpquarantine

import (
	"sync"
	"time"
)

const (
	// trialLease is how long a trial may last before another one is permitted. It only ends
	// those whose VM stopped, since trials of streams end when the answer goes on.
	trialLease = 5 * time.Second
	// busyWait is when to ask again while a trial is in progress.
	busyWait = 50 * time.Millisecond
)

// Permission is the answer of a feature's arbiter to a VM that wants to try it.
type Permission struct {
	Granted bool
	// Wait is when to ask again if the trial is not granted.
	Wait time.Duration
}

// Arbiter permits the trials of features, one at a time over all VMs. Each feature has its
// arbiter at one VM. It is safe for concurrent use.
type Arbiter struct {
	mu     sync.Mutex
	trials map[Feature]arbitration
	// quietUntil is when trials of suspects are permitted again after features may have changed
	// their arbiter, since the former one may have permitted trials that still run.
	quietUntil time.Time
}

// arbitration is the last trial of a feature.
type arbitration struct {
	token uint64
	// freeAt is when the next trial may begin.
	freeAt time.Time
	ended  bool
}

// NewArbiter returns an Arbiter without trials.
func NewArbiter() *Arbiter { return &Arbiter{trials: map[Feature]arbitration{}} }

// Begin permits a trial of a feature if none is in progress, and if the VMs had the time to
// learn the outcome of the last one. The finding is what the VM that asks knows; the token
// identifies the trial.
func (a *Arbiter) Begin(now time.Time, known Finding, token uint64) Permission {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := known.Feature
	if wait := a.quietUntil.Sub(now); wait > 0 && known.Level > Noted {
		return Permission{Wait: wait}
	}
	if last, ok := a.trials[f]; ok && last.token != token && now.Before(last.freeAt) {
		if last.ended {
			return Permission{Wait: last.freeAt.Sub(now)}
		}
		return Permission{Wait: busyWait}
	}
	a.prune(now)
	a.trials[f] = arbitration{token: token, freeAt: now.Add(trialLease)}
	return Permission{Granted: true}
}

// End ends a trial. If its upstream was lost, the next one may begin after TrialDelay.
func (a *Arbiter) End(now time.Time, f Feature, token uint64, lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch last, ok := a.trials[f]; {
	case !ok || last.token != token:
	case lost:
		a.trials[f] = arbitration{token: 0, freeAt: now.Add(TrialDelay), ended: true}
	default:
		delete(a.trials, f)
	}
}

// Pause permits no trials of suspects for TrialDelay, after the VMs that serve have changed.
func (a *Arbiter) Pause(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quietUntil = now.Add(TrialDelay)
}

func (a *Arbiter) prune(now time.Time) {
	for f, t := range a.trials {
		if !now.Before(t.freeAt) {
			delete(a.trials, f)
		}
	}
}
