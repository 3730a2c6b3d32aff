package mppermit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mpset"
)

var testNow = time.Unix(100, 0)

// warmGroup has the named upstreams with a limit of 4, all warm.
func warmGroup(names ...string) *Group {
	cfg := Config{Epoch: 1, Fresh: true}
	for _, n := range names {
		cfg.Upstreams = append(cfg.Upstreams, UpstreamSpec{Name: n, Limit: 4, ColdLimit: 4, Ramp: 1, Usable: true})
	}
	return NewGroup(testNow, cfg)
}

func ask(id int, account string) Request {
	return Request{Attempt: Attempt(id), VM: "vm1", Account: account, Remaining: 5 * time.Second, MaxExpectedWait: 5 * time.Second}
}

// granted returns the attempts that decisions grant, in their order.
func granted(decisions []Decision) []Attempt {
	var out []Attempt
	for _, d := range decisions {
		if g, ok := d.(Grant); ok {
			out = append(out, g.Attempt)
		}
	}
	return out
}

func settle(g *Group, id int, end Outcome) []Decision {
	return g.Settle(testNow, Settlement{Attempt: Attempt(id), Outcome: end, ServiceTime: 100 * time.Millisecond})
}

func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := warmGroup("good", "bad")
	next, bad := 0, 0
	for range 60 {
		next++
		d := g.Acquire(testNow, ask(next, "a"))
		end := Done
		// Every other answer of one upstream fails, never three in a row.
		if d[0].(Grant).Upstream == "bad" {
			bad++
			if bad%2 == 0 {
				end = Failed
			}
		}
		settle(g, next, end)
	}
	if bad > 20 {
		t.Errorf("%d of 60 attempts went to an upstream that fails half of its answers", bad)
	}
}

func TestFairShare(t *testing.T) {
	g := warmGroup("u")
	next := 0
	for range 4 {
		next++
		g.Acquire(testNow, ask(next, "big"))
	}
	for range 12 {
		next++
		g.Acquire(testNow, ask(next, "big"))
	}
	g.Acquire(testNow, ask(100, "small"))
	g.Acquire(testNow, ask(101, "small"))
	var order []Attempt
	for id := 1; id <= 4; id++ {
		order = append(order, granted(settle(g, id, Done))...)
	}
	small := mpset.Of(order...)
	if !small.Has(100) || !small.Has(101) {
		t.Errorf("granted %v of an account with 12 waiting before one with 2", order)
	}
}

func TestLateIsRefusedAtOnce(t *testing.T) {
	g := warmGroup("u")
	for id := 1; id <= 20; id++ {
		g.Acquire(testNow, ask(id, "a"))
		settle(g, id, Done)
	}
	for id := 31; id <= 34; id++ {
		g.Acquire(testNow, ask(id, "a"))
	}
	late := ask(40, "a")
	late.Remaining = 110 * time.Millisecond
	d := g.Acquire(testNow, late)
	if r, ok := d[0].(Refusal); !ok || r.Cause != Late || r.RetryAfter <= 0 {
		t.Errorf("decision %+v on an ask that cannot end in time, want Late with a time to come back", d)
	}
}

func TestQueueIsBounded(t *testing.T) {
	g := warmGroup("u")
	refused := 0
	for id := 1; id <= 500; id++ {
		for _, d := range g.Acquire(testNow, ask(id, "a")) {
			if _, ok := d.(Refusal); ok {
				refused++
			}
		}
	}
	if c := g.Counts(testNow); c.Waiting > queueFactor*4 || refused != 500-4-c.Waiting {
		t.Errorf("%d wait and %d were refused of 500", c.Waiting, refused)
	}
	d := g.Acquire(testNow, ask(600, "other"))
	if r, ok := d[0].(Refusal); !ok || r.Attempt == 600 {
		t.Errorf("decision %+v: another account found no place in a full queue", d)
	}
}

func TestPrefixAffinity(t *testing.T) {
	g := warmGroup("a", "b", "c")
	count := map[string]int{}
	for id := 1; id <= 30; id++ {
		a := ask(id, "x")
		a.Prefix = 77
		count[g.Acquire(testNow, a)[0].(Grant).Upstream]++
		settle(g, id, Done)
	}
	if len(count) != 1 {
		t.Errorf("requests of one prefix went to %v", count)
	}
	for id := 101; id <= 112; id++ {
		a := ask(id, "x")
		a.Prefix = 77
		if _, ok := g.Acquire(testNow, a)[0].(Grant); !ok {
			t.Fatalf("attempt %d of 12 was refused by a group that bears 12", id)
		}
	}
}

func TestIsolation(t *testing.T) {
	g := warmGroup("a", "b")
	g.Acquire(testNow, ask(1, "x"))
	g.Acquire(testNow, ask(2, "x"))
	alone := ask(3, "x")
	alone.Exclusive = true
	if d := g.Acquire(testNow, alone); len(granted(d)) != 0 {
		t.Fatalf("granted %+v beside another attempt", d)
	}
	got := granted(settle(g, 1, Done))
	got = append(got, granted(settle(g, 2, Done))...)
	if diff := cmp.Diff([]Attempt{3}, got); diff != "" {
		t.Errorf("granted (-want +got):\n%s", diff)
	}
	for id := 4; id <= 7; id++ {
		if got := granted(g.Acquire(testNow, ask(id, "x"))); len(got) != 1 {
			t.Fatalf("attempt %d found no room beside an isolated one", id)
		}
	}
	if got := fmt.Sprint(g.LimitViolation()); got != "" {
		t.Errorf("breach at %s", got)
	}
}
