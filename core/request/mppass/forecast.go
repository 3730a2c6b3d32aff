package mppass

import (
	"sync"
	"time"
)

const (
	// forecastWeight is the weight of the newest observation.
	forecastWeight = 0.1
	// firstPace is the time to read a token until it is measured; engines read
	// some dozens of tokens in a ms.
	firstPace = 20 * time.Microsecond
	// firstBase is the time to a first token that does not depend on the prompt.
	firstBase = 60 * time.Millisecond
	// sharedPart of the tokens that requests share are read again on average.
	sharedPart = 0.4
	mostWait   = 2 * time.Second
	// crowdedGap without a refusal ends a time of overload.
	crowdedGap = 2 * time.Second
)

// forecast remembers how long pools took lately, so that a request knows early
// whether it can still be on time. It is safe for concurrent use.
type forecast struct {
	mu    sync.Mutex
	waits map[string]time.Duration
	paces map[string]time.Duration
	// since is when callers began to be refused for want of time, and last when one
	// was.
	since time.Time
	last  time.Time
}

func newForecast() *forecast {
	return &forecast{waits: map[string]time.Duration{}, paces: map[string]time.Duration{}}
}

// waited notes how much longer than at an idle upstream a stage took.
func (c *forecast) waited(pool string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d = min(max(d, 0), mostWait)
	c.waits[pool] += time.Duration(forecastWeight * float64(d-c.waits[pool]))
}

// wait returns how long stages of pool wait at present.
func (c *forecast) wait(pool string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits[pool]
}

// began notes how long the first token of a prompt took.
func (c *forecast) began(pool string, prompt []PromptPart, d time.Duration) {
	n := unread(prompt)
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pace, ok := c.paces[pool]
	if !ok {
		pace = firstPace
	}
	seen := min(max(d-firstBase, 0)/time.Duration(n), 10*firstPace)
	c.paces[pool] = pace + time.Duration(forecastWeight*float64(seen-pace))
}

// first returns how long the first token of a prompt is expected to take.
func (c *forecast) first(pool string, prompt []PromptPart) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	pace, ok := c.paces[pool]
	if !ok {
		pace = firstPace
	}
	return firstBase + time.Duration(unread(prompt))*pace
}

// pause notes that a caller is refused for want of time, and returns when it should
// come back. The work that is ahead of it now takes wait, but new work arrives in
// its place while the overload lasts: as long again as it has lasted, for all that
// is known.
func (c *forecast) pause(now time.Time, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last) > crowdedGap {
		c.since = now
	}
	c.last = now
	return min(max(refusePause, wait, now.Sub(c.since)), mostPause)
}

// unread estimates the number of tokens that an engine has to read.
func unread(prompt []PromptPart) int {
	n := 0.0
	for i, p := range prompt {
		if i == len(prompt)-1 {
			n += float64(p.Tokens)
		} else {
			n += sharedPart * float64(p.Tokens)
		}
	}
	return int(n)
}
