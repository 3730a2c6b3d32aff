package mpproxy

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

// Guards against wasted work in bursts of requests with several stages: the first stage
// accepted requests as on time that were late when they reached the last stage.
func TestForecast(t *testing.T) {
	t.Run("a longer prompt has a later first token", func(t *testing.T) {
		c := newForecast()
		short := c.firstTokenTime("p", []PromptPart{{Tokens: 300}, {Tokens: 1000}})
		long := c.firstTokenTime("p", []PromptPart{{Tokens: 13_000}, {Tokens: 20_000}})
		checkBetween(t, "the difference", long-short, 300*time.Millisecond, time.Second)
	})
	t.Run("the forecast follows a slow pool", func(t *testing.T) {
		c := newForecast()
		prompt := []PromptPart{{Tokens: 10_000}}
		for range 40 {
			c.recordFirstToken("p", prompt, time.Second)
		}
		checkBetween(t, "the forecast", c.firstTokenTime("p", prompt), 900*time.Millisecond, time.Second)
		checkBetween(t, "another pool's", c.firstTokenTime("q", prompt), 0, 400*time.Millisecond)
	})
	t.Run("waits follow the observations within bounds", func(t *testing.T) {
		c := newForecast()
		for range 60 {
			c.recordStageWait("p", time.Minute)
		}
		checkBetween(t, "the wait", c.stageWait("p"), maxStageWait*9/10, maxStageWait)
		c.recordStageWait("q", -time.Second)
		checkBetween(t, "a wait below zero", c.stageWait("q"), 0, 0)
	})
	t.Run("an early stage reserves time for the waits of later stages", func(t *testing.T) {
		reservedTime := func(r *harness) time.Duration {
			q := request("/once/")
			q.Pieces = []int{1, 1}
			r.serve(t.Context(), q)
			first, last := r.executor.specs[len(r.executor.specs)-2], r.executor.specs[len(r.executor.specs)-1]
			return last.SoftDeadline.Sub(first.SoftDeadline)
		}
		calm, busy := newHarness(t, good), newHarness(t, good)
		for range 60 {
			busy.p.forecast.recordStageWait("work", 500*time.Millisecond)
		}
		checkBetween(t, "the time reserved under load", reservedTime(busy)-reservedTime(calm), 400*time.Millisecond, 600*time.Millisecond)
	})
}

// The burst arrives at 1.6 times the rate that the queue can serve, and lasts as long
// as the bursts on the busiest days of both deployments.
const (
	burstLength      = 6 * time.Second
	burstServiceTime = 10 * time.Millisecond
	burstBaseRate    = 50
	burstRate        = 160
	burstExcess      = int((burstRate - float64(time.Second/burstServiceTime)) * float64(burstLength/time.Second))
	burstMaxDelay    = 2600 * time.Millisecond
	burstMaxWait     = 800 * time.Millisecond
)

// simulateBurst simulates one queue. A refused caller retries once, after the delay
// that retryAfter returns but within burstMaxDelay, a third of the time that a caller
// allows for its request. It returns the number of callers that were refused, and of
// those that were refused twice.
func simulateBurst(retryAfter func(now time.Time, wait time.Duration) time.Duration) (refused, twice int) {
	start := time.Unix(1000, 0)
	queueFree := start
	retries := map[time.Time]int{}
	arrivals := 0.0
	// serve reports whether a caller that arrives at now is served.
	serve := func(now time.Time) bool {
		if queueFree.Sub(now) > burstMaxWait {
			return false
		}
		queueFree = queueFree.Add(burstServiceTime)
		return true
	}
	for now := start; now.Before(start.Add(3 * burstLength)); now = now.Add(time.Millisecond) {
		if queueFree.Before(now) {
			queueFree = now
		}
		for range retries[now] {
			if !serve(now) {
				twice++
			}
		}
		rate := burstBaseRate
		if now.Sub(start) < burstLength {
			rate = burstRate
		}
		for arrivals += float64(rate) / 1000; arrivals >= 1; arrivals-- {
			if !serve(now) {
				refused++
				retries[now.Add(min(retryAfter(now, queueFree.Sub(now)), burstMaxDelay)).Truncate(time.Millisecond)]++
			}
		}
	}
	return refused, twice
}

// Guards against a Retry-After that is too short during a burst. When it covered only
// the queued work, callers retried while new arrivals had filled the queue again. Those
// that were served displaced others, which had to retry as well: nearly twice as many
// callers were late as the burst had in excess, and the rest were refused again and gave up.
func TestRefusedCallersRetryInTime(t *testing.T) {
	refused, twice := simulateBurst(newForecast().retryAfter)
	if most := burstExcess * 5 / 4; refused > most {
		t.Errorf("%d callers were refused, want at most %d: 1.25 times the excess of the burst", refused, most)
	}
	if most := burstExcess / 2; twice > most {
		t.Errorf("%d callers were refused twice, want at most %d: half the excess of the burst", twice, most)
	}
}
