// Package mplease decides how long a VM may act on its view. A VM holds a
// lease from the leader; the leader tracks which revision each lease was
// granted on, and so knows when a change is in force everywhere: each VM has
// applied it, or every lease granted on an older revision has run out.
package mplease

import (
	"sync"
	"time"
)

// Holder is a VM's own lease. It is safe for concurrent use.
type Holder struct {
	mu    sync.Mutex
	until time.Time
}

// Extend extends the lease to span after sent, the moment at which the VM
// sent the request; the leader cannot have granted earlier.
func (h *Holder) Extend(sent time.Time, span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := sent.Add(span); until.After(h.until) {
		h.until = until
	}
}

// Revoke ends the lease at once.
func (h *Holder) Revoke() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Time{}
}

// IsValid reports whether the VM may start work at now.
func (h *Holder) IsValid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until)
}

// Expiry returns the end of the lease.
func (h *Holder) Expiry() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until
}
