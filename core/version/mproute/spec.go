// Package mproute holds the routing plan: which hosts and path prefixes map to
// which pools, which accounts may call them, and which requests may be retried.
// A Table is validated as a whole when it is created and is immutable.
package mproute

import "time"

// Kind tells whether the requests of a route may be retried and how they are
// answered.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "once"
	// Stream requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Share is the weight of a pool in the traffic split of a route.
type Share struct {
	Pool   string
	Weight float64
}

// StageSpec describes a stage that must complete before a request can run.
type StageSpec struct {
	Pool string
	// After lists the indexes of the stages whose results this stage reads.
	After []int
	// ResultBytes is the expected size of one result of the stage.
	ResultBytes int
}

// RouteSpec describes a route.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or the first event of
	// a stream, meets the route's latency objective.
	LatencyTarget time.Duration
	// GapTarget is the longest gap between events at which a stream still
	// counts as on time.
	GapTarget time.Duration
	Priority  int
	Shares    []Share
	// MaxAttempts is the maximum number of upstreams that may run a request.
	// Attempts that an upstream states that it did not run are not counted.
	MaxAttempts int
	Stages      []StageSpec
	// Public routes require no API key.
	Public    bool
	Resumable bool
}

// EngineSpec describes the upstreams of a pool of model engines.
type EngineSpec struct {
	// KVCacheTokens is the capacity of an engine's KV cache, in tokens.
	KVCacheTokens int
	Slots         int
}

// BatchSpec describes the upstreams of a pool that processes pieces in batches.
type BatchSpec struct {
	// MaxPieces is the maximum number of pieces in one call.
	MaxPieces int
	// CallTime is the expected fixed time of a call, and PieceTime the expected
	// additional time for each piece.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemoryBytes is the memory that an upstream has for results.
	ResultMemoryBytes int
	// ResultRetention is how long a result is kept if it is not freed.
	ResultRetention time.Duration
	// MaxQueuedCalls is the maximum number of calls queued at an upstream.
	MaxQueuedCalls int
}

// CallDuration returns the expected duration of a call with n pieces, or of a
// full call if n exceeds MaxPieces.
func (b BatchSpec) CallDuration(n int) time.Duration {
	return b.CallTime + time.Duration(min(n, b.MaxPieces))*b.PieceTime
}

// PoolSpec describes a pool of upstreams that run the same service.
type PoolSpec struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that an upstream accepts
	// from all VMs together.
	MaxConns int
	// ColdDuration is how long an upstream stays cold after it starts.
	ColdDuration time.Duration
	// ColdRate is the maximum rate of a cold upstream, in requests per second.
	ColdRate float64
	Engine   *EngineSpec
	Batch    *BatchSpec
}

// AccountSpec describes the account of a caller.
type AccountSpec struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless nil.
	Priority *int
}

// Limits holds the limits on requests from callers.
type Limits struct {
	HeaderBytes int
	// BodyBytes is nil if the plan does not limit bodies. A limit of 0 allows only empty ones.
	BodyBytes     *int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec describes a complete routing plan.
type Spec struct {
	Version uint64
	Routes  []RouteSpec
	Pools   []PoolSpec
	// Accounts is nil if the plan lists no accounts, so that requests need no key. An empty list
	// allows requests on public routes only.
	Accounts []AccountSpec
	Limits   Limits
}
