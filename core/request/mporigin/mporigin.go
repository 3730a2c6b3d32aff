// Package mporigin keeps which software began the streams that callers may resume. What two
// versions of an upstream's software write does not fit together, so a stream goes on only at
// the version that began it.
package mporigin

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

const (
	// maxStreams limits the streams that a Ledger keeps, which take about 150 bytes each.
	maxStreams = 200_000
	// sweepInterval is how often expired streams are deleted.
	sweepInterval = time.Second
)

// Key identifies a stream among those of all callers.
type Key [16]byte

// KeyOf returns the key of the stream that began with the request id, which account sent to a
// path of a host. Requests of another account or to another path have other keys, so that they
// learn nothing of the stream.
func KeyOf(account, host, path, id string) Key {
	h := sha256.New()
	for _, s := range []string{account, host, path, id} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(s))
	}
	return Key(h.Sum(nil))
}

// Origin is the software at which a stream began. The zero value is an unknown origin.
type Origin struct {
	Pool string
	// Version is that of the software of the pool's upstreams.
	Version string
}

// IsKnown reports whether a stream can go on at the origin. An unknown version equals none.
func (o Origin) IsKnown() bool { return o.Pool != "" && o.Version != "" }

type stream struct {
	origin Origin
	until  time.Time
}

// Ledger holds the origins of streams. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	streams map[Key]stream
	sweptAt time.Time
}

// New returns an empty Ledger.
func New() *Ledger { return &Ledger{streams: map[Key]stream{}} }

// Note records the origin of a stream for ttl. If streams with different origins have the same
// key, the origin becomes unknown. It returns false if the Ledger is full.
func (l *Ledger) Note(now time.Time, key Key, o Origin, ttl time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	s, ok := l.streams[key]
	switch {
	case ok && now.Before(s.until):
		if s.origin != o {
			s.origin = Origin{}
		}
	case !ok && len(l.streams) >= maxStreams:
		return false
	default:
		s = stream{origin: o}
	}
	if until := now.Add(ttl); until.After(s.until) {
		s.until = until
	}
	l.streams[key] = s
	return true
}

// Find returns the origin of a stream, which may be unknown. It returns false if none is
// recorded.
func (l *Ledger) Find(now time.Time, key Key) (Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[key]
	if !ok || !now.Before(s.until) {
		return Origin{}, false
	}
	return s.origin, true
}

// Count returns the number of streams.
func (l *Ledger) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for key, s := range l.streams {
		if !now.Before(s.until) {
			delete(l.streams, key)
		}
	}
}
