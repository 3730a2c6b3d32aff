package mpassign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
)

const (
	fleetCacheTokens = 488_760
	fleetSlots       = 64
	fleetRate        = 48.0
	// tokenMs is the time for an output token at an engine with one request, and tokenSlope how
	// much longer it takes for each further one, relative to that.
	tokenMs    = 2.6
	tokenSlope = 0.03
	// maxSends is the number of engines that a refused request is sent to.
	maxSends = 4
	// fleetColdRate is the number of requests a second that a cold engine takes.
	fleetColdRate = 2
)

// kind is a kind of request of the simulated load.
type kind struct {
	share               float64
	system, shared, own int
	output              int
	// docs is the number of different shared parts, of which the n-th is used in proportion to 1/n. Each
	// has versions of a further part of its own, with the given tokens, used alike.
	docs            int
	versions, extra int
}

// fleetLoad is a simulated load.
type fleetLoad struct {
	engines, vms int
	rate         float64
	length       time.Duration
	kinds        []kind
	// inOrder is set if engines prefill one request after another.
	inOrder bool
	// varies is set if engines are slowFactor times slower for some time.
	varies bool
	speeds []float64
	// hot is the share of requests that use the first document.
	hot float64
	// disturb is called every ms.
	disturb func(f *fleet, ms int)
	// local is set if the VMs choose by themselves, and isLocal returns whether a VM does at present.
	local   bool
	isLocal func(f *fleet, vm int) bool
	// states is set if engines state their pace.
	states bool
	// reportDelay is how long a VM takes to report a first token, in ms, and half of what it takes to
	// report an end.
	reportDelay float64
}

var usualKinds = []kind{
	{share: 0.2, system: 300, shared: 13_000, own: 3_720, output: 200, docs: 60},
	{share: 0.5, system: 400, shared: 3_200, own: 700, output: 150, docs: 100},
	{share: 0.3, system: 200, shared: 600, own: 300, output: 100, docs: 50},
}

// branchingKinds have long parts to which shorter ones are added.
var branchingKinds = []kind{
	{share: 0.2, system: 300, shared: 10_000, own: 3_720, output: 200, docs: 30, versions: 12, extra: 3_000},
	{share: 0.5, system: 400, shared: 2_400, own: 700, output: 150, docs: 100, versions: 4, extra: 800},
	{share: 0.3, system: 200, shared: 600, own: 300, output: 100, docs: 50},
}

// simRequest is a request in the simulation.
type simRequest struct {
	id      uint64
	vm      int
	kind    int
	parts   []Part
	own     int
	output  int
	begin   float64
	arrive  float64
	exclude []string
	info    mpselect.PickInfo
	left    float64 // tokens to prefill
	tokens  float64 // tokens generated
	first   float64
	sends   int
	// pool is the owner's state that assigned the request; nil if its VM chose.
	pool     *Pool
	engine   *simEngine
	deadline time.Time
}

type fleet struct {
	fleetLoad
	r       *rand.Rand
	begin   time.Time
	ms      float64
	engines []*simEngine
	byID    map[string]*simEngine
	// pools are the states of owners, of which the VMs use one by turns.
	pools     []*Pool
	names     []string
	flights   map[uint64]*simRequest
	selectors []*mpselect.Selector
	reports   []report
	tokens    uint64

	sent, refusals, lost int
	// avoidable counts refusals while another engine had room.
	avoidable                 int
	prompt, shared, readAgain float64
	firsts                    map[int][]float64
	expectedErr               []float64
	seen                      map[uint64]bool
	expectations              map[uint64]float64
}

type report struct {
	at    float64
	pool  *Pool
	token uint64
	o     Outcome
}

func newFleet(seed uint64, l fleetLoad) *fleet {
	f := &fleet{
		fleetLoad: l, r: rand.New(rand.NewPCG(seed, 5)), begin: time.Unix(1_000_000, 0), byID: map[string]*simEngine{}, firsts: map[int][]float64{},
		seen: map[uint64]bool{}, expectations: map[uint64]float64{}, flights: map[uint64]*simRequest{},
	}
	for i := range l.engines {
		speed := 1.0
		if len(l.speeds) > 0 {
			speed = l.speeds[i%len(l.speeds)]
		}
		e := &simEngine{id: fmt.Sprint("e", i), speed: speed, cache: map[uint64]*simPart{}}
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
	}
	for i := range l.vms {
		f.names = append(f.names, fmt.Sprint("vm", i))
	}
	for _, name := range f.names {
		s := mpselect.New(mpselect.Config{VM: name})
		s.SetPeers(f.names)
		f.selectors = append(f.selectors, s)
	}
	f.addOwner(0)
	return f
}

