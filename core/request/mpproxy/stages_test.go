package mpproxy

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

const (
	smallBytes = 8_000
	largeBytes = 3_000_000
)

// stagesHarness serves a route with the given stages.
func stagesHarness(t *testing.T, stages []mproute.StageSpec) *harness {
	t.Helper()
	r := newHarness(t, good)
	table, err := mproute.New(mproute.Spec{
		Version: 3,
		Pools:   []mproute.PoolSpec{{Name: "app"}, {Name: "work", Batch: &mproute.BatchSpec{MaxPieces: 8, CallTime: 100 * time.Millisecond}}},
		Routes: []mproute.RouteSpec{{
			Name: "staged", Host: "h", Prefix: "/", Kind: mproute.Idempotent, Timeout: 4 * time.Second, LatencyTarget: 4 * time.Second,
			MaxAttempts: 1, Shares: []mproute.Share{{Pool: "app", Weight: 1}}, Stages: stages, Public: true,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.p.cfg.State = staticState{table, mplist.New(time.Now(), []mplist.Row{{ID: "u1", Pool: "app", Address: "10.0.0.1:80", DC: "a", Slots: 4, Version: "v1"}})}
	return r
}

// runStages serves one request with the given numbers of pieces, and returns the stages that were made, in order.
func (r *harness) runStages(counts []int) (answer, []int) {
	r.t.Helper()
	q := request("/x")
	q.Pieces = counts
	a := r.serve(r.t.Context(), q)
	var made []int
	for _, spec := range r.executor.specs {
		made = append(made, spec.Stage)
	}
	return a, made
}

// outcome is what a request with stages leads to.
type outcome struct {
	Answer answer
	// Made are the stages that were made, sorted, and Freed is the number of results that were freed.
	Made  []int
	Freed int
}

// stagesDiff serves a request, and returns how its outcome differs from one in which the request is served, each
// stage with pieces is made once, and all results are freed.
func (r *harness) stagesDiff(counts []int) string {
	want := outcome{Answer: answer{Status: 200, Body: "whole", Sent: 1}}
	for i, n := range counts {
		if n > 0 {
			want.Made = append(want.Made, i)
		}
		want.Freed += n
	}
	a, made := r.runStages(counts)
	slices.Sort(made)
	return cmp.Diff(want, outcome{a, made, len(r.executor.freed)})
}

func checkAllMade(t *testing.T, r *harness, counts []int) {
	t.Helper()
	if diff := r.stagesDiff(counts); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

func stage(bytes int, after ...int) mproute.StageSpec {
	return mproute.StageSpec{Pool: "work", After: after, ResultBytes: bytes}
}

// Guards against a request that is never served because a stage with large results waits for itself, for a stage
// that reads it, or for one that waits for it.
func TestStagesWithLargeResults(t *testing.T) {
	for name, c := range map[string]struct {
		stages []mproute.StageSpec
		counts []int
	}{
		"alone":                        {[]mproute.StageSpec{stage(largeBytes)}, []int{1}},
		"read by another":              {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0)}, []int{1, 1}},
		"a chain of three":             {[]mproute.StageSpec{stage(largeBytes), stage(largeBytes, 0), stage(smallBytes, 1)}, []int{2, 1, 1}},
		"read by an omitted one":       {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0), stage(smallBytes, 1)}, []int{1, 0, 1}},
		"beside a chain":               {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes), stage(smallBytes, 1)}, []int{1, 1, 1}},
		"beside an omitted chain":      {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes), stage(smallBytes, 1)}, []int{1, 0, 0}},
		"beside a partly omitted":      {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes), stage(smallBytes, 1)}, []int{1, 0, 1}},
		"two chains of equal depth":    {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0), stage(largeBytes), stage(smallBytes, 2)}, []int{1, 1, 1, 1}},
		"two chains of unequal depth":  {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0), stage(largeBytes), stage(smallBytes, 2), stage(smallBytes, 3)}, []int{1, 1, 1, 1, 1}},
		"two leaves beside a chain":    {[]mproute.StageSpec{stage(largeBytes), stage(largeBytes), stage(smallBytes), stage(smallBytes, 2)}, []int{1, 1, 1, 1}},
		"a diamond":                    {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0), stage(smallBytes, 0), stage(smallBytes, 1, 2)}, []int{1, 1, 1, 1}},
		"a join":                       {[]mproute.StageSpec{stage(largeBytes), stage(largeBytes), stage(smallBytes, 0, 1)}, []int{1, 1, 1}},
		"a side leaf of the same head": {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0), stage(largeBytes, 0)}, []int{1, 1, 1}},
		"crossing chains":              {[]mproute.StageSpec{stage(largeBytes), stage(largeBytes), stage(smallBytes, 0), stage(smallBytes, 0, 1), stage(smallBytes, 2)}, []int{1, 1, 1, 1, 1}},
		"nothing but omitted stages":   {[]mproute.StageSpec{stage(largeBytes), stage(smallBytes, 0)}, []int{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			checkAllMade(t, stagesHarness(t, c.stages), c.counts)
		})
	}
}

