package mppipeline

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/request/mpadmit"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	retryBudgetBurst  = 20
	claimTimeout      = 2 * time.Second
	resolveTimeout    = 500 * time.Millisecond
	strikeTimeout     = 4 * time.Second
	strikeTTL         = 15 * time.Minute // also the timeout for recording a claim's outcome in the background
	defaultRetryAfter = time.Second
)

// Runner runs requests at one VM. It is safe for concurrent use.
type Runner struct {
	cfg     Config
	outage  outageDetector
	backoff *mpadmit.Backoff

	mu      sync.Mutex
	budgets map[string]*mpbudget.Budget
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, backoff: mpadmit.NewBackoff(), budgets: map[string]*mpbudget.Budget{}}
}

// retryBudget returns the retry budget of a pool.
func (r *Runner) retryBudget(pool string) *mpbudget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[pool]
	if !ok {
		b = mpbudget.New(mpbudget.Config{Ratio: r.cfg.RetryRatio, Burst: retryBudgetBurst})
		r.budgets[pool] = b
	}
	return b
}

// run is the state of one request.
type run struct {
	*Runner
	req           Request
	sent          atomic.Bool
	emittedChunks int
	data          pipelineData
}

// Run runs req and returns its outcome, at the latest at the deadline.
func (r *Runner) Run(ctx context.Context, req Request) Outcome {
	nonIdempotent := req.Entry.HasOnceStage()
	if nonIdempotent {
		// A request that must not be repeated is not cancelled when its caller
		// disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &run{Runner: r, req: req, data: newPipelineData(req)}
	if r.cfg.Membership.Current().Strikes(req.Fingerprint) >= mpview.StrikeLimit {
		return poisonOutcome()
	}
	if !nonIdempotent {
		return x.runStages(ctx)
	}
	return x.runClaimed(ctx)
}

func poisonOutcome() Outcome {
	return Outcome{
		Kind: NotRun, Status: http.StatusUnprocessableEntity, Cause: "poison",
		Text: "this request crashed upstreams before and is not run again",
	}
}

// runClaimed runs a non-idempotent request under a claim, which is committed
// before anything is sent.
func (x *run) runClaimed(ctx context.Context) Outcome {
	started := x.cfg.Clock()
	reply, err := x.commit(ctx, claimTimeout, mpstate.Claim{
		Ref: x.ref(), Fingerprint: x.req.Fingerprint, Holder: x.holder(), Issued: x.req.Key.IssuedMs,
	})
	x.cfg.Metrics.ObserveDuration("claim", x.cfg.Clock().Sub(started))
	if err != nil {
		return Outcome{
			Kind: Unknown, Status: http.StatusServiceUnavailable, Cause: "claim", RetryAfter: defaultRetryAfter,
			Text: "this submission was not run, but whether an earlier one with its key was cannot be told now",
		}
	}
	if out, ok := claimOutcome(reply); !ok {
		return out
	}
	out := x.runStages(ctx)
	x.resolveClaim(out)
	return out
}

// claimOutcome returns true if the claim was granted, and otherwise false and the
// outcome of the submission, which must not run.
func claimOutcome(r mpstate.Result) (Outcome, bool) {
	switch r.Code {
	case mpstate.CodeDone:
		return Outcome{}, true
	case mpstate.CodeFinished:
		return storedOutcome(*r.Answer), false
	case mpstate.CodeRunning:
		return Outcome{
			Kind: Unknown, Status: http.StatusConflict, Cause: "running", RetryAfter: defaultRetryAfter,
			Text: "an earlier submission with this key is still running",
		}, false
	case mpstate.CodeInDoubt:
		return Outcome{
			Kind: Unknown, Status: http.StatusConflict, Cause: "doubt",
			Text: "an earlier submission with this key may have run; it is not run again",
		}, false
	case mpstate.CodeMismatch:
		return Outcome{
			Kind: Unknown, Status: http.StatusUnprocessableEntity, Cause: "mismatch",
			Text: "this key was used with another body; this one was not run",
		}, false
	case mpstate.CodeExpired:
		return Outcome{
			Kind: Unknown, Status: http.StatusGone, Cause: "expired",
			Text: "this key is too old or from the future; this submission was not run",
		}, false
	}
	return Outcome{
		Kind: NotRun, Status: http.StatusServiceUnavailable, Cause: "claims", RetryAfter: defaultRetryAfter,
		Text: "too many non-idempotent requests are remembered",
	}, false
}

func (x *run) ref() mpstate.ClaimRef {
	return mpstate.ClaimRef{Account: x.req.Account.Name, Key: x.req.Key.Text}
}

func (x *run) holder() mpstate.Holder {
	return mpstate.Holder{VM: x.cfg.VM, Boot: x.cfg.Boot, Request: x.req.ID}
}

func (x *run) commit(ctx context.Context, timeout time.Duration, c mpstate.Command) (mpstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := x.cfg.Proposer.Propose(ctx, c, 0)
	return reply.Result, err
}

// resolveClaim records the outcome of a claimed request. It is independent of the
// caller's context, since the caller may have disconnected.
func (x *run) resolveClaim(out Outcome) {
	var c mpstate.Command
	switch out.Kind {
	case Answered:
		c = mpstate.Finish{Ref: x.ref(), Holder: x.holder(), Answer: newStoredAnswer(out.Response)}
	case NotRun:
		c = mpstate.Release{Ref: x.ref(), Holder: x.holder()}
	case Failed, Unknown:
		c = mpstate.MarkInDoubt{Ref: x.ref(), Holder: x.holder()}
	}
	if _, err := x.commit(context.Background(), resolveTimeout, c); err == nil {
		return
	}
	go func() {
		if _, err := x.commit(context.Background(), strikeTTL, c); err != nil {
			level.Warn(x.cfg.Logger).Log("msg", "claim outcome not recorded", "request", x.req.ID, "err", err)
		}
	}()
}

// runStages runs the stages in order.
func (x *run) runStages(ctx context.Context) Outcome {
	if wait := x.longestBackoff(); wait > 0 {
		return x.errorOutcome(mperror.Wrap(mperror.ErrFull, "a later stage takes no more now"), wait)
	}
	for i := range x.req.Entry.Stages {
		if out, ok := x.runStage(ctx, i); !ok {
			return out
		}
	}
	return x.data.outcome()
}

// longestBackoff returns the longest remaining backoff of the request's account in
// the pools of all stages but the first. The first stage needs no check, since its
// pool grants or refuses a permit before any work is done.
func (x *run) longestBackoff() time.Duration {
	now := x.cfg.Clock()
	wait := time.Duration(0)
	for _, s := range x.req.Entry.Stages[1:] {
		wait = max(wait, x.backoff.Remaining(now, s.Pool, x.req.Account.Name))
	}
	return wait
}

// recordStrike records that an upstream crashed while running this request and
// waits until the record is in force at every VM. Only then may the request be
// retried anywhere. It returns nil if a retry is allowed.
func (x *run) recordStrike(ctx context.Context, upstream string) error {
	now := x.cfg.Clock()
	if x.outage.recordCrash(now, upstream) {
		x.cfg.Metrics.Add("strike.outage", 1)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), strikeTimeout)
	defer cancel()
	op := mpview.Strike{Fingerprints: []uint64{x.req.Fingerprint}, Until: now.Add(strikeTTL).UnixMilli()}
	reply, err := x.cfg.Proposer.Propose(ctx, newChange(op), strikeTimeout)
	x.cfg.Metrics.Add("strike.recorded", 1)
	if err != nil || !reply.InForce {
		x.cfg.Metrics.Add("strike.unsure", 1)
		return mperror.Wrap(mperror.ErrConnectionLost, "%s, and not every VM could be told", upstream)
	}
	if x.strikeCount() >= mpview.StrikeLimit {
		return mperror.ErrPoison
	}
	return nil
}

