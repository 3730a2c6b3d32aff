// Package mpmember keeps a VM's view and lease up to date. It asks the leader
// for renewals one after the other; the leader holds a renewal until there is
// a change or a quarter of the lease has passed, so changes arrive at once.
package mpmember

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpview"
)

const (
	renewDeadline = 1500 * time.Millisecond
	retryPause    = 50 * time.Millisecond
	// noteEvery bounds the log lines of renewals that go on failing.
	noteEvery = 20
)

// Config holds what a Member needs from outside.
type Config struct {
	Self mpview.VM
	// Voters returns the peer addresses of VMs that may know the leader.
	Voters func() []string
	Client *mppeer.Client
	Logger log.Logger
	// OnView is told each new view, in order, before Current returns it.
	OnView func(now time.Time, old, next *mpview.View)
	// OnList is told each new list of upstreams; nil where none is followed.
	OnList func(now time.Time, list *mplist.List)
}

// Member is one VM's part in the deployment.
type Member struct {
	cfg   Config
	lease mplease.Holder

	// failures counts the renewals that failed in a row; Run alone uses it.
	failures int

	mu      sync.RWMutex
	view    *mpview.View
	list    *mplist.List
	leaving bool
	leader  string
	changed chan struct{}
}

// New returns a member without a lease, at revision 0.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, view: mpview.Empty(), changed: make(chan struct{})}
}

// Current returns the view in force at this VM.
func (m *Member) Current() *mpview.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// HasLease reports whether this VM may start work at now.
func (m *Member) HasLease(now time.Time) bool { return m.lease.IsValid(now) }

// AwaitLease waits until the VM has a lease or ctx ends.
func (m *Member) AwaitLease(ctx context.Context, clock func() time.Time) error {
	for !m.HasLease(clock()) {
		m.mu.RLock()
		changed := m.changed
		m.mu.RUnlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return mperror.ErrNoLease
		}
	}
	return nil
}

// Leader returns the peer address of the last known leader, or "".
func (m *Member) Leader() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leader
}

// SetLeader notes a better guess of the leader's peer address.
func (m *Member) SetLeader(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = address
}

// Leave announces with the next renewals that this VM is leaving.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Run renews the lease until ctx ends.
func (m *Member) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		address := m.Leader()
		if address == "" {
			voters := m.candidates()
			address = voters[next%len(voters)]
			next++
		}
		err := m.renew(ctx, address)
		m.note(address, err)
		if err != nil {
			m.SetLeader(followUp(address, m.Leader(), err))
			mptime.Sleep(ctx, retryPause)
		}
	}
}

// note logs when renewals begin to fail, now and then while they do, and when
// they work again.
func (m *Member) note(address string, err error) {
	switch {
	case err != nil && m.failures%noteEvery == 0:
		_ = level.Warn(m.cfg.Logger).Log("msg", "lease not renewed", "peer", address, "failures", m.failures+1, "err", err)
	case err == nil && m.failures > 0:
		_ = level.Info(m.cfg.Logger).Log("msg", "lease regained", "peer", address, "failures", m.failures)
	}
	m.failures++
	if err == nil {
		m.failures = 0
	}
}

// followUp returns whom to ask after a renewal at address failed: the leader
// that a voter named, or "" for any candidate. The candidates may hold none
// that leads, so a voter's word is the only way to find the leader.
func followUp(address, named string, err error) string {
	if errors.Is(err, mperror.ErrNotLeader) && named != address {
		return named
	}
	return ""
}

// candidates returns where the leader may be asked for: at the configured
// voters and at those that the view names.
func (m *Member) candidates() []string {
	out := slices.Clone(m.cfg.Voters())
	for _, vm := range m.Current().VMs() {
		if vm.Voter && !slices.Contains(out, vm.Peer) {
			out = append(out, vm.Peer)
		}
	}
	return out
}

func (m *Member) renew(ctx context.Context, address string) error {
	peer, err := m.cfg.Client.To(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, renewDeadline)
	defer cancel()
	sent := time.Now()
	reply, err := peer.Renew(ctx, m.request())
	if err != nil {
		return err
	}
	if reply.GetLeaseMs() == 0 {
		m.SetLeader(reply.GetLeader())
		return mperror.ErrNotLeader
	}
	m.SetLeader(address)
	if err := m.takeList(reply); err != nil {
		return err
	}
	if err := m.advance(reply); err != nil {
		m.lease.Drop()
		return err
	}
	m.lease.Renewed(sent, time.Duration(reply.GetLeaseMs())*time.Millisecond)
	m.wake()
	return nil
}

func (m *Member) request() *mpwire.RenewRequest {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return &mpwire.RenewRequest{
		Vm:       m.cfg.Self.Name,
		Boot:     m.cfg.Self.Boot,
		Dc:       m.cfg.Self.DC,
		Address:  m.cfg.Self.Address,
		Peer:     m.cfg.Self.Peer,
		Revision: m.view.Revision(),
		Leaving:  m.leaving,
		Voter:    m.cfg.Self.Voter,
		Listed:   m.list.Hash(),
	}
}

// SetList replaces the list of upstreams by one that this VM read itself.
func (m *Member) SetList(now time.Time, list *mplist.List) {
	m.mu.Lock()
	m.list = list
	m.mu.Unlock()
	if m.cfg.OnList != nil {
		m.cfg.OnList(now, list)
	}
}

// takeList replaces the list of upstreams by the one that a renewal carried.
func (m *Member) takeList(reply *mpwire.RenewReply) error {
	if len(reply.GetUpstreams()) == 0 {
		return nil
	}
	now := time.Now()
	list, err := mplist.Decode(now, reply.GetUpstreams(), reply.GetListed())
	if err != nil {
		return err
	}
	m.SetList(now, list)
	return nil
}

// advance applies what a renewal carried. The revision never falls: a reply
// that would lower it is an error.
func (m *Member) advance(reply *mpwire.RenewReply) error {
	view := m.Current()
	if whole := reply.GetView(); len(whole) > 0 {
		next := mpview.Empty()
		if err := json.Unmarshal(whole, next); err != nil {
			return mperror.Wrap(err, "view from leader")
		}
		if next.Revision() < view.Revision() {
			return mperror.Wrap(mperror.ErrInvalid, "revision would fall from %d to %d", view.Revision(), next.Revision())
		}
		m.replace(next)
		return nil
	}
	for _, data := range reply.GetChanges() {
		var c mpview.Change
		if err := json.Unmarshal(data, &c); err != nil {
			return mperror.Wrap(err, "change from leader")
		}
		if c.Revision <= view.Revision() {
			continue
		}
		next, err := view.ApplyUnchecked(c.Op)
		if err != nil {
			return mperror.Wrap(err, "change %d from leader", c.Revision)
		}
		if next.Revision() != c.Revision {
			return mperror.Wrap(mperror.ErrInvalid, "change %d after revision %d", c.Revision, view.Revision())
		}
		view = next
	}
	m.replace(view)
	return nil
}

func (m *Member) replace(next *mpview.View) {
	old := m.Current()
	if next == old {
		return
	}
	if m.cfg.OnView != nil {
		m.cfg.OnView(time.Now(), old, next)
	}
	m.mu.Lock()
	m.view = next
	m.mu.Unlock()
}

func (m *Member) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}
