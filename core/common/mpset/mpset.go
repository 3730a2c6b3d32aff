// Package mpset provides a generic set.
package mpset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. A nil Set is empty and can be read but not added to.
type Set[T cmp.Ordered] map[T]struct{}

// Of returns a set that contains values.
func Of[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether s contains v.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Add adds v to s.
func (s Set[T]) Add(v T) {
	s[v] = struct{}{}
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(s))
}
