package mprollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
)

var testFleet = Fleet{
	Upstreams: map[string]Upstreams{"v1": {Listed: 4, Usable: 4}, "v2": {Listed: 4, Usable: 4}},
	VMs:       []string{"vm"},
}

// play lets both versions answer without a fault, apart from failed answers of the target, until the roll-out ends or the time after
// the order has come, and returns the roll-out.
func (s *script) play(t *testing.T, until time.Duration, failed int, f Fleet) Rollout {
	t.Helper()
	for s.rollout.Running() && s.now.Before(testNow.Add(until)) {
		if s.rollout.Phase == PhaseShift {
			s.slice("v2", "r", 40, failed, 100*time.Millisecond, false)
		} else {
			s.slice("v1", "r", 36, 0, 100*time.Millisecond, false).slice("v2", "r", 4, failed, 100*time.Millisecond, false)
		}
		s.step(t, f)
		s.next()
	}
	return s.rollout
}

func (s *script) step(t *testing.T, f Fleet) {
	t.Helper()
	next, changed := Step(s.now, simSettings, s.rollout, s.ledger.Evidence(s.now, s.rollout.ID), f)
	if !changed {
		return
	}
	checkError(t, Advance(s.rollout, next), nil)
	s.rollout = next
	s.rec.SetPhase(next.Phase)
}

func checkEnd(t *testing.T, r Rollout, want State, from, to time.Duration) {
	t.Helper()
	after := time.Duration(r.EndedMs-r.StartedMs) * time.Millisecond
	if r.State != want || after < from || after > to {
		t.Errorf("%s after %v (%s), want %s after %v to %v", r.State, after, r.Reason, want, from, to)
	}
}

func TestStep(t *testing.T) {
	deadline := 12 * time.Second
	t.Run("good target", func(t *testing.T) {
		s := newScript(t)
		r := s.play(t, deadline, 0, testFleet)
		checkEnd(t, r, StateComplete, 6*time.Second, 11*time.Second)
		if after := r.Shifted().Sub(testNow); after < 4*time.Second || after > 7*time.Second {
			t.Errorf("shift after %v, want 4 s to 7 s", after)
		}
	})
	t.Run("bad target", func(t *testing.T) {
		checkEnd(t, newScript(t).play(t, deadline, 2, testFleet), StateReverted, 0, 2*time.Second)
	})
	t.Run("bad in the shift", func(t *testing.T) {
		s := newScript(t)
		s.play(t, 5200*time.Millisecond, 0, testFleet)
		for s.rollout.Phase == PhaseTrial {
			s.play(t, s.now.Sub(testNow)+sliceWidth, 0, testFleet)
		}
		from := s.now.Sub(testNow)
		checkEnd(t, s.play(t, deadline, 20, testFleet), StateReverted, from, from+2*time.Second)
	})
	t.Run("attempt runs on the old version", func(t *testing.T) {
		s := newScript(t)
		s.rec.Begin(s.now, "v1", "stream", false).Record(Answered{})
		checkEnd(t, s.play(t, deadline, 0, testFleet), StateComplete, 10*time.Second, 11*time.Second)
	})
	t.Run("VM has not reported the shift", func(t *testing.T) {
		f := testFleet
		f.VMs = []string{"vm", "silent"}
		checkEnd(t, newScript(t).play(t, deadline, 0, f), StateComplete, 10*time.Second, 11*time.Second)
	})
	t.Run("no evidence", func(t *testing.T) {
		s := newScript(t)
		for s.rollout.Running() && s.now.Before(testNow.Add(deadline)) {
			s.step(t, testFleet)
			s.next()
		}
		checkEnd(t, s.rollout, StateReverted, 10*time.Second, 11*time.Second)
	})
	t.Run("target loses its upstreams", func(t *testing.T) {
		s := newScript(t)
		s.play(t, 8*time.Second, 0, Fleet{Upstreams: testFleet.Upstreams, VMs: []string{"vm", "silent"}})
		f := Fleet{Upstreams: map[string]Upstreams{"v1": {Usable: 4}}, VMs: []string{"vm"}}
		checkEnd(t, s.play(t, deadline, 0, f), StateReverted, 10*time.Second, 11*time.Second)
	})
	t.Run("unknown list does not revert", func(t *testing.T) {
		checkEnd(t, newScript(t).play(t, deadline, 0, Fleet{VMs: []string{"vm"}}), StateComplete, 6*time.Second, 11*time.Second)
	})
	t.Run("nobody led until after the deadline", func(t *testing.T) {
		s := newScript(t)
		s.slice("v1", "r", 36, 0, time.Millisecond, false).slice("v2", "r", 4, 0, time.Millisecond, false)
		s.now = testNow.Add(time.Minute)
		s.step(t, testFleet)
		checkEnd(t, s.rollout, StateComplete, time.Minute, time.Minute)
	})
	t.Run("ended", func(t *testing.T) {
		r := Abort(testNow, newRollout(t), "ops")
		if _, changed := Step(testNow.Add(time.Hour), simSettings, r, Evidence{}, testFleet); changed {
			t.Error("an ended roll-out changed")
		}
	})
	t.Run("high rate gets a smaller share", func(t *testing.T) {
		s := newScript(t)
		for range 4 {
			s.slice("v1", "r", 360, 0, 100*time.Millisecond, false).slice("v2", "r", 40, 0, 100*time.Millisecond, false)
			s.step(t, testFleet)
			s.next()
		}
		if s.rollout.Share >= simSettings.ExposeShare {
			t.Errorf("share %v, want less than %v", s.rollout.Share, simSettings.ExposeShare)
		}
	})
}

