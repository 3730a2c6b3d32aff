package mpassign

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/common/mperror"
)

const (
	// syncPeriod is how long a new owner waits for the VMs to tell what they have in flight.
	syncPeriod = 300 * time.Millisecond
	// sweepInterval is the time between two searches for assignments that have expired, in ms.
	sweepInterval = 1000.0
	// Engines whose cost differs by less than nearMs, or by nearShare, are nearly equal.
	nearMs    = 3.0
	nearShare = 0.03
	// An engine whose load exceeds the mean costs balanceMs more for each further mean load. At 1.3 times
	// the mean that is the time to prefill some 10,000 tokens, so that only the longest shared parts are
	// still worth the wait. Higher values give up cached parts where others lose nothing by them; without
	// it a part that many requests share keeps one engine several times as busy as the others while no
	// request waits long. Where the mean is below fullLoad, it costs less, by the square, since few
	// requests meet there.
	balanceMs = 800.0
	fullLoad  = 0.05
	// runningMs is what a request costs those that run at an engine whose slots are all taken.
	runningMs = 100.0
	// outputWork is the load of an output token, in tokens to prefill. Engines generate for all
	// requests at once, so that it is far below the ratio of the times.
	outputWork = 1.0
)

// Config configures a Pool.
type Config struct {
	// CacheTokens is the memory of an engine, in tokens, for requests and cached parts; 0 if it is
	// unknown.
	CacheTokens int
}

// Pool holds the state of one pool's engines. It is not safe for concurrent use.
type Pool struct {
	cfg     Config
	epoch   time.Time
	engines []*engine
	byID    map[string]*engine
	flights map[uint64]*flight
	parts   map[uint64]*part
	// registered holds the VMs that have registered, of vms in all. Until all have, or syncUntil has
	// come, the load of engines is not known.
	registered map[string]bool
	vms        int
	syncUntil  time.Time
	sweptAt    float64

	samples  average
	overhead float64

	generation uint64
}

// New returns a Pool without engines at now. vms is the number of VMs that will register; 0 if
// there was no owner before.
func New(now time.Time, vms int, cfg Config) *Pool {
	return &Pool{
		cfg: cfg, epoch: now, byID: map[string]*engine{}, flights: map[uint64]*flight{}, parts: map[uint64]*part{},
		registered: map[string]bool{}, vms: vms, syncUntil: now.Add(syncPeriod),
		samples: average{initialRate * poolWindow / 10, poolWindow / 10}, overhead: initialOverhead,
	}
}

// SetEngines sets the engines that may get new requests. Engines that are not among them are
// forgotten with all that they run and have cached.
func (p *Pool) SetEngines(now time.Time, rows []Row) {
	t := p.ms(now)
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.ID] = true
		e := p.byID[row.ID]
		if e == nil {
			e = &engine{id: row.ID, at: t}
			p.byID[row.ID] = e
			p.engines = append(p.engines, e)
		}
		e.version, e.slots, e.coldUntil = row.Version, row.Slots, 0
		if !row.ColdUntil.IsZero() {
			e.coldUntil = p.ms(row.ColdUntil)
		}
		old := e.coldVMs
		e.coldVMs = nil
		for _, vm := range row.ColdVMs {
			c := coldVM{name: vm, last: -coldInterval}
			if i := slices.IndexFunc(old, func(c coldVM) bool { return c.name == vm }); i >= 0 {
				c = old[i]
			}
			e.coldVMs = append(e.coldVMs, c)
		}
	}
	for token, f := range p.flights {
		if !listed[f.engine.id] {
			p.release(f, true)
			delete(p.flights, token)
		}
	}
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool {
		if listed[e.id] {
			return false
		}
		p.clear(e)
		delete(p.byID, e.id)
		return true
	})
}

// Len returns the number of assignments that have not ended.
func (p *Pool) Len() int { return len(p.flights) }

// Assign chooses an engine for a request. It returns false if none may get it, and an error that
// wraps ErrInvalid if the request is implausible.
func (p *Pool) Assign(now time.Time, r Request) (Assignment, bool, error) {
	if err := r.Check(now); err != nil {
		return Assignment{}, false, err
	}
	t := p.ms(now)
	if t-p.sweptAt >= sweepInterval {
		p.Expire(now)
	}
	if f := p.flights[r.Token]; f != nil {
		p.end(f, false)
	}
	if len(p.flights) >= maxFlights {
		return Assignment{}, false, nil
	}
	e, work := p.choose(now, t, &r)
	if e == nil {
		return Assignment{}, false, nil
	}
	f := &flight{
		token: r.Token, vm: r.VM, ownTokens: r.OwnTokens + r.OutputTokens, work: work, output: float64(r.OutputTokens), start: max(p.ms(r.Arrival), t), deadline: p.ms(r.Deadline),
	}
	cached := 0
	if e.generation == p.generation {
		cached = e.matchedTokens
	}
	p.add(t, e, f, r.Parts)
	if t < e.coldUntil {
		e.recordCold(t, r.VM)
	}
	return Assignment{Engine: e.id, Expected: time.Duration(e.expected * float64(time.Millisecond)), CachedTokens: cached}, true, nil
}

