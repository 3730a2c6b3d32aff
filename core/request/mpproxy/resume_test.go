package mpproxy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a stream that is resumed without the results of its stages, which are freed at
// its first event: upstreams answer 400, and the stream ends although it could go on.
func TestResumedStreamHasItsInputs(t *testing.T) {
	r := newHarness(t, reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{status: 200, body: "id: 2\ndata: b\n\n"})
	q := request("/saga/")
	q.Pieces = []int{2}
	checkAnswer(t, answer{Status: 200, Body: events, Sent: 2}, r.serve(t.Context(), q))
	for i, sent := range r.transport.requests {
		if diff := cmp.Diff("work00,work01", sent.Header.Get("Inputs")); diff != "" {
			t.Errorf("inputs of attempt %d (-want +got):\n%s", i+1, diff)
		}
	}
	if got := len(r.executor.freed); got != 4 {
		t.Errorf("%d results were freed, want 4", got)
	}
}

// Guards against a request that runs at more upstreams than its route allows, since stages that
// are run again make the count begin anew.
func TestRunsAreCountedOverStages(t *testing.T) {
	begun := func(n string) reply { return reply{status: 200, body: "id: " + n + "\n\n", truncate: true} }
	r := newHarness(t, begun("1"), begun("2"), begun("3"), begun("4"))
	r.setVersions("v1", "v1", "v1", "v1")
	q := request("/saga/")
	q.Pieces = []int{1}
	got := r.serve(t.Context(), q)
	if got.Sent > 3 || !got.Aborted {
		t.Errorf("sent %d times, want at most 3, and cut off: %v", got.Sent, got.Aborted)
	}
}
