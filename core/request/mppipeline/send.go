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

// send carries out one attempt and returns its permit.
func (s *stage) send(ctx context.Context, permit mpattempt.Permit) result {
	return s.start(permit)(ctx)
}

// start prepares an attempt and returns what carries it out. Only start reads
// the flow between the stages, which moves on as soon as one attempt has won.
func (s *stage) start(permit mpattempt.Permit) func(ctx context.Context) result {
	call, fail := s.prepare(permit)
	if fail != nil {
		s.cfg.Permits.Settle(permit, mppermit.Settlement{End: mppermit.Unused})
		return func(context.Context) result { return result{permit: permit, fail: fail} }
	}
	return func(ctx context.Context) result { return s.carry(ctx, permit, call) }
}

func (s *stage) carry(ctx context.Context, permit mpattempt.Permit, call mpupstream.Call) result {
	res := result{permit: permit}
	started := s.cfg.Clock()
	if s.pool.Kind == mpcatalogue.Generate {
		res.answer, res.usage, res.fail = s.stream(ctx, call)
	} else {
		res.answer, res.fail = s.cfg.Upstreams.Do(ctx, call)
	}
	res.took = s.cfg.Clock().Sub(started)
	if res.fail == nil || res.fail.Sent {
		s.sent.Store(true)
	}
	s.settle(permit, res)
	s.count(permit, call, res)
	return res
}

// prepare checks, as the last step before the first byte, that the attempt may
// still be sent: a frozen VM may have lost its lease, and the upstream its
// service, since the permit was granted.
func (s *stage) prepare(permit mpattempt.Permit) (mpupstream.Call, *mpupstream.Failure) {
	view := s.cfg.Membership.Current()
	up, ok := view.Catalogue().Upstream(permit.Upstream())
	if !ok || !view.Usable(up) {
		return mpupstream.Call{}, &mpupstream.Failure{Err: mperror.Wrap(mperror.ErrEmpty, "upstream %s left", permit.Upstream())}
	}
	call := s.flow.call(s.pool, s.spec, s.req.Class.Priority)
	call.Address = up.Address
	call.Attempt = uint64(permit.Attempt())
	call.Remaining = s.left()
	if !s.cfg.Membership.HasLease(s.cfg.Clock()) {
		return call, &mpupstream.Failure{Err: mperror.ErrNoLease}
	}
	if call.Remaining <= 0 {
		return call, &mpupstream.Failure{Err: context.DeadlineExceeded}
	}
	return call, nil
}

func (s *stage) settle(permit mpattempt.Permit, res result) {
	e := mppermit.Settlement{
		End:      mppermit.Done,
		Took:     res.took,
		Instance: res.answer.Instance,
		Cold:     res.answer.Cold,
	}
	if res.fail != nil {
		e.End = endOf(res.fail)
		e.Cold = res.fail.Cold
	}
	s.cfg.Permits.Settle(permit, e)
	if res.fail == nil && s.strikes() > 0 {
		s.acquit()
	}
}

func endOf(f *mpupstream.Failure) mppermit.End {
	switch {
	case errors.Is(f, mperror.ErrCrashed):
		return mppermit.Crashed
	case errors.Is(f, mperror.ErrFull):
		return mppermit.Overloaded
	case errors.Is(f, mperror.ErrAnswer):
		return mppermit.Failed
	}
	return mppermit.Cancelled
}

// count adds what the attempt cost to the metrics of its stage.
func (s *stage) count(permit mpattempt.Permit, call mpupstream.Call, res result) {
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
		size := len(call.Body) + len(res.answer.Body) + s.text.Len()
		m.Add("link.bytes", int64(size))
		m.AddFloat("link.cost", cost*float64(size))
	}
}

// stream receives generated text. After a break, the next attempt generates
// the same text again: what the caller has got is compared and left out, so
// that nothing is lost or doubled. Text that differs is not a whole answer.
func (s *stage) stream(ctx context.Context, call mpupstream.Call) (mpupstream.Response, mpupstream.Usage, *mpupstream.Failure) {
	have := s.text.String()
	resumed := have != ""
	answer, usage, fail := s.cfg.Upstreams.Stream(ctx, call, func(text string) error {
		fresh, rest, err := skip(have, text)
		if err != nil {
			return err
		}
		have = rest
		return s.emit(fresh)
	})
	if fail == nil && have != "" {
		err := mperror.Wrap(mperror.ErrAnswer, "repeated stream is %d bytes short", len(have))
		fail = &mpupstream.Failure{Sent: true, Err: err}
	}
	if resumed && fail == nil {
		s.cfg.Metrics.Add("stream.resumed", 1)
	}
	return answer, usage, fail
}

// skip returns the part of text that goes beyond have, and what of have is
// still to come.
func skip(have, text string) (fresh, rest string, err error) {
	if have == "" {
		return text, "", nil
	}
	n := min(len(have), len(text))
	if !strings.HasPrefix(have, text[:n]) {
		return "", have, mperror.Wrap(mperror.ErrAnswer, "repeated stream differs")
	}
	return text[n:], have[n:], nil
}

func (s *stage) emit(text string) error {
	if text == "" {
		return nil
	}
	s.text.WriteString(text)
	if !s.last || s.req.Emit == nil {
		return nil
	}
	s.noteFirst()
	return s.req.Emit(text)
}

// noteFirst measures the time to the first token.
func (s *stage) noteFirst() {
	if s.emitted == 0 {
		total := time.Duration(s.req.Class.Deadline) * time.Millisecond
		s.cfg.Metrics.Took("first", total-s.left())
	}
	s.emitted++
}
