// Package mprelay connects a VM to upstreams by way of another VM while it has no path of its
// own. It works below HTTP: which upstream gets a request, with which deadline and at what cost
// to budgets, is decided where the caller's request arrived, and a connection that cannot be
// made has carried no byte of a request. A VM relays only over its own path, so that no
// connection goes by way of two.
package mprelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// probeInterval is how often a VM tries its own path to an upstream that it reaches by way
	// of another VM. Part of it is random, so that it does not return to all at once.
	probeInterval = time.Second
	// downDuration is how long no other VM is asked for an upstream that none of those asked
	// reaches. Such an upstream has ended, or all VMs lost their paths.
	downDuration = time.Second
	// relayedRetention is how long an upstream is remembered after it was last reached by way of
	// another VM.
	relayedRetention = time.Minute
	// minRelayed is the number of upstreams, reached by other VMs only, from which on a VM takes
	// itself for cut off from all.
	minRelayed = 2
	// soundDuration is how long after a connection over its own path a VM takes an upstream that
	// refuses one for ended.
	soundDuration = time.Second
	// peerPause is how long a VM that could not help is asked after all others.
	peerPause = 2 * time.Second
)

// path is what is known of the paths to one upstream.
type path struct {
	// relayedAt is when the upstream was last reached by way of another VM although the own path
	// failed; zero if the own path works as far as is known.
	relayedAt time.Time
	probeAt   time.Time
	downUntil time.Time
	// asking is closed when the peers that are being asked have answered; nil if none are.
	asking chan struct{}
}

// Paths decides which paths to upstreams are tried. It is safe for concurrent use.
type Paths struct {
	mu    sync.Mutex
	paths map[string]*path
	// directAt is when the VM last reached an upstream over its own path.
	directAt time.Time
	// pausedPeers are VMs that could not help, until when.
	pausedPeers map[string]time.Time
}

// NewPaths returns Paths that know of no failure.
func NewPaths() *Paths {
	return &Paths{paths: map[string]*path{}, pausedPeers: map[string]time.Time{}}
}

// Plan is how a connection to an upstream is made.
type Plan struct {
	// RelayFirst is set if the own path is not waited for.
	RelayFirst bool
	// MayRelay is set if other VMs are asked.
	MayRelay bool
}

// Plan returns how to connect to the upstream at address.
func (p *Paths) Plan(now time.Time, address string) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(address)
	mayRelay := !now.Before(st.downUntil)
	return Plan{RelayFirst: mayRelay && (st.isRelayed(now) || p.isCut(now)), MayRelay: mayRelay}
}

// Probes returns the upstreams to which the own path is to be tried again. jitter returns numbers
// uniformly distributed over [0, 1).
func (p *Paths) Probes(now time.Time, jitter func() float64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, st := range p.paths {
		if st.isRelayed(now) && !now.Before(st.probeAt) {
			out = append(out, address)
			st.probeAt = now.Add(probeInterval + time.Duration(jitter()*float64(probeInterval)))
		}
	}
	return out
}

// IsCut reports whether this VM reaches upstreams by way of other VMs only, so that it cannot
// help others.
func (p *Paths) IsCut(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut(now)
}

// IsSound reports whether the VM reached an upstream over its own path lately.
func (p *Paths) IsSound(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.directAt) < soundDuration && !p.isCut(now)
}

// CanRelay reports whether this VM may connect others to the upstream at address.
func (p *Paths) CanRelay(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isCut(now) && !p.state(address).isRelayed(now)
}

func (p *Paths) isCut(now time.Time) bool {
	relayed := 0
	for _, st := range p.paths {
		if st.isRelayed(now) && st.relayedAt.After(p.directAt) {
			relayed++
		}
	}
	return relayed >= minRelayed
}

func (st *path) isRelayed(now time.Time) bool {
	return !st.relayedAt.IsZero() && now.Sub(st.relayedAt) < relayedRetention
}

// RecordDirect records that the own path to an upstream works. It returns true if it did not
// before.
func (p *Paths) RecordDirect(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directAt = now
	st := p.state(address)
	healed := st.isRelayed(now)
	*st = path{asking: st.asking}
	return healed
}

// RecordRelayed records that an upstream was reached by way of another VM while the own path
// failed. It returns true if the own path worked before, as far as was known.
func (p *Paths) RecordRelayed(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(address)
	isNew := !st.isRelayed(now)
	st.relayedAt, st.downUntil = now, time.Time{}
	return isNew
}

// RecordDown records that neither this VM nor those that were asked reach an upstream.
func (p *Paths) RecordDown(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(address)
	*st = path{downUntil: now.Add(downDuration), asking: st.asking}
}

// BeginAsk begins to ask peers for an upstream. If they are being asked already, it returns a
// channel that is closed once they have answered.
func (p *Paths) BeginAsk(address string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.state(address)
	if st.asking != nil {
		return st.asking
	}
	st.asking = make(chan struct{})
	return nil
}

// EndAsk ends what BeginAsk began.
func (p *Paths) EndAsk(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.state(address); st.asking != nil {
		close(st.asking)
		st.asking = nil
	}
}

// RecordUnhelpful records that a peer could not connect to an upstream that another one reaches.
func (p *Paths) RecordUnhelpful(now time.Time, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedPeers[peer] = now.Add(peerPause)
}

// Order returns the names of peers in the order in which they are asked: those that could not
// help lately come last.
func (p *Paths) Order(now time.Time, peers []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(peers)
	rank := func(name string) int {
		if now.Before(p.pausedPeers[name]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b string) int { return rank(a) - rank(b) })
	return out
}

// Prune forgets the upstreams that isListed does not report.
func (p *Paths) Prune(isListed func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.paths {
		if !isListed(address) && p.paths[address].asking == nil {
			delete(p.paths, address)
		}
	}
}

func (p *Paths) state(address string) *path {
	st, ok := p.paths[address]
	if !ok {
		st = &path{}
		p.paths[address] = st
	}
	return st
}
