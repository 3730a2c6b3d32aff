package mppermit

import (
	"time"

	"mustardpost.org/core/common/mpset"
)

const (
	queueCapacityFactor = 8
	minQueueSize        = 16
	loadBoundFactor     = 1.25
	expiryMargin        = 500 * time.Millisecond
	startingRetry       = 100 * time.Millisecond
	maxSamples          = 128
	sortInterval        = 16
	hedgeQuantile       = 0.95
	hedgeMinSamples     = 16
	// hedgeMedianFactor avoids hedging in pools whose service times vary little.
	hedgeMedianFactor = 2
	exclusiveDivisor  = 2
	cancelDelay       = 100 * time.Millisecond
)

// Config describes a group as of one view.
type Config struct {
	Epoch     uint64
	Upstreams []UpstreamSpec
	// VMs are the VMs that are up and must register after a change of owner.
	VMs []string
	// GracePeriod is the time after a change of owner during which a VM may still use
	// permits of the previous owner without having registered.
	GracePeriod time.Duration
	// QuietUntil is the time until which attempts of VMs that disappeared without
	// leaving may still run, unknown to a new owner. Their processes may be frozen,
	// and a frozen process keeps its connections to upstreams open.
	QuietUntil time.Time
	// Fresh is set for a new group, for which no permits can be held yet.
	Fresh bool
}

// Counts summarises a group for operators.
type Counts struct {
	Waiting  int `json:"waiting"`
	Held     int `json:"held"`
	Limit    int `json:"limit"`
	Capacity int `json:"capacity"`
}

// Group is the owner's state of one group. It grants the permits for the group's
// upstreams.
type Group struct {
	epoch                uint64
	upstreams            map[string]*upstream
	names                []string
	attemptUpstream      map[Attempt]string
	queue                fairQueue
	unregistered         mpset.Set[string]
	registrationDeadline time.Time
	quietUntil           time.Time
	serviceTimes         serviceTimes
	violation            string
}

// NewGroup returns a group that grants no permits until every VM has registered or the
// grace period has ended, and never before cfg.QuietUntil. A fresh group grants at once.
func NewGroup(now time.Time, cfg Config) *Group {
	g := &Group{
		epoch:           cfg.Epoch,
		upstreams:       map[string]*upstream{},
		attemptUpstream: map[Attempt]string{},
		queue:           newFairQueue(),
	}
	if !cfg.Fresh {
		g.unregistered = mpset.Of(cfg.VMs...)
		g.registrationDeadline = now.Add(cfg.GracePeriod)
		g.quietUntil = cfg.QuietUntil
	}
	g.Configure(now, cfg)
	return g
}

// Epoch returns the epoch of ownership in which the group grants permits.
func (g *Group) Epoch() uint64 { return g.epoch }

// Configure applies the configuration of a new view within the same epoch.
func (g *Group) Configure(now time.Time, cfg Config) []Decision {
	present := mpset.Set[string]{}
	for _, spec := range cfg.Upstreams {
		present.Add(spec.Name)
		if u, ok := g.upstreams[spec.Name]; ok {
			u.spec = spec
			u.limit = min(u.limit, spec.Limit)
			continue
		}
		g.upstreams[spec.Name] = newUpstream(spec)
	}
	for name, u := range g.upstreams {
		if !present.Has(name) {
			u.spec.Usable = false
		}
		if !present.Has(name) && len(u.held) == 0 {
			delete(g.upstreams, name)
		}
	}
	g.names = present.Sorted()
	if cfg.QuietUntil.Before(g.quietUntil) {
		g.quietUntil = cfg.QuietUntil
	}
	live := mpset.Of(cfg.VMs...)
	for vm := range g.unregistered {
		if !live.Has(vm) {
			delete(g.unregistered, vm)
		}
	}
	return g.grantQueued(now)
}

// Register records that vm uses no permits except those listed in reg. Unless the group
// started as fresh, it also adopts the observations of upstreams.
func (g *Group) Register(now time.Time, vm string, reg Registration) []Decision {
	for _, obs := range reg.Observations {
		if u, ok := g.upstreams[obs.Upstream]; ok && g.unregistered != nil {
			u.adoptObservation(obs)
		}
	}
	for _, p := range reg.Held {
		u, ok := g.upstreams[p.Upstream]
		if !ok {
			u = newUpstream(UpstreamSpec{Name: p.Upstream, Limit: 1, ColdLimit: 1, Ramp: 1})
			g.upstreams[p.Upstream] = u
		}
		g.addPermit(u, p.Attempt, permit{vm: vm, expiresAt: now.Add(p.Remaining + expiryMargin), exclusive: p.Exclusive})
	}
	delete(g.unregistered, vm)
	return g.grantQueued(now)
}

