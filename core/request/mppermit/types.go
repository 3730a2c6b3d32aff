// Package mppermit decides who may send an attempt to which upstream. A group,
// the part of a pool in one data centre, has one owner VM at a time; the owner
// alone grants permits, so it knows exactly how many attempts each upstream
// has, and queues what must wait fairly between accounts.
//
// A Group is a pure state machine: its methods take the present time and
// return decisions. It is not safe for concurrent use.
package mppermit

import (
	"time"

	"mustardpost.org/core/common/mpset"
)

// Attempt identifies one try of one stage; its VM chooses it at random.
type Attempt uint64

// Request is a request for a permit.
type Request struct {
	Attempt Attempt
	VM      string
	Account string
	// Weight is the account's share against others.
	Weight int
	// Priority orders the asks of one account; higher goes first.
	Priority int
	// Remaining is what remains of the request's deadline.
	Remaining time.Duration
	// Work is the expected size of the attempt, in tokens, or 1; service times
	// are followed for each unit of it.
	Work int
	// MaxExpectedWait bounds the expected wait; 0 asks for an immediate answer.
	MaxExpectedWait time.Duration
	// Prefix attracts asks of the same prefix to the same upstream; 0 does not.
	Prefix uint64
	// Exclusive asks for an upstream that runs nothing else meanwhile.
	Exclusive bool
	// Hedge marks a second attempt, which is never queued.
	Hedge bool
	// Exclude names upstreams that this request has tried already.
	Exclude mpset.Set[string]
}

// Cause tells why an ask was refused.
type Cause uint8

const (
	// Full means that the queue is full or the expected wait too long.
	Full Cause = iota + 1
	// Late means that the deadline cannot be met.
	Late
	// Empty means that no upstream of the group is in service.
	Empty
	// Starting means that the owner does not know yet which permits are out.
	Starting
)

// Decision is the final answer to an Ask.
type Decision interface{ decision() }

// Grant gives a permit.
type Grant struct {
	Attempt  Attempt
	Upstream string
	// HedgeDelay is when a second attempt is worth its cost; 0 for never.
	HedgeDelay time.Duration
	// Limit is what the upstream bears, as far as the owner knows, when its
	// process is Instance. An unconfirmed limit is not told.
	Limit    int
	Instance string
}

// Refusal denies a permit.
type Refusal struct {
	Attempt Attempt
	Cause   Cause
	// RetryAfter is when asking again may help.
	RetryAfter time.Duration
}

func (Grant) decision()   {}
func (Refusal) decision() {}

// Outcome tells how an attempt ended.
type Outcome uint8

const (
	// Done is a whole answer.
	Done Outcome = iota
	// Unused means that nothing was sent.
	Unused
	// Failed is an error answer or a broken one.
	Failed
	// Crashed is a connection lost while the upstream ran the attempt.
	Crashed
	// Cancelled means that the VM gave the attempt up.
	Cancelled
	// Overloaded means that the upstream itself refused the attempt.
	Overloaded
)

// Settlement reports the end of an attempt.
type Settlement struct {
	Attempt     Attempt
	Outcome     Outcome
	ServiceTime time.Duration
	// Instance is the upstream's own id of its process, if it gives one.
	Instance string
	// Cold tells that the upstream said that it is in cold start.
	Cold bool
}

// HeldPermit is a permit that a VM tells a new owner about.
type HeldPermit struct {
	Attempt   Attempt
	Upstream  string
	Remaining time.Duration
	Exclusive bool
}

// Observation is what a VM remembers of an upstream, for an owner that does not.
type Observation struct {
	Upstream string
	Limit    int
	Instance string
	// Age is how long ago the instance answered.
	Age time.Duration
}

// Registration is what a VM tells the new owner of one group.
type Registration struct {
	Held         []HeldPermit
	Observations []Observation
}

// UpstreamSpec is an upstream as the view describes it.
type UpstreamSpec struct {
	Name      string
	Limit     int
	ColdLimit int
	Ramp      int
	// Usable is false while the upstream or its data centre is out.
	Usable bool
}

// LoadReport is an upstream's own load report. It lags, so it only lowers limits.
type LoadReport struct {
	Instance string
	Waiting  int
	Cold     bool
}
