package mpquorum

// memlog holds the entries after base in memory.
type memlog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *memlog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *memlog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false when the entry was
// compacted away or does not exist yet.
func (l *memlog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns entries from index on, up to about limit bytes but at least one.
func (l *memlog) slice(index uint64, limit int) []Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	from := l.entries[index-l.base-1:]
	size := 0
	for i := range from {
		size += len(from[i].Data) + entryOverhead
		if size > limit && i > 0 {
			return from[:i:i]
		}
	}
	return from[:len(from):len(from)]
}

func (l *memlog) between(after, through uint64) []Entry {
	if through <= after {
		return nil
	}
	return l.entries[after-l.base : through-l.base : through-l.base]
}

func (l *memlog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// cut drops the entry at index and all after it.
func (l *memlog) cut(index uint64) {
	keep := index - l.base - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
}

func (l *memlog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = t
}

func (l *memlog) reset(index, term uint64) {
	l.base = index
	l.baseTerm = term
	l.entries = nil
}