func (f *fleet) now() time.Time { return f.at(f.ms) }

// addOwner adds an owner without state, at which the VMs register.
func (f *fleet) addOwner(vms int) *Pool {
	p := New(f.now(), vms, Config{CacheTokens: fleetCacheTokens})
	f.pools = append(f.pools, p)
	f.setEngines()
	return p
}

// setEngines tells the owners which engines there are.
func (f *fleet) setEngines() {
	var rows []Row
	for _, e := range f.engines {
		if e.isOut {
			continue
		}
		r := Row{ID: e.id, Slots: fleetSlots}
		if f.ms < e.coldUntil {
			r.ColdUntil, r.ColdVMs = f.at(e.coldUntil), mprank.OfName(e.id, f.names)[:fleetColdRate]
		}
		rows = append(rows, r)
	}
	for _, p := range f.pools {
		p.SetEngines(f.now(), rows)
	}
}

// register tells an owner what all VMs have in flight.
func (f *fleet) register(p *Pool) {
	byVM := map[int][]Held{}
	for _, q := range f.flights {
		byVM[q.vm] = append(byVM[q.vm], Held{
			Token: q.id, Engine: q.engine.id, Parts: q.parts, OwnTokens: q.own, OutputTokens: q.output, HasStarted: q.first > 0, Arrival: f.at(q.arrive), Deadline: q.deadline,
		})
		q.pool = p
	}
	for vm, held := range byVM {
		if err := p.Register(f.now(), f.names[vm], held); err != nil {
			panic(err)
		}
	}
}

func (f *fleet) at(ms float64) time.Time {
	return f.begin.Add(time.Duration(ms * float64(time.Millisecond)))
}

func (f *fleet) run() {
	for ms := range int(f.length.Milliseconds()) {
		f.ms = float64(ms)
		if f.disturb != nil {
			f.disturb(f, ms)
		}
		if f.varies {
			f.vary()
		}
		for f.r.Float64() < f.rate/1000/(1+f.rate/1000) {
			f.send(f.newRequest())
		}
		f.deliver()
		for _, e := range f.engines {
			f.step(e)
		}
	}
}

// vary makes a sixth of the engines 2.5 times slower, for 600 ms at a time.
func (f *fleet) vary() {
	for _, e := range f.engines {
		if f.ms >= e.slowUntil && f.r.Float64() < 0.15/0.85/600 {
			e.slowUntil = f.ms + 600
		}
	}
}

func (f *fleet) newRequest() *simRequest {
	x := f.r.Float64()
	k := 0
	for x > f.kinds[k].share && k < len(f.kinds)-1 {
		x -= f.kinds[k].share
		k++
	}
	return f.newRequestOf(k)
}

func (f *fleet) newRequestOf(k int) *simRequest {
	kind := f.kinds[k]
	doc := f.zipf(kind.docs)
	if f.r.Float64() < f.hot {
		doc = 0
	}
	f.tokens++
	q := &simRequest{
		id: f.tokens, vm: f.r.IntN(f.vms), kind: k, own: kind.own * (50 + f.r.IntN(100)) / 100, output: max(1, kind.output*(25+f.r.IntN(150))/100), begin: f.ms,
		parts: []Part{{Hash: uint64(k + 1), Tokens: kind.system}, {Hash: uint64(1000*(k+1) + doc), Tokens: kind.shared}},
	}
	if kind.versions > 0 {
		q.parts = append(q.parts, Part{Hash: uint64(1_000_000*(k+1) + 1000*doc + f.r.IntN(kind.versions)), Tokens: kind.extra})
	}
	q.info = mpselect.PickInfo{AffinityKey: q.parts[len(q.parts)-1].Hash * 0x9E3779B97F4A7C15, Work: float64(q.own + q.output + 1000)}
	f.sent++
	for _, p := range q.parts {
		f.prompt += float64(p.Tokens)
		f.shared += float64(p.Tokens)
	}
	f.prompt += float64(q.own)
	return q
}

func (f *fleet) zipf(n int) int {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	x := f.r.Float64() * total
	for i := range n {
		if x -= 1 / float64(i+1); x <= 0 {
			return i
		}
	}
	return n - 1
}

