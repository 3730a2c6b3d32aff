// Package mpcatalogue holds what operators declare: classes, data centres,
// pools, upstreams, accounts and entries. A Catalogue is immutable; Apply
// returns a new one that passed every check, or an error that names the row.
package mpcatalogue

import "slices"

// StageKind tells which protocol a pool's upstreams speak.
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
	// Plain is any HTTP call whose body and answer pass through unchanged.
	Plain StageKind = "plain"
)

// Class is a service class.
type Class struct {
	Name string `json:"name"`
	// Deadline is the longest time for a whole answer, in ms.
	Deadline int `json:"deadline"`
	// Priority orders requests of one account; higher goes first. Engines get it too.
	Priority int `json:"priority"`
}

// Link describes the way from one data centre to another.
type Link struct {
	To string `json:"to"`
	// Cost is the relative price of a byte.
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
	// Model is passed to model engines.
	Model string `json:"model,omitempty"`
	// Limit is the number of attempts that a warm upstream bears at once.
	Limit int `json:"limit"`
	// ColdLimit is the number that an upstream bears in cold start; 1 if absent.
	ColdLimit int `json:"cold,omitempty"`
	// RampSuccesses is the number of successes that raise a cold limit by one; 1 if absent.
	RampSuccesses int `json:"ramp,omitempty"`
	// Report is the path of the load report; not polled when empty.
	Report string `json:"report,omitempty"`
	// Echo tells that answers repeat X-Request-Id, so that crossed ones show.
	Echo bool `json:"echo,omitempty"`
	// Fence tells that the upstreams refuse an order with an old fencing number.
	Fence bool `json:"fence,omitempty"`
}

// Upstream is one server of a pool.
type Upstream struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	DC   string `json:"dc"`
	// Address is an IP number and a port.
	Address string `json:"address"`
	// VM is the platform's name of the machine, for its list of leaving VMs.
	VM string `json:"vm,omitempty"`
	// Limit and Cold replace the pool's numbers when not 0.
	Limit     int `json:"limit,omitempty"`
	ColdLimit int `json:"cold,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// KeyHash is the hex SHA-256 of the account's key.
	KeyHash string `json:"key"`
	// Weight is the account's share against others under overload; 1 if absent.
	Weight int `json:"weight,omitempty"`
	// Limit bounds its requests in flight at one VM; 0 is no bound of its own.
	Limit int `json:"limit,omitempty"`
}

// Stage is one step of an entry.
type Stage struct {
	Pool string `json:"pool"`
	// Once marks a call that must not be repeated.
	Once bool `json:"once,omitempty"`
	// Path and Method are those of a plain call.
	Path   string `json:"path,omitempty"`
	Method string `json:"method,omitempty"`
	// MaxTokens bounds a generated answer.
	MaxTokens int `json:"tokens,omitempty"`
	// Top bounds the documents that retrieval or reranking passes on.
	Top int `json:"top,omitempty"`
	// Hedge allows a second attempt when the first is slow.
	Hedge bool `json:"hedge,omitempty"`
}

// Entry is a pipeline that callers may post to.
type Entry struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Class string `json:"class"`
	// Accounts lists who may call; everyone when empty.
	Accounts []string `json:"accounts,omitempty"`
	// Limit bounds the entry's requests in flight at one VM; 0 is none.
	Limit  int     `json:"limit,omitempty"`
	Stages []Stage `json:"stages"`
}

// HasOnceStage reports whether a stage of the entry must not be repeated.
func (e Entry) HasOnceStage() bool {
	return slices.ContainsFunc(e.Stages, func(s Stage) bool { return s.Once })
}

// Document is a catalogue, or a part of one, as operators write it.
type Document struct {
	Classes   []Class    `json:"classes,omitempty"`
	DCs       []DC       `json:"dcs,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Accounts  []Account  `json:"accounts,omitempty"`
	Entries   []Entry    `json:"entries,omitempty"`
}

// Names lists rows to drop.
type Names struct {
	Classes   []string `json:"classes,omitempty"`
	DCs       []string `json:"dcs,omitempty"`
	Pools     []string `json:"pools,omitempty"`
	Upstreams []string `json:"upstreams,omitempty"`
	Accounts  []string `json:"accounts,omitempty"`
	Entries   []string `json:"entries,omitempty"`
}

// Edit replaces or adds the rows in Put and removes those in Drop.
type Edit struct {
	Put  Document `json:"put"`
	Drop Names    `json:"drop"`
}
