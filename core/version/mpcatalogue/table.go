package mpcatalogue

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// row is implemented by all row types of the catalogue.
type row interface{ key() string }

func (c Class) key() string    { return c.Name }
func (d DC) key() string       { return d.Name }
func (p Pool) key() string     { return p.Name }
func (u Upstream) key() string { return u.Name }
func (a Account) key() string  { return a.Name }
func (e Entry) key() string    { return e.Name }

type table[T row] map[string]T

// with returns a copy of t with the rows in drop deleted and those in put
// inserted, or t itself if both are empty.
func (t table[T]) with(put []T, drop []string) table[T] {
	if len(put) == 0 && len(drop) == 0 {
		return t
	}
	next := maps.Clone(t)
	if next == nil {
		next = table[T]{}
	}
	for _, name := range drop {
		delete(next, name)
	}
	for _, r := range put {
		next[r.key()] = r
	}
	return next
}

func (t table[T]) sorted() []T {
	rows := slices.Collect(maps.Values(t))
	slices.SortFunc(rows, func(a, b T) int { return cmp.Compare(a.key(), b.key()) })
	return rows
}

// diff returns the rows to put and the names to drop that turn t into next.
func (t table[T]) diff(next table[T]) (put []T, drop []string) {
	for _, r := range next.sorted() {
		if old, ok := t[r.key()]; !ok || !reflect.DeepEqual(old, r) {
			put = append(put, r)
		}
	}
	for _, r := range t.sorted() {
		if _, ok := next[r.key()]; !ok {
			drop = append(drop, r.key())
		}
	}
	return put, drop
}

func newTable[T row](rows []T) table[T] {
	return table[T](nil).with(rows, nil)
}

// selectRows returns the rows of t that are named in put or drop.
func (t table[T]) selectRows(put []T, drop []string) []T {
	var rows []T
	for _, r := range put {
		drop = append(drop[:len(drop):len(drop)], r.key())
	}
	for _, name := range drop {
		if r, ok := t[name]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}
