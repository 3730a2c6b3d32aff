// Package mpselect chooses the upstream for an attempt from what this VM knows:
// the platform's list, its own attempts in flight, and how earlier ones ended.
// Model engines are chosen by the kept prefix, with bounded load; others by
// expected wait, the own data centre first.
package mpselect

import (
	"math"
	"slices"
	"sync"
	"time"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/version/mplist"
)

const (
	// suspectFirst doubles with each failure in a row, up to suspectMost.
	suspectFirst = 400 * time.Millisecond
	suspectMost  = 5 * time.Second
	// boundTimes and boundSlack bound the work at one engine: above that many
	// times the mean plus that many tokens, the next engine in order is taken.
	boundTimes = 1.5
	boundSlack = 30_000
	// farCost is added for upstreams of other data centres: about a round trip.
	farCost = 8 * time.Millisecond
	// tookWeight is the weight of the newest answer in an upstream's mean time.
	tookWeight  = 0.2
	tookFirst   = 20 * time.Millisecond
	coldWindow  = time.Second
	forgetAfter = time.Minute
)

// PickInfo describes the attempt to place.
type PickInfo struct {
	// AffinityKey names what the attempt shares with others; 0 for nothing.
	AffinityKey uint64
	// Work is the size of the attempt, in tokens or 1.
	Work float64
	DC   string
	// Exclude lists the ids of upstreams that the request was sent to before.
	Exclude []string
}

// Outcome tells how an attempt went.
type Outcome int

const (
	// Succeeded attempts got a whole answer.
	Succeeded Outcome = iota
	// Failed attempts lost their connection, or got no or a bad answer.
	Failed
	// Rejected attempts were refused before they ran.
	Rejected
	// Neutral attempts were ended by this side.
	Neutral
)

type state struct {
	flights int
	work    float64
	fails   int
	until   time.Time
	took    time.Duration
	used    time.Time
	// cold is when the upstream last got an attempt while it was cold.
	cold time.Time
}

// Config sets a Selector.
type Config struct {
	VM string
}

// Selector keeps what this VM knows of the upstreams. It is safe for
// concurrent use.
type Selector struct {
	cfg Config

	mu    sync.Mutex
	known map[string]*state
	peers []string
}

// New returns a selector that knows nothing yet.
func New(cfg Config) *Selector {
	return &Selector{cfg: cfg, known: map[string]*state{}, peers: []string{cfg.VM}}
}

// SetPeers names the VMs that share the upstreams, this one included.
func (s *Selector) SetPeers(vms []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = slices.Clone(vms)
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Row mplist.Row
	// ColdUntil is when the upstream stops being cold; zero when it is warm.
	ColdUntil time.Time
	// ColdRate is the number of requests a second that it bears from all VMs
	// while it is cold.
	ColdRate float64
}

// Pick chooses one of the candidates and counts the attempt. It returns false
// when none may be used.
func (s *Selector) Pick(now time.Time, candidates []Candidate, ask PickInfo) (mplist.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.choose(now, candidates, ask)
	if !ok {
		return mplist.Row{}, false
	}
	st := s.state(c.Row.ID)
	st.flights++
	st.work += ask.Work
	st.used = now
	if now.Before(c.ColdUntil) {
		st.cold = now
	}
	return c.Row, true
}

// PeekDC returns the data centre of the upstream that Pick would choose, without
// counting an attempt.
func (s *Selector) PeekDC(now time.Time, candidates []Candidate, ask PickInfo) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.choose(now, candidates, ask)
	return c.Row.DC
}

func (s *Selector) choose(now time.Time, candidates []Candidate, ask PickInfo) (Candidate, bool) {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return slices.Contains(ask.Exclude, c.Row.ID) || !s.bearsCold(now, c)
	})
	if len(usable) == 0 {
		return Candidate{}, false
	}
	sound := slices.DeleteFunc(slices.Clone(usable), func(c Candidate) bool { return s.state(c.Row.ID).isSuspect(now) })
	switch {
	case len(sound) == 0:
		// All failed lately: the one whose pause ends first is tried.
		return slices.MinFunc(usable, func(a, b Candidate) int {
			return s.state(a.Row.ID).until.Compare(s.state(b.Row.ID).until)
		}), true
	case ask.AffinityKey != 0:
		return s.byAffinity(sound, ask), true
	}
	return s.byWait(sound, ask), true
}

