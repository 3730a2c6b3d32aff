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

// Part is a piece of a prompt that requests may share.
type Part struct {
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
	// Key is the caller's key, if it sent one.
	Key string
	// Left is how long the caller waits; 0 when it did not say.
	Left time.Duration
	// Prompt lists the parts of the prompt, in order.
	Prompt []Part
	// Output is the largest number of tokens that the caller takes.
	Output int
	// Pieces holds the number of pieces of each stage; PieceKey names the work.
	Pieces   []int
	PieceKey string
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request  *Request
	Upstream mplist.Row
	Left     time.Duration
	// Account names the caller's account; empty where the route is public.
	Account  string
	Priority int
	// Inputs are the results that the upstream reads; nil where the route has no stages.
	Inputs    []string
	LastEvent string
}

// Dialect translates attempts and answers.
type Dialect interface {
	// Header returns the header fields to send with a.
	Header(a Attempt) http.Header
	// NotRun reports whether the answer states that the request has not run.
	NotRun(status int, h http.Header) bool
	// Answers reports whether the answer with header h belongs to the request.
	Answers(r *Request, h http.Header) bool
	// LacksInputs reports whether the answer states that results of stages are gone.
	LacksInputs(status int, h http.Header) bool
}

// Maker makes the pieces of stages.
type Maker interface {
	Make(ctx context.Context, pool string, ask mpbatch.JobSpec) ([]mpbatch.Result, error)
	Free(pool string, handles []string)
	// Backlog returns how long a new piece is expected to wait at pool.
	Backlog(now time.Time, pool string, priority int) time.Duration
}

// State is what is in force at this VM.
type State interface {
	Table() *mproute.Table
	// Usable returns the upstreams that may get new work.
	Usable() *mplist.Usable
}
