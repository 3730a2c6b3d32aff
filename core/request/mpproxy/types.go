// Package mpproxy is a reverse proxy. It runs the stages that a request's route
// defines and then forwards the request unchanged to an upstream. Streams are
// forwarded as they arrive and, if the route allows it, resumed at another
// upstream after a failure.
package mpproxy

import (
	"context"
	"net/http"
	"time"

	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// PromptPart is a section of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request as decoded by the adapter.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path selects the route. Target is the request target as sent by the caller.
	Path   string
	Target string
	// HTTP10 is set if the caller speaks HTTP/1.0 and so does not understand chunks.
	HTTP10 bool
	Header http.Header
	Body   []byte
	// APIKey identifies the caller's account; empty if the caller sent none.
	APIKey string
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// MaxOutputTokens is the maximum number of output tokens that the caller accepts.
	MaxOutputTokens int
	// Pieces is the number of pieces of each stage. PieceKey identifies the work of
	// the stages that have no inputs.
	Pieces   []int
	PieceKey string
	// LastEventID is the ID of the last event that the caller received.
	LastEventID string
	// Resumes is the ID of the request with which the caller received the first event of a
	// stream that it resumes.
	Resumes string
}

// Attempt is one try to send a request to an upstream.
type Attempt struct {
	Request  *Request
	Upstream mplist.Row
	Timeout  time.Duration
	// Account is the name of the caller's account; empty for public routes.
	Account  string
	Priority int
	// Inputs are the handles of the stage results that the upstream reads; nil if
	// the route has no stages.
	Inputs      []string
	LastEventID string
}

// Dialect translates attempts and responses to and from the upstreams' protocol.
type Dialect interface {
	// Header returns the header fields of the upstream request for a.
	Header(a Attempt) http.Header
	// NotRun reports whether the response states that the request has not run.
	NotRun(status int, h http.Header) bool
	// MatchesRequest reports whether the response with header h belongs to r. If the connection
	// is reused, upstreams may have written a response to an earlier request once more.
	MatchesRequest(r *Request, h http.Header, reused bool) bool
	// LacksInputs reports whether the response states that stage results no longer
	// exist.
	LacksInputs(status int, h http.Header) bool
	// IsOtherProcess reports whether the response says that another process than the upstream
	// of the attempt listens at its address.
	IsOtherProcess(status int) bool
	// Notice returns what the response says of the upstream, to this VM alone.
	Notice(status int, h http.Header) mpnotice.Notice
	// RateLimit returns what the response says of the rate that the upstream takes.
	RateLimit(status int, h http.Header) mpquota.Statement
	// Load returns what the response says of the upstream's load and speed.
	Load(status int, h http.Header) mpspeed.Load
}

// Quotas keeps the rates that upstreams set for all VMs together.
type Quotas interface {
	// Observe records what the answer to a request that was sent at sentAt says.
	Observe(sentAt time.Time, upstream string, s mpquota.Statement)
	// Rate returns the limit that an upstream has named, in requests per second. It returns
	// false if there is none.
	Rate(upstream string) (float64, bool)
	// Take asks for one request to an upstream at a rate that holds for all VMs together. It
	// returns 0 if it is granted, and otherwise when to ask again.
	Take(ctx context.Context, upstream string, rate float64) time.Duration
}

// Origins keeps which software began the streams that callers may resume.
type Origins interface {
	// Note records the origin of a stream at VMs that outlive this one, for ttl. It returns when
	// enough of them have it, or when that cannot be awaited.
	Note(ctx context.Context, key mporigin.Key, o mporigin.Origin, ttl time.Duration)
	// Find returns the origin of a stream, which is unknown if several streams have the same
	// key. It returns false if no VM is found that has recorded it.
	Find(ctx context.Context, key mporigin.Key) (mporigin.Origin, bool)
	// Sole returns the version of a pool's software if the pool is known to have had no other
	// one in the last span, and no other VM has recorded an origin of the stream.
	Sole(ctx context.Context, key mporigin.Key, pool string, span time.Duration) (string, bool)
}

// StageExecutor runs the pieces of stages.
type StageExecutor interface {
	Make(ctx context.Context, pool string, spec mpbatch.JobSpec) ([]mpbatch.Result, error)
	Free(pool string, handles []string)
	// Backlog returns the expected queueing time of a new piece at pool.
	Backlog(now time.Time, pool string, priority int) time.Duration
}

// RoutingState provides the routing data that is in force at this VM.
type RoutingState interface {
	Table() *mproute.Table
	// Usable returns the upstreams that accept new work.
	Usable() *mplist.Usable
}
