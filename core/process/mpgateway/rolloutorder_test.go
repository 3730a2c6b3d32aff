package mpgateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

// soleLog commits commands to one state machine, as a leader that has read the list does.
type soleLog struct {
	machine *mpstate.Machine
	// isDown refuses commands, and isDeaf loses the replies to those that it commits.
	isDown, isDeaf bool
}

func (l *soleLog) Propose(_ context.Context, c mpstate.Command, _ time.Duration) (mpproposer.Reply, error) {
	if l.isDown {
		return mpproposer.Reply{}, mperror.ErrNotLeader
	}
	if o, ok := c.(mpstate.RolloutOrder); ok {
		o.Versions, o.Listed = []string{"v1"}, true
		c = o
	}
	data, err := mpstate.Encode(time.Now().UnixMilli(), c)
	if err != nil {
		return mpproposer.Reply{}, err
	}
	r, err := mpstate.DecodeResult(l.machine.Apply(0, data))
	if l.isDeaf {
		return mpproposer.Reply{}, mperror.ErrOutcomeUnknown
	}
	return mpproposer.Reply{Result: r}, err
}

// decodeTestPlan reads a plan whose source is the name of its only pool.
func decodeTestPlan(r mpview.Routing) (*mproute.Table, error) {
	return mproute.New(mproute.Spec{Version: r.Version, Pools: []mproute.PoolSpec{{Name: string(r.Source[1 : len(r.Source)-1])}}})
}

// newOrderVM returns a VM whose plan has the pool old, while the newest one has the pool new.
func newOrderVM(t *testing.T, l *soleLog) *Gateway {
	t.Helper()
	g := &Gateway{
		cfg:      Config{DecodePlan: decodeTestPlan, Rollouts: mprollout.Settings{ExposeShare: 0.1, AckTime: 5 * time.Second}},
		proposer: l,
	}
	table, err := decodeTestPlan(mpview.Routing{Version: 1, Source: []byte(`"old"`)})
	if err != nil {
		t.Fatal(err)
	}
	g.table.Store(table)
	return g
}

func newOrderLog(t *testing.T) *soleLog {
	t.Helper()
	l := &soleLog{machine: mpstate.New()}
	publish := mpview.Publish{Routing: mpview.Routing{Version: 2, Source: []byte(`"new"`)}}
	if _, err := l.Propose(t.Context(), mpstate.Change{ID: "plan", Change: mpview.Change{Op: publish}}, 0); err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against an order that is refused for good because of the older plan of the VM that got it, and
// against a refusal that looks like a lost quorum.
func TestOrderRollout(t *testing.T) {
	for name, c := range map[string]struct {
		pool, target string
		duration     time.Duration
		isDown       bool
		// running is the target of a roll-out of the pool new that runs.
		running string
		want    error
	}{
		"a pool of this VM's plan":              {"old", "v2", 12 * time.Second, false, "", nil},
		"a pool of the newest plan":             {"new", "v2", 12 * time.Second, false, "", nil},
		"a pool of no plan":                     {"other", "v2", 12 * time.Second, false, "", mperror.ErrNotFound},
		"no pool":                               {"", "v2", 12 * time.Second, false, "", mperror.ErrInvalid},
		"no target":                             {"new", "", 12 * time.Second, false, "", mperror.ErrInvalid},
		"no duration":                           {"new", "v2", 0, false, "", mperror.ErrInvalid},
		"invalid, without a leader":             {"new", "v2", -time.Second, true, "", mperror.ErrInvalid},
		"a pool of this VM's, without a leader": {"old", "v2", 12 * time.Second, true, "", mperror.ErrNotLeader},
		"an unknown pool, without a leader":     {"other", "v2", 12 * time.Second, true, "", mperror.ErrNotLeader},
		"the target that runs":                  {"new", "v2", 12 * time.Second, false, "v2", nil},
		"another target than the one that runs": {"new", "v2", 12 * time.Second, false, "v3", mperror.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			l := newOrderLog(t)
			g := newOrderVM(t, l)
			if c.running != "" {
				if err := g.OrderRollout(t.Context(), operatorName, "new", c.running, 12*time.Second); err != nil {
					t.Fatal(err)
				}
			}
			l.isDown = c.isDown
			if err := g.OrderRollout(t.Context(), operatorName, c.pool, c.target, c.duration); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
	t.Run("before the first plan", func(t *testing.T) {
		g := newOrderVM(t, &soleLog{machine: mpstate.New()})
		if err := g.OrderRollout(t.Context(), operatorName, "new", "v2", 12*time.Second); !errors.Is(err, mperror.ErrNoPlan) {
			t.Errorf("error %v, want ErrNoPlan", err)
		}
	})
}

// Guards against an order whose acknowledgement was lost and that starts a second roll-out when it is
// sent again to another VM, and against a read that returns an older state.
func TestOrderIsRepeatedAtAnotherVM(t *testing.T) {
	l := newOrderLog(t)
	first, second := newOrderVM(t, l), newOrderVM(t, l)
	if _, err := first.Rollout(t.Context(), "old"); !errors.Is(err, mperror.ErrNotFound) {
		t.Errorf("read of a pool without a roll-out: %v, want ErrNotFound", err)
	}
	l.isDeaf = true
	if err := first.OrderRollout(t.Context(), operatorName, "old", "v2", 12*time.Second); !errors.Is(err, mperror.ErrOutcomeUnknown) {
		t.Errorf("error %v, want ErrOutcomeUnknown", err)
	}
	l.isDeaf = false
	started, err := second.Rollout(t.Context(), "old")
	if err != nil {
		t.Fatal(err)
	}
	if err := second.OrderRollout(t.Context(), operatorName, "old", "v2", 12*time.Second); err != nil {
		t.Errorf("the repeated order: %v", err)
	}
	again, err := first.Rollout(t.Context(), "old")
	if diff := cmp.Diff(started, again); diff != "" || err != nil {
		t.Errorf("roll-out after the repeated order (-before +after):\n%s\n%v", diff, err)
	}
	l.isDown = true
	if r, err := second.Rollout(t.Context(), "old"); !errors.Is(err, mperror.ErrNotLeader) {
		t.Errorf("read without a leader: %+v, %v; want ErrNotLeader", r, err)
	}
}
