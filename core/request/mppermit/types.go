// Package mppermit implements admission control for attempts to upstreams. A group
// is the part of a pool in one data centre and has one owner VM at a time. Only the
// owner grants permits, so it knows exactly how many attempts each upstream has, and
// it queues requests that must wait with fair shares for accounts.
//
// A Group is a deterministic state machine: its methods take the current time and
// return decisions. It is not safe for concurrent use.
package mppermit

import (
	"time"

	"mustardpost.org/core/common/mpset"
)

// Attempt identifies one attempt at one stage. The VM that makes it picks a random ID.
type Attempt uint64

// Request asks for a permit for one attempt.
type Request struct {
	Attempt Attempt
	VM      string
	Account string
	// Weight is the account's weight in fair queueing.
	Weight int
	// Priority orders the requests of one account; higher values go first.
	Priority int
	// Remaining is the time left until the deadline of the caller's request.
	Remaining time.Duration
	// Work is the expected size of the attempt: tokens for a generation, otherwise 1.
	// Service times are tracked per unit of work.
	Work int
	// MaxExpectedWait is the longest expected time in the queue that the caller
	// accepts; 0 asks for an immediate decision.
	MaxExpectedWait time.Duration
	// PrefixHash is the hash of the prompt's prefix. Requests with the same hash prefer
	// the same upstream; 0 means no preference.
	PrefixHash uint64
	// Exclusive asks for an upstream that runs no other attempt at the same time.
	Exclusive bool
	// Hedge marks a hedged attempt, which is never queued.
	Hedge bool
	// Exclude names upstreams that the caller's request has already tried.
	Exclude mpset.Set[string]
}

// Cause is the reason for a refusal.
type Cause uint8

const (
	// Full means that the queue is full or the expected wait is too long.
	Full Cause = iota + 1
	// Late means that the attempt cannot finish before its deadline.
	Late
	// NoUpstream means that the group has no available upstream.
	NoUpstream
	// OwnerStarting means that the owner does not yet know which permits are held.
	OwnerStarting
)

// Decision is the final reply to a Request: a Grant or a Refusal.
type Decision interface{ decision() }

// Grant permits an attempt to an upstream.
type Grant struct {
	Attempt  Attempt
	Upstream string
	// HedgeDelay is the delay after which a hedged attempt is worth its cost; 0
	// disables hedging.
	HedgeDelay time.Duration
	// Limit is the upstream's concurrency limit as known to the owner, valid for the
	// process Instance. Both are empty while the limit is unconfirmed.
	Limit    int
	Instance string
}

// Refusal denies a permit.
type Refusal struct {
	Attempt Attempt
	Cause   Cause
	// RetryAfter is the delay after which a new request may succeed.
	RetryAfter time.Duration
}

func (Grant) decision()   {}
func (Refusal) decision() {}

// Outcome is the result of an attempt.
type Outcome uint8

const (
	// Done means that the upstream sent a complete response.
	Done Outcome = iota
	// Unused means that nothing was sent to the upstream.
	Unused
	// Failed means that the upstream sent an error or an incomplete response.
	Failed
	// Crashed means that the connection was lost while the upstream ran the attempt.
	Crashed
	// Cancelled means that the VM cancelled the attempt.
	Cancelled
	// Overloaded means that the upstream rejected the attempt.
	Overloaded
)

// Settlement reports the outcome of an attempt and releases its permit.
type Settlement struct {
	Attempt     Attempt
	Outcome     Outcome
	ServiceTime time.Duration
	// Instance is the identifier that the upstream reports for its process, if any.
	Instance string
	// Cold is set if the upstream reported that it is in cold start.
	Cold bool
}

// HeldPermit is a permit that a VM reports to a new owner.
type HeldPermit struct {
	Attempt   Attempt
	Upstream  string
	Remaining time.Duration
	Exclusive bool
}

// Observation is the last state of an upstream that a VM knows of. It helps a new
// owner that has no state of its own.
type Observation struct {
	Upstream string
	Limit    int
	Instance string
	// Age is the time since the last response of the instance.
	Age time.Duration
}

// Registration is what a VM reports to the new owner about one group.
type Registration struct {
	Held         []HeldPermit
	Observations []Observation
}

// UpstreamSpec describes an upstream as configured in the view.
type UpstreamSpec struct {
	Name  string
	Limit int
	// ColdLimit is the concurrency limit at the beginning of a cold start.
	ColdLimit int
	// Ramp is the number of successes that raise the limit by one.
	Ramp int
	// Usable is false while the upstream or its data centre is out of service.
	Usable bool
}

// LoadReport is the load that an upstream reports itself. Reports lag behind, so they
// only lower limits.
type LoadReport struct {
	Instance string
	Waiting  int
	Cold     bool
}
