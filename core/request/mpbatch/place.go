package mpbatch

import "time"

const (
	// againShare of the pieces may be made a second time because a call is
	// overdue, and againBurst at once: below what the platform allows for repeats.
	againShare = 0.08
	againBurst = 24.0
	// farBytes is the traffic between data centres from which a piece should
	// rather wait for a near upstream: that traffic is slow and costly.
	farBytes = 100_000
)

// remake gives the pieces of overdue calls to other upstreams as well.
func (g *Batcher) remake(now time.Time) {
	for _, f := range g.flights {
		if f.overdue || now.Before(f.overdueAt()) || g.again < float64(len(f.jobs)) {
			continue
		}
		f.overdue = true
		for i, j := range f.jobs {
			p := &j.pieces[f.call.Items[i].Number]
			if p.state == running && !j.isDone() {
				p.state = waiting
				g.again--
			}
		}
	}
}

// place returns the call that the next piece of j goes into: one that is being
// filled, or a new one for an idle upstream.
func (g *Batcher) place(now time.Time, j *Job, open *[]*flight) *flight {
	var best *flight
	for _, f := range *open {
		s := g.servers[f.call.Upstream.ID]
		if len(f.jobs) >= g.cfg.Spec.Size || !g.hasRoom(now, s, j) {
			continue
		}
		if best == nil || s.up.DC == j.dc() && best.call.Upstream.DC != j.dc() {
			best = f
		}
	}
	if best != nil && (best.call.Upstream.DC == j.dc() || !g.awaitsNear(now, j)) {
		return best
	}
	var pick *server
	for _, s := range g.order {
		if s.isFree(now) && g.hasRoom(now, s, j) && (pick == nil || g.isBetter(s, pick, j)) {
			pick = s
		}
	}
	if pick == nil || pick.up.DC != j.dc() && g.awaitsNear(now, j) {
		return nil
	}
	g.next++
	f := &flight{call: Call{ID: g.next, Upstream: pick.up}, started: now}
	pick.call = f
	g.flights[f.call.ID] = f
	*open = append(*open, f)
	return f
}

// awaitsNear reports whether the next piece of j should wait for a busy upstream
// in the data centre where its result is read. Large results are worth the wait,
// as long as the request stays on time.
func (g *Batcher) awaitsNear(now time.Time, j *Job) bool {
	if j.ask.CrossDCBytes < farBytes {
		return false
	}
	for _, s := range g.order {
		if s.up.DC != j.dc() || !s.listed || s.call == nil || s.call.overdue || !g.hasRoom(now, s, j) {
			continue
		}
		if g.promised[s.up.ID] >= g.cfg.Spec.Size {
			continue
		}
		if now.Add(s.call.left(now) + g.length(s, g.cfg.Spec.Size)).Before(j.ask.SoftDeadline) {
			g.promised[s.up.ID]++
			return true
		}
	}
	return false
}

// hasRoom reports whether s can keep one more result of j. A result larger
// than the whole memory is tried at an empty upstream, and a job that would not
// fit otherwise may fill all memory.
func (g *Batcher) hasRoom(now time.Time, s *server, j *Job) bool {
	taken, room := s.taken(now), float64(g.cfg.Spec.Room)
	if len(j.ask.Inputs) > 0 && float64(j.ask.ResultBytes*len(j.pieces)) <= roomShare*room*float64(len(g.order)) {
		room *= roomShare
	}
	return room == 0 || taken == 0 || float64(taken+j.ask.ResultBytes) <= room
}

func (g *Batcher) isBetter(a, b *server, j *Job) bool {
	if (a.up.DC == j.dc()) != (b.up.DC == j.dc()) {
		return a.up.DC == j.dc()
	}
	if a.pace > 1.5*b.pace || b.pace > 1.5*a.pace {
		return a.pace < b.pace
	}
	return a.used < b.used
}

func (g *Batcher) put(f *flight, j *Job, i int) {
	s := g.servers[f.call.Upstream.ID]
	s.used += j.ask.ResultBytes
	if j.begun.IsZero() {
		j.begun = f.started
	}
	j.full = f.started
	if len(j.calls) == 0 || j.calls[len(j.calls)-1] != f.call.ID {
		j.calls = append(j.calls, f.call.ID)
	}
	if j.near == "" {
		j.near = s.up.DC
	}
	j.pieces[i].state = running
	j.pieces[i].copies++
	f.jobs = append(f.jobs, j)
	f.call.Items = append(f.call.Items, Item{
		Request:  j.ask.Request,
		Stage:    j.ask.Stage,
		Number:   i,
		Key:      j.ask.Key,
		Inputs:   j.ask.Inputs,
		Deadline: j.ask.Deadline,
	})
}
