// Package mpwire defines the messages between the processes of a deployment.
package mpwire

import (
	"math"

	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/request/mpquota"
)

// EncodeLimits returns the messages for entries.
func EncodeLimits(entries []mpquota.Entry) []*Limit {
	out := make([]*Limit, len(entries))
	for i, e := range entries {
		out[i] = &Limit{Upstream: e.Upstream, Rate: e.Rate, AgeMs: mptime.Millis(e.Age)}
	}
	return out
}

// DecodeLimits returns the entries of messages. It skips rates that no VM sends.
func DecodeLimits(limits []*Limit) []mpquota.Entry {
	var out []mpquota.Entry
	for _, l := range limits {
		if rate := l.GetRate(); rate >= 0 && !math.IsInf(rate, 1) {
			out = append(out, mpquota.Entry{Upstream: l.GetUpstream(), Rate: rate, Age: mptime.FromMillis(l.GetAgeMs())})
		}
	}
	return out
}
