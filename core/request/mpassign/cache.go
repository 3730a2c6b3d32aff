package mpassign

// maxCachedParts bounds the parts that are remembered for an engine, and so the memory of a Pool: callers
// choose the sizes of parts, and may name many that take no tokens.
const maxCachedParts = 512

// part is a prompt part that at least one engine has cached.
type part struct {
	hash   uint64
	tokens int
	// entries holds the part's entry at each engine that has it.
	entries []*entry
}

// entry is a part in the cache of one engine. Entries of an engine form a list from the most
// recently used one to the least.
type entry struct {
	part       *part
	engine     *engine
	prev, next *entry
	// at is the position in part.entries.
	at int
	// pins is the number of requests in flight that use the part, and so keep it in the cache.
	pins int
	// addedBy is the request that brings the part to the engine, until that has prefilled it.
	addedBy *flight
}

// use pins the parts of f at engine e, moves them to the front and adds those that are missing.
func (p *Pool) use(e *engine, f *flight, parts []Part) {
	for _, want := range parts {
		pt := p.parts[want.Hash]
		if pt == nil {
			pt = &part{hash: want.Hash, tokens: want.Tokens}
			p.parts[want.Hash] = pt
		}
		en := pt.entryAt(e)
		if en == nil {
			en = &entry{part: pt, engine: e, at: len(pt.entries), addedBy: f}
			pt.entries = append(pt.entries, en)
			e.cachedTokens += pt.tokens
			e.cachedParts++
		} else {
			e.unlink(en)
		}
		e.pushFront(en)
		if en.pins == 0 {
			e.pinnedTokens += pt.tokens
		}
		en.pins++
		f.entries = append(f.entries, en)
	}
	p.evict(e)
}

// release ends the use of its parts by f. Parts that f would have brought to the engine, but did
// not, are removed unless others use them.
func (p *Pool) release(f *flight, prefilled bool) {
	for _, en := range f.entries {
		en.pins--
		if en.pins == 0 {
			f.engine.pinnedTokens -= en.part.tokens
		}
		if en.addedBy != f {
			continue
		}
		en.addedBy = nil
		if !prefilled && en.pins == 0 {
			p.remove(en)
		}
	}
	f.entries = nil
	p.evict(f.engine)
}

// evict removes the least recently used parts that nobody uses until the rest fits.
func (p *Pool) evict(e *engine) {
	for en := e.last; en != nil && (e.cachedParts > maxCachedParts || p.cfg.CacheTokens > 0 && e.cachedTokens+e.ownTokens > p.cfg.CacheTokens); {
		previous := en.prev
		if en.pins == 0 {
			p.remove(en)
		}
		en = previous
	}
}

// remove removes an entry that nobody uses.
func (p *Pool) remove(en *entry) {
	e, pt := en.engine, en.part
	e.unlink(en)
	e.cachedTokens -= pt.tokens
	e.cachedParts--
	last := len(pt.entries) - 1
	pt.entries[en.at] = pt.entries[last]
	pt.entries[en.at].at = en.at
	pt.entries[last] = nil
	pt.entries = pt.entries[:last]
	if last == 0 {
		delete(p.parts, pt.hash)
	}
}

// clear forgets the parts that an engine has cached, except for those in use.
func (p *Pool) clear(e *engine) {
	for en := e.first; en != nil; {
		next := en.next
		if en.pins == 0 {
			p.remove(en)
		}
		en = next
	}
}

func (pt *part) entryAt(e *engine) *entry {
	for _, en := range pt.entries {
		if en.engine == e {
			return en
		}
	}
	return nil
}

func (e *engine) pushFront(en *entry) {
	en.prev, en.next = nil, e.first
	if e.first != nil {
		e.first.prev = en
	} else {
		e.last = en
	}
	e.first = en
}

func (e *engine) unlink(en *entry) {
	if en.prev != nil {
		en.prev.next = en.next
	} else {
		e.first = en.next
	}
	if en.next != nil {
		en.next.prev = en.prev
	} else {
		e.last = en.prev
	}
	en.prev, en.next = nil, nil
}

// match finds what each engine has of a prompt: match counts the leading parts that it has
// cached, with their tokens, and pinned the tokens of all its parts that are in use there.
func (p *Pool) match(parts []Part) {
	p.generation++
	for i, want := range parts {
		pt := p.parts[want.Hash]
		if pt == nil {
			continue
		}
		for _, en := range pt.entries {
			e := en.engine
			if e.generation != p.generation {
				e.generation, e.matched, e.matchedTokens, e.matchedPinned = p.generation, 0, 0, 0
			}
			if e.matched == i {
				e.matched++
				e.matchedTokens += pt.tokens
			}
			if en.pins > 0 {
				e.matchedPinned += pt.tokens
			}
		}
	}
}
