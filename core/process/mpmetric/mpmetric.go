// Package mpmetric groups the counters and histograms of a process. They are
// published by expvar under one name, and as text for scrapers.
package mpmetric

import (
	"expvar"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set is the counters of one process. Its map can be published under one name.
type Set struct {
	root expvar.Map
	text *metrics.Set
}

// New returns an empty set.
func New() *Set {
	s := &Set{text: metrics.NewSet()}
	s.root.Init()
	return s
}

// Add adds delta to the counter called name.
func (s *Set) Add(name string, delta int64) {
	s.root.Add(name, delta)
	s.text.GetOrCreateCounter(textName(name) + "_total").AddInt64(delta)
}

// AddFloat adds delta to the floating-point counter called name.
func (s *Set) AddFloat(name string, delta float64) {
	s.root.AddFloat(name, delta)
	s.text.GetOrCreateFloatCounter(textName(name) + "_total").Add(delta)
}

// ObserveDuration adds to the pair of counters from which a mean duration follows,
// name.count and name.us in microseconds, and to a histogram in seconds.
func (s *Set) ObserveDuration(name string, d time.Duration) {
	s.root.Add(name+".count", 1)
	s.root.Add(name+".us", d.Microseconds())
	s.text.GetOrCreateHistogram(textName(name) + "_seconds").Update(d.Seconds())
}

// Gauge publishes the value that f returns when read. In the text, values that
// are neither numbers nor truth values stand as 0.
func (s *Set) Gauge(name string, f func() any) {
	s.root.Set(name, expvar.Func(f))
	s.text.GetOrCreateGauge(textName(name), func() float64 { return number(f()) })
}

func number(v any) float64 {
	switch v := v.(type) {
	case bool:
		if v {
			return 1
		}
	case int:
		return float64(v)
	case int64:
		return float64(v)
	case uint64:
		return float64(v)
	case float64:
		return v
	case time.Duration:
		return v.Seconds()
	}
	return 0
}

// unscrapable holds the characters of names that scrapers do not allow.
var unscrapable = strings.NewReplacer(".", "_", "-", "_")

// textName returns the form of name that scrapers allow.
func textName(name string) string { return "mustardpost_" + unscrapable.Replace(name) }

// Count returns the counter called name.
func (s *Set) Count(name string) int64 {
	if v, ok := s.root.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Var returns the set as one variable.
func (s *Set) Var() expvar.Var { return &s.root }

// WritePrometheus writes all counters, histograms and gauges as text, one a line.
func (s *Set) WritePrometheus(w io.Writer) {
	s.text.WritePrometheus(w)
}
