// Package mpload is an open-loop load generator. It acts as callers do: it asks
// the system for addresses, keeps them for the stated time, sends requests,
// resends what may be sent again, and checks every answer against its request
// and against the fakes' ledgers.
package mpload

import "time"

// Account is a client account of the load.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is the account's part of the requests.
	Share float64 `json:"share"`
}

// Entry is a catalogue entry of the load.
type Entry struct {
	Name string `json:"name"`
	// Share is the entry's part of the requests.
	Share float64 `json:"share"`
	// Plain entries get a body of their own instead of a model input.
	Plain bool `json:"plain,omitempty"`
	// Once entries need an idempotency key.
	Once   bool `json:"once,omitempty"`
	Stream bool `json:"stream,omitempty"`
	// DeadlineMS is the class's, in ms.
	DeadlineMS int `json:"deadline"`
	// Kind is that of the stage by which the ledger counts the entry.
	Kind string `json:"kind"`
}

// Profile describes a load.
type Profile struct {
	// Addresses are the callers' addresses known at first.
	Addresses []string  `json:"addresses"`
	Accounts  []Account `json:"accounts"`
	Entries   []Entry   `json:"entries"`
	// LedgerAddresses are the control addresses of the fakes.
	LedgerAddresses []string `json:"ledgers"`
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// MaxResends is how often a caller sends a request again.
	MaxResends int `json:"resend"`
	// Seed makes the sequence of requests repeatable.
	Seed uint64 `json:"seed"`
	// Duration is the time over which requests start.
	Duration time.Duration `json:"-"`
}
