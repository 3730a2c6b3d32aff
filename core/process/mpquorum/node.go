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
	entryOverheadBytes = 32
	// maxAppliedEntries and maxAppliedBytes bound the entries that the caller applies between
	// two events, so that it takes less time than a heartbeat interval.
	maxAppliedEntries     = 32
	maxAppliedBytes       = 64 << 10
	maxAppendBytes        = 1 << 20
	snapshotRetryInterval = 2 * time.Second
	// leaderLeaseRatio is the duration of the leader lease relative to ElectionTimeout.
	// It is below 1, so that the lease ends before another member can be elected even
	// if the members' clocks run at slightly different rates.
	leaderLeaseRatio = 0.8
)

// Config holds the parameters and recovered state of a Node.
type Config struct {
	// Self is this member's ID and must not be zero.
	Self MemberID
	// ElectionTimeout is the minimum time without a leader before an election. The
	// timeout is randomised up to twice this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between the leader's append requests.
	HeartbeatInterval time.Duration
	// Rand randomises the election timeouts.
	Rand *rand.Rand
	// Now is the current time. A new Node refuses votes for ElectionTimeout after it.
	Now time.Time
	// HardState, Snapshot and Entries are the state recovered from disk.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type progress struct {
	nextIndex      uint64
	matchIndex     uint64
	lastContact    time.Time
	snapshotSentAt time.Time
}

type indexedMembership struct {
	index   uint64
	members Membership
}

// Node is one member's state machine of the protocol. It is not safe for concurrent
// use.
type Node struct {
	cfg               Config
	startTime         time.Time
	role              role
	hardState         HardState
	log               memoryLog
	snapshot          Snapshot
	commitIndex       uint64
	appliedIndex      uint64
	configs           []indexedMembership
	leaderID          MemberID
	lastLeaderContact time.Time
	electionDeadline  time.Time
	lastBroadcast     time.Time
	votes             map[MemberID]bool
	force             bool
	peers             map[MemberID]*progress
	termStartIndex    uint64
	transferStartedAt time.Time
	actions           Actions
}

// New returns a Node that resumes from the recovered state. Entries covered by the
// snapshot count as applied, so Step does not return them in Committed.
func New(cfg Config) (*Node, error) {
	if cfg.Self == 0 || cfg.ElectionTimeout <= 0 || cfg.HeartbeatInterval <= 0 || cfg.Rand == nil {
		return nil, mperror.Wrap(mperror.ErrInvalid, "quorum config needs Self, ElectionTimeout, HeartbeatInterval and Rand")
	}
	n := &Node{cfg: cfg, startTime: cfg.Now, hardState: cfg.HardState, snapshot: cfg.Snapshot}
	n.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	n.commitIndex = cfg.Snapshot.Index
	n.appliedIndex = cfg.Snapshot.Index
	n.configs = []indexedMembership{{cfg.Snapshot.Index, cfg.Snapshot.Members}}
	for _, e := range cfg.Entries {
		if e.Index <= n.log.base {
			continue
		}
		if e.Index != n.log.last()+1 {
			return nil, mperror.Wrap(mperror.ErrCorrupt, "log entry %d follows entry %d", e.Index, n.log.last())
		}
		n.log.append(e)
		if err := n.recordConfig(e); err != nil {
			return nil, err
		}
	}
	n.lastLeaderContact = cfg.Now
	// All members may have restarted at once, so the first pre-vote is early. It
	// does not disturb a live leader, since that leader's followers refuse it.
	n.electionDeadline = cfg.Now.Add(n.jitter(cfg.ElectionTimeout / earlyTimeoutDivisor))
	return n, nil
}

