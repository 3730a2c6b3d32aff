// Package mplead implements the operations that only the leader of the replicated
// state may perform: it grants leases, commits commands, reports when a revision is in
// force on every VM, removes VMs with expired leases from the view and assigns owners
// to groups.
package mplead

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mpplatform"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	taskInterval        = 100 * time.Millisecond
	inForcePollInterval = 5 * time.Millisecond
	commitTimeout       = 3 * time.Second
	driftMarginDivisor  = 20
	minDriftMargin      = 50 * time.Millisecond
	renewHoldDivisor    = 4
	// maxHoldShare limits how long a renewal is held of a VM that adds that time to its lease,
	// relative to the lease. mplease.MaxHold limits it too.
	maxHoldShare     = 0.4
	platformInterval = time.Second
	// settleTimePerVM is how long a change that is not urgent waits for others, for each VM, so
	// that the leader answers at most one renewal in that time because of such changes.
	settleTimePerVM = 2 * time.Millisecond
	// upstreamListInterval is short enough to leave VMs most of the notice that the
	// platform gives before it drains an upstream.
	upstreamListInterval = 700 * time.Millisecond
	systemAccount        = "system"
)

// Replica is this voter's member of the replicated log.
type Replica interface {
	HasLease() bool
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Status() mpreplica.Status
	LeaderInfo() mpquorum.MemberInfo
}

var _ Replica = (*mpreplica.Replica)(nil)

// Config holds the dependencies and settings of a Leader.
type Config struct {
	Replica      Replica
	StateMachine *mpstate.Machine
	Logger       log.Logger
	// LeaseDuration is the duration of the leases granted to VMs.
	LeaseDuration time.Duration
	// MinVoters is the number of voters required to accept changes.
	MinVoters int
	// Platform reads the platform's list of VMs; nil if there is none.
	Platform *mpplatform.Client
	// Upstreams reads the platform's list of upstreams; nil if there is none.
	Upstreams UpstreamLister
	// Rollouts bounds what a bad version may cost. The zero value turns roll-outs off.
	Rollouts mprollout.Settings
	// Metrics receives the counts of roll-outs; nil drops them.
	Metrics *mpmetric.Set
}

// UpstreamLister reads the platform's list of upstreams.
type UpstreamLister interface {
	List(ctx context.Context) ([]mplist.Row, error)
}

// Leader serves the leader's operations. Every voter has one. On a voter that does not
// lead, Propose returns ErrNotLeader and Renew replies with the leader's address.
type Leader struct {
	cfg Config
	// limits are those that upstreams named to any VM.
	limits *mpquota.Limits

	mu                  sync.Mutex
	leaseTracker        *mplease.Tracker
	leadershipChangedAt time.Time
	// upstreamList is the last list of upstreams that was read. upstreamListChanged is
	// closed and replaced when the list changes.
	upstreamList        *mplist.List
	upstreamListChanged chan struct{}
	encodings           encodings
	// limitsChanged is closed and replaced when limits change.
	limitsChanged chan struct{}
	// lastUpstreamListRead is when the list was last requested, or zero while this voter
	// does not lead. Only refreshUpstreamList uses it.
	lastUpstreamListRead time.Time
	// skippedMachines is the number of entries of the platform's list of machines that could not
	// be used at its last read. Only syncPlatformMachines uses it.
	skippedMachines int
	// ledger has what VMs have counted of roll-outs since this voter began to lead.
	ledger *mprollout.Ledger
	// plans are those that VMs fetch.
	plans *plans
	// largeReplies are the large replies since the last log line about them.
	largeReplies largeReplies
}

// New returns the Leader of one voter.
func New(cfg Config) *Leader {
	if cfg.Metrics == nil {
		cfg.Metrics = mpmetric.New()
	}
	l := &Leader{cfg: cfg, limits: mpquota.NewLimits(), plans: newPlans(), upstreamListChanged: make(chan struct{}), limitsChanged: make(chan struct{})}
	l.OnLeadershipChange(time.Now(), false)
	return l
}

// DriftMargin returns the time that the leader adds to a lease of the given duration before
// it considers the lease expired. It covers clock drift between the leader and the VM that
// holds the lease.
func DriftMargin(duration time.Duration) time.Duration {
	return max(duration/driftMarginDivisor, minDriftMargin)
}

// OnLeadershipChange clears the lease table and the counts of roll-outs when this voter
// starts or stops leading.
func (l *Leader) OnLeadershipChange(now time.Time, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leadershipChangedAt = now
	l.ledger = mprollout.NewLedger()
	l.leaseTracker = mplease.NewTracker(mplease.Config{
		Duration:    l.cfg.LeaseDuration,
		DriftMargin: DriftMargin(l.cfg.LeaseDuration),
		ElectedAt:   now,
	})
}

