package mpquorum

// memoryLog holds the entries after base, the last compacted index, in memory.
type memoryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *memoryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, or false if the entry has been
// compacted or does not exist yet.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries from index on, limited to about limit bytes but at
// least one entry.
func (l *memoryLog) slice(index uint64, limit int) []Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	tail := l.entries[index-l.base-1:]
	size := 0
	for i := range tail {
		size += len(tail[i].Data) + entryOverheadBytes
		if size > limit && i > 0 {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

func (l *memoryLog) between(after, through uint64) []Entry {
	if through <= after {
		return nil
	}
	return l.entries[after-l.base : through-l.base : through-l.base]
}

// batchEnd returns the index of the last entry after the given one, up to through, that may be
// applied with it in one step.
func (l *memoryLog) batchEnd(after, through uint64) uint64 {
	size := 0
	for i, e := range l.between(after, min(through, after+maxAppliedEntries)) {
		if size += len(e.Data); size > maxAppliedBytes && i > 0 {
			return e.Index - 1
		}
	}
	return min(through, after+maxAppliedEntries)
}

func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom removes the entry at index and all later ones.
func (l *memoryLog) truncateFrom(index uint64) {
	keep := index - l.base - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
}

func (l *memoryLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = t
}

func (l *memoryLog) reset(index, term uint64) {
	l.base = index
	l.baseTerm = term
	l.entries = nil
}
