package mpmember

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpview"
)

// TestFollowUp guards against a VM that never finds the leader. After a power loss of
// all machines the leader was none of the seeds, and restarted VMs discarded each leader
// hint and asked only the seeds again.
func TestFollowUp(t *testing.T) {
	check := func(t *testing.T, got, want string) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("next address (-want +got):\n%s", diff)
		}
	}
	t.Run("asks the leader that a voter named", func(t *testing.T) {
		check(t, followUp("10.0.0.1:1", "10.0.0.5:1", mperror.ErrNotLeader), "10.0.0.5:1")
	})
	t.Run("does not ask a voter that named itself again at once", func(t *testing.T) {
		check(t, followUp("10.0.0.1:1", "10.0.0.1:1", mperror.ErrNotLeader), "")
	})
	t.Run("forgets a leader that does not answer", func(t *testing.T) {
		check(t, followUp("10.0.0.5:1", "10.0.0.5:1", mperror.ErrOutcomeUnknown), "")
	})
}

// Guards against VMs that ask again at a fixed interval: after the loss of their leader 191 of them
// took the voters that elected the next one a large part of their processors.
func TestBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		failures, vms int
		named         bool
		x             float64
		want          time.Duration
	}{
		"the first failure of few VMs":   {1, 13, false, 0.5, retryDelay},
		"the first failure, early":       {1, 13, false, 0, retryDelay / 2},
		"the first failure of 191 VMs":   {1, 191, false, 0.5, 191 * time.Millisecond},
		"an election later":              {17, 13, false, 0.5, 4 * retryDelay},
		"after many":                     {100, 13, false, 0.5, maxRetryDelay},
		"thousands of VMs":               {1, 5000, false, 0.5, maxRetryDelay},
		"a voter names another leader":   {100, 191, true, 0.5, retryDelay},
		"after many, as late as it gets": {100, 13, false, 1, 3 * maxRetryDelay / 2},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, backoff(c.failures, c.vms, c.named, c.x)); diff != "" {
				t.Errorf("delay (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a VM that asks a leader which has stopped answering a second time: another voter knows
// the next leader by then, and the VM served by an older plan until the second renewal had failed too.
func TestLateLeaderIsNotAskedAgain(t *testing.T) {
	type choice struct {
		Address string
		Next    int
	}
	voters := []string{"a", "b", "c"}
	for name, c := range map[string]struct {
		voters []string
		next   int
		late   string
		want   choice
	}{
		"none was late":           {voters, 1, "", choice{"b", 2}},
		"the next one was late":   {voters, 1, "b", choice{"c", 3}},
		"the last one was late":   {voters, 5, "c", choice{"a", 7}},
		"another one was late":    {voters, 0, "c", choice{"a", 1}},
		"there is no other voter": {voters[:1], 4, "a", choice{"a", 5}},
	} {
		t.Run(name, func(t *testing.T) {
			var got choice
			got.Address, got.Next = nextCandidate(c.voters, c.next, c.late)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("voter (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against VMs that begin anew each time that a busy leader is late to answer, which adds to
// what it is late with.
func TestTimeoutGrowsWhileTheLeaderIsLate(t *testing.T) {
	m := New(Config{Logger: log.NewNopLogger(), Client: mppeer.NewClient(mppeer.Config{})})
	late, refused := status.Error(codes.DeadlineExceeded, "late"), status.Error(codes.Unavailable, "refused")
	for i, c := range []struct {
		err  error
		want time.Duration
	}{
		{refused, renewTimeout}, {late, 2 * renewTimeout}, {late, 4 * renewTimeout}, {late, 4 * renewTimeout}, {nil, renewTimeout},
	} {
		m.recordRenewal("leader", c.err)
		if diff := cmp.Diff(c.want, m.timeout()); diff != "" {
			t.Errorf("timeout after renewal %d (-want +got):\n%s", i+1, diff)
		}
	}
	t.Run("but not for a VM that has a view", func(t *testing.T) {
		view, err := mpview.Empty().Apply(mpview.Note{})
		if err != nil {
			t.Fatal(err)
		}
		m.setView(view)
		m.recordRenewal("leader", late)
		if diff := cmp.Diff(renewTimeout, m.timeout()); diff != "" {
			t.Errorf("timeout (-want +got):\n%s", diff)
		}
	})
}

// Guards against a VM that keeps a list to which the leader's changes do not apply: it has to ask for
// the whole one.
func TestChangesOfAnotherList(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(id string) mplist.Row { return mplist.Row{ID: id, Pool: "p", Address: id} }
	before, next := mplist.New(now, []mplist.Row{row("a")}), mplist.New(now, []mplist.Row{row("a"), row("b")})
	patch, _ := next.PatchFrom(before)
	data, err := patch.Encode()
	if err != nil {
		t.Fatal(err)
	}
	reply := &mpwire.RenewReply{Listed: next.Hash(), Patch: mpflate.Pack(data)}
	whole, err := next.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		list *mplist.List
		// listed is what the next renewal says that the VM has.
		listed uint64
	}{
		"the list before": {before, next.Hash()},
		"another list":    {mplist.New(now, []mplist.Row{row("c")}), 0},
		"no list":         {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Config{})
			m.list = c.list
			if err := m.updateList(now, reply); (err != nil) != (c.listed == 0) {
				t.Errorf("changes applied: %v", err)
			}
			if diff := cmp.Diff(c.listed, m.request().GetListed()); diff != "" {
				t.Errorf("list in the next renewal (-want +got):\n%s", diff)
			}
			if err := m.updateList(now, &mpwire.RenewReply{Listed: next.Hash(), Packed: mpflate.Pack(whole)}); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(next.Hash(), m.request().GetListed()); diff != "" {
				t.Errorf("list after the whole one (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a VM that finds the target of a roll-out in its list before it knows of the
// roll-out, and sends it an equal part of the requests.
func TestViewIsAdoptedBeforeTheList(t *testing.T) {
	now := time.Unix(1000, 0)
	var steps []string
	m := New(Config{
		OnView: func(_ time.Time, _, next *mpview.View) { steps = append(steps, fmt.Sprint("view ", next.Revision())) },
		OnList: func(_ time.Time, list *mplist.List) { steps = append(steps, fmt.Sprint("list of ", len(list.Rows()))) },
	})
	list := mplist.New(now, []mplist.Row{{ID: "a", Pool: "p", Address: "a", Version: "v2"}})
	data, err := list.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	change, err := json.Marshal(mpview.Change{Revision: 1, Op: mpview.Note{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.adopt(&mpwire.RenewReply{Changes: [][]byte{change}, Listed: list.Hash(), Upstreams: data}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"view 1", "list of 1"}, steps); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}
