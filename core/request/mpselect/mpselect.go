// Package mpselect selects the upstream for an attempt. It uses only state that
// is local to this VM: the platform's list of upstreams, the attempts in flight
// and the outcomes of earlier attempts. Model engines are selected by prompt
// prefix affinity with bounded load, other upstreams by expected latency with a
// preference for the local data centre.
package mpselect

import (
	"math"
	"slices"
	"sync"
	"time"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
)

const (
	// initialBackoff is how long an upstream is avoided after a failure. It doubles
	// with each consecutive failure, up to maxBackoff.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// An engine whose work exceeds loadBoundFactor times the mean plus
	// loadBoundSlackTokens is skipped for the next one in rendezvous order.
	loadBoundFactor      = 1.5
	loadBoundSlackTokens = 30_000
	// remoteDCPenalty is added to the expected latency of upstreams in other data
	// centres. It is about one round trip.
	remoteDCPenalty = 8 * time.Millisecond
	coldInterval    = time.Second
	stateRetention  = time.Minute
	// goneDuration is how long an upstream is not used after another process answered at its
	// address. The list has it for some seconds more; it may start again under its ID.
	goneDuration = 5 * time.Second
	// A brittle upstream has at most brittleShare times this VM's equal share of its slots in
	// flight. A refusal halves that; it grows again by one attempt with each brittleGrowth
	// answers. Each VM risks a refusal brittleMargin times more seldom than its equal share of
	// those that the upstream bears.
	brittleShare  = 2.0
	brittleGrowth = 8
	brittleMargin = 1.5
)

// PickInfo describes an attempt for which an upstream is selected.
type PickInfo struct {
	// AffinityKey is equal for attempts that should go to the same upstream; 0
	// means no affinity.
	AffinityKey uint64
	// Work is the cost of the attempt: its tokens at model engines, 1 elsewhere.
	Work float64
	DC   string
	// Kind names the requests whose work is comparable to that of this one, such as those of one
	// route at one pool.
	Kind string
	// Exclude lists the IDs of upstreams to which the request was already sent.
	Exclude []string
}

// Outcome is the result of an attempt, as far as it concerns the upstream's health.
type Outcome int

const (
	// Succeeded means that a complete response was received.
	Succeeded Outcome = iota
	// Failed means that the connection was lost or that the response was missing
	// or invalid.
	Failed
	// Refused means that the upstream reported that it did not run the request.
	Refused
	// Gone means that another process answered at the upstream's address.
	Gone
	// Neutral means that the attempt says nothing about the upstream's health, for
	// example because this VM cancelled it.
	Neutral
)

type upstreamState struct {
	inFlight            int
	work                float64
	consecutiveFailures int
	avoidUntil          time.Time
	// others is the number of requests of other VMs that the upstream ran or had waiting when it
	// last reported its load, and reportedAt when that was.
	others     float64
	reportedAt time.Time
	lastUsed   time.Time
	// lastColdPick is when the upstream was last picked during its cold start.
	lastColdPick time.Time
	// window is the number of attempts in flight that a brittle upstream may get; 0 if it is not
	// known. It gets none until fullUntil, after a refusal.
	window    float64
	fullUntil time.Time
	// brittle is what the upstream said when it was last picked.
	brittle int
	// goneUntil is until when the upstream counts as ended.
	goneUntil time.Time
	// deferredUntil is when the upstream's rate allows the next request.
	deferredUntil time.Time
}

// Config configures a Selector.
type Config struct {
	VM string
}

// Selector selects upstreams and tracks their load and health as seen by this VM.
// It is safe for concurrent use.
type Selector struct {
	cfg Config

	// speed holds how fast the upstreams are.
	speed *mpspeed.Board

	mu     sync.Mutex
	states map[string]*upstreamState
	kinds  map[string]*kindState
	peers  []string
}

// New returns a Selector without state for any upstream.
func New(cfg Config) *Selector {
	return &Selector{
		cfg: cfg, speed: mpspeed.New(mpspeed.Config{ResponseWeight: responseWeight}),
		states: map[string]*upstreamState{}, kinds: map[string]*kindState{}, peers: []string{cfg.VM},
	}
}

// SetPeers sets the names of the VMs that share the upstreams, including this one.
func (s *Selector) SetPeers(vms []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = slices.Clone(vms)
}

