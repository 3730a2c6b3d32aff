package mpgateway

import (
	"sync"
	"time"
)

// silentPeriod is how long a VM that did not answer is not asked. One that has stopped leaves
// the view after about two seconds.
const silentPeriod = time.Second

// earlierBuildPeriod is how long a VM is not asked whose build does not know a call. It has a new one
// after a restart.
const earlierBuildPeriod = 10 * time.Second

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
func (s *silence) add(now time.Time, vm string) bool { return s.addFor(now, vm, silentPeriod) }

// addFor is like add for a VM that is not to be asked for the given time.
func (s *silence) addFor(now time.Time, vm string, period time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := now.Before(s.until[vm])
	s.until[vm] = now.Add(period)
	return !known
}
