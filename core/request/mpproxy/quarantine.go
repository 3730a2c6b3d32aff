package mpproxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/version/mplist"
)

const (
	// soundDuration is how long a stream must go on for its request to count as answered
	// without a crash.
	soundDuration = 500 * time.Millisecond
	// trialTimeout limits how long a request waits for the trial of another one.
	trialTimeout = 1500 * time.Millisecond
	// trialPause is the time between a trial that was not answered and the request's next.
	trialPause = 300 * time.Millisecond
	// probePause is the time between two probes of an upstream whose connection was lost.
	probePause = 150 * time.Millisecond
	// arbiterRetry is when a request asks again for a trial after the arbiter did not answer.
	arbiterRetry = 100 * time.Millisecond
)

// CrashEvidence hands on to the other VMs what this VM learned about crashes.
type CrashEvidence interface {
	// Raise adds findings to the evidence of all VMs.
	Raise(findings []mpquarantine.Finding)
	// Clear removes the evidence against the features.
	Clear(features []mpquarantine.Feature)
}

// Prober tests whether a process is running.
type Prober interface {
	// IsDown reports whether the machine at address refuses connections. It returns false
	// if there is no answer.
	IsDown(ctx context.Context, address string) bool
}

func traitsOf(r *Request) mpquarantine.Traits {
	t := mpquarantine.Traits{Content: mpquarantine.ContentFeature(r.contentHash())}
	for _, p := range r.sharedParts() {
		t.Parts = append(t.Parts, mpquarantine.PartFeature(p.ID))
	}
	return t
}

// nameOf returns the name of a feature of the request for the log.
func nameOf(r *Request, f mpquarantine.Feature) string {
	for _, p := range r.sharedParts() {
		if mpquarantine.PartFeature(p.ID) == f {
			return "part " + p.ID
		}
	}
	return "content"
}

// refuseConvicted refuses a request that has not run and never will, because of a feature
// that crashes upstreams.
func (e *exchange) refuseConvicted(v mpquarantine.Verdict) {
	retryAfter := max(v.Until.Sub(e.p.cfg.Clock()), minRetryAfter)
	if v.Until.IsZero() {
		retryAfter = mpquarantine.ConvictionTTL
	}
	e.p.cfg.Metrics.Add("quarantine.refused", 1)
	e.refuse(http.StatusServiceUnavailable, retryAfter, "crashes upstreams, feature "+v.Feature.String(), nameOf(e.r, v.Feature))
}

// Trials permits the trials of features, one at a time over all VMs.
type Trials interface {
	// Begin asks for a trial of a feature. If it is granted, end must be called once the
	// trial's evidence is recorded; lost is set if it was not answered.
	Begin(ctx context.Context, known mpquarantine.Finding) (p mpquarantine.Permission, end func(lost bool), err error)
}

// trial is the permission to send a request. If feature is not 0, the request is sent as
// the trial of that feature, whose level is that before the trial.
type trial struct {
	feature mpquarantine.Feature
	level   mpquarantine.Level
	// end must be called once; lost is set if the request was sent and not answered.
	end func(lost bool)
}

// isIsolated reports whether the trial goes to an upstream that other requests spare.
func (t trial) isIsolated() bool { return t.level > mpquarantine.Noted }

// awaitTrial waits until the request may be sent. It returns false if that is not to be
// expected in time; the verdict says why.
func (e *exchange) awaitTrial(ctx context.Context) (trial, mpquarantine.Verdict, bool) {
	until := e.p.cfg.Clock().Add(min(trialTimeout, e.timeLeft()/2))
	paused := false
	for {
		now := e.p.cfg.Clock()
		v := e.p.cfg.Quarantine.Judge(now, e.traits)
		var wait time.Duration
		switch sinceKnown := now.Sub(v.Since); {
		case v.Level == mpquarantine.Convicted:
			return trial{}, v, false
		case !v.NeedsTrial:
			return trial{end: func(bool) {}}, v, true
		case v.Level > mpquarantine.Noted && sinceKnown < mpquarantine.TrialDelay:
			wait = mpquarantine.TrialDelay - sinceKnown
		case v.Level > mpquarantine.Noted && !paused:
			wait, paused = mpquarantine.TrialPause(rand.Float64()), true
		default:
			var t trial
			if t, wait = e.beginTrial(ctx, v, until.Sub(now)); t.end != nil {
				return t, v, true
			}
		}
		if e.p.cfg.Clock().Add(wait).After(until) || !mptime.Sleep(ctx, wait) {
			return trial{}, v, false
		}
	}
}

