package mpproxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func checkHosts(t *testing.T, r *harness, want ...string) {
	t.Helper()
	var got []string
	for _, q := range r.transport.requests {
		got = append(got, q.URL.Host)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

// Guards against requests to a near upstream that has said in an answer that it is slow at the
// moment or that much waits there, and against one that stays avoided when the moment is over.
func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	for name, load := range map[string]string{"slow": "1,0,4,250", "much waits": "4,9,4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const answerTime = 20 * time.Millisecond
				usual := reply{status: 200, body: "whole", delay: answerTime, header: http.Header{"Load": {"1,0,4,100"}}}
				slow := usual
				slow.header = http.Header{"Load": {load}}
				r := newHarness(t, slow, usual, usual)
				r.setVersions("v1", "v1")
				r.serve(t.Context(), request("/read/"))
				r.serve(t.Context(), request("/read/"))
				<-time.After(2 * time.Second)
				r.serve(t.Context(), request("/read/"))
				checkHosts(t, r, "a:80", "b:80", "a:80")
			})
		})
	}
}

// Guards against an upstream that gets more requests since it fails them at once.
func TestFailureIsNotTakenForSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerTime = 20 * time.Millisecond
		usual, failed := reply{status: 200, body: "whole", delay: answerTime}, reply{status: 500, delay: time.Millisecond}
		r := newHarness(t, usual, failed, failed, usual)
		r.setVersions("v1", "v1")
		r.serve(t.Context(), request("/read/"))
		r.serve(t.Context(), request("/read/"))
		least, greatest := r.p.cfg.Selector.SpeedRange(time.Now())
		if least != 1 || greatest != 1 {
			t.Errorf("factors from %v to %v, want 1", least, greatest)
		}
	})
}

// Guards against figures that are skipped without a trace.
func TestLoadFiguresAreCounted(t *testing.T) {
	answer := func(load ...string) reply {
		return reply{status: 200, body: "whole", header: http.Header{"Load": load}}
	}
	r := newHarness(t, answer("1,0,4,100"), answer("1,0,4"), answer("1,0,4,-5"), answer("1,0,4", "1,0,4"), good)
	for range 5 {
		r.serve(t.Context(), request("/read/"))
	}
	for name, want := range map[string]int64{"speed.reports": 1, "speed.absent": 2, "speed.skipped": 7} {
		if diff := cmp.Diff(want, r.p.cfg.Metrics.Count(name)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
