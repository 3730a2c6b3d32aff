package mpgateway

import "time"

const (
	fallbackCheckInterval = 500 * time.Millisecond
	// fallbackListInterval is the least time between two reads of the list of upstreams by a VM
	// without a lease.
	fallbackListInterval = 2 * time.Second
	// fallbackPageTime bounds the reads of all VMs together to 20 pages of fallbackPageRows a
	// second: the platform serves a few dozen, which the next leader needs too.
	fallbackPageTime = 50 * time.Millisecond
	fallbackPageRows = 50
)

// fallbackReads decides when a VM that gets no list from a leader reads the platform's list itself.
// It is not safe for concurrent use.
type fallbackReads struct {
	// next is when the list is read again, or zero while the VM has a lease.
	next time.Time
}

// isDue reports whether to read the list now, in a fleet with the given number of VMs and upstreams.
// x is uniformly distributed over [0, 1) and spreads the reads of VMs that lost their leases together.
func (f *fallbackReads) isDue(now time.Time, hasLease bool, vms, upstreams int, x float64) bool {
	pages := 1 + upstreams/fallbackPageRows
	interval := max(fallbackListInterval, time.Duration(vms*pages)*fallbackPageTime)
	switch {
	case hasLease:
		f.next = time.Time{}
	case f.next.IsZero():
		f.next = now.Add(fallbackListInterval + time.Duration(x*float64(interval-fallbackListInterval)))
	case !now.Before(f.next):
		f.next = now.Add(interval)
		return true
	}
	return false
}
