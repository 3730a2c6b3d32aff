package mpspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var begin = time.Unix(1_000, 0)

const work = 200 * time.Millisecond

func checkFactor(t *testing.T, b *Board, now time.Time, id string, want, tolerance float64) {
	t.Helper()
	if got := b.Factor(now, id); math.Abs(got-want) > tolerance {
		t.Errorf("factor of %s is %v, want %v within %v", id, got, want, tolerance)
	}
}

func checkDuration(t *testing.T, b *Board, now time.Time, want time.Duration) {
	t.Helper()
	if got := b.Duration(now, "u", work); (got - want).Abs() > time.Millisecond {
		t.Errorf("%v of work take %v, want %v", work, got, want)
	}
}

// Guards against a Board that makes a difference between upstreams of which it knows nothing.
func TestNoData(t *testing.T) {
	b := New(Config{ResponseWeight: 1})
	checkFactor(t, b, begin, "u", 1, 0)
	checkDuration(t, b, begin, work)
	if least, greatest := b.Range(begin); least != 1 || greatest != 1 {
		t.Errorf("factors from %v to %v, want 1", least, greatest)
	}
	if _, ok := b.Age(begin, "u"); ok {
		t.Error("an upstream that never reported counts as one that reports")
	}
	for range 100 {
		b.Observe(begin, "u", work, work)
		b.Report(begin, "v", 100)
	}
	checkFactor(t, b, begin, "u", 1, 0)
	checkFactor(t, b, begin, "v", 1, 0)
}

// Guards against a report that counts for longer than upstreams are slow at a time, or forever.
func TestReportAges(t *testing.T) {
	b := New(Config{})
	for i := range 60 {
		b.Report(begin.Add(time.Duration(i)*time.Second), "u", 100)
	}
	now := begin.Add(time.Minute)
	b.Report(now, "u", 250)
	checkFactor(t, b, now, "u", 2.5, 0.2)
	checkFactor(t, b, now.Add(transientDuration/2), "u", 1.75, 0.1)
	checkFactor(t, b, now.Add(transientDuration), "u", 1, 0)
	checkFactor(t, b, now.Add(-time.Hour), "u", 2.5, 0.2)
	b.Report(now.Add(time.Millisecond), "u", 100)
	checkFactor(t, b, now.Add(time.Millisecond), "u", 1, 0.1)
}

// Guards against figures out of bounds in the factors.
func TestAbsurdFigures(t *testing.T) {
	b := New(Config{ResponseWeight: 1})
	for _, percent := range []float64{0, -100, 1, 1e9, math.NaN(), math.Inf(1), math.Inf(-1)} {
		if b.Report(begin, "u", percent) {
			t.Errorf("%v %% is believed", percent)
		}
	}
	for _, took := range []time.Duration{0, -work} {
		if b.Observe(begin, "u", work, took) || b.Observe(begin, "u", took, work) {
			t.Errorf("a duration of %v is believed", took)
		}
	}
	checkFactor(t, b, begin, "u", 1, 0)
	for i := range 1000 {
		b.Observe(begin.Add(time.Duration(i)*time.Second), "u", 1, time.Hour)
	}
	checkFactor(t, b, begin.Add(1000*time.Second), "u", maxFactor, 1)
}

// Guards against an expected duration that ignores that an upstream is slow for a moment only.
func TestDuration(t *testing.T) {
	b := New(Config{})
	b.Report(begin, "u", 100)
	b.states["u"].usual = level{}
	b.Report(begin, "u", 250)
	b.states["u"].usual = level{}
	// The factor falls from 2.5 to 1 in 0.6 s: 1 s times (1 - exp(-0.5)).
	checkDuration(t, b, begin, 393*time.Millisecond)
	checkDuration(t, b, begin.Add(transientDuration), work)
	// Work that takes longer than the factor counts has 0.367 s done at its end.
	if got, want := b.Duration(begin, "u", time.Second), 1233*time.Millisecond; (got - want).Abs() > time.Millisecond {
		t.Errorf("1 s of work takes %v, want %v", got, want)
	}
}

