package mpadmit

import (
	"fmt"
	"sync"
	"time"
)

const (
	overloadSpan  = 5 * time.Second
	overloadQuiet = 5 * time.Minute
)

// OverloadDetector notices when refusals for overload go on for a while, so that the
// audit trail tells of it. It is safe for concurrent use.
type OverloadDetector struct {
	mu      sync.Mutex
	since   time.Time
	last    time.Time
	told    time.Time
	refused int
}

// RecordRefusal notes a refusal at now and returns a text for the audit trail when
// refusals have gone on for some seconds, at most once in some minutes.
func (o *OverloadDetector) RecordRefusal(now time.Time, cause string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.last) > overloadSpan/2 {
		o.since = now
		o.refused = 0
	}
	o.last = now
	o.refused++
	lasted := now.Sub(o.since)
	if lasted < overloadSpan || !o.told.IsZero() && now.Sub(o.told) < overloadQuiet {
		return "", false
	}
	o.told = now
	return fmt.Sprintf("%d requests refused in %s, the last for %s", o.refused, lasted.Round(time.Millisecond), cause), true
}
