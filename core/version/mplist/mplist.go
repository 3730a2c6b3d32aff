// Package mplist holds the platform's list of upstreams as one VM read it and
// passed it on. It is soft state beside the replicated log: a newer reading
// replaces an older one, and a VM without a newer one goes on with what it has.
package mplist

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

// Row is one upstream of the platform's list.
type Row struct {
	// ID differs for each start of the upstream in most cases.
	ID string `msgpack:"id"`
	// Pool names the service that the upstream belongs to.
	Pool string `msgpack:"pool"`
	// Address is an IP number and a port.
	Address string `msgpack:"address"`
	DC      string `msgpack:"dc"`
	// Leaving upstreams get no new work.
	Leaving bool `msgpack:"leaving"`
	// ColdMs is how long the upstream stays cold, counted from the reading.
	ColdMs int64 `msgpack:"cold"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `msgpack:"slots"`
}

// List is one reading.
type List struct {
	rows []Row
	at   time.Time
	hash uint64
}

// New returns a list of rows as read at now.
func New(now time.Time, rows []Row) *List {
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address))
	})
	return &List{rows: rows, at: now, hash: hash(rows)}
}

// hash tells lists apart. The time for which an upstream stays cold changes
// with each reading, so only whether it is cold counts.
func hash(rows []Row) uint64 {
	steady := slices.Clone(rows)
	for i := range steady {
		steady[i].ColdMs = min(steady[i].ColdMs, 1)
	}
	data, err := msgpack.Marshal(steady)
	if err != nil {
		panic(err) // Row holds only plain values.
	}
	return max(xxhash.Sum64(data), 1)
}

// Rows returns the upstreams, sorted by pool. The caller must not change them.
func (l *List) Rows() []Row {
	if l == nil {
		return nil
	}
	return l.rows
}

// ReceivedAt returns when the list was read or received.
func (l *List) ReceivedAt() time.Time { return l.at }

// Hash identifies the content; it is 0 for no list.
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
	return l.at.Add(time.Duration(row.ColdMs) * time.Millisecond)
}

// Encode returns the form for other VMs, as of now.
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

// Decode returns the list that Encode wrote, with the given hash.
func Decode(now time.Time, data []byte, hash uint64) (*List, error) {
	var rows []Row
	if err := msgpack.Unmarshal(data, &rows); err != nil {
		return nil, mperror.Wrap(mperror.ErrInvalid, "list of upstreams: %v", err)
	}
	return &List{rows: rows, at: now, hash: hash}, nil
}

// Usable is the part of a list that may get new work, by pool.
type Usable struct {
	list  *List
	pools map[string][]Row
}

// Usable leaves out the upstreams that are leaving and those of data centres
// that operators took out of service.
func (l *List) Usable(isOut func(dc string) bool) *Usable {
	u := &Usable{list: l, pools: map[string][]Row{}}
	for _, r := range l.Rows() {
		if !r.Leaving && !isOut(r.DC) {
			u.pools[r.Pool] = append(u.pools[r.Pool], r)
		}
	}
	return u
}

// Rows returns the upstreams of a pool. The caller must not change them.
func (u *Usable) Rows(pool string) []Row {
	if u == nil {
		return nil
	}
	return u.pools[pool]
}

// ColdUntil returns when the upstream of row stops being cold; the zero time
// when it is warm.
func (u *Usable) ColdUntil(row Row) time.Time { return u.list.ColdUntil(row) }
