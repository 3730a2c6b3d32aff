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
			return last.Aim.Sub(first.Aim)
		}
		calm, busy := newRig(t, good), newRig(t, good)
		for range 60 {
			busy.p.forecast.waited("work", 500*time.Millisecond)
		}
		checkBetween(t, "the time kept under load", aims(busy)-aims(calm), 400*time.Millisecond, 600*time.Millisecond)
	})
}
