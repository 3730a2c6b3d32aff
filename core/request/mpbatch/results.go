package mpbatch

import (
	"slices"
	"time"
)

const (
	// shortShare of an upstream's memory is taken when it is short of it: the
	// rest has room for about one more call.
	shortShare = 0.5
	// fetchWithin is the time in which an idle upstream has fetched the inputs of
	// a call: a round trip between data centres and the transfer, several times.
	fetchWithin = 70 * time.Millisecond
)

// Free notes results that are not needed any more. They take up memory until
// their makers have been told.
func (g *Group) Free(handles []string) { g.freed = append(g.freed, handles...) }

func (g *Group) free(handle string) { g.freed = append(g.freed, handle) }

// freeMade frees the results of j.
func (g *Group) freeMade(j *Job) {
	for _, p := range j.pieces {
		if p.handle != "" {
			g.free(p.handle)
		}
	}
}

// FreeIfShort notes results that their readers have fetched but may need again
// if a call fails. They are given up only while their maker is short of memory.
func (g *Group) FreeIfShort(handles []string) { g.spare = append(g.spare, handles...) }

// Freed takes in that the makers of results have dropped them.
func (g *Group) Freed(handles []string) {
	for _, h := range handles {
		g.forget(h)
	}
}

func (g *Group) forget(handle string) {
	k, ok := g.results[handle]
	if !ok {
		return
	}
	delete(g.results, handle)
	if s, ok := g.servers[k.server]; ok {
		s.used -= k.bytes
	}
}

// TakeFreed returns the handles that their makers may drop. Freed must follow
// when they have been told.
func (g *Group) TakeFreed() []string {
	out := g.freed
	g.freed = nil
	for i, h := range g.spare {
		k, ok := g.results[h]
		switch {
		case !ok:
			g.spare[i] = ""
		case g.isShort(k.server) && !slices.Contains(out, h):
			out = append(out, h)
			g.spare[i] = ""
		}
	}
	g.spare = slices.DeleteFunc(g.spare, func(h string) bool { return h == "" })
	return out
}

// TakeRead returns the jobs whose pieces have all had time to fetch their
// inputs, and that free them. Each job is returned once.
func (g *Group) TakeRead(now time.Time) []Ask {
	var out []Ask
	for _, j := range g.queue {
		if j.ask.Reads == "" || j.freed || now.Sub(j.full) < fetchWithin || slices.ContainsFunc(j.pieces, isWaiting) {
			continue
		}
		j.freed = true
		out = append(out, j.ask)
	}
	return out
}

func isWaiting(p piece) bool { return p.state == waiting }

// isShort reports whether the results at an upstream leave little memory.
func (g *Group) isShort(id string) bool {
	s, ok := g.servers[id]
	return ok && float64(s.used) > shortShare*float64(g.cfg.Spec.Room)
}
