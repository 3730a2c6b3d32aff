package mplist

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

// Patch is the difference between two lists, as sent to VMs that have the older one.
type Patch struct {
	// Rows are those that were added or changed.
	Rows []Row `msgpack:"rows"`
	// Gone are those that were removed; only the fields of their keys are set.
	Gone []Row `msgpack:"gone"`
}

// rowKey identifies a row in a list.
type rowKey struct{ pool, id, address string }

func (r Row) key() rowKey { return rowKey{r.Pool, r.ID, r.Address} }

// withoutColdTime returns r with only whether the upstream is cold, as in the hash of a list.
func (r Row) withoutColdTime() Row {
	r.ColdMs = min(r.ColdMs, 1)
	return r
}

// index returns the rows by their keys. It returns false if two rows have the same key.
func (l *List) index() (map[rowKey]Row, bool) {
	rows := make(map[rowKey]Row, len(l.Rows()))
	for _, r := range l.Rows() {
		rows[r.key()] = r
	}
	return rows, len(rows) == len(l.Rows())
}

// PatchFrom returns the difference from an older list. It returns false if a patch cannot tell the
// rows apart.
func (l *List) PatchFrom(old *List) (Patch, bool) {
	before, ok := old.index()
	after, unique := l.index()
	if !ok || !unique {
		return Patch{}, false
	}
	var p Patch
	for _, r := range l.Rows() {
		if b, ok := before[r.key()]; !ok || b.withoutColdTime() != r.withoutColdTime() {
			p.Rows = append(p.Rows, r)
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			p.Gone = append(p.Gone, Row{Pool: key.pool, ID: key.id, Address: key.address})
		}
	}
	return p, true
}

// Encode returns the patch in the form sent to other VMs.
func (p Patch) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(p)
	return data, mperror.Wrap(err, "encode changes of the list of upstreams")
}

// DecodePatch decodes the output of Encode.
func DecodePatch(data []byte) (Patch, error) {
	var p Patch
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return p, mperror.Wrap(mperror.ErrInvalid, "changes of the list of upstreams: %v", err)
	}
	return p, nil
}

// Apply returns the list that p leads to, as received at now. It returns an error that wraps
// ErrInvalid unless the result has the given hash. l may be nil.
func (l *List) Apply(now time.Time, p Patch, hash uint64) (*List, error) {
	rows, _ := l.index()
	for key, r := range rows {
		if r.ColdMs > 0 {
			// The row is cold until a patch says otherwise.
			r.ColdMs = max(l.ColdUntil(r).Sub(now).Milliseconds(), 1)
			rows[key] = r
		}
	}
	for _, r := range p.Gone {
		delete(rows, r.key())
	}
	for _, r := range p.Rows {
		rows[r.key()] = r
	}
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, r)
	}
	next := New(now, list)
	if next.Hash() != hash {
		return nil, mperror.Wrap(mperror.ErrInvalid, "changes of the list of upstreams lead to hash %x, want %x", next.Hash(), hash)
	}
	return next, nil
}
