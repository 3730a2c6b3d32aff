package mprollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mustardpost.org/core/common/mpseed"

	"pgregory.net/rapid"
)

// Guards against a test statistic whose false alarms are more frequent than stated: its mean must be 1 for a target that
// fails as often as the old versions.
func TestEValueMean(t *testing.T) {
	for _, tc := range []table{{n1: 4, n0: 39, x0: 3}, {n1: 40, n0: 10, x0: 20}, {n1: 30, n0: 300, x0: 1}, {n1: 200, n0: 300, x0: 90}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			bad, mean := tc.x0, 0.0
			for k := max(0, bad-tc.n0); k <= min(bad, tc.n1); k++ {
				// The probability that k of the failures are the target's if all answers are alike.
				p := math.Exp(logChoose(tc.n1, k) + logChoose(tc.n0, bad-k) - logChoose(tc.n1+tc.n0, bad))
				mean += p * math.Exp(table{n1: tc.n1, x1: k, n0: tc.n0, x0: bad - k}.logE(6))
			}
			if mean > 1+1e-9 {
				t.Errorf("mean %v, want at most 1", mean)
			}
		})
	}
}

func logChoose(n, k int) float64 {
	return -logBeta(float64(k+1), float64(n-k+1)) - math.Log(float64(n+1))
}

// script is what the versions of a roll-out answer, a slice of time after the other.
type script struct {
	rollout Rollout
	ledger  *Ledger
	rec     *Recorder
	now     time.Time
	rng     *rand.Rand
}

func newScript(t *testing.T) *script {
	t.Helper()
	r := newRollout(t)
	return &script{rollout: r, ledger: NewLedger(), rec: NewRecorder(r), now: testNow, rng: rand.New(rand.NewPCG(1, 1))}
}

func (s *script) shift() {
	s.rollout = shifted(s.rollout, s.now.Sub(testNow))
	s.rec.SetPhase(PhaseShift)
}

// slice lets the version answer n attempts in about 100 ms on a route, of which some fail, and then reports.
func (s *script) slice(version, route string, n, failed int, latency time.Duration, lost bool) *script {
	for i := range n {
		a := s.rec.Begin(s.now, version, route, false)
		if i < failed {
			a.Record(Failed{Lost: lost})
		} else {
			a.Record(Answered{Latency: time.Duration(float64(latency) * math.Exp(0.3*s.rng.NormFloat64()))})
		}
		a.End()
	}
	s.ledger.Merge(s.now, "vm", 1, s.rec.Report(s.now))
	return s
}

func (s *script) next() { s.now = s.now.Add(sliceWidth) }

func (s *script) verdict() Verdict { return Judge(s.rollout, s.ledger.Evidence(s.now, s.rollout.ID)) }

