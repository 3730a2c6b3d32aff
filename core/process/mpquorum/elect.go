package mpquorum

import "time"

// earlyPart of the election timeout is the time for a try that disturbs nobody.
const earlyPart = 2

func (n *Node) tick(now time.Time) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.deadline) || !n.isVoter() {
		return
	}
	n.preCampaign(now)
}

func (n *Node) tickLeader(now time.Time) {
	lost := now.Sub(n.quorumContact(now)) > 2*n.cfg.ElectionTimeout
	// A handover that did not happen cannot be taken back, since the other
	// voter may still campaign; this leader makes way for an election.
	failed := n.isHanding() && now.Sub(n.handed) > n.cfg.ElectionTimeout
	if lost || failed {
		n.follow(now, n.hard.Term, 0)
		return
	}
	if now.Sub(n.beat) >= n.cfg.HeartbeatInterval {
		n.broadcast(now)
	}
}

func (n *Node) preCampaign(now time.Time) {
	n.role = preCandidate
	n.lead = 0
	// A pre-vote changes no state elsewhere, so it is tried again soon: others may
	// still be starting.
	n.resetEarly(now)
	n.votes = map[MemberID]bool{n.cfg.Self: true}
	if n.won() {
		n.campaign(now, false)
		return
	}
	n.ask(n.hard.Term+1, true, false)
}

func (n *Node) campaign(now time.Time, force bool) {
	n.role = candidate
	n.lead = 0
	n.force = force
	n.resetDeadline(now)
	n.setHard(HardState{Term: n.hard.Term + 1, Vote: n.cfg.Self})
	n.votes = map[MemberID]bool{n.cfg.Self: true}
	if n.won() {
		n.becomeLeader(now)
		return
	}
	n.ask(n.hard.Term, false, force)
}

func (n *Node) ask(term uint64, pre, force bool) {
	for _, id := range n.members().Voters() {
		if id == n.cfg.Self {
			continue
		}
		req := &VoteRequest{PreVote: pre, Force: force, LastIndex: n.log.last(), LastTerm: n.log.lastTerm()}
		n.send(id, Envelope{Term: term, VoteRequest: req})
	}
}

func (n *Node) won() bool {
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
	n.lead = n.cfg.Self
	n.handed = time.Time{}
	n.peers = map[MemberID]*progress{}
	n.syncPeers(now)
	n.termHead = n.log.last() + 1
	_ = n.appendLocal(Entry{Index: n.termHead, Term: n.hard.Term, Kind: KindNoop})
	n.advance()
	n.broadcast(now)
}

// syncPeers makes the progress table match the membership.
func (n *Node) syncPeers(now time.Time) {
	seats := map[MemberID]bool{}
	for _, s := range n.members().Seats {
		seats[s.Member] = true
		if _, ok := n.peers[s.Member]; !ok && s.Member != n.cfg.Self {
			n.peers[s.Member] = &progress{next: n.log.last() + 1, contact: now}
		}
	}
	for id := range n.peers {
		if !seats[id] {
			delete(n.peers, id)
		}
	}
}

// follow makes this member a follower of lead (0 when unknown) in term.
func (n *Node) follow(now time.Time, term uint64, lead MemberID) {
	if term > n.hard.Term {
		n.setHard(HardState{Term: term})
	}
	n.role = follower
	n.lead = lead
	n.peers = nil
	n.handed = time.Time{}
	n.resetDeadline(now)
}

func (n *Node) receive(now time.Time, e Envelope) {
	if e.To != n.cfg.Self {
		return
	}
	switch {
	case e.VoteRequest != nil:
		n.receiveAsk(now, e)
		return
	case e.VoteReply != nil && e.VoteReply.PreVote:
		n.receivePreVote(now, e)
		return
	}
	if e.Term < n.hard.Term {
		n.correctStale(e)
		return
	}
	if e.Term > n.hard.Term {
		n.follow(now, e.Term, 0)
	}
	switch {
	case e.VoteReply != nil:
		n.receiveVote(now, e)
	case e.Append != nil:
		n.receiveAppend(now, e)
	case e.Snapshot != nil:
		n.receiveSnapshot(now, e)
	case e.Ack != nil:
		n.receiveAck(now, e)
	case e.Campaign != nil:
		if n.isVoter() {
			n.campaign(now, true)
		}
	}
}

// correctStale tells a deposed leader the present term, so that it steps down.
func (n *Node) correctStale(e Envelope) {
	if e.Append != nil || e.Snapshot != nil {
		n.send(e.From, Envelope{Ack: &AppendReply{Match: n.commit}})
	}
}

func (n *Node) receiveAsk(now time.Time, e Envelope) {
	ask := e.VoteRequest
	if !ask.Force && now.Sub(n.heard) < n.cfg.ElectionTimeout {
		return
	}
	if n.role == leader && !ask.Force && n.HasLease(now) {
		return
	}
	if e.Term < n.hard.Term {
		n.send(e.From, Envelope{VoteReply: &VoteReply{PreVote: ask.PreVote}})
		return
	}
	current := ask.LastTerm > n.log.lastTerm() ||
		(ask.LastTerm == n.log.lastTerm() && ask.LastIndex >= n.log.last())
	if ask.PreVote {
		if !current || e.Term == n.hard.Term {
			// The reply carries this member's term: the one asked for has not begun.
			n.send(e.From, Envelope{VoteReply: &VoteReply{PreVote: true}})
			return
		}
		if n.role == preCandidate && e.From < n.cfg.Self {
			n.makeWay(now)
		}
		n.send(e.From, Envelope{Term: e.Term, VoteReply: &VoteReply{PreVote: true, Granted: true}})
		return
	}
	if e.Term > n.hard.Term {
		n.follow(now, e.Term, 0)
	}
	granted := current && n.role == follower && (n.hard.Vote == 0 || n.hard.Vote == e.From)
	if granted {
		n.setHard(HardState{Term: n.hard.Term, Vote: e.From})
		n.resetDeadline(now)
	}
	n.send(e.From, Envelope{VoteReply: &VoteReply{Granted: granted}})
}

// makeWay ends this member's own pre-vote in favour of a member with a lower id,
// so that voters that start together do not split their votes.
func (n *Node) makeWay(now time.Time) {
	n.role = follower
	n.resetEarly(now)
}

func (n *Node) receivePreVote(now time.Time, e Envelope) {
	if !e.VoteReply.Granted {
		if e.Term > n.hard.Term {
			n.follow(now, e.Term, 0)
		}
		return
	}
	if n.role != preCandidate || e.Term != n.hard.Term+1 {
		return
	}
	n.votes[e.From] = true
	if n.won() {
		n.campaign(now, false)
	}
}

func (n *Node) receiveVote(now time.Time, e Envelope) {
	if n.role != candidate || !e.VoteReply.Granted {
		return
	}
	n.votes[e.From] = true
	if n.won() {
		n.becomeLeader(now)
	}
}
