package mpproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
)

// rolling is a VM with a roll-out of app from v1 to v2. Its upstreams are a and b with v1, c and d
// with v2.
type rolling struct {
	*harness
	row      mprollout.Rollout
	hasLease bool
}

// newRolling returns a VM whose next request may go to the target, and the ones after it by share.
func newRolling(t *testing.T, share float64, replies ...reply) *rolling {
	t.Helper()
	r := &rolling{harness: newHarness(t, replies...), hasLease: true}
	r.row = mprollout.Rollout{
		Pool: "app", Target: "v2", Base: []string{"v1"}, ID: "1", StartedMs: 1, DeadlineMs: 2, State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: share,
	}
	r.p.cfg.Versions = mpversion.New(mpversion.Config{
		// By this number, the share admits a request when 0.64, 1.82 and 2.92 requests were added up.
		HasLease: func(time.Time) bool { return r.hasLease }, Random: func() float64 { return 0.7 }, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
	})
	r.setVersions("v1", "v1", "v2", "v2")
	r.keep("a", "b", "c", "d")
	r.p.cfg.Versions.SetRollouts([]mprollout.Rollout{r.row})
	split := r.p.cfg.Versions.Split("app")
	for !split.Take(1) {
		split.Arrived(1)
	}
	if split.Take(1) {
		t.Fatal("the share admits two requests, want one")
	}
	split.Return(1)
	return r
}

// keep drops the upstreams but those with the given IDs.
func (r *rolling) keep(ids ...string) {
	state, _ := r.p.cfg.State.(staticState)
	rows := slices.DeleteFunc(slices.Clone(state.list.Rows()), func(row mplist.Row) bool { return !slices.Contains(ids, row.ID) })
	r.setList(mplist.New(time.Now(), rows))
}

func (r *rolling) setList(list *mplist.List) {
	state, _ := r.p.cfg.State.(staticState)
	r.p.cfg.State = staticState{state.table, list}
	r.p.cfg.Versions.SetList(time.Now(), list)
}

func (r *rolling) shift() {
	r.row.Phase, r.row.Share, r.row.ShiftedMs = mprollout.PhaseShift, 1, 1
	r.p.cfg.Versions.SetRollouts([]mprollout.Rollout{r.row})
}

func (r *rolling) end(s mprollout.State) {
	r.row.State, r.row.EndedMs = s, 2
	r.p.cfg.Versions.SetRollouts([]mprollout.Rollout{r.row})
}

// ask sends a request that does not resemble the others.
func (r *rolling) ask(path string) answer {
	r.t.Helper()
	q := request(path)
	q.ID = fmt.Sprint("r", len(r.transport.requests))
	q.Body = []byte(q.ID)
	return r.serve(r.t.Context(), q)
}

// sent returns the versions of the upstreams to which requests were sent, in order.
func (r *rolling) sent() string {
	var out []string
	for _, q := range r.transport.requests {
		out = append(out, map[string]string{"a:80": "v1", "b:80": "v1", "c:80": "v2", "d:80": "v2"}[q.URL.Host])
	}
	return strings.Join(out, " ")
}

func checkSent(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("versions of the attempts (-want +got):\n%s", diff)
	}
}

