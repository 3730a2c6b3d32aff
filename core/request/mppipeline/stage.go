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
	maxAttempts  = 4
	spillAfter   = 200 * time.Millisecond
	acquirePause = 25 * time.Millisecond
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

// result is how one attempt ended.
type result struct {
	permit mpattempt.Permit
	answer mpupstream.Response
	usage  mpupstream.Usage
	fail   *mpupstream.Failure
	took   time.Duration
}

func (x *run) stage(ctx context.Context, i int) (Outcome, bool) {
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
	out, ok := s.attempts(ctx)
	x.cfg.Metrics.Took("stage."+string(pool.Kind), x.cfg.Clock().Sub(started))
	return out, ok
}

// attempts tries the stage until it has an answer or must give up.
func (s *stage) attempts(ctx context.Context) (Outcome, bool) {
	s.budget(s.pool.Name).Earn()
	s.cfg.Metrics.Add("stage.count", 1)
	for n := 1; ; n++ {
		permit, refusal := s.permit(ctx)
		if refusal != nil {
			return s.giveUp(refusal, refusal.Retry), false
		}
		res := s.try(ctx, permit)
		if res.fail == nil {
			return s.finish(res)
		}
		if err := s.mayRetry(ctx, n, res); err != nil {
			return s.giveUp(err, 0), false
		}
	}
}

// finish takes a whole answer. One that does not fit its stage counts as final.
func (s *stage) finish(res result) (Outcome, bool) {
	if s.pool.Kind == mpcatalogue.Generate && res.answer.Status == http.StatusOK {
		s.flow.answer = res.answer
		s.flow.text = s.text.String()
		s.flow.generated = true
		return Outcome{}, true
	}
	if res.answer.Status >= http.StatusBadRequest {
		return Outcome{Kind: Answered, Status: res.answer.Status, Cause: "upstream", Answer: res.answer}, false
	}
	if err := s.flow.take(s.pool, res.answer); err != nil {
		return s.giveUp(err, 0), false
	}
	return Outcome{}, true
}

// mayRetry returns nil when the stage may be tried again after res, and
// otherwise why not.
func (s *stage) mayRetry(ctx context.Context, n int, res result) error {
	fail := res.fail
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(fail, mperror.ErrCrashed) && fail.Sent {
		if err := s.strike(ctx, res.permit.Upstream()); err != nil {
			return err
		}
	}
	if s.spec.Once && fail.Sent {
		return fail.Err
	}
	if n >= maxAttempts {
		return mperror.Wrap(fail.Err, "after %d attempts", n)
	}
	if fail.Sent && !s.budget(s.pool.Name).Spend() {
		s.cfg.Metrics.Add("retry.denied", 1)
		return mperror.Wrap(fail.Err, "retry budget spent")
	}
	s.cfg.Metrics.Add("retry.count", 1)
	return nil
}

// permit gets a permit from the nearest group that can meet the deadline: it
// first asks each group for a short wait, then the first ones for any.
func (s *stage) permit(ctx context.Context) (mpattempt.Permit, *mpattempt.Refusal) {
	for {
		if err := s.cfg.Membership.AwaitLease(ctx, s.cfg.Clock); err != nil {
			return mpattempt.Permit{}, &mpattempt.Refusal{Err: err}
		}
		var last *mpattempt.Refusal
		for _, patience := range []time.Duration{spillAfter, s.left()} {
			p, refusal := s.round(ctx, patience)
			if refusal == nil {
				s.gate.Granted(s.pool.Name, s.req.Account.Name)
				return p, nil
			}
			last = refusal
			if !errors.Is(refusal, mperror.ErrFull) {
				break
			}
		}
		if errors.Is(last, mperror.ErrFull) || errors.Is(last, mperror.ErrLate) {
			s.gate.Refused(s.cfg.Clock(), s.pool.Name, s.req.Account.Name, last.Retry)
		}
		if !isPassing(last) || s.left() < acquirePause || ctx.Err() != nil {
			return mpattempt.Permit{}, last
		}
		mptime.Pause(ctx, min(max(last.Retry, acquirePause), s.left()))
	}
}

