package mpbatch

import (
	"sync"
	"testing"
	"time"
)

// Guards against a data race between the reader of a job's results and the end of a call that
// makes one of its pieces a second time. The race detector reports it.
func TestResultsWhileDuplicateEnds(t *testing.T) {
	now := time.Unix(1_000, 0)
	b := New(Config{Spec: spec()})
	b.SetUpstreams([]Upstream{{ID: "u1"}, {ID: "u2"}})
	j, err := b.Add(now, JobSpec{Request: "r", Count: 1, SoftDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	calls := b.Next(now)
	now = now.Add(time.Second) // The call is overdue.
	calls = append(calls, b.Next(now)...)
	if len(calls) != 2 {
		t.Fatalf("%d calls, want the first and a duplicate", len(calls))
	}
	b.Finish(now, calls[0].ID, Outcome{Items: []ItemOutcome{{Handle: "h1"}}})
	<-j.Done()
	var wg sync.WaitGroup
	wg.Go(func() {
		if results, err := j.Results(); err != nil || len(results) != 1 || results[0].Handle != "h1" {
			t.Errorf("results %v, error %v", results, err)
		}
	})
	b.Finish(now, calls[1].ID, Outcome{Items: []ItemOutcome{{Handle: "h2"}}})
	wg.Wait()
}
