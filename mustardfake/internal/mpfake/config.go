// Package mpfake implements fake upstreams: model engines, encoders, retrievers,
// rerankers and plain services. They simulate cold start, overload, prefix
// caches and crashes, and record every request they run in a ledger.
package mpfake

import "mustardpost.org/core/version/mpcatalogue"

// Config configures one fake upstream.
type Config struct {
	Name    string                `json:"name"`
	Kind    mpcatalogue.StageKind `json:"kind"`
	Address string                `json:"address"`
	// Limit is the number of concurrent requests above which answers slow down
	// in proportion. While the upstream is cold, requests above ColdLimit are
	// rejected with status 503.
	Limit     int `json:"limit"`
	ColdLimit int `json:"cold"`
	// WarmupAnswers is the number of answers after which the upstream is warm.
	// Until then it reports itself as cold and ColdLimit applies.
	WarmupAnswers int `json:"warmup"`
	// ServiceMS is the mean service time of an answer; for engines, of each token.
	ServiceMS float64 `json:"service"`
	// PrefillMS is the time that an engine takes for each uncached prompt token.
	PrefillMS float64 `json:"prefill,omitempty"`
	// SlowRatio is the fraction of answers (of tokens for engines) that take ten
	// times longer.
	SlowRatio float64 `json:"spread,omitempty"`
	// ErrorRatio is the fraction of answers that fail with status 500.
	ErrorRatio float64 `json:"errors,omitempty"`
	// CacheBlocks is the capacity of an engine's prefix cache in prompt blocks.
	CacheBlocks int `json:"cache,omitempty"`
	// RestartDelayMS is the time from a crash to the restart.
	RestartDelayMS int `json:"down,omitempty"`
	// HideCold omits the cold state from answers, as some engines do.
	HideCold bool `json:"mute,omitempty"`
	// CheckFence rejects orders whose fencing number is older than the last one.
	CheckFence bool `json:"fence,omitempty"`
	// LinkDelayMS is the one-way delay of the link to the upstream.
	LinkDelayMS float64 `json:"delay,omitempty"`
}
