package mpassign

import (
	"fmt"
	"slices"
)

// figures are what a simulation measured.
type figures struct {
	// busiest is the largest share of the work of an engine for its speed, relative to the mean.
	busiestWork, busiestRequests, busiestTime float64
	readAgain                                 float64
	refusals, avoidable, lost                 int
	p50, p90                                  float64
	longP50, longP90                          float64
}

func (f *fleet) figures() figures {
	var out figures
	var work, requests, busy, speeds float64
	for _, e := range f.engines {
		work += e.prefilled
		requests += e.requests
		busy += e.busy
		speeds += e.speed
	}
	for _, e := range f.engines {
		share := e.speed / speeds
		out.busiestWork = max(out.busiestWork, e.prefilled/(work*share))
		out.busiestRequests = max(out.busiestRequests, e.requests/(requests*share))
		out.busiestTime = max(out.busiestTime, e.busy/(busy/float64(len(f.engines))))
	}
	var all []float64
	for _, list := range f.firsts {
		all = append(all, list...)
	}
	out.p50, out.p90 = quantile(all, 0.5), quantile(all, 0.9)
	out.longP50, out.longP90 = quantile(f.firsts[0], 0.5), quantile(f.firsts[0], 0.9)
	out.readAgain, out.refusals, out.avoidable, out.lost = f.readAgain, f.refusals, f.avoidable, f.lost
	return out
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (g figures) String() string {
	return fmt.Sprintf("busiest/mean work %.2f requests %.2f time %.2f; shared read again %.2f M; refusals %d (%d avoidable), lost %d; first token p50 %.0f p90 %.0f ms, longest kind %.0f and %.0f",
		g.busiestWork, g.busiestRequests, g.busiestTime, g.readAgain/1e6, g.refusals, g.avoidable, g.lost, g.p50, g.p90, g.longP50, g.longP90)
}
