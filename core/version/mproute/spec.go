// Package mproute holds a routing plan: which hosts and path prefixes lead to
// which pools, which accounts may call them, and what may be repeated. A Table
// is checked as a whole when it is made, and never changes.
package mproute

import "time"

// Kind tells what a route's requests allow.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "once"
	// Stream requests are answered by events. They run at most once unless
	// their route is resumable.
	Stream Kind = "stream"
)

// Share is one pool's part of a route.
type Share struct {
	Pool   string
	Weight float64
}

// StageSpec is work that is done before a request can run.
type StageSpec struct {
	Pool string
	// After lists the stages whose results this one reads.
	After []int
	// ResultBytes is the expected size of one result.
	ResultBytes int
}

// RouteSpec describes a route.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or a stream's first event, earns full credit.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between the events of a stream that is on time.
	GapTarget time.Duration
	Priority  int
	Shares    []Share
	// MaxAttempts is the largest number of upstreams that one request may be sent to.
	MaxAttempts int
	Stages      []StageSpec
	// Public routes need no key.
	Public    bool
	Resumable bool
}

// EngineSpec describes the upstreams of a pool of model engines.
type EngineSpec struct {
	// KVCacheTokens is the memory of one engine.
	KVCacheTokens int
	Slots         int
}

// BatchSpec describes the upstreams of a pool that makes pieces in batches.
type BatchSpec struct {
	// MaxPieces is the largest number of pieces in one call.
	MaxPieces int
	// CallTime and Item are the expected times of a call and of each of its pieces.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemoryBytes is the memory for results, in bytes.
	ResultMemoryBytes int
	// ResultRetention is how long a result is kept that nobody frees.
	ResultRetention time.Duration
	// MaxQueuedCalls is the number of calls that may wait at one upstream.
	MaxQueuedCalls int
}

// CallDuration returns how long an upstream is expected to take for one call with n
// pieces, or for a full one where n does not fit.
func (b BatchSpec) CallDuration(n int) time.Duration {
	return b.CallTime + time.Duration(min(n, b.MaxPieces))*b.PieceTime
}

// PoolSpec describes a pool of upstreams of one service.
type PoolSpec struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one upstream accepts from all VMs.
	MaxConns int
	// ColdDuration is how long an upstream stays cold after its start.
	ColdDuration time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears.
	ColdRate float64
	Engine   *EngineSpec
	Batch    *BatchSpec
}

// AccountSpec describes a client account.
type AccountSpec struct {
	Name string
	Keys []string
	// Priority goes before that of the route; nil keeps the route's.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec describes a whole plan.
type Spec struct {
	Version  uint64
	Routes   []RouteSpec
	Pools    []PoolSpec
	Accounts []AccountSpec
	Limits   Limits
}