// ReleaseVM releases the permits and drops the queued requests of a VM whose process is
// known to have ended.
func (g *Group) ReleaseVM(now time.Time, vm string) []Decision {
	for _, u := range g.upstreams {
		for a, p := range u.held {
			if p.vm == vm {
				u.release(a)
				delete(g.attemptUpstream, a)
			}
		}
	}
	g.queue.remove(func(q queuedRequest) bool { return q.request.VM == vm })
	return g.grantQueued(now)
}

// Acquire requests a permit. The decision is returned by this call or by a later one.
func (g *Group) Acquire(now time.Time, req Request) []Decision {
	if g.isStarting(now) {
		return []Decision{Refusal{req.Attempt, OwnerStarting, g.startingRetryAfter(now)}}
	}
	if !g.hasAvailable(now, req) {
		return []Decision{Refusal{req.Attempt, NoUpstream, g.untilAvailable(now)}}
	}
	g.markUnconfirmed(now)
	if g.queue.queued(req.Account) == 0 {
		if u := g.choose(now, req); u != nil && g.mayBypassQueue(req) {
			g.queue.charge(g.queue.flow(req.Account, req.Weight), req)
			return []Decision{g.grant(now, u, req)}
		}
	}
	if req.Hedge {
		return []Decision{Refusal{req.Attempt, Full, 0}}
	}
	return g.enqueue(now, req)
}

// mayBypassQueue reports whether no queued request could use the free room instead of req.
func (g *Group) mayBypassQueue(req Request) bool {
	return req.Exclusive || g.queue.size == g.queuedExclusive()
}

func (g *Group) enqueue(now time.Time, req Request) []Decision {
	wait := g.expectedWait(now, req)
	service := g.expectedServiceTime(req)
	if wait+service > req.Remaining {
		return []Decision{Refusal{req.Attempt, Late, wait}}
	}
	if wait > req.MaxExpectedWait {
		return []Decision{Refusal{req.Attempt, Full, wait}}
	}
	var out []Decision
	if g.queue.size >= max(queueCapacityFactor*g.capacity(now), minQueueSize) {
		q, ok := g.queue.evict(req.Account, req.Weight)
		if !ok {
			return []Decision{Refusal{req.Attempt, Full, wait}}
		}
		out = append(out, Refusal{q.request.Attempt, Full, wait})
	}
	g.queue.push(queuedRequest{request: req, enqueuedAt: now, latestStart: now.Add(req.Remaining - service)})
	return append(out, g.grantQueued(now)...)
}

// expectedServiceTime estimates the time that an attempt takes once it is sent.
func (g *Group) expectedServiceTime(req Request) time.Duration {
	return g.serviceTimes.median() * time.Duration(max(req.Work, 1))
}

// expectedWait estimates the time that req would spend in the queue: the work that its
// account has queued, including req, divided by the account's share of the group's
// service rate.
func (g *Group) expectedWait(now time.Time, req Request) time.Duration {
	capacity := g.capacity(now)
	unit := g.serviceTimes.mean()
	if capacity == 0 || unit == 0 {
		return 0
	}
	rate := float64(capacity) / unit.Seconds() * g.queue.share(req.Account, req.Weight)
	ahead := float64(g.queue.queuedWork(req.Account) + max(req.Work, 1))
	return time.Duration(ahead / rate * float64(time.Second))
}

// Settle records the outcome of an attempt, releases its permit and grants queued requests.
func (g *Group) Settle(now time.Time, s Settlement) []Decision {
	name, ok := g.attemptUpstream[s.Attempt]
	if !ok {
		g.queue.remove(func(q queuedRequest) bool { return q.request.Attempt == s.Attempt })
		return nil
	}
	delete(g.attemptUpstream, s.Attempt)
	u := g.upstreams[name]
	p := u.held[s.Attempt]
	if s.Outcome == Cancelled && (p.cold || u.unconfirmed) {
		// The upstream detects a cancelled attempt only after a delay.
		p.expiresAt = now.Add(cancelDelay)
		u.held[s.Attempt] = p
		g.attemptUpstream[s.Attempt] = name
		return g.grantQueued(now)
	}
	u.release(s.Attempt)
	u.settle(now, s, p)
	if s.Outcome == Done && s.ServiceTime > 0 {
		g.serviceTimes.add(p.perUnit(s.ServiceTime))
	}
	return g.grantQueued(now)
}

// ReportLoad applies an upstream's load report.
func (g *Group) ReportLoad(now time.Time, upstream string, r LoadReport) []Decision {
	if u, ok := g.upstreams[upstream]; ok {
		u.applyLoadReport(r)
	}
	return g.grantQueued(now)
}

// markUnconfirmed makes upstreams that have been idle for too long confirm their limits.
func (g *Group) markUnconfirmed(now time.Time) {
	for _, u := range g.upstreams {
		u.markUnconfirmed(now)
	}
}

