package mprollout

import (
	"slices"
	"time"
)

// point holds the answers of both versions in one slice of time, of attempts that began in one phase.
type point struct {
	slice int
	start time.Time
	// all counts failures of any kind, lost those whose connection was lost, and errors the others.
	all, errors, lost table
	// open counts the attempts that run.
	open table
	// latency holds the target's latencies, waiting the times for which attempts wait for one; nil if there are none.
	latency, waiting *histogram
}

// series holds the answers of one route, or of all. Its points are the slices of time of attempts that began in
// the trial, and then those of attempts that began in the shift.
type series struct {
	name   string
	points []point
	// all is the sum over all points. In base are the latencies of the old versions, in baseWaiting the times for which their
	// attempts wait.
	all               table
	base, baseWaiting histogram
	// target holds the target's latencies and the times for which its attempts wait; waiting is the number of the latter.
	target  histogram
	waiting int
}

// sample is the evidence as the judge needs it.
type sample struct {
	// points holds the slice and start of each point, and shift is the index of the first one of the shift, which may be
	// len(points).
	points []point
	shift  int
	// shifted is set if the target has answered attempts that began in the shift.
	shifted bool
	// trialPoint and shiftPoint hold the index of the point of each slice.
	trialPoint, shiftPoint []int
	total                  *series
	routes                 []*series
	// warm is the number of the target's answers that have a latency.
	warm int
}

func newSample(r Rollout, e Evidence) *sample {
	s := &sample{trialPoint: make([]int, len(e.slices)), shiftPoint: make([]int, len(e.slices))}
	s.addPoints(e, s.trialPoint, func(p Phase) bool { return p != PhaseShift })
	s.shift = len(s.points)
	s.addPoints(e, s.shiftPoint, func(p Phase) bool { return p == PhaseShift })
	s.total = s.newSeries("")
	for i, slice := range e.slices {
		for j := range slice.cells {
			c := &slice.cells[j]
			s.count(s.pointOf(i, c.phase), c, c.version == r.Target)
		}
	}
	for _, report := range e.reports {
		for j := range report.open {
			s.countOpen(&report.open[j], report.open[j].version == r.Target)
		}
	}
	s.total.mergeLosses()
	for _, x := range s.routes {
		x.mergeLosses()
	}
	return s
}

// addPoints appends a point for each slice that has answers of attempts that began in a phase for which match returns true. There is
// always one for the newest slice, for attempts that wait.
func (s *sample) addPoints(e Evidence, index []int, match func(Phase) bool) {
	for i, slice := range e.slices {
		index[i] = -1
		if i == len(e.slices)-1 || slices.ContainsFunc(slice.cells, func(c cell) bool { return match(c.phase) }) {
			index[i] = len(s.points)
			s.points = append(s.points, point{slice: i, start: slice.start})
		}
	}
}

func (s *sample) pointOf(slice int, p Phase) int {
	if p == PhaseShift {
		return s.shiftPoint[slice]
	}
	return s.trialPoint[slice]
}

func (s *sample) newSeries(name string) *series {
	return &series{name: name, points: slices.Clone(s.points)}
}

func (s *sample) route(name string) *series {
	for _, x := range s.routes {
		if x.name == name {
			return x
		}
	}
	x := s.newSeries(name)
	s.routes = append(s.routes, x)
	return x
}

// countOpen counts attempts that run with the newest slice.
func (s *sample) countOpen(c *cell, isTarget bool) {
	x := s.route(c.route)
	i := s.pointOf(len(s.trialPoint)-1, c.phase)
	x.points[i].open.add(newTable(isTarget, c.answers, 0))
	s.total.points[i].open.add(newTable(isTarget, c.answers, 0))
	n := c.latency.total()
	if !isTarget {
		x.baseWaiting.add(&c.latency)
	} else if n > 0 {
		if x.points[i].waiting == nil {
			x.points[i].waiting = &histogram{}
		}
		x.points[i].waiting.add(&c.latency)
		x.target.add(&c.latency)
		x.waiting += n
		s.total.waiting += n
	}
}

func (s *sample) count(i int, c *cell, isTarget bool) {
	x := s.route(c.route)
	x.count(i, c, isTarget)
	s.total.count(i, c, isTarget)
	if !isTarget {
		x.base.add(&c.latency)
		return
	}
	s.shifted = s.shifted || c.phase == PhaseShift
	if n := c.latency.total(); n > 0 {
		x.points[i].latency = &c.latency // There is one such cell for each point.
		x.target.add(&c.latency)
		s.warm += n
	}
}

func (x *series) count(i int, c *cell, isTarget bool) {
	p := &x.points[i]
	// A stream may fail in a later slice than that in which it was answered.
	n := max(c.answers, c.failures)
	all := newTable(isTarget, n, c.failures)
	x.all.add(all)
	p.all.add(all)
	p.errors.add(newTable(isTarget, n-c.lost, c.failures-c.lost))
	p.lost.add(newTable(isTarget, n, c.lost))
}

func newTable(isTarget bool, n, bad int) table {
	if isTarget {
		return table{n1: n, x1: bad}
	}
	return table{n0: n, x0: bad}
}

// mergeLosses drops the losses of the second slice of each run of slices with losses, because the VMs report what one crash
// caused during two slices.
func (x *series) mergeLosses() {
	run := 0
	for i := range x.points {
		p := &x.points[i]
		if p.lost.x1+p.lost.x0 == 0 {
			run = 0
			continue
		}
		if run++; run == 2 {
			p.lost = table{}
		}
	}
}

// separate returns the answers of the point, of which all that were lost count as one.
func (p *point) separate() table {
	t := p.errors
	lost1, lost0 := min(p.lost.x1, 1), min(p.lost.x0, 1)
	t.add(table{n1: lost1, x1: lost1, n0: lost0, x0: lost0})
	return t
}

// independent returns the answers of the point with a bound on its failures: what fails within a slice may have one cause.
func (p *point) independent() table {
	t := p.separate()
	x1, x0 := min(t.x1, sliceFailures), min(t.x0, sliceFailures)
	return table{n1: t.n1 - t.x1 + x1, x1: x1, n0: t.n0 - t.x0 + x0, x0: x0}
}
