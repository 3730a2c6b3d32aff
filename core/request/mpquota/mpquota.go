// Package mpquota keeps the rates that upstreams set for all VMs together: a limit that an
// upstream names in its answers, and that of its cold start. Limits hold what the upstreams
// named, and VMs merge theirs with those of the others. Grants are the requests that a VM
// permits, for all VMs, to the upstreams whose rate it keeps.
package mpquota

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// minRate is the rate per second at which an upstream that takes less, or nothing, still
	// gets requests, since only an answer tells that its limit has ended.
	minRate = 0.1
	// maxRate is the rate per second from which a limit is none: it is far above what an
	// upstream gets.
	maxRate = 10_000.0
)

// Statement is what an answer says of the rate that its upstream takes.
type Statement struct {
	// Rate is the requests per second that the upstream takes from all VMs together; 0 if it
	// names no limit.
	Rate float64
	// IsValid is false for an answer that does not say whether there is a limit.
	IsValid bool
}

// ParseStatement returns the statement of an answer with the given values of the field in
// which upstreams name their limit, in requests per second. The lowest of several values
// counts. A value that is not a number or is negative makes the statement invalid.
func ParseStatement(values []string) Statement {
	lowest := math.Inf(1)
	for _, v := range values {
		for text := range strings.SplitSeq(v, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil || math.IsNaN(rate) || rate < 0 {
				return Statement{}
			}
			lowest = min(lowest, rate)
		}
	}
	if lowest >= maxRate {
		return Statement{IsValid: true}
	}
	return Statement{Rate: max(lowest, minRate), IsValid: true}
}

// Entry is a limit as VMs tell it to each other.
type Entry struct {
	Upstream string
	// Rate is in requests per second; 0 if the upstream has ended its limit.
	Rate float64
	// Age is the time since the answer that named or ended the limit.
	Age time.Duration
}

// Change is a limit that was learned, changed or ended.
type Change struct {
	Upstream string
	// Was and Rate are in requests per second; 0 for none.
	Was, Rate float64
}
