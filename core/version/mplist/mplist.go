// Package mplist holds the platform's list of upstreams, which one VM reads and
// distributes to the others. The list is soft state outside the replicated log:
// a newer list replaces an older one, and a VM that receives no newer list keeps
// using the one it has.
package mplist

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

// Row is an upstream in the platform's list.
type Row struct {
	// ID usually changes each time the upstream starts.
	ID string `msgpack:"id"`
	// Pool is the name of the service that the upstream belongs to.
	Pool string `msgpack:"pool"`
	// Address is an IP address and a port.
	Address string `msgpack:"address"`
	DC      string `msgpack:"dc"`
	// Leaving is set if the upstream must get no new work.
	Leaving bool `msgpack:"leaving"`
	// ColdMs is the remaining cold-start time, counted from when the list was read.
	ColdMs int64 `msgpack:"cold"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `msgpack:"slots"`
	// Version is that of the upstream's software. Nothing is known of an upstream without one,
	// which does not make it equal to another such upstream.
	Version string `msgpack:"version"`
}

// List is an immutable snapshot of the platform's list.
type List struct {
	rows       []Row
	receivedAt time.Time
	hash       uint64
}

// New returns a list of rows that were read at now.
func New(now time.Time, rows []Row) *List {
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address))
	})
	return &List{rows: rows, receivedAt: now, hash: hash(rows)}
}

// hash returns a non-zero hash of rows. The remaining cold-start time changes
// with each read of the list, so only whether an upstream is cold is hashed.
func hash(rows []Row) uint64 {
	var normalized []Row // Stays nil for an empty list, whichever way it came about.
	for _, r := range rows {
		normalized = append(normalized, r.withoutColdTime())
	}
	data, err := msgpack.Marshal(normalized)
	if err != nil {
		panic(err) // cannot fail: Row has only fields of basic types.
	}
	return max(xxhash.Sum64(data), 1)
}

// Rows returns the upstreams, sorted by pool. The caller must not modify them.
func (l *List) Rows() []Row {
	if l == nil {
		return nil
	}
	return l.rows
}

// Has reports whether the list has the upstream with the given ID.
func (l *List) Has(id string) bool {
	return slices.ContainsFunc(l.Rows(), func(r Row) bool { return r.ID == id })
}

// ReceivedAt returns the time at which this VM read or received the list.
func (l *List) ReceivedAt() time.Time { return l.receivedAt }

// Hash identifies the content of the list; it is 0 for a nil list.
func (l *List) Hash() uint64 {
	if l == nil {
		return 0
	}
	return l.hash
}

// ColdUntil returns when the upstream of row stops being cold; the zero time
// when it is warm.
func (l *List) ColdUntil(row Row) time.Time {
	if row.ColdMs <= 0 {
		return time.Time{}
	}
	return l.receivedAt.Add(time.Duration(row.ColdMs) * time.Millisecond)
}

// Encode returns the list in the form sent to other VMs, with cold-start times
// relative to now.
func (l *List) Encode(now time.Time) ([]byte, error) {
	rows := slices.Clone(l.rows)
	for i, r := range rows {
		if until := l.ColdUntil(r); !until.IsZero() {
			rows[i].ColdMs = max(until.Sub(now).Milliseconds(), 0)
		}
	}
	data, err := msgpack.Marshal(rows)
	return data, mperror.Wrap(err, "encode list of upstreams")
}

// Decode decodes the output of Encode into a list with the given hash.
func Decode(now time.Time, data []byte, hash uint64) (*List, error) {
	var rows []Row
	if err := msgpack.Unmarshal(data, &rows); err != nil {
		return nil, mperror.Wrap(mperror.ErrInvalid, "list of upstreams: %v", err)
	}
	return &List{rows: rows, receivedAt: now, hash: hash}, nil
}

// Usable holds the upstreams of a list that may get new work, by pool.
type Usable struct {
	list  *List
	pools map[string][]Row
	// listed holds all upstreams, by pool.
	listed map[string][]Row
}

// Usable returns the upstreams that may get new work. It excludes upstreams that
// are leaving or whose data centre is out of service according to isOut.
func (l *List) Usable(isOut func(dc string) bool) *Usable {
	u := &Usable{list: l, pools: map[string][]Row{}, listed: map[string][]Row{}}
	for _, r := range l.Rows() {
		u.listed[r.Pool] = append(u.listed[r.Pool], r)
		if !r.Leaving && !isOut(r.DC) {
			u.pools[r.Pool] = append(u.pools[r.Pool], r)
		}
	}
	return u
}

// Rows returns the usable upstreams of a pool. The caller must not modify them.
func (u *Usable) Rows(pool string) []Row {
	if u == nil {
		return nil
	}
	return u.pools[pool]
}

// Find returns the usable upstream of a pool with the given ID.
func (u *Usable) Find(pool, id string) (Row, bool) {
	rows := u.Rows(pool)
	i := slices.IndexFunc(rows, func(r Row) bool { return r.ID == id })
	if i < 0 {
		return Row{}, false
	}
	return rows[i], true
}

// Listed returns all upstreams of a pool, also those that may get no new work. The caller must
// not modify them.
func (u *Usable) Listed(pool string) []Row {
	if u == nil {
		return nil
	}
	return u.listed[pool]
}

// ColdUntil returns when the upstream of row stops being cold; the zero time
// when it is warm.
func (u *Usable) ColdUntil(row Row) time.Time { return u.list.ColdUntil(row) }
