package mplead

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpview"
)

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
		confirmed = min(confirmed, plan.PublishedAt()-1)
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
		granted = min(granted, plan.PublishedAt()-1)
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
