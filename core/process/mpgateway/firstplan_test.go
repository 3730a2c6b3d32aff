package mpgateway

import (
	"errors"
	"testing"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpview"
)

// TestFirstPlanOfVersionZero guards against a plan of version 0 that is acknowledged and never in
// force, since 0 is also the version of no plan.
func TestFirstPlanOfVersionZero(t *testing.T) {
	for name, c := range map[string]struct {
		current mpview.Routing
		err     error
		want    error
	}{
		"no plan is in force":              {mpview.Routing{}, nil, mperror.ErrInvalid},
		"a plan is in force":               {mpview.Routing{Version: 3, Source: []byte("{}")}, nil, nil},
		"the plan in force cannot be read": {mpview.Routing{}, mperror.ErrNotLeader, mperror.ErrNotLeader},
	} {
		t.Run(name, func(t *testing.T) {
			if err := checkFirstVersion(c.current, c.err); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
