package mppipeline

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpset"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

const (
	maxAttempts        = 4
	spilloverWait      = 200 * time.Millisecond // longest wait in a group before the next nearest one is tried
	minAcquireInterval = 25 * time.Millisecond
)

// stage is the state of one stage of a request.
type stage struct {
	*run
	pool  mpcatalogue.Pool
	spec  mpcatalogue.Stage
	last  bool
	tried mpset.Set[string]
	text  strings.Builder
}

// result is the result of one attempt.
type result struct {
	permit   mpattempt.Permit
	response mpupstream.Response
	usage    mpupstream.Usage
	fail     *mpupstream.Failure
	took     time.Duration
}

// runStage runs stage i. It returns true if the next stage may follow, and otherwise
// false and the outcome of the request.
func (x *run) runStage(ctx context.Context, i int) (Outcome, bool) {
	spec := x.req.Entry.Stages[i]
	pool, _ := x.req.View.Catalogue().Pool(spec.Pool)
	s := &stage{
		run:   x,
		pool:  pool,
		spec:  spec,
		last:  i == len(x.req.Entry.Stages)-1,
		tried: mpset.Set[string]{},
	}
	started := x.cfg.Clock()
	out, ok := s.runAttempts(ctx)
	x.cfg.Metrics.ObserveDuration("stage."+string(pool.Kind), x.cfg.Clock().Sub(started))
	return out, ok
}

// runAttempts attempts the stage until it is answered or no retry is allowed.
func (s *stage) runAttempts(ctx context.Context) (Outcome, bool) {
	s.retryBudget(s.pool.Name).Deposit()
	s.cfg.Metrics.Add("stage.count", 1)
	for n := 1; ; n++ {
		permit, refusal := s.acquirePermit(ctx)
		if refusal != nil {
			return s.errorOutcome(refusal, refusal.RetryAfter), false
		}
		res := s.attempt(ctx, permit)
		if res.fail == nil {
			return s.finish(res)
		}
		if err := s.checkRetry(ctx, n, res); err != nil {
			return s.errorOutcome(err, 0), false
		}
	}
}

// finish processes a complete response. A response that is invalid for its stage is
// not retried.
func (s *stage) finish(res result) (Outcome, bool) {
	if s.pool.Kind == mpcatalogue.Generate && res.response.Status == http.StatusOK {
		s.data.response = res.response
		s.data.text = s.text.String()
		s.data.generated = true
		return Outcome{}, true
	}
	if res.response.Status >= http.StatusBadRequest {
		return Outcome{Kind: Answered, Status: res.response.Status, Cause: "upstream", Response: res.response}, false
	}
	if err := s.data.applyResponse(s.pool, res.response); err != nil {
		return s.errorOutcome(err, 0), false
	}
	return Outcome{}, true
}

// checkRetry returns nil if the stage may be retried after res, and otherwise the
// error that prevents it.
func (s *stage) checkRetry(ctx context.Context, n int, res result) error {
	fail := res.fail
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(fail, mperror.ErrConnectionLost) && fail.Sent {
		if err := s.recordStrike(ctx, res.permit.Upstream()); err != nil {
			return err
		}
	}
	if s.spec.Once && fail.Sent {
		return fail.Err
	}
	if n >= maxAttempts {
		return mperror.Wrap(fail.Err, "after %d attempts", n)
	}
	if fail.Sent && !s.retryBudget(s.pool.Name).TryWithdraw() {
		s.cfg.Metrics.Add("retry.denied", 1)
		return mperror.Wrap(fail.Err, "retry budget spent")
	}
	s.cfg.Metrics.Add("retry.count", 1)
	return nil
}

// acquirePermit acquires a permit from the nearest group that can meet the
// deadline. It first tries each group with a wait of at most spilloverWait. If they
// are full, it tries them again, nearest first, with any wait that the deadline
// allows.
func (s *stage) acquirePermit(ctx context.Context) (mpattempt.Permit, *mpattempt.Refusal) {
	for {
		if err := s.cfg.Membership.AwaitLease(ctx, s.cfg.Clock); err != nil {
			return mpattempt.Permit{}, &mpattempt.Refusal{Err: err}
		}
		var lastRefusal *mpattempt.Refusal
		for _, maxWait := range []time.Duration{spilloverWait, s.timeLeft()} {
			p, refusal := s.acquireFromGroups(ctx, maxWait)
			if refusal == nil {
				s.backoff.RecordGrant(s.pool.Name, s.req.Account.Name)
				return p, nil
			}
			lastRefusal = refusal
			if !errors.Is(refusal, mperror.ErrFull) {
				break
			}
		}
		if errors.Is(lastRefusal, mperror.ErrFull) || errors.Is(lastRefusal, mperror.ErrDeadline) {
			s.backoff.RecordRefusal(s.cfg.Clock(), s.pool.Name, s.req.Account.Name, lastRefusal.RetryAfter)
		}
		if !isTransient(lastRefusal) || s.timeLeft() < minAcquireInterval || ctx.Err() != nil {
			return mpattempt.Permit{}, lastRefusal
		}
		mptime.Sleep(ctx, min(max(lastRefusal.RetryAfter, minAcquireInterval), s.timeLeft()))
	}
}

