package mpversion

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/version/mprollout"
)

// Mode is how the new requests of a pool are divided. It does not concern streams that have begun.
type Mode int

const (
	// Settled means that no roll-out runs: requests go to any upstream that Admits allows.
	Settled Mode = iota
	// OldOnly means that the target gets nothing.
	OldOnly
	// Shared means that the target gets what Take allows.
	Shared
	// TargetFirst means that the old versions get only what no upstream of the target can take.
	TargetFirst
)

// savedCalls is the number of calls to the target that may be saved up while it can take none.
const savedCalls = 4

// account holds what the target may get of one unit: calls, or the pieces in them.
type account struct {
	exposure *mprollout.Exposure
	// saved counts what was admitted and not yet sent. It is negative after streams that the
	// target began and that had to go on there.
	saved int
}

// newAccount returns the account of a VM. random is uniformly distributed over [0, 1).
func newAccount(random, share float64) account {
	a := account{exposure: mprollout.NewExposure(math.Float64bits(random))}
	// If the VMs began with no credit, many of them with few requests each would send the target
	// nothing before the deadline. An Exposure admits at the credits n + T, for each n and a T of its
	// own from 1 to 2. This starts it at a random point of that sequence, with a credit from 1 to 2,
	// and drops the admission that is due by then. So the first request is as likely to be admitted as
	// any later one, after a credit of 7/12 on average, and all VMs together send the target its share.
	a.exposure.Grant(1 + random)
	a.exposure.Admit(0)
	// What the VM's first request adds is counted too late for itself.
	a.add(share, 1, savedCalls)
	return a
}

// add counts n units that reached the pool.
func (a *account) add(share float64, n, limit int) {
	for range n {
		if a.exposure.Admit(share) && a.saved < limit {
			a.saved++
		}
	}
}

// Split divides the requests of one pool by its latest roll-out. It is safe for concurrent use.
type Split struct {
	board *Board
	row   atomic.Pointer[mprollout.Rollout]
	// barred holds the targets of earlier roll-outs that were reverted. It does not change.
	barred []string
	// unknown holds versions that get nothing without a lease.
	unknown atomic.Pointer[[]string]
	// hasBase is set while the list has an upstream of an old version.
	hasBase atomic.Bool
	// hasLease is set if the VM had a lease when it last looked, for the log.
	hasLease atomic.Bool

	// The following fields are guarded by board.mu. Pieces and calls are counted apart, so that
	// the share holds for both: calls to the target may be smaller than the others. A request is a
	// call with one piece.
	pieces, calls account
	// largest is the number of pieces in the largest call that Take was asked for.
	largest int
	// recorder is nil unless the roll-out runs.
	recorder *mprollout.Recorder
	// early holds the attempts that run since before the roll-out, by version.
	early map[string][]*mprollout.Attempt
	names map[string]metricNames
}

// Mode returns how new requests are divided at now.
func (s *Split) Mode(now time.Time) Mode {
	r := s.row.Load()
	switch {
	case !r.Running():
		return Settled
	case !s.isInForce(now, r):
		// The old upstreams leave the list only when the roll-out is complete.
		if s.hasBase.Load() {
			return OldOnly
		}
		return TargetFirst
	case r.Phase == mprollout.PhaseShift:
		return TargetFirst
	}
	return Shared
}

// isInForce reports whether the VM has a lease, so that the roll-out goes on as it knows.
func (s *Split) isInForce(now time.Time, r *mprollout.Rollout) bool {
	has := s.board.cfg.HasLease(now)
	if s.hasLease.CompareAndSwap(!has, has) {
		msg := "roll-out used again, with a lease"
		if !has {
			msg = "roll-out not used, without a lease"
		}
		_ = level.Info(s.board.cfg.Logger).Log("msg", msg, "pool", r.Pool, "target", r.Target, "rollout", r.ID)
	}
	return has
}

// IsTarget reports whether version is the target of the roll-out and the roll-out runs.
func (s *Split) IsTarget(version string) bool {
	r := s.row.Load()
	return r.Running() && version == r.Target
}

// Admits reports whether upstreams of a version may get new requests at all at now. While a roll-out
// runs, its old versions are those that served at the order. Others are no substitute, such as
// the target of the last roll-out that was reverted, unless none of the old versions is left.
func (s *Split) Admits(now time.Time, version string) bool {
	r := s.row.Load()
	switch {
	case s.isUnknown(version) && !s.board.cfg.HasLease(now):
		return false
	case version == r.Target:
		return r.State != mprollout.StateReverted
	case slices.Contains(s.barred, version):
		return false
	case r.Running():
		return r.IsBase(version) || version == "" || !s.hasBase.Load()
	}
	return r.State != mprollout.StateComplete || !r.IsBase(version)
}

func (s *Split) isUnknown(version string) bool {
	unknown := s.unknown.Load()
	return unknown != nil && slices.Contains(*unknown, version)
}

// Arrived counts a call with n pieces, or a request, that reached an upstream of the pool. It adds
// to what the target may get.
func (s *Split) Arrived(n int) {
	r := s.row.Load()
	if !r.Running() {
		return
	}
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.pieces.add(r.Share, n, savedCalls*max(s.largest, 1))
	s.calls.add(r.Share, 1, savedCalls)
}

// Take reserves a call with n pieces, or a request, for the target. It returns false if the target
// may not get it yet.
func (s *Split) Take(n int) bool {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.largest = max(s.largest, n)
	if s.pieces.saved < n || s.calls.saved < 1 {
		return false
	}
	s.pieces.saved -= n
	s.calls.saved--
	return true
}

// Return undoes a Take whose call was not sent.
func (s *Split) Return(n int) {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.pieces.saved += n
	s.calls.saved++
}

// Charge counts a request that the target must get whatever its share, since it began the stream.
func (s *Split) Charge() {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.pieces.saved--
	s.calls.saved--
}

// part returns which part of the new requests of r's pool goes to a version of r.
func part(r *mprollout.Rollout, version string) string {
	isTarget := version == r.Target
	switch {
	case r.Running() && r.Phase == mprollout.PhaseTrial && isTarget:
		return "share"
	case r.Running() && r.Phase == mprollout.PhaseTrial:
		return "rest"
	case r.Running() && !isTarget:
		return "spare"
	case isTarget == (r.State == mprollout.StateReverted):
		return "none"
	}
	return "all"
}

// logChange logs which versions get another part of the requests than by was, which is nil if the
// roll-out was not known.
func (s *Split) logChange(was *mprollout.Rollout) {
	r := s.row.Load()
	for _, version := range append([]string{r.Target}, r.Base...) {
		before, now := "all", part(r, version)
		if version == r.Target {
			before = "none"
		}
		if was != nil {
			before = part(was, version)
		}
		if before == now && (was == nil || was.Share == r.Share) {
			continue
		}
		_ = level.Info(s.board.cfg.Logger).Log("msg", "version of upstreams", "pool", r.Pool, "version", version, "gets", now, "was", before,
			"share", r.Share, "rollout", r.ID, "state", r.State, "phase", r.Phase, "reason", r.Reason)
	}
}