// Guards against requests at a version that may not get them, and against retries at the target of
// what failed there.
func TestChoiceByVersion(t *testing.T) {
	none := func(*rolling) {}
	reset, failure := reply{reset: true}, reply{status: 500}
	for name, c := range map[string]struct {
		prepare func(r *rolling)
		path    string
		replies []reply
		want    string
	}{
		"trial":                                  {none, "/read/", []reply{good, good, good, good}, "v2 v1 v1 v1"},
		"trial, no lease":                        {func(r *rolling) { r.hasLease = false }, "/read/", []reply{good, good}, "v1 v1"},
		"trial, no lease, old versions gone":     {func(r *rolling) { r.hasLease = false; r.keep("c", "d") }, "/read/", []reply{good, good}, "v2 v2"},
		"trial, reset at the target":             {none, "/read/", []reply{reset, good, good}, "v2 v1 v1"},
		"trial, failure at the target":           {none, "/read/", []reply{failure, good, good}, "v2 v1 v1"},
		"trial, reset of what may not run twice": {none, "/post/", []reply{reset, good}, "v2 v1"},
		"trial, rejection at the target":         {none, "/post/", []reply{notRun, good, good}, "v2 v1 v1"},
		"trial, rejection by the old version":    {func(r *rolling) { r.ask("/read/") }, "/read/", []reply{good, notRun, good, good}, "v2 v1 v1 v1"},
		"trial, no old upstream usable":          {func(r *rolling) { r.keep("c", "d") }, "/read/", []reply{good, good}, "v2"},
		"trial, only cold upstreams":             {func(r *rolling) { r.setCold("c", "d") }, "/read/", []reply{good, good}, "v1 v1"},
		"trial, one upstream is cold":            {func(r *rolling) { r.setCold("c") }, "/read/", []reply{good, good}, "v2 v1"},
		"shift":                                  {(*rolling).shift, "/read/", []reply{good, good, good, good}, "v2 v2 v2 v2"},
		"shift, no lease":                        {func(r *rolling) { r.shift(); r.hasLease = false }, "/read/", []reply{good, good}, "v1 v1"},
		"shift, reset at the target":             {(*rolling).shift, "/read/", []reply{reset, good, good}, "v2 v1 v2"},
		"shift, rejection at the target":         {(*rolling).shift, "/read/", []reply{notRun, good, good}, "v2 v2 v2"},
		"shift, rejections at all of the target": {(*rolling).shift, "/read/", []reply{notRun, notRun, good, good}, "v2 v2 v1 v2"},
		"shift, only cold upstreams":             {func(r *rolling) { r.shift(); r.setCold("c", "d") }, "/read/", []reply{good, good}, "v1 v1"},
		"complete":                               {func(r *rolling) { r.end(mprollout.StateComplete) }, "/read/", []reply{reset, good, good}, "v2 v2 v2"},
		"complete, no lease":                     {func(r *rolling) { r.end(mprollout.StateComplete); r.hasLease = false }, "/read/", []reply{good, good}, "v2 v2"},
		"reverted":                               {func(r *rolling) { r.end(mprollout.StateReverted) }, "/read/", []reply{reset, good, good}, "v1 v1 v1"},
		"reverted in the shift":                  {func(r *rolling) { r.shift(); r.end(mprollout.StateReverted) }, "/read/", []reply{good, good}, "v1 v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRolling(t, 0.1, c.replies...)
				c.prepare(r)
				for len(r.transport.replies) > 0 {
					before := len(r.transport.requests)
					if r.ask(c.path); len(r.transport.requests) == before {
						break
					}
				}
				checkSent(t, c.want, r.sent())
			})
		})
	}
	t.Run("trial, no old upstream for what failed at the target", func(t *testing.T) {
		r := newRolling(t, 0.9, reply{reset: true}, good)
		r.keep("c", "d")
		r.p.cfg.Versions.Split("app").Return(1) // The share admits one more request.
		checkAnswer(t, answer{Status: 502, Sent: 1}, r.ask("/read/"))
	})
	t.Run("trial, what failed at the old version", func(t *testing.T) {
		r := newRolling(t, 0.999, reply{reset: true}, good)
		split := r.p.cfg.Versions.Split("app")
		for split.Take(1) {
		}
		r.ask("/read/")
		checkSent(t, "v1 v1", r.sent())
		// The share would admit the second attempt.
		split = newRolling(t, 0.999).p.cfg.Versions.Split("app")
		for split.Take(1) {
		}
		if split.Arrived(1); !split.Take(1) {
			t.Error("the share does not admit a second attempt")
		}
	})
	t.Run("trial, cold upstreams get warm", func(t *testing.T) {
		r := newRolling(t, 0.01, good, good)
		r.setCold("c", "d")
		r.ask("/read/")
		r.setVersions("v1", "v1", "v2", "v2")
		r.ask("/read/")
		checkSent(t, "v1 v2", r.sent())
	})
	t.Run("complete, no upstream of the target left", func(t *testing.T) {
		r := newRolling(t, 0.1)
		r.end(mprollout.StateComplete)
		r.keep("a", "b")
		checkAnswer(t, answer{Status: 503}, r.ask("/read/"))
	})
}

