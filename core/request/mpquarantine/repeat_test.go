package mpquarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"mustardpost.org/core/version/mpview"
)

const (
	// repeatedContent is the content that is sent again and again.
	repeatedContent = 1
	// repeatCrashTime is when a bad request ends its upstream, repeatAnswerTime when a sound
	// one is answered, repeatRestart how long an upstream is gone, and repeatHandOver when
	// evidence reaches the other VMs, in ms.
	repeatCrashTime  = 60
	repeatAnswerTime = 100
	repeatRestart    = 3000
	repeatHandOver   = 100
	repeatLength     = 60_000
	// A request waits for a trial for up to repeatPatience, and looks every repeatPoll.
	repeatPatience = 300
	repeatPoll     = 50
	// repeatCrashLimit is the number of upstreams after whose end the VMs have contact to stop
	// sending the content.
	repeatCrashLimit = 3
)

// repeats is a load of one content that is sent again and again, at any VM.
type repeats struct {
	upstreams int
	// hasParts is set if requests have a part that all share and one that some do.
	hasParts bool
	// isBad is set if the content ends each upstream that runs it, hasHead if it does so after
	// the head of an answer.
	isBad, hasHead bool
	// atOnce requests with the content are sent at the same moment, every interval ms. Each is
	// sent again after a loss if attempts allow it.
	atOnce, interval, attempts int
	// lossDelay is how long after its end a VM learns that an upstream is gone, and coldFor how
	// long an upstream is cold after its restart, in ms.
	lossDelay, coldFor int
	// leaderlessFrom is when handing on evidence begins to take leaderlessFor ms longer.
	leaderlessFrom, leaderlessFor int
	// ends returns the upstreams that end by themselves at ms.
	ends func(r *rand.Rand, ms int) []int
}

// repeatAttempt is a request at an upstream, or one that waits for a trial.
type repeatAttempt struct {
	vm, content, arrivedAt, sentAt, sends int
	// pause is how long the request waits before a trial.
	pause    int
	traits   Traits
	exclude  []string
	trial    Feature
	endTrial func(ms int, lost bool)
}

type repeatUpstream struct {
	index, starts, downTill, coldTill int
	running                           []*repeatAttempt
}

func (u *repeatUpstream) id() string { return fmt.Sprintf("u%d.%d", u.index, u.starts) }

// repeatSim runs VMs with a ledger each, in steps of simStep.
type repeatSim struct {
	repeats
	r   *rand.Rand
	vms []*Ledger
	// arbiter is that of the content, at the first VM.
	arbiter   *Arbiter
	token     uint64
	upstreams []*repeatUpstream
	strikes   map[uint64]mpview.StrikeCount
	pending   []change
	waiting   []*repeatAttempt
	crashes   []int
	badSent   []int
	lost      []func(ms int)
	lostAt    []int
	lastSound int
	// others counts the requests with other contents, and othersAnswered those of them that
	// were answered; repeated and repeatedAnswered count those with the content.
	others, othersAnswered, repeated, repeatedAnswered int
}

func simulateRepeats(seed uint64, p repeats) *repeatSim {
	s := &repeatSim{repeats: p, r: rand.New(rand.NewPCG(seed, 2)), arbiter: NewArbiter(), strikes: map[uint64]mpview.StrikeCount{}, lastSound: repeatedContent}
	for range simVMs {
		s.vms = append(s.vms, New())
	}
	for i := range p.upstreams {
		s.upstreams = append(s.upstreams, &repeatUpstream{index: i})
	}
	for ms := 0; ms < repeatLength; ms += simStep {
		s.step(ms)
	}
	return s
}

func (s *repeatSim) step(ms int) {
	s.apply(ms)
	const otherRate = 5.0
	if s.r.Float64() < otherRate*simStep/1000 {
		s.lastSound++
		s.arrive(ms, s.lastSound)
	}
	if ms >= 1000 && ms%s.interval == 0 {
		for range s.atOnce {
			s.arrive(ms, repeatedContent)
		}
	}
	if s.ends != nil {
		for _, i := range s.ends(s.r, ms) {
			s.end(ms, s.upstreams[i], false)
		}
	}
	waiting := s.waiting
	s.waiting = nil
	for _, a := range waiting {
		s.try(ms, a)
	}
	for _, u := range s.upstreams {
		s.advance(ms, u)
	}
}

