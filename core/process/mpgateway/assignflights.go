package mpgateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpproxy"
)

const (
	// recentFlights is the number of requests that have ended of which a new owner is told, for what
	// the engines have cached. All VMs tell them within registerSpread.
	recentFlights   = 16
	registerSpread  = 100 * time.Millisecond
	registerTimeout = 500 * time.Millisecond
	// activePeriod is how long after its last request for a pool a VM registers with a new owner.
	activePeriod = 10 * time.Second
	// maxPacePercent bounds the pace in messages.
	maxPacePercent = 10_000
)

// assignedPool is what a VM knows of its requests at one pool of engines.
type assignedPool struct {
	// owner and boot are those with which the requests were registered last.
	owner   string
	boot    uint64
	flights map[uint64]*assignedFlight
	// recent holds the latest requests that have ended, as a ring that ends before next.
	recent [recentFlights]*assignedFlight
	next   int
	usedAt time.Time
}

func (p *assignedPool) isActive(now time.Time) bool { return now.Sub(p.usedAt) < activePeriod }

// assignedFlight is a request that an owner has assigned.
type assignedFlight struct {
	r       mpproxy.EngineRequest
	token   uint64
	engine  string
	arrival time.Time
	// owners holds the VMs that know of the request, and hasStarted whether its first token has
	// arrived. The mutex of the assigner protects both.
	owners     []string
	hasStarted bool
}

func newAssignedFlight(now time.Time, r mpproxy.EngineRequest) *assignedFlight {
	return &assignedFlight{r: r, token: rand.Uint64() | 1, arrival: now.Add(r.Delay)}
}

// check returns an error that wraps ErrInvalid if an owner would reject the request.
func (f *assignedFlight) check(now time.Time, vm string) error {
	r := mpassign.Request{
		Token: f.token, VM: vm, Parts: f.r.Parts, OwnTokens: f.r.OwnTokens, OutputTokens: f.r.OutputTokens, Arrival: f.arrival, Deadline: f.r.Deadline,
		Exclude: f.r.Exclude, Versions: f.r.Versions,
	}
	return r.Check(now)
}

func (f *assignedFlight) request(now time.Time, vm string) *mpwire.AssignRequest {
	return &mpwire.AssignRequest{
		Vm: vm, Pool: f.r.Pool, Token: f.token, Parts: encodeParts(f.r.Parts), OwnTokens: uint32(f.r.OwnTokens), OutputTokens: uint32(f.r.OutputTokens),
		ArrivesMs: mptime.Millis(f.arrival.Sub(now)), LeftMs: mptime.Millis(f.r.Deadline.Sub(now)), Exclude: f.r.Exclude, Versions: f.r.Versions,
	}
}

func encodeParts(parts []mpassign.Part) []*mpwire.PromptPart {
	out := make([]*mpwire.PromptPart, len(parts))
	for i, p := range parts {
		out[i] = &mpwire.PromptPart{Hash: p.Hash, Tokens: uint32(p.Tokens)}
	}
	return out
}

func (f *assignedFlight) settlement(o mpassign.Outcome) *mpwire.AssignSettlement {
	return &mpwire.AssignSettlement{
		Pool: f.r.Pool, Token: f.token, End: mpwire.AssignSettlement_End(o.End), FirstMs: mptime.Millis(o.FirstToken), Pace: uint32(min(max(100*o.Pace, 0), maxPacePercent)),
	}
}

// begin records that an owner has assigned an engine to f. It returns true if the requests in flight must
// be registered with the owner.
func (a *assigner) begin(vm string, boot uint64, f *assignedFlight) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[f.r.Pool]
	if p == nil {
		p = &assignedPool{flights: map[uint64]*assignedFlight{}}
		a.pools[f.r.Pool] = p
	}
	p.usedAt = time.Now()
	isNew := p.owner != vm || p.boot != boot
	p.owner, p.boot = vm, boot
	f.owners = append(f.owners, vm)
	p.flights[f.token] = f
	return isNew
}

// end records how f goes on or ends, and returns the owners that know of it.
func (a *assigner) end(now time.Time, f *assignedFlight, o mpassign.Outcome) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.hasStarted = f.hasStarted || o.FirstToken > 0
	p := a.pools[f.r.Pool]
	if o.End == mpassign.Started || p == nil || p.flights[f.token] == nil {
		return f.owners
	}
	delete(p.flights, f.token)
	p.usedAt = now
	if o.End == mpassign.Done || f.hasStarted && o.End != mpassign.Failed {
		p.recent[p.next%recentFlights] = f
		p.next++
	}
	return f.owners
}

// registration returns what an owner is told that begins.
func (a *assigner) registration(now time.Time, vm, pool string) *mpwire.RegisterAssignmentsRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &mpwire.RegisterAssignmentsRequest{Vm: a.vm, Pool: pool}
	p := a.pools[pool]
	if p == nil {
		return r
	}
	for i := range recentFlights {
		if f := p.recent[(p.next+i)%recentFlights]; f != nil {
			r.Held = append(r.Held, &mpwire.AssignHeld{Token: f.token, Upstream: f.engine, Parts: encodeParts(f.r.Parts), Ended: true})
		}
	}
	// The owner knows those that it has assigned since it began.
	for _, f := range p.flights {
		if !slices.Contains(f.owners, vm) {
			f.owners = append(f.owners, vm)
		}
		r.Held = append(r.Held, &mpwire.AssignHeld{
			Token: f.token, Upstream: f.engine, Parts: encodeParts(f.r.Parts), OwnTokens: uint32(f.r.OwnTokens), OutputTokens: uint32(f.r.OutputTokens),
			ArrivesMs: mptime.Millis(f.arrival.Sub(now)), LeftMs: mptime.Millis(f.r.Deadline.Sub(now)), Started: f.hasStarted,
		})
	}
	return r
}
