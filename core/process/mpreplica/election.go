package mpreplica

import (
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
)

// electionState is a member's current term, its role and the leader it follows.
type electionState struct {
	term   uint64
	role   string
	leader string
}

// notifyLeadership calls OnLeadershipChange when this member starts or stops leading. When
// it stops, pending proposals fail, since their outcome is unknown.
func (r *Replica) notifyLeadership(now time.Time) {
	r.logElectionState()
	leading := r.node.IsLeader()
	if leading == r.isLeader {
		return
	}
	r.isLeader = leading
	level.Info(r.cfg.Logger).Log("msg", "leadership", "leading", leading, "term", r.node.Term())
	if !leading {
		r.failPending(mperror.ErrOutcomeUnknown)
	}
	if r.cfg.OnLeadershipChange != nil {
		r.cfg.OnLeadershipChange(now, leading)
	}
}

// logElectionState logs the term, role and leader when one of them has changed.
func (r *Replica) logElectionState() {
	leader, _ := r.node.Leader()
	current := electionState{term: r.node.Term(), role: r.node.Role(), leader: leader.VM}
	if current == r.lastLogged {
		return
	}
	r.lastLogged = current
	_ = level.Info(r.cfg.Logger).Log("msg", "term", "term", current.term, "role", current.role, "leader", current.leader, "last", r.node.LastIndex(), "commit", r.node.CommitIndex())
}
