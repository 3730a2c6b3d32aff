package mpstate

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpview"
)

// newTestRollout returns a roll-out that was ordered at testNowMs.
func newTestRollout(id string) mprollout.Rollout {
	return mprollout.Rollout{
		Pool: "p", Target: "v2", Base: []string{"v1"}, ID: id, Who: "ana", StartedMs: testNowMs, DeadlineMs: testNowMs + 12_000, ChangedMs: testNowMs,
		State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.1,
	}
}

func newRevert(r mprollout.Rollout) mprollout.Rollout {
	r.State, r.Share, r.EndedMs, r.Reason = mprollout.StateReverted, 0, r.StartedMs+3000, "failures"
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
	reverted := newRevert(first)
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

const testAckMs = 5000

// newTestOrder returns an order by way of one VM, which chose the ID.
func newTestOrder(id, target string) RolloutOrder {
	return RolloutOrder{
		ID: id, Who: "ana", Pool: "p", Target: target, DurationMs: 12_000, AckMs: testAckMs, Share: 0.1,
		Versions: []string{"v1", "v2", "v1", ""}, Listed: true,
	}
}

func newComplete(r mprollout.Rollout) mprollout.Rollout {
	r.State, r.Share, r.EndedMs = mprollout.StateComplete, 1, r.StartedMs+3000
	return r
}

// Guards against an order that is repeated by way of another VM after its acknowledgement was lost,
// and starts a second roll-out or is refused.
func TestRolloutOrder(t *testing.T) {
	first := newTestRollout("a")
	order := func(id, target string, edit func(*RolloutOrder)) RolloutOrder {
		o := newTestOrder(id, target)
		if edit != nil {
			edit(&o)
		}
		return o
	}
	unlisted := func(o *RolloutOrder) { o.Versions, o.Listed = nil, false }
	second := newTestRollout("b")
	second.StartedMs, second.DeadlineMs, second.ChangedMs = testNowMs+6000, testNowMs+18_000, testNowMs+6000
	follower := newTestRollout("c")
	follower.Target, follower.Base = "v3", []string{"v1"}
	follower.StartedMs, follower.DeadlineMs, follower.ChangedMs = testNowMs+3000, testNowMs+15_000, testNowMs+3000
	followed := []Command{Change{Change: roll(newRevert(first))}, newTestOrder("c", "v3")}
	third := second
	third.Target, third.Base = "v3", []string{"v1"}
	for name, c := range map[string]struct {
		// before is applied after the order a for v2 at testNowMs, unless isFirst is set.
		before  []Command
		isFirst bool
		at      int64
		order   RolloutOrder
		want    Code
		// rollout is the pool's roll-out after it.
		rollout mprollout.Rollout
	}{
		"the first order":                    {nil, true, testNowMs, order("a", "v2", nil), CodeDone, first},
		"without a target":                   {nil, true, testNowMs, order("a", "", nil), CodeInvalid, mprollout.Rollout{}},
		"without an ID":                      {nil, true, testNowMs, order("", "v2", nil), CodeInvalid, mprollout.Rollout{}},
		"without a duration":                 {nil, true, testNowMs, order("a", "v2", func(o *RolloutOrder) { o.DurationMs = 0 }), CodeInvalid, mprollout.Rollout{}},
		"without a share":                    {nil, true, testNowMs, order("a", "v2", func(o *RolloutOrder) { o.Share = 0 }), CodeInvalid, mprollout.Rollout{}},
		"without a list":                     {nil, true, testNowMs, order("a", "v2", unlisted), CodeUnlisted, mprollout.Rollout{}},
		"sent again by the same VM":          {nil, false, testNowMs + 1000, order("a", "v2", nil), CodeDone, first},
		"repeated by way of another VM":      {nil, false, testNowMs + 1000, order("b", "v2", nil), CodeDone, first},
		"repeated without a list":            {nil, false, testNowMs + 1000, order("b", "v2", unlisted), CodeDone, first},
		"repeated long after, while it runs": {nil, false, testNowMs + 11_000, order("b", "v2", nil), CodeDone, first},
		"another target":                     {nil, false, testNowMs + 1000, order("b", "v3", nil), CodeConflict, first},
		"another target without a list":      {nil, false, testNowMs + 1000, order("b", "v3", unlisted), CodeConflict, first},
		"repeated after it was reverted":     {[]Command{Change{Change: roll(newRevert(first))}}, false, testNowMs + 5900, order("b", "v2", nil), CodeDone, newRevert(first)},
		"repeated after it was completed":    {[]Command{Change{Change: roll(newComplete(first))}}, false, testNowMs + 5900, order("b", "v2", nil), CodeDone, newComplete(first)},
		"ordered anew after it was reverted": {[]Command{Change{Change: roll(newRevert(first))}}, false, testNowMs + 6000, order("b", "v2", nil), CodeDone, second},
		"another one after it was reverted":  {[]Command{Change{Change: roll(newRevert(first))}}, false, testNowMs + 6000, order("b", "v3", nil), CodeDone, third},
		"repeated when another one runs":     {followed, false, testNowMs + 5900, order("b", "v2", nil), CodeDone, follower},
		"ordered anew when another one runs": {followed, false, testNowMs + 6000, order("b", "v2", nil), CodeConflict, follower},
		"another pool":                       {nil, false, testNowMs + 1000, order("b", "v3", func(o *RolloutOrder) { o.Pool = "q" }), CodeDone, first},
		"with a clock that is behind":        {[]Command{Change{Change: roll(newRevert(first))}}, false, testNowMs - 60_000, order("b", "v2", nil), CodeDone, newRevert(first)},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			if !c.isFirst {
				checkCode(t, apply(t, m, testNowMs, newTestOrder("a", "v2")), CodeDone)
			}
			for _, b := range c.before {
				checkCode(t, apply(t, m, testNowMs+3000, b), CodeDone)
			}
			got := apply(t, m, c.at, c.order)
			checkCode(t, got, c.want)
			r, _ := m.View().Rollout("p")
			if diff := cmp.Diff(c.rollout, r); diff != "" {
				t.Errorf("roll-out (-want +got):\n%s", diff)
			}
			if c.want == CodeDone && c.order.Pool == "p" {
				if diff := cmp.Diff(&c.rollout, got.Rollout); diff != "" {
					t.Errorf("roll-out in the result (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// Guards against a result of an order that becomes the wrong status for its operator.
func TestErrorsOfRolloutOrders(t *testing.T) {
	for code, want := range map[Code]error{
		CodeDone: nil, CodeInvalid: mperror.ErrInvalid, CodeNotFound: mperror.ErrNotFound, CodeConflict: mperror.ErrConflict, CodeUnlisted: mperror.ErrNoList,
	} {
		if err := (Result{Code: code}).Err(); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", code, err, want)
		}
	}
}

// Guards against an order that stays refused after the leader has read the list, since the refusal
// was recorded under its ID.
func TestUnlistedOrderIsNotRecorded(t *testing.T) {
	m := New()
	o := newTestOrder("a", "v2")
	o.Versions, o.Listed = nil, false
	checkCode(t, apply(t, m, testNowMs, o), CodeUnlisted)
	checkCode(t, apply(t, m, testNowMs, newTestOrder("a", "v2")), CodeDone)
}

// Guards against a version that was reverted, or replaced, and serves again during the next roll-out
// since its upstreams are still in the list while they stop.
func TestBaseVersions(t *testing.T) {
	reverted, complete := newRevert(newTestRollout("a")), newComplete(newTestRollout("a"))
	for name, c := range map[string]struct {
		latest mprollout.Rollout
		listed []string
		target string
		want   []string
	}{
		"after a revert":                            {reverted, []string{"v1", "v2", "v3"}, "v3", []string{"v1"}},
		"after a revert, the same again":            {reverted, []string{"v1", "v2"}, "v2", []string{"v1"}},
		"only the reverted version is listed":       {reverted, []string{"v2"}, "v3", []string{"v2"}},
		"after a completion":                        {complete, []string{"v1", "v2", "v3"}, "v3", []string{"v2"}},
		"after a completion, back":                  {complete, []string{"v1", "v2"}, "v1", []string{"v2"}},
		"after a completion, the same again":        {complete, []string{"v1", "v2"}, "v2", nil},
		"only the replaced version is listed":       {complete, []string{"v1"}, "v3", []string{"v1"}},
		"only the replaced version, the same again": {complete, []string{"v1"}, "v2", []string{"v1"}},
		"only the reverted version and the target":  {reverted, []string{"v2", "v3"}, "v3", []string{"v2"}},
		"a version that neither of the two knows":   {complete, []string{"v1", "v2", "v4"}, "v3", []string{"v2", "v4"}},
		"an upstream without a version":             {reverted, []string{"", "v2"}, "v3", []string{"v2"}},
		"nothing is listed":                         {reverted, nil, "v3", nil},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			first := newTestRollout("a")
			checkCode(t, apply(t, m, testNowMs, Change{Change: roll(first)}), CodeDone)
			checkCode(t, apply(t, m, testNowMs, Change{Change: roll(c.latest)}), CodeDone)
			o := newTestOrder("b", c.target)
			o.Versions = c.listed
			got := apply(t, m, testNowMs+60_000, o)
			checkCode(t, got, CodeDone)
			if diff := cmp.Diff(c.want, got.Rollout.Base); diff != "" {
				t.Errorf("old versions (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReadOfARollout(t *testing.T) {
	m := New()
	checkCode(t, apply(t, m, testNowMs, Change{Change: mpview.Change{Op: mpview.Publish{Routing: mpview.Routing{Version: 2, Source: []byte(`{}`)}}}}), CodeDone)
	checkCode(t, apply(t, m, testNowMs, Read{Pool: "p"}), CodeNotFound)
	checkCode(t, apply(t, m, testNowMs, newTestOrder("a", "v2")), CodeDone)
	first := newTestRollout("a")
	want := Result{Code: CodeDone, Revision: 2, Rollout: &first}
	if diff := cmp.Diff(want, apply(t, m, testNowMs, Read{Pool: "p"})); diff != "" {
		t.Errorf("read (-want +got):\n%s", diff)
	}
	if r := apply(t, m, testNowMs, Read{}); r.Rollout != nil || r.Routing == nil {
		t.Errorf("read of the plan returned %+v", r)
	}
}

// TestRandomRolloutOrders checks that an order that is sent again by way of any VM until the
// acknowledgement time has passed starts one roll-out at most, with random steps of the leader, late
// commands, clocks that step back, and snapshots.
func TestRandomRolloutOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct {
			target  string
			firstAt int64
			started int
		}
		m, now, id := New(), testNowMs, 0
		var calls []*call
		started := map[string]bool{}
		accepted := map[string]mprollout.Rollout{}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				calls = append(calls, &call{target: rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "target"), firstAt: now})
			},
			"send": func(t *rapid.T) {
				if len(calls) == 0 {
					return
				}
				c := rapid.SampledFrom(calls).Draw(t, "call")
				if now > c.firstAt+testAckMs {
					return
				}
				id++
				o := newTestOrder(fmt.Sprint(id), c.target)
				o.Listed = rapid.Bool().Draw(t, "listed")
				r := apply(t, m, now-int64(rapid.IntRange(0, 300).Draw(t, "skew")), o)
				if r.Code != CodeDone || started[r.Rollout.ID] {
					return
				}
				started[r.Rollout.ID] = true
				accepted[r.Rollout.ID] = *r.Rollout
				if c.started++; c.started > 1 {
					t.Fatalf("the order for %s started two roll-outs", c.target)
				}
			},
			"step": func(t *rapid.T) {
				r, ok := m.View().Rollout("p")
				if !ok || !r.Running() {
					return
				}
				next := newRevert(r)
				if rapid.Bool().Draw(t, "complete") {
					next = newComplete(r)
				}
				next.EndedMs = max(now, r.StartedMs)
				checkCode(t, apply(t, m, now, Change{Change: roll(next)}), CodeDone)
			},
			"late step": func(t *rapid.T) {
				r, ok := m.View().Rollout("p")
				if !ok || r.Running() {
					return
				}
				running := accepted[r.ID]
				if got := apply(t, m, now, Change{Change: roll(running)}); got.Code == CodeDone {
					t.Fatalf("roll-out %s, which is %s, runs again", r.ID, r.State)
				}
			},
			"wait": func(t *rapid.T) { now += int64(rapid.IntRange(0, 2500).Draw(t, "ms")) },
			"snapshot": func(t *rapid.T) {
				data, err := m.Snapshot()()
				if err != nil {
					t.Fatal(err)
				}
				m = New()
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}
