// Package mperror defines the sentinel errors that packages share, and a helper
// to wrap them. The sentinels are errorx values but are wrapped with the %w verb
// of fmt.Errorf: errorx errors do not implement Unwrap, so wrapping with errorx
// would hide the sentinel from errors.Is.
package mperror

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("mustardpost")
	input     = namespace.NewType("input")
	state     = namespace.NewType("state")
	overload  = namespace.NewType("overload", errorx.Temporary())
	upstream  = namespace.NewType("upstream")
)

var (
	// ErrInvalid marks input that can never be accepted unchanged, so a retry is useless.
	ErrInvalid = input.New("invalid")
	// ErrNotFound marks an object that does not exist, such as a name that is not in the
	// catalogue.
	ErrNotFound = input.New("not found")
	// ErrConflict marks a change to a row that was changed since the revision that it is
	// based on, or an operation that the current state of the log does not allow.
	ErrConflict = input.New("conflict")
	// ErrDenied marks a missing or invalid key or token.
	ErrDenied = input.New("denied")

	// ErrNotLeader marks a request that only the leader can serve.
	ErrNotLeader = state.New("not the leader")
	// ErrNoLease marks work refused because the lease of this VM has expired.
	ErrNoLease = state.New("no lease")
	// ErrNotOwner marks a permit request to a VM that does not own the group.
	ErrNotOwner = state.New("not the owner")
	// ErrCorrupt marks a log or snapshot with a checksum failure before its tail.
	ErrCorrupt = state.New("corrupt")
	// ErrTooFewVoters marks a proposal made before enough voters have joined the
	// deployment.
	ErrTooFewVoters = state.New("too few voters have joined")
	// ErrNoPlan marks an operation on a pool while no plan is published.
	ErrNoPlan = state.New("no plan is published")
	// ErrNoList marks an operation that needs the platform's list of upstreams, which the
	// leader has not read yet.
	ErrNoList = state.New("list of upstreams is not known yet")
	// ErrOutcomeUnknown marks an operation that may or may not have taken effect.
	ErrOutcomeUnknown = state.New("outcome unknown")
	// ErrNotInForce marks a change that was accepted but is not yet in force on every VM.
	ErrNotInForce = state.New("accepted, but not in force everywhere yet")

	// ErrFull marks a full queue or an exhausted limit.
	ErrFull = overload.New("full")
	// ErrDeadline marks work that cannot finish, or did not finish, within its deadline.
	ErrDeadline = overload.New("cannot finish within the deadline")
	// ErrOwnerStarting marks an owner that does not yet know which permits are outstanding.
	ErrOwnerStarting = overload.New("owner is starting")

	// ErrPoison marks a request that is blocked because it crashes upstreams.
	ErrPoison = upstream.New("request crashes upstreams")
	// ErrConnectionLost marks an attempt whose connection was refused or reset.
	ErrConnectionLost = upstream.New("upstream connection lost")
	// ErrBadResponse marks an upstream response that is malformed, truncated or meant
	// for another attempt.
	ErrBadResponse = upstream.New("bad upstream answer")
	// ErrNoUpstream marks a group that has no usable upstream.
	ErrNoUpstream = upstream.New("no upstream in service")
)

// Wrap prefixes err with a formatted description of the failed operation. The
// result matches err with errors.Is. Wrap returns nil if err is nil.
func Wrap(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), err)
}
