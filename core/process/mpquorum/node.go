package mpquorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

const (
	entryOverhead   = 32
	appendBytes     = 1 << 20
	snapshotRetry   = 2 * time.Second
	leaderLeasePart = 0.8
)

// Config holds what a Node needs from outside.
type Config struct {
	// Self is this member's id; it must not be zero.
	Self MemberID
	// ElectionTimeout is the shortest time without a leader before an election; the
	// longest is twice that.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the leader's interval between appends.
	HeartbeatInterval time.Duration
	// Rand spreads the election timeouts.
	Rand *rand.Rand
	// Now is the present time; a new Node refuses votes for Election after it.
	Now time.Time
	// Hard, Snapshot and Entries are what the disk held.
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type progress struct {
	next    uint64
	match   uint64
	contact time.Time
	snapAt  time.Time
}

type configAt struct {
	index   uint64
	members Membership
}

// Node is one member's view of the log. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	start    time.Time
	role     role
	hard     HardState
	log      memlog
	snap     Snapshot
	commit   uint64
	applied  uint64
	configs  []configAt
	lead     MemberID
	heard    time.Time
	deadline time.Time
	beat     time.Time
	votes    map[MemberID]bool
	force    bool
	peers    map[MemberID]*progress
	termHead uint64
	handed   time.Time
	out      Actions
}

// New returns a Node that resumes from what the disk held. Its first Step
// reports the entries up to the snapshot as applied already.
func New(cfg Config) (*Node, error) {
	if cfg.Self == 0 || cfg.ElectionTimeout <= 0 || cfg.HeartbeatInterval <= 0 || cfg.Rand == nil {
		return nil, mperror.Wrap(mperror.ErrInvalid, "quorum config")
	}
	n := &Node{cfg: cfg, start: cfg.Now, hard: cfg.Hard, snap: cfg.Snapshot}
	n.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	n.commit = cfg.Snapshot.Index
	n.applied = cfg.Snapshot.Index
	n.configs = []configAt{{cfg.Snapshot.Index, cfg.Snapshot.Members}}
	for _, e := range cfg.Entries {
		if e.Index <= n.log.base {
			continue
		}
		if e.Index != n.log.last()+1 {
			return nil, mperror.Wrap(mperror.ErrCorrupt, "log entry %d after %d", e.Index, n.log.last())
		}
		n.log.append(e)
		if err := n.noteConfig(e); err != nil {
			return nil, err
		}
	}
	n.heard = cfg.Now
	// All members may have restarted together, so the first try comes early. A
	// leader that lives is not disturbed, since its followers refuse a pre-vote.
	n.deadline = cfg.Now.Add(n.spread(cfg.ElectionTimeout / earlyPart))
	return n, nil
}

// Step advances the state by one event and returns what the caller must do.
// It returns ErrNotLeader for a Propose, Reconfigure or Transfer elsewhere.
func (n *Node) Step(now time.Time, e Event) (Actions, error) {
	n.out = Actions{}
	var err error
	switch e := e.(type) {
	case Tick:
		n.tick(now)
	case Propose:
		err = n.propose(now, e)
	case Reconfigure:
		err = n.reconfigure(now, e.Members)
	case Transfer:
		err = n.transfer(now)
	case Receive:
		n.receive(now, e.Envelope)
	default:
		panic(fmt.Sprintf("mpquorum: unknown event %T", e))
	}
	if n.applied < n.commit {
		n.out.Committed = n.log.between(n.applied, n.commit)
		n.applied = n.commit
	}
	return n.out, err
}

// String returns the role's name in logs.
func (r role) String() string {
	switch r {
	case preCandidate:
		return "precandidate"
	case candidate:
		return "candidate"
	case leader:
		return "leader"
	default:
		return "follower"
	}
}

// Role names what this member is in its term, for logs.
func (n *Node) Role() string { return n.role.String() }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// CommitIndex returns the highest committed index.
func (n *Node) CommitIndex() uint64 { return n.commit }

// LastIndex returns the highest index in the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Leader returns the seat of the known leader.
func (n *Node) Leader() (MemberInfo, bool) {
	return n.members().seat(n.lead)
}

// Members returns the membership in force at this member.
func (n *Node) Members() Membership { return n.members() }

// IsLeader reports whether this member leads its term. It may be deposed
// without knowing; HasLease tells whether that can be the case.
func (n *Node) IsLeader() bool { return n.role == leader }

