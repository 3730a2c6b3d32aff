// Package mpreplica runs one member of a replicated log: it feeds events to
// mpquorum, persists what it asks for, sends its messages and applies committed
// entries to a state machine. Proposals that arrive while the disk is busy are
// written together.
package mpreplica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpquorum"
)

const (
	tickEvery    = 25 * time.Millisecond
	inboxSize    = 4096
	batchLimit   = 512
	keepEntries  = 1000
	promoteSlack = 64
)

// StateMachine is the state that the log drives. Its methods are called from one
// goroutine, but it must allow readers at the same time.
type StateMachine interface {
	// Apply executes one command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot captures the whole state and returns a function that encodes
	// it. That function may run beside later calls of Apply.
	Snapshot() func() ([]byte, error)
	// Restore replaces the state by the one that Snapshot encoded.
	Restore(data []byte) error
}

// Sender passes messages to other members. Send must not block; it may drop.
type Sender interface {
	Send(address string, e mpquorum.Envelope)
}

// Config holds what a Replica needs from outside.
type Config struct {
	Self mpquorum.MemberID
	// Address is this member's own peer address.
	Address      string
	Store        *mpdisk.Store
	Recovered    mpdisk.RecoveredState
	StateMachine StateMachine
	Sender       Sender
	Logger       log.Logger
	Quorum       mpquorum.Config
	// SnapshotThreshold is the length of the log file, in bytes, that starts a snapshot.
	SnapshotThreshold int64
	// OnLeadershipChange is told when this member starts or stops to lead.
	OnLeadershipChange func(now time.Time, leading bool)
}

type proposal struct {
	command []byte
	done    chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// inbound is a batch of messages from one member. Where replies is nil, what
// answers them is sent like everything else.
type inbound struct {
	messages []mpquorum.Envelope
	replies  chan []mpquorum.Envelope
}

type written struct {
	snap mpquorum.Snapshot
	err  error
}

type waiting struct {
	term uint64
	done chan outcome
}

// Status describes a replica for operators.
type Status struct {
	Member      mpquorum.MemberID   `json:"member"`
	Leader      string              `json:"leader"`
	Leading     bool                `json:"leading"`
	Term        uint64              `json:"term"`
	CommitIndex uint64              `json:"commit"`
	LastIndex   uint64              `json:"last"`
	Members     mpquorum.Membership `json:"members"`
}

// Replica is one running member.
type Replica struct {
	cfg       Config
	proposals chan proposal
	inbox     chan inbound
	calls     chan func(now time.Time)
	snapped   chan written
	quit      chan struct{}
	stopped   chan struct{}

	// The loop alone uses these.
	node     *mpquorum.Node
	pending  map[uint64]waiting
	senders  map[mpquorum.MemberID]string
	leading  bool
	snapping bool
	hard     mpquorum.HardState
	pruned   time.Time
	// seen is what was logged last.
	seen belief

	mu       sync.RWMutex
	status   Status
	leadSeat mpquorum.MemberInfo
}

// New restores the state machine from what the disk held and returns a
// replica that is ready to Run.
func New(cfg Config) (*Replica, error) {
	q := cfg.Quorum
	q.Self = cfg.Self
	q.Hard = cfg.Recovered.Hard
	q.Snapshot = cfg.Recovered.Snapshot
	q.Entries = cfg.Recovered.Entries
	node, err := mpquorum.New(q)
	if err != nil {
		return nil, err
	}
	if len(cfg.Recovered.Snapshot.Data) > 0 {
		if err := cfg.StateMachine.Restore(cfg.Recovered.Snapshot.Data); err != nil {
			return nil, mperror.Wrap(err, "restore snapshot %d", cfg.Recovered.Snapshot.Index)
		}
	}
	r := &Replica{
		cfg:       cfg,
		proposals: make(chan proposal, inboxSize),
		inbox:     make(chan inbound, inboxSize),
		calls:     make(chan func(time.Time)),
		snapped:   make(chan written, 1),
		quit:      make(chan struct{}),
		stopped:   make(chan struct{}),
		node:      node,
		pending:   map[uint64]waiting{},
		senders:   map[mpquorum.MemberID]string{},
		hard:      cfg.Recovered.Hard,
	}
	r.publish()
	return r, nil
}

// Run drives the replica until Stop. It returns the disk error that ended it,
// if one did.
func (r *Replica) Run() error {
	defer close(r.stopped)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-r.quit:
			r.failAll(mperror.ErrUnknown)
			return nil
		case <-ticker.C:
			err = r.tick(time.Now())
		case in := <-r.inbox:
			err = r.exchange(time.Now(), in)
		case p := <-r.proposals:
			err = r.propose(time.Now(), p)
		case f := <-r.calls:
			f(time.Now())
		case w := <-r.snapped:
			err = r.finishCompact(w)
		}
		if err != nil {
			r.fail(err)
			return err
		}
	}
}

