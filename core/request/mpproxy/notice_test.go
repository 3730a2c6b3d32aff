package mpproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against requests to an upstream that has said in an answer that it leaves, while the
// list does not have it as leaving yet, and against repeats and trials that go there.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	leaving := reply{status: 200, header: http.Header{"Leaving": {"1"}}, body: "whole"}
	r := newHarness(t, leaving, good, good, reply{reset: true})
	r.setVersions("v1", "v1")
	for _, want := range []answer{{Status: 200, Body: "whole", Sent: 1}, {Status: 200, Body: "whole", Sent: 2}, {Status: 200, Body: "whole", Sent: 3}, {Status: 502, Sent: 4}} {
		checkAnswer(t, want, r.serve(t.Context(), request("/read/")))
	}
	var got []string
	for _, q := range r.transport.requests {
		got = append(got, q.URL.Host)
	}
	if diff := cmp.Diff([]string{"a:80", "b:80", "b:80", "b:80"}, got); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

// Guards against requests to an upstream that wants none from this VM for a while. If no other
// one is left, the caller is told when to come back.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, reply{status: 503, header: http.Header{"Unrun": {"1"}, "Pause": {"3"}}}, good)
		r.setVersions("v1")
		checkAnswer(t, answer{Status: 503, Sent: 1}, r.serve(t.Context(), request("/read/")))
		<-time.After(time.Second)
		w := httptest.NewRecorder()
		r.p.Serve(t.Context(), w, request("/read/"))
		if diff := cmp.Diff("2.000", w.Header().Get("Retry-After")); diff != "" || w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d, Retry-After (-want +got):\n%s", w.Code, diff)
		}
		if got := len(r.transport.requests); got != 1 {
			t.Errorf("%d requests were sent, want 1", got)
		}
		<-time.After(2 * time.Second)
		checkAnswer(t, answer{Status: 200, Body: "whole", Sent: 2}, r.serve(t.Context(), request("/read/")))
	})
}
