package mpmember

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpquota"
)

// Guards against a VM that does not learn of the limits that other VMs know, or that renews
// its lease again and again for limits that it cannot take over.
func TestLimitsInRenewals(t *testing.T) {
	var learned []mpquota.Change
	limits := mpquota.NewLimits()
	m := New(Config{Limits: limits, OnLimit: func(c mpquota.Change) { learned = append(learned, c) }})
	reply := &mpwire.RenewReply{Limits: mpwire.EncodeLimits([]mpquota.Entry{{Upstream: "u", Rate: 2, Age: 300 * time.Millisecond}})}
	if !m.mergeLimits(reply) {
		t.Error("a new limit was not taken over")
	}
	if m.mergeLimits(&mpwire.RenewReply{Limits: mpwire.EncodeLimits([]mpquota.Entry{{Upstream: "u", Rate: 3, Age: time.Minute}})}) {
		t.Error("an older limit was taken over")
	}
	if diff := cmp.Diff([]mpquota.Change{{Upstream: "u", Rate: 2}}, learned); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	r := m.request()
	if got := mpwire.DecodeLimits(r.GetLimits()); len(got) != 1 || got[0].Rate != 2 || r.GetLimited() != limits.Hash() {
		t.Errorf("the next renewal tells of %v with hash %x, want the limit with hash %x", got, r.GetLimited(), limits.Hash())
	}
	if got := New(Config{}).request().GetLimits(); len(got) > 0 {
		t.Errorf("a VM without limits tells of %v", got)
	}
}
