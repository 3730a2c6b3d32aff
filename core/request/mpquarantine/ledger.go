package mpquarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"mustardpost.org/core/common/mpset"
	"mustardpost.org/core/version/mpview"
)

const (
	// maxRecords limits the features with evidence, and maxMemory those that are remembered
	// because they were answered or cleared.
	maxRecords = 4096
	maxMemory  = 4096
	// soundMemory is how long an answer speaks for a feature without evidence, if another
	// part of the same prompt was not answered in that time.
	soundMemory = time.Second
	// clearedMemory is how long a feature that was cleared rises to Noted only. One that
	// crashes upstreams is never cleared by an answer.
	clearedMemory = 10 * time.Second
	// answeredPeriod is the least time for which an answer speaks for a content. It is
	// forgotten after twice that at the latest.
	answeredPeriod = 2500 * time.Millisecond
	// reclearWindow is how long after an answer cleared a feature evidence of other VMs
	// against it is removed again, since they did not know of the answer.
	reclearWindow = 2 * time.Second
	// If more than outageLimit upstreams ended within outageWindow that were not running
	// requests with a feature, the feature is not convicted.
	outageWindow = time.Second
	outageLimit  = 2
	// suspectedTogether is the time within which features count as suspected together, since
	// VMs learn of the same crash at different times.
	suspectedTogether = 500 * time.Millisecond
)

// record is the evidence against a feature.
type record struct {
	// learnedAt is when this VM learned of each level from Noted on; zero if it did not.
	learnedAt [Convicted]time.Time
	// replicated is set for levels that are in the view.
	replicated [Convicted]bool
	// until is when the conviction ends.
	until time.Time
	// companions are the other suspects on the upstream whose end convicted the feature.
	companions []Feature
}

func (r *record) level() Level {
	for i, at := range r.learnedAt {
		if at.IsZero() {
			return Level(i)
		}
	}
	return Convicted
}

func (r *record) learn(now time.Time, level Level) {
	if at := &r.learnedAt[level-1]; at.IsZero() {
		*at = now
	}
}

// knownSince returns when this VM learned the last of the evidence up to level.
func (r *record) knownSince(level Level) time.Time {
	return slices.MaxFunc(r.learnedAt[:level], time.Time.Compare)
}

// end is an upstream that ended.
type end struct {
	at time.Time
	// features are those of the requests that it was running.
	features map[Feature]bool
	// convicted is the feature that was convicted on this evidence, if any.
	convicted Feature
}

// memory holds when something last happened to a feature. It forgets what is older than
// the longest time for which it is asked.
type memory map[Feature]time.Time

func (m memory) add(now, at time.Time, f Feature) {
	if len(m) >= maxMemory {
		maps.DeleteFunc(m, func(_ Feature, at time.Time) bool { return now.Sub(at) >= max(soundMemory, clearedMemory) })
	}
	if len(m) < maxMemory {
		m[f] = at
	}
}

// recent is a set of features that forgets each after one to two periods.
type recent struct {
	rotatedAt         time.Time
	current, previous mpset.Set[Feature]
}

func (r *recent) rotate(now time.Time) {
	switch age := now.Sub(r.rotatedAt); {
	case age < answeredPeriod:
		return
	case age < 2*answeredPeriod:
		r.previous = r.current
	default:
		r.previous = nil
	}
	r.current, r.rotatedAt = mpset.Set[Feature]{}, now
}

func (r *recent) add(now time.Time, f Feature) {
	r.rotate(now)
	if len(r.current) < maxMemory {
		r.current.Add(f)
	}
}

func (r *recent) has(now time.Time, f Feature) bool {
	r.rotate(now)
	return r.current.Has(f) || r.previous.Has(f)
}

// Ledger holds the evidence that this VM has. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	records map[Feature]*record
	// soundAt is when the last answer to a request with a feature began, clearedAt when the
	// evidence against it was removed, and vindicatedAt when an answer from this VM did that.
	soundAt, clearedAt, vindicatedAt memory
	// answered holds the contents of requests that this VM had answers to lately.
	answered recent
	// ends holds the upstreams that ended within outageWindow, by ID.
	ends map[string]*end
	// trials holds the features that requests of this VM are tried for or ask to be. The
	// channel is closed when the request is done.
	trials map[Feature]chan struct{}
}

// New returns a Ledger without evidence.
func New() *Ledger {
	return &Ledger{
		records: map[Feature]*record{}, soundAt: memory{}, clearedAt: memory{}, vindicatedAt: memory{},
		ends: map[string]*end{}, trials: map[Feature]chan struct{}{},
	}
}