// IsLeader reports whether this voter is the leader and holds a valid leader lease.
func (l *Leader) IsLeader() bool { return l.cfg.Replica.HasLease() }

// LeadershipChangedAt returns when this voter last started or stopped leading.
func (l *Leader) LeadershipChangedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leadershipChangedAt
}

// Renew grants a lease to a VM. It is a long poll: it returns when there is an update
// for the VM, or after a part of the lease.
func (l *Leader) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	receivedAt := time.Now()
	if !l.IsLeader() || !l.hasMinVoters() {
		return &mpwire.RenewReply{Leader: l.cfg.Replica.LeaderInfo().Address}, nil
	}
	if err := l.updateViewRow(ctx, r); err != nil {
		return nil, err
	}
	confirmed := r.GetRevision()
	if plan := l.cfg.StateMachine.Plan(); lacksPlan(r, plan) {
		confirmed = min(confirmed, plan.PublishedAt-1)
	}
	l.mu.Lock()
	l.leaseTracker.Confirm(r.GetVm(), confirmed)
	l.mu.Unlock()
	l.mergeLimits(time.Now(), r.GetLimits())
	l.waitForUpdate(ctx, r)
	if !l.IsLeader() {
		return &mpwire.RenewReply{Leader: l.cfg.Replica.LeaderInfo().Address}, nil
	}
	reply, err := l.grant(receivedAt, r)
	if err == nil {
		l.watchSize(time.Now(), r, reply)
	}
	return reply, err
}

// grant reads the changes and records the lease under one lock, so that no revision
// can be reported as in force between the two. A VM that does not get the plan in force with
// the reply may still act on the one before.
func (l *Leader) grant(receivedAt time.Time, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	part := l.inlinePlan(time.Now(), r)
	l.mu.Lock()
	defer l.mu.Unlock()
	changesSince := l.cfg.StateMachine.ChangesSince
	if r.GetPlans() {
		changesSince = l.cfg.StateMachine.LeanChangesSince
	}
	changes, view, revision, err := changesSince(r.GetRevision())
	if err != nil {
		return nil, mperror.Wrap(err, "changes after %d", r.GetRevision())
	}
	now := time.Now()
	granted := revision
	if plan := l.cfg.StateMachine.Plan(); lacksPlan(r, plan) && !holdsPlan(part, plan) {
		granted = min(granted, plan.PublishedAt-1)
	}
	l.leaseTracker.Grant(now, r.GetVm(), granted)
	reply := &mpwire.RenewReply{
		LeaseMs:  uint32(l.cfg.LeaseDuration.Milliseconds()),
		Revision: revision,
		Changes:  changes,
		View:     view,
		Plan:     part,
	}
	if r.GetHolds() {
		reply.HeldMs = mptime.Millis(now.Sub(receivedAt))
	}
	if len(view) > 0 && r.GetPacks() {
		reply.View, reply.PackedView = nil, l.encodings.packView(view)
	}
	if hasStaleList(r, l.upstreamList) {
		reply.Listed = l.upstreamList.Hash()
		err = l.encodings.addList(now, reply, r, l.upstreamList)
	}
	if hasStaleLimits(r, l.limits) {
		reply.Limits = mpwire.EncodeLimits(l.limits.Entries(now))
	}
	return reply, err
}

// mergeLimits adds the limits that a VM knows, and wakes waiting renewals if that changes any.
func (l *Leader) mergeLimits(now time.Time, limits []*mpwire.Limit) {
	if len(l.limits.Merge(now, mpwire.DecodeLimits(limits))) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.limitsChanged)
	l.limitsChanged = make(chan struct{})
}

// updateViewRow commits the VM's row to the view if the VM is new or its row has changed,
// for example after a restart or when the VM starts to leave.
func (l *Leader) updateViewRow(ctx context.Context, r *mpwire.RenewRequest) error {
	row := mpview.VM{
		Name:    r.GetVm(),
		DC:      r.GetDc(),
		Boot:    r.GetBoot(),
		Address: r.GetAddress(),
		Peer:    r.GetPeer(),
		Leaving: r.GetLeaving(),
		Voter:   r.GetVoter(),
		CPU:     r.GetCpu(),
	}
	existing, ok := l.cfg.StateMachine.View().VM(row.Name)
	if ok && existing == row {
		return nil
	}
	if !ok || existing.Boot != row.Boot {
		l.startLease(row.Name)
	}
	level.Info(l.cfg.Logger).Log("msg", "vm joins", "vm", row.Name, "dc", row.DC, "leaving", row.Leaving)
	return l.proposeChange(ctx, mpview.Join{VM: row})
}

