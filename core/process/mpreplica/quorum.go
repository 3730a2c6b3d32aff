package mpreplica

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/process/mpquorum"
)

const (
	// quorumReportDelay is longer than elections take, also when several fail.
	quorumReportDelay    = 3 * time.Second
	quorumReportInterval = 10 * time.Second
)

// contact is what a replica last received from another member.
type contact struct {
	at time.Time
	// last is the last index of the member's log, or 0 if it has not asked for a vote.
	last uint64
}

// quorumWatch tracks how long a replica has had no leader, and which members it hears. The
// zero value is a replica that has a leader and hears nobody.
type quorumWatch struct {
	// lostAt is when the replica was first found without a leader; zero while it has one.
	lostAt     time.Time
	reportedAt time.Time
	contacts   map[mpquorum.MemberID]contact
}

// record notes a message from another member.
func (w *quorumWatch) record(now time.Time, e mpquorum.Envelope) {
	if w.contacts == nil {
		w.contacts = map[mpquorum.MemberID]contact{}
	}
	c := contact{at: now, last: w.contacts[e.From].last}
	if e.VoteRequest != nil {
		c.last = e.VoteRequest.LastIndex
	}
	w.contacts[e.From] = c
}

// quorumEvent is a change that operators are told of.
type quorumEvent uint8

const (
	quorumUnchanged quorumEvent = iota
	quorumLost                  // Also repeated while there is no leader.
	quorumRegained
)

// update records whether the replica has a leader at now, and returns what to report. A loss
// shorter than quorumReportDelay is an election and is not reported.
func (w *quorumWatch) update(now time.Time, hasLeader bool) quorumEvent {
	if hasLeader {
		wasReported := !w.reportedAt.IsZero()
		w.lostAt, w.reportedAt = time.Time{}, time.Time{}
		if wasReported {
			return quorumRegained
		}
		return quorumUnchanged
	}
	if w.lostAt.IsZero() {
		w.lostAt = now
	}
	if now.Sub(w.lostAt) < quorumReportDelay || now.Sub(w.reportedAt) < quorumReportInterval {
		return quorumUnchanged
	}
	w.reportedAt = now
	return quorumLost
}

// describe returns the number of voters in m that were heard within quorumReportDelay,
// including self, and a text that names each other voter, when it was last heard and how far
// its log reaches.
func (w *quorumWatch) describe(now time.Time, m mpquorum.Membership, self mpquorum.MemberID) (heard int, voters string) {
	var out []string
	for _, s := range m.Seats {
		if !s.Voter {
			continue
		}
		if s.Member == self {
			heard++
			continue
		}
		c, ok := w.contacts[s.Member]
		if !ok {
			out = append(out, fmt.Sprintf("%s (member %d): never heard", s.VM, s.Member))
			continue
		}
		age := now.Sub(c.at)
		if age < quorumReportDelay {
			heard++
		}
		text := fmt.Sprintf("%s (member %d): heard %s ago", s.VM, s.Member, age.Round(time.Millisecond))
		if c.last > 0 {
			text += fmt.Sprintf(", last %d", c.last)
		}
		out = append(out, text)
	}
	return heard, strings.Join(out, "; ")
}

// watchQuorum logs when this member has had no leader for quorumReportDelay, with what it
// knows of the other voters, and when it has one again.
func (r *Replica) watchQuorum(now time.Time) {
	lostAt := r.quorumWatch.lostAt
	switch r.quorumWatch.update(now, r.node.HasLeader(now)) {
	case quorumLost:
		members := r.node.Members()
		heard, others := r.quorumWatch.describe(now, members, r.cfg.Self)
		total := len(members.Voters())
		_ = level.Error(r.cfg.Logger).Log("msg", "quorum lost", "for", now.Sub(r.quorumWatch.lostAt).Round(time.Millisecond),
			"voters", total, "needed", total/2+1, "heard", heard, "term", r.node.Term(), "last", r.node.LastIndex(),
			"commit", r.node.CommitIndex(), "others", others)
	case quorumRegained:
		_ = level.Info(r.cfg.Logger).Log("msg", "quorum regained", "after", now.Sub(lostAt).Round(time.Millisecond))
	case quorumUnchanged:
	}
}
