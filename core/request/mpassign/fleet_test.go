package mpassign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

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
)

// kind is a kind of request of the simulated load.
type kind struct {
	share               float64
	system, shared, own int
	output              int
	// docs is the number of different shared parts, of which the n-th is used in proportion to 1/n.
	docs int
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
	// local is set if the VMs choose by themselves.
	local bool
	// reportDelay is how long a VM takes to report.
	reportDelay float64
}

var usualKinds = []kind{
	{share: 0.2, system: 300, shared: 13_000, own: 3_720, output: 200, docs: 60},
	{share: 0.5, system: 400, shared: 3_200, own: 700, output: 150, docs: 100},
	{share: 0.3, system: 200, shared: 600, own: 300, output: 100, docs: 50},
}

// simRequest is a request in the simulation.
type simRequest struct {
	id       uint64
	vm       int
	kind     int
	parts    []Part
	own      int
	output   int
	begin    float64
	arrive   float64
	exclude  []string
	info     mpselect.PickInfo
	left     float64 // tokens to prefill
	tokens   float64 // tokens generated
	first    float64
	sends    int
	assigned bool
}

// simEngine is an engine in the simulation.
type simEngine struct {
	id        string
	speed     float64
	slowUntil float64
	waiting   []*simRequest
	running   []*simRequest
	// cache holds the parts by time of use; pins counts their users.
	cache  map[uint64]*simPart
	own    int
	cached int
	pinned int

	requests, prefilled float64
	busy                float64
	coldUntil           float64
	coldPicks           []float64
	isOut               bool
}

type simPart struct {
	tokens int
	used   float64
	pins   int
}

type fleet struct {
	fleetLoad
	r         *rand.Rand
	begin     time.Time
	ms        float64
	engines   []*simEngine
	byID      map[string]*simEngine
	pool      *Pool
	selectors []*mpselect.Selector
	reports   []report
	tokens    uint64

	sent, refusals, lost int
	// spared counts refusals while another engine had room.
	avoidable                 int
	prompt, shared, readAgain float64
	firsts                    map[int][]float64
	expectedErr               []float64
	noOwner                   func(ms float64) bool
	seen                      map[uint64]bool
	assignments, localChoices int
	expectations              map[uint64]float64
}

type report struct {
	at    float64
	token uint64
	o     Outcome
}

func newFleet(seed uint64, l fleetLoad) *fleet {
	f := &fleet{
		fleetLoad: l, r: rand.New(rand.NewPCG(seed, 5)), begin: time.Unix(1_000_000, 0), byID: map[string]*simEngine{}, firsts: map[int][]float64{},
		seen: map[uint64]bool{}, expectations: map[uint64]float64{},
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
	var names []string
	for i := range l.vms {
		names = append(names, fmt.Sprint("vm", i))
	}
	for _, name := range names {
		s := mpselect.New(mpselect.Config{VM: name})
		s.SetPeers(names)
		f.selectors = append(f.selectors, s)
	}
	f.pool = New(f.now(), 0, Config{CacheTokens: fleetCacheTokens})
	f.setEngines()
	return f
}

func (f *fleet) now() time.Time { return f.begin.Add(time.Duration(f.ms * float64(time.Millisecond))) }

func (f *fleet) rows() []Row {
	var rows []Row
	for _, e := range f.engines {
		if !e.isOut {
			rows = append(rows, Row{ID: e.id, Slots: fleetSlots})
		}
	}
	return rows
}

func (f *fleet) setEngines() { f.pool.SetEngines(f.now(), f.rows()) }

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
	q.info = mpselect.PickInfo{AffinityKey: q.parts[1].Hash * 0x9E3779B97F4A7C15, Work: float64(q.own + q.output + 1000)}
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
	id := ""
	q.assigned = false
	if !f.local && (f.noOwner == nil || !f.noOwner(f.ms)) {
		f.tokens++
		q.id = f.tokens
		a, ok, err := f.pool.Assign(f.now(), Request{
			Token: q.id, VM: fmt.Sprint("vm", q.vm), Parts: q.parts, OwnTokens: q.own, OutputTokens: q.output * 5 / 4, Arrival: f.now(),
			Deadline: f.now().Add(10 * time.Second), Exclude: q.exclude,
		})
		if err != nil {
			panic(err)
		}
		if ok {
			id, q.assigned = a.Engine, true
			f.expectations[q.id] = float64(a.Expected) / 1e6
			f.assignments++
		}
	}
	if !q.assigned {
		f.localChoices++
		q.info.Exclude = q.exclude
		row, ok := f.selectors[q.vm].Pick(f.now(), f.candidates(), q.info)
		if !ok {
			f.lost++
			return
		}
		id = row.ID
	}
	e := f.byID[id]
	q.arrive = f.ms
	if f.ms < e.coldUntil {
		e.coldPicks = append(e.coldPicks, f.ms)
	}
	if !e.accept(f, q) {
		f.refusals++
		if slices.ContainsFunc(f.engines, func(other *simEngine) bool { return other != e && !other.isOut && other.hasRoom(q) }) {
			f.avoidable++
		}
		f.end(q, e, Refused)
		q.exclude = append(q.exclude, id)
		if q.sends >= maxSends {
			f.lost++
			return
		}
		f.send(q)
	}
}

