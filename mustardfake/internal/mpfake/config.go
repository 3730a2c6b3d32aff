// Package mpfake is a stand-in for upstreams: model engines, encoders,
// retrievers, rerankers and plain services, with cold start, overload, prefix
// caches, crashes and a ledger of everything they ran.
package mpfake

import "mustardpost.org/core/version/mpcatalogue"

// Config describes one fake upstream. Times are in ms.
type Config struct {
	Name    string                `json:"name"`
	Kind    mpcatalogue.StageKind `json:"kind"`
	Address string                `json:"address"`
	// Limit is what it bears at once when warm, Cold when cold. Over Cold it
	// falls over; over Limit it slows down in proportion.
	Limit int `json:"limit"`
	Cold  int `json:"cold"`
	// Warmup is the number of answers after which it is warm; until then it says
	// that it is cold, and bears no more than Cold.
	Warmup int `json:"warmup"`
	// Service is the time of an answer; for engines, of each token.
	Service float64 `json:"service"`
	// Prefill is the time of each uncached prompt token of an engine.
	Prefill float64 `json:"prefill,omitempty"`
	// Spread makes a part of the answers ten times slower.
	Spread float64 `json:"spread,omitempty"`
	// Errors is the part of the answers that fail with status 500.
	Errors float64 `json:"errors,omitempty"`
	// Cache is the number of prompt blocks that an engine keeps.
	Cache int `json:"cache,omitempty"`
	// Down is how long it stays away after a crash.
	Down int `json:"down,omitempty"`
	// Mute hides the cold state from answers, as some engines do.
	Mute bool `json:"mute,omitempty"`
	// Fence makes it refuse orders with an old fencing number.
	Fence bool `json:"fence,omitempty"`
	// Delay is the one-way delay of the link to it.
	Delay float64 `json:"delay,omitempty"`
}
