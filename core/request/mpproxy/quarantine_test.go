package mpproxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/version/mplist"
)

// evidence records what a VM hands on.
type evidence struct {
	mu      sync.Mutex
	raised  []mpquarantine.Finding
	cleared []mpquarantine.Feature
}

func (e *evidence) Raise(f []mpquarantine.Finding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raised = append(e.raised, f...)
}

func (e *evidence) Clear(f []mpquarantine.Feature) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cleared = append(e.cleared, f...)
}

// promptRequest returns a request of the stream route "once" with the given shared parts.
func promptRequest(id string, parts ...string) *Request {
	q := request("/once/")
	q.ID, q.Body, q.Pieces, q.PieceKey = id, []byte(id), []int{1, 1}, "k"
	for _, p := range append(parts, "last of "+id) {
		q.Prompt = append(q.Prompt, PromptPart{ID: p, Tokens: 100})
	}
	return q
}

func newQuarantineHarness(t *testing.T, replies ...reply) (*harness, *evidence, *upProber) {
	t.Helper()
	r, e, p := newHarness(t, replies...), &evidence{}, &upProber{down: map[string]bool{}}
	r.p.cfg.Evidence, r.p.cfg.Prober = e, p
	return r, e, p
}

// raise brings a part to level by crashes that other VMs saw.
func (r *harness) raise(part string, level mpquarantine.Level) {
	for i := range int(level) {
		now := time.Now().Add(time.Duration(i-10) * time.Second)
		r.p.cfg.Quarantine.RecordCrash(now, mpquarantine.Crash{
			Upstream: fmt.Sprint("other", i), SentAt: now.Add(-time.Millisecond),
			Traits: mpquarantine.Traits{Parts: []mpquarantine.Feature{mpquarantine.PartFeature(part)}, Content: mpquarantine.ContentFeature(uint64(i))},
		})
	}
}

func checkFindings(t *testing.T, want []mpquarantine.Finding, got []mpquarantine.Finding) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("evidence (-want +got):\n%s", diff)
	}
}

