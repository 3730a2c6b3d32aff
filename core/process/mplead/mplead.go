// Package mplead does what only the leader of the replicated state may do: it
// grants leases, commits commands and tells when they are in force, takes VMs
// whose leases ran out off the view, and assigns owners to groups.
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
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	dutyEvery     = 100 * time.Millisecond
	forcePoll     = 5 * time.Millisecond
	commitWithin  = 3 * time.Second
	marginPart    = 20
	marginFloor   = 50 * time.Millisecond
	holdPart      = 4
	platformEvery = time.Second
	// listEvery leaves most of the platform's drain notice for the VMs.
	listEvery     = 700 * time.Millisecond
	systemAccount = "system"
)

// Config holds what a Lead needs from outside.
type Config struct {
	Replica *mpreplica.Replica
	Machine *mpstate.Machine
	Logger  log.Logger
	// Lease is the span of the leases granted to VMs.
	Lease time.Duration
	// Quorate is the number of voters without which no change is accepted.
	Quorate int
	// Platform is the platform's list of VMs; nil where there is none.
	Platform *mpplatform.Client
	// Upstreams reads the platform's list of upstreams; nil where there is none.
	Upstreams Lister
}

// Lister reads the platform's list of upstreams.
type Lister interface {
	List(ctx context.Context) ([]mplist.Row, error)
}

// Lead serves the leader's calls at every voter; elsewhere than at the leader
// they return ErrNotLeader.
type Lead struct {
	cfg Config

	mu      sync.Mutex
	tracker *mplease.Tracker
	since   time.Time
	// list is the newest reading of the upstreams; listed is closed when it changes.
	list   *mplist.List
	listed chan struct{}
	// listRead is when the list was last asked for; zero while another leads.
	// Only followUpstreams uses it.
	listRead time.Time
}

// New returns a Lead for one voter.
func New(cfg Config) *Lead {
	l := &Lead{cfg: cfg, listed: make(chan struct{})}
	l.SetLeading(time.Now(), false)
	return l
}

// Margin returns by how much the leader counts a lease of the given span
// longer than the VM that holds it, to cover the drift of their clocks.
func Margin(span time.Duration) time.Duration {
	return max(span/marginPart, marginFloor)
}

// SetLeading starts an empty table of leases for a new leader.
func (l *Lead) SetLeading(now time.Time, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = now
	l.tracker = mplease.NewTracker(mplease.Config{
		Duration:    l.cfg.Lease,
		DriftMargin: Margin(l.cfg.Lease),
		ElectedAt:   now,
	})
}

// IsLeading reports whether this voter leads without doubt.
func (l *Lead) IsLeading() bool { return l.cfg.Replica.HasLease() }

// Since returns when this voter last started or stopped to lead.
func (l *Lead) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

// Renew grants a lease. It returns when there is something new for the VM, or
// after a quarter of the lease.
func (l *Lead) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	if !l.IsLeading() || !l.isQuorate() {
		return &mpwire.RenewReply{Leader: l.cfg.Replica.Leader().Address}, nil
	}
	if err := l.admit(ctx, r); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.tracker.Confirm(r.GetVm(), r.GetRevision())
	l.mu.Unlock()
	l.hold(ctx, r)
	if !l.IsLeading() {
		return &mpwire.RenewReply{Leader: l.cfg.Replica.Leader().Address}, nil
	}
	return l.grant(r)
}

// grant reads the changes and notes the lease in one step, so that no change
// can be taken as in force between the two.
func (l *Lead) grant(r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, whole, at, err := l.cfg.Machine.Since(r.GetRevision())
	if err != nil {
		return nil, mperror.Wrap(err, "changes after %d", r.GetRevision())
	}
	l.tracker.Grant(time.Now(), r.GetVm(), at)
	reply := &mpwire.RenewReply{
		LeaseMs:  uint32(l.cfg.Lease.Milliseconds()),
		Revision: at,
		Changes:  changes,
		View:     whole,
	}
	if lacksList(r, l.list) {
		reply.Listed = l.list.Hash()
		reply.Upstreams, err = l.list.Encode(time.Now())
	}
	return reply, err
}

// admit puts a VM that is new, restarted or leaving on the view.
func (l *Lead) admit(ctx context.Context, r *mpwire.RenewRequest) error {
	row := mpview.VM{
		Name:    r.GetVm(),
		DC:      r.GetDc(),
		Boot:    r.GetBoot(),
		Address: r.GetAddress(),
		Peer:    r.GetPeer(),
		Leaving: r.GetLeaving(),
		Voter:   r.GetVoter(),
	}
	have, ok := l.cfg.Machine.View().VM(row.Name)
	if ok && have == row {
		return nil
	}
	if !ok || have.Boot != row.Boot {
		l.expect(row.Name)
	}
	level.Info(l.cfg.Logger).Log("msg", "vm joins", "vm", row.Name, "dc", row.DC, "leaving", row.Leaving)
	return l.change(ctx, mpview.Join{VM: row})
}

// expect keeps a VM that is about to join from being taken for expired.
func (l *Lead) expect(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Forget(vm)
	l.tracker.Grant(time.Now(), vm, 0)
}

// lacksList reports whether the VM that renews has another list than the leader.
func lacksList(r *mpwire.RenewRequest, list *mplist.List) bool {
	return list.Hash() != 0 && list.Hash() != r.GetListed()
}