// responses plays responses of upstreams that work at three speeds and of which a sixth is 2.5
// times slower for 600 ms at a time, and returns the time at the end.
func responses(b *Board, seed uint64, reports, includesSpeed bool, length time.Duration) time.Time {
	random := rand.New(rand.NewPCG(seed, 1))
	slowUntil, nextAt := map[string]time.Time{}, map[string]time.Time{}
	now := begin
	for ; now.Before(begin.Add(length)); now = now.Add(10 * time.Millisecond) {
		for i, speed := range speeds {
			id := fmt.Sprint("u", i)
			if now.After(slowUntil[id].Add(transientDuration)) && random.IntN(240) == 0 {
				slowUntil[id] = now.Add(transientDuration)
			}
			transient := 1.0
			if now.Before(slowUntil[id]) {
				transient = 2.5
			}
			if now.Before(nextAt[id]) {
				continue
			}
			if reports {
				percent := 100 * transient
				if includesSpeed {
					percent /= speed
				}
				b.Report(now, id, percent)
			}
			took := time.Duration(float64(work) * transient / speed)
			b.Observe(now, id, work, took)
			nextAt[id] = now.Add(took)
		}
	}
	return now.Add(transientDuration)
}

var speeds = []float64{0.6, 1, 1.6}

// Guards against long-term factors that follow the moments in which an upstream is slow, and
// against the speed counted twice where reports include it.
func TestThreeSpeeds(t *testing.T) {
	for name, c := range map[string]struct{ reports, includesSpeed bool }{
		"without reports": {}, "with reports": {reports: true}, "with reports that include the speed": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				b := New(Config{ResponseWeight: 1})
				now := responses(b, seed, c.reports, c.includesSpeed, time.Minute)
				for i, speed := range speeds {
					// The moments in which upstreams are slow raise their mean by a seventh.
					checkFactor(t, b, now, fmt.Sprint("u", i), 1.07/speed, 0.25/speed)
				}
			}
		})
	}
}

// Guards against an upstream that is not chosen any more since it was slow long ago.
func TestSilentUpstreamReturnsToUsual(t *testing.T) {
	b := New(Config{ResponseWeight: 1})
	for i := range 20 {
		b.Observe(begin.Add(time.Duration(i)*time.Second), "u", work, 4*work)
	}
	now := begin.Add(20 * time.Second)
	checkFactor(t, b, now, "u", 4, 0.8)
	checkFactor(t, b, now.Add(5*time.Minute), "u", 1, 0.05)
}

// Guards against an upstream that has become slow for long and is used for long as if it were not.
func TestLastingChange(t *testing.T) {
	b := New(Config{ResponseWeight: 1})
	now := begin
	for range 60 {
		b.Observe(now, "u", work, work)
		now = now.Add(time.Second)
	}
	for range 6 {
		b.Observe(now, "u", work, 4*work)
		now = now.Add(time.Second)
	}
	if got := b.Factor(now.Add(time.Second), "u"); got < 2 {
		t.Errorf("factor %v after six calls that took four times as long, want at least 2", got)
	}
}

func TestPrune(t *testing.T) {
	b := New(Config{})
	b.Report(begin, "listed", 250)
	b.Report(begin, "gone", 250)
	isListed := func(id string) bool { return id == "listed" }
	b.Prune(begin.Add(retention), isListed)
	if len(b.states) != 2 {
		t.Errorf("%d upstreams are kept within the retention, want 2", len(b.states))
	}
	b.Prune(begin.Add(retention+1), isListed)
	if _, ok := b.states["gone"]; ok || len(b.states) != 1 {
		t.Errorf("%d upstreams are kept, want the listed one", len(b.states))
	}
}
