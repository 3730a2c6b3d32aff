package mpproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// fakeAssigner assigns the given engines in turn, and then none.
type fakeAssigner struct {
	t  *testing.T
	mu sync.Mutex
	// engines are those to assign; "" for none.
	engines  []string
	asked    []EngineRequest
	rejected int
	// ends holds how each assignment went on and ended.
	ends [][]mpassign.Outcome
}

func (a *fakeAssigner) Assign(_ context.Context, r EngineRequest) *Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, r)
	if len(a.engines) == 0 {
		return nil
	}
	engine := a.engines[0]
	a.engines = a.engines[1:]
	if engine == "" {
		return nil
	}
	i := len(a.ends)
	a.ends = append(a.ends, nil)
	return &Assignment{Engine: engine, Owner: "owner", Settle: func(o mpassign.Outcome) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ends[i] = append(a.ends[i], o)
	}}
}

func (a *fakeAssigner) Reject(*Assignment) { a.rejected++ }

// checkEnds reports an error unless the assignments ended in the given ways, each of them once.
func (a *fakeAssigner) checkEnds(want ...mpassign.End) {
	a.t.Helper()
	var got []mpassign.End
	for _, list := range a.ends {
		for i, o := range list {
			if o.End == mpassign.Started {
				continue
			}
			got = append(got, o.End)
			if i < len(list)-1 {
				a.t.Errorf("an assignment went on after its end: %+v", list)
			}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		a.t.Errorf("ends of assignments (-want +got):\n%s", diff)
	}
}

// newAssignHarness returns a harness whose pool "app" has engines, of which u1 and u2 are usable, and
// whose engines are assigned in the given order.
func newAssignHarness(t *testing.T, engines []string, replies ...reply) (*harness, *fakeAssigner) {
	t.Helper()
	r := newHarness(t, replies...)
	share := []mproute.Share{{Pool: "app", Weight: 1}}
	route := mproute.RouteSpec{Host: "h", Timeout: 9 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2, Shares: share, Kind: mproute.Stream, Resumable: true}
	plain, small, large := route, route, route
	plain.Name, plain.Prefix = "plain", "/plain/"
	small.Name, small.Prefix, small.Stages = "small", "/small/", []mproute.StageSpec{{Pool: "work", ResultBytes: 1000}}
	large.Name, large.Prefix, large.Stages = "large", "/large/", []mproute.StageSpec{{Pool: "work", ResultBytes: 1000}, {Pool: "work", After: []int{0}, ResultBytes: 2 << 20}}
	table, err := mproute.New(mproute.Spec{
		Version: 1, Routes: []mproute.RouteSpec{plain, small, large},
		Pools: []mproute.PoolSpec{{Name: "app", ColdRate: 1, Engine: &mproute.EngineSpec{Slots: 4}}, {Name: "work", Batch: &mproute.BatchSpec{MaxPieces: 8, CallTime: 100 * time.Millisecond}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAssigner{t: t, engines: engines}
	r.p.cfg.State, r.p.cfg.Assigner = staticState{table, r.p.cfg.State.(staticState).list}, a
	return r, a
}

func engineRequest(path string) *Request {
	q := request(path)
	q.Prompt = []PromptPart{{ID: "all", Tokens: 300}, {ID: "doc", Tokens: 13_000}, {ID: "own", Tokens: 3_000}}
	q.MaxOutputTokens = 200
	switch path {
	case "/small/":
		q.Pieces = []int{1}
	case "/large/":
		q.Pieces = []int{1, 1}
	}
	return q
}

// checkHosts reports an error unless the attempts went to the given upstreams in order.
func (r *harness) checkHosts(want ...string) {
	r.t.Helper()
	var got []string
	for _, q := range r.transport.sent() {
		got = append(got, q.URL.Host)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		r.t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

const (
	hostU1 = "10.0.0.1:80"
	hostU2 = "10.0.0.2:80"
)

// Guards against an entry that does not use the engine that the owner chose, and against assignments that
// end not at all or twice.
func TestAssignedEngine(t *testing.T) {
	stream, reset := reply{status: 200, body: events}, reply{reset: true}
	whole := answer{Status: 200, Body: events, Sent: 1}
	other := map[string]string{"u1": hostU2, "u2": hostU1}
	hosts := map[string]string{"u1": hostU1, "u2": hostU2}
	for _, engine := range []string{"u1", "u2"} {
		t.Run("the assigned engine gets the request, "+engine, func(t *testing.T) {
			r, a := newAssignHarness(t, []string{engine}, stream)
			checkAnswer(t, whole, r.serve(t.Context(), engineRequest("/plain/")))
			r.checkHosts(hosts[engine])
			a.checkEnds(mpassign.Done)
			if first := a.ends[0][0]; first.End != mpassign.Started || first.FirstToken <= 0 {
				t.Errorf("first report %+v", first)
			}
		})
		t.Run("one that this VM avoids does not, "+engine, func(t *testing.T) {
			r, a := newAssignHarness(t, []string{engine}, stream)
			r.p.cfg.Selector.Done(time.Now(), engine, mpselect.PickInfo{}, mpselect.Failed, 0)
			checkAnswer(t, whole, r.serve(t.Context(), engineRequest("/plain/")))
			r.checkHosts(other[engine])
			a.checkEnds(mpassign.Unused)
			if diff := cmp.Diff([]string{engine}, a.asked[0].Exclude); diff != "" || a.rejected != 1 {
				t.Errorf("%d assignments rejected, excluded (-want +got):\n%s", a.rejected, diff)
			}
		})
	}
	t.Run("one that is unknown or leaving does not", func(t *testing.T) {
		for _, engine := range []string{"u3", "u4", "none"} {
			r, a := newAssignHarness(t, []string{engine}, stream)
			checkAnswer(t, whole, r.serve(t.Context(), engineRequest("/plain/")))
			a.checkEnds(mpassign.Unused)
		}
	})
	t.Run("without an assignment the VM chooses", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{""}, stream)
		checkAnswer(t, whole, r.serve(t.Context(), engineRequest("/plain/")))
		a.checkEnds()
		r, _ = newAssignHarness(t, nil, stream)
		r.p.cfg.Assigner = nil
		checkAnswer(t, whole, r.serve(t.Context(), engineRequest("/plain/")))
	})
	t.Run("a further attempt is assigned again, elsewhere", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"u2", "u1"}, reset, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), engineRequest("/plain/")))
		r.checkHosts(hostU2, hostU1)
		a.checkEnds(mpassign.Failed, mpassign.Done)
		if diff := cmp.Diff([]string{"u2"}, a.asked[1].Exclude); diff != "" {
			t.Errorf("excluded (-want +got):\n%s", diff)
		}
	})
	t.Run("a request that was not run", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"u2", "u1"}, notRun, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), engineRequest("/plain/")))
		a.checkEnds(mpassign.Refused, mpassign.Done)
	})
	t.Run("a stream goes on at its version only", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"a", "d"}, reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"})
		r.setVersions("v1", "v2", "v2", "v1")
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), engineRequest("/plain/")))
		r.checkHosts("a:80", "d:80")
		a.checkEnds(mpassign.Failed, mpassign.Done)
		if diff := cmp.Diff([]string{"v1"}, a.asked[1].Versions); diff != "" || a.asked[0].Versions != nil {
			t.Errorf("versions %v at first, then (-want +got):\n%s", a.asked[0].Versions, diff)
		}
		if diff := cmp.Diff([]string{"a"}, a.asked[1].Exclude); diff != "" {
			t.Errorf("excluded (-want +got):\n%s", diff)
		}
	})
	t.Run("an engine of another version is not used", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"a", "b"}, reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"})
		r.setVersions("v1", "v2", "v2", "v1")
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), engineRequest("/plain/")))
		r.checkHosts("a:80", "d:80")
		a.checkEnds(mpassign.Failed, mpassign.Unused)
	})
}

