package mpreplica

import (
	"testing"
	"time"

	"mustardpost.org/core/process/mpquorum"
)

// Machines that are replaced for good, one after the other: each left a dead
// voter behind, and after a few the loss of one data centre stopped the log.
func TestSurplus(t *testing.T) {
	for name, c := range map[string]struct {
		silent []time.Duration
		want   mpquorum.MemberID
	}{
		"five voters, one gone: nobody has taken its place": {[]time.Duration{0, 0, 0, 0, time.Minute}, 0},
		"six voters, one gone":                              {[]time.Duration{0, time.Minute, 0, 0, 0, 0}, 2},
		"six voters, one restarts":                          {[]time.Duration{0, time.Second, 0, 0, 0, 0}, 0},
		"six voters, two gone: the longer one goes":         {[]time.Duration{0, 8 * time.Second, 0, time.Minute, 0, 0}, 4},
		"six voters, half of them cut off":                  {[]time.Duration{0, 0, 0, time.Minute, time.Minute, time.Minute}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var m mpquorum.Membership
			for i := range c.silent {
				m = m.With(mpquorum.MemberInfo{Member: mpquorum.MemberID(i + 1), Voter: true})
			}
			m = m.With(mpquorum.MemberInfo{Member: 99})
			got, ok := surplus(m, func(id mpquorum.MemberID) time.Duration {
				if id == 99 {
					return time.Hour
				}
				return c.silent[id-1]
			})
			if !ok {
				got.Member = 0
			}
			if got.Member != c.want {
				t.Errorf("removed %d, want %d", got.Member, c.want)
			}
		})
	}
}