// bearsCold reports whether a cold upstream may get one more request from this
// VM. Each VM among the first in the upstream's order may send one a second, so
// that all together stay below what it bears, whatever they know of each other.
func (s *Selector) bearsCold(now time.Time, c Candidate) bool {
	if !now.Before(c.ColdUntil) || c.ColdRate <= 0 {
		return true
	}
	if now.Sub(s.state(c.Row.ID).cold) < coldWindow {
		return false
	}
	peers := s.peers
	if !slices.Contains(peers, s.cfg.VM) {
		peers = append(slices.Clone(peers), s.cfg.VM)
	}
	place := 1 + slices.Index(mprank.OfName(c.Row.ID, peers), s.cfg.VM)
	return float64(place) <= c.ColdRate
}

// byAffinity takes the first upstream in the rendezvous order of the shared
// part whose work is within bounds.
func (s *Selector) byAffinity(list []Candidate, ask PickInfo) Candidate {
	total := 0.0
	for _, c := range list {
		total += s.state(c.Row.ID).work
	}
	limit := boundTimes*total/float64(len(list)) + boundSlack
	byID := map[string]Candidate{}
	ids := make([]string, len(list))
	for i, c := range list {
		ids[i] = c.Row.ID
		byID[c.Row.ID] = c
	}
	order := mprank.Of(ask.AffinityKey, ids)
	for _, id := range order {
		if s.state(id).work <= limit {
			return byID[id]
		}
	}
	return byID[order[0]]
}

// byWait takes the upstream with the shortest expected time to an answer.
func (s *Selector) byWait(list []Candidate, ask PickInfo) Candidate {
	best, least := list[0], math.Inf(1)
	for _, c := range list {
		st := s.state(c.Row.ID)
		queue := 1 + float64(st.flights)/float64(max(c.Row.Slots, 1))
		cost := queue * float64(st.took)
		if c.Row.DC != ask.DC {
			cost += float64(farCost)
		}
		if cost < least {
			best, least = c, cost
		}
	}
	return best
}

// HealthChange tells what this VM thinks of an upstream after an attempt.
type HealthChange int

const (
	// Unchanged upstreams are used, or avoided, as before.
	Unchanged HealthChange = iota
	// Avoided upstreams get no attempts for a while.
	Avoided
	// Restored upstreams have answered again after failures.
	Restored
)

// Done ends an attempt that Pick counted, and returns what it changed.
func (s *Selector) Done(now time.Time, id string, ask PickInfo, e Outcome, took time.Duration) HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(id)
	st.flights--
	st.work = max(st.work-ask.Work, 0)
	switch e {
	case Succeeded:
		failed := st.fails > 0
		st.fails = 0
		st.took += time.Duration(tookWeight * float64(took-st.took))
		if failed {
			return Restored
		}
	case Failed:
		st.until = now.Add(min(suspectFirst<<min(st.fails, 8), suspectMost))
		st.fails++
		return Avoided
	case Rejected:
		st.until = now.Add(suspectFirst / 4)
	case Neutral:
	}
	return Unchanged
}

// isSuspect reports whether the upstream failed lately.
func (st *state) isSuspect(now time.Time) bool { return now.Before(st.until) }

func (s *Selector) state(id string) *state {
	st, ok := s.known[id]
	if !ok {
		st = &state{took: tookFirst}
		s.known[id] = st
	}
	return st
}

// Prune drops what is known of upstreams that are not listed any more.
func (s *Selector) Prune(now time.Time, list *mplist.List) {
	listed := map[string]bool{}
	for _, r := range list.Rows() {
		listed[r.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, st := range s.known {
		if !listed[id] && st.flights == 0 && now.Sub(st.used) > forgetAfter {
			delete(s.known, id)
		}
	}
}
