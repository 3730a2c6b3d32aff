package mprollout

import (
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"testing"
	"time"
)

var goodTarget = fault{name: "good"}

// badTargets are the kinds of bad targets that are simulated.
//
// How soon a kind is found depends on its bad answers. A roll-out of 12 s at 43 requests a second allows 0.1 * 516
// + 50 = 101 requests to a bad target. Of these about 30 are on their way when it is judged (0.7 s until all VMs act
// on a decision), and 17 have been answered but not reported (0.4 s), which leaves 54 to judge by.
// It takes 4 or 5 failures to prove a fault with an error of 1 in 1,000 (a failure is 6 to 15 times as likely on
// the old versions, which get so many more requests).
//   - 2% of 54 answers are 1 failure and 5% are 3, which is not enough. Of 95 requests a second for 30 s
//     about 230 answers are left to judge by, of which 5% are 11.
//   - Answers that take twice the time are within the tolerance for upstreams of unlike speed. Of those that take 3 times the
//     time, 1.5 times remain. With a standard deviation of the logarithm of 0.65 (sizes, upstreams and their slow spells) an answer gives
//     a likelihood ratio of exp((ln 1.5 / 0.65)^2 / 2) = 1.2, so that it takes about 50 answers of warm upstreams.
//   - A fault that shows only when the target gets all requests gets 95 of them in the second that passes until all VMs act on
//     the first report. The trial leaves that many free, but not more time to tell a weak fault from one of both versions, or to wait
//     for slow answers.
var badTargets = []fault{
	{name: "2% fail", fail: 0.02, reportOnly: true},
	{name: "5% fail", fail: 0.05, marginal: true},
	{name: "10% fail", fail: 0.1, marginal: true},
	{name: "20% fail", fail: 0.2, marginal: true},
	{name: "50% fail", fail: 0.5},
	{name: "all fail", fail: 1},
	{name: "2 times slower", slow: 1, factor: 2, reportOnly: true},
	{name: "3 times slower", slow: 1, factor: 3, marginal: true},
	{name: "4 times slower", slow: 1, factor: 4, marginal: true},
	{name: "6 times slower", slow: 1, factor: 6, marginal: true},
	{name: "30% 4 times slower", slow: 0.3, factor: 4, reportOnly: true},
	{name: "30% 8 times slower", slow: 0.3, factor: 8, reportOnly: true},
	{name: "50% fail on one route", fail: 0.5, onRoute: true, reportOnly: true},
	{name: "one route 6 times slower", slow: 1, factor: 6, onRoute: true, reportOnly: true},
	{name: "20% fail in the shift", fail: 0.2, inShift: true, reportOnly: true},
	{name: "50% fail in the shift", fail: 0.5, inShift: true, reportOnly: true},
	{name: "4 times slower in the shift", slow: 1, factor: 4, inShift: true, reportOnly: true},
	{name: "30% fail later", fail: 0.3, later: true, reportOnly: true},
	{name: "4 times slower later", slow: 1, factor: 4, later: true, reportOnly: true},
}

const (
	goodRuns = 1000
	// badRuns is the number of roll-outs of each kind of bad target, 1,064 in all.
	badRuns = 56
)

// scenarios returns n roll-outs, over all rates and durations.
func scenarios(n int, seed uint64, f fault, inShift string) []scenario {
	list := make([]scenario, n)
	for i := range list {
		list[i] = scenario{
			seed: seed + uint64(i), fault: f, inShift: inShift, rate: []float64{43, 95}[i%2],
			duration: 12*time.Second + time.Duration(i/2%7)*3*time.Second,
		}
	}
	return list
}

// simulate runs all scenarios, four at a time.
func simulate(t *testing.T, list []scenario) []result {
	t.Helper()
	// The small heap of a test would be collected without end.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	results := make([]result, len(list))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i, sc := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = newWorld(t, sc).run()
		})
	}
	wg.Wait()
	return results
}

// tally sums up the results of one kind of target.
type tally struct {
	runs, reverted, complete, late, overBound, overTime int
	// exposure is the greatest exposure in units of its bound.
	exposure float64
	// times holds the times from the first bad answer to the end.
	times []time.Duration
}