// Guards against assignments that are left open when a request ends early.
func TestAssignmentOfRequestsThatEndEarly(t *testing.T) {
	t.Run("the caller disconnects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r, a := newAssignHarness(t, []string{"u1"}, reply{hang: true})
			time.AfterFunc(100*time.Millisecond, cancel)
			r.serve(ctx, engineRequest("/plain/"))
			a.checkEnds(mpassign.Cancelled)
		})
	})
	t.Run("a panic", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"u1"})
		r.transport = nil
		r.p.cfg.Transport = panickingTransport{}
		func() {
			defer func() { _ = recover() }()
			r.p.Serve(t.Context(), httptest.NewRecorder(), engineRequest("/plain/"))
		}()
		a.checkEnds(mpassign.Cancelled)
	})
	t.Run("a stage fails after the engine was chosen", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"u2"})
		r.executor.errs = []error{nil, mperror.ErrDeadline}
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), engineRequest("/large/")))
		a.checkEnds(mpassign.Unused)
	})
	t.Run("the rate of the engine does not allow it", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"u2"}, reply{status: 200, body: events})
		limited, q := newLimitHarness(t, time.Second, []string{"u2"})
		r.p.cfg.Quotas = limited.p.cfg.Quotas
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), engineRequest("/plain/")))
		r.checkHosts(hostU1)
		a.checkEnds(mpassign.Unused)
		if diff := cmp.Diff([]string{"u2"}, q.taken); diff != "" {
			t.Errorf("rates (-want +got):\n%s", diff)
		}
	})
}

