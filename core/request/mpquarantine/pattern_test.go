package mpquarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/version/mpview"
)

const (
	simVMs       = 9
	simUpstreams = 12
	// simStep is the resolution of the simulation, in ms, as are the other times. A request
	// begins to be answered after firstByte and ends after fullAnswer. An upstream that ended
	// is back after restart. Evidence reaches the other VMs after handOver.
	simStep    = 10
	firstByte  = 80
	fullAnswer = 400
	restart    = 3000
	handOver   = 200
	simLength  = 40_000
	// contact is the time that the VMs have to stop sending requests after crash crashLimit.
	contact     = 3000
	crashLimit  = 5
	maxLateSent = 3
)

// simAttempt is a request that is being answered.
type simAttempt struct {
	vm, sentAt int
	parts      []string
	traits     Traits
	trial      Feature
	endTrial   func(ms int, lost bool)
}

type simUpstream struct {
	id       string
	downTill int
	running  []simAttempt
}

// pattern is a load, and what ends upstreams besides the requests.
type pattern struct {
	// bad is the part that crashes upstreams, badRate the requests with it per second.
	bad     string
	badRate float64
	// isFirst is set if the part comes first in prompts. Until badFrom requests with the part
	// are answered.
	isFirst bool
	badFrom int
	// hasHead is set if upstreams send the head of an answer before they crash.
	hasHead bool
	// ends returns the upstreams that end by themselves at ms.
	ends func(r *rand.Rand, ms int) []int
}

// change is evidence that is in force everywhere from a time on.
type change struct {
	at      int
	raised  []Finding
	cleared []Feature
}

// simulation runs VMs with a ledger each that share their evidence.
type simulation struct {
	pattern
	r         *rand.Rand
	vms       []*Ledger
	upstreams []*simUpstream
	strikes   map[uint64]mpview.StrikeCount
	pending   []change
	sequence  uint64
	token     uint64
	// arbiter is that of all features, at the first VM.
	arbiter *Arbiter

	crashes, badSent []int
	// sound and soundSent count requests without the bad part.
	sound, soundSent int
}

func simulate(seed uint64, p pattern) *simulation {
	s := &simulation{pattern: p, r: rand.New(rand.NewPCG(seed, 1)), strikes: map[uint64]mpview.StrikeCount{}, arbiter: NewArbiter()}
	for range simVMs {
		s.vms = append(s.vms, New())
	}
	for i := range simUpstreams {
		s.upstreams = append(s.upstreams, &simUpstream{id: fmt.Sprint("u", i)})
	}
	for ms := 0; ms < simLength; ms += simStep {
		s.step(ms)
	}
	return s
}

func (s *simulation) step(ms int) {
	for len(s.pending) > 0 && s.pending[0].at <= ms {
		s.apply(ms, s.pending[0])
		s.pending = s.pending[1:]
	}
	const soundRate = 40.0
	if s.r.Float64() < soundRate*simStep/1000 {
		s.send(ms, []string{"all", fmt.Sprint("own", s.r.IntN(60))})
	}
	if s.r.Float64() < s.badRate*simStep/1000 {
		parts := []string{"all", s.bad, fmt.Sprint("own", s.r.IntN(60))}
		if s.isFirst {
			parts = parts[1:]
		}
		s.send(ms, parts)
	}
	if s.ends != nil {
		for _, i := range s.ends(s.r, ms) {
			s.end(ms, s.upstreams[i])
		}
	}
	for _, u := range s.upstreams {
		s.advance(ms, u)
	}
}

func (p pattern) isBad(sentAt int, parts []string) bool {
	return p.bad != "" && sentAt >= p.badFrom && slices.Contains(parts, p.bad)
}

