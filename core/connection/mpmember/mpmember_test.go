package mpmember

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

// After all machines lost power, the leader was none of the seeds, and VMs that
// started anew dropped each hint and asked the seeds for ever.
func TestFollowUp(t *testing.T) {
	check := func(t *testing.T, got, want string) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("next to ask (-want +got):\n%s", diff)
		}
	}
	t.Run("a named leader is asked next", func(t *testing.T) {
		check(t, followUp("10.0.0.1:1", "10.0.0.5:1", mperror.ErrNotLeader), "10.0.0.5:1")
	})
	t.Run("a voter that names itself is not asked at once again", func(t *testing.T) {
		check(t, followUp("10.0.0.1:1", "10.0.0.1:1", mperror.ErrNotLeader), "")
	})
	t.Run("a leader that does not answer is dropped", func(t *testing.T) {
		check(t, followUp("10.0.0.5:1", "10.0.0.5:1", mperror.ErrOutcomeUnknown), "")
	})
}
