package mpproxy

import (
	"net/http"
	"testing"

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
