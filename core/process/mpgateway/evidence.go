package mpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/version/mpview"
)

const (
	// evidenceDelay is how long evidence is collected for one change of the view.
	evidenceDelay = 20 * time.Millisecond
	// evidenceRetry is the pause after a change could not be made.
	evidenceRetry = 200 * time.Millisecond
	// maxPendingEvidence limits the features that wait to be handed on, and maxStrikes those
	// in the view above which no more are added.
	maxPendingEvidence = 512
	maxStrikes         = 4096
)

// evidence hands on to the other VMs, as strikes of the view, what crashes upstreams.
type evidence struct {
	propose func(ctx context.Context, op mpview.Op) error
	view    func() *mpview.View
	logger  log.Logger

	mu      sync.Mutex
	raised  map[mpquarantine.Feature]mpquarantine.Level
	cleared map[mpquarantine.Feature]bool
	wake    chan struct{}
}

var _ mpproxy.CrashEvidence = (*evidence)(nil)

func newEvidence(propose func(context.Context, mpview.Op) error, view func() *mpview.View, logger log.Logger) *evidence {
	return &evidence{
		propose: propose, view: view, logger: logger, raised: map[mpquarantine.Feature]mpquarantine.Level{},
		cleared: map[mpquarantine.Feature]bool{}, wake: make(chan struct{}, 1),
	}
}

// Raise implements mpproxy.CrashEvidence.
func (e *evidence) Raise(findings []mpquarantine.Finding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range findings {
		if len(e.raised) < maxPendingEvidence {
			e.raised[f.Feature] = max(e.raised[f.Feature], f.Level)
			delete(e.cleared, f.Feature)
		}
	}
	e.notify()
}

// Clear implements mpproxy.CrashEvidence.
func (e *evidence) Clear(features []mpquarantine.Feature) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range features {
		if len(e.cleared) < maxPendingEvidence {
			e.cleared[f] = true
			delete(e.raised, f)
		}
	}
	e.notify()
}

func (e *evidence) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run makes the changes until ctx is done.
func (e *evidence) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		pause := evidenceDelay
		for !e.isEmpty() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = evidenceDelay
			if err := e.handOn(ctx, time.Now()); err != nil {
				_ = level.Warn(e.logger).Log("msg", "crash evidence not handed on", "err", err)
				pause = evidenceRetry
			}
		}
	}
}

func (e *evidence) isEmpty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.raised)+len(e.cleared) == 0
}

// handOn makes one change for each kind of evidence. What could not be handed on is kept,
// unless it has changed meanwhile.
func (e *evidence) handOn(ctx context.Context, now time.Time) error {
	e.mu.Lock()
	raised, cleared := e.raised, e.cleared
	e.raised, e.cleared = map[mpquarantine.Feature]mpquarantine.Level{}, map[mpquarantine.Feature]bool{}
	e.mu.Unlock()
	for _, op := range evidenceOps(now, raised, cleared, e.view().AllStrikes()) {
		if err := e.propose(ctx, op); err != nil {
			e.putBack(raised, cleared)
			return err
		}
	}
	return nil
}

func (e *evidence) putBack(raised map[mpquarantine.Feature]mpquarantine.Level, cleared map[mpquarantine.Feature]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for f, level := range raised {
		if !e.cleared[f] && len(e.raised) < maxPendingEvidence {
			e.raised[f] = max(e.raised[f], level)
		}
	}
	for f := range cleared {
		if _, ok := e.raised[f]; !ok && len(e.cleared) < maxPendingEvidence {
			e.cleared[f] = true
		}
	}
}

// evidenceOps returns the changes that add what is raised to the strikes of the view and
// remove what is cleared. A conviction extends the evidence under it.
func evidenceOps(
	now time.Time, raised map[mpquarantine.Feature]mpquarantine.Level, cleared map[mpquarantine.Feature]bool, strikes map[uint64]mpview.StrikeCount,
) []mpview.Op {
	var evidence, probation, convictions, clears []uint64
	for f, level := range raised {
		if level == mpquarantine.Convicted {
			probation = append(probation, f.Fingerprints(mpquarantine.StrongSuspect)...)
			convictions = append(convictions, f.Fingerprints(mpquarantine.Convicted)...)
		} else if len(strikes) < maxStrikes {
			evidence = append(evidence, f.Fingerprints(level)...)
		}
	}
	for f := range cleared {
		for _, n := range f.Fingerprints(mpquarantine.Convicted) {
			if _, ok := strikes[n]; ok {
				clears = append(clears, n)
			}
		}
	}
	var ops []mpview.Op
	for _, s := range []struct {
		fingerprints []uint64
		ttl          time.Duration
	}{{evidence, mpquarantine.EvidenceTTL}, {probation, mpquarantine.ProbationTTL}, {convictions, mpquarantine.ConvictionTTL}} {
		if len(s.fingerprints) > 0 {
			ops = append(ops, mpview.Strike{Fingerprints: s.fingerprints, Until: now.Add(s.ttl).UnixMilli()})
		}
	}
	if len(clears) > 0 {
		ops = append(ops, mpview.ClearStrikes{Fingerprints: clears})
	}
	return ops
}
