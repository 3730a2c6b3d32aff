// Package mpmember keeps a VM's view and lease up to date. It sends lease renewals to
// the leader one after another. The leader holds each renewal until there is a change
// or a part of the lease has passed, so that changes reach the VM at once.
package mpmember

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpview"
)

const (
	renewTimeout = 1500 * time.Millisecond
	retryDelay   = 50 * time.Millisecond
	// maxRetryDelay is short beside an election, after which VMs should find the leader soon.
	maxRetryDelay = 400 * time.Millisecond
	// The delay is at least retryDelayPerVM for each VM, which may all ask the same voters. It
	// doubles after each failuresPerDoubling failures, at most maxDelayDoublings times.
	retryDelayPerVM     = time.Millisecond
	failuresPerDoubling = 8
	maxDelayDoublings   = 3
	// maxTimeoutDoublings limits how often the timeout of a VM that joins doubles, for a leader
	// that is slow to answer since all VMs have started together.
	maxTimeoutDoublings = 2
	// maxUnpackedBytes bounds a view and a list of upstreams.
	maxUnpackedBytes = 64 << 20
	// failuresPerLog limits the log lines while renewals keep failing.
	failuresPerLog = 20
)

// Config holds the dependencies of a Member.
type Config struct {
	Self mpview.VM
	// Voters returns the peer addresses of VMs that may know the leader.
	Voters func() []string
	Client *mppeer.Client
	// Metrics receives the counts of renewals; nil drops them.
	Metrics *mpmetric.Set
	Logger  log.Logger
	// OnView is called with each new view, in order, before Current returns it.
	OnView func(now time.Time, old, next *mpview.View)
	// OnList is called with each new list of upstreams; nil if the VM does not use it.
	OnList func(now time.Time, list *mplist.List)
	// Limits holds the limits that upstreams named; nil if the VM does not use them. OnLimit
	// is called with each change that other VMs learned of.
	Limits  *mpquota.Limits
	OnLimit func(c mpquota.Change)
	// Plans takes over the routing plan; nil if the VM does not use it.
	Plans *mpplan.Follower
}

// Member maintains one VM's membership in the deployment.
type Member struct {
	cfg   Config
	lease mplease.Holder

	// failures counts consecutive failed renewals, timeouts those of them that the leader did not
	// answer in time; only the goroutine of Run uses them.
	failures, timeouts int

	// lacksList is set if the changes of the list could not be applied; only Run uses it.
	lacksList bool

	mu      sync.RWMutex
	view    *mpview.View
	list    *mplist.List
	leaving bool
	leader  string
	renewed chan struct{}
}

// New returns a member without a lease at revision 0.
func New(cfg Config) *Member {
	if cfg.Metrics == nil {
		cfg.Metrics = mpmetric.New()
	}
	return &Member{cfg: cfg, view: mpview.Empty(), renewed: make(chan struct{})}
}

// Current returns the view in force at this VM.
func (m *Member) Current() *mpview.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// HasLease reports whether this VM may start work at now.
func (m *Member) HasLease(now time.Time) bool { return m.lease.IsValid(now) }

// TimeWithoutLease returns for how long the VM has had no lease at now; 0 if it has one, or never had.
func (m *Member) TimeWithoutLease(now time.Time) time.Duration {
	expiry := m.lease.Expiry()
	if expiry.IsZero() {
		return 0
	}
	return max(now.Sub(expiry), 0)
}

