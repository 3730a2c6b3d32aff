package mpproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpquota"
)

// noQuotas drops what upstreams say of their rates.
type noQuotas struct{}

func (noQuotas) Observe(time.Time, string, mpquota.Statement)               {}
func (noQuotas) Rate(string) (float64, bool)                                { return 0, false }
func (noQuotas) Take(context.Context, string, float64) (wait time.Duration) { return 0 }

// denyingQuotas denies requests to upstreams with a limit, for the given time.
type denyingQuotas struct {
	limits *mpquota.Limits
	wait   time.Duration
	taken  []string
}

func (q *denyingQuotas) Observe(sentAt time.Time, upstream string, s mpquota.Statement) {
	q.limits.Observe(time.Now(), sentAt, upstream, s)
}
func (q *denyingQuotas) Rate(upstream string) (float64, bool) { return q.limits.Rate(upstream) }
func (q *denyingQuotas) Take(_ context.Context, upstream string, _ float64) time.Duration {
	q.taken = append(q.taken, upstream)
	return q.wait
}

// newLimitHarness returns a harness in which the given upstreams have a limit that allows
// nothing before wait has passed.
func newLimitHarness(t *testing.T, wait time.Duration, limited []string, replies ...reply) (*harness, *denyingQuotas) {
	t.Helper()
	r, q := newHarness(t, replies...), &denyingQuotas{limits: mpquota.NewLimits(), wait: wait}
	for _, id := range limited {
		q.limits.Observe(time.Now(), time.Now(), id, mpquota.Statement{Rate: 1, IsValid: true})
	}
	r.p.cfg.Quotas = q
	return r, q
}

// Guards against sending an upstream more than the rate that it names, against refusing what
// other upstreams could take, and against a retry budget that such refusals use up.
func TestUpstreamsWithLimit(t *testing.T) {
	t.Run("what one does not take goes to another", func(t *testing.T) {
		r, _ := newLimitHarness(t, time.Second, []string{"u1"}, good)
		checkAnswer(t, answer{Status: 200, Body: "whole", Sent: 1}, r.serve(t.Context(), request("/read/")))
		if host := r.transport.sent()[0].URL.Host; host != "10.0.0.2:80" {
			t.Errorf("the request went to %s", host)
		}
	})
	t.Run("an upstream that denied is not asked before its time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, q := newLimitHarness(t, time.Second, []string{"u1"}, good, good, good)
			r.serve(t.Context(), request("/read/"))
			r.serve(t.Context(), request("/read/"))
			<-time.After(time.Second)
			r.serve(t.Context(), request("/read/"))
			if diff := cmp.Diff([]string{"u1", "u1"}, q.taken); diff != "" {
				t.Errorf("asked for (-want +got):\n%s", diff)
			}
		})
	})
	t.Run("what none takes is refused at once, with the time at which one does", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, _ := newLimitHarness(t, 2*time.Second, []string{"u1", "u2"})
			budget := mpbudget.New(mpbudget.Config{Burst: 1})
			r.p.cfg.Budget = func(string) *mpbudget.Budget { return budget }
			w, begin := httptest.NewRecorder(), time.Now()
			r.p.Serve(t.Context(), w, request("/read/"))
			if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "2.000" || time.Since(begin) > 0 {
				t.Errorf("status %d, Retry-After %q after %v", w.Code, w.Header().Get("Retry-After"), time.Since(begin))
			}
			if n := len(r.transport.sent()); n > 0 {
				t.Errorf("%d requests were sent", n)
			}
			if !budget.TryWithdraw() {
				t.Error("the refusal was taken from the retry budget")
			}
		})
	})
	t.Run("a repeat that no rate allows is not taken from the retry budget", func(t *testing.T) {
		r, _ := newLimitHarness(t, time.Second, []string{"u2"}, reply{reset: true})
		budget := mpbudget.New(mpbudget.Config{Burst: 1})
		r.p.cfg.Budget = func(string) *mpbudget.Budget { return budget }
		checkAnswer(t, answer{Status: 502, Sent: 1}, r.serve(t.Context(), request("/read/")))
		if !budget.TryWithdraw() {
			t.Error("the repeat was taken from the retry budget")
		}
	})
	t.Run("a limit is learned from an answer", func(t *testing.T) {
		r, q := newLimitHarness(t, time.Second, nil, reply{status: 200, body: "whole", header: http.Header{"Limit": {"3"}}})
		r.serve(t.Context(), request("/read/"))
		if rate, _ := q.Rate("u1"); rate != 3 {
			t.Errorf("limit %v, want 3", rate)
		}
	})
	t.Run("the answer to another request says nothing", func(t *testing.T) {
		r, q := newLimitHarness(t, time.Second, nil, reply{status: 200, body: "whole", header: http.Header{"Limit": {"3"}, "For": {"other"}}}, good)
		r.serve(t.Context(), request("/read/"))
		if n := q.limits.Count(); n > 0 {
			t.Errorf("%d limits were learned", n)
		}
	})
}