// Step processes one event and returns the actions for the caller to carry out. It
// returns ErrNotLeader for a Propose, Reconfigure or Transfer on a member that is
// not the leader.
func (n *Node) Step(now time.Time, e Event) (Actions, error) {
	n.actions = Actions{}
	var err error
	switch e := e.(type) {
	case Tick:
		n.tick(now)
	case Apply:
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
	_, isApply := e.(Apply)
	if backlog := n.commitIndex - n.appliedIndex; isApply || backlog <= maxAppliedEntries {
		through := n.log.batchEnd(n.appliedIndex, n.commitIndex)
		n.actions.Committed = n.log.between(n.appliedIndex, through)
		n.appliedIndex = through
	}
	return n.actions, err
}

// HasUnapplied reports whether there are committed entries that Step has not returned yet. If
// there are many, it returns them only with Apply, so that other events are handled in between.
func (n *Node) HasUnapplied() bool { return n.appliedIndex < n.commitIndex }

// String returns the role's name as it appears in logs.
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

// Role returns the name of this member's current role, for logs.
func (n *Node) Role() string { return n.role.String() }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// CommitIndex returns the highest index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the highest index in the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Leader returns the current leader, or false if it is unknown.
func (n *Node) Leader() (MemberInfo, bool) {
	return n.members().find(n.leaderID)
}

// HasLeader reports whether this member leads, or has heard a leader of its term within the
// longest election timeout before now.
func (n *Node) HasLeader(now time.Time) bool {
	return n.role == leader || n.leaderID != 0 && now.Sub(n.lastLeaderContact) < 2*n.cfg.ElectionTimeout
}

// Members returns the latest membership in this member's log.
func (n *Node) Members() Membership { return n.members() }

// IsLeader reports whether this member is the leader of its term. Another member may
// have been elected since; HasLease rules that out.
func (n *Node) IsLeader() bool { return n.role == leader }

// HasLease reports whether this member holds the leader lease: no other member can
// have been elected by now, and all entries committed in earlier terms are applied.
func (n *Node) HasLease(now time.Time) bool {
	if n.role != leader || n.isTransferring() || n.appliedIndex < n.termStartIndex {
		return false
	}
	lease := time.Duration(float64(n.cfg.ElectionTimeout) * leaderLeaseRatio)
	return now.Sub(n.quorumContact(now)) < lease
}

// CaughtUp reports whether member lacks at most slack entries of the leader's log.
func (n *Node) CaughtUp(member MemberID, slack uint64) bool {
	p, ok := n.peers[member]
	return ok && n.role == leader && p.matchIndex+slack >= n.log.last()
}

// LastContact returns the send time of the latest append that member answered, or the
// time at which this leader began to track member if there is none. It is zero for a
// member that is not tracked.
func (n *Node) LastContact(member MemberID) time.Time {
	if p, ok := n.peers[member]; ok {
		return p.lastContact
	}
	return time.Time{}
}

// HasAnswered reports whether member has confirmed a part of the log since this member was
// elected.
func (n *Node) HasAnswered(member MemberID) bool {
	p, ok := n.peers[member]
	return ok && p.matchIndex > 0
}

// MembershipCommitted reports whether the latest membership change is committed.
func (n *Node) MembershipCommitted() bool {
	return n.configs[len(n.configs)-1].index <= n.commitIndex
}

// Compact removes the entries up to and including compactIndex, which s covers. The
// leader sends s to followers that need removed entries.
func (n *Node) Compact(s Snapshot, compactIndex uint64) {
	n.snapshot = s
	n.log.compact(compactIndex)
	for len(n.configs) > 1 && n.configs[1].index <= n.log.base {
		n.configs = n.configs[1:]
	}
}

// SnapshotMetadata returns a snapshot at the applied index without Data.
func (n *Node) SnapshotMetadata() Snapshot {
	t, _ := n.log.term(n.appliedIndex)
	return Snapshot{Index: n.appliedIndex, Term: t, Members: n.membersAt(n.appliedIndex)}
}

// isTransferring reports whether this leader has asked another voter to start an
// election. The lease is invalid from then on, since that election ignores it.
func (n *Node) isTransferring() bool { return !n.transferStartedAt.IsZero() }

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

func (n *Node) recordConfig(e Entry) error {
	if e.Kind != KindConfig {
		return nil
	}
	var m Membership
	if err := msgpack.Unmarshal(e.Data, &m); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "decode membership in entry %d: %v", e.Index, err)
	}
	n.configs = append(n.configs, indexedMembership{e.Index, m})
	return nil
}

func (n *Node) isVoter() bool {
	s, ok := n.members().find(n.cfg.Self)
	return ok && s.Voter
}

func (n *Node) quorum() int {
	return len(n.members().Voters())/2 + 1
}

// quorumContact returns the latest time at which a quorum of voters is known to have
// followed this leader.
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

func (n *Node) resetElectionDeadline(now time.Time) {
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + n.jitter(n.cfg.ElectionTimeout))
}

// resetEarlyDeadline schedules the next pre-vote after a shortened election timeout.
func (n *Node) resetEarlyDeadline(now time.Time) {
	early := n.cfg.ElectionTimeout / earlyTimeoutDivisor
	n.electionDeadline = now.Add(early + n.jitter(early))
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(max(d, 1))))
}

func (n *Node) send(to MemberID, e Envelope) {
	e.From = n.cfg.Self
	e.To = to
	if e.Term == 0 {
		e.Term = n.hardState.Term
	}
	n.actions.Messages = append(n.actions.Messages, e)
}

func (n *Node) setHardState(h HardState) {
	n.hardState = h
	n.actions.HardState = &h
}

func (n *Node) appendLocal(entries ...Entry) error {
	n.log.append(entries...)
	n.actions.Entries = append(n.actions.Entries, entries...)
	for _, e := range entries {
		if err := n.recordConfig(e); err != nil {
			return err
		}
	}
	return nil
}

// BootstrapSnapshot returns the initial snapshot for the first member of a new
// deployment, whose membership consists of that member alone.
func BootstrapSnapshot(s MemberInfo, data []byte) Snapshot {
	s.Voter = true
	return Snapshot{Index: 1, Term: 1, Members: Membership{Seats: []MemberInfo{s}}, Data: data}
}

// EntriesAfter returns all entries after index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.between(index, n.log.last())
}

// CompactedIndex returns the index of the last compacted entry.
func (n *Node) CompactedIndex() uint64 { return n.log.base }
