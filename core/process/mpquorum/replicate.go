package mpquorum

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

func (n *Node) propose(now time.Time, p Propose) error {
	if n.role != leader || n.isHanding() {
		return mperror.ErrNotLeader
	}
	for _, data := range p.Data {
		e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: KindData, Data: data}
		if err := n.appendLocal(e); err != nil {
			return err
		}
	}
	n.advance()
	n.broadcast(now)
	return nil
}

func (n *Node) reconfigure(now time.Time, m Membership) error {
	if n.role != leader || n.isHanding() {
		return mperror.ErrNotLeader
	}
	if !n.MembershipCommitted() || n.commit < n.termHead {
		return mperror.Wrap(mperror.ErrConflict, "membership change still open")
	}
	if differences(n.members(), m) > 1 || len(m.Voters()) == 0 {
		return mperror.Wrap(mperror.ErrInvalid, "membership must change by one seat")
	}
	data, err := msgpack.Marshal(m)
	if err != nil {
		return mperror.Wrap(err, "encode membership")
	}
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: KindConfig, Data: data}
	if err := n.appendLocal(e); err != nil {
		return err
	}
	n.syncPeers(now)
	n.advance()
	n.broadcast(now)
	return nil
}

func differences(a, b Membership) int {
	count := 0
	for _, s := range a.Seats {
		if t, ok := b.seat(s.Member); !ok || t != s {
			count++
		}
	}
	for _, s := range b.Seats {
		if _, ok := a.seat(s.Member); !ok {
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
		if p, ok := n.peers[id]; ok && p.match >= match {
			best, match = id, p.match
		}
	}
	if best == 0 || match < n.log.last() {
		return mperror.Wrap(mperror.ErrConflict, "no voter holds the whole log")
	}
	n.handed = now
	n.send(best, Envelope{Campaign: &Campaign{}})
	return nil
}

func (n *Node) broadcast(now time.Time) {
	n.beat = now
	for _, s := range n.members().Seats {
		if p, ok := n.peers[s.Member]; ok {
			n.sendAppend(now, s.Member, p)
		}
	}
}

func (n *Node) sendAppend(now time.Time, to MemberID, p *progress) {
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(now, to, p)
		return
	}
	entries := n.log.slice(p.next, appendBytes)
	req := &AppendRequest{
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Commit:    n.commit,
		Sent:      now.Sub(n.start),
		Entries:   entries,
	}
	p.next += uint64(len(entries))
	n.send(to, Envelope{Append: req})
}

func (n *Node) sendSnapshot(now time.Time, to MemberID, p *progress) {
	if now.Sub(p.snapAt) < snapshotRetry {
		return
	}
	p.snapAt = now
	snap := n.snap
	n.send(to, Envelope{Snapshot: &snap})
}

func (n *Node) receiveAppend(now time.Time, e Envelope) {
	n.hear(now, e)
	req := e.Append
	t, ok := n.log.term(req.PrevIndex)
	if !ok || t != req.PrevTerm {
		n.send(e.From, Envelope{Ack: &AppendReply{Match: n.retryFrom(req.PrevIndex), Sent: req.Sent}})
		return
	}
	match := req.PrevIndex + uint64(len(req.Entries))
	n.merge(req.Entries)
	n.commit = max(n.commit, min(req.Commit, match))
	n.send(e.From, Envelope{Ack: &AppendReply{Ok: true, Match: match, Sent: req.Sent}})
}

func (n *Node) hear(now time.Time, e Envelope) {
	if n.role != follower || n.lead != e.From {
		n.follow(now, e.Term, e.From)
	}
	n.heard = now
	n.resetDeadline(now)
}

// retryFrom returns the last index below prev at which the logs may agree.
func (n *Node) retryFrom(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	t, ok := n.log.term(prev)
	if !ok {
		return n.commit
	}
	for prev > n.commit {
		prev--
		if pt, ok := n.log.term(prev); !ok || pt != t {
			break
		}
	}
	return prev
}

func (n *Node) merge(entries []Entry) {
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
	if index <= n.commit {
		panic("mpquorum: a committed entry would be cut")
	}
	n.log.cut(index)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

func (n *Node) receiveSnapshot(now time.Time, e Envelope) {
	n.hear(now, e)
	s := *e.Snapshot
	if s.Index <= n.commit {
		n.send(e.From, Envelope{Ack: &AppendReply{Ok: true, Match: n.commit}})
		return
	}
	n.snap = s
	n.log.reset(s.Index, s.Term)
	n.configs = []configAt{{s.Index, s.Members}}
	n.commit = s.Index
	n.applied = s.Index
	n.out.Snapshot = &s
	n.send(e.From, Envelope{Ack: &AppendReply{Ok: true, Match: s.Index}})
}

func (n *Node) receiveAck(now time.Time, e Envelope) {
	p, ok := n.peers[e.From]
	if n.role != leader || !ok {
		return
	}
	if sent := n.start.Add(e.Ack.Sent); sent.After(p.contact) {
		p.contact = sent
	}
	p.snapAt = time.Time{}
	if !e.Ack.Ok {
		p.next = max(p.match, min(e.Ack.Match, n.log.last())) + 1
		n.sendAppend(now, e.From, p)
		return
	}
	if e.Ack.Match > p.match {
		p.match = e.Ack.Match
		p.next = max(p.next, p.match+1)
		// Followers learn of the commit with the next append or heartbeat.
		n.advance()
	}
	if p.next <= n.log.last() {
		n.sendAppend(now, e.From, p)
	}
}

// advance commits what a quorum holds, and only entries of the present term
// (Raft, section 5.4.2).
func (n *Node) advance() {
	var matches []uint64
	for _, id := range n.members().Voters() {
		switch p, ok := n.peers[id]; {
		case id == n.cfg.Self:
			matches = append(matches, n.log.last())
		case ok:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.SortFunc(matches, func(a, b uint64) int { return int(int64(b) - int64(a)) })
	index := matches[n.quorum()-1]
	if t, ok := n.log.term(index); !ok || t != n.hard.Term || index <= n.commit {
		return
	}
	n.commit = index
}