// send chooses an engine and sends a request there.
func (f *fleet) send(q *simRequest) {
	q.sends++
	f.tokens++
	q.id, q.deadline = f.tokens, f.now().Add(10*time.Second)
	q.arrive, q.first, q.tokens, q.pool, q.engine = f.ms, 0, 0, nil, nil
	q.info.Exclude = q.exclude
	candidates := f.candidates()
	if !f.local && (f.isLocal == nil || !f.isLocal(f, q.vm)) {
		f.assign(q, candidates)
	}
	if q.engine == nil {
		row, ok := f.selectors[q.vm].Pick(f.now(), candidates, q.info)
		if !ok {
			f.lost++
			return
		}
		q.engine = f.byID[row.ID]
	}
	e := q.engine
	if f.ms < e.coldUntil {
		e.coldPicks = append(e.coldPicks, f.ms)
	}
	if e.accept(f, q) {
		f.flights[q.id] = q
		return
	}
	f.refusals++
	if slices.ContainsFunc(f.engines, func(other *simEngine) bool { return other != e && !other.isOut && other.hasRoom(q) }) {
		f.avoidable++
	}
	f.end(q, Refused)
	q.exclude = append(q.exclude, e.id)
	if q.sends >= maxSends {
		f.lost++
		return
	}
	f.send(q)
}

// assign asks the owner of the VM for an engine.
func (f *fleet) assign(q *simRequest, candidates []mpselect.Candidate) {
	p := f.pools[q.vm%len(f.pools)]
	a, ok, err := p.Assign(f.now(), Request{
		Token: q.id, VM: f.names[q.vm], Parts: q.parts, OwnTokens: q.own, OutputTokens: q.output, Arrival: f.now(), Deadline: q.deadline, Exclude: q.exclude,
	})
	if err != nil {
		panic(err)
	}
	if !ok {
		return
	}
	q.pool = p
	f.expectations[q.id] = float64(a.Expected) / float64(time.Millisecond)
	i := slices.IndexFunc(candidates, func(c mpselect.Candidate) bool { return c.Row.ID == a.Engine })
	if i < 0 || !f.selectors[q.vm].PickOnly(f.now(), candidates[i], q.info) {
		p.Settle(f.now(), q.id, Outcome{End: Unused})
		q.pool = nil
		return
	}
	q.engine = f.byID[a.Engine]
}

func (f *fleet) candidates() []mpselect.Candidate {
	var out []mpselect.Candidate
	for _, e := range f.engines {
		if e.isOut {
			continue
		}
		c := mpselect.Candidate{Row: mplist.Row{ID: e.id, Slots: fleetSlots}}
		if f.ms < e.coldUntil {
			c.ColdUntil, c.ColdRate = f.at(e.coldUntil), fleetColdRate
		}
		out = append(out, c)
	}
	return out
}

// pace returns what an engine states.
func (f *fleet) pace(e *simEngine) float64 {
	if !f.states {
		return 0
	}
	return e.speed / e.currentSpeed(f)
}

func (f *fleet) started(e *simEngine, q *simRequest) {
	const overhead = 15
	q.first = f.ms + 1 - q.arrive + overhead
	f.firsts[q.kind] = append(f.firsts[q.kind], f.ms+1-q.begin+overhead)
	if q.pool != nil {
		f.expectedErr = append(f.expectedErr, math.Abs(f.expectations[q.id]-q.first))
		f.reports = append(f.reports, report{f.ms + f.reportDelay, q.pool, q.id, Outcome{End: Started, FirstToken: time.Duration(q.first * float64(time.Millisecond)), Pace: f.pace(e)}})
	}
	e.running = append(e.running, q)
}

func (f *fleet) end(q *simRequest, end End) {
	took := time.Duration(q.first * float64(time.Millisecond))
	delete(f.flights, q.id)
	outcome := mpselect.Succeeded
	if end == Refused {
		outcome = mpselect.Refused
	}
	f.selectors[q.vm].Done(f.now(), q.engine.id, q.info, outcome, took)
	if q.pool != nil {
		f.reports = append(f.reports, report{f.ms + 2*f.reportDelay, q.pool, q.id, Outcome{End: end, FirstToken: took, Pace: f.pace(q.engine)}})
	}
}

func (f *fleet) deliver() {
	f.reports = slices.DeleteFunc(f.reports, func(r report) bool {
		if r.at > f.ms {
			return false
		}
		r.pool.Settle(f.now(), r.token, r.o)
		return true
	})
}
