// Package mpplan gets the routing plan to a VM, beside the renewals of its lease. Renewals tell which
// plan is in force; the plan itself arrives in parts, from any voter, as the difference from the one that
// the VM has if the voter knows that. So a lease does not wait for a plan, and a VM gets nearer to the
// plan with each part, however small its link is.
package mpplan

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/version/mpview"
)

const (
	// partTimeout is how long a part may take. Peers that are silent are noticed sooner.
	partTimeout = 2 * time.Second
	// retryDelay is the pause after a call that brought nothing; it doubles up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// lagLogInterval limits the log lines while a plan is on its way.
	lagLogInterval = 5 * time.Second
)

// State is what a VM knows of its plan.
type State uint8

const (
	// InForce plans are in force, or were until less than a lease ago.
	InForce State = iota
	// Unconfirmed plans may have been replaced: the VM has no lease.
	Unconfirmed
	// Replaced plans were replaced at least a lease ago, by one that the VM does not have yet or
	// cannot use.
	Replaced
)

var (
	// errNothingNew means that a voter has no newer plan than this VM.
	errNothingNew = errors.New("no newer plan there")
	// errMismatch means that a plan that has arrived is not the one that it was announced as.
	errMismatch = errors.New("plan does not match its checksum")
)

// Config holds the dependencies of a Follower.
type Config struct {
	Client *mppeer.Client
	// Voters returns the peer addresses of voters, and Leader that of the last known leader or "".
	Voters func() []string
	Leader func() string
	// Adopt takes a plan into use. If it returns an error, the plan before stays in use.
	Adopt func(now time.Time, plan mpview.Routing) error
	// Metrics receives the counts of parts and bytes.
	Metrics *mpmetric.Set
	Logger  log.Logger
}

// Follower keeps the plan of one VM up to date. It is safe for concurrent use.
type Follower struct {
	cfg Config
	// lease is extended while the VM has the plan in force, and isLacking is set while it does not.
	lease     mplease.Holder
	isLacking atomic.Bool
	wake      chan struct{}

	// mu is held while a plan is taken into use.
	mu sync.Mutex
	// held is the plan that the VM has, with heldID, and wanted the one in force, as far as it knows.
	held           mpview.Routing
	heldID, wanted mpview.PlanID
	// isUnusable is set if held could not be taken into use.
	isUnusable bool
	// isUnserved is set if the leader does not serve parts, since its build is older.
	isUnserved bool
	// isDoubted is set if the difference from held led to another plan than intended.
	isDoubted bool
	transfer  transfer
	pace      pace
	// confirmedUntil is when the lease ends that the last renewal extended.
	confirmedUntil time.Time
	// lacksSince is when the VM learned of a plan that it does not have, or zero.
	lacksSince, loggedAt time.Time
	// mismatchLoggedAt is when a plan that does not match its checksum was last logged.
	mismatchLoggedAt time.Time
}

// New returns a Follower without a plan.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, wake: make(chan struct{}, 1), pace: newPace()}
}

// Sum returns the checksum of the plan that the VM has, or 0.
func (f *Follower) Sum() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldID.Sum
}

// IsUnserved reports whether the leader is of an earlier build, which sends plans with whole views and
// changes only.
func (f *Follower) IsUnserved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isUnserved
}

// State returns what the VM knows of its plan at now.
func (f *Follower) State(now time.Time) State {
	switch {
	case f.lease.IsValid(now):
		return InForce
	case f.isLacking.Load():
		return Replaced
	}
	return Unconfirmed
}

// Lag returns for how long at now the VM has known of a plan that it does not have or cannot use; 0 if
// there is none.
func (f *Follower) Lag(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacksSince.IsZero() {
		return 0
	}
	return now.Sub(f.lacksSince)
}

