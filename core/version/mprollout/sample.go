package mprollout

import "time"

// point holds the answers of both versions in one slice of time, of attempts that began in one phase.
type point struct {
	start time.Time
	// all counts failures of any kind, lost those whose connection was lost, and errors the others.
	all, errors, lost table
	// latency holds the target's latencies, waiting the times for which attempts wait for one.
	latency, waiting histogram
}

// series holds the answers of one route, or of all. Its points are the slices of time of attempts that began in
// the trial, and then again all of those that began in the shift.
type series struct {
	name   string
	points []point
	// all is the sum over all points. In base are the latencies of the old versions, in baseWaiting the times for which their
	// attempts wait.
	all               table
	base, baseWaiting histogram
}

// sample is the evidence as the judge needs it.
type sample struct {
	// shift is the index of the first point of the shift.
	shift  int
	total  *series
	routes []*series
	// warm is the number of the target's answers that have a latency.
	warm int
}

func newSample(r Rollout, e Evidence) *sample {
	s := &sample{shift: len(e.slices)}
	s.total = s.newSeries("", e)
	for i, slice := range e.slices {
		for j := range slice.cells {
			s.count(s.pointOf(i, &slice.cells[j]), &slice.cells[j], slice.cells[j].version == r.Target, e)
		}
	}
	for _, report := range e.reports {
		for j := range report.waiting {
			c := &report.waiting[j]
			x := s.route(c.route, e)
			if c.version == r.Target {
				x.points[s.pointOf(s.shift-1, c)].waiting.add(&c.latency)
			} else {
				x.baseWaiting.add(&c.latency)
			}
		}
	}
	s.total.mergeLosses()
	for _, x := range s.routes {
		x.mergeLosses()
	}
	return s
}

func (s *sample) pointOf(slice int, c *cell) int {
	if c.phase == PhaseShift {
		return s.shift + slice
	}
	return slice
}

func (s *sample) newSeries(name string, e Evidence) *series {
	x := &series{name: name, points: make([]point, 2*s.shift)}
	for i := range x.points {
		x.points[i].start = e.slices[i%s.shift].start
	}
	return x
}

func (s *sample) route(name string, e Evidence) *series {
	for _, x := range s.routes {
		if x.name == name {
			return x
		}
	}
	x := s.newSeries(name, e)
	s.routes = append(s.routes, x)
	return x
}

func (s *sample) count(i int, c *cell, isTarget bool, e Evidence) {
	x := s.route(c.route, e)
	x.count(i, c, isTarget)
	s.total.count(i, c, isTarget)
	if !isTarget {
		x.base.add(&c.latency)
		return
	}
	x.points[i].latency.add(&c.latency)
	s.warm += c.latency.total()
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

// independent returns the answers of the point with a bound on its failures: what fails within a slice may have one cause.
func (p *point) independent() table {
	t := p.errors
	x1 := min(t.x1+min(p.lost.x1, 1), sliceFailures)
	x0 := min(t.x0+min(p.lost.x0, 1), sliceFailures)
	return table{n1: t.n1 - t.x1 + x1, x1: x1, n0: t.n0 - t.x0 + x0, x0: x0}
}
