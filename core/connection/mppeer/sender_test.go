package mppeer_test

import (
	"testing"
	"time"

	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/process/mpquorum"
)

// Guards against a snapshot that begins anew again and again, since the link of the voter that joins does
// not carry it in the time of one call. Meanwhile it is queued once more every two seconds.
func TestSnapshotOverASmallLink(t *testing.T) {
	const (
		snapshotBytes = 1 << 20
		// The link needs a few times as long for the snapshot as the first call may take.
		linkRate      = 200 << 10
		retryInterval = 2 * time.Second
		timeout       = 30 * time.Second
	)
	p, front := startPeer(t)
	front.network.Limit("127.0.0.1", linkRate)
	client, _ := newClient(t)
	sender := mppeer.NewSender(t.Context(), client, func([]mpquorum.Envelope) {})
	received := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.steps
	}
	send := func() {
		sender.Send(front.address, mpquorum.Envelope{From: 1, To: 2, Snapshot: &mpquorum.Snapshot{Index: 5, Data: make([]byte, snapshotBytes)}})
	}
	start := time.Now()
	send()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	check := time.NewTicker(50 * time.Millisecond)
	defer check.Stop()
	for received() == 0 && time.Since(start) < timeout {
		select {
		case <-retry.C:
			send()
		case <-check.C:
		}
	}
	if received() == 0 {
		t.Errorf("a snapshot of %d bytes did not arrive within %v at %d bytes a second", snapshotBytes, timeout, linkRate)
	}
	t.Logf("arrived after %v", time.Since(start))
}