type panickingTransport struct{}

func (panickingTransport) RoundTrip(*http.Request) (*http.Response, error) { panic("test") }

// Guards against large results that are made far from the engine that reads them.
func TestLargeResultsAreMadeNearTheAssignedEngine(t *testing.T) {
	stream := reply{status: 200, body: events}
	t.Run("a large result", func(t *testing.T) {
		for engine, dc := range map[string]string{"u1": "a", "u2": "b"} {
			r, a := newAssignHarness(t, []string{engine}, stream)
			r.executor.waits = map[string]time.Duration{"work": 50 * time.Millisecond}
			checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), engineRequest("/large/")))
			if diff := cmp.Diff(dc, r.executor.specs[1].DC); diff != "" {
				t.Errorf("data centre of the large result (-want +got):\n%s", diff)
			}
			a.checkEnds(mpassign.Done)
			if len(a.asked) != 1 || a.asked[0].Delay != 150*time.Millisecond {
				t.Errorf("asked for %+v", a.asked)
			}
		}
	})
	t.Run("a small result does not wait for the owner", func(t *testing.T) {
		r, a := newAssignHarness(t, []string{"u2"}, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), engineRequest("/small/")))
		if len(a.asked) != 1 || a.asked[0].Delay != 0 {
			t.Errorf("asked for %+v", a.asked)
		}
		a.checkEnds(mpassign.Done)
	})
	t.Run("without an owner", func(t *testing.T) {
		r, a := newAssignHarness(t, nil, stream)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), engineRequest("/large/")))
		if r.executor.specs[1].DC == "" {
			t.Error("the large result has no data centre")
		}
		a.checkEnds()
	})
}

// Guards against trials of a suspect that go to the engine that an owner chose, and against others that
// go to the engine of the trial.
func TestTrialsAreNotAssigned(t *testing.T) {
	stream := reply{status: 200, body: events}
	t.Run("the trial", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, a := newAssignHarness(t, []string{"u2", "u1"}, stream)
			r.raise("doc", mpquarantine.StrongSuspect)
			checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), engineRequest("/plain/")))
			if len(a.asked) != 0 {
				t.Errorf("asked for %+v", a.asked)
			}
		})
	})
	t.Run("others", func(t *testing.T) {
		r, a := newAssignHarness(t, nil, stream)
		now := time.Now()
		for i, lost := range []string{"x", "y"} {
			traits := mpquarantine.Traits{Parts: []mpquarantine.Feature{mpquarantine.PartFeature("bad")}, Content: mpquarantine.ContentFeature(uint64(i))}
			r.p.cfg.Quarantine.RecordCrash(now, mpquarantine.Crash{Upstream: lost, SentAt: now.Add(time.Duration(i) * time.Millisecond), Traits: traits})
		}
		spared := r.p.cfg.Quarantine.Place(now, []string{"u1", "u2"}).Upstream(mpquarantine.PartFeature("bad"))
		a.engines = []string{spared}
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), engineRequest("/plain/")))
		a.checkEnds(mpassign.Unused)
		if diff := cmp.Diff([]string{spared}, a.asked[0].Exclude); diff != "" {
			t.Errorf("excluded (-want +got):\n%s", diff)
		}
	})
}

// Guards against a cold engine that gets more than it bears, since an owner and the VM choose it.
func TestAssignedColdEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := reply{status: 200, body: events}
		r, a := newAssignHarness(t, []string{"u1", "u1", "u1"}, stream, stream, stream)
		rows := []mplist.Row{
			{ID: "u1", Pool: "app", Address: hostU1, DC: "a", Slots: 4, ColdMs: 60_000, Version: "v1"},
			{ID: "u2", Pool: "app", Address: hostU2, DC: "b", Slots: 4, Version: "v1"},
		}
		r.p.cfg.State = staticState{r.p.cfg.State.(staticState).table, mplist.New(time.Now(), rows)}
		r.serve(t.Context(), engineRequest("/plain/"))
		r.serve(t.Context(), engineRequest("/plain/"))
		<-time.After(time.Second)
		r.serve(t.Context(), engineRequest("/plain/"))
		r.checkHosts(hostU1, hostU2, hostU1)
		a.checkEnds(mpassign.Done, mpassign.Unused, mpassign.Done)
	})
}