// Candidate is an upstream that may be selected.
type Candidate struct {
	Row mplist.Row
	// ColdUntil is the end of the upstream's cold start; zero if it is warm.
	ColdUntil time.Time
	// ColdRate is the number of requests per second that the upstream can handle
	// from all VMs together during its cold start.
	ColdRate float64
	// Brittle is how many refusals in a second the upstream bears from all VMs together; 0 if it
	// does not say.
	Brittle int
}

// Pick selects one of the candidates and counts an attempt in flight, which the
// caller must end with Done. It returns false if no candidate is usable.
func (s *Selector) Pick(now time.Time, candidates []Candidate, info PickInfo) (mplist.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.choose(now, candidates, info)
	if !ok {
		return mplist.Row{}, false
	}
	s.begin(now, c, info)
	return c.Row, true
}

// Return undoes a Pick whose attempt is not sent, since the upstream's rate allows it only at
// until. The upstream is not picked before that.
func (s *Selector) Return(id string, info PickInfo, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(id)
	st.inFlight--
	st.work = max(st.work-info.Work, 0)
	st.deferredUntil = until
}

// DeferredUntil returns when the first of the candidates that wait for their rate, or after a
// refusal, may be picked again, or the zero time if none waits.
func (s *Selector) DeferredUntil(now time.Time, candidates []Candidate) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, c := range candidates {
		st := s.state(c.Row.ID)
		for _, at := range []time.Time{st.deferredUntil, st.fullUntil} {
			if now.Before(at) && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}

// PeekDC returns the data centre of the upstream that Pick would select, without
// counting an attempt.
func (s *Selector) PeekDC(now time.Time, candidates []Candidate, info PickInfo) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.choose(now, candidates, info)
	return c.Row.DC
}

func (s *Selector) choose(now time.Time, candidates []Candidate, info PickInfo) (Candidate, bool) {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		st := s.state(c.Row.ID)
		return slices.Contains(info.Exclude, c.Row.ID) || now.Before(st.deferredUntil) || now.Before(st.goneUntil) || !s.admitsCold(now, c) || !s.admitsBrittle(now, c)
	})
	if len(usable) == 0 {
		return Candidate{}, false
	}
	healthy := slices.DeleteFunc(slices.Clone(usable), func(c Candidate) bool { return s.state(c.Row.ID).isAvoided(now) })
	switch {
	case len(healthy) == 0:
		// All usable upstreams are in backoff: try the one whose backoff ends first.
		return slices.MinFunc(usable, func(a, b Candidate) int {
			return s.state(a.Row.ID).avoidUntil.Compare(s.state(b.Row.ID).avoidUntil)
		}), true
	case info.AffinityKey != 0:
		return s.pickByAffinity(now, healthy, info), true
	}
	return s.pickByExpectedLatency(now, healthy, info), true
}

// admitsCold reports whether this VM may send one more request to the candidate,
// which is always true for a warm upstream. During a cold start, only the first
// ColdRate VMs in the upstream's rendezvous order may send, one request per
// coldInterval each. This keeps the total within ColdRate without any
// coordination between the VMs.
func (s *Selector) admitsCold(now time.Time, c Candidate) bool {
	if !now.Before(c.ColdUntil) || c.ColdRate <= 0 {
		return true
	}
	if now.Sub(s.state(c.Row.ID).lastColdPick) < coldInterval {
		return false
	}
	peers := s.peers
	if !slices.Contains(peers, s.cfg.VM) {
		peers = append(slices.Clone(peers), s.cfg.VM)
	}
	rank := 1 + slices.Index(mprank.OfName(c.Row.ID, peers), s.cfg.VM)
	return float64(rank) <= c.ColdRate
}

// admitsBrittle reports whether this VM may send one more request to the candidate, which falls
// over if all VMs together make it refuse too many.
func (s *Selector) admitsBrittle(now time.Time, c Candidate) bool {
	if c.Brittle <= 0 {
		return true
	}
	st := s.state(c.Row.ID)
	return !now.Before(st.fullUntil) && float64(st.inFlight) < max(min(st.windowOr(s.brittleStart(c)), s.brittleStart(c)), 1)
}