// setCold lets upstreams be in their cold start, in which this VM sends them nothing.
func (r *rolling) setCold(ids ...string) {
	state, _ := r.p.cfg.State.(staticState)
	rows := slices.Clone(state.list.Rows())
	for i := range rows {
		if slices.Contains(ids, rows[i].ID) {
			rows[i].ColdMs = 60_000
		}
	}
	r.setList(mplist.New(time.Now(), rows))
	// The rate of a cold upstream is far below one request a second.
	state.table.Pool("app").Spec().ColdRate = 0.01
}

// Guards against streams that go on at another version than the one that began them, during and after
// a roll-out.
func TestStreamsStayDuringRollout(t *testing.T) {
	short := reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}
	rest := reply{status: 200, body: "id: 2\ndata: b\n\n"}
	for name, c := range map[string]struct {
		// arrange is called once the stream has begun.
		prepare, arrange func(r *rolling)
		want             string
	}{
		"target, trial":                   {nil, nil, "v2 v2"},
		"target, lease lost":              {nil, func(r *rolling) { r.hasLease = false }, "v2 v2"},
		"target, reverted":                {nil, func(r *rolling) { r.end(mprollout.StateReverted) }, "v2 v2"},
		"target, complete":                {nil, func(r *rolling) { r.shift(); r.end(mprollout.StateComplete) }, "v2 v2"},
		"old version, trial":              {func(r *rolling) { r.ask("/read/") }, nil, "v1 v1"},
		"old version, shift":              {func(r *rolling) { r.ask("/read/") }, (*rolling).shift, "v1 v1"},
		"old version, complete, not gone": {func(r *rolling) { r.ask("/read/") }, func(r *rolling) { r.end(mprollout.StateComplete) }, "v1 v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRolling(t, 0.01, good, short, rest)
				if c.prepare == nil {
					r.transport.replies = r.transport.replies[1:]
				} else {
					c.prepare(r)
				}
				first := len(r.transport.requests)
				r.p.cfg.Origins = &fakeOrigins{ledger: mporigin.New(), noted: func() {
					if c.arrange != nil {
						c.arrange(r)
					}
				}}
				got := r.ask("/tale/")
				checkAnswer(t, answer{Status: 200, Body: events, Sent: first + 2}, got)
				checkSent(t, c.want, strings.Join(strings.Fields(r.sent())[first:], " "))
			})
		})
	}
	t.Run("resumed by the caller after the roll-out", func(t *testing.T) {
		for version, state := range map[string]mprollout.State{"v1": mprollout.StateComplete, "v2": mprollout.StateReverted} {
			r := newRolling(t, 0.1, rest)
			r.end(state)
			ledger := mporigin.New()
			r.p.cfg.Origins = &fakeOrigins{ledger: ledger}
			ledger.Note(time.Now(), mporigin.KeyOf("ana", "h", "/tale/", "r0"), mporigin.Origin{Pool: "app", Version: version}, time.Minute)
			q := request("/tale/")
			q.Resumes, q.LastEventID = "r0", "1"
			checkAnswer(t, answer{Status: 200, Body: rest.body, Sent: 1}, r.serve(t.Context(), q))
			checkSent(t, version, r.sent())
		}
	})
	t.Run("a stream that goes on at the target takes of its share", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const share, streams = 0.1, 60
			r := newRolling(t, share, slices.Repeat([]reply{short, rest}, streams)...)
			r.setBudget(2 * streams)
			for range streams {
				r.ask("/tale/")
			}
			if n := strings.Count(r.sent(), "v2"); float64(n) > share*2*streams+3 {
				t.Errorf("%d of %d attempts went to the target, want at most %v and 3 more", n, 2*streams, share)
			}
		})
	})
}

