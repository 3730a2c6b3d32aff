package mpmember

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
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
