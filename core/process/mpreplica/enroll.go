package mpreplica

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

// enroll advances member by one step towards being a voter. The member joins as a
// learner. Once it has caught up with the log, older members of the same VM are removed,
// and then it becomes a voter. enroll reports whether it is a voter already.
func (r *Replica) enroll(now time.Time, member mpquorum.MemberInfo) (bool, error) {
	if !r.node.IsLeader() {
		return false, mperror.ErrNotLeader
	}
	members := r.node.Members()
	var existing mpquorum.MemberInfo
	var replaced mpquorum.MemberID
	for _, s := range members.Seats {
		switch {
		case s.Member == member.Member:
			existing = s
		case s.VM == member.VM:
			replaced = s.Member
		}
	}
	switch {
	case existing.Voter && existing.Address == member.Address:
		return true, nil
	case existing.Member == 0:
		member.Voter = false
		return false, r.reconfigure(now, members.With(member))
	case !r.node.CaughtUp(member.Member, maxPromotionLag):
		return false, nil
	case replaced != 0:
		return false, r.reconfigure(now, members.Without(replaced))
	}
	member.Voter = true
	return false, r.reconfigure(now, members.With(member))
}

const (
	pruneInterval = time.Second
	// lostVoterTimeout is how long a voter must be silent before it is permanently removed
	// in favour of a replacement. It is much longer than a restart takes.
	lostVoterTimeout = 6 * time.Second
)

// prune removes a permanently lost voter once another one has joined in its place.
// Without this, each replaced machine would increase the quorum size.
func (r *Replica) prune(now time.Time) error {
	if !r.node.IsLeader() || now.Sub(r.lastPrune) < pruneInterval {
		return nil
	}
	r.lastPrune = now
	members := r.node.Members()
	surplus, ok := findSurplusVoter(members, func(id mpquorum.MemberID) time.Duration {
		if id == r.cfg.Self {
			return 0
		}
		return now.Sub(r.node.LastContact(id))
	})
	if !ok {
		return nil
	}
	level.Warn(r.cfg.Logger).Log("msg", "silent voter removed", "vm", surplus.VM, "member", uint64(surplus.Member),
		"voters", len(members.Voters()))
	return r.reconfigure(now, members.Without(surplus.Member))
}

// findSurplusVoter returns the voter that has been silent longest, if it is lost and the
// number of voters is even. Deployments start with an odd number of voters, so an even
// number means that a replacement has joined. The reachable voters must be more than half
// of all, so that they still form a quorum after the removal.
func findSurplusVoter(m mpquorum.Membership, silenceOf func(mpquorum.MemberID) time.Duration) (mpquorum.MemberInfo, bool) {
	var candidate mpquorum.MemberInfo
	longestSilence, voters, reachable := lostVoterTimeout, 0, 0
	for _, s := range m.Seats {
		if !s.Voter {
			continue
		}
		voters++
		silence := silenceOf(s.Member)
		if silence < lostVoterTimeout {
			reachable++
		}
		if silence >= longestSilence {
			candidate, longestSilence = s, silence
		}
	}
	ok := candidate.Member != 0 && voters%2 == 0 && reachable > voters/2
	return candidate, ok
}

func (r *Replica) reconfigure(now time.Time, m mpquorum.Membership) error {
	err := r.step(now, mpquorum.Reconfigure{Members: m})
	if errors.Is(err, mperror.ErrConflict) {
		return nil
	}
	return err
}
