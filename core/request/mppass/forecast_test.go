package mppass

import (
	"testing"
	"time"
)

func checkBetween(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s is %v, want %v to %v", what, got, low, high)
	}
}

// Bursts of requests with chains of stages: the first stage took those for on
// time that were late by the time of the last, and their work was in vain.
func TestForecast(t *testing.T) {
	t.Run("a longer prompt is expected to begin later", func(t *testing.T) {
		c := newForecast()
		short := c.first("p", []Part{{Tokens: 300}, {Tokens: 1000}})
		long := c.first("p", []Part{{Tokens: 13_000}, {Tokens: 20_000}})
		checkBetween(t, "the difference", long-short, 300*time.Millisecond, time.Second)
	})
	t.Run("a slow pool is learned", func(t *testing.T) {
		c := newForecast()
		prompt := []Part{{Tokens: 10_000}}
		for range 40 {
			c.began("p", prompt, time.Second)
		}
		checkBetween(t, "the forecast", c.first("p", prompt), 900*time.Millisecond, time.Second)
		checkBetween(t, "another pool's", c.first("q", prompt), 0, 400*time.Millisecond)
	})
	t.Run("waits follow what is seen, within bounds", func(t *testing.T) {
		c := newForecast()
		for range 60 {
			c.waited("p", time.Minute)
		}
		checkBetween(t, "the wait", c.wait("p"), mostWait*9/10, mostWait)
		c.waited("q", -time.Second)
		checkBetween(t, "a wait below zero", c.wait("q"), 0, 0)
	})
	t.Run("an early stage leaves time for the waits of the later ones", func(t *testing.T) {
		aims := func(r *rig) time.Duration {
			q := request("/once/")
			q.Pieces = []int{1, 1}
			r.serve(t.Context(), q)
			first, last := r.maker.asks[len(r.maker.asks)-2], r.maker.asks[len(r.maker.asks)-1]
			return last.SoftDeadline.Sub(first.SoftDeadline)
		}
		calm, busy := newRig(t, good), newRig(t, good)
		for range 60 {
			busy.p.forecast.waited("work", 500*time.Millisecond)
		}
		checkBetween(t, "the time kept under load", aims(busy)-aims(calm), 400*time.Millisecond, 600*time.Millisecond)
	})
}

// The burst has 1.6 times what the queue can serve, and lasts as long as those of
// both users' heaviest days.
const (
	burstLength  = 6 * time.Second
	burstServe   = 10 * time.Millisecond
	burstCalm    = 50
	burstRate    = 160
	burstExcess  = int((burstRate - float64(time.Second/burstServe)) * float64(burstLength/time.Second))
	burstThird   = 2600 * time.Millisecond
	burstPatient = 800 * time.Millisecond
)

// burst plays one queue. A caller that is refused comes back once, when pause tells
// it to but within a third of its time. It returns how many callers were refused,
// and how many of them twice.
func burst(pause func(now time.Time, wait time.Duration) time.Duration) (refused, twice int) {
	start := time.Unix(1000, 0)
	free := start
	due := map[time.Time]int{}
	credit := 0.0
	// serve reports whether a caller gets its answer.
	serve := func(now time.Time) bool {
		if free.Sub(now) > burstPatient {
			return false
		}
		free = free.Add(burstServe)
		return true
	}
	for now := start; now.Before(start.Add(3 * burstLength)); now = now.Add(time.Millisecond) {
		if free.Before(now) {
			free = now
		}
		for range due[now] {
			if !serve(now) {
				twice++
			}
		}
		rate := burstCalm
		if now.Sub(start) < burstLength {
			rate = burstRate
		}
		for credit += float64(rate) / 1000; credit >= 1; credit-- {
			if !serve(now) {
				refused++
				due[now.Add(min(pause(now, free.Sub(now)), burstThird)).Truncate(time.Millisecond)]++
			}
		}
	}
	return refused, twice
}

// Callers that were told to come back when the work ahead of them would be done met
// the work that had arrived meanwhile. Those that got their turn took it from
// others, who then had to come back too, so that nearly twice as many were late as
// the burst had too many; the rest were refused for good.
func TestRefusedCallersComeBackInTime(t *testing.T) {
	refused, twice := burst(newForecast().pause)
	if most := burstExcess * 5 / 4; refused > most {
		t.Errorf("%d callers were refused, want %d at most: a quarter more than are too many", refused, most)
	}
	if most := burstExcess / 2; twice > most {
		t.Errorf("%d callers were refused for good, want %d at most: half of those that are too many", twice, most)
	}
}