func (s *simulation) send(ms int, parts []string) {
	s.sequence++
	vm := s.r.IntN(simVMs)
	a := simAttempt{vm: vm, sentAt: ms, parts: parts, traits: request(s.sequence, parts...), endTrial: func(int, bool) {}}
	isBad := s.isBad(ms, parts)
	if !isBad {
		s.soundSent++
	}
	var suspect Feature
	v := s.vms[vm].Judge(at(ms), a.traits)
	switch {
	case v.Level == Convicted:
		return
	case v.NeedsTrial:
		if at(ms).Sub(v.Since) < TrialDelay {
			return
		}
		end, ok := s.beginTrial(ms, vm, v.Finding)
		if !ok {
			return // Such a request waits; here it counts as refused.
		}
		a.endTrial, suspect, a.trial = end, v.Feature, v.Feature
	}
	byID := map[string]*simUpstream{}
	for _, u := range s.upstreams {
		if u.downTill <= ms {
			byID[u.id] = u
		}
	}
	if len(byID) == 0 {
		a.endTrial(ms, false)
		return
	}
	ids := slices.Sorted(maps.Keys(byID))
	place := s.vms[vm].Place(at(ms), ids)
	id := place.Upstream(suspect)
	if suspect == 0 {
		id = mprank.Of(uint64(a.traits.Parts[len(parts)-1]), slices.DeleteFunc(ids, place.Spares))[0]
	}
	u := byID[id]
	if u == nil {
		a.endTrial(ms, false)
		return
	}
	u.running = append(u.running, a)
	if isBad {
		s.badSent = append(s.badSent, ms)
	}
}

// beginTrial asks the arbiter for a trial by vm. What they know of the feature goes with it.
func (s *simulation) beginTrial(ms, vm int, known Finding) (end func(ms int, lost bool), ok bool) {
	s.token++
	f, token := known.Feature, s.token
	if !s.arbiter.Begin(at(ms), known, token).Granted {
		return nil, false
	}
	s.vms[vm].Learn(at(ms), f, s.vms[0].levelOf(at(ms), f))
	return func(ms int, lost bool) {
		s.arbiter.End(at(ms), f, token, lost)
		s.vms[0].Learn(at(ms), f, s.vms[vm].levelOf(at(ms), f))
	}, true
}

// advance answers the requests of an upstream that are due.
func (s *simulation) advance(ms int, u *simUpstream) {
	for _, a := range u.running {
		if ms-a.sentAt >= firstByte && s.isBad(a.sentAt, a.parts) {
			s.crashes = append(s.crashes, ms)
			s.end(ms, u)
			return
		}
	}
	u.running = slices.DeleteFunc(u.running, func(a simAttempt) bool {
		if ms-a.sentAt < fullAnswer {
			return false
		}
		if cleared := s.vms[a.vm].RecordSound(at(ms), at(a.sentAt+firstByte), a.traits); len(cleared) > 0 {
			s.pending = append(s.pending, change{at: ms + handOver, cleared: cleared})
		}
		a.endTrial(ms, false)
		s.sound++
		return true
	})
}

// end ends an upstream and all that it was running.
func (s *simulation) end(ms int, u *simUpstream) {
	for _, a := range u.running {
		if ms-a.sentAt < firstByte+simStep {
			c := Crash{Upstream: fmt.Sprint(u.id, u.downTill), SentAt: at(a.sentAt), Traits: a.traits}
			c.HasHead, c.Trial = s.hasHead && slices.Contains(a.parts, s.bad), a.trial
			raised, cleared := s.vms[a.vm].RecordCrash(at(ms), c)
			s.pending = append(s.pending, change{ms + handOver, raised, cleared})
		}
		a.endTrial(ms, true)
	}
	u.running, u.downTill = nil, ms+restart
}

