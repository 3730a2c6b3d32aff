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

func pick(t *testing.T, s *Selector, now time.Time, list []Candidate, info PickInfo) string {
	t.Helper()
	row, ok := s.Pick(now, list, info)
	if !ok {
		return ""
	}
	return row.ID
}

func checkPick(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstream (-want +got):\n%s", diff)
	}
}

func TestAffinity(t *testing.T) {
	now := time.Unix(100, 0)
	info := PickInfo{AffinityKey: 77, Work: 5000}
	t.Run("requests with the same affinity key go to one engine from any VM", func(t *testing.T) {
		a, b := New(Config{VM: "a"}), New(Config{VM: "b"})
		checkPick(t, pick(t, a, now, engines(12), info), pick(t, b, now, engines(12), info))
	})
	t.Run("a hot affinity key gets a second engine when the first exceeds its load bound", func(t *testing.T) {
		s := New(Config{VM: "a"})
		used := map[string]int{}
		for range 40 {
			used[pick(t, s, now, engines(12), info)]++
		}
		if len(used) < 2 || len(used) > 8 {
			t.Errorf("40 requests went to %v", used)
		}
	})
	t.Run("the loss of another engine does not move requests", func(t *testing.T) {
		s := New(Config{VM: "a"})
		first := pick(t, s, now, engines(12), info)
		var rest []Candidate
		dropped := false
		for _, c := range engines(12) {
			if c.Row.ID != first && !dropped {
				dropped = true
				continue
			}
			rest = append(rest, c)
		}
		checkPick(t, first, pick(t, s, now, rest, info))
	})
}

func TestFailures(t *testing.T) {
	now := time.Unix(100, 0)
	info := PickInfo{Work: 1, DC: "a"}
	t.Run("a failed upstream is avoided until its backoff ends", func(t *testing.T) {
		s := New(Config{VM: "v"})
		first := pick(t, s, now, engines(2), info)
		s.Done(now, first, info, Failed, 0)
		if second := pick(t, s, now, engines(2), info); second == first {
			t.Errorf("%s was picked again immediately", first)
		}
		if !s.state(first).isAvoided(now) || s.state(first).isAvoided(now.Add(maxBackoff)) {
			t.Error("the backoff does not start or does not end")
		}
	})
	t.Run("if all upstreams failed, the one whose backoff ends first is picked", func(t *testing.T) {
		s := New(Config{VM: "v"})
		for _, id := range []string{"e0", "e1"} {
			s.Done(now, id, info, Failed, 0)
		}
		s.Done(now, "e0", info, Failed, 0)
		checkPick(t, "e1", pick(t, s, now, engines(2), info))
	})
	t.Run("an excluded upstream is not picked", func(t *testing.T) {
		s := New(Config{VM: "v"})
		avoid := info
		avoid.Exclude = []string{"e0"}
		checkPick(t, "e1", pick(t, s, now, engines(2), avoid))
		avoid.Exclude = []string{"e0", "e1"}
		checkPick(t, "", pick(t, s, now, engines(2), avoid))
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

// When a data centre returns cold, all VMs see its idle engines at the same time and
// none knows what the others send. Together they must not overload the engines.
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
		// The platform tolerates more than twice the rate at a cold upstream.
		if float64(n) > 2*rate {
			t.Fatalf("%d requests in the second after %v", n, at.Sub(now))
		}
	}
	if float64(len(sent)) < rate {
		t.Errorf("only %d requests in 3 s", len(sent))
	}
}

// Guards against VMs that choose a cold engine by themselves and also get it from an owner, so that it gets
// more than it bears, and against an assigned engine that this VM would not use.
func TestPickOnly(t *testing.T) {
	now := time.Unix(100, 0)
	t.Run("a cold engine", func(t *testing.T) {
		cold := engines(1)
		cold[0].ColdUntil, cold[0].ColdRate = now.Add(time.Minute), 2
		vms := []string{"v0", "v1", "v2", "v3", "v4"}
		sent := 0
		for _, vm := range vms {
			s := New(Config{VM: vm})
			s.SetPeers(vms)
			for i := range 20 {
				at := now.Add(time.Duration(i) * 49 * time.Millisecond)
				if i%2 == 0 && s.PickOnly(at, cold[0], PickInfo{Work: 1}) {
					sent++
				} else if _, ok := s.Pick(at, cold, PickInfo{Work: 1}); ok {
					sent++
				}
			}
		}
		if sent != 2 {
			t.Errorf("%d requests within a second, want 2", sent)
		}
	})
	t.Run("one that is not usable", func(t *testing.T) {
		c := engines(1)[0]
		for name, prepare := range map[string]func(s *Selector){
			"failed":   func(s *Selector) { s.Done(now, c.Row.ID, PickInfo{}, Failed, 0) },
			"gone":     func(s *Selector) { s.Done(now, c.Row.ID, PickInfo{}, Gone, 0) },
			"deferred": func(s *Selector) { s.Return(c.Row.ID, PickInfo{}, now.Add(time.Second)) },
		} {
			s := New(Config{VM: "v"})
			prepare(s)
			if s.IsHealthy(now, c, PickInfo{}) || s.PickOnly(now, c, PickInfo{}) {
				t.Errorf("one that is %s was picked", name)
			}
		}
		s, info := New(Config{VM: "v"}), PickInfo{Exclude: []string{c.Row.ID}}
		if s.IsHealthy(now, c, info) || s.PickOnly(now, c, info) {
			t.Error("one that is excluded was picked")
		}
	})
	t.Run("its work counts", func(t *testing.T) {
		s, list := New(Config{VM: "v"}), engines(2)
		if !s.PickOnly(now, list[0], PickInfo{Work: 1, DC: "a"}) || s.state(list[0].Row.ID).inFlight != 1 {
			t.Errorf("%d attempts in flight", s.state(list[0].Row.ID).inFlight)
		}
		s.Done(now, list[0].Row.ID, PickInfo{Work: 1}, Succeeded, time.Millisecond)
		if got := s.state(list[0].Row.ID).inFlight; got != 0 {
			t.Errorf("%d attempts in flight after the end", got)
		}
	})
}

// A request with stages looks up the data centre of its engine before the stages
// run. That lookup used up this VM's share of a cold engine, so that the request
// went elsewhere.
func TestPeekCountsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	cold := engines(1)
	cold[0].ColdUntil, cold[0].ColdRate = now.Add(time.Minute), 6.6
	s := New(Config{VM: "v"})
	checkPick(t, "a", s.PeekDC(now, cold, PickInfo{Work: 1}))
	checkPick(t, "e0", pick(t, s, now.Add(300*time.Millisecond), cold, PickInfo{Work: 1}))
}

// Guards against requests that are sent again and again to the address of an upstream that has
// ended, where another process listens now: each such send is refused and takes from the retry
// budget.
func TestOtherProcessAtAddress(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(Config{VM: "a"})
	list := engines(2)
	first := pick(t, s, now, list, PickInfo{DC: "a"})
	checkPick(t, "e0", first)
	if got := s.Done(now, first, PickInfo{}, Gone, 0); got != Avoided {
		t.Errorf("health change %v, want %v", got, Avoided)
	}
	for _, after := range []time.Duration{0, time.Second, goneDuration - 1} {
		checkPick(t, "e1", pick(t, s, now.Add(after), list, PickInfo{DC: "a"}))
		checkPick(t, "", pick(t, s, now.Add(after), list[:1], PickInfo{DC: "a"}))
	}
	checkPick(t, "e0", pick(t, s, now.Add(goneDuration), list[:1], PickInfo{DC: "a"}))
}
