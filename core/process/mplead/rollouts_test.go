package mplead

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

var testRollouts = mprollout.Settings{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second, AckTime: 5 * time.Second}

// oneVoter is a replicated log with one member, which may have no lease.
type oneVoter struct {
	machine  *mpstate.Machine
	isLeader bool
	// proposed counts the commands.
	proposed int
}

var _ Replica = (*oneVoter)(nil)

func (v *oneVoter) HasLease() bool { return v.isLeader }

func (v *oneVoter) Propose(_ context.Context, command []byte) ([]byte, error) {
	if !v.isLeader {
		return nil, mperror.ErrNotLeader
	}
	v.proposed++
	return v.machine.Apply(0, command), nil
}

func (*oneVoter) Status() mpreplica.Status { return mpreplica.Status{} }

func (*oneVoter) LeaderInfo() mpquorum.MemberInfo { return mpquorum.MemberInfo{Address: "leader"} }

// fixedList is a platform's list of upstreams that is read at once, unless err is set.
type fixedList struct {
	rows []mplist.Row
	err  error
}

func (l *fixedList) List(context.Context) ([]mplist.Row, error) { return l.rows, l.err }

func newTestList() *fixedList {
	return &fixedList{rows: []mplist.Row{
		{ID: "a", Pool: "p", DC: "north", Version: "v1"},
		{ID: "b", Pool: "p", DC: "south", Version: "v1"},
		{ID: "c", Pool: "p", DC: "north", Version: "v2", ColdMs: 3000},
		{ID: "d", Pool: "p", DC: "north", Version: "v2", Leaving: true},
		{ID: "e", Pool: "q", DC: "north", Version: "v9"},
	}}
}

func newTestOrder(id, target string) mpstate.RolloutOrder {
	return mpstate.RolloutOrder{
		ID: id, Who: "ana", Pool: "p", Target: target, DurationMs: 20_000, Share: testRollouts.ExposeShare,
		AckMs: testRollouts.AckTime.Milliseconds(),
	}
}

// newTestLeader returns the leader of one voter, which leads and has read the list.
func newTestLeader(t *testing.T) (*Leader, *oneVoter) {
	t.Helper()
	v := &oneVoter{machine: mpstate.New(), isLeader: true}
	l := New(Config{
		Replica: v, StateMachine: v.machine, Logger: log.NewNopLogger(), LeaseDuration: fleetLease, Upstreams: newTestList(), Rollouts: testRollouts,
	})
	l.refreshUpstreamList(t.Context(), time.Now())
	return l, v
}

func order(t *testing.T, l *Leader, o mpstate.RolloutOrder) mpstate.Result {
	t.Helper()
	r, err := l.Propose(t.Context(), o)
	if err != nil {
		t.Fatalf("order %s: %v", o.ID, err)
	}
	return r
}

// checkCounters fails unless the counters with these names are 1.
func checkCounters(t *testing.T, l *Leader, names ...string) {
	t.Helper()
	for _, name := range names {
		if got := l.cfg.Metrics.Count(name); got != 1 {
			t.Errorf("%s is %d, want 1", name, got)
		}
	}
}

// Guards against old versions that come from the list of the VM which an operator reached, which may
// be older than that of the leader.
func TestOrderOfARollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t)
		first := order(t, l, newTestOrder("a", "v2"))
		want := &mprollout.Rollout{
			Pool: "p", Target: "v2", Base: []string{"v1"}, ID: "a", Who: "ana", StartedMs: time.Now().UnixMilli(),
			DeadlineMs: time.Now().Add(20 * time.Second).UnixMilli(), ChangedMs: time.Now().UnixMilli(), State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.1,
		}
		if diff := cmp.Diff(want, first.Rollout); diff != "" {
			t.Errorf("roll-out (-want +got):\n%s", diff)
		}
		again := order(t, l, newTestOrder("b", "v2"))
		if diff := cmp.Diff(want, again.Rollout); diff != "" {
			t.Errorf("roll-out of the repeated order (-want +got):\n%s", diff)
		}
		if r := order(t, l, newTestOrder("c", "v3")); !errors.Is(r.Err(), mperror.ErrConflict) {
			t.Errorf("order of another target: %v, want ErrConflict", r.Err())
		}
		checkCounters(t, l, "rollout.ordered", "rollout.repeated", "rollout.refused")
	})
}

