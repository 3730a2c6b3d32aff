package mpreplica

import (
	"testing"
	"time"

	"mustardpost.org/core/process/mpquorum"
)

// TestFindSurplusVoter guards against lost voters that stay in the membership. When
// machines were permanently replaced one after another, each left a lost voter behind.
// After a few of them, the loss of one data centre cost the log its quorum.
func TestFindSurplusVoter(t *testing.T) {
	for name, c := range map[string]struct {
		silences []time.Duration
		want     mpquorum.MemberID
	}{
		"five voters, one lost and not replaced":              {[]time.Duration{0, 0, 0, 0, time.Minute}, 0},
		"six voters, one lost":                                {[]time.Duration{0, time.Minute, 0, 0, 0, 0}, 2},
		"six voters, one restarting":                          {[]time.Duration{0, time.Second, 0, 0, 0, 0}, 0},
		"six voters, two lost: remove the one silent longest": {[]time.Duration{0, 8 * time.Second, 0, time.Minute, 0, 0}, 4},
		"six voters, half of them partitioned":                {[]time.Duration{0, 0, 0, time.Minute, time.Minute, time.Minute}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var m mpquorum.Membership
			for i := range c.silences {
				m = m.With(mpquorum.MemberInfo{Member: mpquorum.MemberID(i + 1), Voter: true})
			}
			m = m.With(mpquorum.MemberInfo{Member: 99})
			got, ok := findSurplusVoter(m, func(id mpquorum.MemberID) time.Duration {
				if id == 99 {
					return time.Hour
				}
				return c.silences[id-1]
			})
			if !ok {
				got.Member = 0
			}
			if got.Member != c.want {
				t.Errorf("removed member %d, want %d", got.Member, c.want)
			}
		})
	}
}
