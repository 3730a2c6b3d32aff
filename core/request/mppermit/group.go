package mppermit

import (
	"time"

	"mustardpost.org/core/common/mpset"
)

const (
	queueFactor  = 8
	queueFloor   = 16
	loadBound    = 1.25
	slack        = 500 * time.Millisecond
	shortRetry   = 100 * time.Millisecond
	samples      = 128
	resortEvery  = 16
	hedgeAt      = 0.95
	hedgeMinimum = 16
	// hedgeFactor keeps hedges away from pools whose answers differ little.
	hedgeFactor  = 2
	alonePart    = 2
	cancelNotice = 100 * time.Millisecond
)

// Config describes a group as one view does.
type Config struct {
	Epoch     uint64
	Upstreams []UpstreamSpec
	// VMs are the VMs that are up and must register after a change of owner.
	VMs []string
	// GracePeriod is how long after a change of owner a VM may still use permits of
	// the former owner without having registered.
	GracePeriod time.Duration
	// QuietUntil is until when attempts of VMs that left without a word may still
	// run, unknown to a new owner. Their processes may be frozen, and a frozen
	// process keeps its connections to upstreams open.
	QuietUntil time.Time
	// Fresh tells that no permit can be out, as the group is new.
	Fresh bool
}

// Counts describes a group for operators.
type Counts struct {
	Waiting  int `json:"waiting"`
	Held     int `json:"held"`
	Limit    int `json:"limit"`
	Capacity int `json:"capacity"`
}

// Group grants the permits of one group at its owner.
type Group struct {
	epoch   uint64
	slots   map[string]*slot
	names   []string
	where   map[Attempt]string
	queue   fair
	missing mpset.Set[string]
	opensAt time.Time
	quiet   time.Time
	took    durations
	breach  string
}

// NewGroup returns a group that grants nothing until every VM has registered
// or the grace has passed.
func NewGroup(now time.Time, cfg Config) *Group {
	g := &Group{
		epoch: cfg.Epoch,
		slots: map[string]*slot{},
		where: map[Attempt]string{},
		queue: newFair(),
	}
	if !cfg.Fresh {
		g.missing = mpset.Of(cfg.VMs...)
		g.opensAt = now.Add(cfg.GracePeriod)
		g.quiet = cfg.QuietUntil
	}
	g.Configure(now, cfg)
	return g
}

// Epoch returns the epoch for which the group grants.
func (g *Group) Epoch() uint64 { return g.epoch }

// Configure takes over a new view of the same epoch.
func (g *Group) Configure(now time.Time, cfg Config) []Decision {
	seen := mpset.Set[string]{}
	for _, spec := range cfg.Upstreams {
		seen.Add(spec.Name)
		if s, ok := g.slots[spec.Name]; ok {
			s.spec = spec
			s.limit = min(s.limit, spec.Limit)
			continue
		}
		g.slots[spec.Name] = newSlot(spec)
	}
	for name, s := range g.slots {
		if !seen.Has(name) {
			s.spec.Usable = false
		}
		if !seen.Has(name) && len(s.held) == 0 {
			delete(g.slots, name)
		}
	}
	g.names = seen.Sorted()
	if cfg.QuietUntil.Before(g.quiet) {
		g.quiet = cfg.QuietUntil
	}
	up := mpset.Of(cfg.VMs...)
	for vm := range g.missing {
		if !up.Has(vm) {
			delete(g.missing, vm)
		}
	}
	return g.serve(now)
}

// Register notes that vm uses no permits but the held ones that k lists.
// It also takes over what vm remembers of the upstreams.
func (g *Group) Register(now time.Time, vm string, k Registration) []Decision {
	for _, one := range k.Observations {
		if s, ok := g.slots[one.Upstream]; ok && g.missing != nil {
			s.recall(one)
		}
	}
	for _, h := range k.Held {
		s, ok := g.slots[h.Upstream]
		if !ok {
			s = newSlot(UpstreamSpec{Name: h.Upstream, Limit: 1, ColdLimit: 1, Ramp: 1})
			g.slots[h.Upstream] = s
		}
		g.hold(s, h.Attempt, hold{vm: vm, until: now.Add(h.Remaining + slack), alone: h.Exclusive})
	}
	delete(g.missing, vm)
	return g.serve(now)
}

// ReleaseVM frees the permits of a VM whose process is known to have ended.
func (g *Group) ReleaseVM(now time.Time, vm string) []Decision {
	for _, s := range g.slots {
		for a, h := range s.held {
			if h.vm == vm {
				s.drop(a)
				delete(g.where, a)
			}
		}
	}
	g.queue.remove(func(w waiter) bool { return w.ask.VM == vm })
	return g.serve(now)
}