// SetStrikes replaces the evidence of the replicated view. It returns the features that
// are convicted now and were not before, and those that this VM clears, because it has had
// an answer or because another conviction explains their evidence.
func (l *Ledger) SetStrikes(now time.Time, strikes map[uint64]mpview.StrikeCount) (convicted, cleared []Feature) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, r := range l.records {
		for i := range r.replicated {
			if _, ok := strikes[f.fingerprint(Level(i+1))]; r.replicated[i] && !ok {
				r.replicated[i], r.learnedAt[i] = false, time.Time{}
			}
		}
		if r.level() == Clear {
			delete(l.records, f)
			l.clearedAt.add(now, now, f)
		}
	}
	for n, strike := range strikes {
		f, level := splitFingerprint(n)
		if level == Clear {
			continue // A strike of another kind.
		}
		r := l.record(f)
		before := r.level()
		r.learn(now, level)
		r.replicated[level-1] = true
		if level == Convicted {
			r.until = time.UnixMilli(strike.Until)
		}
		switch {
		case before < Suspect && r.level() >= Suspect && (now.Sub(l.vindicatedAt[f]) < reclearWindow || l.answered.has(now, f)):
			delete(l.records, f)
			cleared = append(cleared, f)
		case before < Convicted && r.level() == Convicted:
			convicted = append(convicted, f)
		}
	}
	for _, f := range convicted {
		cleared = append(cleared, l.explainAway(now, f)...)
	}
	return convicted, cleared
}

func (l *Ledger) record(f Feature) *record {
	r, ok := l.records[f]
	if !ok {
		r = &record{}
		l.records[f] = r
	}
	return r
}

// explainAway clears the features that were convicted before on evidence that f explains
// too.
func (l *Ledger) explainAway(now time.Time, f Feature) []Feature {
	var out []Feature
	for g, r := range l.records {
		if slices.Contains(r.companions, f) && now.Sub(r.knownSince(Convicted)) >= outageWindow {
			out = append(out, g)
			delete(l.records, g)
			l.clearedAt.add(now, now, g)
		}
	}
	return out
}

// LevelOf returns the level of f at this VM.
func (l *Ledger) LevelOf(now time.Time, f Feature) Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.levelOf(now, f)
}

func (l *Ledger) levelOf(now time.Time, f Feature) Level {
	r, ok := l.records[f]
	if !ok {
		return Clear
	}
	for i, at := range r.learnedAt {
		if !at.IsZero() && !r.replicated[i] && now.Sub(at) > EvidenceTTL {
			r.learnedAt[i] = time.Time{}
		}
	}
	return r.level()
}

// Judge returns the feature with the highest level, the narrowest of several.
func (l *Ledger) Judge(now time.Time, t Traits) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v Verdict
	if len(l.records) == 0 {
		return v
	}
	for _, f := range t.narrowFirst() {
		if level := l.levelOf(now, f); level > v.Level {
			r := l.records[f]
			v = Verdict{
				Finding: Finding{f, level}, NeedsTrial: level.isSuspect() || f == t.Content,
				Since: r.knownSince(level), Until: r.until,
			}
		}
	}
	return v
}

// Learn adds what another VM told of the level of f. Evidence that the view does not have
// within EvidenceTTL is dropped.
func (l *Ledger) Learn(now time.Time, f Feature, level Level) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if level <= l.levelOf(now, f) || len(l.records) >= maxRecords || now.Sub(l.vindicatedAt[f]) < reclearWindow || l.answered.has(now, f) {
		return
	}
	r := l.record(f)
	for i := Noted; i <= level; i++ {
		r.learn(now, i)
	}
	if level == Convicted {
		r.until = now.Add(ConvictionTTL)
	}
}

