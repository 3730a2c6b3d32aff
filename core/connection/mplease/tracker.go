package mplease

import (
	"slices"
	"time"
)

// Config sets a Tracker.
type Config struct {
	// Duration is the lease that VMs get.
	Duration time.Duration
	// DriftMargin covers clock drift: the leader counts Span plus DriftMargin.
	DriftMargin time.Duration
	// ElectedAt is when this leader was elected; older leases end Span plus Margin later.
	ElectedAt time.Time
}

type lease struct {
	revision uint64
	until    time.Time
}

type tracked struct {
	confirmed uint64
	leases    []lease
}

// Tracker is the leader's table of leases. It is not safe for concurrent use.
type Tracker struct {
	cfg  Config
	rows map[string]*tracked
}

// NewTracker returns an empty table for a leader elected at cfg.Since.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, rows: map[string]*tracked{}}
}

// Confirm notes that vm has applied revision, so that its older leases no
// longer let it act on an older one.
func (t *Tracker) Confirm(vm string, revision uint64) {
	row := t.row(vm)
	if revision < row.confirmed {
		return
	}
	row.confirmed = revision
	row.leases = slices.DeleteFunc(row.leases, func(l lease) bool { return l.revision < revision })
}

// Forget forgets the leases of vm's former process, which has ended.
func (t *Tracker) Forget(vm string) { delete(t.rows, vm) }

// Grant notes that vm gets a lease at now together with the changes up to revision.
func (t *Tracker) Grant(now time.Time, vm string, revision uint64) {
	row := t.row(vm)
	until := now.Add(t.cfg.Duration + t.cfg.DriftMargin)
	row.leases = slices.DeleteFunc(row.leases, func(l lease) bool { return now.After(l.until) })
	for i := range row.leases {
		if row.leases[i].revision == revision {
			row.leases[i].until = until
			return
		}
	}
	row.leases = append(row.leases, lease{revision, until})
}

// InForce reports whether none of the VMs can act on a revision before the
// given one any more.
func (t *Tracker) InForce(now time.Time, revision uint64, vms []string) bool {
	for _, vm := range vms {
		if now.Before(t.oldUntil(vm, revision)) {
			return false
		}
	}
	return true
}

// Expired returns those of the VMs that hold no lease.
func (t *Tracker) Expired(now time.Time, vms []string) []string {
	var out []string
	for _, vm := range vms {
		if !now.Before(t.anyUntil(vm)) {
			out = append(out, vm)
		}
	}
	return out
}

func (t *Tracker) row(vm string) *tracked {
	r, ok := t.rows[vm]
	if !ok {
		r = &tracked{}
		t.rows[vm] = r
	}
	return r
}

// former returns when the leases of the leader before this one have ended.
func (t *Tracker) former() time.Time {
	return t.cfg.ElectedAt.Add(t.cfg.Duration + t.cfg.DriftMargin)
}

func (t *Tracker) oldUntil(vm string, revision uint64) time.Time {
	r, ok := t.rows[vm]
	if ok && r.confirmed >= revision {
		return time.Time{}
	}
	until := t.former()
	if !ok {
		return until
	}
	for _, l := range r.leases {
		if l.revision < revision && l.until.After(until) {
			until = l.until
		}
	}
	return until
}

func (t *Tracker) anyUntil(vm string) time.Time {
	until := t.former()
	r, ok := t.rows[vm]
	if !ok {
		return until
	}
	for _, l := range r.leases {
		if l.until.After(until) {
			until = l.until
		}
	}
	return until
}