// Acquire requests a permit. The answer comes now or from a later call.
func (g *Group) Acquire(now time.Time, a Request) []Decision {
	if g.isStarting(now) {
		return []Decision{Refusal{a.Attempt, Starting, g.untilOpen(now)}}
	}
	if !g.inService(now, a) {
		return []Decision{Refusal{a.Attempt, Empty, g.untilService(now)}}
	}
	g.doubt(now)
	if g.queue.waiting(a.Account) == 0 {
		if s := g.choose(now, a); s != nil && g.isTurn(a) {
			g.queue.charge(g.queue.flow(a.Account, a.Weight), a)
			return []Decision{g.grant(now, s, a)}
		}
	}
	if a.Hedge {
		return []Decision{Refusal{a.Attempt, Full, 0}}
	}
	return g.enqueue(now, a)
}

// isTurn reports whether nobody waits who could use the free place instead.
func (g *Group) isTurn(a Request) bool {
	return a.Exclusive || g.queue.size == g.aloneWaiting()
}

func (g *Group) enqueue(now time.Time, a Request) []Decision {
	wait := g.expectedWait(now, a)
	service := g.service(a)
	if wait+service > a.Remaining {
		return []Decision{Refusal{a.Attempt, Late, wait}}
	}
	if wait > a.MaxExpectedWait {
		return []Decision{Refusal{a.Attempt, Full, wait}}
	}
	var out []Decision
	if g.queue.size >= max(queueFactor*g.capacity(now), queueFloor) {
		w, ok := g.queue.evict(a.Account, a.Weight)
		if !ok {
			return []Decision{Refusal{a.Attempt, Full, wait}}
		}
		out = append(out, Refusal{w.ask.Attempt, Full, wait})
	}
	g.queue.push(waiter{ask: a, since: now, latest: now.Add(a.Remaining - service)})
	return append(out, g.serve(now)...)
}

// service estimates how long an attempt takes once it is sent.
func (g *Group) service(a Request) time.Duration {
	return g.took.median() * time.Duration(max(a.Work, 1))
}

// expectedWait estimates how long a would wait: the work that its account has
// queued, served at the account's share of the group's rate.
func (g *Group) expectedWait(now time.Time, a Request) time.Duration {
	capacity := g.capacity(now)
	unit := g.took.mean()
	if capacity == 0 || unit == 0 {
		return 0
	}
	rate := float64(capacity) / unit.Seconds() * g.queue.share(a.Account, a.Weight)
	ahead := float64(g.queue.work(a.Account) + max(a.Work, 1))
	return time.Duration(ahead / rate * float64(time.Second))
}

// Settle ends an attempt and grants what that makes room for.
func (g *Group) Settle(now time.Time, e Settlement) []Decision {
	name, ok := g.where[e.Attempt]
	if !ok {
		g.queue.remove(func(w waiter) bool { return w.ask.Attempt == e.Attempt })
		return nil
	}
	delete(g.where, e.Attempt)
	s := g.slots[name]
	h := s.held[e.Attempt]
	if e.Outcome == Cancelled && (h.cold || s.unsure) {
		// The upstream notices a cancelled attempt a moment later.
		h.until = now.Add(cancelNotice)
		s.held[e.Attempt] = h
		g.where[e.Attempt] = name
		return g.serve(now)
	}
	s.drop(e.Attempt)
	s.settle(now, e, h)
	if e.Outcome == Done && e.ServiceTime > 0 {
		g.took.add(h.unit(e.ServiceTime))
	}
	return g.serve(now)
}

// ReportLoad takes in an upstream's load report.
func (g *Group) ReportLoad(now time.Time, upstream string, r LoadReport) []Decision {
	if s, ok := g.slots[upstream]; ok {
		s.report(r)
	}
	return g.serve(now)
}

// doubt makes silent upstreams confirm their limits.
func (g *Group) doubt(now time.Time) {
	for _, s := range g.slots {
		s.doubt(now)
	}
}

// Tick refuses what waited too long and drops permits that have lapsed.
func (g *Group) Tick(now time.Time) []Decision {
	for _, s := range g.slots {
		s.expire(now)
	}
	for a, name := range g.where {
		if s, ok := g.slots[name]; !ok || !s.has(a) {
			delete(g.where, a)
		}
	}
	var out []Decision
	for _, w := range g.queue.remove(func(w waiter) bool { return now.After(w.latest) }) {
		out = append(out, Refusal{w.ask.Attempt, Late, g.service(w.ask)})
	}
	g.doubt(now)
	g.queue.tidy()
	return append(out, g.serve(now)...)
}

