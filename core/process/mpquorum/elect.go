package mpquorum

import "time"

// earlyTimeoutDivisor shortens the election timeout for a pre-vote, which does not
// disturb other members.
const earlyTimeoutDivisor = 2

func (n *Node) tick(now time.Time) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDeadline) || !n.isVoter() {
		return
	}
	n.startPreVote(now)
}

func (n *Node) tickLeader(now time.Time) {
	quorumLost := now.Sub(n.quorumContact(now)) > 2*n.cfg.ElectionTimeout
	// A leadership transfer cannot be cancelled, since the target may still start
	// its election. If it times out, the leader steps down.
	transferFailed := n.isTransferring() && now.Sub(n.transferStartedAt) > n.cfg.ElectionTimeout
	if quorumLost || transferFailed {
		n.becomeFollower(now, n.hardState.Term, 0)
		return
	}
	if now.Sub(n.lastBroadcast) >= n.cfg.HeartbeatInterval {
		n.broadcast(now)
	}
}

func (n *Node) startPreVote(now time.Time) {
	n.role = preCandidate
	n.leaderID = 0
	// Other voters may still be starting. A pre-vote does not change their term or
	// vote, so it is retried after a shortened timeout.
	n.resetEarlyDeadline(now)
	n.votes = map[MemberID]bool{n.cfg.Self: true}
	if n.hasVoteQuorum() {
		n.startElection(now, false)
		return
	}
	n.requestVotes(n.hardState.Term+1, true, false)
}

func (n *Node) startElection(now time.Time, force bool) {
	n.role = candidate
	n.leaderID = 0
	n.force = force
	n.resetElectionDeadline(now)
	n.setHardState(HardState{Term: n.hardState.Term + 1, Vote: n.cfg.Self})
	n.votes = map[MemberID]bool{n.cfg.Self: true}
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
		return
	}
	n.requestVotes(n.hardState.Term, false, force)
}

func (n *Node) requestVotes(term uint64, pre, force bool) {
	for _, id := range n.members().Voters() {
		if id == n.cfg.Self {
			continue
		}
		req := &VoteRequest{PreVote: pre, Force: force, LastIndex: n.log.last(), LastTerm: n.log.lastTerm()}
		n.send(id, Envelope{Term: term, VoteRequest: req})
	}
}

func (n *Node) hasVoteQuorum() bool {
	count := 0
	for _, id := range n.members().Voters() {
		if n.votes[id] {
			count++
		}
	}
	return count >= n.quorum()
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = leader
	n.leaderID = n.cfg.Self
	n.transferStartedAt = time.Time{}
	n.peers = map[MemberID]*progress{}
	n.syncPeers(now)
	n.termStartIndex = n.log.last() + 1
	_ = n.appendLocal(Entry{Index: n.termStartIndex, Term: n.hardState.Term, Kind: KindNoop})
	n.advanceCommit()
	n.broadcast(now)
}

// syncPeers adds and removes progress entries to match the membership.
func (n *Node) syncPeers(now time.Time) {
	present := map[MemberID]bool{}
	for _, s := range n.members().Seats {
		present[s.Member] = true
		if _, ok := n.peers[s.Member]; !ok && s.Member != n.cfg.Self {
			n.peers[s.Member] = &progress{nextIndex: n.log.last() + 1, lastContact: now}
		}
	}
	for id := range n.peers {
		if !present[id] {
			delete(n.peers, id)
		}
	}
}

// becomeFollower makes this member a follower in term. leaderID is 0 if the leader is
// unknown.
func (n *Node) becomeFollower(now time.Time, term uint64, leaderID MemberID) {
	if term > n.hardState.Term {
		n.setHardState(HardState{Term: term})
	}
	n.role = follower
	n.leaderID = leaderID
	n.peers = nil
	n.transferStartedAt = time.Time{}
	n.resetElectionDeadline(now)
}

func (n *Node) receive(now time.Time, e Envelope) {
	if e.To != n.cfg.Self {
		return
	}
	switch {
	case e.VoteRequest != nil:
		n.receiveVoteRequest(now, e)
		return
	case e.VoteReply != nil && e.VoteReply.PreVote:
		n.receivePreVoteReply(now, e)
		return
	}
	if e.Term < n.hardState.Term {
		n.rejectStaleLeader(e)
		return
	}
	if e.Term > n.hardState.Term {
		n.becomeFollower(now, e.Term, 0)
	}
	switch {
	case e.VoteReply != nil:
		n.receiveVoteReply(now, e)
	case e.Append != nil:
		n.receiveAppend(now, e)
	case e.Snapshot != nil:
		n.receiveSnapshot(now, e)
	case e.Ack != nil:
		n.receiveAck(now, e)
	case e.Campaign != nil:
		if n.isVoter() {
			n.startElection(now, true)
		}
	}
}

// rejectStaleLeader sends a deposed leader the current term, so that it steps down.
func (n *Node) rejectStaleLeader(e Envelope) {
	if e.Append != nil || e.Snapshot != nil {
		n.send(e.From, Envelope{Ack: &AppendReply{Match: n.commitIndex}})
	}
}

func (n *Node) receiveVoteRequest(now time.Time, e Envelope) {
	req := e.VoteRequest
	if !req.Force && now.Sub(n.lastLeaderContact) < n.cfg.ElectionTimeout {
		return
	}
	if n.role == leader && !req.Force && n.HasLease(now) {
		return
	}
	if e.Term < n.hardState.Term {
		n.send(e.From, Envelope{VoteReply: &VoteReply{PreVote: req.PreVote}})
		return
	}
	upToDate := req.LastTerm > n.log.lastTerm() ||
		(req.LastTerm == n.log.lastTerm() && req.LastIndex >= n.log.last())
	if req.PreVote {
		if !upToDate || e.Term == n.hardState.Term {
			// A refusal carries this member's own term. If it carried the requested term,
			// the candidate would adopt a term in which no election has started.
			n.send(e.From, Envelope{VoteReply: &VoteReply{PreVote: true}})
			return
		}
		if n.role == preCandidate && e.From < n.cfg.Self {
			n.yieldPreVote(now)
		}
		n.send(e.From, Envelope{Term: e.Term, VoteReply: &VoteReply{PreVote: true, Granted: true}})
		return
	}
	if e.Term > n.hardState.Term {
		n.becomeFollower(now, e.Term, 0)
	}
	granted := upToDate && n.role == follower && (n.hardState.Vote == 0 || n.hardState.Vote == e.From)
	if granted {
		n.setHardState(HardState{Term: n.hardState.Term, Vote: e.From})
		n.resetElectionDeadline(now)
	}
	n.send(e.From, Envelope{VoteReply: &VoteReply{Granted: granted}})
}

// yieldPreVote ends this member's own pre-vote in favour of a member with a lower ID,
// so that voters that start at the same time do not split the vote.
func (n *Node) yieldPreVote(now time.Time) {
	n.role = follower
	n.resetEarlyDeadline(now)
}

func (n *Node) receivePreVoteReply(now time.Time, e Envelope) {
	if !e.VoteReply.Granted {
		if e.Term > n.hardState.Term {
			n.becomeFollower(now, e.Term, 0)
		}
		return
	}
	if n.role != preCandidate || e.Term != n.hardState.Term+1 {
		return
	}
	n.votes[e.From] = true
	if n.hasVoteQuorum() {
		n.startElection(now, false)
	}
}

func (n *Node) receiveVoteReply(now time.Time, e Envelope) {
	if n.role != candidate || !e.VoteReply.Granted {
		return
	}
	n.votes[e.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
	}
}
