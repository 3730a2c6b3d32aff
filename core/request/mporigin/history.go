package mporigin

import (
	"sync"
	"time"

	"mustardpost.org/core/version/mplist"
)

// History holds which versions of the pools' software a VM has seen in the list of upstreams.
// It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// since is when the history begins; zero while it is interrupted.
	since time.Time
	pools map[string]map[string]time.Time
	list  *mplist.List
}

// NewHistory returns a History that knows nothing yet.
func NewHistory() *History { return &History{} }

// Observe records that list holds from now on.
func (h *History) Observe(now time.Time, list *mplist.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since, h.pools = now, map[string]map[string]time.Time{}
	}
	h.record(now)
	h.list = list
	h.record(now)
}

// record sets when the versions of the current list were last seen to now.
func (h *History) record(now time.Time) {
	for _, r := range h.list.Rows() {
		if h.pools[r.Pool] == nil {
			h.pools[r.Pool] = map[string]time.Time{}
		}
		h.pools[r.Pool][r.Version] = now
	}
}

// Interrupt is called while other VMs may have a newer list. The history begins anew after it.
func (h *History) Interrupt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = time.Time{}
}

// Resume continues with the current list after an interruption.
func (h *History) Resume(now time.Time) {
	h.mu.Lock()
	isInterrupted, list := h.since.IsZero(), h.list
	h.mu.Unlock()
	if isInterrupted && list != nil {
		h.Observe(now, list)
	}
}

// Sole returns the version of a pool's software if the pool had no other one, known or not, in
// the last span.
func (h *History) Sole(now time.Time, pool string, span time.Duration) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() || now.Sub(h.since) < span {
		return "", false
	}
	h.record(now)
	sole, count := "", 0
	for version, seenAt := range h.pools[pool] {
		if now.Sub(seenAt) <= span {
			sole = version
			count++
		}
	}
	return sole, count == 1 && sole != ""
}
