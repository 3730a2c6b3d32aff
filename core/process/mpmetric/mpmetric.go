// Package mpmetric holds the counters, histograms and gauges of a process. They are
// published with expvar under one name, and in the Prometheus text format.
package mpmetric

import (
	"expvar"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the metrics of one process. Var returns them as one expvar variable.
type Set struct {
	vars       expvar.Map
	prometheus *metrics.Set
}

// New returns an empty Set.
func New() *Set {
	s := &Set{prometheus: metrics.NewSet()}
	s.vars.Init()
	return s
}

// Add adds delta to the counter called name.
func (s *Set) Add(name string, delta int64) {
	s.vars.Add(name, delta)
	s.prometheus.GetOrCreateCounter(prometheusName(name) + "_total").AddInt64(delta)
}

// AddFloat adds delta to the floating-point counter called name.
func (s *Set) AddFloat(name string, delta float64) {
	s.vars.AddFloat(name, delta)
	s.prometheus.GetOrCreateFloatCounter(prometheusName(name) + "_total").Add(delta)
}

// ObserveDuration adds d to the counters name.count and name.us (microseconds), which
// together give the mean duration, and to a histogram in seconds.
func (s *Set) ObserveDuration(name string, d time.Duration) {
	s.vars.Add(name+".count", 1)
	s.vars.Add(name+".us", d.Microseconds())
	s.prometheus.GetOrCreateHistogram(prometheusName(name) + "_seconds").Update(d.Seconds())
}

// Gauge publishes the value that f returns on each read. In the Prometheus text, booleans
// are 0 or 1, durations are in seconds, and values that are not numeric are 0.
func (s *Set) Gauge(name string, f func() any) {
	s.vars.Set(name, expvar.Func(f))
	s.prometheus.GetOrCreateGauge(prometheusName(name), func() float64 { return toFloat(f()) })
}

func toFloat(v any) float64 {
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

// nameReplacer replaces the characters that Prometheus does not allow in metric names.
var nameReplacer = strings.NewReplacer(".", "_", "-", "_")

// prometheusName returns the Prometheus metric name for name, without a suffix.
func prometheusName(name string) string { return "mustardpost_" + nameReplacer.Replace(name) }

// Count returns the value of the counter called name, or 0 if there is none.
func (s *Set) Count(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Var returns all metrics but the histograms as one expvar variable.
func (s *Set) Var() expvar.Var { return &s.vars }

// WritePrometheus writes all counters, histograms and gauges in the Prometheus text format,
// with those of the process and of the Go runtime.
func (s *Set) WritePrometheus(w io.Writer) {
	s.prometheus.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