func TestJudge(t *testing.T) {
	const ms = time.Millisecond
	// Each case plays its slices after 8 of both versions without a fault.
	tests := []struct {
		name  string
		shift bool
		play  func(s *script, i int)
		want  string
	}{
		{"both without a fault", false, func(s *script, _ int) {
			s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, 0, 100*ms, false)
		}, "good"},
		{"target fails", false, func(s *script, _ int) {
			s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, 1, 100*ms, false)
		}, "bad"},
		{"both fail alike", false, func(s *script, _ int) {
			s.slice("v1", "r", 36, 18, 100*ms, false).slice("v2", "r", 4, 2, 100*ms, false)
		}, "not bad"},
		{"one failure", false, func(s *script, i int) {
			s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, max(1-i, 0), 100*ms, false)
		}, "not bad"},
		{"a crash loses all attempts of an upstream", false, func(s *script, i int) {
			s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, 4*max(1-i, 0), 100*ms, true)
		}, "not bad"},
		{"target is 6 times slower", false, func(s *script, _ int) {
			s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, 0, 600*ms, false)
		}, "bad"},
		{"both are 6 times slower for a while", false, func(s *script, i int) {
			slow := time.Duration(1)
			if i < 3 {
				slow = 6
			}
			s.slice("v1", "r", 36, 0, 100*ms*slow, false).slice("v2", "r", 4, 0, 100*ms*slow, false)
		}, "not bad"},
		{"target is as slow as a slower upstream", false, func(s *script, _ int) {
			s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, 0, 167*ms, false)
		}, "not bad"},
		{"target waits without an answer", false, func(s *script, _ int) {
			s.slice("v1", "r", 36, 0, 100*ms, false)
			for range 4 {
				s.rec.Begin(s.now, "v2", "r", false)
			}
		}, "bad"},
		{"target fails on one of ten routes", false, func(s *script, i int) {
			for j := range 10 {
				route := fmt.Sprint("r", j)
				s.slice("v1", route, 9, 0, 100*ms, false).slice("v2", route, 1, max(1-j, 0), 100*ms, false)
			}
		}, "bad"},
		{"target fails after the shift, retries do not", true, func(s *script, _ int) {
			s.slice("v1", "r", 8, 0, 100*ms, false).slice("v2", "r", 32, 8, 100*ms, false)
		}, "bad"},
		{"target fails after the shift without retries", true, func(s *script, _ int) {
			s.slice("v2", "r", 40, 8, 100*ms, false)
		}, "bad"},
		{"retries fail too", true, func(s *script, _ int) {
			s.slice("v1", "r", 16, 8, 100*ms, false).slice("v2", "r", 32, 16, 100*ms, false)
		}, "not bad"},
		{"target is slow after the shift", true, func(s *script, _ int) { s.slice("v2", "r", 40, 0, 500*ms, false) }, "bad"},
		{"target is as before after the shift", true, func(s *script, _ int) { s.slice("v2", "r", 40, 0, 100*ms, false) }, "good"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newScript(t)
			for range 8 {
				s.slice("v1", "r", 36, 0, 100*ms, false).slice("v2", "r", 4, 0, 100*ms, false).next()
			}
			if tc.shift {
				s.shift()
			}
			for i := range 10 {
				tc.play(s, i)
				s.next()
			}
			s.ledger.Merge(s.now, "vm", 1, s.rec.Report(s.now))
			v := s.verdict()
			if tc.want == "not bad" && v.Bad() || tc.want == "bad" && !v.Bad() || tc.want == "good" && !v.Good() {
				t.Errorf("verdict %+v, want %s", v, tc.want)
			}
		})
	}
	t.Run("no evidence", func(t *testing.T) {
		if v := Judge(newRollout(t), Evidence{}); v.Good() || v.Bad() {
			t.Errorf("verdict %+v, want unknown", v)
		}
	})
}

// Guards against more requests to the target than its share, and against a choice that follows a pattern of the requests.
func TestExposure(t *testing.T) {
	t.Log("seed", mpseed.Fix())
	rapid.Check(t, func(t *rapid.T) {
		e := NewExposure(rapid.Uint64().Draw(t, "seed"))
		allowed, sent := rapid.Float64Range(0, 1).Draw(t, "granted"), 0.0
		e.Grant(allowed)
		for _, share := range rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 500).Draw(t, "shares") {
			allowed += share
			if e.Admit(share) {
				sent++
				if rapid.IntRange(0, 5).Draw(t, "refund") == 0 {
					e.Refund()
					sent--
				}
			}
			if sent > allowed+1e-6 {
				t.Fatalf("%v requests sent, want at most %v", sent, allowed)
			}
		}
	})
	t.Run("share of a pattern", func(t *testing.T) {
		var e Exposure
		byRoute := [10]int{}
		for i := range 100_000 {
			if e.Admit(0.1) {
				byRoute[i%10]++
			}
		}
		for route, n := range byRoute {
			if n < 800 || n > 1200 {
				t.Errorf("%d requests of route %d, want about 1000", n, route)
			}
		}
	})
	t.Run("all in the shift", func(t *testing.T) {
		var e Exposure
		for range 10 {
			if !e.Admit(1) {
				t.Fatal("not admitted, want all")
			}
		}
	})
}
