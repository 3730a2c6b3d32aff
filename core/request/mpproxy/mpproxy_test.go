package mpproxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

type staticState struct {
	table *mproute.Table
	list  *mplist.List
}

func (f staticState) Table() *mproute.Table { return f.table }
func (f staticState) Usable() *mplist.Usable {
	return f.list.Usable(func(dc string) bool { return dc == "out" })
}

// executor is a StageExecutor that completes every piece immediately, or fails with the
// next error.
type executor struct {
	mu    sync.Mutex
	specs []mpbatch.JobSpec
	errs  []error
	freed []string
	// waits maps pools to the time that new pieces wait.
	waits map[string]time.Duration
}

func (e *executor) Backlog(_ time.Time, pool string, _ int) time.Duration { return e.waits[pool] }

func (e *executor) Make(_ context.Context, pool string, spec mpbatch.JobSpec) ([]mpbatch.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.specs = append(e.specs, spec)
	if len(e.errs) > 0 {
		err := e.errs[0]
		e.errs = e.errs[1:]
		return nil, err
	}
	out := make([]mpbatch.Result, spec.Count)
	for i := range out {
		out[i] = mpbatch.Result{Handle: pool + string(rune('0'+spec.Stage)) + string(rune('0'+i)), DC: "a"}
	}
	return out, nil
}

func (e *executor) Free(_ string, handles []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freed = append(e.freed, handles...)
}

// upProber is a Prober for upstreams of which those in down have ended.
type upProber struct {
	mu   sync.Mutex
	down map[string]bool
}

func (p *upProber) IsDown(_ context.Context, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down[address]
}

type harness struct {
	t         *testing.T
	transport *fakeTransport
	executor  *executor
	p         *Proxy
}