// Guards against a roll-out that goes backwards, changes after its end or is still running after its deadline when leaders
// change and act on old rows and late evidence.
func TestStepRandom(t *testing.T) {
	t.Log("seed", mpseed.Fix())
	rapid.Check(t, func(t *rapid.T) {
		var row Rollout // The replicated row.
		now := testNow
		c, l := NewRecorder(row), NewLedger()
		stale := row
		orders := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second}).Draw(t, "delay"))
			next, old := row, row
			switch rapid.SampledFrom([]string{"order", "answer", "answer", "report", "leader", "stale", "step", "step", "step"}).Draw(t, "event") {
			case "order":
				req := testOrder
				req.Target = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "target")
				orders++
				req.ID = fmt.Sprint(orders)
				current := &row
				if row.ID == "" {
					current = nil
				}
				var repeated bool
				var err error
				if next, repeated, err = Order(now, current, req); err != nil || repeated {
					next = row
				}
			case "answer":
				a := c.Begin(now, rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), "r", false)
				if rapid.IntRange(0, 9).Draw(t, "failed") == 0 {
					a.Record(Failed{})
				} else {
					a.Record(Answered{Latency: time.Second})
				}
				if rapid.Bool().Draw(t, "ended") {
					a.End()
				}
			case "report":
				l.Merge(now, "vm", 1, c.Report(now))
			case "leader":
				l, stale = NewLedger(), row
			case "stale":
				next, _ = Step(now, simSettings, stale, l.Evidence(now, stale.ID), testFleet)
			case "step":
				next, _ = Step(now, simSettings, row, l.Evidence(now, row.ID), testFleet)
				if row.Running() && !now.Before(row.Deadline()) && next.Running() {
					t.Fatalf("running at %v after its deadline", now.Sub(row.Deadline()))
				}
			}
			if row.ID == "" && next.ID == "" || Advance(row, next) != nil {
				continue
			}
			if row = next; row.ID != old.ID {
				c = NewRecorder(row)
			}
			c.SetPhase(row.Phase)
			if old.ID != "" && old.ID == row.ID && (!old.Running() || old.Phase == PhaseShift && row.Phase == PhaseTrial) {
				t.Fatalf("went from %+v to %+v", old, row)
			}
		}
	})
}
