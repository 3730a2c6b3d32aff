package mppermit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mpset"
)

var testNow = time.Unix(100, 0)

// warmGroup returns a group of the named upstreams, all warm with a limit of 4.
func warmGroup(names ...string) *Group {
	cfg := Config{Epoch: 1, Fresh: true}
	for _, n := range names {
		cfg.Upstreams = append(cfg.Upstreams, UpstreamSpec{Name: n, Limit: 4, ColdLimit: 4, Ramp: 1, Usable: true})
	}
	return NewGroup(testNow, cfg)
}

func newRequest(id int, account string) Request {
	return Request{Attempt: Attempt(id), VM: "vm1", Account: account, Remaining: 5 * time.Second, MaxExpectedWait: 5 * time.Second}
}

// granted returns the attempts granted by decisions, in order.
func granted(decisions []Decision) []Attempt {
	var out []Attempt
	for _, d := range decisions {
		if g, ok := d.(Grant); ok {
			out = append(out, g.Attempt)
		}
	}
	return out
}

func settle(g *Group, id int, outcome Outcome) []Decision {
	return g.Settle(testNow, Settlement{Attempt: Attempt(id), Outcome: outcome, ServiceTime: 100 * time.Millisecond})
}

func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := warmGroup("good", "bad")
	id, bad := 0, 0
	for range 60 {
		id++
		d := g.Acquire(testNow, newRequest(id, "a"))
		outcome := Done
		// Every second response of one upstream fails, so the breaker, which needs three
		// consecutive failures, never trips.
		if d[0].(Grant).Upstream == "bad" {
			bad++
			if bad%2 == 0 {
				outcome = Failed
			}
		}
		settle(g, id, outcome)
	}
	if bad > 20 {
		t.Errorf("%d of 60 attempts went to an upstream with an error rate of 50%%, want at most 20", bad)
	}
}

func TestFairShare(t *testing.T) {
	g := warmGroup("u")
	next := 0
	for range 4 {
		next++
		g.Acquire(testNow, newRequest(next, "big"))
	}
	for range 12 {
		next++
		g.Acquire(testNow, newRequest(next, "big"))
	}
	g.Acquire(testNow, newRequest(100, "small"))
	g.Acquire(testNow, newRequest(101, "small"))
	var order []Attempt
	for id := 1; id <= 4; id++ {
		order = append(order, granted(settle(g, id, Done))...)
	}
	small := mpset.Of(order...)
	if !small.Has(100) || !small.Has(101) {
		t.Errorf("first grants were %v, want attempts 100 and 101 of the account with 2 queued requests among them; another account has 12", order)
	}
}

func TestLateIsRefusedAtOnce(t *testing.T) {
	g := warmGroup("u")
	for id := 1; id <= 20; id++ {
		g.Acquire(testNow, newRequest(id, "a"))
		settle(g, id, Done)
	}
	for id := 31; id <= 34; id++ {
		g.Acquire(testNow, newRequest(id, "a"))
	}
	late := newRequest(40, "a")
	late.Remaining = 110 * time.Millisecond
	d := g.Acquire(testNow, late)
	if r, ok := d[0].(Refusal); !ok || r.Cause != Late || r.RetryAfter <= 0 {
		t.Errorf("decision %+v on a request that cannot meet its deadline, want Late with a positive RetryAfter", d)
	}
}

func TestQueueIsBounded(t *testing.T) {
	g := warmGroup("u")
	refused := 0
	for id := 1; id <= 500; id++ {
		for _, d := range g.Acquire(testNow, newRequest(id, "a")) {
			if _, ok := d.(Refusal); ok {
				refused++
			}
		}
	}
	if c := g.Counts(testNow); c.Waiting > queueCapacityFactor*4 || refused != 500-4-c.Waiting {
		t.Errorf("%d of 500 requests are queued and %d were refused", c.Waiting, refused)
	}
	d := g.Acquire(testNow, newRequest(600, "other"))
	if r, ok := d[0].(Refusal); !ok || r.Attempt == 600 {
		t.Errorf("decision %+v: a full queue did not evict a request in favour of another account", d)
	}
}

func TestPrefixAffinity(t *testing.T) {
	g := warmGroup("a", "b", "c")
	count := map[string]int{}
	for id := 1; id <= 30; id++ {
		a := newRequest(id, "x")
		a.PrefixHash = 77
		count[g.Acquire(testNow, a)[0].(Grant).Upstream]++
		settle(g, id, Done)
	}
	if len(count) != 1 {
		t.Errorf("requests with the same prefix went to %v, want one upstream", count)
	}
	for id := 101; id <= 112; id++ {
		a := newRequest(id, "x")
		a.PrefixHash = 77
		if _, ok := g.Acquire(testNow, a)[0].(Grant); !ok {
			t.Fatalf("attempt %d was not granted by a group with a total limit of 12", id)
		}
	}
}

func TestIsolation(t *testing.T) {
	g := warmGroup("a", "b")
	g.Acquire(testNow, newRequest(1, "x"))
	g.Acquire(testNow, newRequest(2, "x"))
	exclusive := newRequest(3, "x")
	exclusive.Exclusive = true
	if d := g.Acquire(testNow, exclusive); len(granted(d)) != 0 {
		t.Fatalf("granted %+v to an exclusive request while other attempts were running", d)
	}
	got := granted(settle(g, 1, Done))
	got = append(got, granted(settle(g, 2, Done))...)
	if diff := cmp.Diff([]Attempt{3}, got); diff != "" {
		t.Errorf("granted (-want +got):\n%s", diff)
	}
	for id := 4; id <= 7; id++ {
		if got := granted(g.Acquire(testNow, newRequest(id, "x"))); len(got) != 1 {
			t.Fatalf("attempt %d was not granted while an exclusive attempt was running", id)
		}
	}
	if got := fmt.Sprint(g.LimitViolation()); got != "" {
		t.Errorf("limit violated at %s", got)
	}
}
