package mppeer

import "time"

const (
	// quietTime is how long a peer may take to answer, beyond the time for which it may hold a call,
	// before it is probed on the same connection.
	quietTime = 150 * time.Millisecond
	// probeTimeout is how long a peer may take to answer a probe. It doubles, at most
	// maxDoublings times, for a peer that did not answer on a new connection either, or whose
	// connection was silent again within settleTime.
	probeTimeout = 200 * time.Millisecond
	maxDoublings = 3
	settleTime   = 10 * time.Second
	// probeInterval is the time between two probes during a call that a peer is slow to answer.
	probeInterval = 500 * time.Millisecond
)

// liveness decides when a peer is probed, and when the connection to it counts as silent: it is
// open, but nothing arrives any more. It is not safe for concurrent use.
type liveness struct {
	// due holds when each outstanding call should have been answered.
	due map[uint64]time.Time
	// last is the number of the last call.
	last uint64
	// probedAt is when the running probe was sent, or zero. answeredAt is when the last probe
	// was answered.
	probedAt, answeredAt time.Time
	// silentAt is when a connection to the peer was last found silent, or zero.
	silentAt  time.Time
	doublings int
}

func newLiveness() *liveness { return &liveness{due: map[uint64]time.Time{}} }

// Begin records a call that the peer may hold for the given time, and returns its number.
func (l *liveness) Begin(now time.Time, hold time.Duration) uint64 {
	l.last++
	l.due[l.last] = now.Add(hold + quietTime)
	return l.last
}

// End records that a call has ended.
func (l *liveness) End(call uint64) { delete(l.due, call) }

// IsBusy reports whether calls are outstanding.
func (l *liveness) IsBusy() bool { return len(l.due) > 0 }

// NextCheck returns when Check is to be called for a call. It returns false if the call has ended.
// readAt is when bytes were last read from the connection.
func (l *liveness) NextCheck(call uint64, readAt time.Time) (time.Time, bool) {
	due, ok := l.due[call]
	if !ok {
		return time.Time{}, false
	}
	for _, t := range []time.Time{readAt.Add(quietTime), l.answeredAt.Add(probeInterval)} {
		if t.After(due) {
			due = t
		}
	}
	return due, true
}

// StartProbe records that a probe is sent, and returns its timeout. It returns false if one is
// running already.
func (l *liveness) StartProbe(now time.Time) (time.Duration, bool) {
	if !l.probedAt.IsZero() {
		return 0, false
	}
	l.probedAt = now
	if now.Sub(l.silentAt) > settleTime {
		l.doublings = 0
	}
	return l.timeout(), true
}

func (l *liveness) timeout() time.Duration { return probeTimeout << l.doublings }

// EndProbe records that a probe has ended. It reports whether the connection is silent, since nothing
// was read from it while the probe ran.
func (l *liveness) EndProbe(now, readAt time.Time) (silent bool) {
	sent := l.probedAt
	l.probedAt = time.Time{}
	if readAt.Before(sent) && now.Sub(sent) >= l.timeout() {
		return true
	}
	l.answeredAt = now
	return false
}

// Confirm records whether the peer answered on a new connection, after the old one was closed since it
// was silent. One that did not is slow, down or cut off, and one that goes silent again and again may
// have a link that is slow for what is sent on it. Both are given more time.
func (l *liveness) Confirm(now time.Time, answered bool) {
	if answered && now.Sub(l.silentAt) > settleTime {
		l.doublings = 0
	} else {
		l.doublings = min(l.doublings+1, maxDoublings)
	}
	l.silentAt = now
}