// Guards against sending requests that crash upstreams to one upstream after another.
func TestQuarantine(t *testing.T) {
	bad := mpquarantine.PartFeature("bad")
	stream := reply{status: 200, body: events}
	lost := reply{status: 200, truncate: true}
	t.Run("a request with a convicted part is refused before its stages", func(t *testing.T) {
		r, _, _ := newQuarantineHarness(t)
		r.raise("bad", mpquarantine.Convicted)
		w := httptest.NewRecorder()
		r.p.Serve(t.Context(), w, promptRequest("r1", "all", "bad"))
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(r.executor.specs) > 0 {
			t.Errorf("status %d, Retry-After %q, %d stages run", w.Code, w.Header().Get("Retry-After"), len(r.executor.specs))
		}
	})
	t.Run("other requests are not affected by a conviction", func(t *testing.T) {
		r, _, _ := newQuarantineHarness(t, stream)
		r.raise("bad", mpquarantine.Convicted)
		checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), promptRequest("r1", "all", "good")))
	})
	t.Run("the last part of a prompt is never blamed", func(t *testing.T) {
		r, e, p := newQuarantineHarness(t, lost)
		p.down["10.0.0.1:80"], p.down["10.0.0.2:80"] = true, true
		q := promptRequest("r1")
		r.serve(t.Context(), q)
		checkFindings(t, []mpquarantine.Finding{{Feature: mpquarantine.ContentFeature(q.contentHash()), Level: mpquarantine.Noted}}, e.raised)
	})
	t.Run("an attempt that was lost is evidence if its upstream is down", func(t *testing.T) {
		for name, down := range map[string]bool{"down": true, "up": false} {
			r, e, p := newQuarantineHarness(t, lost)
			p.down["10.0.0.1:80"], p.down["10.0.0.2:80"] = down, down
			q := promptRequest("r1", "bad")
			checkAnswer(t, answer{Status: 502, Sent: 1}, r.serve(t.Context(), q))
			var want []mpquarantine.Finding
			if down {
				want = []mpquarantine.Finding{
					{Feature: mpquarantine.ContentFeature(q.contentHash()), Level: mpquarantine.Noted}, {Feature: bad, Level: mpquarantine.Noted},
				}
			}
			t.Run(name, func(t *testing.T) { checkFindings(t, want, e.raised) })
		}
	})
	t.Run("an upstream that stops listening a little later is down too", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, e, p := newQuarantineHarness(t, lost)
			r.serve(t.Context(), promptRequest("r1", "bad"))
			p.mu.Lock()
			p.down["10.0.0.1:80"], p.down["10.0.0.2:80"] = true, true
			p.mu.Unlock()
			<-time.After(probePause)
			synctest.Wait()
			if len(e.raised) != 2 {
				t.Errorf("evidence %v, want two features", e.raised)
			}
		})
	})
	t.Run("an upstream that refuses, fails or is silent is no evidence", func(t *testing.T) {
		for name, replies := range map[string][]reply{"refuses": {notRun, notRun}, "fails": {{status: 500}}, "refuses connections": {{refuse: true}, {refuse: true}}} {
			t.Run(name, func(t *testing.T) {
				r, e, p := newQuarantineHarness(t, replies...)
				p.down["10.0.0.1:80"], p.down["10.0.0.2:80"] = true, true
				r.serve(t.Context(), promptRequest("r1", "bad"))
				checkFindings(t, nil, e.raised)
			})
		}
	})
	t.Run("a stream that was going on is no evidence", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, e, p := newQuarantineHarness(t)
			p.down["10.0.0.1:80"], p.down["10.0.0.2:80"] = true, true
			r.p.cfg.Transport = slowStream{}
			r.serve(t.Context(), promptRequest("r1", "bad"))
			checkFindings(t, nil, e.raised)
		})
	})
	t.Run("an answer clears a part", func(t *testing.T) {
		r, e, _ := newQuarantineHarness(t, stream)
		r.raise("x", mpquarantine.Noted)
		r.serve(t.Context(), promptRequest("r1", "x"))
		if diff := cmp.Diff([]mpquarantine.Feature{mpquarantine.PartFeature("x")}, e.cleared); diff != "" {
			t.Errorf("cleared (-want +got):\n%s", diff)
		}
	})
	t.Run("requests with a suspect part are sent one at a time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, _, _ := newQuarantineHarness(t, reply{status: 200, body: events, delay: 300 * time.Millisecond}, stream, stream)
			r.raise("x", mpquarantine.Suspect)
			begun := time.Now()
			var wg sync.WaitGroup
			for i := range 3 {
				wg.Go(func() {
					w := httptest.NewRecorder()
					r.p.Serve(t.Context(), w, promptRequest(fmt.Sprint("r", i), "x"))
					if w.Code != http.StatusOK || time.Since(begun) < 300*time.Millisecond {
						t.Errorf("status %d after %v", w.Code, time.Since(begun))
					}
				})
			}
			<-time.After(mpquarantine.TrialPause(1) + 100*time.Millisecond)
			if n := len(r.transport.sent()); n != 1 {
				t.Errorf("%d requests were sent at once", n)
			}
			wg.Wait()
		})
	})
	t.Run("a trial goes on elsewhere if its upstream refuses connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, _, _ := newQuarantineHarness(t, reply{refuse: true}, stream)
			r.raise("x", mpquarantine.Suspect)
			checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), promptRequest("r1", "x")))
		})
	})
	t.Run("a suspect is not tried on a cold upstream", func(t *testing.T) {
		for _, cold := range []string{"u1", "u2"} {
			synctest.Test(t, func(t *testing.T) {
				r, _, _ := newQuarantineHarness(t, stream)
				r.raise("x", mpquarantine.Suspect)
				rows := []mplist.Row{{ID: "u1", Pool: "app", Address: "10.0.0.1:80", DC: "a"}, {ID: "u2", Pool: "app", Address: "10.0.0.2:80", DC: "a"}}
				for i := range rows {
					if rows[i].ID == cold {
						rows[i].ColdMs = 5000
					}
				}
				r.p.cfg.State = staticState{r.p.cfg.State.Table(), mplist.New(time.Now(), rows)}
				checkAnswer(t, answer{Status: 200, Body: events, Sent: 1}, r.serve(t.Context(), promptRequest("r1", "x")))
				if got := r.transport.sent()[0].URL.Host; got == map[string]string{"u1": "10.0.0.1:80", "u2": "10.0.0.2:80"}[cold] {
					t.Errorf("the trial went to the cold upstream at %s", got)
				}
			})
		}
	})
	t.Run("a crash in a trial ends the waiting", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, e, p := newQuarantineHarness(t, reply{status: 200, truncate: true, delay: 300 * time.Millisecond})
			p.down["10.0.0.1:80"], p.down["10.0.0.2:80"] = true, true
			r.raise("bad", mpquarantine.StrongSuspect)
			statuses := make(chan int, 2)
			for i := range 2 {
				go func() {
					w := httptest.NewRecorder()
					r.p.Serve(t.Context(), w, promptRequest(fmt.Sprint("r", i), "bad"))
					statuses <- w.Code
				}()
			}
			// The end of the trial wakes the request that waits, which may answer first.
			got := []int{<-statuses, <-statuses}
			slices.Sort(got)
			if diff := cmp.Diff([]int{502, 503}, got); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
			if n := len(r.transport.sent()); n != 1 || e.raised[len(e.raised)-1] != (mpquarantine.Finding{Feature: bad, Level: mpquarantine.Convicted}) {
				t.Errorf("%d requests were sent, evidence %v", n, e.raised)
			}
		})
	})
	t.Run("a suspect is not tried before the others can know", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, _, _ := newQuarantineHarness(t, stream)
			now := time.Now()
			for i := range 2 {
				r.p.cfg.Quarantine.RecordCrash(now, mpquarantine.Crash{
					Upstream: fmt.Sprint(i), SentAt: now.Add(time.Duration(i) * time.Millisecond), Traits: traitsOf(promptRequest(fmt.Sprint(i), "x")),
				})
			}
			r.serve(t.Context(), promptRequest("r1", "x"))
			if waited := time.Since(now); waited < mpquarantine.TrialDelay {
				t.Errorf("tried after %v, want at least %v", waited, mpquarantine.TrialDelay)
			}
		})
	})
}

