package mplead

import (
	"testing"
	"testing/synctest"
	"time"

	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mpwire"
)

// Guards against a lease that ends while the leader holds the renewal of a VM whose last one failed.
func TestRegainedLeaseIsGrantedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		regains bool
		want    time.Duration
	}{
		"after a failure": {true, 0},
		"otherwise":       {false, mplease.MaxHold},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := newHerd(t).leader
				r := &mpwire.RenewRequest{Vm: "vm", Boot: 1, Holds: true, Listed: leader.upstreamList.Hash()}
				joined, err := leader.Renew(t.Context(), r)
				if err != nil {
					t.Fatal(err)
				}
				r.Revision, r.Regains = joined.GetRevision(), c.regains
				start := time.Now()
				if _, err := leader.Renew(t.Context(), r); err != nil {
					t.Fatal(err)
				}
				if held := time.Since(start); held != c.want {
					t.Errorf("held for %v, want %v", held, c.want)
				}
			})
		})
	}
}