// apply adds evidence to the strikes and to all VMs.
func (s *simulation) apply(ms int, c change) {
	for _, f := range c.raised {
		for _, n := range f.Feature.Fingerprints(f.Level) {
			s.strikes[n] = mpview.StrikeCount{Count: 1}
		}
	}
	for _, f := range c.cleared {
		for _, n := range f.Fingerprints(Convicted) {
			delete(s.strikes, n)
		}
	}
	for _, l := range s.vms {
		if _, cleared := l.SetStrikes(at(ms), s.strikes); len(cleared) > 0 {
			s.pending = append(s.pending, change{at: ms + handOver, cleared: cleared})
		}
	}
}

// lateSent returns how many requests with the bad part were sent later than contact after
// crash crashLimit.
func (s *simulation) lateSent() int {
	if len(s.crashes) == 0 {
		return 0
	}
	bound := s.crashes[min(len(s.crashes), crashLimit)-1] + contact
	n := 0
	for _, ms := range s.badSent {
		if ms > bound {
			n++
		}
	}
	return n
}

// checkConvicted reports an error if parts other than want are convicted at the end.
func (s *simulation) checkConvicted(t *testing.T, seed uint64, want string) {
	t.Helper()
	names := []string{"all", s.bad}
	for i := range 60 {
		names = append(names, fmt.Sprint("own", i))
	}
	for _, name := range names {
		_, convicted := s.strikes[PartFeature(name).fingerprint(Convicted)]
		if name != "" && convicted != (name == want) {
			t.Errorf("seed %d: part %q is convicted: %t", seed, name, convicted)
		}
	}
}

func every(interval int, f func(r *rand.Rand) []int) func(*rand.Rand, int) []int {
	return func(r *rand.Rand, ms int) []int {
		if ms == 0 || ms%interval != 0 {
			return nil
		}
		return f(r)
	}
}

// seeds returns the number of random runs of each load: SEEDS, or fallback.
func seeds(t *testing.T, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv("SEEDS")
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Loads with requests that crash upstreams, and with upstreams that end for other reasons.
// Each pattern names what it stands for; evidence must convict the one part that crashes
// upstreams, in time, and no other.
// SEEDS is the number of random runs of each pattern.
func TestPatterns(t *testing.T) {
	n := seeds(t, 20)
	one := func(r *rand.Rand) []int { return []int{r.IntN(simUpstreams)} }
	zone := func(r *rand.Rand) []int { z := 4 * r.IntN(3); return []int{z, z + 1, z + 2, z + 3} }
	for name, p := range map[string]pattern{
		"a rare part that crashes upstreams":                    {bad: "bad", badRate: 0.5},
		"a part that crashes upstreams":                         {bad: "bad", badRate: 2},
		"a part that crashes upstreams after the head":          {bad: "bad", badRate: 2, hasHead: true},
		"a common part that crashes upstreams":                  {bad: "bad", badRate: 15},
		"a part that crashes upstreams while others are killed": {bad: "bad", badRate: 2, ends: every(2500, one)},
		"a first part that crashes upstreams":                   {bad: "bad", badRate: 2, isFirst: true},
		"a common first part that crashes upstreams":            {bad: "bad", badRate: 15, isFirst: true},
		"a part that was answered before":                       {bad: "bad", badRate: 5, badFrom: 10_000},
		"zones that lose power":                                 {ends: every(4000, zone)},
		"a release that cuts off what runs":                     {ends: every(700, one)},
		"upstreams that fail at random": {ends: func(r *rand.Rand, _ int) []int {
			if r.IntN(120) > 0 {
				return nil
			}
			return one(r)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes, sound, sent := 0, 0, 0
			for seed := range n {
				s := simulate(seed, p)
				if n := s.lateSent(); n > maxLateSent {
					t.Errorf("seed %d: %d requests were sent later than %d ms after crash %d", seed, n, contact, crashLimit)
				}
				s.checkConvicted(t, seed, p.bad)
				crashes, sound, sent = crashes+len(s.crashes), sound+s.sound, sent+s.soundSent
			}
			t.Logf("%.1f upstreams crashed; %.3f of the sound requests were answered", float64(crashes)/float64(n), float64(sound)/float64(sent))
		})
	}
}