func newTally(results []result) tally {
	var y tally
	for _, r := range results {
		y.runs++
		y.exposure = max(y.exposure, float64(r.exposed)/r.bound())
		if float64(r.exposed) > r.bound() {
			y.overBound++
		}
		if r.bad50 > 0 && r.lastSent > r.bad50+simSettings.RollbackTime {
			y.overTime++
		}
		switch r.rollout.State {
		case StateReverted:
			y.reverted++
			y.times = append(y.times, time.UnixMilli(r.rollout.EndedMs).Sub(simEpoch)-r.shownAt)
		case StateComplete:
			y.complete++
		}
		if r.rollout.Running() || r.rollout.EndedMs > r.rollout.DeadlineMs {
			y.late++
		}
	}
	slices.Sort(y.times)
	return y
}

const tallyHead = "target                         runs reverted over-bound max-exposure over-time median-s    max-s"

// String returns a row of the table.
func (y tally) row(name string) string {
	median, longest := 0.0, 0.0
	if n := len(y.times); n > 0 {
		median, longest = y.times[n/2].Seconds(), y.times[n-1].Seconds()
	}
	return fmt.Sprintf("%-29s %5d %8d %10d %12.2f %9d %8.1f %8.1f", name, y.runs, y.reverted, y.overBound, y.exposure, y.overTime, median, longest)
}

// Guards against a good target that is reverted, also by faults that strike both versions, and against a roll-out that is
// still running at its deadline.
func TestSimulatedGoodTargets(t *testing.T) {
	results := simulate(t, scenarios(goodRuns, 1, goodTarget, ""))
	y := newTally(results)
	t.Logf("\n%s\n%s", tallyHead, y.row("good"))
	for _, r := range results {
		if r.rollout.State != StateComplete {
			t.Errorf("%s after %d ms, want complete: %s", r.rollout.State, r.rollout.EndedMs-r.rollout.StartedMs, r.rollout.Reason)
		}
	}
	if y.late > 0 {
		t.Errorf("%d roll-outs had not ended at their deadline, want 0", y.late)
	}
}

// Guards against a bad target that is not reverted, or that gets more requests than the settings allow.
func TestSimulatedBadTargets(t *testing.T) { checkBadTargets(t, false) }

// Guards against a target that is bad by a little and is not reverted, or that gets more requests than the settings allow.
func TestSimulatedMarginalTargets(t *testing.T) { checkBadTargets(t, true) }

// checkBadTargets simulates the kinds of bad targets that are marginal, or those that are not.
func checkBadTargets(t *testing.T, marginal bool) {
	t.Helper()
	t.Log(tallyHead)
	for i, f := range badTargets {
		if f.marginal != marginal {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			y := newTally(simulate(t, scenarios(badRuns, uint64(10_000*(i+1)), f, "")))
			t.Log(y.row(f.name))
			if y.late > 0 {
				t.Errorf("%d roll-outs had not ended at their deadline, want 0", y.late)
			}
			if f.reportOnly {
				return
			}
			if y.reverted != y.runs || y.overBound > 0 || y.overTime > 0 {
				t.Errorf("%d of %d reverted, %d over the bound of requests, %d over that of time; want all, 0, 0", y.reverted, y.runs, y.overBound, y.overTime)
			}
		})
	}
}

// Reports how many good targets are reverted when a fault strikes both versions in the shift. Then the old versions get
// only what is retried after a failure, so that nothing tells slowness from that of the target, which is why it is no part of the
// test of good targets.
func TestSimulatedCommonFaultsInShift(t *testing.T) {
	t.Log(tallyHead)
	for i, kind := range []string{"slow", "errors", "losses"} {
		y := newTally(simulate(t, scenarios(badRuns, uint64(500_000+10_000*i), goodTarget, kind)))
		t.Log(y.row("good, in the shift " + kind))
		if y.late > 0 {
			t.Errorf("%s: %d roll-outs had not ended at their deadline, want 0", kind, y.late)
		}
	}
}
