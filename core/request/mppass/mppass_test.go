package mppass

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
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
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// reply is how a fake upstream treats one attempt.
type reply struct {
	status int
	header http.Header
	body   string
	// breaks ends the body without its end; reset ends the attempt without an answer.
	breaks bool
	reset  bool
	// refuse fails before a connection stands; hang never answers.
	refuse bool
	hang   bool
	after  time.Duration
}

// upstreams plays the scripted replies in order and records the attempts.
type upstreams struct {
	mu      sync.Mutex
	replies []reply
	seen    []*http.Request
}

type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (u *upstreams) RoundTrip(r *http.Request) (*http.Response, error) {
	u.mu.Lock()
	next := u.replies[0]
	u.replies = u.replies[1:]
	u.seen = append(u.seen, r)
	u.mu.Unlock()
	if next.refuse {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(next.after):
	}
	if next.hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if next.reset {
		return nil, errors.New("connection reset")
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.breaks {
		body = brokenBody{body}
	}
	h := next.header
	if h == nil {
		h = http.Header{}
	}
	return &http.Response{StatusCode: next.status, Status: http.StatusText(next.status), Header: h, Body: io.NopCloser(body)}, nil
}

// plain is a dialect with one header for each statement.
type plain struct{}

func (plain) Header(a Attempt) http.Header {
	h := a.Request.Header.Clone()
	h.Set("Inputs", strings.Join(a.Inputs, ","))
	h.Set("Account", a.Account)
	h.Set("Last", a.LastEvent)
	return h
}
func (plain) NotRun(_ int, h http.Header) bool { return h.Get("Unrun") != "" }
func (plain) Answers(r *Request, h http.Header) bool {
	return h.Get("For") == "" || h.Get("For") == r.ID
}
func (plain) LacksInputs(status int, _ http.Header) bool { return status == http.StatusConflict }

type fixed struct {
	table *mproute.Table
	list  *mplist.List
}

func (f fixed) Table() *mproute.Table { return f.table }
func (f fixed) Usable() *mplist.Usable {
	return f.list.Usable(func(dc string) bool { return dc == "out" })
}

// maker makes every piece at once, or fails with the next error.
type maker struct {
	mu    sync.Mutex
	asks  []mpbatch.JobSpec
	errs  []error
	freed []string
	// waits is how long new pieces wait, by pool.
	waits map[string]time.Duration
}

func (m *maker) Backlog(_ time.Time, pool string, _ int) time.Duration { return m.waits[pool] }

func (m *maker) Make(_ context.Context, pool string, a mpbatch.JobSpec) ([]mpbatch.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asks = append(m.asks, a)
	if len(m.errs) > 0 {
		err := m.errs[0]
		m.errs = m.errs[1:]
		return nil, err
	}
	out := make([]mpbatch.Result, a.Count)
	for i := range out {
		out[i] = mpbatch.Result{Handle: pool + string(rune('0'+a.Stage)) + string(rune('0'+i)), DC: "a"}
	}
	return out, nil
}

func (m *maker) Free(_ string, handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freed = append(m.freed, handles...)
}

type rig struct {
	t     *testing.T
	ups   *upstreams
	maker *maker
	p     *Passer
}

func newRig(t *testing.T, replies ...reply) *rig {
	t.Helper()
	second := time.Second
	share := []mproute.Share{{Pool: "app", Weight: 1}}
	table, err := mproute.New(mproute.Spec{
		Version: 2,
		Pools: []mproute.PoolSpec{{Name: "app"}, {Name: "work", Batch: &mproute.BatchSpec{Size: 8, Call: 100 * time.Millisecond}},
			{Name: "more", Batch: &mproute.BatchSpec{Size: 8, Call: 100 * time.Millisecond}}},
		Routes: []mproute.RouteSpec{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: mproute.Idempotent, Timeout: second, Aim: second, Attempts: 2, Shares: share},
			{Name: "post", Host: "h", Prefix: "/post/", Kind: mproute.NonIdempotent, Timeout: second, Aim: second, Attempts: 1, Shares: share},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: mproute.Idempotent, Timeout: second, Attempts: 1, Shares: share, Public: true},
			{Name: "tale", Host: "h", Prefix: "/tale/", Kind: mproute.Stream, Timeout: 9 * second, Aim: second, Attempts: 2, Shares: share, Resumable: true},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: mproute.Stream, Timeout: 9 * second, Aim: second, Attempts: 1, Shares: share,
				Stages: []mproute.StageSpec{{Pool: "work"}, {Pool: "work", After: []int{0}}}},
			{Name: "long", Host: "h", Prefix: "/long/", Kind: mproute.Stream, Timeout: 9 * second, Aim: 2 * second, Attempts: 1, Shares: share,
				Stages: []mproute.StageSpec{{Pool: "work"}, {Pool: "more", After: []int{0}}}},
		},
		Accounts: []mproute.AccountSpec{{Name: "ana", Keys: []string{"key"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := mplist.New(time.Now(), []mplist.Row{
		{ID: "u1", Pool: "app", Address: "10.0.0.1:80", DC: "a", Slots: 4},
		{ID: "u2", Pool: "app", Address: "10.0.0.2:80", DC: "b", Slots: 4},
		{ID: "u3", Pool: "app", Address: "10.0.0.3:80", DC: "b", Leaving: true},
		{ID: "u4", Pool: "app", Address: "10.0.0.4:80", DC: "out"},
	})
	r := &rig{t: t, ups: &upstreams{replies: replies}, maker: &maker{}}
	budget := mpbudget.New(mpbudget.Config{Ratio: 1, Burst: 10})
	r.p = New(Config{
		DC: "a", State: fixed{table, list}, Dialect: plain{}, Maker: r.maker,
		Selector: mpselect.New(mpselect.Config{VM: "v"}), Budget: func(string) *mpbudget.Budget { return budget },
		Client: r.ups, Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	return r
}

func request(path string) *Request {
	return &Request{ID: "r1", Method: "POST", Host: "h", Path: path, Target: path + "?q=1", Header: http.Header{}, Key: "key", Body: []byte("b")}
}

type answer struct {
	Status  int
	Body    string
	Aborted bool
	Sent    int
}

// serve passes one request on and returns what its caller gets.
func (r *rig) serve(ctx context.Context, q *Request) (a answer) {
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
		a.Status, a.Sent = w.Code, len(r.ups.seen)
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
	unrun  = reply{status: 503, header: http.Header{"Unrun": {"1"}}}
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
			q.Key = c.key
			checkAnswer(t, c.want, newRig(t, good).serve(t.Context(), q))
		})
	}
	t.Run("callers are not told addresses of upstreams", func(t *testing.T) {
		r, w := newRig(t, reply{refuse: true}, reply{refuse: true}), httptest.NewRecorder()
		r.p.Serve(t.Context(), w, request("/post/"))
		if diff := cmp.Diff("Service Unavailable\n", w.Body.String()); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
	})
	t.Run("a VM without a plan refuses", func(t *testing.T) {
		r := newRig(t)
		r.p.cfg.State = fixed{}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), request("/read/x")))
	})
}

