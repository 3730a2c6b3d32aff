package mpstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/version/mpview"
)

// Guards against a plan in force whose version, checksum and source come from different changes, at voters that
// apply changes, replay their log, or are restored, and against revisions that differ between voters of this build
// and of earlier ones, which count each change.
func TestPlanIsThatOfTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, lean := New(), mpview.Empty()
		var inForce mpview.Routing
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			r := mpview.Routing{
				Version: rapid.Uint64Range(1, 5).Draw(t, "version"),
				Source:  fmt.Appendf(nil, "%q", rapid.StringMatching(`[a-c]`).Draw(t, "content")),
			}
			takesEffect := r.Version > inForce.Version
			if takesEffect {
				inForce = r
			}
			urgentBefore, _ := m.Urgent()
			checkCode(t, apply(t, m, testNowMs, Change{ID: fmt.Sprint(i), Change: mpview.Change{Op: mpview.Publish{Routing: r}}}), CodeDone)
			if urgent, _ := m.Urgent(); urgent != urgentBefore != takesEffect {
				t.Errorf("urgent revision %d after %d, of a plan that takes effect: %v", urgent, urgentBefore, takesEffect)
			}
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				m = restored(t, m)
			}
			if diff := cmp.Diff(mpview.Routing{Version: m.Plan().Version(), Source: m.Plan().Source()}, inForce); diff != "" {
				t.Errorf("plan (-got +want):\n%s", diff)
			}
			if diff := cmp.Diff(inForce.ID(), m.Plan().ID()); diff != "" {
				t.Errorf("ID of the plan (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(uint64(i+1), m.View().Revision()); diff != "" {
				t.Errorf("revision (-want +got):\n%s", diff)
			}
			lean = leanView(t, m, lean)
			if diff := cmp.Diff(inForce.ID(), lean.Routing().ID()); diff != "" {
				t.Errorf("plan in the view of a VM (-want +got):\n%s", diff)
			}
		}
	})
}

// restored returns a machine that has the state of m from a snapshot.
func restored(t testingT, m *Machine) *Machine {
	t.Helper()
	data, err := m.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	out := New()
	if err := out.Restore(data); err != nil {
		t.Fatal(err)
	}
	return out
}

// leanView returns the view of a VM that gets plans by themselves, after the changes since the one that it has.
func leanView(t testingT, m *Machine, view *mpview.View) *mpview.View {
	t.Helper()
	changes, full, _, err := m.LeanChangesSince(view.Revision())
	if err != nil {
		t.Fatal(err)
	}
	return received(t, view, full, changes)
}

// received returns the view of a VM that has the given one and receives a complete one, if full is not nil, and
// changes.
func received(t testingT, view *mpview.View, full []byte, changes [][]byte) *mpview.View {
	t.Helper()
	if full != nil {
		view = mpview.Empty()
		if err := json.Unmarshal(full, view); err != nil {
			t.Fatal(err)
		}
	}
	for _, data := range changes {
		var c mpview.Change
		if err := json.Unmarshal(data, &c); err != nil {
			t.Fatal(err)
		}
		var err error
		if view, err = view.ApplyUnchecked(c.Op); err != nil {
			t.Fatal(err)
		}
	}
	return view
}