// AwaitLease waits until the VM has a lease or ctx ends.
func (m *Member) AwaitLease(ctx context.Context, clock func() time.Time) error {
	for !m.HasLease(clock()) {
		m.mu.RLock()
		changed := m.renewed
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

// SetLeader sets the address at which the leader is presumed.
func (m *Member) SetLeader(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = address
}

// Leave announces in all further renewals that this VM is leaving.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Run renews the lease until ctx ends.
func (m *Member) Run(ctx context.Context) {
	late := "" // The address that did not answer the last renewal in time.
	wasSilent := false
	for next := 0; ctx.Err() == nil; {
		address := m.Leader()
		if address == "" {
			address, next = nextCandidate(m.Voters(), next, late)
		}
		err := m.renew(ctx, address)
		m.recordRenewal(address, err)
		late = ""
		if errors.Is(err, mppeer.ErrSilent) && !wasSilent {
			wasSilent = true
			m.SetLeader(address) // It may answer on a new connection.
			continue
		}
		wasSilent = false
		if err != nil {
			if status.Code(err) == codes.DeadlineExceeded {
				late = address
			}
			m.SetLeader(followUp(address, m.Leader(), err))
			mptime.Sleep(ctx, backoff(m.failures, m.Current().Size(), m.Leader() != "", rand.Float64()))
		}
	}
}

// nextCandidate returns the voter to ask, from the given position on, and the position after it. It
// passes over the one that was late if there are others, since another one may know a new leader.
func nextCandidate(voters []string, next int, late string) (address string, after int) {
	address = voters[next%len(voters)]
	if address == late && len(voters) > 1 {
		next++
		address = voters[next%len(voters)]
	}
	return address, next + 1
}

// backoff returns how long to wait before the next renewal after a number of consecutive failed
// ones, in a fleet with the given number of VMs. x is uniformly distributed over [0, 1) and spreads
// the VMs that lost the same leader.
func backoff(failures, vms int, leaderNamed bool, x float64) time.Duration {
	if leaderNamed {
		return retryDelay
	}
	d := max(retryDelay<<min(failures/failuresPerDoubling, maxDelayDoublings), time.Duration(vms)*retryDelayPerVM)
	d = min(d, maxRetryDelay)
	return d/2 + time.Duration(x*float64(d))
}

// timeout returns the timeout of the next renewal. It does not grow for a VM that has a view: its
// leader may have been replaced, and it must not miss the changes of the next one.
func (m *Member) timeout() time.Duration {
	if m.Current().Revision() > 0 {
		return renewTimeout
	}
	return renewTimeout << min(m.timeouts, maxTimeoutDoublings)
}

// recordRenewal counts failed renewals. It logs the first of several, every failuresPerLog-th one
// after it, each that was not answered in time, and the first renewal that succeeds again.
func (m *Member) recordRenewal(address string, err error) {
	switch {
	case err != nil && (m.failures%failuresPerLog == 0 || status.Code(err) == codes.DeadlineExceeded):
		now := time.Now()
		age, idle := m.cfg.Client.Idle(now, address)
		_ = level.Warn(m.cfg.Logger).Log("msg", "lease not renewed", "peer", address, "failures", m.failures+1, "age", age, "idle", idle,
			"revision", m.Current().Revision(), "without", m.TimeWithoutLease(now), "err", err)
	case err == nil && m.failures > 0:
		_ = level.Info(m.cfg.Logger).Log("msg", "lease regained", "peer", address, "failures", m.failures)
	}
	m.failures++
	if status.Code(err) == codes.DeadlineExceeded {
		m.timeouts++
		m.cfg.Metrics.Add("renewals.late", 1)
	}
	if err == nil {
		m.failures, m.timeouts = 0, 0
	}
}

// followUp returns the address to try after a renewal at address failed: the leader
// named by a voter, or "" for any candidate. The hint must be followed because the
// leader may be none of the candidates.
func followUp(address, named string, err error) string {
	if errors.Is(err, mperror.ErrNotLeader) && named != address {
		return named
	}
	return ""
}

// Voters returns the peer addresses at which to look for the leader: the
// configured voters and those in the view.
func (m *Member) Voters() []string {
	out := slices.Clone(m.cfg.Voters())
	for _, vm := range m.Current().VMs() {
		if vm.Voter && !slices.Contains(out, vm.Peer) {
			out = append(out, vm.Peer)
		}
	}
	return out
}

func (m *Member) renew(ctx context.Context, address string) error {
	peer, err := m.cfg.Client.Stub(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	sent := time.Now()
	reply, err := peer.Renew(mppeer.WithHold(ctx, mplease.MaxHold), m.request())
	if err != nil {
		return err
	}
	if reply.GetLeaseMs() == 0 {
		m.SetLeader(reply.GetLeader())
		return mperror.ErrNotLeader
	}
	m.SetLeader(address)
	m.cfg.Metrics.Add("renewals.bytes", int64(proto.Size(reply)))
	hasLimits, err := m.adopt(reply)
	if err != nil {
		return err
	}
	// The leader granted the lease that long after it got the request, so after it was sent.
	held := mptime.FromMillis(reply.GetHeldMs())
	m.lease.Extend(sent.Add(held), mptime.FromMillis(reply.GetLeaseMs()))
	if m.cfg.Plans != nil {
		m.cfg.Plans.Confirm(time.Now(), sent.Add(held+mptime.FromMillis(reply.GetLeaseMs())))
	}
	m.notifyWaiters()
	if !hasLimits {
		mptime.Sleep(ctx, retryDelay) // The leader would answer at once again.
	}
	return nil
}

// adopt takes over what a renewal reply holds. The VM knows of a roll-out before it finds upstreams
// of the target in the list. hasLimits is false if there are limits that it cannot take over.
func (m *Member) adopt(reply *mpwire.RenewReply) (hasLimits bool, err error) {
	if err := m.applyChanges(reply); err != nil {
		m.lease.Revoke()
		return false, err
	}
	if m.cfg.Plans != nil {
		m.cfg.Plans.Follow(time.Now(), m.Current().Routing(), reply.GetPlan())
	}
	if err := m.updateList(time.Now(), reply); err != nil {
		return false, err
	}
	return m.mergeLimits(reply), nil
}

// mergeLimits adds the limits in a renewal reply. It returns false if there are some that this
// VM cannot take over.
func (m *Member) mergeLimits(reply *mpwire.RenewReply) bool {
	if len(reply.GetLimits()) == 0 || m.cfg.Limits == nil {
		return true
	}
	changes := m.cfg.Limits.Merge(time.Now(), mpwire.DecodeLimits(reply.GetLimits()))
	for _, c := range changes {
		m.cfg.OnLimit(c)
	}
	return len(changes) > 0
}

func (m *Member) request() *mpwire.RenewRequest {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := &mpwire.RenewRequest{
		Vm:       m.cfg.Self.Name,
		Boot:     m.cfg.Self.Boot,
		Dc:       m.cfg.Self.DC,
		Address:  m.cfg.Self.Address,
		Peer:     m.cfg.Self.Peer,
		Revision: m.view.Revision(),
		Leaving:  m.leaving,
		Voter:    m.cfg.Self.Voter,
		Cpu:      m.cfg.Self.CPU,
		Listed:   m.list.Hash(),
		Holds:    true,
		Packs:    true,
		Regains:  m.failures > 0,
	}
	if m.lacksList {
		r.Listed = 0
	}
	if m.cfg.Plans != nil {
		r.Plans, r.Plan = true, m.cfg.Plans.Sum()
		if m.cfg.Plans.IsUnserved() {
			r.Revision = 0
		}
	}
	if m.cfg.Limits != nil {
		r.Limits, r.Limited = mpwire.EncodeLimits(m.cfg.Limits.Entries(time.Now())), m.cfg.Limits.Hash()
	}
	return r
}

// SetList replaces the list of upstreams with one that this VM read itself.
func (m *Member) SetList(now time.Time, list *mplist.List) {
	m.mu.Lock()
	m.list = list
	m.mu.Unlock()
	if m.cfg.OnList != nil {
		m.cfg.OnList(now, list)
	}
}

// updateList replaces the list of upstreams with the one in a renewal reply, if any.
func (m *Member) updateList(now time.Time, reply *mpwire.RenewReply) error {
	list, err := m.decodeList(now, reply)
	m.lacksList = err != nil
	if err != nil || list == nil {
		return err
	}
	m.SetList(now, list)
	return nil
}

// decodeList returns the list of upstreams in a renewal reply, or nil if it has none.
func (m *Member) decodeList(now time.Time, reply *mpwire.RenewReply) (*mplist.List, error) {
	switch {
	case len(reply.GetPatch()) > 0:
		data, err := mpflate.Unpack(reply.GetPatch(), maxUnpackedBytes)
		if err != nil {
			return nil, err
		}
		patch, err := mplist.DecodePatch(data)
		if err != nil {
			return nil, err
		}
		m.mu.RLock()
		list := m.list
		m.mu.RUnlock()
		return list.Apply(now, patch, reply.GetListed())
	case len(reply.GetPacked()) > 0:
		data, err := mpflate.Unpack(reply.GetPacked(), maxUnpackedBytes)
		if err != nil {
			return nil, err
		}
		return mplist.Decode(now, data, reply.GetListed())
	case len(reply.GetUpstreams()) > 0:
		return mplist.Decode(now, reply.GetUpstreams(), reply.GetListed())
	}
	return nil, nil
}

// applyChanges applies the view or the changes in a renewal reply. The revision never
// decreases: a view with a lower revision is an error.
func (m *Member) applyChanges(reply *mpwire.RenewReply) error {
	view := m.Current()
	fullView := reply.GetView()
	if len(reply.GetPackedView()) > 0 {
		var err error
		if fullView, err = mpflate.Unpack(reply.GetPackedView(), maxUnpackedBytes); err != nil {
			return mperror.Wrap(err, "view from leader")
		}
	}
	if len(fullView) > 0 {
		next := mpview.Empty()
		if err := json.Unmarshal(fullView, next); err != nil {
			return mperror.Wrap(err, "decode view from leader")
		}
		if next.Revision() < view.Revision() && m.cfg.Plans != nil && m.cfg.Plans.IsUnserved() {
			// The VM asked for the whole view because of the plan, and has all else.
			m.cfg.Plans.Follow(time.Now(), next.Routing(), nil)
			return nil
		}
		if next.Revision() < view.Revision() {
			return mperror.Wrap(mperror.ErrInvalid, "view from leader would lower the revision from %d to %d", view.Revision(), next.Revision())
		}
		m.setView(next)
		return nil
	}
	for _, data := range reply.GetChanges() {
		var c mpview.Change
		if err := json.Unmarshal(data, &c); err != nil {
			return mperror.Wrap(err, "decode change from leader")
		}
		if c.Revision <= view.Revision() {
			continue
		}
		next, err := view.ApplyUnchecked(c.Op)
		if err != nil {
			return mperror.Wrap(err, "apply change %d from leader", c.Revision)
		}
		if next.Revision() != c.Revision {
			return mperror.Wrap(mperror.ErrInvalid, "leader sent change %d, which does not follow revision %d", c.Revision, view.Revision())
		}
		view = next
	}
	m.setView(view)
	return nil
}

func (m *Member) setView(next *mpview.View) {
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

func (m *Member) notifyWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.renewed)
	m.renewed = make(chan struct{})
}
