package mpbatch

// Free notes results that are not needed any more. They take up memory until
// their makers have been told.
func (g *Batcher) Free(handles []string) { g.freed = append(g.freed, handles...) }

func (g *Batcher) free(handle string) { g.freed = append(g.freed, handle) }

// freeMade frees the results of j.
func (g *Batcher) freeMade(j *Job) {
	for _, p := range j.pieces {
		if p.handle != "" {
			g.free(p.handle)
		}
	}
}

// ConfirmFreed takes in that the makers of results have dropped them.
func (g *Batcher) ConfirmFreed(handles []string) {
	for _, h := range handles {
		g.forget(h)
	}
}

func (g *Batcher) forget(handle string) {
	k, ok := g.results[handle]
	if !ok {
		return
	}
	delete(g.results, handle)
	if s, ok := g.servers[k.server]; ok {
		s.used -= k.bytes
	}
}

// TakePendingFrees returns the handles that their makers may drop. Freed must follow
// when they have been told.
func (g *Batcher) TakePendingFrees() []string {
	out := g.freed
	g.freed = nil
	return out
}

func isWaiting(p piece) bool { return p.state == waiting }
