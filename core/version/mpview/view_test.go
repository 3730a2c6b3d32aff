package mpview

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpcatalogue"
)

func apply(t *testing.T, v *View, ops ...Op) *View {
	t.Helper()
	for _, op := range ops {
		next, err := v.Apply(op)
		if err != nil {
			t.Fatalf("%T: %v", op, err)
		}
		v = next
	}
	return v
}

// newTestView returns a view with a pool in each of two data centres, and three
// VMs.
func newTestView(t *testing.T) *View {
	t.Helper()
	doc := mpcatalogue.Document{
		DCs:   []mpcatalogue.DC{{Name: "north"}, {Name: "south"}},
		Pools: []mpcatalogue.Pool{{Name: "p", Kind: mpcatalogue.Plain, Limit: 1}},
		Upstreams: []mpcatalogue.Upstream{
			{Name: "u1", Pool: "p", DC: "north", Address: "127.0.0.1:1"},
			{Name: "u2", Pool: "p", DC: "south", Address: "127.0.0.1:2"},
		},
	}
	return apply(t, Empty(), Edit{mpcatalogue.Edit{Put: doc}},
		Join{VM{Name: "n1", DC: "north", Boot: 1}}, Join{VM{Name: "n2", DC: "north", Boot: 1}},
		Join{VM{Name: "s1", DC: "south", Boot: 1}})
}

func TestEncoding(t *testing.T) {
	v := apply(t, newTestView(t), PlanAssignments(newTestView(t)), Mark{TargetDC, "south", true}, Strike{[]uint64{7}, 99}, Roll{newRollout("id", 0)})
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	other := Empty()
	if err := json.Unmarshal(data, other); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(other)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(again)); diff != "" {
		t.Errorf("decoded view (-want +got):\n%s", diff)
	}
	ops := []Op{
		Edit{mpcatalogue.Edit{Drop: mpcatalogue.Names{Pools: []string{"p"}}}}, Mark{TargetVM, "n1", true},
		Join{VM{Name: "x"}}, Leave{[]string{"n1"}}, Assign{map[string]string{"g": "n1"}},
		Strike{[]uint64{1}, 2}, ClearStrikes{[]uint64{1}}, Note{"overload", "text"}, Roll{newRollout("id", 0)},
	}
	for _, op := range ops {
		t.Run(fmt.Sprintf("%T", op), func(t *testing.T) {
			data, err := json.Marshal(Change{Revision: 5, Op: op})
			if err != nil {
				t.Fatal(err)
			}
			var got Change
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(Change{Revision: 5, Op: op}, got); diff != "" {
				t.Errorf("change (-want +got):\n%s", diff)
			}
		})
	}
}

func checkOwner(t *testing.T, v *View, group string, want ...string) {
	t.Helper()
	o, ok := v.Owner(group)
	for _, vm := range want {
		if ok && o.VM == vm {
			return
		}
	}
	t.Errorf("%s is owned by %q, want one of %v", group, o.VM, want)
}

func TestPlanAssignments(t *testing.T) {
	v := newTestView(t)
	v = apply(t, v, PlanAssignments(v))
	t.Run("groups are owned in their own data centre", func(t *testing.T) {
		checkOwner(t, v, "p@north", "n1", "n2")
		checkOwner(t, v, "p@south", "s1")
		if o, _ := v.Owner("p@north"); !o.FirstOwner {
			t.Error("FirstOwner is not set for the first owner")
		}
	})
	t.Run("no assignments without a change", func(t *testing.T) {
		if plan := PlanAssignments(v); len(plan.Owners) != 0 {
			t.Errorf("assignments %v, want none", plan)
		}
	})
	t.Run("group of a lost VM is reassigned in a new epoch", func(t *testing.T) {
		next := apply(t, v, Leave{[]string{"s1"}})
		next = apply(t, next, PlanAssignments(next))
		checkOwner(t, next, "p@south", "n1", "n2")
		before, _ := v.Owner("p@south")
		if after, _ := next.Owner("p@south"); after.Epoch <= before.Epoch || after.FirstOwner {
			t.Errorf("ownership %+v after %+v, want a later epoch and not FirstOwner", after, before)
		}
		back := apply(t, next, Join{VM{Name: "s1", DC: "south", Boot: 2}})
		checkOwner(t, apply(t, back, PlanAssignments(back)), "p@south", "s1")
	})
	t.Run("leaving VM owns no groups", func(t *testing.T) {
		next := apply(t, v, Join{VM{Name: "s1", DC: "south", Boot: 1, Leaving: true}})
		checkOwner(t, apply(t, next, PlanAssignments(next)), "p@south", "n1", "n2")
	})
	t.Run("removed group has no owner", func(t *testing.T) {
		drop := mpcatalogue.Edit{Drop: mpcatalogue.Names{Upstreams: []string{"u2"}}}
		next := apply(t, v, Edit{drop})
		next = apply(t, next, PlanAssignments(next))
		if o, ok := next.Owner("p@south"); ok {
			t.Errorf("removed group is owned by %s", o.VM)
		}
	})
}

func TestMark(t *testing.T) {
	v := newTestView(t)
	t.Run("unknown name", func(t *testing.T) {
		if _, err := v.Apply(Mark{TargetDC, "west", true}); !errors.Is(err, mperror.ErrNotFound) {
			t.Errorf("error %v, want ErrNotFound", err)
		}
	})
	t.Run("mark persists after an edit of its row", func(t *testing.T) {
		put := mpcatalogue.Document{DCs: []mpcatalogue.DC{{Name: "south", Region: "r"}}}
		next := apply(t, v, Mark{TargetDC, "south", true}, Edit{mpcatalogue.Edit{Put: put}})
		u, _ := next.Catalogue().Upstream("u2")
		if next.Usable(u) {
			t.Error("upstream is usable although its data centre is out of service")
		}
	})
	t.Run("second mark with the same base conflicts", func(t *testing.T) {
		base := v.Revision()
		next := apply(t, v, Mark{TargetDC, "south", true})
		if err := next.CheckConflict(base, Mark{TargetDC, "south", false}); !errors.Is(err, mperror.ErrConflict) {
			t.Errorf("error %v, want ErrConflict", err)
		}
		if err := next.CheckConflict(base, Mark{TargetDC, "north", true}); err != nil {
			t.Errorf("mark of another row: %v, want no conflict", err)
		}
	})
}

func TestPruneChangeRecords(t *testing.T) {
	v := Empty()
	for i := range maxChangeRecords + 50 {
		v.changedAt = map[string]uint64{}
		v.revision = uint64(i)
	}
	for i := range maxChangeRecords + 10 {
		v.changedAt[fmt.Sprint(i)] = uint64(i % 40)
	}
	v.pruneChangeRecords()
	if len(v.changedAt) > maxChangeRecords {
		t.Errorf("%d change records kept, more than maxChangeRecords", len(v.changedAt))
	}
	if err := v.CheckConflict(1, Edit{}); !errors.Is(err, mperror.ErrConflict) {
		t.Errorf("base older than all change records: %v, want ErrConflict", err)
	}
}
