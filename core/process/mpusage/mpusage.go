// Package mpusage measures what a process takes of its VM: processor time, bytes on the
// connections to peers and upstreams, and how long its goroutines wait for the processor.
package mpusage

import (
	"context"
	"math"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/process/mpmetric"
)

const (
	// logInterval is how often the usage is logged.
	logInterval = 2 * time.Second
	// delayQuantile is the quantile of the scheduling delays that is logged.
	delayQuantile  = 0.99
	schedLatencies = "/sched/latencies:seconds"
)

// The counters of bytes on the connections to upstreams and to peers.
const (
	UpstreamOut = "upstream.out"
	UpstreamIn  = "upstream.in"
	PeerOut     = "peer.out"
	PeerIn      = "peer.in"
)

// Config configures a Monitor.
type Config struct {
	Metrics *mpmetric.Set
	Logger  log.Logger
}

// Monitor logs the usage of its process. It is not safe for concurrent use.
type Monitor struct {
	cfg    Config
	at     time.Time
	cpu    time.Duration
	bytes  map[string]int64
	delays []uint64
}

// NewMonitor returns a Monitor that logs the usage from now on.
func NewMonitor(now time.Time, cfg Config) *Monitor {
	m := &Monitor{cfg: cfg, bytes: map[string]int64{}}
	m.sample(now)
	return m
}

// Run logs the usage at intervals of logInterval until ctx is done.
func (m *Monitor) Run(ctx context.Context) { mptime.Every(ctx, logInterval, m.Log) }

// Log writes a line on the usage since the previous call.
func (m *Monitor) Log(now time.Time) {
	s := m.sample(now)
	_ = level.Info(m.cfg.Logger).Log("msg", "usage", "over", s.over, "cpu", s.cpu, "delay", s.delay,
		"upstream.out", s.bytes[UpstreamOut], "upstream.in", s.bytes[UpstreamIn],
		"peer.out", s.bytes[PeerOut], "peer.in", s.bytes[PeerIn])
}

// usage is what the process used between two samples.
type usage struct {
	over time.Duration
	// cpu is the processor time; 0 if it cannot be read.
	cpu time.Duration
	// delay is the delayQuantile of the times that goroutines were ready to run but did
	// not run.
	delay time.Duration
	bytes map[string]int64
}

func (m *Monitor) sample(now time.Time) usage {
	s := usage{over: now.Sub(m.at), bytes: map[string]int64{}}
	m.at = now
	if cpu, err := processorTime(); err != nil {
		_ = level.Warn(m.cfg.Logger).Log("msg", "processor time not read", "err", err)
	} else {
		s.cpu, m.cpu = cpu-m.cpu, cpu
	}
	for _, name := range []string{UpstreamOut, UpstreamIn, PeerOut, PeerIn} {
		total := m.cfg.Metrics.Count(name)
		s.bytes[name], m.bytes[name] = total-m.bytes[name], total
	}
	samples := []metrics.Sample{{Name: schedLatencies}}
	metrics.Read(samples)
	h := samples[0].Value.Float64Histogram()
	s.delay = quantile(delayQuantile, h, m.delays)
	m.delays = h.Counts
	return s
}

// processorTime returns the processor time that the process has used so far.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, mperror.Wrap(err, "read the usage of the process")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// quantile returns an upper bound of the quantile q of the values that were added to h
// since its counts were before; 0 if there are none.
func quantile(q float64, h *metrics.Float64Histogram, before []uint64) time.Duration {
	counts := append([]uint64(nil), h.Counts...)
	total := uint64(0)
	for i := range counts {
		if i < len(before) {
			counts[i] -= before[i]
		}
		total += counts[i]
	}
	rank := uint64(math.Ceil(q * float64(total)))
	for i, n := range counts {
		if n >= rank && rank > 0 {
			// The last bucket has no finite upper bound.
			bound := h.Buckets[i+1]
			if math.IsInf(bound, 1) {
				bound = h.Buckets[i]
			}
			return time.Duration(bound * float64(time.Second))
		}
		rank -= n
	}
	return 0
}
