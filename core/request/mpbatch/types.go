// Package mpbatch decides how the pieces of many requests share the calls to
// the upstreams of one pool. A call takes as long for one piece as for several,
// so an upstream gets its next call when it is idle, filled with what waits:
// first what can still be on time, then by priority, then by arrival. The
// package starts nothing itself; its owner carries out the calls it returns.
package mpbatch

import (
	"cmp"
	"fmt"
	"time"

	"mustardpost.org/core/common/mperror"
)

// JobSpec is one stage of one request.
type JobSpec struct {
	// Request is the id that the caller gave its request.
	Request string
	Stage   int
	// Count is the number of pieces.
	Count int
	// Key goes with stages that read nothing, Inputs with all others.
	Key    string
	Inputs []string
	// ResultBytes is the expected size of one result.
	ResultBytes int
	Priority    int
	// SoftDeadline is when the stage must end for the request to be on time; Deadline
	// is when its results are of no use any more.
	SoftDeadline time.Time
	Deadline     time.Time
	// DC is the best place for the pieces: where most of what they read lies, or
	// where their results are read. Far is the traffic, in bytes, that each
	// piece causes when it is made elsewhere.
	DC           string
	CrossDCBytes int
}

// Upstream is one that makes pieces.
type Upstream struct {
	ID      string
	Address string
	DC      string
}

// Item is one piece in a Call.
type Item struct {
	Request  string
	Stage    int
	Number   int
	Key      string
	Inputs   []string
	Deadline time.Time
}

// Call is a batch for one upstream.
type Call struct {
	ID       uint64
	Upstream Upstream
	Items    []Item
	// Expected is how long the call should take; Most is when to give it up.
	Expected time.Duration
	Timeout  time.Duration
}

// Reason tells why a piece was not made.
type Reason string

const (
	// ReasonLate pieces ran out of time before their turn.
	ReasonLate Reason = "late"
	// ReasonInputGone pieces lack an input.
	ReasonInputGone Reason = "gone"
	// ReasonNoMemory pieces found no memory for their result.
	ReasonNoMemory Reason = "room"
	// ReasonError pieces failed.
	ReasonError Reason = "error"
)

// ItemOutcome is the outcome of one item: a handle, or the reason why there is none.
type ItemOutcome struct {
	Handle string
	Reason Reason
}

// CallStatus tells how a call ended.
type CallStatus int

const (
	// Answered calls have an outcome for each item.
	Answered CallStatus = iota
	// Refused calls were not run, since the upstream was full.
	Refused
	// Broken calls may have run; their upstream is avoided for a while.
	Broken
)

// Outcome is what a call returned.
type Outcome struct {
	Status CallStatus
	Items  []ItemOutcome
	// Err is why the call was broken, for the log.
	Err error
}

// LateError is the refusal of a job that would be late. It wraps ErrLate.
type LateError struct {
	Stage int
	// Wait is how long the job was expected to take.
	Wait time.Duration
}

func (e *LateError) Error() string {
	return fmt.Sprintf("stage %d: expected to take %v: %v", e.Stage, e.Wait.Round(time.Millisecond), mperror.ErrLate)
}

// Unwrap returns ErrLate.
func (e *LateError) Unwrap() error { return mperror.ErrLate }

// Job is an Ask in the group. Its fields are read after Done is closed.
type Job struct {
	ask     JobSpec
	arrived time.Time
	// seq is the order of arrival.
	seq uint64
	// least is how long the job takes at an idle upstream.
	least time.Duration
	// begun is when the first, and full when the last piece was put in a call.
	begun, full time.Time
	pieces      []piece
	// calls lists the calls that pieces were put in.
	calls []uint64
	left  int
	tries int
	// near is the data centre of the first piece; the others follow it, since
	// their results are read together.
	near string
	done chan struct{}
	err  error
}

type state uint8

const (
	waiting state = iota
	running
	made
)

type piece struct {
	state  state
	handle string
	dc     string
	// copies is the number of calls that make the piece now.
	copies int
}

// Done returns a channel that is closed when the job has ended.
func (j *Job) Done() <-chan struct{} { return j.done }

// Result is a piece that was made.
type Result struct {
	Handle string
	// DC is where the result lies.
	DC string
}

// Results returns the results in the order of the pieces, or why there are none:
// an error that wraps ErrLate, ErrNotFound or ErrCrashed.
func (j *Job) Results() ([]Result, error) {
	if j.err != nil {
		return nil, j.err
	}
	out := make([]Result, len(j.pieces))
	for i, p := range j.pieces {
		out[i] = Result{p.handle, p.dc}
	}
	return out, nil
}

// dc returns the data centre that the next piece should be made in.
func (j *Job) dc() string {
	if j.ask.DC != "" {
		return j.ask.DC
	}
	return j.near
}

// Waits returns how long the job waited until its first and until its last
// piece was put in a call. They are read after Done is closed.
func (j *Job) Waits() (first, last time.Duration) {
	if j.begun.IsZero() {
		return 0, 0
	}
	return j.begun.Sub(j.arrived), j.full.Sub(j.arrived)
}

// Calls returns the ids of the calls that pieces were put in. They are read
// after Done is closed.
func (j *Job) Calls() []uint64 { return j.calls }

func (j *Job) isDone() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// isLate reports whether the job cannot be on time any more, though it began now.
func (j *Job) isLate(now time.Time) bool {
	return j.begun.IsZero() && now.Add(j.least).After(j.ask.SoftDeadline)
}

// compare orders the queue: what can still be on time, then by priority, then
// by arrival. No two jobs are equal.
func (j *Job) compare(now time.Time, o *Job) int {
	if late := j.isLate(now); late != o.isLate(now) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(j.ask.Priority, o.ask.Priority), cmp.Compare(j.seq, o.seq))
}
