package mprelay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a VM that takes one failure for a lost path, waits for a path that it knows to
// be lost, asks other VMs again and again for an upstream that has ended, or helps others
// although it has no path itself.
func TestPaths(t *testing.T) {
	begin := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	second := time.Second
	own, either, relayed := Plan{}, Plan{MayRelay: true}, Plan{RelayFirst: true, MayRelay: true}
	for name, c := range map[string]struct {
		record  func(p *Paths)
		address string
		at      time.Duration
		want    Plan
		relays  bool
	}{
		"nothing is known":              {func(*Paths) {}, "a", 0, either, true},
		"reached by way of another":     {func(p *Paths) { p.RecordRelayed(at(0), "a") }, "a", second, relayed, false},
		"another upstream":              {func(p *Paths) { p.RecordRelayed(at(0), "a") }, "b", second, either, true},
		"two were reached by others":    {func(p *Paths) { p.RecordRelayed(at(0), "a"); p.RecordRelayed(at(0), "b") }, "c", second, relayed, false},
		"a third is reached directly":   {func(p *Paths) { p.RecordRelayed(at(0), "a"); p.RecordRelayed(at(0), "b"); p.RecordDirect(at(1), "c") }, "d", second, either, true},
		"that was before":               {func(p *Paths) { p.RecordDirect(at(-1), "c"); p.RecordRelayed(at(0), "a"); p.RecordRelayed(at(0), "b") }, "d", second, relayed, false},
		"reached directly again":        {func(p *Paths) { p.RecordRelayed(at(0), "a"); p.RecordDirect(at(second), "a") }, "a", 2 * second, either, true},
		"long ago":                      {func(p *Paths) { p.RecordRelayed(at(0), "a") }, "a", relayedRetention, either, true},
		"reached by nobody":             {func(p *Paths) { p.RecordDown(at(0), "a") }, "a", second - 1, own, true},
		"reached by nobody a while ago": {func(p *Paths) { p.RecordDown(at(0), "a") }, "a", second, either, true},
		"ended behind the partition": {func(p *Paths) {
			for _, a := range []string{"a", "b", "c"} {
				p.RecordRelayed(at(0), a)
			}
			p.RecordDown(at(second), "a")
		}, "a", second + 1, own, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPaths()
			c.record(p)
			if diff := cmp.Diff(c.want, p.Plan(at(c.at), c.address)); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
			if got := p.CanRelay(at(c.at), c.address); got != c.relays {
				t.Errorf("helps others: %v, want %v", got, c.relays)
			}
		})
	}
	t.Run("VMs that could not help come last", func(t *testing.T) {
		p := NewPaths()
		p.RecordUnhelpful(at(0), "x")
		if diff := cmp.Diff([]string{"y", "z", "x"}, p.Order(at(second), []string{"x", "y", "z"})); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"x", "y"}, p.Order(at(peerPause), []string{"x", "y"})); diff != "" {
			t.Errorf("order later (-want +got):\n%s", diff)
		}
	})
	t.Run("lost paths are tried again, not all at once", func(t *testing.T) {
		p, n := NewPaths(), 0.0
		for i := range 10 {
			p.RecordRelayed(at(0), fmt.Sprint("u", i))
		}
		if got := len(p.Probes(at(0), func() float64 { n += 0.1; return n })); got != 10 {
			t.Errorf("%d paths are tried at first, want 10", got)
		}
		if got := len(p.Probes(at(probeInterval+probeInterval/2), func() float64 { return 0 })); got != 5 && got != 4 {
			t.Errorf("%d of 10 paths are tried after one and a half intervals", got)
		}
		p.Prune(func(string) bool { return false })
		if got := len(p.Probes(at(9*second), func() float64 { return 0 })); got != 0 {
			t.Errorf("%d paths to upstreams that are not listed are tried", got)
		}
	})
}