// Stop ends Run and waits for it.
func (r *Replica) Stop() {
	close(r.quit)
	<-r.stopped
}

// Exchange delivers messages of another member and returns the replies to it,
// once they may be sent. It returns nothing when overrun, which the protocol
// tolerates.
func (r *Replica) Exchange(ctx context.Context, messages []mpquorum.Envelope) []mpquorum.Envelope {
	in := inbound{messages: messages, replies: make(chan []mpquorum.Envelope, 1)}
	select {
	case r.inbox <- in:
	default:
		return nil
	}
	select {
	case replies := <-in.replies:
		return replies
	case <-ctx.Done():
		return nil
	case <-r.stopped:
		return nil
	}
}

// Deliver passes on messages without waiting for what they lead to.
func (r *Replica) Deliver(messages []mpquorum.Envelope) {
	select {
	case r.inbox <- inbound{messages: messages}:
	default:
	}
}

// Propose commits command and returns its result. ErrNotLeader means that it
// was not and never will be committed; ErrUnknown that it may yet be.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	p := proposal{command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-r.stopped:
		return nil, mperror.ErrNotLeader
	case <-ctx.Done():
		return nil, mperror.ErrNotLeader
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-r.stopped:
		return nil, mperror.ErrUnknown
	case <-ctx.Done():
		return nil, mperror.ErrUnknown
	}
}

// HasLease reports whether this member leads and no other can have been
// elected at the moment of the call. The answer comes from the loop, so it is
// never older than the call.
func (r *Replica) HasLease() bool {
	answer := make(chan bool, 1)
	ok := r.call(func(now time.Time) { answer <- r.node.HasLease(now) })
	return ok && <-answer
}

// Enroll adds seat as a learner, or promotes it and removes the older members
// of the same VM. It reports whether seat votes now, and is called repeatedly.
func (r *Replica) Enroll(seat mpquorum.MemberInfo) (bool, error) {
	type reply struct {
		done bool
		err  error
	}
	answer := make(chan reply, 1)
	ok := r.call(func(now time.Time) {
		done, err := r.enroll(now, seat)
		answer <- reply{done, err}
	})
	if !ok {
		return false, mperror.ErrNotLeader
	}
	got := <-answer
	return got.done, got.err
}

// TransferLeadership hands leadership to another voter if this member leads.
func (r *Replica) TransferLeadership() {
	r.call(func(now time.Time) {
		if r.node.IsLeader() {
			_ = r.step(now, mpquorum.Transfer{})
		}
	})
}

// Status returns a copy of the last published state.
func (r *Replica) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.status
}

// LeaderInfo returns the seat of the leader that this member follows.
func (r *Replica) LeaderInfo() mpquorum.MemberInfo {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leadSeat
}

func (r *Replica) call(f func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case r.calls <- wrapped:
		<-done
		return true
	case <-r.stopped:
		return false
	}
}

func (r *Replica) tick(now time.Time) error {
	r.compact()
	if err := r.prune(now); err != nil {
		return err
	}
	return r.step(now, mpquorum.Tick{})
}