// brittleStart returns the most attempts in flight that a brittle candidate gets.
func (s *Selector) brittleStart(c Candidate) float64 {
	return math.Ceil(brittleShare * float64(c.Row.Slots) / float64(max(len(s.peers), 1)))
}

func (st *upstreamState) windowOr(start float64) float64 {
	if st.window == 0 {
		return start
	}
	return st.window
}

// recordRefusal lets a brittle upstream get less after a refusal.
func (s *Selector) recordRefusal(now time.Time, st *upstreamState) {
	if st.brittle <= 0 {
		return
	}
	st.window = max(float64(st.inFlight)/2, 1)
	st.fullUntil = now.Add(time.Duration(brittleMargin * float64(len(s.peers)) / float64(st.brittle) * float64(time.Second)))
}

// pickByAffinity returns the first upstream in the rendezvous order of the affinity key whose
// work, as time at an upstream of the usual speed, is within the load bound.
func (s *Selector) pickByAffinity(now time.Time, list []Candidate, info PickInfo) Candidate {
	total := 0.0
	work := map[string]float64{}
	byID := map[string]Candidate{}
	ids := make([]string, len(list))
	for i, c := range list {
		ids[i] = c.Row.ID
		byID[c.Row.ID] = c
		work[c.Row.ID] = s.state(c.Row.ID).work * s.speed.Factor(now, c.Row.ID)
		total += work[c.Row.ID]
	}
	limit := loadBoundFactor*total/float64(len(list)) + loadBoundSlackTokens
	order := mprank.Of(info.AffinityKey, ids)
	for _, id := range order {
		if work[id] <= limit {
			return byID[id]
		}
	}
	return byID[order[0]]
}

// HealthChange is the effect of an attempt on this VM's view of an upstream.
type HealthChange int

const (
	// Unchanged means that the upstream is still used or still avoided. The short backoff
	// after a refusal does not count as a change.
	Unchanged HealthChange = iota
	// Avoided means that the upstream failed and gets no attempts until its backoff ends,
	// unless all usable upstreams are in backoff.
	Avoided
	// Restored means that the upstream succeeded again after failures.
	Restored
)

// Done ends an attempt that Pick counted, records its outcome and latency, and
// returns the resulting health change. The latency is 0 if it does not tell how fast the
// upstream works.
func (s *Selector) Done(now time.Time, id string, info PickInfo, outcome Outcome, latency time.Duration) HealthChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(id)
	st.inFlight--
	st.work = max(st.work-info.Work, 0)
	switch outcome {
	case Succeeded:
		failed := st.consecutiveFailures > 0
		st.consecutiveFailures = 0
		if st.window > 0 {
			st.window += 1.0 / brittleGrowth
		}
		s.observe(now, id, info, latency)
		if failed {
			return Restored
		}
	case Failed:
		st.avoidUntil = now.Add(min(initialBackoff<<min(st.consecutiveFailures, 8), maxBackoff))
		st.consecutiveFailures++
		return Avoided
	case Refused:
		st.avoidUntil = now.Add(initialBackoff / 4)
		s.recordRefusal(now, st)
	case Gone:
		wasGone := now.Before(st.goneUntil)
		st.goneUntil = now.Add(goneDuration)
		if !wasGone {
			return Avoided
		}
	case Neutral:
	}
	return Unchanged
}

// isAvoided reports whether the upstream is still in backoff.
func (st *upstreamState) isAvoided(now time.Time) bool { return now.Before(st.avoidUntil) }

func (s *Selector) state(id string) *upstreamState {
	st, ok := s.states[id]
	if !ok {
		st = &upstreamState{}
		s.states[id] = st
	}
	return st
}

// Prune drops the state of upstreams that are no longer in list, have no attempts
// in flight and have not been used within stateRetention.
func (s *Selector) Prune(now time.Time, list *mplist.List) {
	listed := map[string]bool{}
	for _, r := range list.Rows() {
		listed[r.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, st := range s.states {
		if !listed[id] && st.inFlight == 0 && now.Sub(st.lastUsed) > stateRetention {
			delete(s.states, id)
		}
	}
	for name, k := range s.kinds {
		if now.Sub(k.lastUsed) > stateRetention {
			delete(s.kinds, name)
		}
	}
	s.speed.Prune(now, func(id string) bool { return listed[id] })
}
