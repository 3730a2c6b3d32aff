package mprollout

import (
	"maps"
	"slices"
	"time"
)

type ledgerKey struct {
	vm, version, route string
	boot               uint64
}

type vmReport struct {
	boot   uint64
	phase  Phase
	serial uint64
}

type book struct {
	rows    map[ledgerKey]Counts
	reports map[string]vmReport
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
	for _, c := range rows {
		b, ok := l.books[c.ID]
		if !ok {
			b = &book{rows: map[ledgerKey]Counts{}, reports: map[string]vmReport{}}
			l.books[c.ID] = b
		}
		if last := b.reports[vm]; last.boot != boot || last.serial < c.Serial {
			b.reports[vm] = vmReport{boot: boot, phase: c.Phase, serial: c.Serial}
		}
		key := ledgerKey{vm: vm, boot: boot, version: c.Version, route: c.Route}
		if old, ok := b.rows[key]; !ok || old.Serial < c.Serial {
			b.rows[key] = c
		}
	}
}

// Forget drops all roll-outs for whose ID keep returns false.
func (l *Ledger) Forget(keep func(id string) bool) {
	maps.DeleteFunc(l.books, func(id string, _ *book) bool { return !keep(id) })
}

// Evidence returns what is known at now of the roll-out with the given ID.
func (l *Ledger) Evidence(now time.Time, id string) Evidence {
	b, ok := l.books[id]
	if !ok {
		return Evidence{}
	}
	return Evidence{rows: maps.Clone(b.rows), reports: maps.Clone(b.reports)}
}

// Evidence is an immutable snapshot of the ledger for one roll-out. The zero value holds none.
type Evidence struct {
	rows    map[ledgerKey]Counts
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
	var t Total
	for key, c := range e.rows {
		if !slices.Contains(versions, key.version) {
			continue
		}
		t.Answers += int(c.Answers)
		t.Failures += int(c.Failures)
		if e.reports[key.vm].boot == key.boot && slices.Contains(vms, key.vm) {
			t.Running += int(c.Running)
		}
	}
	return t
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