// counted returns the answers, failures and timed answers at each version.
func (r *rolling) counted() map[string][3]int {
	counts, _ := r.p.cfg.Versions.Report(time.Now())
	out := map[string][3]int{}
	for _, c := range counts {
		timed := 0
		for _, n := range c.Latency {
			timed += int(n)
		}
		if c.Answers > 0 {
			out[c.Version+" "+c.Route] = [3]int{int(c.Answers), int(c.Failures), timed}
		}
	}
	return out
}

// Guards against evidence that blames a version for what it did not do, or that misses what it did.
func TestOutcomesOfAttempts(t *testing.T) {
	slow := func(body string, truncate bool) reply {
		return reply{status: 200, body: body, truncate: truncate, delay: 20 * time.Millisecond}
	}
	ok := slow("whole", false)
	failure := [3]int{1, 1, 0}
	for name, c := range map[string]struct {
		path    string
		replies []reply
		want    map[string][3]int
	}{
		"answer":                     {"/post/", []reply{ok}, map[string][3]int{"v2 post": {1, 0, 1}}},
		"error of the caller":        {"/post/", []reply{{status: 400, delay: time.Millisecond}}, map[string][3]int{"v2 post": {1, 0, 1}}},
		"failure that is passed on":  {"/post/", []reply{{status: 500}}, map[string][3]int{"v2 post": failure}},
		"failure that is sent again": {"/read/", []reply{{status: 500}, ok}, map[string][3]int{"v2 read": failure, "v1 read": {1, 0, 1}}},
		"loss before the head":       {"/post/", []reply{{reset: true}}, map[string][3]int{"v2 post": failure}},
		"loss within the body":       {"/post/", []reply{slow("whole", true)}, map[string][3]int{"v2 post": failure}},
		"answer to another request":  {"/post/", []reply{{status: 200, header: http.Header{"For": {"r9"}}}}, map[string][3]int{"v2 post": failure}},
		"rejection":                  {"/post/", []reply{notRun, ok}, map[string][3]int{"v1 post": {1, 0, 1}}},
		"connection refused":         {"/post/", []reply{{refuse: true}, ok}, map[string][3]int{"v1 post": {1, 0, 1}}},
		"another process":            {"/post/", []reply{{status: http.StatusMisdirectedRequest}, ok}, map[string][3]int{"v1 post": {1, 0, 1}}},
		"stream":                     {"/tale/", []reply{slow(events, false)}, map[string][3]int{"v2 tale": {1, 0, 1}}},
		"stream that breaks off":     {"/tale/", []reply{slow("id: 1\n\n", true), slow("id: 2\n\n", false)}, map[string][3]int{"v2 tale": {2, 1, 1}}},
		"stream without an event":    {"/tale/", []reply{slow("", true), slow(events, false)}, map[string][3]int{"v2 tale": failure, "v1 tale": {1, 0, 1}}},
		"silence past the target":    {"/tale/", []reply{{hang: true}, slow(events, false)}, map[string][3]int{"v2 tale": failure, "v1 tale": {1, 0, 1}}},
		"no answer in time":          {"/post/", []reply{{hang: true}}, map[string][3]int{"v2 post": failure}},
		"no answer in the time left": {"/read/", []reply{{hang: true}, {hang: true}}, map[string][3]int{"v2 read": failure}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRolling(t, 0.1, c.replies...)
				r.ask(c.path)
				if diff := cmp.Diff(c.want, r.counted()); diff != "" {
					t.Errorf("answers, failures and timed answers (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// runningAt returns the attempts that run at a version.
func (r *rolling) runningAt(version string) int {
	counts, _ := r.p.cfg.Versions.Report(time.Now())
	n := 0
	for _, c := range counts {
		if c.Version == version {
			n += int(c.Running)
		}
	}
	return n
}

// Guards against old upstreams that are stopped while a stream is between two attempts, since none
// runs there at that moment.
func TestBrokenStreamCountsAsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}
		r := newRolling(t, 0.001, good, begun, reply{status: 200, body: "id: 2\ndata: b\n\n"})
		r.ask("/read/")
		q := request("/saga/")
		q.Pieces = []int{1}
		made := 0
		r.p.cfg.StageExecutor = &watchedExecutor{executor: r.executor, made: func() {
			if made++; made == 2 {
				if n := r.runningAt("v1"); n != 1 {
					t.Errorf("%d attempts run at the old version while the stages are run again, want 1", n)
				}
			}
		}}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 3}, r.serve(t.Context(), q))
		if n := r.runningAt("v1"); made != 2 || n != 0 {
			t.Errorf("stages ran %d times, and %d attempts run at the end, want 2 and 0", made, n)
		}
	})
}