// startLease records a lease for a VM that is about to join, so that the VM is not
// treated as expired before its first grant.
func (l *Leader) startLease(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseTracker.Forget(vm)
	l.leaseTracker.Grant(time.Now(), vm, 0)
}

// hasStaleList reports whether the renewing VM has a different list from the leader's.
func hasStaleList(r *mpwire.RenewRequest, list *mplist.List) bool {
	return list.Hash() != 0 && list.Hash() != r.GetListed()
}

// hasStaleLimits reports whether the renewing VM uses limits and has others than the leader.
func hasStaleLimits(r *mpwire.RenewRequest, limits *mpquota.Limits) bool {
	return r.GetLimited() != 0 && r.GetLimited() != limits.Hash()
}

// hold returns how long a renewal is held at most.
func (l *Leader) hold(r *mpwire.RenewRequest) time.Duration {
	if r.GetHolds() {
		return l.maxHold()
	}
	return l.cfg.LeaseDuration / renewHoldDivisor
}

func (l *Leader) maxHold() time.Duration {
	return min(time.Duration(maxHoldShare*float64(l.cfg.LeaseDuration)), mplease.MaxHold)
}

// waitForUpdate waits until the VM lacks a revision, the current list of upstreams or a limit,
// for as long as its renewal may be held. Changes that are not urgent are collected for a while. A VM
// that regains its lease is answered at once.
func (l *Leader) waitForUpdate(ctx context.Context, r *mpwire.RenewRequest) {
	changed := l.cfg.StateMachine.Changed()
	urgent, urgentChanged := l.cfg.StateMachine.Urgent()
	l.mu.Lock()
	list, listChanged, limitsChanged := l.upstreamList, l.upstreamListChanged, l.limitsChanged
	l.mu.Unlock()
	if r.GetRegains() || r.GetRevision() < max(urgent, 1) || hasStaleList(r, list) || hasStaleLimits(r, l.limits) {
		return
	}
	hold := l.hold(r)
	t := time.NewTimer(hold)
	defer t.Stop()
	if l.cfg.StateMachine.View().Revision() != r.GetRevision() {
		changed = nil
		t.Reset(l.settleTime(hold))
	}
	for {
		select {
		case <-changed:
			changed = nil // A nil channel is never ready.
			t.Reset(l.settleTime(hold))
			continue
		case <-urgentChanged:
		case <-listChanged:
		case <-limitsChanged:
		case <-t.C:
		case <-ctx.Done():
		}
		return
	}
}

// settleTime returns how long changes that are not urgent are collected, at most hold.
func (l *Leader) settleTime(hold time.Duration) time.Duration {
	return min(time.Duration(l.cfg.StateMachine.View().Size())*settleTimePerVM, hold)
}

func (l *Leader) hasMinVoters() bool {
	return len(l.cfg.Replica.Status().Members.Voters()) >= l.cfg.MinVoters
}

// Propose commits c and returns its result. ErrNotLeader means that c has not taken
// effect and never will; ErrOutcomeUnknown means that it may have taken effect.
func (l *Leader) Propose(ctx context.Context, c mpstate.Command) (mpstate.Result, error) {
	if o, ok := c.(mpstate.RolloutOrder); ok {
		return l.orderRollout(ctx, o)
	}
	return l.commit(ctx, c)
}

