// Package mpset holds a small generic set.
package mpset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. The nil Set is empty and may be read.
type Set[T cmp.Ordered] map[T]struct{}

// Of returns a set of the given values.
func Of[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in s.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Add puts v into s.
func (s Set[T]) Add(v T) {
	s[v] = struct{}{}
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(s))
}