// Guards against VMs that together send the target more than its share, whatever it answers.
func TestShareOfTheTargetOverVMs(t *testing.T) {
	const share, vms, requests, slack = 0.1, 9, 900, 10
	for name, answer := range map[string]reply{"answers": good, "rejections": notRun, "resets": {reset: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(4, 2))
				transport := &versionTransport{target: answer}
				var fleet []*rolling
				for range vms {
					r := newRolling(t, share)
					budget := mpbudget.New(mpbudget.Config{Ratio: 1, Burst: 100})
					r.p.cfg.Transport, r.p.cfg.Budget = transport, func(string) *mpbudget.Budget { return budget }
					r.p.cfg.Selector = mpselect.New(mpselect.Config{VM: "v"})
					fleet = append(fleet, r)
				}
				for i := range requests {
					<-time.After(time.Millisecond)
					q := request("/read/")
					q.ID, q.Body = fmt.Sprint("r", i), []byte(fmt.Sprint("r", i))
					w := httptest.NewRecorder()
					fleet[random.IntN(vms)].p.Serve(t.Context(), w, q)
					if w.Code != http.StatusOK {
						t.Fatalf("request %d ended with %d", i, w.Code)
					}
				}
				if most := share*float64(transport.all) + slack; float64(transport.atTarget) > most || transport.atTarget < requests/20 {
					t.Errorf("%d of %d attempts reached the target, want %d to %.0f", transport.atTarget, transport.all, requests/20, most)
				}
			})
		})
	}
}

// versionTransport lets the target give one answer to all requests. The old version serves them.
type versionTransport struct {
	target        reply
	all, atTarget int
}

func (t *versionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	next := good
	t.all++
	if r.URL.Host == "c:80" || r.URL.Host == "d:80" {
		t.atTarget++
		next = t.target
	}
	return (&fakeTransport{replies: []reply{next}}).RoundTrip(r)
}

// watchedExecutor calls made before each run of a stage.
type watchedExecutor struct {
	*executor
	made func()
}

func (e *watchedExecutor) Make(ctx context.Context, pool string, spec mpbatch.JobSpec) ([]mpbatch.Result, error) {
	e.made()
	return e.executor.Make(ctx, pool, spec)
}

// discard is an http.ResponseWriter that keeps nothing.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// Guards against requests of pools without a roll-out that cost more at a VM that acts on versions.
func TestAllocationsWithoutRollout(t *testing.T) {
	allocations := func(versions *mpversion.Board) float64 {
		r := newHarness(t)
		r.p.cfg.Versions = versions
		r.p.cfg.Transport = &versionTransport{}
		return testing.AllocsPerRun(2000, func() { r.p.Serve(t.Context(), discard{http.Header{}}, request("/read/")) })
	}
	versions := newRolling(t, 0.1).p.cfg.Versions
	other := mprollout.Rollout{Pool: "other", Target: "v2", ID: "1", StartedMs: 1, DeadlineMs: 2, State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.1}
	versions.SetRollouts([]mprollout.Rollout{other})
	if with, without := allocations(versions), allocations(nil); with > without {
		t.Errorf("%v allocations for a request, want at most the %v of a VM that does not act on versions", with, without)
	}
}
