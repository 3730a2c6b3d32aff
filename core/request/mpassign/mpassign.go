// Package mpassign decides which engine of a pool gets each request of a whole fleet. A Pool is
// the state of the pool's owner: a model of what waits and runs at each engine, of the prompt
// parts that it has cached and of its speed, derived from what was assigned and from the times
// to the first token that VMs report.
package mpassign

import (
	"time"

	"mustardpost.org/core/common/mperror"
)

const (
	// maxParts, maxTokens, maxListed and maxTimeLeft bound what a request may say. They are far
	// above what engines take.
	maxParts    = 64
	maxTokens   = 16 << 20
	maxListed   = 4096
	maxTimeLeft = time.Hour
	// maxFlights bounds the requests that are assigned at a time, and so the memory of a Pool.
	maxFlights = 1 << 16
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	// Hash identifies the content of the part.
	Hash   uint64
	Tokens int
}

// Request is a request for which an engine is chosen.
type Request struct {
	// Token identifies the assignment. The VM chooses it at random, so that it may end an
	// assignment whose reply it did not get.
	Token uint64
	VM    string
	// Parts lists the shared parts of the prompt in order. OwnTokens is the rest of it, which no
	// other request has.
	Parts     []Part
	OwnTokens int
	// OutputTokens is the number of tokens that the engine is expected to generate.
	OutputTokens int
	// Arrival is when the request will reach the engine, and Deadline when it has ended at the
	// latest.
	Arrival  time.Time
	Deadline time.Time
	// Exclude lists engines that the request must not go to: those that it was sent to before, and
	// those that its VM does not use at present.
	Exclude []string
	// Versions lists the versions of software that may serve the request; nil for all.
	Versions []string
}

// Check returns an error that wraps ErrInvalid if the request is implausible.
func (r *Request) Check(now time.Time) error {
	tokens := 0
	for _, part := range r.Parts {
		if part.Tokens < 0 || part.Tokens > maxTokens {
			return mperror.Wrap(mperror.ErrInvalid, "part of %d tokens", part.Tokens)
		}
		tokens += part.Tokens
	}
	switch {
	case r.Token == 0 || r.VM == "":
		return mperror.Wrap(mperror.ErrInvalid, "no token or VM")
	case len(r.Parts) > maxParts || tokens > maxTokens:
		return mperror.Wrap(mperror.ErrInvalid, "%d parts with %d tokens", len(r.Parts), tokens)
	case r.OwnTokens < 0 || r.OwnTokens > maxTokens || r.OutputTokens < 0 || r.OutputTokens > maxTokens:
		return mperror.Wrap(mperror.ErrInvalid, "%d own and %d output tokens", r.OwnTokens, r.OutputTokens)
	case len(r.Exclude) > maxListed || len(r.Versions) > maxListed:
		return mperror.Wrap(mperror.ErrInvalid, "%d engines and %d versions listed", len(r.Exclude), len(r.Versions))
	case r.Arrival.Sub(now) > maxTimeLeft || r.Deadline.Sub(now) > maxTimeLeft || !r.Deadline.After(now):
		return mperror.Wrap(mperror.ErrInvalid, "arrives in %v, ends in %v", r.Arrival.Sub(now), r.Deadline.Sub(now))
	}
	return nil
}

// Assignment is the engine that was chosen for a request.
type Assignment struct {
	Engine string
	// Expected is the expected time from the arrival to the first token.
	Expected time.Duration
	// CachedTokens is the number of tokens of the prompt that the engine need not prefill.
	CachedTokens int
}

// End tells how the request of an assignment ended.
type End int

const (
	// Done means that the engine answered the request.
	Done End = iota
	// Started means that the first token arrived. The request goes on.
	Started
	// Unused means that the request was not sent.
	Unused
	// Refused means that the engine stated that it did not run the request.
	Refused
	// Failed means that the connection was lost or that the response was missing or invalid.
	Failed
	// Cancelled means that the VM gave the request up, which says nothing about the engine.
	Cancelled
	// Gone means that another process answered at the engine's address.
	Gone
)

// Outcome is what a VM reports about an assigned request.
type Outcome struct {
	End End
	// FirstToken is the time from the sending of the request to its first token; 0 if unknown.
	FirstToken time.Duration
	// Pace is how many times longer than at an engine of the usual speed work takes there at present,
	// as the engine stated itself; 0 if unknown.
	Pace float64
}

// Row describes an engine.
type Row struct {
	ID      string
	Version string
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// ColdUntil is the end of the engine's cold start; zero if it is warm. Until then it gets
	// requests of ColdVMs only, one in ColdInterval of each: these may also choose it themselves.
	ColdUntil time.Time
	ColdVMs   []string
}

// Held is a request that a VM has sent or will send to an engine, as it reports to a new owner.
type Held struct {
	Token        uint64
	Engine       string
	Parts        []Part
	OwnTokens    int
	OutputTokens int
	// HasStarted is set if its first token has arrived.
	HasStarted bool
	// Ended is set for a request that has ended, which tells what the engine has cached.
	Ended bool
	// Arrival and Deadline are as in Request.
	Arrival  time.Time
	Deadline time.Time
}

func (h *Held) check(now time.Time) error {
	r := Request{Token: h.Token, VM: "vm", Parts: h.Parts, OwnTokens: h.OwnTokens, OutputTokens: h.OutputTokens, Arrival: h.Arrival, Deadline: h.Deadline}
	if h.Ended {
		r.Deadline = now.Add(1)
	}
	return r.Check(now)
}
