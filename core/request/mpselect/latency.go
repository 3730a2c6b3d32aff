package mpselect

import (
	"math"
	"time"

	"mustardpost.org/core/request/mpspeed"
)

const (
	// initialLatency is the latency that is expected of a kind of request before the first one
	// has been answered.
	initialLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the moving average of a kind's latency,
	// once there are some.
	latencyWeight = 0.05
	// responseWeight is the weight of the newest response in the transient speed of an upstream
	// that does not report it, since requests of one kind take different times.
	responseWeight = 0.2
	// loadRetention is how long the load that an upstream reports counts. It is about as long as a
	// queue that builds up while an upstream is slow for a moment.
	loadRetention = time.Second
	// reportRetention is how long after its last report an upstream counts in the mean load.
	reportRetention = 10 * time.Second
)

// kindState is what is known of the requests of one kind.
type kindState struct {
	// log is the mean logarithm of the latency in nanoseconds at an upstream of the usual speed.
	log      float64
	samples  int
	lastUsed time.Time
}

// expected returns the latency at an upstream of the usual speed.
func (k *kindState) expected() time.Duration {
	if k == nil || k.samples == 0 {
		return initialLatency
	}
	return time.Duration(math.Round(math.Exp(k.log)))
}

// Report records what an answer says of the load and the speed of its upstream.
func (s *Selector) Report(now time.Time, id string, l mpspeed.Load) {
	s.speed.Record(now, id, l)
	if !l.HasCounts {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(id)
	st.others, st.reportedAt = max(float64(l.Running+l.Waiting-st.inFlight), 0), now
}

// SpeedRange returns the least and the greatest factor by which work takes longer at an upstream
// than usual.
func (s *Selector) SpeedRange(now time.Time) (least, greatest float64) { return s.speed.Range(now) }

// pickByExpectedLatency returns the upstream with the lowest expected latency.
func (s *Selector) pickByExpectedLatency(now time.Time, list []Candidate, info PickInfo) Candidate {
	expected := float64(s.kinds[info.Kind].expected())
	mean := s.meanOthers(now, list)
	best, lowestCost := list[0], math.Inf(1)
	for _, c := range list {
		st := s.state(c.Row.ID)
		slots := float64(max(c.Row.Slots, 1))
		queue := 1 + (float64(st.inFlight)+st.othersAt(now, mean, slots))/slots
		cost := float64(s.speed.Duration(now, c.Row.ID, time.Duration(queue*expected)))
		if c.Row.DC != info.DC {
			cost += float64(remoteDCPenalty)
		}
		if cost < lowestCost {
			best, lowestCost = c, cost
		}
	}
	return best
}

// meanOthers returns the mean number of requests of other VMs at the candidates, of those that
// reported it lately. It returns 0 if none did.
func (s *Selector) meanOthers(now time.Time, list []Candidate) float64 {
	sum, count := 0.0, 0
	for _, c := range list {
		if st := s.state(c.Row.ID); st.hasReported(now) {
			sum += st.others
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

func (st *upstreamState) hasReported(now time.Time) bool {
	return !st.reportedAt.IsZero() && now.Sub(st.reportedAt) < reportRetention
}

// othersAt returns the expected number of requests of other VMs at an upstream: what it reported,
// which approaches the mean of all upstreams as the report ages. Nothing is expected to wait at an
// upstream that has not reported lately, so that it is tried when much waits at the others.
func (st *upstreamState) othersAt(now time.Time, mean, slots float64) float64 {
	if !st.hasReported(now) {
		return min(mean, slots)
	}
	age := now.Sub(st.reportedAt)
	if age >= loadRetention {
		return mean
	}
	return mean + (st.others-mean)*(1-float64(max(age, 0))/float64(loadRetention))
}

// observe records the latency of a request that has been answered. The work of requests with an
// affinity key depends on what the engine has cached, so their latency tells nothing.
func (s *Selector) observe(now time.Time, id string, info PickInfo, latency time.Duration) {
	if info.AffinityKey != 0 || latency <= 0 {
		return
	}
	k, ok := s.kinds[info.Kind]
	if !ok {
		k = &kindState{}
		s.kinds[info.Kind] = k
	}
	k.lastUsed = now
	sample := math.Log(float64(latency) / s.speed.Factor(now, id))
	if k.samples > 0 {
		s.speed.Observe(now, id, k.expected(), latency)
	}
	k.samples++
	k.log += max(1/float64(k.samples), latencyWeight) * (sample - k.log)
}
