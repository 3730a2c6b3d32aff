package mpreplica

import (
	"time"

	"mustardpost.org/core/process/mpquorum"
)

// Status is the state of a replica as shown to operators.
type Status struct {
	Member      mpquorum.MemberID   `json:"member"`
	Leader      string              `json:"leader"`
	Leading     bool                `json:"leading"`
	Term        uint64              `json:"term"`
	CommitIndex uint64              `json:"commit"`
	LastIndex   uint64              `json:"last"`
	Members     mpquorum.Membership `json:"members"`
	// LostAt is since when this member has had no leader; zero if it has one.
	LostAt time.Time `json:"lost,omitzero"`
}

func (r *Replica) publishStatus() {
	leader, _ := r.node.Leader()
	s := Status{
		Member:      r.cfg.Self,
		Leader:      leader.VM,
		Leading:     r.node.IsLeader(),
		Term:        r.node.Term(),
		CommitIndex: r.node.CommitIndex(),
		LastIndex:   r.node.LastIndex(),
		Members:     r.node.Members(),
		LostAt:      r.quorumWatch.lostAt,
	}
	r.mu.Lock()
	r.status = s
	r.leaderInfo = leader
	r.mu.Unlock()
}
