package mpreplica

import (
	"errors"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpquorum"
)

// enroll moves seat one step towards voting: it joins as a learner, and once
// it holds the log the older members of its VM are removed before it votes.
func (r *Replica) enroll(now time.Time, seat mpquorum.Seat) (bool, error) {
	if !r.node.IsLeader() {
		return false, mperror.ErrNotLeader
	}
	members := r.node.Members()
	var have mpquorum.Seat
	var old mpquorum.Member
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

func (r *Replica) reconfigure(now time.Time, m mpquorum.Membership) error {
	err := r.step(now, mpquorum.Reconfigure{Members: m})
	if errors.Is(err, mperror.ErrConflict) {
		return nil
	}
	return err
}
