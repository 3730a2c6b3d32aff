package mplead

import (
	"testing"
	"time"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpquota"
)

// Guards against a VM of an earlier version, which knows no limits, that renews its lease again
// and again since it is told at once of limits that it does not take over.
func TestHasStaleLimits(t *testing.T) {
	none, some := mpquota.NewLimits(), mpquota.NewLimits()
	some.Observe(time.Unix(1, 0), time.Unix(1, 0), "u", mpquota.Statement{Rate: 2, IsValid: true})
	for name, c := range map[string]struct {
		limited uint64
		limits  *mpquota.Limits
		want    bool
	}{
		"an earlier version":         {0, some, false},
		"neither has any":            {none.Hash(), none, false},
		"only the leader has one":    {none.Hash(), some, true},
		"only the VM has one":        {some.Hash(), none, true},
		"both have the same":         {some.Hash(), some, false},
		"an earlier version, no one": {0, none, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := hasStaleLimits(&mpwire.RenewRequest{Limited: c.limited}, c.limits); got != c.want {
				t.Errorf("stale: %t, want %t", got, c.want)
			}
		})
	}
}
