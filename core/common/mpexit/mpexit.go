// Package mpexit defines the exit codes of the programs.
package mpexit

import (
	"errors"

	"mustardpost.org/core/common/mperror"
)

const (
	// OK means success.
	OK = 0
	// Failed means that the operation failed for a reason without a code of its own.
	Failed = 1
	// Invalid means that the arguments, settings or input are invalid.
	Invalid = 2
	// Conflict means that a row was modified after the base revision of the change.
	Conflict = 3
	// NotFound means that a named object does not exist.
	NotFound = 4
	// OutcomeUnknown means that the operation may or may not have taken effect.
	OutcomeUnknown = 5
	// NotInForce means that a change was accepted but is not yet in force on every VM.
	NotInForce = 6
	// Denied means that the token is missing or invalid.
	Denied = 7
)

// Code maps err to an exit code.
func Code(err error) int {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, mperror.ErrInvalid):
		return Invalid
	case errors.Is(err, mperror.ErrConflict):
		return Conflict
	case errors.Is(err, mperror.ErrNotFound):
		return NotFound
	case errors.Is(err, mperror.ErrOutcomeUnknown):
		return OutcomeUnknown
	case errors.Is(err, mperror.ErrNotInForce):
		return NotInForce
	case errors.Is(err, mperror.ErrDenied):
		return Denied
	}
	return Failed
}
