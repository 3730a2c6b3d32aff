package mpquorum

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

func (n *Node) propose(now time.Time, p Propose) error {
	if n.role != leader || n.isTransferring() {
		return mperror.ErrNotLeader
	}
	for _, data := range p.Data {
		e := Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: KindData, Data: data}
		if err := n.appendLocal(e); err != nil {
			return err
		}
	}
	n.advanceCommit()
	n.broadcast(now)
	return nil
}

func (n *Node) reconfigure(now time.Time, m Membership) error {
	if n.role != leader || n.isTransferring() {
		return mperror.ErrNotLeader
	}
	if !n.MembershipCommitted() || n.commitIndex < n.termStartIndex {
		return mperror.Wrap(mperror.ErrConflict, "previous membership change or first entry of term not yet committed")
	}
	if countChangedMembers(n.members(), m) > 1 || len(m.Voters()) == 0 {
		return mperror.Wrap(mperror.ErrInvalid, "membership change must affect at most one member and leave a voter")
	}
	data, err := msgpack.Marshal(m)
	if err != nil {
		return mperror.Wrap(err, "encode membership")
	}
	e := Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: KindConfig, Data: data}
	if err := n.appendLocal(e); err != nil {
		return err
	}
	n.syncPeers(now)
	n.advanceCommit()
	n.broadcast(now)
	return nil
}

func countChangedMembers(a, b Membership) int {
	count := 0
	for _, s := range a.Seats {
		if t, ok := b.find(s.Member); !ok || t != s {
			count++
		}
	}
	for _, s := range b.Seats {
		if _, ok := a.find(s.Member); !ok {
			count++
		}
	}
	return count
}

func (n *Node) transfer(now time.Time) error {
	if n.role != leader {
		return mperror.ErrNotLeader
	}
	var best MemberID
	var match uint64
	for _, id := range n.members().Voters() {
		if p, ok := n.peers[id]; ok && p.matchIndex >= match {
			best, match = id, p.matchIndex
		}
	}
	if best == 0 || match < n.log.last() {
		return mperror.Wrap(mperror.ErrConflict, "no other voter has the complete log")
	}
	n.transferStartedAt = now
	n.send(best, Envelope{Campaign: &Campaign{}})
	return nil
}

func (n *Node) broadcast(now time.Time) {
	n.lastBroadcast = now
	for _, s := range n.members().Seats {
		if p, ok := n.peers[s.Member]; ok {
			n.sendAppend(now, s.Member, p)
		}
	}
}

func (n *Node) sendAppend(now time.Time, to MemberID, p *progress) {
	prev := p.nextIndex - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(now, to, p)
		return
	}
	entries := n.log.slice(p.nextIndex, maxAppendBytes)
	req := &AppendRequest{
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Commit:    n.commitIndex,
		Sent:      now.Sub(n.startTime),
		Entries:   entries,
	}
	p.nextIndex += uint64(len(entries))
	n.send(to, Envelope{Append: req})
}

func (n *Node) sendSnapshot(now time.Time, to MemberID, p *progress) {
	if now.Sub(p.snapshotSentAt) < snapshotRetryInterval {
		return
	}
	p.snapshotSentAt = now
	snap := n.snapshot
	n.send(to, Envelope{Snapshot: &snap})
}

func (n *Node) receiveAppend(now time.Time, e Envelope) {
	n.recordLeaderContact(now, e)
	req := e.Append
	t, ok := n.log.term(req.PrevIndex)
	if !ok || t != req.PrevTerm {
		n.send(e.From, Envelope{Ack: &AppendReply{Match: n.retryIndex(req.PrevIndex), Sent: req.Sent}})
		return
	}
	match := req.PrevIndex + uint64(len(req.Entries))
	n.mergeEntries(req.Entries)
	n.commitIndex = max(n.commitIndex, min(req.Commit, match))
	n.send(e.From, Envelope{Ack: &AppendReply{Ok: true, Match: match, Sent: req.Sent}})
}

func (n *Node) recordLeaderContact(now time.Time, e Envelope) {
	if n.role != follower || n.leaderID != e.From {
		n.becomeFollower(now, e.Term, e.From)
	}
	n.lastLeaderContact = now
	n.resetElectionDeadline(now)
}

// retryIndex returns the highest index below prev at which the logs may match.
func (n *Node) retryIndex(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	t, ok := n.log.term(prev)
	if !ok {
		return n.commitIndex
	}
	for prev > n.commitIndex {
		prev--
		if pt, ok := n.log.term(prev); !ok || pt != t {
			break
		}
	}
	return prev
}

func (n *Node) mergeEntries(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if e.Index <= n.log.base {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		_ = n.appendLocal(entries[i:]...)
		return
	}
}

func (n *Node) truncate(index uint64) {
	if index <= n.commitIndex {
		panic("mpquorum: truncation of a committed entry")
	}
	n.log.truncateFrom(index)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

func (n *Node) receiveSnapshot(now time.Time, e Envelope) {
	n.recordLeaderContact(now, e)
	s := *e.Snapshot
	if s.Index <= n.commitIndex {
		n.send(e.From, Envelope{Ack: &AppendReply{Ok: true, Match: n.commitIndex}})
		return
	}
	n.snapshot = s
	n.log.reset(s.Index, s.Term)
	n.configs = []indexedMembership{{s.Index, s.Members}}
	n.commitIndex = s.Index
	n.appliedIndex = s.Index
	n.actions.Snapshot = &s
	n.send(e.From, Envelope{Ack: &AppendReply{Ok: true, Match: s.Index}})
}

func (n *Node) receiveAck(now time.Time, e Envelope) {
	p, ok := n.peers[e.From]
	if n.role != leader || !ok {
		return
	}
	if sent := n.startTime.Add(e.Ack.Sent); sent.After(p.lastContact) {
		p.lastContact = sent
	}
	p.snapshotSentAt = time.Time{}
	if !e.Ack.Ok {
		p.nextIndex = max(p.matchIndex, min(e.Ack.Match, n.log.last())) + 1
		n.sendAppend(now, e.From, p)
		return
	}
	if e.Ack.Match > p.matchIndex {
		p.matchIndex = e.Ack.Match
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		// The next append or heartbeat tells followers the new commit index.
		n.advanceCommit()
	}
	if p.nextIndex <= n.log.last() {
		n.sendAppend(now, e.From, p)
	}
}

// advanceCommit moves the commit index to the highest entry stored by a quorum, if
// that entry is of the current term (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, id := range n.members().Voters() {
		switch p, ok := n.peers[id]; {
		case id == n.cfg.Self:
			matches = append(matches, n.log.last())
		case ok:
			matches = append(matches, p.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	slices.SortFunc(matches, func(a, b uint64) int { return int(int64(b) - int64(a)) })
	index := matches[n.quorum()-1]
	if t, ok := n.log.term(index); !ok || t != n.hardState.Term || index <= n.commitIndex {
		return
	}
	n.commitIndex = index
}
