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

func (l *Leader) hasMinVoters() bool {
	return len(l.cfg.Replica.Status().Members.Voters()) >= l.cfg.MinVoters
}

// Propose commits c and returns its result. ErrNotLeader means that c has not taken
// effect and never will; ErrOutcomeUnknown means that it may have taken effect.
func (l *Leader) Propose(ctx context.Context, c mpstate.Command) (mpstate.Result, error) {
	if o, ok := c.(mpstate.RolloutOrder); ok {
		return l.orderRollout(ctx, o)
	}
	if r, ok := l.answerSuperseded(c); ok {
		return r, nil
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