func TestRepeats(t *testing.T) {
	reset, failed, crossed := reply{reset: true}, reply{status: 500}, reply{status: 200, header: http.Header{"For": {"r2"}}}
	short := reply{status: 200, body: "who", breaks: true}
	for name, c := range map[string]struct {
		path    string
		replies []reply
		want    answer
	}{
		"an idempotent request is sent again after a reset":   {"/read/", []reply{reset, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"an idempotent request is sent again after a failure": {"/read/", []reply{failed, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"an idempotent request is sent again after half":      {"/read/", []reply{short, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"an answer to another request is not passed on":       {"/read/", []reply{crossed, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"the number of attempts is bounded":                   {"/read/", []reply{reset, reset, good}, answer{Status: 502, Sent: 2}},
		"the upstream's last failure is passed on":            {"/read/", []reply{failed, failed}, answer{Status: 500, Sent: 2}},
		"a non-idempotent request that may have run ends":     {"/post/", []reply{reset, good}, answer{Status: 502, Sent: 1}},
		"a non-idempotent request is not sent again on 500":   {"/post/", []reply{failed, good}, answer{Status: 500, Sent: 1}},
		"half an answer to a non-idempotent request":          {"/post/", []reply{short, good}, answer{Status: 502, Sent: 1}},
		"a non-idempotent request that was not run goes on":   {"/post/", []reply{unrun, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"one without a connection has not run":                {"/post/", []reply{{refuse: true}, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"where none ran it the refusal says so":               {"/post/", []reply{unrun, unrun}, answer{Status: 503, Sent: 2}},
		"one that may have run is not refused as not run":     {"/read/", []reply{reset, unrun}, answer{Status: 502, Sent: 2}},
		"a stream that breaks before its first event goes on": {"/tale/", []reply{reset, {status: 200, body: events}}, answer{Status: 200, Body: events, Sent: 2}},
		"a stream that may not be resumed ends as broken":     {"/once/", []reply{{status: 200, body: events, breaks: true}}, answer{Status: 200, Body: events, Aborted: true, Sent: 1}},
		"a stream that breaks twice ends as broken":           {"/tale/", []reply{{status: 200, body: "id: 1\n\n", breaks: true}, reset}, answer{Status: 200, Body: "id: 1\n\n", Aborted: true, Sent: 2}},
		"a resumed stream has whole events only, and each once": {"/tale/", []reply{
			{status: 200, body: "id: 1\ndata: a\n\nid: 2\nda", breaks: true}, {status: 200, body: "id: 2\ndata: b\n\n"},
		}, answer{Status: 200, Body: events, Sent: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			q := request(c.path)
			if c.path == "/once/" {
				q.Pieces = []int{1, 1}
			}
			checkAnswer(t, c.want, newRig(t, c.replies...).serve(t.Context(), q))
		})
	}
}

func TestResumeNamesTheLastEvent(t *testing.T) {
	r := newRig(t, reply{status: 200, body: "id: 1\ndata: a\n\n", breaks: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"})
	checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), request("/tale/")))
	if got := r.ups.seen[1].Header.Get("Last"); got != "1" {
		t.Errorf("resumed after event %q, want 1", got)
	}
}

func TestAttempt(t *testing.T) {
	r := newRig(t, good)
	q := request("/post/")
	q.Header = http.Header{"Connection": {"x"}, "Te": {"trailers"}, "Other": {"kept"}}
	r.serve(t.Context(), q)
	got := r.ups.seen[0]
	if got.URL.RequestURI() != "/post/?q=1" || got.Host != "h" || got.Header.Get("Other") != "kept" || got.Header.Get("Account") != "ana" {
		t.Errorf("sent %s to host %s with %v", got.URL.RequestURI(), got.Host, got.Header)
	}
	if got.Header.Get("Te") != "" || got.Header.Get("Connection") != "" {
		t.Errorf("hop-by-hop fields were passed on: %v", got.Header)
	}
	if !got.Close {
		t.Error("a non-idempotent request shares a kept connection")
	}
}

func TestTime(t *testing.T) {
	t.Run("a silent upstream is left while another may be tried", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			checkAnswer(t, answer{Status: 200, Body: "whole", Sent: 2}, newRig(t, reply{hang: true}, good).serve(t.Context(), request("/read/")))
		})
	})
	t.Run("a non-idempotent request ends at its route's timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			checkAnswer(t, answer{Status: 504, Sent: 1}, newRig(t, reply{hang: true}).serve(t.Context(), request("/post/")))
			if took := time.Since(begun); took > time.Second {
				t.Errorf("the final answer came after %v", took)
			}
		})
	})
	t.Run("a caller's deadline is kept", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := request("/post/")
			q.Left = 200 * time.Millisecond
			begun := time.Now()
			checkAnswer(t, answer{Status: 504, Sent: 1}, newRig(t, reply{hang: true}).serve(t.Context(), q))
			if took := time.Since(begun); took > q.Left {
				t.Errorf("the final answer came after %v", took)
			}
		})
	})
	t.Run("the attempt ends when the caller has gone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := newRig(t, reply{hang: true}, good)
			time.AfterFunc(100*time.Millisecond, cancel)
			if got := r.serve(ctx, request("/read/")); !got.Aborted {
				t.Errorf("a caller that closed its sending side gets %+v", got)
			}
			if len(r.ups.seen) != 1 || r.ups.seen[0].Context().Err() == nil {
				t.Errorf("%d attempts, the first not ended", len(r.ups.seen))
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
		r := newRig(t, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), staged()))
		if diff := cmp.Diff([]string{"work00", "work01"}, r.maker.asks[1].Inputs); diff != "" {
			t.Errorf("inputs (-want +got):\n%s", diff)
		}
		if r.maker.asks[0].Key != "pk" || r.maker.asks[1].Key != "" {
			t.Errorf("keys %q and %q", r.maker.asks[0].Key, r.maker.asks[1].Key)
		}
		if got := r.ups.seen[0].Header.Get("Inputs"); got != "work10" {
			t.Errorf("the request reads %q", got)
		}
		if diff := cmp.Diff([]string{"work00", "work01", "work10"}, r.maker.freed); diff != "" {
			t.Errorf("freed (-want +got):\n%s", diff)
		}
	})
	t.Run("results that are gone are made again once", func(t *testing.T) {
		r := newRig(t, reply{status: 409}, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), staged()))
		r = newRig(t, stream)
		r.maker.errs = []error{mperror.ErrNotFound}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), staged()))
	})
	t.Run("a request whose stages are late is refused, and has not run", func(t *testing.T) {
		r := newRig(t)
		r.maker.errs = []error{mperror.ErrLate}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), staged()))
	})
	t.Run("it is told when the work ahead will be done", func(t *testing.T) {
		for wait, want := range map[time.Duration]string{0: "0.500", 1700 * time.Millisecond: "1.700", time.Minute: "5.000"} {
			r, w := newRig(t), httptest.NewRecorder()
			r.maker.errs = []error{mperror.Wrap(&mpbatch.LateError{Wait: wait}, "owner")}
			r.p.Serve(t.Context(), w, staged())
			if got := w.Header().Get("Retry-After"); got != want {
				t.Errorf("told %s after a wait of %v, want %s", got, wait, want)
			}
		}
	})
	// Bursts of both users' heaviest days: requests passed the first stage, which has
	// servers to spare, and were refused at the second after a second or more.
	t.Run("one that will be late at a later stage is refused at arrival", func(t *testing.T) {
		for name, c := range map[string]struct {
			work, more time.Duration
			asks       int
		}{
			"calm":                                  {0, 0, 2},
			"a long queue at the second stage":      {0, 1900 * time.Millisecond, 0},
			"two queues that are too long together": {900 * time.Millisecond, 900 * time.Millisecond, 0},
			"a queue that leaves enough time":       {0, 1200 * time.Millisecond, 2},
			"two queues that leave enough together": {500 * time.Millisecond, 700 * time.Millisecond, 2},
		} {
			t.Run(name, func(t *testing.T) {
				r, q := newRig(t, reply{status: 200, body: events}), request("/long/")
				q.Pieces = []int{1, 1}
				r.maker.waits = map[string]time.Duration{"work": c.work, "more": c.more}
				r.serve(t.Context(), q)
				if diff := cmp.Diff(c.asks, len(r.maker.asks)); diff != "" {
					t.Errorf("stages asked for (-want +got):\n%s", diff)
				}
			})
		}
	})
	t.Run("one that is late anyway but waits little is made", func(t *testing.T) {
		r, q := newRig(t, reply{status: 200, body: events}), staged()
		r.maker.waits = map[string]time.Duration{"work": 390 * time.Millisecond}
		q.Prompt = []Part{{ID: "x", Tokens: 100_000}}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), q))
	})
	t.Run("a number of pieces without measure takes no memory", func(t *testing.T) {
		r, q := newRig(t), staged()
		q.Pieces = []int{1 << 40, 1}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), q))
		if len(r.maker.asks) > 0 {
			t.Errorf("the owner was asked for %d pieces", r.maker.asks[0].Count)
		}
	})
	t.Run("pieces for another number of stages are refused", func(t *testing.T) {
		q := staged()
		q.Pieces = []int{1}
		checkAnswer(t, answer{Status: 503}, newRig(t).serve(t.Context(), q))
	})
}
