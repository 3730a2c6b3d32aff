package mppipeline

import (
	"sync"
	"time"

	"mustardpost.org/core/version/mpview"
)

const outageWithin = time.Second

// outage tells a wide loss of upstreams from one request that crashes them: a
// single request cannot have crashed more upstreams than convict it.
type outage struct {
	mu      sync.Mutex
	crashes map[string]time.Time
}

// note adds a crash and reports whether it belongs to an outage.
func (o *outage) note(now time.Time, upstream string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.crashes == nil {
		o.crashes = map[string]time.Time{}
	}
	o.crashes[upstream] = now
	for name, at := range o.crashes {
		if now.Sub(at) > outageWithin {
			delete(o.crashes, name)
		}
	}
	return len(o.crashes) > mpview.StrikeLimit
}
