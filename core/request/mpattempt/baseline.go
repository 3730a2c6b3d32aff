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

// ViewSource returns the view in force.
type ViewSource interface {
	Current() *mpview.View
}

// Baseline grants every permit, round-robin over all upstreams of the pool in all
// data centres. It applies no limits, so requests queue at the upstreams in order
// of arrival. It is the reference against which the other policies are measured.
type Baseline struct {
	view ViewSource
	next atomic.Uint64
}

// NewBaseline returns a Baseline that reads upstreams from view.
func NewBaseline(view ViewSource) *Baseline { return &Baseline{view: view} }

// Acquire returns a permit for the next upstream of the group's pool.
func (b *Baseline) Acquire(_ context.Context, group string, _ mppermit.Request) (Permit, *Refusal) {
	v := b.view.Current()
	pool, _ := v.Catalogue().PoolAndDC(group)
	usable := usableUpstreams(v, pool)
	if len(usable) == 0 {
		return Permit{}, &Refusal{Err: mperror.ErrNoUpstream}
	}
	name := usable[b.next.Add(1)%uint64(len(usable))]
	return NewPermit(mppermit.Attempt(rand.Uint64()), group, name, 0), nil
}

func usableUpstreams(v *mpview.View, pool string) []string {
	var usable []string
	for _, dc := range v.Catalogue().DCs() {
		for _, name := range v.Catalogue().GroupUpstreams(mpcatalogue.GroupName(pool, dc.Name)) {
			if u, ok := v.Catalogue().Upstream(name); ok && v.Usable(u) {
				usable = append(usable, name)
			}
		}
	}
	return usable
}

// Settle does nothing: Baseline does not track permits.
func (b *Baseline) Settle(Permit, mppermit.Settlement) {}
