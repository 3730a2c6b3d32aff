package mpproxy

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// slowTransport answers all requests after the same time.
type slowTransport time.Duration

func (t slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return (&fakeTransport{replies: []reply{{status: http.StatusOK, body: events, delay: time.Duration(t)}}}).RoundTrip(r)
}

// TestRequestsOfLeavingVM guards against requests that come late in the grace period of a VM that
// leaves, over connections that were made before: they were forwarded, and cut off without an
// answer when the process ended, among them some that may not run again.
func TestRequestsOfLeavingVM(t *testing.T) {
	const grace, interval = 7200 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		path string
		took time.Duration
		// servedUntil and refusedFrom are times after the VM began to leave.
		servedUntil, refusedFrom time.Duration
	}{
		"requests that may not run again": {"/post/", 900 * time.Millisecond, 5900 * time.Millisecond, 6100 * time.Millisecond},
		"short ones of the same kind":     {"/post/", 50 * time.Millisecond, 5900 * time.Millisecond, 6100 * time.Millisecond},
		"requests that may run again":     {"/read/", 400 * time.Millisecond, 6500 * time.Millisecond, 6700 * time.Millisecond},
		"streams":                         {"/tale/", 1200 * time.Millisecond, 5700 * time.Millisecond, 5900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t)
				r.p.cfg.Transport = slowTransport(c.took)
				for range 5 {
					checkAnswer(t, answer{Status: 200, Body: events}, r.serve(t.Context(), request(c.path)))
				}
				ctx, exit := context.WithTimeout(t.Context(), grace)
				defer exit()
				left := time.Now()
				r.p.Leave(left.Add(grace))
				var wg sync.WaitGroup
				for at := time.Duration(0); at < grace; at += interval {
					wg.Go(func() {
						got := r.serve(ctx, request(c.path))
						switch {
						case time.Since(left) >= grace:
							t.Errorf("a request after %v was cut off: %+v", at, got)
						case got.Status == http.StatusOK && at > c.refusedFrom:
							t.Errorf("a request after %v was served", at)
						case got.Status != http.StatusOK && at < c.servedUntil:
							t.Errorf("a request after %v got %+v", at, got)
						}
					})
					<-time.After(interval)
				}
				wg.Wait()
			})
		})
	}
	t.Run("a stream that may not run again needs as long as the longest one took", func(t *testing.T) {
		for path, want := range map[string]int{"/tale/": http.StatusOK, "/long/": http.StatusServiceUnavailable} {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t)
				serve := func() answer {
					q := request(path)
					if path == "/long/" {
						q.Pieces = []int{1, 1}
					}
					return r.serve(t.Context(), q)
				}
				r.p.cfg.Transport = slowTransport(1400 * time.Millisecond)
				serve()
				r.p.cfg.Transport = slowTransport(100 * time.Millisecond)
				for range durationSamples - 1 {
					serve()
				}
				r.p.Leave(time.Now().Add(time.Second))
				if got := serve(); got.Status != want {
					t.Errorf("%s: %+v, want status %d", path, got, want)
				}
			})
		}
	})
	t.Run("what is refused was not sent", func(t *testing.T) {
		r := newHarness(t, good)
		r.p.Leave(time.Now().Add(500 * time.Millisecond))
		checkAnswer(t, answer{Status: 503}, r.serve(t.Context(), request("/post/")))
	})
	t.Run("a request that is not answered in time gets an answer before the process ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t)
			r.p.cfg.Transport = slowTransport(100 * time.Millisecond)
			r.serve(t.Context(), request("/read/"))
			r.p.cfg.Transport = slowTransport(time.Minute)
			begin := time.Now()
			r.p.Leave(begin.Add(600 * time.Millisecond))
			got := r.serve(t.Context(), request("/read/"))
			if took := time.Since(begin); got.Status != http.StatusGatewayTimeout && got.Status != http.StatusBadGateway || took > 600*time.Millisecond {
				t.Errorf("got %+v after %v", got, took)
			}
		})
	})
}
