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
	Limit     int `json:"limit"`
	ColdLimit int `json:"cold"`
	// WarmupAnswers is the number of answers after which it is warm; until then it says
	// that it is cold, and bears no more than Cold.
	WarmupAnswers int `json:"warmup"`
	// ServiceMS is the time of an answer; for engines, of each token.
	ServiceMS float64 `json:"service"`
	// PrefillMS is the time of each uncached prompt token of an engine.
	PrefillMS float64 `json:"prefill,omitempty"`
	// SlowRatio makes a part of the answers ten times slower.
	SlowRatio float64 `json:"spread,omitempty"`
	// ErrorRatio is the part of the answers that fail with status 500.
	ErrorRatio float64 `json:"errors,omitempty"`
	// CacheBlocks is the number of prompt blocks that an engine keeps.
	CacheBlocks int `json:"cache,omitempty"`
	// RestartDelayMS is how long it stays away after a crash.
	RestartDelayMS int `json:"down,omitempty"`
	// HideCold hides the cold state from answers, as some engines do.
	HideCold bool `json:"mute,omitempty"`
	// CheckFence makes it refuse orders with an old fencing number.
	CheckFence bool `json:"fence,omitempty"`
	// LinkDelayMS is the one-way delay of the link to it.
	LinkDelayMS float64 `json:"delay,omitempty"`
}
