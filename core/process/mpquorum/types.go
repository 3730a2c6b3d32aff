package mpquorum

import "time"

// MemberID identifies a member for the lifetime of its disk. A VM that lost its disk
// rejoins under a new MemberID.
type MemberID uint64

// Kind is the type of an Entry.
type Kind uint8

const (
	// KindData carries a command for the replicated state machine.
	KindData Kind = iota
	// KindNoop is the empty entry that a leader appends at the start of its term.
	KindNoop
	// KindConfig carries an encoded Membership.
	KindConfig
)

// Entry is one record of the log.
type Entry struct {
	Index uint64 `msgpack:"index"`
	Term  uint64 `msgpack:"term"`
	Kind  Kind   `msgpack:"kind"`
	Data  []byte `msgpack:"data"`
}

// MemberInfo describes one member of a Membership. Members without Voter are
// learners.
type MemberInfo struct {
	Member  MemberID `msgpack:"member"`
	VM      string   `msgpack:"vm"`
	Address string   `msgpack:"address"`
	Voter   bool     `msgpack:"voter"`
}

// Membership lists the members of the cluster. It takes effect as soon as the entry
// that carries it is appended to the log, before it is committed.
type Membership struct {
	Seats []MemberInfo `msgpack:"seats"`
}

// HardState is the state other than the log that must survive a restart.
type HardState struct {
	Term uint64   `msgpack:"term"`
	Vote MemberID `msgpack:"vote"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64     `msgpack:"index"`
	Term    uint64     `msgpack:"term"`
	Members Membership `msgpack:"members"`
	Data    []byte     `msgpack:"data"`
}

// Event is an input to Step.
type Event interface{ event() }

// Tick checks the election, heartbeat and transfer timeouts.
type Tick struct{}

// Apply asks for a batch of the entries that are committed, which other events return only if
// they are few.
type Apply struct{}

// Propose asks the leader to append one entry per element of Data.
type Propose struct{ Data [][]byte }

// Reconfigure asks the leader to replace the membership. At most one member may
// differ from the current membership.
type Reconfigure struct{ Members Membership }

// Transfer asks the leader to transfer leadership to the most up-to-date other voter.
type Transfer struct{}

// Receive delivers a message from another member.
type Receive struct{ Envelope Envelope }

func (Tick) event()        {}
func (Apply) event()       {}
func (Propose) event()     {}
func (Reconfigure) event() {}
func (Transfer) event()    {}
func (Receive) event()     {}

// Envelope carries one message between members. Exactly one of the pointers is set.
// Address is the address for replies, for receivers whose membership does not
// include the sender.
type Envelope struct {
	From        MemberID       `msgpack:"from"`
	To          MemberID       `msgpack:"to"`
	Address     string         `msgpack:"address"`
	Term        uint64         `msgpack:"term"`
	VoteRequest *VoteRequest   `msgpack:"ask,omitempty"`
	VoteReply   *VoteReply     `msgpack:"vote,omitempty"`
	Append      *AppendRequest `msgpack:"append,omitempty"`
	Ack         *AppendReply   `msgpack:"ack,omitempty"`
	Snapshot    *Snapshot      `msgpack:"snapshot,omitempty"`
	Campaign    *Campaign      `msgpack:"campaign,omitempty"`
}

// VoteRequest asks for a vote. LastIndex and LastTerm are those of the candidate's
// last log entry. A PreVote request does not change the receiver's term or vote. A
// Force request is considered even while the receiver has a live leader.
type VoteRequest struct {
	PreVote   bool   `msgpack:"pre"`
	Force     bool   `msgpack:"force"`
	LastIndex uint64 `msgpack:"index"`
	LastTerm  uint64 `msgpack:"last"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool `msgpack:"pre"`
	Granted bool `msgpack:"granted"`
}

// AppendRequest appends Entries to the receiver's log after the entry at PrevIndex
// with term PrevTerm. Sent is the leader's clock reading, which the reply echoes.
type AppendRequest struct {
	PrevIndex uint64        `msgpack:"prev"`
	PrevTerm  uint64        `msgpack:"prevterm"`
	Commit    uint64        `msgpack:"commit"`
	Sent      time.Duration `msgpack:"sent"`
	Entries   []Entry       `msgpack:"entries"`
}

// AppendReply answers an AppendRequest or a Snapshot. If Ok, Match is the highest
// index up to which the logs are known to match; otherwise it is the index after
// which the leader should retry.
type AppendReply struct {
	Ok    bool          `msgpack:"ok"`
	Match uint64        `msgpack:"match"`
	Sent  time.Duration `msgpack:"sent"`
}

// Campaign tells a voter to start an election immediately (TimeoutNow in Raft's
// leadership transfer).
type Campaign struct{}

// Actions is the result of a Step. Committed holds a batch of the entries that are committed and
// were not returned before. The caller persists and syncs HardState, Snapshot and
// Entries before it sends Messages and applies Committed.
type Actions struct {
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Envelope
	Committed []Entry
}

// Merge returns the actions of a followed by those of b. A snapshot in b supersedes
// the entries of a and its committed entries, which the snapshot covers.
func (a Actions) Merge(b Actions) Actions {
	if b.HardState != nil {
		a.HardState = b.HardState
	}
	if b.Snapshot != nil {
		a.Snapshot = b.Snapshot
		a.Entries = nil
		a.Committed = nil
	}
	a.Entries = append(a.Entries[:len(a.Entries):len(a.Entries)], b.Entries...)
	a.Messages = append(a.Messages[:len(a.Messages):len(a.Messages)], b.Messages...)
	a.Committed = append(a.Committed[:len(a.Committed):len(a.Committed)], b.Committed...)
	return a
}

func (m Membership) find(id MemberID) (MemberInfo, bool) {
	for _, s := range m.Seats {
		if s.Member == id {
			return s, true
		}
	}
	return MemberInfo{}, false
}

// Voters returns the IDs of the voting members.
func (m Membership) Voters() []MemberID {
	var ids []MemberID
	for _, s := range m.Seats {
		if s.Voter {
			ids = append(ids, s.Member)
		}
	}
	return ids
}

// With returns a copy in which s is added or replaces the entry of the same member.
func (m Membership) With(s MemberInfo) Membership {
	next := m.Without(s.Member)
	next.Seats = append(next.Seats, s)
	return next
}

// Without returns a copy without the member id.
func (m Membership) Without(id MemberID) Membership {
	next := Membership{Seats: make([]MemberInfo, 0, len(m.Seats)+1)}
	for _, s := range m.Seats {
		if s.Member != id {
			next.Seats = append(next.Seats, s)
		}
	}
	return next
}
