package mpreplica

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

// enroll advances member by one step towards being a voter. The member joins as a
// learner. Once it has caught up with the log, the voter that it replaces is removed, and
// then it becomes a voter. enroll reports whether it is a voter already.
func (r *Replica) enroll(now time.Time, member mpquorum.MemberInfo) (bool, error) {
	if !r.node.IsLeader() {
		return false, mperror.ErrNotLeader
	}
	members := r.node.Members()
	var existing, replaced mpquorum.MemberInfo
	for _, s := range members.Seats {
		switch {
		case s.Member == member.Member:
			existing = s
		case s.VM == member.VM:
			replaced = s
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
	}
	if replaced.Member == 0 && !existing.Voter {
		var isDecided bool
		if replaced, isDecided = findReplacedVoter(members, r.silenceAt(now), r.hasHeard); !isDecided {
			return false, nil
		}
	}
	if replaced.Member != 0 {
		return false, r.remove(now, members, replaced)
	}
	member.Voter = true
	return false, r.reconfigure(now, members.With(member))
}

const (
	pruneInterval = 250 * time.Millisecond
	// lostVoterTimeout is how long a voter must be silent before it is removed in favour of
	// another one. It is shorter than the time after which another machine may be lost, and
	// may be shorter than a restart: a voter that was removed enrolls again.
	lostVoterTimeout = 1500 * time.Millisecond
	// silentVoterTimeout is how long a voter must be silent to be waited for until it is heard or
	// lost, before the member of a new VM votes. It is longer than several heartbeats take.
	silentVoterTimeout = 600 * time.Millisecond
	// minReplacedVoters is the number of voters from which a lost one is removed before the one
	// that replaces it votes. With fewer, the quorum would bear no other loss in between.
	minReplacedVoters = 4
)

// prune removes a lost voter once another one has joined in its place. Without this, each
// replaced machine would increase the quorum size.
func (r *Replica) prune(now time.Time) error {
	if !r.node.IsLeader() || now.Sub(r.lastPrune) < pruneInterval {
		return nil
	}
	r.lastPrune = now
	members := r.node.Members()
	surplus, ok := findSurplusVoter(members, r.silenceAt(now))
	if !ok {
		return nil
	}
	return r.remove(now, members, surplus)
}

func (r *Replica) remove(now time.Time, members mpquorum.Membership, s mpquorum.MemberInfo) error {
	if !r.node.MembershipCommitted() {
		return nil // One change at a time.
	}
	silence := r.silenceAt(now)(s.Member)
	err := r.reconfigure(now, members.Without(s.Member))
	if err == nil {
		_ = level.Warn(r.cfg.Logger).Log("msg", "silent voter removed", "vm", s.VM, "member", uint64(s.Member),
			"silent", silence, "voters", len(members.Voters()))
	}
	return err
}

// silenceAt returns how long before now each member was last heard by this leader.
func (r *Replica) silenceAt(now time.Time) func(mpquorum.MemberID) time.Duration {
	return func(id mpquorum.MemberID) time.Duration {
		if id == r.cfg.Self {
			return 0
		}
		return now.Sub(r.node.LastContact(id))
	}
}

// hasHeard reports whether this leader has heard a member since it was elected.
func (r *Replica) hasHeard(id mpquorum.MemberID) bool {
	return id == r.cfg.Self || r.node.HasAnswered(id)
}

// findSurplusVoter returns the voter that has been silent longest, if it is lost and the
// number of voters is even. Deployments start with an odd number of voters, so an even
// number means that a replacement has joined. The reachable voters must be more than half
// of all, so that they still form a quorum after the removal.
func findSurplusVoter(m mpquorum.Membership, silenceOf func(mpquorum.MemberID) time.Duration) (mpquorum.MemberInfo, bool) {
	candidate, voters, reachable := findLostVoter(m, silenceOf)
	return candidate, candidate.Member != 0 && voters%2 == 0 && reachable > voters/2
}

// findReplacedVoter returns the voter that has been silent longest, if it is lost, when a
// member of another VM is about to vote. That one most likely replaces it. The reachable
// voters must form a quorum after the removal. It returns false if that cannot be decided yet,
// since a voter is silent, or was not heard by this leader, and may be lost.
func findReplacedVoter(m mpquorum.Membership, silenceOf func(mpquorum.MemberID) time.Duration,
	hasHeard func(mpquorum.MemberID) bool,
) (replaced mpquorum.MemberInfo, isDecided bool) {
	candidate, voters, reachable := findLostVoter(m, silenceOf)
	if voters < minReplacedVoters {
		return mpquorum.MemberInfo{}, true
	}
	for _, s := range m.Seats {
		silence := silenceOf(s.Member)
		if s.Voter && silence < lostVoterTimeout && (silence >= silentVoterTimeout || !hasHeard(s.Member)) {
			return mpquorum.MemberInfo{}, false
		}
	}
	if candidate.Member == 0 || reachable <= (voters-1)/2 {
		return mpquorum.MemberInfo{}, true
	}
	return candidate, true
}

// findLostVoter returns the voter that has been silent longest, at least lostVoterTimeout, or
// the zero value if there is none, and the numbers of voters and of those that are not lost.
func findLostVoter(m mpquorum.Membership, silenceOf func(mpquorum.MemberID) time.Duration) (lost mpquorum.MemberInfo, voters, reachable int) {
	longestSilence := lostVoterTimeout
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
			lost, longestSilence = s, silence
		}
	}
	return lost, voters, reachable
}

func (r *Replica) reconfigure(now time.Time, m mpquorum.Membership) error {
	err := r.step(now, mpquorum.Reconfigure{Members: m})
	if errors.Is(err, mperror.ErrConflict) {
		return nil
	}
	return err
}
