// Package mppass serves a caller's request by passing it on unchanged to an
// upstream of its route, after the stages that the route names. Streams are
// passed on as they come and resumed elsewhere where their route allows it.
package mppass

import (
	"context"
	"net/http"
	"time"

	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request as its adapter decoded it.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the request target as the caller sent it.
	Path   string
	Target string
	Header http.Header
	Body   []byte
	// APIKey is the caller's key, if it sent one.
	APIKey string
	// Timeout is how long the caller waits; 0 when it did not say.
	Timeout time.Duration
	// Prompt lists the parts of the prompt, in order.
	Prompt []PromptPart
	// MaxOutputTokens is the largest number of tokens that the caller takes.
	MaxOutputTokens int
	// Pieces holds the number of pieces of each stage; PieceKey names the work.
	Pieces   []int
	PieceKey string
	// LastEventID is the id of the last event that the caller has.
	LastEventID string
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request  *Request
	Upstream mplist.Row
	Timeout  time.Duration
	// Account names the caller's account; empty where the route is public.
	Account  string
	Priority int
	// Inputs are the results that the upstream reads; nil where the route has no stages.
	Inputs      []string
	LastEventID string
}

// Dialect translates attempts and answers.
type Dialect interface {
	// Header returns the header fields to send with a.
	Header(a Attempt) http.Header
	// NotRun reports whether the answer states that the request has not run.
	NotRun(status int, h http.Header) bool
	// MatchesRequest reports whether the answer with header h belongs to the request.
	MatchesRequest(r *Request, h http.Header) bool
	// LacksInputs reports whether the answer states that results of stages are gone.
	LacksInputs(status int, h http.Header) bool
}

// StageExecutor makes the pieces of stages.
type StageExecutor interface {
	Make(ctx context.Context, pool string, ask mpbatch.Ask) ([]mpbatch.Result, error)
	Free(pool string, handles []string)
	// Backlog returns how long a new piece is expected to wait at pool.
	Backlog(now time.Time, pool string, priority int) time.Duration
}

// RoutingState is what is in force at this VM.
type RoutingState interface {
	Table() *mproute.Table
	// Usable returns the upstreams that may get new work.
	Usable() *mplist.Usable
}
