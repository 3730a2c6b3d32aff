// Package mppipeline runs the stages of an admitted request. It acquires permits,
// sends attempts, retries and hedges them within budgets, resumes interrupted
// streams, claims non-idempotent requests, and determines the request's outcome.
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

// Kind classifies how a request ended.
type Kind string

const (
	// Answered means that the caller received the complete response.
	Answered Kind = "answered"
	// NotRun means that no byte of any attempt was sent, for any submission of the
	// request.
	NotRun Kind = "not-run"
	// Failed means that the request was attempted without getting a response. It is
	// safe to run again.
	Failed Kind = "failed"
	// Unknown means that a non-idempotent request may have run.
	Unknown Kind = "unknown"
)

// Outcome is the final result of a request.
type Outcome struct {
	Kind   Kind
	Status int
	// Cause is one word for metrics and callers.
	Cause string
	Text  string
	// RetryAfter is the time after which a retry may succeed, or 0 if a retry does
	// not help.
	RetryAfter time.Duration
	// Response is set when Kind is Answered and the response was not streamed.
	Response mpupstream.Response
	// Repeated reports whether Response is the stored answer of an earlier submission.
	Repeated bool
}

// Key is a caller's idempotency key.
type Key struct {
	Text string
	// IssuedMs is the time at which the caller created the key, in ms since the Unix
	// epoch.
	IssuedMs int64
}

// Request is an admitted request.
type Request struct {
	ID          uint64
	View        *mpview.View
	Entry       mpcatalogue.Entry
	Class       mpcatalogue.Class
	Account     mpcatalogue.Account
	ContentType string
	Body        []byte
	Input       Input
	Deadline    time.Time
	Key         *Key
	Fingerprint uint64
	// Emit receives the text of the last stage as it is generated. If nil, the
	// response is returned as a whole.
	Emit func(text string) error
}

// Input is the body of a request to a model entry.
type Input struct {
	Input string `json:"input"`
	// MaxTokens limits the length of the generated text; 0 means the entry's limit.
	MaxTokens int  `json:"max,omitempty"`
	Stream    bool `json:"stream,omitempty"`
}

// PermitSource grants permits and takes them back.
type PermitSource interface {
	Acquire(ctx context.Context, group string, req mppermit.Request) (mpattempt.Permit, *mpattempt.Refusal)
	Settle(p mpattempt.Permit, s mppermit.Settlement)
}

// UpstreamClient sends attempts to upstreams.
type UpstreamClient interface {
	Do(ctx context.Context, call mpupstream.Call) (mpupstream.Response, *mpupstream.Failure)
	Stream(ctx context.Context, call mpupstream.Call, emit func(string) error) (mpupstream.Response, mpupstream.Usage, *mpupstream.Failure)
}

// Proposer commits commands to the replicated state.
type Proposer interface {
	Propose(ctx context.Context, c mpstate.Command, force time.Duration) (mpproposer.Reply, error)
}

// Membership provides this VM's current view and lease.
type Membership interface {
	Current() *mpview.View
	HasLease(now time.Time) bool
	AwaitLease(ctx context.Context, clock func() time.Time) error
}

// Config configures a Runner.
type Config struct {
	VM         string
	DC         string
	Boot       uint64
	Permits    PermitSource
	Upstreams  UpstreamClient
	Proposer   Proposer
	Membership Membership
	Metrics    *mpmetric.Set
	Logger     log.Logger
	Clock      func() time.Time
	// RetryRatio is the number of retries and hedges that each stage adds to the
	// retry budget of its pool.
	RetryRatio float64
}

var (
	_ PermitSource   = (*mpattempt.Broker)(nil)
	_ UpstreamClient = (*mpupstream.Client)(nil)
	_ Proposer       = (*mpproposer.Proposer)(nil)
)