func (x *run) strikeCount() int {
	return x.cfg.Membership.Current().Strikes(x.req.Fingerprint)
}

// clearStrikes clears the strikes of a request after an exclusive attempt without a
// crash.
func (x *run) clearStrikes() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
		defer cancel()
		_, _ = x.cfg.Proposer.Propose(ctx, newChange(mpview.ClearStrikes{Fingerprints: []uint64{x.req.Fingerprint}}), 0)
	}()
}

func newChange(op mpview.Op) mpstate.Change {
	return mpstate.Change{ID: mpid.New(), Who: "system", Change: mpview.Change{Op: op}}
}

// errorOutcome returns the outcome of a request that failed with err.
func (x *run) errorOutcome(err error, retryAfter time.Duration) Outcome {
	out := Outcome{Kind: Failed, Status: http.StatusBadGateway, Cause: causeOf(err), Text: err.Error()}
	switch {
	case !x.sent.Load():
		out.Kind = NotRun
		out.Status = http.StatusServiceUnavailable
		out.RetryAfter = max(retryAfter, minRetryAfter)
	case x.req.Entry.HasOnceStage():
		out.Kind = Unknown
	case errors.Is(err, mperror.ErrPoison):
		out.Status = http.StatusUnprocessableEntity
	case errors.Is(err, mperror.ErrBadResponse), errors.Is(err, mperror.ErrConnectionLost):
		// The retry budget may be spent. The caller may retry once it has been
		// replenished.
		out.RetryAfter = failedRetryAfter
	case isOverload(err):
		out.Status = http.StatusServiceUnavailable
		out.RetryAfter = max(retryAfter, minRetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		out.Status = http.StatusGatewayTimeout
	}
	return out
}

const (
	minRetryAfter    = 100 * time.Millisecond
	failedRetryAfter = 250 * time.Millisecond
)

func isOverload(err error) bool {
	return errors.Is(err, mperror.ErrFull) || errors.Is(err, mperror.ErrDeadline) ||
		errors.Is(err, mperror.ErrOwnerStarting) || errors.Is(err, mperror.ErrNoUpstream) ||
		errors.Is(err, mperror.ErrNotOwner) || errors.Is(err, mperror.ErrNoLease)
}

// causeOf returns the one-word cause of err for metrics and callers.
func causeOf(err error) string {
	causes := []struct {
		err  error
		name string
	}{
		{mperror.ErrFull, "full"},
		{mperror.ErrDeadline, "late"},
		{mperror.ErrNoUpstream, "empty"},
		{mperror.ErrOwnerStarting, "starting"},
		{mperror.ErrNotOwner, "owner"},
		{mperror.ErrNoLease, "lease"},
		{mperror.ErrPoison, "poison"},
		{mperror.ErrConnectionLost, "crashed"},
		{mperror.ErrBadResponse, "answer"},
		{context.DeadlineExceeded, "deadline"},
		{context.Canceled, "gone"},
	}
	for _, c := range causes {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "error"
}
