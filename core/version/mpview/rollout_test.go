package mpview

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mprollout"
)

// newRollout returns a roll-out that was ordered at a time in ms.
func newRollout(id string, startedMs int64) mprollout.Rollout {
	return mprollout.Rollout{
		Pool: "p", Target: "v2", Base: []string{"v1"}, ID: id, Who: "ana", StartedMs: startedMs, DeadlineMs: startedMs + 12_000,
		State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.1,
	}
}

func shifted(r mprollout.Rollout) mprollout.Rollout {
	r.Phase, r.Share, r.ShiftedMs = mprollout.PhaseShift, 1, r.StartedMs+4000
	return r
}

func ended(r mprollout.Rollout, state mprollout.State) mprollout.Rollout {
	r.State, r.Share, r.EndedMs = state, 0, r.StartedMs+5000
	if state == mprollout.StateComplete {
		r.Share = 1
	}
	return r
}

// Guards against a voter or a VM that takes over a late or repeated step of a roll-out, such as one
// that a former leader proposed, and so sends requests to a version that was reverted.
func TestRoll(t *testing.T) {
	first := newRollout("a", 1000)
	other := newRollout("b", 20_000)
	other.Target = "v3"
	for name, c := range map[string]struct {
		before []mprollout.Rollout
		next   mprollout.Rollout
		// err is nil if next is accepted.
		err error
	}{
		"an order":                            {nil, first, nil},
		"an order without a target":           {nil, mprollout.Rollout{Pool: "p", ID: "a"}, mperror.ErrInvalid},
		"a step without an order":             {nil, shifted(first), mperror.ErrConflict},
		"the shift":                           {[]mprollout.Rollout{first}, shifted(first), nil},
		"back to the trial":                   {[]mprollout.Rollout{first, shifted(first)}, first, mperror.ErrConflict},
		"complete":                            {[]mprollout.Rollout{first, shifted(first)}, ended(shifted(first), mprollout.StateComplete), nil},
		"reverted":                            {[]mprollout.Rollout{first}, ended(first, mprollout.StateReverted), nil},
		"reverted during the shift":           {[]mprollout.Rollout{first, shifted(first)}, ended(shifted(first), mprollout.StateReverted), nil},
		"the shift after it was reverted":     {[]mprollout.Rollout{first, ended(first, mprollout.StateReverted)}, shifted(first), mperror.ErrConflict},
		"complete after it was reverted":      {[]mprollout.Rollout{first, ended(first, mprollout.StateReverted)}, ended(first, mprollout.StateComplete), mperror.ErrConflict},
		"another order while it runs":         {[]mprollout.Rollout{first}, other, mperror.ErrConflict},
		"another order after its end":         {[]mprollout.Rollout{first, ended(first, mprollout.StateReverted)}, other, nil},
		"a step of an order that is replaced": {[]mprollout.Rollout{first, ended(first, mprollout.StateReverted), other}, shifted(first), mperror.ErrConflict},
		"an order that is replaced":           {[]mprollout.Rollout{other, ended(other, mprollout.StateReverted)}, first, mperror.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			v := Empty()
			for _, r := range c.before {
				v = apply(t, v, Roll{r})
			}
			for accepts, apply := range map[string]func(Op) (*View, error){"voter": v.Apply, "VM": v.ApplyUnchecked} {
				next, err := apply(Roll{c.next})
				if !errors.Is(err, c.err) {
					t.Errorf("%s: error %v, want %v", accepts, err, c.err)
				}
				if c.err == nil {
					checkRollout(t, next, c.next)
				}
			}
			if len(c.before) > 0 {
				checkRollout(t, v, c.before[len(c.before)-1])
			}
		})
	}
}

// checkRollout fails unless want is the only roll-out.
func checkRollout(t *testing.T, v *View, want mprollout.Rollout) {
	t.Helper()
	if diff := cmp.Diff([]mprollout.Rollout{want}, v.Rollouts()); diff != "" {
		t.Errorf("roll-outs (-want +got):\n%s", diff)
	}
	got, ok := v.Rollout(want.Pool)
	if diff := cmp.Diff(want, got); diff != "" || !ok {
		t.Errorf("roll-out of %s, found %t (-want +got):\n%s", want.Pool, ok, diff)
	}
}

func TestRolloutsOfSeveralPools(t *testing.T) {
	first, second := newRollout("a", 1000), newRollout("b", 500)
	second.Pool = "o"
	v := apply(t, Empty(), Roll{first}, Roll{second})
	if diff := cmp.Diff([]mprollout.Rollout{second, first}, v.Rollouts()); diff != "" {
		t.Errorf("roll-outs by pool (-want +got):\n%s", diff)
	}
	if r, ok := v.Rollout("q"); ok {
		t.Errorf("got roll-out %+v of a pool without one", r)
	}
}

// Guards against a view of an earlier build, which has no roll-outs, that cannot be read or changed.
func TestViewWithoutRollouts(t *testing.T) {
	v := Empty()
	if err := json.Unmarshal([]byte(`{"revision":4,"catalogue":{},"out":null,"touched":null,"vms":{},"owners":{},"strikes":{}}`), v); err != nil {
		t.Fatal(err)
	}
	if got := v.Rollouts(); len(got) > 0 {
		t.Errorf("got roll-outs %v, want none", got)
	}
	r := newRollout("a", 1000)
	checkRollout(t, apply(t, v, Roll{r}), r)
	if len(v.Rollouts()) > 0 {
		t.Error("the view that the op was applied to has changed")
	}
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	if _, ok := fields["rollouts"]; ok {
		t.Error("a view without roll-outs has the field rollouts, which earlier builds do not know")
	}
}
