package mpbatch

import "time"

const (
	// duplicateShare is the share of all pieces that may be made a second time because
	// a call is overdue, duplicateBurst the number of them at once. Both are below what
	// the platform allows for repeats.
	duplicateShare = 0.08
	duplicateBurst = 24.0
	// largeTransferBytes is the traffic between data centres from which a piece should
	// wait for an upstream in its preferred data centre, since such traffic is slow and
	// costly.
	largeTransferBytes = 100_000
	// clearRatio is the ratio of two expected durations from which they count as different. The
	// factors of upstreams that are equally fast differ by less.
	clearRatio = 1.15
	// waitRatio is by how much sooner a call to a busy upstream must end for pieces to wait for it
	// beside an idle one. In virtual time with three speeds and a sixth of the upstreams slow for
	// moments, pieces took longest at 1.15, where calls wait to save little, and without waiting.
	waitRatio = 1.4
	// lateRatio is the time that a call has run, divided by its expected duration, from which on no
	// pieces wait for its end.
	lateRatio = 1.1
)

// duplicateOverdue queues the unfinished pieces of overdue calls again, so that other
// upstreams make them as well, within the duplicate budget.
func (b *Batcher) duplicateOverdue(now time.Time) {
	for _, c := range b.activeCalls {
		if c.duplicated || now.Before(b.overdueAt(c)) || b.duplicateBudget < float64(len(c.jobs)) {
			continue
		}
		c.duplicated = true
		for i, j := range c.jobs {
			p := &j.pieces[c.call.Items[i].Number]
			if p.state == running && !j.isDone() {
				p.state = waiting
				b.duplicateBudget--
			}
		}
	}
}

// place returns the call that the next piece of j is added to: one from open, which
// have not started, or a new call to an idle upstream. It returns nil if the piece has
// to wait.
func (b *Batcher) place(now time.Time, j *Job, open *[]*activeCall) *activeCall {
	var best *activeCall
	for _, c := range *open {
		s := b.upstreamsByID[c.call.Upstream.ID]
		if len(c.jobs) >= b.cfg.Spec.MaxPieces || c.takenFrom != nil || !b.hasMemory(now, s, j) {
			continue
		}
		if best == nil || s.upstream.DC == j.preferredDC() && best.call.Upstream.DC != j.preferredDC() {
			best = c
		}
	}
	if best != nil && (best.call.Upstream.DC == j.preferredDC() || !b.shouldAwaitPreferredDC(now, j)) {
		return best
	}
	var idle *upstreamState
	for _, s := range b.upstreams {
		if s.isIdle(now) && b.turn.includes(s) && b.hasMemory(now, s, j) && (idle == nil || b.isPreferred(now, s, idle, j)) {
			idle = s
		}
	}
	if idle == nil || idle.upstream.DC != j.preferredDC() && b.shouldAwaitPreferredDC(now, j) || b.shouldAwaitFaster(now, idle, j) {
		return nil
	}
	return b.openCall(now, idle, open)
}

// openCall returns a new call to s, which is idle.
func (b *Batcher) openCall(now time.Time, s *upstreamState, open *[]*activeCall) *activeCall {
	b.lastCallID++
	c := &activeCall{call: Call{ID: b.lastCallID, Upstream: s.upstream}, started: now}
	s.call = c
	b.activeCalls[c.call.ID] = c
	*open = append(*open, c)
	return c
}

// shouldAwaitPreferredDC reports whether the next piece of j should wait for a busy
// upstream in its preferred data centre. Avoiding a large transfer between data centres
// is worth the wait as long as the stage still meets its soft deadline. The piece
// reserves a place in the next call to that upstream.
func (b *Batcher) shouldAwaitPreferredDC(now time.Time, j *Job) bool {
	if j.spec.CrossDCBytes < largeTransferBytes {
		return false
	}
	for _, s := range b.upstreams {
		if s.upstream.DC != j.preferredDC() || !s.listed || !b.turn.includes(s) || s.call == nil || s.call.duplicated || !b.hasMemory(now, s, j) {
			continue
		}
		if b.reserved[s.upstream.ID] >= b.cfg.Spec.MaxPieces {
			continue
		}
		wait := max(s.call.remaining(now), s.deferredUntil.Sub(now))
		if now.Add(wait + b.callDuration(now, s, b.cfg.Spec.MaxPieces)).Before(j.spec.SoftDeadline) {
			b.reserved[s.upstream.ID]++
			return true
		}
	}
	return false
}