// Guards against an order that is refused as invalid, or begins without old versions, since a new
// leader has not read the list yet.
func TestOrderWaitsForTheList(t *testing.T) {
	const readAfter = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		l, v := newTestLeader(t)
		<-time.After(time.Second)
		l.OnLeadershipChange(time.Now(), true)
		time.AfterFunc(readAfter, func() { l.refreshUpstreamList(t.Context(), time.Now().Add(upstreamListInterval)) })
		start := time.Now()
		r := order(t, l, newTestOrder("a", "v2"))
		if took := time.Since(start); took < readAfter || r.Rollout == nil || len(r.Rollout.Base) == 0 {
			t.Errorf("%+v after %v", r, took)
		}
		l.OnLeadershipChange(time.Now().Add(time.Second), true)
		start = time.Now()
		if r := order(t, l, newTestOrder("b", "v2")); r.Rollout == nil || r.Rollout.ID != "a" || time.Since(start) > 0 {
			t.Errorf("the repeated order got %+v after %v, want the roll-out a at once", r, time.Since(start))
		}
		if r := order(t, l, newTestOrder("c", "v3")); !errors.Is(r.Err(), mperror.ErrConflict) || time.Since(start) > 0 {
			t.Errorf("the order of another target got %+v after %v, want a conflict at once", r, time.Since(start))
		}
		proposed := v.proposed
		other := newTestOrder("d", "v3")
		other.Pool = "q"
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		if _, err := l.Propose(ctx, other); !errors.Is(err, mperror.ErrNotLeader) || v.proposed != proposed {
			t.Errorf("order without a list: %v, %d commands proposed; want ErrNotLeader and none", err, v.proposed-proposed)
		}
	})
}

func TestOrderWithoutLeaderOrPlatform(t *testing.T) {
	l, v := newTestLeader(t)
	v.isLeader = false
	if _, err := l.Propose(t.Context(), newTestOrder("a", "v2")); !errors.Is(err, mperror.ErrNotLeader) {
		t.Errorf("order at a voter that does not lead: %v, want ErrNotLeader", err)
	}
	v.isLeader, l.cfg.Upstreams = true, nil
	if r := order(t, l, newTestOrder("a", "v2")); !errors.Is(r.Err(), mperror.ErrInvalid) {
		t.Errorf("order without a platform: %v, want ErrInvalid", r.Err())
	}
}

// newBadReport returns a report by which any judge finds the target of r bad.
func newBadReport(r mprollout.Rollout, vm string) *mpwire.ReportRequest {
	rec := mprollout.NewRecorder(r)
	for range 400 {
		old, target := rec.Begin(time.Now(), "v1", "route", false), rec.Begin(time.Now(), r.Target, "route", false)
		old.Record(mprollout.Answered{Latency: 20 * time.Millisecond})
		target.Record(mprollout.Failed{})
	}
	return &mpwire.ReportRequest{Vm: vm, Boot: 1, Counts: mpwire.EncodeCounts(rec.Report(time.Now()))}
}

func checkState(t *testing.T, v *oneVoter, want mprollout.State) {
	t.Helper()
	if r, _ := v.machine.View().Rollout("p"); r.State != want {
		t.Errorf("the roll-out is %q, want %q", r.State, want)
	}
}