// Follow takes over what a renewal tells: the plan in force, with or without its source, and its
// encoding if that is small, or nil.
func (f *Follower) Follow(now time.Time, inForce mpview.Routing, encoded *mpwire.PlanPart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if inForce.Version >= f.wanted.Version && inForce.Version > 0 {
		f.wanted = inForce.ID()
	}
	switch {
	case len(inForce.Source) > 0:
		f.take(now, inForce)
	case f.heldID.Sum == f.wanted.Sum && f.heldID != f.wanted:
		// The VM has the plan, which was published again with another version.
		f.take(now, mpview.Routing{Version: f.wanted.Version, Source: f.held.Source})
	}
	if encoded != nil {
		if err := f.use(now, encoded); err != nil {
			f.watchMismatch(now, "renewal", err)
			_ = level.Warn(f.cfg.Logger).Log("msg", "plan from renewal not used", "err", err)
		}
	}
	f.update(now)
	if f.lacks() && !f.isUnusable {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// update records whether the VM has the plan in force. The caller holds f.mu.
func (f *Follower) update(now time.Time) {
	isLacking := f.lacks()
	f.isLacking.Store(isLacking)
	switch {
	case !isLacking:
		f.lacksSince = time.Time{}
		f.lease.Extend(f.confirmedUntil, 0)
	case f.lacksSince.IsZero():
		f.lacksSince, f.loggedAt = now, now
	}
}

// Confirm records that the leader confirmed the plan that the last call of Follow named, for a lease
// that ends at until.
func (f *Follower) Confirm(now, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedUntil = until
	f.update(now)
}

// lacks reports whether the VM lacks the plan in force. The caller holds f.mu.
func (f *Follower) lacks() bool { return f.isUnusable || f.isNewer(f.wanted) }

// isNewer reports whether a plan replaces the one that the VM has. One of the same version does if it is the one
// in force and has other content. The caller holds f.mu.
func (f *Follower) isNewer(plan mpview.PlanID) bool {
	return plan.Version > f.heldID.Version || plan == f.wanted && plan.Version == f.heldID.Version && plan != f.heldID
}

// use adds a part of a plan, and takes the plan into use if it is complete. The caller holds f.mu.
func (f *Follower) use(now time.Time, part *mpwire.PlanPart) error {
	if !f.isNewer(mpview.PlanID{Version: part.GetVersion(), Sum: part.GetSum()}) {
		return errNothingNew
	}
	if !f.transfer.add(part) {
		f.transfer = transfer{}
		return errNothingNew
	}
	if !f.transfer.isComplete() {
		return nil
	}
	plan, err := f.transfer.plan(f.held, f.wanted)
	f.transfer, f.isDoubted = transfer{}, err != nil
	if err != nil {
		return err
	}
	f.take(now, plan)
	return nil
}

// take takes a newer plan into use. The caller holds f.mu.
func (f *Follower) take(now time.Time, plan mpview.Routing) {
	id := plan.ID()
	if !f.isNewer(id) {
		return
	}
	err := f.cfg.Adopt(now, plan)
	if f.isUnusable = err != nil; err != nil {
		_ = level.Error(f.cfg.Logger).Log("msg", "plan cannot be used; keeping the previous one", "plan", plan.Version, "err", err)
	}
	f.held, f.heldID, f.isUnserved = plan, id, false
	if f.transfer.version <= plan.Version || f.transfer.base != 0 {
		f.transfer = transfer{} // It is older, or leads from the plan before.
	}
	f.update(now)
}

// Run gets the plans that the VM lacks until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for failures := 0; ctx.Err() == nil; {
			r, ok := f.next(time.Now())
			if !ok {
				break
			}
			address := source(f.cfg.Voters(), f.cfg.Leader(), r.GetBase() != 0, failures, rand.IntN)
			if err := f.fetch(ctx, address, r); err == nil {
				failures = 0
				continue
			}
			failures++
			mptime.Sleep(ctx, min(retryDelay<<min(failures-1, 10), maxRetryDelay))
		}
	}
}

// next returns the next request for a part, or false if the VM has the plan in force.
func (f *Follower) next(now time.Time) (*mpwire.FetchRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lacks() || f.isUnusable && !f.isNewer(f.wanted) {
		return nil, false
	}
	if now.Sub(f.loggedAt) >= lagLogInterval {
		f.loggedAt = now
		_ = level.Warn(f.cfg.Logger).Log("msg", "plan lags", "plan", f.held.Version, "wanted", f.wanted.Version, "for", now.Sub(f.lacksSince),
			"arrived", len(f.transfer.data), "of", f.transfer.size, "part", f.pace.bytes)
	}
	base := f.heldID.Sum
	if f.isDoubted {
		base = 0
	}
	r := f.transfer.request(base)
	r.Most = uint32(f.pace.bytes)
	return r, true
}

// fetch gets one part.
func (f *Follower) fetch(ctx context.Context, address string, r *mpwire.FetchRequest) error {
	peer, err := f.cfg.Client.Stub(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	sent := time.Now()
	part, err := peer.Fetch(mppeer.WithHold(ctx, slowPart), r)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.fail(status.Code(err), address == f.cfg.Leader())
		return mperror.Wrap(err, "plan from %s", address)
	}
	f.cfg.Metrics.Add("plan.parts", 1)
	f.cfg.Metrics.Add("plan.bytes", int64(len(part.GetData())))
	f.isUnserved = false
	f.pace.arrived(now.Sub(sent))
	err = f.use(now, part)
	f.watchMismatch(now, address, err)
	return err
}

// watchMismatch counts and logs that a plan from source does not match its checksum, if err says so. The caller
// holds f.mu.
func (f *Follower) watchMismatch(now time.Time, source string, err error) {
	if !errors.Is(err, errMismatch) {
		return
	}
	f.cfg.Metrics.Add("plan.mismatches", 1)
	if now.Sub(f.mismatchLoggedAt) < lagLogInterval {
		return
	}
	f.mismatchLoggedAt = now
	_ = level.Error(f.cfg.Logger).Log("msg", "plan does not match its checksum", "from", source, "plan", f.held.Version,
		"wanted", f.wanted.Version, "err", err)
}

// fail records a call that failed. The caller holds f.mu.
func (f *Follower) fail(code codes.Code, byLeader bool) {
	switch code {
	case codes.DeadlineExceeded:
		f.cfg.Metrics.Add("plan.late", 1)
		f.pace.late()
	case codes.Unimplemented:
		f.isUnserved = f.isUnserved || byLeader
	default:
	}
}

// source returns the voter to ask after a number of calls that failed: the leader first for a VM that has
// a plan, since it has the newest one and knows the difference, and otherwise any voter, so that the
// VMs of a fleet that starts share them. random returns a number from 0 to below n.
func source(voters []string, leader string, hasPlan bool, failures int, random func(n int) int) string {
	if leader != "" && (hasPlan && failures == 0 || failures%2 == 1) {
		return leader
	}
	others := slices.DeleteFunc(slices.Clone(voters), func(a string) bool { return a == leader })
	if len(others) == 0 {
		return leader
	}
	return others[random(len(others))]
}
