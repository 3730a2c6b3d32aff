package mprollout

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// sliceWidth is the report interval of the VMs, so that a slice holds about one report of each.
	sliceWidth = 400 * time.Millisecond
	// maxSlices bounds the memory of a roll-out. When it is reached the width of the slices doubles.
	maxSlices = 64
	// maxRoutes bounds the routes that are judged apart. Further ones are pooled.
	maxRoutes = 32
	// otherRoutes is the name that routes beyond maxRoutes are pooled under.
	otherRoutes = "*"
)

// cell is what became known during a slice of the attempts of one version and route that began in one phase.
type cell struct {
	version, route          string
	phase                   Phase
	answers, failures, lost int
	latency                 histogram
}

func (c *cell) add(o *cell) {
	c.answers += o.answers
	c.failures += o.failures
	c.lost += o.lost
	c.latency.add(&o.latency)
}

// slice holds what arrived from start on.
type slice struct {
	start time.Time
	cells []cell
}

func (s *slice) cell(version, route string, phase Phase) *cell {
	for i := range s.cells {
		if c := &s.cells[i]; c.version == version && c.route == route && c.phase == phase {
			return c
		}
	}
	s.cells = append(s.cells, cell{version: version, route: route, phase: phase})
	return &s.cells[len(s.cells)-1]
}

type rowKey struct {
	reportKey
	version, route string
	phase          Phase
}

type reportKey struct {
	vm   string
	boot uint64
}

// vmReport is the newest report of a VM's process. It is replaced, never changed.
type vmReport struct {
	boot    uint64
	phase   Phase
	running map[string]int
	// open holds the attempts that run: their number as answers, and the times for which they wait as latencies.
	open []cell
}

// book holds what is known of one roll-out.
type book struct {
	rows    map[rowKey]Counts
	serials map[reportKey]uint64
	reports map[string]vmReport
	routes  map[string]bool
	width   time.Duration
	slices  []*slice
}

// Ledger holds the counts that VMs have reported. It is not safe for concurrent use.
type Ledger struct {
	books map[string]*book
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{books: map[string]*book{}} }

