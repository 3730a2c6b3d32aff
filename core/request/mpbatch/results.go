package mpbatch

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
	return out
}

func isWaiting(p piece) bool { return p.state == waiting }
