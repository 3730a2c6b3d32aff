package mpbatch

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
)

// newTrial returns a Batcher with an upstream of each version, in a trial of v2 whose share allows
// one call with n pieces.
func newTrial(t *testing.T, n int) (*sim, *mpversion.Split) {
	t.Helper()
	versions := mpversion.New(mpversion.Config{
		// By this number, the share admits a call when 0.64 and 1.82 calls were added up.
		HasLease: func(time.Time) bool { return true }, Random: func() float64 { return 0.7 }, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
	})
	versions.SetList(time.Unix(1000, 0), mplist.New(time.Unix(1000, 0), []mplist.Row{{ID: "u1", Pool: "p", Version: "v1"}, {ID: "u2", Pool: "p", Version: "v2"}}))
	versions.SetRollouts([]mprollout.Rollout{{
		Pool: "p", Target: "v2", Base: []string{"v1"}, ID: "1", StartedMs: 1, DeadlineMs: 2, State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.01,
	}})
	split := versions.Split("p")
	for !split.Take(n) {
		split.Arrived(n)
	}
	if split.Take(0) {
		t.Fatal("the share admits two calls, want one")
	}
	split.Return(0)
	if split.Take(1) {
		t.Fatalf("the share admits more than %d pieces", n)
	}
	split.Take(0)
	split.Return(n)
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a", Version: "v1"}, Upstream{ID: "u2", DC: "a", Version: "v2"})
	m.batcher.cfg.Split = func() *mpversion.Split { return split }
	return m, split
}

// checkPieces checks the upstreams of the calls so far, and their numbers of pieces.
func checkPieces(t *testing.T, m *sim, want map[string]int) {
	t.Helper()
	got := map[string]int{}
	for _, c := range m.started {
		got[c.Upstream.ID] += len(c.Items)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("pieces at each upstream (-want +got):\n%s", diff)
	}
}

// Guards against calls to the target with other pieces than those that its share admits, and against a
// share that is lost with calls that were not sent.
func TestCallsToTheTarget(t *testing.T) {
	const later = 2 * time.Second
	t.Run("the share admits the pieces of a job", func(t *testing.T) {
		m, _ := newTrial(t, 4)
		m.add(JobSpec{Request: "r", Count: 4}, later)
		m.add(JobSpec{Request: "s", Count: 4}, later)
		checkPieces(t, m, map[string]int{"u1": 4, "u2": 4})
	})
	t.Run("a job has more pieces than the share admits", func(t *testing.T) {
		m, _ := newTrial(t, 4)
		m.add(JobSpec{Request: "r", Count: 5}, later)
		checkPieces(t, m, map[string]int{"u1": 5})
	})
	t.Run("a job has more pieces than a call", func(t *testing.T) {
		m, _ := newTrial(t, 8)
		m.add(JobSpec{Request: "r", Count: 11}, later)
		checkPieces(t, m, map[string]int{"u1": 3, "u2": 8})
	})
	t.Run("results far from their readers", func(t *testing.T) {
		m, _ := newTrial(t, 4)
		m.add(JobSpec{Request: "r", Count: 4, DC: "b", CrossDCBytes: largeTransferBytes}, later)
		checkPieces(t, m, map[string]int{"u1": 4})
	})
	t.Run("no memory for all results", func(t *testing.T) {
		m, split := newTrial(t, 4)
		m.batcher.cfg.Spec.ResultMemoryBytes = 2000
		m.add(JobSpec{Request: "r", Count: 4, ResultBytes: 1000}, later)
		checkPieces(t, m, map[string]int{"u1": 2, "u2": 2})
		if split.Take(1) {
			t.Error("the share admits a second call")
		}
	})
	t.Run("a limit does not allow the call", func(t *testing.T) {
		m, split := newTrial(t, 4)
		m.add(JobSpec{Request: "r", Count: 4}, later)
		m.batcher.Finish(m.now, m.started[0].ID, Outcome{Status: Deferred, Wait: time.Second})
		if !split.Take(4) {
			t.Error("the share of a call that was not sent is lost")
		}
	})
	t.Run("a refused call", func(t *testing.T) {
		m, split := newTrial(t, 4)
		j := m.add(JobSpec{Request: "r", Count: 4}, later)
		m.batcher.Finish(m.now, m.started[0].ID, Outcome{Status: Refused})
		if split.Take(1) {
			t.Error("the share does not count a call that the target has refused")
		}
		m.calls = nil
		m.step()
		m.run(300 * time.Millisecond)
		checkDone(t, j, true)
		checkPieces(t, m, map[string]int{"u1": 4, "u2": 4})
	})
	t.Run("a call that failed", func(t *testing.T) {
		m, split := newTrial(t, 4)
		m.add(JobSpec{Request: "r", Count: 4}, later)
		m.batcher.Finish(m.now, m.started[0].ID, Outcome{Status: Failed})
		split.Return(4) // The share admits one more call.
		m.now = m.now.Add(time.Second)
		m.step()
		checkPieces(t, m, map[string]int{"u1": 4, "u2": 4})
	})
	t.Run("waits are those for the upstreams that get calls", func(t *testing.T) {
		m, _ := newTrial(t, 1)
		alone := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		for _, s := range []*sim{m, alone} {
			for range 3 {
				s.add(JobSpec{Request: "r", Count: 8}, later)
			}
		}
		if diff := cmp.Diff(alone.batcher.Backlog(alone.now, 0), m.batcher.Backlog(m.now, 0)); diff != "" {
			t.Errorf("expected wait (-without the target +got):\n%s", diff)
		}
	})
}
