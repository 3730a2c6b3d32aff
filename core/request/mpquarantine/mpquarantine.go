// Package mpquarantine finds out which requests crash the upstreams that answer them
// (queries of death), and keeps them apart from the others. It blames features that
// requests have in common: a part of their prompts, or their whole content if they are sent
// again. All VMs share the evidence as strikes of the replicated view.
//
// A feature rises by one level for each round of evidence: an upstream that ended under a
// request with it which was sent after the level before was known. Upstreams that end
// together, for whatever reason, so count as one round. A suspected feature is tried with
// one request at a time, over all VMs. An answer that begins after the last round clears the
// feature.
//
// Content is tried from its first round on, since only requests that are sent again have it
// in common, and few upstreams may be left when the next ones come.
package mpquarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/common/mpid"
)

const (
	// EvidenceTTL is how long evidence short of a conviction is kept.
	EvidenceTTL = 2 * time.Minute
	// ConvictionTTL is how long requests with a convicted feature are refused.
	ConvictionTTL = 5 * time.Minute
	// ProbationTTL is how long a feature that was convicted is a suspect after that: one more
	// crash convicts it again.
	ProbationTTL = time.Hour
	// TrialDelay is how long after a feature became suspect it is first tried. By then the
	// requests that were sent before have been answered, and the other VMs know.
	TrialDelay = 400 * time.Millisecond
	// minTrialPause and maxTrialPause limit the pause before a suspect is tried. Without it,
	// upstreams that end at the interval at which a request is sent again end in its trials.
	minTrialPause = 50 * time.Millisecond
	maxTrialPause = 150 * time.Millisecond
)

// TrialPause returns the pause of a request before it is sent as the trial of a suspect, for a
// random number in [0, 1).
func TrialPause(random float64) time.Duration {
	return minTrialPause + time.Duration(random*float64(maxTrialPause-minTrialPause))
}

// Level is how strongly a feature is believed to crash upstreams.
type Level int

const (
	// Clear means that nothing speaks against the feature.
	Clear Level = iota
	// Noted features have one round of evidence. Requests with a noted part are treated as any
	// other, those with noted content are tried.
	Noted
	// Suspect features are tried with one request at a time.
	Suspect
	// StrongSuspect features were tried once. The upstream ended, but without the head of an
	// answer or in the trial of noted content, so it may have ended for another reason.
	StrongSuspect
	// Convicted features have their requests refused.
	Convicted
)

// String returns the name that is used in logs.
func (l Level) String() string {
	switch l {
	case Noted:
		return "noted"
	case Suspect:
		return "suspect"
	case StrongSuspect:
		return "strong suspect"
	case Convicted:
		return "convicted"
	default:
		return "clear"
	}
}

// isSuspect reports whether the level is short of a conviction and beyond a first round.
func (l Level) isSuspect() bool { return l == Suspect || l == StrongSuspect }

// levelMask selects the bits of a strike's fingerprint that hold the level. The other bits
// are those of the feature.
const levelMask = 7

// Feature identifies something that several requests may have in common.
type Feature uint64

// PartFeature returns the feature of requests with the given part in their prompts.
func PartFeature(id string) Feature {
	return Feature(xxhash.Sum64String("part/"+id) &^ levelMask)
}

// ContentFeature returns the feature of requests whose content has the given hash.
func ContentFeature(hash uint64) Feature {
	return Feature(xxhash.Sum64String("content/"+mpid.Hex(hash)) &^ levelMask)
}

// String returns the feature in hexadecimal.
func (f Feature) String() string { return mpid.Hex(uint64(f)) }

// fingerprint identifies the strike for one round of evidence against f.
func (f Feature) fingerprint(level Level) uint64 { return uint64(f) | uint64(level) }

// Fingerprints identifies the strikes that raise f to level. All of them are made each time,
// so that none of a series is left alone when the feature is cleared meanwhile.
func (f Feature) Fingerprints(level Level) []uint64 {
	var out []uint64
	for i := Noted; i <= level; i++ {
		out = append(out, f.fingerprint(i))
	}
	return out
}

func splitFingerprint(n uint64) (Feature, Level) {
	return Feature(n &^ levelMask), Level(n & levelMask)
}

// Traits are the features of a request.
type Traits struct {
	// Parts are those of the prompt that other requests may share, in order.
	Parts   []Feature
	Content Feature
}

// narrowFirst returns all features, those that fewer requests have first.
func (t Traits) narrowFirst() []Feature {
	out := []Feature{t.Content}
	for i := len(t.Parts) - 1; i >= 0; i-- {
		out = append(out, t.Parts[i])
	}
	return out
}

// Finding is a feature and the level to which it has risen.
type Finding struct {
	Feature Feature
	Level   Level
}

// Verdict is the feature of a request with the highest level.
type Verdict struct {
	Finding
	// NeedsTrial is set if the request must be sent as the only one with the feature.
	NeedsTrial bool
	// Since is when this VM learned of the level.
	Since time.Time
	// Until is when a conviction ends; zero if that is not known.
	Until time.Time
}

// Crash is an upstream that ended before the answer of an attempt had begun.
type Crash struct {
	Upstream string
	SentAt   time.Time
	// HasHead is set if the head of an answer had arrived.
	HasHead bool
	// Trial is the feature that was tried with the attempt, if any.
	Trial  Feature
	Traits Traits
}
