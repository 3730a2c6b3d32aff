package mpproxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// fakeOrigins is an Origins with one ledger for all VMs.
type fakeOrigins struct {
	ledger *mporigin.Ledger
	// sole is the only version that there has been; empty if that is not known.
	sole string
	// noted is called before an origin counts as recorded.
	noted func()
}

func (o *fakeOrigins) Note(_ context.Context, key mporigin.Key, origin mporigin.Origin, ttl time.Duration) {
	if o.noted != nil {
		o.noted()
	}
	o.ledger.Note(time.Now(), key, origin, ttl)
}

func (o *fakeOrigins) Find(_ context.Context, key mporigin.Key) (mporigin.Origin, bool) {
	return o.ledger.Find(time.Now(), key)
}

func (o *fakeOrigins) Sole(context.Context, mporigin.Key, string, time.Duration) (string, bool) {
	return o.sole, o.sole != ""
}

// setVersions replaces the upstreams by ones with the given versions.
func (r *harness) setVersions(versions ...string) {
	var rows []mplist.Row
	for i, v := range versions {
		id := string(rune('a' + i))
		rows = append(rows, mplist.Row{ID: id, Pool: "app", Address: id + ":80", DC: "a", Slots: 4, Version: v})
	}
	state, _ := r.p.cfg.State.(staticState)
	r.p.cfg.State = staticState{state.table, mplist.New(time.Now(), rows)}
}

// Guards against a resumed stream that goes on at another version than the one that began it, or
// at a version that nobody knows.
func TestResumedStreams(t *testing.T) {
	rest := reply{status: 200, body: "id: 3\ndata: c\n\n"}
	began := mporigin.Origin{Pool: "app", Version: "v2"}
	refused := answer{Status: 503}
	goesOn := answer{Status: 200, Body: rest.body, Sent: 1}
	for name, c := range map[string]struct {
		change   func(q *Request)
		origin   mporigin.Origin
		versions []string
		sole     string
		want     answer
	}{
		"at the version that began it":               {nil, began, []string{"v1", "v1", "v2"}, "", goesOn},
		"no upstream of the version is left":         {nil, began, []string{"v1", "v1", "v3"}, "", refused},
		"the versions are unknown":                   {nil, mporigin.Origin{Pool: "app"}, []string{"", ""}, "", refused},
		"the pool is not the route's any more":       {nil, mporigin.Origin{Pool: "work", Version: "v2"}, []string{"v2"}, "", refused},
		"a request that nobody sent":                 {func(q *Request) { q.Resumes = "r9" }, began, []string{"v2"}, "", refused},
		"itself":                                     {func(q *Request) { q.Resumes = q.ID }, began, []string{"v2"}, "", refused},
		"a stream of another path":                   {func(q *Request) { q.Path = "/tale/other" }, began, []string{"v2"}, "", refused},
		"no request is named":                        {func(q *Request) { q.Resumes = "" }, began, []string{"v2"}, "", refused},
		"no request is named, one version":           {func(q *Request) { q.Resumes = "" }, began, []string{"v2"}, "v2", goesOn},
		"a request that nobody sent, one version":    {func(q *Request) { q.Resumes = "r9" }, began, []string{"v2"}, "v2", goesOn},
		"no last event: the stream begins once more": {func(q *Request) { q.LastEventID = "" }, began, []string{"v1"}, "", goesOn},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, rest)
			r.setVersions(c.versions...)
			ledger := mporigin.New()
			r.p.cfg.Origins = &fakeOrigins{ledger: ledger, sole: c.sole}
			q := request("/tale/")
			ledger.Note(time.Now(), mporigin.KeyOf("ana", q.Host, q.Path, "r0"), c.origin, time.Minute)
			ledger.Note(time.Now(), mporigin.KeyOf("bob", q.Host, q.Path, "r9"), began, time.Minute)
			q.Resumes, q.LastEventID = "r0", "2"
			if c.change != nil {
				c.change(q)
			}
			checkAnswer(t, c.want, r.serve(t.Context(), q))
		})
	}
}