// HasLease reports whether no other member can have been elected by now and
// the state includes everything that was committed before this term.
func (n *Node) HasLease(now time.Time) bool {
	if n.role != leader || n.isHanding() || n.applied < n.termHead {
		return false
	}
	lease := time.Duration(float64(n.cfg.ElectionTimeout) * leaderLeasePart)
	return now.Sub(n.quorumContact(now)) < lease
}

// CaughtUp reports whether member holds all but at most slack entries.
func (n *Node) CaughtUp(member MemberID, slack uint64) bool {
	p, ok := n.peers[member]
	return ok && n.role == leader && p.match+slack >= n.log.last()
}

// LastContact returns when the leader last heard of member.
func (n *Node) LastContact(member MemberID) time.Time {
	if p, ok := n.peers[member]; ok {
		return p.contact
	}
	return time.Time{}
}

// MembershipCommitted reports whether the last membership change is committed.
func (n *Node) MembershipCommitted() bool {
	return n.configs[len(n.configs)-1].index <= n.commit
}

// Compact drops entries up to index, which s covers; s serves followers that
// lag behind it.
func (n *Node) Compact(s Snapshot, keepFrom uint64) {
	n.snap = s
	n.log.compact(keepFrom)
	for len(n.configs) > 1 && n.configs[1].index <= n.log.base {
		n.configs = n.configs[1:]
	}
}

// SnapshotMetadata returns the frame of a snapshot at the applied index, without data.
func (n *Node) SnapshotMetadata() Snapshot {
	t, _ := n.log.term(n.applied)
	return Snapshot{Index: n.applied, Term: t, Members: n.membersAt(n.applied)}
}

// isHanding reports whether this leader has asked another voter to campaign.
// From then on its lease is void, as that campaign overrides it.
func (n *Node) isHanding() bool { return !n.handed.IsZero() }

func (n *Node) members() Membership {
	return n.configs[len(n.configs)-1].members
}

func (n *Node) membersAt(index uint64) Membership {
	for i := len(n.configs) - 1; i > 0; i-- {
		if n.configs[i].index <= index {
			return n.configs[i].members
		}
	}
	return n.configs[0].members
}

func (n *Node) noteConfig(e Entry) error {
	if e.Kind != KindConfig {
		return nil
	}
	var m Membership
	if err := msgpack.Unmarshal(e.Data, &m); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "membership at entry %d: %v", e.Index, err)
	}
	n.configs = append(n.configs, configAt{e.Index, m})
	return nil
}

func (n *Node) isVoter() bool {
	s, ok := n.members().seat(n.cfg.Self)
	return ok && s.Voter
}

func (n *Node) quorum() int {
	return len(n.members().Voters())/2 + 1
}

// quorumContact returns the latest time at which a quorum was known to follow.
func (n *Node) quorumContact(now time.Time) time.Time {
	voters := n.members().Voters()
	times := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		if id == n.cfg.Self {
			times = append(times, now)
			continue
		}
		times = append(times, n.LastContact(id))
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n.quorum()-1]
}

func (n *Node) resetDeadline(now time.Time) {
	n.deadline = now.Add(n.cfg.ElectionTimeout + n.spread(n.cfg.ElectionTimeout))
}

// resetEarly lets the next pre-vote come after a part of the election timeout.
func (n *Node) resetEarly(now time.Time) {
	early := n.cfg.ElectionTimeout / earlyPart
	n.deadline = now.Add(early + n.spread(early))
}

func (n *Node) spread(d time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(max(d, 1))))
}

func (n *Node) send(to MemberID, e Envelope) {
	e.From = n.cfg.Self
	e.To = to
	if e.Term == 0 {
		e.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, e)
}

func (n *Node) setHard(h HardState) {
	n.hard = h
	n.out.Hard = &h
}

func (n *Node) appendLocal(entries ...Entry) error {
	n.log.append(entries...)
	n.out.Entries = append(n.out.Entries, entries...)
	for _, e := range entries {
		if err := n.noteConfig(e); err != nil {
			return err
		}
	}
	return nil
}

// BootstrapSnapshot returns the snapshot with which the first member of a new deployment
// starts: a membership of itself alone.
func BootstrapSnapshot(s MemberInfo, data []byte) Snapshot {
	s.Voter = true
	return Snapshot{Index: 1, Term: 1, Members: Membership{Seats: []MemberInfo{s}}, Data: data}
}

// EntriesAfter returns the entries above index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.between(index, n.log.last())
}

// CompactedIndex returns the index before the first entry kept.
func (n *Node) CompactedIndex() uint64 { return n.log.base }
