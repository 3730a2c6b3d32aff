// Package mpexit names the exit codes of the programs.
package mpexit

import (
	"errors"

	"mustardpost.org/core/common/mperror"
)

const (
	// OK means done.
	OK = 0
	// Failed means that it was tried and did not work.
	Failed = 1
	// Invalid means that the arguments, settings or input cannot be right.
	Invalid = 2
	// Conflict means that a row changed meanwhile.
	Conflict = 3
	// NotFound means that something named does not exist.
	NotFound = 4
	// Unknown means that it may or may not have taken effect.
	Unknown = 5
	// NotInForce means that a change was accepted and is not in force everywhere yet.
	NotInForce = 6
	// Denied means that the token was missing or wrong.
	Denied = 7
)

// Code returns the exit code for err.
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
		return Unknown
	case errors.Is(err, mperror.ErrNotInForce):
		return NotInForce
	case errors.Is(err, mperror.ErrDenied):
		return Denied
	}
	return Failed
}
