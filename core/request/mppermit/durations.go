package mppermit

import (
	"slices"
	"time"
)

// durations keeps the last service times of a group, for each unit of work.
type durations struct {
	ring   []time.Duration
	at     int
	stale  int
	sorted []time.Duration
	sum    time.Duration
}

func (d *durations) add(took time.Duration) {
	if len(d.ring) < samples {
		d.ring = append(d.ring, took)
	} else {
		d.sum -= d.ring[d.at]
		d.ring[d.at] = took
		d.at = (d.at + 1) % samples
	}
	d.sum += took
	d.stale++
	if d.stale >= resortEvery || len(d.sorted) < resortEvery {
		d.stale = 0
		d.sorted = slices.Sorted(slices.Values(d.ring))
	}
}

func (d *durations) mean() time.Duration {
	if len(d.ring) == 0 {
		return 0
	}
	return d.sum / time.Duration(len(d.ring))
}

func (d *durations) quantile(q float64) time.Duration {
	if len(d.sorted) == 0 {
		return 0
	}
	return d.sorted[int(q*float64(len(d.sorted)-1))]
}

func (d *durations) median() time.Duration { return d.quantile(0.5) }

// hedge returns the time after which few attempts still succeed on their own.
func (d *durations) hedge() time.Duration {
	if len(d.ring) < hedgeMinimum {
		return 0
	}
	return max(d.quantile(hedgeAt), hedgeFactor*d.median())
}