// isTransient reports whether a refusal is due to a change of owner or a short
// interruption of service, and is thus expected to end soon.
func isTransient(r *mpattempt.Refusal) bool {
	return errors.Is(r, mperror.ErrOwnerStarting) || errors.Is(r, mperror.ErrNotOwner) ||
		errors.Is(r, mperror.ErrNoLease) || errors.Is(r, mperror.ErrNoUpstream) && r.RetryAfter > 0
}

func (s *stage) timeLeft() time.Duration { return s.req.Deadline.Sub(s.cfg.Clock()) }

// acquireFromGroups tries the groups, nearest first. If all refuse, it returns the
// first transient refusal, since waiting can help, or else the first refusal.
func (s *stage) acquireFromGroups(ctx context.Context, maxWait time.Duration) (mpattempt.Permit, *mpattempt.Refusal) {
	var selected *mpattempt.Refusal
	view := s.cfg.Membership.Current()
	for _, group := range s.groups() {
		if _, dc := view.Catalogue().PoolAndDC(group); view.IsOut(mpview.TargetDC, dc) {
			continue
		}
		p, refusal := s.cfg.Permits.Acquire(ctx, group, s.permitRequest(maxWait, false))
		if refusal == nil {
			return p, nil
		}
		if selected == nil || isTransient(refusal) && !isTransient(selected) {
			selected = refusal
		}
	}
	if selected == nil {
		selected = &mpattempt.Refusal{RetryAfter: defaultRetryAfter, Err: mperror.Wrap(mperror.ErrNoUpstream, "pool %s", s.pool.Name)}
	}
	return mpattempt.Permit{}, selected
}

// groups returns the groups of the stage's pool from the catalogue to which the request
// is pinned, nearest first: the local group, then the others by link cost.
func (s *stage) groups() []string {
	return s.req.View.Catalogue().GroupsByCost(s.pool.Name, s.cfg.DC)
}

func (s *stage) permitRequest(maxWait time.Duration, hedge bool) mppermit.Request {
	return mppermit.Request{
		Account:         s.req.Account.Name,
		Weight:          s.req.Account.Weight,
		Priority:        s.req.Class.Priority,
		Remaining:       s.timeLeft(),
		Work:            s.estimatedWork(),
		MaxExpectedWait: maxWait,
		PrefixHash:      s.data.prefixHash(s.pool),
		Exclusive:       s.strikeCount() > 0,
		Hedge:           hedge,
		Exclude:         s.tried,
	}
}

// estimatedWork returns the expected work of an attempt: the maximum number of output
// tokens for a generation, otherwise 1.
func (s *stage) estimatedWork() int {
	if s.pool.Kind == mpcatalogue.Generate {
		return s.data.maxOutputTokens(s.spec)
	}
	return 1
}

// attempt sends one attempt and, if the stage allows hedging and the response is
// slow, a concurrent second one. The first complete response wins.
func (s *stage) attempt(ctx context.Context, permit mpattempt.Permit) result {
	s.tried.Add(permit.Upstream())
	if !s.spec.Hedge || s.pool.Kind == mpcatalogue.Generate || permit.HedgeDelay() == 0 {
		return s.send(ctx, permit)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	first := s.prepareAttempt(permit)
	go func() { results <- first(ctx) }()
	timer := time.NewTimer(permit.HedgeDelay())
	defer timer.Stop()
	select {
	case res := <-results:
		return res
	case <-timer.C:
	}
	hedge, ok := s.acquireHedge(ctx)
	if !ok {
		return <-results
	}
	second := s.prepareAttempt(hedge)
	go func() { results <- second(ctx) }()
	res := <-results
	if res.fail != nil {
		res = <-results
	}
	return res
}

func (s *stage) acquireHedge(ctx context.Context) (mpattempt.Permit, bool) {
	if s.strikeCount() > 0 || !s.retryBudget(s.pool.Name).TryWithdraw() {
		return mpattempt.Permit{}, false
	}
	for _, group := range s.groups() {
		p, refusal := s.cfg.Permits.Acquire(ctx, group, s.permitRequest(0, true))
		if refusal == nil {
			s.cfg.Metrics.Add("hedge.count", 1)
			return p, true
		}
	}
	return mpattempt.Permit{}, false
}
