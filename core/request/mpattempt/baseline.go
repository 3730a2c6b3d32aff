package mpattempt

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

// Viewer gives the view in force.
type Viewer interface {
	Current() *mpview.View
}

// Baseline gives a permit to everyone, round-robin over all upstreams of the
// pool in all data centres. It knows no limits; requests queue at the upstreams
// in the order in which they come. It exists to be measured against.
type Baseline struct {
	view Viewer
	next atomic.Uint64
}

// NewBaseline returns a Baseline.
func NewBaseline(view Viewer) *Baseline { return &Baseline{view: view} }

// Acquire returns a permit for the next upstream of the group's pool.
func (b *Baseline) Acquire(_ context.Context, group string, _ mppermit.Request) (Permit, *Refusal) {
	v := b.view.Current()
	pool, _ := v.Catalogue().Place(group)
	usable := usableOf(v, pool)
	if len(usable) == 0 {
		return Permit{}, &Refusal{Err: mperror.ErrEmpty}
	}
	name := usable[b.next.Add(1)%uint64(len(usable))]
	return NewPermit(mppermit.Attempt(rand.Uint64()), group, name, 0), nil
}

func usableOf(v *mpview.View, pool string) []string {
	var usable []string
	for _, dc := range v.Catalogue().DCs() {
		for _, name := range v.Catalogue().Group(mpcatalogue.GroupName(pool, dc.Name)) {
			if u, ok := v.Catalogue().Upstream(name); ok && v.Usable(u) {
				usable = append(usable, name)
			}
		}
	}
	return usable
}

// Settle does nothing.
func (b *Baseline) Settle(Permit, mppermit.Settlement) {}