// hold waits until there is something that the VM lacks.
func (l *Lead) hold(ctx context.Context, r *mpwire.RenewRequest) {
	changed := l.cfg.Machine.Changed()
	l.mu.Lock()
	list, listed := l.list, l.listed
	l.mu.Unlock()
	if l.cfg.Machine.View().Revision() != r.GetRevision() || lacksList(r, list) {
		return
	}
	t := time.NewTimer(l.cfg.Lease / holdPart)
	defer t.Stop()
	select {
	case <-changed:
	case <-listed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *Lead) isQuorate() bool {
	return len(l.cfg.Replica.Status().Members.Voters()) >= l.cfg.Quorate
}

// Propose commits c and returns its result. ErrNotLeader means that it did not
// and will not take effect, ErrUnknown that it may have.
func (l *Lead) Propose(ctx context.Context, c mpstate.Command) (mpstate.Result, error) {
	if !l.isQuorate() {
		return mpstate.Result{}, mperror.ErrForming
	}
	data, err := mpstate.Encode(time.Now().UnixMilli(), c)
	if err != nil {
		return mpstate.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	out, err := l.cfg.Replica.Propose(ctx, data)
	if err != nil {
		return mpstate.Result{}, err
	}
	return mpstate.DecodeResult(out)
}

// AwaitForce waits until revision is in force at every VM and reports whether
// it is by the end of ctx.
func (l *Lead) AwaitForce(ctx context.Context, revision uint64) bool {
	t := time.NewTicker(forcePoll)
	defer t.Stop()
	for {
		if l.inForce(time.Now(), revision) {
			return l.IsLeading()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (l *Lead) inForce(now time.Time, revision uint64) bool {
	vms := names(l.cfg.Machine.View())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.InForce(now, revision, vms)
}

func names(v *mpview.View) []string {
	rows := v.VMs()
	out := make([]string, len(rows))
	for i, r := range rows {
		out[i] = r.Name
	}
	return out
}

// Run carries out the leader's duties, wherever the leader is, until ctx ends.
func (l *Lead) Run(ctx context.Context) {
	if l.cfg.Platform != nil {
		go mptime.Every(ctx, platformEvery, func(time.Time) { l.followPlatform(ctx) })
	}
	if l.cfg.Upstreams != nil {
		go mptime.Every(ctx, dutyEvery, func(now time.Time) { l.followUpstreams(ctx, now) })
	}
	mptime.Every(ctx, dutyEvery, func(now time.Time) {
		if !l.IsLeading() || !l.isQuorate() {
			return
		}
		if err := l.duties(ctx, now); err != nil {
			level.Warn(l.cfg.Logger).Log("msg", "leader's duty failed", "err", err)
		}
	})
}

// followPlatform marks the machines that begin or cease to leave.
func (l *Lead) followPlatform(ctx context.Context) {
	if !l.IsLeading() || !l.isQuorate() {
		return
	}
	rows, err := l.cfg.Platform.List(ctx)
	if err != nil {
		level.Warn(l.cfg.Logger).Log("msg", "platform list", "err", err)
		return
	}
	for _, mark := range mpplatform.Marks(rows, l.cfg.Machine.View()) {
		if err := l.change(ctx, mark); err != nil {
			level.Warn(l.cfg.Logger).Log("msg", "mark of machine", "machine", mark.Name, "err", err)
		}
	}
}

// followUpstreams reads the list of upstreams and wakes the renewals that wait
// when it has changed.
func (l *Lead) followUpstreams(ctx context.Context, now time.Time) {
	if !l.IsLeading() {
		l.listRead = time.Time{}
		return
	}
	if now.Sub(l.listRead) < listEvery {
		return
	}
	l.listRead = now
	rows, err := l.cfg.Upstreams.List(ctx)
	if err != nil {
		level.Warn(l.cfg.Logger).Log("msg", "list of upstreams not read", "err", err)
		return
	}
	next := mplist.New(time.Now(), rows)
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := next.Hash() != l.list.Hash()
	l.list = next
	if changed {
		level.Info(l.cfg.Logger).Log("msg", "list of upstreams changed", "rows", len(rows), "hash", next.Hash())
		close(l.listed)
		l.listed = make(chan struct{})
	}
}

func (l *Lead) duties(ctx context.Context, now time.Time) error {
	view := l.cfg.Machine.View()
	if gone := l.expired(now, view); len(gone) > 0 {
		level.Warn(l.cfg.Logger).Log("msg", "leases ran out", "vms", len(gone))
		if err := l.change(ctx, mpview.Leave{VMs: gone}); err != nil {
			return err
		}
	}
	if plan := mpview.Plan(l.cfg.Machine.View()); len(plan.Owners) > 0 {
		if err := l.change(ctx, plan); err != nil {
			return err
		}
	}
	if old := lapsed(now, view); len(old) > 0 {
		return l.change(ctx, mpview.Clear{Prints: old})
	}
	return nil
}

func (l *Lead) expired(now time.Time, view *mpview.View) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Expired(now, names(view))
}

func lapsed(now time.Time, view *mpview.View) []uint64 {
	var out []uint64
	for p, s := range view.Struck() {
		if s.Until < now.UnixMilli() {
			out = append(out, p)
		}
	}
	return out
}

func (l *Lead) change(ctx context.Context, op mpview.Op) error {
	c := mpstate.Change{ID: mpid.New(), Who: systemAccount, Change: mpview.Change{Op: op}}
	r, err := l.Propose(ctx, c)
	if err != nil {
		return err
	}
	return r.Err()
}