// Tick refuses queued requests that can no longer meet their deadlines and releases
// expired permits.
func (g *Group) Tick(now time.Time) []Decision {
	for _, u := range g.upstreams {
		u.expire(now)
	}
	for a, name := range g.attemptUpstream {
		if u, ok := g.upstreams[name]; !ok || !u.holds(a) {
			delete(g.attemptUpstream, a)
		}
	}
	var out []Decision
	for _, q := range g.queue.remove(func(q queuedRequest) bool { return now.After(q.latestStart) }) {
		out = append(out, Refusal{q.request.Attempt, Late, g.expectedServiceTime(q.request)})
	}
	g.markUnconfirmed(now)
	g.queue.prune()
	return append(out, g.grantQueued(now)...)
}

// Close refuses all queued requests, since the group has another owner.
func (g *Group) Close() []Decision {
	var out []Decision
	for _, q := range g.queue.remove(func(queuedRequest) bool { return true }) {
		out = append(out, Refusal{q.request.Attempt, OwnerStarting, startingRetry})
	}
	return out
}

// Counts returns the group's current numbers.
func (g *Group) Counts(now time.Time) Counts {
	c := Counts{Waiting: g.queue.size, Capacity: g.capacity(now)}
	for _, u := range g.upstreams {
		c.Held += len(u.held)
		c.Limit += u.spec.Limit
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
		u := g.upstreams[name]
		out = append(out, UpstreamState{
			Name:        name,
			Held:        len(u.held),
			Limit:       u.limit,
			Warm:        u.isWarm(),
			Usable:      u.spec.Usable,
			CircuitOpen: now.Before(u.unavailableUntil),
		})
	}
	return out
}

// LimitViolation returns the name of an upstream for which an attempt was granted beyond
// its capacity at that time or in breach of exclusive use, or "".
func (g *Group) LimitViolation() string { return g.violation }

func (u *upstream) holds(a Attempt) bool {
	_, ok := u.held[a]
	return ok
}

func (g *Group) addPermit(u *upstream, a Attempt, p permit) {
	u.held[a] = p
	u.exclusive = u.exclusive || p.exclusive
	g.attemptUpstream[a] = u.spec.Name
}

func (g *Group) grant(now time.Time, u *upstream, req Request) Decision {
	p := permit{vm: req.VM, expiresAt: now.Add(req.Remaining + expiryMargin), exclusive: req.Exclusive, cold: !u.isWarm(), work: req.Work}
	if len(u.held) >= u.capacity() || req.Exclusive && len(u.held) > 0 {
		g.violation = u.spec.Name
	}
	g.addPermit(u, req.Attempt, p)
	d := Grant{Attempt: req.Attempt, Upstream: u.spec.Name, HedgeDelay: g.serviceTimes.hedgeDelay() * time.Duration(max(req.Work, 1))}
	if !u.unconfirmed {
		d.Limit, d.Instance = u.limit, u.instance
	}
	return d
}

// grantQueued grants queued requests as long as any upstream has room for one.
func (g *Group) grantQueued(now time.Time) []Decision {
	if g.isStarting(now) {
		return nil
	}
	var out []Decision
	for g.queue.size > 0 {
		d, ok := g.grantNext(now)
		if !ok {
			break
		}
		out = append(out, d)
	}
	g.reserve(now)
	return out
}

func (g *Group) grantNext(now time.Time) (Decision, bool) {
	for _, f := range g.queue.waitingFlows() {
		for i, q := range f.queue {
			u := g.choose(now, q.request)
			if u == nil {
				if q.request.Exclusive || len(q.request.Exclude) > 0 {
					continue
				}
				break
			}
			g.queue.dequeue(f, i)
			req := q.request
			req.Remaining -= now.Sub(q.enqueuedAt)
			return g.grant(now, u, req), true
		}
	}
	return nil, false
}

func (g *Group) capacity(now time.Time) int {
	total := 0
	for _, name := range g.names {
		if u := g.upstreams[name]; u.isAvailable(now) {
			total += u.capacity()
		}
	}
	return total
}

func (g *Group) hasAvailable(now time.Time, req Request) bool {
	for _, name := range g.names {
		if u := g.upstreams[name]; u.isAvailable(now) && !req.Exclude.Has(name) {
			return true
		}
	}
	return false
}

func (g *Group) untilAvailable(now time.Time) time.Duration {
	retry := time.Duration(0)
	for _, name := range g.names {
		u := g.upstreams[name]
		if u.spec.Usable && (retry == 0 || u.unavailableUntil.Sub(now) < retry) {
			retry = u.unavailableUntil.Sub(now)
		}
	}
	return max(retry, 0)
}

func (g *Group) isStarting(now time.Time) bool {
	return now.Before(g.quietUntil) || len(g.unregistered) > 0 && now.Before(g.registrationDeadline)
}

func (g *Group) startingRetryAfter(now time.Time) time.Duration {
	return min(max(g.registrationDeadline.Sub(now), g.quietUntil.Sub(now)), startingRetry)
}
