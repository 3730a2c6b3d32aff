package mpgateway

import (
	"sync"
	"time"
)

// silentPeriod is how long a VM that did not answer is not asked. One that has stopped leaves
// the view after about two seconds.
const silentPeriod = time.Second

// silence holds which VMs did not answer lately.
type silence struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newSilence() *silence { return &silence{until: map[string]time.Time{}} }

// includes reports whether vm is not to be asked.
func (s *silence) includes(now time.Time, vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[vm])
}

// add records that vm did not answer. It returns false if that was known.
func (s *silence) add(now time.Time, vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := now.Before(s.until[vm])
	s.until[vm] = now.Add(silentPeriod)
	return !known
}