// Close refuses everything that waits; the group has another owner.
func (g *Group) Close() []Decision {
	var out []Decision
	for _, w := range g.queue.remove(func(waiter) bool { return true }) {
		out = append(out, Refusal{w.ask.Attempt, Starting, shortRetry})
	}
	return out
}

// Counts returns the group's present numbers.
func (g *Group) Counts(now time.Time) Counts {
	c := Counts{Waiting: g.queue.size, Capacity: g.capacity(now)}
	for _, s := range g.slots {
		c.Held += len(s.held)
		c.Limit += s.spec.Limit
	}
	return c
}

// UpstreamState describes one upstream for operators.
type UpstreamState struct {
	Name        string `json:"name"`
	Held        int    `json:"held"`
	Limit       int    `json:"limit"`
	Warm        bool   `json:"warm"`
	Usable      bool   `json:"usable"`
	CircuitOpen bool   `json:"open"`
}

// UpstreamStates returns the upstreams in the order of their names.
func (g *Group) UpstreamStates(now time.Time) []UpstreamState {
	var out []UpstreamState
	for _, name := range g.names {
		s := g.slots[name]
		out = append(out, UpstreamState{
			Name:        name,
			Held:        len(s.held),
			Limit:       s.limit,
			Warm:        s.isWarm(),
			Usable:      s.spec.Usable,
			CircuitOpen: now.Before(s.until),
		})
	}
	return out
}

// LimitViolation returns the name of an upstream that was granted an attempt beyond
// what it bore at that moment, or "".
func (g *Group) LimitViolation() string { return g.breach }

func (s *slot) has(a Attempt) bool {
	_, ok := s.held[a]
	return ok
}

func (g *Group) hold(s *slot, a Attempt, h hold) {
	s.held[a] = h
	s.alone = s.alone || h.alone
	g.where[a] = s.spec.Name
}

func (g *Group) grant(now time.Time, s *slot, a Request) Decision {
	h := hold{vm: a.VM, until: now.Add(a.Remaining + slack), alone: a.Exclusive, cold: !s.isWarm(), work: a.Work}
	if len(s.held) >= s.capacity() || a.Exclusive && len(s.held) > 0 {
		g.breach = s.spec.Name
	}
	g.hold(s, a.Attempt, h)
	d := Grant{Attempt: a.Attempt, Upstream: s.spec.Name, HedgeDelay: g.took.hedge() * time.Duration(max(a.Work, 1))}
	if !s.unsure {
		d.Limit, d.Instance = s.limit, s.instance
	}
	return d
}

// serve grants to waiting asks as long as any of them finds room.
func (g *Group) serve(now time.Time) []Decision {
	if g.isStarting(now) {
		return nil
	}
	var out []Decision
	for g.queue.size > 0 {
		d, ok := g.serveOne(now)
		if !ok {
			break
		}
		out = append(out, d)
	}
	g.reserve(now)
	return out
}

func (g *Group) serveOne(now time.Time) (Decision, bool) {
	for _, fl := range g.queue.order() {
		for i, w := range fl.queue {
			s := g.choose(now, w.ask)
			if s == nil {
				if w.ask.Exclusive || len(w.ask.Exclude) > 0 {
					continue
				}
				break
			}
			g.queue.take(fl, i)
			a := w.ask
			a.Remaining -= now.Sub(w.since)
			return g.grant(now, s, a), true
		}
	}
	return nil, false
}

func (g *Group) capacity(now time.Time) int {
	total := 0
	for _, name := range g.names {
		if s := g.slots[name]; s.inService(now) {
			total += s.capacity()
		}
	}
	return total
}

func (g *Group) inService(now time.Time, a Request) bool {
	for _, name := range g.names {
		if s := g.slots[name]; s.inService(now) && !a.Exclude.Has(name) {
			return true
		}
	}
	return false
}

func (g *Group) untilService(now time.Time) time.Duration {
	retry := time.Duration(0)
	for _, name := range g.names {
		s := g.slots[name]
		if s.spec.Usable && (retry == 0 || s.until.Sub(now) < retry) {
			retry = s.until.Sub(now)
		}
	}
	return max(retry, 0)
}

func (g *Group) isStarting(now time.Time) bool {
	return now.Before(g.quiet) || len(g.missing) > 0 && now.Before(g.opensAt)
}

func (g *Group) untilOpen(now time.Time) time.Duration {
	return min(max(g.opensAt.Sub(now), g.quiet.Sub(now)), shortRetry)
}