// apply hands on the evidence that is due, and lets VMs learn of upstreams that are gone.
func (s *repeatSim) apply(ms int) {
	for len(s.lost) > 0 && s.lostAt[0] <= ms {
		s.lost[0](ms)
		s.lost, s.lostAt = s.lost[1:], s.lostAt[1:]
	}
	for len(s.pending) > 0 && s.pending[0].at <= ms {
		c := s.pending[0]
		s.pending = s.pending[1:]
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
			_, cleared := l.SetStrikes(at(ms), s.strikes)
			s.handOn(ms, nil, cleared)
		}
	}
}

func (s *repeatSim) handOn(ms int, raised []Finding, cleared []Feature) {
	if len(raised)+len(cleared) == 0 {
		return
	}
	due := ms + repeatHandOver
	if s.leaderlessFor > 0 && due >= s.leaderlessFrom {
		due = max(due, s.leaderlessFrom+s.leaderlessFor)
	}
	s.pending = append(s.pending, change{due, raised, cleared})
}

func (s *repeatSim) arrive(ms, content int) {
	pause := int(TrialPause(s.r.Float64()).Milliseconds())
	traits := request(uint64(content))
	if s.hasParts {
		traits = request(uint64(content), "all", fmt.Sprint("own", content%20))
	}
	a := &repeatAttempt{vm: s.r.IntN(simVMs), content: content, arrivedAt: ms, pause: pause, traits: traits, endTrial: func(int, bool) {}}
	if content == repeatedContent {
		s.repeated++
	} else {
		s.others++
	}
	s.try(ms, a)
}

// try sends a request, or lets it wait for a trial.
func (s *repeatSim) try(ms int, a *repeatAttempt) {
	l := s.vms[a.vm]
	wait := func() {
		if ms-a.arrivedAt < repeatPatience {
			s.lost, s.lostAt = append(s.lost, func(ms int) { s.try(ms, a) }), append(s.lostAt, ms+repeatPoll)
		}
	}
	a.trial, a.endTrial = 0, func(int, bool) {}
	v := l.Judge(at(ms), a.traits)
	switch {
	case v.Level == Convicted:
		return
	case v.NeedsTrial:
		if v.Level > Noted && (at(ms).Sub(v.Since) < TrialDelay || ms < a.arrivedAt+a.pause) {
			wait()
			return
		}
		s.token++
		token := s.token
		p := s.arbiter.Begin(at(ms), v.Finding, token)
		if level := s.vms[0].levelOf(at(ms), v.Feature); level > v.Level {
			l.Learn(at(ms), v.Feature, level)
		}
		if !p.Granted {
			wait()
			return
		}
		a.trial, a.endTrial = v.Feature, func(ms int, lost bool) {
			s.arbiter.End(at(ms), v.Feature, token, lost)
			s.vms[0].Learn(at(ms), v.Feature, l.levelOf(at(ms), v.Feature))
		}
	}
	u := s.pick(ms, a)
	if u == nil {
		a.endTrial(ms, false)
		return
	}
	a.sends, a.sentAt, a.exclude = a.sends+1, ms, append(a.exclude, u.id())
	u.running = append(u.running, a)
	if s.isBad && a.content == repeatedContent {
		s.badSent = append(s.badSent, ms)
	}
}

func (s *repeatSim) pick(ms int, a *repeatAttempt) *repeatUpstream {
	var up, warm []*repeatUpstream
	var ids []string
	for _, u := range s.upstreams {
		if ms < u.downTill || slices.Contains(a.exclude, u.id()) {
			continue
		}
		up = append(up, u)
		if ms >= u.coldTill {
			warm, ids = append(warm, u), append(ids, u.id())
		}
	}
	place := s.vms[a.vm].Place(at(ms), ids)
	if a.trial != 0 && place.Upstream(a.trial) != "" {
		i := slices.IndexFunc(warm, func(u *repeatUpstream) bool { return u.id() == place.Upstream(a.trial) })
		if i < 0 {
			return nil
		}
		return warm[i]
	}
	if meant := slices.DeleteFunc(slices.Clone(up), func(u *repeatUpstream) bool { return place.Spares(u.id()) }); len(meant) > 0 {
		up = meant
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.r.IntN(len(up))]
}

