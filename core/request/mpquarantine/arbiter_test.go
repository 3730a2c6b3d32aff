package mpquarantine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against several VMs that try a suspect at once, and against a suspect that is never
// tried again because the VM that tried it has stopped.
func TestArbiter(t *testing.T) {
	const f, g = Feature(8), Feature(16)
	check := func(t *testing.T, want, got Permission) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("permission (-want +got):\n%s", diff)
		}
	}
	granted, busy := Permission{Granted: true}, Permission{Wait: busyWait}
	begin := func(a *Arbiter, ms int, f Feature, token uint64) Permission {
		return a.Begin(at(ms), Finding{f, Suspect}, token)
	}
	t.Run("one trial of a feature at a time", func(t *testing.T) {
		a := NewArbiter()
		check(t, granted, begin(a, 0, f, 1))
		check(t, busy, begin(a, 10, f, 2))
		check(t, granted, begin(a, 10, g, 3))
	})
	t.Run("the next one follows an answer at once", func(t *testing.T) {
		a := NewArbiter()
		begin(a, 0, f, 1)
		a.End(at(100), f, 1, false)
		check(t, granted, begin(a, 100, f, 2))
	})
	t.Run("the next one follows a loss after the VMs can know", func(t *testing.T) {
		a := NewArbiter()
		begin(a, 0, f, 1)
		a.End(at(100), f, 1, true)
		check(t, Permission{Wait: TrialDelay - 50*time.Millisecond}, begin(a, 150, f, 2))
		check(t, granted, begin(a, 100+int(TrialDelay.Milliseconds()), f, 3))
	})
	t.Run("the end of an earlier trial does not end the present one", func(t *testing.T) {
		a := NewArbiter()
		begin(a, 0, f, 1)
		check(t, granted, begin(a, int(trialLease.Milliseconds()), f, 2))
		a.End(at(5100), f, 1, false)
		check(t, busy, begin(a, 5200, f, 3))
	})
	t.Run("a trial whose VM stopped ends with its lease", func(t *testing.T) {
		a := NewArbiter()
		begin(a, 0, f, 1)
		check(t, busy, begin(a, int(trialLease.Milliseconds())-1, f, 2))
		check(t, granted, begin(a, int(trialLease.Milliseconds()), f, 2))
	})
	t.Run("a grant whose reply was lost is granted again", func(t *testing.T) {
		a := NewArbiter()
		begin(a, 0, f, 1)
		check(t, granted, begin(a, 10, f, 1))
	})
	t.Run("none begins right after the VMs have changed", func(t *testing.T) {
		a := NewArbiter()
		a.Pause(at(0))
		check(t, Permission{Wait: TrialDelay}, begin(a, 0, f, 1))
		check(t, granted, begin(a, int(TrialDelay.Milliseconds()), f, 1))
	})
	t.Run("noted content is tried also then", func(t *testing.T) {
		a := NewArbiter()
		a.Pause(at(0))
		check(t, granted, a.Begin(at(0), Finding{f, Noted}, 1))
	})
}
