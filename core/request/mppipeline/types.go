// Package mppipeline runs the stages of one accepted request: it gets permits,
// sends attempts, retries and hedges within budgets, resumes broken streams,
// claims non-idempotent requests, and states how the request ended.
package mppipeline

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

// Kind tells how a request ended.
type Kind string

const (
	// Answered means that the caller got the whole answer.
	Answered Kind = "answered"
	// NotRun means that no byte of any attempt left, for any submission of it.
	NotRun Kind = "not-run"
	// Failed means that it was tried without an answer; running it again is harmless.
	Failed Kind = "failed"
	// Unknown means that a non-idempotent request may have run.
	Unknown Kind = "unknown"
)

// Outcome is the final word on a request.
type Outcome struct {
	Kind   Kind
	Status int
	// Cause is one word for metrics and callers.
	Cause string
	Text  string
	// Retry is when coming back may help; 0 when it does not.
	Retry time.Duration
	// Answer is set when Kind is Answered and the answer was not streamed.
	Answer mpupstream.Response
	// Repeated tells that the answer is the recorded one of an earlier submission.
	Repeated bool
}

// Key is a caller's idempotency key.
type Key struct {
	Text string
	// Issued is when the caller made it, in ms since the Unix epoch.
	Issued int64
}

// Request is one accepted request.
type Request struct {
	ID       uint64
	View     *mpview.View
	Entry    mpcatalogue.Entry
	Class    mpcatalogue.Class
	Account  mpcatalogue.Account
	Type     string
	Body     []byte
	Input    Input
	Deadline time.Time
	Key      *Key
	Print    uint64
	// Emit gets the text of the last stage as it is generated; nil asks for a
	// whole answer instead.
	Emit func(text string) error
}

// Input is the body of a request to a model entry.
type Input struct {
	Input string `json:"input"`
	// Max bounds the generated answer, in tokens; 0 leaves it to the entry.
	Max    int  `json:"max,omitempty"`
	Stream bool `json:"stream,omitempty"`
}

// Permits is where permits come from.
type Permits interface {
	Acquire(ctx context.Context, group string, ask mppermit.Ask) (mpattempt.Permit, *mpattempt.Refusal)
	Settle(p mpattempt.Permit, e mppermit.Settlement)
}

// Upstreams sends attempts.
type Upstreams interface {
	Do(ctx context.Context, call mpupstream.Call) (mpupstream.Response, *mpupstream.Failure)
	Stream(ctx context.Context, call mpupstream.Call, emit func(string) error) (mpupstream.Response, mpupstream.Usage, *mpupstream.Failure)
}

// Proposer commits commands of the replicated state.
type Proposer interface {
	Propose(ctx context.Context, c mpstate.Command, force time.Duration) (mpproposer.Reply, error)
}

// Membership is this VM's view and lease.
type Membership interface {
	Current() *mpview.View
	HasLease(now time.Time) bool
	AwaitLease(ctx context.Context, clock func() time.Time) error
}

// Config holds what a Runner needs from outside.
type Config struct {
	VM         string
	DC         string
	Boot       uint64
	Permits    Permits
	Upstreams  Upstreams
	Proposer   Proposer
	Membership Membership
	Metrics    *mpmetric.Set
	Logger     log.Logger
	Clock      func() time.Time
	// RetryRatio is the number of retries and hedges that each stage earns.
	RetryRatio float64
}

var (
	_ Permits   = (*mpattempt.Broker)(nil)
	_ Upstreams = (*mpupstream.Client)(nil)
	_ Proposer  = (*mpproposer.Proposer)(nil)
)
