// Package mpload implements an open-loop load generator. Like a real caller, it
// asks the system for addresses, caches them for the stated time, sends requests
// and resends those that may be sent again. It checks every answer against its
// request and against the ledgers of the fake upstreams.
package mpload

import "time"

// Account is a client account that the load uses.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is the account's relative share of the requests.
	Share float64 `json:"share"`
}

// Entry is a catalogue entry that the load uses.
type Entry struct {
	Name string `json:"name"`
	// Share is the entry's relative share of the requests.
	Share float64 `json:"share"`
	// Plain entries take an opaque body instead of a model input.
	Plain bool `json:"plain,omitempty"`
	// Once entries require an idempotency key.
	Once   bool `json:"once,omitempty"`
	Stream bool `json:"stream,omitempty"`
	// DeadlineMS is the deadline of the entry's class.
	DeadlineMS int `json:"deadline"`
	// Kind is the kind of the stage under which ledgers count the entry.
	Kind string `json:"kind"`
}

// Profile describes the load of a run.
type Profile struct {
	// Addresses are the caller addresses known at the start.
	Addresses []string  `json:"addresses"`
	Accounts  []Account `json:"accounts"`
	Entries   []Entry   `json:"entries"`
	// LedgerAddresses are the control addresses of the fake upstreams.
	LedgerAddresses []string `json:"ledgers"`
	// Rate is the number of requests per second.
	Rate float64 `json:"rate"`
	// MaxResends is the maximum number of times that a caller resends a request.
	MaxResends int `json:"resend"`
	// Seed makes the sequence of requests reproducible.
	Seed uint64 `json:"seed"`
	// Duration is the period in which requests are started.
	Duration time.Duration `json:"-"`
}