func (p *Pool) add(t float64, e *engine, f *flight, parts []Part) {
	rate := p.rateAt(t, e)
	e.advance(t, rate)
	e.add(t, f, rate)
	e.addLoad(t, (f.work+outputWork*f.output)/p.rate(e))
	p.use(e, f, parts)
	p.flights[f.token] = f
}

// choose returns the best engine for a request, and the tokens that it must prefill there.
func (p *Pool) choose(now time.Time, t float64, r *Request) (*engine, float64) {
	shared := 0
	for _, part := range r.Parts {
		shared += part.Tokens
	}
	p.match(r.Parts)
	arrival := max(p.ms(r.Arrival), t)
	isSyncing, leastWork, meanLoad := p.isSyncing(now), 0.0, p.meanLoad(t)
	if isSyncing {
		leastWork = p.meanWork()
	}
	bestCost, bestHasRoom := 0.0, false
	found := false
	for _, e := range p.engines {
		e.cost = -1
		if !p.admits(t, e, r) {
			continue
		}
		matched, pinned := 0, 0
		if e.generation == p.generation {
			matched, pinned = e.matchedTokens, e.matchedPinned
		}
		hasRoom := e.hasRoom(shared-pinned+r.OwnTokens+r.OutputTokens, p.cfg.CacheTokens)
		if found && bestHasRoom && !hasRoom {
			continue
		}
		rate := p.rateAt(t, e)
		e.advance(t, rate)
		work := float64(max(shared-matched, 0) + r.OwnTokens)
		overlap := max(e.overlap(arrival, work, rate), min(leastWork, work))
		e.expected = p.overhead + (work+overlap)/rate
		e.cost = e.expected + overlap/rate
		if !isSyncing {
			e.cost += p.balance(t, e, meanLoad)
		}
		if !found || hasRoom && !bestHasRoom || e.cost < bestCost {
			found, bestCost = true, e.cost
			if hasRoom && !bestHasRoom {
				bestHasRoom = true
				p.forgetCosts(e)
			}
		}
	}
	if !found {
		return nil, 0
	}
	e := p.nearest(r, bestCost)
	matched := 0
	if e.generation == p.generation {
		matched = e.matchedTokens
	}
	return e, float64(max(shared-matched, 0) + r.OwnTokens)
}

// forgetCosts drops the costs of the engines before e, which have no room.
func (p *Pool) forgetCosts(e *engine) {
	for _, other := range p.engines {
		if other == e {
			return
		}
		other.cost = -1
	}
}

// nearest returns, of the engines that cost about as much as the best, the one with most of the
// prompt cached. Of those that have the same, it is the first in the rendezvous order of the last
// shared part, in which VMs choose that have no owner to ask.
func (p *Pool) nearest(r *Request, bestCost float64) *engine {
	limit := bestCost + max(nearMs, nearShare*bestCost)
	var best *engine
	bestMatched, bestScore := -1, uint64(0)
	key := uint64(0)
	if len(r.Parts) > 0 {
		key = r.Parts[len(r.Parts)-1].Hash
	}
	for _, e := range p.engines {
		if e.cost < 0 || e.cost > limit {
			continue
		}
		matched := 0
		if e.generation == p.generation {
			matched = e.matchedTokens
		}
		if matched < bestMatched {
			continue
		}
		score := rank(key, e.id)
		if matched > bestMatched || score > bestScore {
			best, bestMatched, bestScore = e, matched, score
		}
	}
	return best
}