func newHarness(t *testing.T, replies ...reply) *harness {
	t.Helper()
	second := time.Second
	share := []mproute.Share{{Pool: "app", Weight: 1}}
	table, err := mproute.New(mproute.Spec{
		Version: 2,
		Pools: []mproute.PoolSpec{{Name: "app"}, {Name: "work", Batch: &mproute.BatchSpec{MaxPieces: 8, CallTime: 100 * time.Millisecond}},
			{Name: "more", Batch: &mproute.BatchSpec{MaxPieces: 8, CallTime: 100 * time.Millisecond}}},
		Routes: []mproute.RouteSpec{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: mproute.Idempotent, Timeout: second, LatencyTarget: second, MaxAttempts: 2, Shares: share},
			{Name: "post", Host: "h", Prefix: "/post/", Kind: mproute.NonIdempotent, Timeout: second, LatencyTarget: second, MaxAttempts: 1, Shares: share},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: mproute.Idempotent, Timeout: second, MaxAttempts: 1, Shares: share, Public: true},
			{Name: "tale", Host: "h", Prefix: "/tale/", Kind: mproute.Stream, Timeout: 9 * second, LatencyTarget: second, MaxAttempts: 2, Shares: share, Resumable: true},
			{Name: "saga", Host: "h", Prefix: "/saga/", Kind: mproute.Stream, Timeout: 9 * second, LatencyTarget: second, MaxAttempts: 3, Shares: share, Resumable: true,
				Stages: []mproute.StageSpec{{Pool: "work"}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: mproute.Stream, Timeout: 9 * second, LatencyTarget: second, MaxAttempts: 1, Shares: share,
				Stages: []mproute.StageSpec{{Pool: "work"}, {Pool: "work", After: []int{0}}}},
			{Name: "long", Host: "h", Prefix: "/long/", Kind: mproute.Stream, Timeout: 9 * second, LatencyTarget: 2 * second, MaxAttempts: 1, Shares: share,
				Stages: []mproute.StageSpec{{Pool: "work"}, {Pool: "more", After: []int{0}}}},
		},
		Accounts: []mproute.AccountSpec{{Name: "ana", Keys: []string{"key"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := mplist.New(time.Now(), []mplist.Row{
		{ID: "u1", Pool: "app", Address: "10.0.0.1:80", DC: "a", Slots: 4, Version: "v1"},
		{ID: "u2", Pool: "app", Address: "10.0.0.2:80", DC: "b", Slots: 4, Version: "v1"},
		{ID: "u3", Pool: "app", Address: "10.0.0.3:80", DC: "b", Leaving: true, Version: "v1"},
		{ID: "u4", Pool: "app", Address: "10.0.0.4:80", DC: "out", Version: "v1"},
	})
	r := &harness{t: t, transport: &fakeTransport{replies: replies}, executor: &executor{}}
	budget := mpbudget.New(mpbudget.Config{Ratio: 1, Burst: 10})
	r.p = New(Config{
		DC: "a", State: staticState{table, list}, Dialect: fakeDialect{}, StageExecutor: r.executor,
		Selector: mpselect.New(mpselect.Config{VM: "v"}), Budget: func(string) *mpbudget.Budget { return budget },
		Transport: r.transport, Quarantine: mpquarantine.New(), Evidence: noEvidence{}, Prober: &upProber{}, Quotas: noQuotas{}, Notices: mpnotice.New(), Origins: &fakeOrigins{ledger: mporigin.New()}, Trials: &soleArbiter{arbiter: mpquarantine.NewArbiter()},
		Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	return r
}

func request(path string) *Request {
	return &Request{ID: "r1", Method: "POST", Host: "h", Path: path, Target: path + "?q=1", Header: http.Header{}, APIKey: "key", Body: []byte("b")}
}

type answer struct {
	Status  int
	Body    string
	Aborted bool
	Sent    int
}

// serve serves one request and returns what the caller receives.
func (r *harness) serve(ctx context.Context, q *Request) (a answer) {
	r.t.Helper()
	w := httptest.NewRecorder()
	defer func() {
		if e := recover(); e != nil {
			err, _ := e.(error)
			if !errors.Is(err, http.ErrAbortHandler) {
				panic(e)
			}
			a.Aborted = true
		}
		a.Status, a.Sent = w.Code, len(r.transport.requests)
		if w.Code == http.StatusOK {
			a.Body = w.Body.String()
		}
	}()
	r.p.Serve(ctx, w, q)
	return a
}

func checkAnswer(t *testing.T, want, got answer) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

var (
	good   = reply{status: 200, body: "whole"}
	notRun = reply{status: 503, header: http.Header{"Unrun": {"1"}}}
	events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

func TestAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		want      answer
	}{
		"unknown path":                {"/none/", "key", answer{Status: 404}},
		"unknown key":                 {"/read/x", "other", answer{Status: 401}},
		"no key":                      {"/read/x", "", answer{Status: 401}},
		"a public route needs no key": {"/open/x", "", answer{Status: 200, Body: "whole", Sent: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			q := request(c.path)
			q.APIKey = c.key
			checkAnswer(t, c.want, newHarness(t, good).serve(t.Context(), q))
		})
	}
	t.Run("refusals do not expose upstream addresses", func(t *testing.T) {
		r, w := newHarness(t, reply{refuse: true}, reply{refuse: true}), httptest.NewRecorder()
		r.p.Serve(t.Context(), w, request("/post/"))
		if diff := cmp.Diff("Service Unavailable\n", w.Body.String()); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
	})
	t.Run("a VM without a plan refuses requests", func(t *testing.T) {
		r := newHarness(t)
		r.p.cfg.State = staticState{}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), request("/read/x")))
	})
}

func TestRepeats(t *testing.T) {
	reset, failed, crossed := reply{reset: true}, reply{status: 500}, reply{status: 200, header: http.Header{"For": {"r2"}}}
	short := reply{status: 200, body: "who", truncate: true}
	for name, c := range map[string]struct {
		path    string
		replies []reply
		want    answer
	}{
		"an idempotent request is sent again after a reset":              {"/read/", []reply{reset, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"an idempotent request is sent again after a failure":            {"/read/", []reply{failed, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"an idempotent request is sent again after a truncated response": {"/read/", []reply{short, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"a response to another request is not forwarded":                 {"/read/", []reply{crossed, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"the number of attempts is bounded":                              {"/read/", []reply{reset, reset, good}, answer{Status: 502, Sent: 2}},
		"the upstream's last failure is forwarded":                       {"/read/", []reply{failed, failed}, answer{Status: 500, Sent: 2}},
		"a non-idempotent request that may have run ends":                {"/post/", []reply{reset, good}, answer{Status: 502, Sent: 1}},
		"a non-idempotent request is not sent again on 500":              {"/post/", []reply{failed, good}, answer{Status: 500, Sent: 1}},
		"a truncated response to a non-idempotent request":               {"/post/", []reply{short, good}, answer{Status: 502, Sent: 1}},
		"a non-idempotent request that was not run is sent again":        {"/post/", []reply{notRun, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"a request without a connection has not run":                     {"/post/", []reply{{refuse: true}, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"a request that no upstream ran is refused as not run":           {"/post/", []reply{notRun, notRun}, answer{Status: 503, Sent: 2}},
		"a request that may have run is not refused as not run":          {"/read/", []reply{reset, notRun}, answer{Status: 502, Sent: 2}},
		"a stream that fails before its first event is sent again":       {"/tale/", []reply{reset, {status: 200, body: events}}, answer{Status: 200, Body: events, Sent: 2}},
		"a stream that is not resumable is cut off":                      {"/once/", []reply{{status: 200, body: events, truncate: true}}, answer{Status: 200, Body: events, Aborted: true, Sent: 1}},
		"a stream that fails twice is cut off":                           {"/tale/", []reply{{status: 200, body: "id: 1\n\n", truncate: true}, reset}, answer{Status: 200, Body: "id: 1\n\n", Aborted: true, Sent: 2}},
		"a resumed stream has complete events only, each exactly once": {"/tale/", []reply{
			{status: 200, body: "id: 1\ndata: a\n\nid: 2\nda", truncate: true}, {status: 200, body: "id: 2\ndata: b\n\n"},
		}, answer{Status: 200, Body: events, Sent: 2}},
		"a resumed stream that starts over is cut off": {"/tale/", []reply{
			{status: 200, body: "id: 9\ndata: a\n\n", truncate: true}, {status: 200, body: "id: 8\ndata: z\n\nid: 9\ndata: a\n\nid: 10\ndata: b\n\n"},
		}, answer{Status: 200, Body: "id: 9\ndata: a\n\n", Aborted: true, Sent: 2}},
		"a resumed stream that repeats the last event is cut off": {"/tale/", []reply{
			{status: 200, body: "id: x\ndata: a\n\n", truncate: true}, {status: 200, body: "id: x\ndata: a\n\n"},
		}, answer{Status: 200, Body: "id: x\ndata: a\n\n", Aborted: true, Sent: 2}},
		"a resumed stream goes on with larger numbers": {"/tale/", []reply{
			{status: 200, body: "id: 9\ndata: a\n\n", truncate: true}, {status: 200, body: "id: 10\ndata: b\n\n"},
		}, answer{Status: 200, Body: "id: 9\ndata: a\n\nid: 10\ndata: b\n\n", Sent: 2}},
		"a stream whose events have no IDs is not resumed": {"/tale/", []reply{
			{status: 200, body: "data: a\n\n", truncate: true}, {status: 200, body: "data: a\n\ndata: b\n\n"},
		}, answer{Status: 200, Body: "data: a\n\n", Aborted: true, Sent: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			q := request(c.path)
			if c.path == "/once/" {
				q.Pieces = []int{1, 1}
			}
			checkAnswer(t, c.want, newHarness(t, c.replies...).serve(t.Context(), q))
		})
	}
}

func TestResumeNamesTheLastEvent(t *testing.T) {
	r := newHarness(t, reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"})
	checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), request("/tale/")))
	if got := r.transport.requests[1].Header.Get("Last"); got != "1" {
		t.Errorf("resumed after event %q, want 1", got)
	}
}

func TestAttempt(t *testing.T) {
	r := newHarness(t, good)
	q := request("/post/")
	q.Header = http.Header{"Connection": {"x"}, "Te": {"trailers"}, "Other": {"kept"}}
	r.serve(t.Context(), q)
	got := r.transport.requests[0]
	if got.URL.RequestURI() != "/post/?q=1" || got.Host != "h" || got.Header.Get("Other") != "kept" || got.Header.Get("Account") != "ana" {
		t.Errorf("sent %s to host %s with %v", got.URL.RequestURI(), got.Host, got.Header)
	}
	if got.Header.Get("Te") != "" || got.Header.Get("Connection") != "" {
		t.Errorf("hop-by-hop fields were forwarded: %v", got.Header)
	}
	if !got.Close {
		t.Error("a non-idempotent request uses a keep-alive connection")
	}
}

func TestTime(t *testing.T) {
	t.Run("an unresponsive upstream is abandoned while another attempt is allowed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			checkAnswer(t, answer{Status: 200, Body: "whole", Sent: 2}, newHarness(t, reply{hang: true}, good).serve(t.Context(), request("/read/")))
		})
	})
	t.Run("a non-idempotent request ends at its route's timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			checkAnswer(t, answer{Status: 504, Sent: 1}, newHarness(t, reply{hang: true}).serve(t.Context(), request("/post/")))
			if took := time.Since(begun); took > time.Second {
				t.Errorf("the final response came after %v", took)
			}
		})
	})
	t.Run("a caller's deadline is kept", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := request("/post/")
			q.Timeout = 200 * time.Millisecond
			begun := time.Now()
			checkAnswer(t, answer{Status: 504, Sent: 1}, newHarness(t, reply{hang: true}).serve(t.Context(), q))
			if took := time.Since(begun); took > q.Timeout {
				t.Errorf("the final response came after %v", took)
			}
		})
	})
	t.Run("the attempt is cancelled when the caller disconnects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := newHarness(t, reply{hang: true}, good)
			time.AfterFunc(100*time.Millisecond, cancel)
			if got := r.serve(ctx, request("/read/")); !got.Aborted {
				t.Errorf("a caller that closed its sending side gets %+v", got)
			}
			if len(r.transport.requests) != 1 || r.transport.requests[0].Context().Err() == nil {
				t.Errorf("%d attempts, want 1 that is cancelled", len(r.transport.requests))
			}
		})
	})
}

