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
		cfg.Specs = append(cfg.Specs, Spec{Name: n, Limit: 4, Cold: 4, Ramp: 1, Usable: true})
	}
	return NewGroup(testNow, cfg)
}

func ask(id int, account string) Ask {
	return Ask{Attempt: Attempt(id), VM: "vm1", Account: account, Left: 5 * time.Second, Patience: 5 * time.Second}
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

func settle(g *Group, id int, end End) []Decision {
	return g.Settle(testNow, Settlement{Attempt: Attempt(id), End: end, Took: 100 * time.Millisecond})
}

func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := warmGroup("good", "bad")
	next, bad := 0, 0
	for range 60 {
		next++
		d := g.Ask(testNow, ask(next, "a"))
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
		g.Ask(testNow, ask(next, "big"))
	}
	for range 12 {
		next++
		g.Ask(testNow, ask(next, "big"))
	}
	g.Ask(testNow, ask(100, "small"))
	g.Ask(testNow, ask(101, "small"))
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
		g.Ask(testNow, ask(id, "a"))
		settle(g, id, Done)
	}
	for id := 31; id <= 34; id++ {
		g.Ask(testNow, ask(id, "a"))
	}
	late := ask(40, "a")
	late.Left = 110 * time.Millisecond
	d := g.Ask(testNow, late)
	if r, ok := d[0].(Refuse); !ok || r.Cause != Late || r.Retry <= 0 {
		t.Errorf("decision %+v on an ask that cannot end in time, want Late with a time to come back", d)
	}
}

func TestQueueIsBounded(t *testing.T) {
	g := warmGroup("u")
	refused := 0
	for id := 1; id <= 500; id++ {
		for _, d := range g.Ask(testNow, ask(id, "a")) {
			if _, ok := d.(Refuse); ok {
				refused++
			}
		}
	}
	if c := g.Counts(testNow); c.Waiting > queueFactor*4 || refused != 500-4-c.Waiting {
		t.Errorf("%d wait and %d were refused of 500", c.Waiting, refused)
	}
	d := g.Ask(testNow, ask(600, "other"))
	if r, ok := d[0].(Refuse); !ok || r.Attempt == 600 {
		t.Errorf("decision %+v: another account found no place in a full queue", d)
	}
}

func TestPrefixAffinity(t *testing.T) {
	g := warmGroup("a", "b", "c")
	count := map[string]int{}
	for id := 1; id <= 30; id++ {
		a := ask(id, "x")
		a.Prefix = 77
		count[g.Ask(testNow, a)[0].(Grant).Upstream]++
		settle(g, id, Done)
	}
	if len(count) != 1 {
		t.Errorf("requests of one prefix went to %v", count)
	}
	for id := 101; id <= 112; id++ {
		a := ask(id, "x")
		a.Prefix = 77
		if _, ok := g.Ask(testNow, a)[0].(Grant); !ok {
			t.Fatalf("attempt %d of 12 was refused by a group that bears 12", id)
		}
	}
}

func TestIsolation(t *testing.T) {
	g := warmGroup("a", "b")
	g.Ask(testNow, ask(1, "x"))
	g.Ask(testNow, ask(2, "x"))
	alone := ask(3, "x")
	alone.Alone = true
	if d := g.Ask(testNow, alone); len(granted(d)) != 0 {
		t.Fatalf("granted %+v beside another attempt", d)
	}
	got := granted(settle(g, 1, Done))
	got = append(got, granted(settle(g, 2, Done))...)
	if diff := cmp.Diff([]Attempt{3}, got); diff != "" {
		t.Errorf("granted (-want +got):\n%s", diff)
	}
	for id := 4; id <= 7; id++ {
		if got := granted(g.Ask(testNow, ask(id, "x"))); len(got) != 1 {
			t.Fatalf("attempt %d found no room beside an isolated one", id)
		}
	}
	if got := fmt.Sprint(g.Check()); got != "" {
		t.Errorf("breach at %s", got)
	}
}
