package mppipeline

import (
	"sync"
	"time"

	"mustardpost.org/core/version/mpview"
)

const outageWindow = time.Second

// outageDetector distinguishes an outage of many upstreams from a single request
// that crashes them. A request is refused once it has crashed mpview.StrikeLimit
// upstreams, so a single request cannot crash more of them within outageWindow.
type outageDetector struct {
	mu      sync.Mutex
	crashes map[string]time.Time
}

// recordCrash records a crash and reports whether it is part of an outage.
func (o *outageDetector) recordCrash(now time.Time, upstream string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.crashes == nil {
		o.crashes = map[string]time.Time{}
	}
	o.crashes[upstream] = now
	for name, at := range o.crashes {
		if now.Sub(at) > outageWindow {
			delete(o.crashes, name)
		}
	}
	return len(o.crashes) > mpview.StrikeLimit
}
