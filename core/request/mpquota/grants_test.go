package mpquota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against more requests than an upstream's rate allows, and against a rate below one
// that grants nothing.
func TestGrants(t *testing.T) {
	for _, rate := range []float64{0.1, 0.5, 1, 3, 10, 100} {
		g := NewGrants(GrantsConfig{})
		var granted []int
		const length, step, window = 60_000, 5, 4000
		for ms := 0; ms < length; ms += step {
			if g.Take(at(ms), "u", rate) == 0 {
				granted = append(granted, ms)
			}
		}
		most := 0
		for i, from := range granted {
			n := 0
			for _, ms := range granted[i:] {
				if ms < from+window {
					n++
				}
			}
			most = max(most, n)
		}
		if limit := rate*window/1000*1.0 + rate/4 + 1; float64(most) > limit {
			t.Errorf("rate %v: %d requests in 4 s, want at most %v", rate, most, limit)
		}
		if want := rate * length / 1000; float64(len(granted)) < 0.95*want {
			t.Errorf("rate %v: %d requests in 60 s, want about %v", rate, len(granted), want)
		}
	}
}

// Guards against an upstream that takes more again and gets nothing for as long as its former
// rate said.
func TestGrantsAtRisingRate(t *testing.T) {
	g := NewGrants(GrantsConfig{})
	g.Take(at(0), "u", 0.1)
	if wait := g.Take(at(100), "u", 0.1); wait < 9*time.Second {
		t.Errorf("wait %v at one request in 10 s", wait)
	}
	if wait := g.Take(at(200), "u", 5); wait > 200*time.Millisecond {
		t.Errorf("wait %v at five a second", wait)
	}
}

// Guards against VMs that all begin their shares of a rate at the same moment.
func TestSharesDoNotBeginTogether(t *testing.T) {
	const vms, rate, seconds = 76, 1.0, 4
	r := rand.New(rand.NewPCG(1, 1))
	granted := 0
	for range vms {
		g := NewGrants(GrantsConfig{FirstDelay: func(interval time.Duration) time.Duration { return time.Duration(r.Float64() * float64(interval)) }})
		for ms := 0; ms < 1000*seconds; ms += 10 {
			if g.Take(at(ms), "u", rate/vms) == 0 {
				granted++
			}
		}
	}
	if granted > 2*rate*seconds {
		t.Errorf("%d requests were granted in %d s at a rate of %v", granted, seconds, rate)
	}
}