func rank(key uint64, id string) uint64 {
	x := key ^ xxhash.Sum64String(id)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (p *Pool) meanLoad(t float64) float64 {
	sum := 0.0
	for _, e := range p.engines {
		sum += e.loadNow(t)
	}
	return sum / float64(max(len(p.engines), 1))
}

// balance returns what a further request costs an engine that is more loaded than others.
func (p *Pool) balance(t float64, e *engine, meanLoad float64) float64 {
	cost := 0.0
	if e.slots > 0 {
		cost += runningMs * float64(e.flights) / float64(e.slots)
	}
	if meanLoad > 0 {
		share := min(meanLoad/fullLoad, 1)
		cost += balanceMs * share * share * max(e.loadNow(t)/meanLoad-1, 0)
	}
	return cost
}

// admits reports whether a request may go to an engine.
func (p *Pool) admits(t float64, e *engine, r *Request) bool {
	return t >= e.avoidUntil && e.admitsCold(t, r.VM) &&
		(len(r.Versions) == 0 || slices.Contains(r.Versions, e.version)) && !slices.Contains(r.Exclude, e.id)
}

// isSyncing reports whether VMs may still have to tell what they have in flight.
func (p *Pool) isSyncing(now time.Time) bool {
	return now.Before(p.syncUntil) && len(p.registered) < p.vms
}

// meanWork estimates the tokens that wait at an engine, from what some of the VMs have told. No engine
// counts as having less until the others have.
func (p *Pool) meanWork() float64 {
	sum := 0.0
	for _, f := range p.flights {
		if f.state != running {
			sum += f.work
		}
	}
	return sum / float64(max(len(p.engines), 1)) * float64(p.vms) / float64(max(len(p.registered), 1))
}

// Settle takes over what a VM reports about an assignment. It returns false if there is no such
// assignment.
func (p *Pool) Settle(now time.Time, token uint64, o Outcome) bool {
	f := p.flights[token]
	if f == nil {
		return false
	}
	t, e := p.ms(now), f.engine
	e.advance(t, p.rateAt(t, e))
	if o.Pace != 0 {
		e.state(t, o.Pace)
	}
	if o.FirstToken > 0 && !f.hasStarted {
		f.hasStarted = true
		p.start(t, f, float64(o.FirstToken)/float64(time.Millisecond))
	}
	switch o.End {
	case Started:
		return true
	case Done:
		e.succeed(t)
	case Refused:
		e.avoidUntil = max(e.avoidUntil, t+refusalBackoff)
	case Failed:
		if e.fail(t, f.vm) {
			p.clear(e)
		}
	case Gone:
		e.avoidUntil = max(e.avoidUntil, t+goneBackoff)
		p.clear(e)
	case Unused, Cancelled:
	}
	p.end(f, o.End == Done || o.End == Cancelled || f.hasStarted)
	return true
}

// start records the first token of a request, after took ms.
func (p *Pool) start(t float64, f *flight, took float64) {
	e := f.engine
	switch f.state {
	case running:
		p.learn(t, e, f.modelled, f.rate, took)
	case waiting:
		// It came before the model expects it. At most as many tokens were left as the model has.
		left := (f.finish - e.virtual) * float64(len(e.waiting)) / f.rate
		p.learn(t, e, max(t-f.start, 0)+left, f.rate, took)
	case coming:
	}
	for _, en := range f.entries {
		if en.addedBy == f {
			en.addedBy = nil
		}
	}
	e.finishPrefill(f)
}

// end ends an assignment. The prompt is in the engine's cache if it was prefilled.
func (p *Pool) end(f *flight, prefilled bool) {
	f.engine.remove(f)
	p.release(f, prefilled)
	delete(p.flights, f.token)
}

// Expire ends the assignments whose deadline has passed without a report.
func (p *Pool) Expire(now time.Time) int {
	t, n := p.ms(now), 0
	p.sweptAt = t
	for _, f := range p.flights {
		if f.deadline <= t {
			f.engine.advance(t, p.rateAt(t, f.engine))
			p.end(f, true)
			n++
		}
	}
	return n
}

// Register takes over what a VM has in flight, apart from requests that are known. It returns an error
// that wraps ErrInvalid if the requests are implausible.
func (p *Pool) Register(now time.Time, vm string, held []Held) error {
	if len(held) > maxListed || vm == "" {
		return mperror.Wrap(mperror.ErrInvalid, "%d requests in flight", len(held))
	}
	for i := range held {
		if err := held[i].check(now); err != nil {
			return err
		}
	}
	p.registered[vm] = true
	for i := range held {
		if len(p.flights) < maxFlights {
			p.addHeld(p.ms(now), vm, &held[i])
		}
	}
	return nil
}

func (p *Pool) addHeld(t float64, vm string, h *Held) {
	e := p.byID[h.Engine]
	if e == nil || p.flights[h.Token] != nil {
		return
	}
	f := &flight{token: h.Token, vm: vm, ownTokens: h.OwnTokens + h.OutputTokens, work: float64(h.OwnTokens), output: float64(h.OutputTokens), start: max(p.ms(h.Arrival), t), deadline: p.ms(h.Deadline), hasStarted: h.HasStarted}
	p.add(t, e, f, h.Parts)
	switch {
	case h.Ended:
		p.end(f, true)
	case h.HasStarted:
		e.finishPrefill(f)
	}
}