// advance answers the requests of an upstream that are due, or ends it.
func (s *repeatSim) advance(ms int, u *repeatUpstream) {
	if s.isBad && slices.ContainsFunc(u.running, func(a *repeatAttempt) bool { return a.content == repeatedContent && ms-a.sentAt >= repeatCrashTime }) {
		s.end(ms, u, s.hasHead)
		return
	}
	u.running = slices.DeleteFunc(u.running, func(a *repeatAttempt) bool {
		if ms-a.sentAt < repeatAnswerTime {
			return false
		}
		s.handOn(ms, nil, s.vms[a.vm].RecordSound(at(ms), at(ms-simStep), a.traits))
		a.endTrial(ms, false)
		if a.content == repeatedContent {
			s.repeatedAnswered++
		} else {
			s.othersAnswered++
		}
		return true
	})
}

// end ends an upstream and loses all that it was running.
func (s *repeatSim) end(ms int, u *repeatUpstream, hasHead bool) {
	if ms < u.downTill {
		return
	}
	if slices.ContainsFunc(u.running, func(a *repeatAttempt) bool { return s.isBad && a.content == repeatedContent }) {
		s.crashes = append(s.crashes, ms)
	}
	for _, a := range u.running {
		c := Crash{Upstream: u.id(), SentAt: at(a.sentAt), HasHead: hasHead && a.content == repeatedContent, Trial: a.trial, Traits: a.traits}
		endTrial := a.endTrial
		record := func(ms int) {
			raised, cleared := s.vms[a.vm].RecordCrash(at(ms), c)
			s.handOn(ms, raised, cleared)
			endTrial(ms, true)
		}
		if s.lossDelay == 0 {
			record(ms)
		} else {
			s.lost, s.lostAt = append(s.lost, record), append(s.lostAt, ms+s.lossDelay)
		}
		if a.sends < s.attempts {
			s.waiting = append(s.waiting, a)
		}
	}
	u.running, u.downTill, u.coldTill = nil, ms+repeatRestart, ms+repeatRestart+s.coldFor
	u.starts++
}

// lateSent returns how many requests with the bad content were sent later than contact after
// the end of upstream repeatCrashLimit.
func (s *repeatSim) lateSent() int {
	if len(s.crashes) < repeatCrashLimit {
		return 0
	}
	n := 0
	for _, ms := range s.badSent {
		if ms > s.crashes[repeatCrashLimit-1]+contact {
			n++
		}
	}
	return n
}

func (s *repeatSim) isConvicted() bool {
	_, ok := s.strikes[ContentFeature(repeatedContent).fingerprint(Convicted)]
	return ok
}

// convicted returns the number of features that are convicted at the end.
func (s *repeatSim) convicted() int {
	n := 0
	for fingerprint := range s.strikes {
		if _, level := splitFingerprint(fingerprint); level == Convicted {
			n++
		}
	}
	return n
}

