package mporigin

import (
	"sync"
	"time"

	"mustardpost.org/core/version/mplist"
)

// maxUnconfirmed is how long the list may go without being confirmed as the newest one. It is
// below the time in which a version can come, begin streams and leave.
const maxUnconfirmed = time.Second

// History holds which versions of the pools' software a VM has seen in the list of upstreams.
// It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// since is when the history begins, confirmedAt when its list was last known to be the
	// newest one.
	since, confirmedAt time.Time
	// pools maps pools and the versions of their software to when they were last listed.
	pools map[string]map[string]time.Time
	list  *mplist.List
}

// NewHistory returns a History that knows nothing yet.
func NewHistory() *History { return &History{pools: map[string]map[string]time.Time{}} }

// Observe records that list holds from now on, as far as this VM knows.
func (h *History) Observe(now time.Time, list *mplist.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
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

// Confirm records that the current list is the newest one. If the last confirmation is more than
// maxUnconfirmed ago, the history begins anew, since a list in between may have been missed.
func (h *History) Confirm(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil {
		return
	}
	if now.Sub(h.confirmedAt) > maxUnconfirmed {
		h.since, h.pools = now, map[string]map[string]time.Time{}
	}
	h.confirmedAt = now
	h.record(now)
}

// Interrupt lets the history begin anew at the next confirmation.
func (h *History) Interrupt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = time.Time{}
}

// Sole returns the version of a pool's software if the pool had no other one, known or not, in
// the last span, and the list is known to be the newest one.
func (h *History) Sole(now time.Time, pool string, span time.Duration) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.confirmedAt) > maxUnconfirmed || now.Sub(h.since) < span {
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
