// Package mpreplica runs one member of a replicated log. It passes events to mpquorum,
// persists the resulting state, sends the resulting messages and applies committed entries
// to a state machine. Proposals that arrive while the disk is busy are written in one batch.
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
	tickInterval = 25 * time.Millisecond
	inboxSize    = 4096
	maxBatchSize = 512
	// maxEventsPerBatch is the number of events that are handled before the next batch of a long
	// log is applied.
	maxEventsPerBatch = 16
	retainedEntries   = 1000
	// maxPromotionLag is the number of log entries a learner may lack when it is promoted.
	maxPromotionLag = 64
)

// StateMachine is the state that committed entries are applied to. Its methods are called
// from one goroutine, but implementations must support concurrent readers.
type StateMachine interface {
	// Apply executes the command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot captures the complete state and returns a function that encodes it. That
	// function may run concurrently with later calls to Apply.
	Snapshot() func() ([]byte, error)
	// Restore replaces the state with one encoded by Snapshot.
	Restore(data []byte) error
}

// Sender sends messages to other members. Send must not block and may drop messages.
type Sender interface {
	Send(address string, e mpquorum.Envelope)
}

// Config holds the dependencies and settings of a Replica.
type Config struct {
	Self mpquorum.MemberID
	// Address is this member's own peer address.
	Address      string
	Store        Store
	Recovered    mpdisk.RecoveredState
	StateMachine StateMachine
	Sender       Sender
	Logger       log.Logger
	Quorum       mpquorum.Config
	// SnapshotThreshold is the size of the log file, in bytes, that triggers a snapshot.
	SnapshotThreshold int64
	// OnLeadershipChange is called when this member starts or stops leading.
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

// messageBatch is a batch of messages from one member. If replies is nil, the replies are
// sent through the Sender like all other messages.
type messageBatch struct {
	messages []mpquorum.Envelope
	replies  chan []mpquorum.Envelope
}

type snapshotResult struct {
	snap mpquorum.Snapshot
	err  error
}

type pendingProposal struct {
	term uint64
	done chan outcome
}

// Replica runs one member of the replicated log.
type Replica struct {
	cfg          Config
	proposals    chan proposal
	inbox        chan messageBatch
	calls        chan func(now time.Time)
	snapshotDone chan snapshotResult
	quit         chan struct{}
	stopped      chan struct{}

	// The following fields are used only by the goroutine of Run.
	node            *mpquorum.Node
	pending         map[uint64]pendingProposal
	senderAddresses map[mpquorum.MemberID]string
	isLeader        bool
	isSnapshotting  bool
	hardState       mpquorum.HardState
	// diskErr is the error of a write, after which the state in memory is ahead of the disk.
	diskErr   error
	lastPrune time.Time
	// lastLogged is the election state that was last logged.
	lastLogged  electionState
	quorumWatch quorumWatch

	mu         sync.RWMutex
	status     Status
	leaderInfo mpquorum.MemberInfo
}

// New restores the state machine from the recovered snapshot and returns a replica that is
// ready to Run.
func New(cfg Config) (*Replica, error) {
	q := cfg.Quorum
	q.Self = cfg.Self
	q.HardState = cfg.Recovered.HardState
	q.Snapshot = cfg.Recovered.Snapshot
	q.Entries = cfg.Recovered.Entries
	node, err := mpquorum.New(q)
	if err != nil {
		return nil, err
	}
	if len(cfg.Recovered.Snapshot.Data) > 0 {
		if err := cfg.StateMachine.Restore(cfg.Recovered.Snapshot.Data); err != nil {
			return nil, mperror.Wrap(err, "restore snapshot at index %d", cfg.Recovered.Snapshot.Index)
		}
	}
	r := &Replica{
		cfg:             cfg,
		proposals:       make(chan proposal, inboxSize),
		inbox:           make(chan messageBatch, inboxSize),
		calls:           make(chan func(time.Time)),
		snapshotDone:    make(chan snapshotResult, 1),
		quit:            make(chan struct{}),
		stopped:         make(chan struct{}),
		node:            node,
		pending:         map[uint64]pendingProposal{},
		senderAddresses: map[mpquorum.MemberID]string{},
		hardState:       cfg.Recovered.HardState,
	}
	r.publishStatus()
	return r, nil
}

// Run processes events until Stop is called. It returns an error if one ended it, such as
// a disk failure.
func (r *Replica) Run() error {
	defer close(r.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ready := make(chan struct{})
	close(ready)
	events := 0 // Since a batch was last applied.
	for {
		// A long log is applied in batches. Messages go first, since heartbeats must not wait.
		if r.node.HasUnapplied() && (events >= maxEventsPerBatch || len(r.inbox)+len(r.proposals) == 0) {
			events = 0
			if err := r.applyBatch(); err != nil {
				r.abort(err)
				return err
			}
		}
		var idle chan struct{}
		if r.node.HasUnapplied() {
			idle = ready // The next batch does not wait for an event.
		}
		stopped, err := r.handleEvent(ticker.C, idle)
		if err != nil {
			r.abort(err)
		}
		if stopped || err != nil {
			return err
		}
		events++
	}
}

// applyBatch applies a batch of a long log, and then does what the time demands.
func (r *Replica) applyBatch() error {
	if err := r.step(time.Now(), mpquorum.Apply{}); err != nil {
		return err
	}
	return r.tick(time.Now())
}

// handleEvent handles the next event, or none if idle is ready. It reports whether the replica
// was stopped.
func (r *Replica) handleEvent(ticks <-chan time.Time, idle <-chan struct{}) (stopped bool, err error) {
	select {
	case <-idle:
	case <-r.quit:
		r.failPending(mperror.ErrOutcomeUnknown)
		return true, nil
	case <-ticks:
		err = r.tick(time.Now())
	case in := <-r.inbox:
		err = r.exchange(time.Now(), in)
	case p := <-r.proposals:
		err = r.propose(time.Now(), p)
	case f := <-r.calls:
		f(time.Now())
	case w := <-r.snapshotDone:
		err = r.finishCompact(w)
	}
	if err == nil {
		err = r.diskErr // Calls return their errors to their callers.
	}
	return false, err
}

// Stop makes Run return and waits until it has.
func (r *Replica) Stop() {
	close(r.quit)
	<-r.stopped
}

// Exchange delivers messages from another member and returns the replies to that member
// once the state they depend on has been persisted. If the inbox is full, it drops the
// messages and returns nil, which the protocol tolerates.
func (r *Replica) Exchange(ctx context.Context, messages []mpquorum.Envelope) []mpquorum.Envelope {
	in := messageBatch{messages: messages, replies: make(chan []mpquorum.Envelope, 1)}
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

// Deliver queues messages without waiting for their processing. It drops them if the inbox
// is full.
func (r *Replica) Deliver(messages []mpquorum.Envelope) {
	select {
	case r.inbox <- messageBatch{messages: messages}:
	default:
	}
}

// Propose commits command and returns its result. ErrNotLeader means that it has not been
// and never will be committed; ErrOutcomeUnknown means that it may still be committed.
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
		return nil, mperror.ErrOutcomeUnknown
	case <-ctx.Done():
		return nil, mperror.ErrOutcomeUnknown
	}
}

// HasLease reports whether this member is the leader and no other member can have been
// elected by the time of the call. It is evaluated in the goroutine of Run, so the result
// is never older than the call.
func (r *Replica) HasLease() bool {
	answer := make(chan bool, 1)
	ok := r.runInLoop(func(now time.Time) { answer <- r.node.HasLease(now) })
	return ok && <-answer
}

// Enroll takes the next step towards making member a voter: it adds member as a learner,
// removes an older member of the same VM, or promotes member. It reports whether member is
// a voter already; if not, the caller calls it again later.
func (r *Replica) Enroll(member mpquorum.MemberInfo) (bool, error) {
	type reply struct {
		done bool
		err  error
	}
	answer := make(chan reply, 1)
	ok := r.runInLoop(func(now time.Time) {
		done, err := r.enroll(now, member)
		answer <- reply{done, err}
	})
	if !ok {
		return false, mperror.ErrNotLeader
	}
	result := <-answer
	return result.done, result.err
}

// TransferLeadership transfers leadership to another voter if this member is the leader.
func (r *Replica) TransferLeadership() {
	r.runInLoop(func(now time.Time) {
		if r.node.IsLeader() {
			_ = r.step(now, mpquorum.Transfer{})
		}
	})
}

// Status returns the last published status.
func (r *Replica) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.status
}

