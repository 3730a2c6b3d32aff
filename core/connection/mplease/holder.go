// Package mplease decides how long a VM may act on its view. Each VM holds a lease
// from the leader. The leader tracks the revision at which each lease was granted,
// and so knows when a change is in force everywhere: each VM has either
// applied it or holds no valid lease granted at an older revision.
package mplease

import (
	"sync"
	"time"
)

// MaxHold is how long a leader holds a renewal at most until there is a change. It is well below the
// time after which VMs give up a renewal.
const MaxHold = 800 * time.Millisecond

// Holder holds a VM's own lease. It is safe for concurrent use.
type Holder struct {
	mu     sync.Mutex
	expiry time.Time
}

// Extend extends the lease to duration after sent, the time at which the VM sent the
// request. The leader cannot have granted the lease before that.
func (h *Holder) Extend(sent time.Time, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := sent.Add(duration); until.After(h.expiry) {
		h.expiry = until
	}
}

// Revoke ends the lease immediately.
func (h *Holder) Revoke() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiry = time.Time{}
}

// IsValid reports whether the VM may start work at now.
func (h *Holder) IsValid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.expiry)
}

// Expiry returns the time at which the lease expires.
func (h *Holder) Expiry() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.expiry
}
