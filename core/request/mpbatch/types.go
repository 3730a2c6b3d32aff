// Package mpbatch batches the pieces of many requests into calls to the upstreams
// of one pool. A call takes about as long for several pieces as for one, so an
// upstream gets its next call when it becomes idle, filled with queued pieces:
// those of jobs that can still meet their soft deadline first, then by priority,
// then by arrival. The package performs no I/O and starts no goroutines; the owner of
// the pool runs the calls it returns.
package mpbatch

import (
	"cmp"
	"fmt"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpspeed"
)

// JobSpec describes the work for one stage of one request.
type JobSpec struct {
	// Request is the caller's request ID.
	Request string
	Stage   int
	// Count is the number of pieces.
	Count int
	// Key is set for stages without inputs; all other stages set Inputs, the handles
	// of the results they read.
	Key    string
	Inputs []string
	// ResultBytes is the expected size of one result in bytes.
	ResultBytes int
	// Priority orders jobs; lower values go first.
	Priority int
	// SoftDeadline is when the stage must finish for the request to be on time.
	// Deadline is when its results become useless.
	SoftDeadline time.Time
	Deadline     time.Time
	// DC is the preferred data centre for the pieces: the one that holds most of
	// their input, or the one where their results are read. CrossDCBytes is
	// the traffic between data centres, in bytes, of each piece made elsewhere.
	DC           string
	CrossDCBytes int
}

// Upstream is an upstream that makes pieces.
type Upstream struct {
	ID      string
	Address string
	DC      string
	// Version is that of the upstream's software.
	Version string
	// ColdUntil is the end of the upstream's cold start; zero if it is warm.
	ColdUntil time.Time
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
	// Expected is the estimated duration of the call. It is cancelled after Timeout.
	Expected time.Duration
	Timeout  time.Duration
}

// Reason is why a piece was not made.
type Reason string

const (
	// ReasonLate means that the piece's deadline passed before the upstream started it.
	ReasonLate Reason = "late"
	// ReasonInputGone means that an input of the piece no longer exists.
	ReasonInputGone Reason = "gone"
	// ReasonNoMemory means that the upstream had no memory for the result.
	ReasonNoMemory Reason = "room"
	// ReasonError means that the piece failed for any other reason.
	ReasonError Reason = "error"
)

// ItemOutcome is the outcome of one item: the handle of its result, or the reason
// why it has none.
type ItemOutcome struct {
	Handle string
	Reason Reason
}

// CallStatus is how a call ended.
type CallStatus int

const (
	// Answered means that the call returned an outcome for each item.
	Answered CallStatus = iota
	// Refused means that the call was not run, since the upstream was full.
	Refused
	// Failed means that the call had no valid response and may have run. Its upstream
	// gets no calls until a backoff has passed.
	Failed
	// Deferred means that the call was not sent, since the upstream's limit does not allow it
	// yet.
	Deferred
)

// Outcome is the outcome of a call.
type Outcome struct {
	Status CallStatus
	Items  []ItemOutcome
	// Wait is when the upstream's limit allows the next call, after one that was Deferred.
	Wait time.Duration
	// RateLimit is what the answer says of the rate that the upstream takes.
	RateLimit mpquota.Statement
	// Notice is what the answer says of the upstream.
	Notice mpnotice.Notice
	// Load is what the answer says of the upstream's load and speed.
	Load mpspeed.Load
	// Err is the cause of a Failed call, for the log.
	Err error
}

// LateError is returned for a job that is refused because it would be late, or for a
// request that is refused for that reason before its first job. It wraps ErrDeadline.
type LateError struct {
	Stage int
	// Wait is how long the job was expected to take. For a request that has no
	// job yet, it is how long the request was expected to wait in the queues of its
	// stages, and Stage is the stage with the longest of these waits.
	Wait time.Duration
}

func (e *LateError) Error() string {
	return fmt.Sprintf("stage %d: expected to take %v: %v", e.Stage, e.Wait.Round(time.Millisecond), mperror.ErrDeadline)
}

// Unwrap returns ErrDeadline, so that errors.Is matches it.
func (e *LateError) Unwrap() error { return mperror.ErrDeadline }

// Job is a JobSpec that has been added to a Batcher. Its outcome may be read once
// Done is closed.
type Job struct {
	spec    JobSpec
	arrived time.Time
	// seq orders jobs by arrival.
	seq uint64
	// minTime is how long the job takes at an idle upstream.
	minTime time.Duration
	// firstCallAt is when the first piece was added to a call, lastCallAt when the
	// last one was.
	firstCallAt, lastCallAt time.Time
	pieces                  []piece
	// calls lists the IDs of the calls that contain pieces of the job.
	calls     []uint64
	remaining int
	failures  int
	// firstDC is the data centre of the first piece. It is preferred for the other
	// pieces, since their results are read together.
	firstDC string
	done    chan struct{}
	err     error
}

type state uint8

const (
	waiting state = iota
	running
	completed
)

type piece struct {
	state  state
	handle string
	dc     string
	// inFlight is the number of running calls that contain the piece.
	inFlight int
	// triedTarget is set once a call to the target of a roll-out contained the piece.
	triedTarget bool
}

// Done returns a channel that is closed when the job has completed, failed or been
// cancelled.
func (j *Job) Done() <-chan struct{} { return j.done }

// Result is the result of a completed piece.
type Result struct {
	Handle string
	// DC is the data centre that holds the result.
	DC string
}

// Results returns the results in the order of the pieces, or an error that wraps
// ErrDeadline, ErrNotFound or ErrConnectionLost. It must not be called before Done is closed.
func (j *Job) Results() ([]Result, error) {
	if j.err != nil {
		return nil, j.err
	}
	out := make([]Result, len(j.pieces))
	// Other fields of the pieces still change, as calls end that make a piece a second time.
	for i := range j.pieces {
		out[i] = Result{j.pieces[i].handle, j.pieces[i].dc}
	}
	return out, nil
}

// preferredDC returns the data centre that the next piece should be made in.
func (j *Job) preferredDC() string {
	if j.spec.DC != "" {
		return j.spec.DC
	}
	return j.firstDC
}

// Waits returns how long the job waited until its first and until its last piece
// was added to a call. It must not be called before Done is closed.
func (j *Job) Waits() (first, last time.Duration) {
	if j.firstCallAt.IsZero() {
		return 0, 0
	}
	return j.firstCallAt.Sub(j.arrived), j.lastCallAt.Sub(j.arrived)
}

// Calls returns the IDs of the calls that contain pieces of the job. It must not be
// called before Done is closed.
func (j *Job) Calls() []uint64 { return j.calls }

func (j *Job) isDone() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// isLate reports whether the job has not started and would miss its soft deadline
// even if it started now.
func (j *Job) isLate(now time.Time) bool {
	return j.firstCallAt.IsZero() && now.Add(j.minTime).After(j.spec.SoftDeadline)
}

// compare orders the queue: jobs that can still meet their soft deadline first, then
// by priority, then by arrival. No two jobs compare equal.
func (j *Job) compare(now time.Time, o *Job) int {
	if late := j.isLate(now); late != o.isLate(now) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(j.spec.Priority, o.spec.Priority), cmp.Compare(j.seq, o.seq))
}

// waiting returns the number of pieces that wait for a call.
func (j *Job) waiting() int {
	n := 0
	for _, p := range j.pieces {
		if isWaiting(p) {
			n++
		}
	}
	return n
}