// noEvidence drops the evidence that a VM hands on.
type noEvidence struct{}

func (noEvidence) Raise([]mpquarantine.Finding) {}
func (noEvidence) Clear([]mpquarantine.Feature) {}

// soleArbiter permits the trials of a VM that is alone.
type soleArbiter struct {
	arbiter *mpquarantine.Arbiter
	last    atomic.Uint64
}

func (s *soleArbiter) Begin(_ context.Context, known mpquarantine.Finding) (mpquarantine.Permission, func(lost bool), error) {
	token := s.last.Add(1)
	p := s.arbiter.Begin(time.Now(), known, token)
	return p, func(lost bool) { s.arbiter.End(time.Now(), known.Feature, token, lost) }, nil
}

// silentArbiter does not answer.
type silentArbiter struct{}

func (silentArbiter) Begin(context.Context, mpquarantine.Finding) (mpquarantine.Permission, func(lost bool), error) {
	return mpquarantine.Permission{}, nil, errLost
}

// note records that an upstream ended under a request with the content of q.
func (r *harness) note(q *Request) {
	now := time.Now()
	r.p.cfg.Quarantine.RecordCrash(now, mpquarantine.Crash{Upstream: "other", SentAt: now.Add(-time.Millisecond), Traits: traitsOf(q)})
}

// Guards against several requests with the same content that are sent at once after a first
// one ended its upstream, and against refusing them where nobody can permit a trial.
func TestNotedContent(t *testing.T) {
	sent := func(t *testing.T, trials Trials, level mpquarantine.Level) (answered, refused int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			slow := reply{status: 200, body: "whole", delay: 100 * time.Millisecond}
			r, _, _ := newQuarantineHarness(t, slow, slow, slow)
			r.p.cfg.Trials = trials
			q := request("/read/")
			r.note(q)
			r.p.cfg.Quarantine.Learn(time.Now(), traitsOf(q).Content, level)
			var wg sync.WaitGroup
			var mu sync.Mutex
			for range 3 {
				wg.Go(func() {
					w := httptest.NewRecorder()
					r.p.Serve(t.Context(), w, request("/read/"))
					mu.Lock()
					defer mu.Unlock()
					if w.Code == http.StatusOK {
						answered++
					} else {
						refused++
					}
				})
			}
			<-time.After(50 * time.Millisecond)
			if n := len(r.transport.sent()); n > 1 && trials != (silentArbiter{}) {
				t.Errorf("%d requests were sent at once", n)
			}
			wg.Wait()
		})
		return answered, refused
	}
	t.Run("is sent one at a time until it is answered", func(t *testing.T) {
		if answered, _ := sent(t, &soleArbiter{arbiter: mpquarantine.NewArbiter()}, mpquarantine.Noted); answered != 3 {
			t.Errorf("%d of 3 requests were answered", answered)
		}
	})
	t.Run("is sent as any other where the arbiter does not answer", func(t *testing.T) {
		if answered, _ := sent(t, silentArbiter{}, mpquarantine.Noted); answered != 3 {
			t.Errorf("%d of 3 requests were answered", answered)
		}
	})
	t.Run("is refused as a suspect where the arbiter does not answer", func(t *testing.T) {
		if _, refused := sent(t, silentArbiter{}, mpquarantine.Suspect); refused != 3 {
			t.Errorf("%d of 3 requests were refused", refused)
		}
	})
}

// sent returns the requests that were sent so far.
func (t *fakeTransport) sent() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

// slowStream answers with a stream that goes on for twice soundDuration and is lost.
type slowStream struct{}

func (slowStream) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &slowBody{}}, nil
}

type slowBody struct{ reads int }

func (b *slowBody) Read(p []byte) (int, error) {
	<-time.After(soundDuration / 2)
	if b.reads++; b.reads > 4 {
		return 0, errLost
	}
	return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", b.reads)), nil
}

func (b *slowBody) Close() error { return nil }

var errLost = errors.New("connection reset")

// The logs alone must lead from a refused request to the evidence against its part.
func TestRefusalOfConvictedPartIsExplained(t *testing.T) {
	r := newLoggedHarness(t, "a", reply{status: 200, truncate: true})
	r.p.cfg.Prober = &upProber{down: map[string]bool{"10.0.0.1:80": true, "10.0.0.2:80": true}}
	r.raise("bad", mpquarantine.StrongSuspect)
	r.serve(context.Background(), promptRequest("r1", "bad"))
	r.serve(context.Background(), promptRequest("r2", "bad"))
	feature := mpid.Hex(uint64(mpquarantine.PartFeature("bad")))
	checkExplained(t, []string{
		"a crash evidence upstream=" + r.upstreamOf(0) + " feature=" + feature + " became=convicted",
		"a trial upstream=" + r.upstreamOf(0) + " ended=broken feature=" + feature,
		"a request status=503 reason=crashes upstreams, feature " + feature + ": part bad plan=2",
	}, explain(t, "r2", r))
}
