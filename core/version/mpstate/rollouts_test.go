package mpstate

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpview"
)

// newTestRollout returns a roll-out that was ordered at testNowMs.
func newTestRollout(id string) mprollout.Rollout {
	return mprollout.Rollout{
		Pool: "p", Target: "v2", Base: []string{"v1"}, ID: id, Who: "ana", StartedMs: testNowMs, DeadlineMs: testNowMs + 12_000,
		State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.1,
	}
}

func newRevert(r mprollout.Rollout, reason string) mprollout.Rollout {
	r.State, r.Share, r.EndedMs, r.Reason = mprollout.StateReverted, 0, r.StartedMs+3000, reason
	return r
}

func roll(r mprollout.Rollout) mpview.Change { return mpview.Change{Op: mpview.Roll{Rollout: r}} }

// Guards against a step of a roll-out that VMs get late, and against an audit trail that does not
// tell who ordered a roll-out and why it was reverted.
func TestRollIsUrgentAndAudited(t *testing.T) {
	m := New()
	_, urgent := m.Urgent()
	first := newTestRollout("a")
	checkCode(t, apply(t, m, testNowMs, Change{ID: "1", Who: "ana", Change: roll(first)}), CodeDone)
	select {
	case <-urgent:
	default:
		t.Error("the roll-out is not urgent")
	}
	reverted := newRevert(first, "failures")
	checkCode(t, apply(t, m, testNowMs+3000, Change{ID: "2", Who: "system", Change: roll(reverted)}), CodeDone)
	checkCode(t, apply(t, m, testNowMs+4000, Change{ID: "3", Who: "system", Change: roll(first)}), CodeConflict)
	got := m.Audit(0, 10)
	want := []AuditRecord{
		{Revision: 1, At: testNowMs, Who: "ana", ID: "1", Change: mpview.Change{Revision: 1, Op: mpview.Roll{Rollout: first}}},
		{Revision: 2, At: testNowMs + 3000, Who: "system", ID: "2", Change: mpview.Change{Revision: 2, Op: mpview.Roll{Rollout: reverted}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("audit trail (-want +got):\n%s", diff)
	}
}

// Guards against a voter that cannot start from a snapshot of an earlier build, which has no
// roll-outs.
func TestSnapshotWithoutRollouts(t *testing.T) {
	const snapshot = `{"view":{"revision":3,"catalogue":{},"out":null,"touched":null,"vms":{"vm1":{"name":"vm1","dc":"a","boot":1,"address":"","peer":"p"}},` +
		`"owners":null,"strikes":null,"routing":{"version":2,"source":{}}},"deltas":null,"first":4,"audit":null,"answers":null,"claims":[],"swept":0,` +
		`"clock":1000000000000,"orders":{"last":null,"fence":0}}`
	m := New()
	if err := m.Restore([]byte(snapshot)); err != nil {
		t.Fatal(err)
	}
	if got := m.View().Rollouts(); len(got) > 0 {
		t.Errorf("got roll-outs %v, want none", got)
	}
	first := newTestRollout("a")
	checkCode(t, apply(t, m, testNowMs, Change{ID: "1", Change: roll(first)}), CodeDone)
	data, err := m.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]mprollout.Rollout{first}, other.View().Rollouts()); diff != "" {
		t.Errorf("roll-outs of a restored snapshot (-want +got):\n%s", diff)
	}
}
