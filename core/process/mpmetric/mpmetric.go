// Package mpmetric groups the counters that a process publishes by expvar.
package mpmetric

import (
	"expvar"
	"time"
)

// Set is the counters of one process. Its map can be published under one name.
type Set struct {
	root expvar.Map
}

// New returns an empty set.
func New() *Set {
	s := &Set{}
	s.root.Init()
	return s
}

// Add adds delta to the counter called name.
func (s *Set) Add(name string, delta int64) { s.root.Add(name, delta) }

// AddFloat adds delta to the floating-point counter called name.
func (s *Set) AddFloat(name string, delta float64) { s.root.AddFloat(name, delta) }

// Took adds to the pair of counters from which a mean duration follows:
// name.count, and name.us in microseconds.
func (s *Set) Took(name string, d time.Duration) {
	s.root.Add(name+".count", 1)
	s.root.Add(name+".us", d.Microseconds())
}

// Gauge publishes the value that f returns when read.
func (s *Set) Gauge(name string, f func() any) { s.root.Set(name, expvar.Func(f)) }

// Count returns the counter called name.
func (s *Set) Count(name string) int64 {
	if v, ok := s.root.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Var returns the set as one variable.
func (s *Set) Var() expvar.Var { return &s.root }
