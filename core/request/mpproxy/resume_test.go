package mpproxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpquarantine"
)

// Guards against a stream that has begun and gets something else than the rest of its events:
// the text or the head of an error, or an end that looks complete.
func TestBrokenStreamIsCutOff(t *testing.T) {
	begun := reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}
	status := func(n int, h http.Header) reply { return reply{status: n, header: h, body: "error\n\n"} }
	for name, c := range map[string]struct {
		replies []reply
		// prepare is called before the request, and arrange once the stream has begun.
		prepare, arrange func(r *harness)
		sent             int
	}{
		"400":                        {[]reply{begun, status(400, nil), status(400, nil)}, nil, nil, 3},
		"500":                        {[]reply{begun, status(500, nil), status(500, nil)}, nil, nil, 3},
		"503, not run":               {[]reply{begun, notRun, notRun}, nil, nil, 4},
		"409, inputs lost":           {[]reply{begun, status(409, nil), status(409, nil)}, nil, nil, 2},
		"redirection":                {[]reply{begun, status(302, nil), status(302, nil)}, nil, nil, 3},
		"204":                        {[]reply{begun, status(204, nil), status(204, nil)}, nil, nil, 3},
		"200 with text":              {[]reply{begun, status(200, nil), status(200, nil)}, nil, nil, 3},
		"answer to another request":  {[]reply{begun, {status: 200, header: http.Header{"For": {"r2"}}, body: "id: 2\n\n"}, begun}, nil, nil, 3},
		"reset":                      {[]reply{begun, {reset: true}, {reset: true}}, nil, nil, 3},
		"connection refused":         {[]reply{begun, {refuse: true}, {refuse: true}}, nil, nil, 4},
		"no upstream left":           {[]reply{begun}, nil, func(r *harness) { r.setVersions("v2") }, 1},
		"retry budget exhausted":     {[]reply{begun}, func(r *harness) { r.setBudget(0) }, nil, 1},
		"stages cannot be run again": {[]reply{begun}, nil, func(r *harness) { r.executor.fail(mperror.ErrFull) }, 1},
		"stages late":                {[]reply{begun}, nil, func(r *harness) { r.executor.fail(mperror.ErrDeadline) }, 1},
		"results lost once more":     {[]reply{begun}, nil, func(r *harness) { r.executor.fail(mperror.ErrNotFound); r.executor.fail(mperror.ErrNotFound) }, 1},
		"convicted of crashing meanwhile": {[]reply{begun}, nil, func(r *harness) {
			f := traitsOf(request("/saga/")).Content
			r.p.cfg.Quarantine.Learn(time.Now(), f, mpquarantine.Convicted)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				last := c.replies[len(c.replies)-1]
				r := newHarness(t, append(c.replies, last, last, last)...)
				r.setVersions("v1", "v1", "v1", "v1")
				if c.prepare != nil {
					c.prepare(r)
				}
				r.p.cfg.Origins = &fakeOrigins{ledger: mporigin.New(), noted: func() {
					if c.arrange != nil {
						c.arrange(r)
					}
				}}
				q := request("/saga/")
				q.Pieces = []int{1}
				checkAnswer(t, answer{Status: 200, Body: begun.body, Aborted: true, Sent: c.sent}, r.serve(t.Context(), q))
			})
		})
	}
}

// Guards against a stream that is resumed without the results of its stages, which are freed at
// its first event: upstreams answer 400, and the stream ends although it could go on.
func TestResumedStreamHasItsInputs(t *testing.T) {
	r := newHarness(t, reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"})
	q := request("/saga/")
	q.Pieces = []int{2}
	checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), q))
	for i, sent := range r.transport.requests {
		if diff := cmp.Diff("work00,work01", sent.Header.Get("Inputs")); diff != "" {
			t.Errorf("inputs of attempt %d (-want +got):\n%s", i+1, diff)
		}
	}
	if got := len(r.executor.freed); got != 4 {
		t.Errorf("%d results were freed, want 4", got)
	}
}

// Guards against a request that runs at more upstreams than its route allows, since stages that
// are run again make the count begin anew.
func TestRunsAreCountedOverStages(t *testing.T) {
	begun := func(n string) reply { return reply{status: 200, body: "id: " + n + "\n\n", truncate: true} }
	r := newHarness(t, begun("1"), begun("2"), begun("3"), begun("4"))
	r.setVersions("v1", "v1", "v1", "v1")
	q := request("/saga/")
	q.Pieces = []int{1}
	got := r.serve(t.Context(), q)
	if got.Sent > 3 || !got.Aborted {
		t.Errorf("sent %d times, want at most 3, and cut off: %v", got.Sent, got.Aborted)
	}
}

func (r *harness) setBudget(tokens float64) {
	budget := mpbudget.New(mpbudget.Config{Burst: tokens})
	r.p.cfg.Budget = func(string) *mpbudget.Budget { return budget }
}

// fail lets the next run of a stage end with err.
func (e *executor) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.errs = append(e.errs, err)
}

// Guards against streams that have begun and are refused in an overload for being late, while new
// ones are served: they miss the latency target in any case, which their first event has met.
func TestBegunStreamIsNotLate(t *testing.T) {
	const wait = 1500 * time.Millisecond
	first, rest := reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"}
	overloaded := func(r *harness) { r.executor.waits = map[string]time.Duration{"work": wait} }
	ask := func(t *testing.T, r *harness, resumes string) answer {
		q := request("/saga/")
		q.Pieces, q.Resumes = []int{1}, resumes
		if resumes != "" {
			q.LastEventID = "1"
		}
		return r.serve(t.Context(), q)
	}
	t.Run("a new stream", func(t *testing.T) {
		r := newHarness(t)
		overloaded(r)
		checkAnswer(t, answer{Status: 503}, ask(t, r, ""))
	})
	t.Run("resumed by its caller", func(t *testing.T) {
		r := newHarness(t, rest)
		overloaded(r)
		r.p.cfg.Origins = &fakeOrigins{ledger: mporigin.New(), sole: "v1"}
		checkAnswer(t, answer{Status: 200, Body: rest.body, Sent: 1}, ask(t, r, "r0"))
	})
	t.Run("resumed within its response", func(t *testing.T) {
		r := newHarness(t, first, rest)
		r.p.cfg.Origins = &fakeOrigins{ledger: mporigin.New(), noted: func() { overloaded(r) }}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, ask(t, r, ""))
	})
}
