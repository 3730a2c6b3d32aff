package mpproxy

import (
	"sync"
	"time"
)

const (
	// observationWeight is the weight of the newest sample in the moving averages.
	observationWeight = 0.1
	// defaultTokenTime is the prefill time per token that is assumed before the first
	// observation. Engines read some dozens of tokens per millisecond.
	defaultTokenTime = 20 * time.Microsecond
	// firstTokenOverhead is the part of the time to first token that does not depend
	// on the length of the prompt.
	firstTokenOverhead = 60 * time.Millisecond
	// sharedRereadRatio is the average fraction of a prompt's shared tokens that the
	// engine has to read again.
	sharedRereadRatio = 0.4
	maxStageWait      = 2 * time.Second
	// An overload ends after overloadGap without a refusal.
	overloadGap = 2 * time.Second
)

// forecast keeps moving averages of the recent latency of pools. They show early
// whether a request can still be on time. It is safe for concurrent use.
type forecast struct {
	mu         sync.Mutex
	stageWaits map[string]time.Duration
	tokenTimes map[string]time.Duration
	// overloadStart and lastRefusal are the times of the first and the last refusal
	// for lack of time in the current overload.
	overloadStart time.Time
	lastRefusal   time.Time
}

func newForecast() *forecast {
	return &forecast{stageWaits: map[string]time.Duration{}, tokenTimes: map[string]time.Duration{}}
}

// recordStageWait records how much longer a stage took than at an idle upstream.
func (f *forecast) recordStageWait(pool string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d = min(max(d, 0), maxStageWait)
	f.stageWaits[pool] += time.Duration(observationWeight * float64(d-f.stageWaits[pool]))
}

// stageWait returns the current average wait of stages at pool.
func (f *forecast) stageWait(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stageWaits[pool]
}

// recordFirstToken records the time to the first token of a prompt.
func (f *forecast) recordFirstToken(pool string, prompt []PromptPart, d time.Duration) {
	n := uncachedTokens(prompt)
	if n == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	tokenTime, ok := f.tokenTimes[pool]
	if !ok {
		tokenTime = defaultTokenTime
	}
	observed := min(max(d-firstTokenOverhead, 0)/time.Duration(n), 10*defaultTokenTime)
	f.tokenTimes[pool] = tokenTime + time.Duration(observationWeight*float64(observed-tokenTime))
}

// firstTokenTime returns the expected time to the first token of a prompt.
func (f *forecast) firstTokenTime(pool string, prompt []PromptPart) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	tokenTime, ok := f.tokenTimes[pool]
	if !ok {
		tokenTime = defaultTokenTime
	}
	return firstTokenOverhead + time.Duration(uncachedTokens(prompt))*tokenTime
}

// retryAfter records that a caller is refused for lack of time, and returns the
// delay after which it should retry. The work that is queued now takes wait, but
// new work replaces it for as long as the overload lasts. The best estimate of
// the time it will still last is the time it has lasted so far.
func (f *forecast) retryAfter(now time.Time, wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastRefusal) > overloadGap {
		f.overloadStart = now
	}
	f.lastRefusal = now
	return min(max(minRetryAfter, wait, now.Sub(f.overloadStart)), maxRetryAfter)
}

// uncachedTokens estimates how many tokens of the prompt an engine has to read.
func uncachedTokens(prompt []PromptPart) int {
	n := 0.0
	for i, p := range prompt {
		if i == len(prompt)-1 {
			n += float64(p.Tokens)
		} else {
			n += sharedRereadRatio * float64(p.Tokens)
		}
	}
	return int(n)
}