// isPassing reports whether a refusal is due to a change of owner or a short
// gap in service, which ends soon.
func isPassing(r *mpattempt.Refusal) bool {
	return errors.Is(r, mperror.ErrStarting) || errors.Is(r, mperror.ErrNotOwner) ||
		errors.Is(r, mperror.ErrNoLease) || errors.Is(r, mperror.ErrEmpty) && r.Retry > 0
}

func (s *stage) left() time.Duration { return s.req.Deadline.Sub(s.cfg.Clock()) }

// round asks the groups in the order of their cost. A refusal that will pass
// goes before others, since waiting for it can help.
func (s *stage) round(ctx context.Context, patience time.Duration) (mpattempt.Permit, *mpattempt.Refusal) {
	var worst *mpattempt.Refusal
	view := s.cfg.Membership.Current()
	for _, group := range s.route() {
		if _, dc := view.Catalogue().Place(group); view.IsOut(mpview.TargetDC, dc) {
			continue
		}
		p, refusal := s.cfg.Permits.Acquire(ctx, group, s.ask(patience, false))
		if refusal == nil {
			return p, nil
		}
		if worst == nil || isPassing(refusal) && !isPassing(worst) {
			worst = refusal
		}
	}
	if worst == nil {
		worst = &mpattempt.Refusal{Retry: laterRetry, Err: mperror.Wrap(mperror.ErrEmpty, "pool %s", s.pool.Name)}
	}
	return mpattempt.Permit{}, worst
}

// route returns the groups of the stage's pool, nearest first, in the
// catalogue that the request is pinned to.
func (s *stage) route() []string {
	return s.req.View.Catalogue().Route(s.pool.Name, s.cfg.DC)
}

func (s *stage) ask(patience time.Duration, hedge bool) mppermit.Ask {
	return mppermit.Ask{
		Account:  s.req.Account.Name,
		Weight:   s.req.Account.Weight,
		Priority: s.req.Class.Priority,
		Left:     s.left(),
		Work:     s.work(),
		Patience: patience,
		Prefix:   s.flow.prefix(s.pool),
		Alone:    s.strikes() > 0,
		Hedge:    hedge,
		Avoid:    s.tried,
	}
}

// work returns the expected size of an attempt.
func (s *stage) work() int {
	if s.pool.Kind == mpcatalogue.Generate {
		return s.flow.tokens(s.spec)
	}
	return 1
}

// try sends the attempt that permit allows and, where the entry allows it and
// the answer is slow, a second one beside it. The first whole answer wins.
func (s *stage) try(ctx context.Context, permit mpattempt.Permit) result {
	s.tried.Add(permit.Upstream())
	if !s.spec.Hedge || s.pool.Kind == mpcatalogue.Generate || permit.Hedge() == 0 {
		return s.send(ctx, permit)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	first := s.start(permit)
	go func() { results <- first(ctx) }()
	timer := time.NewTimer(permit.Hedge())
	defer timer.Stop()
	select {
	case res := <-results:
		return res
	case <-timer.C:
	}
	hedge, ok := s.hedge(ctx)
	if !ok {
		return <-results
	}
	second := s.start(hedge)
	go func() { results <- second(ctx) }()
	res := <-results
	if res.fail != nil {
		res = <-results
	}
	return res
}

func (s *stage) hedge(ctx context.Context) (mpattempt.Permit, bool) {
	if s.strikes() > 0 || !s.budget(s.pool.Name).Spend() {
		return mpattempt.Permit{}, false
	}
	for _, group := range s.route() {
		p, refusal := s.cfg.Permits.Acquire(ctx, group, s.ask(0, true))
		if refusal == nil {
			s.cfg.Metrics.Add("hedge.count", 1)
			return p, true
		}
	}
	return mpattempt.Permit{}, false
}