// beginTrial asks for the trial of a feature, once the requests of this VM that asked before
// are done. If the trial is not granted, it returns when to look again.
func (e *exchange) beginTrial(ctx context.Context, v mpquarantine.Verdict, timeout time.Duration) (trial, time.Duration) {
	free, busy := e.p.cfg.Quarantine.BeginTrial(v.Feature)
	if busy != nil {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-busy:
		case <-timer.C:
		case <-ctx.Done():
		}
		return trial{}, 0
	}
	p, end, err := e.p.cfg.Trials.Begin(ctx, v.Finding)
	switch {
	case err != nil && v.Level == mpquarantine.Noted:
		free()
		return trial{end: func(bool) {}}, 0 // The upstream may have ended for any reason.
	case err != nil:
		free()
		return trial{}, arbiterRetry
	case !p.Granted:
		free()
		return trial{}, p.Wait
	}
	e.p.cfg.Metrics.Add("quarantine.trials", 1)
	var once sync.Once
	return trial{v.Feature, v.Level, func(lost bool) {
		once.Do(func() {
			end(lost)
			free()
		})
	}}, 0
}

// respondQuarantined ends a request that may not be sent.
func (e *exchange) respondQuarantined(ctx context.Context, v mpquarantine.Verdict) {
	if v.Level == mpquarantine.Convicted && !e.mayHaveRun && !e.headerWritten && ctx.Err() == nil {
		e.refuseConvicted(v)
		return
	}
	e.respondUnanswered(ctx, v.Level.String()+": "+nameOf(e.r, v.Feature)+", feature "+v.Feature.String())
}

// recordLoss tests whether an upstream that broke off an attempt has ended. If it has, the
// features of the request are evidence. It ends the trial after that.
func (e *exchange) recordLoss(row mplist.Row, t trial) {
	crash := mpquarantine.Crash{Upstream: row.ID, SentAt: e.sentAt, HasHead: e.framing != noBody, Trial: t.feature, Traits: e.traits}
	if e.p.cfg.Prober.IsDown(context.Background(), row.Address) {
		e.p.recordCrash(e.r, crash)
		t.end(true)
		return
	}
	// Its connections may be closed before it stops listening.
	time.AfterFunc(probePause, func() {
		if e.p.cfg.Prober.IsDown(context.Background(), row.Address) {
			e.p.recordCrash(e.r, crash)
		}
		t.end(true)
	})
}

func (p *Proxy) recordCrash(r *Request, c mpquarantine.Crash) {
	p.cfg.Metrics.Add("quarantine.crashes", 1)
	raised, cleared := p.cfg.Quarantine.RecordCrash(p.cfg.Clock(), c)
	for _, f := range raised {
		_ = level.Warn(p.cfg.Logger).Log("msg", mplog.MsgCrashEvidence, "id", r.ID, "upstream", c.Upstream, "feature", f.Feature,
			"name", nameOf(r, f.Feature), "became", f.Level)
	}
	p.cfg.Evidence.Raise(raised)
	p.clear(r, cleared, "explained by another conviction")
}

// recordSound records that the last attempt was answered without a crash.
func (e *exchange) recordSound() {
	if e.isSound {
		return
	}
	e.isSound = true
	e.p.clear(e.r, e.p.cfg.Quarantine.RecordSound(e.p.cfg.Clock(), e.beganAt, e.traits), "answered")
	e.endTrial(false)
}

func (p *Proxy) clear(r *Request, features []mpquarantine.Feature, why string) {
	if len(features) == 0 {
		return
	}
	names := make([]string, len(features))
	for i, f := range features {
		names[i] = f.String()
	}
	_ = level.Info(p.cfg.Logger).Log("msg", "crash evidence cleared", "id", r.ID, "features", strings.Join(names, ","), "why", why)
	p.cfg.Evidence.Clear(features)
}
