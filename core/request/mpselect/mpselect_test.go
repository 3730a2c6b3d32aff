package mpselect

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/version/mplist"
)

func engines(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].Row = mplist.Row{ID: fmt.Sprint("e", i), DC: string(rune('a' + i%2)), Slots: 4}
	}
	return out
}

func pick(t *testing.T, s *Selector, now time.Time, list []Candidate, ask PickInfo) string {
	t.Helper()
	row, ok := s.Pick(now, list, ask)
	if !ok {
		return ""
	}
	return row.ID
}

func check(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstream (-want +got):\n%s", diff)
	}
}

func TestAffinity(t *testing.T) {
	now := time.Unix(100, 0)
	ask := PickInfo{AffinityKey: 77, Work: 5000}
	t.Run("requests that share a part go to one engine, from any VM", func(t *testing.T) {
		a, b := New(Config{VM: "a"}), New(Config{VM: "b"})
		check(t, pick(t, a, now, engines(12), ask), pick(t, b, now, engines(12), ask))
	})
	t.Run("a hot part gets a second engine when the first has far more than its share", func(t *testing.T) {
		s := New(Config{VM: "a"})
		used := map[string]int{}
		for range 40 {
			used[pick(t, s, now, engines(12), ask)]++
		}
		if len(used) < 2 || len(used) > 8 {
			t.Errorf("40 requests went to %v", used)
		}
	})
	t.Run("the loss of another engine moves nothing", func(t *testing.T) {
		s := New(Config{VM: "a"})
		first := pick(t, s, now, engines(12), ask)
		var rest []Candidate
		dropped := false
		for _, c := range engines(12) {
			if c.Row.ID != first && !dropped {
				dropped = true
				continue
			}
			rest = append(rest, c)
		}
		check(t, first, pick(t, s, now, rest, ask))
	})
}

func TestFailures(t *testing.T) {
	now := time.Unix(100, 0)
	ask := PickInfo{Work: 1, DC: "a"}
	t.Run("one that failed is avoided for a while", func(t *testing.T) {
		s := New(Config{VM: "v"})
		first := pick(t, s, now, engines(2), ask)
		s.Done(now, first, ask, Failed, 0)
		if second := pick(t, s, now, engines(2), ask); second == first {
			t.Errorf("%s was chosen again at once", first)
		}
		if !s.state(first).isSuspect(now) || s.state(first).isSuspect(now.Add(suspectMost)) {
			t.Error("the pause does not end")
		}
	})
	t.Run("where all failed the first to return is tried", func(t *testing.T) {
		s := New(Config{VM: "v"})
		for _, id := range []string{"e0", "e1"} {
			s.Done(now, id, ask, Failed, 0)
		}
		s.Done(now, "e0", ask, Failed, 0)
		check(t, "e1", pick(t, s, now, engines(2), ask))
	})
	t.Run("an upstream that the request was sent to is not chosen again", func(t *testing.T) {
		s := New(Config{VM: "v"})
		avoid := ask
		avoid.Exclude = []string{"e0"}
		check(t, "e1", pick(t, s, now, engines(2), avoid))
		avoid.Exclude = []string{"e0", "e1"}
		check(t, "", pick(t, s, now, engines(2), avoid))
	})
}

func TestNearestFirst(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(Config{VM: "v"})
	got := map[string]int{}
	for range 12 {
		got[pick(t, s, now, engines(2), PickInfo{Work: 1, DC: "a"})]++
	}
	if got["e0"] <= got["e1"] || got["e1"] == 0 {
		t.Errorf("attempts in flight %v, want more at the near e0 and some at e1", got)
	}
}

// A zone that returns cold: every VM finds its engines idle at once, and none
// knows what the others send.
func TestColdReturn(t *testing.T) {
	const rate, perSecond = 6.6, 200
	vms := make([]string, 30)
	for i := range vms {
		vms[i] = fmt.Sprint("vm", i)
	}
	now := time.Unix(100, 0)
	cold := engines(1)
	cold[0].ColdUntil, cold[0].ColdRate = now.Add(time.Minute), rate
	var sent []time.Time
	selectors := make([]*Selector, len(vms))
	for i, vm := range vms {
		selectors[i] = New(Config{VM: vm})
		selectors[i].SetPeers(vms)
	}
	for i := range 3 * perSecond {
		at := now.Add(time.Duration(i) * time.Second / perSecond)
		if _, ok := selectors[i%len(vms)].Pick(at, cold, PickInfo{Work: 1}); ok {
			sent = append(sent, at)
		}
	}
	for i, at := range sent {
		n := 0
		for _, o := range sent[i:] {
			if o.Sub(at) < time.Second {
				n++
			}
		}
		// Twice the rate is below what the platform bears at a cold upstream.
		if float64(n) > 2*rate {
			t.Fatalf("%d requests in the second after %v", n, at.Sub(now))
		}
	}
	if float64(len(sent)) < rate {
		t.Errorf("only %d requests in 3 s", len(sent))
	}
}

// A request with stages looks where its engine lies before they are made; that
// look used up the share of a cold engine, and the request went elsewhere.
func TestPeekCountsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	cold := engines(1)
	cold[0].ColdUntil, cold[0].ColdRate = now.Add(time.Minute), 6.6
	s := New(Config{VM: "v"})
	check(t, "a", s.PeekDC(now, cold, PickInfo{Work: 1}))
	check(t, "e0", pick(t, s, now.Add(300*time.Millisecond), cold, PickInfo{Work: 1}))
}