func TestStages(t *testing.T) {
	staged := func() *Request {
		q := request("/once/")
		q.Pieces, q.PieceKey = []int{2, 1}, "pk"
		return q
	}
	stream := reply{status: 200, body: events}
	t.Run("each stage gets all results of the one before, the request those of the last", func(t *testing.T) {
		r := newHarness(t, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), staged()))
		if diff := cmp.Diff([]string{"work00", "work01"}, r.executor.specs[1].Inputs); diff != "" {
			t.Errorf("inputs (-want +got):\n%s", diff)
		}
		if r.executor.specs[0].Key != "pk" || r.executor.specs[1].Key != "" {
			t.Errorf("keys %q and %q", r.executor.specs[0].Key, r.executor.specs[1].Key)
		}
		if got := r.transport.requests[0].Header.Get("Inputs"); got != "work10" {
			t.Errorf("the request reads %q", got)
		}
		if diff := cmp.Diff([]string{"work00", "work01", "work10"}, r.executor.freed); diff != "" {
			t.Errorf("freed (-want +got):\n%s", diff)
		}
	})
	t.Run("stages are run again once when results are lost", func(t *testing.T) {
		r := newHarness(t, reply{status: 409}, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), staged()))
		r = newHarness(t, stream)
		r.executor.errs = []error{mperror.ErrNotFound}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), staged()))
	})
	t.Run("a request whose stages are late is refused, and has not run", func(t *testing.T) {
		r := newHarness(t)
		r.executor.errs = []error{mperror.ErrDeadline}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), staged()))
	})
	t.Run("Retry-After covers the queued work", func(t *testing.T) {
		for wait, want := range map[time.Duration]string{0: "0.500", 1700 * time.Millisecond: "1.700", time.Minute: "5.000"} {
			r, w := newHarness(t), httptest.NewRecorder()
			r.executor.errs = []error{mperror.Wrap(&mpbatch.LateError{Wait: wait}, "owner")}
			r.p.Serve(t.Context(), w, staged())
			if got := w.Header().Get("Retry-After"); got != want {
				t.Errorf("Retry-After %s after a wait of %v, want %s", got, wait, want)
			}
		}
	})
	// In bursts on the busiest days of both deployments, requests passed the first stage,
	// which has spare servers, and were refused at the second stage after a second or more.
	t.Run("a request that will be late at a later stage is refused on arrival", func(t *testing.T) {
		for name, c := range map[string]struct {
			work, more time.Duration
			stages     int
		}{
			"calm":                                  {0, 0, 2},
			"a long queue at the second stage":      {0, 1900 * time.Millisecond, 0},
			"two queues that are too long together": {900 * time.Millisecond, 900 * time.Millisecond, 0},
			"a queue that leaves enough time":       {0, 1200 * time.Millisecond, 2},
			"two queues that leave enough together": {500 * time.Millisecond, 700 * time.Millisecond, 2},
		} {
			t.Run(name, func(t *testing.T) {
				r, q := newHarness(t, reply{status: 200, body: events}), request("/long/")
				q.Pieces = []int{1, 1}
				r.executor.waits = map[string]time.Duration{"work": c.work, "more": c.more}
				r.serve(t.Context(), q)
				if diff := cmp.Diff(c.stages, len(r.executor.specs)); diff != "" {
					t.Errorf("stages run (-want +got):\n%s", diff)
				}
			})
		}
	})
	t.Run("a request that is late anyway but waits little is accepted", func(t *testing.T) {
		r, q := newHarness(t, reply{status: 200, body: events}), staged()
		r.executor.waits = map[string]time.Duration{"work": 390 * time.Millisecond}
		q.Prompt = []PromptPart{{ID: "x", Tokens: 100_000}}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), q))
	})
	t.Run("an excessive number of pieces allocates no memory", func(t *testing.T) {
		r, q := newHarness(t), staged()
		q.Pieces = []int{1 << 40, 1}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), q))
		if len(r.executor.specs) > 0 {
			t.Errorf("a job of %d pieces was sent to the owner", r.executor.specs[0].Count)
		}
	})
	t.Run("piece counts for another number of stages are refused", func(t *testing.T) {
		q := staged()
		q.Pieces = []int{1}
		checkAnswer(t, answer{Status: 503}, newHarness(t).serve(t.Context(), q))
	})
}