func (f *fleet) candidates() []mpselect.Candidate {
	var out []mpselect.Candidate
	for _, e := range f.engines {
		if e.isOut {
			continue
		}
		c := mpselect.Candidate{Row: mplist.Row{ID: e.id, Slots: fleetSlots}}
		if f.ms < e.coldUntil {
			c.ColdUntil, c.ColdRate = f.begin.Add(time.Duration(e.coldUntil*1e6)), 2
		}
		out = append(out, c)
	}
	return out
}

func (e *simEngine) missing(q *simRequest) (unread, unpinned int) {
	isPrefix := true
	for _, p := range q.parts {
		c := e.cache[p.Hash]
		isPrefix = isPrefix && c != nil
		if !isPrefix {
			unread += p.Tokens
		}
		if c == nil || c.pins == 0 {
			unpinned += p.Tokens
		}
	}
	return unread, unpinned
}

func (e *simEngine) hasRoom(q *simRequest) bool {
	_, unpinned := e.missing(q)
	return len(e.waiting)+len(e.running) < fleetSlots && e.own+e.pinned+unpinned+q.own+q.output <= fleetCacheTokens
}

func (e *simEngine) accept(f *fleet, q *simRequest) bool {
	if !e.hasRoom(q) {
		return false
	}
	unread, _ := e.missing(q)
	wasCached := make([]bool, len(q.parts))
	for i, p := range q.parts {
		c := e.cache[p.Hash]
		wasCached[i] = c != nil
		if c == nil {
			c = &simPart{tokens: p.Tokens}
			e.cache[p.Hash] = c
			e.cached += p.Tokens
		}
		c.used = f.ms
		if c.pins == 0 {
			e.pinned += p.Tokens
		}
		c.pins++
	}
	e.own += q.own + q.output
	for e.own+e.cached > fleetCacheTokens {
		oldest, at := uint64(0), math.Inf(1)
		for h, c := range e.cache {
			if c.pins == 0 && c.used < at {
				oldest, at = h, c.used
			}
		}
		e.cached -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
	q.left = float64(unread + q.own)
	isPrefix := true
	for i, p := range q.parts {
		isPrefix = isPrefix && wasCached[i]
		if !isPrefix && f.seen[p.Hash] {
			f.readAgain += float64(p.Tokens)
		}
		f.seen[p.Hash] = true
	}
	e.requests++
	e.prefilled += q.left
	e.waiting = append(e.waiting, q)
	return true
}

func (e *simEngine) currentSpeed(f *fleet) float64 {
	speed := e.speed
	if f.ms < e.slowUntil {
		speed /= 2.5
	}
	return speed
}

func (f *fleet) step(e *simEngine) {
	speed := e.currentSpeed(f)
	if n := len(e.waiting); n > 0 {
		e.busy++
		budget := fleetRate * speed
		for budget > 1e-9 && len(e.waiting) > 0 {
			if f.inOrder {
				q := e.waiting[0]
				d := min(budget, q.left)
				q.left -= d
				budget -= d
			} else {
				share := budget / float64(len(e.waiting))
				for _, q := range e.waiting {
					d := min(share, q.left)
					q.left -= d
					budget -= d
				}
			}
			e.waiting = slices.DeleteFunc(e.waiting, func(q *simRequest) bool {
				if q.left > 1e-9 {
					return false
				}
				f.started(e, q)
				return true
			})
		}
	}
	if n := len(e.running); n > 0 {
		per := speed / (tokenMs * (1 + tokenSlope*float64(n-1)))
		e.running = slices.DeleteFunc(e.running, func(q *simRequest) bool {
			if q.tokens += per; q.tokens < float64(q.output) {
				return false
			}
			for _, p := range q.parts {
				c := e.cache[p.Hash]
				if c.pins--; c.pins == 0 {
					e.pinned -= p.Tokens
				}
			}
			e.own -= q.own + q.output
			f.end(q, e, Done)
			return true
		})
	}
}

func (f *fleet) started(e *simEngine, q *simRequest) {
	const overhead = 15
	q.first = f.ms + 1 - q.arrive + overhead
	f.firsts[q.kind] = append(f.firsts[q.kind], f.ms+1-q.begin+overhead)
	if q.assigned {
		f.expectedErr = append(f.expectedErr, math.Abs(f.expectations[q.id]-q.first))
		f.reports = append(f.reports, report{f.ms + 2*f.reportDelay, q.id, Outcome{End: Started, FirstToken: time.Duration(q.first * 1e6)}})
	}
	e.running = append(e.running, q)
}

func (f *fleet) end(q *simRequest, e *simEngine, end End) {
	if q.assigned {
		f.reports = append(f.reports, report{f.ms + f.reportDelay, q.id, Outcome{End: end, FirstToken: time.Duration(q.first * 1e6)}})
		return
	}
	outcome := mpselect.Succeeded
	if end == Refused {
		outcome = mpselect.Refused
	}
	f.selectors[q.vm].Done(f.now(), e.id, q.info, outcome, time.Duration(q.first*1e6))
}

func (f *fleet) deliver() {
	f.reports = slices.DeleteFunc(f.reports, func(r report) bool {
		if r.at > f.ms {
			return false
		}
		f.pool.Settle(f.now(), r.token, r.o)
		return true
	})
}
