package mppermit

import (
	"slices"
	"time"
)

// serviceTimes holds the most recent service times of a group, each per unit of work,
// in a ring buffer. The sorted copy for quantiles is refreshed only every sortInterval
// samples once it holds that many.
type serviceTimes struct {
	ring     []time.Duration
	next     int
	unsorted int
	sorted   []time.Duration
	sum      time.Duration
}

func (s *serviceTimes) add(serviceTime time.Duration) {
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, serviceTime)
	} else {
		s.sum -= s.ring[s.next]
		s.ring[s.next] = serviceTime
		s.next = (s.next + 1) % maxSamples
	}
	s.sum += serviceTime
	s.unsorted++
	if s.unsorted >= sortInterval || len(s.sorted) < sortInterval {
		s.unsorted = 0
		s.sorted = slices.Sorted(slices.Values(s.ring))
	}
}

func (s *serviceTimes) mean() time.Duration {
	if len(s.ring) == 0 {
		return 0
	}
	return s.sum / time.Duration(len(s.ring))
}

func (s *serviceTimes) quantile(q float64) time.Duration {
	if len(s.sorted) == 0 {
		return 0
	}
	return s.sorted[int(q*float64(len(s.sorted)-1))]
}

func (s *serviceTimes) median() time.Duration { return s.quantile(0.5) }

// hedgeDelay returns the time after which few attempts still succeed without a hedge,
// or 0 if there are too few samples.
func (s *serviceTimes) hedgeDelay() time.Duration {
	if len(s.ring) < hedgeMinSamples {
		return 0
	}
	return max(s.quantile(hedgeQuantile), hedgeMedianFactor*s.median())
}
