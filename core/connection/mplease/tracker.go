package mplease

import (
	"slices"
	"time"
)

// Config configures a Tracker.
type Config struct {
	// Duration is the duration of the leases granted to VMs.
	Duration time.Duration
	// DriftMargin allows for clock drift: the leader counts Duration plus DriftMargin.
	DriftMargin time.Duration
	// ElectedAt is when this leader was elected. Leases granted by earlier leaders have
	// expired Duration plus DriftMargin after it.
	ElectedAt time.Time
}

type grant struct {
	revision uint64
	expiry   time.Time
}

type vmLeases struct {
	appliedRevision uint64
	grants          []grant
}

// Tracker is the leader's table of leases. It is not safe for concurrent use.
type Tracker struct {
	cfg Config
	vms map[string]*vmLeases
}

// NewTracker returns an empty table for a leader elected at cfg.ElectedAt.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, vms: map[string]*vmLeases{}}
}

// Confirm records that vm has applied revision. Its leases granted at older revisions
// no longer let it act on one of these.
func (t *Tracker) Confirm(vm string, revision uint64) {
	row := t.vmLeases(vm)
	if revision < row.appliedRevision {
		return
	}
	row.appliedRevision = revision
	row.grants = slices.DeleteFunc(row.grants, func(l grant) bool { return l.revision < revision })
}

// Forget removes the leases of vm's previous process, which has ended.
func (t *Tracker) Forget(vm string) { delete(t.vms, vm) }

// Grant records a lease granted to vm at now with the changes up to revision.
func (t *Tracker) Grant(now time.Time, vm string, revision uint64) {
	row := t.vmLeases(vm)
	until := now.Add(t.cfg.Duration + t.cfg.DriftMargin)
	row.grants = slices.DeleteFunc(row.grants, func(l grant) bool { return now.After(l.expiry) })
	for i := range row.grants {
		if row.grants[i].revision == revision {
			row.grants[i].expiry = until
			return
		}
	}
	row.grants = append(row.grants, grant{revision, until})
}

// InForce reports whether none of the VMs can still act on a revision before the
// given one.
func (t *Tracker) InForce(now time.Time, revision uint64, vms []string) bool {
	for _, vm := range vms {
		if now.Before(t.olderLeasesEnd(vm, revision)) {
			return false
		}
	}
	return true
}

// Expired returns the VMs without a valid lease.
func (t *Tracker) Expired(now time.Time, vms []string) []string {
	var out []string
	for _, vm := range vms {
		if !now.Before(t.lastLeaseEnd(vm)) {
			out = append(out, vm)
		}
	}
	return out
}

func (t *Tracker) vmLeases(vm string) *vmLeases {
	r, ok := t.vms[vm]
	if !ok {
		r = &vmLeases{}
		t.vms[vm] = r
	}
	return r
}

// formerLeasesEnd returns when all leases granted by earlier leaders have expired.
func (t *Tracker) formerLeasesEnd() time.Time {
	return t.cfg.ElectedAt.Add(t.cfg.Duration + t.cfg.DriftMargin)
}

func (t *Tracker) olderLeasesEnd(vm string, revision uint64) time.Time {
	r, ok := t.vms[vm]
	if ok && r.appliedRevision >= revision {
		return time.Time{}
	}
	until := t.formerLeasesEnd()
	if !ok {
		return until
	}
	for _, l := range r.grants {
		if l.revision < revision && l.expiry.After(until) {
			until = l.expiry
		}
	}
	return until
}

func (t *Tracker) lastLeaseEnd(vm string) time.Time {
	until := t.formerLeasesEnd()
	r, ok := t.vms[vm]
	if !ok {
		return until
	}
	for _, l := range r.grants {
		if l.expiry.After(until) {
			until = l.expiry
		}
	}
	return until
}
