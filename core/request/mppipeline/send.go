package mppipeline

import (
	"context"
	"errors"
	"strings"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpcatalogue"
)

// send performs one attempt and settles its permit.
func (s *stage) send(ctx context.Context, permit mpattempt.Permit) result {
	return s.prepareAttempt(permit)(ctx)
}

// prepareAttempt prepares an attempt and returns the function that performs it.
// That function must not read s.data, which advances to the next stage as soon as
// one of the concurrent attempts has won.
func (s *stage) prepareAttempt(permit mpattempt.Permit) func(ctx context.Context) result {
	call, fail := s.newCall(permit)
	if fail != nil {
		s.cfg.Permits.Settle(permit, mppermit.Settlement{Outcome: mppermit.Unused})
		return func(context.Context) result { return result{permit: permit, fail: fail} }
	}
	return func(ctx context.Context) result { return s.perform(ctx, permit, call) }
}

func (s *stage) perform(ctx context.Context, permit mpattempt.Permit, call mpupstream.Call) result {
	res := result{permit: permit}
	started := s.cfg.Clock()
	if s.pool.Kind == mpcatalogue.Generate {
		res.response, res.usage, res.fail = s.stream(ctx, call)
	} else {
		res.response, res.fail = s.cfg.Upstreams.Do(ctx, call)
	}
	res.took = s.cfg.Clock().Sub(started)
	if res.fail == nil || res.fail.Sent {
		s.sent.Store(true)
	}
	s.settle(permit, res)
	s.recordMetrics(permit, call, res)
	return res
}

// newCall returns the upstream call of an attempt. As the last step before the
// first byte is sent, it checks that the attempt is still allowed: since the permit
// was granted, the VM may have been frozen and lost its lease, or the upstream may
// have been taken out of service.
func (s *stage) newCall(permit mpattempt.Permit) (mpupstream.Call, *mpupstream.Failure) {
	view := s.cfg.Membership.Current()
	up, ok := view.Catalogue().Upstream(permit.Upstream())
	if !ok || !view.Usable(up) {
		return mpupstream.Call{}, &mpupstream.Failure{Err: mperror.Wrap(mperror.ErrNoUpstream, "upstream %s left", permit.Upstream())}
	}
	call := s.data.call(s.pool, s.spec, s.req.Class.Priority)
	call.Address = up.Address
	call.Attempt = uint64(permit.Attempt())
	call.Remaining = s.timeLeft()
	if !s.cfg.Membership.HasLease(s.cfg.Clock()) {
		return call, &mpupstream.Failure{Err: mperror.ErrNoLease}
	}
	if call.Remaining <= 0 {
		return call, &mpupstream.Failure{Err: context.DeadlineExceeded}
	}
	return call, nil
}

func (s *stage) settle(permit mpattempt.Permit, res result) {
	settlement := mppermit.Settlement{
		Outcome:     mppermit.Done,
		ServiceTime: res.took,
		Instance:    res.response.Instance,
		Cold:        res.response.Cold,
	}
	if res.fail != nil {
		settlement.Outcome = settlementOutcome(res.fail)
		settlement.Cold = res.fail.Cold
	}
	s.cfg.Permits.Settle(permit, settlement)
	if res.fail == nil && s.strikeCount() > 0 {
		s.clearStrikes()
	}
}

func settlementOutcome(f *mpupstream.Failure) mppermit.Outcome {
	switch {
	case errors.Is(f, mperror.ErrConnectionLost):
		return mppermit.Crashed
	case errors.Is(f, mperror.ErrFull):
		return mppermit.Overloaded
	case errors.Is(f, mperror.ErrBadResponse):
		return mppermit.Failed
	}
	return mppermit.Cancelled
}

// recordMetrics records the counts, tokens and link costs of an attempt.
func (s *stage) recordMetrics(permit mpattempt.Permit, call mpupstream.Call, res result) {
	m := s.cfg.Metrics
	kind := string(s.pool.Kind)
	m.Add("attempt.count", 1)
	m.Add("attempt."+kind, 1)
	if res.fail != nil {
		m.Add("attempt.failed."+causeOf(res.fail), 1)
	}
	m.Add("tokens.prefilled", int64(res.usage.Prompt-res.usage.Cached))
	m.Add("tokens.cached", int64(res.usage.Cached))
	m.Add("tokens.generated", int64(res.usage.Completion))
	c := s.req.View.Catalogue()
	up, _ := c.Upstream(permit.Upstream())
	if cost := c.Cost(s.cfg.DC, up.DC); cost > 0 {
		size := len(call.Body) + len(res.response.Body) + s.text.Len()
		m.Add("link.bytes", int64(size))
		m.AddFloat("link.cost", cost*float64(size))
	}
}

// stream receives generated text. After an interruption, the next attempt generates
// the text again from the start. The part that was already delivered is compared
// and skipped, so that the caller neither loses nor repeats text. If the text
// differs or ends early, the attempt fails.
func (s *stage) stream(ctx context.Context, call mpupstream.Call) (mpupstream.Response, mpupstream.Usage, *mpupstream.Failure) {
	unmatched := s.text.String()
	resumed := unmatched != ""
	response, usage, fail := s.cfg.Upstreams.Stream(ctx, call, func(text string) error {
		fresh, rest, err := skipDelivered(unmatched, text)
		if err != nil {
			return err
		}
		unmatched = rest
		return s.emit(fresh)
	})
	if fail == nil && unmatched != "" {
		err := mperror.Wrap(mperror.ErrBadResponse, "repeated stream is %d bytes short", len(unmatched))
		fail = &mpupstream.Failure{Sent: true, Err: err}
	}
	if resumed && fail == nil {
		s.cfg.Metrics.Add("stream.resumed", 1)
	}
	return response, usage, fail
}

// skipDelivered compares text with the delivered text. It returns the part of text
// beyond delivered, and the rest of delivered that is still to be matched.
func skipDelivered(delivered, text string) (fresh, rest string, err error) {
	if delivered == "" {
		return text, "", nil
	}
	n := min(len(delivered), len(text))
	if !strings.HasPrefix(delivered, text[:n]) {
		return "", delivered, mperror.Wrap(mperror.ErrBadResponse, "repeated stream differs")
	}
	return text[n:], delivered[n:], nil
}

func (s *stage) emit(text string) error {
	if text == "" {
		return nil
	}
	s.text.WriteString(text)
	if !s.last || s.req.Emit == nil {
		return nil
	}
	s.recordFirstToken()
	return s.req.Emit(text)
}

// recordFirstToken records the time to the first token. It is called for each emitted
// chunk, and only the first call counts.
func (s *stage) recordFirstToken() {
	if s.emittedChunks == 0 {
		total := time.Duration(s.req.Class.Deadline) * time.Millisecond
		s.cfg.Metrics.ObserveDuration("first", total-s.timeLeft())
	}
	s.emittedChunks++
}