func (l *Leader) commit(ctx context.Context, c mpstate.Command) (mpstate.Result, error) {
	if !l.hasMinVoters() {
		return mpstate.Result{}, mperror.ErrTooFewVoters
	}
	data, err := mpstate.Encode(time.Now().UnixMilli(), c)
	if err != nil {
		return mpstate.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := l.cfg.Replica.Propose(ctx, data)
	if err != nil {
		return mpstate.Result{}, err
	}
	return mpstate.DecodeResult(out)
}

// AwaitInForce waits until revision is in force on every VM, that is, until no VM can
// act on an earlier one. It returns false if ctx ends first or this voter no longer leads.
func (l *Leader) AwaitInForce(ctx context.Context, revision uint64) bool {
	t := time.NewTicker(inForcePollInterval)
	defer t.Stop()
	for {
		if l.inForce(time.Now(), revision) {
			return l.IsLeader()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (l *Leader) inForce(now time.Time, revision uint64) bool {
	vms := vmNames(l.cfg.StateMachine.View())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseTracker.InForce(now, revision, vms)
}

func vmNames(v *mpview.View) []string {
	rows := v.VMs()
	out := make([]string, len(rows))
	for i, r := range rows {
		out[i] = r.Name
	}
	return out
}

// Run performs the leader's periodic tasks until ctx ends. It runs on every voter and
// does nothing while the voter does not lead.
func (l *Leader) Run(ctx context.Context) {
	if l.cfg.Platform != nil {
		go mptime.Every(ctx, platformInterval, func(time.Time) { l.syncPlatformMachines(ctx) })
	}
	if l.cfg.Upstreams != nil {
		go mptime.Every(ctx, taskInterval, func(now time.Time) { l.refreshUpstreamList(ctx, now) })
	}
	if l.cfg.Rollouts.Enabled() {
		go mptime.Every(ctx, rolloutInterval, func(now time.Time) { l.stepRollouts(ctx, now) })
	}
	mptime.Every(ctx, taskInterval, func(now time.Time) {
		l.plans.observe(l.cfg.StateMachine.Plan())
		if !l.IsLeader() || !l.hasMinVoters() {
			return
		}
		if err := l.runTasks(ctx, now); err != nil {
			level.Warn(l.cfg.Logger).Log("msg", "leader task failed", "err", err)
		}
	})
}

// syncPlatformMachines marks machines as out of service when the platform lists them as
// leaving, and puts them back into service when it lists them in another state.
func (l *Leader) syncPlatformMachines(ctx context.Context) {
	if !l.IsLeader() || !l.hasMinVoters() {
		return
	}
	rows, skipped, err := l.cfg.Platform.List(ctx)
	if err != nil {
		level.Warn(l.cfg.Logger).Log("msg", "cannot list platform machines", "err", err)
		return
	}
	if skipped != l.skippedMachines {
		level.Warn(l.cfg.Logger).Log("msg", "entries of the list of platform machines skipped", "entries", skipped)
		l.skippedMachines = skipped
	}
	for _, mark := range mpplatform.Marks(rows, l.cfg.StateMachine.View()) {
		if err := l.proposeChange(ctx, mark); err != nil {
			level.Warn(l.cfg.Logger).Log("msg", "cannot update service state of machine", "machine", mark.Name, "err", err)
		}
	}
}

// refreshUpstreamList reads the list of upstreams, and wakes waiting renewals if it has
// changed.
func (l *Leader) refreshUpstreamList(ctx context.Context, now time.Time) {
	if !l.IsLeader() {
		l.lastUpstreamListRead = time.Time{}
		return
	}
	if now.Sub(l.lastUpstreamListRead) < upstreamListInterval {
		return
	}
	l.lastUpstreamListRead = now
	rows, err := l.cfg.Upstreams.List(ctx)
	if err != nil {
		level.Warn(l.cfg.Logger).Log("msg", "list of upstreams not read", "err", err)
		return
	}
	next := mplist.New(time.Now(), rows)
	l.limits.Prune(time.Now(), next.Has)
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := next.Hash() != l.upstreamList.Hash()
	if changed {
		l.encodings.keep(l.upstreamList)
	}
	l.upstreamList = next
	if changed {
		level.Info(l.cfg.Logger).Log("msg", "list of upstreams changed", "rows", len(rows), "hash", next.Hash())
		close(l.upstreamListChanged)
		l.upstreamListChanged = make(chan struct{})
	}
}

func (l *Leader) runTasks(ctx context.Context, now time.Time) error {
	view := l.cfg.StateMachine.View()
	if expired := l.expiredVMs(now, view); len(expired) > 0 {
		level.Warn(l.cfg.Logger).Log("msg", "leases ran out", "vms", len(expired))
		if err := l.proposeChange(ctx, mpview.Leave{VMs: expired}); err != nil {
			return err
		}
	}
	if plan := mpview.PlanAssignments(l.cfg.StateMachine.View()); len(plan.Owners) > 0 {
		if err := l.proposeChange(ctx, plan); err != nil {
			return err
		}
	}
	if strikes := expiredStrikes(now, view); len(strikes) > 0 {
		return l.proposeChange(ctx, mpview.ClearStrikes{Fingerprints: strikes})
	}
	return nil
}

func (l *Leader) expiredVMs(now time.Time, view *mpview.View) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseTracker.Expired(now, vmNames(view))
}

func expiredStrikes(now time.Time, view *mpview.View) []uint64 {
	var out []uint64
	for fingerprint, strike := range view.AllStrikes() {
		if strike.Until < now.UnixMilli() {
			out = append(out, fingerprint)
		}
	}
	return out
}

func (l *Leader) proposeChange(ctx context.Context, op mpview.Op) error {
	c := mpstate.Change{ID: mpid.New(), Who: systemAccount, Change: mpview.Change{Op: op}}
	r, err := l.Propose(ctx, c)
	if err != nil {
		return err
	}
	return r.Err()
}