// Merge takes a report of the process of vm with the given boot, which arrived at now. Lost, repeated and
// reordered reports do no harm.
func (l *Ledger) Merge(now time.Time, vm string, boot uint64, rows []Counts) {
	byID := func(a, b Counts) int { return strings.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(rows, byID) {
		rows = slices.SortedStableFunc(slices.Values(rows), byID)
	}
	for len(rows) > 0 {
		id, n := rows[0].ID, 1
		for n < len(rows) && rows[n].ID == id {
			n++
		}
		b, ok := l.books[id]
		if !ok {
			b = newBook()
			l.books[id] = b
		}
		b.merge(now, reportKey{vm: vm, boot: boot}, rows[:n])
		rows = rows[n:]
	}
}

func newBook() *book {
	return &book{
		rows: map[rowKey]Counts{}, serials: map[reportKey]uint64{}, reports: map[string]vmReport{},
		routes: map[string]bool{}, width: sliceWidth,
	}
}

func (b *book) merge(now time.Time, from reportKey, rows []Counts) {
	serial := rows[0].Serial
	if last, ok := b.serials[from]; ok && serial <= last {
		return
	}
	b.serials[from] = serial
	report := vmReport{boot: from.boot, phase: b.reports[from.vm].phase, running: map[string]int{}}
	s := b.current(now)
	for i := range rows {
		c := &rows[i]
		if c.Version == "" {
			report.phase = c.Phase
			continue
		}
		report.running[c.Version] += int(c.Running)
		if c.Running > 0 {
			open := cell{version: c.Version, route: b.route(c.Route), phase: c.Phase, answers: int(c.Running)}
			for j, n := range c.Waiting {
				open.latency[j] = int32(n)
			}
			report.open = append(report.open, open)
		}
		key := rowKey{reportKey: from, version: c.Version, route: c.Route, phase: c.Phase}
		old := b.rows[key]
		// Counts that shrink within one process are not cumulative and would turn the sums negative.
		if c.Answers < old.Answers || c.Failures < old.Failures || c.Lost < old.Lost || c.Answers == old.Answers && c.Failures == old.Failures {
			continue
		}
		b.rows[key] = *c
		added := s.cell(c.Version, b.route(c.Route), c.Phase)
		added.answers += int(c.Answers - old.Answers)
		added.failures += int(c.Failures - old.Failures)
		added.lost += int(c.Lost - old.Lost)
		for j, n := range c.Latency {
			added.latency[j] += int32(max(n, old.Latency[j]) - old.Latency[j])
		}
	}
	b.reports[from.vm] = report
}

func (b *book) route(name string) string {
	if !b.routes[name] && len(b.routes) >= maxRoutes {
		return otherRoutes
	}
	b.routes[name] = true
	return name
}

// current returns the slice for what arrives at now.
func (b *book) current(now time.Time) *slice {
	n := len(b.slices)
	if n > 0 && now.Sub(b.slices[n-1].start) < b.width {
		return b.slices[n-1]
	}
	if n == maxSlices {
		b.width *= 2
		var merged []*slice
		for i := 0; i < n; i += 2 {
			s := &slice{start: b.slices[i].start}
			for _, old := range b.slices[i:min(i+2, n)] {
				for j := range old.cells {
					c := &old.cells[j]
					s.cell(c.version, c.route, c.phase).add(c)
				}
			}
			merged = append(merged, s)
		}
		b.slices = merged
		return b.current(now)
	}
	s := &slice{start: now}
	b.slices = append(b.slices, s)
	return s
}

// Forget drops all roll-outs for whose ID keep returns false.
func (l *Ledger) Forget(keep func(id string) bool) {
	maps.DeleteFunc(l.books, func(id string, _ *book) bool { return !keep(id) })
}

// Evidence returns what is known at now of the roll-out with the given ID.
func (l *Ledger) Evidence(now time.Time, id string) Evidence {
	b, ok := l.books[id]
	if !ok {
		return Evidence{at: now}
	}
	e := Evidence{at: now, slices: slices.Clone(b.slices), reports: maps.Clone(b.reports)}
	// Only the newest slice still changes.
	if n := len(e.slices); n > 0 {
		e.slices[n-1] = &slice{start: e.slices[n-1].start, cells: slices.Clone(e.slices[n-1].cells)}
	}
	return e
}

// Evidence is an immutable snapshot of the ledger for one roll-out. The zero value holds none.
type Evidence struct {
	at      time.Time
	slices  []*slice
	reports map[string]vmReport
}

// Total sums up the attempts of one or several versions.
type Total struct {
	Answers  int
	Failures int
	Running  int
}

// Total returns the sum over all VMs and routes. Attempts of VMs that are not in vms, and of earlier
// processes of a VM, are no longer running.
func (e Evidence) Total(vms []string, versions ...string) Total {
	return e.total(vms, func(version string) bool { return slices.Contains(versions, version) })
}

// others returns the sum of all versions but the target, also of those that were listed after the order.
func (e Evidence) others(vms []string, r Rollout) Total {
	return e.total(vms, func(version string) bool { return version != r.Target })
}

func (e Evidence) total(vms []string, match func(version string) bool) Total {
	var t Total
	for _, s := range e.slices {
		for i := range s.cells {
			if c := &s.cells[i]; match(c.version) {
				t.Answers += c.answers
				t.Failures += c.failures
			}
		}
	}
	for _, vm := range vms {
		for version, n := range e.reports[vm].running {
			if match(version) {
				t.Running += n
			}
		}
	}
	return t
}

// Rate returns the answers a second of all versions since the order.
func (e Evidence) Rate(r Rollout) float64 {
	t := e.total(nil, func(string) bool { return true })
	return float64(t.Answers) / max(e.at.Sub(r.Started()).Seconds(), 1)
}

// slowLatency returns the slowQuantile of the latencies of the old versions.
func (e Evidence) slowLatency(r Rollout) time.Duration {
	var sum histogram
	for _, s := range e.slices {
		for i := range s.cells {
			if c := &s.cells[i]; c.version != r.Target {
				sum.add(&c.latency)
			}
		}
	}
	left := (1 - slowQuantile) * float64(sum.total())
	for i := Buckets - 1; i > 0; i-- {
		if left -= float64(sum[i]); left < 0 {
			return upperBound(i)
		}
	}
	return 0
}

// Reported returns how many of vms have reported that they act on the phase p.
func (e Evidence) Reported(p Phase, vms []string) int {
	n := 0
	for _, vm := range vms {
		if e.reports[vm].phase == p {
			n++
		}
	}
	return n
}
