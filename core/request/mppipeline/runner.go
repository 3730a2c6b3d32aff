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
	budgetBurst   = 20
	claimWithin   = 2 * time.Second
	releaseWithin = 500 * time.Millisecond
	strikeWithin  = 4 * time.Second
	strikeLasts   = 15 * time.Minute
	laterRetry    = time.Second
)

// Runner runs requests at one VM. It is safe for concurrent use.
type Runner struct {
	cfg    Config
	outage outage
	gate   *mpadmit.Backoff

	mu      sync.Mutex
	budgets map[string]*mpbudget.Budget
}

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, gate: mpadmit.NewBackoff(), budgets: map[string]*mpbudget.Budget{}}
}

// budget returns the retry budget of a pool.
func (r *Runner) budget(pool string) *mpbudget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[pool]
	if !ok {
		b = mpbudget.New(mpbudget.Config{Ratio: r.cfg.RetryRatio, Burst: budgetBurst})
		r.budgets[pool] = b
	}
	return b
}

// run is the state of one request.
type run struct {
	*Runner
	req     Request
	sent    atomic.Bool
	emitted int
	flow    flow
}

// Run runs req to its outcome. It returns at the latest at the deadline.
func (r *Runner) Run(ctx context.Context, req Request) Outcome {
	once := req.Entry.IsOnce()
	if once {
		// A caller that goes away does not stop what must not be repeated.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &run{Runner: r, req: req, flow: firstFlow(req)}
	if r.cfg.Membership.Current().Strikes(req.Fingerprint) >= mpview.StrikesToConvict {
		return poisoned()
	}
	if !once {
		return x.stages(ctx)
	}
	return x.claimed(ctx)
}

func poisoned() Outcome {
	return Outcome{
		Kind: NotRun, Status: http.StatusUnprocessableEntity, Cause: "poison",
		Text: "this request crashed upstreams before and is not run again",
	}
}

// claimed runs a non-idempotent request under a claim, which is committed
// before anything is sent.
func (x *run) claimed(ctx context.Context) Outcome {
	started := x.cfg.Clock()
	reply, err := x.commit(ctx, claimWithin, mpstate.Claim{
		Ref: x.ref(), Print: x.req.Fingerprint, Holder: x.holder(), Issued: x.req.Key.IssuedMs,
	})
	x.cfg.Metrics.Took("claim", x.cfg.Clock().Sub(started))
	if err != nil {
		return Outcome{
			Kind: Unknown, Status: http.StatusServiceUnavailable, Cause: "claim", RetryAfter: laterRetry,
			Text: "this submission was not run, but whether an earlier one with its key was cannot be told now",
		}
	}
	if out, ok := claimOutcome(reply); !ok {
		return out
	}
	out := x.stages(ctx)
	x.conclude(out)
	return out
}

// claimOutcome returns false and the answer to a submission that may not run.
func claimOutcome(r mpstate.Result) (Outcome, bool) {
	switch r.Code {
	case mpstate.CodeDone:
		return Outcome{}, true
	case mpstate.CodeFinished:
		return recorded(*r.Answer), false
	case mpstate.CodeRunning:
		return Outcome{
			Kind: Unknown, Status: http.StatusConflict, Cause: "running", RetryAfter: laterRetry,
			Text: "an earlier submission with this key is still running",
		}, false
	case mpstate.CodeDoubt:
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
		Kind: NotRun, Status: http.StatusServiceUnavailable, Cause: "claims", RetryAfter: laterRetry,
		Text: "too many non-idempotent requests are remembered",
	}, false
}

func (x *run) ref() mpstate.Ref {
	return mpstate.Ref{Account: x.req.Account.Name, Key: x.req.Key.Text}
}

func (x *run) holder() mpstate.Holder {
	return mpstate.Holder{VM: x.cfg.VM, Boot: x.cfg.Boot, Request: x.req.ID}
}

func (x *run) commit(ctx context.Context, within time.Duration, c mpstate.Command) (mpstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply, err := x.cfg.Proposer.Propose(ctx, c, 0)
	return reply.Result, err
}

// conclude records the end of a claimed request. It does not depend on the
// caller, who may have gone.
func (x *run) conclude(out Outcome) {
	var c mpstate.Command
	switch out.Kind {
	case Answered:
		c = mpstate.Finish{Ref: x.ref(), Holder: x.holder(), Answer: record(out.Answer)}
	case NotRun:
		c = mpstate.Release{Ref: x.ref(), Holder: x.holder()}
	case Failed, Unknown:
		c = mpstate.Doubt{Ref: x.ref(), Holder: x.holder()}
	}
	if _, err := x.commit(context.Background(), releaseWithin, c); err == nil {
		return
	}
	go func() {
		if _, err := x.commit(context.Background(), strikeLasts, c); err != nil {
			level.Warn(x.cfg.Logger).Log("msg", "claim not concluded", "request", x.req.ID, "err", err)
		}
	}()
}

// stages runs the stages in order.
func (x *run) stages(ctx context.Context) Outcome {
	if wait := x.longestWait(); wait > 0 {
		return x.giveUp(mperror.Wrap(mperror.ErrFull, "a later stage takes no more now"), wait)
	}
	for i := range x.req.Entry.Stages {
		if out, ok := x.stage(ctx, i); !ok {
			return out
		}
	}
	return x.flow.outcome()
}

// longestWait returns how long the request's pools, but the first one's, which
// answers for itself, stay closed for its account.
func (x *run) longestWait() time.Duration {
	now := x.cfg.Clock()
	wait := time.Duration(0)
	for _, s := range x.req.Entry.Stages[1:] {
		wait = max(wait, x.gate.Remaining(now, s.Pool, x.req.Account.Name))
	}
	return wait
}

// strike records that an upstream crashed under this request, and waits until
// every VM knows; only then may it be tried again anywhere. It returns nil when
// another try is allowed.
func (x *run) strike(ctx context.Context, upstream string) error {
	now := x.cfg.Clock()
	if x.outage.note(now, upstream) {
		x.cfg.Metrics.Add("strike.outage", 1)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), strikeWithin)
	defer cancel()
	op := mpview.Strike{Prints: []uint64{x.req.Fingerprint}, Until: now.Add(strikeLasts).UnixMilli()}
	reply, err := x.cfg.Proposer.Propose(ctx, change(op), strikeWithin)
	x.cfg.Metrics.Add("strike.recorded", 1)
	if err != nil || !reply.InForce {
		x.cfg.Metrics.Add("strike.unsure", 1)
		return mperror.Wrap(mperror.ErrCrashed, "%s, and not every VM could be told", upstream)
	}
	if x.strikes() >= mpview.StrikesToConvict {
		return mperror.ErrPoison
	}
	return nil
}

