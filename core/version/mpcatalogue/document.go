// Package mpcatalogue holds the configuration declared by operators: classes,
// data centres, pools, upstreams, accounts and entries. A Catalogue is
// immutable; Apply returns a validated copy, or an error that names the invalid
// row.
package mpcatalogue

import "slices"

// StageKind is the protocol spoken by the upstreams of a pool.
type StageKind string

const (
	// Encode is POST /v1/embeddings.
	Encode StageKind = "encode"
	// Retrieve is POST /v1/search.
	Retrieve StageKind = "retrieve"
	// Rerank is POST /v1/rerank.
	Rerank StageKind = "rerank"
	// Generate is POST /v1/completions, streamed as server-sent events.
	Generate StageKind = "generate"
	// Plain is any HTTP call; request and response bodies pass through unchanged.
	Plain StageKind = "plain"
)

// Class is a service class: a deadline and a priority for requests.
type Class struct {
	Name string `json:"name"`
	// Deadline is the maximum time to the complete response, in ms.
	Deadline int `json:"deadline"`
	// Priority orders the requests of one account; higher values go first. It
	// is also passed to model engines.
	Priority int `json:"priority"`
}

// Link describes the network path from one data centre to another.
type Link struct {
	To string `json:"to"`
	// Cost is the relative cost of sending one byte.
	Cost float64 `json:"cost"`
	// Delay is the one-way delay in ms.
	Delay int `json:"delay"`
}

// DC is a data centre.
type DC struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Links  []Link `json:"links,omitempty"`
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string    `json:"name"`
	Kind StageKind `json:"kind"`
	// Model is the model name sent to model engines.
	Model string `json:"model,omitempty"`
	// Limit is the maximum number of concurrent attempts at a warm upstream.
	Limit int `json:"limit"`
	// ColdLimit is the maximum number of concurrent attempts at an upstream
	// during its cold start; defaults to 1.
	ColdLimit int `json:"cold,omitempty"`
	// RampSuccesses is the number of successful attempts that raise the limit
	// of a cold upstream by one; defaults to 1.
	RampSuccesses int `json:"ramp,omitempty"`
	// Report is the path of the load report. If empty, load is not polled.
	Report string `json:"report,omitempty"`
	// Echo is set if responses repeat X-Request-Id, so that a response to
	// another request can be detected.
	Echo bool `json:"echo,omitempty"`
	// Fence is set if the upstreams refuse an order with an outdated fencing number.
	Fence bool `json:"fence,omitempty"`
}

// Upstream is a server of a pool.
type Upstream struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	DC   string `json:"dc"`
	// Address is an IP address and a port.
	Address string `json:"address"`
	// VM is the platform's name for the upstream's machine. It is matched
	// against the platform's list of leaving VMs.
	VM string `json:"vm,omitempty"`
	// Limit and ColdLimit override the values of the pool if not 0.
	Limit     int `json:"limit,omitempty"`
	ColdLimit int `json:"cold,omitempty"`
}

// Account identifies a caller by its key and limits its requests.
type Account struct {
	Name string `json:"name"`
	// KeyHash is the hex SHA-256 digest of the account's key.
	KeyHash string `json:"key"`
	// Weight is the account's relative share under overload; defaults to 1.
	Weight int `json:"weight,omitempty"`
	// Limit is the maximum number of the account's requests in flight per VM;
	// 0 means no limit for the account.
	Limit int `json:"limit,omitempty"`
}

// Stage is one step of an entry.
type Stage struct {
	Pool string `json:"pool"`
	// Once marks a call that must not run more than once.
	Once bool `json:"once,omitempty"`
	// Path and Method of the HTTP call, for stages on plain pools.
	Path   string `json:"path,omitempty"`
	Method string `json:"method,omitempty"`
	// MaxTokens is the maximum length of a generated response, in tokens.
	MaxTokens int `json:"tokens,omitempty"`
	// Top is the maximum number of documents that retrieval or reranking returns.
	Top int `json:"top,omitempty"`
	// Hedge allows a second, hedged attempt if the first is slow.
	Hedge bool `json:"hedge,omitempty"`
}

// Entry is a pipeline of stages that callers can send requests to.
type Entry struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Class string `json:"class"`
	// Accounts lists the accounts that may call the entry; nil allows all, an empty list none.
	Accounts []string `json:"accounts,omitzero"`
	// Limit is the maximum number of the entry's requests in flight per VM;
	// 0 means no limit.
	Limit  int     `json:"limit,omitempty"`
	Stages []Stage `json:"stages"`
}

// HasOnceStage reports whether any stage of the entry must not run more than once.
func (e Entry) HasOnceStage() bool {
	return slices.ContainsFunc(e.Stages, func(s Stage) bool { return s.Once })
}

// Document is the external form of a catalogue, or a part of one, as written
// by operators.
type Document struct {
	Classes   []Class    `json:"classes,omitempty"`
	DCs       []DC       `json:"dcs,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Accounts  []Account  `json:"accounts,omitempty"`
	Entries   []Entry    `json:"entries,omitempty"`
}

// Names lists the names of rows to drop.
type Names struct {
	Classes   []string `json:"classes,omitempty"`
	DCs       []string `json:"dcs,omitempty"`
	Pools     []string `json:"pools,omitempty"`
	Upstreams []string `json:"upstreams,omitempty"`
	Accounts  []string `json:"accounts,omitempty"`
	Entries   []string `json:"entries,omitempty"`
}

// Edit inserts or replaces the rows in Put and deletes the rows in Drop.
type Edit struct {
	Put  Document `json:"put"`
	Drop Names    `json:"drop"`
}