// Guards against reports that a voter takes over which does not lead, so that the leader never gets
// them, and against counts of roll-outs that have ended, which nothing would drop.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, v := newTestLeader(t)
		first := *order(t, l, newTestOrder("a", "v2")).Rollout
		v.isLeader = false
		got := l.Report(time.Now(), newBadReport(first, "vm1"))
		if got.GetDone() || got.GetLeader() != "leader" {
			t.Errorf("a voter that does not lead replied %v", got)
		}
		v.isLeader = true
		unknown := first
		unknown.ID = "other"
		for _, r := range []mprollout.Rollout{unknown, first, first} {
			if got := l.Report(time.Now(), newBadReport(r, "vm1")); !got.GetDone() {
				t.Errorf("the leader replied %v", got)
			}
		}
		if got := l.rolloutEvidence(time.Now(), "other").Total(nil, "v2"); got.Answers != 0 {
			t.Errorf("%d answers of an unknown roll-out, want 0", got.Answers)
		}
		if got := l.rolloutEvidence(time.Now(), "a").Total(nil, "v2"); got.Answers != 400 || got.Failures != 400 {
			t.Errorf("%+v, want 400 answers that failed", got)
		}
		l.OnLeadershipChange(time.Now(), true)
		if got := l.rolloutEvidence(time.Now(), "a").Total(nil, "v2"); got.Answers != 0 {
			t.Errorf("a new leader begins with %d answers, want 0", got.Answers)
		}
	})
}

// Guards against a new leader that decides by a part of the counts, and against a voter that decides
// without leading.
func TestNewLeaderWaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, v := newTestLeader(t)
		first := *order(t, l, newTestOrder("a", "v2")).Rollout
		l.OnLeadershipChange(time.Now(), true)
		l.Report(time.Now(), newBadReport(first, "vm1"))
		const wait = ReportInterval + 800*time.Millisecond
		for elapsed := time.Duration(0); elapsed < wait; elapsed += rolloutInterval {
			l.stepRollouts(t.Context(), time.Now())
			checkState(t, v, mprollout.StateRunning)
			<-time.After(rolloutInterval)
		}
		v.isLeader = false
		l.stepRollouts(t.Context(), time.Now())
		checkState(t, v, mprollout.StateRunning)
		v.isLeader = true
		l.stepRollouts(t.Context(), time.Now())
		checkState(t, v, mprollout.StateReverted)
		checkCounters(t, l, "rollout.reverted")
		proposed := v.proposed
		l.stepRollouts(t.Context(), time.Now())
		if v.proposed != proposed || l.rolloutEvidence(time.Now(), "a").Total(nil, "v2").Answers != 0 {
			t.Error("the leader keeps deciding on a roll-out that has ended, or keeps its counts")
		}
	})
}

// Guards against a leader whose view of a pool has upstreams that get nothing, or lacks VMs whose
// attempts must end before the old versions stop.
func TestRolloutFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t)
		for _, op := range []mpview.Op{
			mpview.Publish{Routing: mpview.Routing{Version: 1, Source: []byte(`{}`)}},
			mpview.Mark{Target: mpview.TargetDC, Name: "south", Out: true},
			mpview.Join{VM: mpview.VM{Name: "vm1", DC: "north", Address: "caller1", Peer: "peer1"}},
			mpview.Join{VM: mpview.VM{Name: "vm2", DC: "south", Address: "caller2", Peer: "peer2", Leaving: true}},
			mpview.Join{VM: mpview.VM{Name: "core1", DC: "north", Peer: "peer3", Voter: true}},
		} {
			if err := l.proposeChange(t.Context(), op); err != nil {
				t.Fatal(err)
			}
		}
		want := mprollout.Fleet{
			Upstreams: map[string]mprollout.Upstreams{"v1": {Listed: 2, Usable: 1}, "v2": {Listed: 2, Usable: 1, Cold: 1}},
			VMs:       []string{"vm1", "vm2"},
		}
		if diff := cmp.Diff(want, l.rolloutFleet(time.Now(), "p")); diff != "" {
			t.Errorf("fleet (-want +got):\n%s", diff)
		}
		want.Upstreams["v2"] = mprollout.Upstreams{Listed: 2, Usable: 1}
		if diff := cmp.Diff(want, l.rolloutFleet(time.Now().Add(4*time.Second), "p")); diff != "" {
			t.Errorf("fleet after the cold start (-want +got):\n%s", diff)
		}
	})
}