// Guards against any graph of stages whose request does not end, since waits beside the inputs close a cycle or
// are for a stage without pieces.
func TestRandomStagesEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(rt, "stages")
		stages, counts := make([]mproute.StageSpec, n), make([]int, n)
		for i := range stages {
			stages[i] = stage(rapid.SampledFrom([]int{0, smallBytes, largeResultBytes, largeBytes}).Draw(rt, "bytes"))
			for in := range i {
				if rapid.IntRange(0, 2).Draw(rt, "reads") == 0 {
					stages[i].After = append(stages[i].After, in)
				}
			}
			counts[i] = rapid.IntRange(0, 3).Draw(rt, "pieces")
		}
		if diff := stagesHarness(t, stages).stagesDiff(counts); diff != "" {
			rt.Fatalf("stages %+v with pieces %v: outcome (-want +got):\n%s", stages, counts, diff)
		}
	})
}

// Guards against a request whose time goes into walking its stages, since each way from one stage to another was
// walked by itself.
func TestManyWaysBetweenStages(t *testing.T) {
	const n = 40
	for name, omitted := range map[string]func(i int) bool{
		"all with pieces":       func(int) bool { return false },
		"the inner ones empty":  func(i int) bool { return i > 0 && i < n-1 },
		"every second one only": func(i int) bool { return i%2 == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			stages, counts := make([]mproute.StageSpec, n), make([]int, n)
			for i := range stages {
				stages[i] = stage(smallBytes)
				for in := range i {
					stages[i].After = append(stages[i].After, in)
				}
				if !omitted(i) {
					counts[i] = 1
				}
			}
			checkAllMade(t, stagesHarness(t, stages), counts)
		})
	}
}

// Guards against large results that are stored while another branch is made for the same request.
func TestLargeResultsAreMadeLate(t *testing.T) {
	chain := []mproute.StageSpec{stage(largeBytes), stage(smallBytes), stage(smallBytes, 1), stage(smallBytes, 2)}
	_, made := stagesHarness(t, chain).runStages([]int{1, 1, 1, 1})
	if slices.Index(made, 0) < slices.Index(made, 2) {
		t.Errorf("stages were made in the order %v, want 0 after 2", made)
	}
}

// Guards against forecasts that count a stage twice or leave one out.
func TestForecastOfStages(t *testing.T) {
	const call, wait = 100 * time.Millisecond, 50 * time.Millisecond
	r := stagesHarness(t, []mproute.StageSpec{stage(largeBytes), stage(smallBytes), stage(smallBytes, 1), stage(smallBytes, 2)})
	r.executor.waits = map[string]time.Duration{"work": wait}
	r.runStages([]int{1, 1, 1, 1})
	after := map[int]time.Duration{0: 0, 1: 2 * call, 2: call, 3: 0}
	specs := r.executor.specs
	slices.SortFunc(specs, func(a, b mpbatch.JobSpec) int { return a.Stage - b.Stage })
	for i, spec := range specs {
		got := []time.Duration{specs[0].Deadline.Sub(spec.Deadline), specs[0].SoftDeadline.Sub(spec.SoftDeadline)}
		if diff := cmp.Diff([]time.Duration{after[i], after[i] + after[i]/call*wait}, got); diff != "" {
			t.Errorf("how much earlier than stage 0 stage %d must be done at the latest, and to be in time (-want +got):\n%s", i, diff)
		}
	}
}
