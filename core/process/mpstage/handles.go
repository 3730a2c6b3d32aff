package mpstage

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/request/mpbatch"
)

// handleRetention is how long results are remembered. An upstream repeats an answer on a connection
// that is still open, and it closes those that are idle within a few seconds.
const handleRetention = 5 * time.Second

// handleLedger remembers the results that calls returned. The answers of calls have no ID: a
// second copy of one that arrives late, on a connection that is in use again, can be told from the
// next call's answer by its results only. It is safe for concurrent use.
type handleLedger struct {
	mu sync.Mutex
	// newer and older hold the hashes of the handles that were added since rotatedAt and in the
	// handleRetention before it.
	newer, older map[uint64]bool
	rotatedAt    time.Time
}

func newHandleLedger() *handleLedger {
	return &handleLedger{newer: map[uint64]bool{}, older: map[uint64]bool{}}
}

// add remembers the results of a call. It returns false, and remembers none, if it knows one.
func (l *handleLedger) add(now time.Time, items []mpbatch.ItemOutcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.rotatedAt) > handleRetention {
		l.older, l.newer, l.rotatedAt = l.newer, map[uint64]bool{}, now
	}
	var hashes []uint64
	for _, item := range items {
		if item.Handle == "" {
			continue
		}
		h := xxhash.Sum64String(item.Handle)
		if l.newer[h] || l.older[h] {
			return false
		}
		hashes = append(hashes, h)
	}
	for _, h := range hashes {
		l.newer[h] = true
	}
	return true
}
