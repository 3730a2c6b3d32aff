package mpquorum

import "time"

// MemberID identifies one life of one voter's disk. A VM that lost its disk
// returns under a new MemberID.
type MemberID uint64

// Kind tells what an Entry carries.
type Kind uint8

const (
	// KindData carries a command for the replicated state.
	KindData Kind = iota
	// KindNoop marks the start of a leader's term.
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

// MemberInfo is one member's row in a Membership.
type MemberInfo struct {
	Member  MemberID `msgpack:"member"`
	VM      string   `msgpack:"vm"`
	Address string   `msgpack:"address"`
	Voter   bool     `msgpack:"voter"`
}

// Membership lists the members in force from the entry that carries it on.
type Membership struct {
	Seats []MemberInfo `msgpack:"seats"`
}

// HardState is the part of the state that must survive a restart besides the log.
type HardState struct {
	Term uint64   `msgpack:"term"`
	Vote MemberID `msgpack:"vote"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   uint64     `msgpack:"index"`
	Term    uint64     `msgpack:"term"`
	Members Membership `msgpack:"members"`
	Data    []byte     `msgpack:"data"`
}

// Event is something that happened to a member.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Propose asks the leader to append one entry for each element of Data.
type Propose struct{ Data [][]byte }

// Reconfigure asks the leader to replace the membership. At most one seat may
// differ from the present one.
type Reconfigure struct{ Members Membership }

// Transfer asks the leader to hand its role to the most advanced other voter.
type Transfer struct{}

// Receive delivers a message from another member.
type Receive struct{ Envelope Envelope }

func (Tick) event()        {}
func (Propose) event()     {}
func (Reconfigure) event() {}
func (Transfer) event()    {}
func (Receive) event()     {}

// Envelope addresses one message. Exactly one of the pointers is set. Address
// is where the sender takes replies, for receivers that lack its seat.
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

// VoteRequest asks for a vote. A Pre request changes no state.
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

// AppendRequest extends the receiver's log after (Prev, PrevTerm). Sent is the
// leader's clock and returns in the reply.
type AppendRequest struct {
	PrevIndex uint64        `msgpack:"prev"`
	PrevTerm  uint64        `msgpack:"prevterm"`
	Commit    uint64        `msgpack:"commit"`
	Sent      time.Duration `msgpack:"sent"`
	Entries   []Entry       `msgpack:"entries"`
}

// AppendReply answers an AppendRequest or a Snapshot. When Ok, Match is the
// last index known to agree; otherwise Match is where the leader should retry.
type AppendReply struct {
	Ok    bool          `msgpack:"ok"`
	Match uint64        `msgpack:"match"`
	Sent  time.Duration `msgpack:"sent"`
}

// Campaign tells a voter to start an election at once.
type Campaign struct{}

// Actions is what a Step asks for. The caller persists Hard, Snapshot and
// Entries and synchronises them before it sends Messages and applies Commits.
type Actions struct {
	Hard      *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Envelope
	Committed []Entry
}

// Merge returns the actions of a followed by those of b. A snapshot in b replaces
// the entries of a, and the commits that it covers.
func (a Actions) Merge(b Actions) Actions {
	if b.Hard != nil {
		a.Hard = b.Hard
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

func (m Membership) seat(id MemberID) (MemberInfo, bool) {
	for _, s := range m.Seats {
		if s.Member == id {
			return s, true
		}
	}
	return MemberInfo{}, false
}

// Voters returns the members that vote.
func (m Membership) Voters() []MemberID {
	var ids []MemberID
	for _, s := range m.Seats {
		if s.Voter {
			ids = append(ids, s.Member)
		}
	}
	return ids
}

// With returns a copy in which s replaces or joins the seat of its member.
func (m Membership) With(s MemberInfo) Membership {
	next := m.Without(s.Member)
	next.Seats = append(next.Seats, s)
	return next
}

// Without returns a copy that lacks the seat of id.
func (m Membership) Without(id MemberID) Membership {
	next := Membership{Seats: make([]MemberInfo, 0, len(m.Seats)+1)}
	for _, s := range m.Seats {
		if s.Member != id {
			next.Seats = append(next.Seats, s)
		}
	}
	return next
}
