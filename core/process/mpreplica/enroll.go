package mpreplica

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

// enroll moves seat one step towards voting: it joins as a learner, and once
// it holds the log the older members of its VM are removed before it votes.
func (r *Replica) enroll(now time.Time, seat mpquorum.MemberInfo) (bool, error) {
	if !r.node.IsLeader() {
		return false, mperror.ErrNotLeader
	}
	members := r.node.Members()
	var have mpquorum.MemberInfo
	var old mpquorum.MemberID
	for _, s := range members.Seats {
		switch {
		case s.Member == seat.Member:
			have = s
		case s.VM == seat.VM:
			old = s.Member
		}
	}
	switch {
	case have.Voter && have.Address == seat.Address:
		return true, nil
	case have.Member == 0:
		seat.Voter = false
		return false, r.reconfigure(now, members.With(seat))
	case !r.node.CaughtUp(seat.Member, promoteSlack):
		return false, nil
	case old != 0:
		return false, r.reconfigure(now, members.Without(old))
	}
	seat.Voter = true
	return false, r.reconfigure(now, members.With(seat))
}

const (
	pruneEvery = time.Second
	// lostAfter is how long a voter must be silent before a replacement may take
	// its place for good: far longer than a restart.
	lostAfter = 6 * time.Second
)

// prune removes a voter that is gone for good once another has joined in its
// place. Without this, each replaced machine would raise the quorum.
func (r *Replica) prune(now time.Time) error {
	if !r.node.IsLeader() || now.Sub(r.pruned) < pruneEvery {
		return nil
	}
	r.pruned = now
	members := r.node.Members()
	lost, ok := surplus(members, func(id mpquorum.MemberID) time.Duration {
		if id == r.cfg.Self {
			return 0
		}
		return now.Sub(r.node.LastContact(id))
	})
	if !ok {
		return nil
	}
	level.Warn(r.cfg.Logger).Log("msg", "silent voter removed", "vm", lost.VM, "member", uint64(lost.Member),
		"voters", len(members.Voters()))
	return r.reconfigure(now, members.Without(lost.Member))
}

// surplus returns the voter that has been silent longest, if it is lost and the
// number of voters is even: deployments start with an odd number, so one has
// joined since. The others must form a quorum of those that are left.
func surplus(m mpquorum.Membership, silent func(mpquorum.MemberID) time.Duration) (mpquorum.MemberInfo, bool) {
	var worst mpquorum.MemberInfo
	longest, voters, live := lostAfter, 0, 0
	for _, s := range m.Seats {
		if !s.Voter {
			continue
		}
		voters++
		d := silent(s.Member)
		if d < lostAfter {
			live++
		}
		if d >= longest {
			worst, longest = s, d
		}
	}
	ok := worst.Member != 0 && voters%2 == 0 && live > voters/2
	return worst, ok
}

func (r *Replica) reconfigure(now time.Time, m mpquorum.Membership) error {
	err := r.step(now, mpquorum.Reconfigure{Members: m})
	if errors.Is(err, mperror.ErrConflict) {
		return nil
	}
	return err
}
