package mpreplica

import (
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
)

// belief is what a member believes of the elections.
type belief struct {
	term   uint64
	role   string
	leader string
}

// noteLeading tells who waits for it when this member starts or stops to lead.
func (r *Replica) noteLeading(now time.Time) {
	r.noteTerm()
	leading := r.node.IsLeader()
	if leading == r.leading {
		return
	}
	r.leading = leading
	level.Info(r.cfg.Logger).Log("msg", "leadership", "leading", leading, "term", r.node.Term())
	if !leading {
		r.failAll(mperror.ErrUnknown)
	}
	if r.cfg.OnLeadershipChange != nil {
		r.cfg.OnLeadershipChange(now, leading)
	}
}

// noteTerm logs what this member believes of the elections.
func (r *Replica) noteTerm() {
	lead, _ := r.node.Leader()
	seen := belief{term: r.node.Term(), role: r.node.Role(), leader: lead.VM}
	if seen == r.seen {
		return
	}
	r.seen = seen
	_ = level.Info(r.cfg.Logger).Log("msg", "term", "term", seen.term, "role", seen.role, "leader", seen.leader, "last", r.node.LastIndex(), "commit", r.node.CommitIndex())
}
