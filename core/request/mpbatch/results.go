package mpbatch

// Free marks results as no longer needed. They count as used memory until
// ConfirmFreed.
func (b *Batcher) Free(handles []string) { b.pendingFrees = append(b.pendingFrees, handles...) }

func (b *Batcher) queueFree(handle string) { b.pendingFrees = append(b.pendingFrees, handle) }

// freeResults marks the results of j as no longer needed.
func (b *Batcher) freeResults(j *Job) {
	for _, p := range j.pieces {
		if p.handle != "" {
			b.queueFree(p.handle)
		}
	}
}

// ConfirmFreed records that the upstreams have freed the given results.
func (b *Batcher) ConfirmFreed(handles []string) {
	for _, h := range handles {
		b.forgetResult(h)
	}
}

func (b *Batcher) forgetResult(handle string) {
	result, ok := b.results[handle]
	if !ok {
		return
	}
	delete(b.results, handle)
	if s, ok := b.upstreamsByID[result.upstreamID]; ok {
		s.usedBytes -= result.bytes
	}
}

// storedBytes returns the size of the results that an upstream holds.
func (b *Batcher) storedBytes(upstreamID string) int {
	n := 0
	for _, result := range b.results {
		if result.upstreamID == upstreamID {
			n += result.bytes
		}
	}
	return n
}

// TakePendingFrees returns and clears the handles of results to free. The caller calls
// ConfirmFreed once the upstreams have been told.
func (b *Batcher) TakePendingFrees() []string {
	out := b.pendingFrees
	b.pendingFrees = nil
	return out
}

func isWaiting(p piece) bool { return p.state == waiting }
