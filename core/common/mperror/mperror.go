// Package mperror declares the sentinel errors that cross package borders and
// the helper that wraps them. Sentinels are errorx values; they are wrapped
// with the standard %w verb, since errorx errors do not implement Unwrap and
// would hide a sentinel from errors.Is.
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
	// ErrInvalid marks input that can never be accepted as it stands.
	ErrInvalid = input.New("invalid")
	// ErrNotFound marks a name that the catalogue does not hold.
	ErrNotFound = input.New("not found")
	// ErrConflict marks a change made against a row that has changed since.
	ErrConflict = input.New("conflict")
	// ErrDenied marks a missing or wrong key or token.
	ErrDenied = input.New("denied")

	// ErrNotLeader marks a request that only the leader may answer.
	ErrNotLeader = state.New("not the leader")
	// ErrNoLease marks work refused because this VM's lease has run out.
	ErrNoLease = state.New("no lease")
	// ErrNotOwner marks a permit request sent to a VM that does not own the group.
	ErrNotOwner = state.New("not the owner")
	// ErrCorrupt marks a log or snapshot that fails its checksum before the tail.
	ErrCorrupt = state.New("corrupt")
	// ErrTooFewVoters marks a proposal made before enough voters have joined.
	ErrTooFewVoters = state.New("too few voters have joined")
	// ErrOutcomeUnknown marks an operation whose effect is not known.
	ErrOutcomeUnknown = state.New("outcome unknown")
	// ErrNotInForce marks a change that was accepted and is not in force everywhere yet.
	ErrNotInForce = state.New("accepted, but not in force everywhere yet")

	// ErrFull marks a full queue or an exhausted limit.
	ErrFull = overload.New("full")
	// ErrDeadline marks work that cannot finish within its deadline.
	ErrDeadline = overload.New("cannot finish within the deadline")
	// ErrOwnerStarting marks an owner that has not yet learned which permits are out.
	ErrOwnerStarting = overload.New("owner is starting")

	// ErrPoison marks a request convicted of crashing upstreams.
	ErrPoison = upstream.New("request crashes upstreams")
	// ErrConnectionLost marks an attempt whose connection was reset or refused.
	ErrConnectionLost = upstream.New("upstream connection lost")
	// ErrBadResponse marks an upstream answer that is broken, crossed or not whole.
	ErrBadResponse = upstream.New("bad upstream answer")
	// ErrNoUpstream marks a group without any usable upstream.
	ErrNoUpstream = upstream.New("no upstream in service")
)

// Wrap adds what was being done to err and keeps err visible to errors.Is.
// It returns nil for a nil err.
func Wrap(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), err)
}