// LeaderInfo returns the leader that this member follows, or the zero value if it is unknown.
func (r *Replica) LeaderInfo() mpquorum.MemberInfo {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leaderInfo
}

func (r *Replica) runInLoop(f func(now time.Time)) bool {
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
	r.watchQuorum(now)
	r.compact()
	if err := r.prune(now); err != nil {
		return err
	}
	return r.step(now, mpquorum.Tick{})
}

func (r *Replica) propose(now time.Time, first proposal) error {
	batch := []proposal{first}
	for len(batch) < maxBatchSize {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	if !r.node.IsLeader() {
		rejectBatch(batch, mperror.ErrNotLeader)
		return nil
	}
	data := make([][]byte, len(batch))
	next := r.node.LastIndex() + 1
	for i, p := range batch {
		data[i] = p.command
		r.pending[next+uint64(i)] = pendingProposal{r.node.Term(), p.done}
	}
	err := r.step(now, mpquorum.Propose{Data: data})
	if errors.Is(err, mperror.ErrNotLeader) {
		for i := range batch {
			delete(r.pending, next+uint64(i))
		}
		rejectBatch(batch, mperror.ErrNotLeader)
		return nil
	}
	return err
}

func rejectBatch(batch []proposal, err error) {
	for _, p := range batch {
		p.done <- outcome{err: err}
	}
}

// step passes one event to the node and executes the resulting actions.
func (r *Replica) step(now time.Time, e mpquorum.Event) error {
	acts, stepErr := r.node.Step(now, e)
	if _, err := r.execute(now, acts, 0); err != nil {
		return err
	}
	return stepErr
}

// exchange passes a batch of messages to the node and executes the merged actions, so that
// the batch needs only one disk write.
func (r *Replica) exchange(now time.Time, in messageBatch) error {
	var all mpquorum.Actions
	var from mpquorum.MemberID
	for _, m := range in.messages {
		from = m.From
		r.quorumWatch.record(now, m)
		r.senderAddresses[from] = m.Address
		acts, err := r.node.Step(now, mpquorum.Receive{Envelope: m})
		if err != nil {
			return err
		}
		all = all.Merge(acts)
	}
	if in.replies == nil {
		_, err := r.execute(now, all, 0)
		return err
	}
	replies, err := r.execute(now, all, from)
	in.replies <- replies
	return err
}

// execute persists state, sends messages and applies entries, in that order. Messages
// addressed to the member with ID to are returned instead of sent.
func (r *Replica) execute(now time.Time, acts mpquorum.Actions, to mpquorum.MemberID) ([]mpquorum.Envelope, error) {
	if r.diskErr == nil {
		r.diskErr = r.persist(acts)
	}
	if r.diskErr != nil {
		return nil, r.diskErr
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
			return nil, mperror.Wrap(err, "restore snapshot at index %d", acts.Snapshot.Index)
		}
	}
	r.apply(acts.Committed)
	r.notifyLeadership(now)
	r.publishStatus()
	return replies, nil
}

func (r *Replica) address(to mpquorum.MemberID) (string, bool) {
	for _, s := range r.node.Members().Seats {
		if s.Member == to {
			return s.Address, true
		}
	}
	address, ok := r.senderAddresses[to]
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

func (r *Replica) failPending(err error) {
	for index, w := range r.pending {
		w.done <- outcome{err: err}
		delete(r.pending, index)
	}
}

func (r *Replica) abort(err error) {
	level.Error(r.cfg.Logger).Log("msg", "replica stopped after an error", "err", err)
	r.failPending(mperror.ErrOutcomeUnknown)
}
