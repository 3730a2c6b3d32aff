package mpproxy

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"mustardpost.org/core/version/mproute"
)

const (
	// leaveMargin is reserved to return responses before the process ends.
	leaveMargin = 200 * time.Millisecond
	// durationSamples is the number of requests of a route whose durations are kept.
	durationSamples = 64
	// usualShare is the share of a route's latest requests that take no longer than usual.
	usualShare = 0.95
	// allRequests is the share for requests that may not run again.
	allRequests = 1.0
)

// durations holds how long the latest answered requests of each route took. It is safe for
// concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDurations
}

type routeDurations struct {
	samples [durationSamples]time.Duration
	count   int
}

func newDurations() *durations { return &durations{routes: map[string]*routeDurations{}} }

func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		r = &routeDurations{}
		d.routes[route] = r
	}
	r.samples[r.count%durationSamples] = took
	r.count++
}

// longest returns how long a share of the latest requests of a route took at most, or false if
// there were none.
func (d *durations) longest(route string, share float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return 0, false
	}
	sorted := slices.Clone(r.samples[:min(r.count, durationSamples)])
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1))], true
}

// Leave lets the proxy refuse requests from now on that would not end before the process does,
// at until. Requests that are being served go on.
func (p *Proxy) Leave(until time.Time) {
	last := until.Add(-leaveMargin)
	p.leaveDeadline.Store(&last)
}

// admitBeforeLeave refuses the request if the process ends before it would, and returns false
// then.
func (e *exchange) admitBeforeLeave() bool {
	last := e.p.leaveDeadline.Load()
	if last == nil {
		return true
	}
	if left := last.Sub(e.start); e.timeNeeded() > left {
		e.refuse(http.StatusServiceUnavailable, minRetryAfter, "leaving", "ends in "+left.String())
		return false
	}
	e.processEnd = *last
	return true
}

// contextDeadline returns when the request is given up. The end of the process does not
// shorten the request's deadline, of which the patience with each upstream is a part.
func (e *exchange) contextDeadline() time.Time {
	if !e.processEnd.IsZero() && e.processEnd.Before(e.deadline) {
		return e.processEnd
	}
	return e.deadline
}

// timeNeeded returns how long the request must be able to run before this process ends. One
// that may not run again needs as long as any of the latest ones took or, if it is no stream,
// all the time that its route allows. Streams seldom take a large part of theirs.
func (e *exchange) timeNeeded() time.Duration {
	spec := e.route.Spec()
	limit := e.deadline.Sub(e.start)
	if spec.Kind == mproute.NonIdempotent {
		return limit
	}
	share := usualShare
	if !e.route.IsRepeatable() {
		share = allRequests
	}
	if longest, ok := e.p.durations.longest(spec.Name, share); ok {
		return min(longest, limit)
	}
	return limit
}