// Guards against one request, sent again and again at any VM, that ended upstream after
// upstream of a small pool: repeats that came together counted as one, and each VM tried the
// suspect on its own.
func TestRepeatedRequestThatCrashesUpstreams(t *testing.T) {
	for name, p := range map[string]repeats{
		"one a second":                                          {upstreams: 3, atOnce: 1, interval: 1000, attempts: 1},
		"five a second":                                         {upstreams: 3, atOnce: 1, interval: 200, attempts: 1},
		"five a second, cold for 3 s":                           {upstreams: 3, atOnce: 1, interval: 200, attempts: 1, lossDelay: 150, coldFor: 3000},
		"three at once":                                         {upstreams: 3, atOnce: 3, interval: 3000, attempts: 1},
		"three at once, cold for 3 s":                           {upstreams: 3, atOnce: 3, interval: 3000, attempts: 1, lossDelay: 150, coldFor: 3000},
		"three at once, sent twice":                             {upstreams: 3, atOnce: 3, interval: 3000, attempts: 2, lossDelay: 150},
		"six at once, cold for 3 s":                             {upstreams: 3, atOnce: 6, interval: 7000, attempts: 1, coldFor: 3000},
		"six at once, after the head":                           {upstreams: 3, atOnce: 6, interval: 7000, attempts: 2, hasHead: true},
		"ten at once":                                           {upstreams: 3, atOnce: 10, interval: 5000, attempts: 2, lossDelay: 150, coldFor: 1000},
		"ten at once, 30 upstreams":                             {upstreams: 30, atOnce: 10, interval: 5000, attempts: 2, lossDelay: 150},
		"one a second, 30 upstreams":                            {upstreams: 30, atOnce: 1, interval: 1000, attempts: 2},
		"three at once, with parts that others share":           {upstreams: 3, atOnce: 3, interval: 3000, attempts: 2, hasParts: true},
		"six at once, with parts, 12 upstreams, after the head": {upstreams: 12, atOnce: 6, interval: 5000, attempts: 2, hasParts: true, hasHead: true},
		"one a second, with parts, 12 upstreams":                {upstreams: 12, atOnce: 1, interval: 1000, attempts: 2, hasParts: true, lossDelay: 150},
		"three at once, no leader between rounds":               {upstreams: 3, atOnce: 3, interval: 3000, attempts: 1, leaderlessFrom: 1050, leaderlessFor: 1500},
		"three at once, no leader between trials":               {upstreams: 3, atOnce: 3, interval: 3000, attempts: 1, leaderlessFrom: 4050, leaderlessFor: 2900},
		"three at once, others that end for another reason":     {upstreams: 3, atOnce: 3, interval: 3000, attempts: 1, ends: every(4000, func(r *rand.Rand) []int { return []int{r.IntN(3)} })},
		"one a second, a zone of 30 upstreams that loses power": {upstreams: 30, atOnce: 1, interval: 1000, attempts: 2, ends: every(2500, func(*rand.Rand) []int { return []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9} })},
	} {
		p.isBad = true
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes, others, answered, most, broken := 0, 0, 0, 0, 0
			for seed := range seeds(t, 40) {
				s := simulateRepeats(seed, p)
				if n := s.lateSent(); n > maxLateSent {
					broken++
					if broken <= 3 {
						t.Errorf("seed %d: %d requests were sent later than %d ms after crash %d; %d upstreams ended", seed, n, contact, repeatCrashLimit, len(s.crashes))
					}
				}
				if !s.isConvicted() || s.convicted() > 1 {
					t.Errorf("seed %d: the content is convicted: %t, of %d features", seed, s.isConvicted(), s.convicted())
				}
				most = max(most, s.lateSent())
				crashes, others, answered = crashes+len(s.crashes), others+s.others, answered+s.othersAnswered
			}
			t.Logf("%d of %d runs broken, at most %d sent late, %.1f upstreams ended; %.3f of the other requests answered",
				broken, seeds(t, 40), most, float64(crashes)/float64(seeds(t, 40)), float64(answered)/float64(others))
		})
	}
}

// Guards against the conviction of a sound request that many callers send while upstreams end
// for other reasons.
func TestRepeatedSoundRequestIsSpared(t *testing.T) {
	one := func(n int) func(*rand.Rand) []int { return func(r *rand.Rand) []int { return []int{r.IntN(n)} } }
	for name, p := range map[string]repeats{
		"four at once, an upstream ends every 0.5 s": {upstreams: 3, atOnce: 4, interval: 2000, attempts: 2, ends: every(500, one(3))},
		"five a second, an upstream ends every 1 s":  {upstreams: 3, atOnce: 1, interval: 200, attempts: 1, lossDelay: 150, ends: every(1000, one(3))},
		"ten a second, the pool loses power":         {upstreams: 3, atOnce: 1, interval: 100, attempts: 1, coldFor: 3000, ends: every(7000, func(*rand.Rand) []int { return []int{0, 1, 2} })},
		"ten a second, a release":                    {upstreams: 12, atOnce: 1, interval: 100, attempts: 2, ends: every(700, one(12))},
		"ten a second, zones that lose power":        {upstreams: 12, atOnce: 1, interval: 100, attempts: 2, ends: every(4000, func(r *rand.Rand) []int { z := 4 * r.IntN(3); return []int{z, z + 1, z + 2, z + 3} })},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convicted, repeated, answered := 0, 0, 0
			for seed := range seeds(t, 40) {
				s := simulateRepeats(seed, p)
				if s.isConvicted() {
					convicted++
					t.Errorf("seed %d: the content is convicted", seed)
				}
				repeated, answered = repeated+s.repeated, answered+s.repeatedAnswered
			}
			t.Logf("convicted in %d of %d runs; %.3f of its requests answered", convicted, seeds(t, 40), float64(answered)/float64(repeated))
		})
	}
}
