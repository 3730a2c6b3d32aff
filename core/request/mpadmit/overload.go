package mpadmit

import (
	"fmt"
	"sync"
	"time"
)

const (
	minOverloadDuration = 5 * time.Second
	minReportInterval   = 5 * time.Minute
)

// OverloadDetector detects sustained overload, which is then reported in the
// audit trail. It is safe for concurrent use.
type OverloadDetector struct {
	mu          sync.Mutex
	since       time.Time
	lastRefusal time.Time
	lastReport  time.Time
	refused     int
}

// RecordRefusal records a refusal at time now. Once refusals have continued for
// minOverloadDuration, it returns a text for the audit trail and true, but not
// more often than once per minReportInterval.
func (o *OverloadDetector) RecordRefusal(now time.Time, cause string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastRefusal) > minOverloadDuration/2 {
		o.since = now
		o.refused = 0
	}
	o.lastRefusal = now
	o.refused++
	duration := now.Sub(o.since)
	if duration < minOverloadDuration || !o.lastReport.IsZero() && now.Sub(o.lastReport) < minReportInterval {
		return "", false
	}
	o.lastReport = now
	return fmt.Sprintf("%d requests refused in %s, the last for %s", o.refused, duration.Round(time.Millisecond), cause), true
}