func (r *Replica) propose(now time.Time, first proposal) error {
	batch := []proposal{first}
	for len(batch) < batchLimit {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	if !r.node.IsLeader() {
		refuse(batch, mperror.ErrNotLeader)
		return nil
	}
	data := make([][]byte, len(batch))
	next := r.node.LastIndex() + 1
	for i, p := range batch {
		data[i] = p.command
		r.pending[next+uint64(i)] = waiting{r.node.Term(), p.done}
	}
	err := r.step(now, mpquorum.Propose{Data: data})
	if errors.Is(err, mperror.ErrNotLeader) {
		for i := range batch {
			delete(r.pending, next+uint64(i))
		}
		refuse(batch, mperror.ErrNotLeader)
		return nil
	}
	return err
}

func refuse(batch []proposal, err error) {
	for _, p := range batch {
		p.done <- outcome{err: err}
	}
}

// step advances the node by one event and carries out its actions.
func (r *Replica) step(now time.Time, e mpquorum.Event) error {
	acts, stepErr := r.node.Step(now, e)
	if _, err := r.carryOut(now, acts, 0); err != nil {
		return err
	}
	return stepErr
}

// exchange advances the node by a batch of messages and carries out the
// actions of all together, so that they cost one write to the disk.
func (r *Replica) exchange(now time.Time, in inbound) error {
	var all mpquorum.Actions
	var from mpquorum.MemberID
	for _, m := range in.messages {
		from = m.From
		r.senders[from] = m.Address
		acts, err := r.node.Step(now, mpquorum.Receive{Envelope: m})
		if err != nil {
			return err
		}
		all = all.Merge(acts)
	}
	if in.replies == nil {
		_, err := r.carryOut(now, all, 0)
		return err
	}
	replies, err := r.carryOut(now, all, from)
	in.replies <- replies
	return err
}

// carryOut persists, sends and applies, in that order. It returns the messages
// to the given member instead of sending them.
func (r *Replica) carryOut(now time.Time, acts mpquorum.Actions, to mpquorum.MemberID) ([]mpquorum.Envelope, error) {
	if err := r.persist(acts); err != nil {
		return nil, err
	}
	var replies []mpquorum.Envelope
	for _, m := range acts.Messages {
		m.Address = r.cfg.Address
		if m.To == to {
			replies = append(replies, m)
		} else if address, ok := r.address(m.To); ok {
			r.cfg.Sender.Send(address, m)
		}
	}
	if acts.Snapshot != nil && len(acts.Snapshot.Data) > 0 {
		if err := r.cfg.StateMachine.Restore(acts.Snapshot.Data); err != nil {
			return nil, mperror.Wrap(err, "restore snapshot %d", acts.Snapshot.Index)
		}
	}
	r.apply(acts.Committed)
	r.noteLeading(now)
	r.publish()
	return replies, nil
}

func (r *Replica) persist(acts mpquorum.Actions) error {
	if acts.Hard != nil {
		r.hard = *acts.Hard
	}
	if acts.Snapshot != nil {
		if err := r.cfg.Store.WriteSnapshot(*acts.Snapshot); err != nil {
			return err
		}
		return r.cfg.Store.Rotate(acts.Snapshot.Index, r.hard, acts.Entries)
	}
	return r.cfg.Store.Save(acts.Hard, acts.Entries)
}

func (r *Replica) address(to mpquorum.MemberID) (string, bool) {
	for _, s := range r.node.Members().Seats {
		if s.Member == to {
			return s.Address, true
		}
	}
	address, ok := r.senders[to]
	return address, ok
}

func (r *Replica) apply(entries []mpquorum.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == mpquorum.KindData {
			result = r.cfg.StateMachine.Apply(e.Index, e.Data)
		}
		w, ok := r.pending[e.Index]
		if !ok {
			continue
		}
		delete(r.pending, e.Index)
		if w.term != e.Term {
			w.done <- outcome{err: mperror.ErrNotLeader}
			continue
		}
		w.done <- outcome{result: result}
	}
}

func (r *Replica) failAll(err error) {
	for index, w := range r.pending {
		w.done <- outcome{err: err}
		delete(r.pending, index)
	}
}

func (r *Replica) fail(err error) {
	level.Error(r.cfg.Logger).Log("msg", "replica stopped", "err", err)
	r.failAll(mperror.ErrUnknown)
}

func (r *Replica) publish() {
	lead, _ := r.node.Leader()
	s := Status{
		Member:      r.cfg.Self,
		Leader:      lead.VM,
		Leading:     r.node.IsLeader(),
		Term:        r.node.Term(),
		CommitIndex: r.node.CommitIndex(),
		LastIndex:   r.node.LastIndex(),
		Members:     r.node.Members(),
	}
	r.mu.Lock()
	r.status = s
	r.leadSeat = lead
	r.mu.Unlock()
}