// Guards against a stream that goes on at another version within its response, and against one
// that waits for its deadline if no upstream of its version is left.
func TestStreamStaysAtItsVersion(t *testing.T) {
	short := reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}
	rest := reply{status: 200, body: "id: 2\ndata: b\n\n"}
	cut := answer{Status: 200, Body: short.body, Aborted: true, Sent: 1}
	for name, c := range map[string]struct {
		versions []string
		replies  []reply
		want     answer
	}{
		"another upstream of the version":    {[]string{"v1", "v1"}, []reply{short, rest}, answer{Status: 200, Body: events, Sent: 2}},
		"another version only":               {[]string{"v1", "v2"}, []reply{short, rest}, cut},
		"unknown versions":                   {[]string{"", ""}, []reply{short, rest}, cut},
		"before the first event any version": {[]string{"v1", "v2"}, []reply{{reset: true}, {status: 200, body: events}}, answer{Status: 200, Body: events, Sent: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, c.replies...)
				r.setVersions(c.versions...)
				begin := time.Now()
				checkAnswer(t, c.want, r.serve(t.Context(), request("/tale/")))
				if took := time.Since(begin); took > 0 {
					t.Errorf("ended after %v, want at once", took)
				}
			})
		})
	}
}

// Guards against an event that reaches the caller before the origin of its stream is recorded:
// if the VM dies in between, the caller resumes a stream of which nobody knows the version.
func TestOriginIsRecordedFirst(t *testing.T) {
	r := newHarness(t, reply{status: 200, body: events})
	w := &orderedWriter{header: http.Header{}}
	ledger := mporigin.New()
	r.p.cfg.Origins = &fakeOrigins{ledger: ledger, noted: func() { w.steps = append(w.steps, "origin") }}
	r.p.Serve(t.Context(), w, request("/tale/"))
	if diff := cmp.Diff([]string{"origin", "head", "event"}, w.steps); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
	got, _ := ledger.Find(time.Now(), mporigin.KeyOf("ana", "h", "/tale/", "r1"))
	if diff := cmp.Diff(mporigin.Origin{Pool: "app", Version: "v1"}, got); diff != "" {
		t.Errorf("origin (-want +got):\n%s", diff)
	}
}

// orderedWriter is an http.ResponseWriter that records in which order it is used.
type orderedWriter struct {
	header http.Header
	steps  []string
}

func (w *orderedWriter) Header() http.Header { return w.header }
func (w *orderedWriter) WriteHeader(int)     { w.steps = append(w.steps, "head") }
func (w *orderedWriter) Write(b []byte) (int, error) {
	w.steps = append(w.steps, "event")
	return len(b), nil
}

// Guards against a resumed stream that draws another pool of its route than the one that began it.
func TestResumedStreamStaysAtItsPool(t *testing.T) {
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "app"}, {Name: "other"}}, Routes: []mproute.RouteSpec{{
		Name: "tale", Host: "h", Prefix: "/tale/", Kind: mproute.Stream, Resumable: true, Timeout: time.Second, LatencyTarget: time.Second, MaxAttempts: 1, Public: true,
		Shares: []mproute.Share{{Pool: "app", Weight: 1}, {Pool: "other", Weight: 1000}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	r := newHarness(t, reply{status: 200, body: "id: 3\n\n"})
	list := mplist.New(time.Now(), []mplist.Row{{ID: "a", Pool: "app", Address: "a:80", Version: "v1"}, {ID: "b", Pool: "other", Address: "b:80", Version: "v1"}})
	r.p.cfg.State = staticState{table, list}
	ledger := mporigin.New()
	r.p.cfg.Origins = &fakeOrigins{ledger: ledger, sole: "v1"}
	ledger.Note(time.Now(), mporigin.KeyOf("", "h", "/tale/", "r0"), mporigin.Origin{Pool: "app", Version: "v1"}, time.Minute)
	q := request("/tale/")
	q.Resumes, q.LastEventID = "r0", "2"
	checkAnswer(t, answer{Status: 200, Body: "id: 3\n\n", Sent: 1}, r.serve(t.Context(), q))
	if got := r.transport.requests[0].URL.Host; got != "a:80" {
		t.Errorf("resumed at %s, want a:80", got)
	}
	t.Run("a route of two pools has no only version", func(t *testing.T) {
		q.Resumes = "r9"
		checkAnswer(t, answer{Status: 503, Sent: 1}, r.serve(t.Context(), q))
	})
}
