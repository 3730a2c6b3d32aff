package mpbatch

import (
	"errors"
	"testing"
	"time"

	"mustardpost.org/core/common/mperror"
)

// Guards against calls for pieces that an upstream's limit does not allow being counted as
// failures of their pieces, and against pieces that wait for a limit past their deadline.
func TestCallsToUpstreamWithLimit(t *testing.T) {
	// deferCalls ends the running calls to u1, which its limit allows after wait only.
	deferCalls := func(m *sim, wait time.Duration) {
		for _, c := range m.calls {
			if c.Upstream.ID == "u1" {
				m.batcher.Finish(m.now, c.ID, Outcome{Status: Deferred, Wait: wait})
			}
		}
		m.calls = nil
		m.step()
	}
	t.Run("a deferred call goes to another upstream", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"}, Upstream{ID: "u2", DC: "b"})
		j := m.add(JobSpec{Request: "r", Count: 2}, time.Second)
		deferCalls(m, 2*time.Second)
		m.run(300 * time.Millisecond)
		checkDone(t, j, true)
		checkDCs(t, j, "b", "b")
	})
	t.Run("a deferred call is made when the limit allows it", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		j := m.add(JobSpec{Request: "r", Count: 1}, 2*time.Second)
		deferCalls(m, 500*time.Millisecond)
		m.run(400 * time.Millisecond)
		if n := len(m.started); n != 1 {
			t.Errorf("%d calls were made before the limit allows them, want the first one only", n)
		}
		m.run(300 * time.Millisecond)
		checkDone(t, j, true)
	})
	t.Run("deferred calls are no failures", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		j := m.add(JobSpec{Request: "r", Count: 1}, 4*time.Second)
		for range 3 * maxFailuresPerPiece {
			deferCalls(m, 10*time.Millisecond)
			m.now = m.now.Add(10 * time.Millisecond)
			m.step()
		}
		m.run(300 * time.Millisecond)
		checkDone(t, j, true)
	})
	t.Run("a job that the limits do not allow in time is refused at once", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		m.batcher.cfg.Rate = func(string) (float64, bool) { return 0.5, true }
		for range 2 {
			m.add(JobSpec{Request: "r", Count: 8}, 4*time.Second)
		}
		_, err := m.batcher.Add(m.now, JobSpec{Request: "late", Count: 8, SoftDeadline: m.now.Add(time.Second), Deadline: m.now.Add(2 * time.Second)})
		if !errors.Is(err, mperror.ErrDeadline) {
			t.Errorf("error %v, want ErrDeadline", err)
		}
	})
}