func (x *run) strikes() int {
	return x.cfg.Membership.Current().Strikes(x.req.Fingerprint)
}

// acquit forgets the strikes of a request that has run alone without harm.
func (x *run) acquit() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), strikeWithin)
		defer cancel()
		_, _ = x.cfg.Proposer.Propose(ctx, change(mpview.Clear{Prints: []uint64{x.req.Fingerprint}}), 0)
	}()
}

func change(op mpview.Op) mpstate.Change {
	return mpstate.Change{ID: mpid.New(), Who: "system", Change: mpview.Change{Op: op}}
}

// giveUp returns the outcome of a request that cannot go on.
func (x *run) giveUp(err error, retry time.Duration) Outcome {
	out := Outcome{Kind: Failed, Status: http.StatusBadGateway, Cause: causeOf(err), Text: err.Error()}
	switch {
	case !x.sent.Load():
		out.Kind = NotRun
		out.Status = http.StatusServiceUnavailable
		out.RetryAfter = max(retry, shortestRetry)
	case x.req.Entry.IsOnce():
		out.Kind = Unknown
	case errors.Is(err, mperror.ErrPoison):
		out.Status = http.StatusUnprocessableEntity
	case errors.Is(err, mperror.ErrAnswer), errors.Is(err, mperror.ErrCrashed):
		// The retry budget may be spent; the caller may come back once it has grown.
		out.RetryAfter = failedRetry
	case isOverload(err):
		out.Status = http.StatusServiceUnavailable
		out.RetryAfter = max(retry, shortestRetry)
	case errors.Is(err, context.DeadlineExceeded):
		out.Status = http.StatusGatewayTimeout
	}
	return out
}

const (
	shortestRetry = 100 * time.Millisecond
	failedRetry   = 250 * time.Millisecond
)

func isOverload(err error) bool {
	return errors.Is(err, mperror.ErrFull) || errors.Is(err, mperror.ErrLate) ||
		errors.Is(err, mperror.ErrStarting) || errors.Is(err, mperror.ErrEmpty) ||
		errors.Is(err, mperror.ErrNotOwner) || errors.Is(err, mperror.ErrNoLease)
}

// causeOf returns one word for the reason err.
func causeOf(err error) string {
	causes := []struct {
		err  error
		name string
	}{
		{mperror.ErrFull, "full"},
		{mperror.ErrLate, "late"},
		{mperror.ErrEmpty, "empty"},
		{mperror.ErrStarting, "starting"},
		{mperror.ErrNotOwner, "owner"},
		{mperror.ErrNoLease, "lease"},
		{mperror.ErrPoison, "poison"},
		{mperror.ErrCrashed, "crashed"},
		{mperror.ErrAnswer, "answer"},
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