// shouldAwaitFaster reports whether the next pieces of j should wait for a busy upstream, since a
// call that starts there when the running one has ended would end clearly sooner than one that
// starts now at idle. The pieces reserve places in that call, so that slow upstreams get the
// pieces for which the fast ones have no room soon enough.
func (b *Batcher) shouldAwaitFaster(now time.Time, idle *upstreamState, j *Job) bool {
	pieces := j.waiting()
	end := b.callDuration(now, idle, pieces)
	var best *upstreamState
	for _, s := range b.upstreams {
		if s.call == nil || !s.listed || s.call.duplicated || b.reserved[s.upstream.ID]+pieces > b.cfg.Spec.MaxPieces || !b.hasMemory(now, s, j) {
			continue
		}
		if s.upstream.DC != j.preferredDC() && idle.upstream.DC == j.preferredDC() {
			continue
		}
		running := s.call.remaining(now)
		switch {
		case s.call.call.Expected == 0: // The call starts now.
			running = b.callDuration(now, s, len(s.call.jobs))
		case float64(now.Sub(s.call.started)) > lateRatio*float64(s.call.call.Expected):
			continue // The call may be lost.
		}
		wait := max(running, s.deferredUntil.Sub(now))
		if other := wait + b.callDuration(now.Add(wait), s, b.reserved[s.upstream.ID]+pieces); float64(other)*waitRatio < float64(end) {
			best, end = s, other
		}
	}
	if best == nil {
		return false
	}
	b.reserved[best.upstream.ID] += pieces
	return true
}

// hasMemory reports whether s has memory for one more result of j. An upstream without
// results accepts any size, so that a result larger than the whole memory is still
// tried. A job that exceeds the shares of all upstreams together may fill their
// whole memory.
func (b *Batcher) hasMemory(now time.Time, s *upstreamState, j *Job) bool {
	return b.hasMemoryFor(now, s, j, 1)
}

// hasMemoryFor is hasMemory for a number of results of j.
func (b *Batcher) hasMemoryFor(now time.Time, s *upstreamState, j *Job, results int) bool {
	occupied, limit := s.occupiedBytes(now)+(results-1)*j.spec.ResultBytes, float64(b.cfg.Spec.ResultMemoryBytes)
	if len(j.spec.Inputs) > 0 && float64(j.spec.ResultBytes*len(j.pieces)) <= memoryShare*limit*float64(len(b.upstreams)) {
		limit *= memoryShare
	}
	return limit == 0 || occupied == 0 || float64(occupied+j.spec.ResultBytes) <= limit
}

// isPreferred reports whether the next piece of j is better made at the idle upstream s than at
// the idle upstream other: in the preferred data centre, then where the call ends clearly sooner,
// then where results use less memory.
func (b *Batcher) isPreferred(now time.Time, s, other *upstreamState, j *Job) bool {
	if (s.upstream.DC == j.preferredDC()) != (other.upstream.DC == j.preferredDC()) {
		return s.upstream.DC == j.preferredDC()
	}
	duration, otherDuration := b.callDuration(now, s, j.remaining), b.callDuration(now, other, j.remaining)
	if isClearlyShorter(duration, otherDuration) || isClearlyShorter(otherDuration, duration) {
		return duration < otherDuration
	}
	return s.usedBytes < other.usedBytes
}

// isClearlyShorter reports whether a is shorter than b by more than estimates usually err.
func isClearlyShorter(a, b time.Duration) bool { return float64(a)*clearRatio < float64(b) }

func (b *Batcher) addItem(c *activeCall, j *Job, i int) {
	s := b.upstreamsByID[c.call.Upstream.ID]
	s.usedBytes += j.spec.ResultBytes
	if j.firstCallAt.IsZero() {
		j.firstCallAt = c.started
	}
	j.lastCallAt = c.started
	if len(j.calls) == 0 || j.calls[len(j.calls)-1] != c.call.ID {
		j.calls = append(j.calls, c.call.ID)
	}
	if j.firstDC == "" {
		j.firstDC = s.upstream.DC
	}
	j.pieces[i].state = running
	j.pieces[i].inFlight++
	j.pieces[i].triedTarget = j.pieces[i].triedTarget || b.turn.isTarget(s)
	c.jobs = append(c.jobs, j)
	c.call.Items = append(c.call.Items, Item{
		Request:  j.spec.Request,
		Stage:    j.spec.Stage,
		Number:   i,
		Key:      j.spec.Key,
		Inputs:   j.spec.Inputs,
		Deadline: j.spec.Deadline,
	})
}