// RecordCrash adds the evidence of a crash. It returns the features whose level rises, which
// the other VMs must learn of, and those that are cleared because a conviction explains
// their evidence.
func (l *Ledger) RecordCrash(now time.Time, c Crash) (raised []Finding, cleared []Feature) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.recordEnd(now, c)
	for f := range e.features {
		if f != e.convicted && l.levelOf(now, f) == Convicted {
			return nil, nil // It explains the crash.
		}
	}
	var suspects []Feature
	for _, f := range l.blamed(now, c.Traits) {
		level := l.levelOf(now, f)
		switch {
		case level == Convicted,
			level == Noted && f != c.Traits.Content && now.Sub(l.clearedAt[f]) < clearedMemory,
			level > Clear && !c.SentAt.After(l.records[f].knownSince(level)):
		case level.isSuspect():
			suspects = append(suspects, f)
		case level == Noted && f == c.Trial:
			l.record(f).learn(now, Suspect)
			l.record(f).learn(now, StrongSuspect)
			raised = append(raised, Finding{f, StrongSuspect})
		case level == Noted || len(l.records) < maxRecords:
			l.record(f).learn(now, level+1)
			raised = append(raised, Finding{f, level + 1})
		}
	}
	if len(suspects) == 0 {
		return raised, nil
	}
	// Only one rises, since the others may be innocent.
	i := l.firstSuspected(suspects)
	f := suspects[i]
	switch {
	case l.isOutage(now, f):
		return raised, nil
	case e.convicted != 0:
		if r, ok := l.records[e.convicted]; ok {
			r.companions = append(r.companions, suspects...)
		}
		return raised, nil
	}
	r := l.record(f)
	if !c.HasHead && r.level() == Suspect {
		r.learn(now, StrongSuspect)
		return append(raised, Finding{f, StrongSuspect}), nil
	}
	e.convicted = f
	r.learn(now, StrongSuspect)
	r.learn(now, Convicted)
	r.until = now.Add(ConvictionTTL)
	r.companions = slices.Delete(suspects, i, i+1)
	return append(raised, Finding{f, Convicted}), l.explainAway(now, f)
}

// blamed returns the features that a crash speaks against. Content that was answered lately is
// left out, and so is a part without evidence if another part was not answered.
func (l *Ledger) blamed(now time.Time, t Traits) []Feature {
	isSound := func(f Feature) bool {
		return l.levelOf(now, f) == Clear && now.Sub(l.soundAt[f]) < soundMemory
	}
	allSound := !slices.ContainsFunc(t.Parts, func(f Feature) bool { return !isSound(f) })
	return slices.DeleteFunc(t.narrowFirst(), func(f Feature) bool {
		if f == t.Content {
			return l.answered.has(now, f)
		}
		return !allSound && isSound(f)
	})
}

// firstSuspected returns the index of the narrowest of those suspects, given with the
// narrowest first, that were suspected together before the others.
func (l *Ledger) firstSuspected(suspects []Feature) int {
	since := func(f Feature) time.Time { return l.records[f].knownSince(Suspect) }
	first := since(slices.MinFunc(suspects, func(f, g Feature) int { return since(f).Compare(since(g)) }))
	return slices.IndexFunc(suspects, func(f Feature) bool { return since(f).Sub(first) < suspectedTogether })
}

func (l *Ledger) recordEnd(now time.Time, c Crash) *end {
	for id, e := range l.ends {
		if now.Sub(e.at) > outageWindow {
			delete(l.ends, id)
		}
	}
	e, ok := l.ends[c.Upstream]
	if !ok {
		e = &end{at: now, features: map[Feature]bool{}}
		l.ends[c.Upstream] = e
	}
	for _, f := range c.Traits.narrowFirst() {
		e.features[f] = true
	}
	return e
}

// isOutage reports whether too many upstreams ended lately that were not running requests
// with f.
func (l *Ledger) isOutage(now time.Time, f Feature) bool {
	n := 0
	for _, e := range l.ends {
		if now.Sub(e.at) <= outageWindow && !e.features[f] {
			n++
		}
	}
	return n > outageLimit
}

// RecordSound records that an answer began at beganAt and that its upstream goes on. It
// returns the features that this clears, which the other VMs must learn of.
func (l *Ledger) RecordSound(now, beganAt time.Time, t Traits) (cleared []Feature) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range t.narrowFirst() {
		if level := l.levelOf(now, f); level > Clear && beganAt.After(l.records[f].knownSince(level)) {
			delete(l.records, f)
			l.clearedAt.add(now, now, f)
			l.vindicatedAt.add(now, now, f)
			cleared = append(cleared, f)
		}
	}
	for _, f := range t.Parts {
		l.soundAt.add(now, beganAt, f)
	}
	l.answered.add(now, t.Content)
	return cleared
}

// BeginTrial makes the caller the only request of this VM that asks for the trial of f or is
// tried, until it calls done. If there is one already, BeginTrial returns a channel instead
// that is closed when that one is done.
func (l *Ledger) BeginTrial(f Feature) (done func(), busy <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.trials[f]; ok {
		return nil, c
	}
	c := make(chan struct{})
	l.trials[f] = c
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.trials, f)
		close(c)
	}), nil
}

// Count returns the number of features with a level in [low, high].
func (l *Ledger) Count(low, high Level) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if level := r.level(); low <= level && level <= high {
			n++
		}
	}
	return n
}
